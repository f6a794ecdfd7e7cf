// Scripted peers for the stories: the real program as a child process, and owners, agents and a bulletin on
// loopback sockets. Every wait is for an event; the limit only turns a hang into a failure.
#pragma once

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "net/connection.h"
#include "proto/message.h"

namespace willowrail::story {

using nlohmann::json;
using proto::Cause;
using proto::Code;
using proto::TaskId;
using proto::Type;

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
      proto::Writer writer(&bytes, type, task);
      fill(writer);
    }
    Raw(bytes);
  }
  void Say(Type type, TaskId task) {
    Say(type, task, [](proto::Writer&) {});
  }
  void Say(Type type, TaskId task, Cause cause) {
    Say(type, task, [cause](proto::Writer& w) { w.Add(cause); });
  }
  void Answer(TaskId task, std::string_view description) {
    Say(Type::kAnswer, task, [&](proto::Writer& w) { w.Add(Code::kDescription, description); });
  }
  bool Readable(int ms = 0) const {
    pollfd wait{socket_, POLLIN, 0};
    return ::poll(&wait, 1, ms) > 0;
  }
  // A message is here already, or bytes of one come in time.
  bool Speaks(int ms) const {
    proto::Message m;
    std::size_t size = 0;
    return proto::Decode(in_, &m, &size) == proto::Step::kMessage || Readable(ms);
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
    proto::Message m;
    std::size_t size = 0;
    while (proto::Decode(in_, &m, &size) != proto::Step::kMessage) {
      const std::string more = Bytes();
      REQUIRE_MESSAGE(!more.empty(), "closed before a message came");
      in_ += more;
    }
    const auto text = [&m](Code code) { return std::string(m.Get(code)); };
    const Heard heard{m.type,
                      m.task,
                      m.CauseOr(-1),
                      text(Code::kClass),
                      text(Code::kWait),
                      text(Code::kName),
                      text(Code::kKey),
                      text(Code::kDescription),
                      text(Code::kStayAway)};
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
    Say(Type::kTest, mark, Cause::kTestFailed);
    Hear(Type::kTestResult, mark);
  }

 private:
  int socket_;
  std::string in_;
};

class Port {  // a listening socket: an agent's or the bulletin's
 public:
  Port() {
    Open();
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    number_ = ntohs(address.sin_port);
  }
  ~Port() { Close(); }
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
    while (true) {
      REQUIRE_MESSAGE(Dialled(kLimitMs), "nobody dialled");
      sockaddr_in from{};
      socklen_t size = sizeof from;
      Wire wire(::accept(socket_, reinterpret_cast<sockaddr*>(&from), &size));
      if (!own_.contains(from.sin_port)) return wire;
    }
  }
  void Close() {
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
    for (const int each : std::exchange(clogged_, {})) ::close(each);
  }
  // Listens; after Close, as another process at the same address.
  void Open() {
    socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = Loopback(number_);
    REQUIRE(::bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
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
  int socket_ = -1;
  int number_ = 0;
  std::vector<int> clogged_;
  std::set<in_port_t> own_;  // of the sockets that clogged it
};

inline json Node(const std::string& uid, const std::string& endpoint, double free_cores = 10,
                 const std::string& state = "in_service", std::int64_t boot_ms = 0) {
  return {{"uid", uid},         {"endpoint", endpoint}, {"az", "hall-a"},
          {"model", "std"},     {"pod_group", 0},       {"state", state},
          {"capacity_hint", 1}, {"boot_ms", boot_ms},   {"unasked", {free_cores, 100}}};
}

inline json Event(int number, const json& nodes, bool all = false) {
  return {{"no", number}, {"roster", {{"rev", number}, {"all", all}, {"targets", nodes}}}};
}

// The classes: 0 safe, 1 keyed, 2 unsafe.
inline json Settings() {
  const auto service = [](const char* name, const char* effect) {
    return json{{"Name", name},   {"Effect", effect},        {"Deadline", 30'000'000'000},
                {"Group", "all"}, {"KeyTtl", 6'000'000'000}, {"Worth", 1}};
  };
  return {
      {"Services", {service("safe", "pure"), service("keyed", "token"), service("unsafe", "side_effect")}},
      {"Tenants", {{{"Name", "shop one"}, {"Portion", 1}}}},
      {"FamilyInfo", {{"CoresByKind", {10}}, {"MemoryByKind", {100}}, {"View", true}, {"YesAt", "running"}}},
      {"Allowed", {{"MostTries", 3}, {"DialTimeout", 250'000'000}, {"Keepalive", 15'000'000'000}}},
      {"Discovery", "subscribe"},
      {"Period", 2'000'000},
      {"Zones", {"hall-a"}},
      {"Kinds", {"std"}}};
}

struct Platform {      // what more it gives a process on the operators' days
  int listening = -1;  // a socket that listens already, inherited; -1: none
  std::string tmp;     // TMPDIR, shared with the process that comes after; empty: the process's own
  bool admin = false;  // an address for operators
};

class Program {
 public:
  // `limit`: descriptors it may hold, 0 for the usual; `told`: as its configuration has it, 0 for the same.
  Program(const json& nodes, const Port& bulletin, const json& settings = Settings(), rlim_t limit = 0,
          rlim_t told = 0, const Platform& platform = {}) {
    folder_ = std::filesystem::temp_directory_path() / "willowrail-story-XXXXXX";
    std::string name = folder_.string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder_ = name;
    config_ = {{"name", "n0"},
               {"listen", "127.0.0.1:0"},
               {"seed", "8c1f30d27a5be964"},
               {"limits",
                {{"sockets", told > 0    ? told
                             : limit > 0 ? limit
                                         : 256}}},
               {"bulletin", bulletin.endpoint()},
               {"known", {{"no", 1}, {"items", {Event(1, nodes, true)}}}},
               {"settings", settings}};
    if (platform.admin) config_["admin_addr"] = "127.0.0.1:0";
    Configure(config_.dump());
    int log[2];
    REQUIRE(::pipe(log) == 0);
    process_ = ::fork();
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it does not outlive a test that is killed
      ::setenv("ROUTER_CONFIG", (folder_ / "config.json").c_str(), 1);
      ::dup2(log[1], STDERR_FILENO);
      if (platform.listening >= 0) {
        ::dup2(platform.listening, kInherited);
        ::setenv("ROUTER_LISTEN_FD", std::to_string(kInherited).c_str(), 1);
      }
      for (int i = 3; i < 256; ++i) {
        if (platform.listening < 0 || i != kInherited) ::close(i);
      }
      ::setenv("TMPDIR", (platform.tmp.empty() ? folder_.string() : platform.tmp).c_str(), 1);
      const rlimit most{limit, limit};
      if (limit > 0) ::setrlimit(RLIMIT_NOFILE, &most);
      ::execl(WILLOWRAIL_PROGRAM, "willowrail", nullptr);
      std::_Exit(127);
    }
    ::close(log[1]);
    log_ = log[0];
    port_ = std::stoi(Logged("listens on 127.0.0.1:"));
    if (platform.admin) admin_port_ = std::stoi(Logged("operators are listened to on 127.0.0.1:"));
  }
  ~Program() {
    if (process_ > 0) {
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
    }
    ::close(log_);
    std::filesystem::remove_all(folder_);
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  const json& config() const { return config_; }
  void Configure(const std::string& text) const { std::ofstream(folder_ / "config.json") << text; }
  Wire Owner() const { return Wire::To(port_); }
  int admin_port() const { return admin_port_; }
  void Signal(int number) const { ::kill(process_, number); }
  // What comes until Resume() is found in the kernel all at once.
  void Pause() const {
    Signal(SIGSTOP);
    REQUIRE(::waitpid(process_, nullptr, WUNTRACED) == process_);
  }
  void Resume() const { Signal(SIGCONT); }
  // The rest of the first line that holds `text`, read on from the last one found.
  std::string Logged(const std::string& text) {
    while (true) {
      for (std::size_t end = read_.find('\n'); end != std::string::npos; end = read_.find('\n')) {
        const std::string line = read_.substr(0, end);
        read_.erase(0, end + 1);
        const std::size_t at = line.find(text);
        if (at != std::string::npos) return line.substr(at + text.size());
      }
      pollfd wait{log_, POLLIN, 0};
      REQUIRE_MESSAGE(::poll(&wait, 1, kLimitMs) > 0, "never logged: " << text);
      char bytes[4096];
      const ssize_t got = ::read(log_, bytes, sizeof bytes);
      REQUIRE_MESSAGE(got > 0, "the program ended before it logged: " << text);
      read_.append(bytes, static_cast<std::size_t>(got));
    }
  }
  // Waits until a counter has come to `value`, or a table to a size.
  void Counted(const std::string& counter, int value, const std::string& what = "counter ") {
    std::string last;
    for (int i = 0; i < kLimitMs / 10; ++i) {
      Signal(SIGUSR1);
      last = Logged(what + counter + " ");
      if (last == std::to_string(value)) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    FAIL("counter " << counter << " never came to " << value << ", it is " << last);
  }
  int ExitStatus() {
    int status = 0;
    ::waitpid(std::exchange(process_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }

 private:
  static constexpr int kInherited = 7;
  std::filesystem::path folder_;
  json config_;
  pid_t process_ = -1;
  int log_ = -1, port_ = 0, admin_port_ = 0;
  std::string read_;
};

}  // namespace willowrail::story
