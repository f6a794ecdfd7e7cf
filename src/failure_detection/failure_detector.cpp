#include "failure_detection/failure_detector.h"

#include <algorithm>

namespace cluster_manager::failure_detection {

void FailureDetector::SetListedState(ListedState state, Time now) {
  if (state == listed_state_) return;
  listed_state_ = state;
  listed_state_since_ = now;
  // Silence before the change is no evidence for the new state: only probes sent since then count.
  first_unanswered_ = 0;
  last_unanswered_ = 0;
}

void FailureDetector::RecordTraffic(Time now) {
  last_traffic_ = std::max(last_traffic_, now);
  refused_before_traffic_ = false;
  first_unanswered_ = 0;
  last_unanswered_ = 0;
}

void FailureDetector::RecordProbe(Time now) {
  last_probe_ = std::max(last_probe_, now);
  if (first_probe_or_refusal_ == 0) first_probe_or_refusal_ = now;
}

bool FailureDetector::RecordRefusedDial(Time dialed_at) {
  if (last_traffic_ > 0) return true;
  refused_before_traffic_ = true;
  if (first_probe_or_refusal_ == 0) first_probe_or_refusal_ = dialed_at;
  RecordUnanswered(dialed_at);
  return false;
}

void FailureDetector::RecordUnanswered(Time sent_at) {
  const bool traffic_since = sent_at <= last_traffic_;
  const bool state_changed_since = sent_at < listed_state_since_;
  if (traffic_since || state_changed_since) return;
  if (first_unanswered_ == 0) first_unanswered_ = sent_at;
  first_unanswered_ = std::min(first_unanswered_, sent_at);
  last_unanswered_ = std::max(last_unanswered_, sent_at);
}

bool FailureDetector::ShouldProbe(Time now) const {
  return is_leaving() && now - last_traffic_ >= kProbeAfterSilence && now - last_probe_ >= kProbeInterval;
}

bool FailureDetector::IsPresumedStopped(Time now) const {
  const Time silent_since = last_traffic_ > 0 ? last_traffic_ : first_probe_or_refusal_;
  return is_leaving() && now - silent_since >= kPresumedStoppedAfter &&
         last_unanswered_ - first_unanswered_ >= kMinUnansweredSpan;
}

Time FailureDetector::GracePeriodEnd(Time now) const {
  return std::min(now, last_traffic_) + kRemovalGracePeriod;
}

}  // namespace cluster_manager::failure_detection
