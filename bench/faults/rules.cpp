#include "faults/rules.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace cluster_manager::faults {
namespace {

using nlohmann::json;

std::string HolderAt(const Task& task, Time t) {
  std::string holder = task.manager;
  for (const auto& [since, manager] : task.holders) {
    if (since <= t) holder = manager;
  }
  return holder;
}

// From when on the list has this node in service again; kNever where it never does.
Time InServiceAgain(const std::vector<const json*>& listed, const std::string& uid, Time after) {
  Time until = kNever;
  for (const json* later : listed) {
    if (At(*later) > after && Text(*later, "uid") == uid && Text(*later, "state") == "in_service")
      until = std::min(until, At(*later));
  }
  return until;
}

}  // namespace

void Rules::Check() {
  for (const auto& [id, task] : history_.tasks()) {
    CheckOutcome(id, task);
    CheckAttempts(id, task);
    CheckGroup(id, task);
    CheckEnds(id, task);
  }
  CheckSettlements();
  CheckDrains();
  CheckColdNodes();
}

void Rules::Broken(const std::string& rule, const std::string& about, const Task& task) {
  verdict_->breaches.push_back(BreachOf(rule, about, task));
}

void Rules::CheckOutcome(const std::string& id, const Task& task) {
  if (task.asked == kNever) return;
  Tally& all = verdict_->classes[task.class_name];
  std::vector<Tally>& seconds = verdict_->seconds[task.class_name];
  const auto second = static_cast<std::size_t>((task.asked - history_.begun()) / kSecond);
  if (seconds.size() <= second) seconds.resize(second + 1);
  const auto count = [&](int Tally::*which) {
    ++(all.*which);
    ++(seconds[second].*which);
  };
  count(&Tally::asked);
  if (task.served) return count(&Tally::served);
  if (task.final_word == "refused") return count(&Tally::refused);
  if (task.final_word == "failed") return count(&Tally::failed);
  // The protocol lets the client send it again. A busy machine makes this window no wider.
  const Time crossing = terms_.crossing + kSlack;
  if (task.final_word == "crossed" && task.final_at - task.asked <= crossing) return count(&Tally::excused);
  const Time by = task.asked + task.wait + terms_.late + kSlack + terms_.slack;
  const Time until = std::min(by, task.final_at == kNever ? by : task.final_at);
  if (history_.Disturbed(task.manager, task.asked - kSlack, until) ||
      history_.Disturbed(task.client + ">" + task.manager, task.asked - kSlack, until) ||
      by > history_.ended()) {
    return count(&Tally::excused);
  }
  count(&Tally::lost);
  Broken("answered",
         task.class_name + " " + id + " of " + task.client + " at " + task.manager + ": " +
             (task.final_word.empty() ? "no outcome" : task.final_word),
         task);
}

void Rules::CheckAttempts(const std::string& id, const Task& task) {
  const int tries = static_cast<int>(
      std::ranges::count_if(task.attempts, [](const Attempt& a) { return a.offered != kNever; }));
  if (tries > terms_.most_tries)
    Broken("at most three", id + " was offered " + std::to_string(tries) + " times", task);
  Time first = kNever;
  Time last = 0;
  for (const Attempt& a : task.attempts) {
    if (a.offered == kNever) continue;
    first = std::min(first, a.offered);
    last = std::max(last, a.offered);
    for (const Attempt& b : task.attempts) {
      if (&a == &b || b.arrived == kNever || a.arrived == kNever || a.arrived > b.arrived) continue;
      if (&a > &b && a.arrived == b.arrived) continue;
      // Its answer was lost with its connection: the node knows nothing of that, and nothing is out for the
      // other.
      if (history_.Cut(a, b.arrived)) continue;
      // Out from its arrival on; what was given up before it arrived was never out.
      if (a.Out() > b.arrived + kSlack && b.Out() > b.arrived)
        Broken("never two out", id + " was out on " + a.node + " and " + b.node, task);
    }
  }
  if (task.class_name == "card-worker" && tries > 1 && last - first > terms_.key_window + kSlack)
    Broken("within its window", id + " was offered again after the key's time", task);
}

void Rules::CheckGroup(const std::string& id, const Task& task) {
  if (task.class_name != "card-worker") return;
  std::vector<const Attempt*> arrived;
  for (const Attempt& attempt : task.attempts) {
    if (attempt.arrived != kNever) arrived.push_back(&attempt);
  }
  std::ranges::sort(arrived, {}, [](const Attempt* attempt) { return attempt->arrived; });
  const Attempt* first = nullptr;  // that may have run
  for (const Attempt* attempt : arrived) {
    const std::string group = history_.GroupOf(task.class_name, attempt->uid);
    if (first != nullptr && group != history_.GroupOf(task.class_name, first->uid)) {
      Broken("inside its group",
             id + " was at " + first->uid + " and then at " + attempt->uid + " of " + group, task);
      return;
    }
    if (first == nullptr && !attempt->refused) first = attempt;
  }
}

void Rules::CheckSettlements() {
  std::map<std::string, std::vector<const Task*>> by_name;
  for (const auto& [id, task] : history_.tasks()) {
    if (task.class_name == "settlement") by_name[task.name].push_back(&task);
  }
  for (const auto& [name, tasks] : by_name) {
    int started = 0;
    for (const Task* task : tasks) {
      for (const Attempt& a : task->attempts) started += a.arrived != kNever && !a.refused;
    }
    if (started < 2) continue;
    Task all;
    for (const Task* task : tasks)
      all.records.insert(all.records.end(), task->records.begin(), task->records.end());
    Broken("settlement once", name + " may have been started " + std::to_string(started) + " times", all);
  }
}

void Rules::CheckEnds(const std::string& id, const Task& task) {
  const Attempt* stood = nullptr;
  for (const Attempt& a : task.attempts) {
    if (a.answered != kNever) stood = &a;
  }
  if (stood == nullptr || !task.served || task.holders.empty()) return;
  CheckToldTooEarly(id, task, *stood);
  if (stood->ended == kNever || stood->why == "cut" || stood->why == "given_up") return;
  const Time by = EndToldBy(task, *stood);
  if (by == kNever || by > history_.ended() || task.over <= by) return;
  Broken("ends are told",
         id + " ended at " + stood->node + " (" + stood->why + ") and its owner was told " +
             (task.over == kNever ? "never" : "late"),
         task);
}

void Rules::CheckToldTooEarly(const std::string& id, const Task& task, const Attempt& stood) {
  const Time end = stood.ended;
  // What the list calls gone is over for those who follow it, whatever runs on there.
  const bool listed_gone = std::ranges::any_of(history_.listed(), [&](const json* r) {
    return Text(*r, "uid") == stood.uid && Text(*r, "state") == "terminated" && At(*r) <= task.over;
  });
  if (task.over == kNever || end <= task.over + kSlack + terms_.slack || listed_gone) return;
  const Time by = std::min(history_.ended(), task.over + kSecond + terms_.slack);
  const std::string holder = HolderAt(task, task.over);
  const std::string pair = holder + ">" + stood.node;
  // Told over, and cut for it: it has to be over soon, as far as the cut can get there.
  if (end > history_.Moved({pair, holder}, task.over, by, kSecond))
    Broken("told too early", id + " was told over and ran on at " + stood.node, task);
  else if (stood.why == "over" && task.over_figure != "move")
    Broken("told too early", id + " was told over and came to its own end later at " + stood.node, task);
}

Time Rules::EndToldBy(const Task& task, const Attempt& stood) const {
  constexpr Time kHandOver = 200 * kMs;
  const Time end = stood.ended;
  const Time within = stood.why == "died" ? terms_.lost_within : terms_.told_within;
  const Time lost_within = terms_.lost_within + kSlack + terms_.slack;
  // Who holds it may change while its end is owed: each hand-over begins anew, 0.2 s later.
  Time by = end + within + kSlack + terms_.slack;
  for (std::size_t i = 0; i < task.holders.size(); ++i) {
    const auto& [since, holder] = task.holders[i];
    if (i + 1 < task.holders.size() && task.holders[i + 1].first <= end) continue;
    if (since > by) break;
    if (since > end) by = std::max(by, since + kHandOver + lost_within);
    const std::vector<std::string> on{holder, holder + ">" + stood.node, "list", task.client + ">" + holder};
    by = history_.Moved(on, end - kSlack, by, lost_within);
    if (by == kNever) break;
  }
  return by;
}

void Rules::CheckDrains() {
  constexpr Time kFaultOver = 4 * kSecond;  // the list catches up with what a fault kept back
  for (const json* r : history_.listed()) {
    if (Text(*r, "state") == "in_service") continue;
    const std::string uid = Text(*r, "uid");
    const std::string node = Text(*r, "node");
    const Time from = At(*r) + terms_.drain_grace + kSlack + terms_.slack;
    const Time until = InServiceAgain(history_.listed(), uid, At(*r));
    for (const auto& [id, task] : history_.tasks()) {
      for (const Attempt& a : task.attempts) {
        if (a.node != node || a.offered == kNever || a.offered <= from || a.offered >= until) continue;
        if (!a.uid.empty() && a.uid != uid) continue;
        const std::string manager = a.link.substr(0, a.link.find('>'));
        const Time by = history_.Moved({"list", manager + ">list", manager}, At(*r), from, kFaultOver);
        if (a.offered > by && a.arrived != kNever && a.uid == uid) {
          Broken("nothing after a drain", id + " was sent to " + node + " after it was to leave", task);
          verdict_->breaches.back().witness.push_back(*r);
        }
      }
    }
  }
}

// Whether over two thirds of the sends from `first` to `last` came after the list had told of the start.
bool Rules::FallIsOfTheTold(const std::string& uid, const std::vector<Send>& sends, std::size_t first,
                            std::size_t last) const {
  Time told = kNever;
  for (const json* record : history_.listed()) {
    if (Text(*record, "uid") == uid && Text(*record, "state") == "in_service")
      told = std::min(told, At(*record));
  }
  if (told == kNever) told = 0;  // the records do not say: all count as told
  std::size_t after = 0;
  for (std::size_t i = first; i <= last; ++i) after += sends[i].first >= told;
  return 3 * after > 2 * (last - first + 1);
}

void Rules::CheckColdNodes() {
  constexpr Time kStartOfTrial = 2 * kSecond;      // what booted in it counts as warm
  std::map<std::string, std::vector<Send>> sends;  // by uid
  for (const auto& [id, task] : history_.tasks()) {
    for (const Attempt& a : task.attempts) {
      const auto booted = history_.booted().find(a.uid);
      if (a.arrived == kNever || booted == history_.booted().end()) continue;
      if (booted->second < history_.begun() + kStartOfTrial) continue;
      if (a.arrived - booted->second < terms_.cold) sends[a.uid].emplace_back(a.arrived, &task);
    }
  }
  for (auto& [uid, all] : sends) {
    std::ranges::sort(all, {}, [](const auto& send) { return send.first; });
    std::size_t first = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
      while (all[i].first - all[first].first >= terms_.fall) ++first;
      if (static_cast<int>(i - first + 1) <= terms_.cold_sends) continue;
      if (!FallIsOfTheTold(uid, all, first, i)) continue;
      Broken("cold nodes", uid + " got " + std::to_string(i - first + 1) + " sends within its fall",
             *all[i].second);
      break;
    }
  }
}

}  // namespace cluster_manager::faults
