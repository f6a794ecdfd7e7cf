// Tests of the zone failover plan: admission control, the plan file, and the drill.
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

#include "zone_failover/drill.h"
#include "zone_failover_fleet.h"

namespace cluster_manager::zone_failover {
namespace {

using nlohmann::json;

// --- AdmissionControl -----------------------------------------------------------------------------------
struct AdmissionFixture {
  AdmissionControl admission{AdmissionParameters{}, 4};
  Time now = 1000 * kSecond;
  std::array<double, 4> demand{1, 1, 1, 1};  // cores per second, by rank
  double release_rate = 0, free_cores = 0;
  int waiting = 0;

  void Run(
      Time length, const std::function<void()>& check = [] {}) {
    for (const Time end = now + length; now < end; now += 50 * kMs) {
      for (int rank = 0; rank < 4; ++rank)
        admission.RecordArrival(rank, {demand[static_cast<std::size_t>(rank)] / 20, 0}, now);
      admission.RecordTaskEnd({release_rate / 20, 0}, now);
      admission.Evaluate({free_cores, 1e9}, waiting, now);
      check();
    }
  }
  // Admitted cores per second.
  double AdmittedRate() const {
    double admitted = 0;
    for (int rank = 0; rank < 4; ++rank) {
      const double share = rank < admission.level() ? 1 : rank == admission.level() ? admission.share() : 0;
      admitted += share * demand[static_cast<std::size_t>(rank)];
    }
    return admitted;
  }
};

TEST_CASE_FIXTURE(AdmissionFixture, "all requests are admitted while capacity suffices") {
  release_rate = 4;
  free_cores = 4;
  Run(10 * kSecond);
  CHECK(admission.level() == 4);
  CHECK(admission.Admits(3, 1));
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "with capacity for half of the demand the first ranks are admitted before the others") {
  release_rate = 2;
  Run(20 * kSecond, [this] {
    for (std::uint64_t name = 1; name <= 20; ++name) {
      for (int rank = 1; rank < 4; ++rank) {
        if (admission.Admits(rank, name)) CHECK(admission.Admits(rank - 1, name));
      }
    }
  });
  CHECK(AdmittedRate() > 1.4);
  CHECK(AdmittedRate() <= 3.1);
  CHECK(admission.Admits(0, 1));
  CHECK_FALSE(admission.Admits(3, 1));
}

TEST_CASE_FIXTURE(AdmissionFixture, "the level falls at once and rises one rank per raise_delay") {
  release_rate = 4;
  free_cores = 8;
  Run(5 * kSecond);
  release_rate = free_cores = 0.5;
  Run(4 * kSecond);
  CHECK(admission.level() <= 1);
  release_rate = 6;
  free_cores = 20;
  int last = admission.level();
  Time changed = now;
  int rises = 0;
  Run(30 * kSecond, [&] {
    if (admission.level() == last) return;
    CHECK(admission.level() == last + 1);
    if (rises++ > 0) CHECK(now - changed >= AdmissionParameters{}.raise_delay);
    last = admission.level();
    changed = now;
  });
  CHECK(admission.level() == 4);
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "demand that fluctuates around the capacity does not make the level oscillate") {
  release_rate = 2;
  free_cores = 1;
  Run(10 * kSecond);
  int changes = 0, last = admission.level();
  std::mt19937 random(3);
  for (int i = 0; i < 300; ++i) {
    release_rate = 2 + 0.2 * (static_cast<double>(random() % 200) / 100 - 1);
    Run(100 * kMs, [&] {
      changes += admission.level() != last;
      last = admission.level();
    });
  }
  CHECK(changes <= 12);
}

TEST_CASE_FIXTURE(AdmissionFixture, "waiting admitted requests lower the estimated supply") {
  release_rate = 4;
  free_cores = 4;
  waiting = 5;
  Run(5 * kSecond);
  CHECK(admission.scale() <= 0.15);
  CHECK(admission.level() <= 2);
  waiting = 0;
  Run(40 * kSecond);
  CHECK(admission.level() == 4);
}

TEST_CASE("the admitted share of a rank is drawn by name identically in all cluster managers") {
  AdmissionControl a(AdmissionParameters{}, 2), b(AdmissionParameters{}, 2);
  for (int i = 0; i < 100; ++i) {
    for (AdmissionControl* each : {&a, &b}) {
      each->RecordArrival(0, {1, 1}, kSecond + i * 50 * kMs);
      each->RecordTaskEnd({0.5, 0.5}, kSecond + i * 50 * kMs);
      each->Evaluate({0, 0}, 0, kSecond + i * 50 * kMs);
    }
  }
  int admitted_count = 0;
  for (std::uint64_t name = 1; name <= 1000; ++name) {
    CHECK(a.Admits(0, name) == b.Admits(0, name));
    admitted_count += a.Admits(0, name);
  }
  CHECK(admitted_count > 350);
  CHECK(admitted_count < 900);
}

// --- The plan as a whole and its file -------------------------------------------------------------------
TEST_CASE_FIXTURE(SimulatedFleet,
                  "Retry-After lies within its bounds and is spread and is longer for later ranks") {
  Run(3 * kSecond);
  scheduling::Task task;
  std::set<Time> retry_after_values;
  double first = 0, last = 0;
  for (std::uint64_t name = 1; name <= 200; ++name) {
    task.name = name;
    const Time first_rank = failover->RetryAfter(0, task),
               last_rank = failover->RetryAfter(plan.rank_count() - 1, task);
    for (const Time each : {first_rank, last_rank}) {
      CHECK(each >= plan.min_retry_after);
      CHECK(each <= plan.max_retry_after);
    }
    retry_after_values.insert(last_rank / (10 * kMs));
    first += static_cast<double>(first_rank);
    last += static_cast<double>(last_rank);
  }
  CHECK(retry_after_values.size() > 50);
  CHECK(last >= first);
}

TEST_CASE_FIXTURE(SimulatedFleet, "a new plan applies at once and the states of the zones are kept") {
  Run(3 * kSecond);
  reply_of_zone = [](int zone) { return zone == 1 ? Reply::kNone : Reply::kReply; };
  RunUntil(1, ZoneState::kLost, 10 * kSecond);
  Plan other = plan;
  other.capacity_reserve = 0.5;
  failover->ApplyPlan(other);
  CHECK(StateOf(1) == ZoneState::kLost);
  CHECK(failover->plan().capacity_reserve == 0.5);
  CHECK(failover->StatusLines(now).size() == 4);
  CHECK(failover->StatusLines(now)[1].find("site hall-b lost since") == 0);
}

TEST_CASE(
    "default ranks: classes by priority weight then first attempts before retries then tenants over share") {
  const Plan plan = DefaultPlan(ThreeZones());
  CHECK(plan.rank_count() == 12);
  CHECK(plan.RankOf(1, false, false, false) < plan.RankOf(1, false, true, false));
  CHECK(plan.RankOf(1, false, true, false) < plan.RankOf(0, false, false, false));
  CHECK(plan.RankOf(0, false, true, false) < plan.RankOf(1, true, false, false));
  const Plan single_rank =
      ReadPlan({{"version", 1}, {"admission", {{"order", {{{"class", "*"}}}}}}}, "one", ThreeZones());
  CHECK(single_rank.rank_count() == 1);
  CHECK(single_rank.RankOf(2, true, true, true) == 0);
}

std::string Errors(const json& document) {
  try {
    ReadPlan(document, "sites.json", ThreeZones());
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("all errors of a plan are reported together with location and value and what is allowed") {
  CHECK(Errors({{"version", 1}}).empty());
  const std::string errors =
      Errors({{"verdict", {{"suspect_share", 1.5}, {"quite_ms", 3}}},
              {"load", {{"tied", {{"card-worker", "go"}}}}},
              {"admission",
               {{"order",
                 {{{"class", "web-api"}}, {{"class", "webapi"}}, {{"class", "web-api"}, {"retry", true}}}}}},
              {"return", {{"hold_ms", 5000}, {"hold_most_ms", 1000}}},
              {"refusals", {{"away_most_ms", 5000}}}});
  for (const char* text :
       {"sites.json: version: is missing, write 1",
        "verdict.suspect_share: is 1.5, write a number from 0.1 to 1", "verdict.quite_ms: is not known here",
        "load.tied.card-worker: is \"go\", write \"wait\" or \"refuse\"",
        "admission.order[1].class: is \"webapi\", write a class of the settings: web-api, card-worker, "
        "settlement; or \"*\" for all",
        "admission.order[2]: is never matched", "admission.order: has no unconditional rule for card-worker",
        "return.hold_most_ms: is 1000, write at least hold_ms, 5000",
        "refusals.away_most_ms: is 5000, write a number from 1 to 3000"}) {
    CHECK_MESSAGE(errors.find(text) != std::string::npos, text << " not in:\n" << errors);
  }
}

TEST_CASE("the shipped plan is valid") {
  const Plan plan = LoadPlan(WILLOWRAIL_DEPLOY "/sites.json", ThreeZones());
  CHECK(plan.capacity_reserve == 0.1);
  CHECK(plan.rank_count() == 12);
}

// --- Drills ---------------------------------------------------------------------------------------------
std::vector<DrillNode> Nodes(double requested) {
  std::vector<DrillNode> nodes;
  for (int i = 0; i < 36; ++i) nodes.push_back({i % 3, true, 8, 100, 8 - requested, 100 - requested});
  return nodes;
}

TEST_CASE("a drill on a fleet with headroom: all demand is admitted and moves to the remaining zones") {
  const Plan plan = DefaultPlan(ThreeZones());
  const Drill drill = RunDrill(plan, ThreeZones(), Nodes(5), {1}, {});
  CHECK(drill.violations.empty());
  CHECK(drill.demand == doctest::Approx(180));
  CHECK(drill.capacity == doctest::Approx(24 * 8 * 1.4 * 0.9));
  CHECK(drill.capacity_per_manager == doctest::Approx(drill.capacity / 6));
  CHECK(drill.zones[0].taken_over == doctest::Approx(30));
  CHECK(drill.zones[2].taken_over == doctest::Approx(30));
  for (const Drill::Class& each : drill.classes) CHECK(each.admitted == doctest::Approx(each.demand));
  CHECK(drill.recovery_s == doctest::Approx(4.5));
  CHECK(FormatTable(drill).find("hall-b") != std::string::npos);
  CHECK(ToJson(drill)["sites"][1]["lost"] == true);
}

TEST_CASE("a drill on a full fleet: the last classes are rejected and rejecting the first is a violation") {
  const Plan plan = DefaultPlan(ThreeZones());
  DrillParameters parameters;
  parameters.demand_shares = {{"web-api", 50}, {"card-worker", 45}, {"settlement", 5}};
  const Drill drill = RunDrill(plan, ThreeZones(), Nodes(10), {1}, parameters);
  CHECK(drill.violations.empty());
  CHECK(drill.classes.back().name == "web-api");
  CHECK(drill.classes.back().admitted < drill.classes.back().demand);
  CHECK(drill.classes.front().admitted == doctest::Approx(drill.classes.front().demand));
  const Drill two_zones_lost = RunDrill(plan, ThreeZones(), Nodes(10), {0, 1}, parameters);
  REQUIRE(two_zones_lost.violations.size() == 1);
  CHECK(two_zones_lost.violations[0].find("class card-worker, which is rejected last, gets ") == 0);
  CHECK(RunDrill(plan, ThreeZones(), Nodes(10), {0, 1, 2}, parameters)
            .violations[0]
            .find("no remaining zone has capacity") == 0);
}

TEST_CASE("a drill reports a recovery ramp that exceeds the slow start limit") {
  Plan plan = DefaultPlan(ThreeZones());
  DrillParameters parameters;
  parameters.slow_start_duration = 15 * kSecond;
  parameters.overload_window = 1500 * kMs;
  parameters.slow_start_sends = 24;
  CHECK(RunDrill(plan, ThreeZones(), Nodes(5), {1}, parameters).violations.empty());
  plan.recovery_ramp.complete_rate = 64;
  const Drill drill = RunDrill(plan, ThreeZones(), Nodes(5), {1}, parameters);
  REQUIRE(drill.violations.size() == 1);
  CHECK(drill.violations[0].find("the recovery ramp exceeds the slow start limit: 48.0 starts in 1.5 s") ==
        0);
}

}  // namespace
}  // namespace cluster_manager::zone_failover
