// Few descriptors for idle clients, more nodes than can be connected, and a discovery service that is down.
// Requests are still served, discovery is reached again, and a node that is needed can be dialed.
#include <deque>

#include "crossing_site.h"

namespace cluster_manager::story {
namespace {

struct DescriptorLimitTest {
  static constexpr rlim_t kDescriptorLimit = 48;
  static constexpr int kNodes = 64, kIdleClients = 60;

  Port discovery_port;
  std::deque<Port> ports = std::deque<Port>(kNodes);
  std::deque<NodeRecord> nodes;
  std::optional<Program> program;
  ScriptedList discovery{&discovery_port};
  std::optional<Wire> client;
  std::vector<Wire> idle_clients;
  TaskId next_task = 1;

  // The entry of a node in the endpoint list.
  json EntryOf(int i, double cores) const {
    char uid[16];
    std::snprintf(uid, sizeof uid, "s-%08x", static_cast<unsigned>(i + 1));
    return Node(uid, ports[static_cast<std::size_t>(i)].endpoint(), cores);
  }
  void Start(double cores = 0.1) {
    json list = json::array();
    for (int i = 0; i < kNodes; ++i) {
      nodes.emplace_back(&ports[static_cast<std::size_t>(i)]);
      list.push_back(EntryOf(i, cores));
    }
    program.emplace(list, discovery_port, Settings(), kDescriptorLimit);
    program->Owner().NothingElse();  // the program is running
  }
  // Connects clients that send nothing. On return the program has accepted all of them and evicted those over
  // the limit.
  void ConnectIdleClients() {
    for (int i = 0; i < kIdleClients; ++i) idle_clients.push_back(program->Owner());
    program->Owner().NothingElse();
  }
  void UpdateEndpointList(const json& nodes_listed) {
    discovery.AddEvent(nodes_listed);
    program->Counted("discovery_events", discovery.event_count());
  }
  // Ends the discovery stream and refuses connections until ReopenDiscovery().
  void CloseDiscovery() {
    discovery.Stop();
    discovery_port.Close();
    program->Logged("discovery: closed");
  }
  void ReopenDiscovery() {
    discovery_port.Open();
    discovery.Start();
  }
  // Waits for the task request at that node. Other nodes that get the request first reject it for lack of
  // capacity. The program may try a node at which a task has just ended: it assumes that the endpoint list
  // lags behind, and that the list shows the start of that task and not its end yet
  // (tests/scheduling_placement_test.cpp, TaskEndThatIsNotListedYet...).
  Wire& AwaitTaskRequestAt(int i, TaskId task) {
    NodeRecord& expected = nodes[static_cast<std::size_t>(i)];
    const Patience patience;
    while (expected.SetUps(task) == 0) {
      patience.Check();
      for (NodeRecord& node : nodes) {
        if (&node != &expected) RejectIfRequested(&node, task);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      expected.Read();
    }
    return expected.AwaitSetUp(task);
  }
  static void RejectIfRequested(NodeRecord* node, TaskId task) {
    for (const auto& [node_connection, received_task] : node->Unanswered()) {
      if (received_task == task) RefuseForCores(node_connection, task);
    }
  }
  // Checks that a request is served by that node, the only one with capacity, and that its completion is
  // delivered.
  void CheckServedBy(int i) {
    CAPTURE(i);
    const TaskId task = next_task++;
    if (!client || client->Ended()) client.emplace(program->Owner());
    Ask(&*client, task, "unsafe");
    Wire& node_connection = AwaitTaskRequestAt(i, task);
    node_connection.Answer(task, "there");
    CHECK(client->Hear(Type::kTaskAccepted, task).description == "there");
    node_connection.Say(Type::kRelease, task, Cause::kEnded);
    CHECK(client->Hear(Type::kRelease, task).cause == 16);
    client->Say(Type::kReleaseConfirmed, task);
  }
  // Sends an endpoint list in which only that node has capacity.
  void SetOnlyCapacityAt(int i) {
    json list = json::array({EntryOf(i, 10)});
    if (i > 0) list.push_back(EntryOf(i - 1, 0.1));
    UpdateEndpointList(list);
  }
  void CheckNoDescriptorShortage() {
    program->Signal(SIGUSR1);
    CHECK(program->Logged("counter node_dials_failed ") == "0");
    CHECK(program->Logged("counter accept_failed ") == "0");
    CHECK(program->Logged("counter attempts_no_connection ") == "0");
  }
};

// Idle connections to nodes are evicted for connections that are needed, while clients hold their share.
TEST_CASE_FIXTURE(DescriptorLimitTest,
                  "more nodes than descriptors are each used once while idle clients hold their share") {
  Start();
  SUBCASE("no idle clients") {}
  SUBCASE("idle clients") { ConnectIdleClients(); }
  for (int i = 0; i < kNodes; ++i) {
    SetOnlyCapacityAt(i);
    CheckServedBy(i);
  }
  CheckNoDescriptorShortage();
}

// An open attempt is not lost when descriptors are needed for another node.
TEST_CASE_FIXTURE(DescriptorLimitTest, "a connection with an open attempt is not evicted") {
  Start();
  client.emplace(program->Owner());
  SetOnlyCapacityAt(0);
  Ask(&*client, kTask, "unsafe");
  Wire& node_connection = nodes[0].AwaitSetUp(kTask);
  ConnectIdleClients();
  for (int i = 1; i < kNodes; ++i) {
    SetOnlyCapacityAt(i);
    CheckServedBy(i);
  }
  node_connection.Answer(kTask, "there");
  CHECK(client->Hear(Type::kTaskAccepted, kTask).description == "there");
  CheckNoDescriptorShortage();
}

// While discovery refuses connections, idle clients may use all descriptors of their share, and open requests
// are still answered. Discovery is reached again once it is back, and its updates are applied.
TEST_CASE_FIXTURE(DescriptorLimitTest,
                  "discovery fails while idle clients hold their share of descriptors and then recovers") {
  Start();
  SetOnlyCapacityAt(0);
  client.emplace(program->Owner());
  Ask(&*client, kTask, "unsafe");
  Wire& node_connection = nodes[0].AwaitSetUp(kTask);
  CloseDiscovery();
  ConnectIdleClients();
  node_connection.Answer(kTask, "there");
  CHECK(client->Hear(Type::kTaskAccepted, kTask).description == "there");
  CheckServedBy(0);
  ConnectIdleClients();
  ReopenDiscovery();
  for (int i = 1; i < 20; ++i) {
    SetOnlyCapacityAt(i);
    CheckServedBy(i);
  }
  program->Signal(SIGUSR1);
  CHECK(program->Logged("counter accept_failed ") == "0");
  CHECK(program->Logged("counter attempts_no_connection ") == "0");
}

// Requests that are spread over more nodes than there are descriptors get one reply each, and the idle
// connections that remain do not prevent the reconnect to discovery.
TEST_CASE_FIXTURE(DescriptorLimitTest,
                  "discovery is down while requests go to more nodes than there are descriptors") {
  constexpr TaskId kRequests = kNodes;
  Start(1);
  UpdateEndpointList(json::array({EntryOf(0, 1)}));
  CloseDiscovery();
  ConnectIdleClients();
  client.emplace(program->Owner());
  for (TaskId task = 1; task <= kRequests; ++task) Ask(&*client, task, "unsafe");
  std::set<TaskId> answered, rejected;
  const Patience patience;
  while (answered.size() + rejected.size() < kRequests) {
    patience.Check();
    for (NodeRecord& node : nodes) {
      for (const auto& [node_connection, task] : node.Unanswered()) {
        node_connection->Answer(task, "there");
        node_connection->Say(Type::kRelease, task, Cause::kEnded);
      }
    }
    while (client->Speaks(1)) {
      const Heard message = client->Hear();
      if (message.type == Type::kTaskAccepted) CHECK(answered.insert(message.task).second);
      if (message.type != Type::kRelease || answered.contains(message.task)) continue;
      CHECK(message.cause == 42);  // no task ran: rejected, not failed
      CHECK(rejected.insert(message.task).second);
    }
  }
  ReopenDiscovery();
  SetOnlyCapacityAt(0);
}

}  // namespace
}  // namespace cluster_manager::story
