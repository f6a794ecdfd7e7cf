// Tests of the platform's rules, each held by the decision module alone: events in, actions out.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "logic_driver.h"

namespace scheduling {
namespace {

TEST(RuleOne, HeldTaskIsRefusedOnceBeforeItsDeadline) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1, 0, 0)});
  EXPECT_TRUE(Only<StartAttempt>(d.Arrive("a")).empty());
  EXPECT_TRUE(Only<RejectRequest>(d.Wait(7 * kSecond)).empty());
  const Time deadline = d.now + kSecond;
  d.now = deadline - 4 * kMs;
  EXPECT_EQ(Only<RejectRequest>(d.Wait(0)).size(), 1U);
  EXPECT_TRUE(Only<RejectRequest>(d.Wait(kSecond)).empty());
}

TEST(RuleOne, ARefusalSaysWhenToComeBackWhereTheSettingsAllowIt) {
  for (const Time most : {Time{0}, kSecond, 10 * kSecond}) {
    Settings s = BasicSettings();
    s.max_retry_after = most;
    Driver d(s);
    d.UpdateList({Entry(1, 0, 0)});
    d.Arrive("a");
    const std::vector<RejectRequest> refused = Only<RejectRequest>(d.Wait(8 * kSecond));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].retry_after > 0, most > 0);
    EXPECT_LE(refused[0].retry_after, most);
  }
}

TEST(RuleOne, HeldTaskIsPlacedAsRoomAppears) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1, 0, 0)});
  EXPECT_TRUE(Only<StartAttempt>(d.Arrive("a")).empty());
  d.now += kSecond;
  const auto offers = Only<StartAttempt>(d.UpdateList({Entry(1, 8, 16)}, EndpointListUpdate::kDelta));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].id, Id("a"));
}

TEST(RuleTwo, UnsafeTaskThatMayHaveRunFails) {
  for (const Outcome outcome :
       {Outcome::kTimedOut, Outcome::kError, Outcome::kAborted, Outcome::kCancelled}) {
    Driver d(BasicSettings());
    d.UpdateList({Entry(1), Entry(2)});
    const NodeId node = Only<StartAttempt>(d.Arrive("a", 2)).at(0).node;
    const auto actions = d.End("a", 0, node, outcome);
    EXPECT_EQ(Only<FailRequest>(actions).size(), 1U);
    EXPECT_TRUE(Only<StartAttempt>(actions).empty());
    EXPECT_TRUE(Only<RejectRequest>(actions).empty());
  }
}

TEST(RuleTwo, UnsafeTaskThatNeverRanIsTriedElsewhere) {
  for (const Outcome outcome : {Outcome::kRefused, Outcome::kNoConnection, Outcome::kNotSent}) {
    Driver d(BasicSettings());
    d.UpdateList({Entry(1), Entry(2)});
    const NodeId node = Only<StartAttempt>(d.Arrive("a", 2)).at(0).node;
    const auto actions = d.End("a", 0, node, outcome);
    EXPECT_EQ(Only<StartAttempt>(actions).size(), 1U);
    EXPECT_TRUE(Only<FailRequest>(actions).empty());
  }
}

TEST(RuleTwo, KeyedTaskStaysInItsGroupAndWindow) {
  Driver d(BasicSettings());
  std::vector<NodeEntry> entries;
  for (NodeId id = 1; id <= 6; ++id) {
    entries.push_back(Entry(id));
    entries.back().zone = id % 2;
  }
  d.UpdateList(entries);
  const NodeId node = Only<StartAttempt>(d.Arrive("a", 1)).at(0).node;
  const auto again = Only<StartAttempt>(d.End("a", 0, node, Outcome::kTimedOut));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].node % 2, node % 2);
  d.now += 3 * kSecond;
  const auto late = d.End("a", 1, again[0].node, Outcome::kTimedOut);
  EXPECT_TRUE(Only<StartAttempt>(late).empty());
  EXPECT_EQ(Only<FailRequest>(late).size(), 1U);
}

TEST(RuleTwo, OneAttemptInFlight) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1), Entry(2)});
  EXPECT_EQ(Only<StartAttempt>(d.Arrive("a")).size(), 1U);
  for (int i = 0; i < 30; ++i) EXPECT_TRUE(Only<StartAttempt>(d.Wait(100 * kMs)).empty());
}

TEST(RuleThree, NothingGoesToADrainingOrGoneNode) {
  Driver d(BasicSettings());
  NodeEntry draining = Entry(1);
  draining.state = NodeState::kDraining;
  d.UpdateList({draining, Entry(2, 6, 12)});
  EXPECT_EQ(Only<StartAttempt>(d.Arrive("a")).at(0).node, 2U);
  NodeEntry gone = Entry(2);
  gone.state = NodeState::kRemoved;
  d.UpdateList({gone}, EndpointListUpdate::kDelta);
  EXPECT_TRUE(Only<StartAttempt>(d.Arrive("b")).empty());
  d.UpdateList({Entry(3)}, EndpointListUpdate::kFull);
  EXPECT_EQ(Only<StartAttempt>(d.Arrive("c")).at(0).node, 3U);
}

TEST(RuleThree, DiscoveryIsAskedAgainAfterAFailure) {
  Settings s = BasicSettings();
  s.discovery_by_subscription = true;
  Driver d(s);
  EXPECT_EQ(Only<WatchEndpointList>(d.UpdateList({Entry(1)}, EndpointListUpdate::kCached)).size(), 1U);
  EXPECT_TRUE(
      Only<WatchEndpointList>(d.Send(EndpointListChanged{EndpointListUpdate::kFailed, 0, nullptr})).empty());
  EXPECT_EQ(Only<WatchEndpointList>(d.Wait(kSecond)).size(), 1U);
}

TEST(RuleFour, AColdNodeGetsOnlyThisSchedulersPart) {
  Settings s = BasicSettings();
  s.scheduler_count = 2;
  Driver d(s);
  d.UpdateList({Entry(1, 0, 0)});
  d.now += 20 * kSecond;
  NodeEntry cold = Entry(1);
  cold.started_at = d.now - kSecond;
  d.UpdateList({cold}, EndpointListUpdate::kDelta);
  std::size_t sent = 0;
  for (int i = 0; i < 8; ++i) sent += Only<StartAttempt>(d.Arrive("t" + std::to_string(i))).size();
  EXPECT_EQ(sent, 2U);
  for (int i = 0; i < 9; ++i) sent += Only<StartAttempt>(d.Wait(100 * kMs)).size();
  EXPECT_EQ(sent, 2U);
}

TEST(RuleFour, ARestartedSchedulerWaitsOneWindow) {
  Driver d(BasicSettings());
  NodeEntry cold = Entry(1);
  cold.started_at = d.now - kSecond;
  d.UpdateList({cold}, EndpointListUpdate::kCached);
  EXPECT_TRUE(Only<StartAttempt>(d.Arrive("a")).empty());
  EXPECT_TRUE(Only<StartAttempt>(d.Wait(900 * kMs)).empty());
  EXPECT_EQ(Only<StartAttempt>(d.Wait(kSecond)).size(), 1U);
}

TEST(RuleFive, FoundAndOutstandingTasksCount) {
  for (const FailureDomain place : {FailureDomain::kNode, FailureDomain::kRack, FailureDomain::kZone}) {
    Settings s = BasicSettings();
    s.classes[0].spread_domain = place;
    s.classes[0].spread_limit = 2;
    Driver d(s);
    d.UpdateList({Entry(1)});
    d.Claim("f", 1);
    EXPECT_EQ(Only<StartAttempt>(d.Arrive("a")).size(), 1U);
    EXPECT_TRUE(Only<StartAttempt>(d.Arrive("b")).empty());
    EXPECT_EQ(Only<StartAttempt>(d.Arrive("other", 0, 1, 2, 8)).size(), 1U);
    const auto freed = d.End("f", 0, 1, Outcome::kOk, true);
    EXPECT_EQ(Only<StartAttempt>(freed).size() + Only<StartAttempt>(d.Wait(100 * kMs)).size(), 1U);
  }
}

// Rule 4 at size: more schedulers than sends in the budget, on one clock, some restarted in between, some
// that hear of the node late. All together stay within the budget in every window, and the node still gets
// work.
TEST(ColdNodes, ManySchedulersShareTheBudgetByTurns) {
  Settings s = BasicSettings();
  s.scheduler_count = 60;
  s.slow_start_sends = 10;
  s.overload_window = 2 * kSecond;
  s.slow_start_duration = 30 * kSecond;
  const Time start = 100 * kSecond;
  NodeEntry cold = Entry(7, 32, 64);
  cold.kind = 1;
  cold.started_at = start;
  std::vector<Driver> all;
  const auto begin = [&](int i) {
    s.scheduler_index = i;
    return Driver(s, 1000 + i);
  };
  for (int i = 0; i < s.scheduler_count; ++i) all.push_back(begin(i));
  std::vector<Time> sends;
  int task = 0;
  for (Time at = 0; at < 24 * kSecond; at += 250 * kMs) {
    for (int i = 0; i < s.scheduler_count; ++i) {
      if (at == 9 * kSecond && i % 7 == 0) all[i] = begin(i);  // restarted: what it sent is forgotten
      Driver& d = all[i];
      d.now = start + at;
      const auto carry_out = [&](const std::vector<Action>& actions) {
        for (const StartAttempt& o : Only<StartAttempt>(actions)) {
          sends.push_back(d.now);
          d.Send(TaskAccepted{o.id, 0, o.node, kMs});
          d.Send(AttemptEnded{o.id, 0, o.node, Outcome::kOk, kMs, true, EndReason::kUnspecified, {}});
        }
      };
      const bool late = i % 5 == 0 && at < 3 * kSecond;
      if (!late) carry_out(d.UpdateList({cold}));
      ++task;
      carry_out(d.Arrive("t" + std::to_string(task), 0, 0.1, 0.1, task));
    }
  }
  EXPECT_GE(sends.size(), 30U);  // 24 s of a budget of 10 in 2 s, at half of it and less for the restarts
  for (std::size_t i = 0; i < sends.size(); ++i) {
    int within = 0;
    for (std::size_t j = i; j < sends.size() && sends[j] < sends[i] + s.overload_window; ++j) ++within;
    EXPECT_LE(within, s.slow_start_sends);
  }
}

// A subscription can go silent without a word: it is asked for again, and not more often than needed.
TEST(RuleThree, ASilentListIsAskedForAgain) {
  Settings s = BasicSettings();
  s.discovery_by_subscription = true;
  s.subscription_timeout = 4 * kSecond;
  Driver d(s);
  d.UpdateList({Entry(1)}, EndpointListUpdate::kCached);
  d.UpdateList({Entry(1)}, EndpointListUpdate::kFull);
  EXPECT_TRUE(Only<WatchEndpointList>(d.Wait(kSecond)).empty());
  EXPECT_EQ(Only<WatchEndpointList>(d.Wait(1100 * kMs)).size(), 1U);
  EXPECT_TRUE(Only<WatchEndpointList>(d.Wait(kSecond)).empty());
}

// Restarted amid cold nodes: found tasks count for the spread, and the cold node waits its window.
TEST(Together, RestartedAmidColdNodes) {
  Settings s = BasicSettings();
  s.classes[0].spread_domain = FailureDomain::kNode;
  s.classes[0].spread_limit = 1;
  Driver d(s);
  NodeEntry cold = Entry(2);
  cold.started_at = d.now - kSecond;
  d.UpdateList({Entry(1, 4, 8), cold}, EndpointListUpdate::kCached);
  Task found;
  found.id = Id("f");
  found.service = 7;
  found.cores = 1;
  found.memory = 2;
  d.Send(TaskClaimed{found, 1});
  EXPECT_TRUE(Only<StartAttempt>(d.Arrive("a")).empty());
  const auto later = Only<StartAttempt>(d.Wait(1500 * kMs));
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(later[0].node, 2U);
}

// The list out of reach while nodes die: offers go to what answers, nothing is lost, lines stay few.
TEST(Together, ListOutOfReachWhileNodesDie) {
  Settings s = BasicSettings();
  s.discovery_by_subscription = true;
  Driver d(s);
  d.UpdateList({Entry(1), Entry(2), Entry(3, 5, 10)}, EndpointListUpdate::kCached);
  std::size_t logs = 0, answers = 0;
  for (int i = 0; i < 300; ++i) {
    d.now += 20 * kMs;
    logs += Only<LogMessage>(d.Send(EndpointListChanged{EndpointListUpdate::kFailed, 0, nullptr})).size();
    const std::string id = "t" + std::to_string(i);
    auto actions = d.Arrive(id, 0, 1, 2, 100 + i);
    for (int attempt = 0; attempt < 4; ++attempt) {
      logs += Only<LogMessage>(actions).size();
      answers += Only<RejectRequest>(actions).size();
      const auto offers = Only<StartAttempt>(actions);
      if (offers.empty()) break;
      if (offers[0].node == 3) {
        d.Send(TaskAccepted{Id(id), attempt, 3, kMs});
        actions = d.End(id, attempt, 3, Outcome::kOk, true);
        ++answers;
      } else {
        actions = d.End(id, attempt, offers[0].node, Outcome::kNoConnection);
      }
    }
  }
  EXPECT_EQ(answers, 300U);
  EXPECT_LE(logs, 100U);
}

}  // namespace
}  // namespace scheduling
