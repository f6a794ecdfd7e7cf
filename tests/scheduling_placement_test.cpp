// Tests of node selection: the least score, the view of the cluster, reserved nodes, and the price of nodes
// in use.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "scheduling_driver.h"

namespace scheduling {
namespace {

TEST(Settings, InvalidSettingIsNamedInTheError) {
  Settings no_kind = BasicSettings();
  no_kind.kind_cores.clear();
  EXPECT_THROW(Scheduler(no_kind, 1), std::invalid_argument);
  Settings no_scheduler = BasicSettings();
  no_scheduler.scheduler_count = 0;
  EXPECT_THROW(Scheduler(no_scheduler, 1), std::invalid_argument);
  Settings no_deadline = BasicSettings();
  no_deadline.classes[1].deadline = 0;
  try {
    Scheduler(no_deadline, 1);
    FAIL() << "invalid settings accepted";
  } catch (const std::invalid_argument& error) {
    EXPECT_STREQ(error.what(), "class 1: deadline must be positive");
  }
}

TEST(Placement, SelectsTheNodeOfLeastScore) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1, 4, 8), MakeEntry(2, 14, 28), MakeEntry(3, 8, 16)});
  const auto attempts = ActionsOfType<StartAttempt>(driver.SendRequest("a"));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_EQ(attempts[0].node, 2U);
}

TEST(Placement, OwnPlacementsCountAsLoad) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1), MakeEntry(2)});
  std::map<NodeId, int> count;
  for (int i = 0; i < 20; ++i) {
    for (const StartAttempt& attempt :
         ActionsOfType<StartAttempt>(driver.SendRequest("t" + std::to_string(i), 0, 1, 2, 100 + i)))
      ++count[attempt.node];
  }
  EXPECT_EQ(count[1], 10);
  EXPECT_EQ(count[2], 10);
}

// Removed nodes and services without tasks leave no tracked entries behind.
TEST(TrackedEntries, AreRemovedWithTheirNodesAndServices) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1)});
  const std::size_t initial_entries = driver.scheduler.tracked_entries();
  for (NodeId id = 2; id < 40; ++id) {
    NodeEntry entry = MakeEntry(id, 16 + id);
    driver.UpdateEndpointList({entry}, EndpointListUpdate::kDelta);
    const std::string task = "t" + std::to_string(id);
    const NodeId node = ActionsOfType<StartAttempt>(driver.SendRequest(task, 0, 1, 2, 100 + id)).at(0).node;
    driver.Send(TaskAccepted{RequestIdFor(task), 0, node, kMs});
    entry.state = NodeState::kRemoved;
    driver.UpdateEndpointList({entry}, EndpointListUpdate::kDelta);
    driver.EndAttempt(task, 0, node, Outcome::kAborted, true);
    driver.AdvanceTime(kSecond);
  }
  driver.AdvanceTime(10 * kSecond);
  driver.UpdateEndpointList({MakeEntry(1, 15)}, EndpointListUpdate::kDelta);
  EXPECT_EQ(driver.scheduler.tracked_entries(), initial_entries);
}

TEST(Placement, SameSeedAndEventsGiveTheSameActions) {
  std::vector<NodeId> selected_nodes[2];
  for (auto& selected : selected_nodes) {
    Driver driver(BasicSettings(), 42);
    driver.UpdateEndpointList({MakeEntry(1), MakeEntry(2), MakeEntry(3), MakeEntry(4)});
    for (int i = 0; i < 30; ++i) {
      for (const StartAttempt& attempt :
           ActionsOfType<StartAttempt>(driver.SendRequest("t" + std::to_string(i))))
        selected.push_back(attempt.node);
    }
  }
  EXPECT_EQ(selected_nodes[0], selected_nodes[1]);
  EXPECT_EQ(selected_nodes[0].size(), 30U);
}

// The lag of the list is learned, so that an own placement that the list already shows is not counted twice.
TEST(ClusterView, OwnPlacementsAreNotCountedTwiceOnceListed) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1, 16, 32)});
  double free_cores = 16;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "t" + std::to_string(i);
    driver.SendRequest(id, 0, 1, 0.5, 100 + i);
    driver.now += 200 * kMs;
    driver.UpdateEndpointList({MakeEntry(1, --free_cores, 30)}, EndpointListUpdate::kDelta);
    driver.EndAttempt(id, 0, 1, Outcome::kRefused, false, EndReason::kQueueFull);
    driver.now += 400 * kMs;
    driver.UpdateEndpointList({MakeEntry(1, ++free_cores, 30)}, EndpointListUpdate::kDelta);
    driver.Send(RequestCancelled{RequestIdFor(id)});
  }
  // Other schedulers' requests leave 4 cores free. With the lag known to be short, 3 cores still fit.
  driver.UpdateEndpointList({MakeEntry(1, 4, 30)}, EndpointListUpdate::kDelta);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("last", 0, 3, 0.5, 9)).size(), 1U);
}

// The list is assumed to be as old as its lag. If that time lies between an own placement and its end, the
// list shows the placement but not the end, and the cores freed by the end count as free in addition to those
// in the list. The node may refuse if the list was not stale after all.
TEST(ClusterView, TaskEndThatIsNotListedYetFreesItsCores) {
  constexpr Time kInitialLag = 500 * kMs, kRunTime = 10 * kMs;
  for (const Time after_start : {kInitialLag + kRunTime / 2, kInitialLag + 2 * kRunTime}) {
    Driver driver(BasicSettings());
    driver.UpdateEndpointList({MakeEntry(1, 16, 32)});
    ASSERT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("t")).at(0).node, 1U);
    driver.Send(TaskAccepted{RequestIdFor("t"), 0, 1, kMs});
    driver.now += kRunTime;
    driver.EndAttempt("t", 0, 1, Outcome::kOk, true);
    driver.now += after_start - kRunTime;
    driver.UpdateEndpointList({MakeEntry(1, 0.1, 32)}, EndpointListUpdate::kDelta);
    const std::size_t expected = after_start < kInitialLag + kRunTime ? 1 : 0;
    EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("next")).size(), expected);
  }
}

// Many schedulers with the same stale view place each service on few nodes, whichever scheduler places it,
// and spread the services over the nodes whose load the unseen placements would even out.
TEST(Placement, ManySchedulersAgreeOnTheNodeOfAServiceAndSpreadTheServices) {
  Settings settings = BasicSettings();
  settings.scheduler_count = 200;
  std::vector<NodeEntry> entries;
  for (NodeId id = 1; id <= 20; ++id) entries.push_back(MakeEntry(id, 10 - 0.1 * id, 20));
  std::map<NodeId, int> services_on;
  for (std::uint64_t service = 1; service <= 100; ++service) {
    std::set<NodeId> nodes;
    for (int i = 0; i < 5; ++i) {
      settings.scheduler_index = 40 * i;
      Driver driver(settings, 1000 * service + i);
      driver.UpdateEndpointList(entries);
      nodes.insert(ActionsOfType<StartAttempt>(driver.SendRequest("a", 0, 1, 2, service)).at(0).node);
    }
    EXPECT_EQ(nodes.size(), 1U);
    ++services_on[*nodes.begin()];
  }
  EXPECT_GE(services_on.size(), 15U);
  for (const auto& [node, count] : services_on) EXPECT_LE(count, 20) << node;
}

// A node is reserved for a class that requires a node kind even before its first task, since one of many
// schedulers rarely sees such a task. Once the tasks are known to be small, no node is reserved.
TEST(ReservedNodes, ClassThatRequiresANodeKindHasOneBeforeItsFirstTask) {
  Settings settings = BasicSettings();
  settings.classes[2].required_node_kind = 1;
  NodeEntry large = MakeEntry(1, 12, 24);
  large.kind = 1;
  for (const bool seen : {false, true}) {
    Driver driver(settings);
    driver.UpdateEndpointList({large, MakeEntry(2, 8, 16)});
    if (seen) driver.SendRequest("own", 2, 0.5, 1, 5);
    EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a", 0, 2, 4, 8)).at(0).node, seen ? 1U : 2U);
  }
}

TEST(Placement, NodeWithTheProgramIsPreferred) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1, 12, 24), MakeEntry(2, 14, 28)});
  driver.ClaimTask("claimed", 1);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("same")).at(0).node, 1U);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("other", 0, 1, 2, 8)).at(0).node, 2U);
}

// An even load leaves no node with enough capacity for a large task. Small tasks avoid the node with the most
// capacity while they fit on another.
TEST(ReservedNodes, SmallTaskAvoidsTheNodeReservedForALargeOne) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1, 10, 20), MakeEntry(2, 6, 12)});
  const NodeId reserved_node =
      ActionsOfType<StartAttempt>(driver.SendRequest("large", 0, 9, 18, 1)).at(0).node;
  ASSERT_EQ(reserved_node, 1U);
  driver.EndAttempt("large", 0, reserved_node, Outcome::kNotSent, true);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("small", 0, 1, 2, 2)).at(0).node, 2U);
}

// If nodes in use have a price, an empty node is used only when the task fits on no node in use.
TEST(NodePacking, EmptyNodeIsNotUsedWhileANodeInUseFits) {
  Settings settings = BasicSettings();
  settings.node_price = 0.2;
  Driver driver(settings);
  driver.UpdateEndpointList({MakeEntry(1, 16, 32), MakeEntry(2, 10, 20)});
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a")).at(0).node, 2U);
  driver.UpdateEndpointList({MakeEntry(1, 16, 32), MakeEntry(2, 1, 2)}, EndpointListUpdate::kDelta);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("b", 0, 2, 4, 8)).at(0).node, 1U);
}

// The higher the price, the further the nodes in use are filled before another node is used.
TEST(NodePacking, HigherPriceFillsNodesInUseFurther) {
  for (const double price : {0.01, 0.3}) {
    Settings settings = BasicSettings();
    settings.node_price = price;
    Driver driver(settings);
    driver.UpdateEndpointList({MakeEntry(1, 16, 32), MakeEntry(2, 4, 8)});
    EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a", 0, 0.5, 1, 8)).at(0).node,
              price < 0.1 ? 1U : 2U);
  }
}

}  // namespace
}  // namespace scheduling
