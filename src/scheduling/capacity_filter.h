// Checks whether a node has the capacity for a task, by requested resources and by expected use. Reads
// ClusterView and UsageEstimator and has no state. Called by NodeFilter, NodeSelector and ReservedNodes.
#pragma once

#include <algorithm>

#include "scheduling/cluster_view.h"
#include "scheduling/context.h"
#include "scheduling/parameters.h"

namespace scheduling::internal {

class CapacityFilter {
 public:
  CapacityFilter(const Context& context, const ClusterView& view, const UsageEstimator& usage)
      : context_(context), view_(view), usage_(usage) {}

  // Whether the node can run the task at all; true if its capacity is unknown.
  bool Fits(const Node& node, const Task& task) const;
  // Whether the node can run the task without degrading the tasks on it; true if its capacity is unknown.
  bool FitsWell(const Node& node, const Task& task) const;
  // The number of tasks of this shape that the node has capacity for in addition to `taken`, by requested
  // resources. May be fractional or negative.
  double SlotsByRequest(const Node& node, const Resources& shape, const Resources& taken) const {
    const Settings& settings = context_.settings;
    return std::min(
        (view_.Cores(node) * settings.cores_overcommit - node.requested.cores - taken.cores) / shape.cores,
        (view_.Memory(node) * settings.memory_overcommit - node.requested.memory - taken.memory) /
            shape.memory);
  }
  // The same, limited also by expected use.
  double Slots(const Node& node, const Resources& shape, const Resources& taken) const {
    const Resources& used = view_.Use(node);
    return std::min({SlotsByRequest(node, shape, taken),
                     (view_.Cores(node) * kMaxBusyCores - used.cores - taken.cores) / shape.cores,
                     (view_.Memory(node) * kMaxMemoryUse - used.memory - taken.memory) / shape.memory});
  }

 private:
  bool UseFits(const Node& node, const Task& task, double max_busy, double max_memory) const;

  const Context& context_;
  const ClusterView& view_;
  const UsageEstimator& usage_;
};

// The share of busy cores up to which the degradation of the class is acceptable.
inline double AcceptableBusyShare(const ClassSettings& settings) {
  return settings.degradation_start + kAcceptedDegradation * settings.degradation_span;
}

}  // namespace scheduling::internal
