#include "admin/admin.h"

#include <tuple>
#include <utility>
#include <vector>

#include "net/counters.h"
#include "net/log.h"

namespace cluster_manager {
namespace {

using admin::ErrorReply;
using admin::Reply;
using admin::Request;

constexpr Time kCallTimeout = 2 * kSecond;  // from connecting to a complete call
// For the caller to read its answer: closing with unread input sends a reset, which can destroy the answer.
constexpr Time kLinger = 200 * kMs;

}  // namespace

Admin::Admin(EventLoop* loop, const sockaddr_in& address, OperatorCalls* operations)
    : loop_(loop), operations_(operations) {
  // With a high priority, so that a call is accepted, read and answered in the iteration of the loop in which
  // it arrives, however long that takes.
  listener_.emplace(
      loop, address, [this](int socket) { OnAccepted(socket); }, EV_MAXPRI);
  address_ = listener_->address();
}

Admin::~Admin() {
  callers_.ForEach([&](Handle, const Caller& caller) { loop_->Cancel(caller.deadline); });
}

void Admin::Close() {
  listener_.reset();
  std::vector<Handle> idle;
  callers_.ForEach([&](Handle handle, const Caller& caller) {
    if (!caller.request.has_begun() && !caller.connection->HasUnreadBytes()) idle.push_back(handle);
  });
  for (const Handle handle : idle) Remove(handle);
}

void Admin::OnAccepted(int socket) {
  ++counters.admin_connections;
  Caller caller;
  caller.connection = std::make_unique<Connection>(loop_, socket, this);
  caller.number = ++last_number_;
  const Handle handle = callers_.Insert(std::move(caller));
  Caller* inserted = callers_.Get(handle);
  inserted->connection->tag = handle;
  inserted->connection->SetHighPriority();
  inserted->deadline = loop_->After(kCallTimeout, [this, handle] { OnCallTimeout(handle); });
  if (callers_.size() > kMaxConnections) EvictOne();
}

// Keeps many callers that send nothing from using up the descriptors, so that other callers need not wait for
// them. Closes the oldest connection without a complete call, else the oldest answered one. A connection with
// unread bytes is spared; if all have some and there are more than 2 * kMaxConnections, the newest is closed.
void Admin::EvictOne() {
  Handle victim = 0, newest = 0;
  std::pair<bool, std::uint64_t> lowest_order{true, last_number_ + 1};
  callers_.ForEach([&](Handle handle, const Caller& caller) {
    if (caller.number == last_number_) newest = handle;
    const std::pair<bool, std::uint64_t> order{caller.answered, caller.number};
    if (caller.number == last_number_ || order >= lowest_order || caller.connection->HasUnreadBytes()) return;
    lowest_order = order;
    victim = handle;
  });
  if (victim == 0 && callers_.size() <= 2 * kMaxConnections) return;
  ++counters.admin_pruned;
  Remove(victim != 0 ? victim : newest);
}

std::size_t Admin::OnData(Connection& connection, std::string_view data) {
  const Handle handle = connection.tag;
  Caller* caller = callers_.Get(handle);
  Request& request = caller->request;
  switch (request.Parse(data)) {
    case Request::ParseResult::kIncomplete:
      break;
    case Request::ParseResult::kComplete:
      ++counters.admin_calls;
      Answer(handle, admin::HandleCall(request.method(), request.target(), operations_));
      break;
    case Request::ParseResult::kMalformed:
      Answer(handle, ErrorReply(400, std::string("this is no HTTP/1.1 request: ") + request.problem()));
      break;
    case Request::ParseResult::kHeadTooLong:
      Answer(handle, ErrorReply(431, "the request line and the headers are over 8 KiB; send fewer headers"));
      break;
    case Request::ParseResult::kBodyTooLong:
      Answer(handle, ErrorReply(413, "the body is over 8 KiB; no call here needs one"));
      break;
  }
  return data.size();
}

void Admin::Answer(Handle handle, const Reply& reply) {
  Caller* caller = callers_.Get(handle);
  if (caller == nullptr) return;
  if (reply.status != 200) ++counters.admin_refused;
  *caller->connection->write_queue() += admin::FormatResponse(reply, caller->request.method() == "HEAD");
  caller->answered = true;
  loop_->Cancel(caller->deadline);
  caller->deadline = loop_->After(kLinger, [this, handle] { Remove(handle); });
  caller->connection->ShutdownAfterFlush();  // may find the connection reset, and remove the caller
}

void Admin::OnCallTimeout(Handle handle) {
  ++counters.admin_late;
  Answer(handle,
         ErrorReply(408, "no whole call came within 2 s of connecting; send one as soon as you connect"));
}

void Admin::Remove(Handle handle) {
  Caller* caller = callers_.Get(handle);
  if (caller == nullptr) return;
  loop_->Cancel(caller->deadline);
  loop_->DestroyLater(std::move(caller->connection));
  callers_.Erase(handle);
}

void Admin::OnClosed(Connection& connection, CloseReason) {
  if (const Caller* caller = callers_.Get(connection.tag); caller != nullptr && !caller->answered) {
    ++counters.admin_left;
  }
  Remove(connection.tag);
}

}  // namespace cluster_manager
