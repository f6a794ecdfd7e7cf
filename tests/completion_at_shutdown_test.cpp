// Completions that nodes report while a process of a cluster manager ends: each is told to a client by that
// process, or reported by its node to the next one.
#include <fcntl.h>
#include <sys/file.h>

#include <chrono>
#include <optional>
#include <thread>

#include "story_operated.h"

namespace cluster_manager::story {
namespace {

// Longer than a process accepts new connections after SIGTERM.
constexpr std::chrono::milliseconds kAfterLastConnection{1000};
// Longer than two dials of a node that refuses them are apart.
constexpr std::chrono::milliseconds kLongerThanRedials{1000};

struct PlannedRestart : Site {
  std::optional<Wire> client, node;

  // A client runs a task; its connection stays open.
  void RunTask() {
    Start();
    client.emplace(program->Owner());
    Ask(&*client, kTask, "unsafe");
    node.emplace(first.Accept());
    node->Hear(Type::kTaskRequest, kTask);
    node->Answer(kTask, "there");
    client->Hear(Type::kTaskAccepted, kTask);
  }
  // The process finds what `arrive` sends in the kernel when it closes the connections of its clients.
  template <typename Arrive>
  void ArriveAtClose(Arrive arrive) {
    program->Signal(SIGTERM);
    program->Logged("stopping");
    program->Pause();
    std::this_thread::sleep_for(kAfterLastConnection);
    arrive();
    program->Resume();
  }
};

// Guards against completions that are lost at a planned restart: the process closed the connections of all
// clients and read those of nodes for 0.2 s more, with nobody left to notify.
TEST_CASE_FIXTURE(PlannedRestart, "a completion that arrives as a planned restart closes clients is told") {
  RunTask();
  SUBCASE("one client is connected") {
    ArriveAtClose([&] { node->Say(Type::kRelease, kTask, Cause::kEnded); });
    CHECK(client->Hear(Type::kRelease, kTask).cause == 16);
    CHECK(client->Closed());
  }
  SUBCASE("the client of the task has gone, others are connected") {
    Wire other = program->Owner(), last = program->Owner();
    other.NothingElse();
    last.NothingElse();
    client->Close();
    program->Counted("client_closes", 1);
    ArriveAtClose([&] { node->Say(Type::kRelease, kTask, Cause::kEnded); });
    CHECK(other.Closed());
    CHECK(last.Hear(Type::kRelease, kTask).cause == 16);
  }
  CHECK(program->ExitStatus() == 0);
}

// The node learns from the close that it has to report later completions to the next process.
TEST_CASE_FIXTURE(PlannedRestart,
                  "a planned restart closes its connections to nodes before its last client") {
  RunTask();
  program->Signal(SIGTERM);
  CHECK(client->Closed());
  CHECK(node->Ended());
  CHECK(program->ExitStatus() == 0);
}

// Delays what processes write to the file through which they hand over.
class HandoverFileLock {
 public:
  explicit HandoverFileLock(const std::filesystem::path& folder)
      : file_(::open((folder / "willowrail.n0.handover").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
    REQUIRE(file_ >= 0);
    REQUIRE(::flock(file_, LOCK_EX) == 0);
  }
  ~HandoverFileLock() { ::close(file_); }
  HandoverFileLock(const HandoverFileLock&) = delete;
  HandoverFileLock& operator=(const HandoverFileLock&) = delete;

 private:
  const int file_;
};

// A client runs a task in the old process of an upgrade. The new process has a connection to its node
// already.
struct Upgrade : Operated {
  Program *old_process = nullptr, *new_process = nullptr;
  std::optional<Wire> client, node, next_client, next_node;

  void RunTask(Wire* from, TaskId task, std::optional<Wire>* at) {
    Ask(from, task, "unsafe");
    at->emplace(first.Accept());
    (*at)->Hear(Type::kTaskRequest, task);
    (*at)->Answer(task, "there");
    from->Hear(Type::kTaskAccepted, task);
  }
  void Begin() {
    old_process = &Start();
    client.emplace(Owner());
    RunTask(&*client, kTask, &node);
    new_process = &Start();
    old_process->Signal(SIGTERM);
    old_process->Logged("stopping");
    next_client.emplace(Owner());
    RunTask(&*next_client, kOther, &next_node);
  }
  void AwaitHandover() {
    CHECK(client->Closed());
    client->Close();
    old_process->Logged("handed over: 1 tasks");
  }
  void End() {
    CHECK(old_process->ExitStatus() == 0);
    new_process->Logged("taken over: 1 of 1 tasks");
  }
};

// Guards against completions that are lost at an upgrade: the old process listed its running tasks and ended
// with its connections to nodes open and unread, and the new one, which had connections to these nodes
// already, never heard of what had been written on those of the old one.
TEST_CASE_FIXTURE(Upgrade, "a completion reported as tasks are handed over is told by the new process") {
  Begin();
  {
    const HandoverFileLock lock(tmp);
    AwaitHandover();
    // A node reports on the connection of the request, or on another one if that has been closed.
    (node->Ended() ? *next_node : *node).Say(Type::kRelease, kTask, Cause::kEnded);
  }
  End();
  CHECK(next_client->Hear(Type::kRelease, kTask).cause == 16);
}

// Guards against the same where the report crosses the close: the node repeats it on the next connection that
// is opened, and the new process opened none.
TEST_CASE_FIXTURE(Upgrade, "a completion lost with a connection of the old process reaches the new one") {
  bool dial_fails = false;
  SUBCASE("on the next connection") {}
  SUBCASE("on the next connection, of which the first dial is never answered") { dial_fails = true; }
  Begin();
  if (dial_fails) first.Clog();
  AwaitHandover();
  End();
  if (dial_fails) {
    new_process->Logged("dial failed");
    first.Unclog();
  }
  Wire next = first.Accept();
  next.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(next_client->Hear(Type::kRelease, kTask).cause == 16);
}

// Guards against tasks that are reported as ended too early: the new process dialed nodes whose tasks it had
// taken over, and a node that had stopped listening and was not listed as draining yet was taken for dead.
TEST_CASE_FIXTURE(Upgrade, "a node that refuses the dial of the new process keeps the tasks that it runs") {
  Begin();
  first.Close();
  AwaitHandover();
  End();
  new_process->Logged("dial refused");
  std::this_thread::sleep_for(kLongerThanRedials);
  next_client->NothingElse();
  next_node->Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(next_client->Hear(Type::kRelease, kTask).cause == 16);
}

}  // namespace
}  // namespace cluster_manager::story
