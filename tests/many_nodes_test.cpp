// The decision module among more nodes than it scans one by one: the pick is still least C over W among
// near-ties, the rules hold, and what it looks at does not grow with the fleet. Counts are judged, not
// clocks.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "passbridge/scheduler.h"

namespace passbridge {
namespace {

constexpr Time kMs = 1'000'000, kSecond = 1000 * kMs;

Settings Fleet() {
  Settings s;
  s.classes.resize(3);
  s.classes[0].effect = Effect::kSafe;
  s.classes[1].effect = Effect::kKeyed;
  s.classes[1].group = Place::kAll;
  s.classes[1].key_window = 6 * kSecond;
  s.classes[1].apart_by = Place::kCell;
  s.classes[1].most = 3;
  s.classes[2].effect = Effect::kUnsafe;
  s.classes[2].apart_by = Place::kZone;
  s.classes[2].most = 4;
  for (ClassSettings& c : s.classes) c.deadline = 8 * kSecond;
  s.kind_cores = {40};
  s.kind_memory = {64};
  s.mean_cores = 1.1;
  s.mean_memory = 1.9;
  s.admit_cores = 2.5;
  s.admit_memory = 1.5;
  s.placed_when_running = s.view = s.reports_used = s.probing = true;
  s.max_tries = 3;
  s.cold_sends = 24;
  s.cold = 15 * kSecond;
  s.cold_from = 0.2;
  s.fall = 1500 * kMs;
  s.period = 2 * kMs;
  return s;
}

struct World {
  explicit World(int nodes, std::uint64_t seed = 1, const Settings& settings = Fleet())
      : scheduler(settings, seed), random(static_cast<unsigned>(seed)) {
    std::vector<NodeEntry> all;
    for (int i = 1; i <= nodes; ++i) all.push_back(Entry(static_cast<NodeId>(i)));
    Roster(all, RosterKind::kFull);
  }
  double Below(double most) { return std::uniform_real_distribution<double>(0, most)(random); }
  NodeEntry Entry(NodeId id) {
    NodeEntry e;
    e.node = id;
    e.zone = static_cast<int>(id % 3);
    e.cell = static_cast<int>(id % 15);
    e.free_cores = 16 + Below(8);
    e.free_memory = 24 + Below(16);
    return e;
  }
  void Roster(std::vector<NodeEntry> entries, RosterKind kind = RosterKind::kDelta) {
    for (const NodeEntry& e : entries) listed[e.node] = e;
    Send(RosterChanged{kind, 1, std::make_shared<const std::vector<NodeEntry>>(std::move(entries))});
  }
  const std::vector<Action>& Send(const Event& event) {
    const std::vector<Action>& actions = scheduler.Handle(event, now);
    for (const Action& action : actions) {
      if (const auto* offer = std::get_if<Offer>(&action)) {
        const auto node = listed.find(offer->node);
        REQUIRE(node != listed.end());
        REQUIRE(node->second.state == NodeState::kReady);
        offers.push_back(*offer);
      }
    }
    return actions;
  }
  Task Ask(RequestId id, double cores = 1, double memory = 2, std::uint64_t service = 7,
           int class_index = 0) {
    Task task;
    task.id = id;
    task.class_index = class_index;
    task.cores = cores;
    task.memory = memory;
    task.service = service;
    task.deadline = now + 8 * kSecond;
    return task;
  }
  NodeId Place(const Task& task) {
    const std::size_t before = offers.size();
    Send(TaskArrived{task});
    return offers.size() > before ? offers.back().node : 0;
  }
  void End(RequestId id, NodeId node) {
    Send(Placed{id, 0, node, 10 * kMs});
    Send(AttemptEnded{id, 0, node, Outcome::kOk, kSecond, true, Reason::kUntold, {}});
  }

  Scheduler scheduler;
  std::mt19937 random;
  Time now = 100 * kSecond;
  std::map<NodeId, NodeEntry> listed;
  std::vector<Offer> offers;
};

// C over W of a node that the list alone tells of, as the design has it: bind of a program that is not there.
double Ratio(const NodeEntry& e, const Settings& s, double cores) {
  const double asked_cores = s.kind_cores[0] - e.free_cores, asked_memory = s.kind_memory[0] - e.free_memory;
  const double free_cores =
      std::min(1 - asked_cores / (s.kind_cores[0] * s.admit_cores), 1 - asked_cores / s.kind_cores[0]);
  const double free_memory =
      std::min(1 - asked_memory / (s.kind_memory[0] * s.admit_memory), 1 - asked_memory / s.kind_memory[0]);
  return (asked_cores + 30 * cores) / s.mean_cores /
         std::hypot(0.5 * s.kind_memory[0] / s.mean_memory * free_memory,
                    0.5 * s.kind_cores[0] / s.mean_cores * free_cores);
}

TEST_CASE("among a thousand nodes the pick is a near-tie of the least C over W") {
  const Settings settings = Fleet();
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    World world(1000, seed);
    const double cores = 0.5 * static_cast<double>(1 + seed % 4);
    double least = 1e9;
    for (const auto& [id, e] : world.listed) least = std::min(least, Ratio(e, settings, cores));
    const NodeId node = world.Place(world.Ask(1, cores, 2, seed));
    REQUIRE(node != 0);
    CHECK(Ratio(world.listed[node], settings, cores) <= 1.08 * least * (1 + 1e-9));
  }
}

TEST_CASE("what is looked at for a pick does not grow with the fleet") {
  std::map<int, double> looked;
  for (const int nodes : {100, 1000, 4000}) {
    World world(nodes);
    std::vector<Offer> open;
    RequestId id = 0;
    std::uint64_t before = 0;
    for (int i = 0; i < 1500; ++i) {
      if (i == 500) before = world.scheduler.looked();
      world.now += 6 * kMs;
      world.Place(world.Ask(++id, 0.5 + static_cast<double>(i % 3) * 0.5, 1,
                            10 + static_cast<std::uint64_t>(i % 40)));
      if (world.offers.size() > 300) {
        world.End(world.offers.front().id, world.offers.front().node);
        world.offers.erase(world.offers.begin());
      }
    }
    looked[nodes] = static_cast<double>(world.scheduler.looked() - before) / 1000;
  }
  MESSAGE("nodes looked at a pick: " << looked[100] << ", " << looked[1000] << ", " << looked[4000]);
  CHECK(looked[100] > 5);
  CHECK(looked[1000] < 2 * looked[100]);
  CHECK(looked[4000] < 3 * looked[100]);
}

TEST_CASE("two hundred held tasks that fit nowhere cost next to nothing while a thousand nodes are probed") {
  World world(1000);
  for (RequestId id = 1; id <= 200; ++id) {
    Task task = world.Ask(id, 92, 90, 1000 + id);
    task.deadline = world.now + 1000 * kSecond;
    REQUIRE(world.Place(task) == 0);
  }
  const std::uint64_t before = world.scheduler.looked();
  int probes = 0;
  for (int i = 0; i < 200; ++i) {
    world.now += 50 * kMs;
    for (const Action& action : std::vector<Action>(world.Send(TimerFired{}))) {
      const auto* probe = std::get_if<Probe>(&action);
      if (probe == nullptr) continue;
      ++probes;
      Probed answer{probe->node, Outcome::kOk, 3 * kMs, {}};
      answer.report.Tell(Report::kX0, 20);
      answer.report.Tell(Report::kX1, 30);
      world.Send(answer);
    }
  }
  CHECK(world.offers.empty());
  CHECK(probes >= 90);
  // 200 tasks tried 200 times: one entry of the index each, and not the thousand nodes.
  CHECK(world.scheduler.looked() - before < 200 * 200 * 3);
  NodeEntry roomy = world.Entry(500);
  roomy.free_cores = 40;
  roomy.free_memory = 64;
  world.Roster({roomy});
  Task small = world.Ask(9000, 1, 2, 3);
  REQUIRE(world.Place(small) != 0);  // the others are served meanwhile
  world.offers.clear();
  REQUIRE(world.Place(world.Ask(9001, 30, 78, 4)) == 500);  // and what fits the new room gets it
}

TEST_CASE("a held task is placed once room comes free") {
  World world(200);
  // Past what the use of a machine of 40 cores allows, however empty, at the use per unit that is taken for
  // granted.
  REQUIRE(world.Place(world.Ask(1, 82, 50, 9)) == 0);
  // Past what is free anywhere now: 24 cores and 40 of memory unasked of what a node admits.
  REQUIRE(world.Place(world.Ask(2, 30, 76, 10)) == 0);
  NodeEntry roomy = world.Entry(77);
  roomy.free_cores = 40;
  roomy.free_memory = 64;
  world.Roster({roomy});
  for (int i = 0; i < 3 && world.offers.empty(); ++i) {
    world.now += 60 * kMs;
    world.Send(TimerFired{});
  }
  REQUIRE(world.offers.size() == 1);
  CHECK(world.offers[0].id == 2);
  CHECK(world.offers[0].node == 77);
}

TEST_CASE("a node that goes while the index holds it gets nothing more") {
  World world(300);
  for (int i = 0; i < 250; ++i) {
    const NodeId node =
        world.Place(world.Ask(static_cast<RequestId>(i + 1), 1, 2, 5000 + static_cast<std::uint64_t>(i)));
    REQUIRE(node != 0);
    world.End(static_cast<RequestId>(i + 1), node);
    NodeEntry gone = world.listed[node];
    gone.state = i % 2 == 0 ? NodeState::kGone : NodeState::kDraining;
    world.Roster({gone});  // what Place checks: no offer goes there from here on
    world.now += 20 * kMs;
  }
}

TEST_CASE("a list that replaces all nodes at once leaves nothing of the old") {
  World world(500);
  for (int i = 1; i <= 100; ++i) {
    const RequestId id = static_cast<RequestId>(i);
    world.End(id, world.Place(world.Ask(id, 1, 2, id)));
  }
  for (NodeId round = 1; round <= 3; ++round) {
    std::vector<NodeEntry> fresh;
    for (NodeId id = 1; id <= 500; ++id) fresh.push_back(world.Entry(round * 10'000 + id));
    for (auto& [id, entry] : world.listed) entry.state = NodeState::kGone;  // no offer goes to one of these
    world.Roster(fresh, RosterKind::kFull);
    world.now += 10 * kSecond;  // its programs are forgotten
    for (int i = 1; i <= 100; ++i) {
      const RequestId id = static_cast<RequestId>(i);
      const NodeId node = world.Place(world.Ask(id, 1, 2, id));
      REQUIRE(node / 10'000 == round);
      world.End(id, node);
    }
  }
  world.now += 10 * kSecond;
  world.Roster({});
  CHECK(world.scheduler.size() == 500);
}

TEST_CASE("from many nodes to few and back: what is not indexed is scanned, and nothing is lost") {
  World world(100);
  for (int round = 0; round < 4; ++round) {
    std::vector<NodeEntry> gone;
    for (auto& [id, entry] : world.listed) {
      if (id <= 40) continue;
      entry.state = NodeState::kGone;
      gone.push_back(entry);
    }
    world.Roster(gone);
    const RequestId id = static_cast<RequestId>(round * 2 + 1);
    NodeId node = world.Place(world.Ask(id));
    CHECK(node <= 40);
    world.End(id, node);
    std::vector<NodeEntry> back;
    for (NodeId n = 41; n <= 100; ++n) back.push_back(world.Entry(n));
    for (NodeEntry& e : back) e.free_cores = 39;
    world.Roster(back);
    node = world.Place(world.Ask(id + 1, 1, 2, 100 + id));
    CHECK(node > 40);
    world.End(id + 1, node);
  }
}

TEST_CASE("numbers of requests come round again once they are over") {
  World world(100);
  for (int i = 0; i < 3000; ++i) {
    const RequestId id = 1 + static_cast<RequestId>(i % 7);
    REQUIRE_FALSE(world.scheduler.Holds(id));
    const NodeId node = world.Place(world.Ask(id, 1, 2, static_cast<std::uint64_t>(i % 50)));
    REQUIRE(node != 0);
    REQUIRE(world.scheduler.Holds(id));
    if (i % 3 == 0) {  // withdrawn while it is out: remembered until its attempt has ended
      world.Send(Withdrawn{id});
      REQUIRE(world.scheduler.Holds(id));
      world.Send(AttemptEnded{id, 0, node, Outcome::kCancelled, kMs, true, Reason::kUntold, {}});
    } else {
      world.End(id, node);
    }
    world.now += 40 * kMs;
    if (i % 100 == 0) {
      world.Send(TimerFired{});  // an old deadline of a number that stands for another by now ends nothing
      world.Roster({});
    }
  }
}

TEST_CASE("spread holds among many nodes") {
  World world(600);
  std::map<std::uint64_t, std::map<int, int>> in_cell;
  RequestId id = 0;
  for (int i = 0; i < 600; ++i) {
    const std::uint64_t service = 1 + static_cast<std::uint64_t>(i % 5);
    const NodeId node = world.Place(world.Ask(++id, 0.5, 1, service, 1));
    world.now += 5 * kMs;
    if (node == 0) continue;
    CHECK(++in_cell[service][world.listed[node].cell] <= 3);
  }
  std::size_t placed = 0;
  for (const auto& [service, cells] : in_cell) {
    for (const auto& [cell, count] : cells) placed += static_cast<std::size_t>(count);
  }
  CHECK(placed == 5 * 15 * 3);  // as many as the rule leaves room for, and no more
}

TEST_CASE("cold nodes among many get this scheduler's part and no more") {
  World world(0);
  std::vector<NodeEntry> all;
  for (NodeId id = 1; id <= 100; ++id) {
    NodeEntry e = world.Entry(id);
    if (id <= 5) {
      e.came_up = world.now + kMs;
      e.free_cores = 40;
      e.free_memory = 64;
    } else {
      e.free_cores = 4;
      e.free_memory = 6;
    }
    all.push_back(e);
  }
  world.now += 10 * kMs;
  world.Roster(all, RosterKind::kFull);
  std::map<NodeId, int> sent;
  for (RequestId id = 1; id <= 400; ++id) ++sent[world.Place(world.Ask(id, 0.25, 0.25, id))];
  for (NodeId id = 1; id <= 5; ++id) CHECK(sent[id] <= 24);
}

// Sixteen schedulers over one fleet in three zones, standing in them in turn.
struct Parts {
  static constexpr int kSchedulers = 16, kNodes = 400;
  std::vector<std::unique_ptr<World>> worlds;

  Parts() {
    for (int i = 0; i < kSchedulers; ++i) {
      Settings settings = Fleet();
      settings.scheduler_count = kSchedulers;
      settings.ordinal = i;
      settings.zone = i % 3;
      worlds.push_back(std::make_unique<World>(kNodes, 1, settings));
    }
  }
  // Where so many new services of a scheduler are bound, each at once placed.
  std::set<NodeId> Bind(int scheduler, int count, RequestId from = 1) {
    World& world = *worlds[static_cast<std::size_t>(scheduler)];
    std::set<NodeId> all;
    for (RequestId id = from; id < from + static_cast<RequestId>(count); ++id) {
      const NodeId node =
          world.Place(world.Ask(id, 0.25, 0.5, 1000 * static_cast<std::uint64_t>(scheduler) + id));
      REQUIRE(node != 0);
      world.Send(Placed{id, 0, node, 10 * kMs});
      world.now += kMs;
      all.insert(node);
    }
    return all;
  }
};

TEST_CASE_FIXTURE(Parts, "schedulers that know of each other's number bind in parts of their zones, apart") {
  std::set<NodeId> taken;
  for (int i = 0; i < kSchedulers; ++i) {
    const std::set<NodeId> its = Bind(i, 60);
    CHECK(its.size() > 5);
    CHECK(its.size() < kNodes / 8);
    for (const NodeId node : its) {
      CHECK(static_cast<int>(node % 3) == i % 3);
      CHECK(taken.insert(node).second);
    }
  }
}

TEST_CASE_FIXTURE(Parts, "a part above the fleet's level leaves its binds to the rest of the fleet") {
  const std::set<NodeId> part = Bind(0, 200);
  World& world = *worlds[0];
  std::vector<NodeEntry> full;
  for (const NodeId node : part) {
    full.push_back(world.listed.at(node));
    full.back().free_cores = 4;  // still room, and far above the mean
  }
  world.now += 5 * kSecond;
  world.Roster(full);
  world.now += kSecond;
  for (const NodeId node : Bind(0, 20, 1000)) CHECK_FALSE(part.contains(node));
}

TEST_CASE_FIXTURE(Parts,
                  "a scheduler whose zone is lost binds elsewhere, and at home again once it is back") {
  World& world = *worlds[0];
  const std::set<NodeId> before = Bind(0, 60);
  std::vector<NodeEntry> zone;
  for (const auto& [node, entry] : world.listed) {
    if (node % 3 == 0) zone.push_back(entry);
  }
  const auto tell = [&](NodeState state) {
    for (NodeEntry& entry : zone) entry.state = state;
    world.now += kSecond;
    world.Roster(zone);
  };
  tell(NodeState::kDraining);
  for (const NodeId node : Bind(0, 40, 1000)) CHECK(node % 3 != 0);
  tell(NodeState::kReady);
  const std::set<NodeId> after = Bind(0, 60, 2000);
  for (const NodeId node : after) CHECK(node % 3 == 0);
  CHECK(std::ranges::any_of(after, [&](NodeId node) { return before.contains(node); }));
}

TEST_CASE_FIXTURE(Parts, "starts that are still under way at home weigh on the next bind") {
  World& world = *worlds[0];
  std::map<NodeId, int> starts;
  std::set<NodeId> part = Bind(0, 200);
  for (RequestId id = 1000; id < 1000 + static_cast<RequestId>(part.size() / 2); ++id) {
    ++starts[world.Place(world.Ask(id, 0.25, 0.5, 50'000 + id))];  // none of them is answered
  }
  for (const auto& [node, count] : starts) CHECK(count == 1);
}

}  // namespace
}  // namespace passbridge
