// One cold agent and several cluster managers, real processes that do not talk to each other, judged by what
// the agent was sent. The window of the rule is decades long, so that whatever the machine does in between,
// all that is sent falls into one window and one turn.
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "scripted_list.h"
#include "story_site.h"

namespace cluster_manager::story {
namespace {

constexpr double kRoom = 100'000;  // of an agent: none is ever full

json FleetSettings(int processes, int ordinal, int cold_sends) {
  json settings = Settings();
  settings["GroupSize"] = processes;
  settings["Ordinal"] = ordinal;
  settings["FamilyInfo"]["ColdSends"] = cold_sends;
  settings["FamilyInfo"]["CoresByKind"] = settings["FamilyInfo"]["MemoryByKind"] = {kRoom};
  settings["Rules"] = {{"Cold", 600'000'000'000}, {"ColdFrom", 0.2}, {"Fall", 2'000'000'000'000'000'000}};
  return settings;
}

std::int64_t UnixMs() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

// An agent whose tasks end as soon as they run, with a record of how many it was sent.
class Agent {
 public:
  explicit Agent(std::string uid) : uid_(std::move(uid)) {}

  json Listed(std::int64_t boot_ms) const {
    json node = Node(uid_, port_.endpoint(), kRoom, "in_service", boot_ms);
    node["unasked"] = {kRoom, kRoom};
    return node;
  }
  // Takes what is there already.
  void Serve() {
    while (port_.Dialled()) lines_.push_back({port_.Accept(), {}});
    std::erase_if(lines_, [this](Line& line) { return !Take(&line); });
  }
  int sent() const { return sent_; }

 private:
  struct Line {
    Wire wire;
    std::string unread;
  };

  // Whether the line is still open.
  bool Take(Line* line) {
    while (line->wire.Readable()) {
      const std::string more = line->wire.Bytes();
      if (more.empty()) return false;
      line->unread += more;
    }
    protocol::Message message;
    std::size_t size = 0;
    while (protocol::Decode(line->unread, &message, &size) == protocol::DecodeStatus::kMessage) {
      if (message.type == Type::kHealthCheck)
        line->wire.Say(Type::kHealthCheckResult, message.task, Cause::kHealthCheckPassed);
      if (message.type == Type::kTaskRequest) {
        ++sent_;
        line->wire.Answer(message.task, "up");
        line->wire.Say(Type::kRelease, message.task, Cause::kEnded);
      }
      line->unread.erase(0, size);
    }
    return true;
  }

  const std::string uid_;
  Port port_;
  std::vector<Line> lines_;
  int sent_ = 0;
};

struct Fleet {
  const int cold_sends;
  Port bulletin;
  Agent warm{"s-00000001"};
  std::vector<std::unique_ptr<Agent>> cold;  // one after the other
  std::vector<std::unique_ptr<Program>> programs;
  ScriptedList list{&bulletin};
  std::vector<Wire> owners;
  std::chrono::steady_clock::time_point keep_again_at;
  int asked = 0, ended = 0;  // ended: the owners were told so
  TaskId last_task = 0;

  Fleet(int processes, int budget) : cold_sends(budget) {
    for (int i = 0; i < processes; ++i) {
      programs.push_back(
          std::make_unique<Program>(json::array(), bulletin, FleetSettings(processes, i, cold_sends)));
      programs.back()->Owner().NothingElse();  // it runs, before any agent starts
    }
    list.Start();
    // Only now, as a client that asks for nothing for some seconds is closed.
    for (const auto& program : programs) owners.push_back(program->Owner());
  }
  // The whole list; back once all have taken it over.
  void Tell(const std::vector<json>& nodes) {
    list.AddEvent(json(nodes), true);
    for (const auto& program : programs) {
      program->Counted("discovery_events", list.event_count());
      KeepConnections();
    }
  }
  // Back once all have offered or held what they were asked.
  void AskAll() {
    constexpr int kTasks = 4;
    for (Wire& owner : owners) {
      for (int i = 0; i < kTasks; ++i) Ask(&owner, ++last_task, "unsafe");
      const TaskId mark = 0xfeedULL << 32;
      owner.Say(Type::kHealthCheck, mark, Cause::kHealthCheckFailed);
      while (Hear(&owner).task != mark) {
      }
    }
    asked += kTasks * static_cast<int>(owners.size());
  }
  Heard Hear(Wire* owner) {
    Heard heard = owner->Hear();
    if (heard.type == Type::kRelease) ++ended;
    return heard;
  }
  // A client that says nothing for some seconds is closed, and how long the test takes is the machine's
  // affair.
  void KeepConnections() {
    const auto now = std::chrono::steady_clock::now();
    if (now < keep_again_at) return;
    keep_again_at = now + std::chrono::seconds(1);
    constexpr TaskId kHealthCheck = 0xfeedULL << 40;
    for (Wire& owner : owners) owner.Say(Type::kHealthCheck, kHealthCheck, Cause::kHealthCheckFailed);
  }
  template <typename Done>
  void ServeUntil(Done done) {
    const Patience patience;
    while (!done()) {
      patience.Check();
      KeepConnections();
      warm.Serve();
      for (const auto& agent : cold) agent->Serve();
      for (Wire& owner : owners) {
        while (owner.Speaks(0)) Hear(&owner);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  // An agent starts and the tasks are more than it may get; `meanwhile` is what lists say of it between the
  // first tasks and the others. What is past the shares waits, and goes to a warm agent as soon as one is
  // listed: once all has ended, the agent has got the shares of all, `sends`, and no more.
  void Start(const std::string& what, int sends,
             const std::function<void(Agent*, std::int64_t* boot)>& meanwhile) {
    INFO(what);
    cold.push_back(std::make_unique<Agent>("s-0000001" + std::to_string(cold.size())));
    Agent* agent = cold.back().get();
    std::int64_t boot = UnixMs() + 1;
    Tell({agent->Listed(boot)});
    AskAll();
    const int ended_before = ended;
    ServeUntil([&] { return ended - ended_before >= sends; });
    meanwhile(agent, &boot);
    AskAll();
    Tell({agent->Listed(boot), warm.Listed(0)});
    ServeUntil([&] { return ended == asked; });
    CHECK(agent->sent() == sends);
    CHECK(agent->sent() <= cold_sends);
  }
  void PlayAll(int sends) {
    Start("one life in one list", sends, [](Agent*, std::int64_t*) {});
    Start("a list leaves it out for a moment", sends, [this](Agent* agent, const std::int64_t* boot) {
      Tell({});
      Tell({agent->Listed(*boot)});
    });
    Start("it starts anew", sends,
          [this](Agent* agent, std::int64_t* boot) { Tell({agent->Listed(++*boot)}); });
  }
};

TEST_CASE("cold agent: three processes together send it its budget and no more") { Fleet(3, 9).PlayAll(9); }

TEST_CASE("cold agent: sixteen processes together send it no more than its budget") {
  Fleet(16, 24).PlayAll(16 + 8 / 3 + 1);
}

TEST_CASE("cold agent: thirty processes, more than its budget of sends, together send no more than that") {
  Fleet(30, 24).PlayAll(24 / 3);
}

}  // namespace
}  // namespace cluster_manager::story
