// The general structures, each against a plain one by random operations, with fixed seeds.
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

using Rooms = RatioIndex::Capacities;

// The plain way: every entry looked at, then sorted.
class PlainRatio {
 public:
  void Set(std::uint32_t slot, const RatioIndex::Entry& entry) { entries_[slot] = entry; }
  void Clear(std::uint32_t slot) { entries_.erase(slot); }
  std::vector<std::pair<double, std::uint32_t>> Ascending(double extra, const Rooms& need) const {
    std::vector<std::pair<double, std::uint32_t>> all;
    for (const auto& [slot, e] : entries_) {
      bool has = true;
      for (std::size_t i = 0; i < need.size(); ++i) has = has && e.room[i] >= need[i];
      if (has) all.emplace_back((e.load + extra) / e.weight, slot);
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

// Floats hold the index's figures: ratios nearer than that may come in any order.
constexpr double kNear = 1e-5;

TEST_CASE("the index meets what a plain scan meets, in the same order, whatever came before") {
  std::mt19937 random(7);
  RatioIndex index;
  PlainRatio plain;
  for (int round = 0; round < 400; ++round) {
    for (int i = 0; i < 25; ++i) {
      const std::uint32_t slot = random() % (round < 200 ? 700 : 3000);  // it grows while it is in use
      if (random() % 4 == 0) {
        index.Clear(slot);
        plain.Clear(slot);
      } else {
        const RatioIndex::Entry entry = Random(&random);
        index.Set(slot, entry);
        plain.Set(slot, entry);
      }
    }
    REQUIRE(index.size() == plain.size());
    const double extra = static_cast<double>(random() % 300);
    const Rooms need{static_cast<double>(random() % 100), static_cast<double>(random() % 90),
                     static_cast<double>(random() % 30), static_cast<double>(random() % 50)};
    const auto expected = plain.Ascending(extra, need);
    std::vector<std::uint32_t> met;
    index.VisitAscending(extra, need, [&](std::uint32_t slot) {
      met.push_back(slot);
      return true;
    });
    REQUIRE(met.size() == expected.size());
    for (std::size_t i = 0; i < met.size(); ++i) {
      REQUIRE(plain.Ratio(met[i], extra) == doctest::Approx(expected[i].first).epsilon(kNear));
    }
    CHECK(std::set<std::uint32_t>(met.begin(), met.end()).size() == met.size());
  }
}

TEST_CASE("the list of the least begins with the least, after every change") {
  std::mt19937 random(11);
  RatioIndex index;
  PlainRatio plain;
  for (std::uint32_t slot = 0; slot < 2000; ++slot) {
    const RatioIndex::Entry entry = Random(&random);
    index.Set(slot, entry);
    plain.Set(slot, entry);
  }
  for (int round = 0; round < 600; ++round) {
    const double extra = std::exp2(static_cast<double>(2 + random() % 6));  // as its lists have it
    std::vector<std::uint32_t> met;
    const bool stopped = index.VisitLeast(extra, {}, [&](std::uint32_t slot) {
      met.push_back(slot);
      return met.size() < 8;
    });
    REQUIRE(stopped);
    const auto expected = plain.Ascending(extra, {});
    for (std::size_t i = 0; i < met.size(); ++i) {
      REQUIRE(plain.Ratio(met[i], extra) == doctest::Approx(expected[i].first).epsilon(kNear));
    }
    // What was met first fills up, as a node does that is chosen; others change at random.
    for (int i = 0; i < 6; ++i) {
      const std::uint32_t slot = i < 3 ? met[static_cast<std::size_t>(i)] : random() % 2000;
      if (random() % 5 == 0) {
        index.Clear(slot);
        plain.Clear(slot);
        continue;
      }
      RatioIndex::Entry entry = Random(&random);
      if (i < 3) entry.load += 100;
      index.Set(slot, entry);
      plain.Set(slot, entry);
    }
  }
}

TEST_CASE("where nothing has the room, next to nothing is looked at") {
  std::mt19937 random(3);
  RatioIndex index;
  for (std::uint32_t slot = 0; slot < 4000; ++slot) index.Set(slot, Random(&random));
  const std::uint64_t before = index.examined();
  const auto none = [](std::uint32_t) {
    FAIL("met something");
    return true;
  };
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(index.VisitLeast(30, {101, 0, 0, 0}, none));
    index.VisitAscending(30, {0, 97, 0, 0}, none);
  }
  CHECK(index.examined() - before <= 200);
}

TEST_CASE("a search among alike slots looks at few of many") {
  RatioIndex index;
  std::mt19937 random(5);
  for (std::uint32_t slot = 0; slot < 4000; ++slot) {
    const double used = 20 + 0.001 * static_cast<double>(random() % 4000);
    index.Set(slot, {used, 60 - used, {100 - used, 96 - used, 40, 40}});
  }
  std::uint64_t before = index.examined();
  int met = 0;
  index.VisitAscending(15, {1, 1, 1, 1}, [&](std::uint32_t) { return ++met < 8; });
  CHECK(index.examined() - before < 500);
  index.VisitLeast(15, {1, 1, 1, 1}, [](std::uint32_t) { return false; });  // makes the list
  before = index.examined();
  met = 0;
  CHECK(index.VisitLeast(15, {1, 1, 1, 1}, [&](std::uint32_t) { return ++met < 8; }));
  CHECK(index.examined() - before < 100);
  index.Reset();
  CHECK(index.size() == 0);
  index.VisitAscending(0, {}, [](std::uint32_t) {
    FAIL("an empty index met something");
    return true;
  });
}

// Guards against a list that was made while there were few, and then took in every slot that came.
TEST_CASE("a list of the least made among few stays short when there are many") {
  RatioIndex index;
  std::mt19937 random(6);
  for (std::uint32_t slot = 0; slot < 10; ++slot) index.Set(slot, Random(&random));
  index.VisitLeast(15, {}, [](std::uint32_t) { return false; });
  for (std::uint32_t slot = 10; slot < 4000; ++slot) index.Set(slot, Random(&random));
  index.VisitLeast(15, {}, [](std::uint32_t) { return false; });  // makes it anew
  const std::uint64_t before = index.examined();
  index.VisitLeast(15, {}, [](std::uint32_t) { return false; });
  CHECK(index.examined() - before < 100);
}

TEST_CASE("blocks are shared, used again, and kept within a bound") {
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
    other = same;  // onto itself
    CHECK(pool.live() == 1);
  }
  std::vector<BlockPool::Ref> many;
  for (int i = 0; i < 400; ++i) many.push_back(pool.Allocate(i % 3 == 0 ? 100 : i % 3 == 1 ? 4000 : 60'000));
  CHECK(pool.live() == 400);
  many[2].Append(std::string(70'000, 'x'));
  CHECK(many[2].size() == 60'000);  // never more than its room
  many.clear();
  CHECK(pool.live() == 0);
  CHECK(pool.idle_bytes() <= BlockPool::kMaxIdleBytes);
  CHECK(pool.idle_bytes() > 0);
}

TEST_CASE("a table by name does what a map does, and gives memory back") {
  std::mt19937_64 random(9);
  KeyedTable<std::uint64_t, std::uint64_t> table;
  std::map<std::uint64_t, std::uint64_t> plain;
  for (int i = 0; i < 20'000; ++i) {
    const std::uint64_t key = random() % 500 * 0x100000000;  // alike in their low bits
    switch (random() % 3) {
      case 0:
        *table.Insert(key, 0) = plain[key] = random();
        break;
      case 1:
        table.Erase(key);
        plain.erase(key);
        break;
      default: {
        const auto* found = table.Find(key);
        const auto it = plain.find(key);
        REQUIRE((found != nullptr) == (it != plain.end()));
        if (found != nullptr) REQUIRE(*found == it->second);
      }
    }
    REQUIRE(table.size() == plain.size());
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

TEST_CASE("members of an ordered table stay where they are, in order, and their slots come round again") {
  struct Thing {
    int value = 0;
  };
  std::mt19937 random(13);
  OrderedTable<std::uint32_t, Thing> table;
  std::map<std::uint32_t, OrderedTable<std::uint32_t, Thing>::Member*> plain;
  for (int i = 0; i < 3000; ++i) {
    const std::uint32_t key = random() % 200;
    if (random() % 3 > 0) {
      auto* member = table.FindOrInsert(key);
      if (plain.contains(key)) CHECK(plain[key] == member);
      plain[key] = member;
      member->value = static_cast<int>(key);
    } else {
      table.EraseIf([key](const auto* m) { return m->key == key; });
      plain.erase(key);
    }
    REQUIRE(table.size() == plain.size());
  }
  std::set<std::uint32_t> slots;
  auto it = plain.begin();
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

TEST_CASE("the wheel keeps the order of a plain list of deadlines, whatever is hung and taken down") {
  std::mt19937_64 random(17);
  const Time start = 1'796'137'172 * kSecond + 123'456;
  TimerWheel wheel(start);
  struct Plain {
    std::int64_t tick;
    int number;
  };
  std::vector<Plain> plain;
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
      plain.push_back({std::max((at + TimerWheel::kTick - 1) / TimerWheel::kTick, done + 1), number});
    }
    if (random() % 3 == 0 && !plain.empty()) {
      const std::size_t which = random() % plain.size();
      wheel.Cancel(handles[plain[which].number]);
      plain.erase(plain.begin() + static_cast<std::ptrdiff_t>(which));
    }
    std::ranges::stable_sort(plain, {}, &Plain::tick);
    REQUIRE(wheel.size() == plain.size());
    if (!plain.empty()) REQUIRE(wheel.NextDeadline() <= plain.front().tick * TimerWheel::kTick);
    now += static_cast<Time>(random() % (random() % 50 == 0 ? 20 * kSecond : 8 * kMs));
    ran.clear();
    wheel.Advance(now);
    done = now / TimerWheel::kTick;
    std::vector<int> expected;
    std::erase_if(plain, [&](const Plain& p) {
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
