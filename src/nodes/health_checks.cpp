// Health checks, suspect connections, and the probing of leaving nodes, whose processes may stop without
// closing their connections.
#include <algorithm>
#include <utility>

#include "net/counters.h"
#include "net/log.h"
#include "nodes/node_connection_pool.h"

namespace cluster_manager {
namespace {

using protocol::Cause;
using protocol::Type;
using protocol::Writer;
using scheduling::LoadReport;
using scheduling::Outcome;

constexpr Time kLeavingCheckInterval = 100 * kMs;

}  // namespace

bool NodeConnectionPool::HasHealthCheck(const NodeRecord& record, HealthCheckPurpose purpose) {
  return std::ranges::find(record.health_checks, purpose, &HealthCheck::purpose) !=
         record.health_checks.end();
}

void NodeConnectionPool::CheckReachability(NodeId node) {
  if (HasHealthCheck(nodes_[node], HealthCheckPurpose::kZoneReachability)) return;
  ++counters.zone_reachability_checks;
  CheckHealth(node, HealthCheckPurpose::kZoneReachability);
}

// Sends a health check on a responsive connection, otherwise on the next one to be established.
void NodeConnectionPool::CheckHealth(NodeId node, HealthCheckPurpose purpose) {
  NodeRecord& record = nodes_[node];
  HealthCheck* health_check = StartHealthCheck(node, &record, purpose);
  NodeConnection* best = BestConnection(record);
  if (best != nullptr && !best->IsSuspect()) {
    SendHealthCheck(health_check, best);
  } else if (DialingConnection(record) == nullptr && Dial(node, &record) == nullptr) {
    loop_->After(0, [this, node] { FailUnreachable(node); });
  }
}

NodeConnectionPool::HealthCheck* NodeConnectionPool::StartHealthCheck(NodeId node, NodeRecord* record,
                                                                      HealthCheckPurpose purpose) {
  const TaskId id = next_health_check_id_ += 2;
  // Zone failover checks many nodes at once and has to conclude sooner than a check of a single node.
  const bool is_short = purpose == HealthCheckPurpose::kZoneReachability;
  const Time timeout = is_short ? timeouts_.dial : 2 * timeouts_.dial;
  const Handle timer =
      loop_->After(timeout, [this, node, id] { FinishHealthCheck(node, id, Outcome::kTimedOut, {}); });
  return &record->health_checks.emplace_back(HealthCheck{id, loop_->Now(), timer, 0, purpose});
}

void NodeConnectionPool::SendHealthCheck(HealthCheck* health_check, NodeConnection* node_connection) {
  ++counters.health_checks_sent;
  health_check->connection = node_connection->transport->tag;
  Writer(node_connection->transport->write_queue(), Type::kHealthCheck, health_check->id)
      .Add(Cause::kHealthCheckPassed);
}

void NodeConnectionPool::FinishHealthCheck(NodeId node, TaskId id, Outcome outcome, LoadReport report) {
  NodeRecord& record = nodes_[node];
  const auto pending = std::ranges::find(record.health_checks, id, &HealthCheck::id);
  if (pending == record.health_checks.end()) return;
  const HealthCheck finished = *pending;
  record.health_checks.erase(pending);
  loop_->Cancel(finished.timer);
  if (outcome == Outcome::kTimedOut) {
    Log("node %u: health check timed out", node);
    record.failure_detector.RecordUnanswered(finished.requested_at);
    SuspectConnection(node, finished.connection, finished.requested_at);
  }
  const Time duration = loop_->Now() - finished.requested_at;
  switch (finished.purpose) {
    case HealthCheckPurpose::kScheduler:
      events_->OnHealthCheckResult(node, outcome, duration, report);
      break;
    case HealthCheckPurpose::kZoneReachability:
      events_->OnReachabilityResult(node, outcome, duration);
      break;
    case HealthCheckPurpose::kProcessLiveness:
      break;  // used by the failure detector only
  }
}

void NodeConnectionPool::CheckProcessLiveness(NodeId node, NodeRecord* record,
                                              NodeConnection* node_connection) {
  if (HasHealthCheck(*record, HealthCheckPurpose::kProcessLiveness)) return;
  ++counters.liveness_checks;
  record->failure_detector.RecordProbe(loop_->Now());
  SendHealthCheck(StartHealthCheck(node, record, HealthCheckPurpose::kProcessLiveness), node_connection);
}

// Runs periodically. A leaving node may be switched off without closing its connections, and the endpoint
// list may show that late. While tasks run on it, it is probed until it answers, is removed from the list, or
// has been silent long enough to be presumed stopped.
void NodeConnectionPool::CheckLeavingNodes() {
  const Time now = loop_->Now();
  std::vector<NodeId> to_probe;
  std::vector<NodeId> presumed_stopped;
  std::erase_if(leaving_nodes_, [&](NodeId node) {
    const auto it = nodes_.find(node);
    if (it == nodes_.end() || !it->second.failure_detector.is_leaving()) return true;
    const NodeRecord& record = it->second;
    if (record.running_tasks.empty()) return false;
    if (record.failure_detector.IsPresumedStopped(now)) {
      presumed_stopped.push_back(node);
    } else if (record.failure_detector.ShouldProbe(now)) {
      to_probe.push_back(node);
    }
    return false;
  });
  for (const NodeId node : to_probe) ProbeLeavingNode(node, now);
  for (const NodeId node : presumed_stopped) events_->OnNodePresumedStopped(node);
  loop_->After(kLeavingCheckInterval, [this] { CheckLeavingNodes(); });
}

// Sends a health check on a responsive connection, or dials if there is none.
void NodeConnectionPool::ProbeLeavingNode(NodeId node, Time now) {
  NodeRecord& record = nodes_[node];
  NodeConnection* best = BestConnection(record);
  if (best != nullptr && !best->IsSuspect()) {
    CheckProcessLiveness(node, &record, best);
  } else if (DialingConnection(record) == nullptr) {
    record.failure_detector.RecordProbe(now);
    Dial(node, &record);
  }
}

Time NodeConnectionPool::GracePeriodEnd(NodeId node) {
  return nodes_[node].failure_detector.GracePeriodEnd(loop_->Now());
}

// To be called when something sent on a connection at `since` went unanswered. If nothing has been received
// on it since then, it may be broken without a reset. It becomes suspect and another one is dialed, on which
// the node can deliver its pending messages.
void NodeConnectionPool::SuspectConnection(NodeId node, Handle handle, Time since) {
  NodeConnection* node_connection = connections_.Get(handle);
  if (node_connection == nullptr || node_connection->last_received_at >= since) return;
  node_connection->Apply(ConnectionEvent::kUnanswered);
  NodeRecord& record = nodes_[node];
  const NodeConnection* best = BestConnection(record);
  const bool has_responsive = best != nullptr && !best->IsSuspect();
  const bool is_dialing = DialingConnection(record) != nullptr || record.redial_timer != 0;
  if (!has_responsive && !is_dialing) Dial(node, &record);
}

}  // namespace cluster_manager
