// The transition table of the process lifecycle: every event in every phase.
#include "server/lifecycle.h"

#include <doctest/doctest.h>

#include <map>
#include <utility>

namespace cluster_manager {
namespace {

using enum Phase;
using Event = LifecycleEvent;

constexpr Phase kPhases[] = {kStarting,        kServing,  kDraining,     kAcceptingFinalConnections,
                             kAwaitingAnswers, kFlushing, kClosingNodes, kClosingLastClient,
                             kHandingOver,     kEnded};
constexpr Event kEvents[] = {Event::kCanServe,       Event::kDrain,          Event::kActivate,
                             Event::kTerminate,      Event::kListenerClosed, Event::kRequestsAnswered,
                             Event::kClientsFlushed, Event::kNodesClosed,    Event::kLastClientClosed};

TEST_CASE("each phase is left by the events of its transitions and by no other") {
  for (const bool inherited : {false, true}) {
    const Phase stopping = inherited ? kHandingOver : kAcceptingFinalConnections;
    const std::map<std::pair<Phase, Event>, Phase> transitions = {
        {{kStarting, Event::kCanServe}, kServing},
        {{kStarting, Event::kDrain}, kDraining},
        {{kServing, Event::kDrain}, kDraining},
        {{kDraining, Event::kActivate}, kStarting},
        {{kStarting, Event::kTerminate}, stopping},
        {{kServing, Event::kTerminate}, stopping},
        {{kDraining, Event::kTerminate}, stopping},
        {{kAcceptingFinalConnections, Event::kListenerClosed}, kAwaitingAnswers},
        {{kAwaitingAnswers, Event::kRequestsAnswered}, kFlushing},
        {{kFlushing, Event::kClientsFlushed}, kClosingNodes},
        {{kClosingNodes, Event::kNodesClosed}, inherited ? kEnded : kClosingLastClient},
        {{kClosingLastClient, Event::kLastClientClosed}, kEnded},
        {{kHandingOver, Event::kRequestsAnswered}, kClosingNodes}};
    for (const Phase phase : kPhases) {
      for (const Event event : kEvents) {
        CAPTURE(static_cast<int>(phase));
        CAPTURE(static_cast<int>(event));
        const auto transition = transitions.find({phase, event});
        const Phase next = NextPhase(phase, event, inherited);
        CHECK(next == (transition == transitions.end() ? phase : transition->second));
        if (IsStopping(phase)) CHECK(IsStopping(next));  // no transition leads back
      }
    }
  }
}

}  // namespace
}  // namespace cluster_manager
