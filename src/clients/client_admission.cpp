// ClientFrontend: the accept mode, draining, and the eviction of connections over the limit.
#include <algorithm>

#include "clients/client_frontend.h"
#include "net/counters.h"

namespace cluster_manager {
namespace {

constexpr Time kQuietCheckInterval = 10 * kMs;
// The clients' share of the descriptors, in eighths.
constexpr int kClientShare = 5;

}  // namespace

void ClientFrontend::SetDescriptorLimit(int descriptors) {
  max_connections_ = static_cast<std::size_t>(std::max(descriptors * kClientShare / 8, 1));
}

// Keeps the descriptors that nodes and discovery need from being taken by clients that connect by the
// hundred and stay. The connection with the lowest EvictionRank is closed, in order and not by a reset.
void ClientFrontend::EvictConnection() {
  ++counters.client_evictions;
  const Handle victim = FindEvictionVictim();
  connections_.Get(victim)->transport->ShutdownAfterFlush();
  Remove(victim);
}

// A connection with unread input is passed over, as it may hold a request. Where every connection is in use,
// the newest goes.
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

bool ClientFrontend::IsEmptying() const {
  return accept_mode_ == AcceptMode::kDraining || accept_mode_ == AcceptMode::kHandingOver;
}

void ClientFrontend::SetAcceptMode(AcceptMode accept_mode) {
  accept_mode_ = accept_mode;
  if (accept_mode == AcceptMode::kHandingOver) listener_.Close();
  completion_connection_ = 0;
  if (IsEmptying() && quiet_check_ == 0) CloseQuietConnections();
}

// While tasks run or completions are pending in a drained cluster manager, one served connection stays open
// to send completions on: the youngest, as its client will keep it longest. It takes no new request, or it
// would never become empty.
void ClientFrontend::SelectCompletionConnection() {
  const bool completions_expected = events_->RunningTaskCount() > 0 || completions_.pending_count() > 0;
  const bool needed = accept_mode_ == AcceptMode::kDraining && completions_expected;
  const ClientConnection* current = connections_.Get(completion_connection_);
  if (needed && current != nullptr && !current->IsClosing()) return;
  completion_connection_ = 0;
  if (!needed) return;
  Time youngest = 0;
  connections_.ForEach([&](Handle handle, const ClientConnection& client) {
    if (!client.IsServed() || client.IsClosing() || client.connected_at <= youngest) return;
    youngest = client.connected_at;
    completion_connection_ = handle;
  });
}

// A connection with unread input is kept, as a request may cross the close.
void ClientFrontend::CloseQuietConnections() {
  quiet_check_ = 0;
  if (!IsEmptying()) return;
  const Time now = loop_->Now();
  std::vector<Handle> quiet;
  SelectCompletionConnection();
  connections_.ForEach([&](Handle handle, const ClientConnection& client) {
    if (client.IsClosing() || handle == completion_connection_ || !client.IsQuiet(now)) return;
    quiet.push_back(handle);
  });
  for (const Handle handle : quiet) CloseGracefully(handle);
  quiet_check_ = loop_->After(kQuietCheckInterval, [this] { CloseQuietConnections(); });
}

}  // namespace cluster_manager
