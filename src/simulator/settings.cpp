#include "simulator/settings.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace scheduling::simulator {
namespace {

using Words = std::map<std::string_view, int>;

class Pairs {
 public:
  Pairs(const Fields& fields, std::size_t first) : fields_(fields) {
    for (std::size_t i = first; i < fields.size(); ++i) {
      const std::string_view pair = fields.Raw(i);
      if (pair.empty() || pair == "-") continue;
      const std::size_t split = pair.find('=');
      if (split == std::string_view::npos) fields.Bad("Params", "no '=' in '" + std::string(pair) + "'");
      values_[std::string(pair.substr(0, split))] = pair.substr(split + 1);
    }
  }

  // Each reader leaves the default in place where the key is missing.
  template <typename T>
  void Number(const std::string& key, T* out) const {
    if (const std::string_view* text = Find(key)) *out = static_cast<T>(ReadAt(key, *text));
  }
  void When(const std::string& key, Time* out) const {
    if (const std::string_view* text = Find(key)) {
      if (!ReadInt(*text, out)) *out = static_cast<Time>(ReadAt(key, *text));
    }
  }
  void Bool(const std::string& key, bool* out) const {
    if (const std::string_view* text = Find(key)) *out = Word(key, *text, {{"true", 1}, {"false", 0}}) == 1;
  }
  void Choice(const std::string& key, const Words& words, int* out) const {
    if (const std::string_view* text = Find(key)) *out = Word(key, *text, words);
  }
  template <typename E>
  void Enum(const std::string& key, const Words& words, E* out) const {
    int value = static_cast<int>(*out);
    Choice(key, words, &value);
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
    for (const std::string_view item : List(key)) out.push_back(ReadAt(key, item));
    return out;
  }
  std::size_t Count(const std::string& key) const {
    std::int64_t count = 0;
    const std::string_view* text = Find(key);
    if (text != nullptr && (!ReadInt(*text, &count) || count < 0 || count > 4096)) {
      fields_.Bad(key, "not a count: '" + std::string(*text) + "'");
    }
    return static_cast<std::size_t>(count);
  }
  int Word(const std::string& key, std::string_view text, const Words& words) const {
    const auto it = words.find(text);
    if (it == words.end()) fields_.Bad(key, "unknown word '" + std::string(text) + "'");
    return it->second;
  }

 private:
  const std::string_view* Find(const std::string& key) const {
    const auto it = values_.find(key);
    return it == values_.end() || it->second == "-" ? nullptr : &it->second;
  }
  double ReadAt(const std::string& key, std::string_view text) const {
    double value = 0;
    if (!ReadNumber(text, &value)) fields_.Bad(key, "not a number: '" + std::string(text) + "'");
    return value;
  }

  const Fields& fields_;
  std::map<std::string, std::string_view, std::less<>> values_;
};

// The entry of class i in a list with one for each class, null where the list is empty: where classes were
// added and the list was not, its last entry serves for the rest.
template <typename T>
const T* EntryOf(const std::vector<T>& list, std::size_t i) {
  return list.empty() ? nullptr : &list[std::min(i, list.size() - 1)];
}

void ReadClasses(const Pairs& pairs, Settings* settings) {
  const Words effects = {{"pure", static_cast<int>(RetrySafety::kIdempotent)},
                         {"token", static_cast<int>(RetrySafety::kIdempotencyKey)},
                         {"side_effect", static_cast<int>(RetrySafety::kNotIdempotent)}};
  const Words places = {
      {"none", static_cast<int>(FailureDomain::kNone)},   {"machine", static_cast<int>(FailureDomain::kNode)},
      {"cell", static_cast<int>(FailureDomain::kRack)},   {"zone", static_cast<int>(FailureDomain::kZone)},
      {"all", static_cast<int>(FailureDomain::kCluster)},
  };
  const std::string family = "FamilyInfo.";
  const auto calm = pairs.Numbers(family + "ClassCalm");
  const auto fade = pairs.Numbers(family + "FadesOver");
  const auto kind = pairs.Numbers(family + "NeedsKind");
  const auto priority = pairs.Numbers(family + "Precedence");
  const auto most = pairs.Numbers(family + "ClassMost");
  const auto start = pairs.Numbers(family + "StartSeconds");
  const auto apart = pairs.List(family + "ApartBy");
  settings->classes.resize(pairs.Count("Services.count"));
  for (std::size_t i = 0; i < settings->classes.size(); ++i) {
    const std::string path = "Services." + std::to_string(i) + ".";
    ClassSettings& each = settings->classes[i];
    pairs.String(path + "Name", &each.name);
    pairs.When(path + "Aim", &each.latency_objective);
    pairs.When(path + "Deadline", &each.deadline);
    pairs.Enum(path + "Effect", effects, &each.retry_safety);
    pairs.Enum(path + "Group", places, &each.key_scope);
    pairs.When(path + "KeyTtl", &each.key_ttl);
    pairs.Number(path + "Worth", &each.priority_weight);
    pairs.Number(path + "LateShare", &each.late_value_share);
    if (const double* entry = EntryOf(calm, i)) each.degradation_start = *entry;
    if (const double* entry = EntryOf(fade, i)) each.degradation_span = *entry;
    if (const double* entry = EntryOf(kind, i)) each.required_node_kind = static_cast<int>(*entry);
    if (const double* entry = EntryOf(priority, i)) each.priority = static_cast<int>(*entry);
    if (const double* entry = EntryOf(most, i)) each.spread_limit = static_cast<int>(*entry);
    if (const double* entry = EntryOf(start, i)) each.start_value_seconds = *entry;
    if (const std::string_view* entry = EntryOf(apart, i)) {
      each.spread_domain = static_cast<FailureDomain>(pairs.Word(family + "ApartBy", *entry, places));
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
  int running = 0;
  pairs.Choice("FamilyInfo.YesAt", {{"accepted", 0}, {"running", 1}}, &running);
  s.accepted_means_running = running == 1;
  pairs.Bool("FamilyInfo.View", &s.shows_free_capacity);
  int used = 0;
  pairs.Choice("FamilyInfo.MeasuredBy", {{"asked", 0}, {"used", 1}}, &used);
  s.reports_actual_use = used == 1;
  int ask = 0;
  pairs.Choice("Discovery", {{"automatic", 0}, {"subscribe", 1}}, &ask);
  s.discovery_by_subscription = ask == 1;
  pairs.Bool("Allowed.Probing", &s.allows_health_checks);
  bool advice = false;
  pairs.Bool("Allowed.RetryAfter", &advice);
  if (advice) pairs.When("Allowed.MaxRetryAfter", &s.max_retry_after);
  pairs.Bool("Allowed.Cancelling", &s.allows_cancellation);
  pairs.Bool("FamilyInfo.SaysUse", &s.reports_task_use);
  pairs.Bool("FamilyInfo.SaysPressure", &s.reports_memory_pressure);
  pairs.Number("GroupSize", &s.scheduler_count);
  pairs.Number("Ordinal", &s.scheduler_index);
  pairs.Number("Az", &s.zone);
  pairs.Number("Allowed.MostTries", &s.max_attempts);
  pairs.Number("FamilyInfo.ColdSends", &s.slow_start_sends);
  pairs.When("Period", &s.tick);
  pairs.When("Rules.AnswerSlack", &s.answer_slack);
  pairs.When("Rules.AskWithin", &s.subscription_timeout);
  pairs.When("Rules.Cold", &s.slow_start_duration);
  pairs.Number("Rules.ColdFrom", &s.slow_start_initial_speed);
  pairs.When("Rules.Fall", &s.overload_window);
  pairs.When("Rules.DrainGrace", &s.drain_grace);
  pairs.Number("OverShareWorth", &s.over_quota_weight);
  pairs.Number("Prices.Fleet", &s.node_price);
  return s;
}

}  // namespace scheduling::simulator
