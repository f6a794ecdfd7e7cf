#include "clients/client_frontend.h"

#include <functional>
#include <memory>
#include <utility>

#include "net/counters.h"
#include "net/log.h"

namespace cluster_manager {
namespace {

using protocol::Message;

constexpr Time kTimeoutCheckInterval = 250 * kMs;
// During shutdown, the first valid request of a client is waited for until this time after its connection was
// accepted.
constexpr Time kFirstRequestGrace = 200 * kMs;
// Time within which simultaneous resets of several connections have all been processed.
constexpr Time kResetBatchDelay = 10 * kMs;

Listener Listen(EventLoop* loop, const Config& config, std::function<void(int)> on_accepted) {
  if (config.listen_socket >= 0) return Listener(loop, config.listen_socket, std::move(on_accepted));
  return Listener(loop, config.listen, std::move(on_accepted));
}

}  // namespace

ClientFrontend::ClientFrontend(EventLoop* loop, const Config& config, const ClassTable& classes,
                               ClientEvents* events)
    : loop_(loop),
      parser_(classes),
      events_(events),
      listener_(Listen(loop, config, [this](int socket) { OnAccepted(socket); })) {
  SetDescriptorLimit(config.max_descriptors);
  CheckTimeouts();
}

void ClientFrontend::OnAccepted(int socket) {
  ++counters.client_connections;
  ClientConnection client;
  client.transport = std::make_unique<Connection>(loop_, socket, this);
  client.connected_at = loop_->Now();
  const Handle handle = connections_.Insert(std::move(client));
  connections_.Get(handle)->transport->tag = handle;
  if (connections_.size() > max_connections_) EvictConnection();
}

// Makes no further system call for a connection whose input was found unread in this loop iteration, since
// many connections may be accepted in one iteration. Such input stays unread until a later iteration.
bool ClientFrontend::HasUnreadInput(ClientConnection* client) {
  if (client->unread_in_iteration == loop_->iteration()) return true;
  if (!client->transport->HasUnreadBytes()) return false;
  client->unread_in_iteration = loop_->iteration();
  return true;
}

void ClientFrontend::CheckTimeouts() {
  const Time now = loop_->Now();
  std::vector<Handle> finished_closing;
  std::vector<Handle> timed_out;
  connections_.ForEach([&](Handle handle, ClientConnection& client) {
    // Reading is paused while the client does not read its replies, so a disconnect is detected here.
    Connection& transport = *client.transport;
    if (transport.IsReadingPaused() && transport.PeekInput() == InputState::kEnd) transport.ReadToEnd();
    if (client.HasFinishedClosing(now)) finished_closing.push_back(handle);
    if (!client.IsClosing() && client.ShouldClose(now)) timed_out.push_back(handle);
  });
  for (const Handle handle : finished_closing) RemoveConnection(handle);
  for (const Handle handle : timed_out) CloseGracefully(handle);
  using Completion = CompletionQueue::Completion;
  completions_.CheckTimeouts(now, [this](const Completion& completion) { return GetDelivery(completion); });
  counters.completions_assumed_received = completions_.assumed_received();
  counters.completions_expired = completions_.expired();
  counters.completions_dropped_full = completions_.evicted();
  if (completions_.pending_count() > 0) SendPendingCompletions();
  loop_->After(kTimeoutCheckInterval, [this] { CheckTimeouts(); });
}

// Queued replies are still sent to the client; its unanswered requests are cancelled. With Rest::kReadOn, a
// release of a running task that the client has sent before it sees the close is still read.
void ClientFrontend::CloseGracefully(Handle handle, Connection::InputMode rest) {
  ClientConnection* client = connections_.Get(handle);
  if (client == nullptr || client->IsClosing()) return;
  ++counters.client_closed_gracefully;
  client->OnClose(loop_->Now());
  const std::vector<TaskId> unanswered = std::exchange(client->unanswered_requests, {});
  client->transport->ShutdownAfterFlush(rest);
  for (const TaskId id : unanswered) events_->OnClientDisconnected(id, handle);
}

void ClientFrontend::RemoveConnection(Handle handle) {
  ClientConnection* client = connections_.Get(handle);
  if (client == nullptr) return;
  ++counters.client_closes;
  const std::vector<TaskId> unanswered = std::move(client->unanswered_requests);
  loop_->DestroyLater(std::move(client->transport));
  connections_.Erase(handle);
  for (const TaskId id : unanswered) events_->OnClientDisconnected(id, handle);
  // A completion that was sent on the connection and not confirmed may not have been read: it is sent again.
  const std::size_t requeued = completions_.OnConnectionLost(handle);
  counters.completions_resent += requeued;
  // The delay avoids sending the completions to one connection after another while all of them are being
  // reset.
  if (requeued == 0 || std::exchange(send_scheduled_, true)) return;
  loop_->After(kResetBatchDelay, [this] {
    send_scheduled_ = false;
    SendPendingCompletions();
  });
}

std::size_t ClientFrontend::OnData(Connection& transport, std::string_view data) {
  bool malformed = false;
  const std::size_t consumed = protocol::DecodeAll(data, &malformed, [&](const Message& message) {
    malformed = !HandleMessage(transport, message);
    return !malformed && transport.open() && transport.IsReading();
  });
  if (malformed && transport.open()) {
    ++counters.malformed;
    Log("client: malformed message, closing the connection");
    CloseGracefully(transport.tag, Connection::InputMode::kStopReading);
  }
  return consumed;
}

void ClientFrontend::OnClosed(Connection& transport, CloseReason) { RemoveConnection(transport.tag); }

// Pending completions are ignored if no client is connected, since they cannot be sent. False while the first
// valid request of a client that has just connected may be in flight.
bool ClientFrontend::IsQuiescent() {
  const Time now = loop_->Now();
  bool quiescent = true;
  bool any_connected = false;
  connections_.ForEach([&](Handle, const ClientConnection& client) {
    const Connection& transport = *client.transport;
    quiescent = quiescent && transport.flushed() && !transport.HasUnsentBytes();
    if (client.IsClosing()) return;
    any_connected = true;
    const bool first_request_expected =
        !client.HasSentValidRequest() && now - client.connected_at < kFirstRequestGrace;
    const bool in_message = transport.incomplete_message_since > 0;
    quiescent = quiescent && !first_request_expected && !in_message && !transport.HasUnreadBytes();
  });
  return quiescent && (completions_.pending_count() == 0 || !any_connected);
}

void ClientFrontend::CloseAllGracefully() {
  std::vector<Handle> handles;
  connections_.ForEach([&](Handle handle, const ClientConnection&) { handles.push_back(handle); });
  for (const Handle handle : handles) CloseGracefully(handle);
}

}  // namespace cluster_manager
