// The first layer of rules, which hold wherever a task is sent: until when it is answered, how often it is
// tried, the budget of cold nodes, the spread of a service, and where what may have run may go again.
#pragma once

#include <string>

#include "decide/tuned.h"

namespace passbridge::decide {

struct Guards : Remembered {
  Pace arrivals{kRateAtFirst, kRateOver}, ends{kRateAtFirst, kRateOver};
  void Say(const std::string& text) {
    if (said++ < kMostLogs) out.push_back(Log{text});
  }
  Time AnswerBy(const Request& r) const { return std::min(r.task.deadline, closing) - 2 * settings.period; }
  int Tries(const Request& r) const { return std::min(r.tries, settings.max_tries); }

  bool Cold(const Node& n) const { return n.entry.came_up > 0 && now - n.entry.came_up < settings.cold; }
  // Rule 4: a cold node gets no more than this scheduler's part of the sends it always survives; where that
  // is less than one, groups of half as many take turns by the common clock, one send each, so that no window
  // meets more than two. One just restarted does not know what it sent, and waits a window or turn.
  // After Closing another process of the same cluster manager spends the budget.
  bool ColdAllows(Node* n) const {
    if (!Cold(*n)) return true;
    if (closing != kNever) return false;
    const Time window = static_cast<Time>(kFallMargin * static_cast<double>(settings.fall));
    std::erase_if(n->cold_sends, [&](Time sent) { return sent + window <= now; });
    if (n->entry.came_up <= started && now - started < window) return false;
    const int count = settings.scheduler_count;
    if (settings.cold_sends >= count) {
      return static_cast<double>(n->cold_sends.size()) + 1 <= settings.cold_sends / count;
    }
    const int group = static_cast<int>(settings.cold_sends / 2);
    const Time turn = now / std::max<Time>(1, settings.fall), ours = turn * settings.fall;
    if (group < 1 || started >= ours) return false;
    return (turn + n->entry.node) % ((count + group - 1) / group) == settings.ordinal / group &&
           (n->cold_sends.empty() || n->cold_sends.back() < ours);
  }
  bool Healthy(const Node& n) const {
    return n.listed && n.entry.state == NodeState::kReady && n.strikes == 0;
  }
  bool HasProgram(const OnNode& on) const {
    return on.out > 0 || (on.ended > 0 && now - on.ended < kProgramKept);
  }
  // What the filters and scores need of the service at hand; `around` and Node::turn are of this task now.
  void LookAround(const Task& task) {
    around.clear();
    ++turn;
    for (const OnNode& on : services.Of(task.service)) {
      Node* n = table.Find(on.node);
      around.push_back({&n->entry, on.out});
      n->turn = turn;
      n->program = HasProgram(on);
    }
  }
  // Rule 5: own attempts and tasks of the service in the node's place stay within the class's most.
  bool SpreadAllows(const Node& n, const Task& task) const {
    const ClassSettings& c = ClassOf(task);
    if (c.apart_by == Place::kNone) return true;
    int there = 0;
    for (const Around& a : around) {
      if (SamePlace(c.apart_by, *a.entry, n.entry)) there += a.out;
    }
    return there + 1 <= c.most;
  }
  bool Stuck(const Request& r) const {  // no node may have it any more
    const ClassSettings& c = ClassOf(r.task);
    return r.may_have_run && c.effect != Effect::kSafe &&
           (c.effect == Effect::kUnsafe || now - r.first_sent >= c.key_window);
  }
  // Rule 2: a keyed task that may have run goes only where its repeats are discarded, and in time.
  bool EffectAllows(const Node& n, const Request& r) const {
    if (!r.may_have_run || ClassOf(r.task).effect == Effect::kSafe) return true;
    return !Stuck(r) && SamePlace(ClassOf(r.task).group, table.Find(r.first_node)->entry, n.entry);
  }
};

}  // namespace passbridge::decide
