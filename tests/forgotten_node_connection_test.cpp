// Connections to nodes that stay idle for longer than nodes keep them. A node may forget such a connection
// without closing it: nothing arrives on it any more.
#include <chrono>
#include <thread>

#include "story_site.h"

namespace cluster_manager::story {
namespace {

struct IdleNodeConnection : Site {
  static constexpr std::chrono::nanoseconds kKeepalive = std::chrono::seconds(2);
  std::optional<Wire> client, node;

  void RunTask() {
    json settings = Settings();
    settings["Allowed"]["Keepalive"] = kKeepalive.count();
    Start(settings);
    client.emplace(program->Owner());
    Ask(&*client, kTask, "unsafe");
    node.emplace(first.Accept());
    node->Hear(Type::kTaskRequest, kTask);
    node->Answer(kTask, "there");
    client->Hear(Type::kTaskAccepted, kTask);
  }
};

// Guards against a completion that is never told: an idle connection counted as one on which the node would
// report, although nothing was written on it any more, and so no other one was dialed.
TEST_CASE_FIXTURE(IdleNodeConnection,
                  "a node that has forgotten its only connection is dialed while a task runs") {
  RunTask();
  Wire next = first.Accept();
  next.Say(Type::kRelease, kTask, Cause::kEnded);  // written on the next connection
  CHECK(client->Hear(Type::kRelease, kTask).cause == 16);
  CHECK(node->Closed());
}

TEST_CASE_FIXTURE(IdleNodeConnection,
                  "an idle connection to a node without tasks is closed and not replaced") {
  RunTask();
  node->Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(client->Hear(Type::kRelease, kTask).cause == 16);
  CHECK(node->Closed());
  client->NothingElse();
  CHECK(program->Statistic("node_dials") == "1");
}

// The connection is idle only as far as this process has read.
TEST_CASE_FIXTURE(IdleNodeConnection, "a completion that lies unread on an idle connection is told") {
  RunTask();
  program->Pause();
  std::this_thread::sleep_for(2 * kKeepalive);
  node->Say(Type::kRelease, kTask, Cause::kEnded);
  program->Resume();
  CHECK(client->Hear(Type::kRelease, kTask).cause == 16);
}

}  // namespace
}  // namespace cluster_manager::story
