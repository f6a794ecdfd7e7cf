// What the other schedulers do that the view does not show, estimated from this scheduler's own rates: all
// schedulers see about the same load. Owns the rates of arrivals and ends.
#pragma once

#include <cstddef>

#include "containers/decaying_rate.h"
#include "scheduling/context.h"
#include "scheduling/parameters.h"

namespace scheduling::internal {

class ContentionEstimator {
 public:
  explicit ContentionEstimator(const Context& context) : context_(context) {}

  void Start();  // at the first event
  void RecordArrival() { arrivals_.Record(context_.now); }
  void RecordEnd() { ends_.Record(context_.now); }
  // Placements of others that the view does not show.
  double UnseenPlacements() const;
  // Requests that wait at others where `pending` wait here.
  double CompetingRequests(std::size_t pending) const;
  // Tasks that end at all schedulers within the age of the view.
  double ExpectedEnds() const;

 private:
  const Context& context_;
  cluster_manager::DecayingRate arrivals_{kInitialRateCount, kRateTimeConstant};
  cluster_manager::DecayingRate ends_{kInitialRateCount, kRateTimeConstant};
};

}  // namespace scheduling::internal
