// Test harness for one scheduler over a randomly generated fleet of nodes.
#pragma once

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <variant>
#include <vector>

#include "fleet_settings.h"
#include "scheduling/scheduler.h"

namespace scheduling {

constexpr Time kMs = 1'000'000, kSecond = 1000 * kMs;

// Settings of a deployment with a safe, a keyed and an unsafe class and a single kind of node.
inline Settings TestFleetSettings() {
  Settings settings = FleetSettings();
  settings.slow_start_initial_speed = 0.2;
  return settings;
}

// One scheduler and its endpoint list. The nodes are generated from the seed. Every attempt that the
// scheduler starts is checked to go to a node that the endpoint list shows as ready.
struct SchedulerHarness {
  explicit SchedulerHarness(int nodes, std::uint64_t seed = 1, const Settings& settings = TestFleetSettings())
      : scheduler(settings, seed), random(static_cast<unsigned>(seed)) {
    std::vector<NodeEntry> all;
    for (int i = 1; i <= nodes; ++i) all.push_back(MakeEntry(static_cast<NodeId>(i)));
    UpdateEndpointList(all, EndpointListUpdate::kFull);
  }
  double RandomBelow(double limit) { return std::uniform_real_distribution<double>(0, limit)(random); }
  NodeEntry MakeEntry(NodeId id) {
    NodeEntry entry;
    entry.node = id;
    entry.zone = static_cast<int>(id % 3);
    entry.rack = static_cast<int>(id % 15);
    entry.free_cores = 16 + RandomBelow(8);
    entry.free_memory = 24 + RandomBelow(16);
    return entry;
  }
  void UpdateEndpointList(std::vector<NodeEntry> entries,
                          EndpointListUpdate kind = EndpointListUpdate::kDelta) {
    for (const NodeEntry& entry : entries) listed[entry.node] = entry;
    HandleEvent(
        EndpointListChanged{kind, 1, std::make_shared<const std::vector<NodeEntry>>(std::move(entries))});
  }
  const std::vector<Action>& HandleEvent(const Event& event) {
    const std::vector<Action>& actions = scheduler.Handle(event, now);
    for (const Action& action : actions) {
      if (const auto* attempt = std::get_if<StartAttempt>(&action)) {
        const auto node = listed.find(attempt->node);
        REQUIRE(node != listed.end());
        REQUIRE(node->second.state == NodeState::kReady);
        attempts.push_back(*attempt);
      }
    }
    return actions;
  }
  Task MakeTask(RequestId id, double cores = 1, double memory = 2, std::uint64_t service = 7,
                int class_index = 0) {
    Task task;
    task.id = id;
    task.class_index = class_index;
    task.cores = cores;
    task.memory = memory;
    task.service = service;
    task.deadline = now + 8 * kSecond;
    return task;
  }
  // The node that the scheduler starts an attempt at; 0 if the task is queued.
  NodeId PlaceTask(const Task& task) {
    const std::size_t before = attempts.size();
    HandleEvent(TaskArrived{task});
    return attempts.size() > before ? attempts.back().node : 0;
  }
  // The node accepts the task and completes it.
  void CompleteTask(RequestId id, NodeId node) {
    HandleEvent(TaskAccepted{id, 0, node, 10 * kMs});
    HandleEvent(AttemptEnded{id, 0, node, Outcome::kOk, kSecond, true, EndReason::kUnspecified, {}});
  }

  Scheduler scheduler;
  std::mt19937 random;
  Time now = 100 * kSecond;
  std::map<NodeId, NodeEntry> listed;  // the endpoint list, removed nodes included
  std::vector<StartAttempt> attempts;
};

}  // namespace scheduling
