// Recovery ramp of a zone that returns after a loss: limits how many tasks may be placed there.
//
// Purpose: the nodes of a returning zone may be cold, and since the zone appears empty all waiting requests
// would be placed there at once. The rate of placements therefore starts low. It is multiplied after each
// step in which nearly all attempts in the zone succeeded, and lowered by one step after any other step.
// Every cluster manager uses a fixed part of the total rate, according to the configured number of cluster
// managers, so that the total holds without communication.
//
// Owned by ZoneFailover, one per zone, and used on its thread. No clock or I/O.
#pragma once

#include <cstdint>

namespace cluster_manager::zone_failover {

struct RecoveryRampParameters {
  double initial_rate = 0.5;  // placements per second and node of the zone, all cluster managers together
  double rate_factor = 2;     // from step to step
  std::int64_t step_duration = 1'000'000'000;  // nanoseconds
  double complete_rate = 8;        // placements per second and node at which the recovery is complete
  double min_success_share = 0.8;  // of the attempts that ended in a step, for the next step
  // Nanoseconds since the start after which a step without any ended attempt completes the recovery.
  std::int64_t idle_completion_time = 20'000'000'000;
};

// The rate limit of one returning zone. Complete until the first Start().
class RecoveryRamp {
 public:
  using Time = std::int64_t;  // nanoseconds
  RecoveryRamp(RecoveryRampParameters parameters, int manager_count)
      : parameters_(parameters), manager_count_(manager_count > 0 ? manager_count : 1) {}

  // Applies new parameters, also to a recovery in progress.
  void SetParameters(const RecoveryRampParameters& parameters) { parameters_ = parameters; }
  // Starts the recovery of a zone with this number of nodes.
  void Start(int node_count, Time now);
  // Counts an attempt in the zone that ended. `succeeded`: the node accepted or rejected the request.
  void RecordResult(bool succeeded) { ++(succeeded ? succeeded_ : failed_); }
  // Counts a placement in the zone.
  void RecordPlacement() { ++placements_; }
  // Updates the ramp. Returns how many placements are allowed now, from this cluster manager.
  int AllowedPlacements(Time now);
  bool is_complete() const { return is_complete_; }
  int step() const { return step_; }
  // The earliest time of completion, reached if every step succeeds.
  Time EarliestCompletion(Time now) const;

 private:
  double Rate() const;  // placements per second of this cluster manager

  RecoveryRampParameters parameters_;
  int manager_count_, node_count_ = 0, step_ = 0;
  Time started_at_ = 0, step_started_at_ = 0, refilled_at_ = 0;
  double tokens_ = 0;
  // Attempts that ended in the current step; placements, in total and at the latest refill of the tokens.
  int succeeded_ = 0, failed_ = 0, placements_ = 0, placements_at_refill_ = 0;
  bool is_complete_ = true;
};

}  // namespace cluster_manager::zone_failover
