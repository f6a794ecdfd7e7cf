#include "simulator/settings.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace scheduling::simulator {
namespace {

using Choices = std::map<std::string_view, int>;

// The path=value pairs of a line.
class Pairs {
 public:
  Pairs(const Fields& fields, std::size_t first) : fields_(fields) {
    for (std::size_t i = first; i < fields.size(); ++i) {
      const std::string_view pair = fields.Raw(i);
      if (pair.empty() || pair == "-") continue;
      const std::size_t split = pair.find('=');
      if (split == std::string_view::npos)
        fields.ThrowMalformed("Params", "no '=' in '" + std::string(pair) + "'");
      values_[std::string(pair.substr(0, split))] = pair.substr(split + 1);
    }
  }

  // Each function leaves `out` unchanged if the key is missing.
  template <typename T>
  void Number(const std::string& key, T* out) const {
    if (const std::string_view* text = Find(key)) *out = static_cast<T>(ParseNumber(key, *text));
  }
  void Duration(const std::string& key, Time* out) const {
    if (const std::string_view* text = Find(key)) {
      if (!ReadInt(*text, out)) *out = static_cast<Time>(ParseNumber(key, *text));
    }
  }
  void Bool(const std::string& key, bool* out) const {
    if (const std::string_view* text = Find(key))
      *out = ParseChoice(key, *text, {{"true", 1}, {"false", 0}}) == 1;
  }
  void Choice(const std::string& key, const Choices& choices, int* out) const {
    if (const std::string_view* text = Find(key)) *out = ParseChoice(key, *text, choices);
  }
  template <typename E>
  void Enum(const std::string& key, const Choices& choices, E* out) const {
    int value = static_cast<int>(*out);
    Choice(key, choices, &value);
    *out = static_cast<E>(value);
  }
  void String(const std::string& key, std::string* out) const {
    if (const std::string_view* text = Find(key)) *out = std::string(*text);
  }
  std::vector<std::string_view> List(const std::string& key) const {
    std::vector<std::string_view> items;
    const std::string_view* text = Find(key);
    if (text == nullptr || text->empty()) return items;
    for (std::size_t start = 0;;) {
      const std::size_t comma = text->find(',', start);
      items.push_back(text->substr(start, comma - start));
      if (comma == std::string_view::npos) return items;
      start = comma + 1;
    }
  }
  std::vector<double> Numbers(const std::string& key) const {
    std::vector<double> out;
    for (const std::string_view item : List(key)) out.push_back(ParseNumber(key, item));
    return out;
  }
  std::size_t Count(const std::string& key) const {
    std::int64_t count = 0;
    const std::string_view* text = Find(key);
    if (text != nullptr && (!ReadInt(*text, &count) || count < 0 || count > 4096)) {
      fields_.ThrowMalformed(key, "not a count: '" + std::string(*text) + "'");
    }
    return static_cast<std::size_t>(count);
  }
  int ParseChoice(const std::string& key, std::string_view text, const Choices& choices) const {
    const auto it = choices.find(text);
    if (it == choices.end()) fields_.ThrowMalformed(key, "unknown word '" + std::string(text) + "'");
    return it->second;
  }

 private:
  const std::string_view* Find(const std::string& key) const {
    const auto it = values_.find(key);
    return it == values_.end() || it->second == "-" ? nullptr : &it->second;
  }
  double ParseNumber(const std::string& key, std::string_view text) const {
    double value = 0;
    if (!ReadNumber(text, &value)) fields_.ThrowMalformed(key, "not a number: '" + std::string(text) + "'");
    return value;
  }

  const Fields& fields_;
  std::map<std::string, std::string_view, std::less<>> values_;
};

// The entry of class i in a list with one entry per class; null if the list is empty. If the list has fewer
// entries than there are classes, its last entry applies to the remaining classes.
template <typename T>
const T* EntryOf(const std::vector<T>& list, std::size_t i) {
  return list.empty() ? nullptr : &list[std::min(i, list.size() - 1)];
}

void ReadClasses(const Pairs& pairs, Settings* settings) {
  const Choices retry_safeties = {{"pure", static_cast<int>(RetrySafety::kIdempotent)},
                                  {"token", static_cast<int>(RetrySafety::kIdempotencyKey)},
                                  {"side_effect", static_cast<int>(RetrySafety::kNotIdempotent)}};
  const Choices failure_domains = {
      {"none", static_cast<int>(FailureDomain::kNone)},   {"machine", static_cast<int>(FailureDomain::kNode)},
      {"cell", static_cast<int>(FailureDomain::kRack)},   {"zone", static_cast<int>(FailureDomain::kZone)},
      {"all", static_cast<int>(FailureDomain::kCluster)},
  };
  const std::string family = "FamilyInfo.";
  const auto degradation_start = pairs.Numbers(family + "ClassCalm");
  const auto degradation_span = pairs.Numbers(family + "FadesOver");
  const auto required_kind = pairs.Numbers(family + "NeedsKind");
  const auto priority = pairs.Numbers(family + "Precedence");
  const auto spread_limit = pairs.Numbers(family + "ClassMost");
  const auto start_value = pairs.Numbers(family + "StartSeconds");
  const auto spread_domain = pairs.List(family + "ApartBy");
  settings->classes.resize(pairs.Count("Services.count"));
  for (std::size_t i = 0; i < settings->classes.size(); ++i) {
    const std::string path = "Services." + std::to_string(i) + ".";
    ClassSettings& each = settings->classes[i];
    pairs.String(path + "Name", &each.name);
    pairs.Duration(path + "Aim", &each.latency_objective);
    pairs.Duration(path + "Deadline", &each.deadline);
    pairs.Enum(path + "Effect", retry_safeties, &each.retry_safety);
    pairs.Enum(path + "Group", failure_domains, &each.key_scope);
    pairs.Duration(path + "KeyTtl", &each.key_ttl);
    pairs.Number(path + "Worth", &each.priority_weight);
    pairs.Number(path + "LateShare", &each.late_value_share);
    if (const double* entry = EntryOf(degradation_start, i)) each.degradation_start = *entry;
    if (const double* entry = EntryOf(degradation_span, i)) each.degradation_span = *entry;
    if (const double* entry = EntryOf(required_kind, i)) each.required_node_kind = static_cast<int>(*entry);
    if (const double* entry = EntryOf(priority, i)) each.priority = static_cast<int>(*entry);
    if (const double* entry = EntryOf(spread_limit, i)) each.spread_limit = static_cast<int>(*entry);
    if (const double* entry = EntryOf(start_value, i)) each.start_value_seconds = *entry;
    if (const std::string_view* entry = EntryOf(spread_domain, i)) {
      each.spread_domain =
          static_cast<FailureDomain>(pairs.ParseChoice(family + "ApartBy", *entry, failure_domains));
    }
  }
}

void ReadTenants(const Pairs& pairs, Settings* settings) {
  const auto quota = pairs.Numbers("FamilyInfo.TenantQuotaCores");
  settings->tenants.resize(pairs.Count("Tenants.count"));
  for (std::size_t i = 0; i < settings->tenants.size(); ++i) {
    const std::string path = "Tenants." + std::to_string(i) + ".";
    pairs.String(path + "Name", &settings->tenants[i].name);
    pairs.Number(path + "Portion", &settings->tenants[i].traffic_share);
    if (i < quota.size()) settings->tenants[i].quota_cores = quota[i];
  }
}

}  // namespace

Settings ReadSettings(const Fields& fields, std::size_t first) {
  const Pairs pairs(fields, first);
  Settings s;
  ReadClasses(pairs, &s);
  ReadTenants(pairs, &s);
  s.kind_cores = pairs.Numbers("FamilyInfo.CoresByKind");
  s.kind_memory = pairs.Numbers("FamilyInfo.MemoryByKind");
  pairs.Number("FamilyInfo.MeanCores", &s.mean_cores);
  pairs.Number("FamilyInfo.MeanMemory", &s.mean_memory);
  pairs.Number("FamilyInfo.CoresMultiple", &s.cores_overcommit);
  pairs.Number("FamilyInfo.AdmitMemory", &s.memory_overcommit);
  int accepted_means_running = 0;
  pairs.Choice("FamilyInfo.YesAt", {{"accepted", 0}, {"running", 1}}, &accepted_means_running);
  s.accepted_means_running = accepted_means_running == 1;
  pairs.Bool("FamilyInfo.View", &s.shows_free_capacity);
  int actual_use = 0;
  pairs.Choice("FamilyInfo.MeasuredBy", {{"asked", 0}, {"used", 1}}, &actual_use);
  s.reports_actual_use = actual_use == 1;
  int subscribe = 0;
  pairs.Choice("Discovery", {{"automatic", 0}, {"subscribe", 1}}, &subscribe);
  s.discovery_by_subscription = subscribe == 1;
  pairs.Bool("Allowed.Probing", &s.allows_health_checks);
  bool retry_after = false;
  pairs.Bool("Allowed.RetryAfter", &retry_after);
  if (retry_after) pairs.Duration("Allowed.MaxRetryAfter", &s.max_retry_after);
  pairs.Bool("Allowed.Cancelling", &s.allows_cancellation);
  pairs.Bool("FamilyInfo.SaysUse", &s.reports_task_use);
  pairs.Bool("FamilyInfo.SaysPressure", &s.reports_memory_pressure);
  pairs.Number("GroupSize", &s.scheduler_count);
  pairs.Number("Ordinal", &s.scheduler_index);
  pairs.Number("Az", &s.zone);
  pairs.Number("Allowed.MostTries", &s.max_attempts);
  pairs.Number("FamilyInfo.ColdSends", &s.slow_start_sends);
  pairs.Duration("Period", &s.tick);
  pairs.Duration("Rules.AnswerSlack", &s.answer_slack);
  pairs.Duration("Rules.AskWithin", &s.subscription_timeout);
  pairs.Duration("Rules.Cold", &s.slow_start_duration);
  pairs.Number("Rules.ColdFrom", &s.slow_start_initial_speed);
  pairs.Duration("Rules.Fall", &s.overload_window);
  pairs.Duration("Rules.DrainGrace", &s.drain_grace);
  pairs.Number("OverShareWorth", &s.over_quota_weight);
  pairs.Number("Prices.Fleet", &s.node_price);
  return s;
}

}  // namespace scheduling::simulator
