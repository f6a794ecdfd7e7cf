#include "discovery/reader.h"

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

// A comment comes every second, so this much silence is a break, also where the connection stays up. Each
// moment more is one for which drains, deaths and starts are not known; a call too many costs one connection.
constexpr Time kSilence = 1500 * kMs;
// Guards against a stream that goes on and says nothing, as half an event a byte at a time: within this time
// a comment or a whole event has to come. With the pause before the next call it stays under the 4 s after
// which what a silent bulletin would have told counts as told.
constexpr Time kMostUnfinished = 3 * kSecond;
// Within it the loop has read what lay in the socket.
constexpr Time kReadGrace = 100 * kMs;
constexpr Time kUnaskedPause = 300 * kMs;
constexpr std::size_t kMostLine = 4 * 1024 * 1024;
// Events that cannot be used are called for again at most this often; between that they are passed over.
constexpr Time kRetryPause = kSecond;
constexpr Time kComplaintPause = kSecond;

constexpr EndpointListWatcher::Failure kSilent{&Counters::discovery_silent, "silent"};
constexpr EndpointListWatcher::Failure kStalled{&Counters::discovery_stalled, "no whole event"};

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
      roster_(config.zones, config.node_kinds),
      unasked_(!config.settings.discovery_by_subscription) {
  http_parser_settings_init(&callbacks_);
  callbacks_.on_headers_complete = [](http_parser* p) {
    auto* reader = static_cast<EndpointListWatcher*>(p->data);
    if (p->status_code != 200) reader->failure_ = "it does not answer with a stream";
    return 0;
  };
  callbacks_.on_body = [](http_parser* p, const char* at, std::size_t size) {
    static_cast<EndpointListWatcher*>(p->data)->Body({at, size});
    return 0;
  };
  callbacks_.on_message_complete = [](http_parser* p) {  // though the connection stays up
    static_cast<EndpointListWatcher*>(p->data)->failure_ = "the stream has ended";
    return 0;
  };
}

void EndpointListWatcher::PublishKnownList(const json& known) {
  TakeKnown(known, EndpointList::Gap::kAccept);
  Tell(EndpointListUpdate::kCached, roster_.All());
  wanted_ = unasked_;
  if (unasked_) Connect();
}

void EndpointListWatcher::SwitchTo(const sockaddr_in& address, const json& known) {
  TakeKnown(known, EndpointList::Gap::kRefuse);
  const std::string host = AddressText(address);
  if (host == host_) return;
  address_ = address;
  host_ = host;
  // Guards against news that only the new bulletin has: the old one falls silent without a sign, or was out
  // of reach, and its next call is a while off. A call that waits for its answer gets it there.
  if (!wanted_) return;
  loop_->DestroyLater(std::move(connection_));
  Connect();
}

// The events of a configuration. What it lacks between two of them, the stream brings.
void EndpointListWatcher::TakeKnown(const json& known, EndpointList::Gap gap) {
  const json items = known.is_object() ? known.value("items", json::array()) : json::array();
  for (const json& item : items) {
    EndpointList::Change change;
    const EndpointList::Verdict verdict = roster_.Apply(item, gap, &change);
    if (verdict == EndpointList::Verdict::kGap) return;
    if (!change.wrong.empty()) ComplainOfEntries(roster_.last(), change);
    // What is known at the start is told as one list.
    if (verdict != EndpointList::Verdict::kTaken || gap == EndpointList::Gap::kAccept) continue;
    Tell(change.full ? EndpointListUpdate::kFull : EndpointListUpdate::kDelta, change);
  }
}

void EndpointListWatcher::Tell(EndpointListUpdate kind, const EndpointList::Change& change) {
  events_->OnEndpointListChanged(kind, change.version, change.nodes);
}

void EndpointListWatcher::Subscribe(bool active) {
  wanted_ = active;
  if (!active) {
    loop_->DestroyLater(std::move(connection_));
    loop_->Cancel(std::exchange(silence_, 0));
    loop_->Cancel(std::exchange(again_, 0));
    asked_ = false;
    return;
  }
  asked_ = true;
  if (connection_ == nullptr) {
    Connect();
  } else if (live() && loop_->Now() - alive_ < kSilence / 2) {
    AnswerCall();  // there is nothing newer than what was told
  }
}

void EndpointListWatcher::Fetch() {
  const bool up = connection_ != nullptr && connection_->up();
  Tell(up ? EndpointListUpdate::kFull : EndpointListUpdate::kFailed,
       up ? roster_.All() : EndpointList::Change{});
}

void EndpointListWatcher::Connect() {
  loop_->Cancel(std::exchange(again_, 0));
  told_ = retry_ = false;
  failure_ = nullptr;
  line_.clear();
  data_.clear();
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  connection_ = std::make_unique<Connection>(loop_, address_, this);
  alive_ = loop_->Now();
  AwaitMore();
}

// The module is not told: nothing that it knows is wrong, and it is not to pause for this.
void EndpointListWatcher::Reconnect() {
  ++counters.discovery_retries;
  loop_->DestroyLater(std::move(connection_));
  Connect();
}

// Every byte puts off the moment at which silence counts as a break, but not beyond kMostUnfinished.
void EndpointListWatcher::AwaitMore() {
  loop_->Cancel(silence_);
  const Time silent = loop_->Now() + kSilence, stalled = alive_ + kMostUnfinished;
  const Failure failure = silent <= stalled ? kSilent : kStalled;
  silence_ = loop_->At(std::min(silent, stalled), [this, failure] { BreakUnlessUnread(failure); });
}

// After a stall of this process the time is up although the stream may have spoken: what lies in the socket
// is read in this iteration of the loop, and then AwaitMore sets the limits anew.
void EndpointListWatcher::BreakUnlessUnread(const Failure& failure) {
  if (!connection_->Unread()) return BreakAs(failure);
  silence_ = loop_->After(kReadGrace, [this, failure] { BreakAs(failure); });
}

void EndpointListWatcher::BreakAs(const Failure& failure) {
  ++(counters.*failure.counter);
  Break(failure.text);
}

void EndpointListWatcher::OnUp(Connection& connection) {
  ++counters.discovery_connects;
  *connection.out() += "GET /bulletins HTTP/1.1\r\nHost: " + host_ +
                       "\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " +
                       std::to_string(roster_.last()) + "\r\n\r\n";
}

// What ends the stream waits until the parser has returned.
std::size_t EndpointListWatcher::OnData(Connection&, std::string_view data) {
  const std::size_t parsed = http_parser_execute(&parser_, &callbacks_, data.data(), data.size());
  if (connection_ == nullptr) return data.size();
  if (retry_) {
    Reconnect();
  } else if (failure_ != nullptr) {
    Break(failure_);
  } else if (parsed != data.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
    Break("unreadable");
  } else {
    AwaitMore();
  }
  return data.size();
}

void EndpointListWatcher::OnEnd(Connection&, Ending) { Break("closed"); }

void EndpointListWatcher::Break(const char* why) {
  ++counters.discovery_disconnects;
  Log("bulletin: %s", why);
  loop_->DestroyLater(std::move(connection_));
  loop_->Cancel(std::exchange(silence_, 0));
  asked_ = false;
  if (unasked_) {
    again_ = loop_->After(kUnaskedPause, [this] { Connect(); });
  } else {
    Tell(EndpointListUpdate::kFailed, {});
  }
}

void EndpointListWatcher::Body(std::string_view piece) {
  while (!piece.empty() && failure_ == nullptr && !retry_ && connection_ != nullptr) {
    const std::size_t end = piece.find('\n');
    const std::string_view part = piece.substr(0, end);
    if (line_.size() + data_.size() + part.size() > kMostLine) {
      ++counters.discovery_oversized;
      failure_ = "an event is too large";
      return;
    }
    if (end == std::string_view::npos) {
      line_ += part;
      return;
    }
    std::string_view line = part;
    if (!line_.empty()) line = line_ += line;
    if (line.ends_with('\r')) line.remove_suffix(1);
    LineIn(line);
    line_.clear();
    piece.remove_prefix(end + 1);
  }
}

void EndpointListWatcher::LineIn(std::string_view line) {
  if (line.empty()) {
    if (!data_.empty()) EventIn();
    data_.clear();
  } else if (line.starts_with(':')) {
    SignOfLife();
    AnswerCall();  // a comment: nothing was missed
  } else if (line.starts_with("data:")) {
    line.remove_prefix(line.starts_with("data: ") ? 6 : 5);
    if (!data_.empty()) data_ += '\n';
    data_ += line;
  }  // the number of an event stands in its data too
}

void EndpointListWatcher::EventIn() {
  SignOfLife();
  const std::optional<json> event = Parse(data_);
  EndpointList::Change change;
  auto verdict = EndpointList::Verdict::kBad;
  if (event) verdict = roster_.Apply(*event, EndpointList::Gap::kRefuse, &change);
  if (verdict == EndpointList::Verdict::kKnown) return;
  if (verdict != EndpointList::Verdict::kTaken) {
    retry_ = MayRetry();
    if (retry_) return;
    if (verdict == EndpointList::Verdict::kBad) return PassOver(change);
    ++counters.discovery_gaps;
    Complain("the events after " + std::to_string(roster_.last()) + " are not to be had, it goes on without");
    roster_.Apply(*event, EndpointList::Gap::kAccept, &change);
  }
  ++counters.discovery_events;
  LogDebug("discovery: event %lld taken, %zu entries", static_cast<long long>(change.version),
           change.nodes.size());
  if (!change.wrong.empty()) ComplainOfEntries(roster_.last(), change);
  asked_ = false;
  Tell(change.full ? EndpointListUpdate::kFull : EndpointListUpdate::kDelta, change);
}

void EndpointListWatcher::PassOver(const EndpointList::Change& change) {
  ++counters.discovery_events_invalid;
  const std::string what = change.wrong.empty() ? "it is no JSON" : FormatIssue(change.wrong.front());
  Complain("the event after " + std::to_string(roster_.last()) + " is passed over: " + what);
}

// Whether the events after the last one taken are called for again: once, since a bulletin that sends the
// same again has nothing else.
bool EndpointListWatcher::MayRetry() {
  const Time now = loop_->Now();
  if (retried_after_ == roster_.last() || now - retried_at_ < kRetryPause) return false;
  retried_after_ = roster_.last();
  retried_at_ = now;
  return true;
}

void EndpointListWatcher::ComplainOfEntries(std::int64_t event, const EndpointList::Change& change) {
  counters.discovery_entries_invalid += change.wrong.size();
  Complain("of event " + std::to_string(event) + " " + std::to_string(change.wrong.size()) +
           " entries are left out: " + FormatIssue(change.wrong.front()));
}

// Guards against a bulletin whose mistakes fill the log: the counters tell how many there were.
void EndpointListWatcher::Complain(const std::string& text) {
  const Time now = loop_->Now();
  if (now - complained_at_ < kComplaintPause) return;
  complained_at_ = now;
  Log("bulletin: %s", text.c_str());
}

void EndpointListWatcher::SignOfLife() {
  told_ = true;
  alive_ = loop_->Now();
}

void EndpointListWatcher::AnswerCall() {
  if (std::exchange(asked_, false)) Tell(EndpointListUpdate::kDelta, {});
}

}  // namespace cluster_manager
