// Every decision of passbridge. The interface, types only, is include/passbridge/scheduler.h. A task's way:
// TaskArrived -> Place: Choose filters the nodes and binds by least C/W -> Offer -> Placed, or AttemptEnded
// -> tried elsewhere where its effect allows it. What fits nowhere is held and tried again as room appears
// (PlaceHeld); what is still owed shortly before its deadline is answered by AnswerDue.
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <limits>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "passbridge/scheduler.h"

namespace passbridge {
namespace {

constexpr Time kMs = 1'000'000, kSecond = 1000 * kMs;

// --- Tuned values: unit and reason ----------------------------------------------------------------------
constexpr double kRhoMemory = 0.5;  // the paper leaves the factors open but for their sum: both count alike
constexpr double kRhoCores = 1 - kRhoMemory;
constexpr double kNearTie = 0.08;  // share of the least score within which scores are near-ties in any case
// Binds of others stay unseen for kUnseen seconds, and each takes kSteep off W. Their rate is that of own
// arrivals, counted over kRateOver, kRateAtFirst of them taken for granted. kMostLevel: no limit.
constexpr double kUnseen = 4;
constexpr double kSteep = 0.35;
constexpr double kRateOver = 5 * kSecond;
constexpr double kRateAtFirst = 2;
constexpr double kMostLevel = 1e6;
// C of a bind where the program is not on the node, in tasks of its own size. A node keeps one for a while.
constexpr double kSetupTasks = 30;
constexpr Time kProgramKept = 8 * kSecond;
// How far the list lags is learned among kLagSteps of this length; misses fade by this factor a change.
constexpr Time kLagStep = 125 * kMs;
constexpr int kLagSteps = 16, kLagAtFirst = 4;
constexpr double kMissFades = 0.99;
constexpr Time kRefusalHolds = 1500 * kMs;  // so long a refusal for want of room outweighs the list
// Shares of cores busy and memory in use that a bind may bring a node to. Where no node is that comfortable,
// past its class's calm by kFadeTaken of its fade, and memory to the brink: served poorly beats not served.
constexpr double kBusyMost = 0.95;
constexpr double kMemoryMost = 0.92;
constexpr double kFadeTaken = 0.3;
constexpr double kMemoryBrink = 1.0;
constexpr double kLarge = 4;     // mean sizes of a large task: a home is kept for each class's largest
constexpr double kGuess = 0.35;  // of a node: size of a class that needs its kind, until one of it was seen
// Probes, so far apart over all schedulers, so many of these at one node: a report of use corrects bookings.
constexpr Time kProbeEvery = 100 * kMs;
constexpr int kProbersAtOnce = 10;
constexpr double kWeighStep = 0.5;
constexpr double kWeighLeast = 0.8, kWeighMost = 3;
constexpr double kWeighFrom = 0.1;
// Use per unit asked until notes tell; a note moves it by this share. Memory grows for a while after a start.
constexpr double kUseAtFirst = 0.65;
constexpr double kUseStep = 0.02;
constexpr Time kGrows = 10 * kSecond;
// Share of the awake nodes that is filled before one more wakes, and kAwakePrice times the price of a node.
constexpr double kAwakeFill = 0.25;
constexpr double kAwakePrice = 2;
// Time-outs in mean answer times, within bounds; the latter where an answer says that the task runs.
constexpr double kTimeoutMeans = 6, kStartMeans = 9;
constexpr Time kTimeoutLeast = 500 * kMs, kTimeoutMost = 2000 * kMs, kStartLeast = 1000 * kMs;
// A node that fails is set aside for the first of these, doubling up to the last.
constexpr Time kAsideFirst = 400 * kMs, kAsideLast = 5 * kSecond;
constexpr Time kTurnedAwayRest = 4 * kSecond;  // a node is spared what it turned away for no told reason
constexpr Time kPoorRest = 2 * kSecond;        // not comfortable after a note of service or memory past these
constexpr double kPoorService = 0.9, kPressure = 0.92;
constexpr Time kHeldTick = 50 * kMs;   // held tasks are tried again this often
constexpr Time kViewAge = 1500 * kMs;  // the free room that the list shows is about this old
constexpr Time kAskFirst = 200 * kMs, kAskLast = 2 * kSecond;  // pause after a failed call, doubling
constexpr Time kSilence = 5 * kSecond;                         // a silent subscription is renewed
constexpr double kFallMargin = 1.3;  // on the window of the cold budget: sends do not arrive evenly spaced
constexpr int kMostLogs = 100;       // lines in one life

constexpr double kNoLimit = std::numeric_limits<double>::infinity();

// A number in (0, 1) that every scheduler draws alike for a service (or any other number) and a node.
double HashDraw(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a * 0x9E3779B97F4A7C15u + b;
  for (int i = 0; i < 2; ++i) {
    x = (x ^ (x >> 31)) * 0xBF58476D1CE4E5B9u;
    x = (x ^ (x >> 29)) * 0x94D049BB133111EBu;
  }
  return (static_cast<double>(x >> 12) + 0.5) / 4503599627370496.0;
}

struct Room {
  double cores = 0, memory = 0;
  void Add(double sign, const Room& o) {
    cores += sign * o.cores;
    memory += sign * o.memory;
  }
};

struct OwnChange {  // a bind (positive) or an end (negative) that the view may not show yet
  RequestId id;
  Time at = 0;
  Room room;
};

struct Node {
  NodeEntry entry;
  bool listed = false, heard = false, probing = false;  // heard: its free room was told
  std::vector<OwnChange> own;
  Room not_in_view;                  // the sum of those younger than the lag
  Room held, used;                   // asked by own tasks there, and used by them as far as known
  Room refused{kNoLimit, kNoLimit};  // asks from this size on were refused
  Room weigh{1, 1};                  // what reports say is in use, over what is booked
  int strikes = 0;                   // in a row
  Time told_at = 0, refused_at = 0, answered_at = 0;  // by the list; by the node
  Time aside_until = 0, poor_until = 0;
  std::deque<Time> cold_sends;
  std::map<std::pair<int, int>, Time> turned_away;  // a class of a tenant, until when
};

struct Request {
  Task task;
  bool owed = true;  // the owner still waits for the final answer
  bool out = false;  // an attempt has no result yet
  bool placed = false, may_have_run = false;
  int attempts = 0;
  NodeId node = 0, first_node = 0;  // of the attempt that is out; of the first that may have run
  Time sent = 0, first_sent = 0;
  Room use;  // booked at its node
  std::vector<NodeId> failed_on;
};

struct Pace {  // how often something happens here, in the last while
  double count = kRateAtFirst;
  Time at = 0;
  double PerSecond(Time now) const {
    return count * std::exp(static_cast<double>(at - now) / kRateOver) / kRateOver * kSecond;
  }
  void Note(Time now) {
    count = PerSecond(now) * kRateOver / kSecond + 1;
    at = now;
  }
};

struct Candidate {  // of a bind: C and W of the node
  NodeId node = 0;
  double c = 0, w = 1;
};

struct Seen {  // of a class: its largest large task, use per asked unit and how many notes told of it
  Room largest;
  bool guessed = true;  // no task of the class was seen yet
  Room use{kUseAtFirst, kUseAtFirst}, notes{1, 1};
  NodeId home = 0;
};

struct OnNode {
  int out = 0;     // own attempts without a result there
  Time ended = 0;  // when the last one ended, 0: never
};

}  // namespace

struct Scheduler::State {
  Settings settings;
  std::mt19937_64 random;
  std::map<NodeId, Node> nodes;
  std::map<RequestId, Request> requests;
  std::set<RequestId> held;
  std::map<std::uint64_t, std::map<NodeId, OnNode>> services;
  Room held_all, used_all;                   // over all nodes: asked by own tasks, and used by them
  std::set<std::pair<Time, RequestId>> due;  // what is owed, by when
  std::vector<Seen> seen;                    // by class
  std::vector<double> tenant_cores;          // asked by own placed tasks, by tenant
  std::vector<Action> out;
  Time now = 0, started = 0, next_wake = 0, probe_at = 0;
  Pace arrivals, ends;
  double mean_answer = 0;  // nanoseconds
  int said = 0;
  bool begun = false, subscribed = false, asked = false;
  Time asked_at = 0, ask_at = 0, heard_at = 0, ask_pause = kAskFirst;
  Time lag = kLagAtFirst * kLagStep;
  std::array<double, kLagSteps> lag_misses{};

  // --- Small helpers ------------------------------------------------------------------------------------
  std::size_t Index(const Task& task) const {
    return std::min<std::size_t>(task.class_index, settings.classes.size() - 1);
  }
  const ClassSettings& ClassOf(const Task& task) const { return settings.classes[Index(task)]; }
  double Draw() { return static_cast<double>(random() >> 11) / 9007199254740992.0; }
  Time AnswerBy(const Request& r) const { return r.task.deadline - 2 * settings.period; }
  double Cores(const Node& n) const { return settings.kind_cores[Kind(n)]; }
  double Memory(const Node& n) const { return settings.kind_memory[Kind(n)]; }
  std::size_t Kind(const Node& n) const {
    return std::min<std::size_t>(n.entry.kind, settings.kind_cores.size() - 1);
  }
  void Wake(Time at) { out.push_back(SetTimer{0, std::max(at, now + 1)}); }
  void Say(const std::string& text) {
    if (said++ < kMostLogs) out.push_back(Log{text});
  }
  bool Cold(const Node& n) const { return n.entry.came_up > 0 && now - n.entry.came_up < settings.cold; }

  // Own binds enter the late view and leave it as the list catches up with them.
  void Enter(Node* n, const RequestId& id, double sign, const Task& task) const {
    n->own.push_back({id, now, {sign * task.cores, sign * task.memory}});
    Leave(n, [](const OwnChange&) { return false; });
  }
  template <typename Which>
  void Leave(Node* n, Which which) const {
    std::erase_if(n->own, which);
    n->not_in_view = {};
    for (const OwnChange& c : n->own) {
      if (c.at + lag >= heard_at) n->not_in_view.Add(1, c.room);
    }
  }
  // Each change of a node's free room is compared with the own changes that each lag would have shown.
  void LearnLag(const Node& n, const NodeEntry& entry) {
    const double seen = entry.free_cores - n.entry.free_cores;
    for (int i = 0; i < kLagSteps; ++i) {
      double shown = 0;
      for (const OwnChange& c : n.own) {
        const Time at = c.at + (i + 1) * kLagStep;
        if (at > n.told_at && at <= now) shown -= c.room.cores;
      }
      lag_misses[i] = kMissFades * lag_misses[i] + std::abs(seen - shown);
    }
    lag = (1 + (std::min_element(lag_misses.begin(), lag_misses.end()) - lag_misses.begin())) * kLagStep;
  }
  // Asked on the node by all, own binds included.
  Room Asked(const Node& n) const {
    const Room& own = n.not_in_view;
    return {std::max(0.0, Cores(n) - n.entry.free_cores + own.cores),
            std::max(0.0, Memory(n) - n.entry.free_memory + own.memory)};
  }
  // In use there: own tasks by their notes, the others by the mean use per asked unit.
  Room Used(const Node& n) const {
    const Room booked = Booked(n);
    return {booked.cores * n.weigh.cores, booked.memory * n.weigh.memory};
  }
  Room Booked(const Node& n) const {
    const Room asked = Asked(n);
    const Room mean = MeanUse();
    return {n.used.cores + std::max(0.0, asked.cores - n.held.cores) * mean.cores,
            n.used.memory + std::max(0.0, asked.memory - n.held.memory) * mean.memory};
  }
  Room MeanUse() const {
    return {held_all.cores > 0 ? used_all.cores / held_all.cores : 1,
            held_all.memory > 0 ? used_all.memory / held_all.memory : 1};
  }
  Room BookedUse(const Task& task) const {
    const Room& per = seen[Index(task)].use;
    return {task.cores * per.cores, task.memory * per.memory};
  }
  void Book(Node* n, const Request& r, double sign) {
    for (Room* room : {&n->held, &held_all}) room->Add(sign, {r.task.cores, r.task.memory});
    for (Room* room : {&n->used, &used_all}) room->Add(sign, r.use);
  }

  // --- Filters ------------------------------------------------------------------------------------------
  // Rule 4: a cold node gets no more than this scheduler's part of the sends it always survives; where that
  // is less than one, groups of half as many take turns by the common clock, one send each, so that no window
  // meets more than two. One just restarted does not know what it sent, and waits a window or turn.
  bool ColdAllows(Node* n) const {
    if (!Cold(*n)) return true;
    const Time window = static_cast<Time>(kFallMargin * static_cast<double>(settings.fall));
    while (!n->cold_sends.empty() && n->cold_sends.front() + window <= now) n->cold_sends.pop_front();
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
  static bool SamePlace(Place place, const NodeEntry& a, const NodeEntry& b) {
    return a.node == b.node || place == Place::kAll || (place == Place::kZone && a.zone == b.zone) ||
           (place == Place::kCell && a.cell == b.cell);
  }
  // Rule 5: own attempts and tasks of the service in the node's place stay within the class's most.
  bool SpreadAllows(const Node& n, const Task& task) const {
    const ClassSettings& c = ClassOf(task);
    if (c.apart_by == Place::kNone) return true;
    const auto it = services.find(task.service);
    if (it == services.end()) return true;
    int there = 0;
    for (const auto& [id, on] : it->second) {
      if (SamePlace(c.apart_by, nodes.at(id).entry, n.entry)) there += on.out;
    }
    return there + 1 <= c.most;
  }
  // Rule 2: a keyed task that may have run goes only where its repeats are discarded, and in time.
  bool EffectAllows(const Node& n, const Request& r) const {
    if (!r.may_have_run || ClassOf(r.task).effect == Effect::kSafe) return true;
    return !Stuck(r) && SamePlace(ClassOf(r.task).group, nodes.at(r.first_node).entry, n.entry);
  }
  bool Stuck(const Request& r) const {  // no node may have it any more
    const ClassSettings& c = ClassOf(r.task);
    return r.may_have_run && c.effect != Effect::kSafe &&
           (c.effect == Effect::kUnsafe || now - r.first_sent >= c.key_window);
  }
  bool Fits(const Node& n, const Request& r) const {
    if (!n.heard) return true;
    const Room asked = Asked(n);
    const Task& t = r.task;
    if (asked.cores + t.cores > Cores(n) * settings.admit_cores) return false;
    if (asked.memory + t.memory > Memory(n) * settings.admit_memory) return false;
    if (t.cores >= n.refused.cores || t.memory >= n.refused.memory) return false;
    const ClassSettings& c = ClassOf(t);
    return UseFits(n, r, std::max(kBusyMost, c.calm + kFadeTaken * c.fade), kMemoryBrink);
  }
  bool UseFits(const Node& n, const Request& r, double busy_most, double memory_most) const {
    if (!n.heard) return true;
    const Room used = Used(n);
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
    const Room asked = Asked(n);
    return std::min((Cores(n) * settings.admit_cores - asked.cores - taken.cores) / shape.cores,
                    (Memory(n) * settings.admit_memory - asked.memory - taken.memory) / shape.memory);
  }
  double RoomFor(const Node& n, const Room& shape, const Room& taken) const {
    const Room used = Used(n);
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
      for (const auto& [id, n] : nodes) {
        if (!Healthy(n) || (kind >= 0 && kind != n.entry.kind)) continue;
        const double room = RoomFor(n, seen[i].largest, {0, 0});
        if (room > most) seen[i].home = id;
        most = std::max(most, room);
      }
    }
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
  bool Allowed(Node* n, const Request& r) const {
    const ClassSettings& c = ClassOf(r.task);
    if (!n->listed || n->entry.state != NodeState::kReady) return false;  // rule 3
    if (c.kind >= 0 && c.kind != n->entry.kind) return false;
    if (n->strikes > 0) return false;
    const auto turned = n->turned_away.find({r.task.class_index, r.task.tenant});
    if (turned != n->turned_away.end() && turned->second > now) return false;
    if (std::find(r.failed_on.begin(), r.failed_on.end(), n->entry.node) != r.failed_on.end()) return false;
    return ColdAllows(n) && SpreadAllows(*n, r.task) && EffectAllows(*n, r) && Fits(*n, r);
  }

  bool HasProgram(const OnNode& on) const {
    return on.out > 0 || (on.ended > 0 && now - on.ended < kProgramKept);
  }

  // --- The ordinary path: least C over W ----------------------------------------------------------------
  Candidate Score(const Node& n, const Task& task) const {
    const Room asked = Asked(n);
    const auto it = services.find(task.service);
    bool program = false;
    if (it != services.end()) {
      const auto on = it->second.find(n.entry.node);
      program = on != it->second.end() && HasProgram(on->second);
    }
    const double bind = task.cores * (program ? 1 : kSetupTasks);
    const double c = (asked.cores + bind) / settings.mean_cores;
    const Room used = Used(n);
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
    return {n.entry.node, c, std::max(std::hypot(kRhoMemory * q, kRhoCores * v), 1e-9)};
  }

  // Exception where nodes in use are priced: the fullest nodes that hold all load at kAwakeFill and more are
  // awake; the rest get nothing while one of the awake fits, and stay whole for large tasks.
  std::vector<std::pair<double, NodeId>> ByFullness(std::size_t* awake) const {
    std::vector<std::pair<double, NodeId>> order;
    Room load, room;
    for (const auto& [id, n] : nodes) {
      if (!Healthy(n)) continue;
      const Room used = Used(n);
      order.emplace_back(Wanted(n) - std::max(used.cores / Cores(n), used.memory / Memory(n)), id);
      load.Add(1, used);
    }
    std::sort(order.begin(), order.end());
    *awake = 0;
    for (const auto& [fullness, id] : order) {
      if (room.cores < load.cores || room.memory < load.memory) ++*awake;
      room.Add(kAwakeFill + kAwakePrice * settings.fleet_price, {Cores(nodes.at(id)), Memory(nodes.at(id))});
    }
    return order;
  }
  std::optional<NodeId> Choose(const Request& r) {
    FindHomes();
    std::size_t awake = 0;
    const auto order = ByFullness(&awake);
    if (settings.fleet_price <= 0) awake = order.size();
    std::vector<Candidate> scores;
    Candidate sum{0, 0, 0};
    double room = 0;
    for (const bool comfortable : {true, false}) {
      for (std::size_t i = 0; i < order.size() && (scores.empty() || !comfortable || i < awake); ++i) {
        Node& n = nodes.at(order[i].second);
        if (!Allowed(&n, r) || (comfortable && !Comfortable(n, r))) continue;
        scores.push_back(n.heard ? Score(n, r.task) : Candidate{n.entry.node, 0, 0});
        sum.c += scores.back().c;
        sum.w += scores.back().w;
        room += n.heard ? std::floor(RoomAsked(n, {r.task.cores, r.task.memory}, {0, 0})) : 1;
      }
      if (!scores.empty()) break;
    }
    if (scores.empty() || !InTurn(r, room)) return std::nullopt;
    for (Candidate& s : scores) {  // not heard from: average
      if (s.w <= 0) s = {s.node, sum.w > 0 ? sum.c : 1, sum.w > 0 ? sum.w : 1};
    }
    return Pick(scores, r.task.service);
  }
  // Guards against a rush of all at the little room that one late view shows: where more tasks wait, at each
  // scheduler as many as here, than find room within a view's age, each is offered by chance.
  bool InTurn(const Request& r, double room) {
    const double waiting = static_cast<double>(held.size()) * (settings.scheduler_count - 1);
    room += ends.PerSecond(now) * settings.scheduler_count * kViewAge / kSecond;
    if (room >= waiting) return true;
    const double ticks = held.contains(r.task.id) ? kViewAge / kHeldTick : 1;
    return Draw() * waiting * ticks < room;
  }
  // Near-ties are the nodes that the binds of others, not yet in the view, can be expected to level: poured
  // onto the least scores they raise them to one level. Each is taken by a draw weighted by what it takes up
  // to there: a hash of service and node, alike at all, so that a service's program is set up on few nodes.
  NodeId Pick(std::vector<Candidate> scores, std::uint64_t service) const {
    std::sort(scores.begin(), scores.end(), [](const Candidate& a, const Candidate& b) {
      return std::tuple(a.c * b.w, a.node) < std::tuple(b.c * a.w, b.node);
    });
    const double others = arrivals.PerSecond(now) * (settings.scheduler_count - 1) * kUnseen;
    double level = 0, c = others, w = -kSteep * others;
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
      const double drawn = -std::log(HashDraw(service, s.node)) / std::max(1e-9, level * s.w - s.c);
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
    if (ClassOf(r.task).effect == Effect::kUnsafe || r.attempts >= settings.max_tries) return AnswerBy(r);
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
    const Time away = std::min(kViewAge, settings.most_away);  // by then the list shows what is free now
    out.push_back(MayRefuse(*r) ? Action(Refuse{r->task.id, away}) : Action(Fail{r->task.id}));
    if (!r->out) requests.erase(r->task.id);
  }
  // Offers the task where it fits, holds it where it fits nowhere, answers where nothing more can come.
  void Place(Request* r) {
    if (Stuck(*r) || r->attempts >= settings.max_tries || now >= AnswerBy(*r)) {
      Answer(r);
      return;
    }
    const std::optional<NodeId> id = Choose(*r);
    if (!id) {
      held.insert(r->task.id);
      return;
    }
    held.erase(r->task.id);
    Node& n = nodes.at(*id);
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
    ++services[r->task.service][*id].out;
    out.push_back(Offer{r->task.id, *id, Until(*r)});
  }
  // Worth of a second of the task per unit of room, nearly nothing beyond its tenant's share.
  double Value(const Request& r) const {
    const std::size_t tenant = r.task.tenant;
    const double quota = tenant < settings.tenants.size() ? settings.tenants[tenant].quota_cores : 0;
    const bool over = quota > 0 && tenant_cores[tenant] * settings.scheduler_count > quota;
    return ClassOf(r.task).worth * (over ? settings.over_share_worth : 1);
  }
  void PlaceHeld() {
    std::set<std::tuple<double, Time, RequestId>> order;
    for (const RequestId& id : held)
      order.emplace(-Value(requests.at(id)), requests.at(id).task.deadline, id);
    std::set<std::uint64_t> full;  // the tasks of a service are alike: where one fits nowhere, none does
    for (const auto& [value, deadline, id] : order) {
      Request& r = requests.at(id);
      const std::uint64_t service = r.task.service;
      if (r.attempts == 0 && full.contains(service)) continue;
      Place(&r);
      if (held.contains(id) && r.attempts == 0) full.insert(service);
    }
  }
  void AnswerDue() {
    for (; !due.empty() && due.begin()->first <= now; due.erase(due.begin())) {
      const auto it = requests.find(due.begin()->second);
      if (it != requests.end() && !it->second.placed) Answer(&it->second);
    }
  }

  // --- Health -------------------------------------------------------------------------------------------
  // Guards against nodes that do not answer: set aside, longer each time, until a probe or task succeeds.
  void Strike(Node* n) {
    if (n->strikes > 0 && n->aside_until > now) return;
    if (n->strikes == 0) Say("node " + std::to_string(n->entry.node) + " does not answer, set aside");
    const Time pause = std::min<Time>(kAsideLast, kAsideFirst << std::min(n->strikes, 8));
    ++n->strikes;
    n->aside_until = now + static_cast<Time>(static_cast<double>(pause) * (0.75 + 0.5 * Draw()));
    Wake(n->aside_until);
  }
  void TryAside() {
    for (auto& [id, n] : nodes) {
      if (n.strikes == 0 || n.aside_until > now || !n.listed || n.entry.state != NodeState::kReady) continue;
      settings.probing ? AskNode(&n) : void(n.strikes = 0);
    }
  }
  void AskNode(Node* n) {
    if (!std::exchange(n->probing, true)) out.push_back(Probe{n->entry.node});
  }

  // --- Discovery ----------------------------------------------------------------------------------------
  void Ask() {
    if (!settings.ask_discovery) return;
    const Time patience = settings.ask_within > 0 ? std::min(kSilence, settings.ask_within / 2) : kSilence;
    if ((!subscribed && !asked && now >= ask_at) || now - std::max(heard_at, asked_at) > patience) {
      out.push_back(Subscribe{true});
      asked = true;
      asked_at = now;
      Wake(now + patience + kMs);
    }
  }
  void On(const RosterChanged& e) {
    if (e.kind == RosterKind::kFailed) {
      if (ask_pause == kAskFirst) Say("the node list is out of reach, asking again");
      subscribed = asked = false;
      ask_at = now + static_cast<Time>(static_cast<double>(ask_pause) * (0.5 + Draw()));
      ask_pause = std::min(2 * ask_pause, kAskLast);
      Wake(ask_at);
      return;
    }
    if (e.kind != RosterKind::kCached) {
      subscribed |= std::exchange(asked, false);
      ask_pause = kAskFirst;
    }
    heard_at = now;
    if (e.kind != RosterKind::kDelta) {
      for (auto& [id, n] : nodes) n.listed = false;
    }
    for (const NodeEntry& entry : *e.entries) {
      Node& n = nodes[entry.node];
      if (entry.came_up != n.entry.came_up && n.listed) {  // another life: what was known is void
        Leave(&n, [](const OwnChange&) { return true; });
        n.strikes = 0;
        n.cold_sends.clear();
      }
      const bool moved = entry.free_cores != n.entry.free_cores || entry.free_memory != n.entry.free_memory;
      if (moved && now - n.refused_at > kRefusalHolds) n.refused = {kNoLimit, kNoLimit};
      if (settings.view && moved && e.kind == RosterKind::kDelta && n.heard) LearnLag(n, entry);
      n.told_at = now;
      n.entry = entry;
      n.listed = entry.state != NodeState::kGone;
      n.heard = n.heard || settings.view;
    }
    for (auto& [id, n] : nodes) {
      Leave(&n, [this](const OwnChange& c) { return c.at + 2 * kLagSteps * kLagStep < heard_at; });
    }
    Forget();
  }
  // Guards against tables that only grow: nodes come and go, and so do services.
  void Forget() {
    std::set<NodeId> named;
    for (const auto& [id, r] : requests) named.insert({r.node, r.first_node});
    std::erase_if(nodes, [&](const auto& n) { return !n.second.listed && !named.contains(n.first); });
    for (auto& [service, on] : services) {
      std::erase_if(on, [&](const auto& o) { return !HasProgram(o.second) || !nodes.contains(o.first); });
    }
    std::erase_if(services, [](const auto& service) { return service.second.empty(); });
  }

  // --- Events -------------------------------------------------------------------------------------------
  void On(const TaskArrived& e) {
    Request& r = requests[e.task.id];
    r.task = e.task;
    NoteSize(r.task);
    due.emplace(AnswerBy(r), e.task.id);
    Wake(AnswerBy(r));
    Place(&r);
    arrivals.Note(now);
  }
  void On(const TaskFound& e) {
    Request& r = requests[e.task.id];
    r.task = e.task;
    NoteSize(r.task);
    r.node = e.node;
    r.owed = false;
    r.out = r.placed = true;
    r.attempts = 1;
    r.sent = now;
    Node& n = nodes[e.node];
    n.entry.node = e.node;
    r.use = BookedUse(r.task);
    Book(&n, r, 1);
    ++services[r.task.service][e.node].out;
    CountTenant(r.task, 1);
  }
  void CountTenant(const Task& task, double sign) {
    const std::size_t tenant = task.tenant;
    if (tenant < tenant_cores.size()) tenant_cores[tenant] += sign * task.cores;
  }
  void On(const Placed& e) {
    const auto it = requests.find(e.id);
    if (it == requests.end()) return;
    Request& r = it->second;
    r.placed = true;
    r.owed = false;
    nodes.at(r.node).strikes = 0;
    nodes.at(r.node).answered_at = now;
    CountTenant(r.task, 1);
    mean_answer += (e.took - mean_answer) / (mean_answer > 0 ? 16 : 1);
  }
  void On(const AttemptEnded& e) {
    const auto it = requests.find(e.id);
    if (it == requests.end() || !it->second.out) return;
    Request& r = it->second;
    Node& n = nodes.at(r.node);
    r.out = false;
    Book(&n, r, -1);
    OnNode& on = services[r.task.service][r.node];
    --on.out;
    if (r.placed) {
      ends.Note(now);
      on.ended = now;
      CountTenant(r.task, -1);
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
      held.erase(e.id);
      requests.erase(it);
    } else {
      Place(&r);
    }
  }
  // What an attempt that placed nothing tells of its node and of the task.
  void Learn(Node* n, Request* r, const AttemptEnded& e) {
    switch (e.outcome) {
      case Outcome::kRefused:
        n->strikes = 0;
        if (e.reason == Reason::kUntold) {
          // Guards against limits for some: a refusal for no told reason counts for its class and tenant.
          n->turned_away[{r->task.class_index, r->task.tenant}] = now + kTurnedAwayRest;
          break;
        }
        n->refused_at = now;
        if (e.reason == Reason::kNoCores) n->refused.cores = std::min(n->refused.cores, r->task.cores);
        if (e.reason == Reason::kNoMemory) n->refused.memory = std::min(n->refused.memory, r->task.memory);
        if (e.reason == Reason::kNotHere || e.reason == Reason::kQueueFull) r->failed_on.push_back(r->node);
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
    const auto it = requests.find(e.id);
    if (it == requests.end()) return;
    held.erase(e.id);
    it->second.owed = false;
    if (!it->second.out) requests.erase(it);
  }
  static double UseStep(double* notes) { return std::max(kUseStep, 1 / ++*notes); }
  void On(const Noted& e) {
    const auto it = requests.find(e.id);
    if (it == requests.end() || !it->second.out) return;
    Request& r = it->second;
    Node& n = nodes.at(r.node);
    auto& [largest, guessed, per, notes, home] = seen[Index(r.task)];
    Book(&n, r, -1);
    if (e.kind == NoteKind::kCoresUsed && r.task.cores > 0) {
      per.cores += UseStep(&notes.cores) * (e.level / r.task.cores - per.cores);
      r.use.cores = e.level;
    } else if (e.kind == NoteKind::kMemoryUsed && r.task.memory > 0) {
      const bool young = now - r.sent < kGrows;
      if (!young) per.memory += UseStep(&notes.memory) * (e.level / r.task.memory - per.memory);
      r.use.memory = young ? std::max(e.level, BookedUse(r.task).memory) : e.level;
    } else if ((e.kind == NoteKind::kServed && e.level < kPoorService) ||
               (e.kind == NoteKind::kNodeMemory && e.level > kPressure)) {
      n.poor_until = now + kPoorRest;
    }
    Book(&n, r, 1);
  }
  void On(const Probed& e) {
    const auto it = nodes.find(e.node);
    if (it == nodes.end()) return;
    it->second.probing = false;
    if (e.outcome == Outcome::kOk) {
      it->second.strikes = 0;
      Weigh(&it->second, e.report);
    } else {
      Strike(&it->second);
    }
  }
  // Guards against what bookings cannot show: tasks of others that use more than asked, slow cores, starts.
  void Weigh(Node* n, const Report& report) {
    const Room booked = Booked(*n);
    const auto learn = [](double seen, double expected, double* weigh) {
      if (expected < kWeighFrom) return;
      *weigh += kWeighStep * (std::clamp(seen / expected, kWeighLeast, kWeighMost) - *weigh);
    };
    const auto told = [&report](const char* name) { return report.find(name) != report.end(); };
    const double expected = booked.cores / Cores(*n);
    if (told("cpu")) {
      learn(report.at("cpu"), expected, &n->weigh.cores);
    } else if (settings.reports_used && told("x0")) {
      learn(1 - report.at("x0") / Cores(*n), expected, &n->weigh.cores);
    }
    if (settings.reports_used && told("x1")) {
      learn(1 - report.at("x1") / Memory(*n), booked.memory / Memory(*n), &n->weigh.memory);
    }
  }
  void ProbeNext() {
    if (!settings.probing || now < probe_at) return;
    probe_at = now + kProbeEvery * settings.scheduler_count;
    Wake(probe_at);
    // By the common clock: the schedulers look at the same node at about the same time.
    const Time turn = now / (kProbeEvery * std::min(settings.scheduler_count, kProbersAtOnce));
    auto it = std::next(nodes.begin(), nodes.empty() ? 0 : turn % nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i, ++it) {
      if (it == nodes.end()) it = nodes.begin();
      if (!Healthy(it->second)) continue;
      AskNode(&it->second);
      return;
    }
  }
  void On(const auto&) {}  // timers only wake; peers say nothing: schedulers decide alike without talking
};

Scheduler::Scheduler(Settings settings, std::uint64_t seed) : state_(std::make_unique<State>()) {
  const auto need = [](bool kept, const std::string& text) {
    if (!kept) throw std::invalid_argument(text);
  };
  const auto sized = [](const std::vector<double>& v) {
    return std::ranges::all_of(v, [](double s) { return s > 0; });
  };
  need(!settings.kind_cores.empty(), "no node kind has cores");
  need(settings.kind_memory.size() == settings.kind_cores.size(),
       "node kinds with cores and with memory differ in number");
  need(sized(settings.kind_cores) && sized(settings.kind_memory), "a node kind has no size");
  need(!settings.classes.empty(), "no class");
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    need(settings.classes[i].deadline > 0, "class " + std::to_string(i) + " has no deadline");
  }
  need(settings.scheduler_count > 0 && settings.ordinal >= 0, "no scheduler count, or a number below 0");
  need(settings.mean_cores > 0 && settings.mean_memory > 0, "the mean task has no size");
  state_->seen.resize(settings.classes.size());
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const std::size_t kind = settings.classes[i].kind;
    if (kind >= settings.kind_cores.size()) continue;
    state_->seen[i].largest = {kGuess * settings.kind_cores[kind], kGuess * settings.kind_memory[kind]};
  }
  state_->tenant_cores.assign(settings.tenants.size(), 0);
  state_->settings = std::move(settings);
  state_->random.seed(seed);
}
Scheduler::~Scheduler() = default;
std::size_t Scheduler::size() const { return state_->nodes.size() + state_->services.size(); }
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

std::vector<Action> Scheduler::Handle(const Event& event, Time now) {
  State& s = *state_;
  s.out.clear();
  s.now = now;
  if (!std::exchange(s.begun, true)) {
    s.started = s.arrivals.at = s.ends.at = now;
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
    if (!s.held.empty()) s.Wake(s.next_wake);
  }
  return std::move(s.out);
}

}  // namespace passbridge
