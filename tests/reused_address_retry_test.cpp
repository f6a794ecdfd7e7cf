// Tests of retries inside the group of nodes that discard repeats, where a node's address is given to a node
// of another zone. The request's key is known in the zone of the process that received the first attempt.
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "scripted_list.h"
#include "story_site.h"

namespace cluster_manager::story {
namespace {

constexpr const char* kOldUid = "s-00000001";
constexpr const char* kNeighborUid = "s-00000002";  // in the zone of the old node
constexpr const char* kRemoteUid = "s-00000003";    // in the other zone
constexpr const char* kSuccessorUid = "s-00001001";
constexpr const char* kZoneA = "hall-a";
constexpr const char* kZoneB = "hall-b";

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// `group`: the scope within which repeats of a keyed request are discarded.
json SettingsOfGroup(const std::string& group) {
  json settings = Settings();
  settings["Services"][1]["Group"] = group;
  settings["Services"][1]["KeyTtl"] = 8'000'000'000;
  settings["Zones"] = {kZoneA, kZoneB};
  settings["Allowed"]["DialTimeout"] = 3'000'000'000;
  return settings;
}

json Entry(const char* uid, const Port& port, double free_cores, const char* zone,
           const std::string& state = "in_service", std::int64_t boot_ms = 0) {
  json entry = Node(uid, port.endpoint(), free_cores, state, boot_ms);
  entry["az"] = zone;
  entry["pod_group"] = zone == std::string(kZoneA) ? 1 : 2;
  return entry;
}

// One cluster manager, two nodes in one zone and one in another. The address of the first is given to a node
// of the other zone. Tasks go to the node with the most free cores.
struct ReusedAddress {
  Port bulletin, old_address, neighbor, remote;
  ScriptedList list{&bulletin};
  std::optional<Program> program;
  std::optional<Wire> client;
  std::vector<std::pair<const Port*, Wire>> connections;  // of the nodes
  bool old_address_accepts = true;

  void Start(const std::string& group, double old_cores, double neighbor_cores) {
    program.emplace(
        json{Entry(kOldUid, old_address, old_cores, kZoneA),
             Entry(kNeighborUid, neighbor, neighbor_cores, kZoneA), Entry(kRemoteUid, remote, 1, kZoneB)},
        bulletin, SettingsOfGroup(group));
    list.Start();
    client.emplace(program->Owner());
    client->NothingElse();
  }
  void ListSuccessor() {
    list.AddEvent({Entry(kOldUid, old_address, 10, kZoneA, "terminated"),
                   Entry(kSuccessorUid, old_address, 10, kZoneB, "in_service", UnixMs())});
  }
  // Waits until a task request for the task arrives at a node, and returns the connection and the node's
  // port. Answers health checks meanwhile. Null if none arrives within `ms`.
  std::pair<const Port*, Wire*> NextRequest(TaskId task, int ms = kLimitMs) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
    while (std::chrono::steady_clock::now() < until) {
      for (Port* port : {&old_address, &neighbor, &remote}) {
        if (port->socket() < 0 || (port == &old_address && !old_address_accepts)) continue;
        if (std::optional<Wire> accepted = port->AcceptWaiting())
          connections.emplace_back(port, std::move(*accepted));
      }
      for (auto& [port, wire] : connections) {
        if (!wire.Speaks(0) || wire.Ended()) continue;
        const Heard heard = wire.Hear();
        if (heard.type == Type::kHealthCheck)
          wire.Say(Type::kHealthCheckResult, heard.task, Cause::kHealthCheckPassed);
        if (heard.type == Type::kTaskRequest && heard.task == task) return {port, &wire};
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return {nullptr, nullptr};
  }
  static void FailAttempt(Wire* wire, TaskId task) { wire->Say(Type::kRelease, task, Cause::kError); }
  // The neighbor accepts a task `delay_ms` after its request.
  void RunTaskAtNeighbor(int delay_ms) {
    Ask(&*client, kOther, "unsafe");
    const auto [port, wire] = NextRequest(kOther);
    REQUIRE(port == &neighbor);
    std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
    wire->Answer(kOther, "there");
    client->Hear(Type::kTaskAccepted, kOther);
  }
  // The old node's process runs a task, dies, and another process listens at its address at once.
  void ReplaceProcess() {
    Ask(&*client, kOther, "unsafe");
    const auto [port, wire] = NextRequest(kOther);
    REQUIRE(port == &old_address);
    wire->Answer(kOther, "there");
    client->Hear(Type::kTaskAccepted, kOther);
    for (auto& [at, connection] : connections) {
      if (at == &old_address) connection.Reset();
    }
    std::erase_if(connections, [this](const auto& entry) { return entry.first == &old_address; });
    program->Logged("connection reset");
  }
};

// The first attempt fails at the neighbor, the retry waits for a dial to the old node, and the list gives the
// address to a node of the other zone before the dial comes up.
TEST_CASE_FIXTURE(ReusedAddress,
                  "a retry that waits for a dial is not sent to the next node at the address") {
  Start("zone", 5, 10);
  RunTaskAtNeighbor(400);  // attempts may take several times as long before they time out
  old_address.Clog();
  old_address_accepts = false;
  Ask(&*client, kTask, "keyed", 5000);
  const auto [port, wire] = NextRequest(kTask);
  REQUIRE(port == &neighbor);
  FailAttempt(wire, kTask);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));  // the retry is decided
  ListSuccessor();
  program->Counted("discovery_events", 1);
  old_address.Unclog();
  old_address_accepts = true;
  CHECK(NextRequest(kTask, 3000).first != &old_address);
}

TEST_CASE_FIXTURE(ReusedAddress,
                  "a retry after an attempt at a process that the list does not name yet stays there") {
  std::string group = "zone";
  SUBCASE("in a zone") {}
  SUBCASE("in a rack") { group = "cell"; }
  Start(group, 10, 5);
  ReplaceProcess();
  Ask(&*client, kTask, "keyed", 6000);
  const auto [port, wire] = NextRequest(kTask);
  REQUIRE(port == &old_address);
  FailAttempt(wire, kTask);
  const auto [retry_port, retry_wire] = NextRequest(kTask, 3000);
  REQUIRE(retry_port != nullptr);
  CHECK(retry_port == &old_address);
  retry_wire->Answer(kTask, "here");
  Heard heard = client->Hear();
  while (heard.task != kTask) heard = client->Hear();
  CHECK(heard.type == Type::kTaskAccepted);
}

TEST_CASE_FIXTURE(ReusedAddress, "a retry is not sent to a process that the list does not name yet") {
  Start("zone", 5, 10);
  RunTaskAtNeighbor(0);
  old_address.Close();
  old_address.Open();  // another process listens there
  Ask(&*client, kTask, "keyed", 6000);
  const auto [port, wire] = NextRequest(kTask);
  REQUIRE(port == &neighbor);
  FailAttempt(wire, kTask);
  CHECK(NextRequest(kTask, 3000).first != &old_address);
}

// What the process still says of the first attempt could not be told from what it says of the second.
TEST_CASE_FIXTURE(ReusedAddress,
                  "a retry is not sent again to a process that has not answered the first attempt") {
  Start("zone", 5, 10);
  Ask(&*client, kTask, "keyed", 5000);
  const auto [port, wire] = NextRequest(kTask);
  REQUIRE(port == &neighbor);
  while (wire->Hear().type != Type::kRelease) continue;  // the attempt has timed out
  wire->Say(Type::kProgress, kTask);                     // the connection is responsive
  CHECK(NextRequest(kTask, 2500).second == nullptr);
}

// The attempt is answered after the list has named the process that received it.
TEST_CASE_FIXTURE(ReusedAddress,
                  "a retry after an attempt that was moved to an address successor stays in its zone") {
  Start("zone", 10, 5);
  ReplaceProcess();
  Ask(&*client, kTask, "keyed", 6000);
  const auto [port, wire] = NextRequest(kTask);
  REQUIRE(port == &old_address);
  ListSuccessor();
  program->Counted("discovery_events", 1);
  FailAttempt(wire, kTask);
  CHECK(NextRequest(kTask, 3000).first != &neighbor);
}

}  // namespace
}  // namespace cluster_manager::story
