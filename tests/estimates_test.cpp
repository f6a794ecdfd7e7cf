// Run times learned from tasks that ended, were cut or stand, against sorted data and a product-limit
// estimate worked out by hand for each history.
#include "estimates/estimates.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <pcg_random.hpp>
#include <random>

namespace cluster_manager::estimates {
namespace {

constexpr Time kSecond = 1'000'000'000, kStart = Time{1'700'000'000} * kSecond;

Task Of(std::uint64_t service, double cores = 1, Time lasts = 0, scheduling::RequestId id = 0) {
  Task task;
  task.id = id;
  task.class_index = 1;
  task.tenant = 3;
  task.service = service;
  task.cores = cores;
  task.expected_duration = lasts;
  return task;
}

Terms Plain() {  // no prior, no fading: what was seen and nothing else
  Terms terms;
  terms.lean = 0;
  terms.half_life = 1'000'000 * kSecond;
  return terms;
}

Time Lognormal(pcg32& random, double median_s, double sigma) {
  return std::max<Time>(
      20'000'000,
      static_cast<Time>(std::lognormal_distribution<double>(std::log(median_s), sigma)(random) * kSecond));
}

TEST_CASE("buckets: whatever stands in one is within the stated error of its middle") {
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

TEST_CASE("buckets: halving twice is halving once by two, whenever it is done") {
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
    Estimates estimates(Plain(), 1, 1);
    std::vector<Time> all;
    for (int i = 0; i < 700; ++i) {
      all.push_back(Lognormal(random, random(2) ? 3 : 400, 0.2 + 0.1 * seed));
      estimates.Note(Of(7), all.back(), End::kDone, kStart);
    }
    std::ranges::sort(all);
    for (const double q : {0.05, 0.25, 0.5, 0.9, 0.99}) {
      const auto exact = static_cast<double>(all[static_cast<std::size_t>(std::ceil(q * 700 - 1e-9)) - 1]);
      const auto told = static_cast<double>(estimates.Quantile(Of(7), q, kStart));
      CHECK(std::abs(told / exact - 1) <= LogBuckets::kRelativeError + 1e-6);
    }
  }
}

struct Seen {
  int bucket;
  bool done;
};

// None where nobody is left. Product over each moment at which somebody ended, from the definition: one look
// at everybody for each.
std::optional<double> StillThere(const std::vector<Seen>& all, int bucket) {
  double left = 1;
  int risk = 0;
  for (int at = 0; at <= bucket; ++at) {
    int ended = 0;
    risk = 0;
    for (const Seen& each : all) {
      risk += each.bucket >= at;
      ended += each.done && each.bucket == at;
    }
    if (risk > 0) left *= 1 - static_cast<double>(ended) / risk;
  }
  return risk > 0 ? std::optional(left) : std::nullopt;
}

TEST_CASE("cut and standing tasks count as Kaplan and Meier have them, not as short ones") {
  for (unsigned seed = 0; seed < 15; ++seed) {
    pcg32 random(seed);
    Estimates estimates(Plain(), 1, 1);
    std::vector<Seen> all;
    std::vector<std::pair<Time, Time>> standing;  // since, ends
    Time now = kStart;
    for (scheduling::RequestId id = 1; id <= 160; ++id) {
      now += static_cast<Time>(random(2000)) * 1'000'000;
      const Time lives = Lognormal(random, 60, 1.2), cut = Lognormal(random, 40, 1);
      estimates.Started(Of(7, 1, 0, id), now, now);
      if (random(3) == 0) {
        standing.emplace_back(now, id);
        continue;
      }
      const Time ran = std::min(lives, cut);
      estimates.Note(Of(7), ran, lives <= cut ? End::kDone : End::kCut, now);
      estimates.Ended(id, End::kCut, now);  // at once: adds nobody beyond the first bucket
      all.push_back({0, false});
      all.push_back({LogBuckets::IndexOf(ran), lives <= cut});
    }
    now += 30 * kSecond;
    for (const auto& [since, id] : standing) {
      const int bucket = LogBuckets::IndexOf(now - since);
      all.push_back({bucket < 48 ? 0 : bucket - bucket % 4, false});
    }
    for (int bucket = 0; bucket < 120; ++bucket) {
      const std::optional<double> exact = StillThere(all, bucket);
      if (!exact) break;
      const double told = estimates.Outlives(Of(7), 0, LogBuckets::UpperBound(bucket), now);
      REQUIRE(told == doctest::Approx(*exact).epsilon(1e-9));
    }
    CHECK(estimates.standing() == standing.size());
  }
}

TEST_CASE("half of all lives cut: the median is that of whole lives, where cut ones as short ones miss it") {
  pcg32 random(5);
  Estimates estimates(Terms{}, 1, 1);
  std::vector<Time> as_short;
  for (int i = 0; i < 4000; ++i) {
    const Time lives = Lognormal(random, 100, 0.7), cut = Lognormal(random, 100, 0.7);
    as_short.push_back(std::min(lives, cut));
    estimates.Note(Of(7), as_short.back(), lives <= cut ? End::kDone : End::kCut, kStart);
  }
  std::ranges::nth_element(as_short, as_short.begin() + 2000);
  CHECK(static_cast<double>(estimates.Quantile(Of(7), 0.5, kStart)) / kSecond ==
        doctest::Approx(100).epsilon(0.12));
  CHECK(as_short[2000] < 75 * kSecond);
}

TEST_CASE("few samples: the answer is nearly as wide as the class, and many make it narrow") {
  pcg32 random(6);
  Estimates estimates(Terms{}, 1, 1);
  std::vector<Time> all;
  for (int i = 0; i < 2000; ++i) {
    all.push_back(Lognormal(random, 60, 1.5));
    estimates.Note(Of(100 + random(50)), all.back(), End::kDone, kStart);
  }
  std::ranges::sort(all);
  const double exact = static_cast<double>(all[1799]) / static_cast<double>(all[199]);
  const auto width = [&](std::uint64_t service) {
    return static_cast<double>(estimates.Quantile(Of(service), 0.9, kStart)) /
           static_cast<double>(estimates.Quantile(Of(service), 0.1, kStart));
  };
  const double of_class = width(999);  // nobody has seen it
  CHECK(of_class == doctest::Approx(exact).epsilon(0.12));
  estimates.Note(Of(7), 60 * kSecond, End::kDone, kStart);
  CHECK(width(7) > of_class / 5);
  for (int i = 0; i < 300; ++i) estimates.Note(Of(7), Lognormal(random, 60, 0.1), End::kDone, kStart);
  CHECK(width(7) < 1.6);
}

TEST_CASE("remaining time is conditional on the age: past the short mode only the long one is left") {
  pcg32 random(7);
  Estimates estimates(Plain(), 1, 1);
  std::vector<double> all;
  for (int i = 0; i < 3000; ++i) {
    const Time lives = Lognormal(random, random(4) ? 10 : 1000, 0.3);
    all.push_back(static_cast<double>(lives) / kSecond);
    estimates.Note(Of(7), lives, End::kDone, kStart);
  }
  std::ranges::sort(all);
  for (const double age : {0.0, 4.0, 9.0, 40.0, 800.0}) {
    const auto from = std::ranges::upper_bound(all, age);
    for (const double q : {0.2, 0.5, 0.9}) {
      const auto left = static_cast<double>(all.end() - from);
      const double exact = *(from + static_cast<std::ptrdiff_t>(std::ceil(q * left) - 1));
      const double told = estimates.RemainingSeconds(Of(7), static_cast<Time>(age * kSecond), q, kStart);
      CHECK((age + told) / exact == doctest::Approx(1).epsilon(LogBuckets::kGamma - 1));
    }
  }
}

TEST_CASE("the owner's word counts as far as it was right: close for one service, nothing for the other") {
  pcg32 random(8);
  Estimates estimates(Terms{}, 1, 1);
  for (int i = 0; i < 600; ++i) {
    const Time lives = Lognormal(random, 100, 1);
    const double noise = std::exp(std::normal_distribution<double>(std::log(0.5), 0.1)(random));
    // The first says twice what it lasts, the second anything at all.
    estimates.Note(Of(1, 1, static_cast<Time>(static_cast<double>(lives) / noise)), lives, End::kDone,
                   kStart);
    estimates.Note(Of(2, 1, Lognormal(random, 1000, 2)), Lognormal(random, 100, 0.3), End::kDone, kStart);
  }
  const auto seconds = [&](std::uint64_t service, Time word, double q) {
    return static_cast<double>(estimates.Quantile(Of(service, 1, word), q, kStart)) / kSecond;
  };
  for (const int word : {20, 200, 2000}) {
    CHECK(seconds(1, word * kSecond, 0.5) == doctest::Approx(word * 0.5).epsilon(0.15));
    CHECK(seconds(1, word * kSecond, 0.9) < word * 0.8);
    CHECK(seconds(2, word * kSecond, 0.5) == doctest::Approx(100).epsilon(0.15));
  }
}

TEST_CASE(
    "drift: after four half-lives the new level is told, and keys nobody uses are forgotten and counted") {
  pcg32 random(9);
  Terms terms;
  terms.most_keys = 64;
  Estimates estimates(terms, 1, 1);
  for (int i = 0; i < 500; ++i) estimates.Note(Of(7), Lognormal(random, 10, 0.2), End::kDone, kStart);
  Time now = kStart;
  for (int i = 0; i < 400; ++i) {
    now += terms.half_life / 100;
    estimates.Note(Of(7), Lognormal(random, 100, 0.2), End::kDone, now);
  }
  CHECK(static_cast<double>(estimates.Quantile(Of(7), 0.5, now)) / kSecond ==
        doctest::Approx(100).epsilon(0.15));
  for (std::uint64_t service = 100; service < 1000; ++service) {
    estimates.Note(Of(service), kSecond, End::kDone, now);
    if (service % 10 == 0) estimates.Quantile(Of(7), 0.5, now);
  }
  CHECK(estimates.keys() <= 64);
  CHECK(estimates.bounds().keys_forgotten > 1000);
  CHECK(estimates.Weight(Of(7), Key::kSized, now) > 100);  // it was in use
}

TEST_CASE(
    "a standing task that ends leaves nothing behind, in whichever order and however often it is told") {
  pcg32 random(10);
  Estimates estimates(Plain(), 1, 1);
  Time now = kStart;
  for (scheduling::RequestId id = 1; id < 600; ++id) {
    now += static_cast<Time>(random(1000)) * 1'000'000;
    const scheduling::RequestId which = 1 + random(40);
    const Time since = now - static_cast<Time>(random(5000)) * kSecond;
    if (random(2)) estimates.Started(Of(which % 5, 1, random(2) ? kSecond * 50 : 0, which), since, now);
    if (random(2)) estimates.Ended(which, random(2) ? End::kDone : End::kCut, now);
  }
  for (scheduling::RequestId id = 1; id <= 40; ++id) estimates.Ended(id, End::kCut, now);
  CHECK(estimates.standing() == 0);
  for (const Said::Cell& cell : estimates.Delta(0, 10'000, now).cells) {
    for (const auto& entry : cell.counts) REQUIRE(entry.weight[BucketCounts::kRunning] == 0);
  }
}

}  // namespace
}  // namespace cluster_manager::estimates
