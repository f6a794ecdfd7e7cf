// Dispatcher: event handling of the scheduler, settings, zone failover, and events of clients.
#include "dispatch/dispatcher.h"

#include <charconv>
#include <memory>
#include <utility>
#include <variant>

#include "net/counters.h"
#include "net/log.h"

namespace cluster_manager {

using scheduling::EndReason;
using scheduling::Outcome;

NodeId NodeIdFromUid(std::string_view uid) {
  const std::string_view digits = uid.substr(uid.rfind('-') + 1);
  NodeId number = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number, 16);
  if (error == std::errc() && end == digits.data() + digits.size() && !digits.empty()) return number;
  std::uint32_t hash = 2166136261u;  // FNV-1a
  for (const char c : uid) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  return hash;
}

Dispatcher::Dispatcher(EventLoop* loop, scheduling::Settings settings, std::uint64_t seed)
    : loop_(loop),
      classes_(settings),
      cores_by_kind_(settings.kind_cores),
      memory_by_kind_(settings.kind_memory),
      scheduler_(std::move(settings), seed) {
  RefreshClassCounters();
}

void Dispatcher::RefreshClassCounters() {
  class_counters_.clear();
  for (const scheduling::ClassSettings& settings : classes_.settings().classes)
    class_counters_.push_back(metrics_.CountersOf(settings.name));
}

ClassTable::Change Dispatcher::ApplySettings(const scheduling::Settings& settings) {
  ClassTable::Change change = classes_.ApplySettings(settings);
  cores_by_kind_ = settings.kind_cores;
  memory_by_kind_ = settings.kind_memory;
  RefreshClassCounters();
  HandleEvent(scheduling::SettingsChanged{std::make_shared<const scheduling::Settings>(change.settings),
                                          change.estimate_sources});
  return change;
}

void Dispatcher::Connect(ClientPort* clients, NodePort* nodes, DiscoveryPort* discovery) {
  clients_ = clients;
  nodes_ = nodes;
  discovery_ = discovery;
  scheduler_.SetNodeIdentities(this);
}

void Dispatcher::SetZoneFailover(zone_failover::ZoneFailover* zone_failover) {
  zone_failover_ = zone_failover;
  scheduler_.SetZonePolicy(zone_failover);
  EvaluateZoneFailover();
}

// Counts the waiting requests only while failover is active, so that the evaluation is cheap otherwise.
void Dispatcher::EvaluateZoneFailover() {
  const Time now = loop_->Now();
  int waiting = 0;
  if (zone_failover_->is_active()) {
    requests_.ForEach([&](Handle, const Request& request) {
      waiting += request.state == RequestState::kWaiting &&
                 now - request.attempt_started_at > zone_failover::ZoneFailover::kWaitingThreshold;
    });
  }
  const zone_failover::ZoneFailover::Evaluation evaluation = zone_failover_->Evaluate(waiting, now);
  for (const std::string& line : evaluation.log_lines) Log("%s", line.c_str());
  for (const NodeId node : evaluation.nodes_to_check) {
    zone_failover_->RecordRequest(node, now);
    nodes_->CheckReachability(node);
  }
  if (evaluation.policy_changed) HandleEvent(scheduling::ZonePolicyChanged{});
  loop_->After(zone_failover::ZoneFailover::kEvaluationInterval, [this] { EvaluateZoneFailover(); });
}

Dispatcher::Request* Dispatcher::FindRequest(TaskId id) {
  const auto it = handle_by_task_.find(id);
  return it == handle_by_task_.end() ? nullptr : requests_.Get(it->second);
}

void Dispatcher::Transition(Request* request, RequestEvent event) {
  const bool was_unanswered = IsUnanswered(request->state);
  request->state = NextState(request->state, event);
  if (was_unanswered && !IsUnanswered(request->state)) --unanswered_requests_;
}

void Dispatcher::HandleEvent(const scheduling::Event& event) {
  queued_events_.push_back(event);
  if (std::exchange(handling_events_, true)) return;
  for (std::size_t i = 0; i < queued_events_.size(); ++i) {
    const scheduling::Event next = std::move(queued_events_[i]);
    for (const scheduling::Action& action : scheduler_.Handle(next, loop_->Now())) ExecuteAction(action);
  }
  queued_events_.clear();
  handling_events_ = false;
}

void Dispatcher::ExecuteAction(const scheduling::Action& action) {
  std::visit([this](const auto& typed) { Execute(typed); }, action);
}

// --- Events of clients -----------------------------------------------------------------------------------
bool Dispatcher::OnTaskRequest(TaskRequest incoming) {
  if (Request* request = FindRequest(incoming.id)) return AcceptRepeatedRequest(request, incoming);
  if (incoming.running_on && !listed_nodes_.contains(*incoming.running_on)) return false;
  const Handle handle = InsertRequest(&incoming);
  incoming.task.id = handle;
  if (incoming.running_on) {
    ClaimRunningTask(handle, incoming);
  } else {
    ++unanswered_requests_;
    HandleEvent(scheduling::TaskArrived{incoming.task, RestoreAttempts(requests_.Get(handle))});
  }
  return true;
}

// An id identifies one request: a request with the same id and another payload is invalid, since it would
// receive the answer of the first.
bool Dispatcher::AcceptRepeatedRequest(Request* request, const TaskRequest& incoming) {
  if (request->payload != incoming.payload) return false;
  if (incoming.running_on) {
    ++counters.tasks_claimed_again;
    if (HasRunningTask(request->state)) MoveToClientConnection(request, incoming.client_connection);
    return true;
  }
  if (!IsUnanswered(request->state)) return false;
  // Resent by the client because its connection is closing: the answer goes to the latest connection.
  ++counters.requests_resent;
  request->client_connection = incoming.client_connection;
  request->required_read_position = 0;  // it is a position of the connection before
  return true;
}

scheduling::EarlierAttempts Dispatcher::RestoreAttempts(Request* request) {
  const auto recorded = attempt_history_.Find(request->id, EventLoop::MonotonicNow());
  if (!recorded) return {};
  ++counters.requests_returned;
  request->attempt_count = recorded->attempts.count;
  request->first_peer = recorded->first_peer;
  request->first_node = recorded->attempts.first_node;
  request->first_sent_at = recorded->attempts.first_sent_at;
  return recorded->attempts;
}

Handle Dispatcher::InsertRequest(TaskRequest* incoming) {
  Request request;
  request.id = incoming->id;
  request.client_connection = incoming->client_connection;
  request.payload = std::move(incoming->payload);
  request.task = incoming->task;
  request.attempt_started_at = loop_->Now();
  request.counters = class_counters_[static_cast<std::size_t>(incoming->task.class_index)];
  if (incoming->running_on) {
    request.state = RequestState::kRunning;
    request.attempt_count = 1;
    request.node = *incoming->running_on;
  }
  classes_.AddTask(incoming->task.class_index);
  const Handle handle = requests_.Insert(std::move(request));
  handle_by_task_[incoming->id] = handle;
  return handle;
}

void Dispatcher::ClaimRunningTask(Handle handle, const TaskRequest& incoming) {
  const NodeId node = *incoming.running_on;
  clients_->SetTaskRunning(incoming.client_connection, true);
  nodes_->SetTaskRunning(node, incoming.id, true);
  HandleEvent(scheduling::TaskClaimed{incoming.task, node});
  // A node reports a completion once, possibly before the task was claimed here.
  const UnclaimedCompletions::Outcome reported =
      unclaimed_completions_.Claim(node, incoming.id, loop_->Now());
  Request* request = requests_.Get(handle);
  if (reported == UnclaimedCompletions::Outcome::kUnknown || request == nullptr) return;
  ++counters.completions_known_before_claim;
  request->client_connection = incoming.client_connection;
  const Outcome outcome =
      reported == UnclaimedCompletions::Outcome::kCompleted ? Outcome::kOk : Outcome::kAborted;
  FinishRunningTask(handle, request, outcome, EndReason::kUnspecified, ClientNotice::kSend);
}

void Dispatcher::MoveToClientConnection(Request* request, Handle client_connection) {
  clients_->SetTaskRunning(request->client_connection, false);
  request->client_connection = client_connection;
  clients_->SetTaskRunning(client_connection, true);
}

void Dispatcher::OnClientRelease(TaskId id, Handle client_connection) {
  Request* request = FindRequest(id);
  if (request == nullptr || request->state == RequestState::kStopping) return;
  if (IsUnanswered(request->state) && request->client_connection != client_connection) return;
  const Handle handle = handle_by_task_.at(id);
  if (request->state == RequestState::kRunning) {
    ++counters.client_task_stops;
    StopTask(handle, request);
    return;
  }
  ++counters.client_cancellations;
  Transition(request, RequestEvent::kClientCompleted);
  HandleEvent(scheduling::RequestCancelled{handle});
  request = requests_.Get(handle);
  if (request == nullptr) return;
  if (IsAssigned(request->state)) {
    CancelAttempt(handle, request, Outcome::kCancelled);
  } else {
    EraseRequest(handle, request);
  }
}

void Dispatcher::OnClientDisconnected(TaskId id, Handle client_connection) {
  const Request* request = FindRequest(id);
  if (request == nullptr || !IsUnanswered(request->state)) return;
  if (request->client_connection != client_connection) return;
  ++counters.client_disconnects_with_open_request;
  OnClientRelease(id, client_connection);
}

void Dispatcher::ApplyPeerCompletion(NodeId node, TaskId id, TaskEnd completion, bool notify_client) {
  const bool completed = completion == TaskEnd::kCompleted;
  Request* request = FindRequest(id);
  if (request == nullptr && notify_client) {
    clients_->SendCompletion(0, id, completion);
  } else if (request == nullptr) {
    unclaimed_completions_.Add(node, id, completed, loop_->Now());
  } else if (HasRunningTask(request->state) && (notify_client || request->node == node)) {
    const bool stopping = request->state == RequestState::kStopping;
    FinishRunningTask(handle_by_task_.at(id), request, completed ? Outcome::kOk : Outcome::kAborted,
                      EndReason::kUnspecified, stopping ? ClientNotice::kOmit : ClientNotice::kSend);
  }
}

}  // namespace cluster_manager
