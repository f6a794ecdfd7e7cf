// A member's share of the shared budgets: its guaranteed share, and what the ledger has leased to it. It is
// consulted when an action is carried out, not when the action was decided: TryAcquire() compares the expiry
// of the lease with the time that it is given, so a process that was stopped for longer than its lease uses
// nothing of the lease when it resumes.
//
// A concurrency unit is held from TryAcquire to Release. A rate fills a token bucket that holds one window's
// share and is cut when the share is; so of a limit of L per window all members together use at most
// L * (1 + T / window) in any time T. An amount is acquired from what is drawn, and then released or spent.
//
// One process at a time acts as a member: its number is tied to the address that it listens on. A start
// without the state of the previous process (SaveState) does not know which guaranteed shares that one
// confirmed, so it uses none until the ledger has sent an update, unless the caller states that the document
// on its disk is in force. After each start the bucket of a rate is empty, and the guaranteed share of a
// concurrency budget is usable after `max_hold_time`, as units acquired by the previous process may still be
// occupied.
//
// Bounds: at most `max_keys` keys. A key is removed when it was not requested for two lease durations, holds
// nothing and has no lease; the greatest epoch of the removed keys is kept. Called by the engine and by the
// code that exchanges messages with the ledger.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "budgets/ledger.h"
#include "containers/decaying_rate.h"

namespace cluster_manager::budgets {

// Not thread-safe; all times are passed by the caller.
class MemberShare {
 public:
  struct Start {
    MemberId member = 0;
    std::uint64_t incarnation = 0;
    bool document_in_force = false;  // no change of members or limits was ever confirmed after this document
    nlohmann::json saved_state;      // what SaveState returned; null: none
  };
  // Throws json_files::StoredDataError where the state is of another member or of a later start.
  MemberShare(const BudgetFile& file, const Start& start, Time now);

  // Returns false where the budget does not allow it now. Each call counts as demand, so call it once for
  // each action.
  bool TryAcquire(const Key& key, Micro amount, Time at);
  // Returns concurrency units, or the unused part of an amount that was acquired.
  void Release(const Key& key, Micro amount, Time at);
  void RecordSpending(const Key& key, Micro amount);          // of an amount, for good
  void RequestAmount(const Key& key, Micro amount, Time at);  // asks the ledger for this much in advance
  // What the member may use at this moment, whether it does or not: guaranteed share and valid lease; of an
  // amount, what is left of it.
  Micro Entitlement(const Key& key, Time now) const;
  // Units that are acquired and not released; of an amount, those that are not spent either.
  Micro Held(const Key& key) const;

  // Returns false where the update is for another member or incarnation, or contains nothing new.
  bool OnLedgerUpdate(const LedgerUpdate& update, Time at);
  // Whether this member is connected to a quorum and is not excluded, by its membership view. Changes the
  // status text only, not what the member may use.
  void SetQuorum(bool has_quorum, Time now);
  // The member's own clock differs by more than the permitted skew: the expiry of its leases is meaningless,
  // so it uses none.
  void SetClockOutOfSync(bool out_of_sync) { clock_out_of_sync_ = out_of_sync; }
  // One line for operators: guaranteed shares, valid leases, and what keeps the member from getting new ones.
  std::string StatusText(Time at) const;

  // The next report to the ledger, where one is due: at most one per `report_interval`.
  std::optional<Command> NextReport(Time at);
  // Returns all leases for a graceful shutdown; later leases are not used.
  Command ReturnAllLeases(Time at);

  // New guaranteed shares must be stored before NextReport may confirm them: call SaveState, then
  // OnStateSaved.
  bool has_unsaved_state() const { return version_ > saved_version_; }
  nlohmann::json SaveState() const;
  void OnStateSaved(std::uint64_t version) {
    saved_version_ = std::max(saved_version_, std::min(version, version_));
  }
  std::uint64_t version() const { return version_; }  // of the guaranteed shares

  struct Counters {
    std::uint64_t acquired = 0, denied = 0, stale_epochs = 0, expired = 0, keys_full = 0, reports = 0,
                  clock_steps_back = 0;
  };
  const Counters& counters() const { return counters_; }
  std::size_t keys() const { return keys_.size(); }

 private:
  struct Holding {
    std::uint64_t epoch = 0;
    Micro leased = 0;  // concurrency, rate
    Time expires_at = 0;
    Micro held = 0;    // concurrency; of an amount, what is acquired and not spent
    Micro bucket = 0;  // rate
    Time filled_at = 0;
    Micro drawn = 0, spent = 0, returned = 0, requested = 0;  // amount
    DecayingRate fast_rate{0, 1e9}, slow_rate{0, 5e9};
    Micro shortfall = 0, peak_demand = 0;  // concurrency: recently denied; recent maximum of held + denied
    Time sampled_at = 0, last_used_at = 0;
    Micro reported_demand = 0;
    std::uint64_t reported_epoch = 0;
    bool reported = false, dirty = false;
  };
  Holding* FindOrCreate(const Key& key, Time now);
  Time MonotonicTime(Time now);
  bool HasValidLease(const Holding& holding, Time now) const {
    return !clock_out_of_sync_ && now < holding.expires_at - file_.max_clock_skew;
  }
  Micro UsableGuaranteedShare(int rule, Time now) const;
  Micro ComputeEntitlement(const Key& key, const Holding* holding, Time now) const;
  void FillBucket(const Key& key, Holding* holding, Time now);
  void RecordDemand(const Key& key, Holding* holding, Micro amount, bool acquired, Time now);
  DemandReport BuildDemandReport(const Key& key, Holding* holding, Time now);
  void RemoveIdleKeys(Time now);

  const BudgetFile file_;
  const MemberId member_;
  const std::uint64_t incarnation_;
  const Time started_at_;
  std::uint64_t version_ = 0, saved_version_ = 0, confirmed_version_ = 0;  // of the guaranteed shares
  std::vector<Micro> guaranteed_shares_;                                   // by rule; empty: not known
  Time guaranteed_until_ = 0;
  std::map<Key, Holding> keys_;
  std::uint64_t max_removed_epoch_ = 0;
  Time latest_time_ = 0, reported_at_ = 0, updated_at_ = 0;
  bool has_quorum_ = true, leaving_ = false, clock_out_of_sync_ = false;
  Time quorum_lost_at_ = 0;
  Counters counters_;
};

}  // namespace cluster_manager::budgets
