// Closing connections to nodes: idle ones, those whose descriptor is needed, and all of them at the end of
// the process.
#include <utility>

#include "net/counters.h"
#include "nodes/node_connection_pool.h"

namespace cluster_manager {
namespace {

// How long a closed connection is still read. A working node closes its side at once.
constexpr Time kCloseTimeout = kSecond;
// For the close of a connection that has been idle for the keepalive time to arrive. Where none does, the
// node has forgotten the connection.
constexpr Time kIdleCloseGrace = 500 * kMs;
constexpr Time kExpiryCheckInterval = 500 * kMs;

}  // namespace

bool NodeConnectionPool::IsInUse(const NodeRecord& record, const NodeConnection& node_connection) const {
  const Handle handle = node_connection.transport->tag;
  const bool has_health_check =
      std::ranges::find(record.health_checks, handle, &HealthCheck::connection) != record.health_checks.end();
  return node_connection.IsDialing() || node_connection.unanswered_attempts > 0 || has_health_check ||
         handle == reading_connection_;
}

// Closes the unused connection that has been idle for longest. Connections to nodes with running tasks are
// closed only where there is no other candidate; the node reports a task end that is missed by this again on
// the next connection. False if all connections are in use.
bool NodeConnectionPool::EvictIdleConnection() {
  Handle victim = 0;
  std::pair<bool, Time> victim_rank;
  connections_.ForEach([&](Handle handle, const NodeConnection& node_connection) {
    const NodeRecord& record = nodes_[node_connection.node];
    if (IsInUse(record, node_connection)) return;
    const std::pair rank(NeedsConnection(record), node_connection.transport->last_traffic);
    if (victim != 0 && rank >= victim_rank) return;
    victim = handle;
    victim_rank = rank;
  });
  if (victim == 0) return false;
  ++counters.node_connections_evicted;
  const NodeId node = connections_.Get(victim)->node;
  RemoveConnection(victim);
  NodeRecord& record = nodes_[node];
  if (NeedsConnection(record) && record.connections.empty()) ScheduleRedial(node, &record);
  return true;
}

// Closes connections that must not be written to any more and have nothing pending.
void NodeConnectionPool::CloseUnusable(NodeRecord* record) {
  for (const Handle handle : std::vector<Handle>(record->connections)) {
    const NodeConnection* node_connection = connections_.Get(handle);
    if (!IsInUse(*record, *node_connection) && !IsUsable(*node_connection)) RemoveConnection(handle);
  }
}

// Closes this side of a connection. The node may have sent messages before it learns of that, the completion
// of a task among them, so the connection is read until the node closes its side as well.
void NodeConnectionPool::CloseGracefully(Handle handle) {
  NodeConnection* node_connection = connections_.Get(handle);
  if (node_connection == nullptr || node_connection->IsClosing()) return;
  if (node_connection->IsDialing()) {
    RemoveConnection(handle);
    return;
  }
  NodeRecord& record = nodes_[node_connection->node];
  ConfirmPeers(record);
  std::erase(record.connections, handle);
  node_connection->Apply(ConnectionEvent::kClosedByThisSide);
  loop_->Cancel(node_connection->timer);
  node_connection->timer = loop_->After(kCloseTimeout, [this, handle] { RemoveConnection(handle); });
  node_connection->transport->ShutdownAfterFlush(Connection::InputMode::kContinueReading);
}

// Whether the node would have closed the connection by now because it is idle. Bytes or an end that have
// arrived and were not read yet are handled first.
bool NodeConnectionPool::IsExpired(const NodeConnection& node_connection, Time now) {
  const Connection& connection = *node_connection.transport;
  if (now - connection.last_traffic < timeouts_.keepalive + kIdleCloseGrace) return false;
  if (node_connection.IsClosing() || IsInUse(nodes_[node_connection.node], node_connection)) return false;
  return connection.PeekInput() == InputState::kNone;
}

// Runs periodically. A node may forget an idle connection without closing it: no completion arrives on it any
// more, and what is written on it is answered by a reset. Where tasks run, another connection is dialed, on
// which the node repeats the completions that it could not deliver.
void NodeConnectionPool::CloseExpiredConnections() {
  const Time now = loop_->Now();
  std::vector<Handle> expired;
  connections_.ForEach([&](Handle handle, const NodeConnection& node_connection) {
    if (IsExpired(node_connection, now)) expired.push_back(handle);
  });
  for (const Handle handle : expired) {
    const NodeConnection* node_connection = connections_.Get(handle);
    if (node_connection == nullptr) continue;  // evicted by the dial for an earlier one
    ++counters.node_connections_expired;
    const NodeId node = node_connection->node;
    CloseGracefully(handle);
    EnsureConnection(node, &nodes_[node]);
  }
  loop_->After(kExpiryCheckInterval, [this] { CloseExpiredConnections(); });
}

void NodeConnectionPool::CloseAllGracefully() {
  closes_all_ = true;
  std::vector<Handle> handles;
  connections_.ForEach([&](Handle handle, const NodeConnection&) { handles.push_back(handle); });
  for (const Handle handle : handles) CloseGracefully(handle);
}

void NodeConnectionPool::CloseIdleConnections(NodeId node) {
  NodeRecord& record = nodes_[node];
  if (NeedsConnection(record) || !record.sent_attempts.empty() || !record.health_checks.empty()) return;
  for (const Handle handle : std::vector<Handle>(record.connections)) {
    const NodeConnection* node_connection = connections_.Get(handle);
    if (node_connection != nullptr && node_connection->queued_attempts.empty()) RemoveConnection(handle);
  }
}

}  // namespace cluster_manager
