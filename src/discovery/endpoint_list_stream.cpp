#include "discovery/endpoint_list_stream.h"

#include <algorithm>
#include <utility>

#include "net/counters.h"

namespace cluster_manager {
namespace {

// Within this time the loop reads what is already in the socket.
constexpr Time kReadGracePeriod = 100 * kMs;
constexpr std::size_t kMaxEventBytes = 4 * 1024 * 1024;  // of an event and the line being read

EndpointListStream* StreamOf(http_parser* parser) { return static_cast<EndpointListStream*>(parser->data); }

}  // namespace

const char* EndText(EndpointListStream::End end) {
  switch (end) {
    case EndpointListStream::End::kClosed:
      return "closed";
    case EndpointListStream::End::kBadStatus:
      return "the HTTP status is not 200";
    case EndpointListStream::End::kMalformed:
      return "malformed HTTP response";
    case EndpointListStream::End::kFinished:
      return "the stream has ended";
    case EndpointListStream::End::kOversized:
      return "an event is too large";
    case EndpointListStream::End::kSilent:
      return "given up after a long silence";
    case EndpointListStream::End::kStalled:
      return "no complete event or comment in time";
    case EndpointListStream::End::kNotApplicable:
      return "an event cannot be applied";
  }
  return "unknown";
}

EndpointListStream::EndpointListStream(EventLoop* loop, const sockaddr_in& address, const EndpointList* list,
                                       const TimeLimits& limits, Handler* handler)
    : loop_(loop),
      host_(AddressText(address)),
      list_(list),
      limits_(limits),
      handler_(handler),
      connection_(std::make_unique<Connection>(loop, address, this)),
      dialed_at_(loop->Now()),
      last_byte_at_(dialed_at_) {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  ScheduleDeadline();
}

void EndpointListStream::Close() {
  loop_->Cancel(std::exchange(deadline_timer_, 0));
  loop_->DestroyLater(std::move(connection_));
}

void EndpointListStream::EndWith(End end) {
  Close();
  handler_->OnEnded(*this, end);
}

// --- The connection --------------------------------------------------------------------------------------
void EndpointListStream::OnConnected(Connection& connection) {
  ++counters.discovery_connects;
  *connection.write_queue() += "GET /bulletins HTTP/1.1\r\nHost: " + host_ +
                               "\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " +
                               std::to_string(list_->last_event()) + "\r\n\r\n";
}

// Errors found by the callbacks are handled once the parser has returned.
std::size_t EndpointListStream::OnData(Connection&, std::string_view data) {
  static const http_parser_settings callbacks = ParserCallbacks();
  last_byte_at_ = loop_->Now();
  if (message_awaited_at_ == 0) message_awaited_at_ = last_byte_at_;
  const std::size_t parsed = http_parser_execute(&parser_, &callbacks, data.data(), data.size());
  if (connection_ == nullptr) return data.size();
  if (has_error_) {
    EndWith(error_);
  } else if (parsed != data.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
    EndWith(End::kMalformed);
  } else {
    ScheduleDeadline();
  }
  return data.size();
}

void EndpointListStream::OnClosed(Connection&, CloseReason) { EndWith(End::kClosed); }

// --- Time limits -----------------------------------------------------------------------------------------
Time EndpointListStream::SilentAt() const {
  if (silent_) return kNoDeadline;
  return last_byte_at_ + (message_count_ > 0 ? kSilenceTimeout : limits_.answer_timeout);
}

// A stream may keep sending bytes without completing a message, such as half an event a byte at a time.
Time EndpointListStream::StalledAt() const {
  return message_awaited_at_ == 0 ? kNoDeadline : message_awaited_at_ + limits_.stall_timeout;
}

void EndpointListStream::ScheduleDeadline() {
  loop_->Cancel(std::exchange(deadline_timer_, 0));
  const Time deadline = std::min(SilentAt(), StalledAt());
  if (deadline != kNoDeadline) deadline_timer_ = loop_->At(deadline, [this] { OnDeadline(); });
}

// Timers run before sockets are read, so after a pause of this process the time may be up although bytes have
// arrived. They are read in this iteration of the loop, and OnData() then sets a new deadline.
void EndpointListStream::OnDeadline() {
  if (!connection_->HasUnreadBytes()) return HandleDeadline();
  deadline_timer_ = loop_->After(kReadGracePeriod, [this] { HandleDeadline(); });
}

void EndpointListStream::HandleDeadline() {
  deadline_timer_ = 0;
  if (StalledAt() < SilentAt()) return EndWith(silent_ ? End::kSilent : End::kStalled);
  silent_ = true;
  ScheduleDeadline();
  handler_->OnSilent(*this);
}

void EndpointListStream::RecordMessage() {
  ++message_count_;
  silent_ = false;
  last_message_at_ = message_awaited_at_ = loop_->Now();
}

// --- Parsing ---------------------------------------------------------------------------------------------
http_parser_settings EndpointListStream::ParserCallbacks() {
  http_parser_settings callbacks{};
  http_parser_settings_init(&callbacks);
  callbacks.on_headers_complete = [](http_parser* parser) {
    StreamOf(parser)->has_error_ = parser->status_code != 200;
    StreamOf(parser)->error_ = End::kBadStatus;
    return 0;
  };
  callbacks.on_body = [](http_parser* parser, const char* at, std::size_t size) {
    StreamOf(parser)->OnBody({at, size});
    return 0;
  };
  callbacks.on_message_complete = [](http_parser* parser) {  // the connection may still be up
    if (std::exchange(StreamOf(parser)->has_error_, true)) return 0;
    StreamOf(parser)->error_ = End::kFinished;
    return 0;
  };
  return callbacks;
}

void EndpointListStream::OnBody(std::string_view bytes) {
  while (!bytes.empty() && !ended()) {
    const std::size_t end = bytes.find('\n');
    const std::string_view fragment = bytes.substr(0, end);
    if (partial_line_.size() + event_data_.size() + fragment.size() > kMaxEventBytes) {
      has_error_ = true;
      error_ = End::kOversized;
      return;
    }
    if (end == std::string_view::npos) {
      partial_line_ += fragment;
      return;
    }
    std::string_view line = fragment;
    if (!partial_line_.empty()) line = partial_line_ += line;
    if (line.ends_with('\r')) line.remove_suffix(1);
    OnLine(line);
    partial_line_.clear();
    bytes.remove_prefix(end + 1);
  }
}

void EndpointListStream::OnLine(std::string_view line) {
  if (line.empty()) {
    if (event_data_.empty()) return;
    RecordMessage();
    ++event_count_;
    const Next next = handler_->OnEvent(*this, std::exchange(event_data_, {}));
    if (next == Next::kReadOn || ended()) return;
    has_error_ = true;
    error_ = End::kNotApplicable;
  } else if (line.starts_with(':')) {
    RecordMessage();
    handler_->OnComment(*this);
  } else if (line.starts_with("data:")) {
    line.remove_prefix(line.starts_with("data: ") ? 6 : 5);
    if (!event_data_.empty()) event_data_ += '\n';
    event_data_ += line;
  }  // other fields are ignored: the data holds the event number as well
}

}  // namespace cluster_manager
