// ClientFrontend: completions of running tasks, written on any connection that the client reads.
#include <utility>
#include <vector>

#include "clients/client_frontend.h"
#include "net/counters.h"

namespace cluster_manager {
namespace {

using protocol::Cause;
using protocol::Type;
using protocol::Writer;

// A completion waits so long for a connection of a served client; then it goes to any other, too.
constexpr Time kServedConnectionWait = 600 * kMs;

}  // namespace

// The connection that the task was requested on; null where it is closed or closing, or did not confirm this
// completion.
ClientConnection* ClientFrontend::FindOriginConnection(const CompletionQueue::Completion& completion) {
  if (completion.client_connection == completion.unresponsive_connection) return nullptr;
  ClientConnection* origin = connections_.Get(completion.client_connection);
  return origin != nullptr && !origin->IsClosing() ? origin : nullptr;
}

// The open connection with the highest CompletionRank, except `excluded`; null where there is none.
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

// False where no connection can take it now.
bool ClientFrontend::TrySendCompletion(const CompletionQueue::Completion& completion) {
  ClientConnection* const origin = FindOriginConnection(completion);
  const Handle unresponsive = completion.unresponsive_connection;
  ClientConnection* client = origin != nullptr ? origin : FindBestConnection(unresponsive);
  // An unresponsive connection is better than none.
  if (client == nullptr && unresponsive != 0) client = FindBestConnection(0);
  if (client == nullptr) return false;
  const bool preferred = client->IsServed() || client == origin;
  if (!preferred && loop_->Now() - completion.added_at < kServedConnectionWait) return false;
  WriteCompletion(completion, client);
  return true;
}

void ClientFrontend::WriteCompletion(const CompletionQueue::Completion& completion,
                                     ClientConnection* client) {
  Connection& transport = *client->transport;
  // A connection that was never served may be anybody's: there only a confirmation counts as received.
  const bool confirming = client->confirms_completions || !client->IsServed();
  const Type type = static_cast<Type>(completion.message_type);
  {
    Writer message(transport.write_queue(), type, completion.task);
    if (type == Type::kRelease) message.Add(static_cast<Cause>(completion.cause));
  }
  completions_.MarkSent(completion.task, transport.tag, confirming, loop_->Now(),
                        transport.queued_position());
}

// A connection whose end has arrived and was not processed yet delivers nothing: what became of the bytes is
// not known.
CompletionQueue::Delivery ClientFrontend::DeliveryOf(const CompletionQueue::Completion& completion) {
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

// Oldest first. Once one has found no connection at all, only those with an open origin connection can be
// sent.
void ClientFrontend::SendPendingCompletions() {
  bool no_connection = false;
  for (const CompletionQueue::Completion& completion : completions_.PendingCompletions()) {
    const bool has_origin = FindOriginConnection(completion) != nullptr;
    if (no_connection && !has_origin) continue;
    if (!TrySendCompletion(completion) && !has_origin) no_connection = true;
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

void ClientFrontend::SendCompletion(Handle client_connection, TaskId id, TaskEnd over) {
  ++counters.completions_sent;
  const Cause cause = over == TaskEnd::kCompleted ? Cause::kEnded : Cause::kAborted;
  QueueCompletion(client_connection, Type::kRelease, id, cause);
}

void ClientFrontend::SendMigration(Handle client_connection, TaskId id) {
  ++counters.migrations_sent;
  QueueCompletion(client_connection, Type::kMigration, id, Cause::kAborted);
}

}  // namespace cluster_manager
