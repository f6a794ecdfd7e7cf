// The choice of a process for a retry that only some processes may get: failure_detection/peer_identities.h
// has what is known of them.
#include <utility>

#include "net/counters.h"
#include "nodes/node_connection_pool.h"

namespace cluster_manager {

using scheduling::EndReason;
using scheduling::Outcome;

void NodeConnectionPool::RecordListContact() { peers_.RecordListContact(EventLoop::MonotonicNow()); }

// A connection was established while another one to the same address was in use whose peer is confirmed.
// Where that peer was heard from afterwards, both have the same peer, since one process listens at an
// address.
void NodeConnectionPool::ConfirmPeers(const NodeRecord& record) {
  if (record.connections.size() < 2) return;
  for (const Handle handle : record.connections) {
    const NodeConnection* node_connection = connections_.Get(handle);
    if (node_connection->peer == 0 || peers_.IsConfirmed(node_connection->peer)) continue;
    for (const Handle other_handle : record.connections) {
      const NodeConnection* other = connections_.Get(other_handle);
      peers_.ConfirmIfSameProcess(node_connection->peer, other->peer, other->last_received_at);
    }
  }
}

std::optional<NodeId> NodeConnectionPool::ConfirmedNode(PeerId peer) {
  const std::optional<NodeId> presumed = peers_.PresumedNode(peer);
  const auto record = presumed ? nodes_.find(*presumed) : nodes_.end();
  if (record != nodes_.end()) ConfirmPeers(record->second);
  return peers_.ConfirmedNode(peer);
}

bool NodeConnectionPool::IsPeerUsableBy(PeerId peer, Time until) {
  if (ConfirmedNode(peer)) return true;
  return peers_.IsUsableBy(peer, EventLoop::MonotonicNow() + until - loop_->Now());
}

// The connection to write to, as BestConnection, among those that the restriction allows. Null where none is
// usable or all are suspect.
NodeConnectionPool::NodeConnection* NodeConnectionPool::BestAllowedConnection(
    const NodeRecord& record, const RetryRestriction& restriction) {
  if (record.removed) return nullptr;
  ConfirmPeers(record);
  NodeConnection* best = nullptr;
  for (const Handle handle : record.connections) {
    NodeConnection* node_connection = connections_.Get(handle);
    const PeerId peer = node_connection->peer;
    const bool confirmed = restriction.allows_confirmed && peers_.IsConfirmed(peer);
    if (peer == 0 || (peer != restriction.peer && !confirmed)) continue;
    if (node_connection->IsSuspect() || !IsUsable(*node_connection)) continue;
    if (best == nullptr || node_connection->unanswered_attempts < best->unanswered_attempts)
      best = node_connection;
  }
  return best;
}

bool NodeConnectionPool::CanReach(NodeId node, const RetryRestriction& restriction) {
  const auto record = nodes_.find(node);
  return record != nodes_.end() && BestAllowedConnection(record->second, restriction) != nullptr;
}

// Never waits for a dial: who will accept it is not known.
void NodeConnectionPool::SendRestrictedAttempt(NodeId node, const QueuedAttempt& queued) {
  NodeRecord& record = nodes_[node];
  if (NodeConnection* best = BestAllowedConnection(record, queued.restriction)) {
    SendTaskRequest(&record, best, queued);
    return;
  }
  unreachable_restricted_.push_back({node, queued});
  // In the next loop iteration, since the caller must not receive the event before this returns.
  loop_->After(0, [this] { FailRestrictedAttempts(); });
}

void NodeConnectionPool::FailRestrictedAttempts() {
  for (const DeferredAttempt& each : std::exchange(unreachable_restricted_, {})) {
    ++counters.retries_withheld;
    events_->OnAttemptEnded(each.node, each.queued.id, each.queued.attempt,
                            {Outcome::kNotSent, Outcome::kAborted, EndReason::kUnspecified, {}});
  }
}

}  // namespace cluster_manager
