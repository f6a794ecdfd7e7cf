#include "zone_failover/admission_control.h"

#include <algorithm>

#include "containers/hash.h"

namespace cluster_manager::zone_failover {
namespace {

constexpr std::uint64_t kAdmissionDrawStream =
    0x51735;  // separates these draws from other uses of HashToUnitInterval
constexpr std::int64_t kScaleInterval = 200'000'000;

}  // namespace

AdmissionControl::AdmissionControl(AdmissionParameters parameters, int ranks)
    : parameters_(parameters), demand_(static_cast<std::size_t>(ranks)), level_(ranks) {}

void AdmissionControl::RecordArrival(int rank, Resources amount, Time now) {
  ResourceRate& rate = demand_[static_cast<std::size_t>(rank)];
  rate.cores.Record(now, amount.cores);
  rate.memory.Record(now, amount.memory);
}

void AdmissionControl::RecordTaskEnd(Resources amount, Time now) {
  release_rate_.cores.Record(now, amount.cores);
  release_rate_.memory.Record(now, amount.memory);
}

void AdmissionControl::AdmitAll() {
  level_ = rank_count();
  share_ = 0;
  scale_ = demand_coverage_ = 1;
  headroom_since_ = scaled_at_ = 0;
}

AdmissionControl::AdmissionLimit AdmissionControl::ComputeLimit(Resources supply, Time now) const {
  double cores = supply.cores, memory = supply.memory;
  for (int rank = 0; rank < rank_count(); ++rank) {
    const ResourceRate& rate = demand_[static_cast<std::size_t>(rank)];
    const double rank_cores = rate.cores.PerSecond(now), rank_memory = rate.memory.PerSecond(now);
    if (rank_cores > cores || rank_memory > memory) {
      const double share =
          std::min(rank_cores > 0 ? cores / rank_cores : 1, rank_memory > 0 ? memory / rank_memory : 1);
      return {rank, std::clamp(share, 0.0, 1.0)};
    }
    cores -= rank_cores;
    memory -= rank_memory;
  }
  return {rank_count(), 0};
}

void AdmissionControl::Evaluate(Resources free, int waiting, Time now) {
  if (now - scaled_at_ >= kScaleInterval) {
    scaled_at_ = now;
    scale_ = waiting > 0 ? scale_ * 0.9 : scale_ + 0.02;
    scale_ = std::clamp(scale_, parameters_.min_scale, parameters_.max_scale);
  }
  const double horizon_seconds = static_cast<double>(parameters_.planning_horizon) / 1e9;
  Resources supply{release_rate_.cores.PerSecond(now) + std::max(0.0, free.cores) / horizon_seconds,
                   release_rate_.memory.PerSecond(now) + std::max(0.0, free.memory) / horizon_seconds};
  supply = {supply.cores * scale_, supply.memory * scale_};
  Resources demand;
  for (const ResourceRate& rate : demand_) {
    demand.cores += rate.cores.PerSecond(now);
    demand.memory += rate.memory.PerSecond(now);
  }
  demand_coverage_ = std::min({1.0, demand.cores > 0 ? supply.cores / demand.cores : 1.0,
                               demand.memory > 0 ? supply.memory / demand.memory : 1.0});
  const AdmissionLimit limit = ComputeLimit(supply, now);
  if (limit.level < level_ || (limit.level == level_ && limit.share <= share_)) {
    if (limit.level < level_ || limit.share < share_) headroom_since_ = 0;
    level_ = limit.level;
    share_ = limit.share;
    return;
  }
  // Raise the share of the rank at the level in steps, and the level only once the next rank has fitted for
  // raise_delay.
  const AdmissionLimit safe_limit =
      ComputeLimit({supply.cores * parameters_.raise_margin, supply.memory * parameters_.raise_margin}, now);
  if (safe_limit.level < level_ || (safe_limit.level == level_ && safe_limit.share <= share_)) {
    headroom_since_ = 0;
    return;
  }
  if (safe_limit.level == level_) {
    share_ = std::min(safe_limit.share, share_ + parameters_.share_step);
    return;
  }
  if (share_ < 1) {
    share_ = std::min(1.0, share_ + parameters_.share_step);
    return;
  }
  if (headroom_since_ == 0) headroom_since_ = now;
  if (now - headroom_since_ < parameters_.raise_delay) return;
  ++level_;
  share_ = 0;
  headroom_since_ = 0;
}

bool AdmissionControl::Admits(int rank, std::uint64_t name) const {
  if (rank != level_) return rank < level_;
  return HashToUnitInterval(kAdmissionDrawStream, name) < share_;
}

}  // namespace cluster_manager::zone_failover
