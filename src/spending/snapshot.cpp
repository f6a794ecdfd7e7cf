// SpendingController: the state kept across a restart, as canonical JSON with a checksum.
//
// Drawn money is restored with its levels, so the ledger and the member still agree; grants after the
// snapshot have a higher epoch and are applied again from the ledger's log. Tasks are restored in their last
// state: they are charged until their end is reported, and a late report corrects that.

#include <cstdio>
#include <limits>
#include <stdexcept>

#include "containers/hash.h"  // includes xxhash.h for inlining
#include "json_files/document_error.h"
#include "spending/spending_controller.h"

namespace cluster_manager::spending {
namespace {

using nlohmann::json;
constexpr int kFormatVersion = 1;
constexpr const char* kFormatName = "willowrail.spending";

std::string ChecksumOf(const json& body) {
  const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
  char checksum[17];
  std::snprintf(checksum, sizeof checksum, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return checksum;
}

template <typename Names>
int IndexOf(const Names& names, const std::string& name) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return static_cast<int>(i);
  }
  return -1;
}

std::string NameOf(const std::vector<std::string>& names, int index) {
  return index >= 0 && static_cast<std::size_t>(index) < names.size() ? names[static_cast<std::size_t>(index)]
                                                                      : "";
}

}  // namespace

json SpendingController::ToJson(const Task& task, const std::string& team, const Deployment& deployment) {
  json segments = json::array();
  for (const Segment& segment : task.segments) {
    segments.push_back({segment.start, segment.size.millicores, segment.size.memory_mib,
                        NameOf(deployment.node_kinds, segment.node_kind)});
  }
  json costs = json::array();
  for (const Account::Usage& usage : task.costs)
    costs.push_back({usage.spent, usage.committed, usage.reserved});
  const AdmissionRequest& request = task.request;
  return {{"id", request.id},
          {"team", team},
          {"tenant", request.tenant},
          {"service", request.service},
          {"class", NameOf(deployment.classes, request.class_index)},
          {"size", {request.size.millicores, request.size.memory_mib}},
          {"kind", NameOf(deployment.node_kinds, request.node_kind)},
          {"how", static_cast<int>(request.type)},
          {"of", request.existing_task},
          {"state", static_cast<int>(task.state)},
          {"segments", std::move(segments)},
          {"ends", task.end},
          {"lost", task.lost_at},
          {"until", task.expires},
          {"instead", task.replacement},
          {"turn", task.pending_order},
          {"costs", std::move(costs)}};
}

json SpendingController::Snapshot() const {
  json body = SnapshotBody(clock_.now());
  const std::string checksum = ChecksumOf(body);
  body["check"] = checksum;
  return body;
}

json SpendingController::SnapshotBody(Time at) const {
  json body = {{"kind", kFormatName},
               {"version", kFormatVersion},
               {"member", deployment_.member},
               {"at", at},
               {"next_turn", next_pending_order_},
               {"next_return", next_return_number_}};
  // The spending of the tasks in the table, by class.
  std::map<std::pair<int, Month>, std::vector<Money>> tracked_spending;
  for (const auto& [id, task] : tasks_) {
    const auto team = static_cast<std::size_t>(task.team);
    for (std::size_t m = 0; m < task.costs.size(); ++m) {
      const Month month = teams_[team].window.first + static_cast<Month>(m);
      // Restore() does not charge months after the window of `at` again: their spending stays in "settled"
      // below.
      if (task.costs[m].spent == 0 || month > plan_.teams[team].time_zone.MonthAt(at / kSecond) + 1) continue;
      std::vector<Money>& sums = tracked_spending[{task.team, month}];
      sums.resize(deployment_.classes.size());
      sums[static_cast<std::size_t>(task.request.class_index)] += task.costs[m].spent;
    }
  }
  body["teams"] = json::array();
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    json accounts = json::array();
    for (const auto& [month, account] : teams_[i].accounts) {
      json bands = json::array(), untracked_spending = json::array(), limits = json::object();
      for (std::size_t k = 0; k < deployment_.classes.size(); ++k)
        limits[deployment_.classes[k]] = account.LimitOf(static_cast<int>(k));
      for (const Account::Band& band : account.Bands()) bands.push_back({band.limit, band.drawn});
      // The spending of tasks that were removed from the table, by class.
      std::vector<Money> spent = account.spent_by_class();
      const auto tracked = tracked_spending.find({static_cast<int>(i), month});
      for (std::size_t k = 0; tracked != tracked_spending.end() && k < spent.size(); ++k)
        spent[k] -= tracked->second[k];
      for (std::size_t k = 0; k < spent.size(); ++k)
        untracked_spending.push_back({deployment_.classes[k], spent[k]});
      accounts.push_back(
          {{"month", FormatMonth(month)},
           {"cap", account.cap()},
           {"lines", std::move(limits)},
           {"levels", std::move(bands)},
           {"settled", std::move(untracked_spending)},
           {"epoch", account.epoch()},
           {"known", account.pool_known()},
           {"lowered", account.limits_lowered()},
           {"pool",
            {account.pool().drawn, account.pool().uncovered, account.pool().spent, account.pool().cap}}});
    }
    body["teams"].push_back({{"name", plan_.teams[i].name}, {"accounts", std::move(accounts)}});
  }
  body["workers"] = json::array();
  for (const auto& [id, task] : tasks_)
    body["workers"].push_back(
        ToJson(task, plan_.teams[static_cast<std::size_t>(task.team)].name, deployment_));
  body["returns"] = json::array();
  for (const auto& [number, money_return] : returns_) {
    body["returns"].push_back({{"number", number},
                               {"team", plan_.teams[static_cast<std::size_t>(money_return.team)].name},
                               {"month", FormatMonth(money_return.month)},
                               {"amount", money_return.amount}});
  }
  return body;
}

void SpendingController::Restore(const json& snapshot) {
  const auto fail = [](const std::string& text) {
    throw json_files::StoredDataError("spending snapshot: " + text);
  };
  if (!snapshot.is_object() || snapshot.value("kind", json()) != kFormatName)
    fail("is not a spending snapshot: kind is " +
         (snapshot.is_object() && snapshot.contains("kind") ? snapshot["kind"].dump().substr(0, 60)
                                                            : "missing") +
         ", expected \"" + kFormatName + "\"");
  if (snapshot.value("version", json()) != kFormatVersion)
    fail("version is " +
         (snapshot.contains("version") ? snapshot["version"].dump().substr(0, 60) : "missing") +
         ", this program reads " + std::to_string(kFormatVersion));
  json body = snapshot;
  body.erase("check");
  if (!snapshot.contains("check") || snapshot["check"] != ChecksumOf(body))
    fail("is truncated or changed: its checksum does not match");
  if (snapshot.value("member", json()) != deployment_.member)
    fail("belongs to member " + snapshot["member"].dump() + ", this is member " +
         std::to_string(deployment_.member));
  if (!tasks_.empty() || clock_.now() != 0) fail("cannot be restored into a controller that is in use");
  try {
    clock_.Restore(body["at"].get<Time>());
    if (clock_.now() != 0) {
      next_rollover_ = std::numeric_limits<Seconds>::max();
      for (std::size_t i = 0; i < teams_.size(); ++i) {
        RollOverMonth(static_cast<int>(i), clock_.now() / kSecond);
        next_rollover_ = std::min(next_rollover_, teams_[i].window.starts[3]);
      }
    }
    next_pending_order_ = body["next_turn"].get<std::uint64_t>();
    next_return_number_ = body["next_return"].get<std::uint64_t>();
    std::vector<std::pair<int, Month>> lowered_accounts;
    for (const json& entry : body["teams"]) {
      const int team = plan_.FindTeamByName(entry["name"].get<std::string>());
      if (team < 0) continue;  // no longer in the plan
      for (const json& account : entry["accounts"]) {
        const Month month = ParseMonth(account["month"].get<std::string>()).value();
        Account& restored = AccountFor(team, month);
        std::vector<Account::Band> bands;
        for (const json& band : account["levels"])
          bands.push_back({band[0].get<Money>(), band[1].get<Money>()});
        const json& pool = account["pool"];
        restored.Restore(
            bands, account["epoch"].get<std::uint64_t>(), account["known"].get<bool>(),
            account["lowered"].get<bool>(),
            {pool[0].get<Money>(), pool[1].get<Money>(), pool[2].get<Money>(), pool[3].get<Money>()});
        for (const json& class_spending : account["settled"]) {
          // The spending of a class that no longer exists is charged to the first class, so that the team's
          // sum is complete.
          const int class_index =
              std::max(0, IndexOf(deployment_.classes, class_spending[0].get<std::string>()));
          restored.Charge(class_index, {class_spending[1].get<Money>(), 0, 0});
        }
        bool lowered = restored.cap() < account["cap"].get<Money>();
        for (std::size_t k = 0; k < deployment_.classes.size(); ++k) {
          const auto limit = account["lines"].find(deployment_.classes[k]);
          lowered = lowered || limit == account["lines"].end() ||
                    restored.LimitOf(static_cast<int>(k)) < limit->get<Money>();
        }
        if (lowered) lowered_accounts.push_back({team, month});
      }
    }
    for (const json& entry : body["workers"]) {
      const int team = plan_.FindTeamByName(entry["team"].get<std::string>());
      const int class_index = std::max(0, IndexOf(deployment_.classes, entry["class"].get<std::string>()));
      if (team < 0) continue;
      AdmissionRequest request{entry["id"].get<TaskId>(),
                               entry["tenant"].get<std::string>(),
                               entry["service"].get<std::string>(),
                               class_index,
                               {entry["size"][0].get<std::int64_t>(), entry["size"][1].get<std::int64_t>()},
                               IndexOf(deployment_.node_kinds, entry["kind"].get<std::string>()),
                               static_cast<RequestType>(entry["how"].get<int>()),
                               entry["of"].get<TaskId>()};
      Task* task = InsertTask(request, team, static_cast<State>(entry["state"].get<int>()));
      for (const json& segment : entry["segments"]) {
        task->segments.push_back({segment[0].get<Time>(),
                                  {segment[1].get<std::int64_t>(), segment[2].get<std::int64_t>()},
                                  IndexOf(deployment_.node_kinds, segment[3].get<std::string>())});
      }
      task->end = entry["ends"].get<Time>();
      task->lost_at = entry["lost"].get<Time>();
      task->expires = entry["until"].get<Time>();
      task->replacement = entry["instead"].get<TaskId>();
      task->pending_order = entry["turn"].get<std::uint64_t>();
      if (task->state == State::kPending) pending_[task->pending_order] = request.id;
      if (task->state == State::kEnded) ended_.insert({task->end, request.id});
      if (task->state == State::kAdmitted) {  // the reservation keeps the amount at which it was admitted
        MonthlyCosts costs{};
        for (std::size_t m = 0; m < costs.size(); ++m) costs[m].reserved = entry["costs"][m][2].get<Money>();
        ChargeCosts(task, costs);
      } else if (task->state != State::kPending) {
        ChargeCosts(task, ComputeCosts(*task, clock_.now()));
      }
    }
    for (const json& entry : body["returns"]) {
      const int team = plan_.FindTeamByName(entry["team"].get<std::string>());
      if (team < 0) continue;
      const std::uint64_t number = entry["number"].get<std::uint64_t>();
      returns_[number] = {team, ParseMonth(entry["month"].get<std::string>()).value(),
                          entry["amount"].get<Money>(), number};
    }
    for (const auto& [team, month] : lowered_accounts)
      QueueReturn(team, month, AccountFor(team, month).ApplyLoweredLimits());
  } catch (const json::exception& error) {
    fail(std::string("does not have the structure of its version: ") + error.what());
  } catch (const std::bad_optional_access&) {
    fail("contains an invalid month");
  }
}

void SpendingController::ApplyPlan(Plan plan) { Rebuild(std::move(plan), clock_.now()); }

void SpendingController::Rebuild(Plan plan, Time at) {
  SpendingController next(std::move(plan), deployment_, estimator_);
  json body = SnapshotBody(at);
  const std::string checksum = ChecksumOf(body);
  body["check"] = checksum;
  next.Restore(body);
  next.clock_ = clock_;
  next.counters_ = counters_;
  next.log_lines_ = std::move(log_lines_);
  for (std::size_t i = 0; i < next.teams_.size(); ++i) {
    const int previous = plan_.FindTeamByName(next.plan_.teams[i].name);
    if (previous >= 0)
      next.teams_[i].reported_steps = teams_[static_cast<std::size_t>(previous)].reported_steps;
  }
  *this = std::move(next);
}

}  // namespace cluster_manager::spending
