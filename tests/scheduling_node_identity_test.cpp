// Retries where it is not known which node's process an attempt reached, and the accounts of a node whose
// address was given to another.
#include <gtest/gtest.h>

#include <set>

#include "scheduling_driver.h"

namespace scheduling {
namespace {

constexpr int kKeyed = 1;

NodeEntry EntryIn(NodeId id, int zone, double free_cores) {
  NodeEntry entry = MakeEntry(id, free_cores);
  entry.zone = zone;
  entry.rack = zone;
  return entry;
}

struct FakeIdentities final : NodeIdentities {
  std::optional<NodeId> first_node;
  std::set<NodeId> same_process, confirmed;
  bool usable = true;

  std::optional<NodeId> FirstNode(RequestId) override { return first_node; }
  bool ReachesFirstProcess(RequestId, NodeId node) override { return same_process.contains(node); }
  bool ReachesConfirmedProcess(RequestId, NodeId node) override { return confirmed.contains(node); }
  bool IsFirstProcessUsableBy(RequestId, Time) override { return usable; }
};

// Nodes 1 and 2 are in zone 0, node 3 in zone 1. Tasks go to node 1 first.
class NodeIdentity : public testing::Test {
 protected:
  NodeIdentity() {
    driver_.scheduler.SetNodeIdentities(&identities_);
    driver_.UpdateEndpointList({EntryIn(1, 0, 16), EntryIn(2, 0, 8), EntryIn(3, 1, 4)});
  }
  // The node of the attempt among the actions; 0: none.
  static NodeId AttemptNode(const std::vector<Action>& actions) {
    const auto attempts = ActionsOfType<StartAttempt>(actions);
    return attempts.empty() ? 0 : attempts.front().node;
  }
  std::vector<Action> FailFirstAttempt() {
    EXPECT_EQ(AttemptNode(driver_.SendRequest("a", kKeyed)), 1U);
    return driver_.EndAttempt("a", 0, 1, Outcome::kError);
  }

  FakeIdentities identities_;
  Driver driver_{BasicSettings()};
};

TEST_F(NodeIdentity, RetryStaysWithTheProcessOfTheFirstAttemptWhileItsNodeIsUnknown) {
  identities_.same_process = {1};
  identities_.confirmed = {1, 2, 3};
  EXPECT_EQ(AttemptNode(FailFirstAttempt()), 1U);
}

TEST_F(NodeIdentity, RetryGoesToAnotherNodeOfTheDomainOnceBothAreKnown) {
  identities_.first_node = 1;
  identities_.same_process = {1};
  identities_.confirmed = {1, 2, 3};
  EXPECT_EQ(AttemptNode(FailFirstAttempt()), 2U);
}

TEST_F(NodeIdentity, RetryWaitsUntilTheProcessThatItWouldReachIsKnown) {
  identities_.first_node = 1;
  EXPECT_EQ(AttemptNode(FailFirstAttempt()), 0U);
  EXPECT_EQ(AttemptNode(driver_.AdvanceTime(100 * kMs)), 0U);
  identities_.confirmed = {2};
  EXPECT_EQ(AttemptNode(driver_.AdvanceTime(100 * kMs)), 2U);
}

TEST_F(NodeIdentity, RetryFollowsTheNodeWhoseProcessReceivedTheFirstAttempt) {
  identities_.first_node = 3;
  identities_.confirmed = {1, 2, 3};
  EXPECT_EQ(AttemptNode(FailFirstAttempt()), 3U);
}

TEST_F(NodeIdentity, RequestFailsAtOnceIfItsFirstNodeStaysUnknown) {
  identities_.usable = false;
  EXPECT_EQ(ActionsOfType<FailRequest>(FailFirstAttempt()).size(), 1U);
}

TEST(NodeReplacedTest, TasksCountTowardsTheSpreadOfTheNodeThatRunsThem) {
  Settings settings = BasicSettings();
  settings.classes[0].spread_domain = FailureDomain::kZone;
  settings.classes[0].spread_limit = 1;
  Driver driver(settings);
  driver.UpdateEndpointList({EntryIn(1, 0, 16), EntryIn(3, 1, 4)});
  const auto first = ActionsOfType<StartAttempt>(driver.SendRequest("a"));
  ASSERT_EQ(first.size(), 1U);
  ASSERT_EQ(first[0].node, 1U);
  driver.Send(TaskAccepted{RequestIdFor("a"), 0, 1, kMs});
  // The task runs at node 4 of zone 1, which has the address of node 1; zone 0 has node 5.
  driver.Send(NodeReplaced{1, 4, {RequestIdFor("a")}, {}});
  driver.UpdateEndpointList({EntryIn(3, 1, 16), EntryIn(4, 1, 16), EntryIn(5, 0, 2)});
  const auto second = ActionsOfType<StartAttempt>(driver.SendRequest("b"));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].node, 5U);
}

TEST(NodeReplacedTest, EarlierSendsCountTowardsTheSlowStartOfTheSuccessor) {
  Driver driver(BasicSettings());  // four sends in an overload window
  driver.UpdateEndpointList({EntryIn(1, 0, 16)});
  driver.AdvanceTime(2 * kSecond);
  const Time sent = driver.now;
  driver.AdvanceTime(100 * kMs);
  driver.Send(NodeReplaced{1, 4, {}, {sent, sent, sent}});
  NodeEntry successor = EntryIn(4, 0, 16);
  successor.started_at = sent - 10 * kMs;
  driver.UpdateEndpointList({successor});
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("a")).size(), 1U);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("b")).size(), 0U);
}

}  // namespace
}  // namespace scheduling
