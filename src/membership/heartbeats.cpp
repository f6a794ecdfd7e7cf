// The heartbeats that members exchange, and what a member learns from them.
#include <algorithm>
#include <cmath>

#include "membership/membership.h"

namespace cluster_manager::membership {

std::vector<Heartbeat> Membership::Tick(Time now) {
  std::vector<Heartbeat> heartbeats;
  if (leaving_) return heartbeats;
  for (auto& [member, record] : records_) UpdateState(member, &record, now);
  if (now - last_heartbeat_at_ < parameters_.heartbeat_interval || records_.empty()) return heartbeats;
  last_heartbeat_at_ = now;
  ++sequence_;
  // Round robin, so that each member gets one heartbeat per pair interval, even if it left: it may be back.
  auto it = records_.upper_bound(last_receiver_);
  const std::size_t count = std::min(records_.size(), static_cast<std::size_t>(parameters_.fanout));
  for (std::size_t i = 0; i < count; ++i) {
    if (it == records_.end()) it = records_.begin();
    heartbeats.push_back(BuildHeartbeat(it->first, now));
    last_receiver_ = it->first;
    ++it;
  }
  counters_.sent += heartbeats.size();
  return heartbeats;
}

std::vector<Heartbeat> Membership::Leave(Time now) {
  leaving_ = true;
  ++sequence_;
  std::vector<Heartbeat> heartbeats;
  for (const auto& [member, record] : records_) heartbeats.push_back(BuildHeartbeat(member, now));
  counters_.sent += heartbeats.size();
  return heartbeats;
}

Heartbeat Membership::BuildHeartbeat(MemberId to, Time now) const {
  Heartbeat heartbeat;
  heartbeat.from = self_;
  heartbeat.to = to;
  heartbeat.incarnation = incarnation_;
  heartbeat.sequence = sequence_;
  heartbeat.sent_at = now;
  heartbeat.leaving = leaving_;
  const MemberRecord& receiver = records_.at(to);
  heartbeat.echo_sent_at = receiver.echo_sent_at;
  heartbeat.echo_received_at = receiver.echo_received_at;
  for (const auto& [member, record] : records_) {
    const auto hears = record.hears.find(to);
    // Outdated reports are not relayed as if they were current.
    const bool current = now - record.last_sent_at <= SuspicionTimeout(record);
    heartbeat.views.push_back({member, record.incarnation, record.sequence, now - record.last_sent_at,
                               record.state, IsHeard(record, now),
                               current && hears != record.hears.end() && hears->second});
  }
  return heartbeat;
}

// `sent_at`: when the heartbeat with the number `sequence` was sent, by this member's clock, as far as is
// known.
void Membership::RecordLiveness(MemberId member, Incarnation incarnation, std::uint64_t sequence,
                                Time sent_at, Time now) {
  MemberRecord& record = records_.at(member);
  if (incarnation < record.incarnation) return;
  if (incarnation > record.incarnation) {
    const bool restarted = incarnation.number > record.incarnation.number;
    if (record.state == State::kDead && !restarted) ++counters_.false_deaths;
    if (restarted) {
      // Another process: what was recorded about the previous one, such as whom it hears and the intervals of
      // its heartbeats, does not apply to it.
      const State state = record.state;
      const Time state_since = record.state_since;
      record = MemberRecord{};
      record.state = state;
      record.state_since = state_since;
    }
    record.incarnation = incarnation;
    record.sequence = sequence;
    record.last_sent_at = std::max(record.last_sent_at, sent_at);
    const std::string reason = restarted ? "restarted with incarnation " + std::to_string(incarnation.number)
                                         : "refuted by the member itself";
    if (record.state != State::kUp && record.state != State::kSlow)
      SetState(member, &record, State::kUp, now, reason);
    return;
  }
  if (sequence <= record.sequence) return;
  record.sequence = sequence;
  record.last_sent_at = std::max(record.last_sent_at, sent_at);
  if (record.state == State::kDead) {
    ++counters_.false_deaths;
    SetState(member, &record, State::kUp, now, "a newer heartbeat of it is known");
  }
}

bool Membership::OnHeartbeat(const Heartbeat& heartbeat, Time now) {
  const auto it = records_.find(heartbeat.from);
  if (it == records_.end() || heartbeat.to != self_) {
    ++counters_.unknown_senders;
    return false;
  }
  MemberRecord& record = it->second;
  if (heartbeat.incarnation < record.incarnation ||
      (heartbeat.incarnation.number == record.incarnation.number &&
       heartbeat.sequence <= record.direct_sequence)) {
    ++counters_.stale;
    return false;
  }
  ++counters_.received;
  RecordLiveness(heartbeat.from, heartbeat.incarnation, heartbeat.sequence, now, now);
  RecordDirectHeartbeat(heartbeat, &record, now);
  ApplyViews(heartbeat, now);
  if (heartbeat.leaving) {
    SetState(heartbeat.from, &record, State::kLeft, now, "announced by the member");
  } else {
    UpdateState(heartbeat.from, &record, now);
  }
  return true;
}

void Membership::RecordDirectHeartbeat(const Heartbeat& heartbeat, MemberRecord* record, Time now) {
  constexpr double kSmoothingFactor = 0.1;
  if (record->heard_at > 0 && now > record->heard_at) {
    const double interval =
        std::min(static_cast<double>(now - record->heard_at), 10.0 * static_cast<double>(PairInterval()));
    if (record->interval_mean == 0) record->interval_mean = static_cast<double>(PairInterval());
    record->interval_deviation +=
        kSmoothingFactor * (std::abs(interval - record->interval_mean) - record->interval_deviation);
    record->interval_mean += kSmoothingFactor * (interval - record->interval_mean);
  }
  record->heard_at = now;
  record->last_sent_at = std::max(record->last_sent_at, now);
  record->direct_sequence = heartbeat.sequence;
  // The four times of a round trip: when this member's heartbeat was sent and received, and when the sender's
  // heartbeat was sent and received.
  if (heartbeat.echo_sent_at > 0) {
    const Time round_trip = (now - heartbeat.echo_sent_at) - (heartbeat.sent_at - heartbeat.echo_received_at);
    const Time offset =
        ((heartbeat.echo_received_at - heartbeat.echo_sent_at) + (heartbeat.sent_at - now)) / 2;
    if (round_trip >= 0) {
      record->clock_samples[record->clock_sample_count % record->clock_samples.size()] = {offset, round_trip};
      ++record->clock_sample_count;
      // The count is kept below twice the size of the ring buffer, so that the count never overflows.
      if (record->clock_sample_count == 2 * record->clock_samples.size())
        record->clock_sample_count = record->clock_samples.size();
    }
  }
  record->echo_sent_at = heartbeat.sent_at;
  record->echo_received_at = now;
}

void Membership::ApplyViews(const Heartbeat& heartbeat, Time now) {
  MemberRecord& sender = records_.at(heartbeat.from);
  bool hears_self = false;
  std::map<MemberId, bool> hears;
  for (const Heartbeat::MemberView& view : heartbeat.views) {
    if (view.member == self_) {
      // Whether the sender hears an earlier incarnation of this member does not matter.
      hears_self = view.heard_by_sender && view.incarnation.number == incarnation_.number;
      const bool suspects_self = view.state == State::kSuspected || view.state == State::kDead;
      if (suspects_self && view.incarnation >= incarnation_ && !leaving_) {
        ++incarnation_.refutations;
        ++counters_.refutations;
      }
      hears[self_] = hears_self;
      continue;
    }
    const auto it = records_.find(view.member);
    if (it == records_.end()) continue;
    hears[view.member] = view.heard_by_sender;
    MemberRecord& record = it->second;
    const Time sent_at = now - std::max<Time>(0, view.age);
    if (view.state != State::kUnknown)
      RecordLiveness(view.member, view.incarnation, view.sequence, sent_at, now);
    if (view.incarnation == record.incarnation) {
      // The sender knows that the member announced that it leaves; this member may not have received that.
      if (view.state == State::kLeft && record.state != State::kLeft && view.sequence >= record.sequence)
        SetState(view.member, &record, State::kLeft, now,
                 "announced to member " + std::to_string(heartbeat.from));
      const bool suspects = view.state == State::kSuspected || view.state == State::kDead;
      if (suspects && view.sequence <= record.sequence) record.suspected_by[heartbeat.from] = now;
      // The sender relays that the member of the view hears this member.
      if (view.hears_receiver && sent_at > record.hears_self_at) {
        record.hears_self = true;
        record.hears_self_at = sent_at;
      }
    }
  }
  sender.hears = std::move(hears);
  sender.hears_self = hears_self;
  sender.hears_self_at = now;
}

}  // namespace cluster_manager::membership
