// Observations: tasks that start, run and end, counted under their keys.
#include "estimates/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace cluster_manager::estimates {
namespace {

// Ratios of run time to expected duration are stored on the scale of run times: the ratio 1 corresponds to
// 100 s.
constexpr double kRatioOne = 100e9;

double ExpectedDuration(const Task& task) {
  return static_cast<double>(std::clamp(task.expected_duration, LogBuckets::kSmallestBound,
                                        LogBuckets::UpperBound(LogBuckets::kBuckets - 1)));
}

Time ScaledValue(const Task& task, bool is_ratio, Time run_time) {
  if (!is_ratio) return run_time;
  return static_cast<Time>(
      std::min(static_cast<double>(run_time) / ExpectedDuration(task) * kRatioOne, 9e18));
}

// Running tasks advance in steps of several buckets, each about 1.5 times as old as the one before, and not
// before 1 s (or 1 % of the expected duration). Their counts lag behind their ages: that loses a little
// information and never overstates an age.
constexpr int kFirstStep = 48, kStep = 4;
static_assert(kFirstStep % kStep == 0);
int StepBucket(int bucket) { return bucket < kFirstStep ? 0 : bucket - bucket % kStep; }

}  // namespace

Key MakeKey(const Task& task, Key::Level level, bool is_ratio) {
  Key key{.level = level, .is_ratio = is_ratio, .class_index = task.class_index};
  if (level <= Key::kTenant) key.tenant = task.tenant;
  if (level <= Key::kService) key.service = task.service;
  if (level == Key::kSize && task.cores > 0) {
    key.size = static_cast<std::int32_t>(std::clamp(std::lround(std::log2(task.cores)), -8L, 16L));
  }
  return key;
}

RunTimeEstimator::RunTimeEstimator(Parameters parameters, std::uint32_t member, std::uint64_t incarnation)
    : parameters_(parameters), member_(member), incarnation_(incarnation) {
  constexpr Time kSecond = 1'000'000'000;
  prior_[kRunTime] = LogUniformCurve(kSecond, 86400 * kSecond);
  prior_[kRatio] = LogUniformCurve(static_cast<Time>(kRatioOne / 16), static_cast<Time>(kRatioOne * 16));
}

RunTimeEstimator::Sketch* RunTimeEstimator::FindOrCreateSketch(const Key& key, Time now) {
  auto it = sketches_.find(key);
  if (it == sketches_.end()) {
    if (sketches_.size() >= parameters_.max_keys && !EvictKeys()) {
      ++limit_counters_.keys_rejected;
      return nullptr;
    }
    it = sketches_.try_emplace(key).first;
    it->second.epoch = EpochAt(now);
  }
  Sketch& sketch = it->second;
  sketch.last_use = ++last_use_;
  if (const std::int64_t epoch = EpochAt(now); epoch > sketch.epoch) {
    sketch.counts.Halve(static_cast<int>(std::min<std::int64_t>(epoch - sketch.epoch, 31)));
    sketch.epoch = epoch;
    sketch.version = ++version_;
  }
  return &sketch;
}

bool RunTimeEstimator::EvictKeys() {
  // Evicts a sixteenth at once, so that a full table is not scanned for each new key.
  std::vector<std::pair<std::uint64_t, const Key*>> idle;
  for (const auto& [key, sketch] : sketches_) {
    if (sketch.running_tasks == 0) idle.emplace_back(sketch.last_use, &key);
  }
  if (idle.empty()) return false;
  const auto end =
      idle.begin() + static_cast<std::ptrdiff_t>(std::min(idle.size(), sketches_.size() / 16 + 1));
  std::ranges::partial_sort(idle, end, {}, &std::pair<std::uint64_t, const Key*>::first);
  for (auto it = idle.begin(); it != end; ++it) {
    const auto sketch = sketches_.find(*it->second);
    sketches_.erase(sketch);
    ++limit_counters_.keys_evicted;
  }
  return true;
}

void RunTimeEstimator::OnTaskStarted(const Task& task, Time since, Time now) {
  AdvanceRunningTasks(now);
  if (running_tasks_.contains(task.id)) return;
  if (running_tasks_.size() >= parameters_.max_running_tasks) {
    ++limit_counters_.running_tasks_rejected;
    return;
  }
  RunningTask running{.task = task, .since = std::min(since, now), .sequence = ++last_sequence_};
  for (const Scale scale : {kRunTime, kRatio}) {
    if (scale == kRatio && task.expected_duration <= 0) continue;
    const int bucket =
        StepBucket(LogBuckets::IndexOf(ScaledValue(task, scale == kRatio, now - running.since)));
    for (int level = 0; level < Key::kLevelCount; ++level) {
      Sketch* sketch =
          FindOrCreateSketch(MakeKey(task, static_cast<Key::Level>(level), scale == kRatio), now);
      running.sketches[scale][static_cast<std::size_t>(level)] = sketch;
      if (sketch == nullptr) continue;
      ++sketch->running_tasks;
      if (!sketch->counts.Add(bucket, BucketCounts::kRunning)) ++limit_counters_.weights_clamped;
    }
    running.bucket[scale] = bucket;
    MoveToBucket(task.id, &running, scale, bucket, now);
  }
  running_tasks_[task.id] = running;
}

void RunTimeEstimator::MoveToBucket(scheduling::RequestId id, RunningTask* running, Scale scale, int bucket,
                                    Time now) {
  for (Sketch* sketch : running->sketches[scale]) {
    if (sketch == nullptr) continue;
    sketch->version = ++version_;
    if (bucket == running->bucket[scale]) continue;
    sketch->counts.Remove(running->bucket[scale], BucketCounts::kRunning);
    if (!sketch->counts.Add(bucket, BucketCounts::kRunning)) ++limit_counters_.weights_clamped;
  }
  running->bucket[scale] = bucket;
  const int next = std::max(bucket + kStep, kFirstStep);
  if (next >= LogBuckets::kBuckets) return;  // it stays in the last step
  auto age = static_cast<double>(LogBuckets::UpperBound(next - 1));
  if (scale == kRatio) age *= ExpectedDuration(running->task) / kRatioOne;
  const Time due = running->since + static_cast<Time>(std::min(age, 4e18)) + 1;
  bucket_changes_.push({std::max(due, now + 1), id, running->sequence, scale});
}

void RunTimeEstimator::AdvanceRunningTasks(Time now) {
  while (!bucket_changes_.empty() && bucket_changes_.top().due <= now) {
    const BucketChange change = bucket_changes_.top();
    bucket_changes_.pop();
    const auto it = running_tasks_.find(change.id);
    if (it == running_tasks_.end() || it->second.sequence != change.sequence) continue;  // it has ended
    RunningTask& running = it.value();
    const int bucket =
        LogBuckets::IndexOf(ScaledValue(running.task, change.scale == kRatio, now - running.since));
    MoveToBucket(change.id, &running, change.scale,
                 std::max(StepBucket(bucket), running.bucket[change.scale]), now);
  }
}

void RunTimeEstimator::OnTaskEnded(scheduling::RequestId id, Outcome outcome, Time now) {
  AdvanceRunningTasks(now);
  const auto it = running_tasks_.find(id);
  if (it == running_tasks_.end()) return;
  const RunningTask running = it->second;
  running_tasks_.erase(it);
  for (const Scale scale : {kRunTime, kRatio}) {
    for (Sketch* sketch : running.sketches[scale]) {
      if (sketch == nullptr) continue;
      --sketch->running_tasks;
      sketch->counts.Remove(running.bucket[scale], BucketCounts::kRunning);
      sketch->version = ++version_;
    }
  }
  AddObservation(running.task, now - running.since, outcome, now);
}

void RunTimeEstimator::RecordRunTime(const Task& task, Time run_time, Outcome outcome, Time now) {
  AdvanceRunningTasks(now);
  AddObservation(task, run_time, outcome, now);
}

void RunTimeEstimator::AddObservation(const Task& task, Time run_time, Outcome outcome, Time now) {
  if (LogBuckets::IsOutside(run_time)) ++limit_counters_.values_clamped;
  run_time = std::max<Time>(run_time, 0);
  const BucketCounts::Kind kind =
      outcome == Outcome::kCompleted ? BucketCounts::kCompleted : BucketCounts::kCensored;
  for (const bool is_ratio : {false, true}) {
    if (is_ratio && task.expected_duration <= 0) continue;
    const int bucket = LogBuckets::IndexOf(ScaledValue(task, is_ratio, run_time));
    for (int level = 0; level < Key::kLevelCount; ++level) {
      Sketch* sketch = FindOrCreateSketch(MakeKey(task, static_cast<Key::Level>(level), is_ratio), now);
      if (sketch == nullptr) continue;
      if (!sketch->counts.Add(bucket, kind)) ++limit_counters_.weights_clamped;
      sketch->version = ++version_;
    }
  }
}

double RunTimeEstimator::MixedCurve::SurvivalPast(double duration) const {
  const double by_run_time = run_time->SurvivalPast(duration);
  return ratio_weight <= 0
             ? by_run_time
             : (1 - ratio_weight) * by_run_time + ratio_weight * ratio->SurvivalPast(duration / ratio_scale);
}

RunTimeEstimator::MixedCurve RunTimeEstimator::MixedCurveFor(const Task& task, Time now) {
  AdvanceRunningTasks(now);
  MixedCurve mixed{.run_time = &CurveFor(task, Key::kSize, false, true, now)};
  if (task.expected_duration <= 0) return mixed;
  // Computing the ratio curve may evict the sketch that holds the run-time curve, hence the copy.
  temporary_curves_[kRunTime] = *mixed.run_time;
  mixed.run_time = &temporary_curves_[kRunTime];
  mixed.ratio = &CurveFor(task, Key::kSize, true, true, now);
  const auto width = [](const SurvivalCurve& curve) {
    return 1.0 + curve.QuantileBucket(0.9) - curve.QuantileBucket(0.1);
  };
  const double a = std::pow(width(*mixed.run_time), 4), b = std::pow(width(*mixed.ratio), 4);
  mixed.ratio_weight = a / (a + b);
  mixed.ratio_scale = ExpectedDuration(task) / kRatioOne;
  return mixed;
}

}  // namespace cluster_manager::estimates
