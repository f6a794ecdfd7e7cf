// The budgets document, the division, and single scenarios of the ledger and the member shares.
#include <algorithm>
#include <fstream>
#include <numeric>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include "budgets/division.h"
#include "budgets_simulation.h"

namespace cluster_manager::budgets {
namespace {

using nlohmann::json;

std::string ReadError(const json& document) {
  try {
    ReadBudgets(document, "b.json");
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("budgets document: the delivered one passes schema and reader and survives a round trip") {
  std::ifstream file(WILLOWRAIL_DEPLOY "/budgets.json"),
      schema_file(WILLOWRAIL_DEPLOY "/budgets.schema.json");
  const json document = json::parse(file), schema_json = json::parse(schema_file);
  valijson::Schema schema;
  valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json), schema);
  const auto matches_schema = [&](const json& each) {
    return valijson::Validator().validate(schema, valijson::adapters::NlohmannJsonAdapter(each), nullptr);
  };
  CHECK(matches_schema(document));
  const BudgetFile budgets = ReadBudgets(document, "b.json");
  CHECK(matches_schema(ToJson(budgets)));
  CHECK(ToJson(ReadBudgets(ToJson(budgets), "b.json")) == ToJson(budgets));
  CHECK(budgets.FindRule("tenant_cores", "batch-7") == 3);
  CHECK(budgets.FindRule("tenant_cores", "web") == 4);
  CHECK(budgets.FindRule("class_rate", "web-api") == -1);
  CHECK(budgets.GuaranteedShare(5, 0) == 20 * kUnit);
  CHECK(budgets.GuaranteedShare(5, 1) == 5 * kUnit);
  CHECK(budgets.GuaranteedShare(8, 1) == 0);
  json unknown_budget = document;
  unknown_budget["budgets"][0]["name"] = "warm_starts";
  CHECK_FALSE(matches_schema(unknown_budget));
}

TEST_CASE("budgets document: all errors are reported at once with place, value and legal values") {
  const json valid{{"version", 1},
                   {"members", {{{"id", 0}, {"name", "a"}}, {{"id", 1}, {"name", "b"}}}},
                   {"budgets", {{{"name", "retries"}, {"whole", 10}}}}};
  CHECK(ReadError(valid) == "");
  const auto error_with = [&](const char* place, const json& value) {
    json changed = valid;
    changed[json::json_pointer(place)] = value;
    return ReadError(changed);
  };
  CHECK(error_with("/budgets/0/whole", 0.1234567) ==
        "b.json: budgets[0].whole: is 0.1234567, write a multiple of 1e-06");
  CHECK(error_with("/budgets/0/whole", "ten") ==
        "b.json: budgets[0].whole: is \"ten\", write a number from 0 to 1000000000");
  CHECK(error_with("/budgets/0/floors", {{"a", 9}}) ==
        "b.json: budgets[0].floors: sum to 11, write at most the limit (whole) of 10");
  CHECK(error_with("/budgets/0/floors", {{"c", 9}}) ==
        "b.json: budgets[0].floors.c: is not known here, write one of: a, b");
  CHECK(error_with("/budgets/0/linger_ms", 5) ==
        "b.json: budgets[0].linger_ms: is 5, leave it out: retries is not a concurrency budget");
  CHECK(error_with("/budgets/1", {{"name", "spending"}, {"whole", 1}, {"floor_share", 0.5}})
            .find("an amount budget has no guaranteed shares") != std::string::npos);
  CHECK(error_with("/budgets/1", {{"name", "retries"}, {"key", "x*"}, {"whole", 1}}).find("never matches") !=
        std::string::npos);
  CHECK(error_with("/members/1/id", 0) == "b.json: members: has the id 0 twice, write each once");
  CHECK(error_with("/skew_ms", 1000) == "b.json: lease_ms: is 3000, write at least 4 * skew_ms, 4000");
  CHECK(error_with("/report_ms", 800) == "b.json: report_ms: is 800, write at most lease_ms / 4, 750");
  const std::string two_errors = error_with("/leese_ms", 1) + "\n" + error_with("/version", 2);
  CHECK(std::ranges::count(two_errors, '\n') == 1);
  CHECK(ReadError(json::array()).find("b.json: the document: is [], write an object") == 0);
  CHECK_THROWS_WITH(LoadBudgets("/nowhere.json"), "/nowhere.json: cannot be read");
}

TEST_CASE("division: exact sums and weighted max-min fairness in 3000 random cases") {
  pcg32 random(5);
  for (int round = 0; round < 3000; ++round) {
    const auto below = [&](std::uint32_t bound) { return static_cast<Micro>(random(bound)); };
    const Micro granularity = round % 3 == 0 ? 1 : round % 3 == 1 ? 1000 : kUnit;
    std::vector<MemberDemand> demands(1 + random(12));
    Micro pool = below(200) * kUnit, leased = 0;
    for (MemberDemand& demand : demands) {
      demand.weight = 1 + below(3);
      demand.guaranteed = below(4) * kUnit;
      demand.observed = below(4) == 0 ? 0 : below(60'000'000);
      demand.forecast = demand.observed + below(10'000'000);
      demand.current = below(2) == 0 ? 0 : below(20) * kUnit;
      demand.eligible = below(8) > 0;
      leased += demand.current;
    }
    DivisionParameters parameters{granularity, 0, 0, below(100)};
    const std::vector<Micro> leases = Divide(pool, demands, parameters);
    REQUIRE(leases.size() == demands.size());
    CHECK(std::accumulate(leases.begin(), leases.end(), Micro{0}) <= pool);
    CHECK(leases == Divide(pool, demands, parameters));
    // Weighted max-min fairness: a member with less than it demands has, per unit of weight and within a few
    // granules, no less than any other member with a lease beyond its guaranteed share.
    for (std::size_t i = 0; i < demands.size(); ++i) {
      CHECK(leases[i] >= 0);
      if (!demands[i].eligible) CHECK(leases[i] == 0);
      if (!demands[i].eligible || demands[i].guaranteed + leases[i] >= demands[i].observed) continue;
      const auto share_per_weight = [&](std::size_t k) {
        return static_cast<double>(demands[k].guaranteed + leases[k]) /
               static_cast<double>(demands[k].weight);
      };
      for (std::size_t k = 0; k < demands.size(); ++k) {
        // The remainder is given in single granules, also to members that have reached their level.
        const Micro tolerance = 5 * granularity + 100;
        if (leases[k] > tolerance)
          CHECK(share_per_weight(k) <= share_per_weight(i) + static_cast<double>(tolerance));
      }
    }
    // With a maximum change: no lease changes by more, unless the present leases exceed the pool.
    parameters.max_change = 3 * kUnit;
    parameters.hysteresis = 100'000;
    const std::vector<Micro> limited = Divide(pool, demands, parameters);
    CHECK(std::accumulate(limited.begin(), limited.end(), Micro{0}) <= pool);
    for (std::size_t i = 0; i < demands.size() && leased <= pool; ++i) {
      if (demands[i].eligible) CHECK(std::abs(limited[i] - demands[i].current) <= parameters.max_change);
    }
  }
}

TEST_CASE("division: changes within the hysteresis are not made and indivisible granules go round robin") {
  std::vector<MemberDemand> demands(2);
  demands[0] = {1, 0, 50 * kUnit, 50 * kUnit, 46 * kUnit, true};
  demands[1] = {1, 0, 50 * kUnit, 50 * kUnit, 54 * kUnit, true};
  CHECK(Divide(100 * kUnit, demands, {kUnit, 100'000, 0, 0}) == std::vector<Micro>{46 * kUnit, 54 * kUnit});
  demands[0].current = 20 * kUnit;
  demands[1].current = 80 * kUnit;
  CHECK(Divide(100 * kUnit, demands, {kUnit, 100'000, 0, 0}) == std::vector<Micro>{50 * kUnit, 50 * kUnit});
  std::vector<MemberDemand> many(10);
  for (MemberDemand& demand : many) demand.observed = demand.forecast = 3 * kUnit;
  std::set<std::size_t> served;
  for (std::int64_t start_index = 0; start_index < 10; ++start_index) {
    const std::vector<Micro> leases = Divide(4 * kUnit, many, {kUnit, 0, 0, start_index});
    CHECK(std::accumulate(leases.begin(), leases.end(), Micro{0}) == 4 * kUnit);
    for (std::size_t i = 0; i < leases.size(); ++i) {
      if (leases[i] > 0) served.insert(i);
    }
  }
  CHECK(served.size() == 10);
}

struct SteadySimulation : Simulation {
  explicit SteadySimulation(int members, int spare = 0, std::uint64_t seed = 1)
      : Simulation(MakeBudgetFile(members), seed, spare) {
    StartAll();
  }
  Micro RateEntitlement(std::size_t i) { return processes[i].share->Entitlement(rate, Clock(processes[i])); }
};

TEST_CASE(
    "the last member left gets the leases of the killed ones within a lease duration and half a second") {
  SteadySimulation simulation(10);
  simulation.Run(4 * kSecond);
  for (std::size_t i = 1; i < 10; ++i) simulation.Kill(i);
  simulation.processes[0].demand_percent = 150;
  const Time start = simulation.now;
  while (simulation.RateEntitlement(0) < 58 * kUnit && simulation.now - start < 20 * kSecond)
    simulation.Run(Simulation::kStep);
  // 40 of the limit of 100 are guaranteed shares, 36 of them of the killed members; 60 are leased, of which
  // the hysteresis may leave a tenth with the ledger.
  CHECK(simulation.now - start <=
        simulation.file.lease_duration + simulation.file.max_clock_skew + 500 * kMillisecond);
  CHECK(simulation.violations == 0);
}

TEST_CASE("members that ask in the same second get fair shares with few messages and none gets everything") {
  SteadySimulation simulation(10);
  for (Simulation::Process& process : simulation.processes) process.demand_percent = 0;
  simulation.Run(3 * kSecond);
  for (Simulation::Process& process : simulation.processes) process.demand_percent = 100;
  const std::uint64_t messages_before = simulation.messages,
                      commands_before = simulation.ledger->counters().commands;
  simulation.Run(2 * kSecond);
  for (std::size_t i = 0; i < 10; ++i) {
    CHECK(simulation.RateEntitlement(i) >= 9 * kUnit);
    CHECK(simulation.RateEntitlement(i) <= 11 * kUnit);
  }
  // At most ten reports and five updates a second.
  CHECK(simulation.messages - messages_before <= 2 * 10 * (10 + 5 + 1));
  CHECK(simulation.ledger->counters().commands - commands_before <= 2 * (10 * 10 + 5 + 1));
  CHECK(simulation.violations == 0);
}

TEST_CASE("an idle member's lease goes to others and back and an exaggerated demand gets a fair share only") {
  SteadySimulation simulation(4);
  simulation.processes[0].demand_percent = 90;
  for (std::size_t i = 1; i < 4; ++i) simulation.processes[i].demand_percent = 1;
  simulation.Run(5 * kSecond);
  CHECK(simulation.RateEntitlement(0) >= 60 * kUnit);
  for (Simulation::Process& process : simulation.processes) process.demand_percent = 100;
  simulation.processes[3].demand_percent = 5000;
  simulation.Run(8 * kSecond);
  for (std::size_t i = 0; i < 4; ++i) CHECK(simulation.RateEntitlement(i) >= 22 * kUnit);
  CHECK(simulation.violations == 0);
}

TEST_CASE("a process that resumes after its leases expired uses its guaranteed share only") {
  SteadySimulation simulation(2);
  simulation.processes[1].demand_percent = 5;
  simulation.Run(4 * kSecond);
  REQUIRE(simulation.RateEntitlement(0) > 40 * kUnit);
  simulation.processes[0].paused = true;
  simulation.processes[1].demand_percent = 150;
  simulation.Run(simulation.file.lease_duration + kSecond);
  CHECK(simulation.RateEntitlement(1) >= 70 * kUnit);
  MemberShare& share = *simulation.processes[0].share;
  int acquired = 0;
  for (int i = 0; i < 100; ++i)
    acquired += share.TryAcquire(simulation.rate, kUnit, simulation.Clock(simulation.processes[0]));
  CHECK(acquired <= 20);  // its guaranteed share
  CHECK(share.StatusText(simulation.now).find("guaranteed shares of version 1; no valid leases") == 0);
}

TEST_CASE("a new incarnation does not get the old one's lease until that is returned") {
  Ledger ledger(MakeBudgetFile(2));
  Time now = kSecond * 1000;
  Command report{
      Command::Kind::kReport, 0, 1, 1, {{{0, ""}, 90 * kUnit, 90 * kUnit, 0, 0}}, {}, {}, {}, {}, 0, 0};
  const auto grant = [&] {
    Command command;
    command.kind = Command::Kind::kGrant;
    ledger.Apply(command, now += 2 * kSecond / 10);
  };
  ledger.Apply(report, now);
  for (int i = 0; i < 5; ++i) ledger.Apply(report, now), grant();
  const LedgerUpdate old_update = ledger.UpdateFor(0);
  REQUIRE(old_update.leases.size() == 1);
  CHECK(old_update.leases[0].amount == 60 * kUnit);
  report.incarnation = 2;
  ledger.Apply(report, now);
  grant();
  CHECK(ledger.UpdateFor(0).leases.empty());
  CHECK(ledger.UsageOf({0, ""}).available() == 0);
  Command lease_return{Command::Kind::kReturnLeases,
                       0,
                       1,
                       1,
                       {{{0, ""}, 0, 0, old_update.leases[0].epoch - 1, 0}},
                       {},
                       {},
                       {},
                       {},
                       0,
                       0};
  CHECK(ledger.Apply(lease_return, now) == Ledger::Result::kStale);
  lease_return.demands[0].epoch = old_update.leases[0].epoch;
  CHECK(ledger.Apply(lease_return, now) == Ledger::Result::kApplied);
  CHECK(ledger.Apply(lease_return, now) == Ledger::Result::kStale);  // a duplicate
  grant();
  CHECK(ledger.UpdateFor(0).leases.at(0).amount > 0);
  report.incarnation = 1;
  CHECK(ledger.Apply(report, now) == Ledger::Result::kStale);
}

TEST_CASE(
    "ten members join and three leave under load and guaranteed shares grow after all that shrink are "
    "confirmed") {
  SteadySimulation simulation(5, 10);
  simulation.Run(3 * kSecond);
  Command change;
  change.kind = Command::Kind::kChangeMembers;
  for (MemberId id = 3; id < 15; ++id) change.members.push_back({id, MemberName(id)});
  for (std::size_t id = 5; id < 15; ++id) simulation.Start(id, false, false);
  simulation.processes[1].receives_nothing = true;
  std::string reason;
  CHECK(simulation.ledger->Apply(change, simulation.now) == Ledger::Result::kApplied);
  simulation.Run(4 * kSecond);
  // Member 1 receives no updates, and its guaranteed share does not expire.
  CHECK(simulation.ledger->UnconfirmedMembers() == std::vector<MemberId>{1});
  CHECK(simulation.ledger->UpdateFor(9).guaranteed_shares[0] == 0);
  CHECK(simulation.ledger->Apply(change, simulation.now, &reason) == Ledger::Result::kRejected);
  CHECK(reason == "another change is pending; members that have not confirmed it: 1");
  simulation.Kill(1);
  Command fence;
  fence.kind = Command::Kind::kFence;
  fence.member = 1;
  simulation.ledger->Apply(fence, simulation.now);
  simulation.Run(5 * kSecond);
  CHECK_FALSE(simulation.ledger->change_pending());
  CHECK(simulation.RateEntitlement(9) >= 6 * kUnit);
  CHECK(simulation.RateEntitlement(0) == 0);
  CHECK(simulation.violations == 0);
}

TEST_CASE(
    "amounts: duplicate requests draw once and all can be drawn and a dead member's stays until settlement") {
  SteadySimulation simulation(5);
  simulation.duplicate_percent = 50;
  for (Simulation::Process& process : simulation.processes) process.demand_percent = 120;
  simulation.Run(80 * kSecond);
  simulation.Kill(4);
  for (Simulation::Process& process : simulation.processes) process.demand_percent = 0;
  simulation.Run(6 * kSecond);
  CHECK(simulation.violations == 0);
  const Ledger::Usage usage = simulation.ledger->UsageOf(simulation.spending);
  CHECK(usage.drawn + usage.spent <= usage.limit);
  CHECK(usage.drawn > 0);
  CHECK(simulation.spent > 200 * kUnit);
  Command settlement;
  settlement.kind = Command::Kind::kSettlement;
  settlement.member = 4;
  settlement.incarnation = 1;
  settlement.key = simulation.spending;
  settlement.spent = 2 * kUnit;
  CHECK(simulation.ledger->Apply(settlement, simulation.now + simulation.ledger_offset) ==
        Ledger::Result::kApplied);
  // One request for more than the limit draws ever smaller portions, to the last cent.
  Ledger ledger(MakeBudgetFile(5));
  Command draw{
      Command::Kind::kDraw, 0, 1, 1, {}, {{simulation.spending, 2000 * kUnit, 0, 0}}, {}, {}, {}, 0, 0};
  for (int i = 0; i < 200; ++i) ledger.Apply(draw, kSecond * 1000 + i);
  CHECK(ledger.UsageOf(simulation.spending).available() < kUnit / 100);
  CHECK(ledger.UsageOf(simulation.spending).drawn == 1000 * kUnit);
  settlement.member = 0;
  std::string reason;
  CHECK(ledger.Apply(settlement, kSecond * 1001, &reason) == Ledger::Result::kRejected);
  CHECK(reason == "the holder may still use the drawn amount");
}

TEST_CASE("the keys of a member share are bounded and removed when idle and a clock step ends its leases") {
  BudgetFile file = MakeBudgetFile(1);
  file.max_keys = 8;
  MemberShare share(file, {0, 1, true, {}}, kSecond * 1000);
  Time now = kSecond * 1001;
  for (int i = 0; i < 20; ++i) CHECK(share.TryAcquire({1, MemberName(i)}, kUnit, now) == (i < 8));
  CHECK(share.counters().keys_full == 12);
  for (int i = 0; i < 8; ++i) share.Release({1, MemberName(i)}, kUnit, now);
  now += 10 * kSecond;
  CHECK(share.TryAcquire({1, "other"}, kUnit, now));
  CHECK(share.keys() == 1);
  // A clock that steps back by more than twice the skew ends the leases.
  LedgerUpdate update{0, 1, 1, {}, 0, {{{0, ""}, 5, 30 * kUnit, now + 2 * kSecond}}, {}};
  const Micro guaranteed = share.Entitlement({0, ""}, now);
  CHECK(share.OnLedgerUpdate(update, now));
  CHECK(share.Entitlement({0, ""}, now) == guaranteed + 30 * kUnit);
  CHECK_FALSE(share.OnLedgerUpdate(update, now));
  share.TryAcquire({0, ""}, kUnit, now - 10 * kSecond);
  CHECK(share.Entitlement({0, ""}, now - 10 * kSecond) == guaranteed);
  CHECK(share.counters().clock_steps_back == 1);
}

}  // namespace
}  // namespace cluster_manager::budgets
