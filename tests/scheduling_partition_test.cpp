// Tests with many schedulers and many nodes, with and without a price for nodes in use, where the program of
// an accepted task still has to start.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "scheduling_driver.h"

namespace scheduling {
namespace {

constexpr int kSchedulers = 16, kZones = 2;
constexpr NodeId kNodes = 400;

// If nodes have a price, one in four is in use and the others are empty; otherwise all have the same load.
bool IsInUse(NodeId node) { return node / kZones % 4 == 0; }

struct PartitionDriver : Driver {
  explicit PartitionDriver(int scheduler_index, double node_price = 0.25)
      : Driver(MakeSettings(scheduler_index, node_price)) {
    std::vector<NodeEntry> all;
    for (NodeId node = 1; node <= kNodes; ++node) {
      NodeEntry entry = node_price <= 0 || IsInUse(node) ? MakeEntry(node, 12, 24) : MakeEntry(node);
      entry.zone = static_cast<int>(node % kZones);
      all.push_back(entry);
    }
    UpdateEndpointList(all);
  }
  static Settings MakeSettings(int scheduler_index, double node_price) {
    Settings settings = BasicSettings();
    settings.allows_health_checks = false;
    settings.scheduler_count = kSchedulers;
    settings.scheduler_index = scheduler_index;
    settings.zone = scheduler_index % kZones;
    settings.node_price = node_price;
    return settings;
  }
  // Places `count` tasks of new services and returns how many each node got. Every task is accepted at once,
  // and starts running if `runs`.
  std::map<NodeId, int> PlaceTasks(int count, bool runs, int from = 0) {
    std::map<NodeId, int> all;
    for (int i = from; i < from + count; ++i) {
      const std::string id = "task" + std::to_string(i);
      const auto attempts =
          ActionsOfType<StartAttempt>(SendRequest(id, 0, 0.25, 0.5, 1000 + static_cast<std::uint64_t>(i)));
      EXPECT_EQ(attempts.size(), 1U);
      if (attempts.empty()) continue;
      ++all[attempts[0].node];
      Send(TaskAccepted{RequestIdFor(id), 0, attempts[0].node, 10 * kMs});
      if (runs) Send(TaskReported{RequestIdFor(id), 0, attempts[0].node, TaskReportKind::kStarted, 0});
    }
    return all;
  }
};

// Without partitions, sixteen schedulers with the same stale view fill the same fullest nodes, and program
// starts queue there.
TEST(Partition, EachSchedulerPlacesOnTheNodesInUseOfItsOwnPartition) {
  std::set<NodeId> taken;
  for (int i = 0; i < kSchedulers; ++i) {
    PartitionDriver driver(i);
    for (const auto& [node, count] : driver.PlaceTasks(12, true)) {
      EXPECT_EQ(static_cast<int>(node % kZones), i % kZones);
      EXPECT_TRUE(IsInUse(node));
      EXPECT_TRUE(taken.insert(node).second) << "scheduler " << i << " binds on another's node";
    }
  }
}

// Tasks go to the empty nodes of the partition only when the load exceeds the nodes in use.
TEST(Partition, NodesInUseAreFilledBeforeAnEmptyNodeIsUsed) {
  PartitionDriver driver(0);
  int on_empty_nodes = 0;
  for (const auto& [node, count] : driver.PlaceTasks(40, true)) on_empty_nodes += !IsInUse(node);
  EXPECT_EQ(on_empty_nodes, 0);
  std::set<NodeId> all;
  for (int round = 1; round < 30; ++round) {
    driver.AdvanceTime(300 * kMs);
    for (const auto& [node, count] : driver.PlaceTasks(40, true, 40 * round)) all.insert(node);
  }
  int in_use = 0;
  for (const NodeId node : all) in_use += IsInUse(node);
  EXPECT_GT(all.size(), static_cast<std::size_t>(in_use));  // the load exceeds the nodes in use
}

// Acceptance does not mean that the program has started, so the start counts as load until the task is
// running.
TEST(Partition, AcceptedTasksThatAreNotRunningYetCountAsLoad) {
  PartitionDriver driver(0, 0);
  const std::size_t partition_size = driver.PlaceTasks(100, true).size();
  ASSERT_GT(partition_size, 6U);
  for (const auto& [node, count] : driver.PlaceTasks(static_cast<int>(partition_size / 2), false, 1000))
    EXPECT_EQ(count, 1);
}

}  // namespace
}  // namespace scheduling
