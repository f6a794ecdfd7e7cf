// The clock of the accounts. It never runs backwards, except where a large step back is confirmed.
//
// While the system clock is behind the accounting time by at most kMaxJump, the accounting time stands still.
// A step of more than kMaxJump in either direction is adopted only once the system clock has stayed there for
// kConfirmationTime; until then the accounting time continues (after a jump ahead) or stands still (after a
// step back) from where it was. So a clock that is wrong for a moment does not begin another month, and a
// clock that was a year ahead is not waited for. The cost: a process that was suspended for hours charges one
// more minute to the old month.
#pragma once

#include "spending/tariff.h"

namespace cluster_manager::spending {

// Turns readings of the system clock into accounting time. Times are Unix nanoseconds.
class AccountingClock {
 public:
  // Smaller steps back than kStepBackTolerance are not reported.
  static constexpr Time kStepBackTolerance = 5 * kSecond, kMaxJump = 3600 * kSecond,
                        kConfirmationTime = 60 * kSecond;
  enum class Event { kNone, kSteppedBack, kJumpedAhead, kJumpConfirmed, kStepBackConfirmed };
  // Takes a reading of the system clock. Returns the accounting time, and in `*event` what the clock did.
  Time Advance(Time now, Event* event);
  Time now() const { return time_; }
  bool jump_unconfirmed() const { return jumped_to_ != 0; }
  // Continues from the accounting time before a restart. The first reading is adopted, however much later,
  // unless it is earlier than that.
  void Restore(Time at) { time_ = at, last_reading_ = 0; }

 private:
  Time time_ = 0;             // the accounting time
  Time last_reading_ = 0;     // the last reading of the system clock; 0: none yet
  Time jumped_to_ = 0;        // the first reading after a jump ahead that is not confirmed yet; 0: none
  Time stepped_back_to_ = 0;  // the first reading after a large step back that is not confirmed yet; 0: none
  Time time_at_jump_ = 0;     // the accounting time at the jump ahead
};

}  // namespace cluster_manager::spending
