#include "estimates/survival_curve.h"

#include <algorithm>
#include <cmath>

namespace cluster_manager::estimates {

double SurvivalCurve::SurvivalPast(double duration) const {
  if (duration <= 0) return 1;
  const int bucket = LogBuckets::IndexOf(static_cast<Time>(std::min(duration, 9e18)));
  const auto lower = static_cast<double>(LogBuckets::LowerBound(bucket));
  const auto upper = static_cast<double>(LogBuckets::UpperBound(bucket));
  const double fraction_of_bucket = std::clamp((duration - lower) / (upper - lower), 0.0, 1.0);
  return SurvivalPastBucket(bucket - 1) +
         fraction_of_bucket * (SurvivalPastBucket(bucket) - SurvivalPastBucket(bucket - 1));
}

int SurvivalCurve::QuantileBucket(double q) const {
  // `survival` never rises. The tolerance covers values that only rounding keeps above 1 - q.
  const auto it =
      std::ranges::find_if(survival, [q](double surviving) { return surviving <= 1 - q + 1e-12; });
  return static_cast<int>(std::min<std::ptrdiff_t>(it - survival.begin(), LogBuckets::kBuckets - 1));
}

SurvivalCurve LogUniformCurve(Time from, Time to) {
  constexpr double kTailFraction = 0.01;
  const int first = LogBuckets::IndexOf(from), last = LogBuckets::IndexOf(to);
  SurvivalCurve curve;
  for (int i = 0; i < LogBuckets::kBuckets; ++i) {
    double surviving = 0;
    if (i < first) {
      surviving = 1 - kTailFraction * (i + 1) / first;
    } else if (i <= last) {
      surviving = 1 - kTailFraction - (1 - 2 * kTailFraction) * (i - first + 1) / (last - first + 1);
    } else {
      surviving = kTailFraction * (LogBuckets::kBuckets - 1 - i) / (LogBuckets::kBuckets - 1 - last);
    }
    curve.survival[static_cast<std::size_t>(i)] = surviving;
  }
  curve.survival.back() = 0;
  return curve;
}

SurvivalCurve EstimateSurvival(const ObservationCounts& counts, const SurvivalCurve& prior,
                               double prior_weight) {
  SurvivalCurve curve;
  double at_risk = counts.total, surviving = 1;
  for (std::size_t i = 0; i < curve.survival.size(); ++i) {
    const double prior_before = prior.SurvivalPastBucket(static_cast<int>(i) - 1);
    const double weight_at_risk = at_risk + prior_weight * prior_before;
    const double completed = counts.completed[i] + prior_weight * (prior_before - prior.survival[i]);
    surviving = weight_at_risk <= 0 ? 0 : surviving * std::max(0.0, 1 - completed / weight_at_risk);
    curve.survival[i] = surviving;
    at_risk = std::max(0.0, at_risk - counts.completed[i] - counts.censored[i]);
  }
  curve.survival.back() = 0;
  return curve;
}

}  // namespace cluster_manager::estimates
