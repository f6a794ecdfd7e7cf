// Outlier ejection: a node that fails gets no task for a period that grows with each consecutive failure,
// until a health check or task succeeds. Owns the list of ejected nodes; failure counts and times are in the
// node records. Called by HealthCheckScheduler, RefusalTracker, RequestLifecycle and EndpointListUpdater.
#pragma once

#include <vector>

#include "scheduling/cluster_view.h"
#include "scheduling/context.h"

namespace scheduling::internal {

class OutlierDetector {
 public:
  OutlierDetector(Context& context, ClusterView& view) : context_(context), view_(view) {}

  // Ejects the node. Further failures before the end of its ejection are ignored.
  void RecordFailure(Node* node);
  // Resets the consecutive failures and ends the ejection.
  void RecordSuccess(Node* node);
  // In order of the node ids.
  const std::vector<Node*>& ejected() const { return ejected_; }
  // The first end of an ejection after now; kNever if there is none.
  Time NextExpiry() const;
  // To be called before the node is erased.
  void Remove(Node* node) { std::erase(ejected_, node); }

 private:
  Context& context_;
  ClusterView& view_;
  std::vector<Node*> ejected_;
};

}  // namespace scheduling::internal
