// The values in the stored files under tests/data. Earlier versions of the program wrote the files from these
// values; the tests read them and write them again.
#pragma once

#include <string>

#include "budgets/member_share.h"
#include "consensus/message.h"
#include "handover/handover.h"
#include "node_suspension/node_suspensions.h"
#include "spending_fixtures.h"
#include "store/store.h"

namespace cluster_manager::compatibility {

// --- Files shared by two processes of one cluster manager

inline Handover SampleHandover() {
  Handover all;
  HandedOverTask task;
  task.id = 0x7f3a9c21e0b4d655;
  task.node = 4242;
  task.class_name = std::string("c\0\"\xff", 4);
  task.tenant = "shop one";
  task.task.name = 7;
  task.task.service = 0xffffffffffffffff;
  task.task.cores = 0.25;
  task.task.memory = 1.5;
  task.payload = std::string("\x00\x64run\n\x80", 7);
  task.class_end = 3;
  all.tasks.push_back(task);
  all.completions.push_back({9, 17, TaskEnd::kCompleted});
  all.completions.push_back({10, HandedOverCompletion::kAnyNode, TaskEnd::kAborted});
  return all;
}

// Two nodes suspended by an operator and a third that was resumed.
inline std::string SampleSuspensions() {
  NodeSuspensions suspensions([](std::string_view id) { return static_cast<NodeId>(id.back()); });
  for (const char* id : {"s-00000002", "s-00000001", "s-00000003"}) suspensions.Suspend(id);
  suspensions.Resume("s-00000003", 5);
  return suspensions.PendingChange()(std::nullopt);
}

// --- The store

inline store::Batch SampleBatch() {
  store::Batch batch;
  batch.state = store::PersistentState{0x1122334455667788, 0x99aabbccddeeff00, 12, 0x1122334455667788};
  batch.snapshot = store::Snapshot{40, 11, {1, 2, 3}, {4, 5, 6, 7}};
  batch.remove_all_entries = true;
  batch.first_index = 41;
  batch.entries = {{11, 0, {}}, {12, 1, {0, 255, 128}}, {12, 2, {9}}};
  batch.named = {{"floors", {10, 20, 30}}, {"spending", {0}}};
  return batch;
}

// --- Consensus between the members

inline std::vector<consensus::Member> SampleMembers() {
  return {{0, 0xffeeddccbbaa9988, true}, {3, 77, false}, {65535, 1, true}};
}

inline consensus::Message SampleMessage() {
  consensus::Message message;
  message.kind = consensus::MessageKind::kInstallSnapshot;
  message.cluster = 0x99aabbccddeeff00;
  message.from_identity = 0x1122334455667788;
  message.to_identity = 77;
  message.from = 2;
  message.to = 3;
  message.term = 12;
  message.index = 43;
  message.log_term = 11;
  message.commit_index = 42;
  message.round = 300;
  message.entries = {{11, consensus::EntryKind::kNoOp, {}},
                     {12, consensus::EntryKind::kCommand, {0, 255, 128}},
                     {12, consensus::EntryKind::kMembers, consensus::EncodeMembers(SampleMembers())}};
  message.members = SampleMembers();
  message.state = {4, 5, 6, 7};
  return message;
}

// --- The ledger of shared budgets

constexpr budgets::Time kBudgetSecond = 1'000'000'000, kBudgetStart = 1'000'000 * kBudgetSecond;

inline budgets::BudgetFile SampleBudgets() {
  using budgets::kUnit;
  budgets::BudgetFile file;
  file.members = {{0, "n0", 1}, {1, "n1", 2}};
  file.lease_duration = 2 * kBudgetSecond;
  file.rules.resize(3);
  file.rules[0] = {"retries", "*", budgets::Kind::kRate, 100 * kUnit, kUnit, kBudgetSecond, 0, 400'000, {}};
  file.rules[1] = {"node_attempts", "*",     budgets::Kind::kConcurrency, 40 * kUnit, kUnit, kBudgetSecond,
                   300'000'000,     500'000, {{"n1", 5 * kUnit}}};
  file.rules[2] = {"spending", "pay/*", budgets::Kind::kAmount, 1000 * kUnit, 10'000, kBudgetSecond, 0,
                   0,          {}};
  return file;
}

// A command with a different value in each field.
inline budgets::Command SampleCommand() {
  budgets::Command command;
  command.kind = budgets::Command::Kind::kReport;
  command.member = 1;
  command.incarnation = 2;
  command.shares_version = 1;
  command.demands = {{{0, ""}, 30 * budgets::kUnit, 20 * budgets::kUnit, 4, 6 * budgets::kUnit}};
  command.amounts = {{{2, "pay/2026-12"}, 50 * budgets::kUnit, 20 * budgets::kUnit, 10 * budgets::kUnit}};
  command.excluded = {7};
  command.members = {{8, "n8", 3}};
  command.key = {1, "node-1"};
  command.limit = 9;
  command.spent = 10;
  return command;
}

// A ledger after reports, draws, a grant, a restart of a member and an expiry, with a pending change of a
// limit.
inline budgets::Ledger SampleLedger() {
  using budgets::Command;
  budgets::Ledger ledger(SampleBudgets());
  Command command = SampleCommand();
  command.demands[0] = {{0, ""}, 60 * budgets::kUnit, 50 * budgets::kUnit, 0, 0};
  ledger.Apply(command, kBudgetStart);
  command.member = 0;
  command.demands.push_back({{1, "node-1"}, 12 * budgets::kUnit, 9 * budgets::kUnit, 0, 0});
  ledger.Apply(command, kBudgetStart + 1);
  Command grant;
  grant.kind = Command::Kind::kGrant;
  ledger.Apply(grant, kBudgetStart + kBudgetSecond / 2);
  command.member = 1;
  command.incarnation = 3;
  ledger.Apply(command, kBudgetStart + kBudgetSecond + 5);
  ledger.Apply(grant, kBudgetStart + kBudgetSecond * 3 / 2);
  Command retire;
  retire.kind = Command::Kind::kRetireKey;
  retire.key = {2, "pay/2026-11"};
  ledger.Apply(retire, kBudgetStart + 2 * kBudgetSecond + 1);
  Command change;
  change.kind = Command::Kind::kChangeLimit;
  change.key = {0, ""};
  change.limit = 80 * budgets::kUnit;
  ledger.Apply(change, kBudgetStart + 2 * kBudgetSecond + 2);
  return ledger;
}

inline budgets::MemberShare SampleShare() {
  budgets::MemberShare share(SampleBudgets(), {1, 3, true, {}}, kBudgetStart);
  share.OnLedgerUpdate(SampleLedger().UpdateFor(1), kBudgetStart + 2 * kBudgetSecond);
  return share;
}

// --- The spending account of a member

// Tasks of each state except replaced (completed, handed over, lost, migrated, requested and waiting) and
// returned money.
inline nlohmann::json SampleSpending() {
  using spending::kSecond;
  spending::SingleMember member;
  member.Evaluate();
  member.AdmitAndStart(spending::NewTask(1, 0, 2), 600);
  member.AdmitAndStart(spending::NewTask(2, 1, 3), 7200);
  member.AdmitAndStart(spending::NewTask(3, 0, 1), 7200);
  member.AdmitAndStart(spending::NewTask(4, 1, 1), 7200);
  member.Evaluate(600 * kSecond);
  member.controller.OnTaskEnded(1, member.now - 5 * kSecond, member.now);
  member.controller.OnTaskLost(3, member.now, member.now);
  member.controller.OnTaskChanged(4, 0, {2000, 0}, 1, member.now);
  member.estimator.run_seconds[5] = 3600;
  member.Admit(spending::NewTask(5, 0, 1));
  member.controller.Admit(spending::NewTask(6, 0, 40), member.now);
  member.controller.OnTaskHandedOver(2, member.now, member.now);
  member.controller.Evaluate(member.now + kSecond);
  return member.controller.Snapshot();
}

}  // namespace cluster_manager::compatibility
