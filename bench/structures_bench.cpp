// The structures made for the job, each beside the plain one that it stands for.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "containers/block_pool.h"
#include "containers/hash.h"
#include "containers/ratio_index.h"
#include "net/timer_wheel.h"

namespace cluster_manager {
namespace {

double Draw(pcg32* random, double most) { return ((*random)() >> 8) / 16777216.0 * most; }

RatioIndex::Entry Random(pcg32* random) {
  const double asked = 16 + Draw(random, 8), memory = 24 + Draw(random, 16);
  return {asked, 12 + Draw(random, 2) - asked / 8, {100 - asked, 96 - memory, 30, 30}};
}

// The eight least of n: by a scan of all and a partial sort, by search, and by the list of the least. In each
// round two entries change, as one bind and one end do.
template <typename Ask>
void LeastEight(benchmark::State& state, Ask ask) {
  const auto n = static_cast<std::uint32_t>(state.range(0));
  pcg32 random(3);
  std::vector<RatioIndex::Entry> plain(n);
  RatioIndex index;
  for (std::uint32_t i = 0; i < n; ++i) index.Set(i, plain[i] = Random(&random));
  std::uint64_t sum = 0;
  int round = 0;
  for (auto _ : state) {
    for (int i = 0; i < 2; ++i) {
      const std::uint32_t slot = random(n);
      index.Set(slot, plain[slot] = Random(&random));
    }
    sum += ask(&index, plain, 7.5 * (1 << ++round % 4));
  }
  benchmark::DoNotOptimize(sum);
}

const RatioIndex::Capacities kNeed{1, 1, 1, 1};

void LeastByScan(benchmark::State& state) {
  std::vector<std::pair<double, std::uint32_t>> all;
  LeastEight(state, [&all](RatioIndex*, const std::vector<RatioIndex::Entry>& plain, double extra) {
    all.clear();
    for (std::uint32_t i = 0; i < plain.size(); ++i) {
      const RatioIndex::Entry& e = plain[i];
      bool has = true;
      for (std::size_t r = 0; r < kNeed.size(); ++r) has = has && e.capacity[r] >= kNeed[r];
      if (has) all.emplace_back((e.load + extra) / e.weight, i);
    }
    std::partial_sort(all.begin(), all.begin() + 8, all.end());
    std::uint64_t sum = 0;
    for (int i = 0; i < 8; ++i) sum += all[static_cast<std::size_t>(i)].second;
    return sum;
  });
}

void LeastBySearch(benchmark::State& state) {
  LeastEight(state, [](RatioIndex* index, const auto&, double extra) {
    std::uint64_t sum = 0;
    int met = 0;
    index->VisitAscending(extra, kNeed, [&](std::uint32_t slot) {
      sum += slot;
      return ++met < 8;
    });
    return sum;
  });
}

void LeastByList(benchmark::State& state) {
  LeastEight(state, [](RatioIndex* index, const auto&, double extra) {
    std::uint64_t sum = 0;
    int met = 0;
    index->VisitLeast(extra, kNeed, [&](std::uint32_t slot) {
      sum += slot;
      return ++met < 8;
    });
    return sum;
  });
}

// An entry comes, is found three times and goes; n stand there meanwhile.
template <typename Table>
void ComeFindGo(benchmark::State& state) {
  Table table;
  pcg32 random(5);
  std::vector<std::uint64_t> keys;
  for (int i = 0; i < state.range(0); ++i)
    table[keys.emplace_back(std::uint64_t{random()} << 32 | random())] = 1;
  std::size_t at = 0;
  for (auto _ : state) {
    table.erase(keys[at]);
    table[keys[at] = std::uint64_t{random()} << 32 | random()] = 2;
    for (int i = 0; i < 3; ++i)
      benchmark::DoNotOptimize(table.find(keys[random(static_cast<std::uint32_t>(keys.size()))]));
    at = (at + 1) % keys.size();
  }
}

// A deadline is hung 6 s off and taken down, as nearly all are; the next one is asked for; n hang there
// meanwhile.
void Deadlines(benchmark::State& state) {
  TimerWheel wheel(0);
  pcg32 random(7);
  for (int i = 0; i < state.range(0); ++i) wheel.Schedule(kSecond + random(10'000) * kMs, [] {});
  for (auto _ : state) {
    const Handle handle = wheel.Schedule(6 * kSecond + random(100) * kMs, [] {});
    benchmark::DoNotOptimize(wheel.NextDeadline());
    wheel.Cancel(handle);
  }
}

void DeadlinesInAMap(benchmark::State& state) {
  std::multimap<Time, std::function<void()>> all;
  pcg32 random(7);
  for (int i = 0; i < state.range(0); ++i) all.emplace(kSecond + random(10'000) * kMs, [] {});
  for (auto _ : state) {
    const auto it = all.emplace(6 * kSecond + random(100) * kMs, [] {});
    benchmark::DoNotOptimize(all.begin()->first);
    all.erase(it);
  }
}

void BlockOf300(benchmark::State& state) {
  BlockPool pool;
  const std::string text(300, 'x');
  for (auto _ : state) {
    BlockPool::Ref block = pool.Allocate(text.size());
    block.Append(text);
    BlockPool::Ref other = block;
    benchmark::DoNotOptimize(other.data());
  }
}

void TwoStringsOf300(benchmark::State& state) {
  const std::string text(300, 'x');
  for (auto _ : state) {
    std::string first(text.data(), text.size());
    std::string other = first;
    benchmark::DoNotOptimize(other.data());
  }
}

void Sizes(benchmark::internal::Benchmark* b) {
  for (const int n : {12, 64, 100, 1000, 4000, 10'000}) b->Arg(n);
}

BENCHMARK(LeastByScan)->Apply(Sizes);
BENCHMARK(LeastBySearch)->Apply(Sizes);
BENCHMARK(LeastByList)->Apply(Sizes);
BENCHMARK(ComeFindGo<NumberMap<std::uint64_t, int>>)->Arg(400)->Arg(20'000);
BENCHMARK(ComeFindGo<std::unordered_map<std::uint64_t, int>>)->Arg(400)->Arg(20'000);
BENCHMARK(ComeFindGo<std::map<std::uint64_t, int>>)->Arg(400)->Arg(20'000);
BENCHMARK(Deadlines)->Arg(400)->Arg(20'000);
BENCHMARK(DeadlinesInAMap)->Arg(400)->Arg(20'000);
BENCHMARK(BlockOf300);
BENCHMARK(TwoStringsOf300);

}  // namespace
}  // namespace cluster_manager

BENCHMARK_MAIN();
