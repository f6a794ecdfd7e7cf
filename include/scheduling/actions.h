// The actions that Scheduler::Handle returns for the caller to carry out. Types only. Times are nanoseconds
// of the caller's event clock.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "scheduling/settings.h"

namespace scheduling {

// Send the task of the request to the node. The attempt times out if there is no answer by `deadline`.
struct StartAttempt {
  RequestId id = 0;
  NodeId node = 0;
  Time deadline = 0;
};

// Stop waiting for an attempt. `attempt` counts from 0.
struct CancelAttempt {
  RequestId id = 0;
  int attempt = 0;
};

// Answer the request as rejected: no task of it runs, and the client may send it again after `retry_after`.
struct RejectRequest {
  RequestId id = 0;
  Time retry_after = 0;  // 0: no Retry-After
};

// Answer the request as failed: a task of it may be running or may have run.
struct FailRequest {
  RequestId id = 0;
};

// End a running task so that its client sends the request again. Not emitted at present.
struct MigrateTask {
  RequestId id = 0;
};

// Check whether the node responds, and obtain its load report.
struct CheckNodeHealth {
  NodeId node = 0;
};

// Close the node's connections that carry no attempt or task. Not emitted at present.
struct CloseIdleConnections {
  NodeId node = 0;
};

// Subscribe to the endpoint list, or end the subscription.
struct WatchEndpointList {
  bool active = true;
};

// Read the endpoint list once. Not emitted at present.
struct FetchEndpointList {};

// Deliver TimerFired with this tag at `at`.
struct SetTimer {
  std::uint64_t tag = 0;
  Time at = 0;
};

// Send a message to another scheduler. Not emitted at present.
struct SendPeerMessage {
  int recipient = -1;  // index of a scheduler; -1: all of them
  std::string body;
};

// Write a line to the log.
struct LogMessage {
  std::string text;
};

using Action = std::variant<StartAttempt, CancelAttempt, RejectRequest, FailRequest, MigrateTask,
                            CheckNodeHealth, CloseIdleConnections, WatchEndpointList, FetchEndpointList,
                            SetTimer, SendPeerMessage, LogMessage>;

}  // namespace scheduling
