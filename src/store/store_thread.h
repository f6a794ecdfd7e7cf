// A store with a thread of its own, so that the event loop never waits for a disk. The event loop queues
// batches with the tickets of the consensus module; the thread writes them in order and returns one result
// for each. A StoreThread owns the store and the thread.
//
// Between them is the queue of containers/handoff_queue.h: each batch is answered once and in order, and a
// result never waits for space in the queue, as its limit counts queued and running batches and untaken
// results together.
//
// If the queue is full, TryAppend returns false, and the caller must not continue as if the batch were saved;
// the consensus module then sends nothing, since it waits for OnSaved. After an error each further batch is
// answered with the same error.
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

// A batch to be written. The ticket identifies its result.
struct WriteRequest {
  std::uint64_t ticket = 0;
  Batch batch;
};
struct WriteResult {
  std::uint64_t ticket = 0;
  std::string error;  // empty: the batch is durable
};

// `Threads`: the thread primitives, see containers/threads.h. All functions are called by the event loop.
template <class Threads = StdThreads>
class StoreThread {
 public:
  // `wake` is called on the store's thread: it may only notify the event loop (an async watcher, a
  // descriptor).
  StoreThread(std::unique_ptr<Store> store, std::size_t max_pending, Callback wake)
      : store_(std::move(store)), queue_(max_pending, wake), thread_([this] { Run(); }) {}
  // Queued batches are still written: the consensus module may rely on them.
  ~StoreThread() { Stop(StopMode::kDrain); }

  // Returns false if the queue is full or stopped.
  bool TryAppend(WriteRequest request) { return queue_.TryPush(std::move(request)); }
  // The next result in the order of the requests, if there is one.
  std::optional<WriteResult> PopResult() { return queue_.PopResult(); }
  // Waits for the thread. Results can still be popped. The returned requests were dropped and are not
  // written.
  std::deque<WriteRequest> Stop(StopMode mode) {
    std::deque<WriteRequest> dropped = queue_.Stop(mode);
    if (thread_.joinable()) thread_.join();
    return dropped;
  }

 private:
  void Run() {
    std::string error;
    while (std::optional<WriteRequest> request = queue_.Pop()) {
      if (error.empty()) store_->Append(request->batch, &error);
      queue_.PushResult(WriteResult{request->ticket, error});
    }
  }

  std::unique_ptr<Store> store_;
  HandoffQueue<Threads, WriteRequest, WriteResult> queue_;
  typename Threads::Thread thread_;
};

}  // namespace cluster_manager::store
