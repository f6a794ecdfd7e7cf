// Tests of the request state machine: every state with every event.
#include "dispatch/request_state.h"

#include <doctest/doctest.h>

#include <array>

namespace cluster_manager {
namespace {

constexpr std::array kStates{RequestState::kWaiting,          RequestState::kAttemptInFlight,
                             RequestState::kAttemptAbandoned, RequestState::kRunning,
                             RequestState::kStopping,         RequestState::kFinished};

// The next states, in the order of kStates.
using NextStates = std::array<RequestState, kStates.size()>;

void CheckNextStates(RequestEvent event, const NextStates& expected) {
  for (std::size_t i = 0; i < kStates.size(); ++i) {
    CAPTURE(i);
    CHECK(NextState(kStates[i], event) == expected[i]);
  }
}

TEST_CASE("a request changes state by the transition table and ignores events that do not apply") {
  using enum RequestState;
  CheckNextStates(RequestEvent::kAttemptStarted,
                  {kAttemptInFlight, kAttemptInFlight, kAttemptAbandoned, kRunning, kStopping, kFinished});
  CheckNextStates(RequestEvent::kAttemptAccepted,
                  {kWaiting, kRunning, kRunning, kRunning, kStopping, kFinished});
  CheckNextStates(RequestEvent::kAttemptEnded,
                  {kWaiting, kWaiting, kFinished, kFinished, kFinished, kFinished});
  CheckNextStates(RequestEvent::kClientCompleted,
                  {kFinished, kAttemptAbandoned, kAttemptAbandoned, kRunning, kStopping, kFinished});
  CheckNextStates(RequestEvent::kStopRequested,
                  {kWaiting, kAttemptInFlight, kAttemptAbandoned, kStopping, kStopping, kFinished});
}

TEST_CASE("a request has at most one of an open attempt and a running task") {
  for (const RequestState state : kStates) {
    CAPTURE(static_cast<int>(state));
    CHECK_FALSE((HasOpenAttempt(state) && HasRunningTask(state)));
    CHECK(IsAssigned(state) == (HasOpenAttempt(state) || HasRunningTask(state)));
    CHECK_FALSE((IsUnanswered(state) && HasRunningTask(state)));
  }
}

}  // namespace
}  // namespace cluster_manager
