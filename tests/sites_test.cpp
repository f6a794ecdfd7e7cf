// The plan for lost sites in virtual time: verdicts and how long they may be wrong, the order of admission,
// the pace of returns, the plan's file and the drill.
#include "sites/sites.h"

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "sites/drill.h"

namespace willowrail::sites {
namespace {

using nlohmann::json;
constexpr Time kMs = 1'000'000, kSecond = 1'000'000'000;

Deployment Halls(int managers = 6) {
  return {{"hall-a", "hall-b", "hall-c"},
          {"web-api", "card-worker", "settlement"},
          {1, 5, 5},
          managers,
          3 * kSecond};
}

// Twelve nodes a hall and one cluster manager that asks them at random; what a hall does with a question is
// the test's to say.
struct Fleet {
  static constexpr int kNodes = 36;
  enum class Answer { kYes, kNo, kSpeaks };  // kSpeaks: it says something of itself, and does not answer
  Deployment deployment = Halls();
  Plan plan = UsualPlan(deployment);
  std::optional<Sites> sites;
  std::mt19937 random{7};
  Time now = 1'000 * kSecond;
  std::function<Answer(int hall)> answers = [](int) { return Answer::kYes; };
  // Of the set-ups and the tests that a hall which answers does answer in time.
  double setups_answered = 1, tests_answered = 1;
  int rate = 20;  // questions a second
  struct Out {
    Time at;
    int node;
    Time asked;
    Answer answer;
  };
  std::vector<Out> out;
  std::vector<std::string> log;
  std::map<int, int> asked;  // by node, by the watch

  Fleet() { Start(); }
  void Start() {
    sites.emplace(plan, deployment);
    for (int node = 0; node < kNodes; ++node) List(node, true);
  }
  void List(int node, bool in_service) {
    sites->Listed(static_cast<NodeId>(node), node % 3, in_service, {8, 13, 6, 10}, now);
  }
  int Below(int most) { return static_cast<int>(random() % static_cast<unsigned>(most)); }
  void Question(int node, Time patience) {
    sites->Asked(static_cast<NodeId>(node), now);
    Answer answer = answers(node % 3);
    const double share = patience < 500 * kMs ? tests_answered : setups_answered;
    if (answer == Answer::kYes && Below(1000) >= 1000 * share) answer = Answer::kNo;
    const Time after = answer == Answer::kYes ? (5 + Below(60)) * kMs : patience;
    out.push_back({now + after, node, now, answer});
  }
  void Run(Time length) {
    for (const Time end = now + length; now < end;) {
      now += 10 * kMs;
      if (Below(100) < rate) Question(Below(kNodes), 1000 * kMs);
      std::erase_if(out, [this](const Out& o) {
        if (o.at > now) return false;
        const NodeId node = static_cast<NodeId>(o.node);
        if (o.answer == Answer::kYes) {
          sites->Answered(node, now);
        } else {
          if (o.answer == Answer::kSpeaks) sites->Spoke(node, now);
          sites->Unanswered(node, o.asked);
        }
        return true;
      });
      if (now % Sites::kLook != 0) continue;
      const Sites::Orders orders = sites->Look(0, now);
      for (const NodeId node : orders.ask) {
        ++asked[static_cast<int>(node)];
        Question(static_cast<int>(node), 250 * kMs);
      }
      log.insert(log.end(), orders.log.begin(), orders.log.end());
    }
  }
  State Of(int hall) const { return sites->watch().site(hall).state; }
  // How long until the hall is in this state, up to `most`.
  Time Until(int hall, State state, Time most) {
    const Time from = now;
    while (Of(hall) != state && now - from < most) Run(10 * kMs);
    return now - from;
  }
};

TEST_CASE_FIXTURE(Fleet, "a hall that is cut off is lost within 1.2 s, and the others are not") {
  for (int seed = 0; seed < 20; ++seed) {
    random.seed(static_cast<unsigned>(seed));
    answers = [](int) { return Answer::kYes; };
    out.clear();
    now += 100 * kSecond;
    Start();
    Run(3 * kSecond);
    answers = [](int hall) { return hall == 1 ? Answer::kNo : Answer::kYes; };
    CHECK(Until(1, State::kLost, 10 * kSecond) <= 1200 * kMs);
    CHECK(sites->Lost(1));
    CHECK_FALSE(sites->MaySend(1, false));
    Run(5 * kSecond);
    CHECK(Of(0) == State::kUp);
    CHECK(Of(2) == State::kUp);
    CHECK_FALSE(sites->watch().cut_off());
  }
}

TEST_CASE_FIXTURE(Fleet,
                  "a hall that speaks and does not answer is lost for new tasks, and said to be deaf") {
  Run(3 * kSecond);
  answers = [](int hall) { return hall == 2 ? Answer::kSpeaks : Answer::kYes; };
  Until(2, State::kLost, 10 * kSecond);
  Run(1 * kSecond);
  REQUIRE(Of(2) == State::kLost);
  CHECK(sites->watch().site(2).deaf);
  CHECK(sites->watch().Cause(2).find("cut in one direction") != std::string::npos);
}

TEST_CASE_FIXTURE(Fleet, "two of three halls are lost, the third is not") {
  Run(3 * kSecond);
  answers = [](int hall) { return hall == 0 ? Answer::kYes : Answer::kNo; };
  Until(1, State::kLost, 10 * kSecond);
  Until(2, State::kLost, 10 * kSecond);
  CHECK(Of(1) == State::kLost);
  CHECK(Of(2) == State::kLost);
  CHECK(Of(0) == State::kUp);
  CHECK_FALSE(sites->watch().cut_off());
}

TEST_CASE_FIXTURE(Fleet, "a cluster manager that is itself cut off loses no hall, and says what it is") {
  Run(3 * kSecond);
  answers = [](int) { return Answer::kNo; };
  Run(20 * kSecond);
  for (int hall = 0; hall < 3; ++hall) CHECK(Of(hall) != State::kLost);
  CHECK(sites->watch().cut_off());
  for (const std::string& line : log) INFO(line);
  CHECK(log.size() == 1);
  passbridge::Task task;
  CHECK_FALSE(sites->Admits(0, task));  // its owners are better served by others
  answers = [](int) { return Answer::kYes; };
  Run(1500 * kMs);
  CHECK_FALSE(sites->watch().cut_off());
  for (int hall = 0; hall < 3; ++hall) CHECK(Of(hall) == State::kUp);
  CHECK(sites->Admits(0, task));
}

TEST_CASE_FIXTURE(Fleet,
                  "crowded halls are none that is lost: an hour, half of all set-ups late, a test in ten") {
  rate = 30;
  setups_answered = 0.5;
  tests_answered = 0.9;
  for (int minute = 0; minute < 60; ++minute) {
    Run(60 * kSecond);
    for (int hall = 0; hall < 3; ++hall) CHECK(sites->watch().site(hall).verdicts == 0);
  }
}

TEST_CASE_FIXTURE(Fleet,
                  "a few dead nodes are none: two of a hall's twelve, or a hall of two with one dead") {
  Run(1 * kSecond);
  const std::set<int> dead{1, 4};
  for (int i = 0; i < 600; ++i) {
    for (const int node : dead) sites->Unanswered(static_cast<NodeId>(node), now);
    Run(50 * kMs);
  }
  CHECK(sites->watch().site(1).verdicts == 0);
  CHECK(Of(1) == State::kUp);
}

TEST_CASE_FIXTURE(Fleet, "a dead list loses no hall, a hall without a node in service is no verdict either") {
  Run(2 * kSecond);
  for (int node = 1; node < kNodes; node += 3) List(node, false);
  Run(5 * kSecond);
  CHECK(Of(1) == State::kUp);
  CHECK(sites->watch().site(1).listed == 0);
  CHECK(sites->watch().nodes() == 24);
}

TEST_CASE_FIXTURE(Fleet, "a site returns once nodes answer for the hold, by steps, and is then up") {
  Run(3 * kSecond);
  answers = [](int hall) { return hall == 1 ? Answer::kNo : Answer::kYes; };
  Until(1, State::kLost, 10 * kSecond);
  Run(4 * kSecond);
  answers = [](int) { return Answer::kYes; };
  const Time back = Until(1, State::kReturning, 20 * kSecond);
  CHECK(back >= plan.watch.hold);
  CHECK(back <= plan.watch.ask_again + plan.watch.hold + 500 * kMs);
  // What is sent there starts; the pace rises by steps.
  std::vector<int> sent(6);
  const Time from = now;
  passbridge::Task task;
  while (Of(1) == State::kReturning && now - from < 30 * kSecond) {
    if (sites->MaySend(1, false)) {
      sites->Sent(1, task, now);
      sites->AttemptOver(1, true);
      const std::size_t second = static_cast<std::size_t>((now - from) / kSecond);
      if (second < sent.size()) ++sent[second];
    }
    Run(10 * kMs);
  }
  CHECK(Of(1) == State::kUp);
  CHECK(sent[0] >= 1);
  CHECK(sent[0] <= 3);  // 12 nodes, half a start a second each, a sixth of that is ours
  for (std::size_t i = 1; i < 4; ++i) CHECK(sent[i] >= sent[i - 1]);
  CHECK(now - from >= 3 * kSecond);
  CHECK(sites->MaySend(1, false));
}

TEST_CASE_FIXTURE(Fleet, "starts that fail hold the return back") {
  Run(3 * kSecond);
  answers = [](int hall) { return hall == 1 ? Answer::kNo : Answer::kYes; };
  Until(1, State::kLost, 10 * kSecond);
  answers = [](int) { return Answer::kYes; };
  Until(1, State::kReturning, 20 * kSecond);
  passbridge::Task task;
  for (int i = 0; i < 1000; ++i) {
    if (sites->MaySend(1, false)) {
      sites->Sent(1, task, now);
      sites->AttemptOver(1, i % 2 == 0);
    }
    Run(10 * kMs);
  }
  CHECK(Of(1) == State::kReturning);
  CHECK(sites->comeback(1).step() <= 1);
}

TEST_CASE_FIXTURE(Fleet, "a hall that comes and goes is held off for longer each time, up to a bound") {
  Run(3 * kSecond);
  Time hold = 0;
  int returned = 0;
  for (int i = 0; i < 15; ++i) {
    answers = [](int hall) { return hall == 1 ? Answer::kNo : Answer::kYes; };
    Run(2 * kSecond);
    CHECK(Of(1) == State::kLost);
    CHECK(sites->watch().site(1).hold >= hold);
    CHECK(sites->watch().site(1).hold <= plan.watch.hold_most);
    hold = sites->watch().site(1).hold;
    answers = [](int) { return Answer::kYes; };
    const State before = Of(1);
    Run(2 * kSecond);
    returned += Of(1) != before;
  }
  CHECK(returned <= 4);
  // It stays: after the hold it is taken back.
  CHECK(Until(1, State::kUp, hold + 60 * kSecond) <= hold + 45 * kSecond);
}

TEST_CASE_FIXTURE(Fleet, "one just started sends little where nothing was heard of a site") {
  answers = [](int hall) { return hall == 1 ? Answer::kNo : Answer::kYes; };
  passbridge::Task task;
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    if (sites->MaySend(1, false)) {
      sites->Sent(1, task, now);
      ++sent;
      Question(1 + 3 * Below(12), 1000 * kMs);
    }
    Run(10 * kMs);
  }
  CHECK(sent <= 8);
  CHECK(Until(1, State::kLost, 5 * kSecond) <= 2 * kSecond);
}

TEST_CASE_FIXTURE(Fleet, "what may not be sent twice is not sent to a site that is suspect") {
  Run(3 * kSecond);
  answers = [](int hall) { return hall == 1 ? Answer::kNo : Answer::kYes; };
  Until(1, State::kSuspect, 5 * kSecond);
  CHECK(sites->MaySend(1, false));
  CHECK_FALSE(sites->MaySend(1, true));
}

// --- Admission
// -----------------------------------------------------------------------------------------------
struct Door {
  Admission admission{AdmissionTerms{}, 4};
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
      admission.Look({free, 1e9}, waiting, now);
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

TEST_CASE_FIXTURE(Door, "all is taken where there is room for all") {
  ends = 4;
  free = 4;
  Run(10 * kSecond);
  CHECK(admission.level() == 4);
  CHECK(admission.Admits(3, 1));
}

TEST_CASE_FIXTURE(Door,
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

TEST_CASE_FIXTURE(Door, "the level falls at once and rises rank by rank, after a while of room") {
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
    if (rises++ > 0) CHECK(now - changed >= AdmissionTerms{}.calm);
    last = admission.level();
    changed = now;
  });
  CHECK(admission.level() == 4);
}

TEST_CASE_FIXTURE(Door, "a load that wavers about the room does not make the level waver") {
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

TEST_CASE_FIXTURE(Door, "admitted work that waits takes the estimate down") {
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
  Admission a(AdmissionTerms{}, 2), b(AdmissionTerms{}, 2);
  for (int i = 0; i < 100; ++i) {
    for (Admission* each : {&a, &b}) {
      each->Arrived(0, {1, 1}, kSecond + i * 50 * kMs);
      each->Ended({0.5, 0.5}, kSecond + i * 50 * kMs);
      each->Look({0, 0}, 0, kSecond + i * 50 * kMs);
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
  passbridge::Task task;
  std::set<Time> away;
  double first = 0, last = 0;
  for (std::uint64_t name = 1; name <= 200; ++name) {
    task.name = name;
    const Time low = sites->StayAway(0, task), high = sites->StayAway(plan.ranks() - 1, task);
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
  const Plan plan = UsualPlan(Halls());
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
  const Plan plan = UsualPlan(Halls());
  const Drill drill = Rehearse(plan, Halls(), Nodes(5), {1}, {});
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
  const Plan plan = UsualPlan(Halls());
  DrillTerms terms;
  terms.mix = {{"web-api", 50}, {"card-worker", 45}, {"settlement", 5}};
  const Drill drill = Rehearse(plan, Halls(), Nodes(10), {1}, terms);
  CHECK(drill.broken.empty());
  CHECK(drill.classes.back().name == "web-api");
  CHECK(drill.classes.back().kept < drill.classes.back().asked);
  CHECK(drill.classes.front().kept == doctest::Approx(drill.classes.front().asked));
  const Drill worse = Rehearse(plan, Halls(), Nodes(10), {0, 1}, terms);
  REQUIRE(worse.broken.size() == 1);
  CHECK(worse.broken[0].find("the first to be kept, card-worker, has room for") == 0);
  CHECK(Rehearse(plan, Halls(), Nodes(10), {0, 1, 2}, terms).broken[0].find("no site is left") == 0);
}

TEST_CASE("a drill finds a return that cold nodes do not survive") {
  Plan plan = UsualPlan(Halls());
  DrillTerms terms;
  terms.cold = 15 * kSecond;
  terms.fall = 1500 * kMs;
  terms.cold_sends = 24;
  CHECK(Rehearse(plan, Halls(), Nodes(5), {1}, terms).broken.empty());
  plan.comeback.complete = 64;
  const Drill drill = Rehearse(plan, Halls(), Nodes(5), {1}, terms);
  REQUIRE(drill.broken.size() == 1);
  CHECK(drill.broken[0].find("the return is too fast for cold nodes: 48.0 starts in 1.5 s") == 0);
}

}  // namespace
}  // namespace willowrail::sites
