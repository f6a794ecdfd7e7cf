// The lifecycle of a serving process as a state machine without side effects: its phases, the events that
// lead from one to the next, and one transition function. ServerProcess owns the current phase and calls this
// from the event loop's thread; every function here is pure.
//
//   kStarting --kCanServe--> kServing <----> kDraining      kDrain and kActivate, by an operator: a drain is
//       |                       |                |          possible in kStarting too, and kActivate leads
//       |                       |                |          back to kStarting
//       +-----------------------+----------------+
//                               | SIGTERM, SIGINT
//            own socket         |          inherited socket
//            +------------------+------------------+
//            v                                     v
//   kAcceptingFinalConnections  still      kHandingOver  another process accepts: serves the open
//            |    accepts and serves, 0.75 s       |      connections, closes idle ones
//            |                                     |
//            | the accept queue is empty:          |
//            v the listener is closed              |
//   kAwaitingAnswers  until no request is          |
//            |    unanswered and no message is     |
//            |    partly read, unread or unsent    |
//            v                                     |
//   kFlushing  all client connections but one      | no request is unanswered and no client is connected,
//            |    are closed                       | or the time is up (0.25 s before SIGKILL may come)
//            |                                     |
//            +-----------------+-------------------+
//                              v
//                        kClosingNodes  node connections are closed and read to their ends
//            own socket        |          inherited socket
//            +-----------------+-------------------+
//            v                                     |
//   kClosingLastClient  after its completions      | the tasks are handed over
//            |                                     |
//            +-------------> kEnded <--------------+
//
// An event without an arrow in a phase is ignored there: a second SIGTERM, a drain or activate after the
// first, or a timer that fires late. SIGHUP is no lifecycle event: new settings apply in every phase.
// kAcceptingFinalConnections lasts at most 2 s longer where file descriptors run out. kAwaitingAnswers lasts
// as long as requests are unanswered, and at most 2 s more for peers that neither complete a message that
// they began to send nor read what was sent to them; never longer than 0.3 s before SIGKILL may come,
// whatever clients still ask (server_process_shutdown.cpp). The three phases after it last until the peers
// have closed their sides, and at most 0.2 s together. A client is left until the nodes have closed, since a
// node takes a completion for sent once it has written it on an open connection.
#pragma once

namespace cluster_manager {

enum class Phase {
  kStarting,                   // waits for an endpoint list
  kServing,                    // accepts and serves
  kDraining,                   // an operator has taken the process out of service
  kAcceptingFinalConnections,  // stopping: still accepts connections of clients that do not know of it yet
  kAwaitingAnswers,            // stopping: the listener is closed, open requests are answered
  kFlushing,                   // stopping: all client connections but one are closed
  kClosingNodes,               // stopping: the connections to nodes are closed
  kClosingLastClient,          // stopping: the last client connection is closed
  kHandingOver,                // stopping: the next process accepts on the shared socket
  kEnded                       // the event loop stops
};

enum class LifecycleEvent {
  kCanServe,          // the process is ready to serve (ServerProcess::CanServe)
  kDrain,             // an operator's call
  kActivate,          // an operator's call
  kTerminate,         // SIGTERM or SIGINT
  kListenerClosed,    // every queued connection was accepted, or the time for it is up
  kRequestsAnswered,  // no request is unanswered, or the time for it is up
  kClientsFlushed,    // all clients but one have closed their side, or the time for it is up
  kNodesClosed,       // all nodes have closed their side, or the time for it is up
  kLastClientClosed   // no client is connected, or the time for it is up
};

// The phase that follows `phase` on `event`; `phase` itself where the event is ignored. `inherited_socket`:
// the listening socket came from the parent process, so that another process may accept on it.
Phase NextPhase(Phase phase, LifecycleEvent event, bool inherited_socket);

// True in every phase after SIGTERM or SIGINT. No transition leads back.
bool IsStopping(Phase phase);

}  // namespace cluster_manager
