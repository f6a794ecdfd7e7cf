// Helpers of the scheduling tests: settings of a small cluster, and a driver that sends events to one
// scheduler and keeps the time.
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

// The request id for a name that a test uses. Ids increase in the order in which the names are first used.
inline RequestId RequestIdFor(const std::string& name) {
  static std::map<std::string, RequestId> ids;
  return ids.try_emplace(name, ids.size() + 1).first->second;
}

inline LoadReport CpuLoadReport(double load) {
  LoadReport report;
  report.Set(LoadReport::kCpuLoad, load);
  return report;
}

// Settings of a small cluster: two node kinds, and an idempotent, a keyed and a non-idempotent class.
inline Settings BasicSettings() {
  Settings settings;
  settings.classes.resize(3);
  settings.classes[0].retry_safety = RetrySafety::kIdempotent;
  settings.classes[1].retry_safety = RetrySafety::kIdempotencyKey;
  settings.classes[1].key_scope = FailureDomain::kZone;
  settings.classes[1].key_ttl = 3 * kSecond;
  settings.classes[2].retry_safety = RetrySafety::kNotIdempotent;
  for (ClassSettings& class_settings : settings.classes) {
    class_settings.latency_objective = kSecond;
    class_settings.deadline = 8 * kSecond;
  }
  settings.kind_cores = {16, 32};
  settings.kind_memory = {32, 64};
  settings.mean_cores = 1;
  settings.mean_memory = 2;
  settings.shows_free_capacity = true;
  settings.allows_health_checks = true;
  settings.allows_cancellation = true;
  settings.max_attempts = 4;
  settings.slow_start_sends = 4;
  settings.slow_start_duration = 10 * kSecond;
  settings.slow_start_initial_speed = 0.2;
  settings.overload_window = kSecond;
  settings.drain_grace = kSecond;
  settings.tick = 2 * kMs;
  settings.answer_slack = 8 * kMs;
  settings.subscription_timeout = 10 * kSecond;
  return settings;
}

inline NodeEntry MakeEntry(NodeId id, double free_cores = 16, double free_memory = 32) {
  NodeEntry entry;
  entry.node = id;
  entry.free_cores = free_cores;
  entry.free_memory = free_memory;
  return entry;
}

template <typename ActionType>
std::vector<ActionType> ActionsOfType(const std::vector<Action>& actions) {
  std::vector<ActionType> found;
  for (const Action& action : actions) {
    if (const ActionType* match = std::get_if<ActionType>(&action)) found.push_back(*match);
  }
  return found;
}

// Sends events to one scheduler at the time `now`.
struct Driver {
  explicit Driver(const Settings& settings, std::uint64_t seed = 1) : scheduler(settings, seed) {}

  std::vector<Action> Send(const Event& event) { return scheduler.Handle(event, now); }
  std::vector<Action> UpdateEndpointList(std::vector<NodeEntry> entries,
                                         EndpointListUpdate kind = EndpointListUpdate::kFull) {
    return Send(
        EndpointListChanged{kind, 1, std::make_shared<const std::vector<NodeEntry>>(std::move(entries))});
  }
  std::vector<Action> SendRequest(const std::string& id, int class_index = 0, double cores = 1,
                                  double memory = 2, std::uint64_t service = 7) {
    Task task;
    task.id = RequestIdFor(id);
    task.class_index = class_index;
    task.cores = cores;
    task.memory = memory;
    task.service = service;
    task.deadline = now + 8 * kSecond;
    return Send(TaskArrived{task});
  }
  // Claims a task that already runs on the node.
  std::vector<Action> ClaimTask(const std::string& id, NodeId node, std::uint64_t service = 7) {
    Task task;
    task.id = RequestIdFor(id);
    task.service = service;
    task.cores = 1;
    task.memory = 2;
    return Send(TaskClaimed{task, node});
  }
  std::vector<Action> EndAttempt(const std::string& id, int attempt, NodeId node, Outcome outcome,
                                 bool is_final = false, EndReason reason = EndReason::kUnspecified) {
    return Send(AttemptEnded{RequestIdFor(id), attempt, node, outcome, kMs, is_final, reason, {}});
  }
  std::vector<Action> AdvanceTime(Time time) {
    now += time;
    return Send(TimerFired{});
  }

  Scheduler scheduler;
  Time now = 100 * kSecond;
};

}  // namespace scheduling
