// Dispatcher: changes of the endpoint list, and the attempts and running tasks on nodes that are removed,
// die, restart or are suspended.
#include <algorithm>
#include <limits>
#include <memory>
#include <utility>
#include <vector>

#include "dispatch/dispatcher.h"
#include "net/counters.h"
#include "net/log.h"

namespace cluster_manager {

using scheduling::EndReason;
using scheduling::Outcome;

namespace {

constexpr Time kForever = std::numeric_limits<Time>::max();

}  // namespace

void Dispatcher::OnNodeProcessDied(NodeId node) {
  if (zone_failover_ != nullptr) zone_failover_->RecordUnanswered(node, loop_->Now());
  FinishLostTasks(node, kForever, LostTaskFate::kEnded);
}

void Dispatcher::OnNodePresumedStopped(NodeId node) {
  const std::size_t lost = FinishLostTasks(node, kForever, LostTaskFate::kMayStillRun);
  counters.tasks_presumed_ended += lost;
  Log("node %u: draining and silent, presumed stopped; %zu tasks ended as lost", node, lost);
}

void Dispatcher::OnAddressSuccessor(NodeId node, NodeId successor, const std::vector<TaskId>& tasks,
                                    const std::vector<Time>& sends) {
  scheduling::NodeReplaced replaced{node, successor, {}, sends};
  for (const TaskId id : tasks) {
    Request* request = FindRequest(id);
    if (request == nullptr || !IsAssigned(request->state) || request->node != node) continue;
    request->node = successor;
    replaced.requests.push_back(handle_by_task_.at(id));
  }
  if (!replaced.requests.empty() || !sends.empty()) HandleEvent(replaced);
}

void Dispatcher::OnEndpointListChanged(scheduling::EndpointListUpdate kind, std::int64_t version,
                                       const std::vector<ListedNode>& nodes) {
  auto entries = std::make_shared<std::vector<scheduling::NodeEntry>>();
  for (const ListedNode& node : nodes) entries->push_back(ApplyListedNode(node));
  const bool failed = kind == scheduling::EndpointListUpdate::kFailed;
  HandleEvent(scheduling::EndpointListChanged{kind, version, failed ? nullptr : entries});
  for (const scheduling::NodeEntry& entry : *entries) {
    if (entry.state != scheduling::NodeState::kReady) CancelQueuedAttempts(entry.node);
  }
}

scheduling::NodeEntry Dispatcher::ApplyListedNode(const ListedNode& node) {
  const scheduling::NodeEntry& entry = node.entry;
  nodes_->UpdateNode(node);
  scheduling::NodeEntry effective = ApplySuspension(entry);
  ReportListingToZoneFailover(entry, effective.state);
  const auto [position, is_new] = listed_nodes_.try_emplace(entry.node);
  ListedEntry& listed = position->second;
  listed.entry = entry;
  listed.removed = entry.state == scheduling::NodeState::kRemoved;
  // A new start time means that the process restarted unnoticed: tasks sent before its start are lost.
  const bool restarted = std::exchange(listed.started_at, entry.started_at) != entry.started_at && !is_new;
  if (restarted) FinishLostTasks(entry.node, entry.started_at, LostTaskFate::kEnded);
  if (listed.removed) ScheduleNodeRemoval(entry.node);
  return effective;
}

void Dispatcher::ReportListingToZoneFailover(const scheduling::NodeEntry& listed,
                                             scheduling::NodeState state) {
  if (zone_failover_ == nullptr) return;
  const std::size_t kind = std::min<std::size_t>(listed.kind, cores_by_kind_.size() - 1);
  const zone_failover::NodeCapacity capacity{cores_by_kind_[kind], memory_by_kind_[kind], listed.free_cores,
                                             listed.free_memory};
  zone_failover_->RecordListing(listed.node, listed.zone, state == scheduling::NodeState::kReady, capacity,
                                loop_->Now());
}

// The endpoint list may report a removal before the node's last messages have been read, so they are awaited
// until the end of the grace period. For a node that has been silent for long that period is already over.
void Dispatcher::ScheduleNodeRemoval(NodeId node) {
  loop_->At(nodes_->GracePeriodEnd(node), [this, node] {
    const auto it = listed_nodes_.find(node);
    if (it == listed_nodes_.end() || !it->second.removed) return;
    FinishLostTasks(node, kForever, LostTaskFate::kMayStillRun);
    listed_nodes_.erase(node);
    if (suspensions_ != nullptr) suspensions_->OnNodeDelisted(node);
  });
}

// A node may be removed or start draining between the scheduler's decision and the write of the attempt,
// while a connection is being established or the client's pending messages are being read.
void Dispatcher::CancelQueuedAttempts(NodeId node) {
  std::vector<Handle> queued;
  requests_.ForEach([&](Handle handle, const Request& request) {
    if (!HasOpenAttempt(request.state) || request.node != node) return;
    if (nodes_->IsQueued(node, request.id)) queued.push_back(handle);
  });
  for (const Handle handle : queued) {
    Request* request = requests_.Get(handle);
    if (request == nullptr || !HasOpenAttempt(request->state) || request->node != node) continue;
    ++counters.attempts_recalled;
    CancelAttempt(handle, request, Outcome::kCancelled);
  }
}

scheduling::NodeEntry Dispatcher::ApplySuspension(const scheduling::NodeEntry& entry) const {
  return suspensions_ != nullptr ? suspensions_->ApplyTo(entry) : entry;
}

void Dispatcher::OnSuspensionChanged(NodeId node) {
  const auto it = listed_nodes_.find(node);
  if (it == listed_nodes_.end() || it->second.removed) return;
  auto entries = std::make_shared<std::vector<scheduling::NodeEntry>>(1, ApplySuspension(it->second.entry));
  const bool accepts_tasks = entries->front().state == scheduling::NodeState::kReady;
  HandleEvent(scheduling::EndpointListChanged{scheduling::EndpointListUpdate::kDelta, 0, entries});
  if (!accepts_tasks) CancelQueuedAttempts(node);
}

std::size_t Dispatcher::FinishLostTasks(NodeId node, Time started_before, LostTaskFate fate) {
  std::vector<Handle> lost;
  requests_.ForEach([&](Handle handle, const Request& request) {
    if (HasRunningTask(request.state) && request.node == node && request.attempt_started_at < started_before)
      lost.push_back(handle);
  });
  for (const Handle handle : lost) {
    Request* request = requests_.Get(handle);
    if (request == nullptr) continue;
    ++counters.tasks_lost;
    // The task may still be running: it must be marked before its end is reported.
    if (fate == LostTaskFate::kMayStillRun) nodes_->MarkOrphaned(node, request->id);
    request = requests_.Get(handle);
    if (request == nullptr) continue;
    const bool stopping = request->state == RequestState::kStopping;
    FinishRunningTask(handle, request, Outcome::kAborted, EndReason::kUnspecified,
                      stopping ? ClientNotice::kOmit : ClientNotice::kSend);
  }
  return lost.size();
}

}  // namespace cluster_manager
