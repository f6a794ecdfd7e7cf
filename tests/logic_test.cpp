// Tests of the decision module alone: events in, actions out.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "logic_driver.h"

namespace passbridge {
namespace {

TEST(Settings, WhatCannotBeWorkedWithIsNamed) {
  Settings none = Basic();
  none.kind_cores.clear();
  EXPECT_THROW(Scheduler(none, 1), std::invalid_argument);
  Settings nobody = Basic();
  nobody.scheduler_count = 0;
  EXPECT_THROW(Scheduler(nobody, 1), std::invalid_argument);
  Settings late = Basic();
  late.classes[1].deadline = 0;
  try {
    Scheduler(late, 1);
    FAIL() << "taken";
  } catch (const std::invalid_argument& error) {
    EXPECT_STREQ(error.what(), "class 1 has no deadline");
  }
}

TEST(Path, BindsWhereCOverWIsLeast) {
  Driver d(Basic());
  d.Roster({Entry(1, 4, 8), Entry(2, 14, 28), Entry(3, 8, 16)});
  const auto offers = Only<Offer>(d.Arrive("a"));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].node, 2U);
}

TEST(Path, OwnBindsEnterTheView) {
  Driver d(Basic());
  d.Roster({Entry(1), Entry(2)});
  std::map<NodeId, int> count;
  for (int i = 0; i < 20; ++i) {
    for (const Offer& o : Only<Offer>(d.Arrive("t" + std::to_string(i), 0, 1, 2, 100 + i))) ++count[o.node];
  }
  EXPECT_EQ(count[1], 10);
  EXPECT_EQ(count[2], 10);
}

// Nodes that have gone and services that ended leave nothing behind, however long the day.
TEST(Tables, AreEmptiedAsNodesAndServicesGo) {
  Driver d(Basic());
  d.Roster({Entry(1)});
  const std::size_t at_first = d.scheduler.size();
  for (NodeId id = 2; id < 40; ++id) {
    NodeEntry entry = Entry(id, 16 + id);
    d.Roster({entry}, RosterKind::kDelta);
    const std::string task = "t" + std::to_string(id);
    const NodeId node = Only<Offer>(d.Arrive(task, 0, 1, 2, 100 + id)).at(0).node;
    d.Send(Placed{Id(task), 0, node, kMs});
    entry.state = NodeState::kGone;
    d.Roster({entry}, RosterKind::kDelta);
    d.End(task, 0, node, Outcome::kAborted, true);
    d.Wait(kSecond);
  }
  d.Wait(10 * kSecond);
  d.Roster({Entry(1, 15)}, RosterKind::kDelta);
  EXPECT_EQ(d.scheduler.size(), at_first);
}

TEST(Path, SameEventsGiveSameActions) {
  std::vector<NodeId> picks[2];
  for (auto& picked : picks) {
    Driver d(Basic(), 42);
    d.Roster({Entry(1), Entry(2), Entry(3), Entry(4)});
    for (int i = 0; i < 30; ++i) {
      for (const Offer& o : Only<Offer>(d.Arrive("t" + std::to_string(i)))) picked.push_back(o.node);
    }
  }
  EXPECT_EQ(picks[0], picks[1]);
  EXPECT_EQ(picks[0].size(), 30U);
}

TEST(RuleOne, HeldTaskIsRefusedOnceBeforeItsDeadline) {
  Driver d(Basic());
  d.Roster({Entry(1, 0, 0)});
  EXPECT_TRUE(Only<Offer>(d.Arrive("a")).empty());
  EXPECT_TRUE(Only<Refuse>(d.Wait(7 * kSecond)).empty());
  const Time deadline = d.now + kSecond;
  d.now = deadline - 4 * kMs;
  EXPECT_EQ(Only<Refuse>(d.Wait(0)).size(), 1U);
  EXPECT_TRUE(Only<Refuse>(d.Wait(kSecond)).empty());
}

TEST(RuleOne, ARefusalSaysWhenToComeBackWhereTheSettingsAllowIt) {
  for (const Time most : {Time{0}, kSecond, 10 * kSecond}) {
    Settings s = Basic();
    s.most_away = most;
    Driver d(s);
    d.Roster({Entry(1, 0, 0)});
    d.Arrive("a");
    const std::vector<Refuse> refused = Only<Refuse>(d.Wait(8 * kSecond));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].stay_away > 0, most > 0);
    EXPECT_LE(refused[0].stay_away, most);
  }
}

TEST(RuleOne, HeldTaskIsPlacedAsRoomAppears) {
  Driver d(Basic());
  d.Roster({Entry(1, 0, 0)});
  EXPECT_TRUE(Only<Offer>(d.Arrive("a")).empty());
  d.now += kSecond;
  const auto offers = Only<Offer>(d.Roster({Entry(1, 8, 16)}, RosterKind::kDelta));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].id, Id("a"));
}

TEST(RuleTwo, UnsafeTaskThatMayHaveRunFails) {
  for (const Outcome outcome :
       {Outcome::kTimedOut, Outcome::kError, Outcome::kAborted, Outcome::kCancelled}) {
    Driver d(Basic());
    d.Roster({Entry(1), Entry(2)});
    const NodeId node = Only<Offer>(d.Arrive("a", 2)).at(0).node;
    const auto actions = d.End("a", 0, node, outcome);
    EXPECT_EQ(Only<Fail>(actions).size(), 1U);
    EXPECT_TRUE(Only<Offer>(actions).empty());
    EXPECT_TRUE(Only<Refuse>(actions).empty());
  }
}

TEST(RuleTwo, UnsafeTaskThatNeverRanIsTriedElsewhere) {
  for (const Outcome outcome : {Outcome::kRefused, Outcome::kNoConnection, Outcome::kNotSent}) {
    Driver d(Basic());
    d.Roster({Entry(1), Entry(2)});
    const NodeId node = Only<Offer>(d.Arrive("a", 2)).at(0).node;
    const auto actions = d.End("a", 0, node, outcome);
    EXPECT_EQ(Only<Offer>(actions).size(), 1U);
    EXPECT_TRUE(Only<Fail>(actions).empty());
  }
}

TEST(RuleTwo, KeyedTaskStaysInItsGroupAndWindow) {
  Driver d(Basic());
  std::vector<NodeEntry> entries;
  for (NodeId id = 1; id <= 6; ++id) {
    entries.push_back(Entry(id));
    entries.back().zone = id % 2;
  }
  d.Roster(entries);
  const NodeId node = Only<Offer>(d.Arrive("a", 1)).at(0).node;
  const auto again = Only<Offer>(d.End("a", 0, node, Outcome::kTimedOut));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].node % 2, node % 2);
  d.now += 3 * kSecond;
  const auto late = d.End("a", 1, again[0].node, Outcome::kTimedOut);
  EXPECT_TRUE(Only<Offer>(late).empty());
  EXPECT_EQ(Only<Fail>(late).size(), 1U);
}

TEST(RuleTwo, OneAttemptInFlight) {
  Driver d(Basic());
  d.Roster({Entry(1), Entry(2)});
  EXPECT_EQ(Only<Offer>(d.Arrive("a")).size(), 1U);
  for (int i = 0; i < 30; ++i) EXPECT_TRUE(Only<Offer>(d.Wait(100 * kMs)).empty());
}

TEST(RuleThree, NothingGoesToADrainingOrGoneNode) {
  Driver d(Basic());
  NodeEntry draining = Entry(1);
  draining.state = NodeState::kDraining;
  d.Roster({draining, Entry(2, 6, 12)});
  EXPECT_EQ(Only<Offer>(d.Arrive("a")).at(0).node, 2U);
  NodeEntry gone = Entry(2);
  gone.state = NodeState::kGone;
  d.Roster({gone}, RosterKind::kDelta);
  EXPECT_TRUE(Only<Offer>(d.Arrive("b")).empty());
  d.Roster({Entry(3)}, RosterKind::kFull);
  EXPECT_EQ(Only<Offer>(d.Arrive("c")).at(0).node, 3U);
}

TEST(RuleThree, DiscoveryIsAskedAgainAfterAFailure) {
  Settings s = Basic();
  s.ask_discovery = true;
  Driver d(s);
  EXPECT_EQ(Only<Subscribe>(d.Roster({Entry(1)}, RosterKind::kCached)).size(), 1U);
  EXPECT_TRUE(Only<Subscribe>(d.Send(RosterChanged{RosterKind::kFailed, 0, nullptr})).empty());
  EXPECT_EQ(Only<Subscribe>(d.Wait(kSecond)).size(), 1U);
}

TEST(RuleFour, AColdNodeGetsOnlyThisSchedulersPart) {
  Settings s = Basic();
  s.scheduler_count = 2;
  Driver d(s);
  d.Roster({Entry(1, 0, 0)});
  d.now += 20 * kSecond;
  NodeEntry cold = Entry(1);
  cold.came_up = d.now - kSecond;
  d.Roster({cold}, RosterKind::kDelta);
  std::size_t sent = 0;
  for (int i = 0; i < 8; ++i) sent += Only<Offer>(d.Arrive("t" + std::to_string(i))).size();
  EXPECT_EQ(sent, 2U);
  for (int i = 0; i < 9; ++i) sent += Only<Offer>(d.Wait(100 * kMs)).size();
  EXPECT_EQ(sent, 2U);
}

TEST(RuleFour, ARestartedSchedulerWaitsOneWindow) {
  Driver d(Basic());
  NodeEntry cold = Entry(1);
  cold.came_up = d.now - kSecond;
  d.Roster({cold}, RosterKind::kCached);
  EXPECT_TRUE(Only<Offer>(d.Arrive("a")).empty());
  EXPECT_TRUE(Only<Offer>(d.Wait(900 * kMs)).empty());
  EXPECT_EQ(Only<Offer>(d.Wait(kSecond)).size(), 1U);
}

TEST(RuleFive, FoundAndOutstandingTasksCount) {
  for (const Place place : {Place::kNode, Place::kCell, Place::kZone}) {
    Settings s = Basic();
    s.classes[0].apart_by = place;
    s.classes[0].most = 2;
    Driver d(s);
    d.Roster({Entry(1)});
    Task found;
    found.id = Id("f");
    found.service = 7;
    found.cores = 1;
    found.memory = 2;
    d.Send(TaskFound{found, 1});
    EXPECT_EQ(Only<Offer>(d.Arrive("a")).size(), 1U);
    EXPECT_TRUE(Only<Offer>(d.Arrive("b")).empty());
    EXPECT_EQ(Only<Offer>(d.Arrive("other", 0, 1, 2, 8)).size(), 1U);
    const auto freed = d.End("f", 0, 1, Outcome::kOk, true);
    EXPECT_EQ(Only<Offer>(freed).size() + Only<Offer>(d.Wait(100 * kMs)).size(), 1U);
  }
}

// A node that answers others but never this one has lost it: it is tried elsewhere while that helps its
// owner, and the node is not set aside for it.
TEST(Health, AnAttemptFarSlowerThanTheOthersIsTakenForLost) {
  Settings s = Basic();
  s.placed_when_running = true;
  Driver d(s);
  d.Roster({Entry(1, 16), Entry(2, 10)});
  const Offer lost = Only<Offer>(d.Arrive("lost")).at(0);
  const Offer unsafe = Only<Offer>(d.Arrive("unsafe", 2, 1, 2, 8)).at(0);
  EXPECT_GT(unsafe.until, d.now + 7 * kSecond);  // cut short, it could only fail
  ASSERT_LT(lost.until, d.now + 3 * kSecond);
  d.Wait(500 * kMs);
  d.Arrive("other");
  d.Send(Placed{Id("other"), 0, lost.node, 100 * kMs});
  d.now = lost.until;
  const Offer next = Only<Offer>(d.End("lost", 0, lost.node, Outcome::kTimedOut)).at(0);
  EXPECT_NE(next.node, lost.node);
  EXPECT_EQ(Only<Offer>(d.Arrive("more")).at(0).node, lost.node);
}

// A node that hangs is found by a probe, not by the tasks it swallows: each scheduler asks another node about
// ten times a second over all of them.
TEST(Health, ProbesGoRoundTheFleetQuickly) {
  Settings s = Basic();
  s.scheduler_count = 3;
  Driver d(s);
  std::vector<NodeEntry> fleet;
  for (NodeId id = 1; id <= 10; ++id) fleet.push_back(Entry(id));
  std::set<NodeId> probed;
  const auto answer = [&](const std::vector<Action>& actions) {
    for (const Probe& probe : Only<Probe>(actions)) {
      probed.insert(probe.node);
      d.Send(Probed{probe.node, Outcome::kOk, kMs, {}});
    }
  };
  answer(d.Roster(fleet));
  for (int i = 0; i < 400; ++i) answer(d.Wait(10 * kMs));
  EXPECT_EQ(probed.size(), fleet.size());  // within 4 s
}

TEST(Health, ASilentNodeIsSetAsideAndProbed) {
  Driver d(Basic());
  const auto first = Only<Probe>(d.Roster({Entry(1), Entry(2, 6, 12)}));
  ASSERT_EQ(first.size(), 1U);
  d.Send(Probed{first[0].node, Outcome::kOk, kMs, {}});
  ASSERT_EQ(Only<Offer>(d.Arrive("a")).at(0).node, 1U);
  EXPECT_EQ(Only<Offer>(d.End("a", 0, 1, Outcome::kTimedOut)).at(0).node, 2U);
  EXPECT_EQ(Only<Offer>(d.Arrive("b", 0, 1, 2, 8)).at(0).node, 2U);
  const auto again = Only<Probe>(d.Wait(kSecond));
  EXPECT_TRUE(std::any_of(again.begin(), again.end(), [](const Probe& p) { return p.node == 1; }));
  d.Send(Probed{1, Outcome::kOk, kMs, {}});
  EXPECT_EQ(Only<Offer>(d.Arrive("c", 0, 1, 2, 9)).at(0).node, 1U);
}

// The list's lag is learned: what it shows of an own bind is not counted twice, however fast it is.
TEST(View, OwnBindsLeaveItAsTheListCatchesUp) {
  Driver d(Basic());
  d.Roster({Entry(1, 16, 32)});
  double free = 16;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "t" + std::to_string(i);
    d.Arrive(id, 0, 1, 0.5, 100 + i);
    d.now += 200 * kMs;
    d.Roster({Entry(1, --free, 30)}, RosterKind::kDelta);
    d.End(id, 0, 1, Outcome::kRefused, false, Reason::kQueueFull);
    d.now += 400 * kMs;
    d.Roster({Entry(1, ++free, 30)}, RosterKind::kDelta);
    d.Send(Withdrawn{Id(id)});
  }
  // 15 cores asked by others, shown at once: with lag known to be short one more core still fits.
  d.Roster({Entry(1, 4, 30)}, RosterKind::kDelta);
  EXPECT_EQ(Only<Offer>(d.Arrive("last", 0, 3, 0.5, 9)).size(), 1U);
}

// Many schedulers with one late view: each service stays on few nodes, whoever binds it, and the services
// together spread over the nodes that the unseen binds of all would level.
TEST(Path, ManySchedulersAgreeOnAServicesNodeAndSpreadTheServices) {
  Settings s = Basic();
  s.scheduler_count = 200;
  std::vector<NodeEntry> fleet;
  for (NodeId id = 1; id <= 20; ++id) fleet.push_back(Entry(id, 10 - 0.1 * id, 20));
  std::map<NodeId, int> services_on;
  for (std::uint64_t service = 1; service <= 100; ++service) {
    std::set<NodeId> nodes;
    for (int i = 0; i < 5; ++i) {
      s.ordinal = 40 * i;
      Driver d(s, 1000 * service + i);
      d.Roster(fleet);
      nodes.insert(Only<Offer>(d.Arrive("a", 0, 1, 2, service)).at(0).node);
    }
    EXPECT_EQ(nodes.size(), 1U);
    ++services_on[*nodes.begin()];
  }
  EXPECT_GE(services_on.size(), 15U);
  for (const auto& [node, count] : services_on) EXPECT_LE(count, 20) << node;
}

// Rule 4 at size: more schedulers than sends in the budget, on one clock, some restarted in between, some
// that hear of the node late. All together stay within the budget in every window, and the node still gets
// work.
TEST(ColdNodes, ManySchedulersShareTheBudgetByTurns) {
  Settings s = Basic();
  s.scheduler_count = 60;
  s.cold_sends = 10;
  s.fall = 2 * kSecond;
  s.cold = 30 * kSecond;
  const Time start = 100 * kSecond;
  NodeEntry cold = Entry(7, 32, 64);
  cold.kind = 1;
  cold.came_up = start;
  std::vector<Driver> all;
  const auto begin = [&](int i) {
    s.ordinal = i;
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
        for (const Offer& o : Only<Offer>(actions)) {
          sends.push_back(d.now);
          d.Send(Placed{o.id, 0, o.node, kMs});
          d.Send(AttemptEnded{o.id, 0, o.node, Outcome::kOk, kMs, true, Reason::kUntold, {}});
        }
      };
      const bool late = i % 5 == 0 && at < 3 * kSecond;
      if (!late) carry_out(d.Roster({cold}));
      ++task;
      carry_out(d.Arrive("t" + std::to_string(task), 0, 0.1, 0.1, task));
    }
  }
  EXPECT_GE(sends.size(), 30U);  // 24 s of a budget of 10 in 2 s, at half of it and less for the restarts
  for (std::size_t i = 0; i < sends.size(); ++i) {
    int within = 0;
    for (std::size_t j = i; j < sends.size() && sends[j] < sends[i] + s.fall; ++j) ++within;
    EXPECT_LE(within, s.cold_sends);
  }
}

// A node that turns one tenant away, for no told reason, still gets what others ask.
TEST(Refusals, WithNoToldReasonCountForTheTenantTheyMet) {
  Driver d(Basic());
  d.Roster({Entry(1), Entry(2, 8, 16)});
  ASSERT_EQ(Only<Offer>(d.Arrive("a")).at(0).node, 1U);
  EXPECT_EQ(Only<Offer>(d.End("a", 0, 1, Outcome::kRefused)).at(0).node, 2U);
  EXPECT_EQ(Only<Offer>(d.Arrive("b", 0, 1, 2, 8)).at(0).node, 2U);
  Task other;
  other.id = Id("c");
  other.tenant = 1;
  other.cores = 1;
  other.memory = 2;
  other.service = 9;
  other.deadline = d.now + 8 * kSecond;
  EXPECT_EQ(Only<Offer>(d.Send(TaskArrived{other})).at(0).node, 1U);
  d.now += 5 * kSecond;
  EXPECT_EQ(Only<Offer>(d.Arrive("d", 0, 1, 2, 10)).at(0).node, 1U);
}

// Little room and many that wait for it: among many schedulers only some offer at once, alone it offers.
TEST(Held, AmongManyTheLittleRoomIsOfferedForInTurn) {
  const auto offers = [](int schedulers) {
    int count = 0;
    for (int i = 0; i < 40; ++i) {
      Settings s = Basic();
      s.scheduler_count = schedulers;
      s.ordinal = i;
      Driver d(s, 50 + i);
      d.Roster({Entry(1, 0, 0)});
      for (int t = 0; t < 5; ++t) d.Arrive("t" + std::to_string(t), 0, 1, 2, 20 + t);
      d.now += 3 * kSecond;
      count += !Only<Offer>(d.Roster({Entry(1, 2, 4)}, RosterKind::kDelta)).empty();
    }
    return count;
  };
  EXPECT_EQ(offers(1), 40);
  EXPECT_LE(offers(400), 20);
}

// A class that cannot do without a kind: a home is kept on it before any of its tasks was seen here, as one
// scheduler of many rarely sees one; once they are seen to be small, it is not.
TEST(Homes, AClassThatNeedsAKindHasOneBeforeItIsSeen) {
  Settings s = Basic();
  s.classes[2].kind = 1;
  NodeEntry large = Entry(1, 12, 24);
  large.kind = 1;
  for (const bool seen : {false, true}) {
    Driver d(s);
    d.Roster({large, Entry(2, 8, 16)});
    if (seen) d.Arrive("own", 2, 0.5, 1, 5);
    EXPECT_EQ(Only<Offer>(d.Arrive("a", 0, 2, 4, 8)).at(0).node, seen ? 1U : 2U);
  }
}

TEST(Path, TheNodeWithTheProgramIsPreferred) {
  Driver d(Basic());
  d.Roster({Entry(1, 12, 24), Entry(2, 14, 28)});
  Task found;
  found.id = Id("f");
  found.service = 7;
  found.cores = 1;
  found.memory = 2;
  d.Send(TaskFound{found, 1});
  EXPECT_EQ(Only<Offer>(d.Arrive("same")).at(0).node, 1U);
  EXPECT_EQ(Only<Offer>(d.Arrive("other", 0, 1, 2, 8)).at(0).node, 2U);
}

// Levelling left large tasks without a home: small ones leave the roomiest node whole while others fit.
TEST(Homes, ASmallTaskLeavesTheLargeOneItsHome) {
  Driver d(Basic());
  d.Roster({Entry(1, 10, 20), Entry(2, 6, 12)});
  const NodeId home = Only<Offer>(d.Arrive("large", 0, 9, 18, 1)).at(0).node;
  ASSERT_EQ(home, 1U);
  d.End("large", 0, home, Outcome::kNotSent, true);
  EXPECT_EQ(Only<Offer>(d.Arrive("small", 0, 1, 2, 2)).at(0).node, 2U);
}

// Where nodes in use are priced, an empty one rests while one in use fits, and is woken when none does.
TEST(Fleet, EmptyNodesRestWhileThoseInUseFit) {
  Settings s = Basic();
  s.fleet_price = 0.2;
  Driver d(s);
  d.Roster({Entry(1, 16, 32), Entry(2, 10, 20)});
  EXPECT_EQ(Only<Offer>(d.Arrive("a")).at(0).node, 2U);
  d.Roster({Entry(1, 16, 32), Entry(2, 1, 2)}, RosterKind::kDelta);
  EXPECT_EQ(Only<Offer>(d.Arrive("b", 0, 2, 4, 8)).at(0).node, 1U);
}

// All nodes noted as poor at once held everything until it failed: poor is a preference, not a bar.
TEST(Comfort, PoorNodesAreUsedWhereThereIsNoBetter) {
  Settings s = Basic();
  s.says_pressure = true;
  Driver d(s);
  d.Roster({Entry(1), Entry(2, 6, 12)});
  ASSERT_EQ(Only<Offer>(d.Arrive("a")).at(0).node, 1U);
  d.Send(Placed{Id("a"), 0, 1, 20 * kMs});
  d.Send(Noted{Id("a"), 0, 1, NoteKind::kServed, 0.3});
  ASSERT_EQ(Only<Offer>(d.Arrive("b", 0, 1, 2, 8)).at(0).node, 2U);
  d.Send(Placed{Id("b"), 0, 2, 20 * kMs});
  d.Send(Noted{Id("b"), 0, 2, NoteKind::kServed, 0.3});
  EXPECT_EQ(Only<Offer>(d.Arrive("c", 0, 1, 2, 9)).size(), 1U);
}

// Slow cores and others' heavy tasks do not show in what is asked; reports weigh the node.
TEST(Reports, ABusyNodeIsNotComfortable) {
  Driver d(Basic());
  d.Roster({Entry(1, 9, 18), Entry(2, 7, 14)});
  for (int i = 0; i < 12; ++i) d.Send(Probed{1, Outcome::kOk, kMs, Cpu(1.0)});
  EXPECT_EQ(Only<Offer>(d.Arrive("a", 0, 1, 2, 8)).at(0).node, 2U);
}

// A class with a sharp fade is not put where cores are busy past its calm while a calmer node fits.
TEST(Comfort, EndsWhereTheClassesOwnCalmEnds) {
  Settings s = Basic();
  s.classes[0].calm = 0.5;
  s.classes[0].fade = 0.1;
  s.fleet_price = 0.3;  // the fuller node would come first
  for (const double calm : {0.5, 1.0}) {
    s.classes[0].calm = calm;
    Driver d(s);
    d.Roster({Entry(1, 5, 26), Entry(2, 16, 32)});
    EXPECT_EQ(Only<Offer>(d.Arrive("a", 0, 1, 1, 8)).at(0).node, calm < 1 ? 2U : 1U);
  }
}

// A dearer node is worth some crowding: the awake are filled further before one more is woken.
TEST(Fleet, ThePriceSaysHowFullTheAwakeGet) {
  for (const double price : {0.01, 0.3}) {
    Settings s = Basic();
    s.fleet_price = price;
    Driver d(s);
    d.Roster({Entry(1, 16, 32), Entry(2, 4, 8)});
    EXPECT_EQ(Only<Offer>(d.Arrive("a", 0, 0.5, 1, 8)).at(0).node, price < 0.1 ? 1U : 2U);
  }
}

// A subscription can go silent without a word: it is asked for again, and not more often than needed.
TEST(RuleThree, ASilentListIsAskedForAgain) {
  Settings s = Basic();
  s.ask_discovery = true;
  s.ask_within = 4 * kSecond;
  Driver d(s);
  d.Roster({Entry(1)}, RosterKind::kCached);
  d.Roster({Entry(1)}, RosterKind::kFull);
  EXPECT_TRUE(Only<Subscribe>(d.Wait(kSecond)).empty());
  EXPECT_EQ(Only<Subscribe>(d.Wait(1100 * kMs)).size(), 1U);
  EXPECT_TRUE(Only<Subscribe>(d.Wait(kSecond)).empty());
}

// Restarted amid cold nodes: found tasks count for the spread, and the cold node waits its window.
TEST(Together, RestartedAmidColdNodes) {
  Settings s = Basic();
  s.classes[0].apart_by = Place::kNode;
  s.classes[0].most = 1;
  Driver d(s);
  NodeEntry cold = Entry(2);
  cold.came_up = d.now - kSecond;
  d.Roster({Entry(1, 4, 8), cold}, RosterKind::kCached);
  Task found;
  found.id = Id("f");
  found.service = 7;
  found.cores = 1;
  found.memory = 2;
  d.Send(TaskFound{found, 1});
  EXPECT_TRUE(Only<Offer>(d.Arrive("a")).empty());
  const auto later = Only<Offer>(d.Wait(1500 * kMs));
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(later[0].node, 2U);
}

// The list out of reach while nodes die: offers go to what answers, nothing is lost, lines stay few.
TEST(Together, ListOutOfReachWhileNodesDie) {
  Settings s = Basic();
  s.ask_discovery = true;
  Driver d(s);
  d.Roster({Entry(1), Entry(2), Entry(3, 5, 10)}, RosterKind::kCached);
  std::size_t logs = 0, answers = 0;
  for (int i = 0; i < 300; ++i) {
    d.now += 20 * kMs;
    logs += Only<Log>(d.Send(RosterChanged{RosterKind::kFailed, 0, nullptr})).size();
    const std::string id = "t" + std::to_string(i);
    auto actions = d.Arrive(id, 0, 1, 2, 100 + i);
    for (int attempt = 0; attempt < 4; ++attempt) {
      logs += Only<Log>(actions).size();
      answers += Only<Refuse>(actions).size();
      const auto offers = Only<Offer>(actions);
      if (offers.empty()) break;
      if (offers[0].node == 3) {
        d.Send(Placed{Id(id), attempt, 3, kMs});
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

TEST(Held, TheMostWorthGoesFirst) {
  Settings s = Basic();
  s.classes[2].worth = 5;
  Driver d(s);
  d.Roster({Entry(1, 0, 0)});
  EXPECT_TRUE(Only<Offer>(d.Arrive("cheap", 0, 2, 4, 1)).empty());
  EXPECT_TRUE(Only<Offer>(d.Arrive("dear", 2, 2, 4, 2)).empty());
  d.now += kSecond;
  const auto offers = Only<Offer>(d.Roster({Entry(1, 3, 8)}, RosterKind::kDelta));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].id, Id("dear"));
}

TEST(Held, WhatIsBeyondItsTenantsShareGoesLast) {
  Settings s = Basic();
  s.tenants.resize(2);
  s.tenants[0].quota_cores = 1;
  s.tenants[1].quota_cores = 20;
  s.over_share_worth = 0.1;
  Driver d(s);
  d.Roster({Entry(1, 0, 0)});
  Task task;
  task.id = Id("running");
  task.cores = 4;
  task.memory = 4;
  d.Send(TaskFound{task, 1});
  for (const auto& [id, tenant] : {std::pair<std::string, int>{"over", 0}, {"within", 1}}) {
    task.id = Id(id);
    task.tenant = tenant;
    task.service = 10 + tenant;
    task.cores = 2;
    task.deadline = d.now + 8 * kSecond;
    EXPECT_TRUE(Only<Offer>(d.Send(TaskArrived{task})).empty());
  }
  d.now += kSecond;
  const auto offers = Only<Offer>(d.Roster({Entry(1, 3, 8)}, RosterKind::kDelta));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].id, Id("within"));
}

}  // namespace
}  // namespace passbridge
