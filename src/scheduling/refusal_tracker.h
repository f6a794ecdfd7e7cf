// Records the consequences of an attempt that was not accepted, for its node and its request. Called by
// RequestLifecycle.
#pragma once

#include "scheduling/cluster_view.h"
#include "scheduling/context.h"
#include "scheduling/outlier_detector.h"
#include "scheduling/request.h"

namespace scheduling::internal {

class RefusalTracker {
 public:
  RefusalTracker(const Context& context, ClusterView& view, OutlierDetector& outliers)
      : context_(context), view_(view), outliers_(outliers) {}

  // Updates the node and the request by the outcome of the attempt. `request` must still hold the attempt's
  // node and start time.
  void RecordUnacceptedAttempt(Node* node, Request* request, const AttemptEnded& event);

 private:
  void RecordRefusal(Node* node, Request* request, EndReason reason);

  const Context& context_;
  ClusterView& view_;
  OutlierDetector& outliers_;
};

}  // namespace scheduling::internal
