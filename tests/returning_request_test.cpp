// A client sends a request, leaves, and sends the same request on a new connection: what may have run once
// and must not run again is not sent to a node again.
#include <optional>
#include <string>
#include <vector>

#include "story_site.h"

namespace cluster_manager::story {
namespace {

constexpr int kNoCapacity = 34;
constexpr int kLimited = 42;
constexpr int kNeverLeft = 102;

struct ReturningRequest : Site {
  std::optional<Wire> client, node;

  void SendFirst(const std::string& class_name) {
    Start();
    client.emplace(program->Owner());
    Ask(&*client, kTask, class_name);
    node.emplace(first.Accept());
    node->Hear(Type::kTaskRequest, kTask);
  }
  void Leave(bool by_reset) {
    if (by_reset) {
      client->Reset();
    } else {
      client->Close();
    }
  }
  // The node was told nothing but the release of the first attempt, and no other node was dialed.
  void CheckNotSentAgain() {
    while (node->Speaks(300)) CHECK(node->Hear().type != Type::kTaskRequest);
    CHECK_FALSE(second.Dialled());
  }
  void CheckFailed() {
    const Heard heard = client->Hear(Type::kRelease, kTask);
    const bool promises_no_effect =
        heard.cause == kNoCapacity || heard.cause == kLimited || heard.cause == kNeverLeft;
    CHECK_FALSE(promises_no_effect);
  }
};

TEST_CASE_FIXTURE(ReturningRequest,
                  "a request that must not run twice is not sent again when its client comes back") {
  bool by_reset = false;
  SUBCASE("after a close") {}
  SUBCASE("after a reset") { by_reset = true; }
  SendFirst("unsafe");
  Leave(by_reset);
  node->Hear(Type::kRelease, kTask);
  client.emplace(program->Owner());
  Ask(&*client, kTask, "unsafe");
  CheckFailed();
  CheckNotSentAgain();
}

TEST_CASE_FIXTURE(ReturningRequest,
                  "a request whose task has run is not sent again when its client comes back") {
  SendFirst("unsafe");
  node->Answer(kTask, "here");
  client->Hear(Type::kTaskAccepted, kTask);
  node->Say(Type::kRelease, kTask, Cause::kEnded);
  client->Hear(Type::kRelease, kTask);
  Leave(false);
  client.emplace(program->Owner());
  Ask(&*client, kTask, "unsafe");
  CheckFailed();
  CheckNotSentAgain();
}

TEST_CASE_FIXTURE(ReturningRequest,
                  "a request with a key known to all nodes is sent again when its client comes back") {
  SendFirst("keyed");
  Leave(false);
  node->Hear(Type::kRelease, kTask);
  client.emplace(program->Owner());
  Ask(&*client, kTask, "keyed");
  const Patience patience;
  std::optional<Wire> other;
  while (true) {
    patience.Check();
    if (!other) other = second.AcceptWaiting();
    Wire* speaking = node->Speaks(1) ? &*node : other && other->Speaks(1) ? &*other : nullptr;
    if (speaking == nullptr || speaking->Hear().type != Type::kTaskRequest) continue;
    speaking->Answer(kTask, "here");
    break;
  }
  client->Hear(Type::kTaskAccepted, kTask);
}

}  // namespace
}  // namespace cluster_manager::story
