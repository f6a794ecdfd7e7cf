#include "zone_failover/drill.h"

#include <algorithm>
#include <cstdio>

namespace cluster_manager::zone_failover {
namespace {

std::string FormatNumber(double value, int digits = 1) {
  char text[40];
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

constexpr double kNanosecondsPerSecond = 1e9;
constexpr std::size_t kMaxSteps = 200;

double Seconds(std::int64_t nanoseconds) { return static_cast<double>(nanoseconds) / kNanosecondsPerSecond; }

// Sums over the zones that are not part of the result.
struct Totals {
  double memory_demand = 0;
  double headroom = 0;
  double memory_capacity = 0;
  double lost_demand = 0;       // cores requested in the lost zones
  double remaining_demand = 0;  // cores requested in the other zones
  int lost_nodes = 0;
};

void ListZones(const Deployment& deployment, const std::vector<int>& lost_zones, Drill* drill) {
  for (std::size_t i = 0; i < deployment.zones.size(); ++i) {
    Drill::Zone zone;
    zone.name = deployment.zones[i];
    zone.is_lost = std::ranges::find(lost_zones, static_cast<int>(i)) != lost_zones.end();
    drill->zones.push_back(zone);
  }
}

void AddNodes(const Plan& plan, const std::vector<DrillNode>& nodes, Drill* drill) {
  for (const DrillNode& node : nodes) {
    if (node.zone < 0 || node.zone >= static_cast<int>(drill->zones.size()) || !node.in_service) continue;
    Drill::Zone& zone = drill->zones[static_cast<std::size_t>(node.zone)];
    ++zone.node_count;
    zone.cores += node.cores;
    zone.demand += node.cores - node.free_cores;
    zone.memory_demand += node.memory - node.free_memory;
    zone.fill_limit += plan.cores_overcommit * node.cores;
    zone.memory_fill_limit += plan.memory_overcommit * node.memory;
    zone.headroom += std::max(0.0, plan.cores_overcommit * node.cores - (node.cores - node.free_cores));
  }
}

Totals SumZones(const Plan& plan, Drill* drill) {
  Totals totals;
  for (const Drill::Zone& zone : drill->zones) {
    drill->demand += zone.demand;
    totals.memory_demand += zone.memory_demand;
    if (zone.is_lost) {
      totals.lost_nodes += zone.node_count;
      totals.lost_demand += zone.demand;
      continue;
    }
    totals.remaining_demand += zone.demand;
    drill->capacity += zone.fill_limit * (1 - plan.capacity_reserve);
    totals.memory_capacity += zone.memory_fill_limit * (1 - plan.capacity_reserve);
    totals.headroom += zone.headroom;
  }
  return totals;
}

// Distributes the demand of the lost zones over the others, in proportion to their headroom.
void DistributeDemand(const Totals& totals, int manager_count, Drill* drill) {
  // In units of requested cores; limited by cores or memory, whichever is exhausted first.
  if (totals.memory_demand > 0) {
    const double memory_limit = totals.memory_capacity * drill->demand / totals.memory_demand;
    drill->capacity = std::min(drill->capacity, memory_limit);
  }
  drill->capacity_per_manager = drill->capacity / std::max(1, manager_count);
  const double taken_over = std::clamp(drill->capacity - totals.remaining_demand, 0.0, totals.lost_demand);
  for (Drill::Zone& zone : drill->zones) {
    if (!zone.is_lost && totals.headroom > 0) zone.taken_over = taken_over * zone.headroom / totals.headroom;
  }
}

double ShareOf(const std::string& class_name, const DrillParameters& parameters) {
  if (parameters.demand_shares.empty()) return 1;
  const auto it = parameters.demand_shares.find(class_name);
  return it == parameters.demand_shares.end() ? 0 : it->second;
}

// Assigns the capacity to the classes in the order of their ranks.
void AdmitClasses(const Plan& plan, const Deployment& deployment, const DrillParameters& parameters,
                  Drill* drill) {
  double total = 0;
  for (const std::string& name : deployment.classes) total += ShareOf(name, parameters);
  for (std::size_t i = 0; i < deployment.classes.size(); ++i) {
    const double share = ShareOf(deployment.classes[i], parameters);
    drill->classes.push_back({deployment.classes[i], plan.RankOf(static_cast<int>(i), false, false, false),
                              total > 0 ? drill->demand * share / total : 0, 0});
  }
  std::ranges::stable_sort(drill->classes, {}, [](const Drill::Class& each) { return each.rank; });
  double remaining = drill->capacity;
  for (Drill::Class& each : drill->classes) {
    each.admitted = std::min(each.demand, remaining);
    remaining -= each.admitted;
  }
}

// Computes the steps of the recovery. The slow start limit of a node applies to the sum of all senders, so
// that the rate of all cluster managers together has to stay within it.
void PlanRecovery(const Plan& plan, const DrillParameters& parameters, Drill* drill) {
  const double window = Seconds(parameters.overload_window);
  double rate = plan.recovery_ramp.initial_rate;
  double at = 0;
  bool limit_exceeded = false;
  while (true) {
    drill->recovery_steps.push_back({at, rate});
    const bool warming_up = at < Seconds(parameters.slow_start_duration);
    if (parameters.slow_start_sends > 0 && warming_up && rate * window > parameters.slow_start_sends &&
        !limit_exceeded) {
      limit_exceeded = true;
      drill->violations.push_back(
          "the recovery ramp exceeds the slow start limit: " + FormatNumber(rate * window) + " starts in " +
          FormatNumber(window) + " s on a node that may get " + FormatNumber(parameters.slow_start_sends, 0) +
          ", " + FormatNumber(at) + " s after its start; lower return.factor or raise return.step_ms");
    }
    if (rate >= plan.recovery_ramp.complete_rate || drill->recovery_steps.size() > kMaxSteps) break;
    rate *= plan.recovery_ramp.rate_factor;
    at += Seconds(plan.recovery_ramp.step_duration);
  }
  drill->recovery_s = Seconds(plan.health_monitor.recovery_hold) + at;
}

void EstimateDetection(const Plan& plan, const DrillParameters& parameters, Drill* drill) {
  const double evaluation = Seconds(ZoneHealthMonitor::kEvaluationInterval);
  const double silence = Seconds(plan.health_monitor.silence_threshold);
  const double request_timeout = Seconds(parameters.request_timeout);
  const double confirmation = std::max(Seconds(plan.health_monitor.confirmation_time), request_timeout);
  drill->min_detection_s = silence + confirmation;
  drill->max_detection_s = silence + confirmation + 4 * evaluation + request_timeout;
}

void CheckGuarantees(const Plan& plan, const Totals& totals, Drill* drill) {
  if (drill->capacity <= 0) drill->violations.push_back("no remaining zone has capacity");
  if (totals.lost_nodes == 0)
    drill->violations.push_back("the lost zones have no node in service in this list");
  if (drill->classes.empty()) return;
  constexpr double kRoundingError = 1e-9;
  const Drill::Class& first = drill->classes.front();
  if (first.admitted >= first.demand - kRoundingError) return;
  drill->violations.push_back("class " + first.name + ", which is rejected last, gets " +
                              FormatNumber(first.admitted) + " of " + FormatNumber(first.demand) +
                              " cores: add nodes in other zones or lower load.reserve (now " +
                              FormatNumber(plan.capacity_reserve, 2) + ")");
}

}  // namespace

Drill RunDrill(const Plan& plan, const Deployment& deployment, const std::vector<DrillNode>& nodes,
               const std::vector<int>& lost_zones, const DrillParameters& parameters) {
  Drill drill;
  ListZones(deployment, lost_zones, &drill);
  AddNodes(plan, nodes, &drill);
  const Totals totals = SumZones(plan, &drill);
  DistributeDemand(totals, deployment.manager_count, &drill);
  AdmitClasses(plan, deployment, parameters, &drill);
  PlanRecovery(plan, parameters, &drill);
  EstimateDetection(plan, parameters, &drill);
  CheckGuarantees(plan, totals, &drill);
  return drill;
}

std::string FormatTable(const Drill& drill) {
  char line[200];
  std::string output;
  const auto add = [&](auto... values) {
    std::snprintf(line, sizeof line, values...);
    output += line;
  };
  add("%-14s %6s %9s %9s %9s %9s %9s\n", "site", "nodes", "cores", "asked", "fill to", "room", "takes");
  for (const Drill::Zone& zone : drill.zones) {
    add("%-14s %6d %9.1f %9.1f %9.1f %9.1f %9s\n", zone.name.c_str(), zone.node_count, zone.cores,
        zone.demand, zone.fill_limit, zone.headroom,
        zone.is_lost ? "lost" : FormatNumber(zone.taken_over).c_str());
  }
  add("\ndemand %.1f cores; capacity without the lost zones %.1f cores, %.1f for each cluster "
      "manager\n\n",
      drill.demand, drill.capacity, drill.capacity_per_manager);
  add("%-14s %6s %9s %9s %9s\n", "class", "rank", "asked", "kept", "refused");
  for (const Drill::Class& each : drill.classes) {
    add("%-14s %6d %9.1f %9.1f %8.0f%%\n", each.name.c_str(), each.rank, each.demand, each.admitted,
        each.demand > 0 ? 100 * (1 - each.admitted / each.demand) : 0.0);
  }
  add("\nloss detected after %.2f to %.2f s, under traffic\n", drill.min_detection_s, drill.max_detection_s);
  add("recovery complete %.1f s after nodes reply again; task starts per second and node:", drill.recovery_s);
  for (const Drill::RecoveryStep& step : drill.recovery_steps) add(" %.3g", step.starts_per_s);
  output += "\n";
  for (const std::string& text : drill.violations) output += "BROKEN: " + text + "\n";
  return output;
}

nlohmann::json ToJson(const Drill& drill) {
  using nlohmann::json;
  json output = {{"asked", drill.demand},
                 {"can_take", drill.capacity},
                 {"part", drill.capacity_per_manager},
                 {"complete_s", drill.recovery_s},
                 {"verdict_s", {drill.min_detection_s, drill.max_detection_s}},
                 {"sites", json::array()},
                 {"classes", json::array()},
                 {"return", json::array()},
                 {"broken", drill.violations}};
  for (const Drill::Zone& zone : drill.zones) {
    output["sites"].push_back({{"name", zone.name},
                               {"lost", zone.is_lost},
                               {"nodes", zone.node_count},
                               {"cores", zone.cores},
                               {"asked", zone.demand},
                               {"fill", zone.fill_limit},
                               {"room", zone.headroom},
                               {"takes", zone.taken_over}});
  }
  for (const Drill::Class& each : drill.classes) {
    output["classes"].push_back(
        {{"name", each.name}, {"rank", each.rank}, {"asked", each.demand}, {"kept", each.admitted}});
  }
  for (const Drill::RecoveryStep& step : drill.recovery_steps)
    output["return"].push_back({{"at_s", step.at_s}, {"starts_per_s", step.starts_per_s}});
  return output;
}

}  // namespace cluster_manager::zone_failover
