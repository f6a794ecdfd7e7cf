// SpendingController: the periodic evaluation, and the texts for the log and for operators.
#include <algorithm>

#include "spending/spending_controller.h"

namespace cluster_manager::spending {
namespace {

// The keys of the steps in the plan.
const char* NameOf(SpendingController::Step step) {
  switch (step) {
    case SpendingController::Step::kNotice:
      return "notice";
    case SpendingController::Step::kNoNewTasks:
      return "no_more_workers";
    case SpendingController::Step::kHardStop:
      return "hard_stop";
    case SpendingController::Step::kNone:
      break;
  }
  return "none";
}

std::string FormatDuration(Seconds seconds) {
  if (seconds >= 2 * 86'400) return std::to_string(seconds / 86'400) + " days";
  if (seconds >= 2 * 3600) return std::to_string(seconds / 3600) + " hours";
  return std::to_string(std::max<Seconds>(0, seconds)) + " s";
}

}  // namespace

std::vector<std::string> SpendingController::Evaluate(Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  std::vector<TaskId> expired;
  for (auto& [id, task] : tasks_) {
    if (task.state == State::kRunning) {
      UpdateCosts(&task, now);
    } else if (task.expires <= now && task.state != State::kEnded && task.state != State::kReplaced) {
      expired.push_back(id);
    }
  }
  for (const TaskId id : expired) {
    Task* task = FindTask(id);
    if (task == nullptr) continue;
    if (task->state == State::kLost) {
      RecordEnd(task, task->lost_at, now);
    } else {
      OnRequestCancelled(id, clock_reading);
    }
  }
  // Surplus money is returned: all of it if the month is over, if the pool is overcommitted, or if the money
  // is nearly used up.
  std::map<std::pair<int, Month>, Money> pending_costs;
  for (const auto& [order, id] : pending_) {
    const Task& task = tasks_.at(id);
    bool needs_money = true;
    const MonthlyCosts costs = RequestedCosts(task.request, task.team, now, nullptr, &needs_money);
    for (int m = 2; m < 4; ++m)
      pending_costs[{task.team, CurrentMonth(task.team) + m - 2}] +=
          costs[static_cast<std::size_t>(m)].reserved;
  }
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    const int team = static_cast<int>(i);
    for (auto& [month, account] : teams_[i].accounts) {
      Money keep = 0, tolerance = 0;
      if (!account.pool_overcommitted() && month >= CurrentMonth(team)) {
        keep = pending_costs[{team, month}];
        if (month == CurrentMonth(team))
          keep += account.PrefetchAmount(deployment_.member_count),
              tolerance = account.PrefetchAmount(deployment_.member_count);
      }
      if (account.Surplus() > keep + tolerance)
        QueueReturn(team, month, account.ReleaseUnused(account.Surplus() - keep));
    }
    UpdateSteps(team, now);
  }
  return std::exchange(log_lines_, {});
}

void SpendingController::UpdateSteps(int team_index, Time now) {
  TeamState& state = teams_[static_cast<std::size_t>(team_index)];
  const Team& team = plan_.teams[static_cast<std::size_t>(team_index)];
  const Month month = CurrentMonth(team_index);
  const Account* account = FindAccount(team_index, month);
  const Money usage = account == nullptr ? 0 : account->TeamUsage();
  const Money spent = account == nullptr ? 0 : account->TeamSpent();
  for (std::size_t k = 0; k < state.reported_steps.size(); ++k) {
    const int class_index = static_cast<int>(k);
    const Money limit = team.NewTaskLimit(class_index);
    const Money notice = static_cast<Money>(Int128{team.cap} * team.steps[k].notice / 1'000'000);
    const Step previous = state.reported_steps[k];
    // A step that was reached is left only a hundredth of the cap below it, so that the log does not
    // alternate.
    const auto reached = [&](Step step, Money amount, Money threshold) {
      return amount >= threshold - (previous >= step ? team.cap / 100 : 0);
    };
    Step step = Step::kNone;
    if (account != nullptr || team.cap == 0) {
      if (reached(Step::kNotice, usage, notice)) step = Step::kNotice;
      if (state.rejected[k] || reached(Step::kNoNewTasks, usage, limit - team.cap / 1000))
        step = Step::kNoNewTasks;
      if (spent >= team.HardStopLimit(class_index)) step = Step::kHardStop;
    }
    if (step == previous) continue;
    state.reported_steps[k] = step;
    log_lines_.push_back("team " + team.name + ": " + deployment_.classes[k] + " is at step " + NameOf(step) +
                         " (was " + NameOf(previous) + "): " + FormatMoney(usage) + " of " +
                         FormatMoney(limit) + " spent or committed in " + FormatMonth(month) + ", " +
                         FormatMoney(spent) + " spent; the month ends in " +
                         FormatDuration(state.window.starts[3] - now / kSecond));
  }
}

SpendingController::Step SpendingController::CurrentStep(int team, int class_index) const {
  return teams_[static_cast<std::size_t>(team)].reported_steps[static_cast<std::size_t>(class_index)];
}

std::vector<std::string> SpendingController::Describe(Time clock_reading) {
  AdvanceTime(clock_reading);
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    const Team& team = plan_.teams[i];
    for (const auto& [month, account] : teams_[i].accounts) {
      const Account::Usage& usage = account.usage();
      std::string line = "team " + team.name + " " + FormatMonth(month) + ": cap " +
                         FormatMoney(account.cap()) + "; this member: spent " + FormatMoney(usage.spent) +
                         ", committed " + FormatMoney(usage.committed) + ", reserved " +
                         FormatMoney(usage.reserved) + ", drawn " + FormatMoney(account.drawn());
      line += !account.pool_known()
                  ? "; no answer from the ledger yet"
                  : "; ledger: remaining " + FormatMoney(account.pool_remaining()) + ", uncovered " +
                        FormatMoney(account.pool().uncovered) + ", spent " +
                        FormatMoney(account.TeamSpent()) + ", epoch " + std::to_string(account.epoch());
      if (account.Deficit() > 0) line += "; not covered by drawn money " + FormatMoney(account.Deficit());
      if (account.pool_overcommitted()) line += "; pool overcommitted";
      if (account.limits_lowered()) line += "; limits lowered";
      lines.push_back(std::move(line));
    }
    std::string steps;
    for (std::size_t k = 0; k < deployment_.classes.size(); ++k)
      steps += (k == 0 ? " " : ", ") + deployment_.classes[k] + " " + NameOf(teams_[i].reported_steps[k]);
    lines.push_back("team " + team.name + ":" + steps);
  }
  lines.push_back("spending: " + std::to_string(tasks_.size()) + " tasks, " + std::to_string(ended_.size()) +
                  " of them ended, " + std::to_string(pending_.size()) + " requests waiting for money, " +
                  std::to_string(returns_.size()) + " returns not acknowledged" +
                  (clock_.jump_unconfirmed() ? "; the clock jumped ahead, not confirmed yet" : ""));
  const Counters& c = counters_;
  lines.push_back("spending counters: table full " + std::to_string(c.table_full) + ", ended tasks evicted " +
                  std::to_string(c.ended_tasks_evicted) + ", pending full " + std::to_string(c.pending_full) +
                  ", segments full " + std::to_string(c.segments_full) + ", clock steps back " +
                  std::to_string(c.clock_steps_back) + ", clock jumps ahead " +
                  std::to_string(c.clock_jumps_ahead) + ", unknown tasks " + std::to_string(c.unknown_tasks) +
                  ", invalid estimates " + std::to_string(c.invalid_estimates) + ", future ends " +
                  std::to_string(c.future_ends) + ", too late " + std::to_string(c.too_late) +
                  ", unrequested " + std::to_string(c.unrequested));
  return lines;
}

}  // namespace cluster_manager::spending
