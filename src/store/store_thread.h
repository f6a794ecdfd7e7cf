// The store behind a thread of its own, so that the loop never waits for a disk. The loop pushes batches with
// the agreement's tickets; the thread writes them in order and gives a Done for each. It owns the store and
// the thread.
//
// The queue between them is a parameter of this shape (MutexQueue below it, until the shared one is there):
//   bool TryPush(Work)                loop; false when full
//   std::optional<Work> Pop()         worker; waits; nothing when stopped (and drained, if so asked)
//   void Stop(bool drain)             loop; Pop gives what is left (drain) or nothing more
//   void PushResult(Done)             worker; never waits: what is queued, at work and not yet taken together
//                                     is bounded at TryPush; wake runs when it was empty, never under the
//                                     lock
//   std::optional<Done> TakeResult()  loop; without waiting
//
// Full: TryAppend says false, and the caller must not go on as if it were saved: the agreement stays silent
// by itself, as it waits for Saved. After a fault each further batch is answered with the same fault.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "store/mutex_queue.h"
#include "store/store.h"

namespace willowrail::store {

struct Work {
  std::uint64_t ticket = 0;
  Batch batch;
};
struct Done {
  std::uint64_t ticket = 0;
  std::string fault;  // empty: durable
};

template <typename Queue = MutexQueue<Work, Done>>
class StoreThread {
 public:
  // `wake` is called in the thread: it may only tell the loop to look (an async watcher, a descriptor).
  StoreThread(std::unique_ptr<Store> store, std::size_t most_waiting, std::function<void()> wake)
      : store_(std::move(store)), queue_(most_waiting, std::move(wake)), thread_([this] { Run(); }) {}
  // What is queued is still written: it holds words that the agreement has counted on.
  ~StoreThread() { Stop(true); }

  bool TryAppend(Work work) { return queue_.TryPush(std::move(work)); }
  std::optional<Done> TakeDone() { return queue_.TakeResult(); }
  // Waits for the thread. Results can still be taken.
  void Stop(bool drain) {
    queue_.Stop(drain);
    if (thread_.joinable()) thread_.join();
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
  Queue queue_;
  std::thread thread_;
};

}  // namespace willowrail::store
