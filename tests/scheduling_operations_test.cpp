// Tests of changed settings, shutdown, and the count of excluded nodes.
#include <gtest/gtest.h>

#include "scheduling_driver.h"

namespace scheduling {
namespace {

std::vector<Action> ChangeSettings(Driver* driver, const Settings& settings,
                                   std::vector<int> estimate_sources) {
  return driver->Send(
      SettingsChanged{std::make_shared<const Settings>(settings), std::move(estimate_sources)});
}

// Without health checks, so that the only timers are those of the behaviour under test.
Settings SettingsWithoutHealthChecks() {
  Settings settings = BasicSettings();
  settings.allows_health_checks = false;
  return settings;
}

// An acceptance that arrives after the end of its attempt is delivered in the order of arrival.
TEST(CrossedEvents, AcceptanceOfAPendingRequestIsIgnored) {
  Driver driver(SettingsWithoutHealthChecks());
  driver.UpdateEndpointList({MakeEntry(1, 0.1, 32)});
  EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.SendRequest("pending")).empty());
  EXPECT_TRUE(driver.Send(TaskAccepted{RequestIdFor("pending"), 0, 1, kMs}).empty());
  driver.now += kSecond;
  const auto attempts =
      ActionsOfType<StartAttempt>(driver.UpdateEndpointList({MakeEntry(1)}, EndpointListUpdate::kDelta));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_EQ(attempts[0].id, RequestIdFor("pending"));
}

TEST(SettingsChange, NewClassUsesItsOwnSettings) {
  Driver driver(BasicSettings());
  NodeEntry second_kind = MakeEntry(2, 32, 64);
  second_kind.kind = 1;
  driver.UpdateEndpointList({MakeEntry(1), second_kind});
  Settings settings = BasicSettings();
  settings.classes.push_back(settings.classes[0]);
  settings.classes[3].required_node_kind = 1;
  EXPECT_TRUE(ActionsOfType<LogMessage>(ChangeSettings(&driver, settings, {0, 1, 2, -1})).empty());
  for (int i = 0; i < 5; ++i) {
    const auto attempts =
        ActionsOfType<StartAttempt>(driver.SendRequest("kind" + std::to_string(i), 3, 1, 2, 50 + i));
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_EQ(attempts[0].node, 2U);
  }
}

TEST(SettingsChange, InvalidSettingsAreLoggedAndThePreviousOnesStay) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1)});
  Settings invalid = BasicSettings();
  invalid.classes[1].deadline = 0;
  const auto logs = ActionsOfType<LogMessage>(ChangeSettings(&driver, invalid, {0, 1, 2}));
  ASSERT_EQ(logs.size(), 1U);
  EXPECT_NE(logs[0].text.find("class 1: deadline must be positive"), std::string::npos);
  EXPECT_EQ(ActionsOfType<LogMessage>(driver.Send(SettingsChanged{})).size(), 1U);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a", 1)).size(), 1U);
}

// The number of tasks placed on node 1 depends on the learned use of the class.
int CountOnFirstNode(Driver* driver, int class_index, const std::string& prefix) {
  int on_first_node = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = prefix + std::to_string(i);
    for (const StartAttempt& attempt :
         ActionsOfType<StartAttempt>(driver->SendRequest(id, class_index, 1, 0.1, 900 + i)))
      on_first_node += attempt.node == 1;
  }
  return on_first_node;
}
void ReportTwiceTheRequestedCores(Driver* driver) {
  for (int i = 0; i < 200; ++i) {
    const std::string id = "learn" + std::to_string(i);
    driver->SendRequest(id, 0, 1, 0.1, 3);
    driver->Send(TaskAccepted{RequestIdFor(id), 0, 1, kMs});
    driver->Send(TaskReported{RequestIdFor(id), 0, 1, TaskReportKind::kCoresUsed, 2.0});
    driver->EndAttempt(id, 0, 1, Outcome::kOk, true);
  }
}
int CountAfterChange(std::vector<int> estimate_sources, int class_index) {
  static int runs = 0;
  Settings settings = SettingsWithoutHealthChecks();
  settings.cores_overcommit = 4;
  Driver driver(settings);
  driver.UpdateEndpointList({MakeEntry(1)});
  ReportTwiceTheRequestedCores(&driver);
  settings.classes.push_back(settings.classes[0]);
  ChangeSettings(&driver, settings, std::move(estimate_sources));
  return CountOnFirstNode(&driver, class_index, "task" + std::to_string(++runs) + "-");
}

TEST(SettingsChange, ClassTakesOverTheEstimatesOfItsSource) {
  const int inherited = CountAfterChange({0, 1, 2, -1}, 0), initial = CountAfterChange({0, 1, 2, -1}, 3);
  EXPECT_LT(inherited, initial);  // each task of the class is known to use more
  EXPECT_EQ(CountAfterChange({0, 1, 2, 0}, 3), inherited);
  EXPECT_EQ(CountAfterChange({-1, 1, 2, -1}, 0), initial);
  EXPECT_EQ(CountAfterChange({0, 1, 2, 77}, 3), initial);  // no such index
  EXPECT_EQ(CountAfterChange({}, 0), initial);
}

TEST(SettingsChange, OpenRequestsGetNoMoreAttemptsThanAtTheirArrival) {
  for (const int max_attempts : {1, 2, 9}) {
    Settings settings = SettingsWithoutHealthChecks();
    settings.max_attempts = 3;
    Driver driver(settings);
    driver.UpdateEndpointList(
        {MakeEntry(1), MakeEntry(2), MakeEntry(3), MakeEntry(4), MakeEntry(5), MakeEntry(6)});
    const std::string id = "request" + std::to_string(max_attempts);
    auto attempts = ActionsOfType<StartAttempt>(driver.SendRequest(id));
    ASSERT_EQ(attempts.size(), 1U);
    settings.max_attempts = max_attempts;
    ChangeSettings(&driver, settings, {0, 1, 2});
    int ended = 0;
    while (!attempts.empty()) {
      attempts =
          ActionsOfType<StartAttempt>(driver.EndAttempt(id, ended++, attempts[0].node, Outcome::kError));
      ASSERT_LT(ended, 20);
    }
    EXPECT_EQ(ended, std::min(3, max_attempts));
    EXPECT_FALSE(driver.scheduler.Tracks(RequestIdFor(id)));
  }
}

TEST(SettingsChange, AnswerDeadlinesFollowTheNewTick) {
  Settings settings = SettingsWithoutHealthChecks();
  Driver driver(settings);
  driver.SendRequest("pending");
  settings.tick = 500 * kMs;
  ChangeSettings(&driver, settings, {0, 1, 2});
  EXPECT_TRUE(ActionsOfType<RejectRequest>(driver.AdvanceTime(6 * kSecond)).empty());
  EXPECT_EQ(ActionsOfType<RejectRequest>(driver.AdvanceTime(1100 * kMs)).size(), 1U);
}

TEST(SettingsChange, PlacementIndexIsRebuilt) {
  Settings settings = BasicSettings();
  Driver driver(settings);
  std::vector<NodeEntry> entries;
  for (NodeId id = 1; id <= 100; ++id) entries.push_back(MakeEntry(id));
  entries[41] = MakeEntry(42, 64, 128);
  entries[41].kind = 2;
  driver.UpdateEndpointList(entries);
  driver.SendRequest("before");
  const std::uint64_t examined_before = driver.scheduler.candidates_examined();
  settings.kind_cores.push_back(64);
  settings.kind_memory.push_back(128);
  settings.classes.push_back(settings.classes[0]);
  settings.classes[3].required_node_kind = 2;
  ChangeSettings(&driver, settings, {0, 1, 2, -1});
  const auto attempts = ActionsOfType<StartAttempt>(driver.SendRequest("large", 3, 20, 10));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_EQ(attempts[0].node, 42U);
  EXPECT_GE(driver.scheduler.candidates_examined(), examined_before);
}

TEST(SettingsChange, TenantsKeepTheirCountedCores) {
  Settings settings = SettingsWithoutHealthChecks();
  settings.tenants.resize(2);
  settings.tenants[1].quota_cores = 2;
  settings.over_quota_weight = 0.01;
  Driver driver(settings);
  driver.UpdateEndpointList({MakeEntry(1, 16, 32)});
  const auto arrive = [&driver](const std::string& id, int tenant, double cores) {
    Task task;
    task.id = RequestIdFor(id);
    task.tenant = tenant;
    task.cores = cores;
    task.memory = 1;
    task.service = RequestIdFor(id);
    task.deadline = driver.now + 8 * kSecond;
    return driver.Send(TaskArrived{task});
  };
  ASSERT_EQ(ActionsOfType<StartAttempt>(arrive("over", 1, 4)).size(), 1U);
  driver.Send(TaskAccepted{RequestIdFor("over"), 0, 1, kMs});
  ASSERT_EQ(ActionsOfType<StartAttempt>(arrive("filler", 0, 12)).size(), 1U);
  driver.Send(TaskAccepted{RequestIdFor("filler"), 0, 1, kMs});
  settings.tenants.resize(3);
  ChangeSettings(&driver, settings, {0, 1, 2});
  arrive("over quota, second", 1, 12);
  arrive("other tenant", 2, 12);
  driver.EndAttempt("filler", 0, 1, Outcome::kOk, true);
  const auto attempts = ActionsOfType<StartAttempt>(driver.AdvanceTime(100 * kMs));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_EQ(attempts[0].id, RequestIdFor("other tenant"));
}

TEST(Shutdown, OpenRequestsAreAnsweredBeforeIt) {
  Driver driver(SettingsWithoutHealthChecks());
  driver.UpdateEndpointList({MakeEntry(1)});
  ASSERT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("idempotent", 0)).size(), 1U);
  ASSERT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("non-idempotent", 2)).size(), 1U);
  const auto timers = ActionsOfType<SetTimer>(driver.Send(ShutdownScheduled{driver.now + kSecond}));
  ASSERT_EQ(timers.size(), 1U);
  EXPECT_LE(timers[0].at, driver.now + kSecond);
  driver.SendRequest("large", 0, 100, 1);  // fits nowhere
  const auto late = ActionsOfType<StartAttempt>(driver.SendRequest("late", 0));
  ASSERT_EQ(late.size(), 1U);
  EXPECT_LE(late[0].deadline, driver.now + kSecond);
  const auto actions = driver.AdvanceTime(999 * kMs);
  EXPECT_EQ(ActionsOfType<RejectRequest>(actions).size(), 3U);
  const auto failed = ActionsOfType<FailRequest>(actions);
  ASSERT_EQ(failed.size(), 1U);  // its attempt is in flight and the task may run
  EXPECT_EQ(failed[0].id, RequestIdFor("non-idempotent"));
  EXPECT_TRUE(ActionsOfType<RejectRequest>(driver.AdvanceTime(kSecond)).empty());
}

TEST(Shutdown, RequestsThatArriveAfterItAreRejectedAtOnce) {
  Driver driver(SettingsWithoutHealthChecks());
  driver.UpdateEndpointList({MakeEntry(1)});
  driver.Send(ShutdownScheduled{driver.now + kSecond});
  driver.now += 2 * kSecond;
  const auto actions = driver.SendRequest("after");
  EXPECT_EQ(ActionsOfType<RejectRequest>(actions).size(), 1U);
  EXPECT_TRUE(ActionsOfType<StartAttempt>(actions).empty());
}

TEST(Shutdown, EarlierRequestDeadlineStays) {
  Driver driver(SettingsWithoutHealthChecks());
  driver.SendRequest("early");
  driver.Send(ShutdownScheduled{driver.now + 60 * kSecond});
  EXPECT_EQ(ActionsOfType<RejectRequest>(driver.AdvanceTime(8 * kSecond)).size(), 1U);
}

TEST(Shutdown, NodesWarmingUpGetNoFurtherAttempt) {
  Settings settings = SettingsWithoutHealthChecks();
  settings.slow_start_sends = 1000;
  Driver driver(settings);
  driver.UpdateEndpointList({});
  driver.now += 60 * kSecond;
  NodeEntry warming_up = MakeEntry(1);
  warming_up.started_at = driver.now - kSecond;
  driver.UpdateEndpointList({warming_up});
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("before")).size(), 1U);
  driver.Send(ShutdownScheduled{driver.now + 5 * kSecond});
  EXPECT_TRUE(ActionsOfType<StartAttempt>(driver.SendRequest("to the node warming up")).empty());
  driver.UpdateEndpointList({warming_up, MakeEntry(2)});
  const auto attempts = ActionsOfType<StartAttempt>(driver.SendRequest("to the other node"));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_EQ(attempts[0].node, 2U);
}

TEST(ExcludedNodes, CountsListedNodesThatDrainOrAreEjected) {
  Driver driver(SettingsWithoutHealthChecks());
  NodeEntry draining = MakeEntry(2), removed = MakeEntry(3);
  draining.state = NodeState::kDraining;
  removed.state = NodeState::kRemoved;
  driver.UpdateEndpointList({draining, removed});
  EXPECT_EQ(driver.scheduler.excluded_nodes(), 1U);
  driver.UpdateEndpointList({MakeEntry(1), MakeEntry(2), removed});
  EXPECT_EQ(driver.scheduler.excluded_nodes(), 0U);
  const auto attempts = ActionsOfType<StartAttempt>(driver.SendRequest("fails"));
  ASSERT_EQ(attempts.size(), 1U);
  driver.EndAttempt("fails", 0, attempts[0].node, Outcome::kNoConnection);
  EXPECT_EQ(driver.scheduler.excluded_nodes(), 1U);
  driver.UpdateEndpointList({});
  EXPECT_EQ(driver.scheduler.excluded_nodes(), 0U);
}

}  // namespace
}  // namespace scheduling
