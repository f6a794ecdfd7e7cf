// ClientFrontend: sending the completions of running tasks, and the choice of the connection for each.
#include <utility>
#include <vector>

#include "clients/client_frontend.h"
#include "net/counters.h"

namespace cluster_manager {
namespace {

using protocol::Cause;
using protocol::Type;
using protocol::Writer;

// How long a completion is held back for a connection of a served client, before any other may be used.
constexpr Time kServedConnectionWait = 600 * kMs;

}  // namespace

// The connection that the task was requested on; null if it is closed or closing, or has left this completion
// unconfirmed.
ClientConnection* ClientFrontend::FindRequestConnection(const CompletionQueue::Completion& completion) {
  if (completion.client_connection == completion.unresponsive_connection) return nullptr;
  ClientConnection* client = connections_.Get(completion.client_connection);
  return client != nullptr && !client->IsClosing() ? client : nullptr;
}

// The open connection with the highest CompletionRank, except `excluded`; null if there is none.
ClientConnection* ClientFrontend::FindBestConnection(Handle excluded) {
  const Time now = loop_->Now();
  ClientConnection* best = nullptr;
  connections_.ForEach([&](Handle handle, ClientConnection& client) {
    if (client.IsClosing() || handle == excluded) return;
    if (best == nullptr || client.CompletionRank(now) > best->CompletionRank(now)) best = &client;
  });
  return best;
}

void ClientFrontend::MarkServed(ClientConnection* client) {
  if (client->OnServed() && completions_.pending_count() > 0) SendPendingCompletions();
}

// False if there is no suitable connection at the moment.
bool ClientFrontend::TrySendCompletion(const CompletionQueue::Completion& completion) {
  ClientConnection* const request_connection = FindRequestConnection(completion);
  const Handle unresponsive = completion.unresponsive_connection;
  ClientConnection* client =
      request_connection != nullptr ? request_connection : FindBestConnection(unresponsive);
  // Without an alternative the unresponsive connection is used again.
  if (client == nullptr && unresponsive != 0) client = FindBestConnection(0);
  if (client == nullptr) return false;
  const bool is_last = client->transport->tag == completion_connection_;
  const bool preferred = client->IsServed() || client == request_connection || is_last;
  if (!preferred && loop_->Now() - completion.added_at < kServedConnectionWait) return false;
  WriteCompletion(completion, client);
  return true;
}

void ClientFrontend::WriteCompletion(const CompletionQueue::Completion& completion,
                                     ClientConnection* client) {
  Connection& transport = *client->transport;
  // The peer of a connection that was never served may not be a genuine client: there the completion counts
  // as received only once it is confirmed.
  const bool confirming = client->confirms_completions || !client->IsServed();
  const Type type = static_cast<Type>(completion.message_type);
  {
    Writer message(transport.write_queue(), type, completion.task);
    if (type == Type::kRelease) message.Add(static_cast<Cause>(completion.cause));
  }
  completions_.MarkSent(completion.task, transport.tag, confirming, loop_->Now(),
                        transport.queued_position());
}

// If the end of the connection has arrived but has not been processed yet, the completion counts as not
// delivered, since it is unknown whether the client has read it.
CompletionQueue::Delivery ClientFrontend::GetDelivery(const CompletionQueue::Completion& completion) {
  using Delivery = CompletionQueue::Delivery;
  const ClientConnection* client = connections_.Get(completion.connection);
  if (client == nullptr) return Delivery::kQueued;
  const Connection& transport = *client->transport;
  if (transport.PeekInput() == InputState::kEnd) return Delivery::kQueued;
  if (transport.HasDelivered(completion.stream_position)) return Delivery::kAcknowledged;
  return transport.HasSent(completion.stream_position) ? Delivery::kInFlight : Delivery::kQueued;
}

void ClientFrontend::QueueCompletion(Handle client_connection, Type type, TaskId id, Cause cause) {
  const CompletionQueue::Completion completion =
      completions_.Add(id, static_cast<int>(type), static_cast<int>(cause), loop_->Now(), client_connection);
  if (!TrySendCompletion(completion)) ++counters.completions_queued;
}

// Sends the pending completions, oldest first. Once there was no connection for one of them, only those whose
// request connection is open can be sent.
void ClientFrontend::SendPendingCompletions() {
  bool no_connection = false;
  for (const CompletionQueue::Completion& completion : completions_.PendingCompletions()) {
    const bool has_request_connection = FindRequestConnection(completion) != nullptr;
    if (no_connection && !has_request_connection) continue;
    if (!TrySendCompletion(completion) && !has_request_connection) no_connection = true;
  }
}

std::vector<std::pair<TaskId, TaskEnd>> ClientFrontend::RemainingCompletions(bool all) const {
  std::vector<std::pair<TaskId, TaskEnd>> remaining;
  for (const CompletionQueue::Completion& completion :
       all ? completions_.AllCompletions() : completions_.PendingCompletions()) {
    const bool completed = static_cast<Cause>(completion.cause) == Cause::kEnded;
    remaining.emplace_back(completion.task, completed ? TaskEnd::kCompleted : TaskEnd::kAborted);
  }
  return remaining;
}

void ClientFrontend::SendCompletion(Handle client_connection, TaskId id, TaskEnd task_end) {
  ++counters.completions_sent;
  const Cause cause = task_end == TaskEnd::kCompleted ? Cause::kEnded : Cause::kAborted;
  QueueCompletion(client_connection, Type::kRelease, id, cause);
}

void ClientFrontend::SendMigration(Handle client_connection, TaskId id) {
  ++counters.migrations_sent;
  QueueCompletion(client_connection, Type::kMigration, id, Cause::kAborted);
}

}  // namespace cluster_manager
