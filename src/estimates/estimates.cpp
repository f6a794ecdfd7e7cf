// What is seen: tasks that start, stand and end, counted under their keys.
#include "estimates/estimates.h"

#include <algorithm>
#include <cmath>

namespace cluster_manager::estimates {
namespace {

// Run time over the word is kept on the same scale as run times: a ratio of 1 stands at 100 s.
constexpr double kRatioOne = 100e9;

double Word(const Task& task) {
  return static_cast<double>(std::clamp(task.expected_duration, LogBuckets::kSmallestBound,
                                        LogBuckets::UpperBound(LogBuckets::kBuckets - 1)));
}

Time OnTrack(const Task& task, bool word, Time ran) {
  if (!word) return ran;
  return static_cast<Time>(std::min(static_cast<double>(ran) / Word(task) * kRatioOne, 9e18));
}

// Standing tasks move on by steps of several buckets: half again as old each, and none before 1 s (or a
// hundredth of the word). Their count is behind their age, which loses a little and claims nothing.
constexpr int kFirst = 48, kStep = 4;
static_assert(kFirst % kStep == 0);
int Shown(int bucket) { return bucket < kFirst ? 0 : bucket - bucket % kStep; }

}  // namespace

Key KeyOf(const Task& task, Key::Level level, bool word) {
  Key key{.level = level, .word = word, .class_index = task.class_index};
  if (level <= Key::kTenant) key.tenant = task.tenant;
  if (level <= Key::kService) key.service = task.service;
  if (level == Key::kSized && task.cores > 0) {
    key.size = static_cast<std::int32_t>(std::clamp(std::lround(std::log2(task.cores)), -8L, 16L));
  }
  return key;
}

Estimates::Estimates(Terms terms, std::uint32_t member, std::uint64_t incarnation)
    : terms_(terms), member_(member), incarnation_(incarnation) {
  constexpr Time kSecond = 1'000'000'000;
  prior_[kRun] = FlatCurve(kSecond, 86400 * kSecond);
  prior_[kWord] = FlatCurve(static_cast<Time>(kRatioOne / 16), static_cast<Time>(kRatioOne * 16));
}

Estimates::Own* Estimates::Touch(const Key& key, Time now) {
  auto it = own_.find(key);
  if (it == own_.end()) {
    if (own_.size() >= terms_.most_keys && !Forget()) {
      ++bounds_.keys_refused;
      return nullptr;
    }
    it = own_.try_emplace(key).first;
    it->second.epoch = EpochOf(now);
  }
  Own& own = it->second;
  own.used = ++uses_;
  if (const std::int64_t epoch = EpochOf(now); epoch > own.epoch) {
    own.counts.Halve(static_cast<int>(std::min<std::int64_t>(epoch - own.epoch, 31)));
    own.epoch = epoch;
    own.version = ++version_;
  }
  return &own;
}

bool Estimates::Forget() {
  // A sixteenth at once, so that a table that is full does not look through itself for each new key.
  std::vector<std::pair<std::uint64_t, const Key*>> idle;
  for (const auto& [key, own] : own_) {
    if (own.stand == 0) idle.emplace_back(own.used, &key);
  }
  if (idle.empty()) return false;
  const auto end = idle.begin() + static_cast<std::ptrdiff_t>(std::min(idle.size(), own_.size() / 16 + 1));
  std::ranges::partial_sort(idle, end, {}, &std::pair<std::uint64_t, const Key*>::first);
  for (auto it = idle.begin(); it != end; ++it) {
    const auto own = own_.find(*it->second);
    own_.erase(own);
    ++bounds_.keys_forgotten;
  }
  return true;
}

void Estimates::Started(const Task& task, Time since, Time now) {
  Advance(now);
  if (standing_.contains(task.id)) return;
  if (standing_.size() >= terms_.most_standing) {
    ++bounds_.standing_refused;
    return;
  }
  Standing standing{.task = task, .since = std::min(since, now), .turn = ++turn_};
  for (const Track track : {kRun, kWord}) {
    if (track == kWord && task.expected_duration <= 0) continue;
    const int bucket = Shown(LogBuckets::IndexOf(OnTrack(task, track == kWord, now - standing.since)));
    for (int level = 0; level < Key::kLevels; ++level) {
      Own* own = Touch(KeyOf(task, static_cast<Key::Level>(level), track == kWord), now);
      standing.counted[track][static_cast<std::size_t>(level)] = own;
      if (own == nullptr) continue;
      ++own->stand;
      if (!own->counts.Add(bucket, BucketCounts::kRunning)) ++bounds_.weights_cut;
    }
    standing.bucket[track] = bucket;
    Show(task.id, &standing, track, bucket, now);
  }
  standing_[task.id] = standing;
}

void Estimates::Show(scheduling::RequestId id, Standing* standing, Track track, int bucket, Time now) {
  for (Own* own : standing->counted[track]) {
    if (own == nullptr) continue;
    own->version = ++version_;
    if (bucket == standing->bucket[track]) continue;
    own->counts.Remove(standing->bucket[track], BucketCounts::kRunning);
    if (!own->counts.Add(bucket, BucketCounts::kRunning)) ++bounds_.weights_cut;
  }
  standing->bucket[track] = bucket;
  const int next = std::max(bucket + kStep, kFirst);
  if (next >= LogBuckets::kBuckets) return;  // it stays in the last one
  auto age = static_cast<double>(LogBuckets::UpperBound(next - 1));
  if (track == kWord) age *= Word(standing->task) / kRatioOne;
  const Time at = standing->since + static_cast<Time>(std::min(age, 4e18)) + 1;
  steps_.push({std::max(at, now + 1), id, standing->turn, track});
}

void Estimates::Advance(Time now) {
  while (!steps_.empty() && steps_.top().at <= now) {
    const Step step = steps_.top();
    steps_.pop();
    const auto it = standing_.find(step.id);
    if (it == standing_.end() || it->second.turn != step.turn) continue;  // it is over
    Standing& standing = it.value();
    const int bucket = LogBuckets::IndexOf(OnTrack(standing.task, step.track == kWord, now - standing.since));
    Show(step.id, &standing, step.track, std::max(Shown(bucket), standing.bucket[step.track]), now);
  }
}

void Estimates::Ended(scheduling::RequestId id, End how, Time now) {
  Advance(now);
  const auto it = standing_.find(id);
  if (it == standing_.end()) return;
  const Standing standing = it->second;
  standing_.erase(it);
  for (const Track track : {kRun, kWord}) {
    for (Own* own : standing.counted[track]) {
      if (own == nullptr) continue;
      --own->stand;
      own->counts.Remove(standing.bucket[track], BucketCounts::kRunning);
      own->version = ++version_;
    }
  }
  Count(standing.task, now - standing.since, how, now);
}

void Estimates::Note(const Task& task, Time ran, End how, Time now) {
  Advance(now);
  Count(task, ran, how, now);
}

void Estimates::Count(const Task& task, Time ran, End how, Time now) {
  if (LogBuckets::IsOutside(ran)) ++bounds_.values_clamped;
  ran = std::max<Time>(ran, 0);
  const BucketCounts::Kind kind = how == End::kDone ? BucketCounts::kCompleted : BucketCounts::kCensored;
  for (const bool word : {false, true}) {
    if (word && task.expected_duration <= 0) continue;
    const int bucket = LogBuckets::IndexOf(OnTrack(task, word, ran));
    for (int level = 0; level < Key::kLevels; ++level) {
      Own* own = Touch(KeyOf(task, static_cast<Key::Level>(level), word), now);
      if (own == nullptr) continue;
      if (!own->counts.Add(bucket, kind)) ++bounds_.weights_cut;
      own->version = ++version_;
    }
  }
}

double Estimates::Mixed::After(double span) const {
  const double by_run = run->LongerThan(span);
  return share <= 0 ? by_run : (1 - share) * by_run + share * word->LongerThan(span / scale);
}

Estimates::Mixed Estimates::Read(const Task& task, Time now) {
  Advance(now);
  Mixed mixed{.run = &CurveOf(task, Key::kSized, false, true, now)};
  if (task.expected_duration <= 0) return mixed;
  // The curve of run times may lie in a table that the next reading forgets from.
  unkept_[kRun] = *mixed.run;
  mixed.run = &unkept_[kRun];
  mixed.word = &CurveOf(task, Key::kSized, true, true, now);
  const auto width = [](const Curve& curve) { return 1.0 + curve.BucketOf(0.9) - curve.BucketOf(0.1); };
  const double a = std::pow(width(*mixed.run), 4), b = std::pow(width(*mixed.word), 4);
  mixed.share = a / (a + b);
  mixed.scale = Word(task) / kRatioOne;
  return mixed;
}

}  // namespace cluster_manager::estimates
