// Applies endpoint list events to the view and erases nodes that are no longer needed. Has no state. Called
// by Scheduler::Handle.
#pragma once

#include "scheduling/cluster_view.h"
#include "scheduling/context.h"
#include "scheduling/endpoint_list_watch.h"
#include "scheduling/outlier_detector.h"
#include "scheduling/placement_index.h"
#include "scheduling/request.h"
#include "scheduling/service_placements.h"
#include "scheduling/slow_start_limiter.h"

namespace scheduling::internal {

class EndpointListUpdater {
 public:
  // The components that an endpoint list event changes. All must outlive the updater.
  struct Components {
    EndpointListWatch& watch;
    ClusterView& view;
    const SlowStartLimiter& slow_start;
    OutlierDetector& outliers;
    PlacementIndex& index;
    ServicePlacements& services;
    RequestTable& requests;
  };

  EndpointListUpdater(const Context& context, const Components& components)
      : context_(context), components_(components) {}

  // Applies the list to all components, or records its failure.
  void Handle(const EndpointListChanged& event);

 private:
  void MarkAllUnlisted();
  void ApplyEntry(const NodeEntry& entry, EndpointListUpdate kind);
  void ResetForNewIncarnation(Node* node, Time started_at);
  void EraseUnusedNodes();

  const Context& context_;
  const Components components_;
};

}  // namespace scheduling::internal
