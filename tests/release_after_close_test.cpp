// A client releases a running task while the program closes the connection. A task does not belong to a
// connection, so that the release is valid as long as it can be read.
#include "story_operated.h"

namespace cluster_manager::story {
namespace {

struct ReleaseAfterCloseTest : Operated {
  std::optional<Wire> older, newer, node;
  Program* program = nullptr;

  // Starts a task for each of two clients, and then drains the cluster manager, which keeps the newer
  // connection for completions and closes the older one.
  void DrainWithTwoTasks() {
    program = &Start(false);
    older.emplace(program->Owner());
    Ask(&*older, kTask, "unsafe");
    node.emplace(first.Accept());
    node->Hear(Type::kTaskRequest, kTask);
    node->Answer(kTask, "there");
    older->Hear(Type::kTaskAccepted, kTask);
    newer.emplace(program->Owner());
    Ask(&*newer, kOther, "unsafe");
    node->Hear(Type::kTaskRequest, kOther);
    node->Answer(kOther, "there");
    newer->Hear(Type::kTaskAccepted, kOther);
    REQUIRE(Post(program->admin_port(), "/v1/cluster-manager/drain").yes());
    REQUIRE(older->Closed());
  }
};

TEST_CASE_FIXTURE(
    ReleaseAfterCloseTest,
    "the release of a task is executed after the program has closed its side of the connection") {
  DrainWithTwoTasks();
  SUBCASE("the connection stays open") { older->Say(Type::kRelease, kTask, Cause::kEnded); }
  SUBCASE("the client closes afterwards") {
    older->Say(Type::kRelease, kTask, Cause::kEnded);
    older->Close();
  }
  CHECK(node->Hear(Type::kRelease, kTask).cause == 31);
}

// The client sends the request again on a new connection, so that serving it here would run the task twice.
TEST_CASE_FIXTURE(ReleaseAfterCloseTest,
                  "a request is not sent to a node after the program has closed its side of the connection") {
  DrainWithTwoTasks();
  Ask(&*older, 3, "unsafe");
  older->Say(Type::kRelease, kTask, Cause::kEnded);  // sent after the request
  CHECK(node->Hear(Type::kRelease, kTask).cause == 31);
  CHECK_FALSE(node->Speaks(0));
}

}  // namespace
}  // namespace cluster_manager::story
