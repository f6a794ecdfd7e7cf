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
// While the process stops: a request follows the accept of its connection within this time.
constexpr Time kFirstMessageGrace = 200 * kMs;
// Clients that reset their connections together are all noticed within this time.
constexpr Time kResetBatchDelay = 10 * kMs;

Listener Listen(EventLoop* loop, const Config& config, std::function<void(int)> accepted) {
  if (config.listen_socket >= 0) return Listener(loop, config.listen_socket, std::move(accepted));
  return Listener(loop, config.listen, std::move(accepted));
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

// Asks the kernel once per connection and turn of the loop only, as many connections may be accepted in one
// turn: input found unread stays unread until a later turn.
bool ClientFrontend::HasUnreadInput(ClientConnection* client) {
  if (client->unread_in_turn == loop_->iteration()) return true;
  if (!client->transport->HasUnreadBytes()) return false;
  client->unread_in_turn = loop_->iteration();
  return true;
}

void ClientFrontend::CheckTimeouts() {
  const Time now = loop_->Now();
  std::vector<Handle> closed;
  std::vector<Handle> timed_out;
  connections_.ForEach([&](Handle handle, ClientConnection& client) {
    // Input is not read while the client does not read its output: notice here that it has disconnected.
    Connection& transport = *client.transport;
    if (transport.IsReadingPaused() && transport.PeekInput() == InputState::kEnd) transport.ReadToEnd();
    if (client.HasFinishedClosing(now)) closed.push_back(handle);
    if (!client.IsClosing() && client.ShouldClose(now)) timed_out.push_back(handle);
  });
  for (const Handle handle : closed) Remove(handle);
  for (const Handle handle : timed_out) CloseGracefully(handle);
  using Completion = CompletionQueue::Completion;
  completions_.CheckTimeouts(now, [this](const Completion& completion) { return DeliveryOf(completion); });
  counters.completions_assumed_received = completions_.assumed_received();
  counters.completions_expired = completions_.expired();
  counters.completions_dropped_full = completions_.evicted();
  if (completions_.pending_count() > 0) SendPendingCompletions();
  loop_->After(kTimeoutCheckInterval, [this] { CheckTimeouts(); });
}

// Answers that are queued still reach the client; its unanswered requests are abandoned. A release of a
// running task that crosses the close is still read.
void ClientFrontend::CloseGracefully(Handle handle, Connection::InputMode rest) {
  ClientConnection* client = connections_.Get(handle);
  if (client == nullptr || client->IsClosing()) return;
  ++counters.client_closed_gracefully;
  client->OnClose(loop_->Now());
  const std::vector<TaskId> unanswered = std::exchange(client->unanswered_requests, {});
  client->transport->ShutdownAfterFlush(rest);
  for (const TaskId id : unanswered) events_->OnClientDisconnected(id, handle);
}

void ClientFrontend::Remove(Handle handle) {
  ClientConnection* client = connections_.Get(handle);
  if (client == nullptr) return;
  ++counters.client_closes;
  const std::vector<TaskId> unanswered = std::move(client->unanswered_requests);
  loop_->DestroyLater(std::move(client->transport));
  connections_.Erase(handle);
  for (const TaskId id : unanswered) events_->OnClientDisconnected(id, handle);
  // A completion that crossed the client's close has not been read: it is sent again.
  const std::size_t pending_again = completions_.OnConnectionLost(handle);
  counters.completions_resent += pending_again;
  // The delay keeps completions from going to one client after another while all of them reset.
  if (pending_again == 0 || std::exchange(send_scheduled_, true)) return;
  loop_->After(kResetBatchDelay, [this] {
    send_scheduled_ = false;
    SendPendingCompletions();
  });
}

std::size_t ClientFrontend::OnData(Connection& transport, std::string_view data) {
  bool malformed = false;
  const std::size_t taken = protocol::DecodeAll(data, &malformed, [&](const Message& message) {
    malformed = !HandleMessage(transport, message);
    return !malformed && transport.open() && transport.IsReading();
  });
  if (malformed && transport.open()) {
    ++counters.malformed;
    Log("a client's message is malformed, closing its connection");
    CloseGracefully(transport.tag, Connection::InputMode::kStopReading);
  }
  return taken;
}

void ClientFrontend::OnClosed(Connection& transport, CloseReason) { Remove(transport.tag); }

// Where no client is connected, pending completions cannot be sent and do not count. A client that has just
// connected is waited for, as its first message is on its way.
bool ClientFrontend::IsQuiescent() {
  const Time now = loop_->Now();
  bool quiescent = true;
  bool any_connected = false;
  connections_.ForEach([&](Handle, const ClientConnection& client) {
    const Connection& transport = *client.transport;
    quiescent = quiescent && transport.flushed() && !transport.HasUnsentBytes();
    if (client.IsClosing()) return;
    any_connected = true;
    const bool first_message_due =
        !client.HasSentValidRequest() && now - client.connected_at < kFirstMessageGrace;
    const bool in_message = transport.incomplete_message_since > 0;
    quiescent = quiescent && !first_message_due && !in_message && !transport.HasUnreadBytes();
  });
  return quiescent && (completions_.pending_count() == 0 || !any_connected);
}

void ClientFrontend::CloseAllGracefully() {
  std::vector<Handle> handles;
  connections_.ForEach([&](Handle handle, const ClientConnection&) { handles.push_back(handle); });
  for (const Handle handle : handles) CloseGracefully(handle);
}

}  // namespace cluster_manager
