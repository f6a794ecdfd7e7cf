#include "containers/log_buckets.h"

#include <algorithm>
#include <cmath>

namespace cluster_manager {
namespace {

using Time = LogBuckets::Time;

const std::array<Time, LogBuckets::kBuckets>& UpperBounds() {
  static const auto kBounds = [] {
    std::array<Time, LogBuckets::kBuckets> all{};
    for (int i = 0; i < LogBuckets::kBuckets; ++i) {
      all[static_cast<std::size_t>(i)] =
          std::llround(static_cast<double>(LogBuckets::kSmallestBound) * std::pow(LogBuckets::kGamma, i));
    }
    return all;
  }();
  return kBounds;
}

bool IsEmpty(const BucketCounts::Entry& entry) {
  return std::ranges::all_of(entry.weight, [](std::uint32_t weight) { return weight == 0; });
}

}  // namespace

int LogBuckets::IndexOf(Time value) {
  const auto& bounds = UpperBounds();
  return static_cast<int>(
      std::min<std::ptrdiff_t>(std::ranges::lower_bound(bounds, value) - bounds.begin(), kBuckets - 1));
}

Time LogBuckets::UpperBound(int bucket) { return UpperBounds()[static_cast<std::size_t>(bucket)]; }

Time LogBuckets::Midpoint(int bucket) {
  return std::llround(static_cast<double>(UpperBound(bucket)) * (1 - kRelativeError));
}

bool BucketCounts::Add(int bucket, Kind kind, std::uint32_t weight) {
  const auto index = static_cast<std::uint32_t>(bucket);
  auto it = std::ranges::lower_bound(entries_, index, {}, &Entry::bucket);
  if (it == entries_.end() || it->bucket != index) it = entries_.insert(it, {index, {}});
  std::uint32_t& current = it->weight[kind];
  const bool fits = weight <= kMaxWeight - current;
  current = fits ? current + weight : kMaxWeight;
  return fits;
}

void BucketCounts::Remove(int bucket, Kind kind, std::uint32_t weight) {
  const auto it = std::ranges::lower_bound(entries_, static_cast<std::uint32_t>(bucket), {}, &Entry::bucket);
  if (it == entries_.end() || it->bucket != static_cast<std::uint32_t>(bucket)) return;
  it->weight[kind] -= std::min(it->weight[kind], weight);
  if (IsEmpty(*it)) entries_.erase(it);
}

void BucketCounts::Halve(int times) {
  times = std::clamp(times, 0, 31);
  for (Entry& entry : entries_) {
    entry.weight[kCompleted] >>= times;
    entry.weight[kCensored] >>= times;
  }
  std::erase_if(entries_, IsEmpty);
}

int BucketCounts::Assign(std::vector<Entry> entries) {
  int corrected = 0;
  entries_.clear();
  for (Entry& entry : entries) {
    const bool in_order = entries_.empty() || entries_.back().bucket < entry.bucket;
    if (entry.bucket >= LogBuckets::kBuckets || !in_order) {
      ++corrected;
      continue;
    }
    for (std::uint32_t& weight : entry.weight) {
      corrected += weight > kMaxWeight;
      weight = std::min(weight, kMaxWeight);
    }
    if (!IsEmpty(entry)) entries_.push_back(entry);
  }
  return corrected;
}

}  // namespace cluster_manager
