#include "zone_failover/recovery_ramp.h"

#include <algorithm>
#include <cmath>

namespace cluster_manager::zone_failover {

constexpr double kNanosecondsPerSecond = 1e9;

void RecoveryRamp::Start(int node_count, Time now) {
  node_count_ = std::max(1, node_count);
  step_ = 0;
  started_at_ = step_started_at_ = refilled_at_ = now;
  tokens_ = 1;  // one placement at once: its result is the most informative
  succeeded_ = failed_ = placements_ = placements_at_refill_ = 0;
  is_complete_ = false;
}

double RecoveryRamp::Rate() const {
  return parameters_.initial_rate * std::pow(parameters_.rate_factor, step_) * node_count_ / manager_count_;
}

int RecoveryRamp::AllowedPlacements(Time now) {
  if (is_complete_) return 1 << 20;
  tokens_ -= placements_ - placements_at_refill_;
  placements_at_refill_ = placements_;
  const double rate = Rate();
  // The burst is limited to half a second of the rate, but is at least 1: otherwise a low rate would never
  // allow a placement.
  tokens_ = std::min(tokens_ + rate * static_cast<double>(now - refilled_at_) / kNanosecondsPerSecond,
                     std::max(1.0, rate / 2));
  refilled_at_ = now;
  if (now - step_started_at_ >= parameters_.step_duration) {
    const int ended = succeeded_ + failed_;
    const bool step_succeeded = ended > 0 && succeeded_ >= parameters_.min_success_share * ended;
    // Without a result the step is extended, up to idle_completion_time.
    if (ended == 0 && now - started_at_ < parameters_.idle_completion_time)
      return std::max(0, static_cast<int>(tokens_));
    step_ = step_succeeded || ended == 0 ? step_ + 1 : std::max(0, step_ - 1);
    step_started_at_ = now;
    succeeded_ = failed_ = 0;
    is_complete_ = ended == 0 || Rate() * manager_count_ / node_count_ >= parameters_.complete_rate;
  }
  return std::max(0, static_cast<int>(tokens_));
}

RecoveryRamp::Time RecoveryRamp::EarliestCompletion(Time now) const {
  if (is_complete_) return now;
  const double remaining_steps = std::ceil(std::log(parameters_.complete_rate / parameters_.initial_rate) /
                                           std::log(parameters_.rate_factor)) -
                                 step_;
  return std::max(now, step_started_at_ + static_cast<Time>(std::max(0.0, remaining_steps) *
                                                            static_cast<double>(parameters_.step_duration)));
}

}  // namespace cluster_manager::zone_failover
