#include "spending/account.h"

#include <algorithm>
#include <limits>

namespace cluster_manager::spending {

Account::Account(Money cap, std::vector<Money> class_limits) : cap_(cap), limits_(class_limits) {
  limits_.push_back(cap);
  std::ranges::sort(limits_);
  limits_.erase(std::unique(limits_.begin(), limits_.end()), limits_.end());
  for (const Money limit : class_limits) band_of_class_.push_back(BandFor(limit));
  drawn_by_band_.assign(limits_.size(), 0);
  used_by_band_.assign(limits_.size(), 0);
  spent_by_class_.assign(class_limits.size(), 0);
}

std::size_t Account::BandFor(Money level) const {
  const auto it = std::ranges::lower_bound(limits_, level);
  return std::min(static_cast<std::size_t>(it - limits_.begin()), limits_.size() - 1);
}

void Account::Charge(int class_index, const Usage& delta) {
  used_by_band_[band_of_class_[static_cast<std::size_t>(class_index)]] += delta.total();
  spent_by_class_[static_cast<std::size_t>(class_index)] += delta.spent;
  usage_.spent += delta.spent;
  usage_.committed += delta.committed;
  usage_.reserved += delta.reserved;
}

// Classes with higher limits may use money of low levels too. So the amount available to a class is bounded
// at its own limit and at every higher one by the money drawn below that limit, less the usage of all classes
// with limits up to it.
Money Account::Available(int class_index) const {
  const std::size_t own = band_of_class_[static_cast<std::size_t>(class_index)];
  if (pool_overcommitted() || (limits_lowered_ && pool_.drawn > limits_[own])) return 0;
  Money available = std::numeric_limits<Money>::max(), drawn = 0, used = 0;
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    drawn += drawn_by_band_[i], used += used_by_band_[i];
    if (i >= own) available = std::min(available, drawn - used);
  }
  return std::max<Money>(0, available);
}

bool Account::ApplyGrant(Money amount, std::uint64_t epoch, const LedgerPool& pool) {
  if (epoch <= epoch_) return false;
  epoch_ = epoch;
  pool_ = pool;
  pool_known_ = true;
  draw_requested_at = unanswered_since = 0;
  refresh_needed = false;
  drawn_ += amount;
  if (pool.drawn <= limits_.front() && pool.cap <= cap_) limits_lowered_ = false;
  Money level = std::max<Money>(0, pool.drawn - amount);  // the drawn total before this grant
  for (std::size_t i = BandFor(level); i < limits_.size() && amount > 0; ++i) {
    const Money part = i + 1 == limits_.size() ? amount : std::clamp<Money>(limits_[i] - level, 0, amount);
    drawn_by_band_[i] += part, amount -= part, level += part;
  }
  return true;
}

Money Account::AvailableInPool(int class_index) const {
  const Money limit = limits_[band_of_class_[static_cast<std::size_t>(class_index)]];
  if (!pool_known_) return limit;
  if (pool_.uncovered > 0) return 0;
  return std::max<Money>(0, std::min(limit, EffectiveCap()) - pool_.drawn);
}

Money Account::PrefetchAmount(int members) const {
  const Money remaining =
      pool_known_ ? std::min(limits_.front(), EffectiveCap()) - pool_.drawn : limits_.front();
  if (remaining < cap_ / 1000 || pool_.uncovered > 0) return 0;
  return std::min(cap_ / (8 * members), remaining / (2 * members));
}

Money Account::ReleaseUnused(Money max) {
  Money released = 0;
  for (std::size_t i = drawn_by_band_.size(); i-- > 0 && max > 0;) {
    // Below each limit from this band upwards, the money that remains must still cover the usage below it.
    Money drawn = 0, used = 0, unused = drawn_by_band_[i];
    for (std::size_t j = 0; j < drawn_by_band_.size(); ++j) {
      drawn += drawn_by_band_[j], used += used_by_band_[j];
      if (j >= i) unused = std::min(unused, drawn - used);
    }
    const Money part = std::clamp<Money>(unused, 0, max);
    drawn_by_band_[i] -= part, released += part, max -= part;
  }
  drawn_ -= released;
  return released;
}

Money Account::TeamUsage() const {
  const Money own = usage_.total();
  return pool_known_ ? std::max(own, pool_.drawn - Surplus()) : own;
}

Money Account::TeamSpent() const { return std::max(usage_.spent, pool_.spent); }

std::vector<Account::Band> Account::Bands() const {
  std::vector<Band> bands;
  for (std::size_t i = 0; i < limits_.size(); ++i) bands.push_back({limits_[i], drawn_by_band_[i]});
  return bands;
}

void Account::Restore(const std::vector<Band>& bands, std::uint64_t epoch, bool pool_known,
                      bool limits_lowered, LedgerPool pool) {
  for (const Band& band : bands) {
    drawn_by_band_[BandFor(band.limit)] += band.drawn;
    drawn_ += band.drawn;
  }
  epoch_ = epoch;
  pool_known_ = pool_known;
  limits_lowered_ = limits_lowered;
  pool_ = pool;
}

Money Account::ApplyLoweredLimits() {
  const Money surplus = Surplus();
  drawn_ -= surplus;
  Money rest = drawn_;
  for (std::size_t i = 0; i < drawn_by_band_.size(); ++i) {
    drawn_by_band_[i] = std::clamp<Money>(used_by_band_[i], 0, rest);
    rest -= drawn_by_band_[i];
  }
  drawn_by_band_.back() += rest;
  limits_lowered_ = true;
  return surplus;
}

}  // namespace cluster_manager::spending
