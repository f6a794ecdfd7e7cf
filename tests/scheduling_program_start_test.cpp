// Tests of the preference for nodes that have the program of a service, where a task starts without delay.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduling_driver.h"

namespace scheduling {
namespace {

// Unseen placements of other schedulers raise the near-tie threshold above the load of a program start. A
// node without the program must not be drawn for that reason.
TEST(ProgramStarts, UnseenPlacementsDoNotMakeANodeWithoutTheProgramANearTie) {
  Settings settings = BasicSettings();
  settings.scheduler_count = 20;
  for (std::uint64_t service = 1; service <= 30; ++service) {
    Driver driver(settings, service);
    std::vector<NodeEntry> entries;
    for (NodeId id = 1; id <= 9; ++id) entries.push_back(MakeEntry(id, 11, 22));
    driver.UpdateEndpointList(entries);
    const NodeId program_node = 1 + service % 9;
    driver.ClaimTask("claimed", program_node, service);
    EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("task", 0, 1, 2, service)).at(0).node,
              program_node)
        << service;
  }
}

// The load of a program start does not depend on the size of the task. Otherwise it would be small beside the
// load of a node for small tasks, although their late start costs as much.
TEST(ProgramStarts, SmallTaskPrefersTheProgramLikeALargeOne) {
  for (const double cores : {0.2, 1.0, 3.0}) {
    Driver driver(BasicSettings());
    driver.UpdateEndpointList({MakeEntry(1, 8, 16), MakeEntry(2, 14, 28)});
    driver.ClaimTask("claimed", 1, 7);
    EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("task", 0, cores, 2 * cores)).at(0).node, 1U)
        << cores;
  }
}

// Load still counts: a nearly full node is avoided even if it has the program.
TEST(ProgramStarts, NearlyFullNodeIsNotPreferredForItsProgram) {
  Driver driver(BasicSettings());
  driver.UpdateEndpointList({MakeEntry(1, 1.5, 3), MakeEntry(2, 16, 32)});
  driver.ClaimTask("claimed", 1, 7);
  EXPECT_EQ(ActionsOfType<StartAttempt>(driver.SendRequest("task")).at(0).node, 2U);
}

}  // namespace
}  // namespace scheduling
