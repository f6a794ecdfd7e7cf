#include "budgets/ledger.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace cluster_manager::budgets {
namespace {

constexpr Time kNever = INT64_MAX;

template <typename T>
void KeepMaximum(T* maximum, T value) {
  if (value > *maximum) *maximum = value;
}

// What an account takes out of the pool: the amount drawn and not returned, or the amount spent if greater.
Micro Consumed(const Ledger::Account& account) {
  return std::max(account.drawn - account.returned, account.spent);
}

}  // namespace

Ledger::Ledger(const BudgetFile& file) : file_(file) {
  for (const Member& member : file_.members) {
    MemberRecord& record = member_records_[member.id];
    for (std::size_t rule = 0; rule < file_.rules.size(); ++rule)
      record.guaranteed_shares.push_back(file_.GuaranteedShare(static_cast<int>(rule), member.id));
    if (file_.guarantee_duration == 0) record.guaranteed_until = kNever;
  }
}

Ledger::Result Ledger::Reject(std::string* reason, const std::string& text) {
  ++counters_.rejected;
  if (reason != nullptr) *reason = text;
  return Result::kRejected;
}

Ledger::Result Ledger::Apply(const Command& command, Time stamp, std::string* reason) {
  time_ = std::max(time_, stamp);
  ++epoch_;
  ++counters_.commands;
  Result result = Result::kApplied;
  switch (command.kind) {
    case Command::Kind::kReport:
    case Command::Kind::kRenew:
    case Command::Kind::kDraw:
    case Command::Kind::kSpend:
    case Command::Kind::kReturnAmount:
      result = ApplyReport(command, reason);
      break;
    case Command::Kind::kReturnLeases:
      result = ApplyLeaseReturn(command);
      break;
    case Command::Kind::kSettlement:
      result = ApplySettlement(command, reason);
      break;
    case Command::Kind::kGrant:
      ExpireLeases();
      Grant(command.excluded);
      break;
    case Command::Kind::kExpire:
      ExpireLeases();
      break;
    case Command::Kind::kChangeMembers:
    case Command::Kind::kChangeLimit:
      result = BeginChange(command, reason);
      break;
    case Command::Kind::kFence: {
      const auto it = member_records_.find(command.member);
      if (it == member_records_.end()) return Reject(reason, "no such member");
      it->second.fenced = true;
      ++counters_.fenced;
      break;
    }
    case Command::Kind::kRetireKey: {
      const auto it = entries_.find(command.key);
      if (it == entries_.end()) return Result::kStale;
      for (const auto& [account_id, account] : it->second.accounts) {
        if (Consumed(account) > account.spent)
          return Reject(reason, "an account has a drawn amount that is not settled");
      }
      if (!it->second.leases.empty() || !it->second.orphaned_leases.empty())
        return Reject(reason, "the key has leases");
      entries_.erase(it);
      retired_keys_.push_back(command.key);
      if (static_cast<std::int64_t>(retired_keys_.size()) > file_.max_keys)
        retired_keys_.erase(retired_keys_.begin());
      break;
    }
  }
  if (result == Result::kStale) ++counters_.stale;
  AdvanceChange();
  return result;
}

Ledger::Entry* Ledger::FindOrCreateEntry(const Key& key) {
  if (key.rule < 0 || key.rule >= static_cast<int>(file_.rules.size())) {
    ++counters_.unknown_budgets;
    return nullptr;
  }
  const auto it = entries_.find(key);
  if (it != entries_.end()) return &it->second;
  if (std::ranges::find(retired_keys_, key) != retired_keys_.end()) {
    ++counters_.stale;
    return nullptr;
  }
  if (static_cast<std::int64_t>(entries_.size()) >= file_.max_keys) {
    ++counters_.keys_full;
    return nullptr;
  }
  return &entries_[key];
}

// Only the newest incarnation of a member may report. The leases of the previous one become orphaned: nobody
// can use them until they expire.
void Ledger::StartIncarnation(MemberId member, std::uint64_t incarnation) {
  MemberRecord& record = member_records_.at(member);
  for (auto& [key, entry] : entries_) {
    const auto it = entry.leases.find(member);
    if (it == entry.leases.end()) continue;
    const Lease& lease = it->second;
    if (lease.amount + lease.unacknowledged > 0) {
      const Time expires_at = lease.unacknowledged > 0
                                  ? std::max(lease.expires_at, lease.unacknowledged_expires_at)
                                  : lease.expires_at;
      entry.orphaned_leases.push_back(
          {member, record.incarnation, lease.epoch, lease.amount + lease.unacknowledged, expires_at});
      ++counters_.orphaned;
    }
    entry.leases.erase(it);
  }
  record.incarnation = incarnation;
}

Ledger::Result Ledger::ApplyReport(const Command& command, std::string* reason) {
  const auto it = member_records_.find(command.member);
  if (it == member_records_.end()) return Reject(reason, "no such member");
  MemberRecord& record = it->second;
  if (command.incarnation < record.incarnation) return Result::kStale;
  if (command.incarnation > record.incarnation) StartIncarnation(command.member, command.incarnation);
  record.reported_at = time_;
  if (command.shares_version > shares_version_)
    return Reject(reason, "unknown version of the guaranteed shares");
  KeepMaximum(&record.confirmed_version, command.shares_version);
  // Extended only for members that know the newest guaranteed shares: a member that receives no updates must
  // not keep its old ones for ever.
  if (file_.guarantee_duration > 0 && record.confirmed_version == shares_version_)
    KeepMaximum(&record.guaranteed_until, time_ + file_.guarantee_duration);
  const bool configured = (pending_file_ ? *pending_file_ : file_).FindMember(command.member) != nullptr;
  for (const DemandReport& demand : command.demands) {
    const bool exists = entries_.contains(demand.key);
    if (!exists && (demand.observed <= 0 && demand.forecast <= 0)) continue;
    Entry* entry = FindOrCreateEntry(demand.key);
    if (entry == nullptr) continue;
    const Rule& rule = file_.rules[static_cast<std::size_t>(demand.key.rule)];
    if (rule.kind == Kind::kAmount) continue;
    Lease& lease = entry->leases[command.member];
    Acknowledge(demand, &lease);
    // No member needs more than the limit: a greater demand is a fault of the reporter and gains it nothing.
    lease.observed = configured ? std::clamp<Micro>(demand.observed, 0, rule.limit) : 0;
    lease.forecast = configured ? std::clamp<Micro>(demand.forecast, 0, rule.limit) : 0;
    lease.reported_at = time_;
    if (lease.observed + lease.forecast > 0) entry->last_demand_at = time_;
  }
  ApplyAmounts(command);
  return Result::kApplied;
}

// A member that has seen the newest epoch ignores all older ones, so what it reports as in use is all that it
// may use. Concurrency units that it holds beyond the lease stay counted for as long as it reports them.
void Ledger::Acknowledge(const DemandReport& demand, Lease* lease) {
  if (lease->epoch == 0 || demand.epoch != lease->epoch) return;
  const Micro beyond = std::max<Micro>(0, demand.leased_in_use - lease->amount);
  if (beyond < lease->unacknowledged) {
    counters_.returns += lease->unacknowledged > 0 ? 1 : 0;
    lease->unacknowledged = beyond;
  }
  if (lease->unacknowledged > 0) KeepMaximum(&lease->unacknowledged_expires_at, time_ + file_.lease_duration);
}

Ledger::Result Ledger::ApplyLeaseReturn(const Command& command) {
  bool changed = false;
  for (const DemandReport& demand : command.demands) {
    const auto it = entries_.find(demand.key);
    if (it == entries_.end()) continue;
    Entry& entry = it->second;
    changed |= std::erase_if(entry.orphaned_leases, [&](const OrphanedLease& orphan) {
                 return orphan.member == command.member && orphan.incarnation == command.incarnation &&
                        orphan.epoch == demand.epoch && demand.leased_in_use <= 0;
               }) > 0;
    const auto lease = entry.leases.find(command.member);
    const auto record = member_records_.find(command.member);
    if (lease == entry.leases.end() || record == member_records_.end() ||
        record->second.incarnation != command.incarnation || lease->second.epoch != demand.epoch)
      continue;
    changed = true;
    Acknowledge(demand, &lease->second);
    lease->second.amount = std::min(lease->second.amount, std::max<Micro>(0, demand.leased_in_use));
    lease->second.observed = std::min(lease->second.observed, lease->second.amount);
    lease->second.forecast = 0;
    lease->second.epoch = epoch_;  // makes a duplicate of this command stale
  }
  if (!changed) return Result::kStale;
  ++counters_.returns;
  return Result::kApplied;
}

void Ledger::ApplyAmounts(const Command& command) {
  for (const AmountReport& amount : command.amounts) {
    if (amount.key.rule < 0 || amount.key.rule >= static_cast<int>(file_.rules.size()) ||
        file_.rules[static_cast<std::size_t>(amount.key.rule)].kind != Kind::kAmount) {
      ++counters_.unknown_budgets;
      continue;
    }
    Entry* entry = FindOrCreateEntry(amount.key);
    if (entry == nullptr) continue;
    Account& account = entry->accounts[{command.member, command.incarnation}];
    KeepMaximum(&account.spent, amount.spent);
    KeepMaximum(&account.returned, std::min(amount.returned, account.drawn));
    account.expires_at = std::max(account.expires_at, time_ + file_.lease_duration);
    const Rule& rule = file_.rules[static_cast<std::size_t>(amount.key.rule)];
    const Usage usage = UsageOf(amount.key);
    const Micro shortfall = amount.requested - account.drawn;
    if (shortfall > 0 && usage.available() >= rule.granularity) {
      // A fraction of what is left, not of the limit, so that the portions become smaller towards the end and
      // all members that ask in the same second get something.
      const Micro share = usage.available() / static_cast<std::int64_t>(2 * member_records_.size());
      const Micro portion = std::max(rule.granularity, share / rule.granularity * rule.granularity);
      account.drawn += std::min({shortfall, portion, usage.available()});
      ++counters_.grants;
    }
    account.epoch = epoch_;
  }
}

Ledger::Result Ledger::ApplySettlement(const Command& command, std::string* reason) {
  const auto entry = entries_.find(command.key);
  if (entry == entries_.end()) return Result::kStale;
  const auto it = entry->second.accounts.find({command.member, command.incarnation});
  if (it == entry->second.accounts.end()) return Result::kStale;
  Account& account = it->second;
  const auto record = member_records_.find(command.member);
  const bool superseded = record != member_records_.end() && record->second.incarnation > command.incarnation;
  if (time_ < account.expires_at + file_.max_clock_skew)
    return Reject(reason, "the holder may still use the drawn amount");
  KeepMaximum(&account.spent, command.spent);
  KeepMaximum(&account.returned, account.drawn - account.spent);
  account.epoch = epoch_;
  if (superseded || record == member_records_.end()) {
    entry->second.closed_spent += account.spent;
    entry->second.accounts.erase(it);
  }
  return Result::kApplied;
}

Ledger::Usage Ledger::UsageOf(const Key& key) const {
  Usage usage;
  usage.limit = EffectiveLimit(key.rule);
  usage.guaranteed = GuaranteedTotal(key.rule);
  const auto it = entries_.find(key);
  if (it == entries_.end()) return usage;
  for (const auto& [member, lease] : it->second.leases) {
    usage.leased += lease.amount;
    usage.pending_return += lease.unacknowledged;
  }
  for (const OrphanedLease& orphan : it->second.orphaned_leases) usage.pending_return += orphan.amount;
  for (const auto& [account_id, account] : it->second.accounts) {
    usage.drawn += Consumed(account) - account.spent;
    usage.spent += account.spent;
  }
  usage.spent += it->second.closed_spent;
  return usage;
}

Micro Ledger::EffectiveLimit(int rule) const {
  const std::size_t index = static_cast<std::size_t>(rule);
  return pending_file_ ? std::min(file_.rules[index].limit, pending_file_->rules[index].limit)
                       : file_.rules[index].limit;
}

Micro Ledger::GuaranteedTotal(int rule) const {
  Micro sum = 0;
  for (const auto& [member, record] : member_records_)
    sum += std::max(record.guaranteed_shares[static_cast<std::size_t>(rule)],
                    pending_file_ ? pending_file_->GuaranteedShare(rule, member) : 0);
  return sum;
}

LedgerUpdate Ledger::UpdateFor(MemberId member) const {
  LedgerUpdate update;
  update.member = member;
  const auto record = member_records_.find(member);
  if (record == member_records_.end()) return update;
  update.incarnation = record->second.incarnation;
  update.shares_version = shares_version_;
  for (int rule = 0; rule < static_cast<int>(file_.rules.size()); ++rule) {
    const Micro current = file_.GuaranteedShare(rule, member);
    update.guaranteed_shares.push_back(
        pending_file_ ? std::min(current, pending_file_->GuaranteedShare(rule, member)) : current);
  }
  update.guaranteed_until =
      file_.guarantee_duration == 0 ? 0 : std::max<Time>(1, record->second.guaranteed_until);
  for (const auto& [key, entry] : entries_) {
    const auto lease = entry.leases.find(member);
    if (lease != entry.leases.end() && lease->second.epoch > 0)
      update.leases.push_back({key, lease->second.epoch, lease->second.amount, lease->second.expires_at});
    const auto account = entry.accounts.find({member, record->second.incarnation});
    if (account != entry.accounts.end())
      update.accounts.push_back({key, account->second.epoch, account->second.drawn, account->second.returned,
                                 account->second.expires_at});
  }
  return update;
}

}  // namespace cluster_manager::budgets
