// Queries: survival curves by key, and their quantiles.
#include <algorithm>
#include <cmath>

#include "estimates/run_time_estimator.h"

namespace cluster_manager::estimates {

ObservationCounts RunTimeEstimator::SumCounts(const Key& key, Time now) {
  const std::int64_t epoch = EpochAt(now);
  struct Source {
    const BucketCounts* counts;
    int halvings;         // by its age in epochs
    bool counts_running;  // whether its running tasks count
    bool ages_running;    // whether these are halved too: tasks reported as running may have ended since
    int member;           // index into member_weights, -1: this member
  };
  std::vector<Source> sources;
  std::vector<std::uint64_t> member_weights;  // of the other members that know the key, by member number
  std::uint64_t total_weight = 0;
  const auto aged_weight = [](const Source& source, const BucketCounts::Entry& entry,
                              int kind) -> std::uint64_t {
    if (kind != BucketCounts::kRunning)
      return entry.weight[static_cast<std::size_t>(kind)] >> source.halvings;
    return source.counts_running
               ? entry.weight[BucketCounts::kRunning] >> (source.ages_running ? source.halvings : 0)
               : 0;
  };
  const auto add_source = [&](const Source& source) {
    std::uint64_t weight = 0;
    for (const BucketCounts::Entry& entry : source.counts->entries()) {
      for (int kind = 0; kind < BucketCounts::kKindCount; ++kind) weight += aged_weight(source, entry, kind);
    }
    total_weight += weight;
    if (source.member >= 0) member_weights[static_cast<std::size_t>(source.member)] += weight;
    sources.push_back(source);
  };
  const auto halvings_since = [epoch](std::int64_t cell_epoch) {
    return cell_epoch >= epoch
               ? 0
               : static_cast<int>(std::min<std::uint64_t>(
                     static_cast<std::uint64_t>(epoch) - static_cast<std::uint64_t>(cell_epoch), 31));
  };
  if (const auto own = sketches_.find(key); own != sketches_.end()) {
    add_source({&own->second.counts, halvings_since(own->second.epoch), true, false, -1});
  }
  for (const auto& [member, incarnations] : received_) {
    for (auto it = incarnations.begin(); it != incarnations.end(); ++it) {
      const auto cell = it->second.cells.find(key);
      if (cell == it->second.cells.end()) continue;
      if (sources.empty() || sources.back().member < 0 || it == incarnations.begin() ||
          !std::prev(it)->second.cells.contains(key)) {
        member_weights.push_back(0);
      }
      const bool latest = std::next(it) == incarnations.end();
      add_source({&cell->second.counts, halvings_since(cell->second.epoch), latest, true,
                  static_cast<int>(member_weights.size()) - 1});
    }
  }
  ObservationCounts counts;
  constexpr std::uint64_t kWhole = 1u << 20;
  std::vector<std::uint64_t> fractions(member_weights.size(), kWhole);
  const auto uncapped =
      static_cast<std::uint64_t>(parameters_.uncapped_member_weight * BucketCounts::kUnitWeight);
  for (std::size_t i = 0; i < member_weights.size(); ++i) {
    const std::uint64_t limit = std::max(uncapped, (total_weight - member_weights[i]) / 2);
    if (member_weights[i] <= limit) continue;
    fractions[i] = limit * kWhole / member_weights[i];
    ++limit_counters_.capped_members;
  }
  for (const Source& source : sources) {
    const std::uint64_t fraction =
        source.member < 0 ? kWhole : fractions[static_cast<std::size_t>(source.member)];
    for (const BucketCounts::Entry& entry : source.counts->entries()) {
      for (int kind = 0; kind < BucketCounts::kKindCount; ++kind) {
        const double weight = static_cast<double>(aged_weight(source, entry, kind) * fraction) /
                              static_cast<double>(kWhole * BucketCounts::kUnitWeight);
        (kind == BucketCounts::kCompleted ? counts.completed : counts.censored)[entry.bucket] += weight;
        counts.total += weight;
      }
    }
  }
  return counts;
}

const SurvivalCurve& RunTimeEstimator::CurveFor(const Task& task, int level, bool is_ratio, bool exact,
                                                Time now) {
  const Scale scale = is_ratio ? kRatio : kRunTime;
  if (level >= Key::kLevelCount) return prior_[scale];
  const Key key = MakeKey(task, static_cast<Key::Level>(level), is_ratio);
  const auto it = sketches_.find(key);
  if (it != sketches_.end()) {
    Sketch& sketch = it->second;
    sketch.last_use = ++last_use_;
    const bool fresh = sketch.curve_time >= 0 && now - sketch.curve_time < parameters_.max_curve_age;
    if (fresh && (!exact || sketch.curve_version == sketch.version)) return sketch.curve;
  }
  const ObservationCounts counts = SumCounts(key, now);
  const SurvivalCurve& prior = CurveFor(task, level + 1, is_ratio, false, now);
  if (counts.total <= 0) return prior;
  const SurvivalCurve curve = EstimateSurvival(counts, prior, parameters_.prior_weight);
  Sketch* sketch = FindOrCreateSketch(key, now);
  if (sketch == nullptr) return temporary_curves_[scale] = curve;
  sketch->curve_time = now;
  sketch->curve_version = sketch->version;
  return sketch->curve = curve;
}

Time RunTimeEstimator::Quantile(const Task& task, double quantile, Time now) {
  const MixedCurve mixed = MixedCurveFor(task, now);
  if (mixed.ratio_weight <= 0) return LogBuckets::Midpoint(mixed.run_time->QuantileBucket(quantile));
  int low = 0, high = LogBuckets::kBuckets - 1;
  while (low < high) {
    const int mid = (low + high) / 2;
    if (mixed.SurvivalPast(static_cast<double>(LogBuckets::UpperBound(mid))) <= 1 - quantile + 1e-12) {
      high = mid;
    } else {
      low = mid + 1;
    }
  }
  return LogBuckets::Midpoint(low);
}

double RunTimeEstimator::RemainingSeconds(const Task& task, Time elapsed, double quantile, Time now) {
  const MixedCurve mixed = MixedCurveFor(task, now);
  const double age = static_cast<double>(std::max<Time>(elapsed, 0));
  const double alive = mixed.SurvivalPast(age);
  // Beyond the range of the scale: as long again as it has run.
  if (alive <= 0) return age * 1e-9;
  const double target = alive * (1 - quantile);
  int low = LogBuckets::IndexOf(elapsed), high = LogBuckets::kBuckets - 1;
  while (low < high) {
    const int mid = (low + high) / 2;
    if (mixed.SurvivalPast(static_cast<double>(LogBuckets::UpperBound(mid))) <= target) {
      high = mid;
    } else {
      low = mid + 1;
    }
  }
  const double from = std::max(age, static_cast<double>(LogBuckets::LowerBound(low)));
  const double to = static_cast<double>(LogBuckets::UpperBound(low));
  const double above = mixed.SurvivalPast(from), below = mixed.SurvivalPast(to);
  const double part = above > below ? std::clamp((above - target) / (above - below), 0.0, 1.0) : 1.0;
  return std::max(0.0, from + part * (to - from) - age) * 1e-9;
}

double RunTimeEstimator::SurvivalProbability(const Task& task, Time elapsed, Time duration, Time now) {
  const MixedCurve mixed = MixedCurveFor(task, now);
  const double alive = mixed.SurvivalPast(static_cast<double>(elapsed));
  return alive <= 0
             ? 1
             : mixed.SurvivalPast(static_cast<double>(elapsed) + static_cast<double>(duration)) / alive;
}

double RunTimeEstimator::ObservationWeight(const Task& task, Key::Level level, Time now) {
  AdvanceRunningTasks(now);
  return SumCounts(MakeKey(task, level, false), now).total;
}

std::size_t RunTimeEstimator::MemoryBytes() const {
  constexpr std::size_t kTreeNode = 48;  // overhead of a std::map or std::set element
  std::size_t bytes = sizeof *this;
  for (const auto& [key, sketch] : sketches_) {
    bytes += 2 * kTreeNode + sizeof key + sizeof sketch + sketch.counts.bytes() - sizeof sketch.counts +
             sizeof key + sizeof sketch.version;
  }
  for (const auto& [member, incarnations] : received_) {
    for (const auto& [number, incarnation] : incarnations) {
      for (const auto& [key, cell] : incarnation.cells) {
        bytes += 2 * kTreeNode + 2 * sizeof key + sizeof cell + cell.counts.bytes() - sizeof cell.counts;
      }
    }
  }
  return bytes + running_tasks_.bucket_count() * sizeof(RunningTask) +
         bucket_changes_.size() * sizeof(BucketChange);
}

}  // namespace cluster_manager::estimates
