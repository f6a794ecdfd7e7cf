// One non-blocking TCP connection: slices of the read buffer are handed on, and a bounded write queue is
// flushed once a turn of the loop.
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

// "127.0.0.1:80"; false where the text is not an address and a port.
bool ParseAddress(std::string_view text, sockaddr_in* address);
std::string AddressText(const sockaddr_in& address);

enum class Ending {
  kClosed,   // the other side closed in order
  kReset,    // it broke off: reset, or another error of the socket
  kRefused,  // a dial was refused: nobody listens there
  kStuck     // the write queue outgrew its bound, or what came in outgrew a message
};

// What the kernel holds of the other side's that was not read yet.
enum class Incoming {
  kNothing,
  kBytes,
  kEnd  // the other side has closed or reset the connection, maybe behind some bytes
};

class Connection {
 public:
  class Handler {
   public:
    virtual void OnUp(Connection&) {}  // dialled, and it came up
    // Returns how many bytes were taken. The slice is valid during the call only.
    virtual std::size_t OnData(Connection& connection, std::string_view data) = 0;
    // It is closed. Called once, and not after Close().
    virtual void OnEnd(Connection& connection, Ending ending) = 0;

   protected:
    ~Handler() = default;
  };

  // Takes over an accepted socket.
  Connection(EventLoop* loop, int socket, Handler* handler);
  // Dials. Every outcome, a refusal at once too, comes by OnUp or OnEnd after this returns.
  Connection(EventLoop* loop, const sockaddr_in& to, Handler* handler);
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // From now on its events come before others' in a turn, and what has come already is read in this turn: for
  // the few who are answered in time however long a turn is.
  void Prefer();

  bool open() const { return socket_ >= 0; }
  bool up() const { return open() && !dialing_ && !broken_; }
  bool flushed() const { return pending() == 0; }
  bool blocked() const { return up() && (io_.events & EV_WRITE) != 0; }  // bytes wait for room in the socket
  // The number of the stream's bytes up to the end of what is queued now.
  std::uint64_t queued_position() const { return bytes_sent_ + pending(); }
  // Whether the bytes up to `position` have left this machine's socket, or (HasDelivered) have been
  // acknowledged by the other side's kernel; nothing tells whether they were read. False once a write failed.
  bool HasSent(std::uint64_t position) const;
  bool HasDelivered(std::uint64_t position) const;
  bool BackedUp() const;  // the other side does not read: bytes wait here, or in the socket, for room there
  // The write queue: append to it, it leaves before the loop sleeps, in one gathered write where the socket
  // takes it. Refer puts bytes of a block there by reference, which nobody may change from then on.
  std::string* out();
  void Refer(const BlockPool::Ref& block, std::size_t from, std::size_t to);
  void Flush();
  // Closes its own side once what is queued has left. Guards against a close with unread input, whose reset
  // can destroy answers that were just written: Close() comes a while later, or the other side's end.
  // kReadOn: what crosses this is still handed on; kReadNoMore: it cannot be read anyway.
  enum class Rest { kReadOn, kReadNoMore };
  void Finish(Rest rest = Rest::kReadNoMore);
  void Close();
  void Abort();  // closes with a reset, as a process that dies: what is queued is lost
  bool Unread() const { return UnreadBytes() > 0; }  // something has come that was not read yet
  std::size_t UnreadBytes() const;
  // The same, with the end of the stream. Costs a system call only where something may have come since the
  // loop asked, or lies behind what was read last.
  Incoming LookAhead() const;
  std::uint64_t bytes_read() const { return bytes_read_; }
  // Reads on to the end also where the other side does not read what is queued for it: it has gone.
  void ReadToEnd();
  bool reads() const { return !finishing_ || reads_on_; }
  // Not read for now, since the other side does not read what is queued for it.
  bool paused() const { return up() && reads() && (io_.events & EV_READ) == 0; }

  Handle tag = 0;             // for the owner of the connection
  Time last_traffic = 0;      // bytes in, queued to go out, or gone out late
  Time unfinished_since = 0;  // a message has begun to come in and is not whole; 0: none has

 private:
  struct Piece {  // stands in the queue before byte `at` of out_
    std::size_t at;
    BlockPool::Ref block;
    std::size_t from, to;
  };

  std::size_t pending() const { return out_.size() - written_ + referred_; }
  ssize_t WriteSome();
  void Written(std::size_t bytes);
  void Start(int socket, int events);
  void OnEvent(int events);
  void Read();
  void Watch();
  void WriteFailed();
  void DropQueue();
  void End(Ending ending);

  EventLoop* loop_;
  Handler* handler_;
  int socket_ = -1;
  bool dialing_ = false, flush_marked_ = false, finishing_ = false, shut_ = false;
  bool reads_on_ = false;  // after it has closed its own side
  // A write has failed: the other side has reset the connection. Nothing more is written; what it sent before
  // that is read to the end, and then the connection ends as reset.
  bool broken_ = false;
  bool reads_to_end_ = false;  // whatever is queued
  bool looks_behind_ = false;  // each read tells whether anything is left behind it
  bool left_unread_ = false;   // it did
  std::uint64_t bytes_read_ = 0;
  std::uint64_t bytes_sent_ = 0;               // handed to the kernel
  mutable std::uint64_t bytes_delivered_ = 0;  // seen as acknowledged
  int dial_error_ = 0;
  ev_io io_;
  std::string in_;  // the unfinished message, else empty
  std::string out_;
  std::vector<Piece> pieces_;
  std::size_t written_ = 0, first_piece_ = 0;  // bytes of out_ and pieces that have left
  std::size_t referred_ = 0;                   // bytes of pieces that have not
};

}  // namespace cluster_manager
