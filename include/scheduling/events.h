// What a scheduler is told: the endpoint list, the requests and what became of their attempts. Types only;
// Scheduler::Handle takes them. Times and durations are nanoseconds of the caller's event clock.
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

// What an endpoint list event carries: changes, all nodes, all nodes from a cache, or nothing.
enum class EndpointListUpdate { kDelta, kFull, kCached, kFailed };

// The result of an attempt or health check.
enum class Outcome {
  kOk,
  kError,         // the node answered with an error; the task may have started
  kRefused,       // never ran
  kTimedOut,      // may have been accepted
  kNoConnection,  // never ran
  kAborted,       // accepted: lost or evicted; before: may have been accepted
  kCancelled,     // before it was accepted: may have been accepted
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

// A node in the endpoint list. No decision reads `nominal` so far.
struct NodeEntry {
  NodeId node = 0;
  NodeState state = NodeState::kReady;
  int kind = 0;
  int zone = 0;
  int rack = 0;
  Time started_at = 0;    // 0: long ago
  double free_cores = 0;  // by what was requested; meaningful where Settings::shows_free_capacity
  double free_memory = 0;
  double nominal = 1;
};

// What a request asks for. No decision reads name, expected_duration, is_retry and resubmitted so far.
struct Task {
  RequestId id = 0;
  Time deadline = 0;
  int class_index = 0;
  int tenant = 0;
  std::uint64_t service = 0;  // tasks of a service share a program
  std::uint64_t name = 0;
  double cores = 0;
  double memory = 0;
  Time expected_duration = 0;  // 0: unknown
  bool is_retry = false;
  bool resubmitted = false;  // it came again after a refusal, failure, move or loss
};

// A node's load report: the figures that it gave, and nothing else.
struct LoadReport {
  enum Field { kCpuLoad, kFreeCores, kFreeMemory, kQueueLength, kFieldCount };
  std::array<double, kFieldCount> value{};
  std::array<bool, kFieldCount> present{};

  void Set(Field field, double figure) {
    value[field] = figure;
    present[field] = true;
  }
};

// The endpoint list has come or changed, or could not be read. No decision reads `version` so far.
struct EndpointListChanged {
  EndpointListUpdate kind = EndpointListUpdate::kDelta;
  std::int64_t version = 0;
  std::shared_ptr<const std::vector<NodeEntry>> entries;  // null where kind is kFailed
};

// A new request.
struct TaskArrived {
  Task task;
};

// A task that runs already and is tracked from now on; counts as attempt 0.
struct TaskClaimed {
  Task task;
  NodeId node = 0;
};

// A node has accepted the task of an attempt.
struct TaskAccepted {
  RequestId id = 0;
  int attempt = 0;
  NodeId node = 0;
  Time duration = 0;  // from the start of the attempt
};

// An attempt is over: refused, failed, or the accepted task has ended.
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

// The client does not wait for the request any more.
struct RequestCancelled {
  RequestId id = 0;
};

// A node's report on a running task. `level`: cores or memory used, or a share from 0 to 1, by kind.
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
  LoadReport report;  // meaningful where outcome is kOk
};

// The time of a SetTimer action has come.
struct TimerFired {
  std::uint64_t tag = 0;
};

// A message of another scheduler. No decision reads it so far.
struct PeerMessageReceived {
  int author = 0;
  std::string body;
};

// The zone policy gives other answers than before.
struct ZonePolicyChanged {};

// Other settings from now on. Settings that the constructor would not take are logged, and the old ones
// stay. A class or tenant keeps its position as long as a request or running task is of it. Open requests get
// no more attempts than they had at first.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
  // By class: the position whose learned estimates it begins with, its own to keep them, -1: initial ones.
  std::vector<int> estimate_sources;
};

// This process ends at `by`; every request is answered before.
struct ShutdownScheduled {
  Time by = 0;
};

using Event = std::variant<EndpointListChanged, TaskArrived, TaskClaimed, TaskAccepted, AttemptEnded,
                           RequestCancelled, TaskReported, HealthCheckCompleted, TimerFired,
                           PeerMessageReceived, ZonePolicyChanged, SettingsChanged, ShutdownScheduled>;

}  // namespace scheduling
