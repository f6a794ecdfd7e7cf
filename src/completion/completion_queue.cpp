#include "completion/completion_queue.h"

#include <algorithm>
#include <tuple>

namespace cluster_manager {
namespace {

using Completion = CompletionQueue::Completion;
using Event = CompletionQueue::Event;
using State = CompletionQueue::State;
using Time = CompletionQueue::Time;

// Whether the next look at a sent completion may find its time limit reached, or has to note that it has been
// acknowledged.
bool NeedsLook(const Completion& completion, Time now) {
  return completion.state == State::kAwaitingTimeout ||
         now - completion.sent_at >= CompletionQueue::kCloseDetectionTime;
}

}  // namespace

State CompletionQueue::Next(State state, Event event) {
  if (state == State::kRemoved) return state;
  switch (event) {
    case Event::kSentConfirming:
      return State::kAwaitingConfirmation;
    case Event::kSentUnconfirming:
      return State::kAwaitingTimeout;
    case Event::kConnectionLost:
      return State::kPending;
    case Event::kConfirmationTimeout:
      return state == State::kAwaitingConfirmation ? State::kPending : state;
    case Event::kAssumedReceived:
      return state == State::kAwaitingTimeout ? State::kRemoved : state;
    case Event::kConfirmed:
    case Event::kExpired:
    case Event::kEvicted:
      return State::kRemoved;
  }
  return state;
}

void CompletionQueue::Apply(Event event, Completion* completion) {
  const State before = completion->state;
  const State after = Next(before, event);
  if (before == State::kPending) --pending_;
  if (after == State::kPending) ++pending_;
  if (before != State::kPending && after == State::kPending) {
    completion->unresponsive_connection = completion->connection;
    completion->connection = 0;
  }
  completion->state = after;
}

void CompletionQueue::EvictOldest() {
  const auto age = [](const auto& entry) { return std::tuple(entry.second.added_at, entry.first); };
  const std::uint64_t oldest = std::ranges::min_element(completions_, {}, age)->first;
  const auto it = completions_.find(oldest);
  Apply(Event::kEvicted, &it.value());
  completions_.erase(it);
  ++evicted_;
}

Completion CompletionQueue::Add(std::uint64_t task, int message_type, int cause, Time now,
                                ConnectionHandle origin_connection) {
  // Bounds the memory while no client is connected. The oldest is the least likely to be wanted.
  if (completions_.size() >= kMaxEntries && !completions_.contains(task)) EvictOldest();
  const auto [it, inserted] = completions_.try_emplace(task);
  if (inserted || it->second.state != State::kPending) ++pending_;
  Completion fresh;
  fresh.task = task;
  fresh.message_type = message_type;
  fresh.cause = cause;
  fresh.added_at = now;
  fresh.origin_connection = origin_connection;
  it.value() = fresh;
  return fresh;
}

void CompletionQueue::MarkSent(std::uint64_t task, ConnectionHandle connection, bool confirming, Time now,
                               std::uint64_t stream_position) {
  const auto it = completions_.find(task);
  if (it == completions_.end()) return;
  Completion& completion = it.value();
  Apply(confirming ? Event::kSentConfirming : Event::kSentUnconfirming, &completion);
  completion.connection = connection;
  completion.sent_at = now;
  completion.acknowledged_at = 0;
  completion.stream_position = stream_position;
}

bool CompletionQueue::MarkConfirmed(std::uint64_t task, ConnectionHandle connection) {
  const auto it = completions_.find(task);
  if (it == completions_.end()) return false;
  Completion& completion = it.value();
  // A late confirmation on the connection that timed out counts as well.
  if (completion.connection != connection && completion.unresponsive_connection != connection) return false;
  Apply(Event::kConfirmed, &completion);
  completions_.erase(it);
  return true;
}

std::size_t CompletionQueue::OnConnectionLost(ConnectionHandle connection) {
  std::size_t pending_again = 0;
  for (auto it = completions_.begin(); it != completions_.end(); ++it) {
    Completion& completion = it.value();
    if (completion.connection != connection) continue;
    Apply(Event::kConnectionLost, &completion);
    ++pending_again;
  }
  return pending_again;
}

void CompletionQueue::CheckTimeLimit(Delivery delivery, Time now, Completion* completion) {
  if (completion->state == State::kAwaitingConfirmation) {
    if (delivery == Delivery::kQueued) completion->sent_at = now;
    if (now - completion->sent_at >= kConfirmationTimeout) Apply(Event::kConfirmationTimeout, completion);
    return;
  }
  if (delivery != Delivery::kAcknowledged) return;
  if (completion->acknowledged_at == 0) completion->acknowledged_at = now;
  if (now - completion->acknowledged_at < kCloseDetectionTime) return;
  Apply(Event::kAssumedReceived, completion);
  ++assumed_received_;
}

std::size_t CompletionQueue::CheckTimeouts(Time now,
                                           const std::function<Delivery(const Completion&)>& delivery_of) {
  std::size_t pending_again = 0;
  for (auto it = completions_.begin(); it != completions_.end();) {
    Completion& completion = it.value();
    if (now - completion.added_at >= kRetention) {
      Apply(Event::kExpired, &completion);
      ++expired_;
    } else if (completion.state != State::kPending && NeedsLook(completion, now)) {
      CheckTimeLimit(delivery_of ? delivery_of(completion) : Delivery::kAcknowledged, now, &completion);
      if (completion.state == State::kPending) ++pending_again;
    }
    if (completion.state == State::kRemoved) {
      it = completions_.erase(it);
    } else {
      ++it;
    }
  }
  if (completions_.empty()) ShrinkIfSparse(&completions_);
  return pending_again;
}

std::vector<Completion> CompletionQueue::Pending() const { return Sorted(true); }
std::vector<Completion> CompletionQueue::All() const { return Sorted(false); }

std::vector<Completion> CompletionQueue::Sorted(bool only_pending) const {
  std::vector<Completion> sorted;
  sorted.reserve(only_pending ? pending_ : completions_.size());
  for (const auto& [task, completion] : completions_) {
    if (!only_pending || completion.state == State::kPending) sorted.push_back(completion);
  }
  std::ranges::sort(sorted, {}, [](const Completion& each) { return std::tuple(each.added_at, each.task); });
  return sorted;
}

}  // namespace cluster_manager
