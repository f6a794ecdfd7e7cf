// Dispatcher: reports of nodes about attempts and tasks, and results of health checks.
#include "dispatch/dispatcher.h"
#include "net/counters.h"

namespace cluster_manager {

using scheduling::Outcome;

Dispatcher::Request* Dispatcher::FindRequestByAttempt(TaskId id, AttemptId attempt) {
  Request* request = FindRequest(id);
  if (request == nullptr || !HasOpenAttempt(request->state)) return nullptr;
  return request->attempt_id == attempt ? request : nullptr;
}

AttemptPermission Dispatcher::CheckAttemptAllowed(TaskId id, AttemptId attempt, PeerId peer) {
  Request* request = FindRequestByAttempt(id, attempt);
  if (request == nullptr || !IsUnanswered(request->state)) return AttemptPermission::kDenied;
  if (clients_->IsClientWaiting(request->client_connection, &request->required_read_position)) {
    request->peer = peer;
    return AttemptPermission::kGranted;
  }
  ++counters.attempts_postponed;
  return AttemptPermission::kRetryLater;
}

void Dispatcher::OnAttemptAccepted(NodeId node, TaskId id, AttemptId attempt, std::string_view description) {
  if (zone_failover_ != nullptr) zone_failover_->RecordReply(node, loop_->Now());
  Request* request = FindRequestByAttempt(id, attempt);
  if (request == nullptr) {  // the attempt was cancelled
    ++counters.node_replies_unmatched;
    return;
  }
  const Handle handle = handle_by_task_.at(id);
  ++counters.node_acceptances;
  if (zone_failover_ != nullptr) zone_failover_->RecordAttemptEnd(node, true);
  loop_->Cancel(request->timer);
  if (IsUnanswered(request->state)) ++request->counters->fulfilled;
  Transition(request, RequestEvent::kAttemptAccepted);
  clients_->SendAccepted(request->client_connection, id, description);
  clients_->SetTaskRunning(request->client_connection, true);
  nodes_->SetTaskRunning(node, id, true);
  HandleEvent(scheduling::TaskAccepted{handle, request->attempt_count - 1, node,
                                       loop_->Now() - request->attempt_started_at});
}

void Dispatcher::ReportAttemptToZoneFailover(NodeId node, const Request& request, const NodeReply& reply) {
  if (zone_failover_ == nullptr || reply.attempt_outcome == Outcome::kNotSent) return;
  if (reply.attempt_outcome == Outcome::kNoConnection) {
    zone_failover_->RecordUnanswered(node, request.attempt_started_at);
  } else if (reply.attempt_outcome != Outcome::kAborted) {
    zone_failover_->RecordReply(node, loop_->Now());
  } else if (reply.task_outcome != Outcome::kAborted) {
    zone_failover_->RecordReport(node, loop_->Now());
  }
  zone_failover_->RecordAttemptEnd(node, reply.attempt_outcome == Outcome::kRefused);
}

void Dispatcher::OnAttemptEnded(NodeId node, TaskId id, AttemptId attempt, const NodeReply& reply) {
  Request* request = FindRequestByAttempt(id, attempt);
  if (request == nullptr) {
    ++counters.node_replies_unmatched;
    return;
  }
  ReportAttemptToZoneFailover(node, *request, reply);
  const Handle handle = handle_by_task_.at(id);
  if (reply.attempt_outcome != Outcome::kOk) {
    EndAttempt(handle, request, reply.attempt_outcome, reply.reason, reply.report);
    return;
  }
  // A short task can complete before the node has accepted it. It is not retried, since another node would
  // report the same: its completion is reported to the client and the scheduler.
  const Handle client_connection = request->client_connection;
  const bool unanswered = IsUnanswered(request->state);
  if (unanswered) ++request->counters->faulted;
  Transition(request, RequestEvent::kClientCompleted);
  EndAttempt(handle, request, Outcome::kOk, reply.reason, reply.report);
  if (unanswered) clients_->SendFailed(client_connection, id, TaskEnd::kCompleted);
}

void Dispatcher::OnTaskEnded(NodeId node, TaskId id, const NodeReply& reply) {
  const Outcome outcome = reply.task_outcome;
  if (zone_failover_ != nullptr && outcome != Outcome::kAborted)
    zone_failover_->RecordReport(node, loop_->Now());
  Request* request = FindRequest(id);
  if (request == nullptr || !HasRunningTask(request->state) || request->node != node) {
    ++counters.node_replies_unmatched;
    const bool was_running = outcome == Outcome::kOk || outcome == Outcome::kAborted;
    if (request == nullptr && was_running)
      unclaimed_completions_.Add(node, id, outcome == Outcome::kOk, loop_->Now());
    return;
  }
  const bool stopping = request->state == RequestState::kStopping;
  const bool ended_by_client = stopping || outcome == Outcome::kCancelled;
  FinishRunningTask(handle_by_task_.at(id), request, stopping ? Outcome::kCancelled : outcome, reply.reason,
                    ended_by_client ? ClientNotice::kOmit : ClientNotice::kSend);
}

void Dispatcher::OnTaskReport(NodeId node, TaskId id, scheduling::TaskReportKind kind, double level) {
  const Request* request = FindRequest(id);
  if (zone_failover_ != nullptr) zone_failover_->RecordReport(node, loop_->Now());
  if (request == nullptr || !IsAssigned(request->state) || request->node != node) return;
  HandleEvent(
      scheduling::TaskReported{handle_by_task_.at(id), request->attempt_count - 1, node, kind, level});
}

void Dispatcher::OnHealthCheckResult(NodeId node, Outcome outcome, Time duration,
                                     scheduling::LoadReport report) {
  OnReachabilityResult(node, outcome, duration);
  HandleEvent(scheduling::HealthCheckCompleted{node, outcome, duration, report});
}

void Dispatcher::OnReachabilityResult(NodeId node, Outcome outcome, Time duration) {
  if (zone_failover_ == nullptr) return;
  const Time now = loop_->Now();
  if (outcome == Outcome::kOk) {
    zone_failover_->RecordReply(node, now);
  } else {
    zone_failover_->RecordUnanswered(node, now - duration);
  }
}

// --- scheduling::NodeIdentities ---------------------------------------------------------------------------

std::optional<NodeId> Dispatcher::FirstNode(scheduling::RequestId request) {
  const Request* found = requests_.Get(request);
  return found == nullptr ? std::nullopt : nodes_->ConfirmedNode(found->first_peer);
}

// Not after an attempt that went unanswered there: what the process still says of it could not be told from
// what it says of the retry.
bool Dispatcher::ReachesFirstProcess(scheduling::RequestId request, NodeId node) {
  const Request* found = requests_.Get(request);
  return found != nullptr && found->first_peer_answered && nodes_->CanReach(node, {found->first_peer, false});
}

bool Dispatcher::ReachesConfirmedProcess(scheduling::RequestId request, NodeId node) {
  const Request* found = requests_.Get(request);
  return found != nullptr && found->first_peer != 0 && nodes_->CanReach(node, {found->first_peer, true});
}

bool Dispatcher::IsFirstProcessUsableBy(scheduling::RequestId request, Time until) {
  const Request* found = requests_.Get(request);
  return found != nullptr && nodes_->IsPeerUsableBy(found->first_peer, until);
}

}  // namespace cluster_manager
