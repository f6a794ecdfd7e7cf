// Many schedulers over one fleet in zones: each binds in a part of its own zone, and leaves it where it is
// full or lost.
#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "scheduler_harness.h"

namespace scheduling {
namespace {

// Sixteen schedulers over one fleet in three zones, standing in them in turn.
struct Parts {
  static constexpr int kSchedulers = 16, kNodes = 400;
  std::vector<std::unique_ptr<SchedulerHarness>> worlds;

  Parts() {
    for (int i = 0; i < kSchedulers; ++i) {
      Settings settings = TestFleetSettings();
      settings.scheduler_count = kSchedulers;
      settings.scheduler_index = i;
      settings.zone = i % 3;
      worlds.push_back(std::make_unique<SchedulerHarness>(kNodes, 1, settings));
    }
  }
  // Where so many new services of a scheduler are bound, each at once placed.
  std::set<NodeId> Bind(int scheduler, int count, RequestId from = 1) {
    SchedulerHarness& world = *worlds[static_cast<std::size_t>(scheduler)];
    std::set<NodeId> all;
    for (RequestId id = from; id < from + static_cast<RequestId>(count); ++id) {
      const NodeId node =
          world.PlaceTask(world.MakeTask(id, 0.25, 0.5, 1000 * static_cast<std::uint64_t>(scheduler) + id));
      REQUIRE(node != 0);
      world.HandleEvent(TaskAccepted{id, 0, node, 10 * kMs});
      world.now += kMs;
      all.insert(node);
    }
    return all;
  }
};

TEST_CASE_FIXTURE(Parts, "schedulers that know of each other's number bind in parts of their zones, apart") {
  std::set<NodeId> taken;
  for (int i = 0; i < kSchedulers; ++i) {
    const std::set<NodeId> its = Bind(i, 60);
    CHECK(its.size() > 5);
    CHECK(its.size() < kNodes / 8);
    for (const NodeId node : its) {
      CHECK(static_cast<int>(node % 3) == i % 3);
      CHECK(taken.insert(node).second);
    }
  }
}

TEST_CASE_FIXTURE(Parts, "a part above the fleet's level leaves its binds to the rest of the fleet") {
  const std::set<NodeId> part = Bind(0, 200);
  SchedulerHarness& world = *worlds[0];
  std::vector<NodeEntry> full;
  for (const NodeId node : part) {
    full.push_back(world.listed.at(node));
    full.back().free_cores = 4;  // still room, and far above the mean
  }
  world.now += 5 * kSecond;
  world.UpdateEndpointList(full);
  world.now += kSecond;
  for (const NodeId node : Bind(0, 20, 1000)) CHECK_FALSE(part.contains(node));
}

TEST_CASE_FIXTURE(Parts,
                  "a scheduler whose zone is lost binds elsewhere, and at home again once it is back") {
  SchedulerHarness& world = *worlds[0];
  const std::set<NodeId> before = Bind(0, 60);
  std::vector<NodeEntry> zone;
  for (const auto& [node, entry] : world.listed) {
    if (node % 3 == 0) zone.push_back(entry);
  }
  const auto tell = [&](NodeState state) {
    for (NodeEntry& entry : zone) entry.state = state;
    world.now += kSecond;
    world.UpdateEndpointList(zone);
  };
  tell(NodeState::kDraining);
  for (const NodeId node : Bind(0, 40, 1000)) CHECK(node % 3 != 0);
  tell(NodeState::kReady);
  const std::set<NodeId> after = Bind(0, 60, 2000);
  for (const NodeId node : after) CHECK(node % 3 == 0);
  CHECK(std::ranges::any_of(after, [&](NodeId node) { return before.contains(node); }));
}

TEST_CASE_FIXTURE(Parts, "starts that are still under way at home weigh on the next bind") {
  SchedulerHarness& world = *worlds[0];
  std::map<NodeId, int> starts;
  std::set<NodeId> part = Bind(0, 200);
  for (RequestId id = 1000; id < 1000 + static_cast<RequestId>(part.size() / 2); ++id) {
    ++starts[world.PlaceTask(world.MakeTask(id, 0.25, 0.5, 50'000 + id))];  // none of them is answered
  }
  for (const auto& [node, count] : starts) CHECK(count == 1);
}

}  // namespace
}  // namespace scheduling
