// The end of a standing task, said by its client, that crosses our close of the connection it comes on. No
// connection owns the task: the word counts as long as it can be read.
#include "story_operated.h"

namespace cluster_manager::story {
namespace {

struct Emptied : Operated {
  std::optional<Wire> older, younger, node;
  Program* program = nullptr;

  // Both clients have a task that stands; a drain keeps the younger one's connection for the ends to come and
  // closes the older one's.
  void DrainWithTwoTasks() {
    program = &Start(false);
    older.emplace(program->Owner());
    Ask(&*older, kTask, "unsafe");
    node.emplace(first.Accept());
    node->Hear(Type::kTaskRequest, kTask);
    node->Answer(kTask, "there");
    older->Hear(Type::kTaskAccepted, kTask);
    younger.emplace(program->Owner());
    Ask(&*younger, kOther, "unsafe");
    node->Hear(Type::kTaskRequest, kOther);
    node->Answer(kOther, "there");
    younger->Hear(Type::kTaskAccepted, kOther);
    REQUIRE(Post(program->admin_port(), "/v1/cluster-manager/drain").yes());
    REQUIRE(older->Closed());
  }
};

TEST_CASE_FIXTURE(Emptied,
                  "a client's release on a connection whose other side we have closed is carried out") {
  DrainWithTwoTasks();
  SUBCASE("whole") { older->Say(Type::kRelease, kTask, Cause::kEnded); }
  SUBCASE("and then the client closes") {
    older->Say(Type::kRelease, kTask, Cause::kEnded);
    older->Close();
  }
  CHECK(node->Hear(Type::kRelease, kTask).cause == 31);
}

// It is sent again on a new connection by its client, so to begin it here would begin it twice.
TEST_CASE_FIXTURE(Emptied, "a set-up on a connection whose other side we have closed reaches no node") {
  DrainWithTwoTasks();
  Ask(&*older, 3, "unsafe");
  older->Say(Type::kRelease, kTask, Cause::kEnded);  // comes behind it
  CHECK(node->Hear(Type::kRelease, kTask).cause == 31);
  CHECK_FALSE(node->Speaks(0));
}

}  // namespace
}  // namespace cluster_manager::story
