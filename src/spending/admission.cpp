// SpendingController: admission of tasks, and the draws that it needs.
#include <algorithm>

#include "containers/hash.h"
#include "spending/spending_controller.h"

namespace cluster_manager::spending {

Int128 SpendingController::CostPerSecond(const AdmissionRequest& request, Time now) const {
  return plan_.tariffs.CostParts(request.size, request.node_kind, now / kSecond, now / kSecond + 1);
}

SpendingController::MonthlyCosts SpendingController::RequestedCosts(const AdmissionRequest& request, int team,
                                                                    Time now, const Task* existing,
                                                                    bool* needs_money) {
  const bool changes = request.type == RequestType::kUpgrade || request.type == RequestType::kMigration;
  const bool tracked =
      existing != nullptr && existing->team == team && (existing->request.id != request.id || !changes);
  Task requested;
  requested.request = request;
  requested.team = team;
  requested.segments = {{now, request.size, request.node_kind}};
  requested.end = changes && tracked && existing->state == State::kRunning
                      ? std::max(existing->end, now + kSecond)
                      : now + EstimateRemaining(request, team, 0);
  MonthlyCosts costs = ComputeCosts(requested, now);
  for (Account::Usage& usage : costs) usage = {0, 0, usage.total()};
  *needs_money = true;
  if (tracked && changes && existing->state == State::kRunning) {
    *needs_money = false;
    for (std::size_t m = 0; m < costs.size(); ++m) {
      costs[m].reserved = std::max<Money>(0, costs[m].reserved - existing->costs[m].committed);
      // A difference that results only from rounding to whole seconds does not make the task more expensive.
      if (costs[m].reserved > 0 && CostPerSecond(request, now) > CostPerSecond(existing->request, now))
        *needs_money = true;
    }
  } else if (tracked && request.type == RequestType::kReplacement && existing->state == State::kLost) {
    *needs_money = CostPerSecond(request, now) > CostPerSecond(existing->request, now);
  }
  return costs;
}

AdmissionDecision SpendingController::Admit(const AdmissionRequest& unbounded, Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  AdmissionRequest request = unbounded;
  request.size.millicores = std::clamp<std::int64_t>(request.size.millicores, 0, kMaxTaskSize);
  request.size.memory_mib = std::clamp<std::int64_t>(request.size.memory_mib, 0, kMaxTaskSize);
  int team = plan_.FindTeam(request.tenant, request.service);
  if (Task* known = FindTask(request.id)) {
    team = known->team;
    switch (known->state) {
      case State::kRunning:
      case State::kReplaced:
        return {};  // a retry for a task that was accepted: it is charged already
      case State::kAdmitted:
        if (CostPerSecond(request, now) <= CostPerSecond(known->request, now)) {
          known->expires = now + plan_.reservation_timeout;
          return {};
        }
        OnRequestCancelled(request.id, clock_reading);  // costs more than what is reserved: admitted anew
        break;
      case State::kLost:  // the client requests the replacement under the same id
        request.type = RequestType::kReplacement;
        request.existing_task = request.id;
        break;
      case State::kEnded:
        Remove(request.id);  // the id is used again
        break;
      case State::kPending:
        break;
    }
  }
  if (team < 0) return {};
  return TryAdmit(request, team, now);
}

AdmissionDecision SpendingController::TryAdmit(const AdmissionRequest& request, int team_index, Time now) {
  const Team& team = plan_.teams[static_cast<std::size_t>(team_index)];
  const Month current_month = CurrentMonth(team_index);
  Task* existing = request.type == RequestType::kNew ? nullptr : FindTask(request.existing_task);
  bool needs_money = true;
  const MonthlyCosts costs = RequestedCosts(request, team_index, now, existing, &needs_money);
  const bool cheap_change = !needs_money && request.type != RequestType::kReplacement;
  if (!cheap_change &&
      AccountFor(team_index, current_month).TeamSpent() >= team.HardStopLimit(request.class_index))
    return Reject(team_index, request, RejectionReason::kHardStop, costs[2].reserved, current_month, now);
  for (const std::size_t m : {std::size_t{2}, std::size_t{3}}) {
    const Money cost = costs[m].reserved;
    if (!needs_money || cost == 0) continue;
    const Month month = current_month + static_cast<Month>(m) - 2;
    Account& account = AccountFor(team_index, month);
    const Money available = account.Available(request.class_index);
    if (available >= cost) continue;
    if (cost > team.NewTaskLimit(request.class_index))
      return Reject(team_index, request, RejectionReason::kExceedsClassLimit, cost, month, now);
    const Money missing = cost - available + (available == 0 ? account.Deficit() : 0);
    if (account.pool_overcommitted() || missing > account.AvailableInPool(request.class_index))
      return Reject(team_index, request,
                    m == 2 ? RejectionReason::kClassLimitReached : RejectionReason::kNextMonthLimitReached,
                    cost, month, now);
    if (account.unanswered_since != 0 && now - account.unanswered_since >= plan_.ledger_timeout)
      return Reject(team_index, request, RejectionReason::kLedgerTimeout, cost, month, now);
    return AwaitGrant(request, team_index, cost, month, now);
  }
  const bool known = FindTask(request.id) != nullptr;
  if (!known && !EnsureTableSpace())
    return Reject(team_index, request, RejectionReason::kTableFull, costs[2].reserved, current_month, now);
  RecordAdmission(request, team_index, costs,
                  request.type == RequestType::kNew ? nullptr : FindTask(request.existing_task), now);
  return {};
}

// The request stays pending and is included in draws until there is money for it, it is cancelled, or it has
// not been retried for `reservation_timeout`.
AdmissionDecision SpendingController::AwaitGrant(const AdmissionRequest& request, int team, Money cost,
                                                 Month month, Time now) {
  Task* known = FindTask(request.id);
  const bool has_space = pending_.size() < kMaxPendingRequests && EnsureTableSpace();
  if (known != nullptr && known->state == State::kPending) {
    known->request = request;
    known->expires = now + plan_.reservation_timeout;
  } else if (known == nullptr && has_space) {
    Task* pending = InsertTask(request, team, State::kPending);
    pending->expires = now + plan_.reservation_timeout;
    pending->pending_order = next_pending_order_++;
    pending_[pending->pending_order] = request.id;
  } else if (known == nullptr) {
    ++counters_.pending_full;
  }
  return Reject(team, request, RejectionReason::kAwaitingGrant, cost, month, now);
}

void SpendingController::RecordAdmission(const AdmissionRequest& request, int team, const MonthlyCosts& costs,
                                         Task* existing, Time now) {
  if (existing != nullptr && request.type == RequestType::kReplacement && existing->state == State::kLost &&
      existing->team == team) {
    existing->state = State::kReplaced;
    existing->replacement = request.id;
    UpdateCosts(existing, now);
    if (existing->request.id == request.id) Remove(request.id);
  }
  RemoveFromPending(request.id);
  Task* task = InsertTask(request, team, State::kAdmitted);
  task->expires = now + plan_.reservation_timeout;
  ChargeCosts(task, costs);
  teams_[static_cast<std::size_t>(team)].rejected[static_cast<std::size_t>(request.class_index)] = false;
}

AdmissionDecision SpendingController::Reject(int team_index, const AdmissionRequest& request,
                                             RejectionReason reason, Money cost, Month month, Time now) {
  const Team& team = plan_.teams[static_cast<std::size_t>(team_index)];
  const std::string& class_name = deployment_.classes[static_cast<std::size_t>(request.class_index)];
  Account& account = AccountFor(team_index, month);
  const auto amount_of_limit = [&](Money amount, Money limit) {
    return FormatMoney(amount) + " of " + FormatMoney(limit) + " in " + FormatMonth(month);
  };
  AdmissionDecision decision{AdmissionDecision::Outcome::kRejected, reason, deployment_.max_retry_after,
                             "team " + team.name + ": "};
  // Spreads the retries of clients that wait for the next month, so that they do not all come in its first
  // second.
  const Time next_month = teams_[static_cast<std::size_t>(team_index)].window.starts[3] * kSecond - now;
  const Time spread =
      static_cast<Time>(HashToUnitInterval(request.id, static_cast<std::uint64_t>(month)) * 2e9);
  switch (reason) {
    case RejectionReason::kNone:
      break;
    case RejectionReason::kAwaitingGrant:
      decision.outcome = AdmissionDecision::Outcome::kRetryLater;
      decision.retry_after = std::min(decision.retry_after, plan_.draw_retry_interval / 5);
      decision.message += FormatMoney(cost) + " is being drawn from the ledger for a task of " + class_name;
      return decision;
    case RejectionReason::kClassLimitReached:
      decision.message += "no more tasks of " + class_name + ": " + FormatMoney(cost) + " requested, " +
                          amount_of_limit(account.TeamUsage(), team.NewTaskLimit(request.class_index)) +
                          " spent or committed";
      decision.retry_after = std::min(decision.retry_after, next_month + spread);
      break;
    case RejectionReason::kNextMonthLimitReached:
      decision.message += "no more tasks of " + class_name + " that run into " + FormatMonth(month) + ": " +
                          FormatMoney(cost) + " requested, " +
                          amount_of_limit(account.TeamUsage(), team.NewTaskLimit(request.class_index)) +
                          " committed";
      break;
    case RejectionReason::kHardStop:
      decision.message += "hard stop for " + class_name + ": " +
                          amount_of_limit(account.TeamSpent(), team.HardStopLimit(request.class_index)) +
                          " spent";
      decision.retry_after = std::min(decision.retry_after, next_month + spread);
      break;
    case RejectionReason::kExceedsClassLimit:
      decision.message += "a task of " + class_name + " costs " +
                          amount_of_limit(cost, team.NewTaskLimit(request.class_index)) +
                          ", more than the limit of the class";
      break;
    case RejectionReason::kLedgerTimeout:
      decision.message += "the ledger has not answered for " +
                          std::to_string((now - account.unanswered_since) / kSecond) +
                          " s, and the money drawn by this member does not suffice";
      break;
    case RejectionReason::kTableFull:
      decision.message += "the task table is full: " + std::to_string(tasks_.size()) + " tasks";
      break;
  }
  if (reason == RejectionReason::kClassLimitReached)
    teams_[static_cast<std::size_t>(team_index)].rejected[static_cast<std::size_t>(request.class_index)] =
        true;
  if (reason == RejectionReason::kClassLimitReached || reason == RejectionReason::kNextMonthLimitReached)
    account.refresh_needed = true;
  RemoveFromPending(request.id);
  const Task* known = FindTask(request.id);
  if (known != nullptr && known->state == State::kPending) Remove(request.id);
  return decision;
}

std::vector<DrawRequest> SpendingController::CollectDrawRequests(Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  // The costs of pending requests by account and class.
  std::map<std::pair<int, Month>, std::map<int, Money>> pending_costs;
  for (const auto& [order, id] : pending_) {
    const Task& task = tasks_.at(id);
    bool needs_money = true;
    const MonthlyCosts costs = RequestedCosts(
        task.request, task.team, now,
        task.request.type == RequestType::kNew ? nullptr : FindTask(task.request.existing_task),
        &needs_money);
    for (int m = 2; m < 4; ++m) {
      if (costs[static_cast<std::size_t>(m)].reserved > 0)
        pending_costs[{task.team, CurrentMonth(task.team) + m - 2}][task.request.class_index] +=
            costs[static_cast<std::size_t>(m)].reserved;
    }
  }
  for (const auto& [key, by_class] : pending_costs) AccountFor(key.first, key.second);
  std::vector<DrawRequest> draws;
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    const int team = static_cast<int>(i);
    for (auto& [month, account] : teams_[i].accounts) {
      if (account.draw_requested_at != 0 && now - account.draw_requested_at < plan_.draw_retry_interval)
        continue;
      DrawRequest draw{team, month, 0, account.Deficit(), account.usage().spent};
      Money in_pool = 0;
      for (const auto& [class_index, cost] : pending_costs[{team, month}]) {
        draw.amount += std::max<Money>(0, cost - account.Available(class_index));
        in_pool = std::max(in_pool, account.AvailableInPool(class_index));
      }
      if (month == CurrentMonth(team) && account.usage().total() + draw.amount > 0) {
        // Draws ahead of demand, so that most requests find money at this member and need not wait for a
        // grant.
        int lowest_class = 0;
        for (int k = 1; k < static_cast<int>(deployment_.classes.size()); ++k) {
          if (plan_.teams[i].NewTaskLimit(k) < plan_.teams[i].NewTaskLimit(lowest_class)) lowest_class = k;
        }
        const Money prefetch = account.PrefetchAmount(deployment_.member_count),
                    available = account.Available(lowest_class);
        if (available < prefetch / 2) draw.amount += prefetch - available;
        in_pool = std::max(in_pool, std::min(prefetch, account.AvailableInPool(lowest_class)));
      }
      draw.amount = std::min(draw.amount, in_pool) + draw.uncovered;
      // Uncovered usage is requested again at each interval even if the pool is empty, so that the ledger
      // knows of it.
      if (draw.amount <= 0 && !account.refresh_needed) continue;
      account.draw_requested_at = now;
      if (account.unanswered_since == 0) account.unanswered_since = now;
      draws.push_back(draw);
    }
  }
  return draws;
}

void SpendingController::ApplyGrant(int team, Month month, Money amount, std::uint64_t epoch,
                                    const LedgerPool& pool, Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  if (team < 0 || static_cast<std::size_t>(team) >= teams_.size() || amount < 0) return;
  const MonthWindow& window = teams_[static_cast<std::size_t>(team)].window;
  if (month < window.first || month > window.first + 3) {
    ++counters_.too_late;  // a month without an account: the money cannot be used, and stays drawn
    return;
  }
  if (!AccountFor(team, month).ApplyGrant(amount, epoch, pool)) return;
  const std::map<std::uint64_t, TaskId> pending = pending_;
  for (const auto& [order, id] : pending) {
    const Task* task = FindTask(id);
    if (task == nullptr || task->state != State::kPending || task->team != team) continue;
    TryAdmit(AdmissionRequest(task->request), team, now);
  }
}

}  // namespace cluster_manager::spending
