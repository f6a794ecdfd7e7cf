// The events that Scheduler::Handle takes: endpoint list updates, requests, and the outcome of their
// attempts. Types only. Times and durations are nanoseconds of the caller's event clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "scheduling/settings.h"

namespace scheduling {

enum class NodeState { kRemoved, kReady, kDraining };

// What an endpoint list event carries: the changed nodes, all nodes, all nodes from a cache, or no nodes
// because the list could not be read.
enum class EndpointListUpdate { kDelta, kFull, kCached, kFailed };

// The result of an attempt or health check. The comments say whether the task can have run.
enum class Outcome {
  kOk,
  kError,         // the node answered with an error; the task may have started
  kRefused,       // never ran
  kTimedOut,      // may have been accepted
  kNoConnection,  // never ran
  kAborted,       // after acceptance: lost or evicted; before acceptance: may have been accepted
  kCancelled,     // cancelled before an answer arrived; may have been accepted
  kNotSent        // never ran
};

// Why a node refused a task or ended it.
enum class EndReason {
  kUnspecified,
  kNoCores,
  kNoMemory,
  kQueueFull,
  kNotAcceptedHere,
  kEvicted,
  kPreempted,
  kMigrated
};

enum class TaskReportKind { kStarted = 1, kCoresUsed, kMemoryUsed, kServiceLevel, kNodeMemoryPressure };

// A node in the endpoint list. The scheduler does not use nominal_capacity at present.
struct NodeEntry {
  NodeId node = 0;
  NodeState state = NodeState::kReady;
  int kind = 0;
  int zone = 0;
  int rack = 0;
  Time started_at = 0;    // 0: started too long ago to be warming up
  double free_cores = 0;  // capacity minus requested cores; valid if Settings::shows_free_capacity
  double free_memory = 0;
  double nominal_capacity = 1;
};

// The task of a request. The scheduler does not use name, expected_duration, is_retry and resubmitted at
// present.
struct Task {
  RequestId id = 0;
  Time deadline = 0;
  int class_index = 0;
  int tenant = 0;
  std::uint64_t service = 0;  // tasks of one service run the same program
  std::uint64_t name = 0;
  double cores = 0;
  double memory = 0;
  Time expected_duration = 0;  // 0: unknown
  bool is_retry = false;
  bool resubmitted = false;  // sent again by the client after a rejection, failure, migration or loss
};

// A node's load report. Holds only the values that the node reported.
struct LoadReport {
  enum Field { kCpuLoad, kFreeCores, kFreeMemory, kQueueLength, kFieldCount };
  std::array<double, kFieldCount> value{};
  std::array<bool, kFieldCount> present{};

  void Set(Field field, double reported) {
    value[field] = reported;
    present[field] = true;
  }
};

// The endpoint list was received, has changed, or could not be read. The scheduler does not use `version` at
// present.
struct EndpointListChanged {
  EndpointListUpdate kind = EndpointListUpdate::kDelta;
  std::int64_t version = 0;
  std::shared_ptr<const std::vector<NodeEntry>> entries;  // null if kind is kFailed
};

// Attempts of a request that the scheduler does not track any more. At least one of them may have run.
struct EarlierAttempts {
  int count = 0;           // 0: none
  NodeId first_node = 0;   // of the first attempt that may have run
  Time first_sent_at = 0;  // its start
};

// A new request has arrived. `earlier`: its client has sent it before and has left in between; the attempts
// are numbered on from `earlier.count`.
struct TaskArrived {
  Task task;
  EarlierAttempts earlier = {};
};

// Tracks a task that is already running on a node. It counts as attempt 0.
struct TaskClaimed {
  Task task;
  NodeId node = 0;
};

// A node has accepted the task of an attempt.
struct TaskAccepted {
  RequestId id = 0;
  int attempt = 0;
  NodeId node = 0;
  Time duration = 0;  // from the start of the attempt to the acceptance
};

// An attempt has ended: it was refused or failed, or the accepted task has ended.
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  NodeId node = 0;
  Outcome outcome = Outcome::kOk;
  Time duration = 0;
  bool is_final = false;  // the request needs no further answer
  EndReason reason = EndReason::kUnspecified;
  LoadReport report;
};

// The process that answered at the address of `node` was that of `successor`, as the endpoint list shows now.
// The caller sends this before the EndpointListChanged event that shows it.
struct NodeReplaced {
  NodeId node = 0;
  NodeId successor = 0;
  std::vector<RequestId> requests;  // with an attempt or running task at `node` that is the successor's
  std::vector<Time> sends;          // when attempts were sent to the successor, ended ones included
};

// The client no longer waits for the request.
struct RequestCancelled {
  RequestId id = 0;
};

// A node's report on a running task. `level` depends on `kind`: cores used, memory used, or a share from 0 to
// 1.
struct TaskReported {
  RequestId id = 0;
  int attempt = 0;
  NodeId node = 0;
  TaskReportKind kind = TaskReportKind::kStarted;
  double level = 0;
};

// The result of a CheckNodeHealth action.
struct HealthCheckCompleted {
  NodeId node = 0;
  Outcome outcome = Outcome::kOk;
  Time duration = 0;
  LoadReport report;  // valid if outcome is kOk
};

// The time of a SetTimer action has been reached.
struct TimerFired {
  std::uint64_t tag = 0;
};

// A message from another scheduler. The scheduler does not use it at present.
struct PeerMessageReceived {
  int sender = 0;
  std::string body;
};

// The answers of the zone policy may have changed.
struct ZonePolicyChanged {};

// Replaces the settings. Invalid settings are logged, and the previous ones stay in use. A class or tenant
// must keep its index as long as a request or running task refers to it. A larger max_attempts does not apply
// to requests that are already open.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
  // By class: the previous index of the class whose learned estimates it takes over; its own index keeps
  // them, -1 starts from the initial estimates.
  std::vector<int> estimate_sources;
};

// This process ends at `deadline`; every request is answered before then.
struct ShutdownScheduled {
  Time deadline = 0;
};

using Event = std::variant<EndpointListChanged, TaskArrived, TaskClaimed, TaskAccepted, AttemptEnded,
                           NodeReplaced, RequestCancelled, TaskReported, HealthCheckCompleted, TimerFired,
                           PeerMessageReceived, ZonePolicyChanged, SettingsChanged, ShutdownScheduled>;

}  // namespace scheduling
