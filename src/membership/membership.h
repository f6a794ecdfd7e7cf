// Which of the configured members are up, slow, suspected, dead or have left, in the view of one member. It
// is based on heartbeats that carry incarnations and what their sender knows of the other members. It decides
// nothing about budgets: the leader of the ledger excludes the members that are dead or whose clock is out of
// sync, and a member without a quorum reports that in its status.
//
// How long a state may be wrong. `interval` = heartbeat_interval * ceil((members - 1) / fanout) is the time
// between two heartbeats of a pair; `timeout` = missed_heartbeats * interval is the suspicion time-out. It is
// longer for a member whose heartbeats arrive irregularly, at most three times as long.
// - up, though the member is dead: until timeout + dead_after from its last heartbeat, received directly or
//   through another member; a relayed heartbeat counts with its age. Cost: its leases are not renewed
//   meanwhile, as only its own reports renew them.
// - dead, though it is up: only where neither this member nor the members that it hears have heard of it
//   for the time-out and `dead_after`. It ends with the member's next heartbeat, or with its refutation
//   through other members one interval later. Cost: its leases are not taken away, but none is renewed.
// - suspected, though it is up: as long as a heartbeat is late. Each false suspicion makes the member's
//   time-out half as long again, for at most three of them; each minute without one removes one of them.
// - slow, or not slow, wrongly: ten heartbeats, over which the mean of the intervals is taken.
// - left: only by the member's own message; ended only by a greater incarnation.
// - link broken in one direction: until the next heartbeat after `timeout` from either side; what other
//   members relay needs one interval more.
// - clock out of sync: reported when the offset from the median of the known clocks exceeds `max_clock_skew`
//   by more than half of the shortest of the last eight round trips. An offset within that margin is not
//   reported; a clock within the skew of true time may be reported where the median deviates to the other
//   side. Cost: no leases. With two known clocks both are reported where they differ by more than twice the
//   skew; without a round trip nothing is reported.
// - isolated (hears no member): the others stay suspected, as a fault of this member's links looks the same.
//
// Bounds: one record per configured member, with the members that it hears. At most `fanout` heartbeats are
// sent per heartbeat interval. At most 256 log lines are kept.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cluster_manager::membership {

using Time = std::int64_t;  // Unix nanoseconds
using MemberId = std::uint32_t;

struct Parameters {
  Time heartbeat_interval = 200'000'000;
  int fanout = 16;                     // heartbeats sent per heartbeat interval, at most
  int missed_heartbeats = 4;           // of a pair, in a row, before the sender is suspected
  Time dead_after = 400'000'000;       // from the suspicion, where no other member contradicts it
  Time max_clock_skew = 200'000'000;   // largest permitted difference of a clock from true time
  Time slow_round_trip = 500'000'000;  // longer round trips make a member slow
};

enum class State { kUnknown, kUp, kSlow, kSuspected, kDead, kLeft };
// The state as log lines show it.
const char* StateName(State state);

// `number` grows with each start of a member, `refutations` each time that it refutes being suspected or
// dead.
struct Incarnation {
  std::uint64_t number = 0, refutations = 0;
  auto operator<=>(const Incarnation&) const = default;  // NOLINT(modernize-use-nullptr): no pointer here
};

struct Heartbeat {
  // What the sender knows of another member.
  struct MemberView {
    MemberId member = 0;
    Incarnation incarnation;
    std::uint64_t sequence = 0;  // the newest heartbeat known, direct or relayed
    Time age = 0;                // since that was sent, as far as is known
    State state = State::kUnknown;
    bool heard_by_sender = false;  // directly and recently
    bool hears_receiver = false;   // by the member's own report; the receiver is the one of this heartbeat
  };
  MemberId from = 0, to = 0;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  Time sent_at = 0;  // by the sender's clock
  // The receiver's last heartbeat that the sender received: when it was sent, by the receiver's clock, and
  // when it arrived, by the sender's clock; 0: none.
  Time echo_sent_at = 0, echo_received_at = 0;
  bool leaving = false;
  std::vector<MemberView> views;
};

// The membership view of one member. Not thread-safe; all times are passed by the caller.
class Membership {
 public:
  Membership(const Parameters& parameters, MemberId self, std::uint64_t incarnation,
             std::vector<MemberId> configured, Time now);

  // Updates the states and returns the heartbeats that are due. Call it at least once per heartbeat interval.
  std::vector<Heartbeat> Tick(Time now);
  // Returns false for heartbeats that are stale, duplicate, for another member or of an unknown one.
  bool OnHeartbeat(const Heartbeat& heartbeat, Time now);
  // Returns the heartbeats that announce to all members that this one leaves. Tick returns none afterwards.
  std::vector<Heartbeat> Leave(Time now);
  // Replaces the configured members. Records of members that stay are kept.
  void Configure(std::vector<MemberId> configured, Time now);

  struct MemberRecord {
    State state = State::kUnknown;
    Time state_since = 0;
    Incarnation incarnation;
    std::uint64_t sequence = 0;  // the newest known, direct or relayed
    Time heard_at = 0;           // the last heartbeat arrived here, by this member's clock
    Time last_sent_at = 0;       // of the newest known heartbeat, by this member's clock and relayed ages
    double interval_mean = 0, interval_deviation = 0;  // nanoseconds between heartbeats that arrived here
    int false_suspicions = 0;                          // recent ones, at most 3
    Time false_suspicion_at = 0;
    bool hears_self = false;  // by its own report, direct or relayed
    Time hears_self_at = 0;
    std::map<MemberId, bool> hears;               // by its own report
    Time echo_sent_at = 0, echo_received_at = 0;  // to be echoed: its last heartbeat's times by both clocks
    std::uint64_t direct_sequence = 0;            // the newest that arrived here
    struct ClockSample {
      Time offset = 0, round_trip = 0;
    };
    std::array<ClockSample, 8> clock_samples{};
    std::size_t clock_sample_count = 0;
    // Members that do not hear it either, and when they last reported so.
    std::map<MemberId, Time> suspected_by;
  };
  // Throws std::out_of_range for a member that is not configured, and for this member itself.
  const MemberRecord& record(MemberId member) const { return records_.at(member); }
  // kUnknown for members that are not configured.
  State StateOf(MemberId member) const;
  Incarnation incarnation() const { return incarnation_; }

  // kOutbound: the member hears this one, this one does not hear it; kInbound: the reverse.
  enum class Link { kBoth, kOutbound, kInbound, kNone };
  Link LinkTo(MemberId member, Time now) const;
  // Whether this member has links in both directions with enough members to form a majority, itself included.
  bool HasQuorum(Time now) const;
  // Hears no other member.
  bool IsIsolated(Time now) const;

  bool ClockOutOfSync(MemberId member) const;  // of this member too
  // The members that are dead, have left, or have a clock out of sync: nothing is leased to them.
  std::vector<MemberId> ExcludedMembers() const;
  // What changed since the last call, a line each.
  std::vector<std::string> DrainLogLines();

  struct Counters {
    std::uint64_t sent = 0, received = 0, stale = 0, unknown_senders = 0, suspicions = 0,
                  false_suspicions = 0, deaths = 0, false_deaths = 0, refutations = 0, log_lines_dropped = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  Time PairInterval() const;
  Time SuspicionTimeout(const MemberRecord& record) const;
  bool IsHeard(const MemberRecord& record, Time now) const {
    return record.heard_at > 0 && now - record.heard_at <= SuspicionTimeout(record);
  }
  Heartbeat BuildHeartbeat(MemberId to, Time now) const;
  void RecordLiveness(MemberId member, Incarnation incarnation, std::uint64_t sequence, Time sent_at,
                      Time now);
  void RecordDirectHeartbeat(const Heartbeat& heartbeat, MemberRecord* record, Time now);
  void ApplyViews(const Heartbeat& heartbeat, Time now);
  void UpdateState(MemberId member, MemberRecord* record, Time now);
  void SetState(MemberId member, MemberRecord* record, State state, Time now, const std::string& reason);
  void AddLogLine(const std::string& line);

  Parameters parameters_;
  MemberId self_;
  Incarnation incarnation_;
  Time started_at_;
  std::map<MemberId, MemberRecord> records_;  // without this member
  std::uint64_t sequence_ = 0;
  Time last_heartbeat_at_ = 0;
  MemberId last_receiver_ = 0;
  bool leaving_ = false;
  std::vector<std::string> log_lines_;
  Counters counters_;
};

}  // namespace cluster_manager::membership
