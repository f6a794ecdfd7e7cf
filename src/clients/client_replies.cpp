// ClientFrontend: replies to requests, written on the connection that the request was received on.
#include <vector>

#include "clients/client_frontend.h"
#include "net/counters.h"

namespace cluster_manager {
namespace {

using protocol::Cause;
using protocol::Code;
using protocol::Type;
using protocol::Writer;

}  // namespace

// Removes request `id` from the unanswered ones. Returns the connection to write the reply to; null if it is
// closed or closing.
Connection* ClientFrontend::FinishRequest(Handle client_connection, TaskId id) {
  ClientConnection* client = connections_.Get(client_connection);
  if (client == nullptr || client->IsClosing()) return nullptr;
  std::erase(client->unanswered_requests, id);
  return client->transport.get();
}

void ClientFrontend::SetTaskRunning(Handle client_connection, bool running) {
  ClientConnection* client = connections_.Get(client_connection);
  if (client != nullptr) client->running_tasks += running ? 1 : -1;
}

bool ClientFrontend::IsClientWaiting(Handle client_connection, std::uint64_t* read_by) {
  ClientConnection* client = connections_.Get(client_connection);
  if (client == nullptr || client->IsClosing()) return false;  // its requests are being cancelled
  Connection& transport = *client->transport;
  switch (transport.PeekInput()) {
    case InputState::kNone:
      return true;
    case InputState::kBytes:
      // Waits only for the bytes that had arrived by the first call, since a client may keep sending.
      if (*read_by == 0) *read_by = transport.bytes_read() + transport.UnreadBytes();
      return transport.bytes_read() >= *read_by;
    case InputState::kEnd:
      transport.ReadToEnd();  // also while reading is paused, so that the end is processed
      return false;
  }
  return false;
}

void ClientFrontend::SendAccepted(Handle client_connection, TaskId id, std::string_view description) {
  Connection* transport = FinishRequest(client_connection, id);
  if (transport == nullptr) return;
  ++counters.acceptances_sent;
  Writer(transport->write_queue(), Type::kTaskAccepted, id).Add(Code::kDescription, description);
  MarkServed(connections_.Get(client_connection));
}

void ClientFrontend::SendRejected(Handle client_connection, TaskId id, Time retry_after) {
  Connection* transport = FinishRequest(client_connection, id);
  if (transport == nullptr) return;
  ++counters.rejections_sent;
  Writer message(transport->write_queue(), Type::kRelease, id);
  message.Add(Cause::kRejected);
  if (retry_after > 0) message.Add(Code::kRetryAfterMs, (retry_after + kMs - 1) / kMs);
}

void ClientFrontend::SendFailed(Handle client_connection, TaskId id, TaskEnd task_end) {
  Connection* transport = FinishRequest(client_connection, id);
  if (transport == nullptr) return;
  ++counters.failures_sent;
  const Cause cause = task_end == TaskEnd::kCompleted ? Cause::kEnded : Cause::kAborted;
  Writer(transport->write_queue(), Type::kRelease, id).Add(cause);
}

}  // namespace cluster_manager
