// One call to the discovery service: requests the events after the last applied one, and reads the response
// as server-sent events over HTTP/1.1. Reports silence without closing, since a slow service may still
// answer.
//
// Owned by EndpointListWatcher, which decides how many calls are open. Everything runs on the event loop's
// thread.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "discovery/endpoint_list.h"
#include "net/connection.h"
#include "net/loop.h"

namespace cluster_manager {

class EndpointListStream final : public Connection::Handler {
 public:
  // Why a stream has ended.
  enum class End {
    kClosed,         // by the service, or the dial failed
    kBadStatus,      // the HTTP status is not 200
    kMalformed,      // not a valid HTTP response
    kFinished,       // the HTTP response is complete
    kOversized,      // an event is larger than kMaxEventBytes
    kSilent,         // no message within the stall time-out, and nothing at all within the silence time-out
    kStalled,        // bytes, but no message within the stall time-out
    kNotApplicable,  // the handler cannot apply an event
  };
  // What to do after an event.
  enum class Next { kReadOn, kEnd };

  // The functions may close the stream, but must not destroy it.
  class Handler {
   public:
    virtual void OnComment(EndpointListStream& stream) = 0;
    virtual Next OnEvent(EndpointListStream& stream, const std::string& text) = 0;
    // Nothing was received for the silence or the answer time-out. The stream stays open; the next call comes
    // after another message at the earliest.
    virtual void OnSilent(EndpointListStream& stream) = 0;
    // The stream is closed. Called once, and not after Close().
    virtual void OnEnded(EndpointListStream& stream, End end) = 0;

   protected:
    ~Handler() = default;
  };

  // Time limits of a call, in nanoseconds.
  struct TimeLimits {
    Time answer_timeout;  // from the dial, or the last byte, until OnSilent() while no message has come
    Time stall_timeout;   // from the first byte, or the last message, until the next message is complete
  };

  // Discovery sends a comment every second, so a longer silence after a message is a failure even where the
  // connection stays up. A longer time-out delays the news of drains, failures and starts of nodes; a false
  // time-out costs one call.
  static constexpr Time kSilenceTimeout = 1500 * kMs;

  // Dials `address`. `loop`, `list` and `handler` must outlive this object.
  EndpointListStream(EventLoop* loop, const sockaddr_in& address, const EndpointList* list,
                     const TimeLimits& limits, Handler* handler);
  ~EndpointListStream() { Close(); }
  EndpointListStream(const EndpointListStream&) = delete;
  EndpointListStream& operator=(const EndpointListStream&) = delete;

  // Closes the connection; no function of the handler is called any more.
  void Close();
  void SetStallTimeout(Time timeout) { limits_.stall_timeout = timeout; }

  bool up() const { return connection_ != nullptr && connection_->up(); }
  // OnSilent() was called, and no message has been received since.
  bool silent() const { return silent_; }
  // The stream is up, has delivered a message and is not silent.
  bool IsLive() const { return up() && message_count_ > 0 && !silent_; }
  // The service has done more than to greet: an event or a second message has been received.
  bool IsEstablished() const { return event_count_ > 0 || message_count_ > 1; }
  Time dialed_at() const { return dialed_at_; }
  Time last_message_at() const { return last_message_at_; }
  Time stall_timeout() const { return limits_.stall_timeout; }

 private:
  static constexpr Time kNoDeadline = std::numeric_limits<Time>::max();

  // Connection::Handler; see there.
  void OnConnected(Connection& connection) override;
  std::size_t OnData(Connection& connection, std::string_view data) override;
  void OnClosed(Connection& connection, CloseReason reason) override;

  static http_parser_settings ParserCallbacks();
  void OnBody(std::string_view bytes);
  void OnLine(std::string_view line);
  void RecordMessage();
  void EndWith(End end);
  bool ended() const { return connection_ == nullptr || has_error_; }

  Time SilentAt() const;
  Time StalledAt() const;
  void ScheduleDeadline();
  void OnDeadline();
  void HandleDeadline();

  EventLoop* loop_;
  const std::string host_;
  const EndpointList* list_;
  TimeLimits limits_;
  Handler* handler_;
  std::unique_ptr<Connection> connection_;

  http_parser parser_{};
  bool has_error_ = false;  // `error_` ends the stream once the parser has returned
  End error_ = End::kClosed;
  std::string partial_line_, event_data_;  // they outlive the buffer they were received in

  std::size_t message_count_ = 0, event_count_ = 0;  // messages are comments and events
  bool silent_ = false;
  const Time dialed_at_;
  Time last_byte_at_ = 0;        // or when the stream was dialed
  Time last_message_at_ = 0;     // 0: none yet
  Time message_awaited_at_ = 0;  // when the first byte or the last message was received; 0: no byte yet
  Handle deadline_timer_ = 0;
};

// The text of a log line.
const char* EndText(EndpointListStream::End end);

}  // namespace cluster_manager
