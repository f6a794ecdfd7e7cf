#include "zone_failover/zone_failover.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cluster_manager::zone_failover {
namespace {

constexpr std::uint64_t kRetryAfterDrawStream = 0xA3A7;

std::string Format(const char* format, double a, double b = 0, double c = 0) {
  char text[160];
  std::snprintf(text, sizeof text, format, a, b, c);
  return text;
}

}  // namespace

ZoneFailover::ZoneFailover(Plan plan, const Deployment& deployment)
    : plan_(std::move(plan)),
      deployment_(deployment),
      health_monitor_(static_cast<int>(deployment.zones.size()), plan_.health_monitor),
      admission_control_(plan_.admission, std::max(1, plan_.rank_count())) {
  zones_.assign(
      deployment.zones.size(),
      ZoneRecord{RecoveryRamp(plan_.recovery_ramp, deployment.manager_count), 0, 0, ZoneState::kUp, 0});
}

void ZoneFailover::ApplyPlan(Plan plan) {
  plan_ = std::move(plan);
  health_monitor_.SetParameters(plan_.health_monitor);
  admission_control_ = AdmissionControl(plan_.admission, std::max(1, plan_.rank_count()));
  for (ZoneRecord& zone : zones_) zone.recovery_ramp.SetParameters(plan_.recovery_ramp);
  logged_level_ = -1;
}

void ZoneFailover::RecordListing(NodeId node, int zone, bool in_service, const NodeCapacity& capacity,
                                 Time now) {
  if (!in_service || !IsKnownZone(zone)) {
    nodes_.erase(node);
    if (nodes_.empty()) ShrinkIfSparse(&nodes_);
    health_monitor_.RecordListing(node, -1, now);
    return;
  }
  nodes_[node] = {zone, capacity};
  health_monitor_.RecordListing(node, zone, now);
}

void ZoneFailover::RecordAttemptEnd(NodeId node, bool succeeded) {
  const auto it = nodes_.find(node);
  if (it != nodes_.end())
    zones_[static_cast<std::size_t>(it->second.zone)].recovery_ramp.RecordResult(succeeded);
}

void ZoneFailover::RecordTaskEnd(double cores, double memory, Time now) {
  admission_control_.RecordTaskEnd({cores, memory}, now);
  unlisted_usage_.cores.Record(now, -cores);  // the endpoint list shows this with the same delay
  unlisted_usage_.memory.Record(now, -memory);
}

Resources ZoneFailover::FreeCapacity(Time now) const {
  Resources free, total;
  for (const auto& [id, node] : nodes_) {
    const ZoneState state = health_monitor_.zone(node.zone).state;
    if (state == ZoneState::kLost || state == ZoneState::kSuspect) continue;
    const NodeCapacity& capacity = node.capacity;
    total.cores += plan_.cores_overcommit * capacity.cores;
    total.memory += plan_.memory_overcommit * capacity.memory;
    // The capacity of a returning zone does not count: its use is limited by the recovery ramp.
    if (state == ZoneState::kReturning) continue;
    free.cores += std::max(0.0, (plan_.cores_overcommit - 1) * capacity.cores + capacity.free_cores);
    free.memory += std::max(0.0, (plan_.memory_overcommit - 1) * capacity.memory + capacity.free_memory);
  }
  const double managers = std::max(1, deployment_.manager_count), seconds = kListDelay / 1e9;
  const auto share_of = [&](double free_amount, double total_amount, const DecayingRate& unlisted) {
    return (free_amount - plan_.capacity_reserve * total_amount) / managers -
           unlisted.PerSecond(now) * seconds;
  };
  return {share_of(free.cores, total.cores, unlisted_usage_.cores),
          share_of(free.memory, total.memory, unlisted_usage_.memory)};
}

ZoneFailover::Evaluation ZoneFailover::Evaluate(int waiting, Time now) {
  Evaluation evaluation;
  evaluation.nodes_to_check = health_monitor_.Evaluate(now);
  bool active = health_monitor_.is_isolated();
  for (int i = 0; i < health_monitor_.zone_count(); ++i) {
    ZoneRecord& record = zones_[static_cast<std::size_t>(i)];
    const ZoneHealthMonitor::Zone& observed = health_monitor_.zone(i);
    if (observed.state != record.state) {
      const ZoneState before = std::exchange(record.state, observed.state);
      if (observed.state == ZoneState::kReturning) record.recovery_ramp.Start(observed.listed_nodes, now);
      // Suspicions are frequent: neither they nor their end are logged, only a loss that follows.
      if (observed.state != ZoneState::kSuspect &&
          !(before == ZoneState::kSuspect && observed.state == ZoneState::kUp)) {
        evaluation.log_lines.push_back("zone " + deployment_.zones[static_cast<std::size_t>(i)] + " is " +
                                       ZoneStateName(observed.state) + " (was " + ZoneStateName(before) +
                                       "): " + health_monitor_.DescribeState(i));
        evaluation.policy_changed = true;
      }
    }
    if (observed.state == ZoneState::kReturning) {
      record.allowed_placements = record.recovery_ramp.AllowedPlacements(now);
      if (record.recovery_ramp.is_complete()) health_monitor_.MarkRecovered(i, now);
    }
    active |= observed.state == ZoneState::kLost || observed.state == ZoneState::kReturning;
  }
  if (health_monitor_.is_isolated() != was_isolated_) {
    was_isolated_ = health_monitor_.is_isolated();
    evaluation.policy_changed = true;
    evaluation.log_lines.push_back(
        was_isolated_ ? "no zone replies: this process is isolated, new requests are rejected"
                      : "zones reply again: this process is no longer isolated");
  }
  if (active) {
    const int level = admission_control_.level();
    admission_control_.Evaluate(health_monitor_.is_isolated() ? Resources{} : FreeCapacity(now), waiting,
                                now);
    evaluation.policy_changed |= admission_control_.level() < level;
  } else if (is_active_) {
    admission_control_.AdmitAll();
    evaluation.policy_changed = true;
  }
  is_active_ = active;
  if (admission_control_.level() != logged_level_) {
    if (logged_level_ >= 0) {
      evaluation.log_lines.push_back(
          "admission: " + std::to_string(admission_control_.level()) + " of " +
          std::to_string(admission_control_.rank_count()) + " ranks admitted completely" +
          Format(", %.0f%% of the next; capacity covers %.0f%% of the demand",
                 100 * admission_control_.share(), 100 * admission_control_.demand_coverage()));
    }
    logged_level_ = admission_control_.level();
  }
  return evaluation;
}

std::vector<std::string> ZoneFailover::StatusLines(Time now) const {
  std::vector<std::string> lines;
  for (int i = 0; i < health_monitor_.zone_count(); ++i) {
    const ZoneHealthMonitor::Zone& observed = health_monitor_.zone(i);
    std::string line =
        "site " + deployment_.zones[static_cast<std::size_t>(i)] + " " + ZoneStateName(observed.state);
    if (observed.state_since > 0)
      line += Format(" since %.1f s", static_cast<double>(now - observed.state_since) / 1e9);
    line += ": " + health_monitor_.DescribeState(i);
    if (observed.state == ZoneState::kReturning) {
      const RecoveryRamp& ramp = zones_[static_cast<std::size_t>(i)].recovery_ramp;
      line += Format("; recovery step %.0f, complete in %.1f s at the earliest", ramp.step(),
                     static_cast<double>(ramp.EarliestCompletion(now) - now) / 1e9);
    }
    lines.push_back(line);
  }
  lines.push_back("admission level " + std::to_string(admission_control_.level()) + " of " +
                  std::to_string(admission_control_.rank_count()) +
                  (is_active_ ? ", enforced" : ", not enforced"));
  return lines;
}

// --- scheduling::ZonePolicy --------------------------------------------------------------------------------
bool ZoneFailover::IsLost(int zone) const {
  return IsKnownZone(zone) && health_monitor_.zone(zone).state == ZoneState::kLost;
}

bool ZoneFailover::AllowsPlacement(int zone, bool unsafe) const {
  if (!IsKnownZone(zone)) return true;
  const ZoneRecord& record = zones_[static_cast<std::size_t>(zone)];
  const ZoneHealthMonitor::Zone& observed = health_monitor_.zone(zone);
  switch (observed.state) {
    case ZoneState::kUp:
      return observed.last_reply > 0 || record.unconfirmed_placements < kMaxUnconfirmedPlacements;
    case ZoneState::kSuspect:
      // No unsafe request is sent to a silent zone, and no further request to one that has never replied.
      return !unsafe &&
             (observed.last_reply > 0 || record.unconfirmed_placements < kMaxUnconfirmedPlacements);
    case ZoneState::kLost:
      return false;
    case ZoneState::kReturning:
      return record.allowed_placements > 0;
  }
  return true;
}

void ZoneFailover::RecordPlacement(int zone, const scheduling::Task& task, Time now) {
  unlisted_usage_.cores.Record(now, task.cores);
  unlisted_usage_.memory.Record(now, task.memory);
  if (!IsKnownZone(zone)) return;
  ZoneRecord& record = zones_[static_cast<std::size_t>(zone)];
  if (health_monitor_.zone(zone).last_reply == 0) ++record.unconfirmed_placements;
  if (record.state != ZoneState::kReturning) return;
  record.recovery_ramp.RecordPlacement();
  --record.allowed_placements;
}

int ZoneFailover::AssignRank(const scheduling::Task& task, bool over_share, bool large, Time now) {
  const int rank = plan_.RankOf(task.class_index, over_share, task.is_retry || task.resubmitted, large);
  admission_control_.RecordArrival(rank, {task.cores, task.memory}, now);
  return rank;
}

bool ZoneFailover::Admits(int rank, const scheduling::Task& task) const {
  if (!is_active_) return true;
  if (health_monitor_.is_isolated()) return false;
  return admission_control_.Admits(rank, task.name != 0 ? task.name : task.service);
}

bool ZoneFailover::RejectsZoneBoundRequests(int class_index) const {
  const std::size_t i = static_cast<std::size_t>(class_index);
  return i < plan_.bound_request_policies.size() &&
         plan_.bound_request_policies[i] == BoundRequestPolicy::kReject;
}

// The delay grows with the distance of the rank from the level, and half of it is drawn from the task's
// name, so that rejected requests do not return at the same time.
Time ZoneFailover::RetryAfter(int rank, const scheduling::Task& task) const {
  const int ranks = std::max(1, admission_control_.rank_count());
  const double relative_distance =
      static_cast<double>(std::max(0, rank - admission_control_.level())) / ranks;
  const double random_part =
      HashToUnitInterval(kRetryAfterDrawStream, task.name != 0 ? task.name : task.service);
  const double share = std::clamp(0.5 * relative_distance + 0.5 * random_part, 0.0, 1.0);
  return plan_.min_retry_after +
         static_cast<Time>(share * static_cast<double>(plan_.max_retry_after - plan_.min_retry_after));
}

}  // namespace cluster_manager::zone_failover
