// The settings of a deployment as it is measured and tested at size: one kind of node, a safe, a keyed and an
// unsafe class, attempts kept apart over racks and sites.
#pragma once

#include "scheduling/scheduler.h"

namespace scheduling {

inline Settings FleetSettings() {
  constexpr Time kMs = 1'000'000;
  constexpr Time kSecond = 1000 * kMs;
  Settings s;
  s.classes.resize(3);
  s.classes[0].retry_safety = RetrySafety::kIdempotent;
  s.classes[1].retry_safety = RetrySafety::kIdempotencyKey;
  s.classes[1].key_scope = FailureDomain::kCluster;
  s.classes[1].key_ttl = 6 * kSecond;
  s.classes[1].spread_domain = FailureDomain::kRack;
  s.classes[1].spread_limit = 3;
  s.classes[2].retry_safety = RetrySafety::kNotIdempotent;
  s.classes[2].spread_domain = FailureDomain::kZone;
  s.classes[2].spread_limit = 4;
  for (ClassSettings& c : s.classes) c.deadline = 8 * kSecond;
  s.kind_cores = {40};
  s.kind_memory = {64};
  s.mean_cores = 1.1;
  s.mean_memory = 1.9;
  s.cores_overcommit = 2.5;
  s.memory_overcommit = 1.5;
  s.accepted_means_running = true;
  s.shows_free_capacity = true;
  s.reports_actual_use = true;
  s.allows_health_checks = true;
  s.max_attempts = 3;
  s.slow_start_sends = 24;
  s.slow_start_duration = 15 * kSecond;
  s.overload_window = 1500 * kMs;
  s.tick = 2 * kMs;
  return s;
}

}  // namespace scheduling
