// The plan for lost sites: the order of admission, the plan as a whole and its file, and the drill.
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

#include "zone_failover/drill.h"
#include "zone_failover_fleet.h"

namespace cluster_manager::zone_failover {
namespace {

using nlohmann::json;

// --- AdmissionControl
// -----------------------------------------------------------------------------------------------
struct AcceptMode {
  AdmissionControl admission{AdmissionParameters{}, 4};
  Time now = 1000 * kSecond;
  std::array<double, 4> rate{1, 1, 1, 1};  // cores a second, by rank
  double ends = 0, free = 0;
  int waiting = 0;

  void Run(
      Time length, const std::function<void()>& look = [] {}) {
    for (const Time end = now + length; now < end; now += 50 * kMs) {
      for (int rank = 0; rank < 4; ++rank)
        admission.Arrived(rank, {rate[static_cast<std::size_t>(rank)] / 20, 0}, now);
      admission.Ended({ends / 20, 0}, now);
      admission.Evaluate({free, 1e9}, waiting, now);
      look();
    }
  }
  // Cores a second that are taken.
  double Taken() const {
    double all = 0;
    for (int rank = 0; rank < 4; ++rank) {
      const double share = rank < admission.level() ? 1 : rank == admission.level() ? admission.share() : 0;
      all += share * rate[static_cast<std::size_t>(rank)];
    }
    return all;
  }
};

TEST_CASE_FIXTURE(AcceptMode, "all is taken where there is room for all") {
  ends = 4;
  free = 4;
  Run(10 * kSecond);
  CHECK(admission.level() == 4);
  CHECK(admission.Admits(3, 1));
}

TEST_CASE_FIXTURE(AcceptMode,
                  "with room for half, the first ranks are kept, and no higher one is refused for a lower") {
  ends = 2;
  Run(20 * kSecond, [this] {
    for (std::uint64_t name = 1; name <= 20; ++name) {
      for (int rank = 1; rank < 4; ++rank) {
        if (admission.Admits(rank, name)) CHECK(admission.Admits(rank - 1, name));
      }
    }
  });
  CHECK(Taken() > 1.4);
  CHECK(Taken() <= 3.1);
  CHECK(admission.Admits(0, 1));
  CHECK_FALSE(admission.Admits(3, 1));
}

TEST_CASE_FIXTURE(AcceptMode, "the level falls at once and rises rank by rank, after a while of room") {
  ends = 4;
  free = 8;
  Run(5 * kSecond);
  ends = free = 0.5;
  Run(4 * kSecond);
  CHECK(admission.level() <= 1);
  ends = 6;
  free = 20;
  int last = admission.level();
  Time changed = now;
  int rises = 0;
  Run(30 * kSecond, [&] {
    if (admission.level() == last) return;
    CHECK(admission.level() == last + 1);
    if (rises++ > 0) CHECK(now - changed >= AdmissionParameters{}.calm);
    last = admission.level();
    changed = now;
  });
  CHECK(admission.level() == 4);
}

TEST_CASE_FIXTURE(AcceptMode, "a load that wavers about the room does not make the level waver") {
  ends = 2;
  free = 1;
  Run(10 * kSecond);
  int changes = 0, last = admission.level();
  std::mt19937 random(3);
  for (int i = 0; i < 300; ++i) {
    ends = 2 + 0.2 * (static_cast<double>(random() % 200) / 100 - 1);
    Run(100 * kMs, [&] {
      changes += admission.level() != last;
      last = admission.level();
    });
  }
  CHECK(changes <= 12);
}

TEST_CASE_FIXTURE(AcceptMode, "admitted work that waits takes the estimate down") {
  ends = 4;
  free = 4;
  waiting = 5;
  Run(5 * kSecond);
  CHECK(admission.scale() <= 0.15);
  CHECK(admission.level() <= 2);
  waiting = 0;
  Run(40 * kSecond);
  CHECK(admission.level() == 4);
}

TEST_CASE("a share of a rank is drawn by name, alike at all cluster managers") {
  AdmissionControl a(AdmissionParameters{}, 2), b(AdmissionParameters{}, 2);
  for (int i = 0; i < 100; ++i) {
    for (AdmissionControl* each : {&a, &b}) {
      each->Arrived(0, {1, 1}, kSecond + i * 50 * kMs);
      each->Ended({0.5, 0.5}, kSecond + i * 50 * kMs);
      each->Evaluate({0, 0}, 0, kSecond + i * 50 * kMs);
    }
  }
  int taken = 0;
  for (std::uint64_t name = 1; name <= 1000; ++name) {
    CHECK(a.Admits(0, name) == b.Admits(0, name));
    taken += a.Admits(0, name);
  }
  CHECK(taken > 350);
  CHECK(taken < 900);
}

// --- The whole
// -----------------------------------------------------------------------------------------------
TEST_CASE_FIXTURE(Fleet, "refusals name times within the bound, spread, longer for what is kept last") {
  Run(3 * kSecond);
  scheduling::Task task;
  std::set<Time> away;
  double first = 0, last = 0;
  for (std::uint64_t name = 1; name <= 200; ++name) {
    task.name = name;
    const Time low = sites->RetryAfter(0, task), high = sites->RetryAfter(plan.ranks() - 1, task);
    for (const Time each : {low, high}) {
      CHECK(each >= plan.away_least);
      CHECK(each <= plan.away_most);
    }
    away.insert(high / (10 * kMs));
    first += static_cast<double>(low);
    last += static_cast<double>(high);
  }
  CHECK(away.size() > 50);
  CHECK(last >= first);
}

TEST_CASE_FIXTURE(Fleet, "a new plan takes hold, and what is known of the sites stays") {
  Run(3 * kSecond);
  answers = [](int hall) { return hall == 1 ? Answer::kNo : Answer::kYes; };
  Until(1, State::kLost, 10 * kSecond);
  Plan other = plan;
  other.reserve = 0.5;
  sites->Take(other);
  CHECK(Of(1) == State::kLost);
  CHECK(sites->plan().reserve == 0.5);
  CHECK(sites->Describe(now).size() == 4);
  CHECK(sites->Describe(now)[1].find("site hall-b lost since") == 0);
}

TEST_CASE("the order of ranks: classes by worth, retries behind first tries, tenants over their share last") {
  const Plan plan = DefaultPlan(Halls());
  CHECK(plan.ranks() == 12);
  CHECK(plan.Rank(1, false, false, false) < plan.Rank(1, false, true, false));
  CHECK(plan.Rank(1, false, true, false) < plan.Rank(0, false, false, false));
  CHECK(plan.Rank(0, false, true, false) < plan.Rank(1, true, false, false));
  const Plan one = ReadPlan({{"version", 1}, {"admission", {{"order", {{{"class", "*"}}}}}}}, "one", Halls());
  CHECK(one.ranks() == 1);
  CHECK(one.Rank(2, true, true, true) == 0);
}

std::string Errors(const json& document) {
  try {
    ReadPlan(document, "sites.json", Halls());
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("a plan's mistakes are told all at once, with place, value and what is legal") {
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
        "admission.order[2]: is never met", "admission.order: has no rule for all of card-worker",
        "return.hold_most_ms: is 1000, write at least hold_ms, 5000",
        "refusals.away_most_ms: is 5000, write a number from 1 to 3000"}) {
    CHECK_MESSAGE(errors.find(text) != std::string::npos, text << " not in:\n" << errors);
  }
}

TEST_CASE("the plan that is shipped can be read") {
  const Plan plan = LoadPlan(WILLOWRAIL_DEPLOY "/sites.json", Halls());
  CHECK(plan.reserve == 0.1);
  CHECK(plan.ranks() == 12);
}

// --- The drill
// -----------------------------------------------------------------------------------------------
std::vector<DrillNode> Nodes(double asked) {
  std::vector<DrillNode> nodes;
  for (int i = 0; i < 36; ++i) nodes.push_back({i % 3, true, 8, 100, 8 - asked, 100 - asked});
  return nodes;
}

TEST_CASE("a drill on a fleet with room: all is kept, and goes where room is") {
  const Plan plan = DefaultPlan(Halls());
  const Drill drill = RunDrill(plan, Halls(), Nodes(5), {1}, {});
  CHECK(drill.broken.empty());
  CHECK(drill.asked == doctest::Approx(180));
  CHECK(drill.can_take == doctest::Approx(24 * 8 * 1.4 * 0.9));
  CHECK(drill.part == doctest::Approx(drill.can_take / 6));
  CHECK(drill.sites[0].takes == doctest::Approx(30));
  CHECK(drill.sites[2].takes == doctest::Approx(30));
  for (const Drill::Class& c : drill.classes) CHECK(c.kept == doctest::Approx(c.asked));
  CHECK(drill.complete_s == doctest::Approx(4.5));
  CHECK(AsTable(drill).find("hall-b") != std::string::npos);
  CHECK(AsJson(drill)["sites"][1]["lost"] == true);
}

TEST_CASE("a drill on a full fleet: the last classes are refused, where the first is, the plan is broken") {
  const Plan plan = DefaultPlan(Halls());
  DrillParameters terms;
  terms.mix = {{"web-api", 50}, {"card-worker", 45}, {"settlement", 5}};
  const Drill drill = RunDrill(plan, Halls(), Nodes(10), {1}, terms);
  CHECK(drill.broken.empty());
  CHECK(drill.classes.back().name == "web-api");
  CHECK(drill.classes.back().kept < drill.classes.back().asked);
  CHECK(drill.classes.front().kept == doctest::Approx(drill.classes.front().asked));
  const Drill worse = RunDrill(plan, Halls(), Nodes(10), {0, 1}, terms);
  REQUIRE(worse.broken.size() == 1);
  CHECK(worse.broken[0].find("the first to be kept, card-worker, has room for") == 0);
  CHECK(RunDrill(plan, Halls(), Nodes(10), {0, 1, 2}, terms).broken[0].find("no site is left") == 0);
}

TEST_CASE("a drill finds a return that cold nodes do not survive") {
  Plan plan = DefaultPlan(Halls());
  DrillParameters terms;
  terms.cold = 15 * kSecond;
  terms.fall = 1500 * kMs;
  terms.cold_sends = 24;
  CHECK(RunDrill(plan, Halls(), Nodes(5), {1}, terms).broken.empty());
  plan.comeback.complete = 64;
  const Drill drill = RunDrill(plan, Halls(), Nodes(5), {1}, terms);
  REQUIRE(drill.broken.size() == 1);
  CHECK(drill.broken[0].find("the return is too fast for cold nodes: 48.0 starts in 1.5 s") == 0);
}

}  // namespace
}  // namespace cluster_manager::zone_failover
