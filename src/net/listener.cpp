#include "net/listener.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>

#include "net/counters.h"
#include "net/log.h"
#include "net/network_error.h"
#include "net/sys.h"

namespace cluster_manager {
namespace {

constexpr int kBacklog = 1024;
constexpr Time kRetryDelay = 10 * kMs;
constexpr int kMaxAcceptsPerIteration = 64;  // bounds the time that other events wait

}  // namespace

Listener::Listener(EventLoop* loop, const sockaddr_in& address, std::function<void(int)> on_accepted,
                   int priority)
    : loop_(loop), on_accepted_(std::move(on_accepted)) {
  socket_ = sys::Socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket_ >= 0) sys::SetOption(socket_, SOL_SOCKET, SO_REUSEADDR, 1);
  if (socket_ < 0 || ::bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(socket_, kBacklog) != 0) {
    const std::string problem = std::strerror(errno);
    if (socket_ >= 0) sys::Close(socket_);
    throw NetworkError("cannot listen: " + problem);
  }
  InitWatcher(priority);
  Resume();
}

Listener::Listener(EventLoop* loop, int listening, std::function<void(int)> on_accepted)
    : loop_(loop), on_accepted_(std::move(on_accepted)), socket_(listening) {
  int listens = 0;
  const int flags = ::fcntl(socket_, F_GETFL);
  if (flags < 0 || sys::GetOption(socket_, SOL_SOCKET, SO_ACCEPTCONN, &listens) != 0 || listens == 0 ||
      ::fcntl(socket_, F_SETFL, flags | O_NONBLOCK) != 0) {
    throw NetworkError("descriptor " + std::to_string(listening) + " is not a listening socket");
  }
  ::fcntl(socket_, F_SETFD, FD_CLOEXEC);
  InitWatcher(0);
}

Listener::~Listener() { Close(); }

void Listener::InitWatcher(int priority) {
  ev_io_init(
      &io_, [](struct ev_loop*, ev_io* w, int) { static_cast<Listener*>(w->data)->Accept(); }, socket_,
      EV_READ);
  io_.data = this;
  ev_set_priority(&io_, priority);
}

void Listener::Resume() {
  if (socket_ >= 0) ev_io_start(loop_->raw(), &io_);
}

void Listener::Close() {
  if (socket_ < 0) return;
  loop_->Cancel(retry_timer_);
  ev_clear_pending(loop_->raw(), &io_);
  ev_io_stop(loop_->raw(), &io_);
  sys::Close(socket_);
  socket_ = -1;
}

sockaddr_in Listener::address() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

Listener::AcceptResult Listener::AcceptOne() {
  const int accepted = sys::Accept(socket_, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted >= 0) {
    on_accepted_(accepted);
    return AcceptResult::kAccepted;
  }
  if (errno == EINTR || errno == ECONNABORTED) return AcceptResult::kAccepted;
  if (errno == EAGAIN || errno == EWOULDBLOCK) return AcceptResult::kQueueEmpty;
  ++counters.accept_failed;
  return AcceptResult::kFailed;
}

void Listener::Accept() {
  for (int i = 0; i < kMaxAcceptsPerIteration; ++i) {
    const AcceptResult result = AcceptOne();
    if (result == AcceptResult::kAccepted) continue;
    if (result == AcceptResult::kQueueEmpty) return;
    // Descriptors have run out. Queued connections are not lost, but the socket stays readable: without a
    // pause the loop would spin.
    Log("accept: %s; trying again", std::strerror(errno));
    ev_io_stop(loop_->raw(), &io_);
    retry_timer_ = loop_->After(kRetryDelay, [this] { ev_io_start(loop_->raw(), &io_); });
    return;
  }
}

bool Listener::AcceptAll() {
  if (socket_ < 0) return true;
  // The queue held at most kBacklog + 1 connections at the time of the call.
  for (int i = 0; i <= kBacklog; ++i) {
    const AcceptResult result = AcceptOne();
    if (result != AcceptResult::kAccepted) return result == AcceptResult::kQueueEmpty;
  }
  return true;
}

}  // namespace cluster_manager
