// The operators' plan of teams, tariffs and spending caps: deploy/spending.json, described by
// deploy/spending.schema.json. The document is read in whole or not at all; each mistake is reported with its
// place, the value and what is allowed.
//
// A team lists what it pays for: a tenant, a service, or a service of a tenant. A pair is more specific than
// a tenant or a service alone. A document is refused if two teams pay for the same task: if an entry is
// listed twice, or if one team lists a tenant and another one a service, unless a pair assigns that service
// of that tenant. The alternative that the first team in the document pays was rejected, since moving a line
// would silently move costs.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "spending/tariff.h"

namespace cluster_manager::spending {

// What the plan refers to by name, and this member's place among the members.
struct Deployment {
  std::vector<std::string> classes;     // by class number
  std::vector<std::string> node_kinds;  // by node kind number
  std::vector<std::string> tenants;     // empty: any name is allowed
  int member_count = 1;                 // members that draw from one ledger
  int member = 0;                       // the number of this member
  Time max_retry_after = 0;             // the longest Retry-After that clients follow
};

// The enforcement steps of a class, as millionths of the cap. `notice` and `no_new_tasks` are compared with
// the spent and committed money, `hard_stop` with the spent money.
struct StepThresholds {
  std::int64_t notice = 800'000, no_new_tasks = 1'000'000, hard_stop = 1'000'000;
};

// A team, its monthly cap and its limits. The limits are amounts derived from the cap and the steps.
struct Team {
  std::string name;
  TimeZone time_zone;
  Money cap = 0;
  // The quantile of a task's remaining run time that is used as its estimate, in millionths.
  std::int64_t quantile_ppm = 900'000;
  std::vector<StepThresholds> steps;          // by class
  Money NewTaskLimit(int class_index) const;  // tasks of the class are added up to this amount
  Money HardStopLimit(int class_index) const;
};

// The content of the document. Durations are in nanoseconds.
struct Plan {
  std::vector<Team> teams;
  Tariffs tariffs;
  Time default_remaining = 3600 * kSecond;   // the remaining run time of tasks without an estimate
  Time lost_task_retention = 600 * kSecond;  // how long a lost task's remainder is reserved
  Time reservation_timeout = 30 * kSecond;   // how long money is reserved for an admitted request
  Time draw_retry_interval = kSecond;        // a draw without an answer is requested again after this time
  Time ledger_timeout = 10 * kSecond;        // after this time without an answer rejections name the ledger
  std::map<std::pair<std::string, std::string>, int> team_by_task;  // by (tenant, service), "" for any

  int FindTeam(const std::string& tenant, const std::string& service) const;  // -1: no team, and so no cap
  int FindTeamByName(const std::string& team) const;                          // -1: none
};

// Throws json_files::DocumentError with a line for each mistake: "FILE: PLACE: the mistake, what is allowed".
Plan ParsePlan(const nlohmann::json& document, const std::string& file, const Deployment& deployment);
Plan LoadPlan(const std::string& file, const Deployment& deployment);

}  // namespace cluster_manager::spending
