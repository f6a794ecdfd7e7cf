// Which node's process each connection to a node's address reaches, and whether that is known.
//
// A node's address can be given to another node, and the protocol has no message in which a process names its
// node. What a cluster manager knows rests on the endpoint list alone, which is late: for some time after a
// connection was established, the process that accepted it may be one that the list does not name yet. The
// process at the other end of an established connection (a "peer") stays the same until the connection ends.
//
//   established --> presumed --+-- the list had kMaxListDelay to name another node --------> confirmed
//                      |       +-- a confirmed peer of the node was heard from afterwards -> confirmed
//                      |       +-- the list names another node at the address -> presumed to be that node's
//                      +---------- it names one, without the time of its start ------------> disputed
//
// A confirmed identity does not change any more. While an identity is presumed or disputed, nothing that
// depends on the zone, rack or identity of the node may be decided for a request that the peer may have run;
// a request may always be sent again to the same peer. Wrong verdict: a list that is late by more than
// kMaxListDelay while it can be reached confirms a peer that is another node's.
//
// Owned by NodeConnectionPool and used on its loop thread. Spans are measured on a monotonic clock (`span`
// arguments); the times that are compared with the endpoint list are Unix time. No clock, socket or thread of
// its own. Bounds: an entry for each open connection, and for kClosedRetention after its end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cluster_manager::failure_detection {

using PeerId = std::uint64_t;  // 0: no peer; never reused within a process

class PeerIdentities {
 public:
  using Time = std::int64_t;  // nanoseconds
  using Node = std::uint32_t;

  // The longest time by which the endpoint list is late while it can be reached.
  static constexpr Time kMaxListDelay = 12'000'000'000;
  // A peer that is heard from so long after another connection was established was still alive then: what it
  // had sent before has arrived.
  static constexpr Time kTransitTime = 100'000'000;
  // Longer than the deadlines of requests.
  static constexpr Time kClosedRetention = 60'000'000'000;

  // Adds the peer of a connection to the address of `node`. `established_at`: Unix time. `incarnation`: as in
  // NodeConnectionPool.
  PeerId Add(Node node, Time established_at, int incarnation, Time span);
  // The connection has ended.
  void Close(PeerId peer, Time span);
  // An event or comment was received from discovery. After an interruption the changes that were missed have
  // to arrive before the list counts as up to date.
  void RecordListContact(Time span);
  // `heard_at`: when data was last received from `confirmed`, another peer at the same address; Unix time.
  void ConfirmIfSameProcess(PeerId peer, PeerId confirmed, Time heard_at);
  // A request was written to the peer at this Unix time; kept while its identity is not confirmed.
  void RecordSend(PeerId peer, Time now);

  // What the endpoint list says of a change of the node at an address.
  struct Replacement {
    Node node = 0;
    Node successor = 0;
    Time successor_started_at = 0;  // 0: not stated
    int current_incarnation = 0;    // of `node`; 0: no process at the address is known to have ended
  };
  // Attributes the peers of the node to the node or its successor. Returns the times at which requests were
  // written to those of the successor.
  std::vector<Time> Apply(const Replacement& replacement);

  bool IsConfirmed(PeerId peer) const;
  // The node whose process the peer is. Empty while that is not confirmed, and for an unknown peer.
  std::optional<Node> ConfirmedNode(PeerId peer) const;
  // The node that the endpoint list gives for the peer; empty for an unknown peer.
  std::optional<Node> PresumedNode(PeerId peer) const;
  // Whether the connection to the peer is open, or the peer can be confirmed by `span` at the latest.
  bool IsUsableBy(PeerId peer, Time span) const;
  // Removes peers whose connections ended kClosedRetention ago.
  void ForgetClosed(Time span);
  std::size_t size() const { return peers_.size(); }

 private:
  static constexpr Time kMaxContactInterval = 2'500'000'000;  // discovery sends a comment every second
  static constexpr Time kCatchUpTime = 1'000'000'000;         // for the changes missed in an interruption

  struct Peer {
    Node node = 0;
    Time established_at = 0;  // Unix time
    Time known_since = 0;     // the same moment on the monotonic clock
    int incarnation = 0;
    bool proven = false;    // by another peer that is confirmed
    bool disputed = false;  // it may be the process of either of two nodes
    Time closed_at = 0;     // on the monotonic clock; 0: open
    std::vector<Time> sends;
  };

  bool IsConfirmed(const Peer& peer) const;

  std::unordered_map<PeerId, Peer> peers_;
  PeerId last_ = 0;
  // On the monotonic clock.
  Time contact_at_ = 0;
  Time contact_since_ = 0;  // without an interruption
  Time up_to_date_at_ = 0;  // when the list was last received and not catching up
};

}  // namespace cluster_manager::failure_detection
