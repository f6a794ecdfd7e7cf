// What an operator does to a running scheduler: new settings, closing, and the count of avoided nodes.
#include <gtest/gtest.h>

#include "logic_driver.h"

namespace scheduling {
namespace {

std::vector<Action> Change(Driver* d, const Settings& settings, std::vector<int> estimate_sources) {
  return d->Send(SettingsChanged{std::make_shared<const Settings>(settings), std::move(estimate_sources)});
}

// No probes: no timer but that of the rule at hand.
Settings Quiet() {
  Settings s = BasicSettings();
  s.allows_health_checks = false;
  return s;
}

// An answer that crosses the end of its attempt: the adapter tells them in the order in which they came.
TEST(CrossedEvents, AnAnswerToARequestThatIsNotOutChangesNothing) {
  Driver d(Quiet());
  d.UpdateList({Entry(1, 0.1, 32)});
  EXPECT_TRUE(Only<StartAttempt>(d.Arrive("held")).empty());
  EXPECT_TRUE(d.Send(TaskAccepted{Id("held"), 0, 1, kMs}).empty());
  d.now += kSecond;
  const auto offers = Only<StartAttempt>(d.UpdateList({Entry(1)}, EndpointListUpdate::kDelta));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].id, Id("held"));
}

TEST(SettingsChange, ANewClassIsServedByItsRules) {
  Driver d(BasicSettings());
  NodeEntry other = Entry(2, 32, 64);
  other.kind = 1;
  d.UpdateList({Entry(1), other});
  Settings s = BasicSettings();
  s.classes.push_back(s.classes[0]);
  s.classes[3].required_node_kind = 1;
  EXPECT_TRUE(Only<LogMessage>(Change(&d, s, {0, 1, 2, -1})).empty());
  for (int i = 0; i < 5; ++i) {
    const auto offers = Only<StartAttempt>(d.Arrive("kind" + std::to_string(i), 3, 1, 2, 50 + i));
    ASSERT_EQ(offers.size(), 1U);
    EXPECT_EQ(offers[0].node, 2U);
  }
}

TEST(SettingsChange, WhatCannotBeWorkedWithIsLoggedAndTheOldStay) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1)});
  Settings bad = BasicSettings();
  bad.classes[1].deadline = 0;
  const auto logs = Only<LogMessage>(Change(&d, bad, {0, 1, 2}));
  ASSERT_EQ(logs.size(), 1U);
  EXPECT_NE(logs[0].text.find("class 1 has no deadline"), std::string::npos);
  EXPECT_EQ(Only<LogMessage>(d.Send(SettingsChanged{})).size(), 1U);
  EXPECT_EQ(Only<StartAttempt>(d.Arrive("a", 1)).size(), 1U);
}

// What was learned of the use of a class decides how many of its tasks a node takes at a time.
int Taken(Driver* d, int class_index, const std::string& prefix) {
  int taken = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = prefix + std::to_string(i);
    for (const StartAttempt& o : Only<StartAttempt>(d->Arrive(id, class_index, 1, 0.1, 900 + i)))
      taken += o.node == 1;
  }
  return taken;
}
void LearnThatItUsesAll(Driver* d) {
  for (int i = 0; i < 200; ++i) {
    const std::string id = "learn" + std::to_string(i);
    d->Arrive(id, 0, 1, 0.1, 3);
    d->Send(TaskAccepted{Id(id), 0, 1, kMs});
    d->Send(TaskReported{Id(id), 0, 1, TaskReportKind::kCoresUsed, 2.0});
    d->End(id, 0, 1, Outcome::kOk, true);
  }
}
int TakenAfter(std::vector<int> estimate_sources, int class_index) {
  static int runs = 0;
  Settings s = Quiet();
  s.cores_overcommit = 4;
  Driver d(s);
  d.UpdateList({Entry(1)});
  LearnThatItUsesAll(&d);
  s.classes.push_back(s.classes[0]);
  Change(&d, s, std::move(estimate_sources));
  return Taken(&d, class_index, "taken" + std::to_string(++runs) + "-");
}

TEST(SettingsChange, AClassBeginsWithWhatItIsToldToLearnFrom) {
  const int kept = TakenAfter({0, 1, 2, -1}, 0), fresh = TakenAfter({0, 1, 2, -1}, 3);
  EXPECT_LT(kept, fresh);  // each of its tasks is known to use more
  EXPECT_EQ(TakenAfter({0, 1, 2, 0}, 3), kept);
  EXPECT_EQ(TakenAfter({-1, 1, 2, -1}, 0), fresh);
  EXPECT_EQ(TakenAfter({0, 1, 2, 77}, 3), fresh);  // no such position
  EXPECT_EQ(TakenAfter({}, 0), fresh);
}

TEST(SettingsChange, OpenRequestsGetNoMoreTriesThanAtTheirArrival) {
  for (const int tries : {1, 2, 9}) {
    Settings s = Quiet();
    s.max_attempts = 3;
    Driver d(s);
    d.UpdateList({Entry(1), Entry(2), Entry(3), Entry(4), Entry(5), Entry(6)});
    const std::string id = "tries" + std::to_string(tries);
    auto offers = Only<StartAttempt>(d.Arrive(id));
    ASSERT_EQ(offers.size(), 1U);
    s.max_attempts = tries;
    Change(&d, s, {0, 1, 2});
    int attempts = 0;
    while (!offers.empty()) {
      offers = Only<StartAttempt>(d.End(id, attempts++, offers[0].node, Outcome::kError));
      ASSERT_LT(attempts, 20);
    }
    EXPECT_EQ(attempts, std::min(3, tries));
    EXPECT_FALSE(d.scheduler.Tracks(Id(id)));
  }
}

TEST(SettingsChange, WhatIsOwedIsAnsweredInTimeUnderAnotherPeriod) {
  Settings s = Quiet();
  Driver d(s);
  d.Arrive("waits");
  s.tick = 500 * kMs;
  Change(&d, s, {0, 1, 2});
  EXPECT_TRUE(Only<RejectRequest>(d.Wait(6 * kSecond)).empty());
  EXPECT_EQ(Only<RejectRequest>(d.Wait(1100 * kMs)).size(), 1U);
}

TEST(SettingsChange, AnIndexOfManyNodesIsMadeAnew) {
  Settings s = BasicSettings();
  Driver d(s);
  std::vector<NodeEntry> entries;
  for (NodeId id = 1; id <= 100; ++id) entries.push_back(Entry(id));
  entries[41] = Entry(42, 64, 128);
  entries[41].kind = 2;
  d.UpdateList(entries);
  d.Arrive("before");
  const std::uint64_t looked = d.scheduler.candidates_examined();
  s.kind_cores.push_back(64);
  s.kind_memory.push_back(128);
  s.classes.push_back(s.classes[0]);
  s.classes[3].required_node_kind = 2;
  Change(&d, s, {0, 1, 2, -1});
  const auto offers = Only<StartAttempt>(d.Arrive("large", 3, 20, 10));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].node, 42U);
  EXPECT_GE(d.scheduler.candidates_examined(), looked);
}

TEST(SettingsChange, CoresCountedForATenantStayWithIt) {
  Settings s = Quiet();
  s.tenants.resize(2);
  s.tenants[1].quota_cores = 2;
  s.over_quota_weight = 0.01;
  Driver d(s);
  d.UpdateList({Entry(1, 16, 32)});
  const auto arrive = [&d](const std::string& id, int tenant, double cores) {
    Task task;
    task.id = Id(id);
    task.tenant = tenant;
    task.cores = cores;
    task.memory = 1;
    task.service = Id(id);
    task.deadline = d.now + 8 * kSecond;
    return d.Send(TaskArrived{task});
  };
  ASSERT_EQ(Only<StartAttempt>(arrive("over", 1, 4)).size(), 1U);
  d.Send(TaskAccepted{Id("over"), 0, 1, kMs});
  ASSERT_EQ(Only<StartAttempt>(arrive("room", 0, 12)).size(), 1U);
  d.Send(TaskAccepted{Id("room"), 0, 1, kMs});
  s.tenants.resize(3);
  Change(&d, s, {0, 1, 2});
  arrive("of the tenant over its quota", 1, 12);
  arrive("of another", 2, 12);
  d.End("room", 0, 1, Outcome::kOk, true);
  const auto offers = Only<StartAttempt>(d.Wait(100 * kMs));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].id, Id("of another"));
}

TEST(Close, WhatIsOwedIsAnsweredByThen) {
  Driver d(Quiet());
  d.UpdateList({Entry(1)});
  ASSERT_EQ(Only<StartAttempt>(d.Arrive("safe", 0)).size(), 1U);
  ASSERT_EQ(Only<StartAttempt>(d.Arrive("unsafe", 2)).size(), 1U);
  const auto timers = Only<SetTimer>(d.Send(ShutdownScheduled{d.now + kSecond}));
  ASSERT_EQ(timers.size(), 1U);
  EXPECT_LE(timers[0].at, d.now + kSecond);
  d.Arrive("large", 0, 100, 1);  // fits nowhere
  const auto late = Only<StartAttempt>(d.Arrive("late", 0));
  ASSERT_EQ(late.size(), 1U);
  EXPECT_LE(late[0].deadline, d.now + kSecond);
  const auto actions = d.Wait(999 * kMs);
  EXPECT_EQ(Only<RejectRequest>(actions).size(), 3U);
  const auto failed = Only<FailRequest>(actions);
  ASSERT_EQ(failed.size(), 1U);  // it is out and may run
  EXPECT_EQ(failed[0].id, Id("unsafe"));
  EXPECT_TRUE(Only<RejectRequest>(d.Wait(kSecond)).empty());
}

TEST(Close, WhatArrivesAfterwardsIsAnsweredAtOnce) {
  Driver d(Quiet());
  d.UpdateList({Entry(1)});
  d.Send(ShutdownScheduled{d.now + kSecond});
  d.now += 2 * kSecond;
  const auto actions = d.Arrive("after");
  EXPECT_EQ(Only<RejectRequest>(actions).size(), 1U);
  EXPECT_TRUE(Only<StartAttempt>(actions).empty());
}

TEST(Close, AnEarlierDeadlineStays) {
  Driver d(Quiet());
  d.Arrive("early");
  d.Send(ShutdownScheduled{d.now + 60 * kSecond});
  EXPECT_EQ(Only<RejectRequest>(d.Wait(8 * kSecond)).size(), 1U);
}

TEST(Close, ColdNodesAreSentNothingMore) {
  Settings s = Quiet();
  s.slow_start_sends = 1000;
  Driver d(s);
  d.UpdateList({});
  d.now += 60 * kSecond;
  NodeEntry cold = Entry(1);
  cold.started_at = d.now - kSecond;
  d.UpdateList({cold});
  EXPECT_EQ(Only<StartAttempt>(d.Arrive("before")).size(), 1U);
  d.Send(ShutdownScheduled{d.now + 5 * kSecond});
  EXPECT_TRUE(Only<StartAttempt>(d.Arrive("cold")).empty());
  d.UpdateList({cold, Entry(2)});
  const auto offers = Only<StartAttempt>(d.Arrive("warm"));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].node, 2U);
}

TEST(Avoided, CountsListedNodesThatDrainOrAreSetAside) {
  Driver d(Quiet());
  NodeEntry draining = Entry(2), gone = Entry(3);
  draining.state = NodeState::kDraining;
  gone.state = NodeState::kRemoved;
  d.UpdateList({draining, gone});
  EXPECT_EQ(d.scheduler.excluded_nodes(), 1U);
  d.UpdateList({Entry(1), Entry(2), gone});
  EXPECT_EQ(d.scheduler.excluded_nodes(), 0U);
  const auto offers = Only<StartAttempt>(d.Arrive("fails"));
  ASSERT_EQ(offers.size(), 1U);
  d.End("fails", 0, offers[0].node, Outcome::kNoConnection);
  EXPECT_EQ(d.scheduler.excluded_nodes(), 1U);
  d.UpdateList({});
  EXPECT_EQ(d.scheduler.excluded_nodes(), 0U);
}

}  // namespace
}  // namespace scheduling
