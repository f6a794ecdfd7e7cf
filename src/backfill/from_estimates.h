// Lives as src/estimates knows them.
#pragma once

#include <algorithm>

#include "backfill/rights.h"
#include "estimates/run_time_estimator.h"

namespace cluster_manager::backfill {

class EstimatedLives final : public Lives {
 public:
  explicit EstimatedLives(estimates::RunTimeEstimator* of) : of_(of) {}  // outlives it
  Time Remaining(const Task& task, Time ran_for, double quantile, Time now) override {
    return static_cast<Time>(std::min(of_->RemainingSeconds(task, ran_for, quantile, now), 4e9) * 1e9);
  }

 private:
  estimates::RunTimeEstimator* of_;
};

}  // namespace cluster_manager::backfill
