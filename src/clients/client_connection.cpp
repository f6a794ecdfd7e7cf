#include "clients/client_connection.h"

#include <algorithm>

namespace cluster_manager {
namespace {

// A connection without a valid message from a client is closed within 3 s of connecting. These limits are
// lower by the interval at which ClientFrontend checks them.
constexpr Time kFirstMessageTimeout = 2 * kSecond;      // until the first valid request
constexpr Time kFirstMessageTimeoutMax = 2500 * kMs;    // if a message has begun
constexpr Time kUnfinishedMessageTimeout = 1500 * kMs;  // from the last byte, in the middle of a message
constexpr Time kIdleTimeout = 6 * kSecond;              // clients close unused connections after 4 s
constexpr Time kFirstMessageGrace = 100 * kMs;          // the first message of a new client may be in flight
// After closing this side, for the client to read the last bytes written.
constexpr Time kCloseLinger = 400 * kMs;
constexpr Time kCloseLingerMax = 2 * kSecond;  // if bytes are still queued
// While draining, connections without traffic for this long are closed. Operators consider a connection that
// stays open for 200 ms as held.
constexpr Time kDrainIdleTimeout = 20 * kMs;
constexpr Time kDrainIdleTimeoutBeforeRequest = 120 * kMs;
// Clients close unused connections after some seconds. From this idle time on a close may be in progress.
constexpr Time kMayBeClosingAfter = 3 * kSecond;

}  // namespace

ClientConnection::State ClientConnection::NextState(State state, Event event) {
  if (state == State::kClosing || event == Event::kClose) return State::kClosing;
  const bool served_before = state == State::kServed || state == State::kServedUnidentified;
  const bool request_before = state == State::kIdentified || state == State::kServed;
  const bool served = served_before || event == Event::kServed;
  const bool request = request_before || event == Event::kValidRequest;
  if (served) return request ? State::kServed : State::kServedUnidentified;
  return request ? State::kIdentified : State::kNew;
}

bool ClientConnection::OnServed() {
  const bool before = IsServed();
  state_ = NextState(state_, Event::kServed);
  return !before && IsServed();
}

void ClientConnection::OnClose(Time now) {
  state_ = NextState(state_, Event::kClose);
  closing_since_ = now;
}

bool ClientConnection::HasFinishedClosing(Time now) const {
  if (!IsClosing()) return false;
  if (now - closing_since_ >= kCloseLingerMax) return true;
  const Time last_activity = std::max(closing_since_, transport->last_traffic);
  return transport->flushed() && now - last_activity >= kCloseLinger;
}

bool ClientConnection::HasTimedOut(Time now) const {
  const Time connected = now - connected_at;
  const bool in_message = transport->incomplete_message_since > 0;
  // If the client reads slowly, this process stops reading from it. The rest of the message may then be
  // waiting in the receive buffer. While answers are due the connection stays open, whatever the client
  // sends.
  const bool answers_due = !unanswered_requests.empty() || !transport->flushed();
  if (in_message && !answers_due && now - transport->last_traffic >= kUnfinishedMessageTimeout) return true;
  const bool message_in_time = in_message && connected < kFirstMessageTimeoutMax;
  if (!HasSentValidRequest() && connected >= kFirstMessageTimeout && !message_in_time) return true;
  const bool unused = unanswered_requests.empty() && running_tasks == 0;
  return unused && now - transport->last_traffic >= kIdleTimeout;
}

bool ClientConnection::ShouldClose(Time now) {
  if (!HasTimedOut(now)) {
    close_postponed_ = false;
    return false;
  }
  if (std::exchange(close_postponed_, true)) return true;
  return !transport->HasUnreadBytes();
}

bool ClientConnection::IsIdle(Time now) const {
  if (!unanswered_requests.empty() || transport->incomplete_message_since > 0 || !transport->flushed())
    return false;
  const Time limit = HasSentValidRequest() ? kDrainIdleTimeout : kDrainIdleTimeoutBeforeRequest;
  return now - transport->last_traffic >= limit && !transport->HasUnreadBytes();
}

std::pair<EvictionPriority, Time> ClientConnection::EvictionRank(Time now) const {
  if (IsClosing()) return {EvictionPriority::kClosing, closing_since_};
  if (!unanswered_requests.empty()) return {EvictionPriority::kUnansweredRequests, transport->last_traffic};
  if (transport->incomplete_message_since > 0 || !transport->flushed())
    return {EvictionPriority::kBusyTransfer, connected_at};
  if (!HasSentValidRequest()) {
    const bool fresh = now - connected_at < kFirstMessageGrace;
    return {fresh ? EvictionPriority::kBusyTransfer : EvictionPriority::kUnidentified, connected_at};
  }
  if (running_tasks > 0 && IsServed()) return {EvictionPriority::kAwaitsCompletion, transport->last_traffic};
  return {EvictionPriority::kIdle, transport->last_traffic};
}

std::tuple<bool, bool, Time> ClientConnection::CompletionRank(Time now) const {
  const Time last_traffic = transport->last_traffic;
  const bool in_use = !unanswered_requests.empty() || running_tasks > 0;
  const bool stays_open = in_use || now - last_traffic < kMayBeClosingAfter;
  return {IsServed(), stays_open, last_traffic};
}

}  // namespace cluster_manager
