// Reservations: choice of node, expected start, postponement, end, and leases.
#include <algorithm>
#include <cmath>

#include "backfill/backfill.h"

namespace cluster_manager::backfill {

bool Backfill::IsLarge(const Task& task) const {
  return task.cores >= parameters_.large_fraction * largest_cores_ ||
         task.memory >= parameters_.large_fraction * largest_memory_;
}

bool Backfill::AddWaitingTask(const Task& task, Time now) {
  if (!IsLarge(task)) return false;
  if (waiting_tasks_.contains(task.id)) return true;
  if (waiting_tasks_.size() >= static_cast<std::size_t>(parameters_.max_waiting)) {
    ++counters_.waiting_rejected;
    return false;
  }
  waiting_tasks_[task.id] = {.task = task, .since = now};
  waiting_by_age_.push_back(task.id);
  return true;
}

void Backfill::RemoveWaitingTask(scheduling::RequestId id, bool started, Time now) {
  const auto node = reserved_nodes_.find(id);
  if (node != reserved_nodes_.end())
    DropReservation(node->second, started ? DropReason::kStarted : DropReason::kNotWaiting, now);
  if (waiting_tasks_.erase(id) > 0) std::erase(waiting_by_age_, id);
}

std::optional<NodeId> Backfill::ReservedNode(scheduling::RequestId id, Time now) const {
  const auto it = reserved_nodes_.find(id);
  if (it == reserved_nodes_.end() || !IsActive(reservations_.at(it->second), now)) return std::nullopt;
  return it->second;
}

std::size_t Backfill::ReservationLimit() const {
  const double limit_of_all_members = parameters_.max_reserved_fraction * static_cast<double>(nodes_.size());
  const auto per_member = static_cast<std::size_t>(limit_of_all_members / std::max(parameters_.members, 1));
  return std::clamp<std::size_t>(per_member, 1,
                                 static_cast<std::size_t>(std::max(parameters_.max_reservations, 1)));
}

double Backfill::StartQuantile(const WaitingTask& waiting) const {
  return 1 - (1 - parameters_.start_quantile) * std::pow(0.5, std::min(waiting.missed_reservations, 6));
}

bool Backfill::IsActive(const Reservation& r, Time now) const {
  return r.has_lease && (r.lease_end == 0 || now < r.lease_end - parameters_.max_clock_skew);
}

bool Backfill::HasCapacity(const NodeEntry& entry, const Task& task) const {
  return entry.used_cores + task.cores <= entry.state.cores + 1e-9 &&
         entry.used_memory + task.memory <= entry.state.memory + 1e-9;
}

bool Backfill::CanReserve(NodeId node, const NodeEntry& entry, const Task& task, Time now) const {
  if (!entry.state.ready || lost_zones_.contains(entry.state.zone) || entry.cooldown_until > now)
    return false;
  if (entry.state.cores < task.cores || entry.state.memory < task.memory || reservations_.contains(node))
    return false;
  for (auto it = announcements_.lower_bound({node, 0}); it != announcements_.end() && it->first.first == node;
       ++it) {
    if (now < it->second.valid_until) return false;
  }
  return leases_->AccessTo(node) != Leases::Access::kUnavailable && constraints_->Allows(node, task, now);
}

std::optional<Backfill::StartPrediction> Backfill::PredictStart(const NodeEntry& entry, const Task& task,
                                                                double quantile, Time now) {
  if (entry.state.cores < task.cores || entry.state.memory < task.memory) return std::nullopt;
  struct PredictedEnd {
    Time at;
    scheduling::RequestId id;
    const Task* task;
    auto operator<=>(const PredictedEnd&) const = default;
  };
  std::vector<PredictedEnd> ends;
  StartPrediction prediction;
  // The number of tasks that must have ended determines the quantile at which the remaining time of each is
  // taken, and the quantile determines the number; a few iterations bring them into agreement.
  for (std::size_t needed = 1, round = 0; round < 4; ++round) {
    const double task_quantile = std::pow(quantile, 1.0 / static_cast<double>(needed));
    ends.clear();
    for (const scheduling::RequestId id : entry.tasks) {
      const RunningTask& running = running_tasks_.at(id);
      if (running.task.id == task.id) continue;
      const Time remaining = predictor_->Remaining(running.task, now - running.since, task_quantile, now);
      ends.push_back({now + std::max<Time>(remaining, 0), id, &running.task});
    }
    std::ranges::sort(ends);
    double cores = entry.state.cores - entry.used_cores, memory = entry.state.memory - entry.used_memory;
    std::size_t ended = 0;
    prediction.expected_start = now;
    while ((cores + 1e-9 < task.cores || memory + 1e-9 < task.memory) && ended < ends.size()) {
      cores += ends[ended].task->cores;
      memory += ends[ended].task->memory;
      prediction.expected_start = ends[ended++].at;
    }
    prediction.spare_cores = cores - task.cores;
    prediction.spare_memory = memory - task.memory;
    if (ended <= needed) break;
    needed = ended;
  }
  return prediction;
}

bool Backfill::CreateReservation(WaitingTask* waiting, Time now) {
  std::optional<StartPrediction> best;
  NodeId best_node = 0;
  auto it = nodes_.lower_bound(waiting->next_node);
  const auto nodes_to_search =
      std::min(nodes_.size(), static_cast<std::size_t>(parameters_.nodes_per_search));
  for (std::size_t i = 0; i < nodes_to_search; ++i, ++it) {
    if (it == nodes_.end()) it = nodes_.begin();
    if (!CanReserve(it->first, it->second, waiting->task, now)) continue;
    const std::optional<StartPrediction> prediction =
        PredictStart(it->second, waiting->task, StartQuantile(*waiting), now);
    if (!prediction || (best && std::pair{prediction->expected_start, it->first} >=
                                    std::pair{best->expected_start, best_node}))
      continue;
    best = prediction;
    best_node = it->first;
  }
  waiting->next_node = it == nodes_.end() ? 0 : it->first;
  if (!best) return false;
  Reservation r{.node = best_node,
                .task = waiting->task,
                .created = now,
                .expected_start = best->expected_start,
                .first_expected_start = best->expected_start};
  r.spare_cores = best->spare_cores;
  r.spare_memory = best->spare_memory;
  if (leases_->AccessTo(best_node) == Leases::Access::kGuaranteed) {
    r.has_lease = true;
  } else {
    r.lease_requested = now;
  }
  ++counters_.reservations;
  reserved_nodes_[waiting->task.id] = best_node;
  reservations_[best_node] = r;
  if (!r.has_lease)
    leases_->Request(best_node, now, r.expected_start);  // last: it may call back with the answer
  return true;
}

void Backfill::RefreshReservation(Reservation* reservation, Time now) {
  const NodeEntry& entry = nodes_.at(reservation->node);
  const auto waiting = waiting_tasks_.find(reservation->task.id);
  const double quantile =
      waiting == waiting_tasks_.end() ? parameters_.start_quantile : StartQuantile(waiting->second);
  const std::optional<StartPrediction> prediction = PredictStart(entry, reservation->task, quantile, now);
  if (!prediction) return;
  if (prediction->expected_start < reservation->expected_start) {
    reservation->expected_start = prediction->expected_start;
    ++counters_.advanced;
  }
  reservation->spare_cores = prediction->spare_cores;
  reservation->spare_memory = prediction->spare_memory;
}

void Backfill::PostponeReservation(Reservation* reservation, Time now) {
  const auto waiting = waiting_tasks_.find(reservation->task.id);
  ++reservation->postponements;
  if (reservation->postponements > parameters_.max_postponements ||
      now - reservation->created >= parameters_.max_reservation_time) {
    if (waiting != waiting_tasks_.end()) ++waiting->second.missed_reservations;
    nodes_.at(reservation->node).cooldown_until = now + parameters_.node_cooldown;
    DropReservation(reservation->node, DropReason::kMissed, now);
    return;
  }
  ++counters_.postponements;
  const double quantile =
      waiting == waiting_tasks_.end() ? parameters_.start_quantile : StartQuantile(waiting->second);
  const std::optional<StartPrediction> prediction =
      PredictStart(nodes_.at(reservation->node), reservation->task, quantile, now);
  reservation->expected_start =
      std::max(prediction ? prediction->expected_start : now, now + parameters_.min_postponement);
}

void Backfill::DropReservation(NodeId node, DropReason reason, Time now) {
  const auto it = reservations_.find(node);
  if (it == reservations_.end()) return;
  const Reservation r = it->second;
  reservations_.erase(it);
  reserved_nodes_.erase(r.task.id);
  ++counters_.dropped[static_cast<int>(reason)];
  if (reason != DropReason::kStarted) {
    log_lines_.push_back("reservation of node " + std::to_string(node) + " for task " +
                         std::to_string(r.task.id) + " dropped: " + ToString(reason) + ", after " +
                         std::to_string((now - r.created) / kMs) + " ms");
  }
  if (r.has_lease && r.lease_end > 0)
    leases_->Release(node, r.epoch);  // last: nothing uses the lease any more
}

void Backfill::OnLeaseGranted(NodeId node, std::uint64_t epoch, Time lease_end, Time now) {
  LeaseEpoch& highest = lease_epochs_[node];
  if (epoch <= highest.epoch) return;
  highest = {epoch, now};
  const auto it = reservations_.find(node);
  if (it == reservations_.end() || lease_end - parameters_.max_clock_skew <= now) {
    leases_->Release(node, epoch);
    return;
  }
  it->second.has_lease = true;
  it->second.epoch = epoch;
  it->second.lease_end = lease_end;
}

void Backfill::OnLeaseLost(NodeId node, std::uint64_t epoch, Time now) {
  LeaseEpoch& highest = lease_epochs_[node];
  highest = {std::max(highest.epoch, epoch), now};
  const auto it = reservations_.find(node);
  if (it == reservations_.end() ||
      (it->second.has_lease && (it->second.lease_end == 0 || epoch < it->second.epoch)))
    return;
  it->second.has_lease = false;
  DropReservation(node, DropReason::kNoLease, now);
}

std::vector<std::string> Backfill::Update(Time now) {
  if (last_decay_ > 0) {
    const double decay_factor = std::exp2(-static_cast<double>(now - last_decay_) /
                                          static_cast<double>(parameters_.correction_halving_period));
    for (double& each : log_corrections_) each *= decay_factor;
  }
  last_decay_ = now;
  std::vector<NodeId> reserved;
  for (const auto& [node, r] : reservations_) reserved.push_back(node);
  for (const NodeId node : reserved) {
    Reservation& r = reservations_.at(node);
    if (!constraints_->Allows(node, r.task, now)) {
      DropReservation(node, DropReason::kConstraints, now);
    } else if (r.has_lease && !IsActive(r, now)) {
      r.has_lease = false;  // the lease has expired and need not be released
      DropReservation(node, DropReason::kNoLease, now);
    } else if (!r.has_lease && now - r.created >= parameters_.lease_wait_limit) {
      // Another member holds the lease, or nobody answers.
      nodes_.at(node).cooldown_until = now + parameters_.node_cooldown;
      DropReservation(node, DropReason::kNoLease, now);
    } else {
      const bool request_due =
          !r.has_lease || (r.lease_end > 0 &&
                           now >= r.lease_end - parameters_.max_clock_skew - parameters_.renewal_lead_time);
      if (request_due && now - r.lease_requested >= parameters_.request_retry_interval) {
        r.lease_requested = now;
        leases_->Request(node, now, r.expected_start);
        if (!reservations_.contains(node)) continue;  // Request called OnLeaseLost
      }
      if (now >= r.expected_start && !HasCapacity(nodes_.at(node), r.task)) {
        PostponeReservation(&r, now);
      } else if (now - r.created >= parameters_.max_reservation_time) {
        // Reserved for too long: the expected start is still ahead, or the capacity is free but the task was
        // not started.
        PostponeReservation(&r, now);
      }
    }
  }
  for (auto& [id, running] : running_tasks_) {
    if (running.gap_end == 0 || running.overran || now <= running.gap_end) continue;
    running.overran = true;
    UpdateCorrection(running.task.class_index, true);
  }
  std::erase_if(lease_epochs_,
                [&](const auto& each) { return each.second.received + parameters_.epoch_retention < now; });
  std::erase_if(announcements_,
                [now](const auto& each) { return each.second.valid_until + 60 * kSecond < now; });
  for (const scheduling::RequestId id : waiting_by_age_) {
    if (reservations_.size() >= ReservationLimit()) break;
    WaitingTask& waiting = waiting_tasks_.at(id);
    if (reserved_nodes_.contains(id) || now - waiting.since < parameters_.reservation_delay) continue;
    CreateReservation(&waiting, now);
  }
  return std::exchange(log_lines_, {});
}

}  // namespace cluster_manager::backfill
