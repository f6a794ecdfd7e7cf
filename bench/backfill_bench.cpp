// Backfill on and off in virtual time: how long large tasks wait (p50, p99), how much of the cores is used,
// how long small tasks wait, and how many promises to large tasks are broken. 12 and 400 nodes, three loads.
// Seeded. Arguments: hours of virtual time at 12 nodes (6; at 400 a third of it), seed (1).
//
// The model, only here: nodes of 16 cores. A fifth of the work asked for is of large tasks (12 cores, median
// 300 s), the rest of small ones (1 or 2 cores, median 20 to 80 s by service, 40 services). Three cluster
// managers; each task comes to one of them and tries every 100 ms until there is room for it, in the order of
// coming: a large one on any node, a small one on the most free of twelve drawn. They share reservations by
// a lender with leases of 10 s, and estimates by deltas each 5 s; no manager knows a life before it ends. A
// tenth of the tasks is cut at a random time. A promise is the time at which room was expected when a
// reservation began; it is broken when the task starts more than a second later, or not there.
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
#include <random>

#include "backfill/backfill.h"
#include "backfill/estimator_run_time_predictor.h"

namespace {

using namespace cluster_manager::backfill;
using cluster_manager::estimates::Outcome;
using cluster_manager::estimates::RunTimeEstimator;
using scheduling::RequestId;

constexpr Time kStart = Time{1'700'000'000} * kSecond, kTick = 100 * kMs;
constexpr int kManagers = 3, kNodeCores = 16;

struct All : PlacementConstraints {
  bool Allows(NodeId, const Task&, Time) const override { return true; }
};

// Lends each node's right at once, by the rule of budgets: again only when given back or ended.
struct Lender {
  struct Lease {
    int member = -1;
    std::uint64_t epoch = 0;
    Time ends = 0;
  };
  std::map<NodeId, Lease> leases;
  std::uint64_t epoch = 0;
  Time now = 0;
};

struct Port : Leases {
  Lender* lender = nullptr;
  Backfill* to = nullptr;
  int member = 0;
  Access AccessTo(NodeId) const override { return Access::kOnRequest; }
  void Request(NodeId node, Time, Time) override {
    Lender::Lease& lease = lender->leases[node];
    if (lease.member >= 0 && lease.member != member && lender->now < lease.ends + 200 * kMs) {
      to->OnLeaseLost(node, lender->epoch, lender->now);
      return;
    }
    lease = {member, ++lender->epoch, lender->now + 10 * kSecond};
    to->OnLeaseGranted(node, lease.epoch, lease.ends, lender->now);
  }
  void Release(NodeId node, std::uint64_t epoch) override {
    Lender::Lease& lease = lender->leases[node];
    if (lease.member == member && lease.epoch == epoch) lease.member = -1;
  }
};

struct Manager {
  RunTimeEstimator estimates;
  EstimatorRunTimePredictor lives{&estimates};
  All rules;
  Port port;
  std::unique_ptr<Backfill> backfill;
  std::deque<RequestId> large, small;
  std::map<RequestId, Time> promised;  // of the last reservation
  std::array<std::uint64_t, kManagers> heard{};
  explicit Manager(std::uint32_t number) : estimates({}, number, 1) {}
};

struct Live {
  Task task;
  Time came = 0, lives = 0, cut = 0;
  NodeId node = 0;
  int manager = 0;
};

struct Row {
  std::vector<double> large_wait, small_wait, late;
  double used = 0;
  int promises = 0, broken = 0, large_left = 0, twice = 0;
  std::uint64_t fills = 0, overstays = 0, reserved = 0, dropped = 0;
  double look_us = 0, fill_ns = 0;
};

class World {
 public:
  World(int nodes, double load, bool on, Time length, std::uint64_t seed)
      : random_(seed),
        on_(on),
        nodes_(nodes),
        free_(static_cast<std::size_t>(nodes), kNodeCores),
        length_(length) {
    for (std::uint32_t i = 0; i < kManagers; ++i) {
      managers_.push_back(std::make_unique<Manager>(i));
      Manager& m = *managers_.back();
      Parameters terms;
      terms.members = kManagers;
      terms.run_time_quantiles = {0.9, 0.8};
      m.port.lender = &lender_;
      m.port.member = static_cast<int>(i);
      m.backfill = std::make_unique<Backfill>(terms, &m.port, &m.lives, &m.rules);
      m.port.to = m.backfill.get();
      for (int node = 0; node < nodes; ++node) {
        m.backfill->UpdateNode(static_cast<NodeId>(node), {kNodeCores, 64, 0, true}, now_);
      }
    }
    const double work = load * nodes * kNodeCores;  // core seconds a second
    large_rate_ = 0.2 * work / (12 * 300 * std::exp(0.5 * 0.5 * 0.5));
    small_rate_ = 0.8 * work / (1.5 * 50 * std::exp(0.5 * 0.6 * 0.6));
  }

  Row Run() {
    const Time warm = kStart + length_ / 6, end = kStart + length_;
    double used = 0;
    std::int64_t ticks = 0;
    while (now_ < end) {
      lender_.now = now_ += kTick;
      EndDue();
      Arrive();
      for (auto& m : managers_) PlaceAll(*m, now_ > warm);
      if (on_) Talk();
      if (now_ <= warm) continue;
      double free = 0;
      for (const int each : free_) free += each;
      used += 1 - free / (nodes_ * kNodeCores);
      ++ticks;
    }
    row_.used = used / static_cast<double>(ticks);
    for (auto& m : managers_) {
      for (const RequestId id : m->large) {
        row_.large_wait.push_back(Seconds(now_ - live_.at(id).came));
        ++row_.large_left;
      }
      const Counters& c = m->backfill->counters();
      row_.fills += c.backfilled;
      row_.overstays += c.overruns;
      row_.reserved += c.reservations;
      for (const DropReason why : {DropReason::kMissed, DropReason::kNoLease})
        row_.dropped += c.dropped[static_cast<int>(why)];
    }
    row_.look_us = look_ns_ / static_cast<double>(std::max<std::int64_t>(looks_, 1)) / 1000;
    row_.fill_ns = fill_ns_ / static_cast<double>(std::max<std::int64_t>(asked_, 1));
    return row_;
  }

 private:
  static double Seconds(Time t) { return static_cast<double>(t) * 1e-9; }
  double Uniform() { return std::uniform_real_distribution<double>()(random_); }
  double Normal() { return std::normal_distribution<double>()(random_); }

  void Arrive() {
    const auto come = [&](double rate, bool large) {
      for (int n = std::poisson_distribution<int>(rate * Seconds(kTick))(random_); n > 0; --n) {
        Live live;
        live.came = now_;
        live.manager = static_cast<int>(random_() % kManagers);
        live.task.id = next_++;
        live.task.service = large ? 1000 + random_() % 4 : random_() % 40;
        live.task.class_index = large ? 2 : static_cast<int>(live.task.service % 2);
        live.task.cores = large ? 12 : 1 + static_cast<double>(random_() % 2);
        live.task.memory = 2 * live.task.cores;
        // Medians of services are even from 20 to 80 s: 50 s on the average.
        const double median = large ? 300 : 20 + 60.0 * static_cast<double>(live.task.service) / 39;
        live.lives = static_cast<Time>(median * std::exp((large ? 0.5 : 0.6) * Normal()) * kSecond);
        if (Uniform() < 0.1) live.cut = static_cast<Time>(Uniform() * Seconds(live.lives) * kSecond);
        Manager& m = *managers_[static_cast<std::size_t>(live.manager)];
        (large ? m.large : m.small).push_back(live.task.id);
        live_[live.task.id] = live;
      }
    };
    come(large_rate_, true);
    come(small_rate_, false);
  }

  void EndDue() {
    while (!ends_.empty() && ends_.begin()->first <= now_) {
      const RequestId id = ends_.begin()->second;
      ends_.erase(ends_.begin());
      const Live& live = live_.at(id);
      free_[live.node] += static_cast<int>(live.task.cores);
      Manager& of = *managers_[static_cast<std::size_t>(live.manager)];
      if (on_) {
        of.estimates.OnTaskEnded(id, live.cut > 0 ? Outcome::kCensored : Outcome::kCompleted, now_);
        for (auto& m : managers_) m->backfill->OnTaskEnded(id, now_);
      }
      live_.erase(id);
    }
  }

  bool MayFill(Manager& m, NodeId node, const Task& task) {
    if (!on_) return true;
    const auto from = std::chrono::steady_clock::now();
    const bool may = m.backfill->AllowsStart(node, task, now_);
    fill_ns_ += std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count();
    ++asked_;
    return may;
  }

  void Place(Manager& m, Live& live, NodeId node) {
    live.node = node;
    free_[node] -= static_cast<int>(live.task.cores);
    ends_.emplace(now_ + (live.cut > 0 ? live.cut : live.lives), live.task.id);
    if (!on_) return;
    m.estimates.OnTaskStarted(live.task, now_, now_);
    for (auto& each : managers_) each->backfill->OnTaskStarted(live.task, node, now_, now_, each.get() == &m);
  }

  bool PlaceLarge(Manager& m, Live& live, bool counts) {
    const auto cores = static_cast<int>(live.task.cores);
    std::optional<NodeId> held;
    if (on_) held = m.backfill->ReservedNode(live.task.id, now_);
    NodeId node = 0;
    const auto fits = [&](NodeId n) { return free_[n] >= cores && MayFill(m, n, live.task); };
    if (held && fits(*held)) {
      node = *held;
    } else {
      while (node < static_cast<NodeId>(nodes_) && !fits(node)) ++node;
      if (node == static_cast<NodeId>(nodes_)) return false;
    }
    if (counts) {
      row_.large_wait.push_back(Seconds(now_ - live.came));
      if (const auto it = m.promised.find(live.task.id); it != m.promised.end()) {
        ++row_.promises;
        row_.broken += now_ > it->second + kSecond;
        row_.late.push_back(std::max(0.0, Seconds(now_ - it->second)));
      }
    }
    m.promised.erase(live.task.id);
    if (on_) m.backfill->RemoveWaitingTask(live.task.id, true, now_);
    Place(m, live, node);
    return true;
  }

  void PlaceAll(Manager& m, bool counts) {
    std::erase_if(m.large, [&](RequestId id) {
      Live& live = live_.at(id);
      if (PlaceLarge(m, live, counts)) return true;
      if (on_) m.backfill->AddWaitingTask(live.task, now_);
      return false;
    });
    int looked = 0;
    std::erase_if(m.small, [&](RequestId id) {
      if (++looked > 100) return false;
      Live& live = live_.at(id);
      const auto cores = static_cast<int>(live.task.cores);
      int best = -1;
      for (int i = 0; i < 12; ++i) {
        const int node = nodes_ <= 12 ? i : static_cast<int>(random_() % static_cast<unsigned>(nodes_));
        const int free = free_[static_cast<std::size_t>(node)];
        if (free < cores || (best >= 0 && free <= free_[static_cast<std::size_t>(best)])) continue;
        if (MayFill(m, static_cast<NodeId>(node), live.task)) best = node;
      }
      if (best < 0) return false;
      if (counts) row_.small_wait.push_back(Seconds(now_ - live.came));
      Place(m, live, static_cast<NodeId>(best));
      return true;
    });
  }

  void Talk() {
    std::map<NodeId, int> holders;
    for (auto& m : managers_) {
      const auto from = std::chrono::steady_clock::now();
      m->backfill->Update(now_);
      look_ns_ += std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count();
      ++looks_;
      for (const Reservation& r : m->backfill->ActiveReservations(now_)) {
        row_.twice += ++holders[r.node] > 1;
        m->promised.try_emplace(r.task.id, r.first_expected_start);
      }
    }
    for (std::uint32_t from = 0; from < kManagers; ++from) {
      for (std::uint32_t to = 0; to < kManagers; ++to) {
        if (from == to) continue;
        // What is over is said by no longer being said: `until` is short here.
        for (Announcement told : managers_[from]->backfill->BuildAnnouncements(from, now_)) {
          told.valid_until = std::min(told.valid_until, now_ + 2 * kTick);
          managers_[to]->backfill->OnAnnouncement(told, now_);
        }
        if ((now_ - kStart) % (5 * kSecond) != 0) continue;
        auto& heard = managers_[to]->heard[from];
        const auto said = managers_[from]->estimates.BuildDelta(heard, 200, now_);
        heard = said.up_to_version;
        managers_[to]->estimates.Merge(said);
      }
    }
  }

  pcg64 random_;
  bool on_;
  int nodes_;
  std::vector<int> free_;
  Time length_, now_ = kStart;
  double large_rate_ = 0, small_rate_ = 0, look_ns_ = 0, fill_ns_ = 0;
  std::int64_t looks_ = 0, asked_ = 0;
  Lender lender_;
  std::vector<std::unique_ptr<Manager>> managers_;
  std::map<RequestId, Live> live_;
  std::multimap<Time, RequestId> ends_;
  RequestId next_ = 1;
  Row row_;
};

double At(std::vector<double>* all, double q) {
  if (all->empty()) return 0;
  std::ranges::sort(*all);
  return (*all)[std::min(all->size() - 1, static_cast<std::size_t>(q * static_cast<double>(all->size())))];
}

}  // namespace

int main(int argc, char** argv) {
  const double hours = argc > 1 ? std::atof(argv[1]) : 6;
  const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  std::printf("%5s %5s %4s | %8s %8s %6s | %6s | %7s %7s | %8s %7s %7s %6s | %7s %6s %6s | %8s %8s\n",
              "nodes", "load", "", "large50", "large99", "left", "used", "small50", "small99", "promises",
              "broken", "late99", "twice", "fills", "over", "drops", "look us", "fill ns");
  for (const int nodes : {12, 400}) {
    const Time length = static_cast<Time>(hours * 3600 / (nodes == 400 ? 3 : 1)) * kSecond;
    for (const double load : {0.6, 0.8, 0.95}) {
      for (const bool on : {false, true}) {
        Row r = World(nodes, load, on, length, seed).Run();
        std::printf(
            "%5d %5.2f %4s | %8.1f %8.1f %6d | %6.3f | %7.1f %7.1f | %8d %7.3f %7.1f %6d | %7llu %6.3f %6llu "
            "| "
            "%8.1f %8.0f\n",
            nodes, load, on ? "on" : "off", At(&r.large_wait, 0.5), At(&r.large_wait, 0.99), r.large_left,
            r.used, At(&r.small_wait, 0.5), At(&r.small_wait, 0.99), r.promises,
            static_cast<double>(r.broken) / std::max(1, r.promises), At(&r.late, 0.99), r.twice,
            static_cast<unsigned long long>(r.fills),
            static_cast<double>(r.overstays) / static_cast<double>(std::max<std::uint64_t>(1, r.fills)),
            static_cast<unsigned long long>(r.dropped), r.look_us, r.fill_ns);
        std::fflush(stdout);
      }
    }
  }
}
