// The operators' files of deploy/, kept here as existing installations have them: each is read, each value
// arrives from its key, and a key that is changed by one letter is refused.
#include <doctest/doctest.h>

#include <exception>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "budgets/budget_file.h"
#include "spending/plan.h"
#include "zone_failover/plan.h"

namespace cluster_manager {
namespace {

using nlohmann::json;
using Pointer = json::json_pointer;

constexpr std::int64_t kMillisecond = 1'000'000, kSecondLong = 1'000 * kMillisecond;

std::string DataFile(const std::string& name) { return std::string(WILLOWRAIL_TEST_DATA "/") + name; }

json Read(const std::string& name) {
  std::ifstream file(DataFile(name));
  REQUIRE_MESSAGE(file.good(), "cannot read " << DataFile(name));
  return json::parse(file);
}

void CollectKeys(const json& in, const Pointer& at, std::vector<Pointer>* keys) {
  if (in.is_object()) {
    for (const auto& [key, value] : in.items()) {
      keys->push_back(at / key);
      CollectKeys(value, at / key, keys);
    }
  } else if (in.is_array()) {
    for (std::size_t i = 0; i < in.size(); ++i) CollectKeys(in[i], at / i, keys);
  }
}

// Each key of the document, changed in its last letter, is refused by the reader.
void CheckRenamedKeysRefused(const json& document, const std::function<void(const json&)>& read) {
  REQUIRE_NOTHROW(read(document));
  std::vector<Pointer> keys;
  CollectKeys(document, Pointer(), &keys);
  for (const Pointer& at : keys) {
    json changed = document;
    json& object = changed[at.parent_pointer()];
    std::string name = at.back();
    json value = object[name];
    object.erase(name);
    name.back() = name.back() == 'q' ? 'p' : 'q';
    object[name] = std::move(value);
    CAPTURE(at.to_string());
    CHECK_THROWS_AS(read(changed), std::exception);
  }
}

// --- sites.json

zone_failover::Deployment TwoClasses() {
  return {{"hall-a", "hall-b"}, {"web-api", "settlement"}, {2, 1}, 1, 0};
}

TEST_CASE("the kept sites.json is read with the values in it") {
  const zone_failover::Plan plan = zone_failover::LoadPlan(DataFile("sites.json"), TwoClasses());
  CHECK(plan.version == 1);
  CHECK(plan.health_monitor.suspect_share == 0.4);
  CHECK(plan.health_monitor.min_silent_nodes == 4);
  CHECK(plan.health_monitor.evidence_window == 2'000 * kMillisecond);
  CHECK(plan.health_monitor.silence_threshold == 400 * kMillisecond);
  CHECK(plan.health_monitor.confirmation_time == 300 * kMillisecond);
  CHECK(plan.health_monitor.check_interval == 1'000 * kMillisecond);
  CHECK(plan.health_monitor.nodes_per_check == 6);
  CHECK(plan.health_monitor.recovered_share == 0.25);
  CHECK(plan.health_monitor.recovery_hold == 500 * kMillisecond);
  CHECK(plan.health_monitor.max_recovery_hold == 16'000 * kMillisecond);
  CHECK(plan.health_monitor.relapse_window == 30'000 * kMillisecond);
  CHECK(plan.capacity_reserve == 0.1);
  CHECK(plan.cores_overcommit == 1.4);
  CHECK(plan.memory_overcommit == 1.2);
  CHECK(plan.bound_request_policies ==
        std::vector<zone_failover::BoundRequestPolicy>{zone_failover::BoundRequestPolicy::kWait,
                                                       zone_failover::BoundRequestPolicy::kWait});
  CHECK(plan.admission.planning_horizon == 2'000 * kMillisecond);
  CHECK(plan.admission.raise_delay == 1'000 * kMillisecond);
  CHECK(plan.admission.raise_margin == 0.9);
  CHECK(plan.admission.share_step == 0.1);
  CHECK(plan.recovery_ramp.initial_rate == 0.5);
  CHECK(plan.recovery_ramp.rate_factor == 2);
  CHECK(plan.recovery_ramp.step_duration == 1'000 * kMillisecond);
  CHECK(plan.recovery_ramp.complete_rate == 8);
  CHECK(plan.recovery_ramp.min_success_share == 0.8);
  CHECK(plan.min_retry_after == 300 * kMillisecond);
  CHECK(plan.max_retry_after == 3'000 * kMillisecond);
  CHECK(plan.rank_count() == 8);
}

// Each key that a plan may have, with a value that is not the default.
json EverySitesKey() {
  return {{"version", 1},
          {"verdict",
           {{"suspect_share", 0.5},
            {"least_nodes", 3},
            {"window_ms", 2001},
            {"quiet_ms", 401},
            {"lost_after_ms", 301},
            {"ask_again_ms", 1001},
            {"asked_at_once", 7}}},
          {"load",
           {{"reserve", 0.25},
            {"fill_cores", 1.5},
            {"fill_memory", 1.25},
            {"tied", {{"web-api", "refuse"}, {"settlement", "wait"}}}}},
          {"admission",
           {{"horizon_ms", 2002},
            {"calm_ms", 1002},
            {"margin", 0.75},
            {"share_step", 0.125},
            {"order",
             {{{"class", "web-api"}, {"over_share", false}, {"retry", true}, {"large", true}},
              {{"class", "*"}}}}}},
          {"return",
           {{"first_per_s", 0.75},
            {"factor", 3},
            {"step_ms", 1003},
            {"complete_per_s", 9},
            {"good", 0.5},
            {"come_back", 0.375},
            {"hold_ms", 501},
            {"hold_most_ms", 16'001},
            {"relapse_within_ms", 30'001}}},
          {"refusals", {{"away_least_ms", 302}, {"away_most_ms", 3002}}}};
}

TEST_CASE("each key that sites.json may have carries its value") {
  const zone_failover::Plan plan = zone_failover::ReadPlan(EverySitesKey(), "sites.json", TwoClasses());
  CHECK(plan.health_monitor.suspect_share == 0.5);
  CHECK(plan.health_monitor.min_silent_nodes == 3);
  CHECK(plan.health_monitor.evidence_window == 2'001 * kMillisecond);
  CHECK(plan.health_monitor.silence_threshold == 401 * kMillisecond);
  CHECK(plan.health_monitor.confirmation_time == 301 * kMillisecond);
  CHECK(plan.health_monitor.check_interval == 1'001 * kMillisecond);
  CHECK(plan.health_monitor.nodes_per_check == 7);
  CHECK(plan.health_monitor.recovered_share == 0.375);
  CHECK(plan.health_monitor.recovery_hold == 501 * kMillisecond);
  CHECK(plan.health_monitor.max_recovery_hold == 16'001 * kMillisecond);
  CHECK(plan.health_monitor.relapse_window == 30'001 * kMillisecond);
  CHECK(plan.capacity_reserve == 0.25);
  CHECK(plan.cores_overcommit == 1.5);
  CHECK(plan.memory_overcommit == 1.25);
  CHECK(plan.bound_request_policies ==
        std::vector<zone_failover::BoundRequestPolicy>{zone_failover::BoundRequestPolicy::kReject,
                                                       zone_failover::BoundRequestPolicy::kWait});
  CHECK(plan.admission.planning_horizon == 2'002 * kMillisecond);
  CHECK(plan.admission.raise_delay == 1'002 * kMillisecond);
  CHECK(plan.admission.raise_margin == 0.75);
  CHECK(plan.admission.share_step == 0.125);
  REQUIRE(plan.rank_count() == 2);
  CHECK(plan.rank_rules[0].class_index == 0);
  CHECK(plan.rank_rules[0].over_share == 0);
  CHECK(plan.rank_rules[0].retry == 1);
  CHECK(plan.rank_rules[0].large == 1);
  CHECK(plan.rank_rules[1].class_index == zone_failover::RankRule::kAny);
  CHECK(plan.recovery_ramp.initial_rate == 0.75);
  CHECK(plan.recovery_ramp.rate_factor == 3);
  CHECK(plan.recovery_ramp.step_duration == 1'003 * kMillisecond);
  CHECK(plan.recovery_ramp.complete_rate == 9);
  CHECK(plan.recovery_ramp.min_success_share == 0.5);
  CHECK(plan.min_retry_after == 302 * kMillisecond);
  CHECK(plan.max_retry_after == 3'002 * kMillisecond);
}

TEST_CASE("a key of sites.json that is changed by one letter is refused") {
  const auto read = [](const json& document) {
    zone_failover::ReadPlan(document, "sites.json", TwoClasses());
  };
  CheckRenamedKeysRefused(Read("sites.json"), read);
  CheckRenamedKeysRefused(EverySitesKey(), read);
}

// --- budgets.json

TEST_CASE("the kept budgets.json is read with the values in it") {
  const budgets::BudgetFile file = budgets::LoadBudgets(DataFile("budgets.json"));
  CHECK(file.version == 1);
  REQUIRE(file.members.size() == 5);
  for (std::size_t i = 0; i < file.members.size(); ++i) {
    CHECK(file.members[i].id == i);
    CHECK(file.members[i].name == "n" + std::to_string(i));
    CHECK(file.members[i].weight == 1);
  }
  CHECK(file.lease_duration == 3'000 * kMillisecond);
  CHECK(file.max_clock_skew == 200 * kMillisecond);
  CHECK(file.report_interval == 250 * kMillisecond);
  CHECK(file.guarantee_duration == 0);
  CHECK(file.hysteresis == 100'000);
  CHECK(file.max_change_per_second == 500'000);
  CHECK(file.max_keys == 4096);
  CHECK(file.rules.size() == 9);
}

struct ExpectedRule {
  const char* name;
  const char* pattern;
  budgets::Kind kind;
  double whole, grain;
  std::int64_t window_ms, linger_ms;
  budgets::Micro floor_share;
};

TEST_CASE("the budgets of the kept budgets.json are read in their order") {
  using budgets::Kind;
  const std::vector<ExpectedRule> expected = {
      {"cold_starts", "*", Kind::kRate, 4, 1, 1500, 0, 0},
      {"retries", "*", Kind::kRate, 100, 1, 1000, 0, 500'000},
      {"site_return", "*", Kind::kRate, 8, 1, 1000, 0, 500'000},
      {"tenant_cores", "batch-*", Kind::kConcurrency, 40, 1, 1000, 0, 250'000},
      {"tenant_cores", "*", Kind::kConcurrency, 200, 1, 1000, 0, 500'000},
      {"class_rate", "settlement", Kind::kRate, 50, 1, 1000, 0, 500'000},
      {"node_attempts", "*", Kind::kConcurrency, 10, 1, 1000, 2000, 500'000},
      {"reservations", "*", Kind::kConcurrency, 1, 1, 1000, 2000, 0},
      {"spending", "payments/*", Kind::kAmount, 12'000, 0.01, 1000, 0, 0}};
  const budgets::BudgetFile file = budgets::LoadBudgets(DataFile("budgets.json"));
  REQUIRE(file.rules.size() == expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    CAPTURE(i);
    const budgets::Rule& rule = file.rules[i];
    CHECK(rule.name == expected[i].name);
    CHECK(rule.pattern == expected[i].pattern);
    CHECK(rule.kind == expected[i].kind);
    CHECK(static_cast<double>(rule.limit) == expected[i].whole * 1e6);
    CHECK(static_cast<double>(rule.granularity) == expected[i].grain * 1e6);
    CHECK(rule.window == expected[i].window_ms * kMillisecond);
    CHECK(rule.max_hold_time == expected[i].linger_ms * kMillisecond);
    CHECK(rule.guaranteed_fraction == expected[i].floor_share);
  }
  CHECK(file.rules[5].explicit_guarantees == std::map<std::string, budgets::Micro>{{"n0", 20'000'000}});
}

TEST_CASE("each key of budgets.json that the kept one leaves at its default carries its value") {
  json document = Read("budgets.json");
  document["lease_ms"] = 3001;
  document["skew_ms"] = 201;
  document["report_ms"] = 251;
  document["floor_lease_ms"] = 9000;
  document["hysteresis"] = 0.125;
  document["max_move_per_s"] = 0.25;
  document["most_keys"] = 17;
  document["members"][1]["weight"] = 2;
  const budgets::BudgetFile file = budgets::ReadBudgets(document, "budgets.json");
  CHECK(file.lease_duration == 3'001 * kMillisecond);
  CHECK(file.max_clock_skew == 201 * kMillisecond);
  CHECK(file.report_interval == 251 * kMillisecond);
  CHECK(file.guarantee_duration == 9'000 * kMillisecond);
  CHECK(file.hysteresis == 125'000);
  CHECK(file.max_change_per_second == 250'000);
  CHECK(file.max_keys == 17);
  CHECK(file.members[1].weight == 2);
}

TEST_CASE("a key of budgets.json that is changed by one letter is refused") {
  json document = Read("budgets.json");
  document["members"][1]["weight"] = 2;
  CheckRenamedKeysRefused(document,
                          [](const json& changed) { budgets::ReadBudgets(changed, "budgets.json"); });
}

// --- spending.json

spending::Deployment Payments() { return {{"web-api", "settlement"}, {"std"}, {}, 1, 0, 3 * kSecondLong}; }

TEST_CASE("the kept spending.json is read with the values in it") {
  const spending::Plan plan = spending::LoadPlan(DataFile("spending.json"), Payments());
  REQUIRE(plan.teams.size() == 1);
  const spending::Team& team = plan.teams[0];
  CHECK(team.name == "payments");
  CHECK(team.cap == 12'000 * spending::kUnit);
  CHECK(team.quantile_ppm == 900'000);
  CHECK(team.time_zone.OffsetAt(*spending::ParseInstant("2026-01-15T00:00:00Z")) == 3600);
  CHECK(team.time_zone.OffsetAt(*spending::ParseInstant("2026-07-15T00:00:00Z")) == 7200);
  REQUIRE(team.steps.size() == 2);
  CHECK(team.steps[0].notice == 750'000);
  CHECK(team.steps[0].no_new_tasks == 900'000);
  CHECK(team.steps[0].hard_stop == 1'000'000);
  CHECK(team.steps[1].notice == 900'000);
  CHECK(team.steps[1].no_new_tasks == 1'000'000);
  CHECK(team.steps[1].hard_stop == 1'050'000);
  CHECK(plan.team_by_task == std::map<std::pair<std::string, std::string>, int>{{{"", "payments"}, 0}});
  CHECK(plan.default_remaining == 3600 * kSecondLong);
  CHECK(plan.lost_task_retention == 600 * kSecondLong);
  CHECK(plan.reservation_timeout == 30 * kSecondLong);
  CHECK(plan.draw_retry_interval == 1'000 * kMillisecond);
  CHECK(plan.ledger_timeout == 10'000 * kMillisecond);
}

// What an hour of the size costs from the instant on, in micro-units.
spending::Money HourFrom(const spending::Plan& plan, const spending::TaskSize& size,
                         const std::string& instant) {
  const spending::Seconds from = *spending::ParseInstant(instant);
  return spending::Tariffs::RoundUp(plan.tariffs.CostParts(size, 0, from, from + 3600));
}

TEST_CASE("the tariffs of the kept spending.json price a core, a GiB and a worker by date") {
  const spending::Plan plan = spending::LoadPlan(DataFile("spending.json"), Payments());
  const spending::TaskSize nothing, core{1000, 0}, gib{0, 1024};
  CHECK(HourFrom(plan, nothing, "2026-02-01T00:00:00Z") == 1'000);
  CHECK(HourFrom(plan, core, "2026-02-01T00:00:00Z") == 43'000);
  CHECK(HourFrom(plan, gib, "2026-02-01T00:00:00Z") == 6'500);
  CHECK(HourFrom(plan, core, "2026-06-30T23:00:00Z") == 43'000);
  CHECK(HourFrom(plan, core, "2026-07-01T00:00:00Z") == 46'000);
  CHECK(HourFrom(plan, gib, "2026-07-01T00:00:00Z") == 6'500);
}

TEST_CASE("each key of spending.json that the kept one leaves at its default carries its value") {
  json document = Read("spending.json");
  document["teams"][0]["quantile"] = 0.75;
  document["teams"][0]["members"].push_back({{"tenant", "shop one"}});
  document["terms"] = {{"unknown_runs_s", 3601},
                       {"lost_kept_s", 601},
                       {"ask_kept_s", 31},
                       {"draw_again_ms", 1001},
                       {"ledger_silent_ms", 10'001}};
  const spending::Plan plan = spending::ParsePlan(document, "spending.json", Payments());
  CHECK(plan.teams[0].quantile_ppm == 750'000);
  CHECK(plan.FindTeam("shop one", "other") == 0);
  CHECK(plan.default_remaining == 3601 * kSecondLong);
  CHECK(plan.lost_task_retention == 601 * kSecondLong);
  CHECK(plan.reservation_timeout == 31 * kSecondLong);
  CHECK(plan.draw_retry_interval == 1'001 * kMillisecond);
  CHECK(plan.ledger_timeout == 10'001 * kMillisecond);
}

TEST_CASE("a key of spending.json that is changed by one letter is refused") {
  json document = Read("spending.json");
  document["teams"][0]["members"].push_back({{"tenant", "shop one"}});
  CheckRenamedKeysRefused(
      document, [](const json& changed) { spending::ParsePlan(changed, "spending.json", Payments()); });
}

}  // namespace
}  // namespace cluster_manager
