#include "scheduling/contention_estimator.h"

namespace scheduling::internal {

void ContentionEstimator::Start() {
  arrivals_.StartAt(context_.now);
  ends_.StartAt(context_.now);
}

double ContentionEstimator::UnseenPlacements() const {
  return arrivals_.PerSecond(context_.now) * (context_.settings.scheduler_count - 1) * kUnseenSeconds;
}

double ContentionEstimator::CompetingRequests(std::size_t pending) const {
  return static_cast<double>(pending) * (context_.settings.scheduler_count - 1);
}

double ContentionEstimator::ExpectedEnds() const {
  return ends_.PerSecond(context_.now) * context_.settings.scheduler_count * kViewAge / kSecond;
}

}  // namespace scheduling::internal
