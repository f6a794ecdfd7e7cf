// Replication of run-time sketches between members: members that received the same messages hold the same
// cells, whatever the order, loss and duplication of messages; and the influence of a faulty member is
// bounded.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>

#include "estimates/run_time_estimator.h"

namespace cluster_manager::estimates {
namespace {

constexpr Time kSecond = 1'000'000'000, kStart = Time{1'700'000'000} * kSecond;

Task MakeTask(std::uint64_t service, scheduling::RequestId id = 0) {
  Task task;
  task.id = id;
  task.service = service;
  task.cores = 1;
  return task;
}

double Median(RunTimeEstimator& estimator, Time now, std::uint64_t service = 1) {
  return static_cast<double>(estimator.Quantile(MakeTask(service), 0.5, now)) / kSecond;
}

TEST_CASE(
    "members hold equal cells after a full round despite duplicated, lost and late messages and restarts") {
  for (unsigned seed = 0; seed < 25; ++seed) {
    pcg32 random(seed);
    Parameters parameters;
    parameters.halving_period = 100 * kSecond;
    constexpr std::uint32_t kMembers = 4;
    std::vector<RunTimeEstimator> members;
    std::vector<std::uint64_t> incarnation(kMembers, 1);
    for (std::uint32_t i = 0; i < kMembers; ++i) members.emplace_back(parameters, i, 1);
    std::vector<std::pair<std::uint32_t, CellDelta>> in_flight;  // receiver and message
    Time now = kStart;
    for (int step = 0; step < 400; ++step) {
      now += kSecond;
      const std::uint32_t index = random(kMembers), to = random(kMembers);
      RunTimeEstimator& member = members[index];
      const auto id = static_cast<scheduling::RequestId>(step);
      switch (random(6)) {
        case 0:
          member.OnTaskStarted(MakeTask(random(5), id), now, now);
          break;
        case 1:
          member.OnTaskEnded(id - random(50), Outcome::kCompleted, now);
          break;
        case 2:
          member.RecordRunTime(MakeTask(random(5)), static_cast<Time>(random(1000)) * kSecond,
                               Outcome::kCompleted, now);
          break;
        case 3:
          in_flight.emplace_back(to, member.BuildDelta(random(2) ? 0 : random(100), 1 + random(8), now));
          break;
        case 4:
          if (in_flight.empty()) break;
          {
            const std::size_t position = random(static_cast<std::uint32_t>(in_flight.size()));
            members[in_flight[position].first].Merge(in_flight[position].second);
            // Otherwise the message is delivered again.
            if (random(3)) in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(position));
          }
          break;
        default:
          if (random(12) == 0) member = RunTimeEstimator(parameters, index, ++incarnation[index]);
      }
    }
    // The last round: each member sends all cells to each other one, with old messages in between.
    for (std::uint32_t from = 0; from < kMembers; ++from) {
      for (std::uint32_t to = 0; to < kMembers; ++to) {
        std::uint64_t known_incarnation = 0;
        std::uint64_t after = members[to].ReceivedVersion(from, &known_incarnation);
        if (known_incarnation != incarnation[from]) after = 0;
        for (CellDelta delta;; after = delta.up_to_version) {
          delta = members[from].BuildDelta(after, 3, now);
          members[to].Merge(delta);
          if (!in_flight.empty())
            members[to].Merge(in_flight[random(static_cast<std::uint32_t>(in_flight.size()))].second);
          if (delta.up_to_version == after) break;
        }
      }
    }
    for (std::uint32_t from = 0; from < kMembers; ++from) {
      std::vector<CellDelta::Cell> expected = members[from].BuildDelta(0, 100'000, now).cells;
      std::ranges::sort(expected, {}, &CellDelta::Cell::key);
      for (std::uint32_t to = 0; to < kMembers; ++to) {
        for (const CellDelta& delta : members[to].ReceivedCells()) {
          if (delta.member == from && delta.incarnation == incarnation[from])
            REQUIRE(delta.cells == expected);
        }
        std::uint64_t known_incarnation = 0;
        if (to != from && !expected.empty())
          REQUIRE((members[to].ReceivedVersion(from, &known_incarnation) > 0 &&
                   known_incarnation == incarnation[from]));
      }
    }
  }
}

TEST_CASE(
    "five messages give the same cells and the same estimate in every order, whether aged before or after") {
  Parameters parameters;
  RunTimeEstimator a(parameters, 1, 1), b(parameters, 2, 1), again(parameters, 1, 2);
  std::vector<CellDelta> deltas;
  Time now = kStart;
  for (RunTimeEstimator* each : {&a, &b, &a, &again, &a}) {
    for (int i = 1; i < 30; ++i)
      each->RecordRunTime(MakeTask(1), i * i * kSecond, i % 3 ? Outcome::kCompleted : Outcome::kCensored,
                          now);
    deltas.push_back(each->BuildDelta(0, 1000, now));
    now += parameters.halving_period;
  }
  std::vector<std::size_t> order{0, 1, 2, 3, 4};
  std::vector<CellDelta> first;
  double answer = 0;
  const auto all_cells = [](const std::vector<CellDelta>& received) {
    std::vector<CellDelta::Cell> all;
    for (const CellDelta& delta : received) all.insert(all.end(), delta.cells.begin(), delta.cells.end());
    return all;
  };
  do {
    RunTimeEstimator to(parameters, 9, 1);
    Time at = kStart;
    for (const std::size_t i : order) {
      to.Merge(deltas[i]);
      to.Merge(deltas[order[0]]);
      Median(to, at += parameters.halving_period / 2);  // queries in between
    }
    if (first.empty()) {
      first = to.ReceivedCells();
      answer = Median(to, now + parameters.halving_period);
    }
    REQUIRE(all_cells(to.ReceivedCells()) == all_cells(first));
    REQUIRE(Median(to, now + parameters.halving_period) == answer);
  } while (std::ranges::next_permutation(order).found);
}

TEST_CASE("above the limit of cells the last changed ones are kept in every order of arrival") {
  Parameters parameters;
  parameters.max_cells_per_incarnation = 20;
  RunTimeEstimator from(Parameters{}, 1, 1);
  std::vector<CellDelta> deltas;
  pcg32 random(4);
  for (int i = 0; i < 60; ++i) {
    from.RecordRunTime(MakeTask(random(30)), kSecond, Outcome::kCompleted, kStart);
    deltas.push_back(from.BuildDelta(0, 1000, kStart));
  }
  std::vector<CellDelta> first;
  for (int round = 0; round < 20; ++round) {
    RunTimeEstimator to(parameters, 2, 1);
    std::ranges::shuffle(deltas, random);
    for (const CellDelta& delta : deltas) to.Merge(delta);
    if (round == 0) first = to.ReceivedCells();
    REQUIRE(to.ReceivedCells()[0].cells == first[0].cells);
    CHECK(to.ReceivedCells()[0].cells.size() == 20);
    CHECK(to.limit_counters().cells_evicted > 0);
  }
}

TEST_CASE("a lost message is requested again: the received version does not skip a gap") {
  RunTimeEstimator from(Parameters{}, 1, 1), to(Parameters{}, 2, 1);
  std::uint64_t incarnation = 0;
  from.RecordRunTime(MakeTask(1), kSecond, Outcome::kCompleted, kStart);
  const CellDelta lost = from.BuildDelta(0, 100, kStart);
  from.RecordRunTime(MakeTask(2), kSecond, Outcome::kCompleted, kStart);
  to.Merge(from.BuildDelta(lost.up_to_version, 100, kStart));
  CHECK(to.ReceivedVersion(1, &incarnation) == 0);
  to.Merge(from.BuildDelta(to.ReceivedVersion(1, &incarnation), 100, kStart));
  CHECK(to.ReceivedVersion(1, &incarnation) == from.BuildDelta(0, 100, kStart).up_to_version);
  CHECK(incarnation == 1);
}

TEST_CASE("after a restart of a member its observations stay and its former running tasks no longer count") {
  RunTimeEstimator to(Parameters{}, 2, 1), before(Parameters{}, 1, 1), after(Parameters{}, 1, 2);
  for (int i = 0; i < 5; ++i) before.RecordRunTime(MakeTask(1), 100 * kSecond, Outcome::kCompleted, kStart);
  for (scheduling::RequestId id = 1; id <= 2; ++id)
    before.OnTaskStarted(MakeTask(1, id), kStart - 1000 * kSecond, kStart);
  to.Merge(before.BuildDelta(0, 100, kStart));
  CHECK(to.ObservationWeight(MakeTask(1), Key::kSize, kStart) == 7);
  for (scheduling::RequestId id = 1; id <= 2; ++id)
    after.OnTaskStarted(MakeTask(1, id), kStart - 1000 * kSecond, kStart);
  const CellDelta delta = after.BuildDelta(0, 100, kStart);
  for (int doubled = 0; doubled < 2; ++doubled) {
    to.Merge(delta);
    to.Merge(before.BuildDelta(0, 100, kStart));
    CHECK(to.ObservationWeight(MakeTask(1), Key::kSize, kStart) == 7);
  }
}

TEST_CASE(
    "a member that reports a million false run times moves the median no further than a third of the weight "
    "can") {
  pcg32 random(3);
  std::vector<RunTimeEstimator> honest;
  for (std::uint32_t i = 0; i < 3; ++i) honest.emplace_back(Parameters{}, i, 1);
  for (int i = 0; i < 600; ++i) {
    const double run_time = 60 * std::exp((random(1000) / 1000.0 - 0.5) * 2);
    honest[random(3)].RecordRunTime(MakeTask(1), static_cast<Time>(run_time * kSecond), Outcome::kCompleted,
                                    kStart);
  }
  for (const std::uint32_t i : {1u, 2u}) honest[0].Merge(honest[i].BuildDelta(0, 100, kStart));
  const double before = Median(honest[0], kStart);
  // With a third of all weight at the far end, the median is the quantile 0.75 of the honest observations;
  // the coarser keys, for which the member reports false values too, shift it a little further.
  const double upper_limit = static_cast<double>(honest[0].Quantile(MakeTask(1), 0.78, kStart)) / kSecond;
  CHECK(before == doctest::Approx(60).epsilon(0.2));
  CellDelta forged{.member = 7,
                   .incarnation = ~std::uint64_t{0},
                   .after_version = 0,
                   .up_to_version = ~std::uint64_t{0},
                   .cells = {}};
  for (int level = 0; level < Key::kLevelCount; ++level) {
    forged.cells.push_back({MakeKey(MakeTask(1), static_cast<Key::Level>(level), false),
                            ~std::uint64_t{0} - static_cast<std::uint64_t>(level),
                            std::int64_t{1} << 62,
                            {{190, {~0u, 0, 0}}, {5, {1, 1, 1}}, {999, {1, 1, 1}}}});
  }
  forged.cells.push_back(
      {.key = {.level = static_cast<Key::Level>(77)}, .version = 1, .epoch = 0, .counts = {}});
  honest[0].Merge(forged);
  const double after = Median(honest[0], kStart + 2 * kSecond);
  CHECK(after <= upper_limit);
  CHECK(after >= before * 0.9);
  CHECK(honest[0].limit_counters().weights_clamped >= 12);
  CHECK(honest[0].limit_counters().cells_rejected == 1);
  CHECK(honest[0].limit_counters().capped_members > 0);
  // A member that receives nothing else still has the coarser key's prior and its own few observations.
  RunTimeEstimator alone(Parameters{}, 5, 1);
  alone.Merge(forged);
  for (int i = 0; i < 40; ++i) alone.RecordRunTime(MakeTask(1), 60 * kSecond, Outcome::kCompleted, kStart);
  CHECK(Median(alone, kStart + 2 * kSecond) == doctest::Approx(60).epsilon(0.1));
}

}  // namespace
}  // namespace cluster_manager::estimates
