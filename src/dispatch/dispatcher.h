// The dispatcher leads every task request from its arrival to its completion.
//
// Purpose: what clients, nodes and discovery report becomes events of the scheduler (scheduling::Scheduler),
// and the scheduler's actions are executed through the ports. The dispatcher itself decides neither where nor
// whether a task is placed.
// Owns: the requests and their states (request_state.h), the scheduler, the table of request classes, the
// counters by class, and the entries of the endpoint list. The ports, suspensions and zone failover belong
// to the caller and outlive it.
// Called by: the client front end (ClientEvents), the node connections (NodeEvents), the endpoint list
// watcher (DiscoveryEvents) and the server process (everything else).
// Threads: the event loop's thread only. Ports may call back from within a call; events of the scheduler that
// this causes are queued until the actions at hand have been executed.
// Bounds: a request that is not running a task ends by its task's deadline; a stopped task is forgotten after
// kStopTimeout. A request takes one slot and its payload, which the front end limits in size.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "completion/unclaimed_completions.h"
#include "containers/hash.h"
#include "containers/slot_table.h"
#include "dispatch/ports.h"
#include "dispatch/request_state.h"
#include "metrics/metrics.h"
#include "net/loop.h"
#include "node_suspension/node_suspensions.h"
#include "request_classes/class_table.h"
#include "scheduling/scheduler.h"
#include "zone_failover/zone_failover.h"

namespace cluster_manager {

class Dispatcher final : public ClientEvents, public NodeEvents, public DiscoveryEvents {
 public:
  // A node that was told to stop a task and does not confirm it is not waited for any longer.
  static constexpr Time kStopTimeout = 8 * kSecond;

  // `seed`: of the scheduler's random choices. Throws std::invalid_argument where the scheduler cannot work
  // with the settings. The loop outlives the dispatcher.
  Dispatcher(EventLoop* loop, scheduling::Settings settings, std::uint64_t seed);
  // To be called once, before any event arrives. The ports outlive the dispatcher.
  void Connect(ClientPort* clients, NodePort* nodes, DiscoveryPort* discovery);
  // Reports to the zone failover from now on, evaluates it every ZoneFailover::kEvaluateEvery, and makes it
  // the scheduler's zone policy. It outlives the dispatcher.
  void SetZoneFailover(zone_failover::ZoneFailover* zone_failover);
  // Applies the operators' suspensions to every entry of the endpoint list from now on. They outlive the
  // dispatcher.
  void SetSuspensions(NodeSuspensions* suspensions) { suspensions_ = suspensions; }
  // Another process of this cluster manager learned that the task is over. `unanswered`: its client was not
  // told, and is told now; otherwise that is left to whoever claims the task later.
  void ApplyPeerCompletion(NodeId node, TaskId id, TaskEnd completion, bool unanswered);
  // Calls visit(id, task, payload, node) for each running task that was not told to stop. The visit may not
  // call the dispatcher.
  template <typename Visit>
  void ForEachRunningTask(Visit visit) {
    requests_.ForEach([&](Handle, const Request& request) {
      if (request.state == RequestState::kRunning)
        visit(request.id, request.task, request.payload, request.node);
    });
  }
  // Completions of tasks that no client has claimed yet.
  const UnclaimedCompletions& unclaimed_completions() const { return unclaimed_completions_; }
  // An operator suspended or resumed the node.
  void OnSuspensionChanged(NodeId node);

  std::size_t unanswered_requests() const { return unanswered_requests_; }  // requests without a final answer
  std::size_t listed_nodes() const { return listed_nodes_.size(); }
  // Listed nodes that get no new tasks at present.
  std::size_t excluded_nodes() const { return scheduler_.excluded_nodes(); }
  // Nodes and services that the scheduler remembers.
  std::size_t scheduler_entries() const { return scheduler_.tracked_entries(); }
  const Metrics& metrics() const { return metrics_; }
  const ClassTable& classes() const { return classes_; }
  // Applies new settings, which must have been validated. Open requests keep the class that they came with.
  ClassTable::Change ApplySettings(const scheduling::Settings& settings);
  // This process ends at `by`: every request is answered by then, also those still to come.
  void ScheduleShutdown(Time by) { HandleEvent(scheduling::ShutdownScheduled{by}); }
  std::size_t RunningTasks() const override { return requests_.size() - unanswered_requests_; }

  bool OnTaskRequest(TaskRequest incoming) override;
  void OnClientRelease(TaskId id, Handle client_connection) override;
  void OnClientDisconnected(TaskId id, Handle client_connection) override;
  void OnRejectedAtAdmission(int class_index) override {
    ++class_counters_[static_cast<std::size_t>(class_index)]->throttled;
  }
  AttemptPermission CheckAttemptAllowed(TaskId id, AttemptId attempt) override;
  void OnAttemptAccepted(NodeId node, TaskId id, AttemptId attempt, std::string_view description) override;
  void OnAttemptEnded(NodeId node, TaskId id, AttemptId attempt, const NodeReply& reply) override;
  void OnTaskEnded(NodeId node, TaskId id, const NodeReply& reply) override;
  void OnTaskReport(NodeId node, TaskId id, scheduling::TaskReportKind kind, double level) override;
  void OnHealthCheckResult(NodeId node, scheduling::Outcome outcome, Time duration,
                           scheduling::LoadReport report) override;
  void OnReachabilityResult(NodeId node, scheduling::Outcome outcome, Time duration) override;
  void OnNodeProcessDied(NodeId node) override;
  void OnNodePresumedStopped(NodeId node) override;
  void OnAddressSuccessor(NodeId node, NodeId successor, const std::vector<TaskId>& tasks) override;
  void OnEndpointListChanged(scheduling::EndpointListUpdate kind, std::int64_t version,
                             const std::vector<ListedNode>& nodes) override;

 private:
  struct Request {
    TaskId id = 0;
    Handle client_connection = 0;
    ForwardedPayload payload;
    scheduling::Task task;
    RequestState state = RequestState::kWaiting;  // Transition alone changes it
    int attempts = 0;                             // started so far
    AttemptId attempt = 0;                        // number of the latest one
    std::uint64_t read_by = 0;                    // see ClientPort::IsClientWaiting
    NodeId node = 0;                              // of the latest attempt
    Time sent = 0;                                // when it arrived; then, when its latest attempt started
    Handle timer = 0;                             // of the open attempt, or of a stop
    ClassCounters* counters = nullptr;            // where its final answer is counted
  };
  struct ListedEntry {
    scheduling::NodeEntry entry;  // as the endpoint list has it, without suspensions
    Time started_at = 0;
    bool removed = false;
  };
  enum class ClientNotice { kSend, kOmit };
  enum class LostTaskFate { kOver, kMayStillRun };

  Request* FindRequest(TaskId id);
  // The request whose open attempt has this number; null where that attempt is over.
  Request* FindAttempt(TaskId id, AttemptId attempt);
  void Transition(Request* request, RequestEvent event);

  // Passes the event to the scheduler and executes its actions; queues it while other actions are executed.
  void HandleEvent(const scheduling::Event& event);
  void ExecuteAction(const scheduling::Action& action);
  void Execute(const scheduling::StartAttempt& action);
  void LogAttempt(const Request& request) const;
  void Execute(const scheduling::CancelAttempt& action);
  void Execute(const scheduling::RejectRequest& action);
  void Execute(const scheduling::FailRequest& action);
  void Execute(const scheduling::MigrateTask& action);
  void Execute(const scheduling::CheckNodeHealth& action);
  void Execute(const scheduling::CloseIdleConnections& action) { nodes_->CloseIdleConnections(action.node); }
  void Execute(const scheduling::WatchEndpointList& action) { discovery_->Subscribe(action.active); }
  void Execute(const scheduling::FetchEndpointList&) { discovery_->Fetch(); }
  void Execute(const scheduling::SetTimer& action);
  void Execute(const scheduling::SendPeerMessage&) {}  // cluster managers exchange no messages
  void Execute(const scheduling::LogMessage& action);

  bool AcceptRepeatedRequest(Request* request, const TaskRequest& incoming);
  Handle InsertRequest(TaskRequest* incoming);
  void ClaimRunningTask(Handle handle, const TaskRequest& incoming);
  // The completion of a running task goes to this connection from now on.
  void MoveToClientConnection(Request* request, Handle client_connection);

  // Gives the client its final answer; an open attempt is cancelled first, so that none is open once the
  // answer is read. No effect where the request is null or answered.
  template <typename SendAnswer>
  void CompleteRequest(Request* request, std::uint64_t ClassCounters::*counter, SendAnswer send_answer);
  void CancelAttempt(Handle handle, Request* request, scheduling::Outcome outcome);
  void EndAttempt(Handle handle, Request* request, scheduling::Outcome outcome, scheduling::EndReason reason,
                  scheduling::LoadReport report);
  // Tells the node to stop a running task. The scheduler learns of its end when the node confirms it, or
  // after kStopTimeout.
  void StopTask(Handle handle, Request* request);
  void FinishRunningTask(Handle handle, Request* request, scheduling::Outcome outcome,
                         scheduling::EndReason reason, ClientNotice notice);
  // Ends all tasks of the node that were sent before then, as aborted. Returns how many there were.
  std::size_t FinishLostTasks(NodeId node, Time sent_before, LostTaskFate fate);
  void EraseRequest(Handle handle, Request* request);
  // Cancels attempts that were not written yet to a node that may get nothing new.
  void CancelQueuedAttempts(NodeId node);

  void ReportAttemptToZoneFailover(NodeId node, const Request& request, const NodeReply& reply);
  void EvaluateZoneFailover();
  void RefreshClassCounters();
  // Takes over one entry of the endpoint list. Returns it as the scheduler is to see it.
  scheduling::NodeEntry ApplyListedNode(const ListedNode& node);
  // Once the grace period of a removed node is over, its tasks are taken for lost and it is forgotten.
  void ScheduleNodeRemoval(NodeId node);
  void ReportListingToZoneFailover(const scheduling::NodeEntry& listed, scheduling::NodeState state);
  scheduling::NodeEntry ApplySuspension(const scheduling::NodeEntry& entry) const;

  EventLoop* loop_;
  ClassTable classes_;
  std::vector<double> kind_cores_;   // by kind of node
  std::vector<double> kind_memory_;  // by kind of node
  scheduling::Scheduler scheduler_;
  Metrics metrics_;
  std::vector<ClassCounters*> class_counters_;            // by class index
  NodeSuspensions* suspensions_ = nullptr;                // null: operators cannot suspend nodes
  zone_failover::ZoneFailover* zone_failover_ = nullptr;  // null: no zone failover is configured
  ClientPort* clients_ = nullptr;
  NodePort* nodes_ = nullptr;
  DiscoveryPort* discovery_ = nullptr;
  SlotTable<Request> requests_;
  NumberMap<TaskId, Handle> handle_by_task_;
  std::unordered_map<NodeId, ListedEntry> listed_nodes_;
  std::size_t unanswered_requests_ = 0;
  AttemptId last_attempt_ = 0;
  UnclaimedCompletions unclaimed_completions_;
  std::vector<scheduling::Event> queued_events_;
  bool handling_events_ = false;
};

}  // namespace cluster_manager
