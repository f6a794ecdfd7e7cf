// A start that is interrupted by signals, and what a process that has just started says to a test.
#include <fcntl.h>
#include <sys/stat.h>

#include "story_operated.h"

namespace cluster_manager::story {
namespace {

// A process whose start waits for its configuration, which comes through a pipe with a name.
class HeldStart {
 public:
  HeldStart(const Port& bulletin, const Port& agent) {
    const json nodes = json::array({Node("s-00000001", agent.endpoint())});
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
  ~HeldStart() {
    if (process_ > 0) {
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
    }
    ::close(log_);
    std::filesystem::remove_all(folder_);
  }
  HeldStart(const HeldStart&) = delete;
  HeldStart& operator=(const HeldStart&) = delete;

  // The process has begun to read its configuration, and waits for it.
  void BeginsToRead() {
    writer_ = ::open(pipe().c_str(), O_WRONLY | O_CLOEXEC);
    REQUIRE(writer_ >= 0);
  }
  void Configure() {
    const std::string text = config_.dump();
    REQUIRE(::write(writer_, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    ::close(std::exchange(writer_, -1));
  }
  void Signal(int number) const { ::kill(process_, number); }
  // The rest of the next line that holds `text`; empty where the log ends before it.
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
      if (got <= 0) return "";
      read_.append(bytes, static_cast<std::size_t>(got));
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
  std::string read_;
};

TEST_CASE_FIXTURE(Site, "SIGTERM in the middle of the start is a planned restart and no death") {
  HeldStart start(bulletin, first);
  start.BeginsToRead();
  start.Signal(SIGTERM);
  start.Configure();
  const std::string port = start.Logged("listens on 127.0.0.1:");
  REQUIRE_FALSE(port.empty());
  Wire owner = Wire::To(std::stoi(port));  // who comes is still served
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
  CHECK(start.ExitStatus() == 0);
}

TEST_CASE_FIXTURE(Site, "SIGHUP in the middle of the start is a reload and no death") {
  HeldStart start(bulletin, first);
  start.BeginsToRead();
  start.Signal(SIGHUP);
  start.Configure();
  const std::string port = start.Logged("listens on 127.0.0.1:");
  REQUIRE_FALSE(port.empty());
  start.BeginsToRead();
  start.Configure();
  CHECK_FALSE(start.Logged("configuration read again").empty());
  Wire owner = Wire::To(std::stoi(port));
  CHECK(Passes(&owner));
}

TEST_CASE_FIXTURE(Site, "SIGUSR1 in the middle of the start prints the counters and is no death") {
  HeldStart start(bulletin, first);
  start.BeginsToRead();
  start.Signal(SIGUSR1);
  start.Configure();
  CHECK_FALSE(start.Logged("listens on 127.0.0.1:").empty());
  CHECK(start.Logged("counter requests_received ") == "0");
}

TEST_CASE_FIXTURE(Site, "a test is not passed while no node is listed, and is once one is") {
  program.emplace(json::array(), bulletin);
  Wire feed = bulletin.Accept();
  feed.Bytes();
  Wire owner = program->Owner();
  CHECK_FALSE(Passes(&owner));
  SUBCASE("the list names one") {
    feed.Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    feed.Raw("data: " + Event(2, json::array({Node("s-00000001", first.endpoint())}), true).dump() + "\n\n");
  }
  SUBCASE("the list is out of reach: it is not waited for without end") { bulletin.Close(); }
  const Patience patience;
  while (!Passes(&owner)) {
    patience.Check();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

TEST_CASE_FIXTURE(Operated, "with discovery down a process that knows nodes says yes at both addresses") {
  bulletin.Close();
  lives.push_back(
      std::make_unique<Program>(Nodes(), bulletin, Settings(), 0, 0, Platform{-1, tmp.string(), true}));
  Program& program = *lives.back();
  Wire owner = program.Owner();
  CHECK(Passes(&owner));
  CHECK(Get(program.admin_port(), "/v1/readyz").yes());
}

TEST_CASE_FIXTURE(Operated,
                  "with discovery down a process that takes over a socket serves what waits there") {
  bulletin.Close();
  Wire waits = Owner();
  waits.Say(Type::kHealthCheck, 1, Cause::kHealthCheckFailed);
  lives.push_back(std::make_unique<Program>(Nodes(), bulletin, Settings(), 0, 0,
                                            Platform{owners.socket(), tmp.string(), true}));
  CHECK(waits.Hear(Type::kHealthCheckResult, 1).cause == 1);
  CHECK(Get(lives.back()->admin_port(), "/v1/readyz").yes());
}

}  // namespace
}  // namespace cluster_manager::story
