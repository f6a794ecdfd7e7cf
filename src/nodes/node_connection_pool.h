// Connections to the nodes, and everything that is under way on them: task requests, health checks, stop
// requests, and the connection that is kept open to each node with running tasks.
//
// The pool implements NodePort for the dispatcher and reports to it through NodeEvents. It owns one
// NodeRecord per node and one NodeConnection per TCP connection. It runs on the thread of its event loop
// only. Bounds: DescriptorBudget limits the connections in total, kMaxConnectionsPerNode those to one node;
// the record of a removed node is dropped once nothing is pending for it (ForgetRemovedNodes).
//
//   node_connection_pool.cpp   the node records, running tasks
//   connection_lifecycle.cpp   dialing, established and ended connections
//   attempt_sending.cpp        choice of a connection for an attempt, sending, cancelling, stop requests
//   message_handling.cpp       messages from nodes
//   health_checks.cpp          health checks, suspect connections, nodes that are leaving
//   address_successors.cpp     a removed node whose address was given to another node
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
#include "net/connection.h"
#include "nodes/connection_state.h"
#include "nodes/descriptor_budget.h"
#include "protocol/message.h"

namespace cluster_manager {

struct NodeConnectionTimeouts {
  Time dial;       // a connection that is not established by then is given up; nanoseconds
  Time keepalive;  // nodes close a connection that was idle for so long; nanoseconds
};

class NodeConnectionPool final : public NodePort, public Connection::Handler {
 public:
  // `descriptor_limit`: see DescriptorBudget. `seed`: where ids of health checks start. `loop` and `events`
  // must outlive the pool.
  NodeConnectionPool(EventLoop* loop, NodeConnectionTimeouts timeouts, int descriptor_limit,
                     std::uint64_t seed, NodeEvents* events);

  void SetTimeouts(NodeConnectionTimeouts timeouts) { timeouts_ = timeouts; }
  void SetDescriptorLimit(int limit) { descriptors_.SetLimit(limit); }
  // How many descriptors clients hold: what they leave unused may serve connections to nodes.
  void SetClientDescriptors(std::function<std::size_t()> count) {
    descriptors_.SetClientCount(std::move(count));
  }
  std::size_t size() const { return nodes_.size(); }  // node records
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t unanswered_attempt_count() const;  // task requests sent and not answered

  // NodePort; see there.
  void UpdateNode(const ListedNode& node) override;
  void StartAttempt(NodeId node, TaskId id, AttemptId attempt, const ForwardedPayload& payload,
                    Time until) override;
  bool IsQueued(NodeId node, TaskId id) const override;
  bool CancelAttempt(NodeId node, TaskId id) override;
  void StopTask(NodeId node, TaskId id) override;
  void SetTaskRunning(NodeId node, TaskId id, bool running) override;
  void CheckHealth(NodeId node) override { CheckHealth(node, HealthCheckPurpose::kScheduler); }
  void CheckReachability(NodeId node) override;
  void CloseIdleConnections(NodeId node) override;
  void MarkOrphaned(NodeId node, TaskId id) override;
  Time GracePeriodEnd(NodeId node) override;

 private:
  struct QueuedAttempt {  // a task request that was not written yet
    TaskId id;
    AttemptId attempt;
    ForwardedPayload payload;
    Time until;  // its deadline at the node
  };
  struct DeferredAttempt {  // CheckAttemptAllowed answered kRetryLater: the client's connection is read first
    NodeId node;
    QueuedAttempt queued;
  };
  struct SentAttempt {
    AttemptId attempt;
    Handle connection;
    std::uint64_t loop_turn;  // the request leaves at the end of that turn
  };
  enum class HealthCheckPurpose { kScheduler, kProcessLiveness, kSiteReachability };
  struct HealthCheck {
    TaskId id;
    Time asked;
    Handle timer;
    Handle connection;  // where it was sent, 0: not yet
    HealthCheckPurpose purpose;
  };
  // In which incarnation of the node's process a task was placed. A count of 0 with no dial time: unknown,
  // another cluster manager placed it.
  struct Placement {
    int incarnation = 0;
    Time dialed_at = 0;  // when the connection was dialed that the answer came on
  };
  struct NodeConnection {
    std::unique_ptr<Connection> transport;
    NodeId node = 0;
    ConnectionState state = ConnectionState::kDialing;
    Time dialed_at = 0;
    Time last_heard = 0;         // 0 while dialing
    int incarnation = 0;         // of the process at that address, see NodeRecord::incarnations_ended
    Handle timer = 0;            // of the dial; then of a message that is incomplete
    std::size_t unanswered = 0;  // task requests sent on it and not answered
    std::vector<QueuedAttempt> queued_attempts;  // sent once it is established

    bool IsDialing() const { return state == ConnectionState::kDialing; }
    bool IsSuspect() const { return state == ConnectionState::kSuspect; }
    void Apply(ConnectionEvent event) { state = NextState(state, event); }
  };
  struct NodeRecord {
    sockaddr_in address{};
    bool address_known = false;
    bool removed = false;        // from the endpoint list
    Time started_at = 0;         // as the endpoint list has it, 0: not stated
    int incarnations_ended = 0;  // processes seen to end at that address, by resets and refused dials
    bool incarnation_may_have_ended = false;  // the next connection counts as one to a new process
    std::optional<NodeId> address_successor;  // this node is removed, and that one has its address
    std::vector<Handle> connections;          // established, or being dialed
    Handle redial_timer = 0;
    std::vector<QueuedAttempt> unreachable_attempts;  // no connection can be made; failed in the next turn
    NumberMap<TaskId, SentAttempt> sent_attempts;     // not answered yet
    NumberMap<TaskId, Placement> running_tasks;
    // Tasks that the node was asked to stop, and on which connection; 0: not sent yet.
    std::unordered_map<TaskId, Handle> stop_requests;
    std::vector<HealthCheck> health_checks;
    failure_detection::FailureDetector failure_detector;
    // Reported as ended while the node was silent; stopped there if it is heard again.
    std::vector<TaskId> orphaned_tasks;
  };

  // Connection::Handler; see there.
  void OnConnected(Connection& connection) override;
  std::size_t OnData(Connection& connection, std::string_view data) override;
  void OnClosed(Connection& connection, CloseReason ending) override;

  // Messages from nodes.
  // False where nodes send no such message: the connection is closed.
  bool HandleMessage(NodeId node, Connection& connection, const protocol::Message& message);
  void HandleAnswer(NodeId node, AttemptId attempt, const protocol::Message& message);
  void HandleRelease(NodeId node, std::optional<AttemptId> attempt, const protocol::Message& message);
  void HandleTaskReport(NodeId node, const protocol::Message& message);
  void HandleHealthCheckResult(NodeId node, const protocol::Message& message);
  // Sets `attempt` to the one that an answer or release ends; leaves it empty where no attempt for the task
  // is unanswered. False for a duplicate of what ended an earlier attempt: it is to be ignored.
  bool MatchSentAttempt(NodeRecord* record, Handle handle, const protocol::Message& message,
                        std::optional<AttemptId>* attempt);
  void CheckUnfinishedMessage(Handle handle);
  void RecordTraffic(NodeId node, NodeRecord* record, NodeConnection* node_connection);

  // Connections. Dial returns null where the address is unknown or no descriptor is left.
  NodeConnection* Dial(NodeId node, NodeRecord* record);
  void DialOrRetry(NodeId node, NodeRecord* record);
  void ScheduleRedial(NodeId node, NodeRecord* record);
  void DialFailed(Handle handle, CloseReason ending);
  bool DetectProcessDeath(NodeId node, NodeRecord* record, Time dialed_at, bool refused);
  static std::vector<std::pair<TaskId, AttemptId>> RemoveSentAttempts(NodeRecord* record, Handle handle);
  static bool MarkUnsent(NodeRecord* record, Handle handle);
  void RemoveConnection(Handle handle);
  bool EvictIdleConnection();
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
  void Defer(NodeId node, const QueuedAttempt& queued);
  void ResumeDeferred();
  void RerouteAttempts(NodeId node, NodeRecord* record, const std::vector<QueuedAttempt>& undelivered);
  std::size_t RemoveUnsent(NodeRecord* record, NodeId node, TaskId id);
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
  void Suspect(NodeId node, Handle handle, Time since);
  void CheckLeavingNodes();
  void ProbeLeavingNode(NodeId node, Time now);

  // Node records and addresses.
  void ForgetRemovedNodes();
  bool IsForgettable(const NodeRecord& record) const;
  static std::uint64_t AddressKey(const sockaddr_in& address);
  void RecordAddress(NodeId node, const sockaddr_in& before);
  void TransferToSuccessor(NodeId node, NodeId successor);
  std::vector<Handle> ConnectionsOfSuccessor(const NodeRecord& record,
                                             const NodeRecord& successor_record) const;
  std::vector<TaskId> TransferAttempts(NodeRecord* record, NodeRecord* successor_record,
                                       const std::vector<Handle>& moved) const;
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
  Handle reading_connection_ = 0;                             // whose messages are being handled, or 0
  std::vector<DeferredAttempt> deferred_attempts_;
  bool resume_scheduled_ = false;      // a call of ResumeDeferred is due
  std::vector<NodeId> leaving_nodes_;  // watched by CheckLeavingNodes
};

}  // namespace cluster_manager
