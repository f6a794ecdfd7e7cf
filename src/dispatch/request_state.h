// The states of a request in the Dispatcher and its transition function.
//
// Purpose: a request is in exactly one state, so that invalid combinations cannot be represented.
// Owns nothing; pure functions without a clock or I/O. Called by the Dispatcher on the event loop's thread.
//
//   task request ----> kWaiting <----------------+
//                        |   |                   | kAttemptEnded
//                        |   | kAttemptStarted   |
//       kClientCompleted |   +-----> kAttemptInFlight ---- kAttemptAccepted ----> kRunning <---- claim
//                        |               |                                        |    |
//                        |               | kClientCompleted                       |    | kStopRequested
//                        |               v                                        |    v
//                        |         kAttemptAbandoned -- kAttemptAccepted -------->|  kStopping
//                        |               |                                        |    |
//                        |               | kAttemptEnded            kAttemptEnded |    | kAttemptEnded
//                        v               v                                        v    v
//                        +--------> kFinished <-----------------------------------+----+
//
//   State              Left by                                              Time limit
//   kWaiting           the scheduler (StartAttempt, RejectRequest,          the task's deadline, by which the
//                      FailRequest); a cancellation by the client           scheduler answers
//   kAttemptInFlight   the node's reply; the scheduler (CancelAttempt);     the earlier of the attempt's and
//                      a cancellation by the client; a time-out             the task's deadline
//   kAttemptAbandoned  the Dispatcher, which cancels the attempt            none: within the same call
//   kRunning           the node's completion notice or its loss; a stop     none: as long as the task runs
//                      by the client; the scheduler (MigrateTask)
//   kStopping          the node's confirmation or its loss                  Dispatcher::kStopTimeout
//   kFinished          the Dispatcher, which erases the request             none: within the same call
#pragma once

namespace cluster_manager {

enum class RequestState {
  kWaiting,           // no open attempt; the client is waiting for an answer
  kAttemptInFlight,   // an attempt is open at a node; the client is waiting for an answer
  kAttemptAbandoned,  // an attempt is open at a node; the client is no longer waiting for an answer
  kRunning,           // a node runs the task; the client is waiting for its completion
  kStopping,          // a stop was sent to the node, which has not confirmed it yet
  kFinished,          // no further event is expected; about to be erased
};

// Events that change the state of a request.
enum class RequestEvent {
  kAttemptStarted,   // an attempt was passed to the node connections
  kAttemptAccepted,  // the node runs the task, and the client is notified
  kAttemptEnded,     // the attempt or the running task ended at the node
  kClientCompleted,  // the client receives a final answer without a running task, or has cancelled
  kStopRequested,    // the client stopped the task, or the scheduler migrates it
};

// The client is still waiting for the final answer to its request.
constexpr bool IsUnanswered(RequestState state) {
  return state == RequestState::kWaiting || state == RequestState::kAttemptInFlight;
}

// An attempt is open: its node has not replied yet.
constexpr bool HasOpenAttempt(RequestState state) {
  return state == RequestState::kAttemptInFlight || state == RequestState::kAttemptAbandoned;
}

// The task is assumed to be running on a node.
constexpr bool HasRunningTask(RequestState state) {
  return state == RequestState::kRunning || state == RequestState::kStopping;
}

// The request is assigned to a node, with an open attempt or a running task.
constexpr bool IsAssigned(RequestState state) { return HasOpenAttempt(state) || HasRunningTask(state); }

// The state that follows `state` on `event`; `state` itself if the event does not apply to it.
RequestState NextState(RequestState state, RequestEvent event);

}  // namespace cluster_manager
