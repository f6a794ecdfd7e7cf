// ClientFrontend: accept mode, draining, and eviction of connections over the limit.
#include <algorithm>

#include "clients/client_frontend.h"
#include "net/counters.h"

namespace cluster_manager {
namespace {

constexpr Time kIdleCheckInterval = 10 * kMs;
// Share of the descriptors that clients may hold.
constexpr int kClientShareInEighths = 5;

}  // namespace

void ClientFrontend::SetDescriptorLimit(int descriptors) {
  max_connections_ = static_cast<std::size_t>(std::max(descriptors * kClientShareInEighths / 8, 1));
}

// Closes the connection with the lowest EvictionRank, in order and not by a reset, so that a large number of
// client connections cannot exhaust the descriptors that nodes and discovery need.
void ClientFrontend::EvictConnection() {
  ++counters.client_evictions;
  const Handle victim = FindEvictionVictim();
  connections_.Get(victim)->transport->ShutdownAfterFlush();
  RemoveConnection(victim);
}

// Skips connections with unread input, which may hold a request. Returns the newest connection if all are in
// use.
Handle ClientFrontend::FindEvictionVictim() {
  const Time now = loop_->Now();
  Handle victim = 0;
  Handle newest = 0;
  Time newest_connected_at = 0;
  std::pair<EvictionPriority, Time> lowest{EvictionPriority::kUnansweredRequests, 0};
  connections_.ForEach([&](Handle handle, ClientConnection& client) {
    if (client.connected_at >= newest_connected_at) {
      newest_connected_at = client.connected_at;
      newest = handle;
    }
    const std::pair<EvictionPriority, Time> rank = client.EvictionRank(now);
    if (rank >= lowest) return;
    if (!client.IsClosing() && HasUnreadInput(&client)) return;
    lowest = rank;
    victim = handle;
  });
  return victim != 0 ? victim : newest;
}

bool ClientFrontend::ClosesIdleConnections() const {
  return accept_mode_ == AcceptMode::kDraining || accept_mode_ == AcceptMode::kHandingOver;
}

void ClientFrontend::SetAcceptMode(AcceptMode accept_mode) {
  accept_mode_ = accept_mode;
  if (accept_mode == AcceptMode::kHandingOver) listener_.Close();
  completion_connection_ = 0;
  if (ClosesIdleConnections() && idle_check_timer_ == 0) CloseIdleConnections();
}

// While tasks run or completions are pending in a draining cluster manager, keeps one connection of a served
// client open to send completions on: the newest, since its client is likely to keep it longest. New requests
// on it are rejected, since otherwise it might never become idle.
void ClientFrontend::SelectCompletionConnection() {
  const bool completions_expected = events_->RunningTaskCount() > 0 || completions_.pending_count() > 0;
  const bool needed = accept_mode_ == AcceptMode::kDraining && completions_expected;
  const ClientConnection* current = connections_.Get(completion_connection_);
  if (needed && current != nullptr && !current->IsClosing()) return;
  completion_connection_ = 0;
  if (!needed) return;
  Time newest_connected_at = 0;
  connections_.ForEach([&](Handle handle, const ClientConnection& client) {
    if (!client.IsServed() || client.IsClosing() || client.connected_at <= newest_connected_at) return;
    newest_connected_at = client.connected_at;
    completion_connection_ = handle;
  });
}

void ClientFrontend::CloseAllButOne() {
  const ClientConnection* best = FindBestConnection(0);
  completion_connection_ = best == nullptr ? 0 : best->transport->tag;
  std::vector<Handle> others;
  connections_.ForEach([&](Handle handle, const ClientConnection&) {
    if (handle != completion_connection_) others.push_back(handle);
  });
  for (const Handle handle : others) CloseGracefully(handle);
  SendPendingCompletions();
}

// Runs periodically while connections are to be closed. Keeps those with unread input, which may hold a
// request.
void ClientFrontend::CloseIdleConnections() {
  idle_check_timer_ = 0;
  if (!ClosesIdleConnections()) return;
  const Time now = loop_->Now();
  std::vector<Handle> idle;
  SelectCompletionConnection();
  connections_.ForEach([&](Handle handle, const ClientConnection& client) {
    if (client.IsClosing() || handle == completion_connection_ || !client.IsIdle(now)) return;
    idle.push_back(handle);
  });
  for (const Handle handle : idle) CloseGracefully(handle);
  idle_check_timer_ = loop_->After(kIdleCheckInterval, [this] { CloseIdleConnections(); });
}

}  // namespace cluster_manager
