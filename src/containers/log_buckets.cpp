#include "containers/log_buckets.h"

#include <algorithm>
#include <cmath>

namespace cluster_manager {
namespace {

using Time = LogBuckets::Time;

const std::array<Time, LogBuckets::kBuckets>& Uppers() {
  static const auto kUppers = [] {
    std::array<Time, LogBuckets::kBuckets> all{};
    for (int i = 0; i < LogBuckets::kBuckets; ++i) {
      all[static_cast<std::size_t>(i)] =
          std::llround(static_cast<double>(LogBuckets::kSmallestBound) * std::pow(LogBuckets::kGamma, i));
    }
    return all;
  }();
  return kUppers;
}

bool IsEmpty(const BucketCounts::Entry& entry) {
  return std::ranges::all_of(entry.weight, [](std::uint32_t weight) { return weight == 0; });
}

}  // namespace

int LogBuckets::IndexOf(Time value) {
  const auto& uppers = Uppers();
  return static_cast<int>(
      std::min<std::ptrdiff_t>(std::ranges::lower_bound(uppers, value) - uppers.begin(), kBuckets - 1));
}

Time LogBuckets::UpperBound(int bucket) { return Uppers()[static_cast<std::size_t>(bucket)]; }

Time LogBuckets::Midpoint(int bucket) {
  return std::llround(static_cast<double>(Upper(bucket)) * (1 - kError));
}

bool BucketCounts::Add(int bucket, Kind kind, std::uint32_t weight) {
  const auto at = static_cast<std::uint32_t>(bucket);
  auto it = std::ranges::lower_bound(entries_, at, {}, &Entry::bucket);
  if (it == entries_.end() || it->bucket != at) it = entries_.insert(it, {at, {}});
  std::uint32_t& is = it->weight[kind];
  const bool fits = weight <= kMost - is;
  is = fits ? is + weight : kMost;
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
    entry.weight[kExits] >>= times;
    entry.weight[kCensored] >>= times;
  }
  std::erase_if(entries_, IsEmpty);
}

int BucketCounts::Take(std::vector<Entry> entries) {
  int cut = 0;
  entries_.clear();
  for (Entry& entry : entries) {
    const bool in_order = entries_.empty() || entries_.back().bucket < entry.bucket;
    if (entry.bucket >= LogBuckets::kBuckets || !in_order) {
      ++cut;
      continue;
    }
    for (std::uint32_t& weight : entry.weight) {
      cut += weight > kMost;
      weight = std::min(weight, kMost);
    }
    if (!IsEmpty(entry)) entries_.push_back(entry);
  }
  return cut;
}

}  // namespace cluster_manager
