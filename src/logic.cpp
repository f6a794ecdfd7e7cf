// Every decision of passbridge. A task's way: TaskArrived -> Place: Choose filters the nodes and binds by
// least C/W -> Offer -> Placed, or AttemptEnded -> tried elsewhere where its effect allows it. What fits
// nowhere is held and tried again (PlaceHeld); what is owed shortly before its deadline is answered by
// AnswerDue.
#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>

#include "logic_state.h"
#include "passbridge/scheduler.h"

namespace passbridge {
namespace {

// --- Tuned values: unit and reason ----------------------------------------------------------------------
constexpr double kRhoMemory = 0.5;  // the paper leaves the factors open but for their sum: both count alike
constexpr double kRhoCores = 1 - kRhoMemory;
constexpr double kNearTie = 0.08;  // share of the least score within which scores are near-ties in any case
// Binds of others stay unseen for kUnseen seconds, and each takes kSteep off W. Their rate is that of own
// arrivals, counted over kRateOver, kRateAtFirst of them taken for granted. kMostLevel: no limit.
constexpr double kUnseen = 4, kSteep = 0.35;
constexpr double kRateOver = 5 * kSecond, kRateAtFirst = 2;
constexpr double kMostLevel = 1e6;
// C of a bind where the program is not on the node, in tasks of its own size. A node keeps one for a while.
constexpr double kSetupTasks = 30;
constexpr Time kProgramKept = 8 * kSecond;
constexpr Time kRefusalHolds = 1500 * kMs;  // so long a refusal for want of room outweighs the list
// Shares of cores busy and memory in use that a bind may bring a node to. Where no node is that comfortable,
// past its class's calm by kFadeTaken of its fade, and memory to the brink: served poorly beats not served.
constexpr double kBusyMost = 0.95, kMemoryMost = 0.92, kFadeTaken = 0.3, kMemoryBrink = 1.0;
constexpr double kLarge = 4;     // mean sizes of a large task: a home is kept for each class's largest
constexpr double kGuess = 0.35;  // of a node: size of a class that needs its kind, until one of it was seen
// With many nodes a scheduler binds at home up to kHomeMost times the mean level, where nobody else's binds
// are missing from the view. There a start of a program that is not kept weighs kColdStart of one that is,
// and what waits to start is C in mean tasks.
constexpr double kHomeMost = 1.1, kColdStart = 9;
// Probes, so far apart over all schedulers, so many of these at one node: a report of use corrects bookings.
constexpr Time kProbeEvery = 100 * kMs;
constexpr int kProbersAtOnce = 10;
// Share of the awake nodes that is filled before one more wakes, and kAwakePrice times the price of a node.
constexpr double kAwakeFill = 0.25, kAwakePrice = 2;
// Time-outs in mean answer times, within bounds; the latter where an answer says that the task runs.
constexpr double kTimeoutMeans = 6, kStartMeans = 9;
constexpr Time kTimeoutLeast = 500 * kMs, kTimeoutMost = 2000 * kMs, kStartLeast = 1000 * kMs;
// A node that fails is set aside for the first of these, doubling up to the last.
constexpr Time kAsideFirst = 400 * kMs, kAsideLast = 5 * kSecond;
constexpr Time kTurnedAwayRest = 4 * kSecond;  // a node is spared what it turned away for no told reason
constexpr Time kPoorRest = 2 * kSecond;        // not comfortable after a note of service or memory past these
constexpr double kPoorService = 0.9, kPressure = 0.92;
constexpr Time kHeldTick = 50 * kMs;    // held tasks are tried again this often
constexpr Time kViewAge = 1500 * kMs;   // the free room that the list shows is about this old
constexpr Time kSilence = 5 * kSecond;  // a silent subscription is renewed
constexpr double kFallMargin = 1.3;     // on the window of the cold budget: sends do not arrive evenly spaced
constexpr int kMostLogs = 100;          // lines in one life
// Above kIndexFrom nodes the least C over W come from an index, and at least kLeastTaken of them are ranked;
// it is brought up to date this often where the mean use has moved by kDrift. Past kLooked nodes comfort is
// not sought.
constexpr std::size_t kIndexFrom = 64, kLeastTaken = 8, kLooked = 128;
constexpr Time kIndexEvery = 250 * kMs;
constexpr double kDrift = 0.01;

}  // namespace

struct Scheduler::State : Remembered {
  Pace arrivals{kRateAtFirst, kRateOver}, ends{kRateAtFirst, kRateOver};

  std::size_t Index(const Task& task) const {
    return std::min<std::size_t>(task.class_index, settings.classes.size() - 1);
  }
  const ClassSettings& ClassOf(const Task& task) const { return settings.classes[Index(task)]; }
  double Draw() { return static_cast<double>(random() >> 11) / 9007199254740992.0; }
  Time AnswerBy(const Request& r) const { return std::min(r.task.deadline, closing) - 2 * settings.period; }
  int Tries(const Request& r) const { return std::min(r.tries, settings.max_tries); }
  double Cores(const Node& n) const { return settings.kind_cores[Kind(n)]; }
  double Memory(const Node& n) const { return settings.kind_memory[Kind(n)]; }
  std::size_t Kind(const Node& n) const {
    return std::min<std::size_t>(n.entry.kind, settings.kind_cores.size() - 1);
  }
  // To be called after whatever changes the room, use or health of a node.
  void Changed(Node* n) {
    const Room& own = n->not_in_view;
    n->asked = {std::max(0.0, Cores(*n) - n->entry.free_cores + own.cores),
                std::max(0.0, Memory(*n) - n->entry.free_memory + own.memory)};
    n->used_at = 0;
    if (indexed && !std::exchange(n->dirty, true)) dirty.push_back(n);
  }
  void Say(const std::string& text) {
    if (said++ < kMostLogs) out.push_back(Log{text});
  }
  bool Cold(const Node& n) const { return n.entry.came_up > 0 && now - n.entry.came_up < settings.cold; }

  void Enter(Node* n, RequestId id, double sign, const Task& task) {
    n->Enter(id, now, {sign * task.cores, sign * task.memory});
    Changed(n);
  }
  template <typename Which>
  void Leave(Node* n, Which which) {
    n->Leave(list.heard_at - lag.value(), which);
    Changed(n);
  }
  const Room& Used(const Node& n) const { return n.Used(sums); }
  Room BookedUse(const Task& task) const { return seen[Index(task)].Use(task); }
  void Book(Node* n, const Request& r, double sign) {
    n->held.Add(sign, {r.task.cores, r.task.memory});
    n->used.Add(sign, r.use);
    sums.Book(sign, {r.task.cores, r.task.memory}, r.use);
    Changed(n);
  }

  // --- Filters ------------------------------------------------------------------------------------------
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
  // Rule 2: a keyed task that may have run goes only where its repeats are discarded, and in time.
  bool EffectAllows(const Node& n, const Request& r) const {
    if (!r.may_have_run || ClassOf(r.task).effect == Effect::kSafe) return true;
    return !Stuck(r) && SamePlace(ClassOf(r.task).group, table.Find(r.first_node)->entry, n.entry);
  }
  bool Stuck(const Request& r) const {  // no node may have it any more
    const ClassSettings& c = ClassOf(r.task);
    return r.may_have_run && c.effect != Effect::kSafe &&
           (c.effect == Effect::kUnsafe || now - r.first_sent >= c.key_window);
  }
  bool Fits(const Node& n, const Request& r) const {
    if (!n.heard) return true;
    const Task& t = r.task;
    if (n.asked.cores + t.cores > Cores(n) * settings.admit_cores) return false;
    if (n.asked.memory + t.memory > Memory(n) * settings.admit_memory) return false;
    if (t.cores >= n.refused.cores || t.memory >= n.refused.memory) return false;
    const ClassSettings& c = ClassOf(t);
    return UseFits(n, r, std::max(kBusyMost, c.calm + kFadeTaken * c.fade), kMemoryBrink);
  }
  bool UseFits(const Node& n, const Request& r, double busy_most, double memory_most) const {
    if (!n.heard) return true;
    const Room& used = Used(n);
    const Room more = BookedUse(r.task);
    return used.cores + more.cores * n.weigh.cores <= busy_most * Cores(n) &&
           used.memory + more.memory * n.weigh.memory <= memory_most * Memory(n);
  }
  bool Comfortable(const Node& n, const Request& r) const {
    const ClassSettings& c = ClassOf(r.task);
    return n.poor_until <= now &&
           UseFits(n, r, std::min(kBusyMost, c.calm + kFadeTaken * c.fade), kMemoryMost) &&
           !TakesHome(n, r.task);
  }
  bool Large(const Task& t) const {
    return t.cores > kLarge * settings.mean_cores || t.memory > kLarge * settings.mean_memory;
  }
  // How many tasks of this shape the node has room for, by what is asked; RoomFor: and by what is used.
  double RoomAsked(const Node& n, const Room& shape, const Room& taken) const {
    return std::min((Cores(n) * settings.admit_cores - n.asked.cores - taken.cores) / shape.cores,
                    (Memory(n) * settings.admit_memory - n.asked.memory - taken.memory) / shape.memory);
  }
  double RoomFor(const Node& n, const Room& shape, const Room& taken) const {
    const Room& used = Used(n);
    return std::min({RoomAsked(n, shape, taken),
                     (Cores(n) * kBusyMost - used.cores - taken.cores) / shape.cores,
                     (Memory(n) * kMemoryMost - used.memory - taken.memory) / shape.memory});
  }
  // Exception for large tasks, which levelling leaves without a home: the node with the most room for a
  // class's largest takes smaller ones only where that room stays, or where nothing else fits.
  bool TakesHome(const Node& n, const Task& t) const {
    return !Large(t) && std::ranges::any_of(seen, [&](const Seen& s) {
      return s.home == n.entry.node && s.largest.cores > 0 && RoomFor(n, s.largest, {t.cores, t.memory}) < 1;
    });
  }
  void FindHomes() {
    for (std::size_t i = 0; i < seen.size(); ++i) {
      const int kind = settings.classes[i].kind;
      double most = -kNoLimit;
      if (seen[i].largest.cores <= 0) continue;
      for (const Node* n : nodes) {
        if (!Healthy(*n) || (kind >= 0 && kind != n->entry.kind)) continue;
        const double room = RoomFor(*n, seen[i].largest, {0, 0});
        if (room > most) seen[i].home = n->entry.node;
        most = std::max(most, room);
      }
    }
  }
  Seen AtFirst(const ClassSettings& c) const {
    Seen s;
    const std::size_t kind = c.kind;
    if (kind < settings.kind_cores.size())
      s.largest = {kGuess * settings.kind_cores[kind], kGuess * settings.kind_memory[kind]};
    return s;
  }
  void NoteSize(const Task& t) {
    Seen& s = seen[Index(t)];
    if (std::exchange(s.guessed, false)) s.largest = {};
    if (Large(t)) s.largest = {std::max(s.largest.cores, t.cores), std::max(s.largest.memory, t.memory)};
  }
  // Nodes of a kind that a class cannot do without come last for the others.
  bool Wanted(const Node& n) const {
    return std::any_of(settings.classes.begin(), settings.classes.end(),
                       [&n](const ClassSettings& c) { return c.kind == n.entry.kind; });
  }
  bool Healthy(const Node& n) const {
    return n.listed && n.entry.state == NodeState::kReady && n.strikes == 0;
  }
  bool Allowed(Node* n, const Request& r) {
    ++looked;
    const ClassSettings& c = ClassOf(r.task);
    if (!n->listed || n->entry.state != NodeState::kReady) return false;  // rule 3
    if (sites != nullptr && !sites->MaySend(n->entry.zone, c.effect == Effect::kUnsafe)) return false;
    if (c.kind >= 0 && c.kind != n->entry.kind) return false;
    if (n->strikes > 0) return false;
    if (n->TurnsAway(r.task, now)) return false;
    if (std::find(r.failed_on.begin(), r.failed_on.end(), n->entry.node) != r.failed_on.end()) return false;
    return ColdAllows(n) && SpreadAllows(*n, r.task) && EffectAllows(*n, r) && Fits(*n, r);
  }

  bool HasProgram(const OnNode& on) const {
    return on.out > 0 || (on.ended > 0 && now - on.ended < kProgramKept);
  }

  // --- The ordinary path: least C over W ----------------------------------------------------------------
  Candidate Score(const Node& n, const Task& task) const {
    const bool program = n.turn == turn && n.program;
    const double bind = task.cores * (program ? 1 : kSetupTasks);
    return {n.entry.node, (n.asked.cores + bind) / settings.mean_cores, Weight(n)};
  }
  double Weight(const Node& n) const {
    const Room &asked = n.asked, &used = Used(n);
    const double free_cores =
        std::min(1 - asked.cores / (Cores(n) * settings.admit_cores), 1 - used.cores / Cores(n));
    const double free_memory =
        std::min(1 - asked.memory / (Memory(n) * settings.admit_memory), 1 - used.memory / Memory(n));
    double pace = 1;  // V of a node that has just come up is not yet that of its kind
    if (Cold(n)) {
      const double age = static_cast<double>(now - n.entry.came_up) / static_cast<double>(settings.cold);
      pace = settings.cold_from + (1 - settings.cold_from) * age;
    }
    const double q = Memory(n) / settings.mean_memory * std::clamp(free_memory, 0.0, 1.0);
    const double v = pace * Cores(n) / settings.mean_cores * std::clamp(free_cores, 0.0, 1.0);
    return std::max(std::hypot(kRhoMemory * q, kRhoCores * v), 1e-9);
  }

  // Exception where nodes in use are priced: the fullest nodes that hold all load at kAwakeFill and more are
  // awake; the rest get nothing while one of the awake fits, and stay whole for large tasks.
  std::vector<Node*> ByFullness(std::size_t* awake) const {
    std::vector<std::pair<double, Node*>> by_fullness;
    Room load, room;
    for (Node* n : nodes) {
      if (!Healthy(*n)) continue;
      const Room& used = Used(*n);
      by_fullness.emplace_back(Wanted(*n) - std::max(used.cores / Cores(*n), used.memory / Memory(*n)), n);
      load.Add(1, used);
    }
    std::ranges::sort(by_fullness, {},
                      [](const auto& f) { return std::pair(f.first, f.second->entry.node); });
    *awake = 0;
    std::vector<Node*> fullest;
    for (const auto& [fullness, n] : by_fullness) {
      if (room.cores < load.cores || room.memory < load.memory) ++*awake;
      room.Add(kAwakeFill + kAwakePrice * settings.fleet_price, {Cores(*n), Memory(*n)});
      fullest.push_back(n);
    }
    return fullest;
  }
  std::optional<NodeId> Choose(const Request& r) {
    LookAround(r.task);
    scores.clear();
    at_home = false;
    double room = 0;
    if (indexed) {
      Gather(r, &room);
    } else {
      FindHomes();
      std::size_t awake = nodes.size();
      std::vector<Node*> fullest;
      if (settings.fleet_price > 0) fullest = ByFullness(&awake);
      const std::vector<Node*>& all = settings.fleet_price > 0 ? fullest : nodes;
      for (const bool comfortable : {true, false}) {
        for (std::size_t i = 0; i < all.size() && (scores.empty() || !comfortable || i < awake); ++i) {
          if (Allowed(all[i], r) && (!comfortable || Comfortable(*all[i], r))) Take(*all[i], r, &room);
        }
        if (!scores.empty()) break;
      }
    }
    if (scores.empty() || !(at_home || InTurn(r, room))) return std::nullopt;
    Candidate sum{0, 0, 0};
    for (const Candidate& s : scores) sum = {0, sum.c + s.c, sum.w + s.w};
    for (Candidate& s : scores) {  // not heard from: average
      if (s.w <= 0) s = {s.node, sum.w > 0 ? sum.c : 1, sum.w > 0 ? sum.w : 1};
    }
    return Pick(r.task.service);
  }
  void Take(const Node& n, const Request& r, double* room) {
    scores.push_back(n.heard ? Score(n, r.task) : Candidate{n.entry.node, 0, 0});
    *room += n.heard ? std::floor(RoomAsked(n, {r.task.cores, r.task.memory}, {0, 0})) : 1;
  }

  // --- Many nodes ---------------------------------------------------------------------------------------
  // The same filters and scores for the nodes of least C over W, met in about that order: as many as
  // near-ties, the binds of others and those who wait can need. What the index knows may be old by kDrift.
  void Gather(const Request& r, double* room) {
    Refresh();
    if (Home(r, room)) return;
    const Room use = BookedUse(r.task);
    const RatioIndex::Rooms need{r.task.cores, r.task.memory, use.cores, use.memory};
    const double bind = r.task.cores * kSetupTasks;
    const double others = Others(), waiting = Rivals();
    double c = others, w = -kSteep * others;
    std::size_t looked = 0;
    poor.clear();
    const auto consider = [&](Node* n) {
      ++looked;
      if (!Allowed(n, r)) return true;
      if (!Comfortable(*n, r)) {
        if (poor.size() < kLeastTaken) poor.push_back(n);
        return !scores.empty() || looked < kLooked;
      }
      Take(*n, r, room);
      c += scores.back().c;
      w += scores.back().w;
      return scores.size() < kLeastTaken || w <= 0 || c / w > scores.back().c / scores.back().w ||
             *room < waiting;
    };
    for (const Around& a : around) consider(table.Find(a.entry->node));
    for (std::size_t kind = 0; kind < index.size(); ++kind) {
      if (const int k = ClassOf(r.task).kind; k >= 0 && k != static_cast<int>(kind)) continue;
      const auto visit = [&](std::uint32_t slot) {
        Node* n = table.at_slot(slot);
        return n->turn == turn || consider(n);
      };
      if (index[kind].Least(bind, need, visit) || !scores.empty()) continue;
      poor.clear();  // they are met again
      index[kind].Ascend(bind, need, visit);
    }
    if (!scores.empty()) return;
    for (const Node* n : poor) Take(*n, r, room);
  }
  // Guards against a herd on one late view: each scheduler has a part of its zone's nodes for itself, by a
  // hash that all know, and binds elsewhere only what finds no room or service there.
  bool Home(const Request& r, double* room) {
    const auto consider = [&](Node* n) {
      if (Allowed(n, r) && Comfortable(*n, r)) Take(*n, r, room);
    };
    for (Node* n : homes) {
      if (n->asked.cores <= kHomeMost * mean_level * Cores(*n)) consider(n);
    }
    for (std::size_t i = 0; !homes.empty() && i < around.size(); ++i) {
      if (Node* n = table.Find(around[i].entry->node); !n->home) consider(n);
    }
    for (Candidate& s : scores) s.c += table.Find(s.node)->start_queue;
    return at_home = !scores.empty();
  }
  // In which zone the others are is not told: that they stand in turn, by number, is as good a guess as any.
  void FindOwnPart() {
    cold.clear();
    std::ranges::copy_if(nodes, std::back_inserter(cold), [this](const Node* n) { return Cold(*n); });
    homes.clear();
    std::set<int> zones;
    for (const Node* n : nodes) zones.insert(n->entry.zone);
    const int count = std::max<int>(1, static_cast<int>(zones.size()));
    const int parts = indexed ? (settings.scheduler_count + count - 1) / count : 1;
    for (Node* n : nodes) {
      const int part = static_cast<int>(willowrail::HashDraw(0, n->entry.node) * parts);
      n->home = parts > 1 && n->entry.zone == settings.zone && part == settings.ordinal / count % parts;
      if (n->home) homes.push_back(n);
    }
  }
  void Refresh() {
    const auto moved = [](double a, double b) { return std::abs(a - b) > kDrift * b; };
    if (now >= index_at) {
      index_at = now + kIndexEvery;
      const bool drifted =
          moved(sums.mean.cores, mean_indexed.cores) || moved(sums.mean.memory, mean_indexed.memory);
      if (drifted) mean_indexed = sums.mean;
      for (std::size_t i = 0; drifted && i < nodes.size(); ++i) Write(nodes[i]);
      for (Node* n : cold) Write(n);
      FindHomes();
      Room asked, all;
      for (const Node* n : nodes) {
        asked.Add(Healthy(*n), n->asked);
        all.Add(Healthy(*n), {Cores(*n), 0});
      }
      mean_level = all.cores > 0 ? asked.cores / all.cores : 0;
    }
    for (Node* n : dirty) Write(n);
    dirty.clear();
  }
  void Write(Node* n) {
    n->dirty = false;
    if (!Healthy(*n)) {
      for (RatioIndex& each : index) each.Clear(n->slot);
      return;
    }
    // Room by what is used is told larger than it is by what the mean may have moved: the filters are exact.
    double busy = kBusyMost;
    for (const ClassSettings& c : settings.classes) busy = std::max(busy, c.calm + kFadeTaken * c.fade);
    const Room &asked = n->asked, &used = Used(*n);
    index[Kind(*n)].Set(n->slot,
                        {asked.cores,
                         Weight(*n),
                         {std::min(Cores(*n) * settings.admit_cores - asked.cores, n->refused.cores),
                          std::min(Memory(*n) * settings.admit_memory - asked.memory, n->refused.memory),
                          (busy * Cores(*n) - (1 - 2 * kDrift) * used.cores) / n->weigh.cores,
                          (kMemoryBrink * Memory(*n) - (1 - 2 * kDrift) * used.memory) / n->weigh.memory}});
  }
  // After the list has changed. A few nodes are scanned faster than an index of them is kept.
  void IndexOrNot(bool anew = false) {
    const bool many = settings.view && settings.fleet_price <= 0 && nodes.size() > kIndexFrom;
    if (many == std::exchange(indexed, many) && !anew) return;
    for (const RatioIndex& each : index) looked += each.looked();
    index.assign(many ? settings.kind_cores.size() : 0, {});
    dirty.clear();
    for (Node* n : nodes) {
      n->dirty = false;
      Changed(n);
    }
    index_at = 0;
  }

  // Guards against a rush of all at the little room that one late view shows: where more tasks wait, at each
  // scheduler as many as here, than find room within a view's age, each is offered by chance.
  bool InTurn(const Request& r, double room) {
    const double waiting = Rivals();
    room += ends.PerSecond(now) * settings.scheduler_count * kViewAge / kSecond;
    if (room >= waiting) return true;
    const double ticks = held.contains(r.task.id) ? kViewAge / kHeldTick : 1;
    return Draw() * waiting * ticks < room;
  }
  double Rivals() const { return static_cast<double>(held.size()) * (settings.scheduler_count - 1); }
  double Others() const { return arrivals.PerSecond(now) * (settings.scheduler_count - 1) * kUnseen; }
  // Near-ties are the nodes that the binds of others, not yet in the view, can be expected to level: poured
  // onto the least scores they raise them to one level. Each is taken by a draw weighted by what it takes up
  // to there: a hash of service and node, alike at all, so that a service's program is set up on few nodes.
  NodeId Pick(std::uint64_t service) {
    std::sort(scores.begin(), scores.end(), [](const Candidate& a, const Candidate& b) {
      return std::tuple(a.c * b.w, a.node) < std::tuple(b.c * a.w, b.node);
    });
    double level = 0, c = at_home ? 0 : Others(), w = -kSteep * c;
    for (const Candidate& s : scores) {
      if (w > 0 && c / w <= s.c / s.w) break;
      c += s.c;
      w += s.w;
      level = w > 0 ? c / w : kMostLevel;
    }
    level = std::max(level, scores[0].c / scores[0].w * (1 + kNearTie));
    NodeId best = scores[0].node;
    double least = kNoLimit;
    for (const Candidate& s : scores) {
      const double drawn =
          -std::log(willowrail::HashDraw(service, s.node)) / std::max(1e-9, level * s.w - s.c);
      if (s.c > level * s.w || drawn >= least) continue;
      least = drawn;
      best = s.node;
    }
    return best;
  }

  // --- Attempts -----------------------------------------------------------------------------------------
  // Cut short, an unsafe attempt could only fail, and a start under way would be done twice: only what takes
  // far longer than the others is taken for lost. Hurts where one node is that much slower.
  Time Until(const Request& r) const {
    if (ClassOf(r.task).effect == Effect::kUnsafe || r.attempts >= Tries(r)) return AnswerBy(r);
    const bool runs = settings.placed_when_running;
    const Time wanted = static_cast<Time>((runs ? kStartMeans : kTimeoutMeans) * mean_answer);
    if (runs) return std::min(AnswerBy(r), now + std::max(wanted, kStartLeast));
    return std::min(AnswerBy(r), now + std::clamp(wanted, kTimeoutLeast, kTimeoutMost));
  }
  bool MayRefuse(const Request& r) const {
    const ClassSettings& c = ClassOf(r.task);
    if (c.effect == Effect::kSafe || (!r.may_have_run && !r.out)) return true;
    return c.effect == Effect::kKeyed && c.group == Place::kAll && now - r.first_sent < c.key_window;
  }
  void Answer(Request* r) {  // rule 1: the one final answer where no task was placed
    if (!std::exchange(r->owed, false)) return;
    held.erase(r->task.id);
    // By then the list shows what is free now; where less is taken than is asked, the plan spreads who
    // returns.
    const Time away = std::min(Spared(*r) ? sites->StayAway(r->rank, r->task) : kViewAge, settings.most_away);
    out.push_back(MayRefuse(*r) ? Action(Refuse{r->task.id, away}) : Action(Fail{r->task.id}));
    if (!r->out) requests.Erase(r->task.id);
  }
  // Where sites are lost: new work that the plan does not take now, and what only a lost site may still have.
  bool Spared(const Request& r) const {
    return sites != nullptr && r.attempts == 0 && !sites->Admits(r.rank, r.task);
  }
  bool Tied(const Request& r) const {
    if (sites == nullptr || !r.may_have_run || !sites->RefusesTied(r.task.class_index)) return false;
    const ClassSettings& c = ClassOf(r.task);
    return c.effect == Effect::kKeyed && c.group != Place::kAll &&
           sites->Lost(table.Find(r.first_node)->entry.zone);
  }
  // Offers the task where it fits, holds it where it fits nowhere, answers where nothing more can come.
  void Place(Request* r) {
    if (Stuck(*r) || r->attempts >= Tries(*r) || now >= AnswerBy(*r) || Spared(*r) || Tied(*r)) {
      Answer(r);
      return;
    }
    const std::optional<NodeId> id = Choose(*r);
    if (!id) {
      held.insert(r->task.id);
      return;
    }
    held.erase(r->task.id);
    Node& n = *table.Find(*id);
    r->out = true;
    r->node = *id;
    r->sent = now;
    ++r->attempts;
    if (r->attempts == 1 || !r->may_have_run) {
      r->first_node = *id;
      r->first_sent = now;
    }
    r->use = BookedUse(r->task);
    Book(&n, *r, 1);
    Enter(&n, r->task.id, 1, r->task);
    if (Cold(n)) n.cold_sends.push_back(now);
    if (sites != nullptr) sites->Sent(n.entry.zone, r->task, now);
    OnNode& on = services.At(r->task.service, *id);
    n.start_queue += r->start_work = HasProgram(on) ? 1 : kColdStart;
    ++on.out;
    out.push_back(Offer{r->task.id, *id, Until(*r)});
  }
  bool OverShare(const Task& task) const {
    const std::size_t tenant = task.tenant;
    const double quota = tenant < settings.tenants.size() ? settings.tenants[tenant].quota_cores : 0;
    return quota > 0 && tenants.cores[tenant] * settings.scheduler_count > quota;
  }
  // Worth of a second of the task per unit of room, nearly nothing beyond its tenant's share.
  double Value(const Request& r) const {
    return ClassOf(r.task).worth * (OverShare(r.task) ? settings.over_share_worth : 1);
  }
  void PlaceHeld() {
    order.clear();
    for (const RequestId id : held)
      order.push_back({Value(*requests.Find(id)), requests.Find(id)->task.deadline, id});
    std::sort(order.begin(), order.end());
    full.clear();  // the tasks of a service are alike: where one fits nowhere, none does
    for (const Waiting& w : order) {
      Request* r = requests.Find(w.id);
      const std::uint64_t service = r->task.service;
      if (r->attempts == 0 && std::ranges::find(full, service) != full.end()) continue;
      Place(r);
      r = requests.Find(w.id);
      if (r != nullptr && r->attempts == 0 && held.contains(w.id)) full.push_back(service);
    }
  }
  bool Owed(RequestId id) {
    const Request* r = requests.Find(id);
    return r != nullptr && r->owed && !r->placed;
  }
  // What is over before its time is passed over as it comes up.
  void AnswerDue() {
    while (!due.empty() && (due.top().first <= now || !Owed(due.top().second))) {
      const auto [at, id] = due.top();
      due.pop();
      Request* r = requests.Find(id);
      if (r != nullptr && !r->placed && at == AnswerBy(*r)) Answer(r);
    }
  }
  // One timer stands for all: the first moment at which something is due though nothing happens.
  void WakeNext() {
    Time next = due.empty() ? kNever : due.top().first;
    if (!held.empty()) next = std::min(next, next_wake);
    if (probed) next = std::min(next, probe_at);
    for (const Node* n : struck) {
      if (n->aside_until > now) next = std::min(next, n->aside_until);
    }
    if (settings.ask_discovery) next = std::min(next, list.Next(now, Patience()));
    if (next == kNever || (armed > now && armed <= next)) return;
    armed = std::max(next, now + 1);
    out.push_back(SetTimer{0, armed});
  }

  // Guards against nodes that do not answer: set aside, longer each time, until a probe or task succeeds.
  void Strike(Node* n) {
    if (n->strikes > 0 && n->aside_until > now) return;
    if (n->strikes == 0) {
      struck.insert(std::ranges::upper_bound(struck, n->key, {}, [](const Node* o) { return o->key; }), n);
      Say("node " + std::to_string(n->entry.node) + " does not answer, set aside");
    }
    const Time pause = std::min<Time>(kAsideLast, kAsideFirst << std::min(n->strikes, 8));
    ++n->strikes;
    n->aside_until = now + static_cast<Time>(static_cast<double>(pause) * (0.75 + 0.5 * Draw()));
    Changed(n);
  }
  void Answers(Node* n) {
    if (std::exchange(n->strikes, 0) == 0) return;
    std::erase(struck, n);
    Changed(n);
  }
  void TryAside() {
    for (Node* n : std::vector<Node*>(struck)) {
      if (n->aside_until > now || !n->listed || n->entry.state != NodeState::kReady) continue;
      settings.probing ? AskNode(n) : Answers(n);
    }
  }
  void AskNode(Node* n) {
    if (!std::exchange(n->probing, true)) out.push_back(Probe{n->entry.node});
  }

  // --- Discovery ----------------------------------------------------------------------------------------
  void Ask() {
    if (settings.ask_discovery && list.Ask(now, Patience())) out.push_back(Subscribe{true});
  }
  Time Patience() const {
    return settings.ask_within > 0 ? std::min(kSilence, settings.ask_within / 2) : kSilence;
  }
  void On(const RosterChanged& e) {
    if (e.kind == RosterKind::kFailed) {
      if (list.Failed(now, Draw())) Say("the node list is out of reach, asking again");
      return;
    }
    list.Heard(now, e.kind != RosterKind::kCached);
    if (e.kind != RosterKind::kDelta) {
      for (Node* n : nodes) {
        n->listed = false;
        Changed(n);
      }
    }
    for (const NodeEntry& entry : *e.entries) {
      Node& n = *table.FindOrInsert(entry.node);
      if (entry.came_up != n.entry.came_up && n.listed) {  // another life: what was known is void
        Leave(&n, [](const OwnChange&) { return true; });
        Answers(&n);
        n.cold_sends.clear();
      }
      const bool moved = entry.free_cores != n.entry.free_cores || entry.free_memory != n.entry.free_memory;
      if (moved && now - n.refused_at > kRefusalHolds) n.refused = {kNoLimit, kNoLimit};
      if (settings.view && moved && e.kind == RosterKind::kDelta && n.heard)
        lag.Learn(n, entry.free_cores - n.entry.free_cores, now);
      if (indexed && entry.kind != n.entry.kind) index[Kind(n)].Clear(n.slot);
      n.told_at = now;
      n.entry = entry;
      n.listed = entry.state != NodeState::kGone;
      n.heard = n.heard || settings.view;
      Changed(&n);
    }
    for (Node* n : nodes) {
      if (n->own.empty()) continue;
      Leave(n, [this](const OwnChange& c) { return c.at + 2 * Lag::kMost < list.heard_at; });
    }
    Forget();
    IndexOrNot();
    FindOwnPart();
  }
  // Guards against tables that only grow: nodes come and go, and so do services.
  void Forget() {
    willowrail::NumberSet<NodeId> named;
    requests.ForEach([&](const Request& r) {
      named.insert(r.node);
      named.insert(r.first_node);
    });
    table.EraseIf([&](Node* n) {
      if (n->listed || named.contains(n->key)) return false;
      std::erase(struck, n);
      std::erase(dirty, n);
      std::erase(cold, n);
      for (RatioIndex& each : index) each.Clear(n->slot);
      return true;
    });
    services.Forget([&](const OnNode& on) { return !HasProgram(on) || table.Find(on.node) == nullptr; });
    requests.Shrink();
  }

  // --- Events -------------------------------------------------------------------------------------------
  void On(const TaskArrived& e) {
    Request& r = *requests.Insert(e.task.id, {});
    r.task = e.task;
    r.tries = settings.max_tries;
    NoteSize(r.task);
    due.emplace(AnswerBy(r), e.task.id);
    if (sites != nullptr) r.rank = sites->RankOf(r.task, OverShare(r.task), Large(r.task), now);
    Place(&r);
    arrivals.Note(now);
  }
  void On(const TaskFound& e) {
    Request& r = *requests.Insert(e.task.id, {});
    r.task = e.task;
    NoteSize(r.task);
    r.node = e.node;
    r.owed = false;
    r.out = r.placed = true;
    r.attempts = 1;
    r.sent = now;
    r.use = BookedUse(r.task);
    Node* n = table.FindOrInsert(e.node);
    n->entry.node = e.node;
    Book(n, r, 1);
    ++services.At(r.task.service, e.node).out;
    tenants.Count(r.task, 1);
  }
  void On(const Placed& e) {
    Request* r = requests.Find(e.id);
    if (r == nullptr) return;
    r->placed = true;
    r->owed = false;
    Node* n = table.Find(r->node);
    n->start_queue -= std::exchange(r->start_work, 0);
    Answers(n);
    n->answered_at = now;
    tenants.Count(r->task, 1);
    mean_answer += (e.took - mean_answer) / (mean_answer > 0 ? 16 : 1);
  }
  void On(const AttemptEnded& e) {
    Request* found = requests.Find(e.id);
    if (found == nullptr || !found->out) return;
    Request& r = *found;
    Node& n = *table.Find(r.node);
    r.out = false;
    n.start_queue -= std::exchange(r.start_work, 0);
    Book(&n, r, -1);
    OnNode& on = services.At(r.task.service, r.node);
    --on.out;
    if (r.placed) {
      ends.Note(now);
      on.ended = now;
      tenants.Count(r.task, -1);
      Enter(&n, r.task.id, -1, r.task);
      if (e.outcome == Outcome::kAborted) {
        if (e.reason == Reason::kEvicted) n.poor_until = now + kPoorRest;
        if (e.reason == Reason::kUntold) Strike(&n);  // lost with its node
      }
    } else {
      Leave(&n, [&r](const OwnChange& c) { return c.id == r.task.id; });
      Learn(&n, &r, e);
    }
    if (e.done || r.placed || !r.owed) {
      requests.Erase(e.id);
    } else {
      Place(&r);
    }
  }
  // What an attempt that placed nothing tells of its node and of the task.
  void Learn(Node* n, Request* r, const AttemptEnded& e) {
    switch (e.outcome) {
      case Outcome::kRefused:
        Answers(n);
        if (e.reason == Reason::kUntold) {
          // Guards against limits for some: a refusal for no told reason counts for its class and tenant.
          std::erase_if(n->turned_away, [this](const TurnedAway& t) { return t.until <= now; });
          n->turned_away.push_back({r->task.class_index, r->task.tenant, now + kTurnedAwayRest});
          break;
        }
        n->refused_at = now;
        if (e.reason == Reason::kNoCores) n->refused.cores = std::min(n->refused.cores, r->task.cores);
        if (e.reason == Reason::kNoMemory) n->refused.memory = std::min(n->refused.memory, r->task.memory);
        if (e.reason == Reason::kNotHere || e.reason == Reason::kQueueFull) r->failed_on.push_back(r->node);
        Changed(n);
        break;
      case Outcome::kNoConnection:
        Strike(n);
        break;
      case Outcome::kTimedOut:
      case Outcome::kAborted:
        if (n->answered_at <= r->sent) Strike(n);  // else it answers others, and lost this one
        [[fallthrough]];
      case Outcome::kError:
      case Outcome::kCancelled:
        r->failed_on.push_back(r->node);
        r->may_have_run = true;
        break;
      default:
        break;
    }
  }
  void On(const Withdrawn& e) {
    Request* r = requests.Find(e.id);
    if (r == nullptr) return;
    held.erase(r->task.id);
    r->owed = false;
    if (!r->out) requests.Erase(e.id);
  }
  void On(const Noted& e) {
    Request* found = requests.Find(e.id);
    if (found == nullptr || !found->out) return;
    Request& r = *found;
    Node& n = *table.Find(r.node);
    Book(&n, r, -1);
    seen[Index(r.task)].Learn(e, now, &r);
    Book(&n, r, 1);
    if ((e.kind == NoteKind::kServed && e.level < kPoorService) ||
        (e.kind == NoteKind::kNodeMemory && e.level > kPressure)) {
      n.poor_until = now + kPoorRest;
    }
  }
  void On(const Probed& e) {
    Node* n = table.Find(e.node);
    if (n == nullptr) return;
    n->probing = false;
    if (e.outcome == Outcome::kOk) {
      Answers(n);
      Weigh(n, e.report);
      Changed(n);
    } else {
      Strike(n);
    }
  }
  // Guards against what bookings cannot show: tasks of others that use more than asked, slow cores, starts.
  void Weigh(Node* n, const Report& report) {
    const auto& [value, told] = report;
    const Room booked = n->Booked(sums), all{Cores(*n), Memory(*n)};
    if (told[Report::kCpu]) {
      Correct(value[Report::kCpu], booked.cores / all.cores, &n->weigh.cores);
    } else if (settings.reports_used && told[Report::kX0]) {
      Correct(1 - value[Report::kX0] / all.cores, booked.cores / all.cores, &n->weigh.cores);
    }
    if (settings.reports_used && told[Report::kX1])
      Correct(1 - value[Report::kX1] / all.memory, booked.memory / all.memory, &n->weigh.memory);
  }
  void ProbeNext() {
    if (!settings.probing || now < probe_at) return;
    probe_at = now + kProbeEvery * settings.scheduler_count;
    probed = true;  // the first turn waits for the first event; those after it have a timer
    // By the common clock: the schedulers look at the same node at about the same time.
    const Time turn = now / (kProbeEvery * std::min(settings.scheduler_count, kProbersAtOnce));
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      Node* n = nodes[(static_cast<std::size_t>(turn) + i) % nodes.size()];
      if (!Healthy(*n)) continue;
      AskNode(n);
      return;
    }
  }
  // What is out in a lost site and may run elsewhere is not waited for; what waits is looked at again.
  void On(const SitesChanged&) {
    requests.ForEach([this](const Request& r) {
      if (sites == nullptr || !r.out || r.placed || !sites->Lost(table.Find(r.node)->entry.zone)) return;
      const ClassSettings& c = ClassOf(r.task);
      const bool elsewhere =
          c.effect == Effect::kSafe || (c.effect == Effect::kKeyed && c.group == Place::kAll);
      if (elsewhere && r.attempts < Tries(r)) out.push_back(Retract{r.task.id, r.attempts - 1});
    });
    next_wake = now;
  }
  // The books stay; what is reckoned from the settings, the index among it, is reckoned anew.
  void On(const SettingsChanged& e) {
    try {
      if (e.settings == nullptr) throw std::invalid_argument("none were given");
      Check(*e.settings);
    } catch (const std::invalid_argument& error) {
      out.push_back(Log{std::string("new settings are not taken: ") + error.what()});
      return;
    }
    settings = *e.settings;
    const std::vector<Seen> before = std::exchange(seen, {});
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
      const std::size_t from = i < e.learns_from.size() ? e.learns_from[i] : before.size();
      seen.push_back(from < before.size() ? before[from] : AtFirst(settings.classes[i]));
    }
    tenants.cores.resize(std::max(tenants.cores.size(), settings.tenants.size()));
    IndexOrNot(true);
    FindOwnPart();
    OrderDue();
  }
  void On(const Closing& e) {
    closing = e.by;
    OrderDue();
  }
  void OrderDue() {  // after a change of AnswerBy; what waits is looked at again
    due = {};
    requests.ForEach([this](const Request& r) {
      if (r.owed) due.emplace(AnswerBy(r), r.task.id);
    });
    next_wake = now;
  }
  void On(const auto&) {}  // timers only wake; peers say nothing: schedulers decide alike without talking
};

Scheduler::Scheduler(Settings settings, std::uint64_t seed) : state_(std::make_unique<State>()) {
  Check(settings);
  state_->settings = std::move(settings);
  for (const ClassSettings& c : state_->settings.classes) state_->seen.push_back(state_->AtFirst(c));
  state_->tenants.cores.assign(state_->settings.tenants.size(), 0);
  state_->random.seed(seed);
}
Scheduler::~Scheduler() = default;
std::size_t Scheduler::size() const { return state_->nodes.size() + state_->services.size(); }
std::size_t Scheduler::avoided() const {
  return std::ranges::count_if(state_->nodes,
                               [this](const Node* n) { return n->listed && !state_->Healthy(*n); });
}
std::uint64_t Scheduler::looked() const {
  std::uint64_t all = state_->looked;
  for (const RatioIndex& each : state_->index) all += each.looked();
  return all;
}
void Scheduler::Follow(SitePlan* plan) { state_->sites = plan; }
bool Scheduler::Holds(RequestId id) const { return state_->requests.Find(id) != nullptr; }
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

const std::vector<Action>& Scheduler::Handle(const Event& event, Time now) {
  State& s = *state_;
  s.out.clear();
  s.now = now;
  if (!std::exchange(s.begun, true)) {
    s.started = now;
    s.arrivals.Begin(now);
    s.ends.Begin(now);
    s.probe_at = now + s.settings.ordinal * kProbeEvery;  // in turn
  }
  std::visit([&s](const auto& e) { s.On(e); }, event);
  s.AnswerDue();
  s.Ask();
  s.TryAside();
  s.ProbeNext();
  if (!s.held.empty() && now >= s.next_wake) {
    s.PlaceHeld();
    s.next_wake = now + kHeldTick;
  }
  s.WakeNext();
  return s.out;
}

}  // namespace passbridge
