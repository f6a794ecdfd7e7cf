// The admin API on loopback sockets, with an event loop that runs between the steps of a caller.
#include "admin/admin.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "admin/calls.h"
#include "net/counters.h"

namespace cluster_manager {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr auto kTimeout = std::chrono::seconds(30);  // far longer than any step of these tests

struct FakeOperations final : OperatorCalls {
  bool Ready() const override { return ready; }
  std::string Metrics() const override { return R"({"open_requests":14})"; }
  bool Suspend(std::string_view agent) override { return Record("suspend ", agent); }
  bool Resume(std::string_view agent) override { return Record("resume ", agent); }
  void Drain() override { calls.push_back("drain"); }
  bool Activate() override {
    calls.push_back("activate");
    return !stopping;
  }
  bool Record(std::string call, std::string_view agent) {
    calls.push_back(call.append(agent));
    return agent != "nobody";
  }
  bool ready = true, stopping = false;
  std::vector<std::string> calls;
};

sockaddr_in AnyPort() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

struct Server {
  void RunOnce() { ev_run(loop.raw(), EVRUN_NOWAIT); }
  // Runs the loop until the condition holds; false where it does not within kTimeout.
  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto end = steady_clock::now() + kTimeout;
    while (!condition()) {
      if (steady_clock::now() > end) return false;
      RunOnce();
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    return true;
  }

  EventLoop loop;
  FakeOperations operations;
  Admin admin{&loop, AnyPort(), &operations};
};

class Peer {
 public:
  explicit Peer(Server* server) : server_(server), socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in to = server->admin.address();
    REQUIRE(::connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);  // queued
    ::fcntl(socket_, F_SETFL, O_NONBLOCK);
  }
  ~Peer() { ::close(socket_); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  int socket() const { return socket_; }
  bool Send(std::string_view text) const {
    return ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  }
  void HalfClose() const { ::shutdown(socket_, SHUT_WR); }
  void Reset() {
    const linger now{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(socket_);
    socket_ = -1;
  }
  // Reads what has arrived; true once the server has closed the connection.
  bool IsClosed() {
    char buffer[4096];
    for (;;) {
      const ssize_t received = ::recv(socket_, buffer, sizeof buffer, 0);
      if (received < 0 && errno == EAGAIN) return false;
      if (received <= 0) return true;
      received_.append(buffer, static_cast<std::size_t>(received));
    }
  }
  // Everything that is received until the server closes the connection.
  std::string ReadAnswer() {
    CHECK(server_->RunUntil([&] { return IsClosed(); }));
    return received_;
  }
  const std::string& received() const { return received_; }

 private:
  Server* server_;
  int socket_;
  std::string received_;
};

int Status(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 ") ? std::stoi(answer.substr(9, 3)) : 0;
}
std::string Body(const std::string& answer) {
  const std::size_t head = answer.find("\r\n\r\n");
  return head == std::string::npos ? "" : answer.substr(head + 4);
}
std::string Field(const std::string& answer, const std::string& name) {
  const std::size_t at = answer.find("\r\n" + name + ": ");
  if (at == std::string::npos || at > answer.find("\r\n\r\n")) return "";
  const std::size_t from = at + name.size() + 4;
  return answer.substr(from, answer.find("\r\n", from) - from);
}
std::string Error(const std::string& answer) {
  return json::parse(Body(answer)).at("error").get<std::string>();
}
std::string Request(const std::string& line) { return line + " HTTP/1.1\r\nHost: operators\r\n\r\n"; }

// Makes one call and checks what all answers have in common.
std::string Call(Server* server, const std::string& request) {
  Peer peer(server);
  CHECK(peer.Send(request));
  const std::string answer = peer.ReadAnswer();
  CHECK(Field(answer, "Connection") == "close");
  CHECK(Field(answer, "Content-Type") == "application/json");
  if (!request.starts_with("HEAD")) {
    CHECK(Field(answer, "Content-Length") == std::to_string(Body(answer).size()));
    CHECK(json::accept(Body(answer)));
  }
  return answer;
}

TEST_CASE("each call of the admin API runs its operation and is answered") {
  Server server;
  std::string answer = Call(&server, Request("GET /v1/readyz"));
  CHECK(Status(answer) == 200);
  CHECK(Body(answer) == R"({"ready":true})");
  server.operations.ready = false;
  answer = Call(&server, Request("GET /v1/readyz?why=1"));
  CHECK(Status(answer) == 503);
  CHECK(Body(answer) == R"({"ready":false})");
  answer = Call(&server, "GET /v1/metrics HTTP/1.0\r\n\r\n");
  CHECK(Status(answer) == 200);
  CHECK(Body(answer) == R"({"open_requests":14})");
  answer = Call(&server, Request("POST /v1/agents/s-1/suspend"));
  CHECK(Status(answer) == 200);
  CHECK(Body(answer) == R"({"agent":"s-1","suspended":true})");
  CHECK(Status(Call(&server, Request("POST /v1/agents/s%2D1%2f%c3%A9/resume"))) == 200);
  CHECK(Body(Call(&server, Request("POST /v1/cluster-manager/drain"))) == R"({"draining":true})");
  CHECK(Body(Call(&server, Request("POST http://operators:80/v1/cluster-manager/activate"))) ==
        R"({"draining":false})");
  CHECK(server.operations.calls ==
        std::vector<std::string>{"suspend s-1", "resume s-1/\xc3\xa9", "drain", "activate"});
  server.operations.stopping = true;
  CHECK(Status(Call(&server, Request("POST /v1/cluster-manager/activate"))) == 503);
  CHECK(server.RunUntil([&] { return server.admin.size() == 0; }));
}

TEST_CASE("a HEAD request is answered like a GET request without the body") {
  Server server;
  const std::string answer = Call(&server, Request("HEAD /v1/metrics"));
  CHECK(Status(answer) == 200);
  CHECK(Field(answer, "Content-Length") == "20");
  CHECK(Body(answer).empty());
}

TEST_CASE("unknown paths and methods and malformed ids are rejected with a helpful error") {
  Server server;
  const std::uint64_t refused = counters.admin_refused;
  std::string answer = Call(&server, Request("POST /v1/agents/nobody/suspend"));
  CHECK(Status(answer) == 404);
  CHECK(Error(answer) == "no agent has the id 'nobody'; GET /v1/metrics shows how many are listed");
  CHECK(server.operations.calls == std::vector<std::string>{"suspend nobody"});
  server.operations.calls.clear();

  for (const char* path : {"/", "/v1/ready", "/v1/readyz/", "/v1/agents/suspend", "/v1/agents/s-1", "*",
                           "/v1/agents/a/b/suspend", "/v1/agents/s-1/stop", "/v1/cluster-manager/"}) {
    CAPTURE(path);
    answer = Call(&server, Request((path[0] == '*' ? "OPTIONS " : "GET ") + std::string(path)));
    CHECK(Status(answer) == 404);
    CHECK(Error(answer).find("GET /v1/readyz") != std::string::npos);
  }
  answer = Call(&server, Request("POST /v1/readyz"));
  CHECK(Status(answer) == 405);
  CHECK(Field(answer, "Allow") == "GET, HEAD");
  CHECK(Error(answer).find("use GET") != std::string::npos);
  CHECK(Field(Call(&server, Request("DELETE /v1/metrics")), "Allow") == "GET, HEAD");
  CHECK(Field(Call(&server, Request("GET /v1/agents/s-1/resume")), "Allow") == "POST");
  answer = Call(&server, Request("GET /v1/cluster-manager/drain"));
  CHECK(Status(answer) == 405);
  CHECK(Field(answer, "Allow") == "POST");

  for (const std::string& id :
       {std::string(), std::string("a%2"), std::string("a%zz"), std::string("%"), std::string(257, 'x')}) {
    CAPTURE(id);
    CHECK(Status(Call(&server, Request("POST /v1/agents/" + id + "/suspend"))) == 400);
  }
  CHECK(server.operations.calls.empty());
  CHECK(Status(Call(&server, Request("POST /v1/agents/" + std::string(256, 'x') + "/suspend"))) == 200);
  CHECK(counters.admin_refused - refused == 19);
  // An id may hold any bytes, and the body of the answer is still valid JSON.
  const admin::Reply reply = admin::HandleCall("POST", "/v1/agents/%ff%00%22/suspend", &server.operations);
  CHECK(reply.status == 200);
  CHECK(json::accept(reply.body));
}

TEST_CASE("malformed and oversized requests are rejected and the connection is closed") {
  Server server;
  for (const char* text : {"hello\r\n\r\n", "\x16\x03\x01\x02\r\n", "GET /v1/readyz SMTP/1.1\r\n\r\n",
                           "GET v1 HTTP/1.1\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"}) {
    CAPTURE(text);
    const std::string answer = Call(&server, text);
    CHECK(Status(answer) == 400);
    CHECK_FALSE(Error(answer).empty());
  }
  const std::string start = "GET /v1/readyz HTTP/1.1\r\nX: ";
  CHECK(Status(Call(&server, start + std::string(8000, 'x') + "\r\n\r\n")) == 200);
  CHECK(Status(Call(&server, start + std::string(9000, 'x') + "\r\n\r\n")) == 431);
  CHECK(Status(Call(&server, "GET /" + std::string(20'000, 'x'))) == 431);
  const std::string post = "POST /v1/cluster-manager/drain HTTP/1.1\r\n";
  CHECK(Status(Call(&server, post + "Content-Length: 8192\r\n\r\n" + std::string(8192, 'x'))) == 200);
  CHECK(Status(Call(&server, post + "Content-Length: 8193\r\n\r\n")) == 413);
  std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 20; ++i) chunked += "400\r\n" + std::string(1024, 'x') + "\r\n";
  CHECK(Status(Call(&server, chunked)) == 413);
  CHECK(server.operations.calls == std::vector<std::string>{"drain"});
}

TEST_CASE("a call runs once its request and body are complete in pieces of any size") {
  Server server;
  const std::string head = "POST /v1/agents/s-%31/suspend HTTP/1.1\r\nHost: operators\r\n";
  for (const std::string& request :
       {head + "\r\n", head + "Content-Length: 11\r\n\r\n{\"why\":\"x\"}",
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\nTrailer: x\r\n\r\n"}) {
    CAPTURE(request);
    Peer peer(&server);
    for (const char byte : request) {
      CHECK(server.operations.calls.empty());
      CHECK(peer.Send({&byte, 1}));
      server.RunOnce();
      server.RunOnce();
    }
    CHECK(Status(peer.ReadAnswer()) == 200);
    CHECK(server.operations.calls == std::vector<std::string>{"suspend s-1"});
    server.operations.calls.clear();
  }
}

TEST_CASE("a second call on a connection does not run and the first is answered") {
  Server server;
  Peer peer(&server);
  CHECK(peer.Send(Request("POST /v1/cluster-manager/drain") + Request("POST /v1/cluster-manager/activate")));
  CHECK(server.RunUntil([&] { return !peer.received().empty() || peer.IsClosed(); }));
  peer.Send(Request("POST /v1/cluster-manager/activate"));
  const std::string answer = peer.ReadAnswer();
  CHECK(Status(answer) == 200);
  CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(server.operations.calls == std::vector<std::string>{"drain"});
  CHECK(server.RunUntil([&] { return server.admin.size() == 0; }));
}

TEST_CASE("a caller that shuts down its write side after the request is answered") {
  Server server;
  Peer peer(&server);
  CHECK(peer.Send(Request("GET /v1/readyz")));
  peer.HalfClose();
  CHECK(Status(peer.ReadAnswer()) == 200);
}

TEST_CASE("a caller that resets its connection before or after its request leaves no state behind") {
  Server server;
  const std::uint64_t left = counters.admin_left;
  Peer silent(&server), partial(&server), complete(&server);
  CHECK(partial.Send("GET /v1/rea"));
  CHECK(server.RunUntil([&] { return server.admin.size() == 3; }));
  CHECK(complete.Send(Request("GET /v1/readyz")));
  for (Peer* peer : {&silent, &partial, &complete}) peer->Reset();
  CHECK(server.RunUntil([&] { return server.admin.size() == 0; }));
  CHECK(counters.admin_left - left >= 2);
  CHECK(Status(Call(&server, Request("GET /v1/readyz"))) == 200);
}

TEST_CASE("an incomplete call is answered with 408 after the time-out and closed") {
  Server server;
  const std::uint64_t late = counters.admin_late;
  Peer silent(&server), partial(&server);
  CHECK(partial.Send("POST /v1/cluster-manager/drain HTTP/1.1\r\nContent-Length: 9\r\n\r\n1234"));
  CHECK(Status(silent.ReadAnswer()) == 408);
  const std::string answer = partial.ReadAnswer();
  CHECK(Status(answer) == 408);
  CHECK(Error(answer).find("within 2 s") != std::string::npos);
  CHECK(counters.admin_late - late == 2);
  CHECK(server.operations.calls.empty());
  CHECK(server.RunUntil([&] { return server.admin.size() == 0; }));
}

TEST_CASE("any number of silent callers does not keep another caller from its answer") {
  Server server;
  std::vector<std::unique_ptr<Peer>> silent;
  for (int i = 0; i < 200; ++i) silent.push_back(std::make_unique<Peer>(&server));
  Peer peer(&server);
  CHECK(peer.Send(Request("GET /v1/readyz")));
  // No caller has timed out yet: the answer does not wait for that.
  const std::uint64_t late = counters.admin_late;
  CHECK(server.RunUntil([&] { return peer.IsClosed(); }));
  CHECK(Status(peer.received()) == 200);
  CHECK(counters.admin_late == late);
  CHECK(server.admin.size() <= Admin::kMaxConnections);
  // A caller that sent its call before many others connected is not evicted either.
  Peer earlier(&server);
  CHECK(earlier.Send(Request("GET /v1/metrics")));
  for (int i = 0; i < 200; ++i) silent.push_back(std::make_unique<Peer>(&server));
  CHECK(Status(earlier.ReadAnswer()) == 200);
  CHECK(server.admin.size() <= Admin::kMaxConnections);
}

TEST_CASE("many concurrent calls are all answered within twice the maximum of connections") {
  Server server;
  std::vector<std::unique_ptr<Peer>> peers;
  for (std::size_t i = 0; i < 2 * Admin::kMaxConnections; ++i) {
    peers.push_back(std::make_unique<Peer>(&server));
    CHECK(peers.back()->Send(Request("GET /v1/readyz")));
  }
  for (const auto& peer : peers) CHECK(Status(peer->ReadAnswer()) == 200);
  CHECK(server.admin.size() <= 2 * Admin::kMaxConnections);
  CHECK(server.RunUntil([&] { return server.admin.size() == 0; }));
}

TEST_CASE("a call is accepted and answered in one loop iteration before other input") {
  struct OtherHandler final : Connection::Handler {
    std::size_t OnData(Connection&, std::string_view data) override {
      operations->calls.push_back("other");
      return data.size();
    }
    void OnClosed(Connection&, CloseReason) override {}
    FakeOperations* operations = nullptr;
  };
  Server server;
  OtherHandler other_handler;
  other_handler.operations = &server.operations;
  int sockets[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets) == 0);
  Connection other(&server.loop, sockets[0], &other_handler);
  bool in_order = false;
  for (int i = 0; i < 50 && !in_order; ++i) {  // the kernel may report what was sent with a delay
    server.operations.calls.clear();
    Peer peer(&server);
    CHECK(peer.Send(Request("POST /v1/cluster-manager/drain")));
    REQUIRE(::send(sockets[1], "x", 1, MSG_NOSIGNAL) == 1);
    server.RunOnce();
    in_order = peer.IsClosed() && server.operations.calls == std::vector<std::string>{"drain", "other"};
    peer.ReadAnswer();
  }
  CHECK(in_order);
  ::close(sockets[1]);
}

TEST_CASE("closing the address closes idle connections and lets calls that have begun complete") {
  Server server;
  Peer silent(&server), started(&server), sent(&server);
  CHECK(server.RunUntil([&] { return server.admin.size() == 3; }));
  CHECK(started.Send("GET /v1/re"));
  CHECK(sent.Send(Request("GET /v1/readyz")));
  server.admin.Close();
  CHECK(server.admin.size() == 2);
  CHECK(silent.ReadAnswer().empty());
  CHECK(started.Send("adyz HTTP/1.1\r\n\r\n"));
  CHECK(Status(started.ReadAnswer()) == 200);
  CHECK(Status(sent.ReadAnswer()) == 200);
  const sockaddr_in to = server.admin.address();
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CHECK(::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0);
  ::close(socket);
}

TEST_CASE("an address in use is reported as an error at once") {
  Server server;
  CHECK_THROWS_AS(Admin(&server.loop, server.admin.address(), &server.operations), std::runtime_error);
}

}  // namespace
}  // namespace cluster_manager
