// The states of members and links. The exchange of heartbeats is in heartbeats.cpp.
#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cluster_manager::membership {

const char* StateName(State state) {
  switch (state) {
    case State::kUnknown:
      return "unknown";
    case State::kUp:
      return "up";
    case State::kSlow:
      return "slow";
    case State::kSuspected:
      return "suspected";
    case State::kDead:
      return "dead";
    case State::kLeft:
      return "left";
  }
  return "";
}

Membership::Membership(const Parameters& parameters, MemberId self, std::uint64_t incarnation,
                       std::vector<MemberId> configured, Time now)
    : parameters_(parameters),
      self_(self),
      incarnation_{incarnation, 0},
      started_at_(now),
      last_heartbeat_at_(now - parameters.heartbeat_interval) {
  Configure(std::move(configured), now);
}

void Membership::Configure(std::vector<MemberId> configured, Time now) {
  std::erase(configured, self_);
  std::erase_if(records_, [&](const auto& each) {
    if (std::ranges::find(configured, each.first) != configured.end()) return false;
    AddLogLine("member " + std::to_string(each.first) + " is no longer configured");
    return true;
  });
  for (const MemberId member : configured) {
    const auto [it, inserted] = records_.try_emplace(member);
    if (inserted) it->second.state_since = it->second.last_sent_at = now;
  }
  for (auto& [member, record] : records_) {
    std::erase_if(record.hears,
                  [&](const auto& each) { return each.first != self_ && !records_.contains(each.first); });
    std::erase_if(record.suspected_by, [&](const auto& each) { return !records_.contains(each.first); });
  }
}

Time Membership::PairInterval() const {
  const Time others = std::max<Time>(1, static_cast<Time>(records_.size()));
  return parameters_.heartbeat_interval * ((others + parameters_.fanout - 1) / parameters_.fanout);
}

// A simple accrual failure detector: longer where heartbeats arrive irregularly, and half as long again for
// each recent false suspicion.
Time Membership::SuspicionTimeout(const MemberRecord& record) const {
  const Time base = parameters_.missed_heartbeats * PairInterval();
  const Time observed = static_cast<Time>(record.interval_mean + 4 * record.interval_deviation);
  Time timeout = std::max(base, observed);
  for (int i = 0; i < record.false_suspicions; ++i) timeout += timeout / 2;
  return std::min(timeout, 3 * base);
}

void Membership::AddLogLine(const std::string& line) {
  constexpr std::size_t kMaxLogLines = 256;
  if (log_lines_.size() < kMaxLogLines) {
    log_lines_.push_back(line);
  } else {
    ++counters_.log_lines_dropped;
  }
}

std::vector<std::string> Membership::DrainLogLines() { return std::exchange(log_lines_, {}); }

void Membership::SetState(MemberId member, MemberRecord* record, State state, Time now,
                          const std::string& reason) {
  if (record->state == state) return;
  AddLogLine("member " + std::to_string(member) + " is " + StateName(state) + ", was " +
             StateName(record->state) + ": " + reason);
  if (state == State::kSuspected) {
    ++counters_.suspicions;
    record->suspected_by.clear();
  }
  const bool alive = state == State::kUp || state == State::kSlow;
  if (record->state == State::kSuspected && alive) {
    ++counters_.false_suspicions;
    record->false_suspicions = std::min(record->false_suspicions + 1, 3);
    record->false_suspicion_at = now;
  }
  if (state == State::kDead) ++counters_.deaths;
  record->state = state;
  record->state_since = now;
}

void Membership::UpdateState(MemberId member, MemberRecord* record, Time now) {
  if (record->state == State::kLeft || record->state == State::kUnknown) return;
  constexpr Time kFalseSuspicionLifetime = 60'000'000'000;
  if (record->false_suspicions > 0 && now - record->false_suspicion_at > kFalseSuspicionLifetime) {
    --record->false_suspicions;
    record->false_suspicion_at = now;
  }
  const Time timeout = SuspicionTimeout(*record);
  const Time silence = now - record->last_sent_at;
  if (silence <= timeout) {
    Time round_trip = INT64_MAX;
    for (std::size_t i = 0; i < std::min(record->clock_sample_count, record->clock_samples.size()); ++i)
      round_trip = std::min(round_trip, record->clock_samples[i].round_trip);
    const bool late = record->interval_mean > 2.0 * static_cast<double>(PairInterval());
    const bool slow_link = round_trip != INT64_MAX && round_trip > parameters_.slow_round_trip;
    const std::string reason =
        slow_link ? "shortest recent round trip " + std::to_string(round_trip / 1'000'000) + " ms"
        : late    ? "heartbeats arrive late"
                  : "heartbeats arrive in time";
    SetState(member, record, slow_link || late ? State::kSlow : State::kUp, now, reason);
    return;
  }
  if (record->state == State::kUp || record->state == State::kSlow) {
    SetState(member, record, State::kSuspected, now,
             "no direct or relayed heartbeat for " + std::to_string(silence / 1'000'000) + " ms");
    return;
  }
  if (record->state != State::kSuspected || now - record->state_since < parameters_.dead_after) return;
  // Dead only where the other members that are heard have reported since the suspicion that they do not hear
  // it either: all of them, or, after two more pair intervals, most of them. A member that hears no other
  // declares none dead, as the fault may be its own.
  std::size_t heard = 0;
  std::size_t agreeing = 0;
  for (const auto& [other, other_record] : records_) {
    if (other == member || !IsHeard(other_record, now)) continue;
    ++heard;
    const auto it = record->suspected_by.find(other);
    agreeing += it != record->suspected_by.end() && it->second >= record->state_since;
  }
  if (heard == 0) return;
  const bool late = now - record->state_since > parameters_.dead_after + 2 * PairInterval();
  if (agreeing == heard || (late && 2 * agreeing > heard))
    SetState(member, record, State::kDead, now,
             std::to_string(agreeing) + " of " + std::to_string(heard) + " heard members suspect it too");
}

State Membership::StateOf(MemberId member) const {
  if (member == self_) return leaving_ ? State::kLeft : State::kUp;
  const auto it = records_.find(member);
  return it == records_.end() ? State::kUnknown : it->second.state;
}

Membership::Link Membership::LinkTo(MemberId member, Time now) const {
  const auto it = records_.find(member);
  if (it == records_.end()) return Link::kNone;
  const MemberRecord& record = it->second;
  const bool inbound = IsHeard(record, now);
  // The member's report that it hears this one arrives directly or through others, and is ignored when
  // outdated.
  const bool outbound =
      record.hears_self && now - record.hears_self_at <= SuspicionTimeout(record) + 2 * PairInterval();
  return inbound ? outbound ? Link::kBoth : Link::kInbound : outbound ? Link::kOutbound : Link::kNone;
}

bool Membership::HasQuorum(Time now) const {
  std::size_t connected = 1;
  for (const auto& [member, record] : records_)
    connected += record.state != State::kLeft && LinkTo(member, now) == Link::kBoth;
  return 2 * connected > records_.size() + 1;
}

bool Membership::IsIsolated(Time now) const {
  return !records_.empty() &&
         std::ranges::none_of(records_, [&](const auto& each) { return IsHeard(each.second, now); });
}

// Compares with the median of all clocks whose offset is known, where this member's own has the offset 0.
// While more than half of the clocks are right, the median is a right one or lies between two right ones.
bool Membership::ClockOutOfSync(MemberId member) const {
  struct Clock {
    Time offset, uncertainty;
  };
  std::vector<Time> offsets{0};
  Clock clock{0, 0};
  bool known = member == self_;
  for (const auto& [id, record] : records_) {
    const std::size_t count = std::min(record.clock_sample_count, record.clock_samples.size());
    if (count == 0 || record.state == State::kDead || record.state == State::kLeft) continue;
    const auto best = std::ranges::min_element(
        record.clock_samples.begin(), record.clock_samples.begin() + static_cast<std::ptrdiff_t>(count), {},
        &MemberRecord::ClockSample::round_trip);
    offsets.push_back(best->offset);
    if (id == member) clock = {best->offset, best->round_trip / 2}, known = true;
  }
  if (!known || offsets.size() < 3) {
    // With two clocks it is unknown which one is right: both are out of sync where they cannot both be within
    // the skew.
    return offsets.size() == 2 && std::abs(offsets[1]) - clock.uncertainty > 2 * parameters_.max_clock_skew &&
           known;
  }
  std::ranges::sort(offsets);
  const std::size_t half = offsets.size() / 2;
  const Time median =
      offsets.size() % 2 == 1 ? offsets[half] : offsets[half - 1] + (offsets[half] - offsets[half - 1]) / 2;
  return std::abs(clock.offset - median) - clock.uncertainty > parameters_.max_clock_skew;
}

std::vector<MemberId> Membership::ExcludedMembers() const {
  std::vector<MemberId> excluded;
  for (const auto& [member, record] : records_) {
    if (record.state == State::kDead || record.state == State::kLeft || ClockOutOfSync(member))
      excluded.push_back(member);
  }
  if (ClockOutOfSync(self_)) excluded.insert(std::ranges::lower_bound(excluded, self_), self_);
  return excluded;
}

}  // namespace cluster_manager::membership
