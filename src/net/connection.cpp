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

constexpr std::size_t kMaxQueuedBytes = 1024 * 1024;
// A peer that sends requests without reading the answers is not read from while this much is queued for it.
constexpr std::size_t kReadPauseBytes = 128 * 1024;
constexpr std::size_t kMaxWriteParts = 64;  // of one gathered write
// For this long after the loop polled, a socket that was not reported is taken to be empty without a system
// call: the close of a client that arrives later is noticed soon enough.
constexpr Time kRecentPoll = 20 * kMs;

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
    const int result = sys::Connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    if (result != 0 && errno != EINPROGRESS) dial_error_ = errno;
    Start(socket, EV_WRITE);
  }
  if (dial_error_ != 0) loop_->InjectEvent(&io_, EV_WRITE);
}

void Connection::Start(int socket, int events) {
  socket_ = socket;
  last_traffic = loop_->Now();
  ev_io_init(
      &io_,
      [](struct ev_loop*, ev_io* w, int received) { static_cast<Connection*>(w->data)->OnEvent(received); },
      socket_, events);
  io_.data = this;
  if (socket_ < 0) return;
  sys::SetOption(socket_, IPPROTO_TCP, TCP_NODELAY, 1);
  reports_remaining_ = sys::SetOption(socket_, IPPROTO_TCP, TCP_INQ, 1) == 0;
  ev_io_start(loop_->raw(), &io_);
}

void Connection::SetHighPriority() {
  ev_io_stop(loop_->raw(), &io_);
  ev_set_priority(&io_, EV_MAXPRI);
  ev_io_start(loop_->raw(), &io_);
  loop_->InjectEvent(&io_, EV_READ);
}

std::string* Connection::write_queue() {
  if (!flush_scheduled_) loop_->ScheduleFlush(this);
  flush_scheduled_ = true;
  last_traffic = loop_->Now();
  loop_->AcquireBuffer(&queue_);
  return &queue_;
}

void Connection::AppendBlock(const BlockPool::Ref& block, std::size_t from, std::size_t to) {
  if (from == to) return;
  slices_.push_back({write_queue()->size(), block, from, to});
  queued_block_bytes_ += to - from;
}

// Writes bytes of the queue and the block slices between them in one system call.
ssize_t Connection::WriteOnce() {
  if (first_slice_ == slices_.size())
    return sys::Send(socket_, queue_.data() + written_, queue_.size() - written_);
  std::array<iovec, kMaxWriteParts> parts;
  std::size_t count = 0, at = written_;
  for (std::size_t i = first_slice_; count + 2 < parts.size() && i <= slices_.size(); ++i) {
    const std::size_t until = i < slices_.size() ? slices_[i].at : queue_.size();
    if (at < until) parts[count++] = {queue_.data() + at, until - at};
    at = until;
    if (i == slices_.size()) break;
    const BlockSlice& slice = slices_[i];
    parts[count++] = {slice.block.data() + slice.from, slice.to - slice.from};
  }
  return sys::SendVector(socket_, parts.data(), count);
}

// Removes written bytes from the queue. A write may end anywhere, also in the middle of a slice.
void Connection::AdvanceQueue(std::size_t bytes) {
  bytes_sent_ += bytes;
  while (bytes > 0) {
    const std::size_t until = first_slice_ < slices_.size() ? slices_[first_slice_].at : queue_.size();
    const std::size_t queue_bytes = std::min(bytes, until - written_);
    written_ += queue_bytes;
    bytes -= queue_bytes;
    if (bytes == 0) return;
    BlockSlice& slice = slices_[first_slice_];
    const std::size_t slice_bytes = std::min(bytes, slice.to - slice.from);
    slice.from += slice_bytes;
    queued_block_bytes_ -= slice_bytes;
    bytes -= slice_bytes;
    if (slice.from < slice.to) return;
    slice.block = {};
    ++first_slice_;
  }
}

void Connection::Flush() {
  flush_scheduled_ = false;
  if (broken_) ClearQueue();
  if (!up()) return;
  while (!flushed()) {
    const ssize_t sent = WriteOnce();
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      OnWriteError();
      return;
    }
    if (sent < 0) break;
    AdvanceQueue(static_cast<std::size_t>(sent));
    if ((io_.events & EV_WRITE) != 0) last_traffic = loop_->Now();  // the peer reads, slowly
  }
  if (flushed()) {
    loop_->ReleaseBuffer(&queue_);
    slices_.clear();
    written_ = first_slice_ = 0;
    if (shutting_down_ && !std::exchange(write_side_shut_, true)) sys::Shutdown(socket_, SHUT_WR);
  } else if (pending() > kMaxQueuedBytes) {  // the peer reads nothing: bounds the memory
    ++counters.stuck_writes;
    CloseAndNotify(CloseReason::kOverflow);
    return;
  }
  UpdateWatcher();
}

void Connection::ShutdownAfterFlush(InputMode input_mode) {
  if (!up() || shutting_down_) return;
  shutting_down_ = true;
  reads_after_shutdown_ = input_mode == InputMode::kContinueReading;
  Flush();
}

// Messages that the peer sent before it reset the connection may still be unread. They would be lost if the
// connection were closed at the failed write, so they are read first.
void Connection::OnWriteError() {
  const bool reset_by_peer = errno == EPIPE || errno == ECONNRESET;
  if (!reset_by_peer || !IsReading()) {  // no read would report the end of the connection
    CloseAndNotify(CloseReason::kReset);
    return;
  }
  ++counters.writes_failed;
  broken_ = true;
  ClearQueue();
  UpdateWatcher();
}

void Connection::ClearQueue() {
  queue_.clear();
  loop_->ReleaseBuffer(&queue_);
  slices_.clear();  // releases the blocks
  written_ = first_slice_ = queued_block_bytes_ = 0;
}

std::size_t Connection::UnreadBytes() const {
  int bytes = 0;
  return open() && sys::UnreadBytes(socket_, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

InputState Connection::PeekInput() const {
  if (!open() || broken_) return InputState::kEnd;
  const bool watched = (io_.events & EV_READ) != 0;
  const bool polled_recently = loop_->Now() - loop_->polled_at() < kRecentPoll;
  if (watched && polled_recently && !left_unread_ && !ev_is_pending(&io_)) return InputState::kNone;
  const short ready = sys::Poll(socket_, POLLIN | POLLRDHUP);
  if ((ready & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return InputState::kEnd;
  return (ready & POLLIN) != 0 ? InputState::kBytes : InputState::kNone;
}

void Connection::ReadToEnd() {
  if (!open() || !IsReading()) return;
  reads_to_end_ = true;
  UpdateWatcher();
}

bool Connection::HasSent(std::uint64_t position) const {
  int unsent = 0;
  if (!up() || sys::UnsentBytes(socket_, &unsent) != 0) return false;
  return position + static_cast<std::uint64_t>(unsent) <= bytes_sent_;
}

bool Connection::HasDelivered(std::uint64_t position) const {
  if (!up()) return false;
  if (position <= bytes_delivered_) return true;
  int unacknowledged = 0;
  if (sys::UnacknowledgedBytes(socket_, &unacknowledged) != 0) return false;
  // The kernel counts a shutdown of the write side that was sent as one byte more.
  const std::uint64_t open_bytes = std::min(bytes_sent_, static_cast<std::uint64_t>(unacknowledged));
  bytes_delivered_ = std::max(bytes_delivered_, bytes_sent_ - open_bytes);
  return position <= bytes_delivered_;
}

bool Connection::HasUnsentBytes() const {
  if (!up()) return false;
  int bytes = 0;
  return blocked() || (sys::UnsentBytes(socket_, &bytes) == 0 && bytes > 0);
}

void Connection::UpdateWatcher() {
  const bool read = IsReading() && (reads_to_end_ || pending() < kReadPauseBytes);
  const int events = (read ? EV_READ : 0) | (flushed() ? 0 : EV_WRITE);
  if ((io_.events & (EV_READ | EV_WRITE)) == events) return;
  ev_io_stop(loop_->raw(), &io_);
  ev_io_set(&io_, socket_, events);
  if (events != 0) ev_io_start(loop_->raw(), &io_);
}

void Connection::Close() {
  loop_->CancelFlush(this);
  ev_clear_pending(loop_->raw(), &io_);
  ev_io_stop(loop_->raw(), &io_);
  if (socket_ >= 0) sys::Close(socket_);
  socket_ = -1;
  dialing_ = false;
  ClearQueue();
}

void Connection::Abort() {
  const linger now{1, 0};
  if (socket_ >= 0) ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  Close();
}

void Connection::CloseAndNotify(CloseReason reason) {
  Close();
  handler_->OnClosed(*this, reason);
}

void Connection::OnEvent(int events) {
  if (dialing_) {
    if (dial_error_ == 0) sys::GetOption(socket_, SOL_SOCKET, SO_ERROR, &dial_error_);
    if (dial_error_ != 0) {
      CloseAndNotify(dial_error_ == ECONNREFUSED ? CloseReason::kRefused : CloseReason::kReset);
      return;
    }
    dialing_ = false;
    UpdateWatcher();
    handler_->OnConnected(*this);
    return;
  }
  if (events & EV_WRITE) Flush();
  if (open() && IsReading() && (events & EV_READ)) Read();
}

// One read in each iteration of the loop, so that a peer that sends at full speed does not starve others.
void Connection::Read() {
  char* const buffer = loop_->read_buffer();
  const std::size_t kept = incomplete_message_.size();
  if (kept >= EventLoop::kReadBufferBytes / 2) {  // longer than any valid message
    CloseAndNotify(CloseReason::kOverflow);
    return;
  }
  std::memcpy(buffer, incomplete_message_.data(), kept);
  counters.bytes_kept += kept;
  constexpr std::size_t kMaxReadBytes = EventLoop::kReadBufferBytes / 2;
  const ssize_t received = reports_remaining_ ? sys::ReceiveAndReportRemaining(socket_, buffer + kept,
                                                                               kMaxReadBytes, &left_unread_)
                                              : sys::Recv(socket_, buffer + kept, kMaxReadBytes);
  if (!reports_remaining_) left_unread_ = received == static_cast<ssize_t>(kMaxReadBytes);
  if (received < 0 && !broken_ && (errno == EINTR || errno == EAGAIN || errno == EWOULDBLOCK)) return;
  if (received <= 0) {
    CloseAndNotify(received == 0 && !broken_ ? CloseReason::kClosed : CloseReason::kReset);
    return;
  }
  bytes_read_ += static_cast<std::uint64_t>(received);
  last_traffic = loop_->Now();
  const std::string_view data(buffer, kept + static_cast<std::size_t>(received));
  const std::size_t consumed = handler_->OnData(*this, data);
  if (!open() || !IsReading()) return;
  if (consumed == data.size()) {
    loop_->ReleaseBuffer(&incomplete_message_);
    incomplete_message_since = 0;
  } else {
    if (consumed > 0 || kept == 0) incomplete_message_since = last_traffic;
    loop_->AcquireBuffer(&incomplete_message_);
    incomplete_message_.assign(data.substr(consumed));
    counters.bytes_kept += incomplete_message_.size();
  }
}

}  // namespace cluster_manager
