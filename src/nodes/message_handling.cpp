// Handling of messages from nodes, and their effect on pending attempts, running tasks and health checks.
#include <algorithm>
#include <utility>

#include "net/counters.h"
#include "net/log.h"
#include "nodes/node_connection_pool.h"
#include "nodes/reply_decoder.h"

namespace cluster_manager {
namespace {

using protocol::Cause;
using protocol::Code;
using protocol::Message;
using protocol::Type;
using scheduling::Outcome;

// Time limit for the rest of a message whose first bytes have arrived. Most nodes send it at once; for a node
// that does not, the limit doubles up to kMaxUnfinishedMessageTimeout.
constexpr Time kMinUnfinishedMessageTimeout = 400 * kMs;
constexpr Time kMaxUnfinishedMessageTimeout = 16 * kMinUnfinishedMessageTimeout;

Time UnfinishedMessageTimeout(Time wanted) {
  return std::clamp(wanted, kMinUnfinishedMessageTimeout, kMaxUnfinishedMessageTimeout);
}

}  // namespace

std::size_t NodeConnectionPool::OnData(Connection& connection, std::string_view data) {
  const Handle handle = connection.tag;
  NodeConnection* node_connection = connections_.Get(handle);
  if (node_connection == nullptr) return data.size();
  const NodeId node = node_connection->node;
  RecordTraffic(node, &nodes_[node], node_connection);
  node_connection->Apply(ConnectionEvent::kDataReceived);
  const Time unfinished_since = connection.incomplete_message_since;
  bool malformed = false;
  bool unexpected = false;
  reading_connection_ = handle;
  const std::size_t consumed = protocol::DecodeAll(data, &malformed, [&](const Message& message) {
    unexpected = !HandleMessage(node, connection, message);
    return !unexpected && connection.open();
  });
  reading_connection_ = 0;
  if (!connection.open()) return consumed;
  if (malformed || unexpected) {
    ++counters.malformed;
    Log("node %u: malformed or unexpected message, closing the connection", node);
    connection.Close();
    OnClosed(connection, CloseReason::kReset);
    return consumed;
  }
  if (consumed > 0 && unfinished_since > 0) RecordMessageDuration(node, loop_->Now() - unfinished_since);
  node_connection = connections_.Get(handle);
  if (consumed < data.size() && node_connection != nullptr && node_connection->timer == 0) {
    const Time timeout = UnfinishedMessageTimeout(nodes_[node].unfinished_message_timeout);
    node_connection->timer = loop_->After(timeout, [this, handle] { CheckUnfinishedMessage(handle); });
  }
  return consumed;
}

void NodeConnectionPool::RecordMessageDuration(NodeId node, Time duration) {
  const auto record = nodes_.find(node);
  if (record == nodes_.end()) return;
  record->second.unfinished_message_timeout = UnfinishedMessageTimeout(2 * duration);
}

// Closes a connection on which a message has been incomplete for too long. Any further bytes would be read as
// part of that message, so that every attempt on the connection would wait until its deadline.
void NodeConnectionPool::CheckUnfinishedMessage(Handle handle) {
  NodeConnection* node_connection = connections_.Get(handle);
  if (node_connection == nullptr) return;
  node_connection->timer = 0;
  Connection& connection = *node_connection->transport;
  const Time since = connection.incomplete_message_since;
  if (since == 0) return;
  NodeRecord& record = nodes_[node_connection->node];
  const Time timeout = UnfinishedMessageTimeout(record.unfinished_message_timeout);
  if (loop_->Now() - since < timeout) {
    node_connection->timer = loop_->At(since + timeout, [this, handle] { CheckUnfinishedMessage(handle); });
    return;
  }
  // A node that is always this slow is heard on a later connection.
  record.unfinished_message_timeout = UnfinishedMessageTimeout(2 * timeout);
  ++counters.unfinished;
  Log("node %u: message incomplete after the time limit, closing the connection", node_connection->node);
  connection.Close();
  OnClosed(connection, CloseReason::kReset);
}

// Records received bytes in the node's failure detector, and stops the orphaned tasks of the node, which were
// reported as ended while it was silent.
void NodeConnectionPool::RecordTraffic(NodeId node, NodeRecord* record, NodeConnection* node_connection) {
  node_connection->last_received_at = loop_->Now();
  record->failure_detector.RecordTraffic(node_connection->last_received_at);
  if (record->orphaned_tasks.empty() || node_connection->IsClosing()) return;
  Log("node %u: data received again, stopping %zu orphaned tasks", node, record->orphaned_tasks.size());
  for (const TaskId id : std::exchange(record->orphaned_tasks, {})) SendOrphanStop(id, node_connection);
}

bool NodeConnectionPool::HandleMessage(NodeId node, Connection& connection, const Message& message) {
  NodeRecord& record = nodes_[node];
  if (message.type == Type::kTaskAccepted && message.Get(Code::kDescription).empty()) return false;
  if (message.type == Type::kRelease && message.CauseOr(-1) < 0) return false;
  std::optional<AttemptId> attempt;
  switch (message.type) {
    case Type::kTaskAccepted:
      if (!MatchSentAttempt(&record, connection.tag, message, &attempt)) return true;
      // 0 is not the id of any attempt.
      HandleAcceptance(node, attempt.value_or(0), message);
      return true;
    case Type::kRelease:
      if (MatchSentAttempt(&record, connection.tag, message, &attempt)) HandleRelease(node, attempt, message);
      return true;
    case Type::kTaskReport:
      HandleTaskReport(node, message);
      return true;
    case Type::kHealthCheckResult:
      HandleHealthCheckResult(node, message);
      return true;
    case Type::kProgress:
    case Type::kReleaseConfirmed:
    case Type::kHealthCheck:
      return true;  // valid, but ignored
    default:
      return false;
  }
}

bool NodeConnectionPool::MatchSentAttempt(NodeRecord* record, Handle handle, const Message& message,
                                          std::optional<AttemptId>* attempt) {
  const auto sent = record->sent_attempts.find(message.task);
  if (sent == record->sent_attempts.end()) {
    if (message.type == Type::kRelease) ++counters.node_task_ends;
    return true;
  }
  // A message cannot refer to a request that is still in the write queue or was sent on another connection:
  // it is a duplicate that belongs to an earlier attempt.
  const bool still_queued = sent->second.loop_iteration == loop_->iteration();
  if (still_queued || sent->second.connection != handle) {
    ++counters.node_replies_unmatched;
    return false;
  }
  *attempt = sent->second.attempt;
  if (NodeConnection* node_connection = connections_.Get(handle)) --node_connection->unanswered_attempts;
  record->sent_attempts.erase(sent);
  if (message.type == Type::kRelease) ++counters.node_rejections;
  return true;
}

void NodeConnectionPool::HandleAcceptance(NodeId node, AttemptId attempt, const Message& message) {
  events_->OnAttemptAccepted(node, message.task, attempt, message.Get(Code::kDescription));
}

void NodeConnectionPool::HandleRelease(NodeId node, std::optional<AttemptId> attempt,
                                       const Message& message) {
  const NodeReply reply = DecodeReply(message);
  if (attempt) {
    events_->OnAttemptEnded(node, message.task, *attempt, reply);
  } else {
    events_->OnTaskEnded(node, message.task, reply);
  }
}

void NodeConnectionPool::HandleTaskReport(NodeId node, const Message& message) {
  ++counters.node_task_reports;
  const std::optional<scheduling::TaskReportKind> kind = DecodeReportKind(message);
  if (kind) events_->OnTaskReport(node, message.task, *kind, DecodeReportLevel(message));
}

void NodeConnectionPool::HandleHealthCheckResult(NodeId node, const Message& message) {
  const NodeRecord& record = nodes_[node];
  const auto health_check = std::ranges::find(record.health_checks, message.task, &HealthCheck::id);
  if (health_check == record.health_checks.end()) return;
  ++counters.health_check_replies;
  const bool passed = message.CauseOr(0) == static_cast<int>(Cause::kHealthCheckPassed);
  FinishHealthCheck(node, message.task, passed ? Outcome::kOk : Outcome::kError, DecodeLoadReport(message));
}

}  // namespace cluster_manager
