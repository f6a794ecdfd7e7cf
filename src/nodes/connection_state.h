// State machine of one connection to a node. NextState is a pure function and the only transition function;
// NodeConnectionPool stores the states and calls it on its loop thread only.
//
//               kEstablished                kUnanswered
//   kDialing --------------> kResponsive --------------> kSuspect
//                                 ^  |                     |  |
//                                 +--|--- kDataReceived ---+  |
//                                    |                        |
//                                    +-- kClosedByThisSide ---+--> kClosing
//
// A connection that has ended has no state: the pool erases its record. A dial that is given up ends at once.
#pragma once

#include <cstdint>

namespace cluster_manager {

enum class ConnectionState : std::uint8_t {
  kDialing,     // the TCP handshake has not completed; attempts are queued on it
  kResponsive,  // established, and nothing has gone unanswered since data was last received
  kSuspect,     // established, but something went unanswered and no data was received since
  kClosing      // nothing is written any more; what the node sends until it closes its side is handled
};

enum class ConnectionEvent : std::uint8_t {
  kEstablished,   // the handshake has completed
  kDataReceived,  // bytes were received from the node
  kUnanswered,    // nothing was received after a health check, a cancelled attempt or a later dial
  kClosedByThisSide
};

// The state after `event`. kUnanswered does not change kDialing, since a dial has a time-out of its own.
constexpr ConnectionState NextState(ConnectionState state, ConnectionEvent event) {
  if (state == ConnectionState::kClosing) return state;
  switch (event) {
    case ConnectionEvent::kEstablished:
    case ConnectionEvent::kDataReceived:
      return ConnectionState::kResponsive;
    case ConnectionEvent::kUnanswered:
      return state == ConnectionState::kDialing ? state : ConnectionState::kSuspect;
    case ConnectionEvent::kClosedByThisSide:
      return ConnectionState::kClosing;
  }
  return state;
}

}  // namespace cluster_manager
