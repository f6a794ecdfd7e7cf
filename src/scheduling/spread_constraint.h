// Anti-affinity: limits how many tasks of a service may run in one failure domain. Called by NodeFilter for
// the service selected in ServicePlacements.
#pragma once

#include "scheduling/context.h"
#include "scheduling/node.h"
#include "scheduling/service_placements.h"

namespace scheduling::internal {

// Whether both nodes are in the same failure domain of this kind.
bool InSameDomain(FailureDomain domain, const NodeEntry& first, const NodeEntry& second);

class SpreadConstraint {
 public:
  SpreadConstraint(const Context& context, const ServicePlacements& services)
      : context_(context), services_(services) {}

  // Whether the node's domain stays within the class's limit with one more own task of the service. Tasks of
  // other schedulers are not counted.
  bool Allows(const Node& node, const Task& task) const;

 private:
  const Context& context_;
  const ServicePlacements& services_;
};

}  // namespace scheduling::internal
