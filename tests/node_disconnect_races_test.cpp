// A node ends its connection during other events. Messages that it has sent completely are still processed,
// attempts without a complete reply may have run, and no request is sent on a connection that has already
// ended.
#include <cstdio>
#include <fstream>

#include "crossing_site.h"

namespace cluster_manager::story {
namespace {

struct NodeDisconnectTest : CrossingSite {
  // A limit of descriptors that is low enough for a single connection to each node.
  static constexpr rlim_t kOneConnectionPerNode = 48;

  // Number of attempts that were sent to the nodes and not released.
  std::size_t OpenAttempts(TaskId task) {
    at_first.Read();
    at_second.Read();
    return at_first.SetUps(task) + at_second.SetUps(task) - at_first.Count(Type::kRelease, task) -
           at_second.Count(Type::kRelease, task);
  }
  // The node sends half of its reply; then its connection ends, or is closed by the program.
  void TruncateReply(Wire* client, const std::string& class_name) {
    Ask(client, kTask, class_name);
    Wire& node = at_first.AwaitSetUp(kTask);
    std::string acceptance;
    protocol::Writer(&acceptance, Type::kTaskAccepted, kTask)
        .Add(Code::kDescription, std::string_view("half of it"));
    node.Raw(acceptance.substr(0, acceptance.size() / 2));
    SUBCASE("then the node closes") { node.Close(); }
    SUBCASE("then the node resets") { node.Reset(); }
    SUBCASE("then the node half-closes") { node.HalfClose(); }
    SUBCASE("then the node sends nothing") { CHECK(node.Closed()); }
  }
};

// A message that a node has sent completely before a reset is processed, even if the program writes to the
// node before it reads.
TEST_CASE_FIXTURE(
    NodeDisconnectTest,
    "a rejection and a reset arrive in one loop iteration while bytes are written to the node") {
  StartWith(10, 5, Settings(), 0, kOneConnectionPerNode);
  Wire client = program->Owner(), other = program->Owner();
  Ask(&other, kOther, "unsafe");
  Wire& node = at_first.AwaitSetUp(kOther);
  Ask(&client, kTask, "unsafe");
  REQUIRE(&at_first.AwaitSetUp(kTask) == &node);
  const auto reject_and_reset = [&] {
    RefuseForCores(&node, kTask);
    node.Reset();
  };
  SUBCASE("the cancellation of an attempt") {
    InOneTurn(
        EachOrder(), [&] { other.Say(Type::kRelease, kOther, Cause::kEnded); }, reject_and_reset);
  }
  SUBCASE("a new request") {
    InOneTurn(
        EachOrder(), [&] { Ask(&other, kThird, "unsafe"); }, reject_and_reset);
  }
  Wire& next_node = at_second.AwaitSetUp(kTask);
  next_node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
}

// The same for an acceptance: the task runs, and its client receives the acceptance.
TEST_CASE_FIXTURE(
    NodeDisconnectTest,
    "an acceptance and a reset arrive in one loop iteration while bytes are written to the node") {
  StartWith(10, 5, Settings(), 0, kOneConnectionPerNode);
  Wire client = program->Owner(), other = program->Owner();
  Ask(&other, kOther, "unsafe");
  Wire& node = at_first.AwaitSetUp(kOther);
  Ask(&client, kTask, "unsafe");
  REQUIRE(&at_first.AwaitSetUp(kTask) == &node);
  InOneTurn(
      EachOrder(), [&] { other.Say(Type::kRelease, kOther, Cause::kEnded); },
      [&] {
        node.Answer(kTask, "there");
        node.Reset();
      });
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  at_second.Read();
  CHECK(at_second.SetUps(kTask) == 0);
}

// Number of bytes in the socket buffers of this port's connections, written and not read yet.
std::size_t BytesInSocketBuffers(int port) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::size_t bytes = 0;
  std::getline(table, line);
  while (std::getline(table, line)) {
    unsigned local = 0, remote = 0, sent = 0, received = 0;
    REQUIRE(std::sscanf(line.c_str(), " %*d: %*x:%x %*x:%x %*x %x:%x", &local, &remote, &sent, &received) ==
            4);
    if (static_cast<int>(remote) == port) bytes += sent;
    if (static_cast<int>(local) == port) bytes += received;
  }
  return bytes;
}

// The same if the program has queued bytes for the node that do not fit into the socket buffer.
TEST_CASE_FIXTURE(NodeDisconnectTest,
                  "a rejection and a reset arrive while the write queue to the node is backed up") {
  constexpr TaskId kChunk = 10;
  first.Narrow();
  StartWith(10, 0.001, Settings(), 0, kOneConnectionPerNode);
  Wire client = program->Owner(), other = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  Asked request{"unsafe", "25000", "shop one", "0b5e", "cores:0.01;memory:0.01;service:0c"};
  request.description = std::string(15'000, 'w');
  // Sends requests until the socket buffers are full, so that further bytes are queued in the program.
  std::size_t before = 0;
  for (TaskId sent = 0;; sent += kChunk) {
    for (TaskId id = sent + 1; id <= sent + kChunk; ++id) AskAs(&other, id, request);
    other.NothingElse();  // bytes that fit into the socket buffer have been written
    const std::size_t now = BytesInSocketBuffers(first.number());
    if (now < before + kChunk * request.description.size() / 2) break;
    before = now;
  }
  TellAndWait(json::array({Second(5)}));
  SUBCASE("a rejection") {
    program->Pause();
    RefuseForCores(&node, kTask);
    node.Reset();
    program->Resume();
    at_second.AwaitSetUp(kTask).Answer(kTask, "there");
  }
  SUBCASE("an acceptance") {
    program->Pause();
    node.Answer(kTask, "there");
    node.Reset();
    program->Resume();
  }
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
}

// An attempt whose reply was truncated may have run. An unsafe request fails. A safe one is retried at
// another node, but only after the first attempt was cancelled, which is implied by the end of its
// connection.
TEST_CASE_FIXTURE(NodeDisconnectTest, "a reply of a node is truncated") {
  StartWith(10, 5);
  Wire client = program->Owner();
  std::string class_name;
  SUBCASE("of a safe request") { TruncateReply(&client, class_name = "safe"); }
  SUBCASE("of an unsafe request") { TruncateReply(&client, class_name = "unsafe"); }
  if (class_name == "unsafe") {
    CHECK(client.Hear(Type::kRelease, kTask).cause == 41);
    at_second.Read();
    CHECK(at_second.SetUps(kTask) == 0);
  } else {
    at_second.AwaitSetUp(kTask).Answer(kTask, "there");
    CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  }
  program->Counted("agent_open", 0, "size ");
}

// No task request is written on a connection whose end has arrived, even if it has not been read yet.
TEST_CASE_FIXTURE(NodeDisconnectTest,
                  "the idle close by a node is unread when a task request is to be written") {
  StartWith(10, 5);
  Wire& node = WarmLine(&at_first);
  Wire client = program->Owner();
  const auto send_request = [&] { Ask(&client, kTask, "unsafe"); };
  SUBCASE("closed") {
    InOneTurn(EachOrder(), send_request, [&] { node.Close(); });
  }
  SUBCASE("reset") {
    InOneTurn(EachOrder(), send_request, [&] { node.Reset(); });
  }
  const Patience patience;
  while (OpenAttempts(kTask) == 0 && !client.Readable()) patience.Check();
  REQUIRE_MESSAGE(OpenAttempts(kTask) == 1, "the task request was lost with the connection");
  NodeRecord& record = at_first.SetUps(kTask) > 0 ? at_first : at_second;
  record.AwaitSetUp(kTask).Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
}

}  // namespace
}  // namespace cluster_manager::story
