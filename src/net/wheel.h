// The timing wheel: every deadline of the program hangs here, ordered by coarse ticks.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

#include "net/slot_table.h"

namespace willowrail {

using Time = std::int64_t;  // nanoseconds of the Unix clock
constexpr Time kMs = 1'000'000;
constexpr Time kSecond = 1000 * kMs;

class Wheel {
 public:
  static constexpr Time kTick = kMs;

  explicit Wheel(Time now) : tick_(now / kTick) {}

  // Runs `what` in the first Advance at or after `at`, never inside this call. Deadlines of one tick run in
  // the order in which they were hung.
  Handle Hang(Time at, std::function<void()> what);
  // A handle that has run, was taken down or is 0 is passed over.
  void TakeDown(Handle handle) { deadlines_.Erase(handle); }
  void Advance(Time now);
  // When Advance is needed next; -1 where nothing hangs.
  Time Next() const;
  std::size_t size() const { return deadlines_.size(); }

 private:
  static constexpr std::size_t kSlots = 16384;  // 16 s a turn; what is further off stays for another turn
  struct Deadline {
    std::int64_t tick = 0;
    std::function<void()> what;
  };

  std::int64_t tick_;  // every tick up to this one has run
  SlotTable<Deadline> deadlines_;
  std::array<std::vector<Handle>, kSlots> slots_;
};

}  // namespace willowrail
