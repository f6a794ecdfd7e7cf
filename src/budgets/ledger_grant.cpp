// Expiry and granting of leases, and changes of members and limits.
#include <algorithm>
#include <set>
#include <stdexcept>

#include "budgets/division.h"
#include "budgets/ledger.h"

namespace cluster_manager::budgets {

void Ledger::ExpireLeases() {
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    const Rule& rule = file_.rules[static_cast<std::size_t>(it->first.rule)];
    for (auto& [member, lease] : entry.leases) {
      if (lease.unacknowledged > 0 && time_ >= ReusableAt(rule, lease.unacknowledged_expires_at))
        lease.unacknowledged = 0;
      if (lease.amount > 0 && time_ >= ReusableAt(rule, lease.expires_at)) {
        lease.amount = 0;
        ++counters_.expired;
      }
    }
    std::erase_if(entry.leases, [&](const auto& each) {
      const Lease& lease = each.second;
      return lease.amount == 0 && lease.unacknowledged == 0 &&
             time_ - lease.reported_at > 2 * file_.lease_duration;
    });
    counters_.expired += std::erase_if(entry.orphaned_leases, [&](const OrphanedLease& orphan) {
      return time_ >= ReusableAt(rule, orphan.expires_at);
    });
    // Closes the accounts of older incarnations that have nothing left to spend, and keeps what they spent.
    std::erase_if(entry.accounts, [&](const auto& each) {
      const auto& [account_id, account] = each;
      const auto record = member_records_.find(account_id.first);
      const bool gone = record == member_records_.end() || record->second.incarnation > account_id.second;
      if (!gone || account.drawn - account.returned > account.spent) return false;
      entry.closed_spent += account.spent;
      return true;
    });
    const bool empty = entry.leases.empty() && entry.orphaned_leases.empty() && rule.kind != Kind::kAmount;
    it =
        empty && time_ - entry.last_demand_at > 2 * file_.lease_duration ? entries_.erase(it) : std::next(it);
  }
}

void Ledger::Grant(const std::vector<MemberId>& excluded) {
  for (auto& [key, entry] : entries_) {
    if (file_.rules[static_cast<std::size_t>(key.rule)].kind != Kind::kAmount)
      GrantKey(key, &entry, excluded);
  }
}

void Ledger::GrantKey(const Key& key, Entry* entry, const std::vector<MemberId>& excluded) {
  const Rule& rule = file_.rules[static_cast<std::size_t>(key.rule)];
  const BudgetFile& file = pending_file_ ? *pending_file_ : file_;
  std::vector<MemberDemand> demands;
  std::vector<Lease*> leases;
  std::vector<MemberId> ids;
  for (auto& [id, lease] : entry->leases) {
    const Member* member = file.FindMember(id);
    const MemberRecord& record = member_records_.at(id);
    MemberDemand demand;
    demand.weight = member == nullptr ? 1 : member->weight;
    demand.guaranteed = std::min(record.guaranteed_shares[static_cast<std::size_t>(key.rule)],
                                 file.GuaranteedShare(key.rule, id));
    demand.observed = lease.observed;
    demand.forecast = lease.forecast;
    demand.current = lease.amount;
    // A member renews its leases by its reports: one that has not reported for a third of the lease duration
    // and a report interval gets neither renewals nor grants.
    demand.eligible = member != nullptr &&
                      time_ - record.reported_at <= file_.lease_duration / 3 + file_.report_interval &&
                      std::ranges::find(excluded, id) == excluded.end();
    demands.push_back(demand);
    leases.push_back(&lease);
    ids.push_back(id);
  }
  const Time elapsed = std::min<Time>(1'000'000'000, time_ - entry->divided_at);
  entry->divided_at = time_;
  DivisionParameters parameters;
  parameters.granularity = rule.granularity;
  parameters.hysteresis = file_.hysteresis;
  const __int128 max_change =
      static_cast<__int128>(rule.limit) * file_.max_change_per_second / kUnit * elapsed / 1'000'000'000;
  parameters.max_change =
      std::max(rule.granularity, static_cast<Micro>(max_change) / rule.granularity * rule.granularity);
  parameters.start_index = time_ / (4 * file_.lease_duration);
  const std::vector<Micro> targets =
      Divide(EffectiveLimit(key.rule) - GuaranteedTotal(key.rule), demands, parameters);

  // Reductions first. What the holder may still use of a reduced lease is kept as unacknowledged and is not
  // granted to others yet.
  std::vector<Micro> raises(targets.size(), 0);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    Lease& lease = *leases[i];
    if (!demands[i].eligible) continue;  // the lease expires without a reduction
    if (targets[i] < lease.amount) {
      const Micro reduction = lease.amount - targets[i];
      lease.unacknowledged_expires_at = lease.unacknowledged > 0
                                            ? std::max(lease.unacknowledged_expires_at, lease.expires_at)
                                            : lease.expires_at;
      lease.unacknowledged += reduction;
      lease.amount = targets[i];
      lease.epoch = epoch_;
      ++counters_.reductions;
    }
    raises[i] = targets[i] - lease.amount;
  }
  const std::vector<Micro> granted =
      DistributeProportionally(UsageOf(key).available(), raises, rule.granularity, parameters.start_index);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    Lease& lease = *leases[i];
    if (!demands[i].eligible || lease.amount + granted[i] == 0) continue;
    // One lease duration after the holder's last report, so that no report renews the leases of a member that
    // died after it.
    const Time expires_at = member_records_.at(ids[i]).reported_at + file_.lease_duration;
    if (granted[i] > 0) {
      lease.amount += granted[i];
      ++counters_.grants;
    } else if (expires_at - lease.expires_at < file_.lease_duration / 10 && lease.epoch != epoch_) {
      continue;
    } else {
      ++counters_.renewals;
    }
    lease.epoch = epoch_;
    lease.expires_at = std::max(lease.expires_at, expires_at);
  }
}

Ledger::Result Ledger::BeginChange(const Command& command, std::string* reason) {
  if (pending_file_)
    return Reject(reason, "another change is pending; members that have not confirmed it: " +
                              std::to_string(UnconfirmedMembers().size()));
  BudgetFile next = file_;
  if (command.kind == Command::Kind::kChangeMembers) {
    next.members = command.members;
    std::ranges::stable_sort(next.members, {}, &Member::id);
    if (next.members.empty()) return Reject(reason, "the list of members is empty");
  } else {
    if (command.key.rule < 0 || command.key.rule >= static_cast<int>(file_.rules.size()))
      return Reject(reason, "no such budget");
    next.rules[static_cast<std::size_t>(command.key.rule)].limit = command.limit;
  }
  const std::string errors = FindInconsistencies(next, "change");
  if (!errors.empty() || command.limit < 0)
    return Reject(reason, errors.empty() ? "the limit is negative" : errors);
  pending_file_ = std::move(next);
  ++shares_version_;
  ++counters_.changes;
  for (const Member& member : pending_file_->members) {
    MemberRecord& record = member_records_[member.id];
    record.guaranteed_shares.resize(file_.rules.size(), 0);
  }
  return Result::kApplied;
}

// A change waits for members whose guaranteed shares shrink, not for those that lose nothing.
std::vector<MemberId> Ledger::UnconfirmedMembers() const {
  std::vector<MemberId> unconfirmed;
  if (!pending_file_) return unconfirmed;
  Time max_hold_time = 0;
  for (const Rule& rule : file_.rules) max_hold_time = std::max(max_hold_time, rule.max_hold_time);
  for (const auto& [id, record] : member_records_) {
    const bool expired = file_.guarantee_duration > 0 &&
                         time_ >= record.guaranteed_until + file_.max_clock_skew + max_hold_time;
    if (record.confirmed_version >= shares_version_ || record.fenced || expired) continue;
    for (std::size_t rule = 0; rule < file_.rules.size(); ++rule) {
      if (pending_file_->GuaranteedShare(static_cast<int>(rule), id) >= record.guaranteed_shares[rule])
        continue;
      unconfirmed.push_back(id);
      break;
    }
  }
  return unconfirmed;
}

void Ledger::AdvanceChange() {
  if (!pending_file_ || !UnconfirmedMembers().empty()) return;
  const int rules = static_cast<int>(file_.rules.size());
  // No member uses more than the smaller of its old and new guaranteed share any more. Before any guaranteed
  // share grows, the leases must fit into the new limits too.
  for (auto& [id, record] : member_records_) {
    for (int rule = 0; rule < rules; ++rule) {
      Micro& share = record.guaranteed_shares[static_cast<std::size_t>(rule)];
      share = std::min(share, pending_file_->GuaranteedShare(rule, id));
    }
  }
  for (const auto& [key, entry] : entries_) {
    const Rule& rule = pending_file_->rules[static_cast<std::size_t>(key.rule)];
    const Usage usage = UsageOf(key);
    if (rule.kind != Kind::kAmount && usage.guaranteed + usage.leased + usage.pending_return > rule.limit)
      return;
  }
  file_ = std::move(*pending_file_);
  pending_file_.reset();
  ++shares_version_;
  for (auto it = member_records_.begin(); it != member_records_.end();) {
    MemberRecord& record = it->second;
    record.fenced = false;
    for (int rule = 0; rule < rules; ++rule)
      record.guaranteed_shares[static_cast<std::size_t>(rule)] = file_.GuaranteedShare(rule, it->first);
    const bool remains = file_.FindMember(it->first) != nullptr;
    if (remains) {
      ++it;
      continue;
    }
    StartIncarnation(it->first, record.incarnation);
    it = member_records_.erase(it);
  }
}

}  // namespace cluster_manager::budgets
