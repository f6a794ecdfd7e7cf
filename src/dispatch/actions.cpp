// Executes the scheduler's actions, and ends attempts, tasks and requests.
#include <algorithm>
#include <utility>

#include "dispatch/dispatcher.h"
#include "net/counters.h"
#include "net/log.h"

namespace cluster_manager {

using scheduling::EndReason;
using scheduling::Outcome;

// --- Actions of the scheduler ----------------------------------------------------------------------------
void Dispatcher::Execute(const scheduling::StartAttempt& action) {
  Request* request = requests_.Get(action.id);
  if (request == nullptr || request->state != RequestState::kWaiting) {
    Log("the module offers what cannot be offered, passed over");
    return;
  }
  const Handle handle = action.id;
  const Time deadline =
      action.deadline > 0 ? std::min(action.deadline, request->task.deadline) : request->task.deadline;
  ++request->attempts;
  request->attempt = ++last_attempt_;
  request->read_by = 0;
  request->node = action.node;
  request->sent = loop_->Now();
  Transition(request, RequestEvent::kAttemptStarted);
  request->timer = loop_->At(deadline, [this, handle] {
    if (Request* late = requests_.Get(handle)) {
      ++counters.attempts_timed_out;
      CancelAttempt(handle, late, Outcome::kTimedOut);
    }
  });
  if (zone_failover_ != nullptr) zone_failover_->Asked(action.node, request->sent);
  LogAttempt(*request);
  nodes_->StartAttempt(action.node, request->id, request->attempt, request->payload, deadline);
}

// What the list says of the chosen node, beside what the task needs.
void Dispatcher::LogAttempt(const Request& request) const {
  if (!IsDebugLogged()) return;
  const auto listed = listed_nodes_.find(request.node);
  const double free_cores = listed == listed_nodes_.end() ? 0 : listed->second.entry.free_cores;
  LogDebug("attempt %llu: task %016llx of %g cores goes to node %u, %g cores free in the list",
           static_cast<unsigned long long>(request.attempt), static_cast<unsigned long long>(request.id),
           request.task.cores, request.node, free_cores);
}

void Dispatcher::Execute(const scheduling::CheckNodeHealth& action) {
  if (zone_failover_ != nullptr) zone_failover_->Asked(action.node, loop_->Now());
  nodes_->CheckHealth(action.node);
}

void Dispatcher::Execute(const scheduling::CancelAttempt& action) {
  Request* request = requests_.Get(action.id);
  if (request == nullptr || !HasOpenAttempt(request->state)) return;
  if (action.attempt != request->attempts - 1) return;
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

void Dispatcher::Execute(const scheduling::LogMessage& action) { Log("module: %s", action.text.c_str()); }

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
  if (request == nullptr || !IsAssigned(request->state)) return;  // ended by a call back of the port
  if (zone_failover_ != nullptr && outcome == Outcome::kTimedOut) {
    zone_failover_->Unanswered(request->node, request->sent);
    zone_failover_->AttemptOver(request->node, false);
  }
  EndAttempt(handle, request, was_sent ? outcome : Outcome::kNotSent, EndReason::kUnspecified, {});
}

void Dispatcher::EndAttempt(Handle handle, Request* request, Outcome outcome, EndReason reason,
                            scheduling::LoadReport report) {
  loop_->Cancel(request->timer);
  Transition(request, RequestEvent::kAttemptEnded);
  scheduling::AttemptEnded end;
  end.id = handle;
  end.attempt = request->attempts - 1;
  end.node = request->node;
  end.outcome = outcome;
  end.duration = loop_->Now() - request->sent;
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
    Request* late = requests_.Get(handle);
    if (late == nullptr) return;
    FinishRunningTask(handle, late, Outcome::kCancelled, EndReason::kUnspecified, ClientNotice::kOmit);
  });
}

void Dispatcher::FinishRunningTask(Handle handle, Request* request, Outcome outcome, EndReason reason,
                                   ClientNotice notice) {
  clients_->SetTaskRunning(request->client_connection, false);
  nodes_->SetTaskRunning(request->node, request->id, false);
  if (zone_failover_ != nullptr)
    zone_failover_->TaskOver(request->task.cores, request->task.memory, loop_->Now());
  if (notice == ClientNotice::kSend) {
    const TaskEnd completion = outcome == Outcome::kOk ? TaskEnd::kCompleted : TaskEnd::kAborted;
    clients_->SendCompletion(request->client_connection, request->id, completion);
  }
  EndAttempt(handle, request, outcome, reason, {});
}

void Dispatcher::EraseRequest(Handle handle, Request* request) {
  loop_->Cancel(request->timer);
  classes_.RemoveTask(request->task.class_index);
  handle_by_task_.erase(request->id);
  requests_.Erase(handle);
}

}  // namespace cluster_manager
