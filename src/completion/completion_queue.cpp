#include "completion/completion_queue.h"

#include <algorithm>
#include <tuple>

namespace cluster_manager {
namespace {

using Completion = CompletionQueue::Completion;
using Event = CompletionQueue::Event;
using State = CompletionQueue::State;
using Time = CompletionQueue::Time;

// Whether a sent completion may have reached its time limit, or its acknowledgement has to be recorded.
bool NeedsTimeLimitCheck(const Completion& completion, Time now) {
  return completion.state == State::kAwaitingTimeout ||
         now - completion.sent_at >= CompletionQueue::kCloseDetectionTime;
}

}  // namespace

State CompletionQueue::NextState(State state, Event event) {
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

void CompletionQueue::ApplyEvent(Event event, Completion* completion) {
  const State before = completion->state;
  const State after = NextState(before, event);
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
  ApplyEvent(Event::kEvicted, &it.value());
  completions_.erase(it);
  ++evicted_;
}

Completion CompletionQueue::Add(std::uint64_t task, int message_type, int cause, Time now,
                                ConnectionHandle client_connection) {
  // Bounds the memory while no client is connected. The oldest entry is the least likely to be needed.
  if (completions_.size() >= kMaxEntries && !completions_.contains(task)) EvictOldest();
  const auto [it, inserted] = completions_.try_emplace(task);
  if (inserted || it->second.state != State::kPending) ++pending_;
  Completion fresh;
  fresh.task = task;
  fresh.message_type = message_type;
  fresh.cause = cause;
  fresh.added_at = now;
  fresh.client_connection = client_connection;
  it.value() = fresh;
  return fresh;
}

void CompletionQueue::MarkSent(std::uint64_t task, ConnectionHandle connection, bool confirming, Time now,
                               std::uint64_t stream_position) {
  const auto it = completions_.find(task);
  if (it == completions_.end()) return;
  Completion& completion = it.value();
  ApplyEvent(confirming ? Event::kSentConfirming : Event::kSentUnconfirming, &completion);
  completion.connection = connection;
  completion.sent_at = now;
  completion.acknowledged_at = 0;
  completion.stream_position = stream_position;
}

bool CompletionQueue::MarkConfirmed(std::uint64_t task, ConnectionHandle connection) {
  const auto it = completions_.find(task);
  if (it == completions_.end()) return false;
  Completion& completion = it.value();
  // A late confirmation on the connection that timed out is valid as well.
  if (completion.connection != connection && completion.unresponsive_connection != connection) return false;
  ApplyEvent(Event::kConfirmed, &completion);
  completions_.erase(it);
  return true;
}

std::size_t CompletionQueue::OnConnectionLost(ConnectionHandle connection) {
  std::size_t pending_again = 0;
  for (auto it = completions_.begin(); it != completions_.end(); ++it) {
    Completion& completion = it.value();
    if (completion.connection != connection) continue;
    ApplyEvent(Event::kConnectionLost, &completion);
    ++pending_again;
  }
  return pending_again;
}

void CompletionQueue::CheckTimeLimit(Delivery delivery, Time now, Completion* completion) {
  if (completion->state == State::kAwaitingConfirmation) {
    if (delivery == Delivery::kQueued) completion->sent_at = now;
    if (now - completion->sent_at >= kConfirmationTimeout)
      ApplyEvent(Event::kConfirmationTimeout, completion);
    return;
  }
  if (delivery != Delivery::kAcknowledged) return;
  if (completion->acknowledged_at == 0) completion->acknowledged_at = now;
  if (now - completion->acknowledged_at < kCloseDetectionTime) return;
  ApplyEvent(Event::kAssumedReceived, completion);
  ++assumed_received_;
}

std::size_t CompletionQueue::CheckTimeouts(Time now,
                                           const std::function<Delivery(const Completion&)>& get_delivery) {
  std::size_t pending_again = 0;
  for (auto it = completions_.begin(); it != completions_.end();) {
    Completion& completion = it.value();
    if (now - completion.added_at >= kRetention) {
      ApplyEvent(Event::kExpired, &completion);
      ++expired_;
    } else if (completion.state != State::kPending && NeedsTimeLimitCheck(completion, now)) {
      CheckTimeLimit(get_delivery ? get_delivery(completion) : Delivery::kAcknowledged, now, &completion);
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

std::vector<Completion> CompletionQueue::PendingCompletions() const { return SortedByAge(true); }
std::vector<Completion> CompletionQueue::AllCompletions() const { return SortedByAge(false); }

std::vector<Completion> CompletionQueue::SortedByAge(bool only_pending) const {
  std::vector<Completion> sorted;
  sorted.reserve(only_pending ? pending_ : completions_.size());
  for (const auto& [task, completion] : completions_) {
    if (!only_pending || completion.state == State::kPending) sorted.push_back(completion);
  }
  std::ranges::sort(sorted, {}, [](const Completion& each) { return std::tuple(each.added_at, each.task); });
  return sorted;
}

}  // namespace cluster_manager
