// Several cluster manager processes, which do not communicate with each other, share the budget of task
// requests that a node gets during its slow start. The tests count the requests that the node receives. The
// time window of the budget is set to decades, so that all requests fall into one window however slow the
// machine is.
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "scripted_list.h"
#include "story_site.h"

namespace cluster_manager::story {
namespace {

constexpr double kCapacity = 100'000;  // of a node, which is never exhausted

json GroupSettings(int processes, int ordinal, int send_budget) {
  json settings = Settings();
  settings["GroupSize"] = processes;
  settings["Ordinal"] = ordinal;
  settings["FamilyInfo"]["ColdSends"] = send_budget;
  settings["FamilyInfo"]["CoresByKind"] = settings["FamilyInfo"]["MemoryByKind"] = {kCapacity};
  settings["Rules"] = {{"Cold", 600'000'000'000}, {"ColdFrom", 0.2}, {"Fall", 2'000'000'000'000'000'000}};
  return settings;
}

std::int64_t UnixMs() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

// A node that accepts every task and completes it immediately, and counts the task requests it receives.
class CountingNode {
 public:
  explicit CountingNode(std::string uid) : uid_(std::move(uid)) {}

  json Listed(std::int64_t boot_ms) const {
    json entry = Node(uid_, port_.endpoint(), kCapacity, "in_service", boot_ms);
    entry["unasked"] = {kCapacity, kCapacity};
    return entry;
  }
  // Accepts the waiting connections and handles the messages that have arrived.
  void HandleInput() {
    while (port_.Dialled()) connections_.push_back({port_.Accept(), {}});
    std::erase_if(connections_, [this](NodeSideConnection& connection) { return !ReadFrom(&connection); });
  }
  int requests_received() const { return requests_received_; }

 private:
  struct NodeSideConnection {
    Wire wire;
    std::string unread;
  };

  // Whether the connection is still open.
  bool ReadFrom(NodeSideConnection* connection) {
    while (connection->wire.Readable()) {
      const std::string bytes = connection->wire.Bytes();
      if (bytes.empty()) return false;
      connection->unread += bytes;
    }
    protocol::Message message;
    std::size_t size = 0;
    while (protocol::Decode(connection->unread, &message, &size) == protocol::DecodeStatus::kMessage) {
      if (message.type == Type::kHealthCheck)
        connection->wire.Say(Type::kHealthCheckResult, message.task, Cause::kHealthCheckPassed);
      if (message.type == Type::kTaskRequest) {
        ++requests_received_;
        connection->wire.Answer(message.task, "up");
        connection->wire.Say(Type::kRelease, message.task, Cause::kEnded);
      }
      connection->unread.erase(0, size);
    }
    return true;
  }

  const std::string uid_;
  Port port_;
  std::vector<NodeSideConnection> connections_;
  int requests_received_ = 0;
};

struct SlowStartTest {
  const int send_budget;
  Port discovery_port;
  CountingNode established{"s-00000001"};
  std::vector<std::unique_ptr<CountingNode>> starting;  // in the order of their starts
  std::vector<std::unique_ptr<Program>> programs;
  ScriptedList list{&discovery_port};
  std::vector<Wire> clients;
  std::chrono::steady_clock::time_point next_health_check_at;
  int requested = 0, completed = 0;  // requests sent; completions received by the clients
  TaskId last_task = 0;

  SlowStartTest(int processes, int budget) : send_budget(budget) {
    for (int i = 0; i < processes; ++i) {
      programs.push_back(
          std::make_unique<Program>(json::array(), discovery_port, GroupSettings(processes, i, send_budget)));
      programs.back()->Owner().NothingElse();  // it runs before any node starts
    }
    list.Start();
    // Connected only now, since connections of clients without requests are closed after some seconds.
    for (const auto& program : programs) clients.push_back(program->Owner());
  }
  // Sends the whole endpoint list and waits until all cluster managers have applied it.
  void UpdateEndpointList(const std::vector<json>& nodes) {
    list.AddEvent(json(nodes), true);
    for (const auto& program : programs) {
      program->Counted("discovery_events", list.event_count());
      KeepConnections();
    }
  }
  // Sends four requests to each cluster manager, and waits until each request has an attempt or is queued.
  void SendRequests() {
    constexpr int kTasks = 4;
    for (Wire& client : clients) {
      for (int i = 0; i < kTasks; ++i) Ask(&client, ++last_task, "unsafe");
      const TaskId health_check = 0xfeedULL << 32;
      client.Say(Type::kHealthCheck, health_check, Cause::kHealthCheckFailed);
      while (ReceiveMessage(&client).task != health_check) {
      }
    }
    requested += kTasks * static_cast<int>(clients.size());
  }
  Heard ReceiveMessage(Wire* client) {
    Heard message = client->Hear();
    if (message.type == Type::kRelease) ++completed;
    return message;
  }
  // Sends a health check each second, since client connections without traffic are closed after some seconds
  // and the duration of the test depends on the machine.
  void KeepConnections() {
    const auto now = std::chrono::steady_clock::now();
    if (now < next_health_check_at) return;
    next_health_check_at = now + std::chrono::seconds(1);
    constexpr TaskId kHealthCheck = 0xfeedULL << 40;
    for (Wire& client : clients) client.Say(Type::kHealthCheck, kHealthCheck, Cause::kHealthCheckFailed);
  }
  template <typename Done>
  void RunUntil(Done done) {
    const Patience patience;
    while (!done()) {
      patience.Check();
      KeepConnections();
      established.HandleInput();
      for (const auto& node : starting) node->HandleInput();
      for (Wire& client : clients) {
        while (client.Speaks(0)) ReceiveMessage(&client);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  // Starts a node and sends more tasks than its budget. `meanwhile` changes the endpoint list between the
  // first tasks and the others. Tasks beyond the shares of the budget are queued, and are placed on another
  // node that needs no slow start once that is listed. When all tasks have completed, the new node must have
  // received `sends` requests, the sum of all shares.
  void StartNode(const std::string& scenario, int sends,
                 const std::function<void(CountingNode*, std::int64_t* boot)>& meanwhile) {
    INFO(scenario);
    starting.push_back(std::make_unique<CountingNode>("s-0000001" + std::to_string(starting.size())));
    CountingNode* node = starting.back().get();
    std::int64_t boot = UnixMs() + 1;
    UpdateEndpointList({node->Listed(boot)});
    SendRequests();
    const int completed_before = completed;
    RunUntil([&] { return completed - completed_before >= sends; });
    meanwhile(node, &boot);
    SendRequests();
    UpdateEndpointList({node->Listed(boot), established.Listed(0)});
    RunUntil([&] { return completed == requested; });
    CHECK(node->requests_received() == sends);
    CHECK(node->requests_received() <= send_budget);
  }
  void RunAll(int sends) {
    StartNode("one incarnation in one endpoint list", sends, [](CountingNode*, std::int64_t*) {});
    StartNode("the endpoint list omits the node for a moment", sends,
              [this](CountingNode* node, const std::int64_t* boot) {
                UpdateEndpointList({});
                UpdateEndpointList({node->Listed(*boot)});
              });
    StartNode("the node restarts", sends, [this](CountingNode* node, std::int64_t* boot) {
      UpdateEndpointList({node->Listed(++*boot)});
    });
  }
};

TEST_CASE("slow start: three cluster managers together send a starting node exactly its budget") {
  SlowStartTest(3, 9).RunAll(9);
}

TEST_CASE("slow start: sixteen cluster managers together stay within the budget of a starting node") {
  SlowStartTest(16, 24).RunAll(16 + 8 / 3 + 1);
}

TEST_CASE("slow start: thirty cluster managers that outnumber the budget of requests stay within it") {
  SlowStartTest(30, 24).RunAll(24 / 3);
}

}  // namespace
}  // namespace cluster_manager::story
