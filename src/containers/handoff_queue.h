// A bounded queue that passes work items from the event loop to one worker thread and results back. Items are
// processed in order, and each one yields exactly one result.
//
//   HandoffQueue<StdThreads, Write, Written> queue(256, [loop] { ev_async_send(loop->ev, &loop->async); });
//   loop:    if (!queue.TryPush(write)) ...full: reject the write
//            on the wake-up: while (auto result = queue.PopResult()) ...
//   worker:  while (auto write = queue.Pop()) queue.PushResult(Do(*write));
//   stop:    queue.Stop(StopMode::kDrain); worker.join(); pop the results; then destroy the queue
//
// - One thread uses the loop's side, one the worker's. The loop never waits for the worker: the lock is held
//   only while an item is moved, never while the worker processes one.
// - The capacity bounds the items that were pushed and whose results have not been popped. There is therefore
//   always space for a result: the worker never waits for the loop, and stopping and joining cannot deadlock
//   on a full queue.
// - The worker pushes one result for each item, in the order of the items, before it pops the next item.
// - `wake` is called on the worker's thread without the lock, once whenever a result is pushed while no
// result
//   is waiting. The loop then pops results until there are none. A wake-up may find none, since results may
//   be popped at any time. `wake` may call functions of the loop's side.
// - After Stop no item can be pushed. kDrain: the worker processes the waiting items, then Pop returns
// nothing.
//   kDrop: Pop returns nothing at once, and Stop returns the waiting items in order; the caller must answer
//   them. An item that the worker is processing still yields its result. kDrop may follow kDrain; kDrain
//   after kDrop has no effect.
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

// What happens to the waiting items when the queue stops.
enum class StopMode { kDrain, kDrop };

// Passes items to a worker thread and results back, see above. `Threads` is a policy as in threads.h.
template <class Threads, class Item, class Result>
class HandoffQueue {
 public:
  // `capacity`: bound on the unfinished items; `wake` is called as described above.
  HandoffQueue(std::size_t capacity, Callback wake) : capacity_(capacity), wake_(wake) {
    Threads::Name(mutex_, "the queue");
    Threads::Name(work_, "the worker's condition");
    Threads::Name(state_, "the queue's data");
  }
  HandoffQueue(const HandoffQueue&) = delete;
  HandoffQueue& operator=(const HandoffQueue&) = delete;

  // The loop's side. Returns false and leaves `item` unchanged if the queue is full or stopped.
  bool TryPush(Item&& item) {
    bool was_empty;
    {
      const std::lock_guard lock(mutex_);
      State& state = state_.Write();
      if (state.stopped || state.unfinished >= capacity_) return false;
      ++state.unfinished;
      was_empty = state.items.empty();
      state.items.push_back(std::move(item));
    }
    if (was_empty) work_.notify_one();  // otherwise an earlier notification is still pending
    return true;
  }

  // The loop's side. Returns the oldest result, or nothing if none is waiting.
  std::optional<Result> PopResult() {
    const std::lock_guard lock(mutex_);
    if (state_.Read().results.empty()) return std::nullopt;
    State& state = state_.Write();
    std::optional<Result> result(std::move(state.results.front()));
    state.results.pop_front();
    --state.unfinished;
    return result;
  }

  // The loop's side. Returns the items dropped by kDrop, in order; empty for kDrain.
  std::deque<Item> Stop(StopMode mode) {
    std::deque<Item> dropped;
    {
      const std::lock_guard lock(mutex_);
      State& state = state_.Write();
      state.stopped = true;
      if (mode == StopMode::kDrop) {
        dropped.swap(state.items);
        state.unfinished -= dropped.size();
      }
    }
    work_.notify_one();
    return dropped;
  }

  // The number of items that were pushed and whose results have not been popped.
  std::size_t unfinished() const {
    const std::lock_guard lock(mutex_);
    return state_.Read().unfinished;
  }

  // The worker's side. Waits for the next item; returns nothing once the queue is stopped and has no items.
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

  // The worker's side. Wakes the loop if no result was waiting.
  void PushResult(Result&& result) {
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
    std::size_t unfinished = 0;
    bool stopped = false;
  };

  const std::size_t capacity_;
  Callback wake_;
  mutable typename Threads::Mutex mutex_;
  typename Threads::ConditionVariable work_;
  typename Threads::template Shared<State> state_;
};

}  // namespace cluster_manager
