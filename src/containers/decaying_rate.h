// Rate estimate with exponential decay: older events weigh less. Uses constant memory and keeps no history.
#pragma once

#include <cmath>
#include <cstdint>

namespace cluster_manager {

// Counts events with an exponential decay over a time constant. All times are in nanoseconds.
class DecayingRate {
 public:
  // `initial_count`: the count assumed at the start; `time_constant`: of the decay, in nanoseconds.
  DecayingRate(double initial_count, double time_constant)
      : count_(initial_count), time_constant_(time_constant) {}

  // Sets the time at which the initial count holds.
  void StartAt(std::int64_t now) { updated_at_ = now; }
  double PerSecond(std::int64_t now) const {
    return count_ * std::exp(static_cast<double>(updated_at_ - now) / time_constant_) / time_constant_ *
           kSecond;
  }
  void Record(std::int64_t now, double amount = 1) {
    count_ = PerSecond(now) * time_constant_ / kSecond + amount;
    updated_at_ = now;
  }

 private:
  static constexpr std::int64_t kSecond = 1'000'000'000;
  double count_, time_constant_;
  std::int64_t updated_at_ = 0;
};

}  // namespace cluster_manager
