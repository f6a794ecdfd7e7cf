// The plan for lost sites in virtual time: verdicts and how long they may be wrong, and the pace of returns.
#include <doctest/doctest.h>

#include "zone_failover_fleet.h"

namespace cluster_manager::zone_failover {
namespace {

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
    CHECK(sites->IsLost(1));
    CHECK_FALSE(sites->AllowsPlacement(1, false));
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
  scheduling::Task task;
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
  scheduling::Task task;
  while (Of(1) == State::kReturning && now - from < 30 * kSecond) {
    if (sites->AllowsPlacement(1, false)) {
      sites->RecordPlacement(1, task, now);
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
  CHECK(sites->AllowsPlacement(1, false));
}

TEST_CASE_FIXTURE(Fleet, "starts that fail hold the return back") {
  Run(3 * kSecond);
  answers = [](int hall) { return hall == 1 ? Answer::kNo : Answer::kYes; };
  Until(1, State::kLost, 10 * kSecond);
  answers = [](int) { return Answer::kYes; };
  Until(1, State::kReturning, 20 * kSecond);
  scheduling::Task task;
  for (int i = 0; i < 1000; ++i) {
    if (sites->AllowsPlacement(1, false)) {
      sites->RecordPlacement(1, task, now);
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
  scheduling::Task task;
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    if (sites->AllowsPlacement(1, false)) {
      sites->RecordPlacement(1, task, now);
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
  CHECK(sites->AllowsPlacement(1, false));
  CHECK_FALSE(sites->AllowsPlacement(1, true));
}

}  // namespace
}  // namespace cluster_manager::zone_failover
