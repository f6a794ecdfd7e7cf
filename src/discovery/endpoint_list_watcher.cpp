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

// A call that has not been answered for this long is followed by another one; later calls wait up to
// kMaxAnswerTimeout, and up to kAnswerTimeoutJitter longer, since all processes may call at once.
constexpr Time kMinAnswerTimeout = 1500 * kMs;
constexpr Time kMaxAnswerTimeout = 3 * kSecond;
constexpr double kAnswerTimeoutJitter = 0.2;
// With kReconnectDelay it stays under the 4 s after which the changes that a silent discovery service would
// have sent are assumed to be known.
constexpr Time kMinStallTimeout = 3 * kSecond;
constexpr Time kMinPatience = 4 * kSecond;
// The oldest call, which a slow service answers first; one that waits for `patience_`, in case the oldest was
// lost; and the newest, which a service answers soon that has just recovered.
constexpr std::size_t kMaxOpenCalls = 3;
constexpr Time kReconnectDelay = 300 * kMs;
// Events are requested again at most this often after an unusable one; in between such events are skipped.
constexpr Time kMinRequestAgainInterval = kSecond;
constexpr Time kMinWarningInterval = kSecond;

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
      events_(events),
      endpoint_list_(config.zones, config.node_kinds),
      always_subscribed_(!config.settings.discovery_by_subscription),
      random_(config.seed) {
  ResetTimeLimits();
}

void EndpointListWatcher::PublishKnownList(const json& known) {
  ApplyKnownEvents(known, EndpointList::GapPolicy::kAccept);
  ReportChange(EndpointListUpdate::kCached, endpoint_list_.FullList());
  if (!always_subscribed_) return;  // the report may have led to a Subscribe() already
  subscribed_ = true;
  Call();
}

bool EndpointListWatcher::IsStreamLive() const {
  return std::any_of(streams_.begin(), streams_.end(), [](const auto& stream) { return stream->IsLive(); });
}

void EndpointListWatcher::Reconfigure(const sockaddr_in& address, const json& known) {
  ApplyKnownEvents(known, EndpointList::GapPolicy::kReject);
  if (AddressText(address) == AddressText(address_)) return;
  address_ = address;
  // Calls at once instead of waiting for the old stream to fail: the old service may fall silent or be out
  // of reach, and only the new one may have the latest events. A pending Subscribe() is answered by it.
  if (!subscribed_) return;
  RemoveAllBut(nullptr);
  ResetTimeLimits();
  Call();
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
    RemoveAllBut(nullptr);
    loop_->Cancel(std::exchange(call_timer_, 0));
    subscribe_pending_ = false;
    return;
  }
  subscribe_pending_ = true;
  if (streams_.empty()) return Call();
  const Time now = loop_->Now();
  const bool current = std::any_of(streams_.begin(), streams_.end(), [now](const auto& stream) {
    return stream->IsLive() && now - stream->last_message_at() < EndpointListStream::kSilenceTimeout / 2;
  });
  if (current) ReportNoChangeIfPending();
}

void EndpointListWatcher::Fetch() {
  const bool up =
      std::any_of(streams_.begin(), streams_.end(), [](const auto& stream) { return stream->up(); });
  ReportChange(up ? EndpointListUpdate::kFull : EndpointListUpdate::kFailed,
               up ? endpoint_list_.FullList() : EndpointList::Change{});
}

// --- Calls and their time limits -------------------------------------------------------------------------
void EndpointListWatcher::ResetTimeLimits() {
  answer_timeout_ = kMinAnswerTimeout;
  stall_timeout_ = kMinStallTimeout;
  patience_ = kMinPatience;
}

Time EndpointListWatcher::NextAnswerTimeout() {
  std::uniform_real_distribution<double> jitter(1, 1 + kAnswerTimeoutJitter);
  return static_cast<Time>(static_cast<double>(answer_timeout_) * jitter(random_));
}

void EndpointListWatcher::Call() {
  loop_->Cancel(std::exchange(call_timer_, 0));
  RemoveSurplusCall();
  const EndpointListStream::TimeLimits limits{NextAnswerTimeout(), stall_timeout_};
  streams_.push_back(std::make_unique<EndpointListStream>(loop_, address_, &endpoint_list_, limits, this));
}

void EndpointListWatcher::CallAfter(Time delay) {
  loop_->Cancel(call_timer_);
  call_timer_ = loop_->After(delay, [this] {
    call_timer_ = 0;
    CallUnlessAwaitingMessage();
  });
}

void EndpointListWatcher::CallUnlessAwaitingMessage() {
  if (subscribed_ && !IsAwaitingMessage()) Call();
}

// Whether a message may still come in time on one of the streams.
bool EndpointListWatcher::IsAwaitingMessage() const {
  return std::any_of(streams_.begin(), streams_.end(), [](const auto& stream) { return !stream->silent(); });
}

// The oldest call is kept: a service that answers calls in turn answers it first, however slow it is. If that
// call was lost, the second is kept for longer and longer, so that it outlasts any delay of the service.
void EndpointListWatcher::RemoveSurplusCall() {
  if (streams_.size() < kMaxOpenCalls) return;
  const bool patience_over = loop_->Now() - streams_[1]->dialed_at() >= patience_;
  if (patience_over) patience_ *= 2;
  ++counters.discovery_disconnects;
  Remove((patience_over ? streams_[1] : streams_.back()).get());
}

void EndpointListWatcher::Remove(EndpointListStream* stream) {
  stream->Close();
  const auto position = std::find_if(streams_.begin(), streams_.end(),
                                     [stream](const auto& open) { return open.get() == stream; });
  if (closed_.empty()) loop_->After(0, [this] { closed_.clear(); });
  closed_.push_back(std::move(*position));
  streams_.erase(position);
}

void EndpointListWatcher::RemoveAllBut(const EndpointListStream* kept) {
  for (std::size_t i = streams_.size(); i-- > 0;) {
    if (streams_[i].get() != kept) Remove(streams_[i].get());
  }
}

void EndpointListWatcher::OnSilent(EndpointListStream&) {
  ++counters.discovery_silent;
  Log("discovery: no answer or a silent stream, calling again; %zu calls are open", streams_.size());
  CallUnlessAwaitingMessage();
  answer_timeout_ = std::min(2 * answer_timeout_, kMaxAnswerTimeout);
}

void EndpointListWatcher::OnEnded(EndpointListStream& stream, EndpointListStream::End end) {
  using End = EndpointListStream::End;
  Remove(&stream);
  if (end == End::kNotApplicable) {  // no failure: the list that was reported is still valid
    ++counters.discovery_retries;
    RemoveAllBut(nullptr);
    return Call();
  }
  if (end == End::kStalled) ++counters.discovery_stalled;
  if (end == End::kOversized) ++counters.discovery_oversized;
  if (end == End::kStalled || end == End::kSilent)
    stall_timeout_ = std::max(stall_timeout_, 2 * stream.stall_timeout());
  ++counters.discovery_disconnects;
  Log("discovery: %s", EndText(end));
  if (IsAwaitingMessage()) return;
  if (!streams_.empty()) return CallAfter(NextAnswerTimeout());  // one of them may still be answered
  if (always_subscribed_) return CallAfter(kReconnectDelay);
  subscribe_pending_ = false;
  ReportChange(EndpointListUpdate::kFailed, {});
}

// --- The endpoint list -----------------------------------------------------------------------------------
void EndpointListWatcher::OnComment(EndpointListStream& stream) {
  RecordActivity(&stream);
  // A slow response may still be under way behind the first comments.
  if (loop_->Now() - stream.dialed_at() >= stall_timeout_) ResetStallTimeout(&stream);
  ReportNoChangeIfPending();  // no event is missing
}

EndpointListStream::Next EndpointListWatcher::OnEvent(EndpointListStream& stream, const std::string& text) {
  using Next = EndpointListStream::Next;
  RecordActivity(&stream);
  ResetStallTimeout(&stream);
  const std::optional<json> event = Parse(text);
  EndpointList::Change change;
  auto result = EndpointList::ApplyResult::kInvalid;
  if (event) result = endpoint_list_.Apply(*event, EndpointList::GapPolicy::kReject, &change);
  if (result == EndpointList::ApplyResult::kStale) return Next::kReadOn;
  if (result != EndpointList::ApplyResult::kApplied) {
    if (ShouldRequestAgain()) return Next::kEnd;
    if (result == EndpointList::ApplyResult::kInvalid) {
      LogSkippedEvent(change);
      return Next::kReadOn;
    }
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
  return Next::kReadOn;
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

// Any message shows that the list is up to date. The other calls stay open until the service has done more
// than to greet: its response may be as slow on this stream as it is on them.
void EndpointListWatcher::RecordActivity(EndpointListStream* stream) {
  events_->OnEndpointListContact();
  if (!stream->IsEstablished()) return;
  if (streams_.size() > 1) {
    Log("discovery: heard on the call of %.1f s ago, closing %zu others",
        static_cast<double>(loop_->Now() - stream->dialed_at()) / kSecond, streams_.size() - 1);
  }
  RemoveAllBut(stream);
  loop_->Cancel(std::exchange(call_timer_, 0));
  answer_timeout_ = kMinAnswerTimeout;
  patience_ = kMinPatience;
}

void EndpointListWatcher::ResetStallTimeout(EndpointListStream* stream) {
  stall_timeout_ = kMinStallTimeout;
  stream->SetStallTimeout(kMinStallTimeout);
}

void EndpointListWatcher::ReportNoChangeIfPending() {
  if (std::exchange(subscribe_pending_, false)) ReportChange(EndpointListUpdate::kDelta, {});
}

}  // namespace cluster_manager
