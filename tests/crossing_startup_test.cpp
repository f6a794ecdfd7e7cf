// Signals during the start of a process, and its answers to health checks before and after it is ready.
#include <fcntl.h>
#include <sys/stat.h>

#include "story_operated.h"

namespace cluster_manager::story {
namespace {

// A process whose start blocks until its configuration arrives through a named pipe.
class BlockedStart {
 public:
  BlockedStart(const Port& bulletin, const Port& node) {
    const json nodes = json::array({Node("s-00000001", node.endpoint())});
    config_ = {{"name", "n0"},
               {"listen", "127.0.0.1:0"},
               {"seed", "8c1f30d27a5be964"},
               {"limits", {{"sockets", 256}}},
               {"bulletin", bulletin.endpoint()},
               {"known", {{"no", 1}, {"items", {Event(1, nodes, true)}}}},
               {"settings", Settings()}};
    std::string name = (std::filesystem::temp_directory_path() / "willowrail-start-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder_ = name;
    REQUIRE(::mkfifo(pipe().c_str(), 0600) == 0);
    int log[2];
    REQUIRE(::pipe(log) == 0);
    process_ = ::fork();
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("ROUTER_CONFIG", pipe().c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      ::dup2(log[1], STDERR_FILENO);
      for (int i = 3; i < 256; ++i) ::close(i);
      ::execl(CLUSTER_MANAGER_PROGRAM, "willowrail", nullptr);
      std::_Exit(127);
    }
    ::close(log[1]);
    log_ = log[0];
  }
  ~BlockedStart() {
    if (process_ > 0) {
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
    }
    ::close(log_);
    std::filesystem::remove_all(folder_);
  }
  BlockedStart(const BlockedStart&) = delete;
  BlockedStart& operator=(const BlockedStart&) = delete;

  // Returns when the process has opened its configuration and waits for the content.
  void WaitUntilConfigOpened() {
    writer_ = ::open(pipe().c_str(), O_WRONLY | O_CLOEXEC);
    REQUIRE(writer_ >= 0);
  }
  void Configure() {
    const std::string text = config_.dump();
    REQUIRE(::write(writer_, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    ::close(std::exchange(writer_, -1));
  }
  void Signal(int number) const { ::kill(process_, number); }
  // The rest of the next log line that holds `text`; empty where the log ends first.
  std::string Logged(const std::string& text) {
    while (true) {
      for (std::size_t end = unread_log_.find('\n'); end != std::string::npos; end = unread_log_.find('\n')) {
        const std::string line = unread_log_.substr(0, end);
        unread_log_.erase(0, end + 1);
        const std::size_t at = line.find(text);
        if (at != std::string::npos) return line.substr(at + text.size());
      }
      pollfd poll_request{log_, POLLIN, 0};
      REQUIRE_MESSAGE(::poll(&poll_request, 1, kLimitMs) > 0, "never logged: " << text);
      char bytes[4096];
      const ssize_t received = ::read(log_, bytes, sizeof bytes);
      if (received <= 0) return "";
      unread_log_.append(bytes, static_cast<std::size_t>(received));
    }
  }
  int ExitStatus() {
    int status = 0;
    ::waitpid(std::exchange(process_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }

 private:
  std::string pipe() const { return (folder_ / "config.json").string(); }

  json config_;
  std::filesystem::path folder_;
  pid_t process_ = -1;
  int log_ = -1, writer_ = -1;
  std::string unread_log_;
};

TEST_CASE_FIXTURE(Site, "SIGTERM during the start leads to a graceful shutdown") {
  BlockedStart start(bulletin, first);
  start.WaitUntilConfigOpened();
  start.Signal(SIGTERM);
  start.Configure();
  const std::string port = start.Logged("listens on 127.0.0.1:");
  REQUIRE_FALSE(port.empty());
  Wire client = Wire::To(std::stoi(port));  // a client that connects is still served
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  CHECK(start.ExitStatus() == 0);
}

TEST_CASE_FIXTURE(Site, "SIGHUP during the start leads to a reload") {
  BlockedStart start(bulletin, first);
  start.WaitUntilConfigOpened();
  start.Signal(SIGHUP);
  start.Configure();
  const std::string port = start.Logged("listens on 127.0.0.1:");
  REQUIRE_FALSE(port.empty());
  start.WaitUntilConfigOpened();
  start.Configure();
  CHECK_FALSE(start.Logged("configuration reloaded").empty());
  Wire client = Wire::To(std::stoi(port));
  CHECK(Passes(&client));
}

TEST_CASE_FIXTURE(Site, "SIGUSR1 during the start prints the counters") {
  BlockedStart start(bulletin, first);
  start.WaitUntilConfigOpened();
  start.Signal(SIGUSR1);
  start.Configure();
  CHECK_FALSE(start.Logged("listens on 127.0.0.1:").empty());
  CHECK(start.Logged("counter requests_received ") == "0");
}

TEST_CASE_FIXTURE(Site, "health checks fail until a node is listed or the wait for the list times out") {
  program.emplace(json::array(), bulletin);
  Wire stream = bulletin.Accept();
  stream.Bytes();
  Wire client = program->Owner();
  CHECK_FALSE(Passes(&client));
  SUBCASE("the list names a node") {
    stream.Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    stream.Raw("data: " + Event(2, json::array({Node("s-00000001", first.endpoint())}), true).dump() +
               "\n\n");
  }
  SUBCASE("discovery is unreachable and the wait for the list times out") { bulletin.Close(); }
  const Patience patience;
  while (!Passes(&client)) {
    patience.Check();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

TEST_CASE_FIXTURE(Operated,
                  "with discovery down a process with a known list reports ready at both addresses") {
  bulletin.Close();
  lives.push_back(
      std::make_unique<Program>(Nodes(), bulletin, Settings(), 0, 0, Platform{-1, tmp.string(), true}));
  Program& program = *lives.back();
  Wire client = program.Owner();
  CHECK(Passes(&client));
  CHECK(Get(program.admin_port(), "/v1/readyz").yes());
}

TEST_CASE_FIXTURE(
    Operated,
    "with discovery down a process that inherits a socket serves the connections in its accept queue") {
  bulletin.Close();
  Wire client = Owner();
  client.Say(Type::kHealthCheck, 1, Cause::kHealthCheckFailed);
  lives.push_back(std::make_unique<Program>(Nodes(), bulletin, Settings(), 0, 0,
                                            Platform{owners.socket(), tmp.string(), true}));
  CHECK(client.Hear(Type::kHealthCheckResult, 1).cause == 1);
  CHECK(Get(lives.back()->admin_port(), "/v1/readyz").yes());
}

// Guards against a yes that rests on the list of the configuration while discovery is slow: the old process
// stops at the yes, and drains and starts of nodes that only discovery has told are not known to the new one.
TEST_CASE_FIXTURE(Operated,
                  "a process that takes over waits for a list that discovery sends late, but not for ever") {
  Start();
  const auto started_at = std::chrono::steady_clock::now();
  lives.push_back(std::make_unique<Program>(Nodes(), bulletin, Settings(), 0, 0,
                                            Platform{owners.socket(), tmp.string(), true}));
  const int admin_port = lives.back()->admin_port();
  Wire call = bulletin.Accept();
  call.Bytes();
  SUBCASE("the list comes after 3 s") {
    std::this_thread::sleep_until(started_at + std::chrono::seconds(3));
    CHECK_FALSE(Get(admin_port, "/v1/readyz").yes());
    call.Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n");
    Until(admin_port, "/v1/readyz", true);
    CHECK(std::chrono::steady_clock::now() - started_at < std::chrono::milliseconds(3500));
  }
  SUBCASE("no list comes") {
    std::this_thread::sleep_until(started_at + std::chrono::milliseconds(5500));
    CHECK(Get(admin_port, "/v1/readyz").yes());
  }
}

}  // namespace
}  // namespace cluster_manager::story
