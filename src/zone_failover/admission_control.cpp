#include "zone_failover/admission_control.h"

#include <algorithm>

#include "containers/hash.h"

namespace cluster_manager::zone_failover {
namespace {

constexpr std::uint64_t kDraw = 0x51735;  // a stream of its own: not that of any service
constexpr std::int64_t kScaleEvery = 200'000'000;

}  // namespace

AdmissionControl::AdmissionControl(AdmissionParameters terms, int ranks)
    : terms_(terms), demand_(static_cast<std::size_t>(ranks)), level_(ranks) {}

void AdmissionControl::Arrived(int rank, Amount amount, Time now) {
  Flow& flow = demand_[static_cast<std::size_t>(rank)];
  flow.cores.Record(now, amount.cores);
  flow.memory.Record(now, amount.memory);
}

void AdmissionControl::Ended(Amount amount, Time now) {
  ends_.cores.Record(now, amount.cores);
  ends_.memory.Record(now, amount.memory);
}

void AdmissionControl::Open() {
  level_ = ranks();
  share_ = 0;
  scale_ = fits_ = 1;
  room_since_ = scaled_at_ = 0;
}

// How far down the order the supply reaches.
AdmissionControl::Place AdmissionControl::Wanted(Amount supply, Time now) const {
  double cores = supply.cores, memory = supply.memory;
  for (int rank = 0; rank < ranks(); ++rank) {
    const Flow& flow = demand_[static_cast<std::size_t>(rank)];
    const double its_cores = flow.cores.PerSecond(now), its_memory = flow.memory.PerSecond(now);
    if (its_cores > cores || its_memory > memory) {
      const double share =
          std::min(its_cores > 0 ? cores / its_cores : 1, its_memory > 0 ? memory / its_memory : 1);
      return {rank, std::clamp(share, 0.0, 1.0)};
    }
    cores -= its_cores;
    memory -= its_memory;
  }
  return {ranks(), 0};
}

void AdmissionControl::Evaluate(Amount free, int waiting, Time now) {
  if (now - scaled_at_ >= kScaleEvery) {
    scaled_at_ = now;
    scale_ = waiting > 0 ? scale_ * 0.9 : scale_ + 0.02;
    scale_ = std::clamp(scale_, terms_.least_scale, terms_.most_scale);
  }
  const double seconds = static_cast<double>(terms_.horizon) / 1e9;
  Amount supply{ends_.cores.PerSecond(now) + std::max(0.0, free.cores) / seconds,
                ends_.memory.PerSecond(now) + std::max(0.0, free.memory) / seconds};
  supply = {supply.cores * scale_, supply.memory * scale_};
  Amount demand;
  for (const Flow& flow : demand_) {
    demand.cores += flow.cores.PerSecond(now);
    demand.memory += flow.memory.PerSecond(now);
  }
  fits_ = std::min({1.0, demand.cores > 0 ? supply.cores / demand.cores : 1.0,
                    demand.memory > 0 ? supply.memory / demand.memory : 1.0});
  const Place wanted = Wanted(supply, now);
  if (wanted.level < level_ || (wanted.level == level_ && wanted.share <= share_)) {
    if (wanted.level < level_ || wanted.share < share_) room_since_ = 0;
    level_ = wanted.level;
    share_ = wanted.share;
    return;
  }
  // Up: the rank at the level by steps, the next only once it would have had room for a while.
  const Place safe = Wanted({supply.cores * terms_.margin, supply.memory * terms_.margin}, now);
  if (safe.level < level_ || (safe.level == level_ && safe.share <= share_)) {
    room_since_ = 0;
    return;
  }
  if (safe.level == level_) {
    share_ = std::min(safe.share, share_ + terms_.share_step);
    return;
  }
  if (share_ < 1) {
    share_ = std::min(1.0, share_ + terms_.share_step);
    return;
  }
  if (room_since_ == 0) room_since_ = now;
  if (now - room_since_ < terms_.calm) return;
  ++level_;
  share_ = 0;
  room_since_ = 0;
}

bool AdmissionControl::Admits(int rank, std::uint64_t name) const {
  if (rank != level_) return rank < level_;
  return HashToUnitInterval(kDraw, name) < share_;
}

}  // namespace cluster_manager::zone_failover
