// Serialization of the ledger and its commands as JSON, for the replicated log and its snapshots.
#include <stdexcept>

#include "budgets/ledger.h"
#include "json_files/document_error.h"

namespace cluster_manager::budgets {

// The keys are those of stored data, whatever the fields are called.

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Key, rule, scope)

inline void to_json(nlohmann::json& json, const DemandReport& demand) {
  json["key"] = demand.key;
  json["seen"] = demand.observed;
  json["forecast"] = demand.forecast;
  json["epoch"] = demand.epoch;
  json["uses"] = demand.leased_in_use;
}

inline void from_json(const nlohmann::json& json, DemandReport& demand) {
  json.at("key").get_to(demand.key);
  json.at("seen").get_to(demand.observed);
  json.at("forecast").get_to(demand.forecast);
  json.at("epoch").get_to(demand.epoch);
  json.at("uses").get_to(demand.leased_in_use);
}

inline void to_json(nlohmann::json& json, const AmountReport& amount) {
  json["key"] = amount.key;
  json["wanted"] = amount.requested;
  json["settled"] = amount.spent;
  json["given"] = amount.returned;
}

inline void from_json(const nlohmann::json& json, AmountReport& amount) {
  json.at("key").get_to(amount.key);
  json.at("wanted").get_to(amount.requested);
  json.at("settled").get_to(amount.spent);
  json.at("given").get_to(amount.returned);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Member, id, name, weight)

inline void to_json(nlohmann::json& json, const Ledger::Lease& lease) {
  json["epoch"] = lease.epoch;
  json["amount"] = lease.amount;
  json["ends"] = lease.expires_at;
  json["tail"] = lease.unacknowledged;
  json["tail_ends"] = lease.unacknowledged_expires_at;
  json["seen"] = lease.observed;
  json["forecast"] = lease.forecast;
  json["told"] = lease.reported_at;
}

inline void from_json(const nlohmann::json& json, Ledger::Lease& lease) {
  json.at("epoch").get_to(lease.epoch);
  json.at("amount").get_to(lease.amount);
  json.at("ends").get_to(lease.expires_at);
  json.at("tail").get_to(lease.unacknowledged);
  json.at("tail_ends").get_to(lease.unacknowledged_expires_at);
  json.at("seen").get_to(lease.observed);
  json.at("forecast").get_to(lease.forecast);
  json.at("told").get_to(lease.reported_at);
}

inline void to_json(nlohmann::json& json, const Ledger::OrphanedLease& lease) {
  json["member"] = lease.member;
  json["incarnation"] = lease.incarnation;
  json["epoch"] = lease.epoch;
  json["amount"] = lease.amount;
  json["ends"] = lease.expires_at;
}

inline void from_json(const nlohmann::json& json, Ledger::OrphanedLease& lease) {
  json.at("member").get_to(lease.member);
  json.at("incarnation").get_to(lease.incarnation);
  json.at("epoch").get_to(lease.epoch);
  json.at("amount").get_to(lease.amount);
  json.at("ends").get_to(lease.expires_at);
}

inline void to_json(nlohmann::json& json, const Ledger::Account& account) {
  json["epoch"] = account.epoch;
  json["drawn"] = account.drawn;
  json["settled"] = account.spent;
  json["given"] = account.returned;
  json["ends"] = account.expires_at;
}

inline void from_json(const nlohmann::json& json, Ledger::Account& account) {
  json.at("epoch").get_to(account.epoch);
  json.at("drawn").get_to(account.drawn);
  json.at("settled").get_to(account.spent);
  json.at("given").get_to(account.returned);
  json.at("ends").get_to(account.expires_at);
}

inline void to_json(nlohmann::json& json, const Ledger::Entry& entry) {
  json["leases"] = entry.leases;
  json["orphans"] = entry.orphaned_leases;
  json["accounts"] = entry.accounts;
  json["spent"] = entry.closed_spent;
  json["divided"] = entry.divided_at;
  json["wanted"] = entry.last_demand_at;
}

inline void from_json(const nlohmann::json& json, Ledger::Entry& entry) {
  json.at("leases").get_to(entry.leases);
  json.at("orphans").get_to(entry.orphaned_leases);
  json.at("accounts").get_to(entry.accounts);
  json.at("spent").get_to(entry.closed_spent);
  json.at("divided").get_to(entry.divided_at);
  json.at("wanted").get_to(entry.last_demand_at);
}

inline void to_json(nlohmann::json& json, const Ledger::MemberRecord& record) {
  json["incarnation"] = record.incarnation;
  json["confirmed"] = record.confirmed_version;
  json["told"] = record.reported_at;
  json["floor_until"] = record.guaranteed_until;
  json["floors"] = record.guaranteed_shares;
  json["fenced"] = record.fenced;
}

inline void from_json(const nlohmann::json& json, Ledger::MemberRecord& record) {
  json.at("incarnation").get_to(record.incarnation);
  json.at("confirmed").get_to(record.confirmed_version);
  json.at("told").get_to(record.reported_at);
  json.at("floor_until").get_to(record.guaranteed_until);
  json.at("floors").get_to(record.guaranteed_shares);
  json.at("fenced").get_to(record.fenced);
}

inline void to_json(nlohmann::json& json, const Ledger::Counters& counters) {
  json["commands"] = counters.commands;
  json["old"] = counters.stale;
  json["refused"] = counters.rejected;
  json["keys_full"] = counters.keys_full;
  json["grants"] = counters.grants;
  json["renewals"] = counters.renewals;
  json["lowered"] = counters.reductions;
  json["expired"] = counters.expired;
  json["orphaned"] = counters.orphaned;
  json["given_back"] = counters.returns;
  json["changes"] = counters.changes;
  json["fenced"] = counters.fenced;
  json["unknown"] = counters.unknown_budgets;
}

inline void from_json(const nlohmann::json& json, Ledger::Counters& counters) {
  json.at("commands").get_to(counters.commands);
  json.at("old").get_to(counters.stale);
  json.at("refused").get_to(counters.rejected);
  json.at("keys_full").get_to(counters.keys_full);
  json.at("grants").get_to(counters.grants);
  json.at("renewals").get_to(counters.renewals);
  json.at("lowered").get_to(counters.reductions);
  json.at("expired").get_to(counters.expired);
  json.at("orphaned").get_to(counters.orphaned);
  json.at("given_back").get_to(counters.returns);
  json.at("changes").get_to(counters.changes);
  json.at("fenced").get_to(counters.fenced);
  json.at("unknown").get_to(counters.unknown_budgets);
}

inline void to_json(nlohmann::json& json, const Command& command) {
  json["kind"] = command.kind;
  json["member"] = command.member;
  json["incarnation"] = command.incarnation;
  json["floor_version"] = command.shares_version;
  json["needs"] = command.demands;
  json["amounts"] = command.amounts;
  json["barred"] = command.excluded;
  json["members"] = command.members;
  json["key"] = command.key;
  json["whole"] = command.limit;
  json["settled"] = command.spent;
}

inline void from_json(const nlohmann::json& json, Command& command) {
  json.at("kind").get_to(command.kind);
  json.at("member").get_to(command.member);
  json.at("incarnation").get_to(command.incarnation);
  json.at("floor_version").get_to(command.shares_version);
  json.at("needs").get_to(command.demands);
  json.at("amounts").get_to(command.amounts);
  json.at("barred").get_to(command.excluded);
  json.at("members").get_to(command.members);
  json.at("key").get_to(command.key);
  json.at("whole").get_to(command.limit);
  json.at("settled").get_to(command.spent);
}

nlohmann::json ToJson(const Command& command) {
  nlohmann::json json = command;
  return json;
}

Command CommandFromJson(const nlohmann::json& json) {
  Command command = json.get<Command>();
  if (command.kind < Command::Kind::kReport || command.kind > Command::Kind::kRetireKey)
    throw json_files::StoredDataError("unknown kind of ledger command");
  return command;
}

constexpr int kSnapshotFormat = 1;

nlohmann::json Ledger::Snapshot() const {
  nlohmann::json snapshot{{"format", kSnapshotFormat},  {"file", ToJson(file_)}, {"next", nullptr},
                          {"version", shares_version_}, {"epoch", epoch_},       {"time", time_},
                          {"holders", member_records_}, {"entries", entries_},   {"retired", retired_keys_},
                          {"counters", counters_}};
  if (pending_file_) snapshot["next"] = ToJson(*pending_file_);
  return snapshot;
}

Ledger::Ledger(const nlohmann::json& snapshot) {
  if (snapshot.at("format") != kSnapshotFormat)
    throw json_files::StoredDataError(
        "unsupported format of the ledger snapshot: " + snapshot.at("format").dump() + ", supported is " +
        std::to_string(kSnapshotFormat));
  file_ = ReadBudgets(snapshot.at("file"), "ledger");
  if (!snapshot.at("next").is_null()) pending_file_ = ReadBudgets(snapshot.at("next"), "ledger");
  snapshot.at("version").get_to(shares_version_);
  snapshot.at("epoch").get_to(epoch_);
  snapshot.at("time").get_to(time_);
  snapshot.at("holders").get_to(member_records_);
  snapshot.at("entries").get_to(entries_);
  snapshot.at("retired").get_to(retired_keys_);
  snapshot.at("counters").get_to(counters_);
}

}  // namespace cluster_manager::budgets
