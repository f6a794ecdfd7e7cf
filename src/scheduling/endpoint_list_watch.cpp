#include "scheduling/endpoint_list_watch.h"

#include <algorithm>
#include <utility>

#include "scheduling/parameters.h"

namespace scheduling::internal {

Time EndpointListWatch::Patience() const {
  const Time limit = context_.settings.subscription_timeout;
  return limit > 0 ? std::min(kMaxListSilence, limit / 2) : kMaxListSilence;
}

bool EndpointListWatch::IsDue(Time patience) const {
  if (!subscribed_ && !requested_ && context_.now >= not_before_) return true;
  return context_.now - std::max(updated_at_, requested_at_) > patience;
}

void EndpointListWatch::SubscribeIfDue() {
  if (!context_.settings.discovery_by_subscription || !IsDue(Patience())) return;
  requested_ = true;
  requested_at_ = context_.now;
  context_.actions.emplace_back(WatchEndpointList{true});
}

void EndpointListWatch::RecordFailure() {
  const double jitter = context_.Draw();
  const bool first = backoff_ == kInitialBackoff;
  subscribed_ = false;
  requested_ = false;
  not_before_ = context_.now + static_cast<Time>(static_cast<double>(backoff_) * (0.5 + jitter));
  backoff_ = std::min(2 * backoff_, kMaxBackoff);
  if (first) context_.Log("the node list is out of reach, asking again");
}

void EndpointListWatch::RecordUpdate(bool live) {
  updated_at_ = context_.now;
  if (!live) return;
  subscribed_ |= std::exchange(requested_, false);
  backoff_ = kInitialBackoff;
}

Time EndpointListWatch::NextDue() const {
  if (!context_.settings.discovery_by_subscription) return kNever;
  const Time renewal = requested_at_ + Patience() + kMs;
  return std::min(!subscribed_ && !requested_ ? not_before_ : kNever,
                  renewal > context_.now ? renewal : kNever);
}

}  // namespace scheduling::internal
