#include "scheduling/request_lifecycle.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "scheduling/parameters.h"

namespace scheduling::internal {

bool RequestLifecycle::PendingRequest::operator<(const PendingRequest& other) const {
  return std::tuple(-value, deadline, id) < std::tuple(-other.value, other.deadline, other.id);
}

bool RequestLifecycle::IsShed(const Request& request) const {
  const ZonePolicy* policy = context_.zone_policy;
  return policy != nullptr && request.attempts == 0 && !policy->Admits(request.rank, request.task);
}

bool RequestLifecycle::CanAttempt(const Request& request) const {
  return !components_.retry.ForbidsRetry(request) && components_.retry.HasAttemptsLeft(request) &&
         !components_.retry.IsFirstNodeLost(request) &&
         context_.now < components_.retry.AnswerDeadline(request) && !IsShed(request) &&
         !components_.retry.IsBoundToLostZone(request);
}

void RequestLifecycle::SendFinalAnswer(Request* request) {
  if (!std::exchange(request->unanswered, false)) return;
  const RequestId id = request->task.id;
  components_.pending.Remove(id);
  // After kViewAge the endpoint list shows what is free now. The zone policy spreads the retries of clients
  // over time.
  const Time delay =
      IsShed(*request) ? context_.zone_policy->RetryAfter(request->rank, request->task) : kViewAge;
  const Time retry_after = std::min(delay, context_.settings.max_retry_after);
  if (components_.retry.CanReject(*request)) {
    context_.actions.emplace_back(RejectRequest{id, retry_after});
  } else {
    context_.actions.emplace_back(FailRequest{id});
  }
  if (!request->in_flight) components_.requests.Erase(id);
}

void RequestLifecycle::Place(Request* request) {
  if (!CanAttempt(*request)) {
    SendFinalAnswer(request);
    return;
  }
  const std::optional<NodeId> node = components_.selector.Select(*request);
  if (!node) {
    components_.pending.Add(request->task.id);
    return;
  }
  components_.pending.Remove(request->task.id);
  StartAttemptOn(components_.view.Find(*node), request);
}

void RequestLifecycle::StartAttemptOn(Node* node, Request* request) {
  const Task& task = request->task;
  const NodeId id = node->key;
  request->in_flight = true;
  request->node = id;
  request->sent_at = context_.now;
  ++request->attempts;
  if (request->attempts == 1 || !request->may_have_run) {
    request->first_node = id;
    request->first_sent_at = context_.now;
  }
  request->use = components_.usage.ExpectedUse(task);
  components_.view.RecordUse(node, *request, 1);
  components_.view.AddOwnChange(node, task, 1);
  components_.slow_start.RecordSend(node);
  ZonePolicy* policy = context_.zone_policy;
  if (policy != nullptr) policy->RecordPlacement(node->entry.zone, task, context_.now);
  ServicePlacement& placement = components_.services.FindOrInsert(task.service, id);
  request->start_cost = components_.services.RetainsProgram(placement) ? 1 : kColdStartWeight;
  node->start_backlog += request->start_cost;
  ++placement.in_flight;
  context_.actions.emplace_back(StartAttempt{task.id, id, components_.retry.AttemptDeadline(*request)});
}

double RequestLifecycle::Value(const Request& request) const {
  const double weight = context_.ClassSettingsFor(request.task).priority_weight;
  return weight * (components_.quota.IsOver(request.task) ? context_.settings.over_quota_weight : 1);
}

void RequestLifecycle::RetryPending() {
  if (!components_.pending.IsRetryDue()) return;
  retry_order_.clear();
  components_.pending.ForEach([this](RequestId id) {
    const Request& request = *components_.requests.Find(id);
    retry_order_.push_back({Value(request), request.task.deadline, id});
  });
  std::sort(retry_order_.begin(), retry_order_.end());
  // Tasks of a service are alike: if one fits on no node, the others do not either.
  unplaceable_services_.clear();
  for (const PendingRequest& each : retry_order_) {
    Request* request = components_.requests.Find(each.id);
    const std::uint64_t service = request->task.service;
    const bool unplaceable = std::ranges::find(unplaceable_services_, service) != unplaceable_services_.end();
    if (request->attempts == 0 && unplaceable) continue;
    Place(request);
    request = components_.requests.Find(each.id);
    if (request != nullptr && request->attempts == 0 && components_.pending.Contains(each.id)) {
      unplaceable_services_.push_back(service);
    }
  }
  components_.pending.ScheduleRetry(kPendingRetryInterval);
}

bool RequestLifecycle::AwaitsAnswer(RequestId id) const {
  const Request* request = components_.requests.Find(id);
  return request != nullptr && request->unanswered && !request->accepted;
}

void RequestLifecycle::AnswerDueRequests() {
  while (components_.pending.HasDeadlines()) {
    const auto [at, id] = components_.pending.FirstDeadline();
    if (at > context_.now && AwaitsAnswer(id)) return;
    components_.pending.PopDeadline();
    Request* request = components_.requests.Find(id);
    if (request == nullptr || request->accepted) continue;
    if (at == components_.retry.AnswerDeadline(*request)) SendFinalAnswer(request);
  }
}

void RequestLifecycle::RebuildDeadlines() {
  components_.pending.ClearDeadlines();
  components_.requests.ForEach([this](const Request& request) {
    if (request.unanswered)
      components_.pending.AddDeadline(components_.retry.AnswerDeadline(request), request.task.id);
  });
  components_.pending.ScheduleRetry(0);
}

void RequestLifecycle::Handle(const TaskArrived& event) {
  Request& request = *components_.requests.Insert(event.task.id, {});
  request.task = event.task;
  request.max_attempts = context_.settings.max_attempts;
  ApplyEarlierAttempts(event.earlier, &request);
  components_.reserved.RecordTaskSize(request.task);
  components_.pending.AddDeadline(components_.retry.AnswerDeadline(request), event.task.id);
  ZonePolicy* policy = context_.zone_policy;
  if (policy != nullptr) {
    const bool over_quota = components_.quota.IsOver(request.task);
    const bool large = components_.reserved.IsLarge(request.task);
    request.rank = policy->AssignRank(request.task, over_quota, large, context_.now);
  }
  Place(&request);
  components_.contention.RecordArrival();
}

// The effect of a second execution does not depend on the connection that a request came on.
void RequestLifecycle::ApplyEarlierAttempts(const EarlierAttempts& earlier, Request* request) {
  if (earlier.count == 0) return;
  request->may_have_run = true;
  request->attempts = earlier.count;
  request->first_node = earlier.first_node;
  request->first_sent_at = earlier.first_sent_at;
  request->failed_on.push_back(earlier.first_node);
}

void RequestLifecycle::Handle(const TaskClaimed& event) {
  Request& request = *components_.requests.Insert(event.task.id, {});
  request.task = event.task;
  components_.reserved.RecordTaskSize(request.task);
  request.node = event.node;
  request.unanswered = false;
  request.in_flight = true;
  request.accepted = true;
  request.attempts = 1;
  request.sent_at = context_.now;
  request.use = components_.usage.ExpectedUse(request.task);
  Node* node = components_.view.FindOrInsert(event.node);
  node->entry.node = event.node;
  components_.view.RecordUse(node, request, 1);
  ++components_.services.FindOrInsert(request.task.service, event.node).in_flight;
  components_.quota.RecordRunningTask(request.task, 1);
}

void RequestLifecycle::Handle(const TaskAccepted& event) {
  Request* request = components_.requests.Find(event.id);
  if (request == nullptr || !request->in_flight) return;
  request->accepted = true;
  request->unanswered = false;
  Node* node = components_.view.Find(request->node);
  if (context_.settings.accepted_means_running) {
    node->start_backlog -= std::exchange(request->start_cost, 0);
  }
  components_.outliers.RecordSuccess(node);
  node->accepted_at = context_.now;
  components_.quota.RecordRunningTask(request->task, 1);
  components_.retry.RecordAcceptanceTime(event.duration);
}

void RequestLifecycle::Handle(const AttemptEnded& event) {
  Request* request = components_.requests.Find(event.id);
  if (request == nullptr || !request->in_flight) return;
  Node* node = components_.view.Find(request->node);
  request->in_flight = false;
  node->start_backlog -= std::exchange(request->start_cost, 0);
  components_.view.RecordUse(node, *request, -1);
  ServicePlacement& placement = components_.services.FindOrInsert(request->task.service, request->node);
  --placement.in_flight;
  if (request->accepted) {
    placement.ended_at = context_.now;
    RecordTaskEnd(node, *request, event);
  } else {
    const RequestId id = request->task.id;
    components_.view.RemoveOwnChanges(node, [id](const OwnChange& change) { return change.id == id; });
    components_.refusals.RecordUnacceptedAttempt(node, request, event);
  }
  if (event.is_final || request->accepted || !request->unanswered) {
    components_.requests.Erase(event.id);
  } else {
    Place(request);
  }
}

void RequestLifecycle::RecordTaskEnd(Node* node, const Request& request, const AttemptEnded& event) {
  components_.contention.RecordTaskEnd();
  components_.quota.RecordRunningTask(request.task, -1);
  components_.view.AddOwnChange(node, request.task, -1);
  if (event.outcome != Outcome::kAborted) return;
  if (event.reason == EndReason::kEvicted) node->degraded_until = context_.now + kDegradedPeriod;
  if (event.reason == EndReason::kUnspecified)
    components_.outliers.RecordFailure(node);  // lost with the node
}

void RequestLifecycle::Handle(const NodeReplaced& event) {
  Node* successor = components_.view.FindOrInsert(event.successor);
  successor->entry.node = event.successor;
  for (const RequestId id : event.requests) {
    Request* request = components_.requests.Find(id);
    if (request != nullptr && request->in_flight && request->node == event.node)
      MoveToNode(successor, request);
  }
  std::vector<Time>& sends = successor->recent_sends;
  sends.insert(sends.end(), event.sends.begin(), event.sends.end());
  std::ranges::sort(sends);
}

// Moves what the request's attempt or running task counts for, at its node, in the spread of its service and
// among the changes that the endpoint list does not show yet, to another node.
void RequestLifecycle::MoveToNode(Node* node, Request* request) {
  Node* previous = components_.view.Find(request->node);
  const RequestId id = request->task.id;
  components_.view.RecordUse(previous, *request, -1);
  components_.view.RecordUse(node, *request, 1);
  components_.view.MoveOwnChanges(previous, node, id);
  previous->start_backlog -= request->start_cost;
  node->start_backlog += request->start_cost;
  --components_.services.FindOrInsert(request->task.service, previous->key).in_flight;
  ++components_.services.FindOrInsert(request->task.service, node->key).in_flight;
  request->node = node->key;
  if (!request->may_have_run) request->first_node = node->key;
}

void RequestLifecycle::Handle(const RequestCancelled& event) {
  Request* request = components_.requests.Find(event.id);
  if (request == nullptr) return;
  components_.pending.Remove(event.id);
  request->unanswered = false;
  if (!request->in_flight) components_.requests.Erase(event.id);
}

void RequestLifecycle::Handle(const TaskReported& event) {
  Request* request = components_.requests.Find(event.id);
  if (request == nullptr || !request->in_flight) return;
  Node* node = components_.view.Find(request->node);
  components_.view.RecordUse(node, *request, -1);
  if (event.kind == TaskReportKind::kStarted) node->start_backlog -= std::exchange(request->start_cost, 0);
  components_.usage.RecordReport(event, request);
  components_.view.RecordUse(node, *request, 1);
  const bool poor = event.kind == TaskReportKind::kServiceLevel && event.level < kPoorServiceLevel;
  const bool under_pressure =
      event.kind == TaskReportKind::kNodeMemoryPressure && event.level > kHighMemoryPressure;
  if (poor || under_pressure) node->degraded_until = context_.now + kDegradedPeriod;
}

void RequestLifecycle::Handle(const ZonePolicyChanged&) {
  components_.requests.ForEach([this](const Request& request) {
    const ZonePolicy* policy = context_.zone_policy;
    if (policy == nullptr || !request.in_flight || request.accepted) return;
    if (!policy->IsLost(components_.view.Find(request.node)->entry.zone)) return;
    if (!components_.retry.IsSafeOnAnyNode(request.task) || !components_.retry.HasAttemptsLeft(request))
      return;
    context_.actions.emplace_back(CancelAttempt{request.task.id, request.attempts - 1});
  });
  components_.pending.ScheduleRetry(0);
}

}  // namespace scheduling::internal
