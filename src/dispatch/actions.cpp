// Dispatcher: execution of the scheduler's actions, and the ends of attempts, tasks and requests.
#include <algorithm>
#include <utility>

#include "dispatch/dispatcher.h"
#include "net/counters.h"
#include "net/log.h"

namespace cluster_manager {

using scheduling::EndReason;
using scheduling::Outcome;

namespace {

const char* NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return "completed";
    case Outcome::kError:
      return "error";
    case Outcome::kRefused:
      return "refused";
    case Outcome::kTimedOut:
      return "timed out";
    case Outcome::kNoConnection:
      return "no connection";
    case Outcome::kAborted:
      return "aborted";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not sent";
  }
  return "unknown";
}

// Whether a task may have run, or run still, after its attempt has ended so.
bool MayHaveRun(Outcome outcome) {
  return outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kTimedOut ||
         outcome == Outcome::kAborted || outcome == Outcome::kCancelled;
}

}  // namespace

// --- Actions of the scheduler ----------------------------------------------------------------------------
void Dispatcher::Execute(const scheduling::StartAttempt& action) {
  Request* request = requests_.Get(action.id);
  if (request == nullptr || request->state != RequestState::kWaiting) {
    Log("scheduler started an attempt for a request that is not waiting; action ignored");
    return;
  }
  const Handle handle = action.id;
  const Time deadline =
      action.deadline > 0 ? std::min(action.deadline, request->task.deadline) : request->task.deadline;
  if (++request->attempt_count > 1) ++counters.attempts_retried;
  request->attempt_id = ++last_attempt_;
  request->required_read_position = 0;
  request->node = action.node;
  request->attempt_started_at = loop_->Now();
  Transition(request, RequestEvent::kAttemptStarted);
  request->timer = loop_->At(deadline, [this, handle] {
    if (Request* timed_out = requests_.Get(handle)) {
      ++counters.attempts_timed_out;
      CancelAttempt(handle, timed_out, Outcome::kTimedOut);
    }
  });
  if (zone_failover_ != nullptr) zone_failover_->RecordRequest(action.node, request->attempt_started_at);
  LogAttempt(*request);
  nodes_->StartAttempt(action.node, request->id, request->attempt_id, request->payload, deadline,
                       RestrictionFor(*request));
}

RetryRestriction Dispatcher::RestrictionFor(const Request& request) {
  const auto& settings = classes_.settings().classes[static_cast<std::size_t>(request.task.class_index)];
  const bool restricted = request.first_peer != 0 &&
                          settings.retry_safety == scheduling::RetrySafety::kIdempotencyKey &&
                          settings.key_scope != scheduling::FailureDomain::kCluster;
  if (!restricted) return {};
  const bool first_known = nodes_->ConfirmedNode(request.first_peer).has_value();
  if (!first_known) ++counters.retries_to_same_process;
  LogDebug("attempt %llu: only in the domain of the first attempt, whose process is %s",
           static_cast<unsigned long long>(request.attempt_id),
           first_known ? "known" : "not known: only to the same process");
  return {request.first_peer, first_known};
}

// Logs the cores that the task requests and the free cores of the chosen node in the endpoint list. For a
// retry, also the rack and zone that the list gives for the node: the next attempt of a task with an
// idempotency key has to stay in the domain of the one before.
void Dispatcher::LogAttempt(const Request& request) const {
  if (!IsDebugLogged()) return;
  const auto listed = listed_nodes_.find(request.node);
  const double free_cores = listed == listed_nodes_.end() ? 0 : listed->second.entry.free_cores;
  LogDebug("attempt %llu: task %016llx, %g cores, sent to node %u with %g free cores in the endpoint list",
           static_cast<unsigned long long>(request.attempt_id), static_cast<unsigned long long>(request.id),
           request.task.cores, request.node, free_cores);
  if (request.attempt_count == 1 || listed == listed_nodes_.end()) return;
  LogDebug("attempt %llu: is attempt %d of class %d, rack %d, zone %d",
           static_cast<unsigned long long>(request.attempt_id), request.attempt_count,
           request.task.class_index, listed->second.entry.rack, listed->second.entry.zone);
}

void Dispatcher::Execute(const scheduling::CheckNodeHealth& action) {
  if (zone_failover_ != nullptr) zone_failover_->RecordRequest(action.node, loop_->Now());
  nodes_->CheckHealth(action.node);
}

void Dispatcher::Execute(const scheduling::CancelAttempt& action) {
  Request* request = requests_.Get(action.id);
  if (request == nullptr || !HasOpenAttempt(request->state)) return;
  if (action.attempt != request->attempt_count - 1) return;
  CancelAttempt(action.id, request, Outcome::kCancelled);
}

void Dispatcher::Execute(const scheduling::RejectRequest& action) {
  const Time retry_after = action.retry_after;
  CompleteRequest(requests_.Get(action.id), &ClassCounters::throttled,
                  [this, retry_after](Handle client_connection, TaskId id) {
                    clients_->SendRejected(client_connection, id, retry_after);
                  });
}

void Dispatcher::Execute(const scheduling::FailRequest& action) {
  CompleteRequest(requests_.Get(action.id), &ClassCounters::faulted,
                  [this](Handle client_connection, TaskId id) {
                    clients_->SendFailed(client_connection, id, TaskEnd::kAborted);
                  });
}

void Dispatcher::Execute(const scheduling::MigrateTask& action) {
  Request* request = requests_.Get(action.id);
  if (request == nullptr || request->state != RequestState::kRunning) return;
  clients_->SendMigration(request->client_connection, request->id);
  StopTask(action.id, request);
}

void Dispatcher::Execute(const scheduling::SetTimer& action) {
  loop_->At(action.at, [this, tag = action.tag] { HandleEvent(scheduling::TimerFired{tag}); });
}

void Dispatcher::Execute(const scheduling::LogMessage& action) { Log("scheduler: %s", action.text.c_str()); }

// --- Ends of attempts, tasks and requests ----------------------------------------------------------------
template <typename SendAnswer>
void Dispatcher::CompleteRequest(Request* request, std::uint64_t ClassCounters::*counter,
                                 SendAnswer send_answer) {
  if (request == nullptr || !IsUnanswered(request->state)) return;
  ++(request->counters->*counter);
  const Handle client_connection = request->client_connection;
  const Handle handle = handle_by_task_.at(request->id);
  const TaskId id = request->id;
  Transition(request, RequestEvent::kClientCompleted);
  if (request->state == RequestState::kAttemptAbandoned) {
    CancelAttempt(handle, request, Outcome::kTimedOut);
  } else {
    EraseRequest(handle, request);
  }
  send_answer(client_connection, id);
}

void Dispatcher::CancelAttempt(Handle handle, Request* request, Outcome outcome) {
  const bool was_sent = nodes_->CancelAttempt(request->node, request->id);
  request = requests_.Get(handle);
  if (request == nullptr || !IsAssigned(request->state)) return;  // ended by a callback of the port
  if (zone_failover_ != nullptr && outcome == Outcome::kTimedOut) {
    zone_failover_->RecordUnanswered(request->node, request->attempt_started_at);
    zone_failover_->RecordAttemptEnd(request->node, false);
  }
  EndAttempt(handle, request, was_sent ? outcome : Outcome::kNotSent, EndReason::kUnspecified, {});
}

void Dispatcher::EndAttempt(Handle handle, Request* request, Outcome outcome, EndReason reason,
                            scheduling::LoadReport report) {
  loop_->Cancel(request->timer);
  if (IsDebugLogged()) {
    LogDebug("attempt %llu: task %016llx at node %u ended: %s",
             static_cast<unsigned long long>(request->attempt_id),
             static_cast<unsigned long long>(request->id), request->node, NameOf(outcome));
  }
  if (HasRunningTask(request->state) || MayHaveRun(outcome)) RecordFirstPeer(request, outcome);
  Transition(request, RequestEvent::kAttemptEnded);
  scheduling::AttemptEnded end;
  end.id = handle;
  end.attempt = request->attempt_count - 1;
  end.node = request->node;
  end.outcome = outcome;
  end.duration = loop_->Now() - request->attempt_started_at;
  end.is_final = request->state == RequestState::kFinished;
  end.reason = reason;
  end.report = report;
  HandleEvent(end);
  request = requests_.Get(handle);
  if (request != nullptr && request->state == RequestState::kFinished) EraseRequest(handle, request);
}

void Dispatcher::StopTask(Handle handle, Request* request) {
  Transition(request, RequestEvent::kStopRequested);
  nodes_->StopTask(request->node, request->id);
  request->timer = loop_->After(kStopTimeout, [this, handle] {
    Request* timed_out = requests_.Get(handle);
    if (timed_out == nullptr) return;
    FinishRunningTask(handle, timed_out, Outcome::kCancelled, EndReason::kUnspecified, ClientNotice::kOmit);
  });
}

void Dispatcher::FinishRunningTask(Handle handle, Request* request, Outcome outcome, EndReason reason,
                                   ClientNotice notice) {
  clients_->SetTaskRunning(request->client_connection, false);
  nodes_->SetTaskRunning(request->node, request->id, false);
  if (zone_failover_ != nullptr)
    zone_failover_->RecordTaskEnd(request->task.cores, request->task.memory, loop_->Now());
  if (notice == ClientNotice::kSend) {
    const TaskEnd completion = outcome == Outcome::kOk ? TaskEnd::kCompleted : TaskEnd::kAborted;
    clients_->SendCompletion(request->client_connection, request->id, completion);
  }
  EndAttempt(handle, request, outcome, reason, {});
}

void Dispatcher::RecordFirstPeer(Request* request, Outcome outcome) {
  if (request->first_peer == 0) {
    request->first_peer = request->peer;
    request->first_node = request->node;
    request->first_sent_at = request->attempt_started_at;
  }
  if (request->peer == request->first_peer) request->first_peer_answered = outcome == Outcome::kError;
}

void Dispatcher::EraseRequest(Handle handle, Request* request) {
  const auto& settings = classes_.settings().classes[static_cast<std::size_t>(request->task.class_index)];
  const bool repeats_may_harm = settings.retry_safety != scheduling::RetrySafety::kIdempotent;
  if (repeats_may_harm && request->first_peer != 0) {
    const scheduling::EarlierAttempts attempts{request->attempt_count, request->first_node,
                                               request->first_sent_at};
    attempt_history_.Add(request->id, {attempts, request->first_peer}, EventLoop::MonotonicNow());
  }
  loop_->Cancel(request->timer);
  classes_.RemoveTask(request->task.class_index);
  handle_by_task_.erase(request->id);
  requests_.Erase(handle);
}

}  // namespace cluster_manager
