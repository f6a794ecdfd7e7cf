// The network between processes: each pair has a listening address of its own, and what is dialled there goes
// on to the pair's target. By order a pair is cut in one direction or both (open connections stay open and
// silent, dials never come up), healed (what was held arrives late), slowed, reset, broken off within a
// message, taken down (dials are refused) and up. Of pairs named "mX>nY" it records what the cluster manager
// has written.
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common.h"

namespace willowrail::standin {
namespace {

using proto::Message;
using proto::Type;

enum Direction { kThere, kBack };  // from who dialled, and to it
enum class Last { kNone, kFin, kReset };

sockaddr_in Own(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

class Network;
class Pair;

// One dialled connection and the one that goes on from it.
class Link {
 public:
  Link(Pair* pair, int number, int dialled, int onward);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void Pump(Direction direction);
  void Reset();  // both sides, now
  bool over() const { return over_; }
  int number() const { return number_; }

 private:
  struct Chunk {
    Time due;
    std::string bytes;
    Last last;
  };
  struct Side {
    int socket = -1;
    ev_io io{};
    std::string out;
    bool done_in = false, fin_wanted = false, fin_sent = false;
  };
  void OnEvent(Side* side, int events);
  void Read(Side* side);
  void Push(Direction direction, std::string bytes, Last last);
  void Write(Side* side);
  void Watch(Side* side);
  void Abort(Side* side);
  void Check();

  Pair* pair_;
  const int number_;
  std::array<Side, 2> sides_;  // [0] who dialled, [1] the target
  std::array<std::deque<Chunk>, 2> lanes_;
  std::string seen_;  // of what was dialled with, not decoded yet
  bool over_ = false;
};

class Pair {
 public:
  Pair(Network* network, std::string name, const sockaddr_in& listen, const sockaddr_in& target);
  ~Pair();
  Pair(const Pair&) = delete;
  Pair& operator=(const Pair&) = delete;

  void Cut(bool there, bool back);
  void Heal();
  void Down();
  bool Up();
  void Reset();
  bool Held(Direction direction) const { return cut_[direction]; }
  void Pass();

  Network* const network;
  const std::string name;
  bool tapped;  // a cluster manager's to a node: what it writes is recorded
  sockaddr_in target;
  Time delay = 0, jitter = 0;
  bool half = false;  // the next chunk is broken off

 private:
  void Accept();
  void Clog();
  void Unclog();

  const sockaddr_in listen_;
  int socket_ = -1;
  ev_io io_{};
  std::array<bool, 2> cut_{};
  std::vector<int> clogs_;
  std::set<int> clog_ports_;
  std::vector<std::unique_ptr<Link>> links_;
  int last_ = 0;
};

class Network {
 public:
  Network(Loop* loop, Records* records, std::uint64_t seed) : loop(loop), records(records), random(seed, 9) {}
  Loop* loop;
  Records* records;
  pcg32 random;
  std::map<std::string, std::unique_ptr<Pair>> pairs;
};

// --- Links -------------------------------------------------------------------------------------------------
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
    const std::size_t taken = proto::DecodeAll(seen_, &malformed, [&](const Message& m) {
      if (m.type == Type::kSetUp || m.type == Type::kRelease) {
        pair_->network->records->Write(pair_->name, m.type == Type::kSetUp ? "offered" : "released",
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

// --- Pairs -------------------------------------------------------------------------------------------------
Pair::Pair(Network* its, std::string named, const sockaddr_in& listen, const sockaddr_in& to)
    : network(its), name(std::move(named)), target(to), listen_(listen) {
  const std::size_t mid = name.find(">n");
  tapped = name[0] == 'm' && mid != std::string::npos;
}
Pair::~Pair() {
  Unclog();
  Down();
}

bool Pair::Up() {
  if (socket_ >= 0) return true;
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(socket_, reinterpret_cast<const sockaddr*>(&listen_), sizeof listen_) != 0 ||
      ::listen(socket_, 128) != 0) {
    ::close(std::exchange(socket_, -1));
    return false;
  }
  ev_io_init(
      &io_, [](struct ev_loop*, ev_io* w, int) { static_cast<Pair*>(w->data)->Accept(); }, socket_, EV_READ);
  io_.data = this;
  if (cut_[kThere] || cut_[kBack]) {
    Clog();
  } else {
    ev_io_start(network->loop->raw(), &io_);
  }
  return true;
}

void Pair::Down() {
  if (socket_ < 0) return;
  ev_io_stop(network->loop->raw(), &io_);
  ::close(std::exchange(socket_, -1));
}

void Pair::Accept() {
  while (true) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    const int socket =
        ::accept4(socket_, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) return;
    if (clog_ports_.erase(ntohs(peer.sin_port)) > 0) {
      ::close(socket);
      continue;
    }
    const int onward = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ::connect(onward, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    links_.push_back(std::make_unique<Link>(this, ++last_, socket, onward));
  }
}

// A dial from now on is neither accepted nor refused: the queue of those to be accepted is full.
void Pair::Clog() {
  if (socket_ < 0) return;
  ev_io_stop(network->loop->raw(), &io_);
  Accept();
  ::listen(socket_, 0);
  for (int i = 0; i < 3; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ::connect(socket, reinterpret_cast<const sockaddr*>(&listen_), sizeof listen_);
    clog_ports_.insert(ntohs(Own(socket).sin_port));
    clogs_.push_back(socket);
  }
}
void Pair::Unclog() {
  for (const int socket : std::exchange(clogs_, {})) ::close(socket);
  if (socket_ < 0) return;
  ::listen(socket_, 128);
  ev_io_start(network->loop->raw(), &io_);
}

void Pair::Cut(bool there, bool back) {
  const bool before = cut_[kThere] || cut_[kBack];
  cut_ = {there, back};
  if (!before && (there || back)) Clog();
}
void Pair::Heal() {
  if (cut_[kThere] || cut_[kBack]) Unclog();
  cut_ = {};
  Pass();
}
void Pair::Reset() {
  for (const auto& link : links_) link->Reset();
  Pass();
}
// What is due is passed on; links that are over go.
void Pair::Pass() {
  for (std::size_t i = 0; i < links_.size(); ++i) {
    links_[i]->Pump(kThere);
    if (!links_[i]->over()) links_[i]->Pump(kBack);
  }
  std::erase_if(links_, [](const auto& link) { return link->over(); });
}

}  // namespace

// Orders: "pair NAME HOST:LISTEN TARGET_HOST:PORT" ("*" for the port that all pairs listen on), "target NAME
// HOST:PORT", "cut NAME there|back|both", "heal NAME", "slow NAME DELAY_MS JITTER_MS", "reset NAME", "half
// NAME", "down NAME", "up NAME", "sync" (told "synced" when all before is done).
int Relay(const Flags& flags) {
  Loop loop;
  Records records(&loop, flags.Text("records", ""));
  Network network(&loop, &records, static_cast<std::uint64_t>(flags.Number("seed", 1)));
  // One port for all pairs, free on the first address: each has an address of its own.
  int port = flags.Whole("port", 0);
  if (port == 0) {
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in any = Loopback(0);
    ::bind(probe, reinterpret_cast<const sockaddr*>(&any), sizeof any);
    port = ntohs(Own(probe).sin_port);
    ::close(probe);
  }
  Tell("port " + std::to_string(port));
  const auto address = [](const std::string& text) {
    const std::size_t colon = text.find(':');
    return Address(text.substr(0, colon), std::stoi(text.substr(colon + 1)));
  };
  Orders orders(&loop, [&](const std::string& line) {
    const std::vector<std::string> words = Words(line);
    if (words.empty()) return;
    if (words[0] == "sync") {
      Tell("synced");
      return;
    }
    if (words[0] == "pair" && words.size() == 4) {
      auto pair = std::make_unique<Pair>(&network, words[1], Address(words[2], port), address(words[3]));
      if (!pair->Up()) {
        std::fprintf(stderr, "relay: %s:%d cannot be listened on\n", words[2].c_str(), port);
        std::exit(2);
      }
      network.pairs[words[1]] = std::move(pair);
      return;
    }
    const auto it = words.size() > 1 ? network.pairs.find(words[1]) : network.pairs.end();
    if (it == network.pairs.end()) {
      std::fprintf(stderr, "relay: no such pair: %s\n", line.c_str());
      std::exit(2);
    }
    Pair& pair = *it->second;
    const std::string& what = words[0];
    if (what == "target") pair.target = address(words.at(2));
    if (what == "cut") pair.Cut(words.at(2) != "back", words.at(2) != "there");
    if (what == "heal") pair.Heal();
    if (what == "slow") {
      pair.delay = std::stoll(words.at(2)) * kMs;
      pair.jitter = std::stoll(words.at(3)) * kMs;
    }
    if (what == "reset") pair.Reset();
    if (what == "half") pair.half = true;
    if (what == "down") pair.Down();
    if (what == "up" && !pair.Up()) std::exit(2);
  });
  loop.Run();
  return 0;
}

}  // namespace willowrail::standin
