#include "discovery/endpoint_list_watcher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "config/config_validation.h"
#include "net/counters.h"
#include "net/log.h"

namespace cluster_manager {
namespace {

using nlohmann::json;
using scheduling::EndpointListUpdate;

// Discovery sends a comment every second, so a longer silence is a failure even where the connection stays
// up. A longer time-out delays the news of drains, failures and starts of nodes; a false time-out costs one
// connection.
constexpr Time kSilenceTimeout = 1500 * kMs;
// A stream may keep sending bytes without completing a comment or an event, such as half an event a byte at a
// time: one has to be complete within this time. With kReconnectDelay it stays under the 4 s after which the
// changes that a silent discovery service would have sent are assumed to be known.
constexpr Time kStallTimeout = 3 * kSecond;
// Within this time the loop reads what is already in the socket.
constexpr Time kReadGracePeriod = 100 * kMs;
constexpr Time kReconnectDelay = 300 * kMs;
constexpr std::size_t kMaxEventBytes = 4 * 1024 * 1024;  // of an event and the line being read
// Events are requested again at most this often after an unusable one; in between such events are skipped.
constexpr Time kMinRequestAgainInterval = kSecond;
constexpr Time kMinWarningInterval = kSecond;

constexpr EndpointListWatcher::Failure kSilent{&Counters::discovery_silent, "nothing received for 1.5 s"};
constexpr EndpointListWatcher::Failure kStalled{&Counters::discovery_stalled,
                                                "no complete event or comment within 3 s"};

// Nothing where the text is not JSON or is nested too deeply.
std::optional<json> Parse(const std::string& text) {
  if (ExceedsMaxDepth(text)) return std::nullopt;
  json event = json::parse(text, nullptr, false);
  return event.is_discarded() ? std::nullopt : std::optional<json>(std::move(event));
}

}  // namespace

EndpointListWatcher::EndpointListWatcher(EventLoop* loop, const Config& config, DiscoveryEvents* events)
    : loop_(loop),
      address_(config.discovery),
      host_(AddressText(config.discovery)),
      events_(events),
      endpoint_list_(config.zones, config.node_kinds),
      always_subscribed_(!config.settings.discovery_by_subscription) {
  http_parser_settings_init(&callbacks_);
  callbacks_.on_headers_complete = [](http_parser* p) {
    auto* watcher = static_cast<EndpointListWatcher*>(p->data);
    if (p->status_code != 200) watcher->stream_error_ = "the HTTP status is not 200";
    return 0;
  };
  callbacks_.on_body = [](http_parser* p, const char* at, std::size_t size) {
    static_cast<EndpointListWatcher*>(p->data)->OnBody({at, size});
    return 0;
  };
  callbacks_.on_message_complete = [](http_parser* p) {  // the connection may still be up
    static_cast<EndpointListWatcher*>(p->data)->stream_error_ = "the stream has ended";
    return 0;
  };
}

void EndpointListWatcher::PublishKnownList(const json& known) {
  ApplyKnownEvents(known, EndpointList::GapPolicy::kAccept);
  ReportChange(EndpointListUpdate::kCached, endpoint_list_.FullList());
  if (!always_subscribed_) return;  // the report may have led to a Subscribe() already
  subscribed_ = true;
  Connect();
}

void EndpointListWatcher::Reconfigure(const sockaddr_in& address, const json& known) {
  ApplyKnownEvents(known, EndpointList::GapPolicy::kReject);
  const std::string host = AddressText(address);
  if (host == host_) return;
  address_ = address;
  host_ = host;
  // Connects at once instead of waiting for the old stream to fail: the old service may fall silent or be out
  // of reach, and only the new one may have the latest events. A pending Subscribe() is answered by it.
  if (!subscribed_) return;
  loop_->DestroyLater(std::move(connection_));
  Connect();
}

// Applies the events of a configuration. A gap ends this; the stream then delivers the events from there on.
void EndpointListWatcher::ApplyKnownEvents(const json& known, EndpointList::GapPolicy gap_policy) {
  const json items = known.is_object() ? known.value("items", json::array()) : json::array();
  for (const json& item : items) {
    EndpointList::Change change;
    const EndpointList::ApplyResult result = endpoint_list_.Apply(item, gap_policy, &change);
    if (result == EndpointList::ApplyResult::kGap) return;
    if (!change.problems.empty()) LogSkippedEntries(endpoint_list_.last_event(), change);
    // The events of the first configuration are reported together, as one list.
    if (result != EndpointList::ApplyResult::kApplied || gap_policy == EndpointList::GapPolicy::kAccept)
      continue;
    ReportChange(change.full ? EndpointListUpdate::kFull : EndpointListUpdate::kDelta, change);
  }
}

void EndpointListWatcher::ReportChange(EndpointListUpdate kind, const EndpointList::Change& change) {
  events_->OnEndpointListChanged(kind, change.version, change.nodes);
}

void EndpointListWatcher::Subscribe(bool active) {
  subscribed_ = active;
  if (!active) {
    loop_->DestroyLater(std::move(connection_));
    loop_->Cancel(std::exchange(silence_timer_, 0));
    loop_->Cancel(std::exchange(reconnect_timer_, 0));
    subscribe_pending_ = false;
    return;
  }
  subscribe_pending_ = true;
  if (connection_ == nullptr) {
    Connect();
  } else if (IsStreamLive() && loop_->Now() - last_activity_at_ < kSilenceTimeout / 2) {
    ReportNoChangeIfPending();  // the stream is live: the reported list is current
  }
}

void EndpointListWatcher::Fetch() {
  const bool up = connection_ != nullptr && connection_->up();
  ReportChange(up ? EndpointListUpdate::kFull : EndpointListUpdate::kFailed,
               up ? endpoint_list_.FullList() : EndpointList::Change{});
}

void EndpointListWatcher::Connect() {
  loop_->Cancel(std::exchange(reconnect_timer_, 0));
  received_activity_ = request_again_ = false;
  stream_error_ = nullptr;
  partial_line_.clear();
  event_data_.clear();
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  connection_ = std::make_unique<Connection>(loop_, address_, this);
  last_activity_at_ = loop_->Now();
  RestartSilenceTimer();
}

// Not reported as a failure: the list that was reported is still valid, and the scheduler need not back off.
void EndpointListWatcher::Reconnect() {
  ++counters.discovery_retries;
  loop_->DestroyLater(std::move(connection_));
  Connect();
}

// Received bytes extend the time limit by kSilenceTimeout, but not beyond kStallTimeout after the last
// comment or event.
void EndpointListWatcher::RestartSilenceTimer() {
  loop_->Cancel(silence_timer_);
  const Time silent_at = loop_->Now() + kSilenceTimeout, stalled_at = last_activity_at_ + kStallTimeout;
  const Failure failure = silent_at <= stalled_at ? kSilent : kStalled;
  silence_timer_ =
      loop_->At(std::min(silent_at, stalled_at), [this, failure] { DisconnectUnlessUnread(failure); });
}

// Timers run before sockets are read, so after a pause of this process the time may be up although bytes have
// arrived. They are read in this iteration of the loop, and RestartSilenceTimer() then sets a new limit.
void EndpointListWatcher::DisconnectUnlessUnread(const Failure& failure) {
  if (!connection_->HasUnreadBytes()) return DisconnectOnFailure(failure);
  silence_timer_ = loop_->After(kReadGracePeriod, [this, failure] { DisconnectOnFailure(failure); });
}

void EndpointListWatcher::DisconnectOnFailure(const Failure& failure) {
  ++(counters.*failure.counter);
  Disconnect(failure.text);
}

void EndpointListWatcher::OnConnected(Connection& connection) {
  ++counters.discovery_connects;
  *connection.write_queue() += "GET /bulletins HTTP/1.1\r\nHost: " + host_ +
                               "\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " +
                               std::to_string(endpoint_list_.last_event()) + "\r\n\r\n";
}

// Errors found by the callbacks are handled once the parser has returned.
std::size_t EndpointListWatcher::OnData(Connection&, std::string_view data) {
  const std::size_t parsed = http_parser_execute(&parser_, &callbacks_, data.data(), data.size());
  if (connection_ == nullptr) return data.size();
  if (request_again_) {
    Reconnect();
  } else if (stream_error_ != nullptr) {
    Disconnect(stream_error_);
  } else if (parsed != data.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
    Disconnect("malformed HTTP response");
  } else {
    RestartSilenceTimer();
  }
  return data.size();
}

void EndpointListWatcher::OnClosed(Connection&, CloseReason) { Disconnect("closed"); }

void EndpointListWatcher::Disconnect(const char* reason) {
  ++counters.discovery_disconnects;
  Log("discovery: %s", reason);
  loop_->DestroyLater(std::move(connection_));
  loop_->Cancel(std::exchange(silence_timer_, 0));
  subscribe_pending_ = false;
  if (always_subscribed_) {
    reconnect_timer_ = loop_->After(kReconnectDelay, [this] { Connect(); });
  } else {
    ReportChange(EndpointListUpdate::kFailed, {});
  }
}

void EndpointListWatcher::OnBody(std::string_view bytes) {
  while (!bytes.empty() && stream_error_ == nullptr && !request_again_ && connection_ != nullptr) {
    const std::size_t end = bytes.find('\n');
    const std::string_view fragment = bytes.substr(0, end);
    if (partial_line_.size() + event_data_.size() + fragment.size() > kMaxEventBytes) {
      ++counters.discovery_oversized;
      stream_error_ = "an event is too large";
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

void EndpointListWatcher::OnLine(std::string_view line) {
  if (line.empty()) {
    if (!event_data_.empty()) OnEvent();
    event_data_.clear();
  } else if (line.starts_with(':')) {
    RecordActivity();
    ReportNoChangeIfPending();  // a comment: no event is missing
  } else if (line.starts_with("data:")) {
    line.remove_prefix(line.starts_with("data: ") ? 6 : 5);
    if (!event_data_.empty()) event_data_ += '\n';
    event_data_ += line;
  }  // other fields are ignored: the data holds the event number as well
}

void EndpointListWatcher::OnEvent() {
  RecordActivity();
  const std::optional<json> event = Parse(event_data_);
  EndpointList::Change change;
  auto result = EndpointList::ApplyResult::kInvalid;
  if (event) result = endpoint_list_.Apply(*event, EndpointList::GapPolicy::kReject, &change);
  if (result == EndpointList::ApplyResult::kStale) return;
  if (result != EndpointList::ApplyResult::kApplied) {
    request_again_ = ShouldRequestAgain();
    if (request_again_) return;
    if (result == EndpointList::ApplyResult::kInvalid) return LogSkippedEvent(change);
    ++counters.discovery_gaps;
    LogRateLimited("the events after " + std::to_string(endpoint_list_.last_event()) +
                   " are not available; continuing without them");
    endpoint_list_.Apply(*event, EndpointList::GapPolicy::kAccept, &change);
  }
  ++counters.discovery_events;
  LogDebug("discovery: event %lld applied, %zu entries", static_cast<long long>(change.version),
           change.nodes.size());
  if (!change.problems.empty()) LogSkippedEntries(endpoint_list_.last_event(), change);
  subscribe_pending_ = false;
  ReportChange(change.full ? EndpointListUpdate::kFull : EndpointListUpdate::kDelta, change);
}

void EndpointListWatcher::LogSkippedEvent(const EndpointList::Change& change) {
  ++counters.discovery_events_invalid;
  const std::string problem = change.problems.empty() ? "invalid JSON" : FormatIssue(change.problems.front());
  LogRateLimited("the event after " + std::to_string(endpoint_list_.last_event()) +
                 " is skipped: " + problem);
}

// Whether to request the events after the last applied one again. Once for each such event: a service that
// sends the same again has nothing else.
bool EndpointListWatcher::ShouldRequestAgain() {
  const Time now = loop_->Now();
  if (requested_again_after_ == endpoint_list_.last_event() ||
      now - requested_again_at_ < kMinRequestAgainInterval)
    return false;
  requested_again_after_ = endpoint_list_.last_event();
  requested_again_at_ = now;
  return true;
}

void EndpointListWatcher::LogSkippedEntries(std::int64_t event, const EndpointList::Change& change) {
  counters.discovery_entries_invalid += change.problems.size();
  LogRateLimited("event " + std::to_string(event) + ": " + std::to_string(change.problems.size()) +
                 " invalid entries are skipped: " + FormatIssue(change.problems.front()));
}

// Keeps a service that sends many invalid events from filling the log; counters hold the numbers.
void EndpointListWatcher::LogRateLimited(const std::string& text) {
  const Time now = loop_->Now();
  if (now - last_warning_at_ < kMinWarningInterval) return;
  last_warning_at_ = now;
  Log("discovery: %s", text.c_str());
}

void EndpointListWatcher::RecordActivity() {
  received_activity_ = true;
  last_activity_at_ = loop_->Now();
  events_->OnEndpointListContact();
}

void EndpointListWatcher::ReportNoChangeIfPending() {
  if (std::exchange(subscribe_pending_, false)) ReportChange(EndpointListUpdate::kDelta, {});
}

}  // namespace cluster_manager
