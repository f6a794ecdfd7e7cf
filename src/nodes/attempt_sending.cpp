// Which connection a task request is sent on; sending, deferring and cancelling attempts, and stopping tasks.
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
constexpr std::size_t kExtraBesideSuspect = 2;  // further ones where the others are suspect
constexpr Time kDeferredRetryDelay = kMs;       // by then the client's connection was read again
constexpr Time kIdleCloseMargin = kSecond;      // no request is sent so shortly before the node's idle close

}  // namespace

// Whether something may be written there. Not where the node may be closing it for idleness, since a request
// that crosses the close would count as one that may have run; nor where its end has arrived unread.
bool NodeConnectionPool::IsUsable(const NodeConnection& node_connection) {
  const Connection& connection = *node_connection.transport;
  if (!connection.up()) return false;
  if (loop_->Now() - connection.last_traffic >= timeouts_.keepalive - kIdleCloseMargin) return false;
  return connection.PeekInput() != InputState::kEnd;
}

// The connection to write to: a responsive one before a suspect one, then the one with the fewest unanswered
// requests, then the one used last. Null where none is usable.
NodeConnectionPool::NodeConnection* NodeConnectionPool::BestConnection(const NodeRecord& record) {
  const auto rank = [](const NodeConnection& node_connection) {
    return std::tuple(node_connection.IsSuspect(), node_connection.unanswered,
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
                                      const ForwardedPayload& payload, Time until) {
  AssignConnection(node, {id, attempt, payload, until});
}

// Each request gets a connection of its own while there are few, so that one malformed answer or one reset
// ends few attempts.
void NodeConnectionPool::AssignConnection(NodeId node, const QueuedAttempt& queued) {
  NodeRecord& record = nodes_[node];
  const std::size_t share = descriptors_.Reserved() / nodes_.size();
  const std::size_t most = std::clamp<std::size_t>(share, 1, kMaxConnectionsPerNode);
  NodeConnection* best = BestConnection(record);
  if (best == nullptr && record.connections.size() >= most) CloseUnusable(&record);
  const bool at_limit = record.connections.size() >= most;
  const bool responsive = best != nullptr && !best->IsSuspect();
  NodeConnection* dialing = DialingConnection(record);
  const bool may_queue = dialing != nullptr && at_limit;
  const bool no_more_dials = record.connections.size() >= most + kExtraBesideSuspect;
  const bool prefers_best = responsive && (best->unanswered == 0 || at_limit);
  const bool only_best_left = best != nullptr && no_more_dials && !may_queue;
  if (prefers_best || only_best_left) {
    SendTaskRequest(&record, best, queued);
  } else if (may_queue) {
    dialing->queued_attempts.push_back(queued);
  } else if (NodeConnection* dialed = Dial(node, &record)) {
    dialed->queued_attempts.push_back(queued);
  } else {
    record.unreachable_attempts.push_back(queued);
    // In a later turn: the caller must not get the event of the failure before this returns.
    loop_->After(0, [this, node] { FailUnreachable(node); });
  }
}

// Permission is asked at the moment of the write, since the client may leave and the node may drain after the
// scheduling decision.
void NodeConnectionPool::SendTaskRequest(NodeRecord* record, NodeConnection* node_connection,
                                         const QueuedAttempt& queued) {
  switch (events_->CheckAttemptAllowed(queued.id, queued.attempt)) {
    case AttemptPermission::kDenied:
      ++counters.attempts_not_sent;
      return;
    case AttemptPermission::kRetryLater:
      Defer(node_connection->node, queued);
      return;
    case AttemptPermission::kGranted:
      break;
  }
  ++counters.attempts_sent;
  if (IsDebugLogged()) {
    LogDebug("attempt %llu: written to node %u at %s, loop iteration %llu",
             static_cast<unsigned long long>(queued.attempt), node_connection->node,
             AddressText(record->address).c_str(), static_cast<unsigned long long>(loop_->iteration()));
  }
  record->sent_attempts[queued.id] = {queued.attempt, node_connection->transport->tag, loop_->iteration()};
  ++node_connection->unanswered;
  Connection* connection = node_connection->transport.get();
  const auto& [bytes, class_end] = queued.payload;
  const Time remaining_ms = std::max<Time>(1, (queued.until - loop_->Now()) / kMs);
  Writer message(connection->write_queue(), Type::kTaskRequest, queued.id);
  connection->AppendBlock(bytes, 0, class_end);
  message.AddExternalBytes(bytes.size()).Add(Code::kTimeoutMs, remaining_ms);
  connection->AppendBlock(bytes, class_end, bytes.size());
}

void NodeConnectionPool::Defer(NodeId node, const QueuedAttempt& queued) {
  deferred_attempts_.push_back({node, queued});
  if (std::exchange(resume_scheduled_, true)) return;
  loop_->After(kDeferredRetryDelay, [this] { ResumeDeferred(); });
}

void NodeConnectionPool::ResumeDeferred() {
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
  const auto record = nodes_.find(node);
  if (record == nodes_.end()) return false;
  if (std::ranges::any_of(record->second.unreachable_attempts, is_for_task)) return true;
  return std::ranges::any_of(record->second.connections, [&](Handle handle) {
    const NodeConnection* node_connection = connections_.Get(handle);
    return node_connection != nullptr && std::ranges::any_of(node_connection->queued_attempts, is_for_task);
  });
}

// Removes the attempts for a task that were not written yet, and returns their number.
std::size_t NodeConnectionPool::RemoveUnsent(NodeRecord* record, NodeId node, TaskId id) {
  const auto is_for_task = [id](const QueuedAttempt& queued) { return queued.id == id; };
  std::size_t unsent = std::erase_if(record->unreachable_attempts, is_for_task);
  unsent += std::erase_if(deferred_attempts_, [&](const DeferredAttempt& deferred) {
    return deferred.node == node && is_for_task(deferred.queued);
  });
  for (const Handle handle : record->connections) {
    NodeConnection* node_connection = connections_.Get(handle);
    if (node_connection != nullptr) unsent += std::erase_if(node_connection->queued_attempts, is_for_task);
  }
  return unsent;
}

bool NodeConnectionPool::CancelAttempt(NodeId node, TaskId id) {
  NodeRecord& record = nodes_[node];
  if (RemoveUnsent(&record, node, id) > 0) {
    ++counters.attempts_not_sent;
    return false;
  }
  const auto sent = record.sent_attempts.find(id);
  if (sent == record.sent_attempts.end()) return true;
  const Handle handle = sent->second.connection;
  record.sent_attempts.erase(sent);
  NodeConnection* node_connection = connections_.Get(handle);
  // A connection that ended has taken the attempt with it.
  if (node_connection == nullptr || !node_connection->transport->up()) return true;
  --node_connection->unanswered;
  ++counters.attempt_cancellations_sent;
  Connection* connection = node_connection->transport.get();
  Writer(connection->write_queue(), Type::kRelease, id).Add(Cause::kEnded);
  // Written now, so that no second attempt overtakes it. Where the socket takes no more, the connection is
  // closed, which gives up all that is unanswered on it.
  connection->Flush();
  if (connection->open() && !connection->flushed()) {
    connection->Close();
    OnClosed(*connection, CloseReason::kReset);
  }
  Suspect(node, handle, loop_->Now() - timeouts_.dial);
  return true;
}

void NodeConnectionPool::StopTask(NodeId node, TaskId id) {
  NodeRecord& record = nodes_[node];
  Handle& sent_on = record.stop_requests[id];  // kept until the node reports the end
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
