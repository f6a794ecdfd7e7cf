#include "scheduling/node_filter.h"

#include <algorithm>

namespace scheduling::internal {

bool NodeFilter::Allows(Node* node, const Request& request) {
  ++examined_;
  if (!node->IsReady()) return false;
  const ClassSettings& settings = context_.ClassSettingsFor(request.task);
  ZonePolicy* policy = context_.zone_policy;
  const bool unsafe = settings.retry_safety == RetrySafety::kNotIdempotent;
  if (policy != nullptr && !policy->AllowsPlacement(node->entry.zone, unsafe)) return false;
  if (settings.required_node_kind >= 0 && settings.required_node_kind != node->entry.kind) return false;
  if (node->consecutive_failures > 0) return false;
  if (node->Rejects(request.task, context_.now)) return false;
  if (HasFailedOn(*node, request) && !retry_.ReachesFirstProcess(*node, request)) return false;
  return slow_start_.Allows(node) && spread_.Allows(*node, request.task) &&
         retry_.AllowsNode(*node, request) && capacity_.Fits(*node, request.task);
}

bool NodeFilter::HasFailedOn(const Node& node, const Request& request) {
  return std::ranges::find(request.failed_on, node.entry.node) != request.failed_on.end();
}

bool NodeFilter::Prefers(const Node& node, const Request& request) const {
  return !HasFailedOn(node, request) && node.degraded_until <= context_.now &&
         capacity_.FitsWell(node, request.task) && !reserved_.NeedsReservedCapacity(node, request.task);
}

}  // namespace scheduling::internal
