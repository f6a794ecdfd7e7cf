// Nodes: each listening address is one machine's; where several nodes of the list share it, it answers for
// all.
#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common.h"
#include "net/connection.h"
#include "net/listener.h"

namespace cluster_manager::standin {
namespace {

using protocol::Cause;
using protocol::Code;
using protocol::Message;
using protocol::TaskId;
using protocol::Type;
using protocol::Writer;

struct Ways {
  double start_ms, life_ms, refuse;
  double cores, memory, cores_multiple, memory_multiple;  // its size, and how much of it may be asked
  double cold_ms, cold_from;                              // pace of a life that has just begun
  double first_errors;  // share of the keyed tasks whose first set-up is answered with an error
};

class Machine final : public Connection::Handler {
 public:
  // `tried`: keyed tasks that have reached a machine; shared by all of them.
  Machine(EventLoop* loop, int number, const Ways& ways, pcg32* random, Records* records,
          std::unordered_set<TaskId>* tried)
      : loop_(loop),
        number_(number),
        name_("n" + std::to_string(number)),
        ways_(ways),
        random_(random),
        records_(records),
        tried_(tried) {
    Open(ReservePort());
  }

  int port() const { return port_; }
  std::size_t tasks() const { return tasks_.size(); }
  std::string Free() const {
    char text[64];
    std::snprintf(text, sizeof text, "%.3f %.3f", ways_.cores - asked_cores_, ways_.memory - asked_memory_);
    return text;
  }
  // The process dies: its connections are reset, its tasks are cut, and nobody listens.
  void Die() {
    if (listener_ == nullptr) return;
    records_->Write(name_, "died", {{"uid", uid_}});
    for (auto& [id, task] : tasks_) {
      loop_->Cancel(task.timer);
      Ended(id, "died");
    }
    tasks_.clear();
    untold_.clear();
    asked_cores_ = asked_memory_ = 0;
    for (auto& [tag, connection] : connections_) {
      connection->Abort();
      loop_->DestroyLater(std::move(connection));
    }
    connections_.clear();
    listener_.reset();
  }
  // Another process at the same address, under a uid of its own.
  void Boot() {
    if (listener_ != nullptr) return;
    ++life_;
    booted_ = loop_->Now();
    Open(port_);
  }
  // The machine's work goes on at this share of its pace.
  void Pace(double pace) { pace_ = pace; }

 private:
  static constexpr Time kUntold = 10 * kSecond;
  struct Untold {
    TaskId id;
    Time at;
  };
  struct Task {
    Handle way = 0, timer = 0;
    bool stands = false;
    double cores = 0, memory = 0;
  };

  // Returns a port that no other process is given while nobody listens there: sockets with SO_REUSEADDR can
  // share it as long as one of them listens, and the kernel chooses it for nobody else.
  static int ReservePort() {
    const int reservation = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(reservation, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof address;
    if (::bind(reservation, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return 0;
    ::getsockname(reservation, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }
  void Open(int port) {
    char uid[16];
    std::snprintf(uid, sizeof uid, "s-%08x", number_ + 1 + 0x1000 * life_);
    uid_ = uid;
    listener_ = std::make_unique<Listener>(loop_, Loopback(port), [this](int socket) {
      auto connection = std::make_unique<Connection>(loop_, socket, this);
      connection->tag = ++last_;
      Connection* way = connection.get();
      connections_[last_] = std::move(connection);
      // A release may have been lost with the connection that it was sent on.
      std::erase_if(untold_, [this](const Untold& each) { return loop_->Now() - each.at > kUntold; });
      for (const Untold& each : untold_)
        Writer(way->write_queue(), Type::kRelease, each.id).Add(Cause::kEnded);
    });
    port_ = ntohs(listener_->address().sin_port);
    records_->Write(name_, "boot", {{"uid", uid_}});
  }
  std::size_t OnData(Connection& connection, std::string_view data) override {
    bool malformed = false;
    return protocol::DecodeAll(data, &malformed, [&](const Message& m) {
      Take(connection, m);
      return connection.open();
    });
  }
  void OnClosed(Connection& connection, CloseReason) override {
    const Handle gone = connection.tag;
    std::erase_if(tasks_, [&](auto& entry) {
      if (entry.second.way != gone || entry.second.stands) return false;
      loop_->Cancel(entry.second.timer);
      Forget(entry.first, entry.second, "given_up");
      return true;
    });
    loop_->DestroyLater(std::move(connections_[gone]));
    connections_.erase(gone);
  }
  void Take(Connection& connection, const Message& m) {
    if (m.type == Type::kHealthCheck) {
      char report[64];
      const double used = std::max(0.5 * static_cast<double>(tasks_.size()), asked_cores_ * 0.5);
      std::snprintf(report, sizeof report, "x0:%.2f;x1:%.2f;queue:0",
                    ways_.cores - std::min(used, ways_.cores - 1),
                    ways_.memory - std::min(std::max(used, asked_memory_ * 0.6), ways_.memory - 4));
      Writer(connection.write_queue(), Type::kHealthCheckResult, m.task)
          .Add(Cause::kHealthCheckPassed)
          .Add(Code::kLoadReport, report);
      return;
    }
    if (m.type == Type::kRelease) {
      const auto it = tasks_.find(m.task);
      if (it == tasks_.end()) return;
      loop_->Cancel(it->second.timer);
      const bool stood = it->second.stands;
      Forget(m.task, it->second, stood ? "cut" : "given_up");
      tasks_.erase(it);
      if (stood) Writer(connection.write_queue(), Type::kRelease, m.task).Add(Cause::kCancelled);
      return;
    }
    if (m.type == Type::kTaskRequest) SetUp(connection, m);
  }
  void SetUp(Connection& connection, const Message& m) {
    const Time now = loop_->Now();
    Time sent = now;
    const std::string_view words = m.Get(Code::kDescription);
    if (words.size() > 2) std::from_chars(words.data() + 2, words.data() + words.size(), sent);
    const Time in_program = now - sent;
    const TaskId id = m.task;
    records_->Write(name_, "arrive",
                    {Id(id),
                     {"uid", uid_},
                     {"class", std::string(m.Get(Code::kClass))},
                     {"name", std::string(m.Get(Code::kName))}});
    // What its owner asked for is in the description, as the stand-ins of owners write it:
    // "d:SENT:CORES:MEMORY:".
    double cores = 0, memory = 0;
    std::sscanf(std::string(words.substr(0, 80)).c_str(), "d:%*[0-9]:%lf:%lf:", &cores, &memory);
    const bool full = asked_cores_ + cores > ways_.cores * ways_.cores_multiple ||
                      asked_memory_ + memory > ways_.memory * ways_.memory_multiple;
    if (full || Draw(random_) < ways_.refuse) {
      records_->Write(name_, "refuse", {Id(id)});
      Writer(connection.write_queue(), Type::kRelease, id)
          .Add(Cause::kNoCapacity)
          .Add(Code::kDetail, full ? "cpu_full" : "busy");
      return;
    }
    const bool is_first = !m.Get(Code::kIdempotencyKey).empty() && tried_->insert(id).second;
    if (is_first && Draw(random_) < ways_.first_errors) {
      Ended(id, "error");
      Writer(connection.write_queue(), Type::kRelease, id).Add(Cause::kError);
      return;
    }
    const double age = booted_ == 0 ? 1 : static_cast<double>(now - booted_) / (ways_.cold_ms * kMs);
    const double pace = pace_ * std::min(1.0, ways_.cold_from + (1 - ways_.cold_from) * age);
    const Time start = static_cast<Time>(ways_.start_ms * (0.5 + Draw(random_)) * kMs / pace);
    const Time life = static_cast<Time>(ways_.life_ms * (0.5 + Draw(random_)) * kMs);
    Task& task = tasks_[id];
    task.way = connection.tag;
    task.cores = cores;
    task.memory = memory;
    asked_cores_ += cores;
    asked_memory_ += memory;
    task.timer = loop_->After(start, [this, id, in_program, life] { Start(id, in_program, life); });
  }
  void Start(TaskId id, Time in_program, Time life) {
    Task& task = tasks_[id];
    const auto way = connections_.find(task.way);
    if (way == connections_.end() || !way->second->up()) return;
    task.stands = true;
    records_->Write(name_, "answer", {Id(id), {"uid", uid_}});
    const std::string words =
        "u:" + std::to_string(loop_->Now()) + ":" + std::to_string(in_program) + ":" + uid_;
    Writer(way->second->write_queue(), Type::kTaskAccepted, id).Add(Code::kDescription, words);
    task.timer = loop_->After(life, [this, id] { End(id); });
  }
  void End(TaskId id) {
    const auto it = tasks_.find(id);
    const Handle tag = it->second.way;
    Forget(id, it->second, "over");
    tasks_.erase(it);
    // On the connection of the set-up, else on all that are open; and on the next in any case.
    untold_.push_back({id, loop_->Now()});
    if (const auto way = connections_.find(tag); way != connections_.end() && way->second->up()) {
      Writer(way->second->write_queue(), Type::kRelease, id).Add(Cause::kEnded);
      return;
    }
    for (auto& [other, connection] : connections_) {
      if (connection->up()) Writer(connection->write_queue(), Type::kRelease, id).Add(Cause::kEnded);
    }
  }
  void Forget(TaskId id, const Task& task, const char* why) {
    asked_cores_ -= task.cores;
    asked_memory_ -= task.memory;
    Ended(id, why);
  }
  void Ended(TaskId id, const char* why) {
    records_->Write(name_, "end", {Id(id), {"uid", uid_}, {"why", why}});
  }

  EventLoop* loop_;
  const int number_;
  const std::string name_;
  const Ways ways_;
  pcg32* random_;
  Records* records_;
  std::unordered_set<TaskId>* tried_;
  std::string uid_;
  int life_ = 0, port_ = 0;
  Time booted_ = 0;
  double pace_ = 1, asked_cores_ = 0, asked_memory_ = 0;
  std::map<Handle, std::unique_ptr<Connection>> connections_;
  Handle last_ = 0;
  std::unordered_map<TaskId, Task> tasks_;
  std::vector<Untold> untold_;
  std::unique_ptr<Listener> listener_;
};

}  // namespace

int Nodes(const Flags& flags) {
  EventLoop loop;
  Records records(&loop, flags.Text("records", ""));
  pcg32 random(static_cast<std::uint64_t>(flags.Number("seed", 1)));
  const double no_limit = 1e9;
  const Ways ways{
      flags.Number("start-ms", 10),
      flags.Number("life-ms", 2000),
      flags.Number("refuse", 0),
      flags.Number("cores", 40),
      flags.Number("memory", 64),
      flags.Number("cores-multiple", no_limit),
      flags.Number("memory-multiple", no_limit),
      flags.Number("cold-ms", 15000),
      flags.Number("cold-from", 0.2),
      flags.Number("first-errors", 0),
  };
  std::unordered_set<TaskId> tried;
  std::vector<std::unique_ptr<Machine>> machines;
  std::string ports = "ports";
  for (int i = 0; i < flags.Whole("listeners", 1); ++i) {
    machines.push_back(std::make_unique<Machine>(&loop, i, ways, &random, &records, &tried));
    ports += " " + std::to_string(machines.back()->port());
  }
  Tell(ports);
  // What is free on each, for the list.
  std::function<void()> tell_free = [&] {
    std::string line = "free";
    for (const auto& machine : machines) line += " " + machine->Free();
    Tell(line);
    loop.After(static_cast<Time>(flags.Number("tell-ms", 500) * kMs), [&] { tell_free(); });
  };
  if (flags.Number("tell-ms", 0) > 0) tell_free();
  Orders orders(&loop, [&](const std::string& line) {
    const std::vector<std::string> words = Words(line);
    if (words.empty()) return;
    if (words[0] == "tasks") {
      std::string counts = "tasks";
      for (const auto& machine : machines) counts += " " + std::to_string(machine->tasks());
      Tell(counts);
      return;
    }
    if (words.size() > 2 && words[0] == "tell") records.TellAt(words[1], std::stoi(words[2]));
    if (words.size() < 2 || words[0] == "tell") return;
    Machine& machine = *machines.at(std::stoul(words[1]));
    if (words[0] == "die") machine.Die();
    if (words[0] == "boot") machine.Boot();
    if (words[0] == "pace" && words.size() > 2) machine.Pace(std::stod(words[2]));
  });
  loop.Run();
  return 0;
}

}  // namespace cluster_manager::standin
