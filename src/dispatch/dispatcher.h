// Manages every task request from its arrival to its completion.
//
// Purpose: translates the reports of clients, nodes and discovery into events of the scheduler
// (scheduling::Scheduler), and executes the scheduler's actions through the ports. The scheduler alone
// decides whether and where a task is placed.
// Owns: the requests and their states (request_state.h), the scheduler, the table of request classes, the
// counters per class, and the entries of the endpoint list. The ports, the suspensions and the zone
// failover are owned by the caller and outlive the dispatcher.
// Called by: the client front end (ClientEvents), the node connections (NodeEvents), the endpoint list
// watcher (DiscoveryEvents) and the server process (everything else).
// Threads: the event loop's thread only. Ports may call back from within a call; scheduler events that
// result are queued until the current actions have been executed.
// Bounds: a request without a running task ends by its task's deadline; a stopped task is forgotten after
// kStopTimeout. A request takes one slot plus its payload, whose size the client front end limits.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "completion/unclaimed_completions.h"
#include "containers/hash.h"
#include "containers/slot_table.h"
#include "dispatch/attempt_history.h"
#include "dispatch/ports.h"
#include "dispatch/request_state.h"
#include "metrics/metrics.h"
#include "net/loop.h"
#include "node_suspension/node_suspensions.h"
#include "request_classes/class_table.h"
#include "scheduling/scheduler.h"
#include "zone_failover/zone_failover.h"

namespace cluster_manager {

// Implements the event interfaces of ports.h on top of the scheduler.
class Dispatcher final : public ClientEvents,
                         public NodeEvents,
                         public DiscoveryEvents,
                         public scheduling::NodeIdentities {
 public:
  // How long to wait for a node to confirm that it has stopped a task.
  static constexpr Time kStopTimeout = 8 * kSecond;

  // `seed`: seeds the scheduler's random choices. Throws std::invalid_argument if the scheduler does not
  // support the settings. The loop outlives the dispatcher.
  Dispatcher(EventLoop* loop, scheduling::Settings settings, std::uint64_t seed);
  // Sets the ports. Must be called once, before any event arrives. The ports outlive the dispatcher.
  void Connect(ClientPort* clients, NodePort* nodes, DiscoveryPort* discovery);
  // Makes `zone_failover` the scheduler's zone policy, reports events to it from now on and evaluates it
  // every ZoneFailover::kEvaluationInterval. It outlives the dispatcher.
  void SetZoneFailover(zone_failover::ZoneFailover* zone_failover);
  // Applies the operators' suspensions to every entry of the endpoint list from now on. `suspensions`
  // outlives the dispatcher.
  void SetSuspensions(NodeSuspensions* suspensions) { suspensions_ = suspensions; }
  // Applies a completion that was received by another process of this cluster manager. `notify_client`: the
  // client has not been notified yet and is notified now; otherwise the completion is kept until a client
  // claims the task.
  void ApplyPeerCompletion(NodeId node, TaskId id, TaskEnd completion, bool notify_client);
  // Calls visit(id, task, payload, node) for each running task that is not being stopped. `visit` must not
  // call the dispatcher.
  template <typename Visit>
  void ForEachRunningTask(Visit visit) {
    requests_.ForEach([&](Handle, const Request& request) {
      if (request.state == RequestState::kRunning)
        visit(request.id, request.task, request.payload, request.node);
    });
  }
  // Completions reported by nodes for tasks that no client has claimed here.
  const UnclaimedCompletions& unclaimed_completions() const { return unclaimed_completions_; }
  // Ended requests whose ids are remembered since they may have run.
  std::size_t attempt_history_size() const { return attempt_history_.size(); }
  // Applies the suspension or resumption of a node by an operator.
  void OnSuspensionChanged(NodeId node);

  // Requests without a final answer.
  std::size_t unanswered_request_count() const { return unanswered_requests_; }
  std::size_t listed_node_count() const { return listed_nodes_.size(); }
  // Listed nodes that currently receive no new tasks.
  std::size_t excluded_node_count() const { return scheduler_.excluded_nodes(); }
  // Nodes and services that the scheduler keeps state for.
  std::size_t scheduler_entry_count() const { return scheduler_.tracked_entries(); }
  const Metrics& metrics() const { return metrics_; }
  const ClassTable& classes() const { return classes_; }
  // Applies new settings, which must have been validated. Open requests keep their class.
  ClassTable::Change ApplySettings(const scheduling::Settings& settings);
  // Announces that this process ends at `deadline`: every request, including later ones, is answered by
  // then.
  void ScheduleShutdown(Time deadline) { HandleEvent(scheduling::ShutdownScheduled{deadline}); }
  std::size_t RunningTaskCount() const override { return requests_.size() - unanswered_requests_; }

  bool OnTaskRequest(TaskRequest incoming) override;
  void OnClientRelease(TaskId id, Handle client_connection) override;
  void OnClientDisconnected(TaskId id, Handle client_connection) override;
  void OnRejectedAtAdmission(int class_index) override {
    ++class_counters_[static_cast<std::size_t>(class_index)]->throttled;
  }
  AttemptPermission CheckAttemptAllowed(TaskId id, AttemptId attempt, PeerId peer) override;
  void OnAttemptAccepted(NodeId node, TaskId id, AttemptId attempt, std::string_view description) override;
  void OnAttemptEnded(NodeId node, TaskId id, AttemptId attempt, const NodeReply& reply) override;
  void OnTaskEnded(NodeId node, TaskId id, const NodeReply& reply) override;
  void OnTaskReport(NodeId node, TaskId id, scheduling::TaskReportKind kind, double level) override;
  void OnHealthCheckResult(NodeId node, scheduling::Outcome outcome, Time duration,
                           scheduling::LoadReport report) override;
  void OnReachabilityResult(NodeId node, scheduling::Outcome outcome, Time duration) override;
  void OnNodeProcessDied(NodeId node) override;
  void OnNodePresumedStopped(NodeId node) override;
  void OnAddressSuccessor(NodeId node, NodeId successor, const std::vector<TaskId>& tasks,
                          const std::vector<Time>& sends) override;
  void OnEndpointListChanged(scheduling::EndpointListUpdate kind, std::int64_t version,
                             const std::vector<ListedNode>& nodes) override;
  void OnEndpointListContact() override { nodes_->RecordListContact(); }

  // scheduling::NodeIdentities; called by the scheduler. A request is the handle of one.
  std::optional<NodeId> FirstNode(scheduling::RequestId request) override;
  bool ReachesFirstProcess(scheduling::RequestId request, NodeId node) override;
  bool ReachesConfirmedProcess(scheduling::RequestId request, NodeId node) override;
  bool IsFirstProcessUsableBy(scheduling::RequestId request, Time until) override;

 private:
  struct Request {
    TaskId id = 0;
    Handle client_connection = 0;
    ForwardedPayload payload;
    scheduling::Task task;
    RequestState state = RequestState::kWaiting;  // changed only by Transition
    int attempt_count = 0;                        // attempts started so far
    AttemptId attempt_id = 0;                     // of the latest attempt
    std::uint64_t required_read_position = 0;     // see ClientPort::IsClientWaiting
    NodeId node = 0;                              // of the latest attempt
    PeerId peer = 0;                              // that the latest attempt was written to; 0: none
    PeerId first_peer = 0;                        // the first that may have run the task; 0: none
    NodeId first_node = 0;                        // of the attempt at `first_peer`
    Time first_sent_at = 0;                       // start of that attempt
    bool first_peer_answered = false;             // the latest attempt at `first_peer` was answered
    Time attempt_started_at = 0;                  // of the latest attempt; before the first: arrival time
    Handle timer = 0;                             // time-out of the open attempt or of the stop
    ClassCounters* counters = nullptr;            // of the request's class
  };
  struct ListedEntry {
    scheduling::NodeEntry entry;  // as in the endpoint list, without suspensions
    Time started_at = 0;
    bool removed = false;
  };
  enum class ClientNotice { kSend, kOmit };
  enum class LostTaskFate { kEnded, kMayStillRun };

  Request* FindRequest(TaskId id);
  // The request whose open attempt has this id; null if that attempt has ended.
  Request* FindRequestByAttempt(TaskId id, AttemptId attempt);
  void Transition(Request* request, RequestEvent event);

  // Passes the event to the scheduler and executes the resulting actions. While other actions are being
  // executed, the event is queued.
  void HandleEvent(const scheduling::Event& event);
  void ExecuteAction(const scheduling::Action& action);
  void Execute(const scheduling::StartAttempt& action);
  void LogAttempt(const Request& request) const;
  // The processes that a retry of the request may be written to.
  RetryRestriction RestrictionFor(const Request& request);
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
  // For a request that its client has sent before: the attempts of then count as its own.
  scheduling::EarlierAttempts RestoreAttempts(Request* request);
  void RecordFirstPeer(Request* request, scheduling::Outcome outcome);
  void ClaimRunningTask(Handle handle, const TaskRequest& incoming);
  // Makes this connection the recipient of the completion of a running task.
  void MoveToClientConnection(Request* request, Handle client_connection);

  // Sends the client its final answer. An open attempt is cancelled first, so that no attempt is open when
  // the client reads the answer. No effect if the request is null or has been answered.
  template <typename SendAnswer>
  void CompleteRequest(Request* request, std::uint64_t ClassCounters::*counter, SendAnswer send_answer);
  void CancelAttempt(Handle handle, Request* request, scheduling::Outcome outcome);
  void EndAttempt(Handle handle, Request* request, scheduling::Outcome outcome, scheduling::EndReason reason,
                  scheduling::LoadReport report);
  // Requests the node to stop a running task. The end is reported to the scheduler when the node confirms
  // it, or after kStopTimeout.
  void StopTask(Handle handle, Request* request);
  void FinishRunningTask(Handle handle, Request* request, scheduling::Outcome outcome,
                         scheduling::EndReason reason, ClientNotice notice);
  // Ends all tasks on the node whose attempt started before `started_before`, as aborted. Returns their
  // number.
  std::size_t FinishLostTasks(NodeId node, Time started_before, LostTaskFate fate);
  void EraseRequest(Handle handle, Request* request);
  // Cancels the queued attempts to a node that no longer accepts new tasks.
  void CancelQueuedAttempts(NodeId node);

  void ReportAttemptToZoneFailover(NodeId node, const Request& request, const NodeReply& reply);
  void EvaluateZoneFailover();
  void RefreshClassCounters();
  // Applies one entry of the endpoint list. Returns the entry to be passed to the scheduler, with
  // suspensions applied.
  scheduling::NodeEntry ApplyListedNode(const ListedNode& node);
  // At the end of a removed node's grace period, ends its remaining tasks as lost and erases its entry.
  void ScheduleNodeRemoval(NodeId node);
  void ReportListingToZoneFailover(const scheduling::NodeEntry& listed, scheduling::NodeState state);
  scheduling::NodeEntry ApplySuspension(const scheduling::NodeEntry& entry) const;

  EventLoop* loop_;
  ClassTable classes_;
  std::vector<double> cores_by_kind_;   // by kind of node
  std::vector<double> memory_by_kind_;  // by kind of node
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
  AttemptHistory attempt_history_;
  std::vector<scheduling::Event> queued_events_;
  bool handling_events_ = false;
};

}  // namespace cluster_manager
