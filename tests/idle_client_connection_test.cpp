// Completions of running tasks while few clients are connected: the connection that a task was requested on
// is kept open for its completion, and a client that only claims a task does not get the completions of
// others.
#include <thread>

#include "story_site.h"

namespace cluster_manager::story {
namespace {

struct IdleClientTest : Site {
  std::optional<Wire> node;

  // Claims a task that the node already runs, and waits until the claim has been read.
  void ClaimTask(Wire* client, TaskId task) {
    Ask(client, task, "unsafe", 25'000, ";at:s-00000001");
    client->NothingElse();
  }
  void AcceptNode() {
    if (!node) node.emplace(first.Accept());
  }
  void CompleteAtNode(TaskId task) { node->Say(Type::kRelease, task, Cause::kEnded); }
};

TEST_CASE_FIXTURE(IdleClientTest, "a connection without traffic is kept as long as its task runs") {
  Start();
  Wire client = program->Owner();
  SUBCASE("the task was placed") {
    Ask(&client, kTask, "unsafe");
    AcceptNode();
    node->Hear(Type::kTaskRequest, kTask);
    node->Answer(kTask, "there");
    client.Hear(Type::kTaskAccepted, kTask);
  }
  SUBCASE("the task was claimed") {
    ClaimTask(&client, kTask);
    AcceptNode();
  }
  // Longer than the idle time-out of a connection without a task.
  CHECK_FALSE(client.Readable(7'000));
  CompleteAtNode(kTask);
  CHECK(client.Hear(Type::kRelease, kTask).cause == 16);
  client.Say(Type::kReleaseConfirmed, kTask);
  program->Counted("owed_ends", 0, "size ");
}

TEST_CASE_FIXTURE(IdleClientTest, "a connection without running tasks is closed when idle") {
  Start();
  Wire client = program->Owner();
  ClaimTask(&client, kTask);
  AcceptNode();
  CompleteAtNode(kTask);
  CHECK(client.Hear(Type::kRelease, kTask).cause == 16);
  client.Say(Type::kReleaseConfirmed, kTask);
  CHECK(client.Closed());
}

TEST_CASE_FIXTURE(IdleClientTest,
                  "a client that claims a task that no node runs gets no completion of another client") {
  Start();
  Wire client = program->Owner();
  ClaimTask(&client, kTask);
  AcceptNode();
  SUBCASE("the connection of the client is as new as the other one") {}
  SUBCASE("the connection of the client has been idle for long") {
    std::this_thread::sleep_for(std::chrono::milliseconds(3'200));
  }
  Wire claiming_client = program->Owner();
  for (int i = 0; i < 40; ++i) Ask(&claiming_client, kOther, "safe", 25'000, ";at:s-00000001");
  claiming_client.NothingElse();
  CompleteAtNode(kTask);
  CHECK(client.Hear(Type::kRelease, kTask).cause == 16);
  claiming_client.NothingElse();
}

TEST_CASE_FIXTURE(IdleClientTest,
                  "the completion of a task that was claimed twice goes to the last client that claimed it") {
  Start();
  Wire first_client = program->Owner();
  ClaimTask(&first_client, kTask);
  AcceptNode();
  Wire last_client = program->Owner();
  ClaimTask(&last_client, kTask);
  program->Counted("tasks_claimed_again", 1);
  CompleteAtNode(kTask);
  CHECK(last_client.Hear(Type::kRelease, kTask).cause == 16);
  first_client.NothingElse();
}

}  // namespace
}  // namespace cluster_manager::story
