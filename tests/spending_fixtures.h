// A ledger, an estimator and a member for the tests of teams' spending caps.
#pragma once

#include <cmath>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "spending/spending_controller.h"

namespace cluster_manager::spending {

inline Time ParseTime(const std::string& text) { return *ParseInstant(text) * kSecond; }
constexpr const char* kBerlinRule = "CET-1CEST,M3.5.0,M10.5.0/3";

inline Deployment TestDeployment(int member_count = 5) {
  return {{"web-api", "settlement"}, {"small", "large"}, {}, member_count, 0, 3 * kSecond};
}

// A plan with one team. A core hour costs one euro, on large nodes two. New tasks of web-api are admitted up
// to `web_share` of the cap.
inline nlohmann::json TestPlan(const std::string& cap = "100", double web_share = 0.9) {
  return {{"version", 1},
          {"tariffs",
           {{{"from", "2026-01-01T00:00:00Z"},
             {"kinds",
              {{"*", {{"core_hour", "1"}, {"gib_hour", "0"}}},
               {"large", {{"core_hour", "2"}, {"gib_hour", "0"}}}}}}}},
          {"teams",
           {{{"name", "pay"},
             {"zone", kBerlinRule},
             {"cap", cap},
             {"members", {{{"service", "pay"}}}},
             {"steps",
              {{"*", {{"notice", web_share * 0.8}, {"no_more_workers", web_share}, {"hard_stop", 1}}},
               {"settlement", {{"notice", 0.9}, {"no_more_workers", 1}, {"hard_stop", 1.05}}}}}}}}};
}

// Knows the run time of every task, and reports it with an error.
struct FakeEstimator final : RemainingTimeEstimator {
  std::map<TaskId, double> run_seconds;
  double error_factor = 1, default_seconds = 3600;
  double mean_seconds = 0;  // above 0: only the mean of an exponential distribution of run times is known
  double RemainingSeconds(const AdmissionRequest& task, double elapsed, double quantile) const override {
    if (mean_seconds > 0) return -mean_seconds * std::log(1 - quantile);
    const auto it = run_seconds.find(task.id);
    return std::max(0.0, (it == run_seconds.end() ? default_seconds : it->second) - elapsed) * error_factor;
  }
};

inline AdmissionRequest NewTask(TaskId id, int class_index = 0, std::int64_t cores = 1) {
  return {id, "shop", "pay", class_index, {cores * 1000, 0}, 0, RequestType::kNew, 0};
}

// Deterministic like the real one: grants draws in the order of the requests, and applies each return once.
struct FakeLedger {
  struct Account {
    Money cap = 0, drawn = 0;
    std::uint64_t epoch = 0;
    std::map<int, Money> uncovered, spent;
  };
  std::map<std::pair<int, Month>, Account> accounts;
  std::set<std::pair<int, std::uint64_t>> applied_returns;
  std::function<Money(int team)> cap_of_team;
  struct Grant {
    int team = 0;
    Month month = 0;
    Money amount = 0;
    std::uint64_t epoch = 0;
    LedgerPool pool;
  };

  Account& AccountFor(int team, Month month) {
    Account& account = accounts[{team, month}];
    account.cap = cap_of_team(team);
    return account;
  }
  Grant HandleDraw(int member, const DrawRequest& draw) {
    Account& account = AccountFor(draw.team, draw.month);
    const Money amount = std::clamp<Money>(account.cap - account.drawn, 0, draw.amount);
    account.drawn += amount;
    account.uncovered[member] = std::max<Money>(0, draw.uncovered - amount);
    account.spent[member] = draw.spent;
    LedgerPool pool{account.drawn, 0, 0, account.cap};
    for (const auto& [member_number, uncovered] : account.uncovered) pool.uncovered += uncovered;
    for (const auto& [member_number, spent] : account.spent) pool.spent += spent;
    return {draw.team, draw.month, amount, ++account.epoch, pool};
  }
  void HandleReturn(int member, const MoneyReturn& money_return) {
    if (applied_returns.insert({member, money_return.number}).second)
      AccountFor(money_return.team, money_return.month).drawn -= money_return.amount;
  }
};

// One member and the ledger, with messages that arrive at once.
struct SingleMember {
  FakeEstimator estimator;
  Deployment deployment;
  Plan plan;
  SpendingController controller;
  FakeLedger ledger;
  Time now;
  explicit SingleMember(const nlohmann::json& document = TestPlan(),
                        Time start = ParseTime("2026-03-10T12:00:00Z"), int member_count = 1)
      : deployment(TestDeployment(member_count)),
        plan(ParsePlan(document, "f", deployment)),
        controller(plan, deployment, &estimator),
        now(start) {
    ledger.cap_of_team = [this](int team) {
      return controller.plan().teams[static_cast<std::size_t>(team)].cap;
    };
  }
  std::vector<std::string> Evaluate(Time elapsed = 0) {
    now += elapsed;
    std::vector<std::string> lines = controller.Evaluate(now);
    ExchangeWithLedger();
    return lines;
  }
  void ExchangeWithLedger() {
    const std::map<std::uint64_t, MoneyReturn> returns = controller.PendingReturns();
    for (const auto& [number, money_return] : returns) {
      ledger.HandleReturn(0, money_return);
      controller.AcknowledgeReturn(number);
    }
    for (const DrawRequest& draw : controller.CollectDrawRequests(now)) {
      const FakeLedger::Grant grant = ledger.HandleDraw(0, draw);
      controller.ApplyGrant(grant.team, grant.month, grant.amount, grant.epoch, grant.pool, now);
    }
  }
  // Retries like a client while money is being drawn.
  AdmissionDecision Admit(const AdmissionRequest& request) {
    AdmissionDecision decision = controller.Admit(request, now);
    for (int i = 0; i < 3 && decision.outcome == AdmissionDecision::Outcome::kRetryLater; ++i) {
      now += kSecond;
      ExchangeWithLedger();
      decision = controller.Admit(request, now);
    }
    return decision;
  }
  bool AdmitAndStart(const AdmissionRequest& request, double seconds = 3600) {
    estimator.run_seconds[request.id] = seconds;
    if (!Admit(request).admitted()) return false;
    controller.OnTaskAccepted(request, now, now);
    return true;
  }
  // The usage of a month relative to the current one.
  Account::Usage UsageOf(int month_offset = 0) const {
    const Account* account = controller.FindAccount(0, controller.CurrentMonth(0) + month_offset);
    return account == nullptr ? Account::Usage{} : account->usage();
  }
};

}  // namespace cluster_manager::spending
