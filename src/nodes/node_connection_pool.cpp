// Node records, which follow the endpoint list, and the running tasks of each node.
#include "nodes/node_connection_pool.h"

#include <algorithm>
#include <utility>

namespace cluster_manager {
namespace {

using failure_detection::ListedState;
using scheduling::NodeState;

constexpr Time kForgetInterval = kSecond;

ListedState ListedStateOf(NodeState state) {
  switch (state) {
    case NodeState::kRemoved:
      return ListedState::kRemoved;
    case NodeState::kDraining:
      return ListedState::kDraining;
    default:
      return ListedState::kServing;
  }
}

}  // namespace

NodeConnectionPool::NodeConnectionPool(EventLoop* loop, NodeConnectionTimeouts timeouts, int descriptor_limit,
                                       std::uint64_t seed, NodeEvents* events)
    : loop_(loop),
      timeouts_(timeouts),
      descriptors_(descriptor_limit),
      events_(events),
      next_health_check_id_(seed | 1) {
  ForgetRemovedNodes();
  CheckLeavingNodes();
  CloseExpiredConnections();
}

std::size_t NodeConnectionPool::unanswered_attempt_count() const {
  std::size_t count = 0;
  for (const auto& [node, record] : nodes_) count += record.sent_attempts.size();
  return count;
}

void NodeConnectionPool::UpdateNode(const ListedNode& node) {
  const NodeId id = node.entry.node;
  NodeRecord& record = nodes_[id];
  const sockaddr_in previous_address = record.address;
  record.started_at = node.entry.started_at;
  // If the endpoint cannot be parsed, the known address is kept.
  if (sockaddr_in address{}; ParseAddress(node.endpoint, &address)) {
    record.address = address;
    record.address_known = true;
  }
  // A removed node is not dialed any more: another node may be listening at its address.
  record.removed = node.entry.state == NodeState::kRemoved;
  const bool was_leaving = record.failure_detector.is_leaving();
  record.failure_detector.SetListedState(ListedStateOf(node.entry.state), loop_->Now());
  if (record.failure_detector.is_leaving() && !was_leaving) leaving_nodes_.push_back(id);
  if (record.removed) record.orphaned_tasks.clear();
  RecordAddress(id, previous_address);
  EnsureConnection(id, &record);
}

// Whether nothing is pending for the node, no task runs on it, and it is not in the endpoint list any more.
bool NodeConnectionPool::CanForget(const NodeRecord& record) const {
  if (NeedsConnection(record) || (record.address_known && !record.removed)) return false;
  if (!record.sent_attempts.empty() || !record.health_checks.empty()) return false;
  if (!record.unreachable_attempts.empty()) return false;
  return std::ranges::all_of(record.connections, [this](Handle handle) {
    const NodeConnection* node_connection = connections_.Get(handle);
    return node_connection == nullptr || node_connection->queued_attempts.empty();
  });
}

// Runs periodically and erases the records of removed nodes, so that tables do not grow with every node that
// was ever listed.
void NodeConnectionPool::ForgetRemovedNodes() {
  for (auto it = nodes_.begin(); it != nodes_.end();) {
    NodeRecord& record = it->second;
    ShrinkIfSparse(&record.sent_attempts);
    ShrinkIfSparse(&record.running_tasks);
    if (!CanForget(record)) {
      ++it;
      continue;
    }
    for (const Handle handle : std::vector<Handle>(record.connections)) RemoveConnection(handle);
    loop_->Cancel(record.redial_timer);
    const auto listed = last_listed_at_.find(AddressKey(record.address));
    if (listed != last_listed_at_.end() && listed->second == it->first) last_listed_at_.erase(listed);
    it = nodes_.erase(it);
  }
  peers_.ForgetClosed(EventLoop::MonotonicNow());
  loop_->After(kForgetInterval, [this] { ForgetRemovedNodes(); });
}

void NodeConnectionPool::SetTaskRunning(NodeId node, TaskId id, bool running) {
  NodeRecord& record = nodes_[node];
  if (!running) {
    record.running_tasks.erase(id);
    record.stop_requests.erase(id);
    return;
  }
  std::erase(record.orphaned_tasks, id);  // its client has claimed it again: it must not be stopped
  const NodeConnection* accepted_on = connections_.Get(reading_connection_);
  Placement placement;
  if (accepted_on != nullptr && accepted_on->node == node) {
    placement = {accepted_on->incarnation, accepted_on->established_at};
  }
  record.running_tasks[id] = placement;
  EnsureConnection(node, &record);
}

}  // namespace cluster_manager
