// Admission control while zones are lost: decides which requests are rejected when capacity is insufficient.
//
// Purpose: the failover plan puts all requests into an order of ranks; rank 0 is rejected last. The admission
// level defines how far down that order requests are admitted: lower ranks completely, the rank at the level
// by a share that is drawn from the task's name identically in all cluster managers, higher ranks not at all.
// No request of a rank below the level is therefore rejected while one at or above it is admitted. The level
// falls as soon as demand exceeds supply, and rises rank by rank only after the next rank has fitted with a
// margin for raise_delay.
//
// The supply is estimated from this cluster manager's share of the free capacity in the usable zones (see
// ZoneFailover::FreeCapacity), distributed over the planning horizon, plus the rate at which running tasks
// end. It is corrected by the outcome: while admitted requests are waiting the estimate is lowered, otherwise
// it is raised slowly.
//
// Owned by ZoneFailover and used on its thread. No clock or I/O. Memory grows with the number of ranks.
#pragma once

#include <cstdint>
#include <vector>

#include "containers/decaying_rate.h"

namespace cluster_manager::zone_failover {

struct AdmissionParameters {
  // Nanoseconds over which the free capacity is distributed.
  std::int64_t planning_horizon = 2'000'000'000;
  std::int64_t raise_delay = 1'000'000'000;  // nanoseconds for which the next rank must fit before a raise
  double raise_margin = 0.9;                 // share of the supply that may be used to raise the level
  double share_step = 0.1;                   // increase of the share of the rank at the level per evaluation
  double min_scale = 0.1, max_scale = 1.5;   // bounds of the correction of the estimated supply
};

// An amount of cores and memory, or a rate of either per second.
struct Resources {
  double cores = 0, memory = 0;
};

// Tracks the demand by rank and the admission level.
class AdmissionControl {
 public:
  using Time = std::int64_t;  // nanoseconds
  AdmissionControl(AdmissionParameters parameters, int ranks);

  // Counts the demand of a request that arrived.
  void RecordArrival(int rank, Resources amount, Time now);
  // Counts the resources of a running task that ended.
  void RecordTaskEnd(Resources amount, Time now);
  // Adjusts the level. `free`: this cluster manager's share of the free capacity. `waiting`: the number of
  // admitted tasks that have been waiting for capacity for too long. To be called every 100 ms or so while
  // failover is active.
  void Evaluate(Resources free, int waiting, Time now);
  // Admits all requests again, once failover is no longer active.
  void AdmitAll();

  // `name`: the number that the share of the rank at the level is drawn from.
  bool Admits(int rank, std::uint64_t name) const;
  // Ranks below the level are admitted completely.
  int level() const { return level_; }
  // The admitted share of the rank at the level.
  double share() const { return share_; }
  int rank_count() const { return static_cast<int>(demand_.size()); }
  // The current correction factor of the estimated supply.
  double scale() const { return scale_; }
  // The share of the demand of all ranks that the supply covers, at most 1.
  double demand_coverage() const { return demand_coverage_; }

 private:
  struct ResourceRate {
    DecayingRate cores, memory;
    ResourceRate() : cores(0, 2e9), memory(0, 2e9) {}
  };
  struct AdmissionLimit {
    int level;
    double share;
  };
  // How far down the order of ranks the supply covers the demand.
  AdmissionLimit ComputeLimit(Resources supply, Time now) const;

  AdmissionParameters parameters_;
  std::vector<ResourceRate> demand_;  // by rank
  ResourceRate release_rate_;         // of tasks that end
  int level_;
  double share_ = 0, scale_ = 1, demand_coverage_ = 1;
  Time headroom_since_ = 0, scaled_at_ = 0;
};

}  // namespace cluster_manager::zone_failover
