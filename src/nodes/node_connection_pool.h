// Connections to the nodes, and everything that is pending on them: task requests, health checks and stop
// requests. Keeps a connection open to each node with running tasks.
//
// The pool implements NodePort for the dispatcher and reports to it through NodeEvents. It owns one
// NodeRecord per node and one NodeConnection per TCP connection. It runs on the thread of its event loop
// only. Bounds: DescriptorBudget limits the connections in total, kMaxConnectionsPerNode those to one node;
// the record of a removed node is erased once nothing is pending for it (ForgetRemovedNodes).
//
//   node_connection_pool.cpp   the node records, running tasks
//   connection_lifecycle.cpp   dialing, established and ended connections
//   connection_closing.cpp     connections that this side closes
//   attempt_sending.cpp        choice of a connection for an attempt, sending, cancelling, stop requests
//   message_handling.cpp       messages from nodes
//   health_checks.cpp          health checks, suspect connections, nodes that are leaving
//   address_successors.cpp     a removed node whose address was given to another node
//   peer_choice.cpp            which processes a retry may be written to
#pragma once

#include <netinet/in.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "containers/hash.h"
#include "containers/slot_table.h"
#include "dispatch/ports.h"
#include "failure_detection/failure_detector.h"
#include "failure_detection/peer_identities.h"
#include "net/connection.h"
#include "nodes/connection_state.h"
#include "nodes/descriptor_budget.h"
#include "protocol/message.h"

namespace cluster_manager {

// Time-outs from the settings in force.
struct NodeConnectionTimeouts {
  Time dial;       // for establishing a connection; nanoseconds
  Time keepalive;  // nodes close connections that have been idle for this long; nanoseconds
};

// All methods are called on the thread of the event loop.
class NodeConnectionPool final : public NodePort, public Connection::Handler {
 public:
  // `descriptor_limit`: see DescriptorBudget. `seed`: the first id of health checks is derived from it.
  // `loop` and `events` must outlive the pool.
  NodeConnectionPool(EventLoop* loop, NodeConnectionTimeouts timeouts, int descriptor_limit,
                     std::uint64_t seed, NodeEvents* events);

  void SetTimeouts(NodeConnectionTimeouts timeouts) { timeouts_ = timeouts; }
  void SetDescriptorLimit(int limit) { descriptors_.SetLimit(limit); }
  // `count` returns the number of descriptors that clients hold; see DescriptorBudget::SetClientCount.
  void SetClientDescriptors(std::function<std::size_t()> count) {
    descriptors_.SetClientCount(std::move(count));
  }
  std::size_t node_count() const { return nodes_.size(); }  // node records
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t unanswered_attempt_count() const;             // sent and not answered, over all nodes
  std::size_t peer_count() const { return peers_.size(); }  // entries of PeerIdentities
  // Dials the node if a task runs there and no connection to it was dialed at or after `since`, and again
  // until one is established. A node reports a completion on a connection that it has, and repeats it on the
  // next one that is opened: this process hears of those that were lost with connections of another process.
  void DialForRepeatedCompletions(NodeId node, Time since);
  // For the end of the process: closes this side of all connections and dials no node any more. What nodes
  // send until they have closed their side is still handled; connection_count() is 0 once all have.
  void CloseAllGracefully();

  // NodePort; see there.
  void UpdateNode(const ListedNode& node) override;
  void StartAttempt(NodeId node, TaskId id, AttemptId attempt, const ForwardedPayload& payload, Time deadline,
                    const RetryRestriction& restriction) override;
  bool IsQueued(NodeId node, TaskId id) const override;
  bool CancelAttempt(NodeId node, TaskId id) override;
  void StopTask(NodeId node, TaskId id) override;
  void SetTaskRunning(NodeId node, TaskId id, bool running) override;
  void CheckHealth(NodeId node) override { CheckHealth(node, HealthCheckPurpose::kScheduler); }
  void CheckReachability(NodeId node) override;
  void CloseIdleConnections(NodeId node) override;
  void MarkOrphaned(NodeId node, TaskId id) override;
  Time GracePeriodEnd(NodeId node) override;
  bool CanReach(NodeId node, const RetryRestriction& restriction) override;
  std::optional<NodeId> ConfirmedNode(PeerId peer) override;
  bool IsPeerUsableBy(PeerId peer, Time until) override;
  void RecordListContact() override;

 private:
  struct QueuedAttempt {  // a task request that was not written yet
    TaskId id;
    AttemptId attempt;
    ForwardedPayload payload;
    Time deadline;  // when the dispatcher stops waiting for the reply
    RetryRestriction restriction;
  };
  struct DeferredAttempt {  // CheckAttemptAllowed returned kRetryLater: the client's connection is read first
    NodeId node;
    QueuedAttempt queued;
  };
  struct SentAttempt {
    AttemptId attempt;
    Handle connection;
    std::uint64_t loop_iteration;  // the request is sent to the kernel at the end of it
  };
  enum class HealthCheckPurpose { kScheduler, kProcessLiveness, kZoneReachability };
  struct HealthCheck {
    TaskId id;
    Time requested_at;
    Handle timer;
    Handle connection;  // that it was sent on; 0: not sent yet
    HealthCheckPurpose purpose;
  };
  // The incarnation of the node's process in which a task was placed. Both fields are 0 where it is unknown,
  // since another cluster manager placed the task.
  struct Placement {
    int incarnation = 0;
    Time established_at = 0;  // the connection on which the task was accepted
  };
  struct NodeConnection {
    std::unique_ptr<Connection> transport;
    NodeId node = 0;
    ConnectionState state = ConnectionState::kDialing;
    Time dialed_at = 0;
    Time established_at = 0;                     // 0 while dialing
    PeerId peer = 0;                             // 0 while dialing
    Time last_received_at = 0;                   // 0 while dialing
    int incarnation = 0;                         // of the node's process, see NodeRecord::incarnations_ended
    Handle timer = 0;                            // of the dial, an incomplete message, or the close
    std::size_t unanswered_attempts = 0;         // task requests sent on it and not answered
    std::vector<QueuedAttempt> queued_attempts;  // sent once it is established

    bool IsDialing() const { return state == ConnectionState::kDialing; }
    bool IsSuspect() const { return state == ConnectionState::kSuspect; }
    bool IsClosing() const { return state == ConnectionState::kClosing; }
    void Apply(ConnectionEvent event) { state = NextState(state, event); }
  };
  struct NodeRecord {
    sockaddr_in address{};
    bool address_known = false;
    bool removed = false;  // from the endpoint list
    Time started_at = 0;   // according to the endpoint list; 0: not stated
    // Processes at this address that have ended, as seen by resets and refused dials.
    int incarnations_ended = 0;
    bool incarnation_may_have_ended = false;  // the next connection counts as one to a new process
    std::optional<NodeId> address_successor;  // the node that has the address of this removed node
    std::vector<Handle> connections;          // being dialed or established, except closing ones
    Handle redial_timer = 0;
    // Until one that was dialed then or later is established; 0: not wanted.
    Time connection_wanted_since = 0;
    std::vector<QueuedAttempt> unreachable_attempts;  // to be failed in the next loop iteration
    NumberMap<TaskId, SentAttempt> sent_attempts;     // without an answer so far
    NumberMap<TaskId, Placement> running_tasks;
    // The tasks to be stopped, with the connection that the stop request was sent on; 0: not sent yet.
    std::unordered_map<TaskId, Handle> stop_requests;
    std::vector<HealthCheck> health_checks;
    failure_detection::FailureDetector failure_detector;
    Time unfinished_message_timeout = 0;  // how long its messages may take; 0: the shortest limit
    // Reported as ended while the node was silent; to be stopped once a message arrives from it.
    std::vector<TaskId> orphaned_tasks;
  };

  // Connection::Handler; see there.
  void OnConnected(Connection& connection) override;
  std::size_t OnData(Connection& connection, std::string_view data) override;
  void OnClosed(Connection& connection, CloseReason ending) override;

  // Messages from nodes.

  // False if the message is not valid from a node: the connection is closed.
  bool HandleMessage(NodeId node, Connection& connection, const protocol::Message& message);
  void HandleAcceptance(NodeId node, AttemptId attempt, const protocol::Message& message);
  void HandleRelease(NodeId node, std::optional<AttemptId> attempt, const protocol::Message& message);
  void HandleTaskReport(NodeId node, const protocol::Message& message);
  void HandleHealthCheckResult(NodeId node, const protocol::Message& message);
  // Sets `attempt` to the attempt that is ended by an answer or release; leaves it empty if no attempt for
  // the task is unanswered. False for a duplicate of a message that ended an earlier attempt, to be ignored.
  bool MatchSentAttempt(NodeRecord* record, Handle handle, const protocol::Message& message,
                        std::optional<AttemptId>* attempt);
  void RecordMessageDuration(NodeId node, Time duration);
  void CheckUnfinishedMessage(Handle handle);
  void RecordTraffic(NodeId node, NodeRecord* record, NodeConnection* node_connection);

  // Connections. Dial returns null where the address is unknown, the node was removed, no descriptor is left,
  // or all connections are being closed.
  NodeConnection* Dial(NodeId node, NodeRecord* record);
  void DialOrRetry(NodeId node, NodeRecord* record);
  void ScheduleRedial(NodeId node, NodeRecord* record);
  void DialFailed(Handle handle, CloseReason ending);
  bool StopWaitingForRepeatedCompletions(NodeRecord* record) const;
  bool DetectProcessDeath(NodeId node, NodeRecord* record, Time dialed_at, bool refused);
  static std::vector<std::pair<TaskId, AttemptId>> RemoveSentAttempts(NodeRecord* record, Handle handle);
  static bool MarkForResend(NodeRecord* record, Handle handle);
  void RemoveConnection(Handle handle);
  void CloseGracefully(Handle handle);
  bool EvictIdleConnection();
  bool IsExpired(const NodeConnection& node_connection, Time now);
  void CloseExpiredConnections();
  void CloseUnusable(NodeRecord* record);
  bool IsUsable(const NodeConnection& node_connection);
  bool IsInUse(const NodeRecord& record, const NodeConnection& node_connection) const;
  NodeConnection* BestConnection(const NodeRecord& record);
  NodeConnection* DialingConnection(const NodeRecord& record);
  static bool NeedsConnection(const NodeRecord& record) {
    return !record.running_tasks.empty() || !record.stop_requests.empty();
  }
  void EnsureConnection(NodeId node, NodeRecord* record);

  // Attempts and stop requests.
  void AssignConnection(NodeId node, const QueuedAttempt& queued);
  void SendTaskRequest(NodeRecord* record, NodeConnection* node_connection, const QueuedAttempt& queued);
  void LogWrite(const NodeRecord& record, const NodeConnection& node_connection,
                const QueuedAttempt& queued) const;
  void DeferAttempt(NodeId node, const QueuedAttempt& queued);
  void ResumeDeferredAttempts();
  void SendRestrictedAttempt(NodeId node, const QueuedAttempt& queued);
  void FailRestrictedAttempts();
  NodeConnection* BestAllowedConnection(const NodeRecord& record, const RetryRestriction& restriction);
  void ConfirmPeers(const NodeRecord& record);
  void RerouteAttempts(NodeId node, NodeRecord* record, const std::vector<QueuedAttempt>& undelivered);
  std::size_t RemoveQueuedAttempts(NodeRecord* record, NodeId node, TaskId id);
  void FailUnreachable(NodeId node);
  void ReportNoConnection(NodeId node, const QueuedAttempt& queued);
  static void SendStopRequest(TaskId id, Handle* sent_on, NodeConnection* node_connection);
  static void SendOrphanStop(TaskId id, NodeConnection* node_connection);

  // Health checks.
  void CheckHealth(NodeId node, HealthCheckPurpose purpose);
  static bool HasHealthCheck(const NodeRecord& record, HealthCheckPurpose purpose);
  HealthCheck* StartHealthCheck(NodeId node, NodeRecord* record, HealthCheckPurpose purpose);
  static void SendHealthCheck(HealthCheck* health_check, NodeConnection* node_connection);
  void FinishHealthCheck(NodeId node, TaskId id, scheduling::Outcome outcome, scheduling::LoadReport report);
  void CheckProcessLiveness(NodeId node, NodeRecord* record, NodeConnection* node_connection);
  void SuspectConnection(NodeId node, Handle handle, Time since);
  void CheckLeavingNodes();
  void ProbeLeavingNode(NodeId node, Time now);

  // Node records and addresses.
  void ForgetRemovedNodes();
  bool CanForget(const NodeRecord& record) const;
  static std::uint64_t AddressKey(const sockaddr_in& address);
  void RecordAddress(NodeId node, const sockaddr_in& before);
  void TransferToSuccessor(NodeId node, NodeId successor);
  std::vector<Handle> ConnectionsOfSuccessor(const NodeRecord& record,
                                             const NodeRecord& successor_record) const;
  static std::vector<TaskId> TransferSentAttempts(NodeRecord* record, NodeRecord* successor_record,
                                                  const std::vector<Handle>& moved);
  void RescheduleQueuedAttempts(NodeId node, NodeRecord* record, const std::vector<Handle>& moved);
  static std::size_t TransferRunningTasks(NodeRecord* record, NodeRecord* successor_record,
                                          std::vector<TaskId>* tasks);
  void TransferConnections(NodeRecord* record, NodeId successor, const std::vector<Handle>& moved);
  static bool BelongsToSuccessor(const NodeRecord& record, const NodeRecord& successor_record,
                                 const Placement& placement);

  EventLoop* loop_;
  NodeConnectionTimeouts timeouts_;
  DescriptorBudget descriptors_;
  NodeEvents* events_;
  TaskId next_health_check_id_;
  std::unordered_map<NodeId, NodeRecord> nodes_;
  SlotTable<NodeConnection> connections_;
  std::unordered_map<std::uint64_t, NodeId> last_listed_at_;  // by AddressKey
  Handle reading_connection_ = 0;                             // whose messages are being handled; 0: none
  std::vector<DeferredAttempt> deferred_attempts_;
  failure_detection::PeerIdentities peers_;
  std::vector<DeferredAttempt> unreachable_restricted_;  // to be ended in the next loop iteration
  bool closes_all_ = false;                              // CloseAllGracefully was called
  bool resume_scheduled_ = false;                        // a call of ResumeDeferredAttempts is scheduled
  std::vector<NodeId> leaving_nodes_;                    // watched by CheckLeavingNodes
};

}  // namespace cluster_manager
