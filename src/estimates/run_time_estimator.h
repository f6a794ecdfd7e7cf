// Estimates of task run times, learned from the tasks that ran. All functions are deterministic: the caller
// passes the time, and there is no clock, thread or random number generator.
//
// RunTimeEstimator owns a sketch of run times per key (containers/log_buckets.h), the running tasks of this
// member, and the sketches received from other members. It is fed by the code that observes tasks start and
// end; spending caps and backfill query it; members exchange CellDelta messages. Its tables are bounded: the
// least recently used keys are evicted when there are too many, observations lose half of their weight per
// `halving_period`, and of each member the two latest incarnations are kept.
//
// Keys, from fine to coarse: (tenant, service, class, size), (tenant, service, class), (tenant, class),
// (class). Each observation counts in all four. The curve of a key has the curve of the next coarser key as
// prior, with the weight of `prior_weight` observations; the coarsest has a fixed log-uniform prior
// (survival_curve.h). Few samples therefore give wide estimates. The size is the base-2 logarithm of the
// cores, rounded.
//
// Censored observations: a task that was stopped, evicted, migrated or lost ran at least for the observed
// time, and nothing more is known. The same holds for a running task until it ends: its observation moves to
// later buckets as it ages, in steps of four buckets from 1 s on, and is never ahead of its age.
//
// The expected duration that a client declares (Task::expected_duration) is a second source: sketches of the
// same keys hold the ratio of run time to expected duration; the width of that distribution is the error of
// the declarations. For a task with an expected duration the estimate is a mixture of both curves. The weight
// of the ratio curve is w = a^4 / (a^4 + b^4), where a and b are the widths (in buckets, from the quantile
// 0.1 to 0.9) of the run-time curve and of the ratio curve. Uninformative declarations have a wider ratio
// distribution than the run times themselves and so get little weight.
//
// Replication: a cell is the complete state of one key at one incarnation of one member, with a version
// number that this member assigned. Of two copies of a cell the one with the higher version wins. The order
// is total, so that duplicated, late and reordered messages have no effect, a lost one is made up for by the
// next, and members that have received the same cells hold the same state. Cells of different origins are
// never added up in storage, only in queries, and as integers; aging (weights shifted right by the age of the
// cell in epochs) and merging therefore commute exactly. A restarted member begins a new incarnation; the
// cells of the previous one stay and age, but its running tasks no longer count.
//
// Faulty or malicious members: the weight of one member in a key is limited to half of the weight of all
// others, or to `uncapped_member_weight` observations if that is more. Among honest members it thus has at
// most a third of the weight, and where it is the only source the coarser key still has influence. Buckets
// that do not exist, weights over BucketCounts::kMaxWeight, epochs in the future and excess cells are clamped
// or dropped, and counted. The caller checks that the sender, as given by the transport, is the member named
// in a message.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <queue>
#include <set>
#include <vector>

#include "containers/hash.h"
#include "estimates/survival_curve.h"
#include "scheduling/scheduler.h"

namespace cluster_manager::estimates {

using scheduling::Task;

struct Parameters {
  // Observations lose half of their weight in this time; it is also the length of an epoch.
  Time halving_period = Time{2} * 3600 * 1'000'000'000;
  double prior_weight = 4;            // observations that the next coarser curve counts as
  double uncapped_member_weight = 8;  // observations of one other member that count in any case
  std::size_t max_keys = 4096;        // of this member, all levels together
  std::size_t max_running_tasks = 65536;
  std::size_t max_members = 128;                 // other members whose cells are stored
  std::size_t max_cells_per_incarnation = 4096;  // of another member
  Time max_curve_age = 5'000'000'000;  // a cached curve is reused for so long while coarser keys change
};

// kCensored: evicted, migrated, lost or stopped; the task would have run longer.
enum class Outcome { kCompleted, kCensored };

// Identifies a sketch. Fields that the level does not use are 0.
struct Key {
  enum Level : std::uint8_t { kSize, kService, kTenant, kClass, kLevelCount };
  Level level = kClass;
  bool is_ratio = false;  // the sketch holds run time / expected duration
  std::int32_t class_index = 0, tenant = 0, size = 0;
  std::uint64_t service = 0;
  auto operator<=>(const Key&) const = default;
};
// The key of the task at `level`.
Key MakeKey(const Task& task, Key::Level level, bool is_ratio);

// Message with changed cells of the sending member.
struct CellDelta {
  struct Cell {
    Key key;
    std::uint64_t version = 0;
    std::int64_t epoch = 0;
    std::vector<BucketCounts::Entry> counts;
    bool operator==(const Cell&) const = default;
  };
  std::uint32_t member = 0;
  std::uint64_t incarnation = 0;
  // All cells of the member with versions in (after_version, up_to_version].
  std::uint64_t after_version = 0, up_to_version = 0;
  std::vector<Cell> cells;
};

// How often each limit was reached.
struct LimitCounters {
  std::uint64_t keys_evicted = 0, keys_rejected = 0, running_tasks_rejected = 0, values_clamped = 0,
                weights_clamped = 0, cells_evicted = 0, cells_rejected = 0, members_rejected = 0,
                capped_members = 0;  // queries in which the weight of a member was reduced
};

// Not thread-safe.
class RunTimeEstimator {
 public:
  // `incarnation` must be greater after each restart of the member.
  RunTimeEstimator(Parameters parameters, std::uint32_t member, std::uint64_t incarnation);
  RunTimeEstimator(RunTimeEstimator&&) = default;  // not copyable: it holds pointers into its own maps
  RunTimeEstimator& operator=(RunTimeEstimator&&) = default;

  // --- Observations ---
  // The task has been running since `since`, which may be long ago if it was discovered late. Repeated calls
  // for a running task have no effect.
  void OnTaskStarted(const Task& task, Time since, Time now);
  // Unknown ids are ignored.
  void OnTaskEnded(scheduling::RequestId id, Outcome outcome, Time now);
  // Records the run time of a task that OnTaskStarted was not called for.
  void RecordRunTime(const Task& task, Time run_time, Outcome outcome, Time now);

  // --- Queries: they use the class, tenant, service, cores and expected duration of the task ---
  // The run time within which the fraction `quantile` of such tasks completes. The relative error against the
  // weighted observations is at most LogBuckets::kRelativeError.
  Time Quantile(const Task& task, double quantile, Time now);
  // The quantile of the remaining run time of tasks that have run for `elapsed`, in seconds.
  double RemainingSeconds(const Task& task, Time elapsed, double quantile, Time now);
  // The probability that a task that has run for `elapsed` runs for longer than a further `duration`.
  double SurvivalProbability(const Task& task, Time elapsed, Time duration, Time now);
  // How many observations the task's key at `level` has after aging, those of other members included.
  double ObservationWeight(const Task& task, Key::Level level, Time now);

  // --- Replication ---
  // The own cells changed after `after_version`, lowest versions first, at most `max_cells`.
  CellDelta BuildDelta(std::uint64_t after_version, std::size_t max_cells, Time now);
  // Stores the cells that are newer than the stored ones. Messages of this member itself are ignored.
  void Merge(const CellDelta& delta);
  // The version up to which all cells of the latest incarnation of `member` have been received: to be
  // returned to it as `after_version`. 0, with *incarnation unchanged, for an unknown member.
  std::uint64_t ReceivedVersion(std::uint32_t member, std::uint64_t* incarnation) const;
  // All received cells in order: equal for two members that have received the same cells.
  std::vector<CellDelta> ReceivedCells() const;

  const LimitCounters& limit_counters() const { return limit_counters_; }
  std::size_t key_count() const { return sketches_.size(); }
  std::size_t running_task_count() const { return running_tasks_.size(); }
  // Approximate memory use.
  std::size_t MemoryBytes() const;

 private:
  // The observations of this member for one key, and the cached curve of the key.
  struct Sketch {
    BucketCounts counts;
    std::int64_t epoch = 0;
    std::uint64_t version = 0, last_use = 0;
    std::uint32_t running_tasks = 0;
    Time curve_time = -1;  // when the curve was computed; -1: it is to be computed again
    std::uint64_t curve_version = 0;
    SurvivalCurve curve;
  };
  // What a sketch measures: the run time, or the ratio of run time to expected duration.
  enum Scale { kRunTime, kRatio, kScaleCount };
  struct RunningTask {
    Task task;
    Time since = 0;
    std::uint32_t sequence = 0;  // tells apart successive runs with the same id
    std::array<int, kScaleCount> bucket{};
    // The sketches in which it is counted; null where the table was full. A sketch with running tasks is
    // never evicted.
    std::array<std::array<Sketch*, Key::kLevelCount>, kScaleCount> sketches{};
  };
  // The time at which a running task moves to its next bucket.
  struct BucketChange {
    Time due;
    scheduling::RequestId id;
    std::uint32_t sequence;
    Scale scale;
    auto operator<=>(const BucketChange&) const = default;
  };
  struct ReceivedCell {
    std::uint64_t version = 0;
    std::int64_t epoch = 0;
    BucketCounts counts;
  };
  struct Incarnation {
    std::uint64_t received_version = 0;
    std::map<Key, ReceivedCell> cells;
    std::set<std::pair<std::uint64_t, Key>> by_version;
  };

  std::int64_t EpochAt(Time now) const { return now / parameters_.halving_period; }
  // Returns null if the table is full of keys with running tasks.
  Sketch* FindOrCreateSketch(const Key& key, Time now);
  // Evicts the least recently used keys without running tasks. Returns false if there are none.
  bool EvictKeys();
  void AddObservation(const Task& task, Time run_time, Outcome outcome, Time now);
  // Moves running tasks to the buckets of their ages at `now`.
  void AdvanceRunningTasks(Time now);
  void MoveToBucket(scheduling::RequestId id, RunningTask* running, Scale scale, int bucket, Time now);
  // The curve of the task's key at `level`; the fixed prior above the coarsest level. Unless `exact`, a
  // cached curve may lack the latest observations of this member.
  const SurvivalCurve& CurveFor(const Task& task, int level, bool is_ratio, bool exact, Time now);
  // The observations of all members for the key.
  ObservationCounts SumCounts(const Key& key, Time now);
  // A mixture of the run-time curve and, with the weight `ratio_weight`, the ratio curve.
  struct MixedCurve {
    const SurvivalCurve* run_time = nullptr;
    const SurvivalCurve* ratio = nullptr;
    double ratio_weight = 0, ratio_scale = 1;  // ratio_scale: nanoseconds per unit of the ratio curve
    double SurvivalPast(double duration) const;
  };
  MixedCurve MixedCurveFor(const Task& task, Time now);

  Parameters parameters_;
  std::uint32_t member_;
  std::uint64_t incarnation_;
  std::uint64_t version_ = 0;  // the latest that was assigned to an own cell
  std::map<Key, Sketch> sketches_;
  NumberMap<scheduling::RequestId, RunningTask> running_tasks_;
  std::priority_queue<BucketChange, std::vector<BucketChange>, std::greater<>> bucket_changes_;
  std::map<std::uint32_t, std::map<std::uint64_t, Incarnation>> received_;  // by member and incarnation
  std::uint32_t last_sequence_ = 0;
  std::uint64_t last_use_ = 0;
  LimitCounters limit_counters_;
  // temporary_curves_: curves of a query that no sketch holds, or whose sketch it may evict.
  std::array<SurvivalCurve, kScaleCount> prior_, temporary_curves_;
};

}  // namespace cluster_manager::estimates
