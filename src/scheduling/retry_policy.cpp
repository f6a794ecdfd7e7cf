#include "scheduling/retry_policy.h"

#include "scheduling/parameters.h"
#include "scheduling/spread_constraint.h"

namespace scheduling::internal {

Time RetryPolicy::AttemptDeadline(const Request& request) const {
  const Time latest = AnswerDeadline(request);
  const bool repeatable = context_.ClassOf(request.task).retry_safety != RetrySafety::kNotIdempotent;
  if (!repeatable || !HasAttemptsLeft(request)) return latest;
  const bool running = context_.settings.accepted_means_running;
  const Time timeout = static_cast<Time>((running ? kStartTimeoutMeans : kTimeoutMeans) * mean_answer_time_);
  if (running) return std::min(latest, context_.now + std::max(timeout, kMinStartTimeout));
  return std::min(latest, context_.now + std::clamp(timeout, kMinTimeout, kMaxTimeout));
}

void RetryPolicy::RecordAnswerTime(Time duration) {
  constexpr double kSmoothing = 16;
  mean_answer_time_ +=
      (static_cast<double>(duration) - mean_answer_time_) / (mean_answer_time_ > 0 ? kSmoothing : 1);
}

bool RetryPolicy::IsExhausted(const Request& request) const {
  const ClassSettings& settings = context_.ClassOf(request.task);
  if (!request.may_have_run || settings.retry_safety == RetrySafety::kIdempotent) return false;
  return settings.retry_safety == RetrySafety::kNotIdempotent ||
         context_.now - request.first_sent_at >= settings.key_ttl;
}

bool RetryPolicy::AllowsNode(const Node& node, const Request& request) const {
  const ClassSettings& settings = context_.ClassOf(request.task);
  if (!request.may_have_run || settings.retry_safety == RetrySafety::kIdempotent) return true;
  if (IsExhausted(request)) return false;
  return InSameDomain(settings.key_scope, view_.Find(request.first_node)->entry, node.entry);
}

bool RetryPolicy::IsSafeAnywhere(const Task& task) const {
  const ClassSettings& settings = context_.ClassOf(task);
  return settings.retry_safety == RetrySafety::kIdempotent ||
         (settings.retry_safety == RetrySafety::kIdempotencyKey &&
          settings.key_scope == FailureDomain::kCluster);
}

bool RetryPolicy::MayReject(const Request& request) const {
  const ClassSettings& settings = context_.ClassOf(request.task);
  if (settings.retry_safety == RetrySafety::kIdempotent) return true;
  if (!request.may_have_run && !request.in_flight) return true;
  return IsSafeAnywhere(request.task) && context_.now - request.first_sent_at < settings.key_ttl;
}

bool RetryPolicy::IsBoundToLostZone(const Request& request) const {
  const ZonePolicy* policy = context_.zone_policy;
  if (policy == nullptr || !request.may_have_run) return false;
  if (!policy->RejectsZoneBoundRequests(request.task.class_index)) return false;
  const ClassSettings& settings = context_.ClassOf(request.task);
  return settings.retry_safety == RetrySafety::kIdempotencyKey &&
         settings.key_scope != FailureDomain::kCluster &&
         policy->IsLost(view_.Find(request.first_node)->entry.zone);
}

}  // namespace scheduling::internal
