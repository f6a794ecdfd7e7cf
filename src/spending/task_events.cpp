// SpendingController: the events of tasks.
#include <algorithm>

#include "spending/spending_controller.h"

namespace cluster_manager::spending {
namespace {

// The clocks of nodes and members differ by less than this; a later end is counted as being in the future.
constexpr Time kClockTolerance = 5 * kSecond;

}  // namespace

void SpendingController::OnRequestCancelled(TaskId id, Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  Task* task = FindTask(id);
  if (task == nullptr || (task->state != State::kAdmitted && task->state != State::kPending)) return;
  const TaskId replaced = task->request.type == RequestType::kReplacement ? task->request.existing_task : 0;
  RemoveAndRefund(id);
  Task* lost = FindTask(replaced);
  if (lost == nullptr || lost->state != State::kReplaced || lost->replacement != id) return;
  lost->state = State::kLost;  // another replacement is possible until the lost task's remainder expires
  lost->replacement = 0;
  if (lost->expires > now) {
    UpdateCosts(lost, now);
  } else {
    RecordEnd(lost, lost->lost_at, now);
  }
}

void SpendingController::RecordStart(const AdmissionRequest& request, int team, Time start, Time now) {
  if (!EnsureTableSpace()) return;
  Task* task = InsertTask(request, team, State::kRunning);
  task->request.size.millicores = std::clamp<std::int64_t>(request.size.millicores, 0, kMaxTaskSize);
  task->request.size.memory_mib = std::clamp<std::int64_t>(request.size.memory_mib, 0, kMaxTaskSize);
  task->segments = {{std::min(start, now), task->request.size, request.node_kind}};
  UpdateCosts(task, now);
}

void SpendingController::OnTaskAccepted(const AdmissionRequest& request, Time started, Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  int team = plan_.FindTeam(request.tenant, request.service);
  Task* task = FindTask(request.id);
  if (task != nullptr) {
    team = task->team;
    if (task->state == State::kRunning) return;
    if (task->state == State::kAdmitted || task->state == State::kPending) {
      if (task->state == State::kPending) ++counters_.unrequested;
      RemoveAndRefund(request.id);
    } else {  // reported as lost or ended, but runs after all
      if (task->state == State::kEnded) ended_.erase({task->end, request.id});
      task->state = State::kRunning;
      task->replacement = 0;
      UpdateCosts(task, now);
      return;
    }
  } else if (team >= 0) {
    ++counters_.unrequested;
  }
  if (team < 0) return;
  RecordStart(request, team, started, now);
  Task* lost = request.type == RequestType::kReplacement ? FindTask(request.existing_task) : nullptr;
  if (lost != nullptr &&
      (lost->state == State::kLost || (lost->state == State::kReplaced && lost->replacement == request.id)))
    RecordEnd(lost, lost->lost_at, now);
}

void SpendingController::RecordEnd(Task* task, Time ended, Time now) {
  if (ended > now + kClockTolerance) ++counters_.future_ends;
  if (task->state == State::kEnded) ended_.erase({task->end, task->request.id});
  task->end = std::clamp(ended, std::min(task->segments.front().start, now), now);
  while (task->segments.size() > 1 && task->segments.back().start >= task->end) task->segments.pop_back();
  task->request.size = task->segments.back().size;  // the size and node kind at the task's end
  task->request.node_kind = task->segments.back().node_kind;
  task->state = State::kEnded;
  ChargeCosts(task, ComputeCosts(*task, now));
  ended_.insert({task->end, task->request.id});
  if (ended_.size() > kMaxEndedTasks) {
    ++counters_.ended_tasks_evicted;
    Remove(ended_.begin()->second);
  }
}

void SpendingController::OnTaskEnded(TaskId id, Time ended, Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  Task* task = FindTask(id);
  if (task == nullptr) {
    ++counters_.unknown_tasks;
  } else if (task->state == State::kAdmitted || task->state == State::kPending) {
    OnRequestCancelled(id, clock_reading);  // it never ran
  } else if (task->state != State::kEnded) {
    // A duplicate report is ignored; CorrectTaskTimes() changes a recorded end.
    RecordEnd(task, ended, now);
  }
}

void SpendingController::OnTaskLost(TaskId id, Time last_seen, Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  Task* task = FindTask(id);
  if (task == nullptr) {
    ++counters_.unknown_tasks;
  } else if (task->state == State::kAdmitted || task->state == State::kPending) {
    OnRequestCancelled(id, clock_reading);
  } else if (task->state == State::kRunning) {
    if (last_seen > now + kClockTolerance) ++counters_.future_ends;
    task->state = State::kLost;
    task->lost_at = std::clamp(last_seen, std::min(task->segments.front().start, now), now);
    task->end = std::max(task->end, task->lost_at);  // the task may have run longer than estimated
    task->expires = now + plan_.lost_task_retention;
    ChargeCosts(task, ComputeCosts(*task, now));
  }
}

void SpendingController::OnTaskChanged(TaskId id, TaskId request_id, const TaskSize& size, int node_kind,
                                       Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  const Task* requested = request_id == id ? nullptr : FindTask(request_id);
  if (requested != nullptr && (requested->state == State::kAdmitted || requested->state == State::kPending))
    RemoveAndRefund(request_id);
  Task* task = FindTask(id);
  if (task == nullptr || task->state != State::kRunning) {
    ++counters_.unknown_tasks;
    return;
  }
  AdmissionRequest changed = task->request;
  changed.size.millicores = std::clamp<std::int64_t>(size.millicores, 0, kMaxTaskSize);
  changed.size.memory_mib = std::clamp<std::int64_t>(size.memory_mib, 0, kMaxTaskSize);
  changed.node_kind = node_kind;
  if (changed.size == task->request.size && changed.node_kind == task->request.node_kind) return;
  const Time at = std::max(now, task->segments.back().start);
  if (task->segments.back().start == at) {
    task->segments.back() = {at, changed.size, node_kind};
  } else if (task->segments.size() < kMaxSegments) {
    task->segments.push_back({at, changed.size, node_kind});
  } else {  // the last segment is charged at the more expensive one of its sizes
    ++counters_.segments_full;
    if (CostPerSecond(changed, now) > CostPerSecond(task->request, now))
      task->segments.back() = {task->segments.back().start, changed.size, node_kind};
  }
  task->request.size = changed.size;
  task->request.node_kind = node_kind;
  UpdateCosts(task, now);
}

void SpendingController::OnTaskHandedOver(TaskId id, Time at, Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  Task* task = FindTask(id);
  if (task == nullptr || task->state == State::kEnded) {
    ++counters_.unknown_tasks;
    return;
  }
  if (task->state == State::kAdmitted || task->state == State::kPending)
    return OnRequestCancelled(id, clock_reading);
  const int team = task->team;
  const MonthlyCosts before = task->costs;
  RecordEnd(task, at, now);  // may remove the task; what is needed of it was copied above
  const Month first = teams_[static_cast<std::size_t>(team)].window.first;
  const Task* after = FindTask(id);
  for (std::size_t m = 0; m < before.size(); ++m) {
    const Money remainder =
        before[m].total() - (after == nullptr ? before[m].spent : after->costs[m].total());
    if (remainder <= 0) continue;
    const Month month = first + static_cast<Month>(m);
    QueueReturn(team, month, AccountFor(team, month).ReleaseUnused(remainder));
  }
}

void SpendingController::OnTaskTakenOver(const AdmissionRequest& request, Time at, Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  int team = plan_.FindTeam(request.tenant, request.service);
  if (const Task* known = FindTask(request.id)) {
    if (known->state == State::kRunning) return;
    team = known->team;
    if (known->state == State::kAdmitted || known->state == State::kPending) {
      RemoveAndRefund(request.id);
    } else {
      Remove(request.id);  // the task comes back: another member paid for the seconds in between
    }
  }
  if (team >= 0) RecordStart(request, team, at, now);
}

void SpendingController::CorrectTaskTimes(TaskId id, Time started, Time ended, Time clock_reading) {
  const Time now = AdvanceTime(clock_reading);
  Task* task = FindTask(id);
  if (task == nullptr || task->segments.empty()) {
    ++counters_.too_late;
    return;
  }
  started = std::min(started, now);
  std::vector<Segment>& segments = task->segments;
  while (segments.size() > 1 && segments[1].start <= started) segments.erase(segments.begin());
  segments.front().start = started;
  if (ended != 0) {
    RecordEnd(task, ended, now);
  } else if (task->state != State::kRunning) {
    if (task->state == State::kEnded) ended_.erase({task->end, id});
    task->state = State::kRunning;
    UpdateCosts(task, now);
  } else {
    UpdateCosts(task, now);
  }
}

}  // namespace cluster_manager::spending
