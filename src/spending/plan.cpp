#include "spending/plan.h"

#include <algorithm>
#include <set>
#include <stdexcept>

#include "json_files/document_checker.h"
#include "json_files/load.h"

namespace cluster_manager::spending {
namespace {

using json_files::JoinList;
using json_files::JoinPath;
using nlohmann::json;

std::string Indexed(const std::string& place, std::size_t i) { return place + "[" + std::to_string(i) + "]"; }

// Reads the kinds of fields that a spending plan has, and collects the mistakes.
class PlanReader : public json_files::DocumentChecker {
 public:
  PlanReader(std::string file, const Deployment& deployment)
      : DocumentChecker(std::move(file), kMaxErrors, kMaxShownBytes), deployment_(deployment) {}

  const json* ReadList(const json& in, const std::string& place, const char* name, std::size_t max) {
    const auto it = in.find(name);
    if (it == in.end()) {
      AddError(JoinPath(place, name), "is missing, write a list");
      return nullptr;
    }
    if (!it->is_array() || it->empty() || it->size() > max) {
      AddError(JoinPath(place, name),
               "is " + FormatValue(*it) + ", write a list of 1 to " + std::to_string(max));
      return nullptr;
    }
    return &*it;
  }
  // Reads a number from `min` to `max` and stores it as a whole number of 1 / `scale`. Leaves `*result` as it
  // is if the field is missing.
  void ReadScaledNumber(const json& in, const std::string& place, const char* name, double min, double max,
                        double scale, std::int64_t* result) {
    const auto it = in.find(name);
    if (it == in.end()) return;
    if (!Number(*it, JoinPath(place, name), min, max)) return;
    *result = static_cast<std::int64_t>(it->get<double>() * scale + 0.5);
  }
  bool ReadMoney(const json& in, const std::string& place, const char* name, Money* result) {
    const auto it = in.find(name);
    if (it == in.end()) {
      AddError(JoinPath(place, name), std::string("is missing, write ") + kMoneyFormat);
      return false;
    }
    std::optional<Money> money;
    if (it->is_string()) money = ParseMoney(it->get<std::string>());
    if (it->is_number_unsigned()) money = ParseMoney(it->dump());
    if (!money) AddError(JoinPath(place, name), "is " + FormatValue(*it) + ", write " + kMoneyFormat);
    if (money) *result = *money;
    return money.has_value();
  }
  bool ReadText(const json& in, const std::string& place, const char* name, std::string* result) {
    const auto it = in.find(name);
    if (it == in.end()) return false;
    if (!it->is_string() || it->get_ref<const std::string&>().empty() ||
        it->get_ref<const std::string&>().size() > 200) {
      AddError(JoinPath(place, name), "is " + FormatValue(*it) + ", write a text of 1 to 200 bytes");
      return false;
    }
    *result = it->get<std::string>();
    return true;
  }

 private:
  static constexpr std::size_t kMaxErrors = 50;
  static constexpr std::size_t kMaxShownBytes = 60;
  static constexpr const char* kMoneyFormat =
      "an amount from \"0\" to \"1000000000000\" with at most six decimal places, as text";
  const Deployment& deployment_;
};

void ReadTariffs(PlanReader& reader, const json& document, const Deployment& deployment, Plan* plan) {
  const json* list = reader.ReadList(document, "", "tariffs", 1000);
  std::vector<Tariffs::DatedPrices> dated;
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    const json& entry = (*list)[i];
    const std::string place = Indexed("tariffs", i);
    if (!reader.Object(entry, place, {"from", "kinds"})) continue;
    Tariffs::DatedPrices prices;
    const auto from = entry.find("from");
    const std::optional<Seconds> at =
        from != entry.end() && from->is_string() ? ParseInstant(from->get<std::string>()) : std::nullopt;
    if (!at) {
      reader.AddError(place + ".from",
                      (from == entry.end() ? "is missing" : "is " + reader.FormatValue(*from)) +
                          ", write an instant such as \"2026-03-01T00:00:00Z\"");
    } else if (!dated.empty() && *at <= dated.back().from) {
      reader.AddError(place + ".from", "is " + from->dump() +
                                           ", write an instant after the tariff before it, " +
                                           FormatInstant(dated.back().from));
    }
    prices.from = at.value_or(0);
    const auto kinds = entry.find("kinds");
    std::vector<std::string> allowed = deployment.node_kinds;
    allowed.push_back("*");
    if (kinds == entry.end()) {
      reader.AddError(place + ".kinds",
                      "is missing, write an object with prices by node kind, \"*\" for all others");
    } else if (reader.Object(*kinds, place + ".kinds", allowed)) {
      const auto read_prices = [&](const std::string& name) {
        Prices parsed;
        const std::string here = place + ".kinds." + name;
        const json& in = (*kinds)[name];
        if (!reader.Object(in, here, {"core_hour", "gib_hour", "worker_hour"})) return parsed;
        reader.ReadMoney(in, here, "core_hour", &parsed.core_hour);
        reader.ReadMoney(in, here, "gib_hour", &parsed.gib_hour);
        if (in.contains("worker_hour")) reader.ReadMoney(in, here, "worker_hour", &parsed.task_hour);
        if (parsed.core_hour + parsed.gib_hour + parsed.task_hour > kMaxHourlyPrice)
          reader.AddError(
              here, "sums to " + FormatMoney(parsed.core_hour + parsed.gib_hour + parsed.task_hour) +
                        " an hour, write prices of at most " + FormatMoney(kMaxHourlyPrice) + " together");
        return parsed;
      };
      if (!kinds->contains("*")) {
        reader.AddError(place + ".kinds.*", "is missing, write the prices of node kinds that are not named");
      } else {
        const Prices others = read_prices("*");
        for (const std::string& kind : deployment.node_kinds)
          prices.by_node_kind.push_back(kinds->contains(kind) ? read_prices(kind) : others);
        prices.by_node_kind.push_back(others);
      }
    }
    dated.push_back(std::move(prices));
  }
  plan->tariffs = Tariffs(std::move(dated));
}

void ReadSteps(PlanReader& reader, const json& in, const std::string& place, const Deployment& deployment,
               Team* team) {
  team->steps.assign(deployment.classes.size(), {});
  const auto it = in.find("steps");
  if (it == in.end()) return;
  std::vector<std::string> allowed = deployment.classes;
  allowed.insert(allowed.begin(), "*");
  if (!reader.Object(*it, place + ".steps", allowed)) return;
  const auto read_step = [&](const std::string& name, StepThresholds* thresholds) {
    const json& steps = (*it)[name];
    const std::string here = place + ".steps." + name;
    if (!reader.Object(steps, here, {"notice", "no_more_workers", "hard_stop"})) return;
    reader.ReadScaledNumber(steps, here, "notice", 0, 1, 1e6, &thresholds->notice);
    reader.ReadScaledNumber(steps, here, "no_more_workers", 0, 1, 1e6, &thresholds->no_new_tasks);
    reader.ReadScaledNumber(steps, here, "hard_stop", 0, 10, 1e6, &thresholds->hard_stop);
    if (thresholds->notice > thresholds->no_new_tasks)
      reader.AddError(here + ".notice",
                      "is " + json_files::FormatNumber(static_cast<double>(thresholds->notice) / 1e6) +
                          ", write at most no_more_workers, " +
                          json_files::FormatNumber(static_cast<double>(thresholds->no_new_tasks) / 1e6));
    if (thresholds->hard_stop < thresholds->no_new_tasks)
      reader.AddError(here + ".hard_stop",
                      "is " + json_files::FormatNumber(static_cast<double>(thresholds->hard_stop) / 1e6) +
                          ", write at least no_more_workers, " +
                          json_files::FormatNumber(static_cast<double>(thresholds->no_new_tasks) / 1e6));
  };
  if (it->contains("*")) {
    StepThresholds common;
    read_step("*", &common);
    team->steps.assign(deployment.classes.size(), common);
  }
  for (std::size_t i = 0; i < deployment.classes.size(); ++i) {
    if (it->contains(deployment.classes[i])) read_step(deployment.classes[i], &team->steps[i]);
  }
}

void ReadTeams(PlanReader& reader, const json& document, const Deployment& deployment, Plan* plan) {
  const json* list = reader.ReadList(document, "", "teams", 10'000);
  std::map<std::pair<std::string, std::string>, std::string> places;  // by (tenant, service)
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    const json& entry = (*list)[i];
    const std::string place = Indexed("teams", i);
    Team team;
    if (!reader.Object(entry, place, {"name", "zone", "cap", "quantile", "members", "steps"})) continue;
    if (!entry.contains("name")) reader.AddError(place + ".name", "is missing, write a text");
    if (reader.ReadText(entry, place, "name", &team.name) && plan->FindTeamByName(team.name) >= 0)
      reader.AddError(place + ".name", "is \"" + team.name + "\", which teams[" +
                                           std::to_string(plan->FindTeamByName(team.name)) +
                                           "] has already, write another");
    std::string rule, error;
    if (!entry.contains("zone")) {
      reader.AddError(place + ".zone",
                      "is missing, write a rule such as \"CET-1CEST,M3.5.0,M10.5.0/3\" or \"UTC0\"");
    } else if (reader.ReadText(entry, place, "zone", &rule)) {
      const std::optional<TimeZone> time_zone = TimeZone::Parse(rule, &error);
      if (!time_zone)
        reader.AddError(place + ".zone",
                        "is \"" + rule + "\", " + error +
                            "; write a rule such as \"CET-1CEST,M3.5.0,M10.5.0/3\" or \"UTC0\"");
      team.time_zone = time_zone.value_or(TimeZone());
    }
    reader.ReadMoney(entry, place, "cap", &team.cap);
    reader.ReadScaledNumber(entry, place, "quantile", 0.5, 0.999, 1e6, &team.quantile_ppm);
    ReadSteps(reader, entry, place, deployment, &team);
    const json* members = reader.ReadList(entry, place, "members", 10'000);
    for (std::size_t k = 0; members != nullptr && k < members->size(); ++k) {
      const std::string here = Indexed(place + ".members", k);
      const json& selector = (*members)[k];
      if (!reader.Object(selector, here, {"tenant", "service"})) continue;
      std::string tenant, service;
      reader.ReadText(selector, here, "tenant", &tenant);
      reader.ReadText(selector, here, "service", &service);
      if (!selector.contains("tenant") && !selector.contains("service"))
        reader.AddError(here, "is {}, write a tenant, a service or both");
      if (tenant.empty() && service.empty()) continue;
      if (!tenant.empty() && !deployment.tenants.empty() &&
          std::ranges::find(deployment.tenants, tenant) == deployment.tenants.end())
        reader.AddError(here + ".tenant",
                        "is \"" + tenant + "\", write a configured tenant: " + JoinList(deployment.tenants));
      const auto [known, inserted] = places.emplace(std::pair(tenant, service), here);
      if (!inserted) {
        reader.AddError(here, "is " + selector.dump() + ", which " + known->second +
                                  " lists already, remove one of them");
      } else {
        plan->team_by_task[{tenant, service}] = static_cast<int>(i);
      }
    }
    plan->teams.resize(i);  // an entry that is no object keeps its index
    plan->teams.push_back(std::move(team));
  }
  for (const auto& [tenant, place] : places) {
    if (!tenant.second.empty()) continue;
    for (const auto& [service, other] : places) {
      if (!service.first.empty() || plan->team_by_task[tenant] == plan->team_by_task[service] ||
          places.contains({tenant.first, service.second}))
        continue;
      reader.AddError(place, "and " + other + " both list service \"" + service.second + "\" of tenant \"" +
                                 tenant.first + "\", write {\"tenant\": \"" + tenant.first +
                                 "\", \"service\": \"" + service.second +
                                 "\"} under the team that pays for it");
    }
  }
}

}  // namespace

Money Team::NewTaskLimit(int class_index) const {
  return static_cast<Money>(Int128{cap} * steps[static_cast<std::size_t>(class_index)].no_new_tasks /
                            1'000'000);
}
Money Team::HardStopLimit(int class_index) const {
  return static_cast<Money>(Int128{cap} * steps[static_cast<std::size_t>(class_index)].hard_stop / 1'000'000);
}

int Plan::FindTeam(const std::string& tenant, const std::string& service) const {
  const std::pair<std::string, std::string> keys[] = {{tenant, service}, {tenant, ""}, {"", service}};
  for (const auto& key : keys) {
    const auto it = team_by_task.find(key);
    if (it != team_by_task.end()) return it->second;
  }
  return -1;
}

int Plan::FindTeamByName(const std::string& team) const {
  const auto it = std::ranges::find(teams, team, &Team::name);
  return it == teams.end() ? -1 : static_cast<int>(it - teams.begin());
}

Plan ParsePlan(const json& document, const std::string& file, const Deployment& deployment) {
  PlanReader reader(file, deployment);
  Plan plan;
  if (!reader.Object(document, "", {"version", "currency", "teams", "tariffs", "terms"}))
    reader.ThrowIfInvalid();
  std::int64_t version = 1;
  std::string currency;
  if (!document.contains("version")) reader.AddError("version", "is missing, write 1");
  reader.ReadScaledNumber(document, "", "version", 1, 1, 1, &version);
  // The currency is only for readers of the file: all amounts are in one currency.
  reader.ReadText(document, "", "currency", &currency);
  ReadTariffs(reader, document, deployment, &plan);
  ReadTeams(reader, document, deployment, &plan);
  const auto terms = document.find("terms");
  if (terms != document.end() &&
      reader.Object(*terms, "terms",
                    {"unknown_runs_s", "lost_kept_s", "ask_kept_s", "draw_again_ms", "ledger_silent_ms"})) {
    reader.ReadScaledNumber(*terms, "terms", "unknown_runs_s", 1, 2'592'000, 1e9, &plan.default_remaining);
    reader.ReadScaledNumber(*terms, "terms", "lost_kept_s", 0, 86'400, 1e9, &plan.lost_task_retention);
    reader.ReadScaledNumber(*terms, "terms", "ask_kept_s", 1, 3'600, 1e9, &plan.reservation_timeout);
    reader.ReadScaledNumber(*terms, "terms", "draw_again_ms", 100, 60'000, 1e6, &plan.draw_retry_interval);
    reader.ReadScaledNumber(*terms, "terms", "ledger_silent_ms", 100, 600'000, 1e6, &plan.ledger_timeout);
  }
  reader.ThrowIfInvalid();
  return plan;
}

Plan LoadPlan(const std::string& file, const Deployment& deployment) {
  return ParsePlan(json_files::LoadDocument(file), file, deployment);
}

}  // namespace cluster_manager::spending
