// Work from the event loop to one worker thread, and results back: bounded, in order, each item answered
// once.
//
//   HandoffQueue<StdThreads, Write, Written> queue(256, [loop] { ev_async_send(loop->ev, &loop->async); });
//   loop:    if (!queue.TryPush(write)) ...full: say so to whoever asked
//            on the wake-up: while (auto result = queue.TakeResult()) ...
//   worker:  while (auto write = queue.Pop()) queue.Give(Do(*write));
//   stop:    queue.Stop(StopMode::kDrain); worker.join(); take the results; then destroy the queue
//
// - One thread calls the loop's side, one the worker's. The loop never waits for work: it takes a lock
//   held for a few moves of an item, never while the worker works.
// - The bound counts what was pushed and whose result was not taken yet. So there is always room
//   for a result: the worker never waits for the loop, and a stop with join cannot lock up, however full the
//   queue is.
// - The worker gives one result for each item, in the order of the items, before it pops the next.
// - `wake` is called on the worker's thread, never under the lock, once each time that a result comes where
//   none waited. The loop takes until there is none; a wake-up may find none, since results may be taken at
//   any time. `wake` may call the loop's side.
// - Stop: no more is pushed. kDrain: the worker does what waits, then Pop returns nothing. kDrop: Pop returns
//   nothing at once; what waited is returned, in order, to be answered by the caller; what the worker has in
//   its hands is still answered. kDrop may follow kDrain; the other way round changes nothing.
// - The worker must be joined before the queue is destroyed.
#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "containers/callback.h"
#include "containers/threads.h"

namespace cluster_manager {

enum class Ending { kDrain, kDrop };

template <class Threads, class Item, class Result>
class HandoffQueue {
 public:
  HandoffQueue(std::size_t most, Callback wake) : most_(most), wake_(wake) {
    Threads::Name(mutex_, "the queue");
    Threads::Name(work_, "the worker's condition");
    Threads::Name(state_, "the queue's data");
  }
  HandoffQueue(const HandoffQueue&) = delete;
  HandoffQueue& operator=(const HandoffQueue&) = delete;

  // The loop's side. False where the queue is full or stopped: `item` is as it was.
  bool TryPush(Item&& item) {
    bool waits;
    {
      const std::lock_guard lock(mutex_);
      State& state = state_.Write();
      if (state.stopped || state.open >= most_) return false;
      ++state.open;
      waits = state.items.empty();
      state.items.push_back(std::move(item));
    }
    if (waits) work_.notify_one();  // else the worker has not come to what it was woken for before
    return true;
  }

  std::optional<Result> TakeResult() {
    const std::lock_guard lock(mutex_);
    if (state_.Read().results.empty()) return std::nullopt;
    State& state = state_.Write();
    std::optional<Result> result(std::move(state.results.front()));
    state.results.pop_front();
    --state.open;
    return result;
  }

  std::deque<Item> Stop(Ending ending) {
    std::deque<Item> dropped;
    {
      const std::lock_guard lock(mutex_);
      State& state = state_.Write();
      state.stopped = true;
      if (ending == StopMode::kDrop) {
        dropped.swap(state.items);
        state.open -= dropped.size();
      }
    }
    work_.notify_one();
    return dropped;
  }

  // What was pushed and whose result was not taken.
  std::size_t open() const {
    const std::lock_guard lock(mutex_);
    return state_.Read().open;
  }

  // The worker's side: waits for the next item; nothing once all is over.
  std::optional<Item> Pop() {
    std::unique_lock lock(mutex_);
    while (state_.Read().items.empty()) {
      if (state_.Read().stopped) return std::nullopt;
      work_.wait(lock);
    }
    State& state = state_.Write();
    std::optional<Item> item(std::move(state.items.front()));
    state.items.pop_front();
    return item;
  }

  void Give(Result&& result) {
    bool first;
    {
      const std::lock_guard lock(mutex_);
      State& state = state_.Write();
      first = state.results.empty();
      state.results.push_back(std::move(result));
    }
    if (first) wake_();
  }

 private:
  struct State {
    std::deque<Item> items;
    std::deque<Result> results;
    std::size_t open = 0;
    bool stopped = false;
  };

  const std::size_t most_;
  Callback wake_;
  mutable typename Threads::Mutex mutex_;
  typename Threads::ConditionVariable work_;
  typename Threads::template Shared<State> state_;
};

}  // namespace cluster_manager
