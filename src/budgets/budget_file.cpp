#include "budgets/budget_file.h"

#include <fnmatch.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <stdexcept>

#include "json_files/document_checker.h"
#include "json_files/document_error.h"
#include "json_files/load.h"

namespace cluster_manager::budgets {
namespace {

using json_files::FormatNumber;
using json_files::JoinList;
using json_files::JoinPath;
using nlohmann::json;

std::string FormatUnits(Micro micro) {
  return FormatNumber(static_cast<double>(micro) / static_cast<double>(kUnit));
}

// Reads the types of fields that the budgets document has.
class Reader : public json_files::DocumentChecker {
 public:
  using DocumentChecker::DocumentChecker;

  bool CheckList(const json& in, const char* name) {
    const auto it = in.find(name);
    if (it != in.end() && it->is_array() && !it->empty()) return true;
    AddError(name, (it == in.end() ? "is missing" : "is " + it->dump()) + ", write a list of at least one");
    return false;
  }
  // Reads a number from `least` to `most` and stores it times `unit`. Reports an error where that is not an
  // integer. Returns false where the field is absent or wrong.
  bool ReadNumber(const json& in, const std::string& place, const char* name, double least, double most,
                  double unit, std::int64_t* to) {
    const auto it = in.find(name);
    if (it == in.end()) return false;
    return ReadExactNumber(*it, JoinPath(place, name), least, most, unit, to);
  }
  bool ReadExactNumber(const json& value, const std::string& here, double least, double most, double unit,
                       std::int64_t* to) {
    if (!Number(value, here, least, most)) return false;
    const double scaled = value.get<double>() * unit;
    const double rounded = std::round(scaled);
    if (std::abs(scaled - rounded) > std::max(1e-6, rounded * 1e-15)) {
      AddError(here, "is " + value.dump() + ", write a multiple of " + json(1 / unit).dump());
      return false;
    }
    *to = static_cast<std::int64_t>(rounded);
    return true;
  }
  // An empty `default_value` makes the field mandatory.
  std::string ReadText(const json& in, const std::string& place, const char* name,
                       const std::string& default_value) {
    const auto it = in.find(name);
    if (it == in.end() && !default_value.empty()) return default_value;
    if (it != in.end() && it->is_string() && !it->get<std::string>().empty()) return it->get<std::string>();
    AddError(JoinPath(place, name),
             (it == in.end() ? "is missing" : "is " + it->dump()) + ", write a non-empty string");
    return "";
  }
};

constexpr double kNanosPerMs = 1e6, kMillionths = 1e6;

void ReadMembers(const json& top, Reader* reader, BudgetFile* to) {
  if (!reader->CheckList(top, "members")) return;
  for (std::size_t i = 0; i < top["members"].size(); ++i) {
    const json& each = top["members"][i];
    const std::string place = "members[" + std::to_string(i) + "]";
    if (!reader->Object(each, place, {"id", "name", "weight"})) continue;
    Member member;
    std::int64_t id = 0;
    if (!each.contains("id")) reader->AddError(place + ".id", "is missing, write a number from 0 to 65535");
    reader->ReadNumber(each, place, "id", 0, 65535, 1, &id);
    member.id = static_cast<MemberId>(id);
    member.name = reader->ReadText(each, place, "name", "");
    reader->ReadNumber(each, place, "weight", 1, 1000, 1, &member.weight);
    to->members.push_back(std::move(member));
  }
  std::ranges::stable_sort(to->members, {}, &Member::id);
}

std::vector<std::string> BudgetNames() {
  std::vector<std::string> names;
  for (const BudgetType& each : BudgetTypes()) names.emplace_back(each.name);
  return names;
}

void ReadRule(const json& each, const std::string& place, Reader* reader, BudgetFile* to) {
  if (!reader->Object(each, place,
                      {"name", "key", "whole", "grain", "window_ms", "linger_ms", "floor_share", "floors"}))
    return;
  Rule rule;
  rule.name = reader->ReadText(each, place, "name", "");
  const auto type = std::ranges::find(BudgetTypes(), rule.name, &BudgetType::name);
  if (type == BudgetTypes().end()) {
    if (!rule.name.empty())
      reader->AddError(place + ".name",
                       "is " + json(rule.name).dump() + ", write one of: " + JoinList(BudgetNames()));
    return;
  }
  rule.kind = type->kind;
  rule.pattern = reader->ReadText(each, place, "key", "*");
  if (!each.contains("whole"))
    reader->AddError(place + ".whole", "is missing, write a number from 0 to 1000000000");
  reader->ReadNumber(each, place, "whole", 0, 1e9, kMillionths, &rule.limit);
  if (rule.kind == Kind::kAmount) rule.granularity = 10'000;
  reader->ReadNumber(each, place, "grain", 0.000001, 1e6, kMillionths, &rule.granularity);
  const auto check_applicable = [&](const char* field, bool applicable, const std::string& reason) {
    if (each.contains(field) && !applicable)
      reader->AddError(place + "." + field, "is " + each[field].dump() + ", leave it out: " + reason);
    return applicable;
  };
  if (check_applicable("window_ms", rule.kind == Kind::kRate, rule.name + " is not a rate budget"))
    reader->ReadNumber(each, place, "window_ms", 10, 3'600'000, kNanosPerMs, &rule.window);
  if (check_applicable("linger_ms", rule.kind == Kind::kConcurrency,
                       rule.name + " is not a concurrency budget"))
    reader->ReadNumber(each, place, "linger_ms", 0, 3'600'000, kNanosPerMs, &rule.max_hold_time);
  const bool has_guarantees = rule.kind != Kind::kAmount;
  if (!has_guarantees) rule.guaranteed_fraction = 0;
  if (check_applicable("floor_share", has_guarantees, "an amount budget has no guaranteed shares"))
    reader->ReadNumber(each, place, "floor_share", 0, 1, kMillionths, &rule.guaranteed_fraction);
  if (check_applicable("floors", has_guarantees, "an amount budget has no guaranteed shares") &&
      each.contains("floors")) {
    std::vector<std::string> names;
    for (const Member& member : to->members) names.push_back(member.name);
    if (reader->Object(each["floors"], place + ".floors", names)) {
      for (const auto& [member, value] : each["floors"].items()) {
        std::string here = place;
        here.append(".floors.").append(member);
        reader->ReadExactNumber(value, here, 0, 1e9, kMillionths, &rule.explicit_guarantees[member]);
      }
    }
  }
  to->rules.push_back(std::move(rule));
}

}  // namespace

const std::vector<BudgetType>& BudgetTypes() {
  static const std::vector<BudgetType> types{{"cold_starts", Kind::kRate, "node"},
                                             {"retries", Kind::kRate, ""},
                                             {"site_return", Kind::kRate, "site"},
                                             {"tenant_cores", Kind::kConcurrency, "tenant"},
                                             {"class_rate", Kind::kRate, "class"},
                                             {"node_attempts", Kind::kConcurrency, "node"},
                                             {"reservations", Kind::kConcurrency, "node/gap"},
                                             {"spending", Kind::kAmount, "team/month"}};
  return types;
}

int BudgetFile::FindRule(const std::string& name, const std::string& key) const {
  for (std::size_t i = 0; i < rules.size(); ++i) {
    if (rules[i].name == name && ::fnmatch(rules[i].pattern.c_str(), key.c_str(), 0) == 0)
      return static_cast<int>(i);
  }
  return -1;
}

const Member* BudgetFile::FindMember(MemberId member) const {
  const auto it = std::ranges::lower_bound(members, member, {}, &Member::id);
  return it == members.end() || it->id != member ? nullptr : &*it;
}

Micro BudgetFile::GuaranteedShare(int rule_index, MemberId id) const {
  const Rule& rule = rules[static_cast<std::size_t>(rule_index)];
  const Member* member = FindMember(id);
  if (member == nullptr || rule.kind == Kind::kAmount) return 0;
  const auto explicit_guarantee = rule.explicit_guarantees.find(member->name);
  if (explicit_guarantee != rule.explicit_guarantees.end()) return explicit_guarantee->second;
  const __int128 share = static_cast<__int128>(rule.limit) * rule.guaranteed_fraction / kUnit /
                         static_cast<std::int64_t>(members.size());
  return static_cast<Micro>(share) / rule.granularity * rule.granularity;
}

std::string FindInconsistencies(const BudgetFile& budgets, const std::string& file) {
  std::string errors;
  const auto add_error = [&](const std::string& place, const std::string& text) {
    errors += file + ": " + place + ": " + text + "\n";
  };
  std::set<std::string> names;
  for (std::size_t i = 0; i < budgets.members.size(); ++i) {
    const Member& member = budgets.members[i];
    if (i > 0 && budgets.members[i - 1].id == member.id)
      add_error("members", "has the id " + std::to_string(member.id) + " twice, write each once");
    if (!names.insert(member.name).second)
      add_error("members", "has the name " + json(member.name).dump() + " twice, write each once");
  }
  if (budgets.lease_duration < 4 * budgets.max_clock_skew)
    add_error("lease_ms", "is " + FormatNumber(static_cast<double>(budgets.lease_duration) / kNanosPerMs) +
                              ", write at least 4 * skew_ms, " +
                              FormatNumber(static_cast<double>(4 * budgets.max_clock_skew) / kNanosPerMs));
  if (budgets.report_interval > budgets.lease_duration / 4)
    add_error("report_ms", "is " + FormatNumber(static_cast<double>(budgets.report_interval) / kNanosPerMs) +
                               ", write at most lease_ms / 4, " +
                               FormatNumber(static_cast<double>(budgets.lease_duration) / 4 / kNanosPerMs));
  std::set<std::pair<std::string, std::string>> patterns;
  for (std::size_t i = 0; i < budgets.rules.size(); ++i) {
    const Rule& rule = budgets.rules[i];
    const std::string place = "budgets[" + std::to_string(i) + "]";
    const bool after_wildcard = rule.pattern != "*" && patterns.contains({rule.name, "*"});
    if (!patterns.insert({rule.name, rule.pattern}).second || after_wildcard)
      add_error(place + ".key", "is " + json(rule.pattern).dump() +
                                    ", which never matches: an earlier rule matches all its keys");
    Micro sum = 0;
    for (const Member& member : budgets.members)
      sum += budgets.GuaranteedShare(static_cast<int>(i), member.id);
    if (sum > rule.limit)
      add_error(place + ".floors", "sum to " + FormatUnits(sum) + ", write at most the limit (whole) of " +
                                       FormatUnits(rule.limit));
  }
  return errors;
}

BudgetFile ReadBudgets(const json& document, const std::string& file) {
  Reader reader(file);
  BudgetFile budgets;
  if (!reader.Object(document, "",
                     {"version", "members", "lease_ms", "skew_ms", "report_ms", "floor_lease_ms",
                      "hysteresis", "max_move_per_s", "most_keys", "budgets"}))
    reader.ThrowIfInvalid();
  std::int64_t version = 1;
  if (!document.contains("version")) reader.AddError("version", "is missing, write 1");
  reader.ReadNumber(document, "", "version", 1, 1, 1, &version);
  ReadMembers(document, &reader, &budgets);
  reader.ReadNumber(document, "", "lease_ms", 500, 600'000, kNanosPerMs, &budgets.lease_duration);
  reader.ReadNumber(document, "", "skew_ms", 1, 60'000, kNanosPerMs, &budgets.max_clock_skew);
  reader.ReadNumber(document, "", "report_ms", 20, 60'000, kNanosPerMs, &budgets.report_interval);
  reader.ReadNumber(document, "", "floor_lease_ms", 0, 31'536'000'000.0, kNanosPerMs,
                    &budgets.guarantee_duration);
  reader.ReadNumber(document, "", "hysteresis", 0, 0.5, kMillionths, &budgets.hysteresis);
  reader.ReadNumber(document, "", "max_move_per_s", 0.01, 1000, kMillionths, &budgets.max_change_per_second);
  reader.ReadNumber(document, "", "most_keys", 1, 1'000'000, 1, &budgets.max_keys);
  if (reader.CheckList(document, "budgets")) {
    for (std::size_t i = 0; i < document["budgets"].size(); ++i)
      ReadRule(document["budgets"][i], "budgets[" + std::to_string(i) + "]", &reader, &budgets);
  }
  reader.ThrowIfInvalid();
  const std::string errors = FindInconsistencies(budgets, file);
  if (!errors.empty()) throw json_files::DocumentError(errors.substr(0, errors.size() - 1));
  return budgets;
}

BudgetFile LoadBudgets(const std::string& file) { return ReadBudgets(json_files::LoadDocument(file), file); }

json ToJson(const BudgetFile& budgets) {
  const auto divide = [](std::int64_t value, double unit) -> json {
    const double number = static_cast<double>(value) / unit;
    if (number == std::floor(number)) return static_cast<std::int64_t>(number);
    return number;
  };
  json out{{"version", 1},
           {"members", json::array()},
           {"lease_ms", divide(budgets.lease_duration, kNanosPerMs)},
           {"skew_ms", divide(budgets.max_clock_skew, kNanosPerMs)},
           {"report_ms", divide(budgets.report_interval, kNanosPerMs)},
           {"floor_lease_ms", divide(budgets.guarantee_duration, kNanosPerMs)},
           {"hysteresis", divide(budgets.hysteresis, kMillionths)},
           {"max_move_per_s", divide(budgets.max_change_per_second, kMillionths)},
           {"most_keys", budgets.max_keys},
           {"budgets", json::array()}};
  for (const Member& member : budgets.members)
    out["members"].push_back({{"id", member.id}, {"name", member.name}, {"weight", member.weight}});
  for (const Rule& rule : budgets.rules) {
    json each{{"name", rule.name},
              {"key", rule.pattern},
              {"whole", divide(rule.limit, kMillionths)},
              {"grain", divide(rule.granularity, kMillionths)}};
    if (rule.kind == Kind::kRate) each["window_ms"] = divide(rule.window, kNanosPerMs);
    if (rule.kind == Kind::kConcurrency) each["linger_ms"] = divide(rule.max_hold_time, kNanosPerMs);
    if (rule.kind != Kind::kAmount) {
      each["floor_share"] = divide(rule.guaranteed_fraction, kMillionths);
      each["floors"] = json::object();
      for (const auto& [member, share] : rule.explicit_guarantees)
        each["floors"][member] = divide(share, kMillionths);
    }
    out["budgets"].push_back(std::move(each));
  }
  return out;
}

}  // namespace cluster_manager::budgets
