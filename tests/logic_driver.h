// What the tests of the decision module share: a small fleet, and a driver that keeps the clock.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "scheduling/scheduler.h"

namespace scheduling {

constexpr Time kMs = 1'000'000;
constexpr Time kSecond = 1000 * kMs;

// The tests name requests by words; the module by numbers, which go up in the order in which the words come.
inline RequestId Id(const std::string& word) {
  static std::map<std::string, RequestId> numbers;
  return numbers.try_emplace(word, numbers.size() + 1).first->second;
}

inline LoadReport Cpu(double share) {
  LoadReport report;
  report.Set(LoadReport::kCpuLoad, share);
  return report;
}

// A small fleet of our own making: two kinds, a safe, a keyed and an unsafe class.
inline Settings BasicSettings() {
  Settings s;
  s.classes.resize(3);
  s.classes[0].retry_safety = RetrySafety::kIdempotent;
  s.classes[1].retry_safety = RetrySafety::kIdempotencyKey;
  s.classes[1].key_scope = FailureDomain::kZone;
  s.classes[1].key_ttl = 3 * kSecond;
  s.classes[2].retry_safety = RetrySafety::kNotIdempotent;
  for (ClassSettings& c : s.classes) {
    c.latency_objective = kSecond;
    c.deadline = 8 * kSecond;
  }
  s.kind_cores = {16, 32};
  s.kind_memory = {32, 64};
  s.mean_cores = 1;
  s.mean_memory = 2;
  s.shows_free_capacity = true;
  s.allows_health_checks = true;
  s.allows_cancellation = true;
  s.max_attempts = 4;
  s.slow_start_sends = 4;
  s.slow_start_duration = 10 * kSecond;
  s.slow_start_initial_speed = 0.2;
  s.overload_window = kSecond;
  s.drain_grace = kSecond;
  s.tick = 2 * kMs;
  s.answer_slack = 8 * kMs;
  s.subscription_timeout = 10 * kSecond;
  return s;
}

inline NodeEntry Entry(NodeId id, double free_cores = 16, double free_memory = 32) {
  NodeEntry e;
  e.node = id;
  e.free_cores = free_cores;
  e.free_memory = free_memory;
  return e;
}

template <typename A>
std::vector<A> Only(const std::vector<Action>& actions) {
  std::vector<A> found;
  for (const Action& action : actions) {
    if (const A* a = std::get_if<A>(&action)) found.push_back(*a);
  }
  return found;
}

// Drives one scheduler and keeps the clock.
struct Driver {
  explicit Driver(const Settings& settings, std::uint64_t seed = 1) : scheduler(settings, seed) {}

  std::vector<Action> Send(const Event& event) { return scheduler.Handle(event, now); }
  std::vector<Action> UpdateList(std::vector<NodeEntry> entries,
                                 EndpointListUpdate kind = EndpointListUpdate::kFull) {
    return Send(
        EndpointListChanged{kind, 1, std::make_shared<const std::vector<NodeEntry>>(std::move(entries))});
  }
  std::vector<Action> Arrive(const std::string& id, int class_index = 0, double cores = 1, double memory = 2,
                             std::uint64_t service = 7) {
    Task task;
    task.id = Id(id);
    task.class_index = class_index;
    task.cores = cores;
    task.memory = memory;
    task.service = service;
    task.deadline = now + 8 * kSecond;
    return Send(TaskArrived{task});
  }
  // A node holds this task already; it counts as placed there.
  std::vector<Action> Claim(const std::string& id, NodeId node, std::uint64_t service = 7) {
    Task found;
    found.id = Id(id);
    found.service = service;
    found.cores = 1;
    found.memory = 2;
    return Send(TaskClaimed{found, node});
  }
  std::vector<Action> End(const std::string& id, int attempt, NodeId node, Outcome outcome, bool done = false,
                          EndReason reason = EndReason::kUnspecified) {
    return Send(AttemptEnded{Id(id), attempt, node, outcome, kMs, done, reason, {}});
  }
  std::vector<Action> Wait(Time time) {
    now += time;
    return Send(TimerFired{});
  }

  Scheduler scheduler;
  Time now = 100 * kSecond;
};

}  // namespace scheduling
