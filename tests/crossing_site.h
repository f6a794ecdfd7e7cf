// The site of the tests in which two events cross: what each node got is on record, the list can be told
// anything, and the program can be paused so that it finds several events in the kernel at once.
#pragma once

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "scripted_list.h"
#include "story_site.h"

namespace cluster_manager::story {

constexpr TaskId kThird = 0x0a0b0c0d01020304, kFourth = 0x0a0b0c0d05060708;

// What a node was sent, on any connection.
class NodeRecord {
 public:
  explicit NodeRecord(Port* port) : port_(port) {}

  // Takes up what has come so far.
  void Read() {
    while (std::optional<Wire> line = port_->AcceptWaiting()) lines_.push_back(std::move(*line));
    for (std::size_t i = 0; i < lines_.size(); ++i) {
      while (lines_[i].Speaks(0) && !lines_[i].Ended()) heard_.emplace_back(i, lines_[i].Hear());
    }
  }
  // Waits for the message; returns the connection that it came on.
  Wire& Await(Type type, TaskId task) {
    const Patience patience;
    while (Count(type, task) == 0) {
      patience.Check();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      Read();
    }
    return *LineOf(type, task);
  }
  Wire& AwaitSetUp(TaskId task) { return Await(Type::kTaskRequest, task); }
  // Accepts one connection.
  Wire& Accept() { return lines_.emplace_back(port_->Accept()); }
  std::size_t Count(Type type, TaskId task) const {
    std::size_t count = 0;
    for (const auto& [line, heard] : heard_) count += heard.type == type && heard.task == task;
    return count;
  }
  // Set-ups that have come since it was last asked, and where.
  std::vector<std::pair<Wire*, TaskId>> Unanswered() {
    Read();
    std::vector<std::pair<Wire*, TaskId>> fresh;
    for (; looked_at_ < heard_.size(); ++looked_at_) {
      const auto& [line, heard] = heard_[looked_at_];
      if (heard.type == Type::kTaskRequest) fresh.emplace_back(&lines_[line], heard.task);
    }
    return fresh;
  }
  std::size_t SetUps(TaskId task) const { return Count(Type::kTaskRequest, task); }
  const Heard* Find(Type type, TaskId task) const {
    for (const auto& [line, heard] : heard_) {
      if (heard.type == type && heard.task == task) return &heard;
    }
    return nullptr;
  }

 private:
  Wire* LineOf(Type type, TaskId task) {
    for (const auto& [line, heard] : heard_) {
      if (heard.type == type && heard.task == task) return &lines_[line];
    }
    return nullptr;
  }

  Port* port_;
  std::deque<Wire> lines_;  // a reference to one stays good
  std::vector<std::pair<std::size_t, Heard>> heard_;
  std::size_t looked_at_ = 0;
};

inline void RefuseForCores(Wire* node, TaskId task) {
  node->Say(Type::kRelease, task, [](protocol::Writer& w) {
    w.Add(Cause::kNoCapacity).Add(Code::kDetail, std::string_view("cpu_full"));
  });
}

// In which order the bytes of two events arrive that the program finds in one turn.
enum class Order { kClientFirst, kOtherFirst };

// A run of the test for each.
inline Order EachOrder() {
  Order order = Order::kClientFirst;
  SUBCASE("the client's bytes arrive first") { order = Order::kClientFirst; }
  SUBCASE("the client's bytes arrive last") { order = Order::kOtherFirst; }
  return order;
}

struct CrossingSite : Site {
  NodeRecord at_first{&first}, at_second{&second};
  ScriptedList list{&bulletin};

  static json PatientDials() {
    json settings = Settings();
    settings["Allowed"]["DialTimeout"] = 8'000'000'000;  // longer than the kernel takes to dial again
    return settings;
  }
  void StartWith(double first_cores, double second_cores, const json& settings = Settings(), rlim_t limit = 0,
                 rlim_t told = 0) {
    program.emplace(json{Node("s-00000001", first.endpoint(), first_cores),
                         Node("s-00000002", second.endpoint(), second_cores)},
                    bulletin, settings, limit, told);
    program->Owner().NothingElse();  // it is at work: a signal before that would end it
  }
  // The list says so; the program has not necessarily read it.
  void Tell(const json& nodes) { list.AddEvent(nodes); }
  void TellAndWait(const json& nodes) {
    Tell(nodes);
    program->Counted("discovery_events", list.event_count());
  }
  int Count(const std::string& counter) { return std::stoi(program->Statistic(counter)); }
  // The list tells of ever other room at the first node: a refusal for want of cores counts for a while.
  template <typename Done>
  void TellRoomAtFirstUntil(Done done) {
    const Patience patience;
    for (double cores = 9.5; !done(); cores -= 0.01) {
      patience.Check();
      TellAndWait(json::array({First(cores)}));
    }
  }
  json First(double cores, const std::string& state = "in_service") const {
    return Node("s-00000001", first.endpoint(), cores, state);
  }
  json Second(double cores, const std::string& state = "in_service") const {
    return Node("s-00000002", second.endpoint(), cores, state);
  }
  // A connection to the one node with room is up and carries nothing: what is sent there next waits for no
  // dial.
  Wire& WarmLine(NodeRecord* node) {
    Wire client = program->Owner();
    Ask(&client, kThird, "unsafe");
    Wire& line = node->AwaitSetUp(kThird);
    line.Answer(kThird, "there");
    client.Hear(Type::kTaskAccepted, kThird);
    line.Say(Type::kRelease, kThird, Cause::kEnded);
    client.Hear(Type::kRelease, kThird);
    client.Say(Type::kReleaseConfirmed, kThird);
    program->Counted("owed_ends", 0, "size ");
    return line;
  }
  // The time within which a client that left may still be overtaken by an attempt has passed.
  static void LetGraceOfLeavingPass() { std::this_thread::sleep_for(std::chrono::milliseconds(150)); }
  // The program finds both in the kernel at once, when the client has said so for longer than 0.1 s.
  template <typename Client, typename Other>
  void InOneTurn(Order order, Client client_says, Other other_says) {
    program->Pause();
    if (order == Order::kClientFirst) client_says();
    other_says();
    if (order == Order::kOtherFirst) client_says();
    LetGraceOfLeavingPass();
    program->Resume();
  }
  // Another client's request reaches a node: what the program wrote before that has arrived as well.
  void Fence(TaskId task = kOther) {
    Wire client = program->Owner();
    Ask(&client, task, "safe");
    const Patience patience;
    while (at_first.SetUps(task) + at_second.SetUps(task) == 0) {
      patience.Check();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      at_first.Read();
      at_second.Read();
    }
    NodeRecord& record = at_first.SetUps(task) > 0 ? at_first : at_second;
    record.AwaitSetUp(task).Answer(task, "fence");
    client.Hear(Type::kTaskAccepted, task);
    at_first.Read();
    at_second.Read();
  }
};

}  // namespace cluster_manager::story
