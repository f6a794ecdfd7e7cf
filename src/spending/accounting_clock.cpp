#include "spending/accounting_clock.h"

#include <algorithm>

namespace cluster_manager::spending {

Time AccountingClock::Advance(Time now, Event* event) {
  *event = Event::kNone;
  const Time before = last_reading_;
  last_reading_ = now;
  if (time_ == 0 || (before == 0 && now >= time_)) {  // the first reading, or the first after a restart
    jumped_to_ = 0;
    return time_ = now;
  }
  if (jumped_to_ != 0) {
    if (now < jumped_to_) {
      jumped_to_ = 0;  // the clock came back from the jump: this reading is handled like any other below
    } else if (now - jumped_to_ >= kConfirmationTime) {
      jumped_to_ = 0;
      *event = Event::kJumpConfirmed;
      return time_ = std::max(time_, now);
    } else {
      return time_ = std::max(time_, time_at_jump_ + (now - jumped_to_));
    }
  }
  if (now - time_ > kMaxJump) {
    jumped_to_ = now, time_at_jump_ = time_, stepped_back_to_ = 0;
    *event = Event::kJumpedAhead;
    return time_;
  }
  if (before != 0 && before - now > kStepBackTolerance) *event = Event::kSteppedBack;
  if (time_ - now <= kMaxJump) {
    stepped_back_to_ = 0;
  } else if (stepped_back_to_ == 0 || now < stepped_back_to_) {
    stepped_back_to_ = now;
  } else if (now - stepped_back_to_ >= kConfirmationTime) {
    stepped_back_to_ = 0;
    *event = Event::kStepBackConfirmed;
    return time_ = now;
  }
  return time_ = std::max(time_, now);
}

}  // namespace cluster_manager::spending
