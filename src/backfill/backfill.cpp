// Observations of nodes and tasks, admission of tasks to gaps, and announcements.
#include "backfill/backfill.h"

#include <algorithm>
#include <cmath>

namespace cluster_manager::backfill {

const char* ToString(DropReason reason) {
  switch (reason) {
    case DropReason::kStarted:
      return "task started";
    case DropReason::kNotWaiting:
      return "task no longer waits";
    case DropReason::kNodeUnavailable:
      return "node draining, cold, too small or not listed";
    case DropReason::kZoneLost:
      return "zone lost";
    case DropReason::kConstraints:
      return "placement constraints no longer allow the task";
    case DropReason::kNoLease:
      return "no lease for the node";
    case DropReason::kMissed:
      return "capacity not free in time";
    case DropReason::kCount:
      break;
  }
  return "";
}

Backfill::Backfill(Parameters parameters, Leases* leases, RunTimePredictor* predictor,
                   const PlacementConstraints* constraints)
    : parameters_(std::move(parameters)), leases_(leases), predictor_(predictor), constraints_(constraints) {}

// --- Observations ---

void Backfill::UpdateNode(NodeId node, const Node& state, Time now) {
  nodes_[node].state = state;
  largest_cores_ = std::max(largest_cores_, state.cores);
  largest_memory_ = std::max(largest_memory_, state.memory);
  const auto own = reservations_.find(node);
  if (own == reservations_.end()) return;
  if (!state.ready || state.cores < own->second.task.cores || state.memory < own->second.task.memory) {
    DropReservation(node, DropReason::kNodeUnavailable, now);
  }
}

void Backfill::RemoveNode(NodeId node, Time now) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end()) return;
  DropReservation(node, DropReason::kNodeUnavailable, now);
  for (const scheduling::RequestId id : it->second.tasks) running_tasks_.erase(id);
  nodes_.erase(it);
}

void Backfill::SetZoneLost(int zone, bool lost, Time now) {
  if (!lost) {
    lost_zones_.erase(zone);
    return;
  }
  if (!lost_zones_.insert(zone).second) return;
  std::vector<NodeId> affected;
  for (const auto& [node, r] : reservations_) {
    if (nodes_.at(node).state.zone == zone) affected.push_back(node);
  }
  for (const NodeId node : affected) DropReservation(node, DropReason::kZoneLost, now);
}

void Backfill::OnConstraintsChanged(NodeId node, Time now) {
  const auto it = reservations_.find(node);
  if (it != reservations_.end() && !constraints_->Allows(node, it->second.task, now))
    DropReservation(node, DropReason::kConstraints, now);
}

void Backfill::OnTaskStarted(const Task& task, NodeId node, Time since, Time now, bool own_task) {
  const auto entry = nodes_.find(node);
  if (entry == nodes_.end()) return;
  OnTaskEnded(task.id, now);
  RunningTask running{.task = task, .node = node, .since = since};
  const auto limit_gap = [&](Time expected_start, Time reserved_at, double spare_cores, double spare_memory) {
    if (!own_task || since < reserved_at || (task.cores <= spare_cores && task.memory <= spare_memory))
      return;
    running.gap_end = running.gap_end == 0 ? expected_start : std::min(running.gap_end, expected_start);
  };
  const auto own = reservations_.find(node);
  if (own != reservations_.end() && IsActive(own->second, now) && own->second.task.id != task.id) {
    limit_gap(own->second.expected_start, own->second.created, own->second.spare_cores,
              own->second.spare_memory);
  }
  for (auto it = announcements_.lower_bound({node, 0}); it != announcements_.end() && it->first.first == node;
       ++it) {
    if (now < it->second.valid_until)
      limit_gap(it->second.expected_start, it->second.sent, it->second.spare_cores, it->second.spare_memory);
  }
  if (running.gap_end > 0) ++counters_.backfilled;
  entry->second.used_cores += task.cores;
  entry->second.used_memory += task.memory;
  entry->second.tasks.insert(task.id);
  running_tasks_[task.id] = running;
  if (own != reservations_.end()) RefreshReservation(&own->second, now);
}

void Backfill::OnTaskEnded(scheduling::RequestId id, Time now) {
  const auto it = running_tasks_.find(id);
  if (it == running_tasks_.end()) return;
  const RunningTask running = it->second;
  running_tasks_.erase(it);
  NodeEntry& entry = nodes_.at(running.node);
  entry.tasks.erase(id);
  entry.used_cores -= running.task.cores;
  entry.used_memory -= running.task.memory;
  if (entry.tasks.empty()) entry.used_cores = entry.used_memory = 0;  // clears rounding errors
  if (running.gap_end > 0 && !running.overran)
    UpdateCorrection(running.task.class_index, now > running.gap_end);
  if (const auto own = reservations_.find(running.node); own != reservations_.end())
    RefreshReservation(&own->second, now);
}

void Backfill::UpdateCorrection(int class_index, bool overran) {
  const auto i = static_cast<std::size_t>(std::clamp(class_index, 0, 255));
  if (log_corrections_.size() <= i) log_corrections_.resize(i + 1, 0);
  const double q = RunTimeQuantile(class_index);
  log_corrections_[i] += parameters_.correction_step * (overran ? q : q - 1);
  log_corrections_[i] = std::clamp(log_corrections_[i], 0.0, std::log(parameters_.max_correction));
  counters_.overruns += overran;
}

double Backfill::correction_factor(int class_index) const {
  const auto i = static_cast<std::size_t>(std::clamp(class_index, 0, 255));
  return i < log_corrections_.size() ? std::exp(log_corrections_[i]) : 1;
}

double Backfill::RunTimeQuantile(int class_index) const {
  const auto i = static_cast<std::size_t>(std::max(class_index, 0));
  return i < parameters_.run_time_quantiles.size() ? parameters_.run_time_quantiles[i]
                                                   : parameters_.default_run_time_quantile;
}

// --- Placement ---

bool Backfill::FitsGap(const Task& task, Time expected_start, double spare_cores, double spare_memory,
                       Time now) {
  if (task.cores <= spare_cores && task.memory <= spare_memory) return true;
  const Time gap = expected_start - now;
  if (gap >= parameters_.min_gap) {
    const Time run_time = predictor_->Remaining(task, 0, RunTimeQuantile(task.class_index), now);
    if (static_cast<double>(run_time) * correction_factor(task.class_index) <= static_cast<double>(gap))
      return true;
  }
  ++counters_.gap_rejections;
  return false;
}

bool Backfill::AllowsStart(NodeId node, const Task& task, Time now) {
  const auto own = reservations_.find(node);
  if (own != reservations_.end() && IsActive(own->second, now)) {
    const Reservation& r = own->second;
    if (r.task.id != task.id && !FitsGap(task, r.expected_start, r.spare_cores, r.spare_memory, now))
      return false;
  }
  for (auto it = announcements_.lower_bound({node, 0}); it != announcements_.end() && it->first.first == node;
       ++it) {
    const Announcement& other = it->second;
    if (now < other.valid_until &&
        !FitsGap(task, other.expected_start, other.spare_cores, other.spare_memory, now))
      return false;
  }
  return true;
}

// --- Announcements ---

void Backfill::OnAnnouncement(const Announcement& announcement, Time now) {
  const auto key = std::pair{announcement.node, announcement.member};
  const auto known = announcements_.find(key);
  if (known != announcements_.end()) {
    const Announcement& stored = known->second;
    if (std::pair{announcement.epoch, announcement.sent} <= std::pair{stored.epoch, stored.sent}) return;
  } else {
    // Announcements above a member's limit or for unknown nodes are rejected, so that a faulty member cannot
    // block more nodes than its share.
    const auto count = std::ranges::count_if(announcements_, [&](const auto& each) {
      return each.first.second == announcement.member && now < each.second.valid_until;
    });
    if (!nodes_.contains(announcement.node) || static_cast<std::size_t>(count) >= ReservationLimit()) {
      ++counters_.announcements_rejected;
      return;
    }
  }
  Announcement& stored = announcements_[key] = announcement;
  stored.valid_until = std::min(announcement.valid_until,
                                now + parameters_.announcement_lifetime + 2 * parameters_.max_clock_skew);
}

std::vector<Announcement> Backfill::BuildAnnouncements(std::uint32_t member, Time now) const {
  std::vector<Announcement> all;
  for (const auto& [node, r] : reservations_) {
    if (!IsActive(r, now)) continue;
    const Time valid_until = r.lease_end == 0
                                 ? now + parameters_.announcement_lifetime
                                 : std::min(r.lease_end, now + parameters_.announcement_lifetime);
    all.push_back({member, node, r.epoch, now, r.expected_start, valid_until, r.spare_cores, r.spare_memory,
                   r.task.id});
  }
  return all;
}

std::vector<Reservation> Backfill::ActiveReservations(Time now) const {
  std::vector<Reservation> all;
  for (const auto& [node, r] : reservations_) {
    if (IsActive(r, now)) all.push_back(r);
  }
  return all;
}

std::vector<std::string> Backfill::Describe(Time now) const {
  std::vector<std::string> lines;
  const auto seconds_until = [now](Time at) { return std::to_string((at - now) / kSecond) + " s"; };
  for (const auto& [node, r] : reservations_) {
    lines.push_back("node " + std::to_string(node) + " is reserved for task " + std::to_string(r.task.id) +
                    ", start expected in " + seconds_until(r.expected_start) + ", postponed " +
                    std::to_string(r.postponements) + " times" +
                    (IsActive(r, now) ? "" : ", waiting for the lease"));
  }
  lines.push_back("backfill: " + std::to_string(waiting_tasks_.size()) + " large tasks waiting, " +
                  std::to_string(reservations_.size()) + " of at most " + std::to_string(ReservationLimit()) +
                  " reservations, " + std::to_string(counters_.backfilled) + " tasks backfilled, " +
                  std::to_string(counters_.overruns) + " overruns, " +
                  std::to_string(counters_.dropped[static_cast<int>(DropReason::kMissed)]) +
                  " reservations missed");
  return lines;
}

}  // namespace cluster_manager::backfill
