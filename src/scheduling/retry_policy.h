// Decides whether and on which nodes a request may be attempted again, how long an attempt may take and by
// when a request is answered. Owns the mean acceptance time. Called by RequestLifecycle and NodeFilter.
#pragma once

#include <algorithm>

#include "scheduling/cluster_view.h"
#include "scheduling/context.h"
#include "scheduling/request.h"

namespace scheduling::internal {

class RetryPolicy {
 public:
  RetryPolicy(const Context& context, const ClusterView& view) : context_(context), view_(view) {}

  // The latest time at which the request is answered.
  Time AnswerDeadline(const Request& request) const {
    return std::min(request.task.deadline, context_.shutdown_at) - 2 * context_.settings.tick;
  }
  bool HasAttemptsLeft(const Request& request) const {
    return request.attempts < std::min(request.max_attempts, context_.settings.max_attempts);
  }
  // When an attempt that starts now times out. The last attempt, and an attempt that must not be repeated,
  // may take until the answer deadline.
  Time AttemptDeadline(const Request& request) const;
  // Updates the mean acceptance time. `duration`: from the start of an attempt to its acceptance.
  void RecordAcceptanceTime(Time duration);

  // Whether no node may run the task any more, because it may have run.
  bool ForbidsRetry(const Request& request) const;
  // Whether the node may run the task. If the task may have run, only a node that discards the repeat may.
  bool AllowsNode(const Node& node, const Request& request) const;
  // Whether the retry reaches the process that received the first attempt that may have run, which knows the
  // key whichever node it is. Only for classes whose keys are known in a part of the fleet.
  bool ReachesFirstProcess(const Node& node, const Request& request) const;
  // Whether the node of the first attempt is unknown and stays so until no retry is possible any more.
  bool IsFirstNodeLost(const Request& request) const;
  // Whether a retry is safe on any node, whichever node the first attempt went to.
  bool IsSafeOnAnyNode(const Task& task) const;
  // Whether the request may be answered as rejected: no task of it runs, or a further execution is safe.
  bool CanReject(const Request& request) const;
  // Whether repeats can be discarded only in a lost zone, and the zone policy rejects such requests.
  bool IsBoundToLostZone(const Request& request) const;

 private:
  // The node of the first attempt that may have run. Null while it is unknown.
  const Node* FirstNode(const Request& request) const;
  // Whether the request may be sent again, but only in the domain of its first attempt.
  bool IsRestricted(const Request& request) const;

  const Context& context_;
  const ClusterView& view_;
  double mean_acceptance_time_ = 0;  // nanoseconds; 0: none recorded
};

}  // namespace scheduling::internal
