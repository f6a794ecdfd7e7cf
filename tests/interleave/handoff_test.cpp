// The handoff queue through every interleaving of loop and worker (and a third thread), with small bounds;
// and copies of it with one line changed, each of which must be caught.
#include <doctest/doctest.h>

#include <deque>
#include <string>
#include <thread>
#include <vector>

#include "containers/handoff_queue.h"
#include "interleave/check.h"
#include "interleave/primitives.h"
#include "mutants/give_asks_unlocked.h"
#include "mutants/give_never_wakes.h"
#include "mutants/give_wakes_each_time.h"
#include "mutants/give_wakes_late.h"
#include "mutants/give_wakes_locked.h"
#include "mutants/pop_asks_once.h"
#include "mutants/pop_forgets_rest.h"
#include "mutants/pop_leaves_item.h"
#include "mutants/pop_takes_last.h"
#include "mutants/pop_without_lock.h"
#include "mutants/push_after_stop.h"
#include "mutants/push_beyond_bound.h"
#include "mutants/push_tells_first.h"
#include "mutants/push_tells_nobody.h"
#include "mutants/stop_frees_nothing.h"
#include "mutants/stop_keeps_dropped.h"
#include "mutants/stop_tells_nobody.h"
#include "mutants/take_frees_nothing.h"

namespace cluster_manager {
namespace {

using interleave::Choose, interleave::CheckedThread, interleave::CheckedThreads, interleave::Explore,
    interleave::Program, interleave::Replay, interleave::Require, interleave::Result, interleave::Signal;

template <template <class, class, class> class Q, class End>
struct Code {
  using Queue = Q<CheckedThreads, int, int>;

  // What all programs share: the queue, a loop that sleeps until it is woken, a worker that answers 10 x.
  struct World {
    explicit World(std::size_t most)
        : queue(most, [this] { Woken(); }), worker([this] {
            while (const auto item = queue.Pop()) queue.PushResult(*item * 10);
          }) {
      loop.Name("loop's wake-up");
      worker.Name("worker");
    }
    void Woken() {
      ++wakes;
      queue.unfinished();  // takes the lock: a self-lock if `wake` is called under it
      loop.Send();
    }
    bool Push() {
      int item = pushed + 1;
      if (!queue.TryPush(std::move(item))) return false;
      ++pushed;
      Require(pushed - static_cast<int>(taken.size()) <= most_open, "the bound holds");
      return true;
    }
    bool Take() {
      const auto result = queue.PopResult();
      if (!result) return false;
      taken.push_back(*result);
      return true;
    }
    void Judge(std::deque<int> dropped) {
      worker.join();
      while (Take()) {
      }
      int next = 0;
      for (const int result : taken) Require(result == ++next * 10, "results come in order, each once");
      for (const int item : dropped)
        Require(item == ++next, "what is dropped is what was not done, in order");
      Require(next == pushed, "nothing is lost");
      Require(queue.unfinished() == 0, "nothing is open at the end");
      Require(wakes <= static_cast<int>(taken.size()), "no more wake-ups than results");
    }

    Signal loop;
    int pushed = 0, wakes = 0, most_open = 1 << 20;
    std::vector<int> taken;
    Queue queue;
    CheckedThread worker;
  };

  // The loop pushes all, sleeps where the queue is full, and takes all results before it stops.
  static Program Traffic(int items, std::size_t most) {
    return [items, most] {
      World w(most);
      w.most_open = static_cast<int>(most);
      while (static_cast<int>(w.taken.size()) < items) {
        while (w.pushed < items && w.Push()) {
        }
        w.loop.Await();
        while (w.Take()) {
        }
      }
      w.Judge(w.queue.Stop(End::kDrain));
    };
  }
  // Stopped at any moment, with items waiting, in work, full, or with the worker blocked on an empty queue.
  static Program Stopped(int items, std::size_t most, End how) {
    return [items, most, how] {
      World w(most);
      for (int i = 0; i < items; ++i) w.Push();
      auto dropped = w.queue.Stop(how);
      int late = 99;
      Require(!w.queue.TryPush(std::move(late)), "nothing is pushed after a stop");
      w.Judge(std::move(dropped));
      if (how == End::kDrain) Require(static_cast<int>(w.taken.size()) == w.pushed, "what waits is done");
    };
  }
  // Drained, then given up while the worker still works off the rest.
  static Program GivenUp(int items) {
    return [items] {
      World w(8);
      for (int i = 0; i < items; ++i) w.Push();
      w.queue.Stop(End::kDrain);
      w.Judge(w.queue.Stop(End::kDrop));
    };
  }
  // The worker is woken once for results that nobody took in between.
  static Program WakesOnce(int items) {
    return [items] {
      World w(8);
      for (int i = 0; i < items; ++i) w.Push();
      w.queue.Stop(End::kDrain);
      w.worker.join();
      Require(w.wakes == 1, "one wake-up for results that wait");
      w.worker = CheckedThread([] {});
      w.Judge({});
    };
  }
  // A third thread stops the queue while the loop pushes.
  static Program StoppedByAnother(int items, End how) {
    return [items, how] {
      World w(8);
      std::deque<int> dropped;
      CheckedThread stopper([&] { dropped = w.queue.Stop(how); });
      stopper.Name("stopper");
      for (int i = 0; i < items; ++i) w.Push();
      stopper.join();
      w.Judge(std::move(dropped));
    };
  }
  struct Named {
    std::string name;
    Program program;
    std::uint32_t spurious = 0;
  };
  static std::vector<Named> Small() {
    return {{"stop of an idle one", Stopped(0, 1, End::kDrain)},
            {"traffic 2 items, bound 1", Traffic(2, 1)},
            {"traffic 2 items, bound 2", Traffic(2, 2)},
            {"drain 2, bound 2", Stopped(2, 2, End::kDrain)},
            {"drain 3, bound 2 (full)", Stopped(3, 2, End::kDrain)},
            {"drop 2, bound 2", Stopped(2, 2, End::kDrop)},
            {"drain, then drop 2", GivenUp(2)},
            {"one wake-up for 2", WakesOnce(2)},
            {"drain 1, spurious", Stopped(1, 1, End::kDrain), 1},
            {"traffic 2 items, bound 1, spurious", Traffic(2, 1), 1},
            {"3 threads, drain 1", StoppedByAnother(1, End::kDrain)},
            {"3 threads, drop 1", StoppedByAnother(1, End::kDrop)}};
  }
};

template <template <class, class, class> class Q, class End>
void Catch(const std::string& name) {
  for (const auto& [what, program, spurious] : Code<Q, End>::Small()) {
    const Result result = Explore(program, {.spurious = spurious});
    if (!result.failure) continue;
    CHECK(Replay(program, result.failure.replay).failure.trace == result.failure.trace);
    MESSAGE(name << ", caught by " << what << ": " << result.Line() << "\n  " << result.failure.kind << ": "
                 << result.failure.message << "\n"
                 << result.failure.trace << "  replay " << result.failure.replay);
    return;
  }
  FAIL_CHECK("not caught: " << name);
}

using Real = Code<HandoffQueue, StopMode>;

TEST_CASE("the handoff queue, every interleaving with small bounds") {
  std::vector<Real::Named> all = Real::Small();
  all.push_back({"traffic 3 items, bound 2", Real::Traffic(3, 2)});
  all.push_back({"drain 4, bound 3", Real::Stopped(4, 3, StopMode::kDrain)});
  all.push_back({"drop 4, bound 3", Real::Stopped(4, 3, StopMode::kDrop)});
  all.push_back({"3 threads, drop 2", Real::StoppedByAnother(2, StopMode::kDrop)});
  for (const auto& [name, program, spurious] : all) {
    const Result result = Explore(program, {.spurious = spurious});
    CHECK_MESSAGE(!result.failure, name << ": " << result.failure.kind << ": " << result.failure.message
                                        << "\n"
                                        << result.failure.trace);
    CHECK(result.complete);
    MESSAGE(name << ": " << result.Line());
  }
}

TEST_CASE("one line of the handoff queue changed: each change is caught") {
  Catch<mutant_push_tells_nobody::HandoffQueue, mutant_push_tells_nobody::StopMode>("push_tells_nobody");
  Catch<mutant_push_tells_first::HandoffQueue, mutant_push_tells_first::StopMode>("push_tells_first");
  Catch<mutant_push_beyond_bound::HandoffQueue, mutant_push_beyond_bound::StopMode>("push_beyond_bound");
  Catch<mutant_push_after_stop::HandoffQueue, mutant_push_after_stop::StopMode>("push_after_stop");
  Catch<mutant_pop_asks_once::HandoffQueue, mutant_pop_asks_once::StopMode>("pop_asks_once");
  Catch<mutant_pop_leaves_item::HandoffQueue, mutant_pop_leaves_item::StopMode>("pop_leaves_item");
  Catch<mutant_pop_takes_last::HandoffQueue, mutant_pop_takes_last::StopMode>("pop_takes_last");
  Catch<mutant_pop_forgets_rest::HandoffQueue, mutant_pop_forgets_rest::StopMode>("pop_forgets_rest");
  Catch<mutant_pop_without_lock::HandoffQueue, mutant_pop_without_lock::StopMode>("pop_without_lock");
  Catch<mutant_take_frees_nothing::HandoffQueue, mutant_take_frees_nothing::StopMode>("take_frees_nothing");
  Catch<mutant_stop_tells_nobody::HandoffQueue, mutant_stop_tells_nobody::StopMode>("stop_tells_nobody");
  Catch<mutant_stop_keeps_dropped::HandoffQueue, mutant_stop_keeps_dropped::StopMode>("stop_keeps_dropped");
  Catch<mutant_stop_frees_nothing::HandoffQueue, mutant_stop_frees_nothing::StopMode>("stop_frees_nothing");
  Catch<mutant_give_never_wakes::HandoffQueue, mutant_give_never_wakes::StopMode>("give_never_wakes");
  Catch<mutant_give_wakes_each_time::HandoffQueue, mutant_give_wakes_each_time::StopMode>(
      "give_wakes_each_time");
  Catch<mutant_give_wakes_late::HandoffQueue, mutant_give_wakes_late::StopMode>("give_wakes_late");
  Catch<mutant_give_wakes_locked::HandoffQueue, mutant_give_wakes_locked::StopMode>("give_wakes_locked");
  Catch<mutant_give_asks_unlocked::HandoffQueue, mutant_give_asks_unlocked::StopMode>("give_asks_unlocked");
}

TEST_CASE("the handoff queue on real threads: all comes back in order") {
  constexpr int kItems = 20'000;
  struct Shared {
    std::mutex mutex;
    std::condition_variable woken;
    bool set = false;
  } shared;
  HandoffQueue<StdThreads, int, int> queue(64, [&shared] {
    const std::lock_guard lock(shared.mutex);
    shared.set = true;
    shared.woken.notify_one();
  });
  std::thread worker([&queue] {
    while (const auto item = queue.Pop()) queue.PushResult(*item * 2);
  });
  int pushed = 0, taken = 0;
  while (taken < kItems) {
    for (int item = pushed; pushed < kItems && queue.TryPush(std::move(item)); item = pushed) ++pushed;
    {
      std::unique_lock lock(shared.mutex);
      shared.woken.wait(lock, [&shared] { return shared.set; });
      shared.set = false;
    }
    while (const auto result = queue.PopResult()) {
      REQUIRE(*result == taken * 2);
      ++taken;
    }
  }
  CHECK(queue.Stop(StopMode::kDrain).empty());
  worker.join();
  CHECK(queue.unfinished() == 0);
}

}  // namespace
}  // namespace cluster_manager
