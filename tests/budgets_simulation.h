// A simulation in virtual time, driven by a seed: members with their shares, one ledger and the network
// between them. Its checks of the limits use what the processes could use and did use, by true time,
// independently of leases.
#pragma once

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "budgets/member_share.h"

namespace cluster_manager::budgets {

constexpr Time kMillisecond = 1'000'000, kSecond = 1'000'000'000;

template <typename Number>
std::string MemberName(Number id) {
  return std::string("m").append(std::to_string(id));
}

inline BudgetFile MakeBudgetFile(int members) {
  BudgetFile file;
  for (int i = 0; i < members; ++i) file.members.push_back({static_cast<MemberId>(i), MemberName(i)});
  file.lease_duration = 2 * kSecond;
  file.max_clock_skew = 200 * kMillisecond;
  file.report_interval = 100 * kMillisecond;
  file.max_change_per_second = 2 * kUnit;
  file.rules.resize(3);
  file.rules[0] = {"retries", "*", Kind::kRate, 100 * kUnit, kUnit, kSecond, 0, 400'000, {}};
  file.rules[1] = {"node_attempts", "*", Kind::kConcurrency, 40 * kUnit, kUnit, 0, 300 * kMillisecond,
                   500'000,         {}};
  file.rules[2] = {"spending", "*", Kind::kAmount, 1000 * kUnit, 10'000, 0, 0, 0, {}};
  return file;
}

// Not every process belongs to a configured member: `spare` ones can be started when members are added.
struct Simulation {
  static constexpr Time kStep = 40 * kMillisecond;
  struct Process {
    std::optional<MemberShare> share;
    bool running = false, paused = false;
    Time offset = 0;  // of its clock
    std::uint64_t incarnation = 0;
    nlohmann::json state;
    bool receives_nothing = false, sends_nothing = false;
    int demand_percent = 30;  // of the rate's limit
  };
  struct Task {  // occupies a concurrency unit, in true time, whether its process still runs or not
    Time ends_at;
    std::size_t process;
    std::uint64_t incarnation;
    Micro amount;
  };
  struct Message {
    Time arrives_at;
    std::optional<Command> command;  // to the ledger; without one, `update` goes to its member
    LedgerUpdate update;
  };
  const Key rate{0, ""}, concurrency{1, "node-1"}, spending{2, "payments/2026-12"};

  BudgetFile file;
  pcg32 random;
  std::vector<Process> processes;
  std::unique_ptr<Ledger> ledger;
  std::vector<Message> network;
  std::vector<Task> tasks;
  std::deque<std::pair<Time, Micro>> rate_uses;
  Micro spent = 0;  // of the amount, by all incarnations
  Time now = 1'000'000 * kSecond, granted_at = 0, ledger_down_until = 0;
  Time ledger_offset = 0;
  int drop_percent = 0, duplicate_percent = 0, max_delay_ms = 20;
  std::vector<MemberId> excluded;
  // Results of the checks.
  int violations = 0;
  std::string first_violation;
  double acquired = 0, requested = 0;  // of the rate
  Micro max_entitlement = 0;           // of the rate, all members together
  std::uint64_t messages = 0;

  Simulation(const BudgetFile& budgets, std::uint64_t seed, int spare = 0)
      : file(budgets),
        random(seed),
        processes(budgets.members.size() + static_cast<std::size_t>(spare)),
        ledger(std::make_unique<Ledger>(budgets)) {}

  int RandomBelow(int bound) { return static_cast<int>(random(static_cast<std::uint32_t>(bound))); }
  Time Clock(const Process& process) const { return now + process.offset; }
  // A clock anywhere within the skew, often at its edge.
  Time RandomOffset() {
    const Time edge = file.max_clock_skew * (RandomBelow(2) == 0 ? 1 : -1);
    return RandomBelow(2) == 0 ? edge : edge * RandomBelow(100) / 100;
  }
  void Start(std::size_t i, bool with_state, bool in_force) {
    Process& process = processes[i];
    process.running = true;
    process.paused = false;
    MemberShare::Start start{static_cast<MemberId>(i), ++process.incarnation, in_force,
                             with_state ? process.state : nlohmann::json()};
    process.share.emplace(file, start, Clock(process));
    if (!with_state) process.state = nullptr;
  }
  void StartAll() {
    for (std::size_t i = 0; i < file.members.size(); ++i) Start(i, false, true);
  }
  void Kill(std::size_t i) {
    processes[i].running = false;
    processes[i].share.reset();
  }
  void Send(Message message) {
    ++messages;
    if (RandomBelow(100) < drop_percent) return;
    message.arrives_at = now + RandomBelow(max_delay_ms) * kMillisecond;
    if (RandomBelow(100) < duplicate_percent) {
      network.push_back(message);
      network.back().arrives_at += RandomBelow(4000) * kMillisecond;
    }
    network.push_back(std::move(message));
  }
  void Deliver() {
    for (std::size_t k = 0; k < network.size();) {
      if (network[k].arrives_at > now) {
        ++k;
        continue;
      }
      const Message message = std::move(network[k]);
      network[k] = std::move(network.back());
      network.pop_back();
      if (message.command) {
        if (now < ledger_down_until) continue;
        // Some commands pass the encoding of the replicated log.
        const Command command = RandomBelow(16) > 0 ? *message.command
                                                    : CommandFromJson(nlohmann::json::from_cbor(
                                                          nlohmann::json::to_cbor(ToJson(*message.command))));
        ledger->Apply(command, now + ledger_offset);
      } else if (Process& process = processes[message.update.member];
                 process.running && !process.paused && !process.receives_nothing) {
        process.share->OnLedgerUpdate(message.update, Clock(process));
        if (process.share->has_unsaved_state()) {
          process.state = process.share->SaveState();
          process.share->OnStateSaved(process.share->version());
        }
      }
    }
  }
  void Grant() {
    if (now - granted_at < 200 * kMillisecond || now < ledger_down_until) return;
    granted_at = now;
    Command command;
    command.kind = Command::Kind::kGrant;
    command.excluded = excluded;
    ledger->Apply(command, now + ledger_offset);
    for (std::size_t i = 0; i < processes.size(); ++i)
      Send({0, std::nullopt, ledger->UpdateFor(static_cast<MemberId>(i))});
  }
  void StepProcess(std::size_t i) {
    Process& process = processes[i];
    if (!process.running || process.paused) return;
    const Time clock = Clock(process);
    const Micro limit = file.rules[0].limit;
    // Requests its demand of the rate; the fraction of a unit is requested with that probability.
    const double expected =
        static_cast<double>(limit) / kUnit * process.demand_percent / 100 * kStep / kSecond;
    int requests = static_cast<int>(expected);
    requests += RandomBelow(1000) < (expected - requests) * 1000 ? 1 : 0;
    for (int k = 0; k < requests; ++k) {
      requested += 1;
      if (!process.share->TryAcquire(rate, kUnit, clock)) continue;
      acquired += 1;
      rate_uses.push_back({now, kUnit});
    }
    if (RandomBelow(60) < process.demand_percent && process.share->TryAcquire(concurrency, kUnit, clock))
      tasks.push_back(
          {now + RandomBelow(static_cast<int>(file.rules[1].max_hold_time / kMillisecond)) * kMillisecond, i,
           process.incarnation, kUnit});
    if (RandomBelow(200) < process.demand_percent) {
      const Micro cost = (1 + RandomBelow(3000)) * 1000;
      if (process.share->TryAcquire(spending, cost, clock)) {
        spent += cost;
        if (RandomBelow(2) == 0) {
          process.share->RecordSpending(spending, cost);
        } else if (RandomBelow(2) == 0) {
          process.share->Release(spending, cost, clock);
          spent -= cost;
        }
      }
    }
    if (std::optional<Command> report = process.share->NextReport(clock); report && !process.sends_nothing)
      Send({0, std::move(report), {}});
  }
  void RecordViolation(const std::string& text) {
    if (violations++ == 0)
      first_violation = text + " at " + std::to_string((now - 1'000'000 * kSecond) / kMillisecond) + " ms";
  }
  void CheckLimits() {
    for (const Key& key : {rate, concurrency}) {
      Micro sum = 0;
      for (const Process& process : processes) {
        if (process.running && !process.paused) sum += process.share->Entitlement(key, Clock(process));
      }
      if (key == rate) max_entitlement = std::max(max_entitlement, sum);
      if (sum > ledger->file().rules[static_cast<std::size_t>(key.rule)].limit)
        RecordViolation("entitlements of " + std::to_string(sum) + " on budget " + std::to_string(key.rule));
    }
    Micro held = 0;
    for (const Task& task : tasks) held += task.amount;
    if (held > ledger->file().rules[1].limit) RecordViolation("held " + std::to_string(held));
    Micro used = 0;
    while (!rate_uses.empty() && rate_uses.front().first <= now - file.rules[0].window) rate_uses.pop_front();
    for (const auto& [at, amount] : rate_uses) used += amount;
    // One window's worth in the buckets and one window's worth that is added, of the largest limit so far.
    if (used > 2 * max_limit) RecordViolation("used in a window " + std::to_string(used));
    if (spent > file.rules[2].limit) RecordViolation("spent " + std::to_string(spent));
  }
  Micro max_limit = 0;  // of the rate, so far
  std::function<void()> before_step = [] {};
  void Run(Time length) {
    for (const Time end = now + length; now < end;) {
      now += kStep;
      max_limit = std::max(max_limit, ledger->file().rules[0].limit);
      std::erase_if(tasks, [this](const Task& task) {
        if (task.ends_at > now) return false;
        Process& process = processes[task.process];
        if (process.paused && process.incarnation == task.incarnation) return false;
        if (process.running && process.incarnation == task.incarnation)
          process.share->Release(concurrency, task.amount, Clock(process));
        return true;
      });
      before_step();
      Deliver();
      for (std::size_t i = 0; i < processes.size(); ++i) StepProcess(i);
      Grant();
      CheckLimits();
    }
  }
};

}  // namespace cluster_manager::budgets
