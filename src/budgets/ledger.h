// The ledger of shared budgets: a deterministic state machine that applies the commands which the members
// have agreed on, in their order. Members that apply the same commands have the same ledger. Each member
// reads its own update from its copy; a copy that lags behind yields an older update, which is safe.
//
// Invariant, at each moment of true time and with clocks that differ from it by at most `max_clock_skew`: the
// guaranteed shares and the leases that members may use sum to at most the limit; what is drawn and spent of
// an amount is at most the limit. It holds because
// - a holder uses a lease until `expires_at - max_clock_skew` by its clock, and the ledger leases it again
//   from `expires_at + max_clock_skew` by its own, and only after `max_hold_time` where units acquired with
//   the lease may still be occupied;
// - a lease that is reduced counts in full until its holder has acknowledged the epoch or the old lease has
//   expired;
// - a new incarnation of a member inherits nothing: the leases of the old one expire, and what it drew stays
//   drawn until it is settled;
// - guaranteed shares that shrink are confirmed, or their member is fenced, before any guaranteed share grows
//   and before a reduced limit takes effect.
// Commands may be lost, duplicated and late: entries carry epochs, and the totals of amounts only grow.
//
// Bounds: at most `max_keys` keys in all; other keys have their guaranteed shares only. A key without leases
// and demand is removed after two lease durations, a key of an amount when it is retired. Orphaned leases
// expire. The account of a dead member is closed by its settlement. Each bound that is reached has a counter.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "budgets/budget_file.h"

namespace cluster_manager::budgets {

// One budget: the index of its rule, and the name of the node, tenant, team/month etc. that it applies to.
struct Key {
  int rule = 0;
  std::string scope;
  auto operator<=>(const Key&) const = default;
};

// What a member reports about a rate or a concurrency budget.
struct DemandReport {
  Key key;
  Micro observed = 0, forecast = 0;
  std::uint64_t epoch = 0;  // the newest that the member has seen; 0: none
  // Beyond the guaranteed share: the valid lease, or what the member still holds where that is more.
  Micro leased_in_use = 0;
};

// What a member reports about an amount: totals of its incarnation since its start, which only grow.
struct AmountReport {
  Key key;
  Micro requested = 0;  // total that it asks to have drawn
  Micro spent = 0;      // consumed for good
  Micro returned = 0;   // given back to the pool
};

// An entry of the replicated log that the ledger applies. Each kind uses only some of the fields.
struct Command {
  // Stored by number: the order stays.
  enum class Kind {
    kReport,         // a member's demands, acknowledgements and amounts; renews its leases
    kRenew,          // the same without demands
    kReturnLeases,   // reduces leases to `leased_in_use`; also ends orphaned leases of an older incarnation
    kDraw,           // asks for more of amounts; like kSpend and kReturnAmount it carries all totals
    kSpend,          // reports what was consumed of amounts
    kReturnAmount,   // returns unused parts of amounts
    kSettlement,     // another member states the total `spent` that a gone incarnation consumed of `key`
    kGrant,          // divides the budgets again; members in `excluded` get and renew nothing
    kExpire,         // ends what has expired, without granting anything
    kChangeMembers,  // to `members`
    kChangeLimit,    // of `key.rule` to `limit`
    kFence,          // operators' assurance: `member` is off, with no guaranteed share until its next update
    kRetireKey,      // the month of `key` is over and settled
  };
  Kind kind = Kind::kExpire;
  MemberId member = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t shares_version = 0;  // of the guaranteed shares that the member has stored and applies
  std::vector<DemandReport> demands;
  std::vector<AmountReport> amounts;
  std::vector<MemberId> excluded;  // dead, or with a clock out of sync
  std::vector<Member> members;
  Key key;
  Micro limit = 0, spent = 0;
};

nlohmann::json ToJson(const Command& command);
// Throws nlohmann::json::exception, json_files::StoredDataError.
Command CommandFromJson(const nlohmann::json& json);

// What the ledger sends to one member. Duplicated and reordered updates do no harm.
struct LedgerUpdate {
  struct Lease {
    Key key;
    std::uint64_t epoch = 0;
    Micro amount = 0;
    Time expires_at = 0;
  };
  struct Account {
    Key key;
    std::uint64_t epoch = 0;
    Micro drawn = 0, returned = 0;
    Time expires_at = 0;
  };
  MemberId member = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t shares_version = 0;
  std::vector<Micro> guaranteed_shares;  // by rule
  Time guaranteed_until = 0;             // 0: unlimited
  std::vector<Lease> leases;
  std::vector<Account> accounts;
};

// Not thread-safe. It reads no clock: its time is that of the commands.
class Ledger {
 public:
  // Starts with the document's members and guaranteed shares, and no leases.
  explicit Ledger(const BudgetFile& file);
  // Restores a snapshot. Throws nlohmann::json::exception, json_files::StoredDataError.
  explicit Ledger(const nlohmann::json& snapshot);
  // The complete state, as the constructor restores it.
  nlohmann::json Snapshot() const;

  // kStale: of an older incarnation, applied before, or about something that is gone. kRejected: `reason`
  // says why.
  enum class Result { kApplied, kStale, kRejected };
  // `stamp` is the leader's clock at the time of the command; the ledger's time never decreases.
  Result Apply(const Command& command, Time stamp, std::string* reason = nullptr);

  // The guaranteed shares, leases and accounts of the member's newest incarnation.
  LedgerUpdate UpdateFor(MemberId member) const;

  Time time() const { return time_; }  // the greatest stamp
  const BudgetFile& file() const { return file_; }
  // A change of members or of a limit has begun and is not in force yet.
  bool change_pending() const { return pending_file_.has_value(); }
  // The members whose confirmation the pending change still waits for.
  std::vector<MemberId> UnconfirmedMembers() const;

  // How a budget is used up. `pending_return`: reduced or orphaned leases that have not ended yet.
  struct Usage {
    Micro limit = 0, guaranteed = 0, leased = 0, pending_return = 0;
    Micro drawn = 0, spent = 0;
    Micro available() const { return limit - guaranteed - leased - pending_return - drawn - spent; }
  };
  Usage UsageOf(const Key& key) const;

  struct Counters {
    std::uint64_t commands = 0, stale = 0, rejected = 0, keys_full = 0, grants = 0, renewals = 0,
                  reductions = 0, expired = 0, orphaned = 0, returns = 0, changes = 0, fenced = 0,
                  unknown_budgets = 0;
  };
  const Counters& counters() const { return counters_; }

  // The state by key and member; public for the serialization of snapshots.
  struct Lease {
    std::uint64_t epoch = 0;
    Micro amount = 0;
    Time expires_at = 0;
    // What the holder may still use beyond `amount`, as it has not acknowledged a reduction, and until when.
    Micro unacknowledged = 0;
    Time unacknowledged_expires_at = 0;
    Micro observed = 0, forecast = 0;
    Time reported_at = 0;
  };
  // A lease of an earlier incarnation that has not expired.
  struct OrphanedLease {
    MemberId member = 0;
    std::uint64_t incarnation = 0, epoch = 0;
    Micro amount = 0;
    Time expires_at = 0;
  };
  // What one incarnation has drawn of an amount: totals.
  struct Account {
    std::uint64_t epoch = 0;
    Micro drawn = 0, spent = 0, returned = 0;
    Time expires_at = 0;
  };
  struct Entry {
    std::map<MemberId, Lease> leases;
    std::vector<OrphanedLease> orphaned_leases;
    std::map<std::pair<MemberId, std::uint64_t>, Account> accounts;  // by member and incarnation
    Micro closed_spent = 0;                                          // of accounts that are closed
    Time divided_at = 0, last_demand_at = 0;
  };
  struct MemberRecord {
    std::uint64_t incarnation = 0, confirmed_version = 0;
    Time reported_at = 0, guaranteed_until = 0;
    std::vector<Micro> guaranteed_shares;  // the most that the member may be using, by rule
    bool fenced = false;
  };

 private:
  Result Reject(std::string* reason, const std::string& text);
  Result ApplyReport(const Command& command, std::string* reason);
  void Acknowledge(const DemandReport& demand, Lease* lease);
  Result ApplyLeaseReturn(const Command& command);
  void ApplyAmounts(const Command& command);
  Result ApplySettlement(const Command& command, std::string* reason);
  Result BeginChange(const Command& command, std::string* reason);
  void StartIncarnation(MemberId member, std::uint64_t incarnation);
  Entry* FindOrCreateEntry(const Key& key);
  void ExpireLeases();
  void Grant(const std::vector<MemberId>& excluded);
  void GrantKey(const Key& key, Entry* entry, const std::vector<MemberId>& excluded);
  // Moves a pending change on where the confirmations and expiries that it waits for have happened.
  void AdvanceChange();
  Micro EffectiveLimit(int rule) const;   // the smaller of the old and the new limit during a change
  Micro GuaranteedTotal(int rule) const;  // each member's larger one of the old and the new share
  // When what expires at `expires_at` may be leased again.
  Time ReusableAt(const Rule& rule, Time expires_at) const {
    return expires_at + file_.max_clock_skew + rule.max_hold_time;
  }

  BudgetFile file_;
  std::optional<BudgetFile> pending_file_;
  // Of the guaranteed shares: a change increases it once when shares shrink and once when they grow.
  std::uint64_t shares_version_ = 1;
  std::uint64_t epoch_ = 0;
  Time time_ = 0;
  std::map<MemberId, MemberRecord> member_records_;
  std::map<Key, Entry> entries_;
  std::vector<Key> retired_keys_;  // the latest, so that a late command cannot open a month again
  Counters counters_;
};

}  // namespace cluster_manager::budgets
