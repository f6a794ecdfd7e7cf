#include "budgets/member_share.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "json_files/document_error.h"

namespace cluster_manager::budgets {
namespace {

const Rule& RuleOf(const BudgetFile& file, const Key& key) {
  return file.rules.at(static_cast<std::size_t>(key.rule));
}

constexpr std::size_t kMaxDemandsPerReport = 512;  // and as many amounts; the next report carries the rest
constexpr double kSecond = 1e9;

}  // namespace

MemberShare::MemberShare(const BudgetFile& file, const Start& start, Time now)
    : file_(file),
      member_(start.member),
      incarnation_(start.incarnation),
      started_at_(now),
      latest_time_(now),
      reported_at_(now - file.report_interval),
      updated_at_(now) {
  if (!start.saved_state.is_null()) {
    if (start.saved_state.value("member", ~0U) != member_ ||
        start.saved_state.at("incarnation").get<std::uint64_t>() >= incarnation_)
      throw json_files::StoredDataError(
          "the saved state of the budgets is of another member or of a later start");
    start.saved_state.at("version").get_to(version_);
    start.saved_state.at("floors").get_to(guaranteed_shares_);
    start.saved_state.at("floor_until").get_to(guaranteed_until_);
    if (guaranteed_shares_.size() != file_.rules.size()) guaranteed_shares_.clear(), version_ = 0;
  } else if (start.document_in_force && file_.guarantee_duration == 0) {
    version_ = 1;
    for (int rule = 0; rule < static_cast<int>(file_.rules.size()); ++rule)
      guaranteed_shares_.push_back(file_.GuaranteedShare(rule, member_));
  }
  saved_version_ = confirmed_version_ = version_;
}

nlohmann::json MemberShare::SaveState() const {
  return {{"member", member_},
          {"incarnation", incarnation_},
          {"version", version_},
          {"floors", guaranteed_shares_},
          {"floor_until", guaranteed_until_}};
}

// A clock that steps back would extend the leases. For a step of up to twice the permitted skew the time is
// held at the latest one; after a larger step all leases are dropped, as their expiry is meaningless.
Time MemberShare::MonotonicTime(Time now) {
  if (now >= latest_time_) {
    latest_time_ = now;
  } else if (latest_time_ - now > 2 * file_.max_clock_skew) {
    ++counters_.clock_steps_back;
    for (auto& [key, holding] : keys_) holding.expires_at = 0;
    latest_time_ = now;
  }
  return latest_time_;
}

Micro MemberShare::UsableGuaranteedShare(int rule_index, Time now) const {
  if (guaranteed_shares_.empty()) return 0;
  const Rule& rule = file_.rules[static_cast<std::size_t>(rule_index)];
  if (guaranteed_until_ > 0 && now >= guaranteed_until_ - file_.max_clock_skew) return 0;
  if (file_.guarantee_duration > 0 && guaranteed_until_ == 0) return 0;
  if (rule.kind == Kind::kConcurrency && now < started_at_ + rule.max_hold_time) return 0;
  return guaranteed_shares_[static_cast<std::size_t>(rule_index)];
}

Micro MemberShare::ComputeEntitlement(const Key& key, const Holding* holding, Time now) const {
  const Rule& rule = RuleOf(file_, key);
  if (rule.kind == Kind::kAmount) {
    if (holding == nullptr || !HasValidLease(*holding, now)) return 0;
    return std::max<Micro>(0, holding->drawn - holding->returned - holding->spent - holding->held);
  }
  const Micro leased = holding != nullptr && HasValidLease(*holding, now) ? holding->leased : 0;
  return UsableGuaranteedShare(key.rule, now) + leased;
}

Micro MemberShare::Entitlement(const Key& key, Time now) const {
  const auto it = keys_.find(key);
  return ComputeEntitlement(key, it == keys_.end() ? nullptr : &it->second, std::max(now, latest_time_));
}

Micro MemberShare::Held(const Key& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? 0 : it->second.held;
}

MemberShare::Holding* MemberShare::FindOrCreate(const Key& key, Time now) {
  const auto it = keys_.find(key);
  if (it != keys_.end()) return &it->second;
  if (static_cast<std::int64_t>(keys_.size()) >= file_.max_keys) RemoveIdleKeys(now);
  if (static_cast<std::int64_t>(keys_.size()) >= file_.max_keys) {
    ++counters_.keys_full;
    return nullptr;
  }
  Holding& holding = keys_[key];
  holding.epoch = max_removed_epoch_;
  // A removed key was idle for longer than a window, so its bucket may be full. Before the start the previous
  // process may have used the key.
  holding.filled_at = std::max(started_at_, now - RuleOf(file_, key).window);
  holding.sampled_at = holding.last_used_at = now;
  holding.fast_rate.StartAt(now);
  holding.slow_rate.StartAt(now);
  return &holding;
}

// Called before an update raises the entitlement, so that the smaller of the entitlements at the last fill
// and now applies: a lease that has expired since adds nothing, and the bucket is cut to what remains.
void MemberShare::FillBucket(const Key& key, Holding* holding, Time now) {
  const Rule& rule = RuleOf(file_, key);
  const Micro entitlement = ComputeEntitlement(key, holding, now);
  const Time elapsed = std::clamp<Time>(now - holding->filled_at, 0, rule.window);
  const __int128 added = static_cast<__int128>(entitlement) * elapsed / rule.window;
  holding->bucket = std::min<Micro>(entitlement, holding->bucket + static_cast<Micro>(added));
  holding->filled_at = now;
}

void MemberShare::RecordDemand(const Key& key, Holding* holding, Micro amount, bool acquired, Time now) {
  holding->last_used_at = now;
  (acquired ? counters_.acquired : counters_.denied) += 1;
  const Rule& rule = RuleOf(file_, key);
  if (rule.kind == Kind::kRate) {
    holding->fast_rate.Record(now, static_cast<double>(amount));
    holding->slow_rate.Record(now, static_cast<double>(amount));
  } else if (rule.kind == Kind::kConcurrency) {
    const double elapsed_seconds = static_cast<double>(now - holding->sampled_at) / kSecond;
    const double decayed_shortfall = static_cast<double>(holding->shortfall) * std::exp(-elapsed_seconds);
    holding->shortfall = static_cast<Micro>(decayed_shortfall) + (acquired ? 0 : amount);
    const double decayed_peak =
        static_cast<double>(holding->peak_demand) *
        std::exp(-elapsed_seconds * kSecond / static_cast<double>(2 * file_.lease_duration));
    holding->peak_demand = std::max(static_cast<Micro>(decayed_peak), holding->held + holding->shortfall);
    holding->sampled_at = now;
  } else if (!acquired) {
    holding->requested =
        std::max(holding->requested, holding->drawn + amount - ComputeEntitlement(key, holding, now));
  }
  if (!acquired) holding->dirty = true;
}

bool MemberShare::TryAcquire(const Key& key, Micro amount, Time at) {
  const Time now = MonotonicTime(at);
  const Rule& rule = RuleOf(file_, key);
  Holding* holding = FindOrCreate(key, now);
  if (holding == nullptr) {
    ++counters_.denied;
    return false;
  }
  const Micro entitlement = ComputeEntitlement(key, holding, now);
  if (rule.kind == Kind::kRate) FillBucket(key, holding, now);
  const Micro available = rule.kind == Kind::kRate          ? holding->bucket
                          : rule.kind == Kind::kConcurrency ? entitlement - holding->held
                                                            : entitlement;
  const bool acquired = amount >= 0 && amount <= available;
  if (acquired)
    (rule.kind == Kind::kRate ? holding->bucket : holding->held) +=
        rule.kind == Kind::kRate ? -amount : amount;
  if (!acquired && holding->leased > 0 && !HasValidLease(*holding, now)) ++counters_.expired;
  RecordDemand(key, holding, amount, acquired, now);
  return acquired;
}

void MemberShare::Release(const Key& key, Micro amount, Time at) {
  const Time now = MonotonicTime(at);
  const auto it = keys_.find(key);
  if (it == keys_.end() || RuleOf(file_, key).kind == Kind::kRate) return;
  it->second.held -= std::clamp<Micro>(amount, 0, it->second.held);
  it->second.last_used_at = now;
}

void MemberShare::RecordSpending(const Key& key, Micro amount) {
  const auto it = keys_.find(key);
  if (it == keys_.end() || RuleOf(file_, key).kind != Kind::kAmount || amount <= 0) return;
  // More than was acquired is recorded too: the estimate was too low, but the amount is spent.
  it->second.held -= std::min(amount, it->second.held);
  it->second.spent += amount;
  it->second.dirty = true;
}

void MemberShare::RequestAmount(const Key& key, Micro amount, Time at) {
  const Time now = MonotonicTime(at);
  Holding* holding = FindOrCreate(key, now);
  if (holding == nullptr || RuleOf(file_, key).kind != Kind::kAmount) return;
  holding->last_used_at = now;
  const Micro shortfall =
      amount - std::max<Micro>(0, holding->drawn - holding->returned - holding->spent - holding->held);
  if (shortfall > 0 && holding->drawn + shortfall > holding->requested) {
    holding->requested = holding->drawn + shortfall;
    holding->dirty = true;
  }
}

bool MemberShare::OnLedgerUpdate(const LedgerUpdate& update, Time at) {
  if (update.member != member_ || update.incarnation != incarnation_) return false;
  const Time now = MonotonicTime(at);
  bool changed = false;
  if (update.shares_version > version_ && update.guaranteed_shares.size() == file_.rules.size()) {
    // Fill the buckets with the old guaranteed shares up to now.
    for (auto& [key, holding] : keys_) {
      if (RuleOf(file_, key).kind == Kind::kRate) FillBucket(key, &holding, now);
    }
    version_ = update.shares_version;
    guaranteed_shares_ = update.guaranteed_shares;
    changed = true;
  }
  if (update.shares_version == version_ && update.guaranteed_until > guaranteed_until_) {
    guaranteed_until_ = update.guaranteed_until;
    changed = true;
  }
  for (const LedgerUpdate::Lease& lease : update.leases) {
    Holding* holding = FindOrCreate(lease.key, now);
    if (holding == nullptr) continue;
    if (lease.epoch <= holding->epoch) {
      counters_.stale_epochs += lease.epoch < holding->epoch ? 1 : 0;
      continue;
    }
    if (RuleOf(file_, lease.key).kind == Kind::kRate) FillBucket(lease.key, holding, now);
    holding->epoch = lease.epoch;
    holding->leased = leaving_ ? 0 : lease.amount;
    holding->expires_at = lease.expires_at;
    if (RuleOf(file_, lease.key).kind == Kind::kRate) FillBucket(lease.key, holding, now);
    changed = true;
  }
  for (const LedgerUpdate::Account& account : update.accounts) {
    Holding* holding = FindOrCreate(account.key, now);
    if (holding == nullptr || account.epoch <= holding->epoch) continue;
    holding->epoch = account.epoch;
    holding->drawn = std::max(holding->drawn, account.drawn);
    holding->returned = std::max(holding->returned, account.returned);
    holding->expires_at = account.expires_at;
    changed = true;
  }
  if (changed) updated_at_ = now;
  return changed;
}

void MemberShare::SetQuorum(bool has_quorum, Time now) {
  if (has_quorum_ && !has_quorum) quorum_lost_at_ = now;
  has_quorum_ = has_quorum;
}

std::string MemberShare::StatusText(Time at) const {
  const Time now = std::max(at, latest_time_);
  std::size_t valid_leases = 0;
  for (const auto& [key, holding] : keys_)
    valid_leases += (holding.leased > 0 || holding.drawn > 0) && HasValidLease(holding, now);
  const auto format_seconds = [](Time duration) {
    const std::string tenths = std::to_string(duration / 100'000'000 % 10);
    return std::to_string(duration / 1'000'000'000) + "." + tenths + " s";
  };
  std::string text =
      guaranteed_shares_.empty()
          ? "no guaranteed shares, as there was no ledger update since a start without saved state"
          : "guaranteed shares of version " + std::to_string(version_);
  text +=
      valid_leases == 0 ? "; no valid leases" : "; valid leases on " + std::to_string(valid_leases) + " keys";
  if (!has_quorum_) text += "; no quorum for " + format_seconds(now - quorum_lost_at_);
  if (clock_out_of_sync_) text += "; the clock is out of sync, so leases are not used";
  if (now - updated_at_ > file_.lease_duration)
    text += "; no new ledger update for " + format_seconds(now - updated_at_);
  return text;
}

DemandReport MemberShare::BuildDemandReport(const Key& key, Holding* holding, Time now) {
  const Rule& rule = RuleOf(file_, key);
  DemandReport demand;
  demand.key = key;
  demand.epoch = holding->epoch;
  const Micro leased = HasValidLease(*holding, now) ? holding->leased : 0;
  demand.leased_in_use = leased;
  double observed = 0;
  double forecast = 0;
  if (rule.kind == Kind::kRate) {
    const double window = static_cast<double>(rule.window) / kSecond;
    const double fast = holding->fast_rate.PerSecond(now) * window;
    const double slow = holding->slow_rate.PerSecond(now) * window;
    observed = std::max(fast, slow);
    forecast = observed + std::max(0.0, fast - slow);  // a growing rate is assumed to grow by as much again
  } else {
    demand.leased_in_use = std::max(leased, holding->held - UsableGuaranteedShare(key.rule, now));
    const double elapsed = static_cast<double>(now - holding->sampled_at);
    observed = static_cast<double>(holding->held) +
               static_cast<double>(holding->shortfall) * std::exp(-elapsed / kSecond);
    forecast = std::max(observed, static_cast<double>(holding->peak_demand) *
                                      std::exp(-elapsed / static_cast<double>(2 * file_.lease_duration)));
  }
  // Less than a tenth of the granularity is the remainder of a decayed rate, not a demand.
  const auto round_demand = [&](double value) {
    return value < static_cast<double>(rule.granularity) / 10 ? 0 : static_cast<Micro>(std::min(value, 1e15));
  };
  demand.observed = leaving_ ? 0 : round_demand(observed);
  demand.forecast = leaving_ ? 0 : round_demand(forecast);
  return demand;
}

// A report is due where a demand has changed by more than the hysteresis, an amount has changed, an epoch or
// new guaranteed shares are to be acknowledged, or a third of the lease duration has passed (renewal).
std::optional<Command> MemberShare::NextReport(Time at) {
  const Time now = MonotonicTime(at);
  if (now - reported_at_ < file_.report_interval) return std::nullopt;
  RemoveIdleKeys(now);
  const bool renewal_due = now - reported_at_ >= file_.lease_duration / 3 - file_.report_interval;
  Command command;
  command.kind = Command::Kind::kRenew;
  command.member = member_;
  command.incarnation = incarnation_;
  // New guaranteed shares are confirmed once they are stored and what is held fits into them.
  bool fits = true;
  bool due = renewal_due;
  for (auto& [key, holding] : keys_) {
    const Rule& rule = RuleOf(file_, key);
    if (rule.kind == Kind::kConcurrency && holding.held > ComputeEntitlement(key, &holding, now))
      fits = false;
    if (rule.kind == Kind::kAmount) {
      if (holding.drawn - holding.returned > holding.spent + holding.held &&
          now - holding.last_used_at > file_.lease_duration) {
        holding.returned = holding.drawn - holding.spent - holding.held;
        holding.requested = 0;
        holding.dirty = true;
      }
      const bool active = holding.drawn > holding.returned || holding.requested > holding.drawn;
      if (!holding.dirty && !(renewal_due && active)) continue;
      due |= holding.dirty;
      if (command.amounts.size() >= kMaxDemandsPerReport) continue;
      command.amounts.push_back({key, holding.requested, holding.spent, holding.returned});
      command.kind = Command::Kind::kReport;
      holding.dirty = holding.requested > holding.drawn && now - holding.last_used_at < file_.lease_duration;
      continue;
    }
    const DemandReport demand = BuildDemandReport(key, &holding, now);
    const Micro larger = std::max(demand.observed, holding.reported_demand);
    const Micro smaller = std::min(demand.observed, holding.reported_demand);
    const bool demand_changed = static_cast<double>(larger - smaller) * kUnit >
                                static_cast<double>(larger) * static_cast<double>(file_.hysteresis);
    const bool must_report = !holding.reported || demand_changed || holding.reported_epoch != holding.epoch;
    due |= must_report;
    if (!must_report && !renewal_due) continue;
    if (command.demands.size() >= kMaxDemandsPerReport) {
      holding.reported = false;
      continue;
    }
    holding.reported = true;
    holding.reported_demand = demand.observed;
    holding.reported_epoch = holding.epoch;
    command.demands.push_back(demand);
    command.kind = Command::Kind::kReport;
  }
  if (fits && saved_version_ > confirmed_version_) {
    confirmed_version_ = saved_version_;
    due = true;
  }
  command.shares_version = confirmed_version_;
  if (!due) return std::nullopt;
  reported_at_ = now;
  ++counters_.reports;
  return command;
}

Command MemberShare::ReturnAllLeases(Time at) {
  const Time now = MonotonicTime(at);
  leaving_ = true;
  Command command;
  command.kind = Command::Kind::kReturnLeases;
  command.member = member_;
  command.incarnation = incarnation_;
  command.shares_version = confirmed_version_;
  for (auto& [key, holding] : keys_) {
    if (RuleOf(file_, key).kind == Kind::kAmount || holding.epoch == 0) continue;
    if (RuleOf(file_, key).kind == Kind::kRate) FillBucket(key, &holding, now);
    holding.leased = 0;
    command.demands.push_back(BuildDemandReport(key, &holding, now));
  }
  return command;
}

void MemberShare::RemoveIdleKeys(Time now) {
  std::erase_if(keys_, [&](const auto& each) {
    const auto& [key, holding] = each;
    const Rule& rule = RuleOf(file_, key);
    const bool has_lease =
        now < holding.expires_at + file_.max_clock_skew && (holding.leased > 0 || rule.kind == Kind::kAmount);
    const bool idle = now - holding.last_used_at > std::max(2 * file_.lease_duration, rule.window);
    // Kept: what was drawn of an amount is recorded only here and in the ledger.
    if (has_lease || !idle || holding.held > 0 || (rule.kind == Kind::kAmount && holding.drawn > 0))
      return false;
    max_removed_epoch_ = std::max(max_removed_epoch_, holding.epoch);
    return true;
  });
}

}  // namespace cluster_manager::budgets
