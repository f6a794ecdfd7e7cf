// Tests of attempt time-outs, health checks, refusals, load reports, and pending requests.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "scheduling_driver.h"

namespace scheduling {
namespace {

// An attempt without an answer on a node that accepted other tasks meanwhile is taken for lost: it is
// repeated on another node before the client's deadline, and the node is not ejected.
TEST(AttemptTimeouts, SlowAttemptIsRepeatedOnAnotherNodeWithoutEjection) {
  Settings settings = BasicSettings();
  settings.accepted_means_running = true;
  Driver driver(settings);
  driver.UpdateEndpointList({MakeEntry(1, 16), MakeEntry(2, 10)});
  const StartAttempt lost = ActionsOfType<StartAttempt>(driver.SendRequest("lost")).at(0);
  const StartAttempt non_idempotent =
      ActionsOfType<StartAttempt>(driver.SendRequest("non-idempotent", 2, 1, 2, 8)).at(0);
  EXPECT_GT(non_idempotent.deadline,
            driver.now + 7 * kSecond);  // an earlier time-out could only fail the request
  ASSERT_LT(lost.deadline, driver.now + 3 * kSecond);
  driver.AdvanceTime(500 * kMs);
  driver.SendRequest("other");
  driver.Send(TaskAccepted{RequestIdFor("other"), 0, lost.node, 100 * kMs});
  driver.now = lost.deadline;
  const StartAttempt repeated =
      ActionsOfType<StartAttempt>(driver.EndAttempt("lost", 0, lost.node, Outcome::kTimedOut)).at(0);
  EXPECT_NE(repeated.node, lost.node);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("more")).at(0).node, lost.node);
}

// A node that hangs is found by health checks and not by the tasks lost on it. All schedulers together make
// ten checks a second.
TEST(HealthChecks, CoverAllNodesWithinFourSeconds) {
  Settings settings = BasicSettings();
  settings.scheduler_count = 3;
  Driver driver(settings);
  std::vector<NodeEntry> entries;
  for (NodeId id = 1; id <= 10; ++id) entries.push_back(MakeEntry(id));
  std::set<NodeId> checked;
  const auto answer_checks = [&](const std::vector<Action>& actions) {
    for (const CheckNodeHealth& check : ActionsOfType<CheckNodeHealth>(actions)) {
      checked.insert(check.node);
      driver.Send(HealthCheckCompleted{check.node, Outcome::kOk, kMs, {}});
    }
  };
  answer_checks(driver.UpdateEndpointList(entries));
  for (int i = 0; i < 400; ++i) answer_checks(driver.AdvanceTime(10 * kMs));
  EXPECT_EQ(checked.size(), entries.size());  // within 4 s
}

TEST(HealthChecks, EjectedNodeIsCheckedAndReinstated) {
  Driver driver(BasicSettings());
  const auto first_checks =
      ActionsOfType<CheckNodeHealth>(driver.UpdateEndpointList({MakeEntry(1), MakeEntry(2, 6, 12)}));
  ASSERT_EQ(first_checks.size(), 1U);
  driver.Send(HealthCheckCompleted{first_checks[0].node, Outcome::kOk, kMs, {}});
  ASSERT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a")).at(0).node, 1U);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.EndAttempt("a", 0, 1, Outcome::kTimedOut)).at(0).node, 2U);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("b", 0, 1, 2, 8)).at(0).node, 2U);
  const auto later_checks = ActionsOfType<CheckNodeHealth>(driver.AdvanceTime(kSecond));
  EXPECT_TRUE(std::any_of(later_checks.begin(), later_checks.end(),
                          [](const CheckNodeHealth& check) { return check.node == 1; }));
  driver.Send(HealthCheckCompleted{1, Outcome::kOk, kMs, {}});
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("c", 0, 1, 2, 9)).at(0).node, 1U);
}

// A node that refuses one tenant without a reason still gets the tasks of other tenants.
TEST(Refusals, WithoutAReasonApplyOnlyToTheirTenant) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1), MakeEntry(2, 8, 16)});
  ASSERT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a")).at(0).node, 1U);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.EndAttempt("a", 0, 1, Outcome::kRefused)).at(0).node, 2U);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("b", 0, 1, 2, 8)).at(0).node, 2U);
  Task other;
  other.id = RequestIdFor("c");
  other.tenant = 1;
  other.cores = 1;
  other.memory = 2;
  other.service = 9;
  other.deadline = driver.now + 8 * kSecond;
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.Send(TaskArrived{other})).at(0).node, 1U);
  driver.now += 5 * kSecond;
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("d", 0, 1, 2, 10)).at(0).node, 1U);
}

// If many schedulers have pending requests and little capacity becomes free, only some of them start an
// attempt at once. A single scheduler always does.
TEST(PendingRequests, ScarceCapacityIsSharedAmongManySchedulers) {
  const auto attempts = [](int schedulers) {
    int count = 0;
    for (int i = 0; i < 40; ++i) {
      Settings settings = BasicSettings();
      settings.scheduler_count = schedulers;
      settings.scheduler_index = i;
      Driver driver(settings, 50 + i);
      driver.UpdateEndpointList({MakeEntry(1, 0, 0)});
      for (int t = 0; t < 5; ++t) driver.SendRequest("t" + std::to_string(t), 0, 1, 2, 20 + t);
      driver.now += 3 * kSecond;
      count += !ActionsOfType<StartAttempt>(
                    driver.UpdateEndpointList({MakeEntry(1, 2, 4)}, EndpointListUpdate::kDelta))
                    .empty();
    }
    return count;
  };
  EXPECT_EQ(attempts(1), 40);
  EXPECT_LE(attempts(400), 20);
}

// Degraded nodes are not preferred but remain allowed. Otherwise all requests would be pending until they
// fail when all nodes are degraded at once.
TEST(PreferredNodes, DegradedNodesAreUsedIfThereIsNoOther) {
  Settings settings = BasicSettings();
  settings.reports_memory_pressure = true;
  Driver driver(settings);
  driver.UpdateEndpointList({MakeEntry(1), MakeEntry(2, 6, 12)});
  ASSERT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a")).at(0).node, 1U);
  driver.Send(TaskAccepted{RequestIdFor("a"), 0, 1, 20 * kMs});
  driver.Send(TaskReported{RequestIdFor("a"), 0, 1, TaskReportKind::kServiceLevel, 0.3});
  ASSERT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("b", 0, 1, 2, 8)).at(0).node, 2U);
  driver.Send(TaskAccepted{RequestIdFor("b"), 0, 2, 20 * kMs});
  driver.Send(TaskReported{RequestIdFor("b"), 0, 2, TaskReportKind::kServiceLevel, 0.3});
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("c", 0, 1, 2, 9)).size(), 1U);
}

// Slow cores and heavy tasks of other schedulers do not show in the requested resources, but in load reports.
TEST(LoadReports, BusyNodeIsNotPreferred) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1, 9, 18), MakeEntry(2, 7, 14)});
  for (int i = 0; i < 12; ++i) driver.Send(HealthCheckCompleted{1, Outcome::kOk, kMs, CpuLoadReport(1.0)});
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a", 0, 1, 2, 8)).at(0).node, 2U);
}

// A class whose service level falls early is not placed on a node with more busy cores than its degradation
// start while a less busy node fits.
TEST(PreferredNodes, CoresLimitFollowsTheDegradationStartOfTheClass) {
  Settings settings = BasicSettings();
  settings.classes[0].degradation_start = 0.5;
  settings.classes[0].degradation_span = 0.1;
  settings.node_price = 0.3;  // the fuller node would come first
  for (const double degradation_start : {0.5, 1.0}) {
    settings.classes[0].degradation_start = degradation_start;
    Driver driver(settings);
    driver.UpdateEndpointList({MakeEntry(1, 5, 26), MakeEntry(2, 16, 32)});
    EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a", 0, 1, 1, 8)).at(0).node,
              degradation_start < 1 ? 2U : 1U);
  }
}

TEST(PendingRequests, HighestPriorityWeightGetsTheFirstAttempt) {
  Settings settings = BasicSettings();
  settings.classes[2].priority_weight = 5;
  Driver driver(settings);
  driver.UpdateEndpointList({MakeEntry(1, 0, 0)});
  EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.SendRequest("low weight", 0, 2, 4, 1)).empty());
  EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.SendRequest("high weight", 2, 2, 4, 2)).empty());
  driver.now += kSecond;
  const auto attempts = ActionsOfType<StartAttempt>(
      driver.UpdateEndpointList({MakeEntry(1, 3, 8)}, EndpointListUpdate::kDelta));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_EQ(attempts[0].id, RequestIdFor("high weight"));
}

TEST(PendingRequests, TenantOverItsQuotaGetsTheLastAttempt) {
  Settings settings = BasicSettings();
  settings.tenants.resize(2);
  settings.tenants[0].quota_cores = 1;
  settings.tenants[1].quota_cores = 20;
  settings.over_quota_weight = 0.1;
  Driver driver(settings);
  driver.UpdateEndpointList({MakeEntry(1, 0, 0)});
  Task task;
  task.id = RequestIdFor("running");
  task.cores = 4;
  task.memory = 4;
  driver.Send(TaskClaimed{task, 1});
  for (const auto& [id, tenant] : {std::pair<std::string, int>{"over quota", 0}, {"within quota", 1}}) {
    task.id = RequestIdFor(id);
    task.tenant = tenant;
    task.service = 10 + tenant;
    task.cores = 2;
    task.deadline = driver.now + 8 * kSecond;
    EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.Send(TaskArrived{task})).empty());
  }
  driver.now += kSecond;
  const auto attempts = ActionsOfType<StartAttempt>(
      driver.UpdateEndpointList({MakeEntry(1, 3, 8)}, EndpointListUpdate::kDelta));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_EQ(attempts[0].id, RequestIdFor("within quota"));
}

}  // namespace
}  // namespace scheduling
