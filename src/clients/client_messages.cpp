// ClientFrontend: messages from clients: requests, releases, health checks, confirmations of completions.
#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "clients/client_frontend.h"
#include "net/counters.h"

namespace cluster_manager {
namespace {

using protocol::Cause;
using protocol::Message;
using protocol::Type;
using protocol::Writer;

// On one connection; about ten times the number seen under peak load.
constexpr std::size_t kMaxUnansweredRequests = 512;
// Retry-After of a request over that limit.
constexpr Time kOverloadBackoff = kSecond;

}  // namespace

// False if the connection has to be closed because of a protocol error.
bool ClientFrontend::HandleMessage(Connection& transport, const Message& message) {
  const Handle handle = transport.tag;
  ClientConnection* client = connections_.Get(handle);
  if (client->IsClosing()) {
    HandleMessageWhileClosing(handle, message);
    return true;
  }
  switch (message.type) {
    case Type::kTaskRequest:
      return HandleRequestMessage(transport, message);
    case Type::kRelease:
      std::erase(client->unanswered_requests, message.task);
      events_->OnClientRelease(message.task, handle);
      return true;
    case Type::kHealthCheck:
      HandleHealthCheck(transport, message.task);
      return true;
    case Type::kReleaseConfirmed:
      HandleConfirmation(handle, message.task);
      return true;
    default:  // ignored: not sent by clients
      return true;
  }
}

// Requests are ignored: a client whose request has no reply when the connection closes sends it on another
// one.
void ClientFrontend::HandleMessageWhileClosing(Handle handle, const Message& message) {
  ++counters.client_messages_while_closing;
  if (message.type == Type::kRelease) events_->OnClientRelease(message.task, handle);
  if (message.type == Type::kReleaseConfirmed) completions_.MarkConfirmed(message.task, handle);
}

void ClientFrontend::HandleHealthCheck(Connection& transport, TaskId id) {
  ++counters.client_health_checks_answered;
  const bool passed = accept_mode_ == AcceptMode::kOpen || accept_mode_ == AcceptMode::kHandingOver;
  Writer(transport.write_queue(), Type::kHealthCheckResult, id)
      .Add(passed ? Cause::kHealthCheckPassed : Cause::kHealthCheckFailed);
  connections_.Get(transport.tag)->OnValidRequest();
}

void ClientFrontend::HandleConfirmation(Handle handle, TaskId id) {
  ++counters.client_confirmations;
  if (!completions_.MarkConfirmed(id, handle)) return;
  ClientConnection* client = connections_.Get(handle);
  client->confirms_completions = true;
  MarkServed(client);
}

bool ClientFrontend::HandleRequestMessage(Connection& transport, const Message& message) {
  switch (HandleRequest(transport.tag, message)) {
    case RequestResult::kHandled:
      return true;
    case RequestResult::kRejected:
      ++counters.requests_refused_as_duplicate;
      Writer(transport.write_queue(), Type::kRelease, message.task).Add(Cause::kError);
      return true;
    case RequestResult::kProtocolError:
      return false;
  }
  return false;
}

ClientFrontend::RequestResult ClientFrontend::HandleRequest(Handle handle, const Message& message) {
  std::optional<TaskRequest> request = parser_.Parse(message, handle, loop_->Now());
  if (!request) {
    ++counters.requests_invalid;
    return RequestResult::kRejected;
  }
  if (request->running_on) return HandleRunningTask(handle, *std::move(request));
  return HandleNewRequest(handle, *std::move(request));
}

// The claim of a task that already runs on a node. It does not make the connection one of a served client,
// since a client may claim a task that no node runs.
ClientFrontend::RequestResult ClientFrontend::HandleRunningTask(Handle handle, TaskRequest request) {
  ++counters.tasks_claimed;
  ClientConnection* client = connections_.Get(handle);
  if (!events_->OnTaskRequest(std::move(request))) return RequestResult::kRejected;
  client->OnValidRequest();
  return RequestResult::kHandled;
}

ClientFrontend::RequestResult ClientFrontend::HandleNewRequest(Handle handle, TaskRequest request) {
  if (accept_mode_ == AcceptMode::kDraining) SelectCompletionConnection();
  const TaskId id = request.id;
  ClientConnection* client = connections_.Get(handle);
  std::vector<TaskId>& unanswered = client->unanswered_requests;
  const bool duplicate = std::ranges::find(unanswered, id) != unanswered.end();
  const bool accepts = unanswered.size() < kMaxUnansweredRequests && handle != completion_connection_;
  if (!duplicate && !accepts) {
    ++counters.requests_over_limit;
    events_->OnRejectedAtAdmission(request.task.class_index);
    SendRejected(handle, id, kOverloadBackoff);
    return RequestResult::kHandled;
  }
  ++counters.requests_received;
  if (!duplicate) unanswered.push_back(id);
  if (events_->OnTaskRequest(std::move(request))) {
    client->OnValidRequest();
    return RequestResult::kHandled;
  }
  // Two requests with the same id on one connection: a reply could not be matched to one of them.
  if (duplicate) return RequestResult::kProtocolError;
  std::erase(unanswered, id);
  return RequestResult::kRejected;
}

}  // namespace cluster_manager
