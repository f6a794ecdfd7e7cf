// One accepted connection of a client and the rules for closing it. Transitions between its states
// (ClientConnection::NextState is the only transition function):
//
//     kNew --kValidRequest--> kIdentified ----------kServed---------> kServed
//       |                                                                ^
//       +----kServed--------> kServedUnidentified --kValidRequest--------+
//
//     any state --kClose--> kClosing   (the connection is destroyed after a short delay)
//
// ClientFrontend owns the connections in a SlotTable and is the only user, on the thread of its event loop.
#pragma once

#include <cstdint>
#include <memory>
#include <tuple>
#include <utility>
#include <vector>

#include "dispatch/ports.h"
#include "net/connection.h"

namespace cluster_manager {

// Order in which connections over the limit are evicted: the lowest value first.
enum class EvictionPriority {
  kClosing,             // this side is already closed
  kUnidentified,        // has not sent a valid message so far
  kIdle,                // has no open requests and no running tasks
  kBusyTransfer,        // has just connected, or a message is partly sent or received
  kAwaitsCompletion,    // was served and waits for the completion of a running task
  kUnansweredRequests,  // never evicted by rank
};

struct ClientConnection {
  enum class State {
    kNew,                 // has not sent a valid message
    kIdentified,          // has sent a valid request or health check
    kServedUnidentified,  // has confirmed a completion, but sent neither a request nor a health check
    kServed,              // a task of this client was accepted, or it has confirmed a completion
    kClosing              // this side is closed; data from the client is still read
  };
  enum class Event {
    kValidRequest,  // a request was accepted, or a health check answered
    kServed,        // a task was accepted by a node, or the client confirmed a completion
    kClose          // this side closes
  };
  // The state after `event`; `state` itself where the event has no effect in it.
  static State NextState(State state, Event event);

  void OnValidRequest() { state_ = NextState(state_, Event::kValidRequest); }
  // Returns whether this call has made the connection one of a served client.
  bool OnServed();
  void OnClose(Time now);

  bool IsClosing() const { return state_ == State::kClosing; }
  // Whether the peer has proved to be a genuine client. Completions are preferably sent to these.
  bool IsServed() const { return state_ == State::kServed || state_ == State::kServedUnidentified; }
  bool HasSentValidRequest() const { return state_ == State::kIdentified || state_ == State::kServed; }

  // Whether this side is closed and the client has had time to read the last bytes written.
  bool HasFinishedClosing(Time now) const;
  // Whether the time limit for the first valid request, for an incomplete message or for idleness has passed.
  bool HasTimedOut(Time now) const;
  // Whether the connection is to be closed because of HasTimedOut. If there is unread input, which may hold a
  // request, the first call after the time-out returns false and the next one true.
  bool ShouldClose(Time now);
  // Whether no request is open and there was no traffic for a short time, so that it may be closed while
  // draining.
  bool IsIdle(Time now) const;

  // The connection with the lowest rank is evicted first: by priority, then by time.
  std::pair<EvictionPriority, Time> EvictionRank(Time now) const;
  // The connection with the highest rank is the best one for a completion of a task that was requested on
  // another connection: served clients first, then those unlikely to be closing now, then the latest traffic.
  std::tuple<bool, bool, Time> CompletionRank(Time now) const;

  std::unique_ptr<Connection> transport;
  Time connected_at = 0;
  std::vector<TaskId> unanswered_requests;
  int running_tasks = 0;                  // that were requested on this connection
  bool confirms_completions = false;      // has confirmed at least one completion
  std::uint64_t unread_in_iteration = 0;  // the last loop iteration in which unread input was found

 private:
  State state_ = State::kNew;
  Time closing_since_ = 0;  // valid in kClosing
  bool close_postponed_ = false;
};

}  // namespace cluster_manager
