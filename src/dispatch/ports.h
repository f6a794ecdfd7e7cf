// Interfaces between the Dispatcher and the modules that communicate with clients, nodes and discovery.
//
// Purpose: the dispatcher is independent of the network protocols, and the protocol modules are independent
// of each other. The dispatcher calls the ports (ClientPort, NodePort, DiscoveryPort); the protocol modules
// call the event interfaces (ClientEvents, NodeEvents, DiscoveryEvents), which the dispatcher implements.
// Owns nothing. The ports are implemented by the client front end (src/clients), the node connections
// (src/nodes) and the endpoint list watcher (src/discovery).
// Threads: the event loop's thread only. No call blocks. A port may report events from within a call.
// Times are nanoseconds of the event loop's clock. References and views are valid during the call only.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "containers/block_pool.h"
#include "containers/slot_table.h"
#include "failure_detection/peer_identities.h"
#include "net/timer_wheel.h"
#include "scheduling/scheduler.h"

namespace cluster_manager {

// Identifies a task; assigned by the client and unique across all clients.
using TaskId = std::uint64_t;
using NodeId = scheduling::NodeId;
// Identifies one attempt to place a task on a node. Ids are never reused within a process, so that a late
// reply to an earlier attempt is not mistaken for a reply to the current one.
using AttemptId = std::uint64_t;

// The part of a task request that is forwarded to the node unchanged, in wire format: the request class,
// followed by the other fields. Copied from the client's message once; all copies of this struct share the
// bytes.
struct ForwardedPayload {
  BlockPool::Ref bytes;
  std::size_t class_end = 0;  // length of the encoded request class, in bytes
  bool operator==(const ForwardedPayload& other) const {
    return class_end == other.class_end && bytes.view() == other.bytes.view();
  }
};

// How a task ended, as reported to its client. kAborted: it was stopped or lost, or never ran.
enum class TaskEnd { kCompleted, kAborted };

// A client's request to run a task, or to claim a task that is already running.
struct TaskRequest {
  TaskId id = 0;
  Handle client_connection = 0;  // the connection that receives the answer
  scheduling::Task task;         // the dispatcher sets task.id
  ForwardedPayload payload;
  std::optional<NodeId> running_on;  // for a claim: the node that runs the task
};

using failure_detection::PeerId;

// The processes that a retry may be written to: `peer`, the one that received an earlier attempt, and, with
// `allows_confirmed`, any that is known to be the chosen node's. Attempts that no node can have run yet have
// no such restriction.
struct RetryRestriction {
  PeerId peer = 0;  // 0: no restriction
  bool allows_confirmed = false;
};

// A node in the endpoint list.
struct ListedNode {
  scheduling::NodeEntry entry;
  std::string endpoint;  // "address:port"
};

// --- Ports: called by the dispatcher -------------------------------------------------------------------

// Sends messages to clients. The handle may refer to a connection that has been closed: answers are then
// dropped, completions are queued and sent on another connection.
class ClientPort {
 public:
  // The task is running. `description`: the node's description of it, in wire format.
  virtual void SendAccepted(Handle client_connection, TaskId id, std::string_view description) = 0;
  // The request was rejected without running the task. `retry_after`: the recommended delay before a retry,
  // in nanoseconds; 0: none.
  virtual void SendRejected(Handle client_connection, TaskId id, Time retry_after) = 0;
  // The request ended without a running task. The task may have been executed.
  virtual void SendFailed(Handle client_connection, TaskId id, TaskEnd completion) = 0;
  // A running task ended. The completion is kept until a client confirms it or CompletionQueue drops it.
  virtual void SendCompletion(Handle client_connection, TaskId id, TaskEnd completion) = 0;
  // The task migrates: the client resubmits it, and it is stopped on its current node.
  virtual void SendMigration(Handle client_connection, TaskId id) = 0;
  // Records that a task requested on this connection started or (false) stopped running. The connection is
  // kept open for completions while any of its tasks is running.
  virtual void SetTaskRunning(Handle client_connection, bool running) = 0;
  // Whether the client is still waiting for its answer, given everything that has arrived on its
  // connection. While bytes that arrived before the first call are unprocessed, the result is false.
  // `required_read_position` stores the stream position up to which the connection must be processed; it
  // has to be 0 on the first call and be passed unchanged to the following ones.
  virtual bool IsClientWaiting(Handle client_connection, std::uint64_t* required_read_position) = 0;

 protected:
  ~ClientPort() = default;
};

// Sends messages to nodes and manages the connections to them.
class NodePort {
 public:
  // Updates the address and state of a node from the endpoint list.
  virtual void UpdateNode(const ListedNode& node) = 0;
  // Starts an attempt. The request is written as soon as a connection is established and
  // NodeEvents::CheckAttemptAllowed, called immediately before the write, permits it. `deadline`: when the
  // dispatcher stops waiting for the reply. A restricted attempt is written only on an established connection
  // that `restriction` allows; where there is none, it ends with Outcome::kNotSent.
  virtual void StartAttempt(NodeId node, TaskId id, AttemptId attempt, const ForwardedPayload& payload,
                            Time deadline, const RetryRestriction& restriction) = 0;
  // Whether the attempt is queued until a connection is established or CheckAttemptAllowed permits it; no
  // byte of it has been written.
  virtual bool IsQueued(NodeId node, TaskId id) const = 0;
  // Cancels the open attempt. The cancellation is written, or the connection closed, before this returns.
  // Returns false if the attempt had not been written.
  virtual bool CancelAttempt(NodeId node, TaskId id) = 0;
  // Stops a running task. The message is repeated on new connections until the node confirms the stop.
  virtual void StopTask(NodeId node, TaskId id) = 0;
  // Records that a task started or (false) stopped running on the node. A connection is kept open while any
  // task is running there.
  virtual void SetTaskRunning(NodeId node, TaskId id, bool running) = 0;
  // Starts a health check for the scheduler; the result is reported by NodeEvents::OnHealthCheckResult.
  virtual void CheckHealth(NodeId node) = 0;
  // Starts a reachability check for zone failover; the result is reported by
  // NodeEvents::OnReachabilityResult.
  virtual void CheckReachability(NodeId node) = 0;
  // Closes the connections to the node if it has no open attempt, running task or pending check.
  virtual void CloseIdleConnections(NodeId node) = 0;
  // Whether an attempt at the node can be written at once on a connection that `restriction` allows.
  virtual bool CanReach(NodeId node, const RetryRestriction& restriction) = 0;
  // The node whose process this peer is; empty while that is not known.
  virtual std::optional<NodeId> ConfirmedNode(PeerId peer) = 0;
  // Whether the connection to the peer is open, or its node is known by `until` at the latest.
  virtual bool IsPeerUsableBy(PeerId peer, Time until) = 0;
  // An event or comment was received from discovery.
  virtual void RecordListContact() = 0;
  // Marks a task as orphaned: it is treated as ended although its node did not report a completion, because
  // the node is silent or was removed from the endpoint list. It is stopped there once a message from the
  // node arrives, or at once over a connection that is still established.
  virtual void MarkOrphaned(NodeId node, TaskId id) = 0;
  // For a node removed from the endpoint list: the time until which its last messages may still arrive,
  // which may be in the past.
  virtual Time GracePeriodEnd(NodeId node) = 0;

 protected:
  ~NodePort() = default;
};

// Sends requests to the discovery service. Each request results in exactly one
// DiscoveryEvents::OnEndpointListChanged, even if it fails.
class DiscoveryPort {
 public:
  // Subscribes to changes of the endpoint list, or (false) ends the subscription.
  virtual void Subscribe(bool active) = 0;
  // Requests the whole endpoint list once.
  virtual void Fetch() = 0;

 protected:
  ~DiscoveryPort() = default;
};

// --- Events: implemented by the dispatcher ---------------------------------------------------------------

// Reports messages from clients and changes of their connections.
class ClientEvents {
 public:
  // Returns false if the request is invalid: its id belongs to a different request, or it claims a task on
  // an unknown node.
  virtual bool OnTaskRequest(TaskRequest incoming) = 0;
  // The client stops a running task or cancels an unanswered request. A cancellation is ignored unless it
  // arrives on the connection that would receive the answer.
  virtual void OnClientRelease(TaskId id, Handle client_connection) = 0;
  // The client connection was closed. Cancels the request if it is unanswered and its answer would go
  // there.
  virtual void OnClientDisconnected(TaskId id, Handle client_connection) = 0;
  // Counts a request of this class that the client front end rejected without passing it to the dispatcher.
  virtual void OnRejectedAtAdmission(int class_index) = 0;
  // The number of running tasks, whose completions clients will have to be notified of.
  virtual std::size_t RunningTaskCount() const = 0;

 protected:
  ~ClientEvents() = default;
};

// A node's final message about an attempt or task. The same message is interpreted differently before and
// after the node has accepted the attempt.
struct NodeReply {
  scheduling::Outcome attempt_outcome = scheduling::Outcome::kAborted;  // if the attempt was not accepted
  scheduling::Outcome task_outcome = scheduling::Outcome::kAborted;     // if the task was running
  scheduling::EndReason reason = scheduling::EndReason::kUnspecified;
  scheduling::LoadReport report;
};

enum class AttemptPermission {
  kGranted,     // write the request now
  kRetryLater,  // call CheckAttemptAllowed again shortly; the attempt may be cancelled in the meantime
  kDenied,      // the attempt has ended; drop it without reporting an event
};

// Reports messages from nodes and the state of their processes.
class NodeEvents {
 public:
  // Decides whether an attempt may be written to the peer; no other check is made before the write.
  virtual AttemptPermission CheckAttemptAllowed(TaskId id, AttemptId attempt, PeerId peer) = 0;
  // The node has accepted the attempt and runs the task.
  virtual void OnAttemptAccepted(NodeId node, TaskId id, AttemptId attempt, std::string_view description) = 0;
  // The attempt ended without having been accepted.
  virtual void OnAttemptEnded(NodeId node, TaskId id, AttemptId attempt, const NodeReply& reply) = 0;
  // A task that was running on the node ended. Not called for a task with an open attempt on that node.
  virtual void OnTaskEnded(NodeId node, TaskId id, const NodeReply& reply) = 0;
  // The node reported on a task that is starting or running. `level`: its meaning depends on `kind`, as in
  // scheduling::TaskReported.
  virtual void OnTaskReport(NodeId node, TaskId id, scheduling::TaskReportKind kind, double level) = 0;
  // `duration`: from the start of the check to its result.
  virtual void OnHealthCheckResult(NodeId node, scheduling::Outcome outcome, Time duration,
                                   scheduling::LoadReport report) = 0;
  virtual void OnReachabilityResult(NodeId node, scheduling::Outcome outcome, Time duration) = 0;
  // The node's process has ended, and all tasks that it ran have ended with it.
  virtual void OnNodeProcessDied(NodeId node) = 0;
  // A draining node has been silent for too long and is presumed stopped: its tasks are treated as ended.
  virtual void OnNodePresumedStopped(NodeId node) = 0;
  // The endpoint list now assigns the node's address to `successor`. `tasks`: the tasks whose attempts were
  // written to or accepted by the successor's process at that address while the list still assigned it to
  // `node`. `sends`: the times at which attempts were written to it, ended ones included.
  virtual void OnAddressSuccessor(NodeId node, NodeId successor, const std::vector<TaskId>& tasks,
                                  const std::vector<Time>& sends) = 0;

 protected:
  ~NodeEvents() = default;
};

// Reports changes of the endpoint list.
class DiscoveryEvents {
 public:
  // `nodes`: the changed entries or all entries, depending on `kind`; empty if the request failed.
  virtual void OnEndpointListChanged(scheduling::EndpointListUpdate kind, std::int64_t version,
                                     const std::vector<ListedNode>& nodes) = 0;
  // An event or comment was received.
  virtual void OnEndpointListContact() = 0;

 protected:
  ~DiscoveryEvents() = default;
};

// Derives a node's numeric id from its uid, identically in every cluster manager: the hexadecimal digits
// after the last hyphen, as in s-00c41f7a, or a hash of the uid if it has none.
NodeId NodeIdFromUid(std::string_view uid);

}  // namespace cluster_manager
