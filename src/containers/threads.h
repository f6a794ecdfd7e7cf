// Threading policy: a `template <class Threads> class ...` takes its mutexes, condition variables, threads,
// atomics and shared plain data from it. The program uses StdThreads, the standard library without overhead.
// tests/interleave uses CheckedThreads instead and runs the same code through every interleaving.
#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace cluster_manager {

// The threading primitives of the standard library.
struct StdThreads {
  using Mutex = std::mutex;
  using ConditionVariable = std::condition_variable;
  using Thread = std::thread;
  template <typename T>
  using Atomic = std::atomic<T>;

  // Plain data that threads access under a lock. Read and Write mark the kind of each access for the checker.
  template <typename T>
  class Shared {
   public:
    Shared() = default;
    explicit Shared(T value) : value_(std::move(value)) {}
    const T& Read() const { return value_; }
    T& Write() { return value_; }

   private:
    T value_{};
  };

  // Names an object for the traces of a checker; does nothing here.
  template <typename T>
  static void Name(T&, const char*) {}
};

}  // namespace cluster_manager
