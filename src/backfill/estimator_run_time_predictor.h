// Predictions of run times by estimates::RunTimeEstimator.
#pragma once

#include <algorithm>

#include "backfill/leases.h"
#include "estimates/run_time_estimator.h"

namespace cluster_manager::backfill {

class EstimatorRunTimePredictor final : public RunTimePredictor {
 public:
  // `estimator` must outlive the predictor.
  explicit EstimatorRunTimePredictor(estimates::RunTimeEstimator* estimator) : estimator_(estimator) {}
  // At most 4e9 s.
  Time Remaining(const Task& task, Time elapsed, double quantile, Time now) override {
    return static_cast<Time>(std::min(estimator_->RemainingSeconds(task, elapsed, quantile, now), 4e9) * 1e9);
  }

 private:
  estimates::RunTimeEstimator* estimator_;
};

}  // namespace cluster_manager::backfill
