// The lifecycle of a request: it is placed, is pending while no node has capacity, is attempted on another
// node if that is safe, and is answered exactly once before its deadline. Owns no table but is the only
// writer of the request table. Called by Scheduler::Handle.
#pragma once

#include <cstdint>
#include <vector>

#include "scheduling/cluster_view.h"
#include "scheduling/contention_estimator.h"
#include "scheduling/context.h"
#include "scheduling/node_selector.h"
#include "scheduling/outlier_detector.h"
#include "scheduling/pending_queue.h"
#include "scheduling/refusal_tracker.h"
#include "scheduling/request.h"
#include "scheduling/reserved_nodes.h"
#include "scheduling/retry_policy.h"
#include "scheduling/service_placements.h"
#include "scheduling/slow_start_limiter.h"
#include "scheduling/tenant_quota.h"
#include "scheduling/usage_estimator.h"

namespace scheduling::internal {

class RequestLifecycle {
 public:
  // The components involved in handling a request. All must outlive the lifecycle.
  struct Components {
    RequestTable& requests;
    ClusterView& view;
    UsageEstimator& usage;
    ServicePlacements& services;
    const SlowStartLimiter& slow_start;
    ReservedNodes& reserved;
    TenantQuota& quota;
    RetryPolicy& retry;
    OutlierDetector& outliers;
    RefusalTracker& refusals;
    ContentionEstimator& contention;
    PendingQueue& pending;
    NodeSelector& selector;
  };

  RequestLifecycle(Context& context, const Components& components)
      : context_(context), components_(components) {}

  void Handle(const TaskArrived& event);
  void Handle(const TaskClaimed& event);
  void Handle(const TaskAccepted& event);
  void Handle(const AttemptEnded& event);
  // Accounts requests and sends to the node whose process they went to.
  void Handle(const NodeReplaced& event);
  void Handle(const RequestCancelled& event);
  void Handle(const TaskReported& event);
  // Cancels attempts in a lost zone that can safely be repeated on any node.
  void Handle(const ZonePolicyChanged& event);

  // Recomputes the answer deadlines and makes pending requests due for retry. To be called after a change of
  // the settings or of the time of shutdown.
  void RebuildDeadlines();
  // Answers the requests whose answer deadline has been reached.
  void AnswerDueRequests();
  // Retries pending requests if a retry is due, in order of decreasing value.
  void RetryPending();

 private:
  struct PendingRequest {
    double value = 0;
    Time deadline = 0;
    RequestId id = 0;
    bool operator<(const PendingRequest& other) const;
  };

  // Starts an attempt if a node can take the task, queues the request if none can, and answers it if no
  // further attempt is allowed. May erase the request.
  void Place(Request* request);
  void StartAttemptOn(Node* node, Request* request);
  static void ApplyEarlierAttempts(const EarlierAttempts& earlier, Request* request);
  void MoveToNode(Node* node, Request* request);
  // Sends the final answer, rejection or failure, of a request that was not accepted; does nothing if the
  // request was answered already. May erase the request.
  void SendFinalAnswer(Request* request);
  bool CanAttempt(const Request& request) const;
  // Whether the request has had no attempt and the zone policy does not admit it now.
  bool IsShed(const Request& request) const;
  // Value of a second of the task: its priority weight, adjusted if the tenant is over its quota.
  double Value(const Request& request) const;
  bool AwaitsAnswer(RequestId id) const;
  void RecordTaskEnd(Node* node, const Request& request, const AttemptEnded& event);

  Context& context_;
  const Components components_;
  // State of the current RetryPending call; members to reuse their memory.
  std::vector<PendingRequest> retry_order_;
  std::vector<std::uint64_t> unplaceable_services_;
};

}  // namespace scheduling::internal
