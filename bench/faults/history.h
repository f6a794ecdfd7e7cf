// What happened in a trial, put together from the records of the stand-ins: the tasks with their attempts,
// the faults that were played, and what the node list said. judge.h says which records there are.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "faults/judge.h"

namespace cluster_manager::faults {

using Time = std::int64_t;  // nanoseconds, Unix clock
constexpr Time kMs = 1'000'000;
constexpr Time kSecond = 1'000'000'000;
constexpr Time kNever = std::numeric_limits<Time>::max();
// The protocol's own: two clocks and two processes may see an event this far apart.
constexpr Time kSlack = 50 * kMs;

// The text under `key`, the time of a record. Both throw std::invalid_argument, naming the record, where it
// has none.
std::string Text(const nlohmann::json& record, const char* key);
Time At(const nlohmann::json& record);

// A set-up that was sent to a node.
struct Attempt {
  std::string node;
  std::string uid;
  std::string link;  // the connection that it was sent on
  Time offered = kNever;
  Time arrived = kNever;
  Time answered = kNever;
  // By the node: refused, over, cut, given up, died.
  Time ended = kNever;
  // On the wire, by the cluster manager: a release, or the link's end before an answer.
  Time given_up = kNever;
  std::string why;  // of its end, as the node says it
  bool refused = false;

  // From when on it is no longer out.
  Time Out() const { return std::min(ended, given_up); }
};

// A set-up of a client.
struct Task {
  std::string client;
  std::string name;
  std::string class_name;
  std::string manager;
  Time asked = kNever;
  Time wait = 0;
  Time final_at = kNever;
  Time over = kNever;  // when the client was told that it is over
  std::string final_word;
  std::string over_figure;
  bool served = false;
  std::vector<std::pair<Time, std::string>> holders;  // since when, which cluster manager
  std::vector<Attempt> attempts;
  std::vector<const nlohmann::json*> records;
};

// A breach with all that was recorded of the task so far as its witness.
Breach BreachOf(const std::string& rule, const std::string& about, const Task& task);

class History {
 public:
  // Counts what is handed over, sent and told into `verdict`, and adds a breach for each second outcome.
  // Throws std::invalid_argument where there are no records or one lacks what its kind has.
  History(std::vector<nlohmann::json> records, Verdict* verdict);
  History(const History&) = delete;
  History& operator=(const History&) = delete;

  Time begun() const { return begun_; }
  Time ended() const { return ended_; }
  const std::map<std::string, Task>& tasks() const { return tasks_; }    // by id
  const std::map<std::string, Time>& booted() const { return booted_; }  // by uid
  // The name of the group of nodes that discard repeats of a request of this class that the node has; the
  // same for all nodes where the records do not tell.
  std::string GroupOf(const std::string& class_name, const std::string& uid) const;
  const std::vector<const nlohmann::json*>& listed() const { return listed_; }  // what the node list said

  // A fault on this process or pair touches [from, to].
  bool Disturbed(const std::string& what, Time from, Time to) const;
  // The connection that it was sent on was reset or broken off, by the rig, before `by`.
  bool Cut(const Attempt& attempt, Time by) const;
  // `by`, moved to `within` after the last fault on any of these that touches [from, by].
  Time Moved(const std::vector<std::string>& whats, Time from, Time by, Time within) const;

 private:
  struct Span {
    Time from;
    Time to;
  };

  void Read(const nlohmann::json& record);
  void ReadRig(const std::string& what, const nlohmann::json& record, Time t);
  void ReadClient(Task* task, const std::string& who, const std::string& what, const nlohmann::json& record,
                  Time t);
  void ReadOutcome(Task* task, const std::string& what, Time t);
  void ReadRepeated(const Task& task, const std::string& what);
  void ReadNode(Task* task, const std::string& who, const std::string& what, const nlohmann::json& record,
                Time t);
  void ReadWritten(Task* task, const std::string& who, const std::string& what, const nlohmann::json& record,
                   Time t);
  void ReadClosed(const std::string& who, const std::string& link, Time t);

  std::vector<nlohmann::json> records_;
  Verdict* verdict_;
  Time begun_ = 0;
  Time ended_ = 0;
  std::map<std::string, Task> tasks_;
  std::map<std::string, std::vector<Span>> faults_;  // by process or pair
  std::map<std::string, std::vector<Time>> resets_;  // by pair
  std::map<std::string, Time> booted_;
  std::map<std::string, std::string> group_domains_;     // by class: all, zone or cell
  std::map<std::string, const nlohmann::json*> places_;  // by uid
  std::unordered_map<std::string, std::vector<Task*>> links_;
  std::vector<const nlohmann::json*> listed_;
};

}  // namespace cluster_manager::faults
