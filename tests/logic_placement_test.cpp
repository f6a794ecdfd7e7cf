// Where a task is placed: the least-connection pick, its view of the fleet, and the price of nodes in use.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "logic_driver.h"

namespace scheduling {
namespace {

TEST(Settings, WhatCannotBeWorkedWithIsNamed) {
  Settings none = BasicSettings();
  none.kind_cores.clear();
  EXPECT_THROW(Scheduler(none, 1), std::invalid_argument);
  Settings nobody = BasicSettings();
  nobody.scheduler_count = 0;
  EXPECT_THROW(Scheduler(nobody, 1), std::invalid_argument);
  Settings late = BasicSettings();
  late.classes[1].deadline = 0;
  try {
    Scheduler(late, 1);
    FAIL() << "taken";
  } catch (const std::invalid_argument& error) {
    EXPECT_STREQ(error.what(), "class 1: deadline must be positive");
  }
}

TEST(Path, BindsWhereCOverWIsLeast) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1, 4, 8), Entry(2, 14, 28), Entry(3, 8, 16)});
  const auto attempts = Only<StartAttempt>(d.Arrive("a"));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_EQ(attempts[0].node, 2U);
}

TEST(Path, OwnBindsEnterTheView) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1), Entry(2)});
  std::map<NodeId, int> count;
  for (int i = 0; i < 20; ++i) {
    for (const StartAttempt& o : Only<StartAttempt>(d.Arrive("t" + std::to_string(i), 0, 1, 2, 100 + i)))
      ++count[o.node];
  }
  EXPECT_EQ(count[1], 10);
  EXPECT_EQ(count[2], 10);
}

// Nodes that have gone and services that ended leave nothing behind, however long the day.
TEST(Tables, AreEmptiedAsNodesAndServicesGo) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1)});
  const std::size_t at_first = d.scheduler.tracked_entries();
  for (NodeId id = 2; id < 40; ++id) {
    NodeEntry entry = Entry(id, 16 + id);
    d.UpdateList({entry}, EndpointListUpdate::kDelta);
    const std::string task = "t" + std::to_string(id);
    const NodeId node = Only<StartAttempt>(d.Arrive(task, 0, 1, 2, 100 + id)).at(0).node;
    d.Send(TaskAccepted{Id(task), 0, node, kMs});
    entry.state = NodeState::kRemoved;
    d.UpdateList({entry}, EndpointListUpdate::kDelta);
    d.End(task, 0, node, Outcome::kAborted, true);
    d.Wait(kSecond);
  }
  d.Wait(10 * kSecond);
  d.UpdateList({Entry(1, 15)}, EndpointListUpdate::kDelta);
  EXPECT_EQ(d.scheduler.tracked_entries(), at_first);
}

TEST(Path, SameEventsGiveSameActions) {
  std::vector<NodeId> picks[2];
  for (auto& picked : picks) {
    Driver d(BasicSettings(), 42);
    d.UpdateList({Entry(1), Entry(2), Entry(3), Entry(4)});
    for (int i = 0; i < 30; ++i) {
      for (const StartAttempt& o : Only<StartAttempt>(d.Arrive("t" + std::to_string(i))))
        picked.push_back(o.node);
    }
  }
  EXPECT_EQ(picks[0], picks[1]);
  EXPECT_EQ(picks[0].size(), 30U);
}

// The list's lag is learned: what it shows of an own bind is not counted twice, however fast it is.
TEST(View, OwnBindsLeaveItAsTheListCatchesUp) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1, 16, 32)});
  double free = 16;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "t" + std::to_string(i);
    d.Arrive(id, 0, 1, 0.5, 100 + i);
    d.now += 200 * kMs;
    d.UpdateList({Entry(1, --free, 30)}, EndpointListUpdate::kDelta);
    d.End(id, 0, 1, Outcome::kRefused, false, EndReason::kQueueFull);
    d.now += 400 * kMs;
    d.UpdateList({Entry(1, ++free, 30)}, EndpointListUpdate::kDelta);
    d.Send(RequestCancelled{Id(id)});
  }
  // 15 cores asked by others, shown at once: with lag known to be short one more core still fits.
  d.UpdateList({Entry(1, 4, 30)}, EndpointListUpdate::kDelta);
  EXPECT_EQ(Only<StartAttempt>(d.Arrive("last", 0, 3, 0.5, 9)).size(), 1U);
}

// The list is taken to be as old as its lag: where that moment lies between an own placement and its end, the
// list shows the placement and not the end, and the cores that the end freed count as free beside what the
// list says. The node may refuse, if its list was not late after all.
TEST(View, AnEndThatTheListDoesNotShowYetFreesItsCores) {
  constexpr Time kInitialLag = 500 * kMs, kRun = 10 * kMs;
  for (const Time after_start : {kInitialLag + kRun / 2, kInitialLag + 2 * kRun}) {
    Driver d(BasicSettings());
    d.UpdateList({Entry(1, 16, 32)});
    ASSERT_EQ(Only<StartAttempt>(d.Arrive("t")).at(0).node, 1U);
    d.Send(TaskAccepted{Id("t"), 0, 1, kMs});
    d.now += kRun;
    d.End("t", 0, 1, Outcome::kOk, true);
    d.now += after_start - kRun;
    d.UpdateList({Entry(1, 0.1, 32)}, EndpointListUpdate::kDelta);
    const std::size_t expected = after_start < kInitialLag + kRun ? 1 : 0;
    EXPECT_EQ(Only<StartAttempt>(d.Arrive("next")).size(), expected);
  }
}

// Many schedulers with one late view: each service stays on few nodes, whoever binds it, and the services
// together spread over the nodes that the unseen binds of all would level.
TEST(Path, ManySchedulersAgreeOnAServicesNodeAndSpreadTheServices) {
  Settings s = BasicSettings();
  s.scheduler_count = 200;
  std::vector<NodeEntry> fleet;
  for (NodeId id = 1; id <= 20; ++id) fleet.push_back(Entry(id, 10 - 0.1 * id, 20));
  std::map<NodeId, int> services_on;
  for (std::uint64_t service = 1; service <= 100; ++service) {
    std::set<NodeId> nodes;
    for (int i = 0; i < 5; ++i) {
      s.scheduler_index = 40 * i;
      Driver d(s, 1000 * service + i);
      d.UpdateList(fleet);
      nodes.insert(Only<StartAttempt>(d.Arrive("a", 0, 1, 2, service)).at(0).node);
    }
    EXPECT_EQ(nodes.size(), 1U);
    ++services_on[*nodes.begin()];
  }
  EXPECT_GE(services_on.size(), 15U);
  for (const auto& [node, count] : services_on) EXPECT_LE(count, 20) << node;
}

// A class that cannot do without a kind: a home is kept on it before any of its tasks was seen here, as one
// scheduler of many rarely sees one; once they are seen to be small, it is not.
TEST(Homes, AClassThatNeedsAKindHasOneBeforeItIsSeen) {
  Settings s = BasicSettings();
  s.classes[2].required_node_kind = 1;
  NodeEntry large = Entry(1, 12, 24);
  large.kind = 1;
  for (const bool seen : {false, true}) {
    Driver d(s);
    d.UpdateList({large, Entry(2, 8, 16)});
    if (seen) d.Arrive("own", 2, 0.5, 1, 5);
    EXPECT_EQ(Only<StartAttempt>(d.Arrive("a", 0, 2, 4, 8)).at(0).node, seen ? 1U : 2U);
  }
}

TEST(Path, TheNodeWithTheProgramIsPreferred) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1, 12, 24), Entry(2, 14, 28)});
  d.Claim("f", 1);
  EXPECT_EQ(Only<StartAttempt>(d.Arrive("same")).at(0).node, 1U);
  EXPECT_EQ(Only<StartAttempt>(d.Arrive("other", 0, 1, 2, 8)).at(0).node, 2U);
}

// Levelling left large tasks without a home: small ones leave the roomiest node whole while others fit.
TEST(Homes, ASmallTaskLeavesTheLargeOneItsHome) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1, 10, 20), Entry(2, 6, 12)});
  const NodeId home = Only<StartAttempt>(d.Arrive("large", 0, 9, 18, 1)).at(0).node;
  ASSERT_EQ(home, 1U);
  d.End("large", 0, home, Outcome::kNotSent, true);
  EXPECT_EQ(Only<StartAttempt>(d.Arrive("small", 0, 1, 2, 2)).at(0).node, 2U);
}

// Where nodes in use are priced, an empty one rests while one in use fits, and is woken when none does.
TEST(Fleet, EmptyNodesRestWhileThoseInUseFit) {
  Settings s = BasicSettings();
  s.node_price = 0.2;
  Driver d(s);
  d.UpdateList({Entry(1, 16, 32), Entry(2, 10, 20)});
  EXPECT_EQ(Only<StartAttempt>(d.Arrive("a")).at(0).node, 2U);
  d.UpdateList({Entry(1, 16, 32), Entry(2, 1, 2)}, EndpointListUpdate::kDelta);
  EXPECT_EQ(Only<StartAttempt>(d.Arrive("b", 0, 2, 4, 8)).at(0).node, 1U);
}

// A dearer node is worth some crowding: the awake are filled further before one more is woken.
TEST(Fleet, ThePriceSaysHowFullTheAwakeGet) {
  for (const double price : {0.01, 0.3}) {
    Settings s = BasicSettings();
    s.node_price = price;
    Driver d(s);
    d.UpdateList({Entry(1, 16, 32), Entry(2, 4, 8)});
    EXPECT_EQ(Only<StartAttempt>(d.Arrive("a", 0, 0.5, 1, 8)).at(0).node, price < 0.1 ? 1U : 2U);
  }
}

}  // namespace
}  // namespace scheduling
