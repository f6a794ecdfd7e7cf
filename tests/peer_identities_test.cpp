// What is known of the process behind a connection, over time and over changes of the endpoint list.
#include "failure_detection/peer_identities.h"

#include <doctest/doctest.h>

namespace cluster_manager::failure_detection {
namespace {

using Time = PeerIdentities::Time;
constexpr Time kSecond = 1'000'000'000;
constexpr Time kUnixStart = 1'700'000'000 * kSecond;  // Unix time when the monotonic clock shows 0
constexpr std::uint32_t kNode = 1;
constexpr std::uint32_t kSuccessor = 2;

// Discovery sends a comment every second until `now`.
struct Fixture {
  PeerIdentities peers;
  Time now = 0;

  void Advance(Time span) {
    const Time end = now + span;
    for (now += kSecond; now < end; now += kSecond) peers.RecordListContact(now);
    now = end;
    peers.RecordListContact(now);
  }
  PeerId Connect(int incarnation = 0) { return peers.Add(kNode, kUnixStart + now, incarnation, now); }
};

TEST_CASE_FIXTURE(Fixture, "a peer is confirmed once the endpoint list had time to name another node") {
  Advance(5 * kSecond);
  const PeerId peer = Connect();
  Advance(PeerIdentities::kMaxListDelay - kSecond);
  CHECK_FALSE(peers.ConfirmedNode(peer));
  Advance(kSecond);
  CHECK(peers.ConfirmedNode(peer) == kNode);
}

TEST_CASE_FIXTURE(Fixture,
                  "a peer is not confirmed while the endpoint list cannot be reached or catches up") {
  Advance(5 * kSecond);
  const PeerId peer = Connect();
  now += 2 * PeerIdentities::kMaxListDelay;
  CHECK_FALSE(peers.IsConfirmed(peer));
  peers.RecordListContact(now);
  CHECK_FALSE(peers.IsConfirmed(peer));
  Advance(2 * kSecond);
  CHECK(peers.IsConfirmed(peer));
}

TEST_CASE_FIXTURE(Fixture, "a peer is confirmed by another that is confirmed and was heard from afterwards") {
  Advance(5 * kSecond);
  const PeerId old_peer = Connect();
  Advance(PeerIdentities::kMaxListDelay);
  const PeerId peer = Connect();
  const PeerId unproven = Connect();
  peers.ConfirmIfSameProcess(peer, unproven, kUnixStart + now + kSecond);
  CHECK_FALSE(peers.IsConfirmed(peer));
  peers.ConfirmIfSameProcess(peer, old_peer, kUnixStart + now + PeerIdentities::kTransitTime - 1);
  CHECK_FALSE(peers.IsConfirmed(peer));
  peers.ConfirmIfSameProcess(peer, old_peer, kUnixStart + now + PeerIdentities::kTransitTime);
  CHECK(peers.IsConfirmed(peer));
}

TEST_CASE_FIXTURE(Fixture, "peers are attributed to the node that had the address when they were connected") {
  Advance(5 * kSecond);
  const PeerId confirmed = Connect();
  Advance(PeerIdentities::kMaxListDelay);
  const PeerId of_node = Connect();
  Advance(kSecond);
  const PeerId of_successor = Connect();
  peers.RecordSend(of_successor, kUnixStart + now + 7);
  CHECK(peers.Apply({kNode, kSuccessor, kUnixStart + now, 0}) == std::vector<Time>{kUnixStart + now + 7});
  CHECK_FALSE(peers.ConfirmedNode(of_successor));
  Advance(PeerIdentities::kMaxListDelay);
  CHECK(peers.ConfirmedNode(confirmed) == kNode);
  CHECK(peers.ConfirmedNode(of_node) == kNode);
  CHECK(peers.ConfirmedNode(of_successor) == kSuccessor);
}

TEST_CASE_FIXTURE(Fixture,
                  "without the successor's start time only the last of several incarnations is its own") {
  Advance(5 * kSecond);
  const PeerId disputed = Connect(0);
  const PeerId of_successor = Connect(1);
  peers.Apply({kNode, kSuccessor, 0, 1});
  Advance(2 * PeerIdentities::kMaxListDelay);
  CHECK_FALSE(peers.ConfirmedNode(disputed));
  CHECK(peers.ConfirmedNode(of_successor) == kSuccessor);
}

TEST_CASE_FIXTURE(Fixture, "a closed peer is usable only if it is confirmed in time, and is forgotten") {
  Advance(5 * kSecond);
  const PeerId peer = Connect();
  const Time confirmed_at = now + PeerIdentities::kMaxListDelay;
  CHECK(peers.IsUsableBy(peer, now));
  peers.Close(peer, now);
  CHECK_FALSE(peers.IsUsableBy(peer, confirmed_at - 1));
  CHECK(peers.IsUsableBy(peer, confirmed_at));
  peers.ForgetClosed(now + PeerIdentities::kClosedRetention);
  CHECK(peers.size() == 0);
  CHECK_FALSE(peers.IsUsableBy(peer, confirmed_at));
}

}  // namespace
}  // namespace cluster_manager::failure_detection
