// Shared budgets: limits that all cluster managers of an installation together must not exceed.
//
// This file defines the operators' document, deploy/budgets.json, whose schema is deploy/budgets.schema.json.
// It is read completely or rejected; each error names the file, the place, the value and the legal values.
// The ledger holds the document that is in force and changes it by commands; a member share keeps the
// document that its process was started with.
//
// All quantities are integers in millionths of a unit (Micro), so that sums are exact and equal on every
// machine. Rate budgets (units per window) and concurrency budgets (units in use at the same time) are leased
// to members, which also have guaranteed shares of them. Amount budgets are consumed and have no guaranteed
// shares: how much of such a share was consumed would be known only to its member and be lost with its disk.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cluster_manager::budgets {

using Time = std::int64_t;   // Unix nanoseconds
using Micro = std::int64_t;  // millionths of a unit
using MemberId = std::uint32_t;
constexpr Micro kUnit = 1'000'000;

// kRate: units per window; kConcurrency: units in use at the same time; kAmount: units that are consumed.
enum class Kind { kRate, kConcurrency, kAmount };

// A budget that the document may configure. Its keys have the form `key_format`: "" for one budget of the
// whole fleet, otherwise the name of a node, site, tenant or class, or a pair such as "node/gap" or
// "team/month".
struct BudgetType {
  const char* name;
  Kind kind;
  const char* key_format;
};
// All known ones, in the order in which error messages list them.
const std::vector<BudgetType>& BudgetTypes();

// The limit of one budget for all keys that match `pattern`, a shell pattern. Each matching key has the whole
// limit to itself.
struct Rule {
  std::string name, pattern = "*";
  Kind kind = Kind::kRate;
  Micro limit = 0;
  Micro granularity = kUnit;    // leases are multiples of it, as a fraction of a start cannot be used
  Time window = 1'000'000'000;  // of a rate
  // Of a concurrency budget: the longest time for which an acquired unit stays occupied. It is leased again
  // only after that.
  Time max_hold_time = 0;
  Micro guaranteed_fraction = 500'000;               // millionths of limit / members, for each member
  std::map<std::string, Micro> explicit_guarantees;  // by member name; replaces the fraction
};

// A cluster manager of the installation. Leases are divided by weight.
struct Member {
  MemberId id = 0;
  std::string name;
  std::int64_t weight = 1;
};

// The budgets document, with the default values of its optional fields.
struct BudgetFile {
  int version = 1;
  std::vector<Member> members;  // by id, ascending
  Time lease_duration = 3'000'000'000;
  Time max_clock_skew = 200'000'000;      // largest difference of a member's clock from true time
  Time report_interval = 250'000'000;     // shortest time between two reports of a member
  Time guarantee_duration = 0;            // 0: guaranteed shares never expire, even without communication
  Micro hysteresis = 100'000;             // millionths of a lease; smaller changes are not made
  Micro max_change_per_second = 500'000;  // of one lease, in millionths of the limit
  std::int64_t max_keys = 4096;           // of all rules together
  std::vector<Rule> rules;

  // The index of the first rule for this name and key; -1 where there is none: the key is not budgeted.
  int FindRule(const std::string& name, const std::string& key) const;
  // The guaranteed share of a member; 0 for unknown members and for amounts.
  Micro GuaranteedShare(int rule_index, MemberId id) const;
  const Member* FindMember(MemberId member) const;  // nullptr where there is none
};

// Reads the document; `file` is its name in error messages. Throws json_files::DocumentError with a line for
// each error: "FILE: PLACE: what is wrong, what is legal".
BudgetFile ReadBudgets(const nlohmann::json& document, const std::string& file);
// Loads and reads the file; throws as ReadBudgets does.
BudgetFile LoadBudgets(const std::string& file);
// The document as ReadBudgets reads it, with all optional fields written out.
nlohmann::json ToJson(const BudgetFile& budgets);

// Checks what involves several fields: guaranteed shares above a limit, duplicate members, unreachable rules,
// durations that contradict each other. Returns a line for each error, "" where there is none.
std::string FindInconsistencies(const BudgetFile& budgets, const std::string& file);

}  // namespace cluster_manager::budgets
