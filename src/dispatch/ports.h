// The interfaces between the Dispatcher and the modules that speak to the outside.
//
// Purpose: the dispatcher knows none of their protocols, and none of them knows another. A port (ClientPort,
// NodePort, DiscoveryPort) is what the dispatcher calls; the events (ClientEvents, NodeEvents,
// DiscoveryEvents) are what the dispatcher implements and the modules call.
// Owns nothing. Implemented by: the client front end (src/clients), the node connections (src/nodes), the
// endpoint list watcher (src/discovery), and the Dispatcher.
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
#include "net/timer_wheel.h"
#include "scheduling/scheduler.h"

namespace cluster_manager {

// The client's number of a task; unique over all clients.
using TaskId = std::uint64_t;
using NodeId = scheduling::NodeId;
// One attempt to place a task at a node. No number is used twice in the life of a process, so that a late
// reply to an attempt that is over is never taken for a reply to the next.
using AttemptId = std::uint64_t;

// The part of a task request that is forwarded to a node unchanged, in wire form: the request class, then the
// other fields. Copied from the client's message once; all copies of this refer to the same bytes.
struct ForwardedPayload {
  BlockPool::Ref bytes;
  std::size_t class_end = 0;  // bytes that the request class takes
  bool operator==(const ForwardedPayload& other) const {
    return class_end == other.class_end && bytes.view() == other.bytes.view();
  }
};

// How a task is over, as its client is told. kAborted: it was stopped or lost, or never ran.
enum class TaskEnd { kCompleted, kAborted };

// A client's request to run a task, or to take over the care of one that runs already.
struct TaskRequest {
  TaskId id = 0;
  Handle client_connection = 0;  // the client front end's handle of where the answer goes
  scheduling::Task task;         // the dispatcher sets its id
  ForwardedPayload payload;
  std::optional<NodeId> running_on;  // the node that runs the task already
};

// An entry of the endpoint list.
struct ListedNode {
  scheduling::NodeEntry entry;
  std::string endpoint;  // address and port
};

// --- What the dispatcher calls -------------------------------------------------------------------------

// Messages to clients. A handle whose connection is gone is allowed: answers to it are dropped; completions
// are queued and sent on another connection.
class ClientPort {
 public:
  // The task runs; `description` is the node's, in wire form.
  virtual void SendAccepted(Handle client_connection, TaskId id, std::string_view description) = 0;
  // The task did not run. The client may retry after `retry_after`, in nanoseconds; 0: no advice.
  virtual void SendRejected(Handle client_connection, TaskId id, Time retry_after) = 0;
  // The request is over without a running task; it may have run.
  virtual void SendFailed(Handle client_connection, TaskId id, TaskEnd completion) = 0;
  // A running task is over. Kept until a client confirms it or CompletionQueue gives it up.
  virtual void SendCompletion(Handle client_connection, TaskId id, TaskEnd completion) = 0;
  // A running task is to be submitted again elsewhere; it is stopped where it runs.
  virtual void SendMigration(Handle client_connection, TaskId id) = 0;
  // A task that was requested on this connection runs, or (false) no longer does. The connection is kept open
  // for completions as long as any does.
  virtual void SetTaskRunning(Handle client_connection, bool running) = 0;
  // Whether the client still waits for its answer, judged by all that has arrived on its connection, also
  // bytes that were not processed yet. While there are such bytes the result is false; `read_by` then holds
  // the position up to which they must be processed, from one call to the next, and is 0 at first.
  virtual bool IsClientWaiting(Handle client_connection, std::uint64_t* read_by) = 0;

 protected:
  ~ClientPort() = default;
};

// Messages to nodes and their connections.
class NodePort {
 public:
  // The node is in the endpoint list, with this address and state.
  virtual void UpdateNode(const ListedNode& node) = 0;
  // Starts an attempt. It is written as soon as a connection is up and NodeEvents::CheckAttemptAllowed,
  // called immediately before the write, grants it. `until`: when the dispatcher stops waiting for the reply.
  virtual void StartAttempt(NodeId node, TaskId id, AttemptId attempt, const ForwardedPayload& payload,
                            Time until) = 0;
  // Whether the attempt waits for its connection or for CheckAttemptAllowed: nothing of it has been written.
  virtual bool IsQueued(NodeId node, TaskId id) const = 0;
  // Cancels the open attempt; the message is written before this returns, or its connection is closed. False
  // where the attempt had never been written.
  virtual bool CancelAttempt(NodeId node, TaskId id) = 0;
  // Stops a running task. Repeated on new connections until the node confirms it.
  virtual void StopTask(NodeId node, TaskId id) = 0;
  // A task runs at the node, or (false) no longer does. A connection is kept open while any does.
  virtual void SetTaskRunning(NodeId node, TaskId id, bool running) = 0;
  // Checks the node's health for the scheduler; answered by NodeEvents::OnHealthCheckResult.
  virtual void CheckHealth(NodeId node) = 0;
  // Checks whether the node answers, for zone failover; answered by NodeEvents::OnReachabilityResult.
  virtual void CheckReachability(NodeId node) = 0;
  // Closes the connections to the node where no attempt, task or check is open at it.
  virtual void CloseIdleConnections(NodeId node) = 0;
  // A task is taken for over although its node did not report it, because the node is silent or was removed
  // from the endpoint list. It is stopped there if the node is heard from again or a connection is still up.
  virtual void MarkOrphaned(NodeId node, TaskId id) = 0;
  // The node was removed from the endpoint list: until when its last messages may still arrive. May be past.
  virtual Time GracePeriodEnd(NodeId node) = 0;

 protected:
  ~NodePort() = default;
};

// Requests to the discovery service.
class DiscoveryPort {
 public:
  // Each call is answered by exactly one DiscoveryEvents::OnEndpointListChanged, also where it fails.
  virtual void Subscribe(bool active) = 0;
  virtual void Fetch() = 0;

 protected:
  ~DiscoveryPort() = default;
};

// --- What the dispatcher is told -----------------------------------------------------------------------

// Messages of clients, and the state of their connections.
class ClientEvents {
 public:
  // False where the request is invalid: its id names another request, or it claims a task at an unknown node.
  virtual bool OnTaskRequest(TaskRequest incoming) = 0;
  // The client releases a running task, or cancels a request that has no answer yet. The latter counts only
  // on the connection that its answer would go to.
  virtual void OnClientRelease(TaskId id, Handle client_connection) = 0;
  // The connection that the answer would go to is gone; it cancels the request.
  virtual void OnClientDisconnected(TaskId id, Handle client_connection) = 0;
  // The front end rejected a request of this class itself; to be counted.
  virtual void OnRejectedAtAdmission(int class_index) = 0;
  // Tasks whose completion clients will have to be told.
  virtual std::size_t RunningTasks() const = 0;

 protected:
  ~ClientEvents() = default;
};

// What a node's final message on an attempt or task says. The same message means one thing before the node
// accepted the attempt, and another after it.
struct NodeReply {
  scheduling::Outcome attempt_outcome = scheduling::Outcome::kAborted;  // of an attempt that was not accepted
  scheduling::Outcome task_outcome = scheduling::Outcome::kAborted;     // of a running task
  scheduling::EndReason reason = scheduling::EndReason::kUnspecified;
  scheduling::LoadReport report;
};

enum class AttemptPermission {
  kGranted,   // to be written now
  kAskAgain,  // to be asked again shortly; the attempt may be cancelled meanwhile
  kDenied,    // the attempt is over, and to be dropped without a report
};

// Messages of nodes, and the state of their processes.
class NodeEvents {
 public:
  // The one place that decides whether an attempt may be written.
  virtual AttemptPermission CheckAttemptAllowed(TaskId id, AttemptId attempt) = 0;
  // The node runs the task.
  virtual void OnAttemptAccepted(NodeId node, TaskId id, AttemptId attempt, std::string_view description) = 0;
  // The attempt is over without having been accepted.
  virtual void OnAttemptEnded(NodeId node, TaskId id, AttemptId attempt, const NodeReply& reply) = 0;
  // A task that the node ran is over. Not for a task with an open attempt at that node.
  virtual void OnTaskEnded(NodeId node, TaskId id, const NodeReply& reply) = 0;
  // A report on a task while it starts or runs. `level`: by kind, as in scheduling::TaskReported.
  virtual void OnTaskReport(NodeId node, TaskId id, scheduling::TaskReportKind kind, double level) = 0;
  // `duration`: since the check was requested.
  virtual void OnHealthCheckResult(NodeId node, scheduling::Outcome outcome, Time duration,
                                   scheduling::LoadReport report) = 0;
  virtual void OnReachabilityResult(NodeId node, scheduling::Outcome outcome, Time duration) = 0;
  // The node's process has ended, and with it all tasks that it ran.
  virtual void OnNodeProcessDied(NodeId node) = 0;
  // The node was draining and has been silent for too long: its tasks are taken for over.
  virtual void OnNodePresumedStopped(NodeId node) = 0;
  // The endpoint list gives the node's address to another node, whose process accepted these tasks at that
  // address before.
  virtual void OnAddressSuccessor(NodeId node, NodeId successor, const std::vector<TaskId>& tasks) = 0;

 protected:
  ~NodeEvents() = default;
};

// Changes of the endpoint list.
class DiscoveryEvents {
 public:
  // `nodes`: by kind, the changed entries or all of them; empty where the request failed.
  virtual void OnEndpointListChanged(scheduling::EndpointListUpdate kind, std::int64_t version,
                                     const std::vector<ListedNode>& nodes) = 0;

 protected:
  ~DiscoveryEvents() = default;
};

// The number of a node from its uid, equal in every cluster manager: the hexadecimal digits after the last
// hyphen, as in s-00c41f7a, otherwise a hash of the text.
NodeId NodeIdFromUid(std::string_view uid);

}  // namespace cluster_manager
