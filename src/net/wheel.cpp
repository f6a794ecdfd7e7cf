#include "net/wheel.h"

#include <algorithm>

namespace willowrail {

Handle Wheel::Hang(Time at, std::function<void()> what) {
  const std::int64_t tick = std::max((at + kTick - 1) / kTick, tick_ + 1);
  const Handle handle = deadlines_.Insert({tick, std::move(what)});
  slots_[static_cast<std::size_t>(tick) % kSlots].push_back(handle);
  return handle;
}

void Wheel::Advance(Time now) {
  const std::int64_t target = now / kTick;
  if (target - tick_ > static_cast<std::int64_t>(kSlots)) {  // a whole turn slept through: every slot is due
    tick_ = target - static_cast<std::int64_t>(kSlots);
  }
  while (tick_ < target) {
    ++tick_;
    std::vector<Handle>& slot = slots_[static_cast<std::size_t>(tick_) % kSlots];
    if (slot.empty()) continue;
    std::vector<Handle> due;
    due.swap(slot);
    for (const Handle handle : due) {
      Deadline* deadline = deadlines_.Get(handle);
      if (deadline == nullptr) continue;  // taken down
      if (deadline->tick > tick_) {       // of a later turn
        slot.push_back(handle);
        continue;
      }
      const std::function<void()> what = std::move(deadline->what);
      deadlines_.Erase(handle);
      what();
    }
  }
}

Time Wheel::Next() const {
  if (deadlines_.size() == 0) return -1;
  for (std::size_t ahead = 1; ahead <= kSlots; ++ahead) {
    const std::int64_t tick = tick_ + static_cast<std::int64_t>(ahead);
    if (!slots_[static_cast<std::size_t>(tick) % kSlots].empty()) return tick * kTick;
  }
  return -1;
}

}  // namespace willowrail
