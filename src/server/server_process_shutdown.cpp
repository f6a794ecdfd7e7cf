// Graceful shutdown of a process that owns its listening socket: accepts the last connections, answers open
// requests, then closes the connections, the last one to a client after those to nodes. server/lifecycle.h
// describes the phases.
#include <algorithm>

#include "net/log.h"
#include "server/server_process.h"

namespace cluster_manager {
namespace {

// After SIGTERM new connections arrive for up to 0.4 s and requests for 0.2 s more; all of them are served.
constexpr Time kFinalConnectionsPeriod = 750 * kMs;
// SIGKILL comes no earlier than the longest deadline of a class (at most kMaxDeadlineWait) and kExitMargin
// after SIGTERM. Clients may use their open connections until then, so requests may keep arriving.
constexpr Time kMaxDeadlineWait = 3 * kSecond;
constexpr Time kExitMargin = 700 * kMs;
// Every request is answered this long before SIGKILL; later ones are rejected at once.
constexpr Time kAnswerMargin = 400 * kMs;
// Connections are closed this long before SIGKILL, whatever still arrives on them: enough for kFlushPeriod
// and the exit of the process.
constexpr Time kCloseMargin = 300 * kMs;
constexpr Time kCheckInterval = 10 * kMs;
// For peers that stop in the middle of a message, or do not read: a little longer than the client frontend's
// time-out for an incomplete message. Together with the other two periods it ends before SIGKILL may come,
// 3.7 s after SIGTERM where deadlines are long.
constexpr Time kPeerTimeout = 2 * kSecond;
// For clients to read the last bytes before the sockets are closed, unless they close their side earlier. It
// includes the next two periods.
constexpr Time kFlushPeriod = 200 * kMs;
// For nodes to close their side. Their completions are told to the last client meanwhile.
constexpr Time kNodeClosePeriod = 50 * kMs;
// For the last client to read its last bytes.
constexpr Time kLastClientPeriod = 50 * kMs;
constexpr Time kCloseCheckInterval = 2 * kMs;

}  // namespace

void ServerProcess::LogStop() {
  Log("stopping: %zu unanswered requests, %zu running tasks", dispatcher_.unanswered_request_count(),
      dispatcher_.RunningTaskCount());
}

void ServerProcess::BeginShutdown() {
  LogStop();
  frontend_.SetAcceptMode(ClientFrontend::AcceptMode::kShuttingDown);
  const Time longest_deadline = std::min(dispatcher_.classes().LongestDeadline(), kMaxDeadlineWait);
  exit_by_ = loop_.Now() + longest_deadline + kExitMargin;
  const Time close_at = loop_.Now() + kFinalConnectionsPeriod;
  loop_.At(close_at, [this, close_at] { CloseListener(close_at + kPeerTimeout); });
}

// Closing a listener resets the connections that are still in its accept queue, and the bytes that their
// clients sent are lost; so the queue is emptied first.
void ServerProcess::CloseListener(Time latest_close_at) {
  if (frontend_.AcceptAll() || loop_.Now() >= latest_close_at) {
    frontend_.StopListening();
    Advance(LifecycleEvent::kListenerClosed);
  } else {
    loop_.After(kCheckInterval, [this, latest_close_at] { CloseListener(latest_close_at); });
  }
}

void ServerProcess::BeginAwaitingAnswers() {
  peer_deadline_ = loop_.Now() + kPeerTimeout;
  dispatcher_.ScheduleShutdown(exit_by_ - kAnswerMargin);
  CheckRequestsAnswered();
}

void ServerProcess::CheckRequestsAnswered() {
  const Time now = loop_.Now();
  const bool unanswered = dispatcher_.unanswered_request_count() > 0;
  if (unanswered) peer_deadline_ = now + kPeerTimeout;
  const bool time_is_up = now >= std::min(peer_deadline_, exit_by_ - kCloseMargin);
  if (time_is_up || (!unanswered && frontend_.IsQuiescent())) {
    Advance(LifecycleEvent::kRequestsAnswered);
  } else {
    loop_.After(kCheckInterval, [this] { CheckRequestsAnswered(); });
  }
}

void ServerProcess::FlushClients() {
  flushed_by_ = loop_.Now() + kFlushPeriod;
  closed_by_ = flushed_by_ - kNodeClosePeriod - kLastClientPeriod;
  frontend_.CloseAllButOne();
  AdvanceOncePeersHaveClosed(LifecycleEvent::kClientsFlushed);
}

void ServerProcess::CloseNodes() {
  closed_by_ = HasInheritedSocket() ? NodesClosedByAtHandover() : loop_.Now() + kNodeClosePeriod;
  node_pool_.CloseAllGracefully();
  AdvanceOncePeersHaveClosed(LifecycleEvent::kNodesClosed);
}

void ServerProcess::CloseLastClient() {
  closed_by_ = std::max(flushed_by_, loop_.Now() + kLastClientPeriod);
  frontend_.CloseAllGracefully();
  AdvanceOncePeersHaveClosed(LifecycleEvent::kLastClientClosed);
}

bool ServerProcess::PeersHaveClosed() const {
  switch (phase_) {
    case Phase::kFlushing:
      return frontend_.connection_count() <= 1;
    case Phase::kClosingNodes:
      return node_pool_.connection_count() == 0;
    default:
      return frontend_.connection_count() == 0;
  }
}

// What had arrived when the time was up is handled first: the time of the last poll counts, not that of this
// call, which a process that stood still makes before it handles what has arrived meanwhile.
void ServerProcess::AdvanceOncePeersHaveClosed(LifecycleEvent event) {
  if (PeersHaveClosed() || loop_.polled_at() >= closed_by_) {
    Advance(event);
  } else {
    loop_.After(kCloseCheckInterval, [this, event] { AdvanceOncePeersHaveClosed(event); });
  }
}

}  // namespace cluster_manager
