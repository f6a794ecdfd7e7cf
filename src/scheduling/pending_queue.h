// Holds the ids of requests that wait for capacity, and the times by which unanswered requests must be
// answered. The requests themselves are in the request table. Called by RequestLifecycle.
#pragma once

#include <cstddef>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "containers/hash.h"
#include "scheduling/context.h"

namespace scheduling::internal {

class PendingQueue {
 public:
  using Deadline = std::pair<Time, RequestId>;

  explicit PendingQueue(const Context& context) : context_(context) {}

  void Add(RequestId id) { pending_.insert(id); }
  void Remove(RequestId id) { pending_.erase(id); }
  bool Contains(RequestId id) const { return pending_.contains(id); }
  std::size_t size() const { return pending_.size(); }
  template <typename Visit>  // calls visit(id) in unspecified order
  void ForEach(Visit visit) const {
    for (const RequestId id : pending_) visit(id);
  }

  bool IsRetryDue() const { return !pending_.empty() && context_.now >= retry_at_; }
  void ScheduleRetry(Time delay) { retry_at_ = context_.now + delay; }
  // When pending requests are retried next; kNever if there are none.
  Time NextRetry() const { return pending_.empty() ? kNever : retry_at_; }

  void AddDeadline(Time at, RequestId id) { deadlines_.emplace(at, id); }
  void ClearDeadlines() { deadlines_ = {}; }
  bool HasDeadlines() const { return !deadlines_.empty(); }
  const Deadline& FirstDeadline() const { return deadlines_.top(); }
  void PopDeadline() { deadlines_.pop(); }

 private:
  const Context& context_;
  cluster_manager::NumberSet<RequestId> pending_;
  Time retry_at_ = 0;
  // Entries of requests that were answered earlier are dropped when they reach the front.
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines_;
};

}  // namespace scheduling::internal
