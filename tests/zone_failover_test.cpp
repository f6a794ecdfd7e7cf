// Tests of zone failover in virtual time: loss detection, the duration of wrong verdicts, and the recovery
// of zones.
#include <doctest/doctest.h>

#include "zone_failover_fleet.h"

namespace cluster_manager::zone_failover {
namespace {

TEST_CASE_FIXTURE(SimulatedFleet, "an unreachable zone is lost within 1.2 s and the other zones are not") {
  for (int seed = 0; seed < 20; ++seed) {
    random.seed(static_cast<unsigned>(seed));
    reply_of_zone = [](int) { return Reply::kReply; };
    pending.clear();
    now += 100 * kSecond;
    Start();
    Run(3 * kSecond);
    reply_of_zone = [](int zone) { return zone == 1 ? Reply::kNone : Reply::kReply; };
    CHECK(RunUntil(1, ZoneState::kLost, 10 * kSecond) <= 1200 * kMs);
    CHECK(failover->IsLost(1));
    CHECK_FALSE(failover->AllowsPlacement(1, false));
    Run(5 * kSecond);
    CHECK(StateOf(0) == ZoneState::kUp);
    CHECK(StateOf(2) == ZoneState::kUp);
    CHECK_FALSE(failover->health_monitor().is_isolated());
  }
}

TEST_CASE_FIXTURE(SimulatedFleet,
                  "a zone that reports but does not reply is lost with a one-way partition as the cause") {
  Run(3 * kSecond);
  reply_of_zone = [](int zone) { return zone == 2 ? Reply::kReportOnly : Reply::kReply; };
  RunUntil(2, ZoneState::kLost, 10 * kSecond);
  Run(1 * kSecond);
  REQUIRE(StateOf(2) == ZoneState::kLost);
  CHECK(failover->health_monitor().zone(2).one_way_partition);
  CHECK(failover->health_monitor().DescribeState(2).find("one-way network partition") != std::string::npos);
}

TEST_CASE_FIXTURE(SimulatedFleet, "two of three zones are lost and the third is not") {
  Run(3 * kSecond);
  reply_of_zone = [](int zone) { return zone == 0 ? Reply::kReply : Reply::kNone; };
  RunUntil(1, ZoneState::kLost, 10 * kSecond);
  RunUntil(2, ZoneState::kLost, 10 * kSecond);
  CHECK(StateOf(1) == ZoneState::kLost);
  CHECK(StateOf(2) == ZoneState::kLost);
  CHECK(StateOf(0) == ZoneState::kUp);
  CHECK_FALSE(failover->health_monitor().is_isolated());
}

TEST_CASE_FIXTURE(SimulatedFleet,
                  "an isolated cluster manager considers no zone lost and reports its isolation") {
  Run(3 * kSecond);
  reply_of_zone = [](int) { return Reply::kNone; };
  Run(20 * kSecond);
  for (int zone = 0; zone < 3; ++zone) CHECK(StateOf(zone) != ZoneState::kLost);
  CHECK(failover->health_monitor().is_isolated());
  for (const std::string& line : log) INFO(line);
  CHECK(log.size() == 1);
  scheduling::Task task;
  CHECK_FALSE(failover->Admits(0, task));  // clients are served by other cluster managers
  reply_of_zone = [](int) { return Reply::kReply; };
  Run(1500 * kMs);
  CHECK_FALSE(failover->health_monitor().is_isolated());
  for (int zone = 0; zone < 3; ++zone) CHECK(StateOf(zone) == ZoneState::kUp);
  CHECK(failover->Admits(0, task));
}

TEST_CASE_FIXTURE(
    SimulatedFleet,
    "overloaded zones are not lost in an hour with half of the attempts and a tenth of the checks late") {
  request_rate = 30;
  attempt_reply_share = 0.5;
  check_reply_share = 0.9;
  for (int minute = 0; minute < 60; ++minute) {
    Run(60 * kSecond);
    for (int zone = 0; zone < 3; ++zone) CHECK(failover->health_monitor().zone(zone).loss_count == 0);
  }
}

TEST_CASE_FIXTURE(SimulatedFleet, "two dead nodes of twelve do not make a zone lost") {
  Run(1 * kSecond);
  const std::set<int> dead{1, 4};
  for (int i = 0; i < 600; ++i) {
    for (const int node : dead) failover->RecordUnanswered(static_cast<NodeId>(node), now);
    Run(50 * kMs);
  }
  CHECK(failover->health_monitor().zone(1).loss_count == 0);
  CHECK(StateOf(1) == ZoneState::kUp);
}

TEST_CASE_FIXTURE(SimulatedFleet, "a zone without a node in service in the endpoint list is not lost") {
  Run(2 * kSecond);
  for (int node = 1; node < kNodes; node += 3) ListNode(node, false);
  Run(5 * kSecond);
  CHECK(StateOf(1) == ZoneState::kUp);
  CHECK(failover->health_monitor().zone(1).listed_nodes == 0);
  CHECK(failover->health_monitor().node_count() == 24);
}

TEST_CASE_FIXTURE(
    SimulatedFleet,
    "a zone returns after its nodes have replied for the hold and is up after the recovery steps") {
  Run(3 * kSecond);
  reply_of_zone = [](int zone) { return zone == 1 ? Reply::kNone : Reply::kReply; };
  RunUntil(1, ZoneState::kLost, 10 * kSecond);
  Run(4 * kSecond);
  reply_of_zone = [](int) { return Reply::kReply; };
  const Time return_delay = RunUntil(1, ZoneState::kReturning, 20 * kSecond);
  CHECK(return_delay >= plan.health_monitor.recovery_hold);
  CHECK(return_delay <= plan.health_monitor.check_interval + plan.health_monitor.recovery_hold + 500 * kMs);
  // All attempts succeed; the rate of placements rises by steps.
  std::vector<int> placements(6);
  const Time recovery_start = now;
  scheduling::Task task;
  while (StateOf(1) == ZoneState::kReturning && now - recovery_start < 30 * kSecond) {
    if (failover->AllowsPlacement(1, false)) {
      failover->RecordPlacement(1, task, now);
      failover->RecordAttemptEnd(1, true);
      const std::size_t second = static_cast<std::size_t>((now - recovery_start) / kSecond);
      if (second < placements.size()) ++placements[second];
    }
    Run(10 * kMs);
  }
  CHECK(StateOf(1) == ZoneState::kUp);
  CHECK(placements[0] >= 1);
  // 12 nodes at 0.5 placements per second, a sixth of that for this cluster manager.
  CHECK(placements[0] <= 3);
  for (std::size_t i = 1; i < 4; ++i) CHECK(placements[i] >= placements[i - 1]);
  CHECK(now - recovery_start >= 3 * kSecond);
  CHECK(failover->AllowsPlacement(1, false));
}

TEST_CASE_FIXTURE(SimulatedFleet, "failed attempts delay the recovery") {
  Run(3 * kSecond);
  reply_of_zone = [](int zone) { return zone == 1 ? Reply::kNone : Reply::kReply; };
  RunUntil(1, ZoneState::kLost, 10 * kSecond);
  reply_of_zone = [](int) { return Reply::kReply; };
  RunUntil(1, ZoneState::kReturning, 20 * kSecond);
  scheduling::Task task;
  for (int i = 0; i < 1000; ++i) {
    if (failover->AllowsPlacement(1, false)) {
      failover->RecordPlacement(1, task, now);
      failover->RecordAttemptEnd(1, i % 2 == 0);
    }
    Run(10 * kMs);
  }
  CHECK(StateOf(1) == ZoneState::kReturning);
  CHECK(failover->recovery_ramp(1).step() <= 1);
}

TEST_CASE_FIXTURE(SimulatedFleet,
                  "repeated relapses of a zone lengthen its recovery hold up to the maximum") {
  Run(3 * kSecond);
  Time hold = 0;
  int returned = 0;
  for (int i = 0; i < 15; ++i) {
    reply_of_zone = [](int zone) { return zone == 1 ? Reply::kNone : Reply::kReply; };
    Run(2 * kSecond);
    CHECK(StateOf(1) == ZoneState::kLost);
    CHECK(failover->health_monitor().zone(1).hold >= hold);
    CHECK(failover->health_monitor().zone(1).hold <= plan.health_monitor.max_recovery_hold);
    hold = failover->health_monitor().zone(1).hold;
    reply_of_zone = [](int) { return Reply::kReply; };
    const ZoneState before = StateOf(1);
    Run(2 * kSecond);
    returned += StateOf(1) != before;
  }
  CHECK(returned <= 4);
  // The zone stays reachable: after the hold it recovers.
  CHECK(RunUntil(1, ZoneState::kUp, hold + 60 * kSecond) <= hold + 45 * kSecond);
}

TEST_CASE_FIXTURE(SimulatedFleet,
                  "a cluster manager that has just started sends few requests to a zone that never replied") {
  reply_of_zone = [](int zone) { return zone == 1 ? Reply::kNone : Reply::kReply; };
  scheduling::Task task;
  int placements = 0;
  for (int i = 0; i < 100; ++i) {
    if (failover->AllowsPlacement(1, false)) {
      failover->RecordPlacement(1, task, now);
      ++placements;
      SendRequest(1 + 3 * RandomBelow(12), 1000 * kMs);
    }
    Run(10 * kMs);
  }
  CHECK(placements <= 8);
  CHECK(RunUntil(1, ZoneState::kLost, 5 * kSecond) <= 2 * kSecond);
}

TEST_CASE_FIXTURE(SimulatedFleet, "unsafe requests are not sent to a suspect zone") {
  Run(3 * kSecond);
  reply_of_zone = [](int zone) { return zone == 1 ? Reply::kNone : Reply::kReply; };
  RunUntil(1, ZoneState::kSuspect, 5 * kSecond);
  CHECK(failover->AllowsPlacement(1, false));
  CHECK_FALSE(failover->AllowsPlacement(1, true));
}

}  // namespace
}  // namespace cluster_manager::zone_failover
