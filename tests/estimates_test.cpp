// Run-time estimates from completed, censored and running tasks, compared with the quantiles of sorted data
// and with a product-limit estimate computed from its definition.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <pcg_random.hpp>
#include <random>

#include "estimates/run_time_estimator.h"

namespace cluster_manager::estimates {
namespace {

constexpr Time kSecond = 1'000'000'000, kStart = Time{1'700'000'000} * kSecond;

Task MakeTask(std::uint64_t service, double cores = 1, Time expected_duration = 0,
              scheduling::RequestId id = 0) {
  Task task;
  task.id = id;
  task.class_index = 1;
  task.tenant = 3;
  task.service = service;
  task.cores = cores;
  task.expected_duration = expected_duration;
  return task;
}

Parameters UnweightedParameters() {  // no prior and no aging: the observations alone
  Parameters parameters;
  parameters.prior_weight = 0;
  parameters.halving_period = 1'000'000 * kSecond;
  return parameters;
}

Time Lognormal(pcg32& random, double median_s, double sigma) {
  return std::max<Time>(
      20'000'000,
      static_cast<Time>(std::lognormal_distribution<double>(std::log(median_s), sigma)(random) * kSecond));
}

TEST_CASE("buckets: every value is within the stated error of the middle of its bucket") {
  pcg32 random(1);
  for (int i = 0; i < 20'000; ++i) {
    const Time value = Lognormal(random, 60, 2);
    const int bucket = LogBuckets::IndexOf(value);
    REQUIRE(LogBuckets::LowerBound(bucket) < value);
    REQUIRE(value <= LogBuckets::UpperBound(bucket));
    const auto middle = static_cast<double>(LogBuckets::Midpoint(bucket));
    REQUIRE(std::abs(middle / static_cast<double>(value) - 1) <= LogBuckets::kRelativeError + 1e-6);
  }
}

TEST_CASE("buckets: halving in several steps gives the same weights as halving at once") {
  pcg32 random(2);
  BucketCounts at_once, by_steps;
  for (int i = 0; i < 500; ++i) {
    const int bucket = static_cast<int>(random(40));
    const std::uint32_t weight = random(5000);
    at_once.Add(bucket, BucketCounts::kCompleted, weight);
    by_steps.Add(bucket, BucketCounts::kCompleted, weight);
  }
  at_once.Halve(5);
  for (const int times : {2, 0, 1, 2}) by_steps.Halve(times);
  CHECK(at_once.entries() == by_steps.entries());
}

TEST_CASE("quantiles of uncensored tasks are within the stated error of the sorted data") {
  for (unsigned seed = 0; seed < 20; ++seed) {
    pcg32 random(seed);
    RunTimeEstimator estimator(UnweightedParameters(), 1, 1);
    std::vector<Time> all;
    for (int i = 0; i < 700; ++i) {
      all.push_back(Lognormal(random, random(2) ? 3 : 400, 0.2 + 0.1 * seed));
      estimator.RecordRunTime(MakeTask(7), all.back(), Outcome::kCompleted, kStart);
    }
    std::ranges::sort(all);
    for (const double q : {0.05, 0.25, 0.5, 0.9, 0.99}) {
      const auto exact = static_cast<double>(all[static_cast<std::size_t>(std::ceil(q * 700 - 1e-9)) - 1]);
      const auto estimate = static_cast<double>(estimator.Quantile(MakeTask(7), q, kStart));
      CHECK(std::abs(estimate / exact - 1) <= LogBuckets::kRelativeError + 1e-6);
    }
  }
}

struct Observation {
  int bucket;
  bool completed;
};

// The survival past `bucket` by the definition of the product-limit estimate: a product over all buckets, for
// each of which all observations are scanned. None if no observation is at risk in `bucket`.
std::optional<double> ProductLimit(const std::vector<Observation>& all, int bucket) {
  double left = 1;
  int at_risk = 0;
  for (int at = 0; at <= bucket; ++at) {
    int completed = 0;
    at_risk = 0;
    for (const Observation& each : all) {
      at_risk += each.bucket >= at;
      completed += each.completed && each.bucket == at;
    }
    if (at_risk > 0) left *= 1 - static_cast<double>(completed) / at_risk;
  }
  return at_risk > 0 ? std::optional(left) : std::nullopt;
}

TEST_CASE("stopped and running tasks count as censored observations of the Kaplan-Meier estimate") {
  for (unsigned seed = 0; seed < 15; ++seed) {
    pcg32 random(seed);
    RunTimeEstimator estimator(UnweightedParameters(), 1, 1);
    std::vector<Observation> all;
    std::vector<std::pair<Time, Time>> running;  // since, id
    Time now = kStart;
    for (scheduling::RequestId id = 1; id <= 160; ++id) {
      now += static_cast<Time>(random(2000)) * 1'000'000;
      const Time full_run_time = Lognormal(random, 60, 1.2), censoring_time = Lognormal(random, 40, 1);
      estimator.OnTaskStarted(MakeTask(7, 1, 0, id), now, now);
      if (random(3) == 0) {
        running.emplace_back(now, id);
        continue;
      }
      const Time run_time = std::min(full_run_time, censoring_time);
      estimator.RecordRunTime(MakeTask(7), run_time,
                              full_run_time <= censoring_time ? Outcome::kCompleted : Outcome::kCensored,
                              now);
      // Ends at once: a censored observation in the first bucket.
      estimator.OnTaskEnded(id, Outcome::kCensored, now);
      all.push_back({0, false});
      all.push_back({LogBuckets::IndexOf(run_time), full_run_time <= censoring_time});
    }
    now += 30 * kSecond;
    for (const auto& [since, id] : running) {
      const int bucket = LogBuckets::IndexOf(now - since);
      all.push_back({bucket < 48 ? 0 : bucket - bucket % 4, false});
    }
    for (int bucket = 0; bucket < 120; ++bucket) {
      const std::optional<double> exact = ProductLimit(all, bucket);
      if (!exact) break;
      const double estimate =
          estimator.SurvivalProbability(MakeTask(7), 0, LogBuckets::UpperBound(bucket), now);
      REQUIRE(estimate == doctest::Approx(*exact).epsilon(1e-9));
    }
    CHECK(estimator.running_task_count() == running.size());
  }
}

TEST_CASE("with half of the run times censored the median is close to that of the full run times") {
  pcg32 random(5);
  RunTimeEstimator estimator(Parameters{}, 1, 1);
  std::vector<Time> uncorrected;
  for (int i = 0; i < 4000; ++i) {
    const Time full_run_time = Lognormal(random, 100, 0.7), censoring_time = Lognormal(random, 100, 0.7);
    uncorrected.push_back(std::min(full_run_time, censoring_time));
    estimator.RecordRunTime(MakeTask(7), uncorrected.back(),
                            full_run_time <= censoring_time ? Outcome::kCompleted : Outcome::kCensored,
                            kStart);
  }
  // Counted as completions, the censored run times would give a median that is more than a quarter too low.
  std::ranges::nth_element(uncorrected, uncorrected.begin() + 2000);
  CHECK(static_cast<double>(estimator.Quantile(MakeTask(7), 0.5, kStart)) / kSecond ==
        doctest::Approx(100).epsilon(0.12));
  CHECK(uncorrected[2000] < 75 * kSecond);
}

TEST_CASE("few samples give an estimate nearly as wide as the class and many a narrow one") {
  pcg32 random(6);
  RunTimeEstimator estimator(Parameters{}, 1, 1);
  std::vector<Time> all;
  for (int i = 0; i < 2000; ++i) {
    all.push_back(Lognormal(random, 60, 1.5));
    estimator.RecordRunTime(MakeTask(100 + random(50)), all.back(), Outcome::kCompleted, kStart);
  }
  std::ranges::sort(all);
  const double exact = static_cast<double>(all[1799]) / static_cast<double>(all[199]);
  const auto width = [&](std::uint64_t service) {
    return static_cast<double>(estimator.Quantile(MakeTask(service), 0.9, kStart)) /
           static_cast<double>(estimator.Quantile(MakeTask(service), 0.1, kStart));
  };
  const double class_width = width(999);  // a service without observations
  CHECK(class_width == doctest::Approx(exact).epsilon(0.12));
  estimator.RecordRunTime(MakeTask(7), 60 * kSecond, Outcome::kCompleted, kStart);
  CHECK(width(7) > class_width / 5);
  for (int i = 0; i < 300; ++i)
    estimator.RecordRunTime(MakeTask(7), Lognormal(random, 60, 0.1), Outcome::kCompleted, kStart);
  CHECK(width(7) < 1.6);
}

TEST_CASE("the remaining time is conditional on the age: past the short mode only the long mode counts") {
  pcg32 random(7);
  RunTimeEstimator estimator(UnweightedParameters(), 1, 1);
  std::vector<double> all;
  for (int i = 0; i < 3000; ++i) {
    const Time full_run_time = Lognormal(random, random(4) ? 10 : 1000, 0.3);
    all.push_back(static_cast<double>(full_run_time) / kSecond);
    estimator.RecordRunTime(MakeTask(7), full_run_time, Outcome::kCompleted, kStart);
  }
  std::ranges::sort(all);
  for (const double age : {0.0, 4.0, 9.0, 40.0, 800.0}) {
    const auto from = std::ranges::upper_bound(all, age);
    for (const double q : {0.2, 0.5, 0.9}) {
      const auto left = static_cast<double>(all.end() - from);
      const double exact = *(from + static_cast<std::ptrdiff_t>(std::ceil(q * left) - 1));
      const double estimate =
          estimator.RemainingSeconds(MakeTask(7), static_cast<Time>(age * kSecond), q, kStart);
      CHECK((age + estimate) / exact == doctest::Approx(1).epsilon(LogBuckets::kGamma - 1));
    }
  }
}

TEST_CASE(
    "expected durations are weighted by their accuracy: fully for one service and not at all for another") {
  pcg32 random(8);
  RunTimeEstimator estimator(Parameters{}, 1, 1);
  for (int i = 0; i < 600; ++i) {
    const Time full_run_time = Lognormal(random, 100, 1);
    const double noise = std::exp(std::normal_distribution<double>(std::log(0.5), 0.1)(random));
    // Service 1 declares about twice its run time, service 2 a random duration.
    estimator.RecordRunTime(MakeTask(1, 1, static_cast<Time>(static_cast<double>(full_run_time) / noise)),
                            full_run_time, Outcome::kCompleted, kStart);
    estimator.RecordRunTime(MakeTask(2, 1, Lognormal(random, 1000, 2)), Lognormal(random, 100, 0.3),
                            Outcome::kCompleted, kStart);
  }
  const auto seconds = [&](std::uint64_t service, Time expected, double q) {
    return static_cast<double>(estimator.Quantile(MakeTask(service, 1, expected), q, kStart)) / kSecond;
  };
  for (const int expected : {20, 200, 2000}) {
    CHECK(seconds(1, expected * kSecond, 0.5) == doctest::Approx(expected * 0.5).epsilon(0.15));
    CHECK(seconds(1, expected * kSecond, 0.9) < expected * 0.8);
    CHECK(seconds(2, expected * kSecond, 0.5) == doctest::Approx(100).epsilon(0.15));
  }
}

TEST_CASE(
    "drift: four half-lives after a change the estimate follows it and unused keys are evicted and "
    "counted") {
  pcg32 random(9);
  Parameters parameters;
  parameters.max_keys = 64;
  RunTimeEstimator estimator(parameters, 1, 1);
  for (int i = 0; i < 500; ++i)
    estimator.RecordRunTime(MakeTask(7), Lognormal(random, 10, 0.2), Outcome::kCompleted, kStart);
  Time now = kStart;
  for (int i = 0; i < 400; ++i) {
    now += parameters.halving_period / 100;
    estimator.RecordRunTime(MakeTask(7), Lognormal(random, 100, 0.2), Outcome::kCompleted, now);
  }
  CHECK(static_cast<double>(estimator.Quantile(MakeTask(7), 0.5, now)) / kSecond ==
        doctest::Approx(100).epsilon(0.15));
  for (std::uint64_t service = 100; service < 1000; ++service) {
    estimator.RecordRunTime(MakeTask(service), kSecond, Outcome::kCompleted, now);
    if (service % 10 == 0) estimator.Quantile(MakeTask(7), 0.5, now);
  }
  CHECK(estimator.key_count() <= 64);
  CHECK(estimator.limit_counters().keys_evicted > 1000);
  // Service 7 was queried in between and therefore not evicted.
  CHECK(estimator.ObservationWeight(MakeTask(7), Key::kSize, now) > 100);
}

TEST_CASE(
    "a running task that ends leaves no weight behind with any order and repetition of starts and ends") {
  pcg32 random(10);
  RunTimeEstimator estimator(UnweightedParameters(), 1, 1);
  Time now = kStart;
  for (scheduling::RequestId id = 1; id < 600; ++id) {
    now += static_cast<Time>(random(1000)) * 1'000'000;
    const scheduling::RequestId task_id = 1 + random(40);
    const Time since = now - static_cast<Time>(random(5000)) * kSecond;
    if (random(2))
      estimator.OnTaskStarted(MakeTask(task_id % 5, 1, random(2) ? kSecond * 50 : 0, task_id), since, now);
    if (random(2)) estimator.OnTaskEnded(task_id, random(2) ? Outcome::kCompleted : Outcome::kCensored, now);
  }
  for (scheduling::RequestId id = 1; id <= 40; ++id) estimator.OnTaskEnded(id, Outcome::kCensored, now);
  CHECK(estimator.running_task_count() == 0);
  for (const CellDelta::Cell& cell : estimator.BuildDelta(0, 10'000, now).cells) {
    for (const auto& entry : cell.counts) REQUIRE(entry.weight[BucketCounts::kRunning] == 0);
  }
}

}  // namespace
}  // namespace cluster_manager::estimates
