// Stories of ends that are owed: on nodes that leave, to owners that do not read, reset or were never served.
#include <atomic>
#include <map>
#include <set>
#include <vector>

#include "story_site.h"

namespace cluster_manager::story {
namespace {

// A node of which the list says that it leaves; `feed` is where the list is told, from number 3 on.
struct LeavingSite : Site {
  std::optional<Wire> owner, agent, other, feed;

  void Leave() {
    Start();
    feed.emplace(bulletin.Accept());
    feed->Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
    owner.emplace(program->Owner());
    Ask(&*owner, kTask, "unsafe");
    agent.emplace(first.Accept());
    agent->Hear(Type::kTaskRequest, kTask);
    agent->Answer(kTask, "there");
    owner->Hear(Type::kTaskAccepted, kTask);
    Tell(2, "terminating");
    program->Counted("discovery_events", 1);
    // What is open keeps its connection from being closed as idle.
    Ask(&*owner, kOther, "unsafe");
    other.emplace(second.Accept());
    other->Hear(Type::kTaskRequest, kOther);
  }
  void Tell(int number, const std::string& state) {
    feed->Raw("id: 9\ndata: " +
              Event(number, json::array({Node("s-00000001", first.endpoint(), 10, state)})).dump() + "\n\n");
  }
  // The list says nothing more but that it is there: in the background, until told to stop.
  void Beat(std::atomic<bool>* stop) {
    while (!*stop) {
      feed->Raw(": here\n\n");
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
  }
};

TEST_CASE_FIXTURE(LeavingSite, "the end of a task on a leaving node that falls silent is told in time") {
  Leave();
  std::atomic<bool> stop = false;
  std::thread beat([&] { Beat(&stop); });
  const auto from = std::chrono::steady_clock::now();
  SUBCASE("its process has died, no reset came: the dial that follows a silent test is refused") {
    first.Close();
    CHECK(owner->Hear(Type::kRelease, kTask).cause == 41);
  }
  SUBCASE("its machine is off: tests and dials come to nothing") {
    first.Clog();
    CHECK(owner->Hear(Type::kRelease, kTask).cause == 41);
    program->Counted("tasks_presumed_ended", 1);
    // It was cut off after all: what its owner was told is made true.
    agent->Answer(kOther, "noise");
    const auto cut = [&] {
      Heard heard = agent->Hear();
      while (heard.type == Type::kHealthCheck) heard = agent->Hear();
      return heard;
    }();
    CHECK(cut.type == Type::kRelease);
    CHECK(cut.task == kTask);
    CHECK(cut.cause == 31);
  }
  CHECK(std::chrono::steady_clock::now() - from < std::chrono::seconds(9));
  stop = true;
  beat.join();
}

TEST_CASE_FIXTURE(LeavingSite, "a leaving node that has closed its door and still speaks keeps its tasks") {
  Leave();
  Tell(3, "in_service");
  program->Counted("discovery_events", 2);
  Ask(&*owner, 3, "unsafe");
  agent->Hear(Type::kTaskRequest, 3);
  Ask(&*owner, 4, "unsafe");
  Wire beside = first.Accept();
  beside.Hear(Type::kTaskRequest, 4);
  agent->Answer(3, "there");
  owner->Hear(Type::kTaskAccepted, 3);
  beside.Answer(4, "there");
  owner->Hear(Type::kTaskAccepted, 4);
  Tell(4, "terminating");
  program->Counted("discovery_events", 3);
  // A reset may be the sign of a death, and the dials that follow are refused: the old connection is asked.
  first.Close();
  beside.Reset();
  for (int round = 0; round < 3; ++round) {
    program->Logged("dial refused");
    const Heard test = agent->Hear();
    REQUIRE(test.type == Type::kHealthCheck);
    agent->Say(Type::kHealthCheckResult, test.task, Cause::kHealthCheckPassed);
  }
  owner->NothingElse();
  agent->Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner->Hear(Type::kRelease, kTask).cause == 16);
}

TEST_CASE_FIXTURE(Site, "an end told to an owner that was never served is owed until somebody confirms it") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  owner.Close();
  program->Counted("client_closes", 1);
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  program->Counted("completions_queued", 1);
  // It comes back, and only with what is refused: the end goes there in the end, and it does not say a word.
  Wire bad = program->Owner();
  Ask(&bad, kOther, "no such class");
  bad.Hear(Type::kRelease, kOther);
  bad.Hear(Type::kRelease, kTask);
  bad.Hear(Type::kRelease, kTask);  // and again, for want of any other
  bad.Close();
  program->Counted("client_closes", 2);
  program->Counted("owed_ends", 1, "size ");
  // Nobody else is there: it stays owed, and goes to the next that comes, who confirms it.
  Wire next = program->Owner();
  next.Say(Type::kHealthCheck, 1, Cause::kHealthCheckFailed);
  // The two come in any order: what is owed waits for no test.
  const Heard one = next.Hear(), two = next.Hear();
  CHECK((one.type == Type::kHealthCheckResult) != (two.type == Type::kHealthCheckResult));
  const Heard& end = one.type == Type::kRelease ? one : two;
  CHECK(end.type == Type::kRelease);
  CHECK(end.task == kTask);
  CHECK(end.cause == 16);
  next.Say(Type::kReleaseConfirmed, kTask);
  program->Counted("owed_ends", 0, "size ");
}

TEST_CASE_FIXTURE(Site, "an end that comes while SIGTERM is being served still reaches its owner") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  Ask(&owner, kOther, "unsafe");
  agent.Hear(Type::kTaskRequest, kOther);
  program->Signal(SIGTERM);
  program->Logged("stopping");
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
  agent.Answer(kOther, "there");
  owner.Hear(Type::kTaskAccepted, kOther);
  CHECK(program->ExitStatus() == 0);
}

TEST_CASE_FIXTURE(LeavingSite, "a task taken for over and then handed over again is no longer cut") {
  Leave();
  std::atomic<bool> stop = false;
  std::thread beat([&] { Beat(&stop); });
  first.Clog();
  CHECK(owner->Hear(Type::kRelease, kTask).cause == 41);
  stop = true;
  beat.join();
  // Its owner knows better: the task stands there, and is looked after from now on.
  Ask(&*owner, kTask, "unsafe", 25'000, ";at:s-00000001");
  owner->NothingElse();
  agent->Answer(kOther, "noise");  // the node is heard again
  agent->Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner->Hear(Type::kRelease, kTask).cause == 16);
  while (agent->Speaks(0)) CHECK(agent->Hear().type != Type::kRelease);
}

// An owner that has asked for much and does not read what it is answered, and another that confirms ends.
struct SlowOwner : Site {
  static constexpr TaskId kLast = 1'000;
  // Runs throughout, so that the other client's connection is never closed as idle, however slow the machine.
  static constexpr TaskId kRunsThroughout = 2'000;
  const std::string words = std::string(15'000, 'w');
  std::optional<Wire> slow, other;
  std::vector<Wire> lines;

  // `count` answers, among the first of them one to kLast, whose end its node tells behind `before` of them.
  void Fill(TaskId count, TaskId before) {
    Start();
    slow.emplace(program->Owner());
    other.emplace(program->Owner());
    slow->Narrow();
    Ask(&*other, kOther, "unsafe");
    Ask(&*other, kRunsThroughout, "unsafe");
    for (TaskId id = kLast - count + 1; id <= kLast; ++id) {
      Asked a{"unsafe", "25000", "shop one", "0b5e"};
      a.figures = "cores:0.01;memory:0.01;service:0b";
      AskAs(&*slow, id, a);
    }
    std::map<TaskId, std::size_t> way;
    const Patience patience;
    while (way.size() < count + 2) {
      patience.Check();
      for (Port* port : {&first, &second}) {
        if (port->Dialled()) lines.push_back(port->Accept());
      }
      for (std::size_t i = 0; i < lines.size(); ++i) {
        while (lines[i].Speaks(1)) {
          const Heard offer = lines[i].Hear();
          if (offer.type == Type::kTaskRequest) way[offer.task] = i;
        }
      }
    }
    const auto answer = [&](TaskId task) { lines[way[task]].Answer(task, words); };
    answer(kRunsThroughout);
    other->Hear(Type::kTaskAccepted, kRunsThroughout);
    answer(kOther);
    lines[way[kOther]].Say(Type::kRelease, kOther, Cause::kEnded);
    other->Hear(Type::kTaskAccepted, kOther);
    other->Hear(Type::kRelease, kOther);
    other->Say(Type::kReleaseConfirmed, kOther);
    answer(kLast);
    for (TaskId id = kLast - before + 1; id < kLast; ++id) answer(id);
    program->Counted("acceptances_sent", static_cast<int>(before) + 2);
    lines[way[kLast]].Say(Type::kRelease, kLast, Cause::kEnded);
    program->Counted("completions_sent", 2);
    for (TaskId id = kLast - count + 1; id <= kLast - before; ++id) answer(id);
    // Longer than an owner that reads needs: whoever takes the end for read by now has forgotten it.
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  }
};

TEST_CASE_FIXTURE(SlowOwner,
                  "an end behind a write queue that nobody reads goes out once its way has ended") {
  SUBCASE("the queue is within its bound, and its reader dies") {
    Fill(60, 60);
    other->NothingElse();
    slow->Reset();
  }
  SUBCASE("the queue outgrows its bound: its connection is closed") { Fill(500, 60); }
  CHECK(other->Hear(Type::kRelease, kLast).cause == 16);
  other->Say(Type::kReleaseConfirmed, kLast);
  program->Counted("owed_ends", 0, "size ");
}

TEST_CASE_FIXTURE(SlowOwner, "an end behind a write queue that is read late comes after all answers") {
  constexpr TaskId kMany = 60;
  Fill(kMany, kMany);
  for (TaskId answers = 0; answers < kMany; ++answers) {
    const Heard heard = slow->Hear();
    REQUIRE(heard.type == Type::kTaskAccepted);
    CHECK((heard.description == words));
  }
  CHECK(slow->Hear(Type::kRelease, kLast).cause == 16);
  other->NothingElse();
}

TEST_CASE_FIXTURE(Site, "hundreds of owners reset at once: the next one served is told every end") {
  Start(Settings(), 1024);
  constexpr TaskId kMany = 240;
  std::vector<Wire> owners, lines;
  std::map<TaskId, std::size_t> way;
  const auto hear_nodes = [&] {
    for (Port* port : {&first, &second}) {
      if (port->Dialled()) lines.push_back(port->Accept());
    }
    for (std::size_t i = 0; i < lines.size(); ++i) {
      while (lines[i].Speaks(1)) {
        const Heard offer = lines[i].Hear();
        if (offer.type != Type::kTaskRequest) continue;
        lines[i].Answer(offer.task, "there");
        way[offer.task] = i;
      }
    }
  };
  for (TaskId id = 1; id <= kMany; ++id) {
    owners.push_back(program->Owner());
    Asked a{"unsafe", "25000", "shop one", "0b5e"};
    a.figures = "cores:0.01;memory:0.01;service:" + std::to_string(id % 9 + 1);
    AskAs(&owners.back(), id, a);
  }
  const Patience patience;
  while (way.size() < kMany) {
    patience.Check();
    hear_nodes();
  }
  for (TaskId id = 1; id <= kMany; ++id) owners[id - 1].Hear(Type::kTaskAccepted, id);
  // Half of the ends are on their way to owners that never read them, half come when no owner is left.
  for (TaskId id = 1; id <= kMany / 2; ++id) lines[way[id]].Say(Type::kRelease, id, Cause::kEnded);
  for (TaskId id = 1; id <= kMany / 2; ++id) REQUIRE(owners[id - 1].Readable(kLimitMs));
  for (Wire& owner : owners) owner.Reset();
  program->Counted("owners", 0, "size ");
  for (TaskId id = kMany / 2 + 1; id <= kMany; ++id) lines[way[id]].Say(Type::kRelease, id, Cause::kEnded);
  program->Counted("owed_ends", kMany, "size ");
  // They did not go from one dying owner to the next: each again once or twice, not hundreds of times.
  program->Signal(SIGUSR1);
  CHECK(std::stoi(program->Logged("counter completions_resent ")) <= 3 * static_cast<int>(kMany));
  Wire next = program->Owner();
  Ask(&next, kTask, "unsafe");
  while (!way.contains(kTask)) {
    patience.Check();
    hear_nodes();
  }
  std::set<TaskId> told;
  while (told.size() < kMany) {
    patience.Check();
    const Heard heard = next.Hear();
    if (heard.type != Type::kRelease) continue;
    CHECK(heard.cause == 16);
    told.insert(heard.task);
    next.Say(Type::kReleaseConfirmed, heard.task);
  }
  program->Counted("owed_ends", 0, "size ");
}

TEST_CASE_FIXTURE(LeavingSite,
                  "a node replaced at its address by another uid: what stood there has ended, and is told") {
  Leave();
  feed->Raw("id: 9\ndata: " +
            Event(3, json::array({Node("s-00000001", first.endpoint(), 10, "terminated"),
                                  Node("s-00000003", first.endpoint(), 10)}))
                .dump() +
            "\n\n");
  CHECK(owner->Hear(Type::kRelease, kTask).cause == 41);
  // The old connection is no way to the new node, nor its word about the old task one of its own.
  agent->Say(Type::kRelease, kTask, Cause::kEnded);
  owner->NothingElse();
}

TEST_CASE_FIXTURE(Site, "once the load has gone every table is as at the start") {
  Start();
  program->Owner().NothingElse();  // it is at work: a signal before that would end it
  program->Counted("roster", 2, "size ");
  {
    Wire owner = program->Owner();
    std::vector<Wire> lines;
    std::map<TaskId, std::size_t> way;
    constexpr TaskId kMany = 200;
    for (TaskId id = 1; id <= kMany; ++id) {
      Asked a{"unsafe", "25000", "shop one", "0b5e"};
      a.figures = "cores:0.01;memory:0.01;service:" + std::to_string(id % 9 + 1);
      AskAs(&owner, id, a);
    }
    std::size_t ended = 0;
    while (ended < kMany) {
      for (Port* port : {&first, &second}) {
        if (port->Dialled()) lines.push_back(port->Accept());
      }
      for (Wire& line : lines) {
        while (line.Speaks(1)) {
          const Heard heard = line.Hear();
          if (heard.type != Type::kTaskRequest) continue;
          line.Answer(heard.task, "up");
          line.Say(Type::kRelease, heard.task, Cause::kEnded);
          ++ended;
        }
      }
    }
    for (TaskId i = 0; i < 2 * kMany; ++i) owner.Hear();
    program->Counted("owed", 0, "size ");
  }
  for (const char* table : {"standing", "owners", "agent_open", "blocks"})
    program->Counted(table, 0, "size ");
  program->Counted("listed", 2, "size ");
  program->Counted("roster", 2, "size ");
}

TEST_CASE_FIXTURE(Site, "counters are printed on request") {
  Start();
  program->Owner().NothingElse();
  program->Signal(SIGUSR1);
  CHECK(program->Logged("counter client_health_checks_answered ") == "1");
}

}  // namespace
}  // namespace cluster_manager::story
