// A hashed timing wheel that holds every deadline of the process in ticks of 1 ms (Varghese and Lauck,
// "Hashed and Hierarchical Timing Wheels", 1987, scheme 6). The deadlines of a slot are a doubly linked list
// through the table of deadlines, and a two-level bitmap marks the slots in use, so that scheduling,
// cancelling and finding the next deadline allocate nothing and take constant time however many deadlines
// there are.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "containers/callback.h"
#include "containers/slot_table.h"

namespace cluster_manager {

using Time = std::int64_t;  // nanoseconds of the Unix clock
constexpr Time kMs = 1'000'000;
constexpr Time kSecond = 1000 * kMs;

class TimerWheel {
 public:
  static constexpr Time kTick = kMs;

  explicit TimerWheel(Time now);

  // Runs `callback` in the first Advance() at or after `at`, never within this call. Deadlines of one tick
  // run in the order in which they were scheduled.
  Handle Schedule(Time at, Callback callback);
  // Ignores a handle that is 0, or whose deadline has run or was cancelled.
  void Cancel(Handle handle);
  // Runs the deadlines up to `now`. They may schedule and cancel others.
  void Advance(Time now);
  // When Advance() is needed next; -1 where no deadline is scheduled. May be early for deadlines that are
  // more than one revolution away.
  Time NextDeadline() const;
  std::size_t size() const { return deadlines_.size(); }

 private:
  // 16 s a revolution; later deadlines stay in their slot for another revolution.
  static constexpr std::size_t kSlots = 16384;
  static constexpr std::size_t kWords = kSlots / 64;

  struct Deadline {
    std::int64_t tick = 0;
    Handle previous = 0, next = 0;  // in the same slot
    Callback callback;
  };
  struct Slot {
    Handle first = 0, last = 0;
  };

  static std::size_t SlotOf(std::int64_t tick) { return static_cast<std::size_t>(tick) % kSlots; }
  void Unlink(const Deadline& deadline);
  void RunSlot(std::size_t slot);

  std::int64_t tick_;  // every tick up to this one has run
  SlotTable<Deadline> deadlines_;
  std::vector<Slot> slots_;
  std::array<std::uint64_t, kWords> used_slots_{};       // one bit for each slot that holds a deadline
  std::array<std::uint64_t, kWords / 64> used_words_{};  // one bit for each word of used_slots_ that is not 0
};

}  // namespace cluster_manager
