#include "dispatch/request_state.h"

namespace cluster_manager {

RequestState NextState(RequestState state, RequestEvent event) {
  switch (event) {
    case RequestEvent::kAttemptStarted:
      return state == RequestState::kWaiting ? RequestState::kAttemptInFlight : state;
    case RequestEvent::kAttemptAccepted:
      return HasOpenAttempt(state) ? RequestState::kRunning : state;
    case RequestEvent::kAttemptEnded:
      if (state == RequestState::kAttemptInFlight) return RequestState::kWaiting;
      return IsAssigned(state) ? RequestState::kFinished : state;
    case RequestEvent::kClientCompleted:
      if (state == RequestState::kWaiting) return RequestState::kFinished;
      return state == RequestState::kAttemptInFlight ? RequestState::kAttemptAbandoned : state;
    case RequestEvent::kStopRequested:
      return state == RequestState::kRunning ? RequestState::kStopping : state;
  }
  return state;
}

}  // namespace cluster_manager
