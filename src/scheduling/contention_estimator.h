// Estimates what the other schedulers do that the view does not show, from this scheduler's own rates, on the
// assumption that all schedulers see about the same load. Owns the rates of arrivals and task ends.
#pragma once

#include <cstddef>

#include "containers/decaying_rate.h"
#include "scheduling/context.h"
#include "scheduling/parameters.h"

namespace scheduling::internal {

class ContentionEstimator {
 public:
  explicit ContentionEstimator(const Context& context) : context_(context) {}

  // To be called at the first event.
  void Start();
  void RecordArrival() { arrivals_.Record(context_.now); }
  void RecordTaskEnd() { ends_.Record(context_.now); }
  // Placements by other schedulers that the view does not show.
  double UnseenPlacements() const;
  // Requests pending at other schedulers if `pending` are pending at this one.
  double CompetingRequests(std::size_t pending) const;
  // Tasks of all schedulers that end within kViewAge.
  double ExpectedEnds() const;

 private:
  const Context& context_;
  cluster_manager::DecayingRate arrivals_{kInitialRateCount, kRateTimeConstant};
  cluster_manager::DecayingRate ends_{kInitialRateCount, kRateTimeConstant};
};

}  // namespace scheduling::internal
