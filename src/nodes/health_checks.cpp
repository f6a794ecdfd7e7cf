// Health checks, suspect connections, and nodes that are leaving and may have stopped without a sign.
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
  if (HasHealthCheck(nodes_[node], HealthCheckPurpose::kSiteReachability)) return;
  ++counters.zone_reachability_checks;
  CheckHealth(node, HealthCheckPurpose::kSiteReachability);
}

// Sends a health check on a responsive connection; else on the next one that is established.
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
  // The plan for lost sites asks many nodes at once and must not wait as long as for a single node.
  const bool is_short = purpose == HealthCheckPurpose::kSiteReachability;
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
    Log("node %u: a health check went unanswered", node);
    record.failure_detector.RecordUnanswered(finished.asked);
    Suspect(node, finished.connection, finished.asked);
  }
  const Time took = loop_->Now() - finished.asked;
  switch (finished.purpose) {
    case HealthCheckPurpose::kScheduler:
      events_->OnHealthCheckResult(node, outcome, took, report);
      break;
    case HealthCheckPurpose::kSiteReachability:
      events_->OnReachabilityResult(node, outcome, took);
      break;
    case HealthCheckPurpose::kProcessLiveness:
      break;  // its outcome counts for the failure detector only
  }
}

void NodeConnectionPool::CheckProcessLiveness(NodeId node, NodeRecord* record,
                                              NodeConnection* node_connection) {
  if (HasHealthCheck(*record, HealthCheckPurpose::kProcessLiveness)) return;
  ++counters.liveness_checks;
  record->failure_detector.RecordProbe(loop_->Now());
  SendHealthCheck(StartHealthCheck(node, record, HealthCheckPurpose::kProcessLiveness), node_connection);
}

// Runs periodically. A leaving node may be switched off without a sign, and the endpoint list tells that
// late: where tasks run on it, it is probed until it is heard, removed, or silent for too long.
void NodeConnectionPool::CheckLeavingNodes() {
  const Time now = loop_->Now();
  std::vector<NodeId> to_probe;
  std::vector<NodeId> stopped;
  std::erase_if(leaving_nodes_, [&](NodeId node) {
    const auto it = nodes_.find(node);
    if (it == nodes_.end() || !it->second.failure_detector.is_leaving()) return true;
    const NodeRecord& record = it->second;
    if (record.running_tasks.empty()) return false;
    if (record.failure_detector.IsPresumedStopped(now)) {
      stopped.push_back(node);
    } else if (record.failure_detector.ShouldProbe(now)) {
      to_probe.push_back(node);
    }
    return false;
  });
  for (const NodeId node : to_probe) ProbeLeavingNode(node, now);
  for (const NodeId node : stopped) events_->OnNodePresumedStopped(node);
  loop_->After(kLeavingCheckInterval, [this] { CheckLeavingNodes(); });
}

// A health check on a responsive connection, else a dial.
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

// Something sent at `since` went unanswered. Where nothing was received on that connection since, it may be
// broken without a reset: another one is dialed, and what the node could not deliver arrives there.
void NodeConnectionPool::Suspect(NodeId node, Handle handle, Time since) {
  NodeConnection* node_connection = connections_.Get(handle);
  if (node_connection == nullptr || node_connection->last_heard >= since) return;
  node_connection->Apply(ConnectionEvent::kUnanswered);
  NodeRecord& record = nodes_[node];
  const NodeConnection* best = BestConnection(record);
  const bool has_responsive = best != nullptr && !best->IsSuspect();
  const bool is_dialing = DialingConnection(record) != nullptr || record.redial_timer != 0;
  if (!has_responsive && !is_dialing) Dial(node, &record);
}

}  // namespace cluster_manager
