// The operators' plan for the loss of a zone: deploy/sites.json, with the schema deploy/sites.schema.json.
//
// A plan is read completely or rejected; each error names the location, the value and what is allowed.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scheduling/scheduler.h"
#include "zone_failover/admission_control.h"
#include "zone_failover/recovery_ramp.h"
#include "zone_failover/zone_health_monitor.h"

namespace cluster_manager::zone_failover {

// The deployment's settings that a plan refers to.
struct Deployment {
  std::vector<std::string> zones;        // names, by zone number
  std::vector<std::string> classes;      // names, by class index
  std::vector<double> priority_weights;  // by class index
  int manager_count = 1;                 // cluster managers
  std::int64_t max_retry_after = 0;  // the longest Retry-After of a rejection, in nanoseconds; 0: no limit
};

// `zones`: the names of the zones, by zone number.
Deployment DeploymentFromSettings(const scheduling::Settings& settings, std::vector<std::string> zones);

// Matches requests of a class that meet all given conditions.
struct RankRule {
  static constexpr int kAny = -1;
  int class_index = kAny;
  int over_share = -1, retry = -1, large = -1;  // -1: any, otherwise 0 or 1
};

// What happens to a request that only a lost zone may hold, because an earlier attempt is bound to it: it
// waits for the zone until its deadline, or is rejected at once.
enum class BoundRequestPolicy { kWait, kReject };

// Times are nanoseconds.
struct Plan {
  int version = 1;
  HealthMonitorParameters health_monitor;
  AdmissionParameters admission;
  RecoveryRampParameters recovery_ramp;
  double capacity_reserve = 0.1;  // share of the remaining zones' capacity that stays free
  // Up to which a node is filled: requested resources over the resources of the node.
  double cores_overcommit = 1.4, memory_overcommit = 1.2;
  std::vector<RankRule> rank_rules;  // by rank; requests of the first rank are rejected last
  std::vector<BoundRequestPolicy> bound_request_policies;  // by class index
  // Bounds of the Retry-After of rejections, which are spread between them.
  std::int64_t min_retry_after = 300'000'000, max_retry_after = 3'000'000'000;

  int rank_count() const { return static_cast<int>(rank_rules.size()); }
  // The rank of the first matching rule; the last rank if none matches.
  int RankOf(int class_index, bool over_share, bool retry, bool large) const;
};

// Classes by descending priority weight, within a class first attempts before retries; requests of tenants
// over their share after all others.
Plan DefaultPlan(const Deployment& deployment);

// Both throw json_files::DocumentError with a line for each error: "FILE: LOCATION: what is wrong, what is
// allowed".
Plan ReadPlan(const nlohmann::json& json, const std::string& file, const Deployment& deployment);
Plan LoadPlan(const std::string& file, const Deployment& deployment);

}  // namespace cluster_manager::zone_failover
