// Compares the general containers with simple reference implementations under random operations with fixed
// seeds.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "containers/block_pool.h"
#include "containers/callback.h"
#include "containers/ratio_index.h"
#include "containers/tables.h"
#include "net/timer_wheel.h"

namespace cluster_manager {
namespace {

using Capacities = RatioIndex::Capacities;

// Reference implementation: scans and sorts all entries.
class ReferenceRatioIndex {
 public:
  void Set(std::uint32_t slot, const RatioIndex::Entry& entry) { entries_[slot] = entry; }
  void Clear(std::uint32_t slot) { entries_.erase(slot); }
  std::vector<std::pair<double, std::uint32_t>> Ascending(double extra, const Capacities& need) const {
    std::vector<std::pair<double, std::uint32_t>> all;
    for (const auto& [slot, e] : entries_) {
      bool sufficient = true;
      for (std::size_t i = 0; i < need.size(); ++i) sufficient = sufficient && e.capacity[i] >= need[i];
      if (sufficient) all.emplace_back((e.load + extra) / e.weight, slot);
    }
    std::ranges::sort(all);
    return all;
  }
  double Ratio(std::uint32_t slot, double extra) const {
    const RatioIndex::Entry& e = entries_.at(slot);
    return (e.load + extra) / e.weight;
  }
  std::size_t size() const { return entries_.size(); }

 private:
  std::map<std::uint32_t, RatioIndex::Entry> entries_;
};

RatioIndex::Entry Random(std::mt19937* random) {
  const auto draw = [random](double most) {
    return std::uniform_real_distribution<double>(0, most)(*random);
  };
  const double load = draw(100);
  return {load, 0.5 + draw(40), {100 - load, draw(96), draw(40), draw(64)}};
}

// The index computes in float: slots whose ratios differ by less may be visited in any order.
constexpr double kTolerance = 1e-5;

TEST_CASE("the ratio index visits the same slots as a full scan in the same order after random changes") {
  std::mt19937 random(7);
  RatioIndex index;
  ReferenceRatioIndex reference;
  for (int round = 0; round < 400; ++round) {
    for (int i = 0; i < 25; ++i) {
      const std::uint32_t slot = random() % (round < 200 ? 700 : 3000);  // the index grows during the test
      if (random() % 4 == 0) {
        index.Clear(slot);
        reference.Clear(slot);
      } else {
        const RatioIndex::Entry entry = Random(&random);
        index.Set(slot, entry);
        reference.Set(slot, entry);
      }
    }
    REQUIRE(index.size() == reference.size());
    const double extra = static_cast<double>(random() % 300);
    const Capacities need{static_cast<double>(random() % 100), static_cast<double>(random() % 90),
                          static_cast<double>(random() % 30), static_cast<double>(random() % 50)};
    const auto expected = reference.Ascending(extra, need);
    std::vector<std::uint32_t> visited;
    index.VisitAscending(extra, need, [&](std::uint32_t slot) {
      visited.push_back(slot);
      return true;
    });
    REQUIRE(visited.size() == expected.size());
    for (std::size_t i = 0; i < visited.size(); ++i) {
      REQUIRE(reference.Ratio(visited[i], extra) == doctest::Approx(expected[i].first).epsilon(kTolerance));
    }
    CHECK(std::set<std::uint32_t>(visited.begin(), visited.end()).size() == visited.size());
  }
}

TEST_CASE("the list of least slots starts with the least ratios after every change") {
  std::mt19937 random(11);
  RatioIndex index;
  ReferenceRatioIndex reference;
  for (std::uint32_t slot = 0; slot < 2000; ++slot) {
    const RatioIndex::Entry entry = Random(&random);
    index.Set(slot, entry);
    reference.Set(slot, entry);
  }
  for (int round = 0; round < 600; ++round) {
    const double extra =
        std::exp2(static_cast<double>(2 + random() % 6));  // powers of two, which the lists use exactly
    std::vector<std::uint32_t> visited;
    const bool stopped = index.VisitLeast(extra, {}, [&](std::uint32_t slot) {
      visited.push_back(slot);
      return visited.size() < 8;
    });
    REQUIRE(stopped);
    const auto expected = reference.Ascending(extra, {});
    for (std::size_t i = 0; i < visited.size(); ++i) {
      REQUIRE(reference.Ratio(visited[i], extra) == doctest::Approx(expected[i].first).epsilon(kTolerance));
    }
    // The loads of the first slots rise, as for chosen nodes; other slots change at random.
    for (int i = 0; i < 6; ++i) {
      const std::uint32_t slot = i < 3 ? visited[static_cast<std::size_t>(i)] : random() % 2000;
      if (random() % 5 == 0) {
        index.Clear(slot);
        reference.Clear(slot);
        continue;
      }
      RatioIndex::Entry entry = Random(&random);
      if (i < 3) entry.load += 100;
      index.Set(slot, entry);
      reference.Set(slot, entry);
    }
  }
}

TEST_CASE("a search examines almost nothing if no slot has the needed capacity") {
  std::mt19937 random(3);
  RatioIndex index;
  for (std::uint32_t slot = 0; slot < 4000; ++slot) index.Set(slot, Random(&random));
  const std::uint64_t before = index.examined();
  const auto none = [](std::uint32_t) {
    FAIL("visited a slot without the needed capacity");
    return true;
  };
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(index.VisitLeast(30, {101, 0, 0, 0}, none));
    index.VisitAscending(30, {0, 97, 0, 0}, none);
  }
  CHECK(index.examined() - before <= 200);
}

TEST_CASE("a search among similar slots examines few of them") {
  RatioIndex index;
  std::mt19937 random(5);
  for (std::uint32_t slot = 0; slot < 4000; ++slot) {
    const double used = 20 + 0.001 * static_cast<double>(random() % 4000);
    index.Set(slot, {used, 60 - used, {100 - used, 96 - used, 40, 40}});
  }
  std::uint64_t before = index.examined();
  int visited = 0;
  index.VisitAscending(15, {1, 1, 1, 1}, [&](std::uint32_t) { return ++visited < 8; });
  CHECK(index.examined() - before < 500);
  index.VisitLeast(15, {1, 1, 1, 1}, [](std::uint32_t) { return false; });  // builds the list
  before = index.examined();
  visited = 0;
  CHECK(index.VisitLeast(15, {1, 1, 1, 1}, [&](std::uint32_t) { return ++visited < 8; }));
  CHECK(index.examined() - before < 100);
  index.Reset();
  CHECK(index.size() == 0);
  index.VisitAscending(0, {}, [](std::uint32_t) {
    FAIL("visited a slot of an empty index");
    return true;
  });
}

// A list built when there were few slots had no bound and therefore gained every slot that was added later.
TEST_CASE("a list of least slots built from few entries stays short after many are added") {
  RatioIndex index;
  std::mt19937 random(6);
  for (std::uint32_t slot = 0; slot < 10; ++slot) index.Set(slot, Random(&random));
  index.VisitLeast(15, {}, [](std::uint32_t) { return false; });
  for (std::uint32_t slot = 10; slot < 4000; ++slot) index.Set(slot, Random(&random));
  index.VisitLeast(15, {}, [](std::uint32_t) { return false; });  // rebuilds it
  const std::uint64_t before = index.examined();
  index.VisitLeast(15, {}, [](std::uint32_t) { return false; });
  CHECK(index.examined() - before < 100);
}

TEST_CASE("blocks are shared and reused and the idle ones are bounded") {
  BlockPool pool;
  {
    BlockPool::Ref first = pool.Allocate(5);
    first.Append("hello");
    BlockPool::Ref other = first;
    first = {};
    CHECK(other.view() == "hello");
    CHECK(pool.live() == 1);
    const char* at = other.data();
    other = {};
    CHECK(pool.live() == 0);
    BlockPool::Ref again = pool.Allocate(200);
    CHECK(again.data() == at);
    CHECK(again.size() == 0);
    other = again;
    BlockPool::Ref& same = other;
    other = same;  // self-assignment
    CHECK(pool.live() == 1);
  }
  std::vector<BlockPool::Ref> many;
  for (int i = 0; i < 400; ++i) many.push_back(pool.Allocate(i % 3 == 0 ? 100 : i % 3 == 1 ? 4000 : 60'000));
  CHECK(pool.live() == 400);
  many[2].Append(std::string(70'000, 'x'));
  CHECK(many[2].size() == 60'000);  // limited to its capacity
  many.clear();
  CHECK(pool.live() == 0);
  CHECK(pool.idle_bytes() <= BlockPool::kMaxIdleBytes);
  CHECK(pool.idle_bytes() > 0);
}

TEST_CASE("a keyed table behaves like a map and releases memory") {
  std::mt19937_64 random(9);
  KeyedTable<std::uint64_t, std::uint64_t> table;
  std::map<std::uint64_t, std::uint64_t> reference;
  for (int i = 0; i < 20'000; ++i) {
    const std::uint64_t key = random() % 500 * 0x100000000;  // equal low bits
    switch (random() % 3) {
      case 0:
        *table.Insert(key, 0) = reference[key] = random();
        break;
      case 1:
        table.Erase(key);
        reference.erase(key);
        break;
      default: {
        const auto* found = table.Find(key);
        const auto it = reference.find(key);
        REQUIRE((found != nullptr) == (it != reference.end()));
        if (found != nullptr) REQUIRE(*found == it->second);
      }
    }
    REQUIRE(table.size() == reference.size());
  }
  NumberMap<std::uint64_t, int> wide;
  for (std::uint64_t i = 0; i < 10'000; ++i) wide[i] = 1;
  const std::size_t before = wide.bucket_count();
  for (std::uint64_t i = 10; i < 10'000; ++i) wide.erase(i);
  ShrinkIfSparse(&wide);
  CHECK(wide.bucket_count() < before / 100);
  CHECK(wide.size() == 10);
  CHECK(wide.at(7) == 1);
}

TEST_CASE("members of an ordered table keep their addresses and order and their slots are reused") {
  struct Thing {
    int value = 0;
  };
  std::mt19937 random(13);
  OrderedTable<std::uint32_t, Thing> table;
  std::map<std::uint32_t, OrderedTable<std::uint32_t, Thing>::Member*> reference;
  for (int i = 0; i < 3000; ++i) {
    const std::uint32_t key = random() % 200;
    if (random() % 3 > 0) {
      auto* member = table.FindOrInsert(key);
      if (reference.contains(key)) CHECK(reference[key] == member);
      reference[key] = member;
      member->value = static_cast<int>(key);
    } else {
      table.EraseIf([key](const auto* m) { return m->key == key; });
      reference.erase(key);
    }
    REQUIRE(table.size() == reference.size());
  }
  std::set<std::uint32_t> slots;
  auto it = reference.begin();
  for (const auto* member : table.ordered()) {
    CHECK(member->key == it->first);
    CHECK(member->value == static_cast<int>(it->first));
    CHECK(table.at_slot(member->slot) == member);
    slots.insert(member->slot);
    ++it;
  }
  CHECK(slots.size() == table.size());
  CHECK(*slots.rbegin() < 200);
}

TEST_CASE("the timer wheel fires like a sorted list of deadlines under random scheduling and cancelling") {
  std::mt19937_64 random(17);
  const Time start = 1'796'137'172 * kSecond + 123'456;
  TimerWheel wheel(start);
  struct ReferenceDeadline {
    std::int64_t tick;
    int number;
  };
  std::vector<ReferenceDeadline> reference;
  std::map<int, Handle> handles;
  std::vector<int> ran;
  Time now = start;
  std::int64_t done = now / TimerWheel::kTick;
  int last = 0;
  for (int step = 0; step < 4000; ++step) {
    for (std::uint64_t i = random() % 4; i > 0; --i) {
      const Time far = random() % 10 == 0 ? 40 * kSecond : random() % 3 == 0 ? 2 * kSecond : 20 * kMs;
      const Time at = now + static_cast<Time>(random() % static_cast<std::uint64_t>(far)) - 2 * kMs;
      const int number = ++last;
      handles[number] = wheel.Schedule(at, [&ran, number] { ran.push_back(number); });
      reference.push_back({std::max((at + TimerWheel::kTick - 1) / TimerWheel::kTick, done + 1), number});
    }
    if (random() % 3 == 0 && !reference.empty()) {
      const std::size_t which = random() % reference.size();
      wheel.Cancel(handles[reference[which].number]);
      reference.erase(reference.begin() + static_cast<std::ptrdiff_t>(which));
    }
    std::ranges::stable_sort(reference, {}, &ReferenceDeadline::tick);
    REQUIRE(wheel.size() == reference.size());
    if (!reference.empty()) REQUIRE(wheel.NextDeadline() <= reference.front().tick * TimerWheel::kTick);
    now += static_cast<Time>(random() % (random() % 50 == 0 ? 20 * kSecond : 8 * kMs));
    ran.clear();
    wheel.Advance(now);
    done = now / TimerWheel::kTick;
    std::vector<int> expected;
    std::erase_if(reference, [&](const ReferenceDeadline& p) {
      if (p.tick <= done) expected.push_back(p.number);
      return p.tick <= done;
    });
    if (now - start < 0) continue;
    std::vector<int> sorted_ran = ran, sorted_expected = expected;
    std::ranges::sort(sorted_ran);
    std::ranges::sort(sorted_expected);
    REQUIRE(sorted_ran == sorted_expected);
  }
}

}  // namespace
}  // namespace cluster_manager
