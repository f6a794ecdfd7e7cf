// Tests of address reuse: a node's process dies and another node's process starts at the same address before
// the endpoint list reports it, so that tasks placed in between are recorded under the old node's uid.
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "story_site.h"

namespace cluster_manager::story {
namespace {

constexpr const char* kOldUid = "s-00000001";
constexpr const char* kSuccessorUid = "s-00001001";

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A node that receives every task; kTask is running there.
struct ReusedAddressFixture : Site {
  std::optional<Wire> client, node, discovery;
  std::vector<Wire> successor_connections;
  Wire* successor = nullptr;  // the connection that received the latest task request
  int list_version = 1;

  void StartWithRunningTask() {
    Start();
    discovery.emplace(bulletin.Accept());
    client.emplace(program->Owner());
    client->NothingElse();  // the program is running and handles signals
    discovery->Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
    PublishEndpoints({Node("s-00000002", second.endpoint(), 5, "terminated")});
    Ask(&*client, kTask, "unsafe");
    node.emplace(first.Accept());
    node->Hear(Type::kTaskRequest, kTask);
    node->Answer(kTask, "there");
    client->Hear(Type::kTaskAccepted, kTask);
  }
  void PublishEndpoints(const std::vector<json>& nodes) {
    const std::string event_id = std::to_string(++list_version);
    discovery->Raw("id: " + event_id + "\ndata: " + Event(list_version, json(nodes)).dump() + "\n\n");
    program->Counted("discovery_events", list_version - 1);
  }
  // Requests a task, accepts connections at the address and answers health checks on them until the task
  // request arrives on one.
  void PlaceTask(TaskId task) {
    Ask(&*client, task, "unsafe");
    const Patience patience;
    while (true) {
      patience.Check();
      if (first.Dialled(2)) successor_connections.push_back(first.Accept());
      for (Wire& connection : successor_connections) {
        if (!connection.Speaks(2)) continue;
        const Heard heard = connection.Hear();
        if (heard.type == Type::kHealthCheck)
          connection.Say(Type::kHealthCheckResult, heard.task, Cause::kHealthCheckPassed);
        if (heard.type != Type::kTaskRequest) continue;
        CHECK(heard.task == task);
        successor = &connection;
        return;
      }
    }
  }
  json RemovedEntry() const { return Node(kOldUid, first.endpoint(), 10, "terminated"); }
  json SuccessorEntry(std::int64_t boot_ms) const {
    return Node(kSuccessorUid, first.endpoint(), 10, "in_service", boot_ms);
  }
  // Longer than kRemovalGracePeriod of the failure detector.
  void WaitForGracePeriod() { std::this_thread::sleep_for(std::chrono::milliseconds(1500)); }
};

TEST_CASE_FIXTURE(
    ReusedAddressFixture,
    "a task accepted by the new process at a dead node's address continues under the successor's uid") {
  StartWithRunningTask();
  first.Close();
  node->Reset();
  CHECK(client->Hear(Type::kRelease, kTask).cause == 41);
  std::int64_t boot_ms = NowMs();
  first.Open();
  PlaceTask(kOther);
  bool accepted_late = false, successor_first = false, in_one_event = true;
  SUBCASE("removed and successor in one event") {}
  SUBCASE("the endpoint list gives no start time of the successor") { boot_ms = 0; }
  SUBCASE("the successor accepts the task after the endpoint list has changed") { accepted_late = true; }
  SUBCASE("the successor in the first of two events") {
    in_one_event = false;
    successor_first = true;
  }
  SUBCASE("the successor in the second of two events") { in_one_event = false; }
  if (!accepted_late) {
    successor->Answer(kOther, "here");
    client->Hear(Type::kTaskAccepted, kOther);
  }
  if (in_one_event) {
    PublishEndpoints({RemovedEntry(), SuccessorEntry(boot_ms)});
  } else {
    PublishEndpoints({successor_first ? SuccessorEntry(boot_ms) : RemovedEntry()});
    PublishEndpoints({successor_first ? RemovedEntry() : SuccessorEntry(boot_ms)});
  }
  WaitForGracePeriod();
  if (accepted_late) {
    successor->Answer(kOther, "here");
    client->Hear(Type::kTaskAccepted, kOther);
  }
  client->NothingElse();
  program->Counted("tasks_moved_to_address_successor", 1);
  // The successor is in service: another task is placed there, and its completions are received.
  PlaceTask(3);
  successor->Answer(3, "here");
  client->Hear(Type::kTaskAccepted, 3);
  successor->Say(Type::kRelease, kOther, Cause::kEnded);
  CHECK(client->Hear(Type::kRelease, kOther).cause == 16);
  // Its death ends the running task.
  first.Close();
  for (Wire& connection : successor_connections) connection.Reset();
  CHECK(client->Hear(Type::kRelease, 3).cause == 41);
}

TEST_CASE_FIXTURE(ReusedAddressFixture,
                  "after a replacement between two dials only tasks attributed to the successor continue") {
  StartWithRunningTask();
  node->Reset();  // the port stays open, so that no dial is refused
  program->Logged("connection reset");
  PlaceTask(kOther);
  successor->Answer(kOther, "here");
  client->Hear(Type::kTaskAccepted, kOther);
  bool neither_attributed = false;
  SUBCASE("the endpoint list gives the start time of the successor") {
    // Later than the start of both tasks: neither is known to run at the successor.
    PublishEndpoints({RemovedEntry(), SuccessorEntry(NowMs() + 1)});
    neither_attributed = true;
  }
  SUBCASE("the endpoint list gives no start time") { PublishEndpoints({RemovedEntry(), SuccessorEntry(0)}); }
  if (neither_attributed) {
    const Heard first_end = client->Hear(), second_end = client->Hear();
    CHECK(first_end.type == Type::kRelease);
    CHECK(second_end.type == Type::kRelease);
    CHECK(first_end.task + second_end.task == kTask + kOther);
    return;
  }
  CHECK(client->Hear(Type::kRelease, kTask).cause == 41);
  client->NothingElse();
  successor->Say(Type::kRelease, kOther, Cause::kEnded);
  CHECK(client->Hear(Type::kRelease, kOther).cause == 16);
}

TEST_CASE_FIXTURE(
    ReusedAddressFixture,
    "a task that cannot be attributed to the successor is stopped at the node and reported as ended") {
  StartWithRunningTask();
  SUBCASE("with a successor") { PublishEndpoints({RemovedEntry(), SuccessorEntry(0)}); }
  SUBCASE("without a successor") { PublishEndpoints({RemovedEntry()}); }
  CHECK(client->Hear(Type::kRelease, kTask).cause == 41);
  Heard heard = node->Hear();
  while (heard.type == Type::kHealthCheck) heard = node->Hear();
  CHECK(heard.type == Type::kRelease);
  CHECK(heard.task == kTask);
  CHECK(heard.cause == 31);
}

}  // namespace
}  // namespace cluster_manager::story
