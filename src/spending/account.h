// The account of one team and one month at one member: the money drawn from the ledger's pool, and its usage.
//
// Each drawn amount has a level: if the pool has handed out x when it grants the amount a, then a occupies
// the levels x to x + a of the cap. A class uses only money below its limit (its share of the cap). All money
// at levels below a limit was outstanding when the last of it was drawn, so its sum never exceeds the limit.
// Therefore no class exceeds its limit and the remainder stays available to the other classes, whichever
// members draw concurrently, and the ledger does not need to know of classes.
//
// Limits divide the cap into bands: band i lies between limit i - 1 and limit i, the last one ends at the
// cap.
#pragma once

#include <cstdint>
#include <vector>

#include "spending/tariff.h"

namespace cluster_manager::spending {

// The state of the ledger's pool of one team and month, after the ledger applied a command.
struct LedgerPool {
  Money drawn = 0;      // by all members, less what was returned
  Money uncovered = 0;  // usage of running tasks at all members that the pool has no money for
  Money spent = 0;      // as last reported by all members
  Money cap = 0;        // as the ledger knows it; members and the ledger load a new plan at different times
};

// Tracks the drawn money by level and the usage by class. Classes are numbered as in Deployment::classes.
class Account {
 public:
  // `class_limits`: by class number, each at most `cap`.
  Account(Money cap, std::vector<Money> class_limits);

  // --- Usage ---
  // spent: the cost of past run time; committed: the estimated cost of the remaining run time; reserved: the
  // cost of admitted requests.
  struct Usage {
    Money spent = 0, committed = 0, reserved = 0;
    Money total() const { return spent + committed + reserved; }
  };
  void Charge(int class_index, const Usage& delta);  // amounts may be negative
  const Usage& usage() const { return usage_; }
  const std::vector<Money>& spent_by_class() const { return spent_by_class_; }
  // Drawn money that the class may still use; 0 while the pool is overcommitted, since money that becomes
  // free is then returned.
  Money Available(int class_index) const;
  bool pool_overcommitted() const {
    return pool_known_ && (pool_.drawn > EffectiveCap() || pool_.uncovered > 0);
  }
  // Negative if more than the cap is drawn.
  Money pool_remaining() const { return pool_known_ ? EffectiveCap() - pool_.drawn : cap_; }

  // --- Exchange with the ledger ---
  // Returns false and changes nothing unless the epoch is newer than the last one applied, so duplicated and
  // reordered grants have no effect.
  bool ApplyGrant(Money amount, std::uint64_t epoch, const LedgerPool& pool);
  Money drawn() const { return drawn_; }
  // Usage that is not covered by drawn money.
  Money Deficit() const { return drawn_ < usage_.total() ? usage_.total() - drawn_ : 0; }
  // Drawn money that is not used.
  Money Surplus() const { return drawn_ > usage_.total() ? drawn_ - usage_.total() : 0; }
  // What the class can still draw from the pool as last reported; the whole limit if no report has arrived.
  Money AvailableInPool(int class_index) const;
  // The amount to draw ahead of demand. It is small relative to what is left in the pool, so that the unused
  // amounts held by members shrink with it; 0 once less than a thousandth of the cap is left.
  Money PrefetchAmount(int members) const;
  // Removes up to `max` of unused money, highest levels first, and returns the amount removed.
  Money ReleaseUnused(Money max);
  // An upper estimate of the team's usage at all members: everything drawn, less the surplus of this member.
  Money TeamUsage() const;
  // The larger of the team's spending as reported by the ledger and the spending at this member.
  Money TeamSpent() const;
  bool pool_known() const { return pool_known_; }
  const LedgerPool& pool() const { return pool_; }
  std::uint64_t epoch() const { return epoch_; }
  Money cap() const { return cap_; }
  Money lowest_limit() const { return limits_.front(); }

  // --- State kept across restarts ---
  struct Band {
    Money limit = 0, drawn = 0;
  };
  std::vector<Band> Bands() const;
  // Bands are stored by their limit, an amount, so they remain valid if limits were raised.
  void Restore(const std::vector<Band>& bands, std::uint64_t epoch, bool pool_known, bool limits_lowered,
               LedgerPool pool);
  // To be called after all charges are restored if a limit is lower than when the money was drawn. Removes
  // the surplus and returns it, and places the used money in the bands of the classes that use it. A class
  // may use money that becomes free only once the ledger reports a drawn total of at most the class's limit.
  // Once the drawn total is at most the lowest limit, levels are exact again.
  Money ApplyLoweredLimits();
  bool limits_lowered() const { return limits_lowered_; }
  Money LimitOf(int class_index) const {
    return limits_[band_of_class_[static_cast<std::size_t>(class_index)]];
  }

  Time draw_requested_at = 0;  // when the pending draw was last requested; 0: none is pending
  Time unanswered_since = 0;   // when the first draw without an answer was requested; 0: none
  // A request was rejected on the known state of the pool: the ledger is asked for its current state.
  bool refresh_needed = false;

 private:
  std::size_t BandFor(Money level) const;
  Money EffectiveCap() const { return pool_.cap < cap_ ? pool_.cap : cap_; }
  Money cap_;
  std::vector<std::size_t> band_of_class_;
  std::vector<Money> limits_;         // ascending, the cap last
  std::vector<Money> drawn_by_band_;  // money drawn below limits_[i] and above the limit before it
  std::vector<Money> used_by_band_;   // usage by the band of its class
  Usage usage_;
  std::vector<Money> spent_by_class_;
  Money drawn_ = 0;
  bool pool_known_ = false, limits_lowered_ = false;
  LedgerPool pool_;
  std::uint64_t epoch_ = 0;
};

}  // namespace cluster_manager::spending
