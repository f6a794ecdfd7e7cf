// ClassCounters of standing tasks while hardly anybody is connected: the connection that a task came by is
// kept for its end, and whoever only claims a task of his own does not get the ends of others.
#include <thread>

#include "story_site.h"

namespace cluster_manager::story {
namespace {

struct QuietSite : Site {
  std::optional<Wire> node;

  // A task that the node holds already: its end shows that this has been read.
  void HandOver(Wire* client, TaskId task) {
    Ask(client, task, "unsafe", 25'000, ";at:s-00000001");
    client->NothingElse();
  }
  void AcceptNode() {
    if (!node) node.emplace(first.Accept());
  }
  void EndAtNode(TaskId task) { node->Say(Type::kRelease, task, Cause::kEnded); }
};

TEST_CASE_FIXTURE(QuietSite, "a connection on which nothing is said is kept as long as its task stands") {
  Start();
  Wire client = program->Owner();
  SUBCASE("a task that was placed") {
    Ask(&client, kTask, "unsafe");
    AcceptNode();
    node->Hear(Type::kTaskRequest, kTask);
    node->Answer(kTask, "there");
    client.Hear(Type::kTaskAccepted, kTask);
  }
  SUBCASE("a task that was handed over") {
    HandOver(&client, kTask);
    AcceptNode();
  }
  // Longer than any connection without a task is kept.
  CHECK_FALSE(client.Readable(7'000));
  EndAtNode(kTask);
  CHECK(client.Hear(Type::kRelease, kTask).cause == 16);
  client.Say(Type::kReleaseConfirmed, kTask);
  program->Counted("owed_ends", 0, "size ");
}

TEST_CASE_FIXTURE(QuietSite, "a connection that nothing stands on any more is closed as idle") {
  Start();
  Wire client = program->Owner();
  HandOver(&client, kTask);
  AcceptNode();
  EndAtNode(kTask);
  CHECK(client.Hear(Type::kRelease, kTask).cause == 16);
  client.Say(Type::kReleaseConfirmed, kTask);
  CHECK(client.Closed());
}

TEST_CASE_FIXTURE(QuietSite, "who claims a task that no node has gets no other client's end") {
  Start();
  Wire client = program->Owner();
  HandOver(&client, kTask);
  AcceptNode();
  SUBCASE("the client's connection is as fresh as the other") {}
  SUBCASE("the client's connection has been quiet for long") {
    std::this_thread::sleep_for(std::chrono::milliseconds(3'200));
  }
  Wire claims = program->Owner();
  for (int i = 0; i < 40; ++i) Ask(&claims, kOther, "safe", 25'000, ";at:s-00000001");
  claims.NothingElse();
  EndAtNode(kTask);
  CHECK(client.Hear(Type::kRelease, kTask).cause == 16);
  claims.NothingElse();
}

TEST_CASE_FIXTURE(QuietSite, "a task that is handed over again is told to who handed it over last") {
  Start();
  Wire before = program->Owner();
  HandOver(&before, kTask);
  AcceptNode();
  Wire now = program->Owner();
  HandOver(&now, kTask);
  program->Counted("tasks_claimed_again", 1);
  EndAtNode(kTask);
  CHECK(now.Hear(Type::kRelease, kTask).cause == 16);
  before.NothingElse();
}

}  // namespace
}  // namespace cluster_manager::story
