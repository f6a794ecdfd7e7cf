// Basic types of the scheduling interface and the settings of a scheduler. Types only, without behaviour.
// All times and durations are nanoseconds of the caller's event clock; cores and memory are in the units of
// the installation's settings (memory: any unit, the same everywhere).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace scheduling {

using Time = std::int64_t;        // a moment or a duration, nanoseconds
using NodeId = std::uint32_t;     // names a node; the same at all schedulers
using RequestId = std::uint64_t;  // chosen by the caller; may be used again once the request is over

// What a second execution of a task does: nothing, nothing where its key is known, or harm.
enum class RetrySafety { kIdempotent, kIdempotencyKey, kNotIdempotent };

// Where copies of a keyed task are discarded, or over what the tasks of a service are spread.
enum class FailureDomain { kNone, kNode, kRack, kZone, kFleet };

// Settings of a class of tasks. No decision reads name, latency_objective, late_value_share,
// start_value_seconds and priority so far; tests and embedders fill them in.
struct ClassSettings {
  std::string name;
  Time latency_objective = 0;
  Time deadline = 0;
  RetrySafety retry_safety = RetrySafety::kNotIdempotent;
  FailureDomain key_scope = FailureDomain::kRack;  // keyed classes: where repeats are discarded
  Time key_ttl = 0;                                // keyed classes: how long a node remembers a key
  double priority_weight = 1;                      // value of a second of a task
  double late_value_share = 0;
  double start_value_seconds = 0;
  double degradation_start = 1;  // share of busy cores from which tasks of the class run worse
  double degradation_span = 1;   // and over which their service level falls to nothing
  int required_node_kind = -1;   // -1: any kind
  int priority = 0;
  FailureDomain spread_domain = FailureDomain::kNone;
  int spread_limit = 0;  // most tasks of a service in one spread domain

  bool operator==(const ClassSettings&) const = default;
};

// Settings of a tenant. No decision reads name and traffic_share so far.
struct TenantSettings {
  std::string name;
  double traffic_share = 1;
  double quota_cores = 0;  // over all schedulers; 0: no quota
};

// Settings of a scheduler. No decision reads allows_cancellation, reports_task_use, reports_memory_pressure,
// answer_slack and drain_grace so far.
struct Settings {
  std::vector<ClassSettings> classes;  // at least one
  std::vector<TenantSettings> tenants;
  std::vector<double> kind_cores;          // cores of a node, by kind; at least one kind
  std::vector<double> kind_memory;         // memory of a node, by kind
  double mean_cores = 1;                   // of a task
  double mean_memory = 1;                  // of a task
  double cores_overcommit = 1;             // a node accepts this many times its cores
  double memory_overcommit = 1;            // and this many times its memory
  bool accepted_means_running = false;     // else an accepted task may still wait for its program to start
  bool shows_free_capacity = false;        // endpoint list entries carry free capacity
  bool reports_actual_use = false;         // load reports subtract what is used, not what was requested
  bool discovery_by_subscription = false;  // the endpoint list must be subscribed to
  bool allows_health_checks = false;
  bool allows_cancellation = false;
  bool reports_task_use = false;
  bool reports_memory_pressure = false;
  int scheduler_count = 1;
  int scheduler_index = 0;      // this scheduler's number among them, from 0
  int zone = 0;                 // where this scheduler runs
  int max_attempts = 1;         // for a request
  double slow_start_sends = 0;  // attempts that a node warming up survives in an overload window
  Time tick = 0;                // step of the caller's clock
  Time answer_slack = 0;
  Time subscription_timeout = 0;  // a subscription is to stand within this; 0: no limit
  Time slow_start_duration = 0;
  double slow_start_initial_speed = 1;  // speed of a node that has just come up, as a share of its full one
  Time overload_window = 0;
  Time drain_grace = 0;
  Time max_retry_after = 0;      // the longest delay that clients follow; 0: none is passed on
  double over_quota_weight = 1;  // factor on the value of a request whose tenant is over its quota
  double node_price = 0;         // cost of a node in use; 0: nodes in use cost nothing
};

}  // namespace scheduling
