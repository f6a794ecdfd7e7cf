// A node ends its connection while something else is under way: what it said in full before counts, what it
// did not say may have run, and what was written too late went nowhere.
#include <cstdio>
#include <fstream>

#include "crossing_site.h"

namespace cluster_manager::story {
namespace {

struct NodeEndsSite : CrossingSite {
  static constexpr rlim_t kOneLineEach = 48;  // so few descriptors that each node gets one connection

  // Attempts that the nodes were sent and that nobody has given up.
  std::size_t Out(TaskId task) {
    at_first.Read();
    at_second.Read();
    return at_first.SetUps(task) + at_second.SetUps(task) - at_first.Count(Type::kRelease, task) -
           at_second.Count(Type::kRelease, task);
  }
  void BreakOff(Wire* client, const std::string& class_name) {
    Ask(client, kTask, class_name);
    Wire& line = at_first.AwaitSetUp(kTask);
    std::string answer;
    protocol::Writer(&answer, Type::kTaskAccepted, kTask)
        .Add(Code::kDescription, std::string_view("half of it"));
    line.Raw(answer.substr(0, answer.size() / 2));
    SUBCASE("then the node closes") { line.Close(); }
    SUBCASE("then the node resets") { line.Reset(); }
    SUBCASE("then the node closes its half") { line.HalfClose(); }
    SUBCASE("then nothing comes") { CHECK(line.Closed()); }
  }
};

// Must: what a node said in full before it reset counts, also where the program writes to it before it reads.
TEST_CASE_FIXTURE(NodeEndsSite, "a refusal and a reset in one turn, with bytes to write to that node") {
  StartWith(10, 5, Settings(), 0, kOneLineEach);
  Wire client = program->Owner(), other = program->Owner();
  Ask(&other, kOther, "unsafe");
  Wire& line = at_first.AwaitSetUp(kOther);
  Ask(&client, kTask, "unsafe");
  REQUIRE(&at_first.AwaitSetUp(kTask) == &line);
  const auto refuse_and_reset = [&] {
    RefuseForCores(&line, kTask);
    line.Reset();
  };
  SUBCASE("a set-up that is given up") {
    InOneTurn(
        EachOrder(), [&] { other.Say(Type::kRelease, kOther, Cause::kEnded); }, refuse_and_reset);
  }
  SUBCASE("a new set-up") {
    InOneTurn(
        EachOrder(), [&] { Ask(&other, kThird, "unsafe"); }, refuse_and_reset);
  }
  Wire& next = at_second.AwaitSetUp(kTask);
  next.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
}

// Must: an answer likewise: the task stands, and its client is answered.
TEST_CASE_FIXTURE(NodeEndsSite, "an answer and a reset in one turn, with bytes to write to that node") {
  StartWith(10, 5, Settings(), 0, kOneLineEach);
  Wire client = program->Owner(), other = program->Owner();
  Ask(&other, kOther, "unsafe");
  Wire& line = at_first.AwaitSetUp(kOther);
  Ask(&client, kTask, "unsafe");
  REQUIRE(&at_first.AwaitSetUp(kTask) == &line);
  InOneTurn(
      EachOrder(), [&] { other.Say(Type::kRelease, kOther, Cause::kEnded); },
      [&] {
        line.Answer(kTask, "there");
        line.Reset();
      });
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  at_second.Read();
  CHECK(at_second.SetUps(kTask) == 0);
}

// Bytes of this port's connections that lie in the kernel, written there and not read.
std::size_t InKernel(int port) {
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

// Must: the same where the program still has bytes for the node that the socket did not take.
TEST_CASE_FIXTURE(NodeEndsSite, "a refusal and a reset while a write queue waits for the node to read") {
  constexpr TaskId kChunk = 10;
  first.Narrow();
  StartWith(10, 0.001, Settings(), 0, kOneLineEach);
  Wire client = program->Owner(), other = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& line = at_first.AwaitSetUp(kTask);
  Asked asked{"unsafe", "25000", "shop one", "0b5e", "cores:0.01;memory:0.01;service:0c"};
  asked.description = std::string(15'000, 'w');
  // Until the kernel takes no more: what is sent then waits in the program.
  std::size_t before = 0;
  for (TaskId sent = 0;; sent += kChunk) {
    for (TaskId id = sent + 1; id <= sent + kChunk; ++id) AskAs(&other, id, asked);
    other.NothingElse();  // what the socket takes of them has been written
    const std::size_t now = InKernel(first.number());
    if (now < before + kChunk * asked.description.size() / 2) break;
    before = now;
  }
  TellAndWait(json::array({Second(5)}));
  SUBCASE("a refusal") {
    program->Pause();
    RefuseForCores(&line, kTask);
    line.Reset();
    program->Resume();
    at_second.AwaitSetUp(kTask).Answer(kTask, "there");
  }
  SUBCASE("an answer") {
    program->Pause();
    line.Answer(kTask, "there");
    line.Reset();
    program->Resume();
  }
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
}

// Must: an attempt whose answer broke off may have run. An unsafe one fails; a safe one is tried elsewhere,
// and only once the first was given up, which the end of its connection does.
TEST_CASE_FIXTURE(NodeEndsSite, "an answer that breaks off") {
  StartWith(10, 5);
  Wire client = program->Owner();
  std::string class_name;
  SUBCASE("of a safe task") { BreakOff(&client, class_name = "safe"); }
  SUBCASE("of an unsafe task") { BreakOff(&client, class_name = "unsafe"); }
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

// Must: a connection that its node had closed before the write carries no set-up: the word is in the kernel.
TEST_CASE_FIXTURE(NodeEndsSite, "the node's idle close is unread when a set-up would be written") {
  StartWith(10, 5);
  Wire& line = WarmLine(&at_first);
  Wire client = program->Owner();
  const auto ask = [&] { Ask(&client, kTask, "unsafe"); };
  SUBCASE("closed") {
    InOneTurn(EachOrder(), ask, [&] { line.Close(); });
  }
  SUBCASE("reset") {
    InOneTurn(EachOrder(), ask, [&] { line.Reset(); });
  }
  const Patience patience;
  while (Out(kTask) == 0 && !client.Readable()) patience.Check();
  REQUIRE_MESSAGE(Out(kTask) == 1, "the set-up was lost with the connection");
  NodeRecord& record = at_first.SetUps(kTask) > 0 ? at_first : at_second;
  record.AwaitSetUp(kTask).Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
}

}  // namespace
}  // namespace cluster_manager::story
