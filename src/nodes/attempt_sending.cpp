// Choice of the connection for a task request; sending, deferring and cancelling attempts; stopping tasks.
#include <algorithm>
#include <tuple>
#include <utility>

#include "net/counters.h"
#include "net/log.h"
#include "nodes/node_connection_pool.h"

namespace cluster_manager {
namespace {

using protocol::Cause;
using protocol::Code;
using protocol::Type;
using protocol::Writer;

constexpr std::size_t kMaxConnectionsPerNode = 4;
constexpr std::size_t kExtraConnectionsIfSuspect = 2;  // in addition, while all others are suspect
constexpr Time kDeferredRetryDelay = kMs;              // long enough to read the client's connection again
constexpr Time kIdleCloseMargin = kSecond;  // before the node's idle close; no request is sent within it

}  // namespace

// Whether messages may be written on the connection. False shortly before the node's idle time-out, since a
// request sent while the node closes it would count as one that may have run, and false where the end of the
// stream has arrived but has not been read yet.
bool NodeConnectionPool::IsUsable(const NodeConnection& node_connection) {
  const Connection& connection = *node_connection.transport;
  if (!connection.up()) return false;
  if (loop_->Now() - connection.last_traffic >= timeouts_.keepalive - kIdleCloseMargin) return false;
  return connection.PeekInput() != InputState::kEnd;
}

// The connection to write to: responsive ones are preferred to suspect ones, then those with the fewest
// unanswered requests, then the most recently used. Null where none is usable.
NodeConnectionPool::NodeConnection* NodeConnectionPool::BestConnection(const NodeRecord& record) {
  const auto rank = [](const NodeConnection& node_connection) {
    return std::tuple(node_connection.IsSuspect(), node_connection.unanswered_attempts,
                      -node_connection.transport->last_traffic);
  };
  NodeConnection* best = nullptr;
  for (const Handle handle : record.connections) {
    NodeConnection* node_connection = connections_.Get(handle);
    if (node_connection == nullptr || !IsUsable(*node_connection)) continue;
    if (best == nullptr || rank(*node_connection) < rank(*best)) best = node_connection;
  }
  return best;
}

NodeConnectionPool::NodeConnection* NodeConnectionPool::DialingConnection(const NodeRecord& record) {
  for (const Handle handle : record.connections) {
    NodeConnection* node_connection = connections_.Get(handle);
    if (node_connection != nullptr && node_connection->IsDialing()) return node_connection;
  }
  return nullptr;
}

void NodeConnectionPool::StartAttempt(NodeId node, TaskId id, AttemptId attempt,
                                      const ForwardedPayload& payload, Time deadline,
                                      const RetryRestriction& restriction) {
  AssignConnection(node, {id, attempt, payload, deadline, restriction});
}

// Sends an attempt on a connection, or queues it on one that is being dialed. Up to the limit per node each
// request gets a connection of its own, so that one malformed reply or one reset ends few attempts.
void NodeConnectionPool::AssignConnection(NodeId node, const QueuedAttempt& queued) {
  if (queued.restriction.peer != 0) {
    SendRestrictedAttempt(node, queued);
    return;
  }
  NodeRecord& record = nodes_[node];
  const std::size_t share = descriptors_.Reserved() / nodes_.size();
  const std::size_t max_connections = std::clamp<std::size_t>(share, 1, kMaxConnectionsPerNode);
  NodeConnection* best = BestConnection(record);
  if (best == nullptr && record.connections.size() >= max_connections) CloseUnusable(&record);
  const bool at_limit = record.connections.size() >= max_connections;
  const bool responsive = best != nullptr && !best->IsSuspect();
  NodeConnection* dialing = DialingConnection(record);
  const bool may_queue = dialing != nullptr && at_limit;
  const bool no_more_dials = record.connections.size() >= max_connections + kExtraConnectionsIfSuspect;
  const bool prefers_best = responsive && (best->unanswered_attempts == 0 || at_limit);
  const bool only_best_left = best != nullptr && no_more_dials && !may_queue;
  if (prefers_best || only_best_left) {
    SendTaskRequest(&record, best, queued);
  } else if (may_queue) {
    dialing->queued_attempts.push_back(queued);
  } else if (NodeConnection* dialed = Dial(node, &record)) {
    dialed->queued_attempts.push_back(queued);
  } else {
    record.unreachable_attempts.push_back(queued);
    // In the next loop iteration, since the caller must not receive the failure event before this returns.
    loop_->After(0, [this, node] { FailUnreachable(node); });
  }
}

// Asks the dispatcher for permission immediately before the write, since after the scheduling decision the
// client may have disconnected and the node may have begun to drain.
void NodeConnectionPool::SendTaskRequest(NodeRecord* record, NodeConnection* node_connection,
                                         const QueuedAttempt& queued) {
  switch (events_->CheckAttemptAllowed(queued.id, queued.attempt, node_connection->peer)) {
    case AttemptPermission::kDenied:
      ++counters.attempts_not_sent;
      return;
    case AttemptPermission::kRetryLater:
      DeferAttempt(node_connection->node, queued);
      return;
    case AttemptPermission::kGranted:
      break;
  }
  ++counters.attempts_sent;
  // Sends to a peer whose identity is confirmed are not counted, which saves the lookup.
  if (loop_->now() - node_connection->established_at < failure_detection::PeerIdentities::kMaxListDelay)
    peers_.RecordSend(node_connection->peer, loop_->now());
  LogWrite(*record, *node_connection, queued);
  record->sent_attempts[queued.id] = {queued.attempt, node_connection->transport->tag, loop_->iteration()};
  ++node_connection->unanswered_attempts;
  Connection* connection = node_connection->transport.get();
  const auto& [bytes, class_end] = queued.payload;
  const Time remaining_ms = std::max<Time>(1, (queued.deadline - loop_->Now()) / kMs);
  Writer message(connection->write_queue(), Type::kTaskRequest, queued.id);
  connection->AppendBlock(bytes, 0, class_end);
  message.AddExternalBytes(bytes.size()).Add(Code::kTimeoutMs, remaining_ms);
  connection->AppendBlock(bytes, class_end, bytes.size());
}

// Logs which process a task request goes to, and what its identity rests on: when the connection was dialed,
// and how many processes at the address are known to have ended by then.
void NodeConnectionPool::LogWrite(const NodeRecord& record, const NodeConnection& node_connection,
                                  const QueuedAttempt& queued) const {
  if (!IsDebugLogged()) return;
  LogDebug(
      "attempt %llu: task %016llx written to node %u at %s, connection %llu, dialed %lld ms ago, "
      "incarnation %d, %s, listed start %lld ms, loop iteration %llu",
      static_cast<unsigned long long>(queued.attempt), static_cast<unsigned long long>(queued.id),
      node_connection.node, AddressText(record.address).c_str(),
      static_cast<unsigned long long>(node_connection.transport->tag),
      static_cast<long long>((loop_->Now() - node_connection.dialed_at) / kMs), node_connection.incarnation,
      peers_.IsConfirmed(node_connection.peer) ? "identity confirmed" : "identity presumed from the list",
      static_cast<long long>(record.started_at / kMs), static_cast<unsigned long long>(loop_->iteration()));
}

void NodeConnectionPool::DeferAttempt(NodeId node, const QueuedAttempt& queued) {
  deferred_attempts_.push_back({node, queued});
  if (std::exchange(resume_scheduled_, true)) return;
  loop_->After(kDeferredRetryDelay, [this] { ResumeDeferredAttempts(); });
}

void NodeConnectionPool::ResumeDeferredAttempts() {
  resume_scheduled_ = false;
  for (const DeferredAttempt& deferred : std::exchange(deferred_attempts_, {})) {
    AssignConnection(deferred.node, deferred.queued);
  }
}

bool NodeConnectionPool::IsQueued(NodeId node, TaskId id) const {
  const auto is_for_task = [id](const QueuedAttempt& queued) { return queued.id == id; };
  const auto is_deferred = [&](const DeferredAttempt& deferred) {
    return deferred.node == node && is_for_task(deferred.queued);
  };
  if (std::ranges::any_of(deferred_attempts_, is_deferred)) return true;
  if (std::ranges::any_of(unreachable_restricted_, is_deferred)) return true;
  const auto record = nodes_.find(node);
  if (record == nodes_.end()) return false;
  if (std::ranges::any_of(record->second.unreachable_attempts, is_for_task)) return true;
  return std::ranges::any_of(record->second.connections, [&](Handle handle) {
    const NodeConnection* node_connection = connections_.Get(handle);
    return node_connection != nullptr && std::ranges::any_of(node_connection->queued_attempts, is_for_task);
  });
}

// Removes the attempts for a task that have not been written yet, and returns their number.
std::size_t NodeConnectionPool::RemoveQueuedAttempts(NodeRecord* record, NodeId node, TaskId id) {
  const auto is_for_task = [id](const QueuedAttempt& queued) { return queued.id == id; };
  std::size_t unsent = std::erase_if(record->unreachable_attempts, is_for_task);
  const auto is_deferred = [&](const DeferredAttempt& deferred) {
    return deferred.node == node && is_for_task(deferred.queued);
  };
  unsent += std::erase_if(deferred_attempts_, is_deferred);
  unsent += std::erase_if(unreachable_restricted_, is_deferred);
  for (const Handle handle : record->connections) {
    NodeConnection* node_connection = connections_.Get(handle);
    if (node_connection != nullptr) unsent += std::erase_if(node_connection->queued_attempts, is_for_task);
  }
  return unsent;
}

bool NodeConnectionPool::CancelAttempt(NodeId node, TaskId id) {
  NodeRecord& record = nodes_[node];
  if (RemoveQueuedAttempts(&record, node, id) > 0) {
    ++counters.attempts_not_sent;
    return false;
  }
  const auto sent = record.sent_attempts.find(id);
  if (sent == record.sent_attempts.end()) return true;
  const Handle handle = sent->second.connection;
  record.sent_attempts.erase(sent);
  NodeConnection* node_connection = connections_.Get(handle);
  // The end of a connection also ends the attempts that were sent on it.
  if (node_connection == nullptr || !node_connection->transport->up()) return true;
  --node_connection->unanswered_attempts;
  ++counters.attempt_cancellations_sent;
  Connection* connection = node_connection->transport.get();
  Writer(connection->write_queue(), Type::kRelease, id).Add(Cause::kEnded);
  // Written immediately, so that the next attempt cannot reach its node first. Where the socket accepts no
  // more bytes, the connection is closed, which cancels all unanswered attempts on it.
  connection->Flush();
  if (connection->open() && !connection->flushed()) {
    connection->Close();
    OnClosed(*connection, CloseReason::kReset);
  }
  SuspectConnection(node, handle, loop_->Now() - timeouts_.dial);
  return true;
}

void NodeConnectionPool::StopTask(NodeId node, TaskId id) {
  NodeRecord& record = nodes_[node];
  Handle& sent_on = record.stop_requests[id];  // kept until the node reports the task end
  sent_on = 0;
  if (NodeConnection* node_connection = BestConnection(record)) {
    SendStopRequest(id, &sent_on, node_connection);
  } else {
    EnsureConnection(node, &record);
  }
}

void NodeConnectionPool::SendStopRequest(TaskId id, Handle* sent_on, NodeConnection* node_connection) {
  ++counters.task_stops_sent;
  *sent_on = node_connection->transport->tag;
  Writer(node_connection->transport->write_queue(), Type::kRelease, id).Add(Cause::kCancelled);
}

void NodeConnectionPool::SendOrphanStop(TaskId id, NodeConnection* node_connection) {
  ++counters.orphaned_tasks_stopped;
  Writer(node_connection->transport->write_queue(), Type::kRelease, id).Add(Cause::kCancelled);
}

}  // namespace cluster_manager
