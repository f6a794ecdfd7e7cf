#include "estimates/survival.h"

#include <algorithm>
#include <cmath>

namespace cluster_manager::estimates {

double Curve::LongerThan(double span) const {
  if (span <= 0) return 1;
  const int bucket = LogBuckets::IndexOf(static_cast<Time>(std::min(span, 9e18)));
  const auto lower = static_cast<double>(LogBuckets::LowerBound(bucket));
  const auto upper = static_cast<double>(LogBuckets::UpperBound(bucket));
  const double part = std::clamp((span - lower) / (upper - lower), 0.0, 1.0);
  return After(bucket - 1) + part * (After(bucket) - After(bucket - 1));
}

int Curve::BucketOf(double q) const {
  // `after` never rises. A share that rounding alone keeps above the mark counts as over.
  const auto it = std::ranges::find_if(after, [q](double left) { return left <= 1 - q + 1e-12; });
  return static_cast<int>(std::min<std::ptrdiff_t>(it - after.begin(), LogBuckets::kBuckets - 1));
}

Curve FlatCurve(Time from, Time to) {
  constexpr double kTail = 0.01;
  const int first = LogBuckets::IndexOf(from), last = LogBuckets::IndexOf(to);
  Curve curve;
  for (int i = 0; i < LogBuckets::kBuckets; ++i) {
    double left = 0;
    if (i < first) {
      left = 1 - kTail * (i + 1) / first;
    } else if (i <= last) {
      left = 1 - kTail - (1 - 2 * kTail) * (i - first + 1) / (last - first + 1);
    } else {
      left = kTail * (LogBuckets::kBuckets - 1 - i) / (LogBuckets::kBuckets - 1 - last);
    }
    curve.after[static_cast<std::size_t>(i)] = left;
  }
  curve.after.back() = 0;
  return curve;
}

Curve Lean(const Tally& tally, const Curve& coarser, double lean) {
  Curve curve;
  double at_risk = tally.total, left = 1;
  for (std::size_t i = 0; i < curve.after.size(); ++i) {
    const double before = coarser.After(static_cast<int>(i) - 1);
    const double risk = at_risk + lean * before;
    const double exits = tally.exits[i] + lean * (before - coarser.after[i]);
    left = risk <= 0 ? 0 : left * std::max(0.0, 1 - exits / risk);
    curve.after[i] = left;
    at_risk = std::max(0.0, at_risk - tally.exits[i] - tally.cut[i]);
  }
  curve.after.back() = 0;
  return curve;
}

}  // namespace cluster_manager::estimates
