// Stories of addresses that are used again: the list is silent while a node's process dies and another comes
// up in its place, so that for a while tasks go to the new one under the old one's uid.
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "story_site.h"

namespace cluster_manager::story {
namespace {

constexpr const char* kOld = "s-00000001";
constexpr const char* kNew = "s-00001001";

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// One node that anything goes to; kTask stands there.
struct Address : Site {
  std::optional<Wire> owner, agent, feed;
  std::vector<Wire> lines;  // to the process that came after
  Wire* heir = nullptr;     // of these, where the last set-up went
  int number = 1;

  void Begin() {
    Start();
    feed.emplace(bulletin.Accept());
    owner.emplace(program->Owner());
    owner->NothingElse();  // it is at work, and takes signals
    feed->Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
    Tell({Node("s-00000002", second.endpoint(), 5, "terminated")});
    Ask(&*owner, kTask, "unsafe");
    agent.emplace(first.Accept());
    agent->Hear(Type::kTaskRequest, kTask);
    agent->Answer(kTask, "there");
    owner->Hear(Type::kTaskAccepted, kTask);
  }
  void Tell(const std::vector<json>& nodes) {
    const std::string id = std::to_string(++number);
    feed->Raw("id: " + id + "\ndata: " + Event(number, json(nodes)).dump() + "\n\n");
    program->Counted("discovery_events", number - 1);
  }
  // Whoever is at the address answers tests, until a set-up comes, on whichever connection.
  void Takes(TaskId task) {
    Ask(&*owner, task, "unsafe");
    const Patience patience;
    while (true) {
      patience.Check();
      if (first.Dialled(2)) lines.push_back(first.Accept());
      for (Wire& line : lines) {
        if (!line.Speaks(2)) continue;
        const Heard heard = line.Hear();
        if (heard.type == Type::kHealthCheck)
          line.Say(Type::kHealthCheckResult, heard.task, Cause::kHealthCheckPassed);
        if (heard.type != Type::kTaskRequest) continue;
        CHECK(heard.task == task);
        heir = &line;
        return;
      }
    }
  }
  json Gone() const { return Node(kOld, first.endpoint(), 10, "terminated"); }
  json Heir(std::int64_t boot_ms) const { return Node(kNew, first.endpoint(), 10, "in_service", boot_ms); }
  // Longer than the last words of a node that has gone are waited for.
  void Wait() { std::this_thread::sleep_for(std::chrono::milliseconds(1500)); }
};

TEST_CASE_FIXTURE(Address,
                  "what a new process at the address of a dead node took goes on under its own uid") {
  Begin();
  first.Close();
  agent->Reset();
  CHECK(owner->Hear(Type::kRelease, kTask).cause == 41);
  std::int64_t boot_ms = NowMs();
  first.Open();
  Takes(kOther);
  bool late_answer = false, heir_first = false, at_once = true;
  SUBCASE("gone and heir in one event") {}
  SUBCASE("the list does not tell since when it is up") { boot_ms = 0; }
  SUBCASE("its answer comes after the list told") { late_answer = true; }
  SUBCASE("the heir first") {
    at_once = false;
    heir_first = true;
  }
  SUBCASE("the heir last") { at_once = false; }
  if (!late_answer) {
    heir->Answer(kOther, "here");
    owner->Hear(Type::kTaskAccepted, kOther);
  }
  if (at_once) {
    Tell({Gone(), Heir(boot_ms)});
  } else {
    Tell({heir_first ? Heir(boot_ms) : Gone()});
    Tell({heir_first ? Gone() : Heir(boot_ms)});
  }
  Wait();
  if (late_answer) {
    heir->Answer(kOther, "here");
    owner->Hear(Type::kTaskAccepted, kOther);
  }
  owner->NothingElse();
  program->Counted("tasks_moved_to_address_successor", 1);
  // Its further life is the new node's: another task goes there, and both ends are heard.
  Takes(3);
  heir->Answer(3, "here");
  owner->Hear(Type::kTaskAccepted, 3);
  heir->Say(Type::kRelease, kOther, Cause::kEnded);
  CHECK(owner->Hear(Type::kRelease, kOther).cause == 16);
  // And its death is that of both.
  first.Close();
  for (Wire& line : lines) line.Reset();
  CHECK(owner->Hear(Type::kRelease, 3).cause == 41);
}

TEST_CASE_FIXTURE(Address,
                  "a process that was replaced between two dials takes with it what stood there alone") {
  Begin();
  agent->Reset();  // the door is never closed: no dial is refused
  program->Logged("connection reset");
  Takes(kOther);
  heir->Answer(kOther, "here");
  owner->Hear(Type::kTaskAccepted, kOther);
  bool both = false;
  SUBCASE("the list tells since when it is up") {
    Tell({Gone(), Heir(NowMs() + 1)});  // later than both: nothing is known to be with the heir
    both = true;
  }
  SUBCASE("the list does not tell") { Tell({Gone(), Heir(0)}); }
  if (both) {
    const Heard one = owner->Hear(), two = owner->Hear();
    CHECK(one.type == Type::kRelease);
    CHECK(two.type == Type::kRelease);
    CHECK(one.task + two.task == kTask + kOther);
    return;
  }
  CHECK(owner->Hear(Type::kRelease, kTask).cause == 41);
  owner->NothingElse();
  heir->Say(Type::kRelease, kOther, Cause::kEnded);
  CHECK(owner->Hear(Type::kRelease, kOther).cause == 16);
}

TEST_CASE_FIXTURE(Address, "what cannot be said to be with the heir is cut on the wire, then told over") {
  Begin();
  SUBCASE("there is an heir") { Tell({Gone(), Heir(0)}); }
  SUBCASE("there is none") { Tell({Gone()}); }
  CHECK(owner->Hear(Type::kRelease, kTask).cause == 41);
  Heard heard = agent->Hear();
  while (heard.type == Type::kHealthCheck) heard = agent->Hear();
  CHECK(heard.type == Type::kRelease);
  CHECK(heard.task == kTask);
  CHECK(heard.cause == 31);
}

}  // namespace
}  // namespace cluster_manager::story
