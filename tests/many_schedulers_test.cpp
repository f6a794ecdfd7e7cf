// Several schedulers over one fleet in three zones: each places new services in its own partition of its
// zone, and outside of it where the partition is full or the zone is not available.
#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "scheduler_harness.h"

namespace scheduling {
namespace {

// Sixteen schedulers over one fleet; scheduler i is in zone i modulo 3.
struct SixteenSchedulers {
  static constexpr int kSchedulers = 16, kNodes = 400;
  std::vector<std::unique_ptr<SchedulerHarness>> worlds;

  SixteenSchedulers() {
    for (int i = 0; i < kSchedulers; ++i) {
      Settings settings = TestFleetSettings();
      settings.scheduler_count = kSchedulers;
      settings.scheduler_index = i;
      settings.zone = i % 3;
      worlds.push_back(std::make_unique<SchedulerHarness>(kNodes, 1, settings));
    }
  }
  // Places requests of `count` new services by this scheduler, and returns the nodes that accept them.
  std::set<NodeId> PlaceNewServices(int scheduler, int count, RequestId first_id = 1) {
    SchedulerHarness& world = *worlds[static_cast<std::size_t>(scheduler)];
    std::set<NodeId> nodes;
    for (RequestId id = first_id; id < first_id + static_cast<RequestId>(count); ++id) {
      const NodeId node =
          world.PlaceTask(world.MakeTask(id, 0.25, 0.5, 1000 * static_cast<std::uint64_t>(scheduler) + id));
      REQUIRE(node != 0);
      world.HandleEvent(TaskAccepted{id, 0, node, 10 * kMs});
      world.now += kMs;
      nodes.insert(node);
    }
    return nodes;
  }
};

TEST_CASE_FIXTURE(
    SixteenSchedulers,
    "schedulers that know their number place new services in disjoint partitions of their zones") {
  std::set<NodeId> used;
  for (int i = 0; i < kSchedulers; ++i) {
    const std::set<NodeId> partition = PlaceNewServices(i, 60);
    CHECK(partition.size() > 5);
    CHECK(partition.size() < kNodes / 8);
    for (const NodeId node : partition) {
      CHECK(static_cast<int>(node % 3) == i % 3);
      CHECK(used.insert(node).second);
    }
  }
}

TEST_CASE_FIXTURE(SixteenSchedulers,
                  "new services go outside a partition whose load is far above the fleet's mean") {
  const std::set<NodeId> partition = PlaceNewServices(0, 200);
  SchedulerHarness& world = *worlds[0];
  std::vector<NodeEntry> full;
  for (const NodeId node : partition) {
    full.push_back(world.listed.at(node));
    full.back().free_cores = 4;  // enough capacity, but a load far above the mean
  }
  world.now += 5 * kSecond;
  world.UpdateEndpointList(full);
  world.now += kSecond;
  for (const NodeId node : PlaceNewServices(0, 20, 1000)) CHECK_FALSE(partition.contains(node));
}

TEST_CASE_FIXTURE(SixteenSchedulers,
                  "new services go to other zones while the scheduler's zone drains and return afterwards") {
  SchedulerHarness& world = *worlds[0];
  const std::set<NodeId> before = PlaceNewServices(0, 60);
  std::vector<NodeEntry> zone;
  for (const auto& [node, entry] : world.listed) {
    if (node % 3 == 0) zone.push_back(entry);
  }
  const auto set_zone_state = [&](NodeState state) {
    for (NodeEntry& entry : zone) entry.state = state;
    world.now += kSecond;
    world.UpdateEndpointList(zone);
  };
  set_zone_state(NodeState::kDraining);
  for (const NodeId node : PlaceNewServices(0, 40, 1000)) CHECK(node % 3 != 0);
  set_zone_state(NodeState::kReady);
  const std::set<NodeId> after = PlaceNewServices(0, 60, 2000);
  for (const NodeId node : after) CHECK(node % 3 == 0);
  CHECK(std::ranges::any_of(after, [&](NodeId node) { return before.contains(node); }));
}

TEST_CASE_FIXTURE(SixteenSchedulers,
                  "unanswered attempts in the partition count as load for the next new service") {
  SchedulerHarness& world = *worlds[0];
  std::map<NodeId, int> attempts;
  std::set<NodeId> partition = PlaceNewServices(0, 200);
  for (RequestId id = 1000; id < 1000 + static_cast<RequestId>(partition.size() / 2); ++id) {
    ++attempts[world.PlaceTask(world.MakeTask(id, 0.25, 0.5, 50'000 + id))];  // without an answer
  }
  for (const auto& [node, count] : attempts) CHECK(count == 1);
}

}  // namespace
}  // namespace scheduling
