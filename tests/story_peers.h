// Scripted peers for integration tests: clients, nodes and discovery on blocking loopback sockets. Every wait
// is for an event; the limit only turns a hang into a failure.
#pragma once

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/connection.h"
#include "protocol/message.h"

namespace cluster_manager::story {

using protocol::Cause;
using protocol::Code;
using protocol::TaskId;
using protocol::Type;

constexpr int kLimitMs = 10'000;

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  REQUIRE(ParseAddress("127.0.0.1:" + std::to_string(port), &address));
  return address;
}

// Turns a loop that waits for what never comes into a failure.
class Patience {
 public:
  void Check() const { REQUIRE_MESSAGE(std::chrono::steady_clock::now() < until_, "waited in vain"); }

 private:
  const std::chrono::steady_clock::time_point until_ =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(3 * kLimitMs);
};

struct Heard {  // a message that outlives its buffer
  Type type{};
  TaskId task = 0;
  int cause = -1;
  std::string class_name, wait, name, key, description, stay_away;
};

class Wire {  // one blocking connection
 public:
  explicit Wire(int socket) : socket_(socket) { REQUIRE(socket >= 0); }
  static Wire To(int port) {
    Wire wire(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in address = Loopback(port);
    REQUIRE(::connect(wire.socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return wire;
  }
  Wire(Wire&& o) noexcept : socket_(std::exchange(o.socket_, -1)), in_(std::move(o.in_)) {}
  Wire& operator=(Wire&& o) noexcept {
    std::swap(socket_, o.socket_);
    std::swap(in_, o.in_);
    return *this;
  }
  ~Wire() { Close(); }

  void Close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
  }
  void Narrow() const {  // little room for what was not read yet
    const int room = 32 * 1024;
    REQUIRE(::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &room, sizeof room) == 0);
  }
  void Reset() {  // as a process that dies
    const linger now{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }
  void HalfClose() const { REQUIRE(::shutdown(socket_, SHUT_WR) == 0); }
  // The other side has ended it, and nothing is left to hear.
  bool Ended() const {
    char byte = 0;
    return in_.empty() && Readable() && ::recv(socket_, &byte, 1, MSG_PEEK) <= 0;
  }
  void Raw(std::string_view bytes) {
    REQUIRE(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  template <typename Fill>
  void Say(Type type, TaskId task, Fill fill) {
    std::string bytes;
    {
      protocol::Writer writer(&bytes, type, task);
      fill(writer);
    }
    Raw(bytes);
  }
  void Say(Type type, TaskId task) {
    Say(type, task, [](protocol::Writer&) {});
  }
  void Say(Type type, TaskId task, Cause cause) {
    Say(type, task, [cause](protocol::Writer& w) { w.Add(cause); });
  }
  void Answer(TaskId task, std::string_view description) {
    Say(Type::kTaskAccepted, task, [&](protocol::Writer& w) { w.Add(Code::kDescription, description); });
  }
  bool Readable(int ms = 0) const {
    pollfd wait{socket_, POLLIN, 0};
    return ::poll(&wait, 1, ms) > 0;
  }
  // A message is here already, or bytes of one come in time.
  bool Speaks(int ms) const {
    protocol::Message m;
    std::size_t size = 0;
    return protocol::Decode(in_, &m, &size) == protocol::DecodeStatus::kMessage || Readable(ms);
  }
  // More bytes; empty where the other side has closed.
  std::string Bytes() {
    REQUIRE_MESSAGE(Readable(kLimitMs), "nothing came");
    char bytes[4096];
    const ssize_t got = ::recv(socket_, bytes, sizeof bytes, 0);
    return got <= 0 ? "" : std::string(bytes, static_cast<std::size_t>(got));
  }
  bool Closed() { return Bytes().empty(); }
  Heard Hear() {
    protocol::Message m;
    std::size_t size = 0;
    while (protocol::Decode(in_, &m, &size) != protocol::DecodeStatus::kMessage) {
      const std::string more = Bytes();
      REQUIRE_MESSAGE(!more.empty(), "closed before a message came");
      in_ += more;
    }
    const auto text = [&m](Code code) { return std::string(m.Get(code)); };
    const Heard heard{m.type,
                      m.task,
                      m.CauseOr(-1),
                      text(Code::kClass),
                      text(Code::kTimeoutMs),
                      text(Code::kName),
                      text(Code::kIdempotencyKey),
                      text(Code::kDescription),
                      text(Code::kRetryAfterMs)};
    in_.erase(0, size);
    return heard;
  }
  Heard Hear(Type type, TaskId task) {
    const Heard heard = Hear();
    CHECK(heard.type == type);
    CHECK(heard.task == task);
    return heard;
  }
  // Nothing was said before the answer to this test: what the program owes in order, it has written.
  void NothingElse() {
    const TaskId mark = 0xfeedULL << 32;
    Say(Type::kHealthCheck, mark, Cause::kHealthCheckFailed);
    Hear(Type::kHealthCheckResult, mark);
  }

 private:
  int socket_;
  std::string in_;
};

// A listening socket of a node or of discovery, on a port that the kernel chose. The port stays reserved for
// the lifetime of the object: while it is closed, connects are refused, and no other process can be given the
// port.
class Port {
 public:
  Port() {
    reservation_ = BoundSocket();
    sockaddr_in address{};
    socklen_t size = sizeof address;
    REQUIRE(getsockname(reservation_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    number_ = ntohs(address.sin_port);
    Open();
  }
  ~Port() {
    Close();
    ::close(reservation_);
  }
  Port(const Port&) = delete;
  Port& operator=(const Port&) = delete;

  int number() const { return number_; }
  int socket() const { return socket_; }
  std::string endpoint() const { return "127.0.0.1:" + std::to_string(number_); }
  bool Dialled(int ms = 0) const {
    pollfd wait{socket_, POLLIN, 0};
    return ::poll(&wait, 1, ms) > 0;
  }
  // What is accepted from now on has little room for what was not read yet.
  void Narrow() {
    const int room = 4096;
    REQUIRE(::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &room, sizeof room) == 0);
  }
  Wire Accept() {
    std::optional<Wire> wire;
    while (!(wire = AcceptWaiting())) REQUIRE_MESSAGE(Dialled(kLimitMs), "nobody dialled");
    return std::move(*wire);
  }
  // A connection that waits to be accepted, if there is one; those that clogged the port are none.
  std::optional<Wire> AcceptWaiting() {
    while (Dialled()) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      Wire wire(::accept(socket_, reinterpret_cast<sockaddr*>(&from), &size));
      if (!own_.contains(from.sin_port)) return wire;
    }
    return std::nullopt;
  }
  void Close() {
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
    for (const int each : std::exchange(clogged_, {})) ::close(each);
  }
  // Listens; after Close, as another process at the same address.
  void Open() {
    socket_ = BoundSocket();
    REQUIRE(::listen(socket_, 64) == 0);
  }
  // From now on a dial is neither accepted nor refused, as where a machine is cut off.
  void Clog() {
    REQUIRE(::listen(socket_, 0) == 0);
    const sockaddr_in address = Loopback(number_);
    for (int i = 0; i < 4; ++i) {
      clogged_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      ::connect(clogged_.back(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
      sockaddr_in own{};
      socklen_t size = sizeof own;
      getsockname(clogged_.back(), reinterpret_cast<sockaddr*>(&own), &size);
      own_.insert(own.sin_port);
    }
  }
  // Dials come up again: one that hangs does so when the kernel tries it the next time, within seconds.
  void Unclog() {
    for (const int each : std::exchange(clogged_, {})) ::close(each);
    REQUIRE(::listen(socket_, 64) == 0);
  }

 private:
  // A socket bound to `number_`; while that is 0, to a port that the kernel chooses. Sockets with
  // SO_REUSEADDR can share a port as long as at most one of them listens, and the kernel chooses a shared
  // port for nobody else.
  int BoundSocket() const {
    const int bound = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(bound >= 0);
    const int on = 1;
    REQUIRE(::setsockopt(bound, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0);
    const sockaddr_in address = Loopback(number_);
    REQUIRE(::bind(bound, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return bound;
  }

  int reservation_ = -1;  // bound and never listening
  int socket_ = -1;
  int number_ = 0;
  std::vector<int> clogged_;
  std::set<in_port_t> own_;  // of the sockets that clogged it
};

}  // namespace cluster_manager::story
