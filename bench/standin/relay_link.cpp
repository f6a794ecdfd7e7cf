#include "relay_link.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "common.h"
#include "relay_pair.h"

namespace cluster_manager::standin {

using protocol::Message;
using protocol::Type;

Link::Link(Pair* pair, int number, int dialled, int onward) : pair_(pair), number_(number) {
  sides_[0].socket = dialled;
  sides_[1].socket = onward;
  for (Side& side : sides_) {
    const int on = 1;
    setsockopt(side.socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ev_io_init(
        &side.io,
        [](struct ev_loop*, ev_io* w, int events) {
          Link* link = static_cast<Link*>(w->data);
          link->OnEvent(w == &link->sides_[0].io ? &link->sides_[0] : &link->sides_[1], events);
        },
        side.socket, EV_READ);
    side.io.data = this;
    ev_io_start(pair_->network->loop->raw(), &side.io);
  }
}

Link::~Link() {
  for (Side& side : sides_) {
    ev_io_stop(pair_->network->loop->raw(), &side.io);
    if (side.socket >= 0) ::close(side.socket);
  }
}

void Link::OnEvent(Side* side, int events) {
  if (events & EV_WRITE) Write(side);
  if (!over_ && (events & EV_READ) && !side->done_in) Read(side);
  Check();
}

void Link::Read(Side* side) {
  char bytes[65536];
  const ssize_t got = ::recv(side->socket, bytes, sizeof bytes, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  const Direction direction = side == &sides_[0] ? kThere : kBack;
  if (got <= 0) {
    side->done_in = true;
    if (direction == kThere && pair_->tapped)
      pair_->network->records->Write(pair_->name, "closed", {{"link", std::to_string(number_)}});
    Push(direction, "", got == 0 ? Last::kFin : Last::kReset);
    Watch(side);
    return;
  }
  std::string data(bytes, static_cast<std::size_t>(got));
  if (direction == kThere && pair_->tapped) {
    seen_ += data;
    bool malformed = false;
    const std::size_t taken = protocol::DecodeAll(seen_, &malformed, [&](const Message& m) {
      if (m.type == Type::kTaskRequest || m.type == Type::kRelease) {
        pair_->network->records->Write(pair_->name, m.type == Type::kTaskRequest ? "offered" : "released",
                                       {Id(m.task), {"link", std::to_string(number_)}});
      }
      return true;
    });
    seen_.erase(0, taken);
  }
  if (std::exchange(pair_->half, false)) {
    Push(direction, data.substr(0, data.size() / 2), Last::kReset);
    side->done_in = true;
    Watch(side);
    return;
  }
  Push(direction, std::move(data), Last::kNone);
}

void Link::Push(Direction direction, std::string bytes, Last last) {
  std::deque<Chunk>& lane = lanes_[direction];
  const Time now = pair_->network->loop->Now();
  const Time jitter = static_cast<Time>(Draw(&pair_->network->random) * static_cast<double>(pair_->jitter));
  const Time due = std::max(now + pair_->delay + jitter, lane.empty() ? 0 : lane.back().due);
  lane.push_back({due, std::move(bytes), last});
  if (due <= now) {
    Pump(direction);
    return;
  }
  pair_->network->loop->At(due, [pair = pair_] { pair->Pass(); });
}

void Link::Pump(Direction direction) {
  std::deque<Chunk>& lane = lanes_[direction];
  Side& from = sides_[direction == kThere ? 0 : 1];
  Side& to = sides_[direction == kThere ? 1 : 0];
  while (!over_ && !lane.empty() && !pair_->Held(direction) &&
         lane.front().due <= pair_->network->loop->Now()) {
    const Chunk chunk = std::move(lane.front());
    lane.pop_front();
    to.out += chunk.bytes;
    if (chunk.last == Last::kFin) to.fin_wanted = true;
    Write(&to);
    if (chunk.last == Last::kReset) {
      Abort(&to);
      Abort(&from);
      over_ = true;
    }
  }
}

void Link::Write(Side* side) {
  while (side->socket >= 0 && !side->out.empty()) {
    const ssize_t sent = ::send(side->socket, side->out.data(), side->out.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && (errno == EAGAIN || errno == ENOTCONN)) break;
    if (sent < 0) {  // the other side is told so when its own direction gets there
      side->out.clear();
      side->fin_sent = true;
      if (!std::exchange(side->done_in, true)) Push(side == &sides_[0] ? kThere : kBack, "", Last::kReset);
      break;
    }
    side->out.erase(0, static_cast<std::size_t>(sent));
  }
  if (side->socket >= 0 && side->out.empty() && side->fin_wanted && !std::exchange(side->fin_sent, true))
    ::shutdown(side->socket, SHUT_WR);
  Watch(side);
}

void Link::Watch(Side* side) {
  if (side->socket < 0) return;
  const int events = (side->done_in ? 0 : EV_READ) | (side->out.empty() ? 0 : EV_WRITE);
  if ((side->io.events & (EV_READ | EV_WRITE)) == events) return;
  ev_io_stop(pair_->network->loop->raw(), &side->io);
  ev_io_set(&side->io, side->socket, events);
  if (events != 0) ev_io_start(pair_->network->loop->raw(), &side->io);
}

void Link::Abort(Side* side) {
  if (side->socket < 0) return;
  const linger now{1, 0};
  setsockopt(side->socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ev_io_stop(pair_->network->loop->raw(), &side->io);
  ::close(std::exchange(side->socket, -1));
}

void Link::Reset() {
  if (pair_->tapped && !std::exchange(sides_[0].done_in, true))
    pair_->network->records->Write(pair_->name, "closed", {{"link", std::to_string(number_)}});
  for (Side& side : sides_) Abort(&side);
  over_ = true;
}

void Link::Check() {
  if (!over_ && sides_[0].fin_sent && sides_[1].fin_sent) over_ = true;
  if (over_) pair_->network->loop->After(0, [pair = pair_] { pair->Pass(); });
}

}  // namespace cluster_manager::standin
