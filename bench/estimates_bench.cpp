// How well run times are estimated, against the mean of the last two, the owner's own word and a plain
// histogram, on four workloads in virtual time; what a note and a quantile cost; memory. Seeded: two runs
// differ only in the costs. Arguments: tasks (20000), seed (1), half-life in hours (2).
//
// An estimate is asked for when a task starts, and judged by its true life, also where it was cut before.
// error: |ln(told median / life)|, its median. in 0.5, in 0.9: the share of lives that are over by the told
// quantile (for a method that tells one number, by that number). wide: told 0.9 over told 0.5. new: the same
// for tasks of services seen fewer than five times.
#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <string>

#include "estimates/run_time_estimator.h"

namespace {

using cluster_manager::estimates::Outcome;
using cluster_manager::estimates::Parameters;
using cluster_manager::estimates::RunTimeEstimator;
using cluster_manager::estimates::Task;
using cluster_manager::estimates::Time;

constexpr Time kSecond = 1'000'000'000, kStart = Time{1'700'000'000} * kSecond;

struct Told {
  double half, most;  // seconds
};

struct Method {
  virtual ~Method() = default;
  virtual std::string Name() const = 0;
  virtual Told Ask(const Task& task, Time now) = 0;
  virtual void Started(const Task&, Time) {}
  virtual void Ended(const Task& task, Time ran, bool cut, Time now) = 0;
  virtual std::size_t Bytes() const = 0;
};

struct Ours : Method {
  Ours(bool word, Parameters terms) : word(word), estimates(terms, 1, 1) {}
  bool word;
  RunTimeEstimator estimates;
  Task Heard(Task task) const {
    if (!word) task.expected_duration = 0;
    return task;
  }
  std::string Name() const override { return word ? "sketches, with the word" : "sketches"; }
  Told Ask(const Task& task, Time now) override {
    return {static_cast<double>(estimates.Quantile(Heard(task), 0.5, now)) * 1e-9,
            static_cast<double>(estimates.Quantile(Heard(task), 0.9, now)) * 1e-9};
  }
  void Started(const Task& task, Time now) override { estimates.OnTaskStarted(Heard(task), now, now); }
  void Ended(const Task& task, Time, bool cut, Time now) override {
    estimates.OnTaskEnded(task.id, cut ? Outcome::kCensored : Outcome::kCompleted, now);
  }
  std::size_t Bytes() const override { return estimates.MemoryBytes(); }
};

struct LastTwo : Method {
  std::map<std::uint64_t, std::deque<double>> last;
  std::string Name() const override { return "mean of the last two"; }
  Told Ask(const Task& task, Time) override {
    const auto& two = last[task.service];
    double sum = 0;
    for (const double each : two) sum += each;
    const double mean = two.empty() ? 60 : sum / static_cast<double>(two.size());
    return {mean, mean};
  }
  void Ended(const Task& task, Time ran, bool, Time) override {
    auto& two = last[task.service];
    two.push_back(static_cast<double>(ran) * 1e-9);
    if (two.size() > 2) two.pop_front();
  }
  std::size_t Bytes() const override { return last.size() * (48 + sizeof(std::deque<double>) + 512); }
};

struct OwnWord : Method {
  std::string Name() const override { return "the owner's word"; }
  Told Ask(const Task& task, Time) override {
    const double word = static_cast<double>(task.expected_duration) * 1e-9;
    return {word, word};
  }
  void Ended(const Task&, Time, bool, Time) override {}
  std::size_t Bytes() const override { return 0; }
};

// By service, 128 equal buckets of 10 s; what was cut counts as a life like any other.
struct Histogram : Method {
  static constexpr int kBuckets = 128;
  static constexpr double kWidth = 10;
  std::map<std::uint64_t, std::array<std::uint32_t, kBuckets>> counts;
  std::string Name() const override { return "plain histogram"; }
  Told Ask(const Task& task, Time) override {
    const auto& of = counts[task.service];
    std::uint64_t all = 0;
    for (const std::uint32_t each : of) all += each;
    if (all == 0) return {60, 600};
    const auto at = [&](double q) {
      std::uint64_t sum = 0;
      for (int i = 0; i < kBuckets; ++i) {
        sum += of[static_cast<std::size_t>(i)];
        if (static_cast<double>(sum) >= q * static_cast<double>(all)) return (i + 0.5) * kWidth;
      }
      return kBuckets * kWidth;
    };
    return {at(0.5), at(0.9)};
  }
  void Ended(const Task& task, Time ran, bool, Time) override {
    const auto bucket = std::min<Time>(ran / static_cast<Time>(kWidth * kSecond), kBuckets - 1);
    ++counts[task.service][static_cast<std::size_t>(bucket)];
  }
  std::size_t Bytes() const override { return counts.size() * (48 + 8 + sizeof(std::uint32_t) * kBuckets); }
};

struct Arrival {
  Task task;
  Time at, lives, cut;  // cut: after so long, or never (0)
};

enum class Load { kLognormal, kBimodal, kDrift, kCensored };
constexpr const char* kLoads[] = {"lognormal lives", "bimodal by service", "drift", "heavy censoring"};

std::vector<Arrival> Generate(Load load, int tasks, std::uint64_t seed) {
  pcg64 random(seed);
  std::normal_distribution<double> normal;
  const auto uniform = [&] { return std::uniform_real_distribution<double>()(random); };
  std::vector<Arrival> all;
  constexpr int kServices = 200;
  std::vector<double> median(kServices), sigma(kServices);
  for (int i = 0; i < kServices; ++i) {
    median[static_cast<std::size_t>(i)] = (i % 3 == 0   ? 20
                                           : i % 3 == 1 ? 90
                                                        : 400) *
                                          std::exp(0.7 * normal(random));
    sigma[static_cast<std::size_t>(i)] = 0.15 + 0.7 * uniform();
  }
  const Time span = 2 * 86400 * kSecond;
  for (int i = 0; i < tasks; ++i) {
    Arrival a;
    a.at = kStart + span / tasks * i;
    const auto service = static_cast<std::size_t>(kServices * std::pow(uniform(), 2.5));  // few have most
    a.task.id = static_cast<std::uint64_t>(i) + 1;
    a.task.service = service;
    a.task.class_index = static_cast<int>(service % 3);
    a.task.tenant = static_cast<int>(service % 7);
    a.task.cores = service % 5 == 0 && random() % 2 ? 4 : 1;
    double lives = median[service] * std::exp(sigma[service] * normal(random));
    if (a.task.cores > 1) lives *= 2;
    if (load == Load::kBimodal && service % 2 == 0 && uniform() < 0.4) lives *= 12;
    if (load == Load::kDrift) lives *= std::pow(6.0, static_cast<double>(i) / tasks);
    a.lives = static_cast<Time>(std::clamp(lives, 0.05, 86400.0) * kSecond);
    // Owners pad what they say, each service in its own way, and round it up to a minute.
    const double pad = (1.2 + static_cast<double>(service % 4)) * std::exp(0.35 * normal(random));
    a.task.expected_duration = static_cast<Time>(std::ceil(lives * pad / 60) * 60) * kSecond;
    a.cut = 0;
    const double cut = median[service] * std::exp(0.8 * normal(random));
    if (load == Load::kCensored || uniform() < 0.03) a.cut = static_cast<Time>(cut * kSecond);
    all.push_back(a);
  }
  return all;
}

struct Score {
  std::vector<double> errors, fresh_errors, widths;
  int asked = 0, in_half = 0, in_most = 0, fresh = 0, fresh_most = 0;
  double ask_ns = 0, note_ns = 0;
};

double Middle(std::vector<double> all) {
  if (all.empty()) return 0;
  std::ranges::nth_element(all, all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2));
  return all[all.size() / 2];
}

Score Play(Method& method, const std::vector<Arrival>& arrivals) {
  using Clock = std::chrono::steady_clock;
  const auto ns = [](Clock::time_point from) {
    return std::chrono::duration<double, std::nano>(Clock::now() - from).count();
  };
  struct Due {
    Time at;
    const Arrival* arrival;
    bool operator>(const Due& other) const {
      return std::pair{at, arrival} > std::pair{other.at, other.arrival};
    }
  };
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
  std::map<std::uint64_t, int> seen;
  Score score;
  std::size_t i = 0;
  for (const Arrival& a : arrivals) {
    while (!due.empty() && due.top().at <= a.at) {
      const Due d = due.top();
      due.pop();
      const Time ran = d.at - d.arrival->at;
      const auto from = Clock::now();
      method.Ended(d.arrival->task, ran, ran < d.arrival->lives, d.at);
      score.note_ns += ns(from);
    }
    const auto from = Clock::now();
    const Told told = method.Ask(a.task, a.at);
    score.ask_ns += ns(from) / 2;  // two quantiles
    const auto start = Clock::now();
    method.Started(a.task, a.at);
    score.note_ns += ns(start);
    const double lives = static_cast<double>(a.lives) * 1e-9;
    const double error = std::abs(std::log(told.half / lives));
    if (seen[a.task.service]++ < 5) {
      score.fresh_errors.push_back(error);
      ++score.fresh;
      score.fresh_most += lives <= told.most;
    }
    if (++i > arrivals.size() / 2) {
      score.errors.push_back(error);
      score.widths.push_back(told.most / told.half);
      ++score.asked;
      score.in_half += lives <= told.half;
      score.in_most += lives <= told.most;
    }
    due.push({a.at + (a.cut > 0 ? std::min(a.cut, a.lives) : a.lives), &a});
  }
  return score;
}

}  // namespace

int main(int argc, char** argv) {
  const int tasks = argc > 1 ? std::atoi(argv[1]) : 20'000;
  const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  Parameters terms;
  if (argc > 3) terms.halving_period = static_cast<Time>(std::atof(argv[3]) * 3600 * kSecond);
  std::printf("%-20s %-24s %6s %7s %7s %6s | %9s %8s | %8s %8s %9s\n", "workload", "method", "error",
              "in 0.5", "in 0.9", "wide", "new error", "new 0.9", "note ns", "ask ns", "KiB");
  for (const Load load : {Load::kLognormal, Load::kBimodal, Load::kDrift, Load::kCensored}) {
    const std::vector<Arrival> arrivals = Generate(load, tasks, seed);
    std::vector<std::unique_ptr<Method>> methods;
    methods.push_back(std::make_unique<Ours>(false, terms));
    methods.push_back(std::make_unique<Ours>(true, terms));
    methods.push_back(std::make_unique<LastTwo>());
    methods.push_back(std::make_unique<OwnWord>());
    methods.push_back(std::make_unique<Histogram>());
    for (const auto& method : methods) {
      const Score s = Play(*method, arrivals);
      const double n = s.asked;
      std::printf("%-20s %-24s %6.3f %7.3f %7.3f %6.2f | %9.3f %8.3f | %8.0f %8.0f %9.1f\n",
                  kLoads[static_cast<int>(load)], method->Name().c_str(), Middle(s.errors), s.in_half / n,
                  s.in_most / n, Middle(s.widths), Middle(s.fresh_errors),
                  static_cast<double>(s.fresh_most) / std::max(1, s.fresh),
                  s.note_ns / static_cast<double>(arrivals.size()),
                  s.ask_ns / static_cast<double>(arrivals.size()),
                  static_cast<double>(method->Bytes()) / 1024);
    }
  }
}
