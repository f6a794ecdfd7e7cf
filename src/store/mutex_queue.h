// Work from the loop to one worker and results back, in the shape that store_thread.h names. A stand-in for
// the shared queue of src/structures: one mutex, no wait in the loop beyond it.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace willowrail::store {

template <typename Work, typename Done>
class MutexQueue {
 public:
  // `most`: queued, at work and not taken yet, together, so that a result never waits for room.
  MutexQueue(std::size_t most, std::function<void()> wake) : most_(most), wake_(std::move(wake)) {}

  bool TryPush(Work work) {
    {
      std::lock_guard lock(mutex_);
      if (stopped_ || out_ >= most_) return false;
      ++out_;
      work_.push_back(std::move(work));
    }
    changed_.notify_one();
    return true;
  }

  std::optional<Work> Pop() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopped_ || !work_.empty(); });
    if (work_.empty()) return std::nullopt;
    std::optional<Work> work(std::move(work_.front()));
    work_.pop_front();
    return work;
  }

  void Stop(bool drain) {
    {
      std::lock_guard lock(mutex_);
      stopped_ = true;
      if (!drain) work_.clear();
    }
    changed_.notify_all();
  }

  void PushResult(Done done) {
    bool first;
    {
      std::lock_guard lock(mutex_);
      first = done_.empty();
      done_.push_back(std::move(done));
    }
    if (first && wake_) wake_();
  }

  std::optional<Done> TakeResult() {
    std::lock_guard lock(mutex_);
    if (done_.empty()) return std::nullopt;
    std::optional<Done> done(std::move(done_.front()));
    done_.pop_front();
    --out_;
    return done;
  }

 private:
  const std::size_t most_;
  const std::function<void()> wake_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Work> work_;
  std::deque<Done> done_;
  std::size_t out_ = 0;
  bool stopped_ = false;
};

}  // namespace willowrail::store
