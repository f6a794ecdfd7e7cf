// The subscription to the endpoint list: decides when to subscribe, and when to do so again after a failure
// or silence. Owns the state of the subscription. Called by Scheduler::Handle on every event.
#pragma once

#include "scheduling/context.h"

namespace scheduling::internal {

class EndpointListWatch {
 public:
  explicit EndpointListWatch(Context& context) : context_(context) {}

  // Subscribes if there is no subscription and the backoff is over, or if the list has been silent too long.
  void SubscribeIfDue();
  // Records that the subscription failed. The next one waits for the backoff, which doubles with each failure
  // and has jitter.
  void RecordFailure();
  // Records that the list was received. `live`: not from a cache.
  void RecordUpdate(bool live);
  // When SubscribeIfDue may next have to subscribe; kNever if not before another event.
  Time NextDue() const;

 private:
  bool IsDue(Time silence_timeout) const;
  // How long the list may be silent before the subscription is renewed.
  Time SilenceTimeout() const;

  static constexpr Time kInitialBackoff = 200 * kMs;
  static constexpr Time kMaxBackoff = 2 * kSecond;

  Context& context_;
  bool subscribed_ = false;
  bool requested_ = false;  // the latest subscription has not been answered yet
  Time requested_at_ = 0;
  Time not_before_ = 0;  // end of the backoff
  Time updated_at_ = 0;
  Time backoff_ = kInitialBackoff;
};

}  // namespace scheduling::internal
