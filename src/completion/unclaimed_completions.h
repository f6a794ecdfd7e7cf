// Completions that nodes reported for tasks unknown to this cluster manager. A node reports a completion
// once, to any cluster manager it is connected to. The client of the task may have lost its cluster
// manager, and claim the task here a moment later without having received the completion.
//
// Owned by Dispatcher and used on its thread. Keeps at most kMaxEntries, each for kRetention.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace cluster_manager {

// The reported completions of unknown tasks, in the order of their arrival.
class UnclaimedCompletions {
 public:
  using Time = std::int64_t;  // nanoseconds
  // Clients detect the loss of a cluster manager after some seconds and then claim their tasks elsewhere.
  static constexpr Time kRetention = 15'000'000'000;
  static constexpr std::size_t kMaxEntries = 4096;  // 32 bytes each

  struct Completion {
    std::uint64_t task;
    Time reported_at;
    std::uint32_t node;
    bool completed;  // false: aborted
  };
  // The completion reported for a task; kUnknown: none.
  enum class Outcome { kUnknown, kCompleted, kAborted };

  // Adds a reported completion. Expired entries are dropped, and the oldest ones if there are kMaxEntries.
  void Add(std::uint32_t node, std::uint64_t task, bool completed, Time now);
  // Removes and returns the completion that the node reported for the task.
  Outcome Claim(std::uint32_t node, std::uint64_t task, Time now);
  std::size_t size() const { return completions_.size(); }
  // Oldest first.
  const std::deque<Completion>& completions() const { return completions_; }

 private:
  std::deque<Completion> completions_;
};

}  // namespace cluster_manager
