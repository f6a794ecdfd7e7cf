// Requests health checks and handles their results. Ejected nodes are checked when their ejection ends.
// Healthy nodes are checked one after another, and their load reports correct the estimates of their use.
// Owns the time of the next check. Called by Scheduler::Handle.
#pragma once

#include "scheduling/cluster_view.h"
#include "scheduling/context.h"
#include "scheduling/outlier_detector.h"
#include "scheduling/usage_estimator.h"

namespace scheduling::internal {

class HealthCheckScheduler {
 public:
  HealthCheckScheduler(Context& context, ClusterView& view, const UsageEstimator& usage,
                       OutlierDetector& outliers)
      : context_(context), view_(view), usage_(usage), outliers_(outliers) {}

  // Sets the time of the first check. To be called at the first event.
  void Start();
  // Checks ejected nodes whose ejection is over; if health checks are not allowed, ends their ejection.
  void CheckEjectedNodes();
  // Checks the next healthy node if a check is due.
  void CheckNextNode();
  void Handle(const HealthCheckCompleted& event);
  // When CheckNextNode is due; kNever if not before another event.
  Time NextDue() const { return started_ ? next_at_ : kNever; }

 private:
  // Requests a check of the node unless one is pending.
  void StartCheck(Node* node);
  void ApplyReport(Node* node, const LoadReport& report) const;

  Context& context_;
  ClusterView& view_;
  const UsageEstimator& usage_;
  OutlierDetector& outliers_;
  Time next_at_ = 0;
  bool started_ = false;  // the first check has been due; it waits for an event, later ones have a timer
};

}  // namespace scheduling::internal
