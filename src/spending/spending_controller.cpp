// SpendingController: time, months, the costs of tasks and what of them is charged.
#include "spending/spending_controller.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cluster_manager::spending {

SpendingController::SpendingController(Plan plan, Deployment deployment,
                                       const RemainingTimeEstimator* estimator)
    : plan_(std::move(plan)), deployment_(std::move(deployment)), estimator_(estimator) {
  teams_.resize(plan_.teams.size());
  for (TeamState& team : teams_) {
    team.reported_steps.assign(deployment_.classes.size(), Step::kNone);
    team.rejected.assign(deployment_.classes.size(), false);
  }
  next_rollover_ = std::numeric_limits<Seconds>::min();
}

Time SpendingController::AdvanceTime(Time now) {
  const Time before = clock_.now();
  AccountingClock::Event event;
  const Time at = clock_.Advance(now, &event);
  const auto difference = [&] { return std::to_string((now - before) / kSecond) + " s"; };
  if (event == AccountingClock::Event::kSteppedBack) {
    ++counters_.clock_steps_back;
    log_lines_.push_back("spending: the clock stepped back, it is now " + difference() +
                         " relative to the accounting time, which waits for it");
  } else if (event == AccountingClock::Event::kJumpedAhead) {
    ++counters_.clock_jumps_ahead;
    log_lines_.push_back("spending: the clock jumped ahead by " + difference() +
                         ", which is adopted if it stays there for " +
                         std::to_string(AccountingClock::kConfirmationTime / kSecond) + " s");
  } else if (event == AccountingClock::Event::kJumpConfirmed) {
    log_lines_.push_back("spending: the clock's jump by " + difference() + " is adopted");
  } else if (event == AccountingClock::Event::kStepBackConfirmed) {
    log_lines_.push_back("spending: the clock's step by " + difference() +
                         " is adopted, the accounting time goes back");
    RewindTo(at);
  }
  const Seconds second = at / kSecond;
  if (second >= next_rollover_) {
    next_rollover_ = std::numeric_limits<Seconds>::max();
    for (std::size_t i = 0; i < teams_.size(); ++i) {
      if (second >= teams_[i].window.starts[3]) RollOverMonth(static_cast<int>(i), second);
      next_rollover_ = std::min(next_rollover_, teams_[i].window.starts[3]);
    }
  }
  return at;
}

// Running tasks are taken to have started by `at` at the latest, and reservations last no longer than new
// ones would. Ends that were recorded remain charged in their months.
void SpendingController::RewindTo(Time at) {
  std::vector<TaskId> ended_later;
  for (auto& [id, task] : tasks_) {
    if (task.state == State::kEnded) {
      if (task.end > at) ended_later.push_back(id);
      continue;
    }
    for (Segment& segment : task.segments) segment.start = std::min(segment.start, at);
    if (task.lost_at > at) task.end -= task.lost_at - at, task.lost_at = at;
    const bool lost = task.state == State::kLost || task.state == State::kReplaced;
    task.expires =
        std::min(task.expires, at + (lost ? plan_.lost_task_retention : plan_.reservation_timeout));
    if (task.state != State::kAdmitted) continue;
    const auto team = static_cast<std::size_t>(task.team);
    const int months = plan_.teams[team].time_zone.MonthAt(at / kSecond) - 2 - teams_[team].window.first;
    if (months == 0) continue;
    Money reserved = 0;  // the task will run from now on, not in the month in which it was admitted
    for (const Account::Usage& usage : task.costs) reserved += usage.reserved;
    task.costs = {};
    task.costs[2].reserved = reserved;
  }
  for (const TaskId id : ended_later) Remove(id);
  Rebuild(plan_, at);
  for (auto& [id, task] : tasks_) {
    if (task.state == State::kRunning) UpdateCosts(&task, at);
  }
}

// Moves the team's window to the month of `at`. Accounts and ended tasks of months before the window are
// removed.
void SpendingController::RollOverMonth(int team_index, Seconds at) {
  TeamState& team = teams_[static_cast<std::size_t>(team_index)];
  const TimeZone& time_zone = plan_.teams[static_cast<std::size_t>(team_index)].time_zone;
  MonthWindow& window = team.window;
  const bool first_use = window.first == 0;
  const int months = time_zone.MonthAt(at) - 2 - window.first;
  window.first += months;
  for (int i = 0; i < 5; ++i)
    window.starts[static_cast<std::size_t>(i)] = time_zone.MonthStart(window.first + i);
  if (first_use) return;
  std::vector<TaskId> outdated;
  for (auto& [id, task] : tasks_) {
    if (task.team != team_index) continue;
    for (int i = 0; i < 4; ++i)
      task.costs[static_cast<std::size_t>(i)] =
          i + months < 4 ? task.costs[static_cast<std::size_t>(i + months)] : Account::Usage{};
    if (task.state == State::kEnded && Tariffs::CeilToSecond(task.end) <= window.starts[0])
      outdated.push_back(id);
  }
  for (const TaskId id : outdated) RemoveAndRefund(id);
  while (!team.accounts.empty() && team.accounts.begin()->first < window.first) {
    Account& oldest = team.accounts.begin()->second;
    QueueReturn(team_index, team.accounts.begin()->first, oldest.ReleaseUnused(oldest.Surplus()));
    team.accounts.erase(team.accounts.begin());
  }
  team.rejected.assign(team.rejected.size(), false);
}

Account& SpendingController::AccountFor(int team_index, Month month) {
  std::map<Month, Account>& accounts = teams_[static_cast<std::size_t>(team_index)].accounts;
  const auto it = accounts.find(month);
  if (it != accounts.end()) return it->second;
  const Team& team = plan_.teams[static_cast<std::size_t>(team_index)];
  std::vector<Money> limits;
  for (std::size_t i = 0; i < deployment_.classes.size(); ++i)
    limits.push_back(team.NewTaskLimit(static_cast<int>(i)));
  return accounts.emplace(month, Account(team.cap, std::move(limits))).first->second;
}

const Account* SpendingController::FindAccount(int team, Month month) const {
  const std::map<Month, Account>& accounts = teams_[static_cast<std::size_t>(team)].accounts;
  const auto it = accounts.find(month);
  return it == accounts.end() ? nullptr : &it->second;
}

Time SpendingController::EstimateRemaining(const AdmissionRequest& request, int team, Time elapsed) {
  const double quantile = static_cast<double>(plan_.teams[static_cast<std::size_t>(team)].quantile_ppm) / 1e6;
  double seconds = -1;
  if (estimator_ != nullptr)
    seconds = estimator_->RemainingSeconds(
        request, static_cast<double>(elapsed) / static_cast<double>(kSecond), quantile);
  if (std::isnan(seconds) || seconds > static_cast<double>(kMaxEstimate / kSecond))
    ++counters_.invalid_estimates;
  if (std::isnan(seconds) || seconds < 0) return plan_.default_remaining;
  if (seconds >= static_cast<double>(kMaxEstimate / kSecond)) return kMaxEstimate;
  return std::max(kSecond, static_cast<Time>(std::ceil(seconds * static_cast<double>(kSecond))));
}

SpendingController::MonthlyCosts SpendingController::ComputeCosts(const Task& task, Time now) const {
  const MonthWindow& window = teams_[static_cast<std::size_t>(task.team)].window;
  Time to = task.end, spent_to = task.end;
  if (task.state == State::kLost) spent_to = task.lost_at;
  if (task.state == State::kReplaced) to = spent_to = task.lost_at;
  if (task.state == State::kRunning || task.state == State::kAdmitted) {
    to = std::max(to, now);
    spent_to = now;
  }
  MonthlyCosts costs{};
  for (std::size_t m = 0; m < 4; ++m) {
    Int128 spent = 0, total = 0;
    for (std::size_t i = 0; i < task.segments.size(); ++i) {
      const Segment& segment = task.segments[i];
      const Time segment_end = i + 1 < task.segments.size() ? task.segments[i + 1].start : to;
      const Seconds from = std::max(window.starts[m], Tariffs::CeilToSecond(segment.start));
      const Seconds end = std::min(window.starts[m + 1], Tariffs::CeilToSecond(std::min(segment_end, to)));
      if (from >= end) continue;
      const Seconds spent_end = std::min(end, Tariffs::CeilToSecond(spent_to));
      total += plan_.tariffs.CostParts(segment.size, segment.node_kind, from, end);
      spent += plan_.tariffs.CostParts(segment.size, segment.node_kind, from, spent_end);
    }
    costs[m].spent = Tariffs::RoundUp(spent);
    costs[m].committed = Tariffs::RoundUp(total) - costs[m].spent;
  }
  return costs;
}

void SpendingController::ChargeCosts(Task* task, const MonthlyCosts& costs) {
  const Month first = teams_[static_cast<std::size_t>(task->team)].window.first;
  for (std::size_t m = 0; m < 4; ++m) {
    Account::Usage& charged = task->costs[m];
    const Account::Usage delta{costs[m].spent - charged.spent, costs[m].committed - charged.committed,
                               costs[m].reserved - charged.reserved};
    if (delta.spent == 0 && delta.committed == 0 && delta.reserved == 0) continue;
    AccountFor(task->team, first + static_cast<Month>(m)).Charge(task->request.class_index, delta);
    charged = costs[m];
  }
}

void SpendingController::UpdateCosts(Task* task, Time now) {
  if (task->state == State::kRunning) {
    const Time elapsed = std::max<Time>(0, now - task->segments.front().start);
    task->end = now + EstimateRemaining(task->request, task->team, elapsed);
  }
  ChargeCosts(task, ComputeCosts(*task, now));
}

SpendingController::Task* SpendingController::FindTask(TaskId id) {
  const auto it = tasks_.find(id);
  return it == tasks_.end() ? nullptr : &it->second;
}

SpendingController::Task* SpendingController::InsertTask(const AdmissionRequest& request, int team,
                                                         State state) {
  Task task;
  task.request = request;
  task.team = team;
  task.state = state;
  return &tasks_.insert_or_assign(request.id, std::move(task)).first->second;
}

void SpendingController::RemoveFromPending(TaskId id) {
  Task* task = FindTask(id);
  if (task != nullptr && task->pending_order != 0)
    pending_.erase(task->pending_order), task->pending_order = 0;
}

void SpendingController::RemoveAndRefund(TaskId id) {
  Task* task = FindTask(id);
  if (task == nullptr) return;
  ChargeCosts(task, MonthlyCosts{});
  Remove(id);
}

void SpendingController::Remove(TaskId id) {
  RemoveFromPending(id);
  const auto it = tasks_.find(id);
  if (it == tasks_.end()) return;
  if (it->second.state == State::kEnded) ended_.erase({it->second.end, id});
  tasks_.erase(it);
}

bool SpendingController::EnsureTableSpace() {
  if (tasks_.size() < kMaxTasks) return true;
  if (ended_.empty()) {
    ++counters_.table_full;
    return false;
  }
  ++counters_.ended_tasks_evicted;
  Remove(ended_.begin()->second);
  return true;
}

void SpendingController::QueueReturn(int team, Month month, Money amount) {
  if (amount <= 0) return;
  const std::uint64_t number = next_return_number_++;
  returns_[number] = {team, month, amount, number};
}

}  // namespace cluster_manager::spending
