// Safety of Raft over randomized histories, recovery times after faults, bounds, and message rates.
#include <cstdlib>

#include "raft_simulation.h"

namespace cluster_manager::consensus {
namespace {

int SeedCount(int default_count) {
  const char* configured = std::getenv("WILLOWRAIL_SEEDS");
  return configured != nullptr ? std::atoi(configured) : default_count;
}

// Injects or repairs one random fault. With `severe`, disks may be lost at any time.
void InjectFault(SimulatedCluster* cluster, bool severe) {
  const std::uint32_t count = static_cast<std::uint32_t>(cluster->nodes.size());
  const std::uint32_t a = cluster->RandomBelow(count), b = cluster->RandomBelow(count);
  switch (cluster->RandomBelow(9)) {
    case 0:
      if (a != b) cluster->blocked_links.insert({a, b});  // one way
      break;
    case 1:
      for (std::uint32_t i = 0; i < count; ++i)
        cluster->blocked_links.insert({a, i}), cluster->blocked_links.insert({i, a});
      break;
    case 2:
    case 3:
      cluster->blocked_links.clear();
      break;
    case 4:
    case 5:
      cluster->Crash(a, cluster->now + cluster->RandomBetween(10 * kMs, severe ? 150 * kMs : 600 * kMs));
      break;
    case 6:
      // Losing a majority of the disks ends the cluster by design, so without `severe` disks are lost one at
      // a time.
      if (cluster->AllAreVoters(count) || (severe && cluster->RandomBelow(3) == 0))
        cluster->Crash(a, cluster->now + cluster->RandomBetween(10 * kMs, 600 * kMs), true);
      break;
    case 7:
      cluster->drop_probability = cluster->RandomBelow(4) * 0.1;
      cluster->duplicate_probability = cluster->RandomBelow(4) * 0.1;
      cluster->max_delay = cluster->RandomBetween(2 * kMs, 120 * kMs);
      break;
    default:
      cluster->max_save_delay = cluster->RandomBetween(1 * kMs, 80 * kMs);
  }
}

TEST_CASE("raft: over random histories no committed entry is lost or changed and each term has one leader") {
  std::uint64_t committed = 0, unknown = 0, elections = 0, member_changes = 0;
  const int seeds = SeedCount(120);
  for (int seed = 0; seed < seeds; ++seed) {
    CAPTURE(seed);
    const int count = seed % 2 == 0 ? 3 : 5;
    const bool severe =
        seed % 4 >= 2;  // disks are lost at any time: the cluster may stop for good, but stays consistent
    SimulatedCluster cluster(count, static_cast<std::uint64_t>(seed));
    cluster.encode_messages = seed % 20 == 0;
    CHECK(cluster.RunUntil(20 * kSecond, [&] {
      return cluster.AllAreVoters(static_cast<std::size_t>(count));
    }) < 20 * kSecond);
    for (int i = 0; i < 4000; ++i) {
      cluster.Step();
      if (cluster.RandomBelow(severe ? 30 : 70) == 0) InjectFault(&cluster, severe);
      const std::uint32_t any = cluster.RandomBelow(static_cast<std::size_t>(count));
      if (cluster.RandomBelow(12) == 0 && cluster.nodes[any].raft)
        cluster.Propose(any);  // mostly not the leader
      if (cluster.RandomBelow(25) == 0 && cluster.Leader() != nullptr)
        cluster.Propose(cluster.NumberOf(cluster.Leader()));
      if (i % 100 == 0) cluster.CheckLogs();
    }
    cluster.CheckLogs();
    committed += cluster.committed_proposals;
    unknown += cluster.unknown_proposals;
    elections += cluster.leader_by_term.size();
    member_changes += cluster.member_changes;
    if (severe) continue;
    // After all faults are repaired, the cluster makes progress and all members vote again.
    cluster.blocked_links.clear();
    cluster.drop_probability = cluster.duplicate_probability = 0;
    cluster.max_delay = 3 * kMs;
    cluster.max_save_delay = 4 * kMs;
    CHECK(cluster.CommitOne(20 * kSecond) <= 3 * kSecond);
    CHECK(cluster.RunUntil(20 * kSecond, [&] {
      return cluster.AllAreVoters(static_cast<std::size_t>(count));
    }) < 20 * kSecond);
    CHECK(cluster.CommitOne(20 * kSecond) <= 3 * kSecond);
    cluster.Run(kSecond);
    cluster.CheckLogs();
    for (const SimulatedCluster::Node& node : cluster.nodes) {
      CHECK(node.digest == cluster.nodes[0].digest);
      CHECK(node.pending_proposals.empty());
      CHECK(node.raft->pending_proposals() == 0);
    }
  }
  MESSAGE(seeds, " histories: ", committed, " proposals committed, ", unknown, " unknown, ", elections,
          " terms led, ", member_changes, " changes of members");
  CHECK(committed > static_cast<std::uint64_t>(seeds) * 20);
  CHECK(member_changes > static_cast<std::uint64_t>(seeds) * 4);
}

TEST_CASE(
    "raft: a member that crashes at any save, before or after it is durable, keeps its votes and entries") {
  for (int step = 0; step < 70; ++step) {
    for (const bool saved : {false, true}) {
      CAPTURE(step);
      CAPTURE(saved);
      SimulatedCluster cluster(3, 5);
      // Set only after all members have started: a founder that lost its first record would have no state to
      // restore.
      cluster.crash_at_record = step;
      cluster.crash_after_save = saved;
      CHECK(cluster.RunUntil(20 * kSecond, [&] { return cluster.AllAreVoters(3); }) < 20 * kSecond);
      for (int i = 0; i < 12; ++i) CHECK(cluster.CommitOne(10 * kSecond) < 3 * kSecond);
      cluster.Run(kSecond);
      for (const SimulatedCluster::Node& node : cluster.nodes) CHECK(node.digest == cluster.nodes[0].digest);
    }
  }
}

struct ThreeMemberCluster : SimulatedCluster {
  ThreeMemberCluster() : SimulatedCluster(3, 11) {
    REQUIRE(RunUntil(20 * kSecond, [&] { return AllAreVoters(3); }) < 20 * kSecond);
    Run(300 * kMs);
  }
  void Isolate(std::uint32_t i, bool in, bool out) {
    for (std::uint32_t j = 0; j < nodes.size(); ++j) {
      if (out) blocked_links.insert({i, j});
      if (in) blocked_links.insert({j, i});
    }
  }
};

TEST_CASE_FIXTURE(
    ThreeMemberCluster,
    "raft: a member that was cut off in one or both directions does not depose the leader on return") {
  const std::uint32_t leader = NumberOf(Leader()), other = (leader + 1) % 3;
  const Term term = Leader()->raft->term();
  for (const auto& [in, out] : {std::pair(true, true), std::pair(true, false), std::pair(false, true)}) {
    Isolate(other, in, out);
    Run(5 * kSecond);
    CHECK(CommitOne(kSecond) < 100 * kMs);
    blocked_links.clear();
    Run(2 * kSecond);
    CHECK(NumberOf(Leader()) == leader);
    CHECK(Leader()->raft->term() == term);
  }
}

TEST_CASE_FIXTURE(
    ThreeMemberCluster,
    "raft: a leader without contact to the others in one or both directions steps down by its own clock") {
  for (const auto& [in, out] : {std::pair(true, true), std::pair(true, false), std::pair(false, true)}) {
    const std::uint32_t leader = NumberOf(Leader());
    Propose(leader);
    Isolate(leader, in, out);
    const std::uint64_t before = unknown_proposals;
    Propose(leader);  // cannot be committed
    const Time down = RunUntil(5 * kSecond, [&] { return nodes[leader].raft->role() != Role::kLeader; });
    CHECK(down <= options.election_timeout + 2 * options.heartbeat_interval);
    CHECK(unknown_proposals >= before + 1);
    CHECK(nodes[leader].pending_proposals.empty());
    CHECK(CommitOne(5 * kSecond) <= 1500 * kMs);  // the other two elect a leader
    CHECK(NumberOf(Leader()) != leader);
    blocked_links.clear();
    Run(kSecond);
  }
}

TEST_CASE_FIXTURE(ThreeMemberCluster,
                  "raft: a member that lost its disk votes only after it has been added again") {
  const std::uint32_t leader = NumberOf(Leader()), wiped = (leader + 1) % 3, third = (leader + 2) % 3;
  const Identity before = nodes[wiped].raft->identity();
  // It voted in this term before it lost its disk, so it must not form a majority with the third member.
  Crash(wiped, now + 10 * kMs, true);
  Isolate(leader, true, true);
  Run(8 * kSecond);
  CHECK(nodes[wiped].raft->identity() != before);
  CHECK(nodes[third].raft->role() != Role::kLeader);
  CHECK(nodes[wiped].raft->log().last_index() == 0);
  blocked_links.clear();
  CHECK(CommitOne(10 * kSecond) <= 2 * kSecond);
  CHECK(RunUntil(20 * kSecond, [&] { return AllAreVoters(3); }) <= 5 * kSecond);
  CHECK(Leader()->raft->members().size() == 3);
  // With two of three disks lost no majority is left, and no leader may be elected.
  Crash(wiped, now + 10 * kMs, true);
  Crash(third, now + 10 * kMs, true);
  Run(10 * kSecond);
  CHECK(Leader() == nullptr);
}

TEST_CASE_FIXTURE(ThreeMemberCluster,
                  "raft: proposals over a bound are rejected and a clock that goes back causes no election") {
  const std::uint32_t leader = NumberOf(Leader());
  RaftNode& raft = *Leader()->raft;
  CHECK(raft.Propose(Bytes(options.bounds.max_entry_bytes + 1), now).rejection ==
        ProposalRejection::kCommandTooLong);
  CHECK(nodes[(leader + 1) % 3].raft->Propose({1}, now).rejection == ProposalRejection::kNotLeader);
  std::size_t accepted = 0;
  while (Propose(leader) != 0) ++accepted;
  CHECK(accepted == options.max_uncommitted_entries);
  CHECK(raft.counters().too_many == 1);
  Run(kSecond);
  CHECK(Leader()->pending_proposals.empty());
  const Term term = raft.term();
  now -= 3600 * kSecond;
  Run(2 * kSecond);
  CHECK(raft.counters().clock_back > 0);
  CHECK(raft.term() == term);
  CHECK(CommitOne(kSecond) < 100 * kMs);
}

TEST_CASE("raft: a full log that is not compacted rejects proposals and requests a snapshot") {
  RaftOptions options = ShortTimeoutOptions();
  options.snapshot_threshold = 1'000'000;
  SimulatedCluster cluster(3, 4, options);
  cluster.RunUntil(20 * kSecond, [&] { return cluster.AllAreVoters(3); });
  ProposalRejection last = ProposalRejection::kNone;
  for (int i = 0; i < 1000 && last != ProposalRejection::kLogFull; ++i) {
    Output out = cluster.Leader()->raft->Propose({1, 2, 3, 4}, cluster.now);
    last = out.rejection;
    if (last == ProposalRejection::kLogFull) {
      CHECK(out.snapshot_requested);
      break;
    }
    if (out.proposal != 0) cluster.Leader()->pending_proposals[out.proposal] = {1, 2, 3, 4};
    cluster.ProcessOutput(cluster.NumberOf(cluster.Leader()), std::move(out));
    cluster.Run(10 * kMs);
  }
  CHECK(last == ProposalRejection::kLogFull);
  for (const SimulatedCluster::Node& node : cluster.nodes)
    CHECK(node.raft->log().size() == options.max_log_entries);
  cluster.Leader()->raft->Compact(Bytes(8), cluster.now);
  CHECK(cluster.Propose(cluster.NumberOf(cluster.Leader())) != 0);
}

TEST_CASE("raft: message rate of an idle cluster and time until many members have joined") {
  const int most = SeedCount(0) > 0 ? 100 : 24;  // a hundred members take a minute under the sanitizers
  for (const int count : {3, 16, most}) {
    SimulatedCluster cluster(count, 3, RaftOptions());
    const Time joined = cluster.RunUntil(300 * kSecond, [&] {
      SimulatedCluster::Node* leader = cluster.Leader();
      return leader != nullptr && leader->raft->members().size() == cluster.nodes.size() &&
             cluster.AllAreVoters(std::min<std::size_t>(5, cluster.nodes.size()));
    });
    CHECK(joined < 60 * kSecond);
    cluster.Run(5 * kSecond);
    const std::uint64_t before = cluster.sent;
    cluster.Run(20 * kSecond);
    const std::uint64_t hour = (cluster.sent - before) * 180;
    MESSAGE(count, " members: joined in ", joined / kMs, " ms, ", hour, " messages an hour at rest");
    CHECK(hour <= (count == 3 ? 60'000u : count == 16 ? 160'000u : count == 24 ? 190'000u : 470'000u));
    if (count < most) continue;
    // The leader crashes for good: another member takes over, and a learner becomes a voter in its place.
    const std::uint32_t dead = cluster.NumberOf(cluster.Leader());
    cluster.Crash(dead, 0);
    CHECK(cluster.CommitOne(20 * kSecond) <= 4 * kSecond);
    cluster.Run(65 * kSecond);
    CHECK(cluster.AllAreVoters(5));
  }
}

}  // namespace
}  // namespace cluster_manager::consensus
