#include "net/connection.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

#include "net/counters.h"
#include "net/sys.h"

namespace cluster_manager {
namespace {

constexpr std::size_t kWriteMost = 1024 * 1024;
// Guards against a peer that asks without end and is slow to read: it is not heard until it has read.
constexpr std::size_t kWriteBackedUp = 128 * 1024;
constexpr std::size_t kMostPieces = 64;  // of one gathered write
// What came so shortly after the loop asked is not looked for: a client that has gone is heard of in time.
constexpr Time kFreshPoll = 20 * kMs;

}  // namespace

bool ParseAddress(std::string_view text, sockaddr_in* address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  const std::string host(text.substr(0, colon));
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  *address = {};
  address->sin_family = AF_INET;
  address->sin_port = htons(port);
  return error == std::errc() && stop == end && inet_pton(AF_INET, host.c_str(), &address->sin_addr) == 1;
}

std::string AddressText(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

Connection::Connection(EventLoop* loop, int socket, Handler* handler) : loop_(loop), handler_(handler) {
  Start(socket, EV_READ);
}

Connection::Connection(EventLoop* loop, const sockaddr_in& to, Handler* handler)
    : loop_(loop), handler_(handler), dialing_(true) {
  const int socket = sys::Socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    dial_error_ = errno;
    Start(-1, 0);
  } else {
    const int failed = sys::Connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    if (failed != 0 && errno != EINPROGRESS) dial_error_ = errno;
    Start(socket, EV_WRITE);
  }
  if (dial_error_ != 0) loop_->InjectEvent(&io_, EV_WRITE);
}

void Connection::Start(int socket, int events) {
  socket_ = socket;
  last_traffic = loop_->Now();
  ev_io_init(
      &io_, [](struct ev_loop*, ev_io* w, int got) { static_cast<Connection*>(w->data)->OnEvent(got); },
      socket_, events);
  io_.data = this;
  if (socket_ < 0) return;
  sys::SetOption(socket_, IPPROTO_TCP, TCP_NODELAY, 1);
  looks_behind_ = sys::SetOption(socket_, IPPROTO_TCP, TCP_INQ, 1) == 0;
  ev_io_start(loop_->raw(), &io_);
}

void Connection::Prefer() {
  ev_io_stop(loop_->raw(), &io_);
  ev_set_priority(&io_, EV_MAXPRI);
  ev_io_start(loop_->raw(), &io_);
  loop_->InjectEvent(&io_, EV_READ);
}

std::string* Connection::out() {
  if (!flush_marked_) loop_->FlushSoon(this);
  flush_marked_ = true;
  last_traffic = loop_->Now();
  loop_->TakeBuffer(&out_);
  return &out_;
}

void Connection::Refer(const BlockPool::Ref& block, std::size_t from, std::size_t to) {
  if (from == to) return;
  pieces_.push_back({out()->size(), block, from, to});
  referred_ += to - from;
}

// Bytes of the queue and the pieces between them, as one write.
ssize_t Connection::WriteSome() {
  if (first_piece_ == pieces_.size())
    return sys::Send(socket_, out_.data() + written_, out_.size() - written_);
  std::array<iovec, kMostPieces> parts;
  std::size_t count = 0, at = written_;
  for (std::size_t i = first_piece_; count + 2 < parts.size() && i <= pieces_.size(); ++i) {
    const std::size_t until = i < pieces_.size() ? pieces_[i].at : out_.size();
    if (at < until) parts[count++] = {out_.data() + at, until - at};
    at = until;
    if (i == pieces_.size()) break;
    const Piece& piece = pieces_[i];
    parts[count++] = {piece.block.data() + piece.from, piece.to - piece.from};
  }
  return sys::Gather(socket_, parts.data(), count);
}

// A write may end anywhere, also in the middle of a piece.
void Connection::Written(std::size_t bytes) {
  bytes_sent_ += bytes;
  while (bytes > 0) {
    const std::size_t until = first_piece_ < pieces_.size() ? pieces_[first_piece_].at : out_.size();
    const std::size_t own = std::min(bytes, until - written_);
    written_ += own;
    bytes -= own;
    if (bytes == 0) return;
    Piece& piece = pieces_[first_piece_];
    const std::size_t its = std::min(bytes, piece.to - piece.from);
    piece.from += its;
    referred_ -= its;
    bytes -= its;
    if (piece.from < piece.to) return;
    piece.block = {};
    ++first_piece_;
  }
}

void Connection::Flush() {
  flush_marked_ = false;
  if (broken_) DropQueue();
  if (!up()) return;
  while (!flushed()) {
    const ssize_t sent = WriteSome();
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      WriteFailed();
      return;
    }
    if (sent < 0) break;
    Written(static_cast<std::size_t>(sent));
    if ((io_.events & EV_WRITE) != 0) last_traffic = loop_->Now();  // it is read, if slowly
  }
  if (flushed()) {
    loop_->GiveBuffer(&out_);
    pieces_.clear();
    written_ = first_piece_ = 0;
    if (finishing_ && !std::exchange(shut_, true)) sys::Shutdown(socket_, SHUT_WR);
  } else if (pending() > kWriteMost) {  // the other side reads nothing: bounded memory
    ++counters.stuck_writes;
    End(Ending::kStuck);
    return;
  }
  Watch();
}

void Connection::Finish(Rest rest) {
  if (!up() || finishing_) return;
  finishing_ = true;
  reads_on_ = rest == Rest::kReadOn;
  Flush();
}

// Guards against words that cross a reset: an answer, a refusal or a release that came before it would be
// lost if the connection ended with the write that met the reset.
void Connection::WriteFailed() {
  const bool gone = errno == EPIPE || errno == ECONNRESET;
  if (!gone || !reads()) {  // nothing more is read, or would tell the end
    End(Ending::kReset);
    return;
  }
  ++counters.writes_failed;
  broken_ = true;
  DropQueue();
  Watch();
}

void Connection::DropQueue() {
  out_.clear();
  loop_->GiveBuffer(&out_);
  pieces_.clear();  // what they refer to is not held by a connection that writes no more
  written_ = first_piece_ = referred_ = 0;
}

std::size_t Connection::UnreadBytes() const {
  int bytes = 0;
  return open() && sys::Unread(socket_, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

Incoming Connection::LookAhead() const {
  if (!open() || broken_) return Incoming::kEnd;
  const bool watched = (io_.events & EV_READ) != 0;
  const bool fresh = loop_->Now() - loop_->polled_at() < kFreshPoll;
  if (watched && fresh && !left_unread_ && !ev_is_pending(&io_)) return Incoming::kNothing;
  const short found = sys::Poll(socket_, POLLIN | POLLRDHUP);
  if ((found & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return Incoming::kEnd;
  return (found & POLLIN) != 0 ? Incoming::kBytes : Incoming::kNothing;
}

void Connection::ReadToEnd() {
  if (!open() || !reads()) return;
  reads_to_end_ = true;
  Watch();
}

bool Connection::HasSent(std::uint64_t position) const {
  int unsent = 0;
  if (!up() || sys::Unsent(socket_, &unsent) != 0) return false;
  return position + static_cast<std::uint64_t>(unsent) <= bytes_sent_;
}

bool Connection::HasDelivered(std::uint64_t position) const {
  if (!up()) return false;
  if (position <= bytes_delivered_) return true;
  int unacknowledged = 0;
  if (sys::Unacknowledged(socket_, &unacknowledged) != 0) return false;
  // A close of this side that was sent counts there as one byte more.
  const std::uint64_t open_bytes = std::min(bytes_sent_, static_cast<std::uint64_t>(unacknowledged));
  bytes_delivered_ = std::max(bytes_delivered_, bytes_sent_ - open_bytes);
  return position <= bytes_delivered_;
}

bool Connection::BackedUp() const {
  if (!up()) return false;
  int bytes = 0;
  return blocked() || (sys::Unsent(socket_, &bytes) == 0 && bytes > 0);
}

void Connection::Watch() {
  const bool read = reads() && (reads_to_end_ || pending() < kWriteBackedUp);
  const int events = (read ? EV_READ : 0) | (flushed() ? 0 : EV_WRITE);
  if ((io_.events & (EV_READ | EV_WRITE)) == events) return;
  ev_io_stop(loop_->raw(), &io_);
  ev_io_set(&io_, socket_, events);
  if (events != 0) ev_io_start(loop_->raw(), &io_);
}

void Connection::Close() {
  loop_->Forget(this);
  ev_clear_pending(loop_->raw(), &io_);
  ev_io_stop(loop_->raw(), &io_);
  if (socket_ >= 0) sys::Close(socket_);
  socket_ = -1;
  dialing_ = false;
  DropQueue();
}

void Connection::Abort() {
  const linger now{1, 0};
  if (socket_ >= 0) ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  Close();
}

void Connection::End(Ending ending) {
  Close();
  handler_->OnEnd(*this, ending);
}

void Connection::OnEvent(int events) {
  if (dialing_) {
    if (dial_error_ == 0) sys::GetOption(socket_, SOL_SOCKET, SO_ERROR, &dial_error_);
    if (dial_error_ != 0) {
      End(dial_error_ == ECONNREFUSED ? Ending::kRefused : Ending::kReset);
      return;
    }
    dialing_ = false;
    Watch();
    handler_->OnUp(*this);
    return;
  }
  if (events & EV_WRITE) Flush();
  if (open() && reads() && (events & EV_READ)) Read();
}

// One read a turn, so that who sends at full speed does not keep the others from theirs.
void Connection::Read() {
  char* const buffer = loop_->scratch();
  const std::size_t kept = in_.size();
  if (kept >= EventLoop::kScratch / 2) {  // what does not fit is no message
    End(Ending::kStuck);
    return;
  }
  std::memcpy(buffer, in_.data(), kept);
  counters.bytes_kept += kept;
  constexpr std::size_t kMost = EventLoop::kScratch / 2;
  const ssize_t got = looks_behind_ ? sys::ReceiveAndLookBehind(socket_, buffer + kept, kMost, &left_unread_)
                                    : sys::Recv(socket_, buffer + kept, kMost);
  if (!looks_behind_) left_unread_ = got == static_cast<ssize_t>(kMost);
  if (got < 0 && !broken_ && (errno == EINTR || errno == EAGAIN || errno == EWOULDBLOCK)) return;
  if (got <= 0) {
    End(got == 0 && !broken_ ? Ending::kClosed : Ending::kReset);
    return;
  }
  bytes_read_ += static_cast<std::uint64_t>(got);
  last_traffic = loop_->Now();
  const std::string_view data(buffer, kept + static_cast<std::size_t>(got));
  const std::size_t taken = handler_->OnData(*this, data);
  if (!open() || !reads()) return;
  if (taken == data.size()) {
    loop_->GiveBuffer(&in_);
    unfinished_since = 0;
  } else {
    if (taken > 0 || kept == 0) unfinished_since = last_traffic;
    loop_->TakeBuffer(&in_);
    in_.assign(data.substr(taken));
    counters.bytes_kept += in_.size();
  }
}

}  // namespace cluster_manager
