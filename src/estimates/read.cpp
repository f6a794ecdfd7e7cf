// What is asked: curves by key, and quantiles of them.
#include <algorithm>
#include <cmath>

#include "estimates/estimates.h"

namespace cluster_manager::estimates {

Tally Estimates::Sum(const Key& key, Time now) {
  const std::int64_t epoch = EpochOf(now);
  struct Part {
    const BucketCounts* counts;
    int faded;       // halvings
    bool stands;     // whether its standing tasks count
    bool fades_too;  // what stood when it was said may be over by now
    int member;      // index, -1: own
  };
  std::vector<Part> parts;
  std::vector<std::uint64_t> said;  // weight by member, in order of their numbers
  std::uint64_t all = 0;
  const auto weigh = [](const Part& part, const BucketCounts::Entry& entry, int kind) -> std::uint64_t {
    if (kind != BucketCounts::kRunning) return entry.weight[static_cast<std::size_t>(kind)] >> part.faded;
    return part.stands ? entry.weight[BucketCounts::kRunning] >> (part.fades_too ? part.faded : 0) : 0;
  };
  const auto take = [&](const Part& part) {
    std::uint64_t weight = 0;
    for (const BucketCounts::Entry& entry : part.counts->entries()) {
      for (int kind = 0; kind < BucketCounts::kKindCount; ++kind) weight += weigh(part, entry, kind);
    }
    all += weight;
    if (part.member >= 0) said[static_cast<std::size_t>(part.member)] += weight;
    parts.push_back(part);
  };
  const auto faded = [epoch](std::int64_t of) {
    return of >= epoch ? 0
                       : static_cast<int>(std::min<std::uint64_t>(
                             static_cast<std::uint64_t>(epoch) - static_cast<std::uint64_t>(of), 31));
  };
  if (const auto own = own_.find(key); own != own_.end()) {
    take({&own->second.counts, faded(own->second.epoch), true, false, -1});
  }
  for (const auto& [member, incarnations] : others_) {
    for (auto it = incarnations.begin(); it != incarnations.end(); ++it) {
      const auto cell = it->second.cells.find(key);
      if (cell == it->second.cells.end()) continue;
      if (parts.empty() || parts.back().member < 0 || it == incarnations.begin() ||
          !std::prev(it)->second.cells.contains(key)) {
        said.push_back(0);
      }
      const bool latest = std::next(it) == incarnations.end();
      take(
          {&cell->second.counts, faded(cell->second.epoch), latest, true, static_cast<int>(said.size()) - 1});
    }
  }
  Tally tally;
  constexpr std::uint64_t kWhole = 1u << 20;
  std::vector<std::uint64_t> shares(said.size(), kWhole);
  const auto alone = static_cast<std::uint64_t>(terms_.alone * BucketCounts::kUnitWeight);
  for (std::size_t i = 0; i < said.size(); ++i) {
    const std::uint64_t most = std::max(alone, (all - said[i]) / 2);
    if (said[i] <= most) continue;
    shares[i] = most * kWhole / said[i];
    ++bounds_.capped;
  }
  for (const Part& part : parts) {
    const std::uint64_t share = part.member < 0 ? kWhole : shares[static_cast<std::size_t>(part.member)];
    for (const BucketCounts::Entry& entry : part.counts->entries()) {
      for (int kind = 0; kind < BucketCounts::kKindCount; ++kind) {
        const double weight = static_cast<double>(weigh(part, entry, kind) * share) /
                              static_cast<double>(kWhole * BucketCounts::kUnitWeight);
        (kind == BucketCounts::kCompleted ? tally.exits : tally.cut)[entry.bucket] += weight;
        tally.total += weight;
      }
    }
  }
  return tally;
}

const Curve& Estimates::CurveOf(const Task& task, int level, bool word, bool exact, Time now) {
  const Track track = word ? kWord : kRun;
  if (level >= Key::kLevels) return prior_[track];
  const Key key = KeyOf(task, static_cast<Key::Level>(level), word);
  const auto it = own_.find(key);
  if (it != own_.end()) {
    Own& own = it->second;
    own.used = ++uses_;
    const bool fresh = own.made >= 0 && now - own.made < terms_.stale;
    if (fresh && (!exact || own.made_of == own.version)) return own.curve;
  }
  const Tally tally = Sum(key, now);
  const Curve& coarser = CurveOf(task, level + 1, word, false, now);
  if (tally.total <= 0) return coarser;
  const Curve curve = Lean(tally, coarser, terms_.lean);
  Own* own = Touch(key, now);
  if (own == nullptr) return unkept_[track] = curve;
  own->made = now;
  own->made_of = own->version;
  return own->curve = curve;
}

Time Estimates::Quantile(const Task& task, double quantile, Time now) {
  const Mixed mixed = Read(task, now);
  if (mixed.share <= 0) return LogBuckets::Midpoint(mixed.run->BucketOf(quantile));
  int low = 0, high = LogBuckets::kBuckets - 1;
  while (low < high) {
    const int mid = (low + high) / 2;
    if (mixed.After(static_cast<double>(LogBuckets::UpperBound(mid))) <= 1 - quantile + 1e-12) {
      high = mid;
    } else {
      low = mid + 1;
    }
  }
  return LogBuckets::Midpoint(low);
}

double Estimates::RemainingSeconds(const Task& task, Time ran_for, double quantile, Time now) {
  const Mixed mixed = Read(task, now);
  const double age = static_cast<double>(std::max<Time>(ran_for, 0));
  const double alive = mixed.After(age);
  // Past all that the scale holds: as long again.
  if (alive <= 0) return age * 1e-9;
  const double mark = alive * (1 - quantile);
  int low = LogBuckets::IndexOf(ran_for), high = LogBuckets::kBuckets - 1;
  while (low < high) {
    const int mid = (low + high) / 2;
    if (mixed.After(static_cast<double>(LogBuckets::UpperBound(mid))) <= mark) {
      high = mid;
    } else {
      low = mid + 1;
    }
  }
  const double from = std::max(age, static_cast<double>(LogBuckets::LowerBound(low)));
  const double to = static_cast<double>(LogBuckets::UpperBound(low));
  const double above = mixed.After(from), below = mixed.After(to);
  const double part = above > below ? std::clamp((above - mark) / (above - below), 0.0, 1.0) : 1.0;
  return std::max(0.0, from + part * (to - from) - age) * 1e-9;
}

double Estimates::Outlives(const Task& task, Time ran_for, Time span, Time now) {
  const Mixed mixed = Read(task, now);
  const double alive = mixed.After(static_cast<double>(ran_for));
  return alive <= 0 ? 1 : mixed.After(static_cast<double>(ran_for) + static_cast<double>(span)) / alive;
}

double Estimates::Weight(const Task& task, Key::Level level, Time now) {
  Advance(now);
  return Sum(KeyOf(task, level, false), now).total;
}

std::size_t Estimates::Bytes() const {
  constexpr std::size_t kNode = 48;  // of a tree, beside its value
  std::size_t bytes = sizeof *this;
  for (const auto& [key, own] : own_) {
    bytes += 2 * kNode + sizeof key + sizeof own + own.counts.bytes() - sizeof own.counts + sizeof key +
             sizeof own.version;
  }
  for (const auto& [member, incarnations] : others_) {
    for (const auto& [number, incarnation] : incarnations) {
      for (const auto& [key, cell] : incarnation.cells) {
        bytes += 2 * kNode + 2 * sizeof key + sizeof cell + cell.counts.bytes() - sizeof cell.counts;
      }
    }
  }
  return bytes + standing_.bucket_count() * sizeof(Standing) + steps_.size() * sizeof(Step);
}

}  // namespace cluster_manager::estimates
