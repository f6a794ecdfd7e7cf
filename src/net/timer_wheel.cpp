#include "net/timer_wheel.h"

#include <algorithm>
#include <bit>

namespace cluster_manager {

TimerWheel::TimerWheel(Time now) : tick_(now / kTick), slots_(kSlots) {}

Handle TimerWheel::Schedule(Time at, Callback callback) {
  const std::int64_t tick = std::max((at + kTick - 1) / kTick, tick_ + 1);
  const std::size_t slot = SlotOf(tick);
  const Handle last = slots_[slot].last;
  const Handle handle = deadlines_.Insert({tick, last, 0, callback});
  (last != 0 ? deadlines_.Get(last)->next : slots_[slot].first) = handle;
  slots_[slot].last = handle;
  used_slots_[slot / 64] |= std::uint64_t{1} << slot % 64;
  used_words_[slot / 4096] |= std::uint64_t{1} << slot / 64 % 64;
  return handle;
}

void TimerWheel::Cancel(Handle handle) {
  const Deadline* deadline = deadlines_.Get(handle);
  if (deadline == nullptr) return;
  Unlink(*deadline);
  deadlines_.Erase(handle);
}

void TimerWheel::Unlink(const Deadline& deadline) {
  const std::size_t slot = SlotOf(deadline.tick);
  (deadline.previous != 0 ? deadlines_.Get(deadline.previous)->next : slots_[slot].first) = deadline.next;
  (deadline.next != 0 ? deadlines_.Get(deadline.next)->previous : slots_[slot].last) = deadline.previous;
  if (slots_[slot].first != 0) return;
  used_slots_[slot / 64] &= ~(std::uint64_t{1} << slot % 64);
  if (used_slots_[slot / 64] == 0) used_words_[slot / 4096] &= ~(std::uint64_t{1} << slot / 64 % 64);
}

// Runs the deadlines of the slot that are due, in the order in which they were scheduled. They may schedule
// and cancel others, but nothing is scheduled for a tick that has passed.
void TimerWheel::RunSlot(std::size_t slot) {
  for (Handle handle = slots_[slot].first; handle != 0;) {
    const Deadline* deadline = deadlines_.Get(handle);
    if (deadline->tick > tick_) {  // of a later revolution
      handle = deadline->next;
      continue;
    }
    Callback callback = deadline->callback;
    Unlink(*deadline);
    deadlines_.Erase(handle);
    callback();
    handle = slots_[slot].first;  // the next deadline may have been cancelled
  }
}

void TimerWheel::Advance(Time now) {
  const std::int64_t target = now / kTick;
  if (target - tick_ > static_cast<std::int64_t>(kSlots)) {  // more than one revolution: every slot is due
    tick_ = target - static_cast<std::int64_t>(kSlots);
  }
  while (tick_ < target) {
    const Time next = NextDeadline();
    if (next < 0 || next / kTick > target) {
      tick_ = target;
      return;
    }
    tick_ = next / kTick;
    RunSlot(SlotOf(tick_));
  }
}

// Finds the first used slot after that of the current tick, wrapping around.
Time TimerWheel::NextDeadline() const {
  if (deadlines_.size() == 0) return -1;
  const std::size_t from = SlotOf(tick_ + 1);
  const auto at = [this](std::size_t slot) {
    return (tick_ + 1 + static_cast<std::int64_t>((slot + kSlots - SlotOf(tick_ + 1)) % kSlots)) * kTick;
  };
  if (const std::uint64_t rest = used_slots_[from / 64] >> from % 64; rest != 0) {
    return at(from + static_cast<std::size_t>(std::countr_zero(rest)));
  }
  for (std::size_t i = 1; i <= kWords; ++i) {
    const std::size_t word = (from / 64 + i) % kWords;
    if (used_words_[word / 64] == 0) {  // skips 64 empty words at once
      i += 63 - word % 64;
      continue;
    }
    if (used_slots_[word] == 0) continue;
    const std::uint64_t bits = used_slots_[word];
    // Back at the first word after a full search, only bits before `from` can be set.
    return at(word * 64 + static_cast<std::size_t>(std::countr_zero(bits)));
  }
  return -1;
}

}  // namespace cluster_manager
