#include "scheduling/retry_policy.h"

#include <optional>

#include "scheduling/parameters.h"
#include "scheduling/spread_constraint.h"

namespace scheduling::internal {

Time RetryPolicy::AttemptDeadline(const Request& request) const {
  const Time latest = AnswerDeadline(request);
  const bool repeatable = context_.ClassSettingsFor(request.task).retry_safety != RetrySafety::kNotIdempotent;
  if (!repeatable || !HasAttemptsLeft(request)) return latest;
  const bool running = context_.settings.accepted_means_running;
  const Time timeout =
      static_cast<Time>((running ? kStartTimeoutFactor : kTimeoutFactor) * mean_acceptance_time_);
  if (running) return std::min(latest, context_.now + std::max(timeout, kMinStartTimeout));
  return std::min(latest, context_.now + std::clamp(timeout, kMinTimeout, kMaxTimeout));
}

void RetryPolicy::RecordAcceptanceTime(Time duration) {
  constexpr double kSmoothing = 16;
  mean_acceptance_time_ +=
      (static_cast<double>(duration) - mean_acceptance_time_) / (mean_acceptance_time_ > 0 ? kSmoothing : 1);
}

bool RetryPolicy::ForbidsRetry(const Request& request) const {
  const ClassSettings& settings = context_.ClassSettingsFor(request.task);
  if (!request.may_have_run || settings.retry_safety == RetrySafety::kIdempotent) return false;
  return settings.retry_safety == RetrySafety::kNotIdempotent ||
         context_.now - request.first_sent_at >= settings.key_ttl;
}

bool RetryPolicy::AllowsNode(const Node& node, const Request& request) const {
  const ClassSettings& settings = context_.ClassSettingsFor(request.task);
  if (!request.may_have_run || settings.retry_safety == RetrySafety::kIdempotent) return true;
  if (ForbidsRetry(request)) return false;
  if (!IsRestricted(request)) return true;
  if (ReachesFirstProcess(node, request)) return true;
  const Node* first = FirstNode(request);
  if (first == nullptr || !InSameDomain(settings.key_scope, first->entry, node.entry)) return false;
  NodeIdentities* identities = context_.node_identities;
  return identities == nullptr || identities->ReachesConfirmedProcess(request.task.id, node.entry.node);
}

bool RetryPolicy::ReachesFirstProcess(const Node& node, const Request& request) const {
  NodeIdentities* identities = context_.node_identities;
  return identities != nullptr && IsRestricted(request) &&
         identities->ReachesFirstProcess(request.task.id, node.entry.node);
}

bool RetryPolicy::IsFirstNodeLost(const Request& request) const {
  NodeIdentities* identities = context_.node_identities;
  if (identities == nullptr || !IsRestricted(request)) return false;
  const Time key_expiry = request.first_sent_at + context_.ClassSettingsFor(request.task).key_ttl;
  const Time until = std::min(AnswerDeadline(request), key_expiry);
  return !identities->IsFirstProcessUsableBy(request.task.id, until);
}

const Node* RetryPolicy::FirstNode(const Request& request) const {
  NodeIdentities* identities = context_.node_identities;
  if (identities == nullptr) return view_.Find(request.first_node);
  const std::optional<NodeId> node = identities->FirstNode(request.task.id);
  return node ? view_.Find(*node) : nullptr;
}

bool RetryPolicy::IsRestricted(const Request& request) const {
  const ClassSettings& settings = context_.ClassSettingsFor(request.task);
  return request.may_have_run && settings.retry_safety == RetrySafety::kIdempotencyKey &&
         settings.key_scope != FailureDomain::kCluster;
}

bool RetryPolicy::IsSafeOnAnyNode(const Task& task) const {
  const ClassSettings& settings = context_.ClassSettingsFor(task);
  return settings.retry_safety == RetrySafety::kIdempotent ||
         (settings.retry_safety == RetrySafety::kIdempotencyKey &&
          settings.key_scope == FailureDomain::kCluster);
}

bool RetryPolicy::CanReject(const Request& request) const {
  const ClassSettings& settings = context_.ClassSettingsFor(request.task);
  if (settings.retry_safety == RetrySafety::kIdempotent) return true;
  if (!request.may_have_run && !request.in_flight) return true;
  return IsSafeOnAnyNode(request.task) && context_.now - request.first_sent_at < settings.key_ttl;
}

bool RetryPolicy::IsBoundToLostZone(const Request& request) const {
  const ZonePolicy* policy = context_.zone_policy;
  if (policy == nullptr || !request.may_have_run) return false;
  if (!policy->RejectsZoneBoundRequests(request.task.class_index)) return false;
  const ClassSettings& settings = context_.ClassSettingsFor(request.task);
  return settings.retry_safety == RetrySafety::kIdempotencyKey &&
         settings.key_scope != FailureDomain::kCluster && FirstNode(request) != nullptr &&
         policy->IsLost(FirstNode(request)->entry.zone);
}

}  // namespace scheduling::internal
