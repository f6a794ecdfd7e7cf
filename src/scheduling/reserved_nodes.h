// Reserves a node for the largest task of each class, since an even load would leave no node with enough
// capacity for it. Smaller tasks use the reserved capacity only if they fit nowhere else. Owns the size of
// the largest task and the reserved node of each class. Called by NodeFilter, PlacementIndex and
// RequestLifecycle.
#pragma once

#include <cstddef>
#include <vector>

#include "scheduling/capacity_filter.h"
#include "scheduling/cluster_view.h"
#include "scheduling/context.h"

namespace scheduling::internal {

class ReservedNodes {
 public:
  ReservedNodes(const Context& context, const ClusterView& view, const CapacityFilter& capacity)
      : context_(context), view_(view), capacity_(capacity) {}

  // To be called after a change of the settings. `sources` as in UsageEstimator::ResetClasses.
  void ResetClasses(const std::vector<std::size_t>& sources);
  // Whether the task requests more than kLargeTaskFactor times the mean cores or memory.
  bool IsLarge(const Task& task) const;
  // Updates the largest task of the class with an arrived or claimed task.
  void RecordTaskSize(const Task& task);
  // Reserves for each class the node with the most capacity for the class's largest task.
  void Assign();
  // Whether the task is not large and would need capacity that is reserved on the node.
  bool NeedsReservedCapacity(const Node& node, const Task& task) const;

 private:
  struct Reservation {
    Resources largest;     // size of the largest large task of the class; 0: none seen
    bool is_guess = true;  // no task of the class has been seen yet
    NodeId node = 0;
  };

  Reservation InitialReservation(const ClassSettings& settings) const;

  const Context& context_;
  const ClusterView& view_;
  const CapacityFilter& capacity_;
  std::vector<Reservation> classes_;
};

}  // namespace scheduling::internal
