// Logarithmic buckets for durations and weighted counts in them: the basis of a quantile sketch with a
// bounded relative error, after DDSketch (Masson, Rim, Lee 2019).
//
// Bucket i holds (UpperBound(i - 1), UpperBound(i)], with UpperBound(i) = kSmallestBound * gamma^i and
// gamma = (1 + kRelativeError) / (1 - kRelativeError); bucket 0 also holds all smaller values. For i > 0,
// Midpoint(i) is within kRelativeError of every value in bucket i. The number of buckets is fixed, which
// covers 10 ms to 25 days. Larger values are counted in the last bucket; IsOutside reports values out of the
// range. Sketches of the same scale are merged by adding their counts, so the result does not depend on the
// order.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cluster_manager {

// The bucket boundaries.
class LogBuckets {
 public:
  using Time = std::int64_t;  // nanoseconds
  static constexpr int kBuckets = 192;
  static constexpr double kRelativeError = 0.05;
  static constexpr double kGamma = (1 + kRelativeError) / (1 - kRelativeError);
  static constexpr Time kSmallestBound = 10'000'000;

  // The bucket that counts the value.
  static int IndexOf(Time value);
  static Time UpperBound(int bucket);
  static Time LowerBound(int bucket) { return bucket == 0 ? 0 : UpperBound(bucket - 1); }
  static Time Midpoint(int bucket);
  static bool IsOutside(Time value) { return value < 0 || value > UpperBound(kBuckets - 1); }
};

// Sparse weights by bucket. kUnitWeight stands for one observation. Halving rounds down: an observation is
// forgotten after log2(kUnitWeight) + 1 halvings, and halving in several steps gives the same weights as
// halving in one, so it does not matter when halvings are applied.
class BucketCounts {
 public:
  static constexpr std::uint32_t kUnitWeight = 1024;
  static constexpr std::uint32_t kMaxWeight = 1U << 30;  // bound of one weight: about a million observations
  // Completed tasks, censored observations and running tasks.
  enum Kind { kCompleted, kCensored, kRunning, kKindCount };
  struct Entry {
    std::uint32_t bucket = 0;
    std::array<std::uint32_t, kKindCount> weight{};
    auto operator<=>(const Entry&) const = default;  // NOLINT(modernize-use-nullptr): no pointer here
  };

  // Returns false if the weight was limited to kMaxWeight.
  bool Add(int bucket, Kind kind, std::uint32_t weight = kUnitWeight);
  // Removes at most the weight that is there.
  void Remove(int bucket, Kind kind, std::uint32_t weight = kUnitWeight);
  // Halves the weights except those of kRunning, which count the tasks running now.
  void Halve(int times);
  // Replaces the entries with those of another process. Entries with an invalid bucket or out of order are
  // dropped and weights above kMaxWeight are limited. Returns the number of such corrections.
  int Assign(std::vector<Entry> entries);
  // Sorted by bucket, without duplicates.
  const std::vector<Entry>& entries() const { return entries_; }
  bool empty() const { return entries_.empty(); }
  std::size_t bytes() const { return sizeof *this + entries_.capacity() * sizeof(Entry); }

 private:
  std::vector<Entry> entries_;
};

}  // namespace cluster_manager
