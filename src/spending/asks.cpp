// May a worker be added, and what is drawn for it.
#include <algorithm>

#include "containers/hash.h"
#include "spending/spending.h"

namespace cluster_manager::spending {

Wide Spending::Rate(const Ask& ask, Time now) const {
  return plan_.tariffs.Parts(ask.size, ask.kind, now / kSecond, now / kSecond + 1);
}

Spending::Costs Spending::AskedFor(const Ask& ask, int team, Time now, const Worker* of, bool* as_new) {
  const bool changes = ask.how == How::kUpgrade || ask.how == How::kMove;
  const bool ours = of != nullptr && of->team == team && (of->ask.id != ask.id || !changes);
  Worker would;
  would.ask = ask;
  would.team = team;
  would.segments = {{now, ask.size, ask.kind}};
  would.ends = changes && ours && of->state == State::kRuns ? std::max(of->ends, now + kSecond)
                                                            : now + Expected(ask, team, 0);
  Costs costs = Cost(would, now);
  for (Account::Use& use : costs) use = {0, 0, use.all()};
  *as_new = true;
  if (ours && changes && of->state == State::kRuns) {
    *as_new = false;
    for (std::size_t m = 0; m < costs.size(); ++m) {
      costs[m].asked = std::max<Money>(0, costs[m].asked - of->costs[m].committed);
      // What a second's fraction makes of it is no dearer worker.
      if (costs[m].asked > 0 && Rate(ask, now) > Rate(of->ask, now)) *as_new = true;
    }
  } else if (ours && ask.how == How::kReplacement && of->state == State::kLost) {
    *as_new = Rate(ask, now) > Rate(of->ask, now);
  }
  return costs;
}

Verdict Spending::MayAdd(const Ask& asked, Time clock) {
  const Time now = Tick(clock);
  Ask ask = asked;
  ask.size.millicores = std::clamp<std::int64_t>(ask.size.millicores, 0, kMostSize);
  ask.size.memory_mib = std::clamp<std::int64_t>(ask.size.memory_mib, 0, kMostSize);
  int team = plan_.TeamOf(ask.tenant, ask.service);
  if (Worker* known = Find(ask.id)) {
    team = known->team;
    switch (known->state) {
      case State::kRuns:
      case State::kReplaced:
        return {};  // a retry of what is placed: it is booked already
      case State::kAsked:
        if (Rate(ask, now) <= Rate(known->ask, now)) {
          known->until = now + plan_.ask_kept;
          return {};
        }
        Withdrawn(ask.id, clock);  // dearer than what is kept for it: asked anew
        break;
      case State::kLost:  // its owner asks again under the same id
        ask.how = How::kReplacement;
        ask.of = ask.id;
        break;
      case State::kOver:
        Fold(ask.id);  // a new life of the id
        break;
      case State::kWaiting:
        break;
    }
  }
  if (team < 0) return {};
  return Try(ask, team, now);
}

Verdict Spending::Try(const Ask& ask, int index, Time now) {
  const Team& team = plan_.teams[static_cast<std::size_t>(index)];
  const Month month = MonthNow(index);
  Worker* of = ask.how == How::kNew ? nullptr : Find(ask.of);
  bool as_new = true;
  const Costs costs = AskedFor(ask, index, now, of, &as_new);
  const bool same = !as_new && ask.how != How::kReplacement;  // an upgrade or a move that costs no more
  if (!same && Of(index, month).TeamSpent() >= team.HardLine(ask.class_index))
    return Refused(index, ask, Reason::kHardStop, costs[2].asked, month, now);
  for (const std::size_t m : {std::size_t{2}, std::size_t{3}}) {
    const Money cost = costs[m].asked;
    if (!as_new || cost == 0) continue;
    const Month at = month + static_cast<Month>(m) - 2;
    Account& account = Of(index, at);
    const Money free = account.Free(ask.class_index);
    if (free >= cost) continue;
    if (cost > team.Line(ask.class_index)) return Refused(index, ask, Reason::kTooDear, cost, at, now);
    const Money missing = cost - free + (free == 0 ? account.Deficit() : 0);
    if (account.short_of() || missing > account.Reach(ask.class_index))
      return Refused(index, ask, m == 2 ? Reason::kNoMoreWorkers : Reason::kNextMonth, cost, at, now);
    if (account.unheard_since != 0 && now - account.unheard_since >= plan_.ledger_silent)
      return Refused(index, ask, Reason::kNoLedger, cost, at, now);
    return Wait(ask, index, cost, at, now);
  }
  const bool known = Find(ask.id) != nullptr;
  if (!known && !MakeRoom()) return Refused(index, ask, Reason::kFull, costs[2].asked, month, now);
  Grant(ask, index, costs, ask.how == How::kNew ? nullptr : Find(ask.of), now);
  return {};
}

// It stands in the draws until money is there, it is withdrawn, or nobody has asked again for `ask_kept`.
Verdict Spending::Wait(const Ask& ask, int team, Money cost, Month month, Time now) {
  Worker* known = Find(ask.id);
  const bool room = waiting_.size() < kMostWaiting && MakeRoom();
  if (known != nullptr && known->state == State::kWaiting) {
    known->ask = ask;
    known->until = now + plan_.ask_kept;
  } else if (known == nullptr && room) {
    Worker* waits = Insert(ask, team, State::kWaiting);
    waits->until = now + plan_.ask_kept;
    waits->turn = next_turn_++;
    waiting_[waits->turn] = ask.id;
  } else if (known == nullptr) {
    ++counts_.waiting_full;
  }
  return Refused(team, ask, Reason::kDrawing, cost, month, now);
}

void Spending::Grant(const Ask& ask, int team, const Costs& costs, Worker* of, Time now) {
  if (of != nullptr && ask.how == How::kReplacement && of->state == State::kLost && of->team == team) {
    of->state = State::kReplaced;
    of->instead = ask.id;
    Refresh(of, now);
    if (of->ask.id == ask.id) Fold(ask.id);
  }
  StopWaiting(ask.id);
  Worker* worker = Insert(ask, team, State::kAsked);
  worker->until = now + plan_.ask_kept;
  Book(worker, costs);
  teams_[static_cast<std::size_t>(team)].refused[static_cast<std::size_t>(ask.class_index)] = false;
}

Verdict Spending::Refused(int index, const Ask& ask, Reason reason, Money cost, Month month, Time now) {
  const Team& team = plan_.teams[static_cast<std::size_t>(index)];
  const std::string& name = deployment_.classes[static_cast<std::size_t>(ask.class_index)];
  Account& account = Of(index, month);
  const auto of = [&](Money part, Money whole) {
    return MoneyText(part) + " of " + MoneyText(whole) + " in " + MonthName(month);
  };
  Verdict verdict{Verdict::Kind::kNo, reason, deployment_.most_away, "team " + team.name + ": "};
  // Owners that wait for the turn of the month do not all come in its first second.
  const Time turn = teams_[static_cast<std::size_t>(index)].window.starts[3] * kSecond - now;
  const Time spread = static_cast<Time>(HashToUnitInterval(ask.id, static_cast<std::uint64_t>(month)) * 2e9);
  switch (reason) {
    case Reason::kNone:
      break;
    case Reason::kDrawing:
      verdict.kind = Verdict::Kind::kLater;
      verdict.come_back = std::min(verdict.come_back, plan_.draw_again / 5);
      verdict.text += MoneyText(cost) + " is being drawn for a worker of " + name;
      return verdict;
    case Reason::kNoMoreWorkers:
      verdict.text += "no more workers of " + name + ": " + MoneyText(cost) + " asked, " +
                      of(account.Reached(), team.Line(ask.class_index)) + " spent or committed";
      verdict.come_back = std::min(verdict.come_back, turn + spread);
      break;
    case Reason::kNextMonth:
      verdict.text += "no more workers of " + name + " that run into " + MonthName(month) + ": " +
                      MoneyText(cost) + " asked, " + of(account.Reached(), team.Line(ask.class_index)) +
                      " committed";
      break;
    case Reason::kHardStop:
      verdict.text +=
          "hard stop for " + name + ": " + of(account.TeamSpent(), team.HardLine(ask.class_index)) + " spent";
      verdict.come_back = std::min(verdict.come_back, turn + spread);
      break;
    case Reason::kTooDear:
      verdict.text += "a worker of " + name + " costs " + of(cost, team.Line(ask.class_index)) +
                      ", more than the class may use at all";
      break;
    case Reason::kNoLedger:
      verdict.text += "the ledger has not answered for " +
                      std::to_string((now - account.unheard_since) / kSecond) +
                      " s, what is drawn here is used";
      break;
    case Reason::kFull:
      verdict.text += "the books are full: " + std::to_string(workers_.size()) + " workers";
      break;
  }
  if (reason == Reason::kNoMoreWorkers)
    teams_[static_cast<std::size_t>(index)].refused[static_cast<std::size_t>(ask.class_index)] = true;
  if (reason == Reason::kNoMoreWorkers || reason == Reason::kNextMonth) account.to_hear = true;
  StopWaiting(ask.id);
  const Worker* known = Find(ask.id);
  if (known != nullptr && known->state == State::kWaiting) Fold(ask.id);
  return verdict;
}

std::vector<Draw> Spending::Want(Time clock) {
  const Time now = Tick(clock);
  // What waits, by account and class.
  std::map<std::pair<int, Month>, std::map<int, Money>> waits;
  for (const auto& [turn, id] : waiting_) {
    const Worker& worker = workers_.at(id);
    bool as_new = true;
    const Costs costs = AskedFor(worker.ask, worker.team, now,
                                 worker.ask.how == How::kNew ? nullptr : Find(worker.ask.of), &as_new);
    for (int m = 2; m < 4; ++m) {
      if (costs[static_cast<std::size_t>(m)].asked > 0)
        waits[{worker.team, MonthNow(worker.team) + m - 2}][worker.ask.class_index] +=
            costs[static_cast<std::size_t>(m)].asked;
    }
  }
  for (const auto& [key, classes] : waits) Of(key.first, key.second);
  std::vector<Draw> draws;
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    const int team = static_cast<int>(i);
    for (auto& [month, account] : teams_[i].accounts) {
      if (account.asked_at != 0 && now - account.asked_at < plan_.draw_again) continue;
      Draw draw{team, month, 0, account.Deficit(), account.use().spent};
      Money reach = 0;
      for (const auto& [class_index, cost] : waits[{team, month}]) {
        draw.amount += std::max<Money>(0, cost - account.Free(class_index));
        reach = std::max(reach, account.Reach(class_index));
      }
      if (month == MonthNow(team) && account.use().all() + draw.amount > 0) {
        // A portion ahead, so that a usual ask finds money here and waits for nobody.
        int low = 0;
        for (int k = 1; k < static_cast<int>(deployment_.classes.size()); ++k) {
          if (plan_.teams[i].Line(k) < plan_.teams[i].Line(low)) low = k;
        }
        const Money portion = account.Portion(deployment_.members), free = account.Free(low);
        if (free < portion / 2) draw.amount += portion - free;
        reach = std::max(reach, std::min(portion, account.Reach(low)));
      }
      draw.amount = std::min(draw.amount, reach) + draw.owed;
      // What the pool does not have is asked for again at its pace, so that the ledger knows what is owed.
      if (draw.amount <= 0 && !account.to_hear) continue;
      account.asked_at = now;
      if (account.unheard_since == 0) account.unheard_since = now;
      draws.push_back(draw);
    }
  }
  return draws;
}

void Spending::Drawn(int team, Month month, Money amount, std::uint64_t epoch, const Pool& pool, Time clock) {
  const Time now = Tick(clock);
  if (team < 0 || static_cast<std::size_t>(team) >= teams_.size() || amount < 0) return;
  const Window& window = teams_[static_cast<std::size_t>(team)].window;
  if (month < window.first || month > window.first + 3) {
    ++counts_.too_late;  // a month that is not in the books: what nobody can use stays drawn
    return;
  }
  if (!Of(team, month).Drawn(amount, epoch, pool)) return;
  const std::map<std::uint64_t, Id> waiting = waiting_;
  for (const auto& [turn, id] : waiting) {
    const Worker* worker = Find(id);
    if (worker == nullptr || worker->state != State::kWaiting || worker->team != team) continue;
    Try(Ask(worker->ask), team, now);
  }
}

}  // namespace cluster_manager::spending
