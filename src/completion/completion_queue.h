// Task completions that clients have not yet been known to receive. Several entries a client, one entry a
// task. Each entry moves between these states (CompletionQueue::Next is the only transition function):
//
//                                MarkSent, the connection confirms completions
//               +---------------------------------------------------------------> kAwaitingConfirmation
//     Add       |                                                                   |     |
//      |        |   kConnectionLost, kConfirmationTimeout                           |     | kConfirmed
//      +--> kPending <--------------------------------------------------------------+     |
//               |  ^                                                                      v
//               |  |  kConnectionLost                                               kRemoved
//               |  +----------------------------------------------------------+           ^
//               |                                                             |           | kConfirmed,
//               +-----------------------------------------------------> kAwaitingTimeout -+ kAssumedReceived
//                   MarkSent, the connection has confirmed nothing so far
//
// What an entry of kAwaitingTimeout stands for counts as received only after two looks at its connection, at
// least kCloseDetectionTime apart, that found its bytes acknowledged by the peer and the connection alive.
// The time since the send proves nothing: the bytes may have waited in this process, or in a socket whose
// peer does not read. So the loss of a connection makes every entry pending that was sent on it and is still
// here.
//
// From every state an entry is removed by kConfirmed (also a late confirmation by the connection that timed
// out), by kExpired after kRetention, and by kEvicted when the queue holds kMaxEntries. Expired and evicted
// entries are counted.
//
// ClientFrontend owns the one instance: it writes pending completions to connections and reports what became
// of them. The class keeps no clock, socket or thread of its own and is used by one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "containers/hash.h"

namespace cluster_manager {

class CompletionQueue {
 public:
  using Time = std::int64_t;               // nanoseconds
  using ConnectionHandle = std::uint64_t;  // 0: none

  // How long after the peer's acknowledgement the close of the connection, crossing it on the wire, may still
  // arrive.
  static constexpr Time kCloseDetectionTime = 500'000'000;
  // A client that confirms completions does so at once: after this time the connection counts as
  // unresponsive.
  static constexpr Time kConfirmationTimeout = 1'000'000'000;
  // How long an entry is kept altogether.
  static constexpr Time kRetention = 30'000'000'000;
  static constexpr std::size_t kMaxEntries = std::size_t{16} * 1024;  // some 100 bytes each

  enum class State {
    kPending,               // to be sent
    kAwaitingConfirmation,  // sent on a connection that confirms completions
    kAwaitingTimeout,       // sent on a connection that has confirmed none: assumed received in a while
    kRemoved                // no longer in the queue
  };
  enum class Event {
    kSentConfirming,       // written to a connection that confirms completions
    kSentUnconfirming,     // written to one that has confirmed none
    kConfirmed,            // the client has confirmed it
    kConnectionLost,       // the connection ended, the completion may not have been read
    kConfirmationTimeout,  // no confirmation within kConfirmationTimeout
    kAssumedReceived,      // kCloseDetectionTime has passed since the acknowledgement without a close
    kExpired,              // kRetention has passed
    kEvicted               // the queue is full and this is the oldest entry
  };
  // How far the bytes of a sent completion have come.
  enum class Delivery {
    kQueued,       // in this process, or in its socket while the peer has no room for them
    kInFlight,     // on the way, or received by a peer whose acknowledgement has not come
    kAcknowledged  // the peer's kernel has them, and the connection is not known to have ended
  };
  // The state after `event`. An event that means nothing in `state` leaves it as it is.
  static State Next(State state, Event event);

  struct Completion {
    std::uint64_t task = 0;
    int message_type = 0;  // of the protocol, opaque here
    int cause = 0;         // of the protocol, opaque here
    Time added_at = 0;
    ConnectionHandle origin_connection = 0;  // on which the task was requested; 0: unknown
    State state = State::kPending;
    ConnectionHandle connection = 0;               // it was sent there; 0: pending
    ConnectionHandle unresponsive_connection = 0;  // it was sent there before and never confirmed
    Time sent_at = 0;                              // or, later: last seen as kQueued
    Time acknowledged_at = 0;                      // first seen as kAcknowledged; 0: not yet
    std::uint64_t stream_position = 0;             // behind its last byte on `connection`, opaque here
  };

  // Adds a pending completion; one already held for `task` is replaced. Returns a copy of the entry.
  Completion Add(std::uint64_t task, int message_type, int cause, Time now,
                 ConnectionHandle origin_connection = 0);
  // The completion was written to `connection`. `confirming`: the client is expected to confirm it.
  void MarkSent(std::uint64_t task, ConnectionHandle connection, bool confirming, Time now,
                std::uint64_t stream_position = 0);
  // The client has confirmed on `connection`. False where the completion was not sent there.
  bool MarkConfirmed(std::uint64_t task, ConnectionHandle connection);
  // Returns how many completions are pending again.
  std::size_t OnConnectionLost(ConnectionHandle connection);
  // To be called every few hundred milliseconds. `delivery_of`: asked about completions that are sent;
  // without it all of them are acknowledged. No time limit runs for one that is queued, as an answer may be
  // queued before it and must not be overtaken on another connection. Returns how many completions are
  // pending again.
  std::size_t CheckTimeouts(Time now, const std::function<Delivery(const Completion&)>& delivery_of = {});

  // The pending completions, oldest first.
  std::vector<Completion> Pending() const;
  // All completions, also those sent and not confirmed, oldest first.
  std::vector<Completion> All() const;
  std::size_t pending() const { return pending_; }
  std::size_t size() const { return completions_.size(); }
  std::uint64_t assumed_received() const { return assumed_received_; }  // removed by kAssumedReceived
  std::uint64_t expired() const { return expired_; }
  std::uint64_t evicted() const { return evicted_; }

 private:
  using Completions = NumberMap<std::uint64_t, Completion>;

  // Applies `event` and keeps the number of pending entries. The caller erases an entry that is kRemoved.
  void Apply(Event event, Completion* completion);
  // Applies the time limit that the sent completion has reached, if any.
  void CheckTimeLimit(Delivery delivery, Time now, Completion* completion);
  void EvictOldest();
  std::vector<Completion> Sorted(bool only_pending) const;

  Completions completions_;
  std::size_t pending_ = 0;
  std::uint64_t assumed_received_ = 0;
  std::uint64_t expired_ = 0;
  std::uint64_t evicted_ = 0;
};

}  // namespace cluster_manager
