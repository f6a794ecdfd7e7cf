// Reservations and backfill in virtual time: which tasks may start in which gaps, postponement and correction
// when run-time estimates are wrong, announcements of other members, and starvation of large tasks.
#include "backfill/backfill.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <pcg_random.hpp>
#include <set>

namespace cluster_manager::backfill {
namespace {

constexpr Time kStart = Time{1'700'000'000} * kSecond;

Task MakeTask(scheduling::RequestId id, double cores, int class_index = 0) {
  Task task;
  task.id = id;
  task.cores = cores;
  task.memory = cores;
  task.class_index = class_index;
  return task;
}

struct FakeLeases : Leases {
  Access access = Access::kGuaranteed;
  std::vector<NodeId> requested;
  std::vector<std::uint64_t> released;
  Access AccessTo(NodeId) const override { return access; }
  void Request(NodeId node, Time, Time) override { requested.push_back(node); }
  void Release(NodeId, std::uint64_t epoch) override { released.push_back(epoch); }
};
struct FixedRunTimes : RunTimePredictor {  // by task id, whatever the quantile
  std::map<scheduling::RequestId, Time> run_times;
  Time default_run_time = 10 * kSecond;
  Time Remaining(const Task& task, Time elapsed, double, Time) override {
    const auto it = run_times.find(task.id);
    return std::max<Time>((it == run_times.end() ? default_run_time : it->second) - elapsed, 0);
  }
};
struct FakeConstraints : PlacementConstraints {
  std::set<NodeId> forbidden;
  bool Allows(NodeId node, const Task&, Time) const override { return !forbidden.contains(node); }
};

// Four nodes of ten cores; on node i a task of eight cores runs that ends in 20 + 10 i seconds.
struct FourNodes {
  FakeLeases leases;
  FixedRunTimes predictor;
  FakeConstraints constraints;
  Time now = kStart;
  Backfill backfill;
  explicit FourNodes(Parameters parameters = {}) : backfill(parameters, &leases, &predictor, &constraints) {
    for (NodeId node = 0; node < 4; ++node) {
      backfill.UpdateNode(node, {10, 10, static_cast<int>(node % 2), true}, now);
      predictor.run_times[node] = (20 + 10 * node) * kSecond;
      backfill.OnTaskStarted(MakeTask(node, 8), node, now, now);
    }
  }
  void Run(Time length) {
    for (const Time end = now + length; now < end;) backfill.Update(now += 100 * kMs);
  }
  std::uint64_t Dropped(DropReason reason) const {
    return backfill.counters().dropped[static_cast<int>(reason)];
  }
};

TEST_CASE_FIXTURE(
    FourNodes,
    "a large task gets the node with the earliest expected start and small tasks only the gap before it") {
  CHECK_FALSE(backfill.AddWaitingTask(MakeTask(50, 2), now));  // not large
  REQUIRE(backfill.AddWaitingTask(MakeTask(100, 8), now));
  Run(kSecond);
  REQUIRE(backfill.ReservedNode(100, now) == std::optional<NodeId>{0});
  predictor.run_times[60] = 18 * kSecond;
  predictor.run_times[61] = 30 * kSecond;
  CHECK(backfill.AllowsStart(0, MakeTask(60, 2), now));
  CHECK(backfill.AllowsStart(0, MakeTask(61, 2), now));  // fits beside the large task: two cores are spare
  // Neither fits beside it nor ends before its start.
  CHECK_FALSE(backfill.AllowsStart(0, MakeTask(61, 3), now));
  CHECK(backfill.AllowsStart(0, MakeTask(60, 3), now));
  CHECK(backfill.AllowsStart(1, MakeTask(61, 3), now));   // no reservation on this node
  CHECK(backfill.AllowsStart(0, MakeTask(100, 8), now));  // the large task itself
  backfill.OnTaskStarted(MakeTask(61, 2), 0, now, now);   // takes the spare cores
  CHECK_FALSE(backfill.AllowsStart(0, MakeTask(62, 0.1), now + 12 * kSecond));
  backfill.RemoveWaitingTask(100, true, now);
  CHECK(backfill.AllowsStart(0, MakeTask(61, 3), now));
  CHECK(Dropped(DropReason::kStarted) == 1);
}

TEST_CASE(
    "a reservation is dropped at once when its node drains or is removed or its zone is lost or a constraint "
    "forbids the task or the node shrinks") {
  for (int event = 0; event < 5; ++event) {
    FourNodes fixture;
    fixture.backfill.AddWaitingTask(MakeTask(100, 8), fixture.now);
    fixture.Run(kSecond);
    REQUIRE(fixture.backfill.ReservedNode(100, fixture.now).has_value());
    fixture.constraints.forbidden = {0};
    if (event == 0) fixture.backfill.UpdateNode(0, {10, 10, 0, false}, fixture.now);
    if (event == 1) fixture.backfill.RemoveNode(0, fixture.now);
    if (event == 2) fixture.backfill.SetZoneLost(0, true, fixture.now);
    if (event == 3) fixture.backfill.OnConstraintsChanged(0, fixture.now);
    if (event == 4) fixture.backfill.UpdateNode(0, {4, 4, 0, true}, fixture.now);
    CHECK_FALSE(fixture.backfill.ReservedNode(100, fixture.now).has_value());
    CHECK(fixture.backfill.AllowsStart(0, MakeTask(61, 3), fixture.now));
    fixture.Run(kSecond);
    CHECK(fixture.backfill.ReservedNode(100, fixture.now) == std::optional<NodeId>{1});  // the next best node
  }
}

TEST_CASE(
    "with estimates that stay wrong a reservation is postponed a limited number of times and then dropped") {
  Parameters parameters;
  parameters.max_postponements = 4;
  FourNodes fixture(parameters);
  fixture.predictor.run_times.clear();
  fixture.predictor.default_run_time = 5 * kSecond;  // predicted for all tasks, none of which ends
  fixture.backfill.AddWaitingTask(MakeTask(100, 8), fixture.now);
  fixture.Run(5 * kSecond);
  REQUIRE(fixture.backfill.ReservedNode(100, fixture.now).has_value());
  const NodeId reserved = *fixture.backfill.ReservedNode(100, fixture.now);
  fixture.Run(10 * kSecond);
  CHECK(fixture.backfill.counters().postponements <= 4 * fixture.backfill.counters().reservations);
  CHECK(fixture.Dropped(DropReason::kMissed) >= 1);
  CHECK(fixture.backfill.ReservedNode(100, fixture.now) != std::optional<NodeId>{reserved});
  CHECK(fixture.backfill.AllowsStart(reserved, MakeTask(61, 3), fixture.now));
}

TEST_CASE(
    "the correction factor grows until tasks that run twice as long as estimated keep the risk of their "
    "class") {
  Parameters parameters;
  parameters.run_time_quantiles = {0.8};
  parameters.start_quantile = 0.999;
  pcg32 random(1);
  FourNodes fixture(parameters);
  struct BiasedRunTimes : RunTimePredictor {  // exponential with mean 5 s, where the actual mean is 10 s
    Time Remaining(const Task&, Time, double q, Time) override {
      return static_cast<Time>(-std::log(1 - q) * 5e9);
    }
  } predictor;
  Backfill backfill(parameters, &fixture.leases, &predictor, &fixture.constraints);
  backfill.UpdateNode(0, {10, 10, 0, true}, fixture.now);
  backfill.OnTaskStarted(MakeTask(1, 10), 0, fixture.now, fixture.now);
  Time now = fixture.now;
  int overruns = 0, all = 0;
  for (scheduling::RequestId id = 100; id < 4000; ++id) {
    backfill.AddWaitingTask(MakeTask(2, 10), now);
    for (int i = 0; i < 10; ++i) backfill.Update(now += 100 * kMs);
    const auto reservations = backfill.ActiveReservations(now);
    if (reservations.empty()) continue;
    // The task starts as late as it may, so that the gap equals the corrected quantile and the probability of
    // an overrun equals the risk.
    const Time required_gap = static_cast<Time>(static_cast<double>(predictor.Remaining({}, 0, 0.8, now)) *
                                                backfill.correction_factor(0));
    if (required_gap > reservations[0].expected_start - now) {
      now += 10 * kSecond;
      backfill.RemoveWaitingTask(2, false, now);
      continue;
    }
    const Time at = reservations[0].expected_start - required_gap,
               ends = at + static_cast<Time>(-std::log(1 - random(1000) / 1000.0) * 10e9);
    backfill.OnTaskStarted(MakeTask(id, 1), 0, at, at);
    const bool overrun = ends > reservations[0].expected_start;
    backfill.RemoveWaitingTask(2, false, at);
    backfill.OnTaskEnded(id, now = std::max(now, ends));
    if (id > 1000) overruns += overrun, ++all;
  }
  REQUIRE(all > 1000);
  // 0.45 without correction.
  CHECK(static_cast<double>(overruns) / all == doctest::Approx(0.2).epsilon(0.25));
  CHECK(backfill.correction_factor(0) == doctest::Approx(2).epsilon(0.5));
}

TEST_CASE(
    "a member that announces every node blocks no more nodes than its share and only for a limited time") {
  Parameters parameters;
  parameters.max_reserved_fraction = 0.5;
  parameters.members = 2;
  FourNodes fixture(parameters);
  for (NodeId node = 0; node < 1000; ++node) {
    fixture.backfill.OnAnnouncement(
        {3, node, ~std::uint64_t{0}, fixture.now, fixture.now + kSecond, fixture.now + (Time{1} << 60), 0, 0},
        fixture.now);
  }
  const auto blocked_nodes = [&] {
    int blocked = 0;
    for (NodeId node = 0; node < 4; ++node)
      blocked += !fixture.backfill.AllowsStart(node, MakeTask(61, 3), fixture.now);
    return blocked;
  };
  CHECK(blocked_nodes() == 1);
  CHECK(fixture.backfill.counters().announcements_rejected == 999);
  fixture.Run(11 * kSecond);
  CHECK(blocked_nodes() == 0);
}

TEST_CASE("an announcement sent earlier does not restore a cancelled reservation") {
  FourNodes fixture;
  const Announcement active{3, 1, 7, fixture.now, fixture.now + kSecond, fixture.now + 9 * kSecond, 0, 0};
  Announcement cancelled = active;
  cancelled.sent = cancelled.valid_until = fixture.now + 100 * kMs;
  fixture.now += 200 * kMs;
  fixture.backfill.OnAnnouncement(active, fixture.now);
  CHECK_FALSE(fixture.backfill.AllowsStart(1, MakeTask(61, 3), fixture.now));
  fixture.backfill.OnAnnouncement(cancelled, fixture.now);
  for (int doubled = 0; doubled < 2; ++doubled) {
    fixture.backfill.OnAnnouncement(active, fixture.now);
    CHECK(fixture.backfill.AllowsStart(1, MakeTask(61, 3), fixture.now));
  }
}

TEST_CASE("no large task starves beside a constant stream of small ones and small ones are still placed") {
  for (const bool enabled : {false, true}) {
    pcg32 random(11);
    FakeLeases leases;
    FixedRunTimes predictor;
    FakeConstraints constraints;
    Parameters parameters;
    Backfill backfill(parameters, &leases, &predictor, &constraints);
    constexpr NodeId kNodes = 6;
    std::vector<double> free(kNodes, 10);
    for (NodeId node = 0; node < kNodes; ++node) backfill.UpdateNode(node, {10, 10, 0, true}, kStart);
    std::multimap<Time, std::pair<Task, NodeId>> ends;
    std::map<scheduling::RequestId, Time> waiting_large;  // by task id, waiting since
    Time now = kStart, longest_wait = 0;
    int large_placements = 0, small_placements = 0;
    scheduling::RequestId next = 1;
    const auto place = [&](const Task& task, NodeId node) {
      free[node] -= task.cores;
      predictor.run_times[task.id] = (2 + random(16)) * kSecond;
      backfill.OnTaskStarted(task, node, now, now);
      ends.emplace(now + predictor.run_times[task.id], std::pair{task, node});
    };
    while (now < kStart + 1500 * kSecond) {
      now += 100 * kMs;
      while (!ends.empty() && ends.begin()->first <= now) {
        const auto [task, node] = ends.begin()->second;
        ends.erase(ends.begin());
        free[node] += task.cores;
        backfill.OnTaskEnded(task.id, now);
      }
      if (now < kStart + 1200 * kSecond && random(150) == 0) waiting_large[next++] = now;
      for (auto it = waiting_large.begin(); it != waiting_large.end();) {
        const Task task = MakeTask(it->first, 9);
        const auto reserved = enabled ? backfill.ReservedNode(task.id, now) : std::nullopt;
        NodeId node = 0;
        while (node < kNodes && (free[node] < 9 || (reserved && node != *reserved))) ++node;
        if (node < kNodes && backfill.AllowsStart(node, task, now)) {
          longest_wait = std::max(longest_wait, now - it->second);
          ++large_placements;
          backfill.RemoveWaitingTask(task.id, true, now);
          place(task, node);
          it = waiting_large.erase(it);
        } else {
          if (enabled) backfill.AddWaitingTask(task, now);
          ++it;
        }
      }
      for (int attempt = 0; attempt < 8; ++attempt) {  // more demand than capacity at all times
        const Task task = MakeTask(next, 1 + random(2));
        const NodeId node = random(kNodes);
        predictor.run_times[task.id] = 18 * kSecond;
        if (free[node] < task.cores || !backfill.AllowsStart(node, task, now)) continue;
        place(task, node);
        ++next, ++small_placements;
      }
      backfill.Update(now);
    }
    CHECK((enabled ? waiting_large.empty()
                   : waiting_large.size() > 10 * static_cast<std::size_t>(large_placements)));
    if (enabled) CHECK(longest_wait < 200 * kSecond);
    CHECK(small_placements > 2000);
  }
}

}  // namespace
}  // namespace cluster_manager::backfill
