#include "scheduling/spread_constraint.h"

namespace scheduling::internal {

bool InSameDomain(FailureDomain domain, const NodeEntry& first, const NodeEntry& second) {
  if (first.node == second.node || domain == FailureDomain::kCluster) return true;
  if (domain == FailureDomain::kZone) return first.zone == second.zone;
  return domain == FailureDomain::kRack && first.rack == second.rack;
}

bool SpreadConstraint::Allows(const Node& node, const Task& task) const {
  const ClassSettings& settings = context_.ClassOf(task);
  if (settings.spread_domain == FailureDomain::kNone) return true;
  int count = 0;
  for (const SelectedNode& other : services_.selected()) {
    if (InSameDomain(settings.spread_domain, *other.entry, node.entry)) count += other.in_flight;
  }
  return count + 1 <= settings.spread_limit;
}

}  // namespace scheduling::internal
