// One non-blocking TCP connection on the event loop. Received bytes are passed on as slices of the loop's
// read buffer; only an incomplete message is copied. Sent bytes go through a bounded write queue, which is
// flushed once in each iteration of the loop. Used on the event loop's thread only.
#pragma once

#include <ev.h>
#include <netinet/in.h>
#include <sys/types.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "containers/block_pool.h"
#include "net/loop.h"

namespace cluster_manager {

// Parses "127.0.0.1:80"; false where the text is not an IPv4 address and a port.
bool ParseAddress(std::string_view text, sockaddr_in* address);
std::string AddressText(const sockaddr_in& address);

enum class CloseReason {
  kClosed,   // the peer closed the connection in order
  kReset,    // the connection was reset, or its socket had another error
  kRefused,  // the dial was refused: no process listens at the address
  kOverflow  // the write queue, or an incomplete incoming message, exceeded its bound
};

// What the kernel holds of the incoming stream that has not been read yet.
enum class InputState {
  kNone,
  kBytes,
  kEnd  // the peer has closed or reset the connection, possibly after some bytes
};

class Connection {
 public:
  class Handler {
   public:
    virtual void OnConnected(Connection&) {}  // a dial succeeded
    // Returns how many bytes were consumed; the rest is passed again together with later bytes. The slice is
    // valid during the call only.
    virtual std::size_t OnData(Connection& connection, std::string_view data) = 0;
    // The connection is closed. Called once, and not after Close().
    virtual void OnClosed(Connection& connection, CloseReason reason) = 0;

   protected:
    ~Handler() = default;
  };

  // Takes over an accepted socket.
  Connection(EventLoop* loop, int socket, Handler* handler);
  // Dials. Every outcome, also an immediate failure, is reported by OnConnected or OnClosed after this
  // returns.
  Connection(EventLoop* loop, const sockaddr_in& to, Handler* handler);
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // From now on its events are handled before those of other connections in an iteration of the loop, and
  // bytes that have arrived already are read in this iteration. For the few connections that must be answered
  // in time however long an iteration takes.
  void SetHighPriority();

  bool open() const { return socket_ >= 0; }
  bool up() const { return open() && !dialing_ && !broken_; }
  bool flushed() const { return pending() == 0; }
  // Queued bytes wait until the socket can take them.
  bool blocked() const { return up() && (io_.events & EV_WRITE) != 0; }
  // The position in the outgoing stream of the end of what is queued now, in bytes.
  std::uint64_t queued_position() const { return bytes_sent_ + pending(); }
  // Whether the bytes up to `position` have left this machine's socket (HasSent), or have been acknowledged
  // by the peer's kernel (HasDelivered). Neither says that the peer's process has read them. False once a
  // write has failed.
  bool HasSent(std::uint64_t position) const;
  bool HasDelivered(std::uint64_t position) const;
  // The peer does not read: bytes wait in the write queue or in this machine's socket.
  bool HasUnsentBytes() const;
  // The write queue. Bytes that are appended are written before the loop sleeps, in one gathered write where
  // the socket takes it.
  std::string* write_queue();
  // Appends the bytes [from, to) of a block to the write queue by reference. They must not change afterwards.
  void AppendBlock(const BlockPool::Ref& block, std::size_t from, std::size_t to);
  void Flush();
  // What happens to bytes that arrive after ShutdownAfterFlush().
  enum class InputMode {
    kContinueReading,  // passed to the handler
    kStopReading       // not read, for streams that cannot be parsed any further
  };
  // Shuts down the write side once the queued bytes have been written. A close with unread input sends a
  // reset, which can destroy answers that were just written; so Close() has to be called some time later, or
  // when the peer has closed.
  void ShutdownAfterFlush(InputMode input_mode = InputMode::kStopReading);
  void Close();
  void Abort();  // closes with a reset, as the end of a process does: queued bytes are lost
  bool HasUnreadBytes() const { return UnreadBytes() > 0; }  // bytes have arrived that were not read yet
  std::size_t UnreadBytes() const;
  // Like HasUnreadBytes(), and reports the end of the stream as well. Makes a system call only where
  // something may have arrived since the loop last polled, or was left unread by the last read.
  InputState PeekInput() const;
  std::uint64_t bytes_read() const { return bytes_read_; }
  // Reads up to the end of the stream even while the peer does not read what is queued for it. For peers that
  // have closed the connection.
  void ReadToEnd();
  bool IsReading() const { return !shutting_down_ || reads_after_shutdown_; }
  // Reading is suspended because the peer does not read what is queued for it.
  bool IsReadingPaused() const { return up() && IsReading() && (io_.events & EV_READ) == 0; }

  Handle tag = 0;                     // set by the object that holds the connection
  Time last_traffic = 0;              // when bytes were last received, queued, or written after a delay
  Time incomplete_message_since = 0;  // when an incomplete message began to arrive; 0: none

 private:
  // Bytes of a block that are sent before byte `at` of queue_.
  struct BlockSlice {
    std::size_t at;
    BlockPool::Ref block;
    std::size_t from, to;
  };

  std::size_t pending() const { return queue_.size() - written_ + queued_block_bytes_; }
  ssize_t WriteOnce();
  void AdvanceQueue(std::size_t bytes);
  void Start(int socket, int events);
  void OnEvent(int events);
  void Read();
  void UpdateWatcher();
  void OnWriteError();
  void ClearQueue();
  void CloseAndNotify(CloseReason reason);

  EventLoop* loop_;
  Handler* handler_;
  int socket_ = -1;
  bool dialing_ = false, flush_scheduled_ = false, shutting_down_ = false, write_side_shut_ = false;
  bool reads_after_shutdown_ = false;
  // A write has failed: the peer has reset the connection. Nothing more is written; what the peer sent before
  // the reset is read to the end, and then the connection is closed with kReset.
  bool broken_ = false;
  bool reads_to_end_ = false;       // reads whatever is queued
  bool reports_remaining_ = false;  // the socket has TCP_INQ: each read reports whether bytes remain
  bool left_unread_ = false;        // the last read left bytes, or the end of the stream, unread
  std::uint64_t bytes_read_ = 0;
  std::uint64_t bytes_sent_ = 0;               // passed to the kernel
  mutable std::uint64_t bytes_delivered_ = 0;  // known to be acknowledged
  int dial_error_ = 0;
  ev_io io_;
  std::string incomplete_message_;  // else empty
  std::string queue_;
  std::vector<BlockSlice> slices_;
  std::size_t written_ = 0, first_slice_ = 0;  // bytes of queue_, and slices, that have been written
  std::size_t queued_block_bytes_ = 0;
};

}  // namespace cluster_manager
