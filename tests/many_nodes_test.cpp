// The decision module among more nodes than it scans one by one: the pick is still least C over W among
// near-ties, the rules hold, and what it looks at does not grow with the fleet. Counts are judged, not
// clocks.
#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "scheduler_harness.h"

namespace scheduling {
namespace {

// C over W of a node that the list alone tells of, as the design has it: bind of a program that is not there.
double Ratio(const NodeEntry& e, const Settings& s, double cores) {
  const double asked_cores = s.kind_cores[0] - e.free_cores, asked_memory = s.kind_memory[0] - e.free_memory;
  const double free_cores =
      std::min(1 - asked_cores / (s.kind_cores[0] * s.cores_overcommit), 1 - asked_cores / s.kind_cores[0]);
  const double free_memory = std::min(1 - asked_memory / (s.kind_memory[0] * s.memory_overcommit),
                                      1 - asked_memory / s.kind_memory[0]);
  return (asked_cores + 30 * cores) / s.mean_cores /
         std::hypot(0.5 * s.kind_memory[0] / s.mean_memory * free_memory,
                    0.5 * s.kind_cores[0] / s.mean_cores * free_cores);
}

TEST_CASE("among a thousand nodes the pick is a near-tie of the least C over W") {
  const Settings settings = TestFleetSettings();
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SchedulerHarness world(1000, seed);
    const double cores = 0.5 * static_cast<double>(1 + seed % 4);
    double least = 1e9;
    for (const auto& [id, e] : world.listed) least = std::min(least, Ratio(e, settings, cores));
    const NodeId node = world.PlaceTask(world.MakeTask(1, cores, 2, seed));
    REQUIRE(node != 0);
    CHECK(Ratio(world.listed[node], settings, cores) <= 1.08 * least * (1 + 1e-9));
  }
}

TEST_CASE("what is looked at for a pick does not grow with the fleet") {
  std::map<int, double> looked;
  for (const int nodes : {100, 1000, 4000}) {
    SchedulerHarness world(nodes);
    std::vector<StartAttempt> open;
    RequestId id = 0;
    std::uint64_t before = 0;
    for (int i = 0; i < 1500; ++i) {
      if (i == 500) before = world.scheduler.candidates_examined();
      world.now += 6 * kMs;
      world.PlaceTask(world.MakeTask(++id, 0.5 + static_cast<double>(i % 3) * 0.5, 1,
                                     10 + static_cast<std::uint64_t>(i % 40)));
      if (world.attempts.size() > 300) {
        world.CompleteTask(world.attempts.front().id, world.attempts.front().node);
        world.attempts.erase(world.attempts.begin());
      }
    }
    looked[nodes] = static_cast<double>(world.scheduler.candidates_examined() - before) / 1000;
  }
  MESSAGE("nodes looked at a pick: " << looked[100] << ", " << looked[1000] << ", " << looked[4000]);
  CHECK(looked[100] > 5);
  CHECK(looked[1000] < 2 * looked[100]);
  CHECK(looked[4000] < 3 * looked[100]);
}

TEST_CASE("two hundred held tasks that fit nowhere cost next to nothing while a thousand nodes are probed") {
  SchedulerHarness world(1000);
  for (RequestId id = 1; id <= 200; ++id) {
    Task task = world.MakeTask(id, 92, 90, 1000 + id);
    task.deadline = world.now + 1000 * kSecond;
    REQUIRE(world.PlaceTask(task) == 0);
  }
  const std::uint64_t before = world.scheduler.candidates_examined();
  int probes = 0;
  for (int i = 0; i < 200; ++i) {
    world.now += 50 * kMs;
    for (const Action& action : std::vector<Action>(world.HandleEvent(TimerFired{}))) {
      const auto* probe = std::get_if<CheckNodeHealth>(&action);
      if (probe == nullptr) continue;
      ++probes;
      HealthCheckCompleted answer{probe->node, Outcome::kOk, 3 * kMs, {}};
      answer.report.Set(LoadReport::kFreeCores, 20);
      answer.report.Set(LoadReport::kFreeMemory, 30);
      world.HandleEvent(answer);
    }
  }
  CHECK(world.attempts.empty());
  CHECK(probes >= 90);
  // 200 tasks tried 200 times: one entry of the index each, and not the thousand nodes.
  CHECK(world.scheduler.candidates_examined() - before < 200 * 200 * 3);
  NodeEntry roomy = world.MakeEntry(500);
  roomy.free_cores = 40;
  roomy.free_memory = 64;
  world.UpdateEndpointList({roomy});
  Task small = world.MakeTask(9000, 1, 2, 3);
  REQUIRE(world.PlaceTask(small) != 0);  // the others are served meanwhile
  world.attempts.clear();
  REQUIRE(world.PlaceTask(world.MakeTask(9001, 30, 78, 4)) == 500);  // and what fits the new room gets it
}

TEST_CASE("a held task is placed once room comes free") {
  SchedulerHarness world(200);
  // Past what the use of a machine of 40 cores allows, however empty, at the use per unit that is taken for
  // granted.
  REQUIRE(world.PlaceTask(world.MakeTask(1, 82, 50, 9)) == 0);
  // Past what is free anywhere now: 24 cores and 40 of memory unasked of what a node admits.
  REQUIRE(world.PlaceTask(world.MakeTask(2, 30, 76, 10)) == 0);
  NodeEntry roomy = world.MakeEntry(77);
  roomy.free_cores = 40;
  roomy.free_memory = 64;
  world.UpdateEndpointList({roomy});
  for (int i = 0; i < 3 && world.attempts.empty(); ++i) {
    world.now += 60 * kMs;
    world.HandleEvent(TimerFired{});
  }
  REQUIRE(world.attempts.size() == 1);
  CHECK(world.attempts[0].id == 2);
  CHECK(world.attempts[0].node == 77);
}

TEST_CASE("a node that goes while the index holds it gets nothing more") {
  SchedulerHarness world(300);
  for (int i = 0; i < 250; ++i) {
    const NodeId node = world.PlaceTask(
        world.MakeTask(static_cast<RequestId>(i + 1), 1, 2, 5000 + static_cast<std::uint64_t>(i)));
    REQUIRE(node != 0);
    world.CompleteTask(static_cast<RequestId>(i + 1), node);
    NodeEntry gone = world.listed[node];
    gone.state = i % 2 == 0 ? NodeState::kRemoved : NodeState::kDraining;
    world.UpdateEndpointList({gone});  // what Place checks: no offer goes there from here on
    world.now += 20 * kMs;
  }
}

TEST_CASE("a list that replaces all nodes at once leaves nothing of the old") {
  SchedulerHarness world(500);
  for (int i = 1; i <= 100; ++i) {
    const RequestId id = static_cast<RequestId>(i);
    world.CompleteTask(id, world.PlaceTask(world.MakeTask(id, 1, 2, id)));
  }
  for (NodeId round = 1; round <= 3; ++round) {
    std::vector<NodeEntry> fresh;
    for (NodeId id = 1; id <= 500; ++id) fresh.push_back(world.MakeEntry(round * 10'000 + id));
    for (auto& [id, entry] : world.listed)
      entry.state = NodeState::kRemoved;  // no offer goes to one of these
    world.UpdateEndpointList(fresh, EndpointListUpdate::kFull);
    world.now += 10 * kSecond;  // its programs are forgotten
    for (int i = 1; i <= 100; ++i) {
      const RequestId id = static_cast<RequestId>(i);
      const NodeId node = world.PlaceTask(world.MakeTask(id, 1, 2, id));
      REQUIRE(node / 10'000 == round);
      world.CompleteTask(id, node);
    }
  }
  world.now += 10 * kSecond;
  world.UpdateEndpointList({});
  CHECK(world.scheduler.tracked_entries() == 500);
}

TEST_CASE("from many nodes to few and back: what is not indexed is scanned, and nothing is lost") {
  SchedulerHarness world(100);
  for (int round = 0; round < 4; ++round) {
    std::vector<NodeEntry> gone;
    for (auto& [id, entry] : world.listed) {
      if (id <= 40) continue;
      entry.state = NodeState::kRemoved;
      gone.push_back(entry);
    }
    world.UpdateEndpointList(gone);
    const RequestId id = static_cast<RequestId>(round * 2 + 1);
    NodeId node = world.PlaceTask(world.MakeTask(id));
    CHECK(node <= 40);
    world.CompleteTask(id, node);
    std::vector<NodeEntry> back;
    for (NodeId n = 41; n <= 100; ++n) back.push_back(world.MakeEntry(n));
    for (NodeEntry& e : back) e.free_cores = 39;
    world.UpdateEndpointList(back);
    node = world.PlaceTask(world.MakeTask(id + 1, 1, 2, 100 + id));
    CHECK(node > 40);
    world.CompleteTask(id + 1, node);
  }
}

TEST_CASE("numbers of requests come round again once they are over") {
  SchedulerHarness world(100);
  for (int i = 0; i < 3000; ++i) {
    const RequestId id = 1 + static_cast<RequestId>(i % 7);
    REQUIRE_FALSE(world.scheduler.Tracks(id));
    const NodeId node = world.PlaceTask(world.MakeTask(id, 1, 2, static_cast<std::uint64_t>(i % 50)));
    REQUIRE(node != 0);
    REQUIRE(world.scheduler.Tracks(id));
    if (i % 3 == 0) {  // withdrawn while it is out: remembered until its attempt has ended
      world.HandleEvent(RequestCancelled{id});
      REQUIRE(world.scheduler.Tracks(id));
      world.HandleEvent(
          AttemptEnded{id, 0, node, Outcome::kCancelled, kMs, true, EndReason::kUnspecified, {}});
    } else {
      world.CompleteTask(id, node);
    }
    world.now += 40 * kMs;
    if (i % 100 == 0) {
      world.HandleEvent(
          TimerFired{});  // an old deadline of a number that stands for another by now ends nothing
      world.UpdateEndpointList({});
    }
  }
}

TEST_CASE("spread holds among many nodes") {
  SchedulerHarness world(600);
  std::map<std::uint64_t, std::map<int, int>> in_cell;
  RequestId id = 0;
  for (int i = 0; i < 600; ++i) {
    const std::uint64_t service = 1 + static_cast<std::uint64_t>(i % 5);
    const NodeId node = world.PlaceTask(world.MakeTask(++id, 0.5, 1, service, 1));
    world.now += 5 * kMs;
    if (node == 0) continue;
    CHECK(++in_cell[service][world.listed[node].rack] <= 3);
  }
  std::size_t placed = 0;
  for (const auto& [service, cells] : in_cell) {
    for (const auto& [cell, count] : cells) placed += static_cast<std::size_t>(count);
  }
  CHECK(placed == 5 * 15 * 3);  // as many as the rule leaves room for, and no more
}

TEST_CASE("cold nodes among many get this scheduler's part and no more") {
  SchedulerHarness world(0);
  std::vector<NodeEntry> all;
  for (NodeId id = 1; id <= 100; ++id) {
    NodeEntry e = world.MakeEntry(id);
    if (id <= 5) {
      e.started_at = world.now + kMs;
      e.free_cores = 40;
      e.free_memory = 64;
    } else {
      e.free_cores = 4;
      e.free_memory = 6;
    }
    all.push_back(e);
  }
  world.now += 10 * kMs;
  world.UpdateEndpointList(all, EndpointListUpdate::kFull);
  std::map<NodeId, int> sent;
  for (RequestId id = 1; id <= 400; ++id) ++sent[world.PlaceTask(world.MakeTask(id, 0.25, 0.25, id))];
  for (NodeId id = 1; id <= 5; ++id) CHECK(sent[id] <= 24);
}

}  // namespace
}  // namespace scheduling
