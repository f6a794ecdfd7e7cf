#include "dispatch/attempt_history.h"

namespace cluster_manager {

void AttemptHistory::Add(TaskId task, const RecordedAttempts& attempts, Time span) {
  DropExpired(span);
  by_task_[task] = {attempts, span};
  order_.push_back({task, span});
}

std::optional<RecordedAttempts> AttemptHistory::Find(TaskId task, Time span) {
  DropExpired(span);
  const auto it = by_task_.find(task);
  if (it == by_task_.end()) return std::nullopt;
  return it->second.attempts;
}

void AttemptHistory::DropExpired(Time span) {
  while (!order_.empty()) {
    const Position oldest = order_.front();
    if (span - oldest.added_at < kRetention && order_.size() < kMaxEntries) break;
    order_.pop_front();
    const auto it = by_task_.find(oldest.task);
    const bool is_current = it != by_task_.end() && it->second.added_at == oldest.added_at;
    if (is_current) by_task_.erase(it);
  }
  ShrinkIfSparse(&by_task_);
}

}  // namespace cluster_manager
