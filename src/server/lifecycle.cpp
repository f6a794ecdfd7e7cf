#include "server/lifecycle.h"

namespace cluster_manager {

bool IsStopping(Phase phase) {
  switch (phase) {
    case Phase::kStarting:
    case Phase::kServing:
    case Phase::kDraining:
      return false;
    case Phase::kAcceptingFinalConnections:
    case Phase::kAwaitingAnswers:
    case Phase::kFlushing:
    case Phase::kClosingNodes:
    case Phase::kClosingLastClient:
    case Phase::kHandingOver:
    case Phase::kEnded:
      return true;
  }
  return true;
}

Phase NextPhase(Phase phase, LifecycleEvent event, bool inherited_socket) {
  switch (event) {
    case LifecycleEvent::kCanServe:
      return phase == Phase::kStarting ? Phase::kServing : phase;
    case LifecycleEvent::kDrain:
      return IsStopping(phase) ? phase : Phase::kDraining;
    case LifecycleEvent::kActivate:
      return phase == Phase::kDraining ? Phase::kStarting : phase;
    case LifecycleEvent::kTerminate:
      if (IsStopping(phase)) return phase;
      return inherited_socket ? Phase::kHandingOver : Phase::kAcceptingFinalConnections;
    case LifecycleEvent::kListenerClosed:
      return phase == Phase::kAcceptingFinalConnections ? Phase::kAwaitingAnswers : phase;
    case LifecycleEvent::kRequestsAnswered:
      if (phase == Phase::kAwaitingAnswers) return Phase::kFlushing;
      return phase == Phase::kHandingOver ? Phase::kClosingNodes : phase;
    case LifecycleEvent::kClientsFlushed:
      return phase == Phase::kFlushing ? Phase::kClosingNodes : phase;
    case LifecycleEvent::kNodesClosed:
      if (phase != Phase::kClosingNodes) return phase;
      return inherited_socket ? Phase::kEnded : Phase::kClosingLastClient;
    case LifecycleEvent::kLastClientClosed:
      return phase == Phase::kClosingLastClient ? Phase::kEnded : phase;
  }
  return phase;
}

}  // namespace cluster_manager
