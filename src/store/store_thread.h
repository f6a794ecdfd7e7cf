// The store behind a thread of its own, so that the loop never waits for a disk. The loop pushes batches with
// the agreement's tickets; the thread writes them in order and gives a Done for each. It owns the store and
// the thread.
//
// Between them is the queue of src/structures: each batch is answered once, in order, and a result never
// waits for room, as the bound counts what is queued, at work and not yet taken together.
//
// Full: TryAppend says false, and the caller must not go on as if it were saved: the agreement stays silent
// by itself, as it waits for OnSaved. After a fault each further batch is answered with the same fault.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "containers/callback.h"
#include "containers/handoff_queue.h"
#include "store/store.h"

namespace cluster_manager::store {

struct Work {
  std::uint64_t ticket = 0;
  Batch batch;
};
struct Done {
  std::uint64_t ticket = 0;
  std::string fault;  // empty: durable
};

template <class Threads = StdThreads>
class StoreThread {
 public:
  // `wake` is called in the thread: it may only tell the loop to look (an async watcher, a descriptor).
  StoreThread(std::unique_ptr<Store> store, std::size_t most_waiting, Callback wake)
      : store_(std::move(store)), queue_(most_waiting, wake), thread_([this] { Run(); }) {}
  // What is queued is still written: it holds words that the agreement has counted on.
  ~StoreThread() { Stop(StopMode::kDrain); }

  bool TryAppend(Work work) { return queue_.TryPush(std::move(work)); }
  std::optional<Done> TakeDone() { return queue_.PopResult(); }
  // Waits for the thread. Results can still be taken; what is returned was dropped and is not written.
  std::deque<Work> Stop(StopMode mode) {
    std::deque<Work> dropped = queue_.Stop(mode);
    if (thread_.joinable()) thread_.join();
    return dropped;
  }

 private:
  void Run() {
    std::string fault;
    while (std::optional<Work> work = queue_.Pop()) {
      if (fault.empty()) store_->Append(work->batch, &fault);
      queue_.PushResult(Done{work->ticket, fault});
    }
  }

  std::unique_ptr<Store> store_;
  HandoffQueue<Threads, Work, Done> queue_;
  typename Threads::Thread thread_;
};

}  // namespace cluster_manager::store
