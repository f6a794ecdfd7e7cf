#include "scheduling/refusal_tracker.h"

#include <algorithm>

#include "scheduling/parameters.h"

namespace scheduling::internal {

void RefusalTracker::RecordUnacceptedAttempt(Node* node, Request* request, const AttemptEnded& event) {
  switch (event.outcome) {
    case Outcome::kRefused:
      RecordRefusal(node, request, event.reason);
      break;
    case Outcome::kNoConnection:
      outliers_.RecordFailure(node);
      break;
    case Outcome::kTimedOut:
    case Outcome::kAborted:
      // A node that has accepted another task since the attempt started is responsive; only this attempt was
      // lost.
      if (node->accepted_at <= request->sent_at) outliers_.RecordFailure(node);
      [[fallthrough]];
    case Outcome::kError:
    case Outcome::kCancelled:
      request->failed_on.push_back(request->node);
      request->may_have_run = true;
      break;
    default:
      break;
  }
}

void RefusalTracker::RecordRefusal(Node* node, Request* request, EndReason reason) {
  outliers_.RecordSuccess(node);
  const Task& task = request->task;
  if (reason == EndReason::kUnspecified) {  // assumed to be a limit on this class of the tenant
    const auto is_expired = [this](const RejectedClass& rejected) { return rejected.until <= context_.now; };
    std::erase_if(node->rejected_classes, is_expired);
    node->rejected_classes.push_back({task.class_index, task.tenant, context_.now + kRejectedClassBackoff});
    return;
  }
  node->last_refused_at = context_.now;
  Resources& refused = node->smallest_refused;
  if (reason == EndReason::kNoCores) refused.cores = std::min(refused.cores, task.cores);
  if (reason == EndReason::kNoMemory) refused.memory = std::min(refused.memory, task.memory);
  if (reason == EndReason::kNotAcceptedHere || reason == EndReason::kQueueFull) {
    request->failed_on.push_back(request->node);
  }
  view_.MarkChanged(node);
}

}  // namespace scheduling::internal
