// Basic types of the scheduling interface and the settings of a scheduler. Types only, without behaviour.
// All times and durations are nanoseconds of the caller's event clock, by which it passes `now` to the
// scheduler. Cores and memory are in the units of the installation's settings; memory may be in any unit that
// is used consistently.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace scheduling {

using Time = std::int64_t;        // a point in time or a duration, nanoseconds
using NodeId = std::uint32_t;     // identifies a node; the same at all schedulers
using RequestId = std::uint64_t;  // chosen by the caller; may be reused once the request is no longer tracked

// The effect of a second execution of a task: none, none where its idempotency key is known, or harm.
enum class RetrySafety { kIdempotent, kIdempotencyKey, kNotIdempotent };

// The scope within which repeats of a task with an idempotency key are discarded, or over which the tasks of
// a service are spread.
enum class FailureDomain { kNone, kNode, kRack, kZone, kCluster };

// Settings of a class of tasks. The scheduler does not use name, latency_objective, late_value_share,
// start_value_seconds and priority at present; tests and embedders fill them in.
struct ClassSettings {
  std::string name;
  Time latency_objective = 0;
  Time deadline = 0;
  RetrySafety retry_safety = RetrySafety::kNotIdempotent;
  FailureDomain key_scope = FailureDomain::kRack;  // kIdempotencyKey: where repeats are discarded
  Time key_ttl = 0;                                // kIdempotencyKey: how long a node remembers a key
  double priority_weight = 1;                      // value of a second of a task
  double late_value_share = 0;
  double start_value_seconds = 0;
  double degradation_start = 1;  // share of busy cores above which the service level of the class falls
  double degradation_span = 1;   // increase of that share over which the service level falls to zero
  int required_node_kind = -1;   // -1: any kind
  int priority = 0;
  FailureDomain spread_domain = FailureDomain::kNone;
  int spread_limit = 0;  // maximum number of tasks of a service in one spread domain

  bool operator==(const ClassSettings&) const = default;
};

// Settings of a tenant. The scheduler does not use name and traffic_share at present.
struct TenantSettings {
  std::string name;
  double traffic_share = 1;
  double quota_cores = 0;  // sum over all schedulers; 0: no quota
};

// Settings of a scheduler. The scheduler does not use allows_cancellation, reports_task_use,
// reports_memory_pressure, answer_slack and drain_grace at present.
struct Settings {
  std::vector<ClassSettings> classes;  // at least one
  std::vector<TenantSettings> tenants;
  std::vector<double> kind_cores;       // cores of a node, by node kind; at least one kind
  std::vector<double> kind_memory;      // memory of a node, by node kind
  double mean_cores = 1;                // mean of the cores that a task requests
  double mean_memory = 1;               // mean of the memory that a task requests
  double cores_overcommit = 1;          // a node accepts requests for this multiple of its cores
  double memory_overcommit = 1;         // a node accepts requests for this multiple of its memory
  bool accepted_means_running = false;  // otherwise the program of an accepted task may still have to start
  bool shows_free_capacity = false;     // endpoint list entries carry free capacity
  bool reports_actual_use = false;      // free capacity in load reports is net of use, not of requests
  bool discovery_by_subscription = false;  // the endpoint list must be subscribed to
  bool allows_health_checks = false;
  bool allows_cancellation = false;
  bool reports_task_use = false;
  bool reports_memory_pressure = false;
  int scheduler_count = 1;
  int scheduler_index = 0;      // index of this scheduler among them, from 0
  int zone = 0;                 // zone in which this scheduler runs
  int max_attempts = 1;         // per request
  double slow_start_sends = 0;  // attempts that a node warming up can take in an overload window
  Time tick = 0;                // resolution of the caller's clock
  Time answer_slack = 0;
  Time subscription_timeout = 0;  // time within which a subscription must be established; 0: no limit
  Time slow_start_duration = 0;
  double slow_start_initial_speed = 1;  // initial speed of a started node, as a share of its full speed
  Time overload_window = 0;             // the window of slow_start_sends
  Time drain_grace = 0;
  Time max_retry_after = 0;      // longest Retry-After that clients follow; 0: none is sent
  double over_quota_weight = 1;  // factor on the value of a request whose tenant is over its quota
  double node_price = 0;         // cost of a node in use; 0: nodes in use cost nothing
};

}  // namespace scheduling
