// Task completions that clients are not known to have received. A client can have several entries, a task
// has at most one. States of an entry (CompletionQueue::NextState is the only transition function):
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
//                   MarkSent, the connection has confirmed no completion so far
//
// An entry in kAwaitingTimeout is assumed to be received after two checks of its connection, at least
// kCloseDetectionTime apart, that both found its bytes acknowledged by the peer and the connection open.
// The time since the send is no evidence: the bytes may have been queued in this process, or in a socket
// whose peer does not read. For the same reason, the loss of a connection returns every remaining entry
// that was sent on it to kPending.
//
// In every state an entry is removed by kConfirmed (including a late confirmation on the connection that
// timed out), by kExpired after kRetention, and by kEvicted when the queue holds kMaxEntries. Expired and
// evicted entries are counted.
//
// Owned by ClientFrontend, which writes pending completions to connections and reports their delivery. Has
// no clock, socket or thread of its own; used by one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "containers/hash.h"

namespace cluster_manager {

// The completions to be delivered to clients, one entry per task.
class CompletionQueue {
 public:
  using Time = std::int64_t;               // nanoseconds
  using ConnectionHandle = std::uint64_t;  // 0: none

  // How long after the peer's acknowledgement a close of the connection that crossed the completion on the
  // network may still arrive.
  static constexpr Time kCloseDetectionTime = 500'000'000;
  // Clients that confirm completions do so immediately: after this time without a confirmation the
  // connection is considered unresponsive.
  static constexpr Time kConfirmationTimeout = 1'000'000'000;
  // The maximum age of an entry.
  static constexpr Time kRetention = 30'000'000'000;
  static constexpr std::size_t kMaxEntries = std::size_t{16} * 1024;  // about 100 bytes each

  enum class State {
    kPending,               // to be sent
    kAwaitingConfirmation,  // sent on a connection that confirms completions
    kAwaitingTimeout,       // sent on a connection that has confirmed none; later assumed to be received
    kRemoved                // no longer in the queue
  };
  enum class Event {
    kSentConfirming,       // written to a connection that confirms completions
    kSentUnconfirming,     // written to a connection that has confirmed none
    kConfirmed,            // the client has confirmed the completion
    kConnectionLost,       // the connection ended; the completion may not have been read
    kConfirmationTimeout,  // no confirmation within kConfirmationTimeout
    kAssumedReceived,      // no close within kCloseDetectionTime of the acknowledgement
    kExpired,              // kRetention has passed
    kEvicted               // the queue is full and this is the oldest entry
  };
  // The delivery state of the bytes of a sent completion.
  enum class Delivery {
    kQueued,       // in this process, or in its socket while the peer's receive window is full
    kInFlight,     // on the network, or received without the acknowledgement having arrived
    kAcknowledged  // acknowledged by the peer's kernel; the connection is not known to have ended
  };
  // The state that follows `state` on `event`; `state` itself if the event does not apply to it.
  static State NextState(State state, Event event);

  struct Completion {
    std::uint64_t task = 0;
    int message_type = 0;  // defined by the protocol, opaque to the queue
    int cause = 0;         // defined by the protocol, opaque to the queue
    Time added_at = 0;
    ConnectionHandle client_connection = 0;  // the connection that requested the task; 0: unknown
    State state = State::kPending;
    ConnectionHandle connection = 0;               // where it was sent; 0: pending
    ConnectionHandle unresponsive_connection = 0;  // where it was sent before without being confirmed
    Time sent_at = 0;                              // of the send or of the latest check that found kQueued
    Time acknowledged_at = 0;                      // of the first check that found kAcknowledged; 0: none
    std::uint64_t stream_position = 0;             // end of its bytes on `connection`, opaque to the queue
  };

  // Adds a pending completion, replacing an existing one of the task. Evicts the oldest entry if the queue
  // is full. Returns a copy of the new entry.
  Completion Add(std::uint64_t task, int message_type, int cause, Time now,
                 ConnectionHandle client_connection = 0);
  // Records that the completion was written to `connection`. `confirming`: the client is expected to
  // confirm it. No effect if the task has no entry.
  void MarkSent(std::uint64_t task, ConnectionHandle connection, bool confirming, Time now,
                std::uint64_t stream_position = 0);
  // Removes a completion that the client has confirmed on `connection`. Returns false if it was not sent
  // there.
  bool MarkConfirmed(std::uint64_t task, ConnectionHandle connection);
  // Returns all completions sent on the connection to kPending. Returns their number.
  std::size_t OnConnectionLost(ConnectionHandle connection);
  // Applies the time limits; to be called every few hundred milliseconds. `get_delivery` returns the
  // delivery state of a sent completion; without it all sent completions are treated as acknowledged. The
  // time limits do not run while a completion is queued, since an answer may be queued before it and must
  // not be overtaken on another connection. Returns the number of completions that became pending again.
  std::size_t CheckTimeouts(Time now, const std::function<Delivery(const Completion&)>& get_delivery = {});

  // The pending completions, oldest first.
  std::vector<Completion> PendingCompletions() const;
  // All completions, including sent and unconfirmed ones, oldest first.
  std::vector<Completion> AllCompletions() const;
  std::size_t pending_count() const { return pending_; }
  std::size_t size() const { return completions_.size(); }
  // Numbers of entries removed by kAssumedReceived, kExpired and kEvicted.
  std::uint64_t assumed_received() const { return assumed_received_; }
  std::uint64_t expired() const { return expired_; }
  std::uint64_t evicted() const { return evicted_; }

 private:
  using Completions = NumberMap<std::uint64_t, Completion>;

  // Applies `event` and updates the number of pending entries. The caller erases an entry that is kRemoved.
  void ApplyEvent(Event event, Completion* completion);
  // Applies the time limit of a sent completion if it has been reached.
  void CheckTimeLimit(Delivery delivery, Time now, Completion* completion);
  void EvictOldest();
  std::vector<Completion> SortedByAge(bool only_pending) const;

  Completions completions_;
  std::size_t pending_ = 0;
  std::uint64_t assumed_received_ = 0;
  std::uint64_t expired_ = 0;
  std::uint64_t evicted_ = 0;
};

}  // namespace cluster_manager
