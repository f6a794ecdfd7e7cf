// Completions that nodes report while a process of a cluster manager ends: each is told to a client by that
// process, or reported by its node to the next one.
#include <chrono>
#include <optional>
#include <thread>

#include "story_site.h"

namespace cluster_manager::story {
namespace {

// Longer than a process accepts new connections after SIGTERM.
constexpr std::chrono::milliseconds kAfterLastConnection{1000};

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

}  // namespace
}  // namespace cluster_manager::story
