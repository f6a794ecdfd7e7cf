// Address reuse. The process of a node can be replaced at its address by that of a node with another uid
// before the endpoint list shows the change. Until then, attempts written to the new process are recorded
// under the old node. Once the endpoint list names the address successor, they are transferred to its record,
// and the dispatcher and the scheduler account them there.
#include <algorithm>
#include <utility>

#include "net/counters.h"
#include "net/log.h"
#include "nodes/node_connection_pool.h"

namespace cluster_manager {

std::uint64_t NodeConnectionPool::AddressKey(const sockaddr_in& address) {
  return std::uint64_t{address.sin_addr.s_addr} << 16 | address.sin_port;
}

// Records which node is at an address, and transfers tasks if it is the address successor of another. The
// node that was last listed at an address succeeds the one that was removed from it. The endpoint list may
// report the two changes in either order.
void NodeConnectionPool::RecordAddress(NodeId node, const sockaddr_in& previous_address) {
  NodeRecord& record = nodes_[node];
  if (!record.address_known) return;
  if (const auto previous = last_listed_at_.find(AddressKey(previous_address));
      previous != last_listed_at_.end()) {
    if (previous->second == node && AddressKey(previous_address) != AddressKey(record.address))
      last_listed_at_.erase(previous);
  }
  NodeId& last = last_listed_at_.try_emplace(AddressKey(record.address), node).first->second;
  const NodeId other = record.removed ? last : std::exchange(last, node);
  if (other == node) return;
  const auto other_record = nodes_.find(other);
  if (other_record == nodes_.end() || other_record->second.removed == record.removed) return;
  const NodeId predecessor = record.removed ? node : other;
  const NodeId successor = record.removed ? other : node;
  TransferToSuccessor(predecessor, successor);
}

// Whether a task that was placed at the address of `record` runs in the process of the successor. Where the
// endpoint list states when the successor started, this holds if the connection was established at or after
// that time. Otherwise it holds if the task was placed in the current incarnation and an earlier one has
// ended.
bool NodeConnectionPool::BelongsToSuccessor(const NodeRecord& record, const NodeRecord& successor_record,
                                            const Placement& placement) {
  if (successor_record.started_at > 0) return placement.established_at >= successor_record.started_at;
  return placement.incarnation > 0 && placement.incarnation == record.incarnations_ended &&
         !record.incarnation_may_have_ended;
}

void NodeConnectionPool::TransferToSuccessor(NodeId node, NodeId successor) {
  NodeRecord& record = nodes_[node];
  NodeRecord& successor_record = nodes_[successor];
  record.address_successor = successor;
  ConfirmPeers(record);
  const int current_incarnation = record.incarnation_may_have_ended ? 0 : record.incarnations_ended;
  const std::vector<Time> sends =
      peers_.Apply({node, successor, successor_record.started_at, current_incarnation});
  const std::vector<Handle> moved = ConnectionsOfSuccessor(record, successor_record);
  std::vector<TaskId> tasks = TransferSentAttempts(&record, &successor_record, moved);
  RescheduleQueuedAttempts(node, &record, moved);
  const std::size_t running = TransferRunningTasks(&record, &successor_record, &tasks);
  TransferConnections(&record, successor, moved);
  std::ranges::sort(tasks);  // hash tables have no defined order
  for (const TaskId id : tasks) {
    LogDebug("task %016llx: transferred from node %u to its address successor %u, %s",
             static_cast<unsigned long long>(id), node, successor,
             successor_record.running_tasks.contains(id) ? "it is running" : "its attempt was written");
  }
  counters.tasks_moved_to_address_successor += tasks.size();
  if (!moved.empty() || !tasks.empty()) {
    Log("node %u: address taken over by node %u, transferred %zu connections, %zu requests and %zu running "
        "tasks",
        node, successor, moved.size(), tasks.size() - running, running);
    // Fails the health checks of the removed node, which will not be answered any more.
    loop_->After(0, [this, node] { FailUnreachable(node); });
  }
  events_->OnAddressSuccessor(node, successor, tasks, sends);
  EnsureConnection(successor, &successor_record);
}

std::vector<Handle> NodeConnectionPool::ConnectionsOfSuccessor(const NodeRecord& record,
                                                               const NodeRecord& successor_record) const {
  std::vector<Handle> moved;
  for (const Handle handle : record.connections) {
    const NodeConnection* node_connection = connections_.Get(handle);
    const Placement placement{node_connection->incarnation, node_connection->established_at};
    // A connection that is still being dialed can only reach the successor.
    const bool moves =
        node_connection->IsDialing() || BelongsToSuccessor(record, successor_record, placement);
    if (moves) moved.push_back(handle);
  }
  return moved;
}

// Transfers the attempts that were written on the connections `moved`. Returns their tasks.
std::vector<TaskId> NodeConnectionPool::TransferSentAttempts(NodeRecord* record, NodeRecord* successor_record,
                                                             const std::vector<Handle>& moved) {
  std::vector<TaskId> tasks;
  for (const auto& [id, sent] : record->sent_attempts) {
    if (std::ranges::find(moved, sent.connection) != moved.end()) tasks.push_back(id);
  }
  for (const TaskId id : tasks) {
    successor_record->sent_attempts[id] = record->sent_attempts.at(id);
    record->sent_attempts.erase(id);
  }
  return tasks;
}

// The node of an attempt was chosen by its zone, its rack and its load, and the successor has others:
// attempts that were not written yet end, and their requests are placed again.
void NodeConnectionPool::RescheduleQueuedAttempts(NodeId node, NodeRecord* record,
                                                  const std::vector<Handle>& moved) {
  for (const Handle handle : moved) {
    for (QueuedAttempt& queued : std::exchange(connections_.Get(handle)->queued_attempts, {})) {
      LogDebug("task %016llx: not written, node %u does not have its address any more",
               static_cast<unsigned long long>(queued.id), node);
      ++counters.attempts_rescheduled;
      record->unreachable_attempts.push_back(std::move(queued));
    }
  }
}

// Transfers the running tasks that are in the successor's process. Adds them to `tasks` and returns their
// number.
std::size_t NodeConnectionPool::TransferRunningTasks(NodeRecord* record, NodeRecord* successor_record,
                                                     std::vector<TaskId>* tasks) {
  std::size_t running = 0;
  for (const auto& [id, placement] : record->running_tasks) {
    if (!BelongsToSuccessor(*record, *successor_record, placement)) continue;
    tasks->push_back(id);
    successor_record->running_tasks[id] = {successor_record->incarnations_ended, placement.established_at};
    if (const auto stop = record->stop_requests.extract(id); !stop.empty()) {
      successor_record->stop_requests[id] = stop.mapped();
    }
    ++running;
  }
  for (const TaskId id : *tasks) record->running_tasks.erase(id);
  return running;
}

void NodeConnectionPool::TransferConnections(NodeRecord* record, NodeId successor,
                                             const std::vector<Handle>& moved) {
  NodeRecord& successor_record = nodes_[successor];
  for (const Handle handle : moved) {
    NodeConnection* node_connection = connections_.Get(handle);
    node_connection->node = successor;
    node_connection->incarnation = successor_record.incarnations_ended;
    successor_record.connections.push_back(handle);
    std::erase(record->connections, handle);
    for (HealthCheck& health_check : record->health_checks) {
      if (health_check.connection == handle) health_check.connection = 0;
    }
  }
}

void NodeConnectionPool::MarkOrphaned(NodeId node, TaskId id) {
  NodeRecord* record = &nodes_[node];
  if (!record->removed) {  // the node is silent: the task is stopped once a message arrives
    record->orphaned_tasks.push_back(id);
    return;
  }
  const auto successor = record->address_successor ? nodes_.find(*record->address_successor) : nodes_.end();
  const auto placement = record->running_tasks.find(id);
  const bool at_successor = successor != nodes_.end() && !successor->second.removed &&
                            placement != record->running_tasks.end() && placement->second.incarnation > 0;
  if (at_successor) record = &successor->second;
  if (NodeConnection* node_connection = BestConnection(*record)) {
    SendOrphanStop(id, node_connection);
    node_connection->transport->Flush();  // before the client receives the completion
  } else if (at_successor) {
    record->orphaned_tasks.push_back(id);
    if (record->connections.empty()) Dial(successor->first, record);
  }
}

}  // namespace cluster_manager
