#include "faults/history.h"

#include <algorithm>
#include <stdexcept>

namespace cluster_manager::faults {
namespace {

using nlohmann::json;

// The latest attempt on this node; null where there is none.
Attempt* Last(Task* task, const std::string& node) {
  for (auto it = task->attempts.rbegin(); it != task->attempts.rend(); ++it) {
    if (it->node == node) return &*it;
  }
  return nullptr;
}

bool IsOutcome(const std::string& what) {
  return what == "served" || what == "refused" || what == "failed" || what == "gave_up" || what == "broken" ||
         what == "crossed";
}

}  // namespace

std::string Text(const json& record, const char* key) {
  const auto it = record.find(key);
  if (it == record.end() || !it->is_string())
    throw std::invalid_argument("a record has no text \"" + std::string(key) + "\": " + record.dump());
  return it->get<std::string>();
}

Time At(const json& record) {
  const auto it = record.find("t");
  if (it == record.end() || !it->is_number_integer())
    throw std::invalid_argument("a record has no time \"t\": " + record.dump());
  return it->get<Time>();
}

Breach BreachOf(const std::string& rule, const std::string& about, const Task& task) {
  Breach breach{rule, about, {}};
  for (const json* record : task.records) breach.witness.push_back(*record);
  return breach;
}

History::History(std::vector<json> records, Verdict* verdict)
    : records_(std::move(records)), verdict_(verdict) {
  std::ranges::stable_sort(records_, {}, At);
  if (records_.empty()) throw std::invalid_argument("there are no records");
  begun_ = At(records_.front());
  ended_ = At(records_.back());
  for (const json& record : records_) Read(record);
}

void History::Read(const json& record) {
  const std::string who = Text(record, "who");
  const std::string what = Text(record, "what");
  const Time t = At(record);
  if (who == "rig") {
    ReadRig(what, record, t);
    return;
  }
  if (who == "list") {
    listed_.push_back(&record);
    return;
  }
  if (what == "boot" || what == "died") {
    if (what == "boot") booted_[Text(record, "uid")] = t;
    return;
  }
  if (what == "closed") {
    ReadClosed(who, Text(record, "link"), t);
    return;
  }
  if (!record.contains("id")) return;
  const std::string id = Text(record, "id");
  Task& task = tasks_[id];
  task.records.push_back(&record);
  switch (who[0]) {
    case 'o':
      ReadClient(&task, who, what, record, t);
      break;
    case 'n':
      ReadNode(&task, who, what, record, t);
      break;
    default:
      ReadWritten(&task, who, what, record, t);
  }
}

void History::ReadRig(const std::string& what, const json& record, Time t) {
  if (what == "end") ended_ = t;
  if (what == "group") group_domains_[Text(record, "on")] = Text(record, "domain");
  if (what == "place") places_[Text(record, "on")] = &record;
  if (what == "fault") {
    faults_[Text(record, "on")].push_back({t, kNever});
    const std::string kind = Text(record, "kind");
    if (kind == "reset" || kind == "half") resets_[Text(record, "on")].push_back(t);
  }
  if (what == "healed") {
    for (Span& span : faults_[Text(record, "on")]) span.to = std::min(span.to, t);
  }
}

void History::ReadClient(Task* task, const std::string& who, const std::string& what, const json& record,
                         Time t) {
  if (what == "ask") {
    task->client = who;
    task->name = Text(record, "name");
    task->class_name = Text(record, "class");
    task->manager = Text(record, "m");
    task->asked = t;
    task->wait = std::stoll(Text(record, "wait_ms")) * kMs;
    task->holders.emplace_back(t, task->manager);
  } else if (what == "hand") {
    task->holders.emplace_back(t, Text(record, "m"));
    ++verdict_->handed_over;
  } else if (what == "over") {
    if (task->over == kNever) {
      task->over = t;
      task->over_figure = Text(record, "figure");
      ++verdict_->told;
    }
  } else if (IsOutcome(what)) {
    ReadOutcome(task, what, t);
  } else if (what == "answer_again" || what == "over_again") {
    ReadRepeated(*task, what);
  }
}

void History::ReadOutcome(Task* task, const std::string& what, Time t) {
  if (task->final_at != kNever) {
    verdict_->breaches.push_back(
        BreachOf("one outcome", task->class_name + " got " + task->final_word + " and " + what, *task));
    return;
  }
  task->final_at = t;
  task->final_word = what;
  task->served = what == "served";
}

// An answer that crosses the client's giving up is nobody's fault, nor an end told twice. A relay
// acknowledges what it holds: a way that was cut under an answer tells nobody that it is held, and the end
// goes another way meanwhile.
void History::ReadRepeated(const Task& task, const std::string& what) {
  if (Disturbed(task.client + ">" + task.manager, task.asked, task.final_at)) return;
  const bool had_one =
      task.final_word == "refused" || task.final_word == "failed" || (what == "answer_again" && task.served);
  if (!had_one) return;
  verdict_->breaches.push_back(BreachOf("one outcome", "after " + task.final_word + " came " + what, task));
}

void History::ReadNode(Task* task, const std::string& who, const std::string& what, const json& record,
                       Time t) {
  Attempt* attempt = Last(task, who);
  if (what == "arrive") {
    if (attempt == nullptr || attempt->arrived != kNever) {
      task->attempts.push_back({});
      attempt = &task->attempts.back();
      attempt->node = who;
    }
    attempt->arrived = t;
    attempt->uid = Text(record, "uid");
    if (task->class_name.empty()) task->class_name = Text(record, "class");
    if (task->name.empty()) task->name = Text(record, "name");
    return;
  }
  if (attempt == nullptr)
    throw std::invalid_argument("a node speaks of what never arrived: " + record.dump());
  if (what == "answer") attempt->answered = t;
  if (what == "refuse") {
    attempt->refused = true;
    attempt->ended = t;
  }
  if (what == "end") {
    attempt->ended = t;
    attempt->why = Text(record, "why");
  }
}

void History::ReadWritten(Task* task, const std::string& who, const std::string& what, const json& record,
                          Time t) {
  const std::string node = who.substr(who.find('>') + 1);
  if (what == "offered") {
    task->attempts.push_back({});
    Attempt& attempt = task->attempts.back();
    attempt.node = node;
    attempt.offered = t;
    attempt.link = who + "#" + Text(record, "link");
    links_[attempt.link].push_back(task);
    ++verdict_->attempts;
    ++verdict_->attempts_on[node];
  } else if (what == "released") {
    if (Attempt* attempt = Last(task, node)) attempt->given_up = std::min(attempt->given_up, t);
  }
}

void History::ReadClosed(const std::string& who, const std::string& link, Time t) {
  for (Task* task : links_[who + "#" + link]) {
    for (Attempt& attempt : task->attempts) {
      const bool its = attempt.link == who + "#" + link;
      if (its && attempt.answered > t) attempt.given_up = std::min(attempt.given_up, t);
    }
  }
}

std::string History::GroupOf(const std::string& class_name, const std::string& uid) const {
  const auto domain = group_domains_.find(class_name);
  const auto place = places_.find(uid);
  if (domain == group_domains_.end() || domain->second == "all" || place == places_.end()) return "all";
  return domain->second + " " + place->second->at(domain->second).dump();
}

bool History::Disturbed(const std::string& what, Time from, Time to) const {
  const auto it = faults_.find(what);
  if (it == faults_.end()) return false;
  return std::ranges::any_of(it->second,
                             [&](const Span& span) { return span.from <= to && span.to >= from; });
}

bool History::Cut(const Attempt& attempt, Time by) const {
  const auto it = resets_.find(attempt.link.substr(0, attempt.link.find('#')));
  if (it == resets_.end()) return false;
  return std::ranges::any_of(it->second, [&](Time at) { return at >= attempt.offered && at <= by; });
}

Time History::Moved(const std::vector<std::string>& whats, Time from, Time by, Time within) const {
  for (bool again = true; std::exchange(again, false);) {
    for (const std::string& what : whats) {
      const auto it = faults_.find(what);
      if (it == faults_.end()) continue;
      for (const Span& span : it->second) {
        if (span.from > by || span.to < from) continue;
        const Time later = span.to == kNever ? kNever : std::max(by, span.to + within);
        if (later == by) continue;
        by = later;
        if (by == kNever) return by;
        again = true;
      }
    }
  }
  return by;
}

}  // namespace cluster_manager::faults
