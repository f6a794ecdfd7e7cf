// Where two events cross on one connection: a reset and bytes before it, a write and an end that was not
// read, a dial that fails at once and the loop's sleep. On TCP sockets and a loop in this process.
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
    got += data;
    if (on_data) on_data(connection);
    return data.size();
  }
  void OnClosed(Connection&, CloseReason how) override {
    ending = how;
    if (on_end) on_end();
  }
  std::string got;
  std::optional<CloseReason> ending;
  std::function<void(Connection&)> on_data;
  std::function<void()> on_end;
};

// A connected pair of TCP sockets on loopback: a Connection on one end, the bare socket on the other.
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
    const linger now{1, 0};
    REQUIRE(::setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof now) == 0);
    PeerCloses();
  }
  // Runs until the connection ends; a second is far more than that takes.
  void Run() {
    loop.After(kSecond, [this] { loop.Stop(); });
    loop.Run();
  }

  EventLoop loop;
  Recorder handler;
  int peer = -1;
  std::optional<Connection> connection;
};

TEST_CASE("what came before a reset is read, though a write meets the reset first") {
  TcpPair pair;
  pair.PeerWrites("the answer");
  pair.PeerResets();
  *pair.connection->write_queue() += "a request that crosses it";
  pair.connection->Flush();
  CHECK_FALSE(pair.connection->up());
  pair.Run();
  CHECK(pair.handler.got == "the answer");
  REQUIRE(pair.handler.ending);
  CHECK(*pair.handler.ending == CloseReason::kReset);
}

TEST_CASE("after a write that failed nothing is queued, and the connection ends once") {
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

TEST_CASE("the end of the stream behind the bytes at hand is seen without another read") {
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

TEST_CASE("what came in the turn at hand is seen before its event is handled") {
  TcpPair first;
  // A second connection on the same loop, whose events are handled before or after those of the first.
  TcpPair other;
  Recorder handler;
  const int moved = ::dup(other.peer);
  REQUIRE(moved >= 0);
  Connection second(&first.loop, moved, &handler);
  int looked = 0;
  const auto look = [&](const Connection& connection, const Recorder& its) {
    if (!its.got.empty()) return;  // its event came first: nothing is left to see
    ++looked;
    CHECK(connection.PeekInput() == InputState::kBytes);
  };
  first.handler.on_data = [&](Connection&) { look(second, handler); };
  handler.on_data = [&](Connection&) { look(*first.connection, first.handler); };
  first.PeerWrites("one");
  *other.connection->write_queue() += "two";
  other.connection->Flush();
  first.loop.After(50 * kMs, [&] { first.loop.Stop(); });
  first.loop.Run();
  CHECK(looked == 1);
}

TEST_CASE("a dial that fails at once, out of a deadline, is not waited with") {
  EventLoop loop;
  Recorder handler;
  sockaddr_in nowhere{};
  nowhere.sin_family = AF_INET;
  nowhere.sin_addr.s_addr = htonl(INADDR_BROADCAST);  // refused by the kernel in the call itself
  nowhere.sin_port = htons(9);
  std::optional<Connection> dialled;
  bool heard = false;
  // The only deadline that is left when the failure is handled hangs then: a loop that sleeps on it forgets
  // it.
  handler.on_end = [&] {
    loop.After(kMs, [&] {
      heard = true;
      loop.Stop();
    });
  };
  loop.After(kMs, [&] { dialled.emplace(&loop, nowhere, &handler); });
  bool slept = false;
  loop.After(5 * kSecond, [&] {
    slept = true;
    loop.Stop();
  });
  loop.Run();
  CHECK(handler.ending);
  CHECK(heard);
  CHECK_FALSE(slept);
}

}  // namespace
}  // namespace cluster_manager
