#include "scheduling/view_lag.h"

#include <algorithm>
#include <cmath>

namespace scheduling::internal {

void ViewLag::Update(const Node& node, double change, Time now) {
  for (int i = 0; i < kSteps; ++i) {
    double expected_change = 0;
    for (const OwnChange& own : node.own_changes) {
      const Time listed_at = own.at + (i + 1) * kStep;
      if (listed_at > node.listed_at && listed_at <= now) expected_change -= own.resources.cores;
    }
    errors_[i] = kDecay * errors_[i] + std::abs(change - expected_change);
  }
  value_ = (1 + (std::min_element(errors_.begin(), errors_.end()) - errors_.begin())) * kStep;
}

}  // namespace scheduling::internal
