// Drill: computes what the failover plan would do at the loss of zones, given an endpoint list. No I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "zone_failover/plan.h"

namespace cluster_manager::zone_failover {

// A node of the endpoint list: its zone and resources, and those that no task has requested.
struct DrillNode {
  int zone = -1;
  bool in_service = true;
  double cores = 0, memory = 0, free_cores = 0, free_memory = 0;
};

// The result of a drill.
struct Drill {
  // Cores, unless named otherwise.
  struct Zone {
    std::string name;
    bool is_lost = false;
    int node_count = 0;
    double cores = 0,    // of its nodes
        demand = 0,      // requested now
        fill_limit = 0,  // up to which the plan fills the zone
        headroom = 0,    // fill_limit less demand, summed over the nodes
        taken_over = 0;  // demand of the lost zones that moves to this zone
    double memory_demand = 0, memory_fill_limit = 0;
  };
  struct Class {
    std::string name;
    int rank = 0;
    double demand = 0, admitted = 0;  // cores, over all zones
  };
  struct RecoveryStep {
    // Seconds since the start of the recovery, and placements per second and returning node, all cluster
    // managers together.
    double at_s = 0, starts_per_s = 0;
  };
  std::vector<Zone> zones;
  std::vector<Class> classes;  // by rank; the first is rejected last
  std::vector<RecoveryStep> recovery_steps;
  // Cores requested in all zones, and cores that the remaining zones can provide, less the reserve.
  double demand = 0, capacity = 0;
  double capacity_per_manager = 0;
  // Seconds from the first replies of a returning zone to the complete recovery, if every step succeeds.
  double recovery_s = 0;
  double min_detection_s = 0, max_detection_s = 0;  // seconds from the loss to its detection, under traffic
  std::vector<std::string> violations;              // guarantees that the plan cannot keep
};

// The inputs of a drill besides the plan and the nodes.
struct DrillParameters {
  std::map<std::string, double> demand_shares;  // of the requested cores by class, in any unit; empty: equal
  // Settings that the plan depends on, in nanoseconds. `request_timeout`: until a request to a node counts
  // as unanswered.
  std::int64_t request_timeout = 250'000'000, slow_start_duration = 0, overload_window = 0;
  // Task starts per overload_window on a node younger than slow_start_duration; 0: no limit.
  double slow_start_sends = 0;
};

// `lost_zones`: the numbers of the zones to be lost.
Drill RunDrill(const Plan& plan, const Deployment& deployment, const std::vector<DrillNode>& nodes,
               const std::vector<int>& lost_zones, const DrillParameters& parameters);

// The result as a table for operators.
std::string FormatTable(const Drill& drill);
// The result as JSON; its keys are an interface for operators' tools.
nlohmann::json ToJson(const Drill& drill);

}  // namespace cluster_manager::zone_failover
