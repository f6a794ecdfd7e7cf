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

std::string At(const std::string& place, std::size_t i) { return place + "[" + std::to_string(i) + "]"; }

// The kinds of fields that a spending plan has.
class Reader : public json_files::DocumentChecker {
 public:
  Reader(std::string file, const Deployment& deployment)
      : DocumentChecker(std::move(file), kMostErrors, kMostShown), deployment_(deployment) {}

  const json* List(const json& in, const std::string& place, const char* name, std::size_t most) {
    const auto it = in.find(name);
    if (it == in.end()) {
      AddError(JoinPath(place, name), "is missing, write a list");
      return nullptr;
    }
    if (!it->is_array() || it->empty() || it->size() > most) {
      AddError(JoinPath(place, name),
               "is " + FormatValue(*it) + ", write a list of 1 to " + std::to_string(most));
      return nullptr;
    }
    return &*it;
  }
  // Whole numbers of `unit` from a number in the file.
  void Figure(const json& in, const std::string& place, const char* name, double least, double most,
              double unit, std::int64_t* to) {
    const auto it = in.find(name);
    if (it == in.end()) return;
    if (!Number(*it, JoinPath(place, name), least, most)) return;
    *to = static_cast<std::int64_t>(it->get<double>() * unit + 0.5);
  }
  bool Amount(const json& in, const std::string& place, const char* name, Money* to) {
    const auto it = in.find(name);
    if (it == in.end()) {
      AddError(JoinPath(place, name), std::string("is missing, write ") + kAmount);
      return false;
    }
    std::optional<Money> read;
    if (it->is_string()) read = MoneyNamed(it->get<std::string>());
    if (it->is_number_unsigned()) read = MoneyNamed(it->dump());
    if (!read) AddError(JoinPath(place, name), "is " + FormatValue(*it) + ", write " + kAmount);
    if (read) *to = *read;
    return read.has_value();
  }
  bool Text(const json& in, const std::string& place, const char* name, std::string* to) {
    const auto it = in.find(name);
    if (it == in.end()) return false;
    if (!it->is_string() || it->get_ref<const std::string&>().empty() ||
        it->get_ref<const std::string&>().size() > 200) {
      AddError(JoinPath(place, name), "is " + FormatValue(*it) + ", write a text of 1 to 200 bytes");
      return false;
    }
    *to = it->get<std::string>();
    return true;
  }

 private:
  static constexpr std::size_t kMostErrors = 50;
  static constexpr std::size_t kMostShown = 60;  // bytes of a value
  static constexpr const char* kAmount =
      "an amount from \"0\" to \"1000000000000\" with at most six places, as text";
  const Deployment& deployment_;
};

void ReadTariffs(Reader& read, const json& document, const Deployment& deployment, Plan* plan) {
  const json* list = read.List(document, "", "tariffs", 1000);
  std::vector<Tariffs::Dated> dated;
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    const json& each = (*list)[i];
    const std::string place = At("tariffs", i);
    if (!read.Object(each, place, {"from", "kinds"})) continue;
    Tariffs::Dated made;
    const auto from = each.find("from");
    const std::optional<Seconds> at =
        from != each.end() && from->is_string() ? InstantNamed(from->get<std::string>()) : std::nullopt;
    if (!at) {
      read.AddError(place + ".from", (from == each.end() ? "is missing" : "is " + read.FormatValue(*from)) +
                                         ", write an instant as \"2026-03-01T00:00:00Z\"");
    } else if (!dated.empty() && *at <= dated.back().from) {
      read.AddError(place + ".from", "is " + from->dump() +
                                         ", write an instant after the tariff before it, " +
                                         InstantName(dated.back().from));
    }
    made.from = at.value_or(0);
    const auto kinds = each.find("kinds");
    std::vector<std::string> names = deployment.kinds;
    names.push_back("*");
    if (kinds == each.end()) {
      read.AddError(place + ".kinds",
                    "is missing, write an object with prices by node kind, \"*\" for all others");
    } else if (read.Object(*kinds, place + ".kinds", names)) {
      const auto prices = [&](const std::string& name) {
        Prices price;
        const std::string here = place + ".kinds." + name;
        const json& in = (*kinds)[name];
        if (!read.Object(in, here, {"core_hour", "gib_hour", "worker_hour"})) return price;
        read.Amount(in, here, "core_hour", &price.core_hour);
        read.Amount(in, here, "gib_hour", &price.gib_hour);
        if (in.contains("worker_hour")) read.Amount(in, here, "worker_hour", &price.task_hour);
        if (price.core_hour + price.gib_hour + price.task_hour > kMostPrice)
          read.AddError(here, "sums to " + MoneyText(price.core_hour + price.gib_hour + price.task_hour) +
                                  " an hour, write prices of at most " + MoneyText(kMostPrice) + " together");
        return price;
      };
      if (!kinds->contains("*")) {
        read.AddError(place + ".kinds.*", "is missing, write what a node costs whose kind is not named");
      } else {
        const Prices others = prices("*");
        for (const std::string& kind : deployment.kinds)
          made.kinds.push_back(kinds->contains(kind) ? prices(kind) : others);
        made.kinds.push_back(others);
      }
    }
    dated.push_back(std::move(made));
  }
  plan->tariffs = Tariffs(std::move(dated));
}

void ReadSteps(Reader& read, const json& in, const std::string& place, const Deployment& deployment,
               Team* team) {
  team->steps.assign(deployment.classes.size(), {});
  const auto it = in.find("steps");
  if (it == in.end()) return;
  std::vector<std::string> names = deployment.classes;
  names.insert(names.begin(), "*");
  if (!read.Object(*it, place + ".steps", names)) return;
  const auto one = [&](const std::string& name, Steps* to) {
    const json& steps = (*it)[name];
    const std::string here = place + ".steps." + name;
    if (!read.Object(steps, here, {"notice", "no_more_workers", "hard_stop"})) return;
    read.Figure(steps, here, "notice", 0, 1, 1e6, &to->notice);
    read.Figure(steps, here, "no_more_workers", 0, 1, 1e6, &to->no_more);
    read.Figure(steps, here, "hard_stop", 0, 10, 1e6, &to->hard);
    if (to->notice > to->no_more)
      read.AddError(here + ".notice", "is " +
                                          json_files::FormatNumber(static_cast<double>(to->notice) / 1e6) +
                                          ", write at most no_more_workers, " +
                                          json_files::FormatNumber(static_cast<double>(to->no_more) / 1e6));
    if (to->hard < to->no_more)
      read.AddError(here + ".hard_stop",
                    "is " + json_files::FormatNumber(static_cast<double>(to->hard) / 1e6) +
                        ", write at least no_more_workers, " +
                        json_files::FormatNumber(static_cast<double>(to->no_more) / 1e6));
  };
  if (it->contains("*")) {
    Steps all;
    one("*", &all);
    team->steps.assign(deployment.classes.size(), all);
  }
  for (std::size_t i = 0; i < deployment.classes.size(); ++i) {
    if (it->contains(deployment.classes[i])) one(deployment.classes[i], &team->steps[i]);
  }
}

void ReadTeams(Reader& read, const json& document, const Deployment& deployment, Plan* plan) {
  const json* list = read.List(document, "", "teams", 10'000);
  std::map<std::pair<std::string, std::string>, std::string> places;
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    const json& each = (*list)[i];
    const std::string place = At("teams", i);
    Team team;
    if (!read.Object(each, place, {"name", "zone", "cap", "quantile", "members", "steps"})) continue;
    if (!each.contains("name")) read.AddError(place + ".name", "is missing, write a text");
    if (read.Text(each, place, "name", &team.name) && plan->Named(team.name) >= 0)
      read.AddError(place + ".name", "is \"" + team.name + "\", which teams[" +
                                         std::to_string(plan->Named(team.name)) +
                                         "] is already, write another");
    std::string rule, why;
    if (!each.contains("zone")) {
      read.AddError(place + ".zone",
                    "is missing, write a rule as \"CET-1CEST,M3.5.0,M10.5.0/3\" or \"UTC0\"");
    } else if (read.Text(each, place, "zone", &rule)) {
      const std::optional<Zone> zone = Zone::Parse(rule, &why);
      if (!zone)
        read.AddError(place + ".zone", "is \"" + rule + "\", " + why +
                                           "; write a rule as \"CET-1CEST,M3.5.0,M10.5.0/3\" or \"UTC0\"");
      team.zone = zone.value_or(Zone());
    }
    read.Amount(each, place, "cap", &team.cap);
    read.Figure(each, place, "quantile", 0.5, 0.999, 1e6, &team.quantile_ppm);
    ReadSteps(read, each, place, deployment, &team);
    const json* members = read.List(each, place, "members", 10'000);
    for (std::size_t k = 0; members != nullptr && k < members->size(); ++k) {
      const std::string here = At(place + ".members", k);
      const json& claim = (*members)[k];
      if (!read.Object(claim, here, {"tenant", "service"})) continue;
      std::string tenant, service;
      read.Text(claim, here, "tenant", &tenant);
      read.Text(claim, here, "service", &service);
      if (!claim.contains("tenant") && !claim.contains("service"))
        read.AddError(here, "is {}, write a tenant, a service or both");
      if (tenant.empty() && service.empty()) continue;
      if (!tenant.empty() && !deployment.tenants.empty() &&
          std::ranges::find(deployment.tenants, tenant) == deployment.tenants.end())
        read.AddError(here + ".tenant", "is \"" + tenant + "\", write a tenant of the settings: " +
                                            JoinList(deployment.tenants));
      const auto [known, fresh] = places.emplace(std::pair(tenant, service), here);
      if (!fresh) {
        read.AddError(here, "is " + claim.dump() + ", which " + known->second +
                                " claims already, take one of them out");
      } else {
        plan->claims[{tenant, service}] = static_cast<int>(i);
      }
    }
    plan->teams.resize(i);  // one that was no object holds its place
    plan->teams.push_back(std::move(team));
  }
  for (const auto& [tenant, place] : places) {
    if (!tenant.second.empty()) continue;
    for (const auto& [service, other] : places) {
      if (!service.first.empty() || plan->claims[tenant] == plan->claims[service] ||
          places.contains({tenant.first, service.second}))
        continue;
      read.AddError(place, "and " + other + " both claim service \"" + service.second + "\" of tenant \"" +
                               tenant.first + "\", write {\"tenant\": \"" + tenant.first +
                               "\", \"service\": \"" + service.second +
                               "\"} under the team that pays for it");
    }
  }
}

}  // namespace

Money Team::Line(int class_index) const {
  return static_cast<Money>(Wide{cap} * steps[static_cast<std::size_t>(class_index)].no_more / 1'000'000);
}
Money Team::HardLine(int class_index) const {
  return static_cast<Money>(Wide{cap} * steps[static_cast<std::size_t>(class_index)].hard / 1'000'000);
}

int Plan::TeamOf(const std::string& tenant, const std::string& service) const {
  const std::pair<std::string, std::string> ways[] = {{tenant, service}, {tenant, ""}, {"", service}};
  for (const auto& way : ways) {
    const auto it = claims.find(way);
    if (it != claims.end()) return it->second;
  }
  return -1;
}

int Plan::Named(const std::string& team) const {
  const auto it = std::ranges::find(teams, team, &Team::name);
  return it == teams.end() ? -1 : static_cast<int>(it - teams.begin());
}

Plan ReadPlan(const json& document, const std::string& file, const Deployment& deployment) {
  Reader read(file, deployment);
  Plan plan;
  if (!read.Object(document, "", {"version", "currency", "teams", "tariffs", "terms"})) read.ThrowIfInvalid();
  std::int64_t version = 1;
  std::string currency;
  if (!document.contains("version")) read.AddError("version", "is missing, write 1");
  read.Figure(document, "", "version", 1, 1, 1, &version);
  read.Text(document, "", "currency", &currency);  // for who reads the file; amounts are of one currency
  ReadTariffs(read, document, deployment, &plan);
  ReadTeams(read, document, deployment, &plan);
  const auto terms = document.find("terms");
  if (terms != document.end() &&
      read.Object(*terms, "terms",
                  {"unknown_runs_s", "lost_kept_s", "ask_kept_s", "draw_again_ms", "ledger_silent_ms"})) {
    read.Figure(*terms, "terms", "unknown_runs_s", 1, 2'592'000, 1e9, &plan.unknown_runs);
    read.Figure(*terms, "terms", "lost_kept_s", 0, 86'400, 1e9, &plan.lost_kept);
    read.Figure(*terms, "terms", "ask_kept_s", 1, 3'600, 1e9, &plan.ask_kept);
    read.Figure(*terms, "terms", "draw_again_ms", 100, 60'000, 1e6, &plan.draw_again);
    read.Figure(*terms, "terms", "ledger_silent_ms", 100, 600'000, 1e6, &plan.ledger_silent);
  }
  read.ThrowIfInvalid();
  return plan;
}

Plan LoadPlan(const std::string& file, const Deployment& deployment) {
  return ReadPlan(json_files::LoadDocument(file), file, deployment);
}

}  // namespace cluster_manager::spending
