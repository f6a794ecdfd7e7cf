// Races between events on one connection: received bytes and a reset, a write and an unread end of the
// stream, a dial that fails immediately and the wait of the event loop. Uses TCP sockets and an event loop in
// this process.
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <optional>
#include <string>

#include "net/connection.h"
#include "net/counters.h"
#include "net/loop.h"

namespace cluster_manager {
namespace {

struct Recorder final : Connection::Handler {
  std::size_t OnData(Connection& connection, std::string_view data) override {
    received += data;
    if (on_data) on_data(connection);
    return data.size();
  }
  void OnClosed(Connection&, CloseReason reason) override {
    ending = reason;
    if (on_end) on_end();
  }
  std::string received;
  std::optional<CloseReason> ending;
  std::function<void(Connection&)> on_data;
  std::function<void()> on_end;
};

// A connected pair of TCP sockets on loopback: a Connection at one end, a plain socket at the other.
struct TcpPair {
  TcpPair() {
    const int listening = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(::bind(listening, reinterpret_cast<const sockaddr*>(&address), size) == 0);
    REQUIRE(::listen(listening, 1) == 0);
    REQUIRE(::getsockname(listening, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    peer = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(::connect(peer, reinterpret_cast<const sockaddr*>(&address), size) == 0);
    const int accepted = ::accept4(listening, nullptr, nullptr, SOCK_NONBLOCK);
    REQUIRE(accepted >= 0);
    ::close(listening);
    connection.emplace(&loop, accepted, &handler);
    handler.on_end = [this] { loop.Stop(); };
  }
  ~TcpPair() {
    if (peer >= 0) ::close(peer);
  }
  void PeerWrites(std::string_view bytes) const {
    REQUIRE(::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  void PeerCloses() { ::close(std::exchange(peer, -1)); }
  void PeerResets() {
    const linger reset_on_close{1, 0};
    REQUIRE(::setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close) == 0);
    PeerCloses();
  }
  // Runs the loop until the connection ends, for at most a second, which is ample.
  void Run() {
    loop.After(kSecond, [this] { loop.Stop(); });
    loop.Run();
  }

  EventLoop loop;
  Recorder handler;
  int peer = -1;
  std::optional<Connection> connection;
};

TEST_CASE("data received before a reset is read even if a write detects the reset first") {
  TcpPair pair;
  pair.PeerWrites("the answer");
  pair.PeerResets();
  *pair.connection->write_queue() += "a request that crosses it";
  pair.connection->Flush();
  CHECK_FALSE(pair.connection->up());
  pair.Run();
  CHECK(pair.handler.received == "the answer");
  REQUIRE(pair.handler.ending);
  CHECK(*pair.handler.ending == CloseReason::kReset);
}

TEST_CASE("after a failed write nothing is queued and the connection ends once") {
  TcpPair pair;
  int ends = 0;
  pair.handler.on_end = [&] {
    ++ends;
    pair.loop.Stop();
  };
  pair.PeerResets();
  const std::uint64_t before = counters.writes_failed;
  for (int i = 0; i < 3; ++i) {
    *pair.connection->write_queue() += "more";
    pair.connection->Flush();
    CHECK(pair.connection->flushed());
  }
  CHECK(counters.writes_failed == before + 1);
  pair.Run();
  CHECK(ends == 1);
}

TEST_CASE("the end of the stream after the received bytes is detected without another read") {
  TcpPair pair;
  pair.PeerWrites("a request");
  std::optional<InputState> ahead;
  pair.handler.on_data = [&](Connection& connection) { ahead = connection.PeekInput(); };
  SUBCASE("closed") {
    pair.PeerCloses();
    pair.Run();
    REQUIRE(ahead);
    CHECK(*ahead == InputState::kEnd);
  }
  SUBCASE("half closed") {
    REQUIRE(::shutdown(pair.peer, SHUT_WR) == 0);
    pair.Run();
    REQUIRE(ahead);
    CHECK(*ahead == InputState::kEnd);
  }
  SUBCASE("open") {
    pair.handler.on_data = [&](Connection& connection) {
      ahead = connection.PeekInput();
      pair.loop.Stop();
    };
    pair.Run();
    REQUIRE(ahead);
    CHECK(*ahead == InputState::kNone);
  }
}

TEST_CASE("data that arrived in the current loop iteration is detected before its event is handled") {
  TcpPair first;
  // A second connection on the same loop, whose events are handled before or after those of the first.
  TcpPair other;
  Recorder handler;
  const int duplicate = ::dup(other.peer);
  REQUIRE(duplicate >= 0);
  Connection second(&first.loop, duplicate, &handler);
  int checked = 0;
  const auto check = [&](const Connection& connection, const Recorder& recorder) {
    if (!recorder.received.empty()) return;  // its event was handled first: no data is left to detect
    ++checked;
    CHECK(connection.PeekInput() == InputState::kBytes);
  };
  first.handler.on_data = [&](Connection&) { check(second, handler); };
  handler.on_data = [&](Connection&) { check(*first.connection, first.handler); };
  first.PeerWrites("one");
  *other.connection->write_queue() += "two";
  other.connection->Flush();
  first.loop.After(50 * kMs, [&] { first.loop.Stop(); });
  first.loop.Run();
  CHECK(checked == 1);
}

TEST_CASE(
    "a dial from a timer callback that fails immediately is reported without waiting for the next timer") {
  EventLoop loop;
  Recorder handler;
  sockaddr_in unreachable{};
  unreachable.sin_family = AF_INET;
  unreachable.sin_addr.s_addr = htonl(INADDR_BROADCAST);  // the connect call itself fails
  unreachable.sin_port = htons(9);
  std::optional<Connection> connection;
  bool timer_fired = false;
  // This callback adds the earliest remaining timer. A loop that had already computed its wait would miss it.
  handler.on_end = [&] {
    loop.After(kMs, [&] {
      timer_fired = true;
      loop.Stop();
    });
  };
  loop.After(kMs, [&] { connection.emplace(&loop, unreachable, &handler); });
  bool long_timer_fired = false;
  loop.After(5 * kSecond, [&] {
    long_timer_fired = true;
    loop.Stop();
  });
  loop.Run();
  CHECK(handler.ending);
  CHECK(timer_fired);
  CHECK_FALSE(long_timer_fired);
}

}  // namespace
}  // namespace cluster_manager
