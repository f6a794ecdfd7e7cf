// Dialing connections to nodes, and the handling of everything pending on a connection when it is
// established, fails to be established, or is ended by the node.
#include <algorithm>
#include <utility>

#include "net/counters.h"
#include "net/log.h"
#include "nodes/node_connection_pool.h"

namespace cluster_manager {
namespace {

using scheduling::EndReason;
using scheduling::Outcome;

constexpr Time kRedialDelay = 400 * kMs;

}  // namespace

// Null where the address is unknown, the node was removed, no descriptor is left, or all connections are
// being closed.
NodeConnectionPool::NodeConnection* NodeConnectionPool::Dial(NodeId node, NodeRecord* record) {
  loop_->Cancel(std::exchange(record->redial_timer, 0));
  if (closes_all_ || !record->address_known || record->removed) return nullptr;
  if (connections_.size() >= descriptors_.MaxConnections() && !EvictIdleConnection()) {
    ++counters.node_dials_over_limit;
    return nullptr;
  }
  ++counters.node_dials;
  NodeConnection new_connection;
  new_connection.transport = std::make_unique<Connection>(loop_, record->address, this);
  new_connection.node = node;
  new_connection.dialed_at = loop_->Now();
  const Handle handle = connections_.Insert(std::move(new_connection));
  record->connections.push_back(handle);
  NodeConnection* node_connection = connections_.Get(handle);
  node_connection->transport->tag = handle;
  node_connection->timer =
      loop_->After(timeouts_.dial, [this, handle] { DialFailed(handle, CloseReason::kReset); });
  return node_connection;
}

// Dials a node with running tasks; retries later if no descriptor is left.
void NodeConnectionPool::DialOrRetry(NodeId node, NodeRecord* record) {
  if (Dial(node, record) != nullptr) return;
  if (record->address_known && !record->removed) ScheduleRedial(node, record);
}

void NodeConnectionPool::ScheduleRedial(NodeId node, NodeRecord* record) {
  if (record->redial_timer != 0) return;
  record->redial_timer = loop_->After(kRedialDelay, [this, node] {
    NodeRecord& current = nodes_[node];
    current.redial_timer = 0;
    if (NeedsConnection(current) && DialingConnection(current) == nullptr) DialOrRetry(node, &current);
  });
}

// Dials the node if tasks run there or have to be stopped, and it has no connection and no scheduled dial.
void NodeConnectionPool::EnsureConnection(NodeId node, NodeRecord* record) {
  const bool has_none = record->connections.empty() && record->redial_timer == 0;
  if (NeedsConnection(*record) && has_none) DialOrRetry(node, record);
}

void NodeConnectionPool::DialForRepeatedCompletions(NodeId node, Time since) {
  NodeRecord& record = nodes_[node];
  const bool is_dialed = std::ranges::any_of(
      record.connections, [&](Handle handle) { return connections_.Get(handle)->dialed_at >= since; });
  if (is_dialed || !NeedsConnection(record)) return;
  record.connection_wanted_since = since;
  DialOrRetry(node, &record);
}

// To be called where a dial was refused. Whether the dial was only for repeated completions: the node has
// another connection and opens none any more, so it repeats nothing. That it no longer listens is no sign
// that its process has died, which would have reset the other connection.
bool NodeConnectionPool::StopWaitingForRepeatedCompletions(NodeRecord* record) const {
  const bool is_connected = std::ranges::any_of(
      record->connections, [this](Handle handle) { return !connections_.Get(handle)->IsDialing(); });
  return is_connected && std::exchange(record->connection_wanted_since, 0) > 0;
}

void NodeConnectionPool::RemoveConnection(Handle handle) {
  NodeConnection* node_connection = connections_.Get(handle);
  if (node_connection == nullptr) return;
  NodeRecord& record = nodes_[node_connection->node];
  ConfirmPeers(record);
  std::erase(record.connections, handle);
  peers_.Close(node_connection->peer, EventLoop::MonotonicNow());
  loop_->Cancel(node_connection->timer);
  loop_->DestroyLater(std::move(node_connection->transport));
  connections_.Erase(handle);
}

void NodeConnectionPool::OnConnected(Connection& connection) {
  NodeConnection* node_connection = connections_.Get(connection.tag);
  if (node_connection == nullptr) return;
  loop_->Cancel(std::exchange(node_connection->timer, 0));
  NodeRecord& record = nodes_[node_connection->node];
  if (std::exchange(record.incarnation_may_have_ended, false)) ++record.incarnations_ended;
  node_connection->incarnation = record.incarnations_ended;
  node_connection->established_at = loop_->Now();
  node_connection->peer = peers_.Add(node_connection->node, node_connection->established_at,
                                     node_connection->incarnation, EventLoop::MonotonicNow());
  if (node_connection->dialed_at >= record.connection_wanted_since) record.connection_wanted_since = 0;
  node_connection->Apply(ConnectionEvent::kEstablished);
  RecordTraffic(node_connection->node, &record, node_connection);
  for (const QueuedAttempt& queued : std::exchange(node_connection->queued_attempts, {})) {
    SendTaskRequest(&record, node_connection, queued);
  }
  for (HealthCheck& health_check : record.health_checks) {
    const bool is_sent = connections_.Get(health_check.connection) != nullptr;
    if (!is_sent) SendHealthCheck(&health_check, node_connection);
  }
  for (auto& [id, sent_on] : record.stop_requests) {
    const NodeConnection* previous = connections_.Get(sent_on);
    const bool may_be_unread = previous == nullptr || previous->IsSuspect() || previous->IsClosing();
    if (may_be_unread) SendStopRequest(id, &sent_on, node_connection);
  }
}

void NodeConnectionPool::DialFailed(Handle handle, CloseReason ending) {
  NodeConnection* node_connection = connections_.Get(handle);
  if (node_connection == nullptr) return;
  const NodeId node = node_connection->node;
  const Time dialed_at = node_connection->dialed_at;
  const std::vector<QueuedAttempt> undelivered = std::move(node_connection->queued_attempts);
  RemoveConnection(handle);
  NodeRecord* record = &nodes_[node];
  const bool refused = ending == CloseReason::kRefused;
  ++counters.node_dials_failed;
  Log("node %u: dial %s, %zu requests and %zu health checks pending, %zu tasks running", node,
      refused ? "refused" : "failed", undelivered.size(), record->health_checks.size(),
      record->running_tasks.size());
  const bool was_optional = refused && StopWaitingForRepeatedCompletions(record);
  if (!refused) {
    record->failure_detector.RecordUnanswered(dialed_at);
  } else if (!was_optional) {
    record->incarnation_may_have_ended = true;
  }
  const bool dead = !was_optional && DetectProcessDeath(node, record, dialed_at, refused);
  RerouteAttempts(node, record, undelivered);
  FailUnreachable(node);
  if (dead) events_->OnNodeProcessDied(node);
  record = &nodes_[node];
  if (dead) record->stop_requests.clear();
  const bool must_redial =
      record->connections.empty() || (refused && !was_optional) || record->connection_wanted_since > 0;
  if (NeedsConnection(*record) && !record->removed && must_redial) ScheduleRedial(node, record);
}

// Whether a failed dial proves that the node's process has died. A refused dial shows that nothing listens at
// the address, and a dead process is silent on its other connections too. Connections without traffic since
// the dial become suspect: the node may be disconnected from the network, and then requests sent on them
// would go unanswered.
bool NodeConnectionPool::DetectProcessDeath(NodeId node, NodeRecord* record, Time dialed_at, bool refused) {
  failure_detection::FailureDetector& detector = record->failure_detector;
  bool dead = refused && (detector.RecordRefusedDial(dialed_at) || record->running_tasks.empty());
  const bool is_watched = std::ranges::find(leaving_nodes_, node) != leaving_nodes_.end();
  if (detector.is_leaving() && !is_watched) leaving_nodes_.push_back(node);
  for (const Handle handle : record->connections) {
    NodeConnection* other = connections_.Get(handle);
    if (other->IsDialing()) continue;
    const bool was_suspect = other->IsSuspect();
    const bool received_since_dial = other->last_received_at >= dialed_at;
    if (refused && detector.is_leaving() && !received_since_dial && !was_suspect) {
      // A leaving node may stop listening before its process ends: check on an established connection.
      dead = false;
      if (other->transport->up()) CheckProcessLiveness(node, record, other);
      continue;
    }
    if (!received_since_dial) other->Apply(ConnectionEvent::kUnanswered);
    if (received_since_dial || !was_suspect) dead = false;
  }
  return dead;
}

// Sends the attempts that were queued on a failed dial on another connection, or reports them as not sent.
void NodeConnectionPool::RerouteAttempts(NodeId node, NodeRecord* record,
                                         const std::vector<QueuedAttempt>& undelivered) {
  std::vector<QueuedAttempt> unsent;
  for (const QueuedAttempt& queued : undelivered) {
    NodeConnection* other = BestConnection(*record);
    if (other != nullptr && !other->IsSuspect()) {
      SendTaskRequest(record, other, queued);
    } else {
      unsent.push_back(queued);
    }
  }
  for (const QueuedAttempt& queued : unsent) ReportNoConnection(node, queued);
}

// Reports the attempts and health checks that have no connection to be sent on as not sent.
void NodeConnectionPool::FailUnreachable(NodeId node) {
  NodeRecord& record = nodes_[node];
  const std::vector<QueuedAttempt> attempts = std::exchange(record.unreachable_attempts, {});
  std::vector<TaskId> health_checks;
  if (DialingConnection(record) == nullptr) {
    for (const HealthCheck& health_check : record.health_checks) {
      if (health_check.connection == 0) health_checks.push_back(health_check.id);
    }
  }
  for (const QueuedAttempt& queued : attempts) ReportNoConnection(node, queued);
  for (const TaskId id : health_checks) FinishHealthCheck(node, id, Outcome::kNoConnection, {});
}

void NodeConnectionPool::ReportNoConnection(NodeId node, const QueuedAttempt& queued) {
  ++counters.attempts_no_connection;
  events_->OnAttemptEnded(node, queued.id, queued.attempt,
                          {Outcome::kNoConnection, Outcome::kAborted, EndReason::kUnspecified, {}});
}

void NodeConnectionPool::OnClosed(Connection& connection, CloseReason ending) {
  const Handle handle = connection.tag;
  const NodeConnection* node_connection = connections_.Get(handle);
  if (node_connection == nullptr) return;
  if (node_connection->IsDialing()) {
    DialFailed(handle, ending);
    return;
  }
  if (node_connection->IsClosing()) {
    RemoveConnection(handle);
    return;
  }
  const NodeId node = node_connection->node;
  const bool reset = ending == CloseReason::kReset;
  if (reset) ++counters.node_resets;
  RemoveConnection(handle);
  NodeRecord* record = &nodes_[node];
  if (reset) record->incarnation_may_have_ended = true;
  const auto unanswered = RemoveSentAttempts(record, handle);
  if (reset || !unanswered.empty()) {
    Log("node %u: connection %s, %zu requests unanswered on it, %zu tasks running", node,
        reset ? "reset" : "closed", unanswered.size(), record->running_tasks.size());
  }
  for (const auto& [id, attempt] : unanswered) {
    ++counters.attempts_reset;
    events_->OnAttemptEnded(node, id, attempt,
                            {Outcome::kAborted, Outcome::kAborted, EndReason::kUnspecified, {}});
  }
  record = &nodes_[node];
  const bool must_resend = MarkForResend(record, handle);
  // A reset may mean that the process died; another dial shows whether it did.
  const bool must_dial = NeedsConnection(*record) && (reset || record->connections.empty());
  if ((must_dial || must_resend) && DialingConnection(*record) == nullptr) {
    if (Dial(node, record) == nullptr) FailUnreachable(node);
  }
}

// Removes the attempts sent on a connection and returns them, sorted.
std::vector<std::pair<TaskId, AttemptId>> NodeConnectionPool::RemoveSentAttempts(NodeRecord* record,
                                                                                 Handle handle) {
  std::vector<std::pair<TaskId, AttemptId>> removed;
  for (const auto& [id, sent] : record->sent_attempts) {
    if (sent.connection == handle) removed.emplace_back(id, sent.attempt);
  }
  std::ranges::sort(removed);  // hash tables have no defined order
  for (const auto& [id, attempt] : removed) record->sent_attempts.erase(id);
  return removed;
}

// Marks the health checks and stop requests sent on a connection as not sent, so that they are sent on
// another. False if there were none.
bool NodeConnectionPool::MarkForResend(NodeRecord* record, Handle handle) {
  bool any = false;
  for (HealthCheck& health_check : record->health_checks) {
    if (health_check.connection != handle) continue;
    health_check.connection = 0;
    any = true;
  }
  for (auto& [id, sent_on] : record->stop_requests) {
    if (sent_on != handle) continue;
    sent_on = 0;
    any = true;
  }
  return any;
}

}  // namespace cluster_manager
