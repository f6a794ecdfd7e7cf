#include "completion/unclaimed_completions.h"

#include <algorithm>

namespace cluster_manager {

void UnclaimedCompletions::Add(std::uint32_t node, std::uint64_t task, bool completed, Time now) {
  while (!completions_.empty() &&
         (completions_.size() >= kMaxEntries || now - completions_.front().reported_at >= kRetention)) {
    completions_.pop_front();
  }
  completions_.push_back({task, now, node, completed});
}

UnclaimedCompletions::Outcome UnclaimedCompletions::Claim(std::uint32_t node, std::uint64_t task, Time now) {
  const auto it = std::ranges::find_if(completions_, [&](const Completion& completion) {
    return completion.task == task && completion.node == node && now - completion.reported_at < kRetention;
  });
  if (it == completions_.end()) return Outcome::kUnknown;
  const Outcome outcome = it->completed ? Outcome::kCompleted : Outcome::kAborted;
  completions_.erase(it);
  return outcome;
}

}  // namespace cluster_manager
