// Few descriptors and many who want one: clients that say nothing, more nodes than there is room for, and a
// list that is down. Requests go on, the list is reached again, and a node that is needed can be dialled.
#include <deque>

#include "crossing_site.h"

namespace cluster_manager::story {
namespace {

struct Crowded {
  static constexpr rlim_t kDescriptors = 48;
  static constexpr int kNodes = 64, kIdleClients = 60;

  Port bulletin;
  std::deque<Port> ports = std::deque<Port>(kNodes);
  std::deque<NodeRecord> nodes;
  std::optional<Program> program;
  ScriptedList discovery{&bulletin};
  std::optional<Wire> client;
  std::vector<Wire> idle;
  TaskId next_task = 1;

  // Only the node at `with_room` has room for anything.
  json NodeAt(int i, double cores) const {
    char uid[16];
    std::snprintf(uid, sizeof uid, "s-%08x", static_cast<unsigned>(i + 1));
    return Node(uid, ports[static_cast<std::size_t>(i)].endpoint(), cores);
  }
  void Start(double cores = 0.1) {
    json list = json::array();
    for (int i = 0; i < kNodes; ++i) {
      nodes.emplace_back(&ports[static_cast<std::size_t>(i)]);
      list.push_back(NodeAt(i, cores));
    }
    program.emplace(list, bulletin, Settings(), kDescriptors);
    program->Owner().NothingElse();  // it is at work
  }
  // Clients that say nothing; the program has accepted them all, and closed whom it had no room for.
  void Crowd() {
    for (int i = 0; i < kIdleClients; ++i) idle.push_back(program->Owner());
    program->Owner().NothingElse();
  }
  void Tell(const json& nodes_listed) {
    discovery.AddEvent(nodes_listed);
    program->Counted("discovery_events", discovery.event_count());
  }
  // The list refuses connections, and has ended its stream, until ReopenDiscovery().
  void CloseDiscovery() {
    discovery.Stop();
    bulletin.Close();
    program->Logged("discovery: closed");
  }
  void ReopenDiscovery() {
    bulletin.Open();
    discovery.Start();
  }
  // Waits for the set-up at that node; another that gets it first refuses it, as a node without room does.
  // The program may try one that it has just had a task at: it takes the list to be late, and a list of that
  // age shows the task's start and not its end (tests/scheduling_placement_test.cpp,
  // TaskEndThatIsNotListedYet...).
  Wire& AwaitSetUpAt(int i, TaskId task) {
    NodeRecord& wanted = nodes[static_cast<std::size_t>(i)];
    const Patience patience;
    while (wanted.SetUps(task) == 0) {
      patience.Check();
      for (NodeRecord& node : nodes) {
        if (&node != &wanted) RefuseIfSetUp(&node, task);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      wanted.Read();
    }
    return wanted.AwaitSetUp(task);
  }
  static void RefuseIfSetUp(NodeRecord* node, TaskId task) {
    for (const auto& [line, got] : node->Unanswered()) {
      if (got == task) RefuseForCores(line, task);
    }
  }
  // The request is served by that node, which alone has room, and its task comes to its end.
  void ServedBy(int i) {
    CAPTURE(i);
    const TaskId task = next_task++;
    if (!client || client->Ended()) client.emplace(program->Owner());
    Ask(&*client, task, "unsafe");
    Wire& line = AwaitSetUpAt(i, task);
    line.Answer(task, "there");
    CHECK(client->Hear(Type::kTaskAccepted, task).description == "there");
    line.Say(Type::kRelease, task, Cause::kEnded);
    CHECK(client->Hear(Type::kRelease, task).cause == 16);
    client->Say(Type::kReleaseConfirmed, task);
  }
  void OnlyRoomAt(int i) {
    json list = json::array({NodeAt(i, 10)});
    if (i > 0) list.push_back(NodeAt(i - 1, 0.1));
    Tell(list);
  }
  void NoDescriptorWasMissing() {
    program->Signal(SIGUSR1);
    CHECK(program->Logged("counter node_dials_failed ") == "0");
    CHECK(program->Logged("counter accept_failed ") == "0");
    CHECK(program->Logged("counter attempts_no_connection ") == "0");
  }
};

// Must: idle connections to nodes make room for one that is needed, while clients hold their share.
TEST_CASE_FIXTURE(Crowded, "more nodes than descriptors, each needed once, while idle clients hold theirs") {
  Start();
  SUBCASE("no idle clients") {}
  SUBCASE("idle clients") { Crowd(); }
  for (int i = 0; i < kNodes; ++i) {
    OnlyRoomAt(i);
    ServedBy(i);
  }
  NoDescriptorWasMissing();
}

// Must: a task that is under way is not lost to the need of another node.
TEST_CASE_FIXTURE(Crowded, "a connection with a set-up open on it is not the one that makes room") {
  Start();
  client.emplace(program->Owner());
  OnlyRoomAt(0);
  Ask(&*client, kTask, "unsafe");
  Wire& line = nodes[0].AwaitSetUp(kTask);
  Crowd();
  for (int i = 1; i < kNodes; ++i) {
    OnlyRoomAt(i);
    ServedBy(i);
  }
  line.Answer(kTask, "there");
  CHECK(client->Hear(Type::kTaskAccepted, kTask).description == "there");
  NoDescriptorWasMissing();
}

// Must: while the list refuses connections idle clients may take all that is left to them, and what runs gets
// its answer; the list is reached once it is back, and what it tells holds.
TEST_CASE_FIXTURE(Crowded, "the list is down while idle clients fill the descriptors, then it is back") {
  Start();
  OnlyRoomAt(0);
  client.emplace(program->Owner());
  Ask(&*client, kTask, "unsafe");
  Wire& line = nodes[0].AwaitSetUp(kTask);
  CloseDiscovery();
  Crowd();
  line.Answer(kTask, "there");
  CHECK(client->Hear(Type::kTaskAccepted, kTask).description == "there");
  ServedBy(0);
  Crowd();
  ReopenDiscovery();
  for (int i = 1; i < 20; ++i) {
    OnlyRoomAt(i);
    ServedBy(i);
  }
  program->Signal(SIGUSR1);
  CHECK(program->Logged("counter accept_failed ") == "0");
  CHECK(program->Logged("counter attempts_no_connection ") == "0");
}

// Must: requests that spread over more nodes than there are descriptors get one word each, and the idle
// connections they leave do not keep the list from being reached again.
TEST_CASE_FIXTURE(Crowded, "the list is down while requests go to more nodes than there are descriptors") {
  constexpr TaskId kMany = kNodes;
  Start(1);
  Tell(json::array({NodeAt(0, 1)}));
  CloseDiscovery();
  Crowd();
  client.emplace(program->Owner());
  for (TaskId task = 1; task <= kMany; ++task) Ask(&*client, task, "unsafe");
  std::set<TaskId> answered, refused;
  const Patience patience;
  while (answered.size() + refused.size() < kMany) {
    patience.Check();
    for (NodeRecord& node : nodes) {
      for (const auto& [line, task] : node.Unanswered()) {
        line->Answer(task, "there");
        line->Say(Type::kRelease, task, Cause::kEnded);
      }
    }
    while (client->Speaks(1)) {
      const Heard heard = client->Hear();
      if (heard.type == Type::kTaskAccepted) CHECK(answered.insert(heard.task).second);
      if (heard.type != Type::kRelease || answered.contains(heard.task)) continue;
      CHECK(heard.cause == 42);  // nothing ran: refused, not failed
      CHECK(refused.insert(heard.task).second);
    }
  }
  ReopenDiscovery();
  OnlyRoomAt(0);
}

}  // namespace
}  // namespace cluster_manager::story
