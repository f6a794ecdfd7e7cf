// The scheduler with more nodes than it scans individually: it still selects a near-tie of the lowest score
// C/W (load over weight, see node_scorer.h), constraints hold, and the number of nodes examined for a
// placement does not grow with the fleet. The tests count examined nodes and do not measure time.
#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "scheduler_harness.h"

namespace scheduling {
namespace {

// Reference computation of C/W for a node whose usage is known from the endpoint list only, and which does
// not have the program of the task's service.
double LoadScore(const NodeEntry& entry, const Settings& settings, double cores) {
  const double requested_cores = settings.kind_cores[0] - entry.free_cores,
               requested_memory = settings.kind_memory[0] - entry.free_memory;
  const double free_cores =
      std::min(1 - requested_cores / (settings.kind_cores[0] * settings.cores_overcommit),
               1 - requested_cores / settings.kind_cores[0]);
  const double free_memory =
      std::min(1 - requested_memory / (settings.kind_memory[0] * settings.memory_overcommit),
               1 - requested_memory / settings.kind_memory[0]);
  return (requested_cores + 30 * cores) / settings.mean_cores /
         std::hypot(0.5 * settings.kind_memory[0] / settings.mean_memory * free_memory,
                    0.5 * settings.kind_cores[0] / settings.mean_cores * free_cores);
}

TEST_CASE("with a thousand nodes the selected node is a near-tie of the lowest score") {
  const Settings settings = TestFleetSettings();
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SchedulerHarness harness(1000, seed);
    const double cores = 0.5 * static_cast<double>(1 + seed % 4);
    double minimum = 1e9;
    for (const auto& [id, entry] : harness.listed)
      minimum = std::min(minimum, LoadScore(entry, settings, cores));
    const NodeId node = harness.PlaceTask(harness.MakeTask(1, cores, 2, seed));
    REQUIRE(node != 0);
    CHECK(LoadScore(harness.listed[node], settings, cores) <= 1.08 * minimum * (1 + 1e-9));
  }
}

TEST_CASE("the number of nodes examined for a placement does not grow with the fleet") {
  std::map<int, double> examined;
  for (const int nodes : {100, 1000, 4000}) {
    SchedulerHarness harness(nodes);
    std::vector<StartAttempt> open;
    RequestId id = 0;
    std::uint64_t before = 0;
    for (int i = 0; i < 1500; ++i) {
      if (i == 500) before = harness.scheduler.candidates_examined();
      harness.now += 6 * kMs;
      harness.PlaceTask(harness.MakeTask(++id, 0.5 + static_cast<double>(i % 3) * 0.5, 1,
                                         10 + static_cast<std::uint64_t>(i % 40)));
      if (harness.attempts.size() > 300) {
        harness.CompleteTask(harness.attempts.front().id, harness.attempts.front().node);
        harness.attempts.erase(harness.attempts.begin());
      }
    }
    examined[nodes] = static_cast<double>(harness.scheduler.candidates_examined() - before) / 1000;
  }
  MESSAGE("nodes examined for each placement: " << examined[100] << ", " << examined[1000] << ", "
                                                << examined[4000]);
  CHECK(examined[100] > 5);
  CHECK(examined[1000] < 2 * examined[100]);
  CHECK(examined[4000] < 3 * examined[100]);
}

TEST_CASE("queued tasks that fit on no node are not matched against each node at every health check") {
  SchedulerHarness harness(1000);
  for (RequestId id = 1; id <= 200; ++id) {
    Task task = harness.MakeTask(id, 92, 90, 1000 + id);
    task.deadline = harness.now + 1000 * kSecond;
    REQUIRE(harness.PlaceTask(task) == 0);
  }
  const std::uint64_t before = harness.scheduler.candidates_examined();
  int health_checks = 0;
  for (int i = 0; i < 200; ++i) {
    harness.now += 50 * kMs;
    for (const Action& action : std::vector<Action>(harness.HandleEvent(TimerFired{}))) {
      const auto* health_check = std::get_if<CheckNodeHealth>(&action);
      if (health_check == nullptr) continue;
      ++health_checks;
      HealthCheckCompleted result{health_check->node, Outcome::kOk, 3 * kMs, {}};
      result.report.Set(LoadReport::kFreeCores, 20);
      result.report.Set(LoadReport::kFreeMemory, 30);
      harness.HandleEvent(result);
    }
  }
  CHECK(harness.attempts.empty());
  CHECK(health_checks >= 90);
  // 200 attempts to place 200 tasks each examine one entry of the index instead of a thousand nodes.
  CHECK(harness.scheduler.candidates_examined() - before < 200 * 200 * 3);
  NodeEntry freed = harness.MakeEntry(500);
  freed.free_cores = 40;
  freed.free_memory = 64;
  harness.UpdateEndpointList({freed});
  Task small = harness.MakeTask(9000, 1, 2, 3);
  REQUIRE(harness.PlaceTask(small) != 0);  // other tasks are placed meanwhile
  harness.attempts.clear();
  // A task that fits the freed capacity is placed there.
  REQUIRE(harness.PlaceTask(harness.MakeTask(9001, 30, 78, 4)) == 500);
}

TEST_CASE("a queued task is placed once capacity becomes free") {
  SchedulerHarness harness(200);
  // At the assumed usage per requested core, this exceeds the usable cores of an empty node with 40 cores.
  REQUIRE(harness.PlaceTask(harness.MakeTask(1, 82, 50, 9)) == 0);
  // Exceeds what is free on any node now: at most 24 cores and 40 units of memory.
  REQUIRE(harness.PlaceTask(harness.MakeTask(2, 30, 76, 10)) == 0);
  NodeEntry freed = harness.MakeEntry(77);
  freed.free_cores = 40;
  freed.free_memory = 64;
  harness.UpdateEndpointList({freed});
  for (int i = 0; i < 3 && harness.attempts.empty(); ++i) {
    harness.now += 60 * kMs;
    harness.HandleEvent(TimerFired{});
  }
  REQUIRE(harness.attempts.size() == 1);
  CHECK(harness.attempts[0].id == 2);
  CHECK(harness.attempts[0].node == 77);
}

TEST_CASE("a node that is removed or drained while it is in the index gets no more attempts") {
  SchedulerHarness harness(300);
  for (int i = 0; i < 250; ++i) {
    const NodeId node = harness.PlaceTask(
        harness.MakeTask(static_cast<RequestId>(i + 1), 1, 2, 5000 + static_cast<std::uint64_t>(i)));
    REQUIRE(node != 0);
    harness.CompleteTask(static_cast<RequestId>(i + 1), node);
    NodeEntry removed = harness.listed[node];
    removed.state = i % 2 == 0 ? NodeState::kRemoved : NodeState::kDraining;
    harness.UpdateEndpointList({removed});  // PlaceTask checks that no further attempt goes there
    harness.now += 20 * kMs;
  }
}

TEST_CASE("an endpoint list that replaces all nodes leaves no entries of the old ones") {
  SchedulerHarness harness(500);
  for (int i = 1; i <= 100; ++i) {
    const RequestId id = static_cast<RequestId>(i);
    harness.CompleteTask(id, harness.PlaceTask(harness.MakeTask(id, 1, 2, id)));
  }
  for (NodeId round = 1; round <= 3; ++round) {
    std::vector<NodeEntry> entries;
    for (NodeId id = 1; id <= 500; ++id) entries.push_back(harness.MakeEntry(round * 10'000 + id));
    for (auto& [id, entry] : harness.listed)
      entry.state = NodeState::kRemoved;  // PlaceTask checks that no attempt goes to these
    harness.UpdateEndpointList(entries, EndpointListUpdate::kFull);
    harness.now += 10 * kSecond;  // the programs of its services are forgotten
    for (int i = 1; i <= 100; ++i) {
      const RequestId id = static_cast<RequestId>(i);
      const NodeId node = harness.PlaceTask(harness.MakeTask(id, 1, 2, id));
      REQUIRE(node / 10'000 == round);
      harness.CompleteTask(id, node);
    }
  }
  harness.now += 10 * kSecond;
  harness.UpdateEndpointList({});
  CHECK(harness.scheduler.tracked_entries() == 500);
}

TEST_CASE("tasks are placed on all nodes as the fleet shrinks below the index threshold and grows again") {
  SchedulerHarness harness(100);
  for (int round = 0; round < 4; ++round) {
    std::vector<NodeEntry> removed;
    for (auto& [id, entry] : harness.listed) {
      if (id <= 40) continue;
      entry.state = NodeState::kRemoved;
      removed.push_back(entry);
    }
    harness.UpdateEndpointList(removed);
    const RequestId id = static_cast<RequestId>(round * 2 + 1);
    NodeId node = harness.PlaceTask(harness.MakeTask(id));
    CHECK(node <= 40);
    harness.CompleteTask(id, node);
    std::vector<NodeEntry> restored;
    for (NodeId n = 41; n <= 100; ++n) restored.push_back(harness.MakeEntry(n));
    for (NodeEntry& entry : restored) entry.free_cores = 39;
    harness.UpdateEndpointList(restored);
    node = harness.PlaceTask(harness.MakeTask(id + 1, 1, 2, 100 + id));
    CHECK(node > 40);
    harness.CompleteTask(id + 1, node);
  }
}

TEST_CASE("a request id can be reused once its request has ended") {
  SchedulerHarness harness(100);
  for (int i = 0; i < 3000; ++i) {
    const RequestId id = 1 + static_cast<RequestId>(i % 7);
    REQUIRE_FALSE(harness.scheduler.Tracks(id));
    const NodeId node = harness.PlaceTask(harness.MakeTask(id, 1, 2, static_cast<std::uint64_t>(i % 50)));
    REQUIRE(node != 0);
    REQUIRE(harness.scheduler.Tracks(id));
    if (i % 3 == 0) {  // cancelled while its attempt is open: tracked until the attempt has ended
      harness.HandleEvent(RequestCancelled{id});
      REQUIRE(harness.scheduler.Tracks(id));
      harness.HandleEvent(
          AttemptEnded{id, 0, node, Outcome::kCancelled, kMs, true, EndReason::kUnspecified, {}});
    } else {
      harness.CompleteTask(id, node);
    }
    harness.now += 40 * kMs;
    if (i % 100 == 0) {
      harness.HandleEvent(TimerFired{});  // the deadline of an earlier request with the same id has no effect
      harness.UpdateEndpointList({});
    }
  }
}

TEST_CASE("anti-affinity holds with many nodes") {
  SchedulerHarness harness(600);
  std::map<std::uint64_t, std::map<int, int>> tasks_per_rack;
  RequestId id = 0;
  for (int i = 0; i < 600; ++i) {
    const std::uint64_t service = 1 + static_cast<std::uint64_t>(i % 5);
    const NodeId node = harness.PlaceTask(harness.MakeTask(++id, 0.5, 1, service, 1));
    harness.now += 5 * kMs;
    if (node == 0) continue;
    CHECK(++tasks_per_rack[service][harness.listed[node].rack] <= 3);
  }
  std::size_t placed_tasks = 0;
  for (const auto& [service, racks] : tasks_per_rack) {
    for (const auto& [rack, count] : racks) placed_tasks += static_cast<std::size_t>(count);
  }
  CHECK(placed_tasks == 5 * 15 * 3);  // 3 tasks of each service in each rack
}

TEST_CASE("slow start limits the attempts at nodes that have just started in a large fleet") {
  SchedulerHarness harness(0);
  std::vector<NodeEntry> all;
  for (NodeId id = 1; id <= 100; ++id) {
    NodeEntry entry = harness.MakeEntry(id);
    if (id <= 5) {
      entry.started_at = harness.now + kMs;
      entry.free_cores = 40;
      entry.free_memory = 64;
    } else {
      entry.free_cores = 4;
      entry.free_memory = 6;
    }
    all.push_back(entry);
  }
  harness.now += 10 * kMs;
  harness.UpdateEndpointList(all, EndpointListUpdate::kFull);
  std::map<NodeId, int> attempts_at;
  for (RequestId id = 1; id <= 400; ++id)
    ++attempts_at[harness.PlaceTask(harness.MakeTask(id, 0.25, 0.25, id))];
  for (NodeId id = 1; id <= 5; ++id) CHECK(attempts_at[id] <= 24);
}

}  // namespace
}  // namespace scheduling
