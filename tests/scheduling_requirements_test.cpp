// Tests of the requirements of the platform that the scheduler fulfils alone, from events to actions: answers
// to requests (rule 1), retry safety (rule 2), the endpoint list (rule 3), slow start (rule 4) and spread
// (rule 5).
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduling_driver.h"

namespace scheduling {
namespace {

TEST(RequestAnswers, PendingRequestIsRejectedOnceBeforeItsDeadline) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1, 0, 0)});
  EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.SendRequest("a")).empty());
  EXPECT_TRUE(ActionsOfType<RejectRequest>(driver.AdvanceTime(7 * kSecond)).empty());
  const Time deadline = driver.now + kSecond;
  driver.now = deadline - 4 * kMs;
  EXPECT_EQ(ActionsOfType<RejectRequest>(driver.AdvanceTime(0)).size(), 1U);
  EXPECT_TRUE(ActionsOfType<RejectRequest>(driver.AdvanceTime(kSecond)).empty());
}

TEST(RequestAnswers, RejectionCarriesRetryAfterWithinTheConfiguredMaximum) {
  for (const Time max_retry_after : {Time{0}, kSecond, 10 * kSecond}) {
    Settings settings = BasicSettings();
    settings.max_retry_after = max_retry_after;
    Driver driver(settings);
    driver.UpdateEndpointList({MakeEntry(1, 0, 0)});
    driver.SendRequest("a");
    const std::vector<RejectRequest> rejected = ActionsOfType<RejectRequest>(driver.AdvanceTime(8 * kSecond));
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_EQ(rejected[0].retry_after > 0, max_retry_after > 0);
    EXPECT_LE(rejected[0].retry_after, max_retry_after);
  }
}

TEST(RequestAnswers, PendingRequestIsAttemptedWhenCapacityBecomesFree) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1, 0, 0)});
  EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.SendRequest("a")).empty());
  driver.now += kSecond;
  const auto attempts = ActionsOfType<StartAttempt>(
      driver.UpdateEndpointList({MakeEntry(1, 8, 16)}, EndpointListUpdate::kDelta));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_EQ(attempts[0].id, RequestIdFor("a"));
}

TEST(RetrySafety, NonIdempotentTaskThatMayHaveRunFails) {
  for (const Outcome outcome :
       {Outcome::kTimedOut, Outcome::kError, Outcome::kAborted, Outcome::kCancelled}) {
    Driver driver(BasicSettings());
    driver.UpdateEndpointList({MakeEntry(1), MakeEntry(2)});
    const NodeId node = ActionsOfType<StartAttempt>(driver.SendRequest("a", 2)).at(0).node;
    const auto actions = driver.EndAttempt("a", 0, node, outcome);
    EXPECT_EQ(ActionsOfType<FailRequest>(actions).size(), 1U);
    EXPECT_TRUE(ActionsOfType<StartAttempt>(actions).empty());
    EXPECT_TRUE(ActionsOfType<RejectRequest>(actions).empty());
  }
}

TEST(RetrySafety, NonIdempotentTaskThatNeverRanIsAttemptedAgain) {
  for (const Outcome outcome : {Outcome::kRefused, Outcome::kNoConnection, Outcome::kNotSent}) {
    Driver driver(BasicSettings());
    driver.UpdateEndpointList({MakeEntry(1), MakeEntry(2)});
    const NodeId node = ActionsOfType<StartAttempt>(driver.SendRequest("a", 2)).at(0).node;
    const auto actions = driver.EndAttempt("a", 0, node, outcome);
    EXPECT_EQ(ActionsOfType<StartAttempt>(actions).size(), 1U);
    EXPECT_TRUE(ActionsOfType<FailRequest>(actions).empty());
  }
}

TEST(RetrySafety, KeyedTaskIsRetriedOnlyWithinItsKeyScopeAndTtl) {
  Driver driver(BasicSettings());
  std::vector<NodeEntry> entries;
  for (NodeId id = 1; id <= 6; ++id) {
    entries.push_back(MakeEntry(id));
    entries.back().zone = id % 2;
  }
  driver.UpdateEndpointList(entries);
  const NodeId node = ActionsOfType<StartAttempt>(driver.SendRequest("a", 1)).at(0).node;
  const auto retry = ActionsOfType<StartAttempt>(driver.EndAttempt("a", 0, node, Outcome::kTimedOut));
  ASSERT_EQ(retry.size(), 1U);
  EXPECT_EQ(retry[0].node % 2, node % 2);
  driver.now += 3 * kSecond;
  const auto after_ttl = driver.EndAttempt("a", 1, retry[0].node, Outcome::kTimedOut);
  EXPECT_TRUE(ActionsOfType<StartAttempt>(after_ttl).empty());
  EXPECT_EQ(ActionsOfType<FailRequest>(after_ttl).size(), 1U);
}

TEST(RetrySafety, AtMostOneAttemptIsInFlight) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1), MakeEntry(2)});
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a")).size(), 1U);
  for (int i = 0; i < 30; ++i)
    EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.AdvanceTime(100 * kMs)).empty());
}

TEST(EndpointList, DrainingAndRemovedNodesGetNoAttempt) {
  Driver driver(BasicSettings());
  NodeEntry draining = MakeEntry(1);
  draining.state = NodeState::kDraining;
  driver.UpdateEndpointList({draining, MakeEntry(2, 6, 12)});
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a")).at(0).node, 2U);
  NodeEntry removed = MakeEntry(2);
  removed.state = NodeState::kRemoved;
  driver.UpdateEndpointList({removed}, EndpointListUpdate::kDelta);
  EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.SendRequest("b")).empty());
  driver.UpdateEndpointList({MakeEntry(3)}, EndpointListUpdate::kFull);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("c")).at(0).node, 3U);
}

TEST(EndpointList, IsSubscribedToAgainAfterAFailure) {
  Settings settings = BasicSettings();
  settings.discovery_by_subscription = true;
  Driver driver(settings);
  EXPECT_EQ(
      ActionsOfType<WatchEndpointList>(driver.UpdateEndpointList({MakeEntry(1)}, EndpointListUpdate::kCached))
          .size(),
      1U);
  EXPECT_TRUE(ActionsOfType<WatchEndpointList>(
                  driver.Send(EndpointListChanged{EndpointListUpdate::kFailed, 0, nullptr}))
                  .empty());
  EXPECT_EQ(ActionsOfType<WatchEndpointList>(driver.AdvanceTime(kSecond)).size(), 1U);
}

TEST(SlowStart, NodeWarmingUpGetsOnlyThisSchedulersShare) {
  Settings settings = BasicSettings();
  settings.scheduler_count = 2;
  Driver driver(settings);
  driver.UpdateEndpointList({MakeEntry(1, 0, 0)});
  driver.now += 20 * kSecond;
  NodeEntry warming_up = MakeEntry(1);
  warming_up.started_at = driver.now - kSecond;
  driver.UpdateEndpointList({warming_up}, EndpointListUpdate::kDelta);
  std::size_t sent = 0;
  for (int i = 0; i < 8; ++i)
    sent += ActionsOfType<StartAttempt>(driver.SendRequest("t" + std::to_string(i))).size();
  EXPECT_EQ(sent, 2U);
  for (int i = 0; i < 9; ++i) sent += ActionsOfType<StartAttempt>(driver.AdvanceTime(100 * kMs)).size();
  EXPECT_EQ(sent, 2U);
}

TEST(SlowStart, RestartedSchedulerWaitsOneWindow) {
  Driver driver(BasicSettings());
  NodeEntry warming_up = MakeEntry(1);
  warming_up.started_at = driver.now - kSecond;
  driver.UpdateEndpointList({warming_up}, EndpointListUpdate::kCached);
  EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.SendRequest("a")).empty());
  EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.AdvanceTime(900 * kMs)).empty());
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.AdvanceTime(kSecond)).size(), 1U);
}

TEST(Spread, ClaimedTasksAndOpenAttemptsCount) {
  for (const FailureDomain domain : {FailureDomain::kNode, FailureDomain::kRack, FailureDomain::kZone}) {
    Settings settings = BasicSettings();
    settings.classes[0].spread_domain = domain;
    settings.classes[0].spread_limit = 2;
    Driver driver(settings);
    driver.UpdateEndpointList({MakeEntry(1)});
    driver.ClaimTask("claimed", 1);
    EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a")).size(), 1U);
    EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.SendRequest("b")).empty());
    EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("other", 0, 1, 2, 8)).size(), 1U);
    const auto freed = driver.EndAttempt("claimed", 0, 1, Outcome::kOk, true);
    EXPECT_EQ(ActionsOfType<StartAttempt>(freed).size() +
                  ActionsOfType<StartAttempt>(driver.AdvanceTime(100 * kMs)).size(),
              1U);
  }
}

// More schedulers than attempts in the limit, on one clock. Some restart and some receive the endpoint list
// late. Together they stay within the limit in every window, and the node still gets tasks.
TEST(SlowStart, ManySchedulersShareTheLimitByTimeSlots) {
  Settings settings = BasicSettings();
  settings.scheduler_count = 60;
  settings.slow_start_sends = 10;
  settings.overload_window = 2 * kSecond;
  settings.slow_start_duration = 30 * kSecond;
  const Time start = 100 * kSecond;
  NodeEntry warming_up = MakeEntry(7, 32, 64);
  warming_up.kind = 1;
  warming_up.started_at = start;
  std::vector<Driver> drivers;
  const auto start_scheduler = [&](int i) {
    settings.scheduler_index = i;
    return Driver(settings, 1000 + i);
  };
  for (int i = 0; i < settings.scheduler_count; ++i) drivers.push_back(start_scheduler(i));
  std::vector<Time> sends;
  int task = 0;
  for (Time elapsed = 0; elapsed < 24 * kSecond; elapsed += 250 * kMs) {
    for (int i = 0; i < settings.scheduler_count; ++i) {
      if (elapsed == 9 * kSecond && i % 7 == 0)
        drivers[i] = start_scheduler(i);  // restarted, without memory of what it sent
      Driver& driver = drivers[i];
      driver.now = start + elapsed;
      const auto carry_out = [&](const std::vector<Action>& actions) {
        for (const StartAttempt& attempt : ActionsOfType<StartAttempt>(actions)) {
          sends.push_back(driver.now);
          driver.Send(TaskAccepted{attempt.id, 0, attempt.node, kMs});
          driver.Send(AttemptEnded{
              attempt.id, 0, attempt.node, Outcome::kOk, kMs, true, EndReason::kUnspecified, {}});
        }
      };
      const bool late = i % 5 == 0 && elapsed < 3 * kSecond;
      if (!late) carry_out(driver.UpdateEndpointList({warming_up}));
      ++task;
      carry_out(driver.SendRequest("t" + std::to_string(task), 0, 0.1, 0.1, task));
    }
  }
  EXPECT_GE(sends.size(),
            30U);  // 24 s with a limit of 10 in 2 s; about half, and less because of the restarts
  for (std::size_t i = 0; i < sends.size(); ++i) {
    int within = 0;
    for (std::size_t j = i; j < sends.size() && sends[j] < sends[i] + settings.overload_window; ++j) ++within;
    EXPECT_LE(within, settings.slow_start_sends);
  }
}

// A subscription can fall silent without an error. It is renewed, but not more often than needed.
TEST(EndpointList, SilentSubscriptionIsRenewed) {
  Settings settings = BasicSettings();
  settings.discovery_by_subscription = true;
  settings.subscription_timeout = 4 * kSecond;
  Driver driver(settings);
  driver.UpdateEndpointList({MakeEntry(1)}, EndpointListUpdate::kCached);
  driver.UpdateEndpointList({MakeEntry(1)}, EndpointListUpdate::kFull);
  EXPECT_TRUE(ActionsOfType<WatchEndpointList>(driver.AdvanceTime(kSecond)).empty());
  EXPECT_EQ(ActionsOfType<WatchEndpointList>(driver.AdvanceTime(1100 * kMs)).size(), 1U);
  EXPECT_TRUE(ActionsOfType<WatchEndpointList>(driver.AdvanceTime(kSecond)).empty());
}

// After a restart claimed tasks count for the spread, and a node that is warming up gets no attempt for one
// window.
TEST(CombinedFailures, RestartWhileANodeWarmsUp) {
  Settings settings = BasicSettings();
  settings.classes[0].spread_domain = FailureDomain::kNode;
  settings.classes[0].spread_limit = 1;
  Driver driver(settings);
  NodeEntry warming_up = MakeEntry(2);
  warming_up.started_at = driver.now - kSecond;
  driver.UpdateEndpointList({MakeEntry(1, 4, 8), warming_up}, EndpointListUpdate::kCached);
  Task claimed;
  claimed.id = RequestIdFor("claimed");
  claimed.service = 7;
  claimed.cores = 1;
  claimed.memory = 2;
  driver.Send(TaskClaimed{claimed, 1});
  EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.SendRequest("a")).empty());
  const auto after_window = ActionsOfType<StartAttempt>(driver.AdvanceTime(1500 * kMs));
  ASSERT_EQ(after_window.size(), 1U);
  EXPECT_EQ(after_window[0].node, 2U);
}

// The endpoint list is unavailable while nodes fail: attempts go to the node that responds, every request is
// answered, and the number of log lines is bounded.
TEST(CombinedFailures, EndpointListUnavailableWhileNodesFail) {
  Settings settings = BasicSettings();
  settings.discovery_by_subscription = true;
  Driver driver(settings);
  driver.UpdateEndpointList({MakeEntry(1), MakeEntry(2), MakeEntry(3, 5, 10)}, EndpointListUpdate::kCached);
  std::size_t logs = 0, answers = 0;
  for (int i = 0; i < 300; ++i) {
    driver.now += 20 * kMs;
    logs +=
        ActionsOfType<LogMessage>(driver.Send(EndpointListChanged{EndpointListUpdate::kFailed, 0, nullptr}))
            .size();
    const std::string id = "t" + std::to_string(i);
    auto actions = driver.SendRequest(id, 0, 1, 2, 100 + i);
    for (int attempt = 0; attempt < 4; ++attempt) {
      logs += ActionsOfType<LogMessage>(actions).size();
      answers += ActionsOfType<RejectRequest>(actions).size();
      const auto attempts = ActionsOfType<StartAttempt>(actions);
      if (attempts.empty()) break;
      if (attempts[0].node == 3) {
        driver.Send(TaskAccepted{RequestIdFor(id), attempt, 3, kMs});
        actions = driver.EndAttempt(id, attempt, 3, Outcome::kOk, true);
        ++answers;
      } else {
        actions = driver.EndAttempt(id, attempt, attempts[0].node, Outcome::kNoConnection);
      }
    }
  }
  EXPECT_EQ(answers, 300U);
  EXPECT_LE(logs, 100U);
}

}  // namespace
}  // namespace scheduling
