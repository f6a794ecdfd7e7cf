// Survival curves on a logarithmic time scale, and their estimation from censored observations.
//
// The estimator is the Kaplan-Meier product over the buckets, with a coarser curve as prior: the prior counts
// as `prior_weight` observations that follow the coarser curve (Hjort's beta process posterior; without
// censored observations it is exactly the mixture of n observations and `prior_weight` observations of the
// coarser curve). With few observations the result is about as wide as the prior, with many the prior has no
// effect, and past the last observation the hazard of the prior continues.
//
// Within a bucket, completions precede censorings: an observation that is censored in a bucket is still at
// risk in it.
#pragma once

#include <array>

#include "containers/log_buckets.h"

namespace cluster_manager::estimates {

using Time = std::int64_t;  // nanoseconds

// A non-increasing survival function. survival[i] is the fraction of tasks that run longer than the upper
// bound of bucket i; it is 0 in the last bucket.
struct SurvivalCurve {
  std::array<double, LogBuckets::kBuckets> survival{};

  // The fraction that runs longer than the upper bound of `bucket`; 1 for a negative bucket.
  double SurvivalPastBucket(int bucket) const {
    return bucket < 0 ? 1 : survival[static_cast<std::size_t>(bucket)];
  }
  // The fraction that runs longer than `duration` nanoseconds, interpolated linearly within a bucket.
  double SurvivalPast(double duration) const;
  // The first bucket by whose upper bound the fraction `q` has completed.
  int QuantileBucket(double q) const;
};

// Observations by bucket, in units of one observation.
struct ObservationCounts {
  std::array<double, LogBuckets::kBuckets> completed{}, censored{};
  double total = 0;
};

// A curve that is uniform over the logarithm of the duration between `from` and `to`, with a tail of 1 % on
// each side.
SurvivalCurve LogUniformCurve(Time from, Time to);
// The Kaplan-Meier estimate of `counts` with `prior` counted as `prior_weight` observations.
SurvivalCurve EstimateSurvival(const ObservationCounts& counts, const SurvivalCurve& prior,
                               double prior_weight);

}  // namespace cluster_manager::estimates
