// Data stored by earlier versions: each file under tests/data is read with all its values and written again
// with the same bytes.
#include <doctest/doctest.h>
#include <sqlite3.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "compatibility_samples.h"
#include "shared_file/shared_file.h"

namespace cluster_manager::compatibility {
namespace {

using nlohmann::json;

std::string DataFile(const std::string& name) { return std::string(WILLOWRAIL_TEST_DATA "/") + name; }

std::string BytesOf(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  REQUIRE_MESSAGE(file.good(), "cannot read " << path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string StoredBytes(const std::string& name) { return BytesOf(DataFile(name)); }

std::vector<std::uint8_t> StoredOctets(const std::string& name) {
  const std::string bytes = StoredBytes(name);
  return {bytes.begin(), bytes.end()};
}

std::string Line(const json& document) { return document.dump() + "\n"; }

// A temporary folder, removed with all its files on destruction.
class Folder {
 public:
  Folder() {
    path_ = (std::filesystem::temp_directory_path() / "willowrail-kept-XXXXXX").string();
    REQUIRE(::mkdtemp(path_.data()) != nullptr);
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  std::string Path(const std::string& name) const { return path_ + "/" + name; }
  std::string Copy(const std::string& name) const {
    std::filesystem::copy_file(DataFile(name), Path(name));
    return Path(name);
  }

 private:
  std::string path_;
};

// --- Files shared by two processes

TEST_CASE("a stored file of suspended nodes is read and its nodes are suspended") {
  const std::optional<std::string> text = SharedFile(DataFile("willowrail.n0.rotation")).ReadIfChanged();
  REQUIRE(text.has_value());
  CHECK(*text == "s-00000001\ns-00000002\n");
  CHECK(*text == SampleSuspensions());
  NodeSuspensions rotation([](std::string_view id) { return static_cast<NodeId>(id.back()); });
  CHECK(rotation.ApplyText(*text, 0, 5) == std::vector<NodeId>{'1', '2'});
  CHECK(rotation.IsSuspended("s-00000001"));
  CHECK(rotation.IsSuspended("s-00000002"));
  CHECK(rotation.size() == 2);
}

TEST_CASE("a stored handover is read with each value and written again with the same bytes") {
  const std::optional<std::string> text = SharedFile(DataFile("willowrail.n0.handover")).ReadIfChanged();
  REQUIRE(text.has_value());
  CHECK(*text == FormatHandover(SampleHandover()));
  const Handover all = ParseHandover(*text);
  REQUIRE(all.tasks.size() == 1);
  const HandedOverTask& task = all.tasks[0];
  CHECK(task.id == 0x7f3a9c21e0b4d655);
  CHECK(task.node == 4242);
  CHECK(task.class_name == std::string("c\0\"\xff", 4));
  CHECK(task.tenant == "shop one");
  CHECK(task.task.name == 7);
  CHECK(task.task.service == 0xffffffffffffffff);
  CHECK(task.task.cores == 0.25);
  CHECK(task.task.memory == 1.5);
  CHECK(task.payload == std::string("\x00\x64run\n\x80", 7));
  CHECK(task.class_end == 3);
  REQUIRE(all.completions.size() == 2);
  CHECK(all.completions[0].id == 9);
  CHECK(all.completions[0].node == 17);
  CHECK(all.completions[0].end == TaskEnd::kCompleted);
  CHECK(all.completions[1].id == 10);
  CHECK(all.completions[1].node == HandedOverCompletion::kAnyNode);
  CHECK(all.completions[1].end == TaskEnd::kAborted);
}

// The time in the stored file is in the future, so the time of its replacement is known: one nanosecond
// later.
TEST_CASE("a stored shared file replaced by its own text has the bytes of the stored replacement") {
  const Folder folder;
  const std::string path = folder.Copy("willowrail.n0.handover");
  REQUIRE(SharedFile(path).Replace([](const auto& now) { return now.value_or("nothing was read"); }));
  CHECK(BytesOf(path) == StoredBytes("handover_replaced.txt"));
  CHECK(BytesOf(path) != StoredBytes("willowrail.n0.handover"));
}

TEST_CASE("a stored shared file with any byte changed is rejected") {
  const Folder folder;
  const std::string original = StoredBytes("willowrail.n0.rotation"), path = folder.Path("changed");
  for (std::size_t i = 0; i < original.size(); ++i) {
    std::string changed = original;
    changed[i] ^= 1;
    std::ofstream(path, std::ios::binary) << changed;
    CAPTURE(i);
    CHECK_FALSE(SharedFile(path).ReadIfChanged());
  }
}

// --- The store

TEST_CASE("a stored database is opened with each value in it") {
  const Folder folder;
  std::string fault;
  const auto kept = store::Store::Open(folder.Copy("store.sqlite"), {}, &fault);
  REQUIRE_MESSAGE(kept != nullptr, fault);
  const store::Content content = kept->ReleaseContent();
  const store::Batch batch = SampleBatch();
  CHECK_FALSE(content.created);
  CHECK(content.state == *batch.state);
  CHECK(content.snapshot == *batch.snapshot);
  CHECK(content.entries == batch.entries);
  CHECK(content.named == batch.named);
}

int AppendRow(void* out, int columns, char** values, char**) {
  std::string row;
  for (int i = 0; i < columns; ++i) row.append(values[i] == nullptr ? "null" : values[i]).append("|");
  static_cast<std::vector<std::string>*>(out)->push_back(row);
  return 0;
}

// The identification, tables and rows of a store's file, including checksums, without the data that SQLite
// adds.
std::vector<std::string> RowsOf(const std::string& path) {
  sqlite3* db = nullptr;
  REQUIRE(sqlite3_open(path.c_str(), &db) == SQLITE_OK);
  std::vector<std::string> rows;
  for (const char* sql :
       {"PRAGMA application_id", "PRAGMA user_version", "SELECT name, sql FROM sqlite_master ORDER BY name",
        "SELECT id, identity, cluster, term, vote, sum FROM state",
        "SELECT id, place, term, hex(members), hex(state), sum FROM snapshot",
        "SELECT place, term, kind, hex(bytes), sum FROM entries ORDER BY place",
        "SELECT name, hex(value), sum FROM named ORDER BY name"}) {
    CHECK_MESSAGE(sqlite3_exec(db, sql, AppendRow, &rows, nullptr) == SQLITE_OK, sql);
  }
  sqlite3_close(db);
  return rows;
}

TEST_CASE("a store written again has the identification and tables and rows of the stored one") {
  const Folder folder;
  const std::string path = folder.Path("fresh");
  std::string fault;
  {
    const auto fresh = store::Store::Open(path, {}, &fault);
    REQUIRE_MESSAGE(fresh != nullptr, fault);
    REQUIRE_MESSAGE(fresh->Append(SampleBatch(), &fault), fault);
  }
  const std::vector<std::string> rows = RowsOf(folder.Copy("store.sqlite"));
  REQUIRE(rows.size() == 13);
  CHECK(rows[0] == std::to_string(0x57725374) + "|");
  CHECK(rows[1] == "1|");
  CHECK(RowsOf(path) == rows);
}

// --- Consensus between the members

TEST_CASE("stored bytes of a consensus message are read as that message and written again unchanged") {
  const consensus::Bytes bytes = StoredOctets("agreement_message.cbor");
  CHECK(consensus::DecodeMessage(bytes, {}) == SampleMessage());
  CHECK(consensus::EncodeMessage(SampleMessage()) == bytes);
}

TEST_CASE("stored bytes of the member list are read and written again unchanged") {
  const consensus::Bytes bytes = StoredOctets("agreement_members.cbor");
  CHECK(consensus::DecodeMembers(bytes, 128) == SampleMembers());
  CHECK(consensus::EncodeMembers(SampleMembers()) == bytes);
}

TEST_CASE("the kinds of log entries and consensus messages keep their numbers") {
  using consensus::EntryKind;
  using consensus::MessageKind;
  CHECK(static_cast<int>(EntryKind::kNoOp) == 0);
  CHECK(static_cast<int>(EntryKind::kCommand) == 1);
  CHECK(static_cast<int>(EntryKind::kMembers) == 2);
  const std::vector<MessageKind> in_order = {
      MessageKind::kPreVote,         MessageKind::kPreVoteGranted, MessageKind::kPreVoteRejected,
      MessageKind::kRequestVote,     MessageKind::kVoteGranted,    MessageKind::kVoteRejected,
      MessageKind::kAppendEntries,   MessageKind::kAppendAccepted, MessageKind::kAppendRejected,
      MessageKind::kInstallSnapshot, MessageKind::kJoinRequest,    MessageKind::kLeaderHint};
  for (std::size_t i = 0; i < in_order.size(); ++i) CHECK(static_cast<std::size_t>(in_order[i]) == i);
}

// --- The ledger of shared budgets

TEST_CASE("a stored snapshot of the ledger is read and written again with the same bytes") {
  const std::string kept = StoredBytes("ledger_snapshot.json");
  const budgets::Ledger ledger(json::parse(kept));
  CHECK(Line(ledger.Snapshot()) == kept);
  CHECK(Line(SampleLedger().Snapshot()) == kept);
}

TEST_CASE("a stored snapshot of the ledger gives the same budgets and member updates") {
  const budgets::Ledger kept(json::parse(StoredBytes("ledger_snapshot.json"))), sample = SampleLedger();
  CHECK(kept.time() == sample.time());
  CHECK(kept.change_pending());
  CHECK(kept.counters().commands == 7);
  CHECK(kept.counters().grants == sample.counters().grants);
  CHECK(kept.counters().orphaned == sample.counters().orphaned);
  for (const budgets::Key& key : {budgets::Key{0, ""}, {1, "node-1"}, {2, "pay/2026-12"}}) {
    CAPTURE(key.scope);
    const budgets::Ledger::Usage is = kept.UsageOf(key), was = sample.UsageOf(key);
    CHECK(is.limit == was.limit);
    CHECK(is.guaranteed == was.guaranteed);
    CHECK(is.leased == was.leased);
    CHECK(is.pending_return == was.pending_return);
    CHECK(is.drawn == was.drawn);
    CHECK(is.spent == was.spent);
  }
  for (const budgets::MemberId member : {0U, 1U}) {
    const budgets::LedgerUpdate is = kept.UpdateFor(member), was = sample.UpdateFor(member);
    CHECK(is.incarnation == was.incarnation);
    CHECK(is.shares_version == was.shares_version);
    CHECK(is.guaranteed_shares == was.guaranteed_shares);
    CHECK(is.leases.size() == was.leases.size());
    CHECK(is.accounts.size() == was.accounts.size());
  }
}

TEST_CASE("a stored command to the ledger is read with each value and written again with the same bytes") {
  const std::string kept = StoredBytes("ledger_command.json");
  const budgets::Command command = budgets::CommandFromJson(json::parse(kept));
  CHECK(Line(budgets::ToJson(command)) == kept);
  CHECK(Line(budgets::ToJson(SampleCommand())) == kept);
  CHECK(command.kind == budgets::Command::Kind::kReport);
  CHECK(command.member == 1);
  CHECK(command.incarnation == 2);
  CHECK(command.demands[0].leased_in_use == 6 * budgets::kUnit);
  CHECK(command.amounts[0].key.scope == "pay/2026-12");
  CHECK(command.members[0].weight == 3);
  CHECK(command.key.rule == 1);
}

TEST_CASE("the kinds of ledger commands keep their numbers") {
  using Kind = budgets::Command::Kind;
  const std::vector<Kind> in_order = {
      Kind::kReport,       Kind::kRenew,      Kind::kReturnLeases, Kind::kDraw,   Kind::kSpend,
      Kind::kReturnAmount, Kind::kSettlement, Kind::kGrant,        Kind::kExpire, Kind::kChangeMembers,
      Kind::kChangeLimit,  Kind::kFence,      Kind::kRetireKey};
  for (std::size_t i = 0; i < in_order.size(); ++i) CHECK(static_cast<std::size_t>(in_order[i]) == i);
}

TEST_CASE("the stored guaranteed shares of a member are restored and saved again with the same bytes") {
  const std::string kept = StoredBytes("budget_part.json");
  CHECK(Line(SampleShare().SaveState()) == kept);
  const budgets::MemberShare part(SampleBudgets(), {1, 4, true, json::parse(kept)}, kBudgetStart);
  CHECK(part.version() == 2);
  json later = json::parse(kept);
  later["incarnation"] = 4;  // of the process that restores the data
  CHECK(part.SaveState() == later);
}

// --- The spending account of a member

TEST_CASE("a stored spending account is restored and written again with the same bytes") {
  const std::string kept = StoredBytes("spending_books.json");
  CHECK(Line(SampleSpending()) == kept);
  const spending::Deployment deployment = spending::TestDeployment(1);
  spending::SpendingController books(spending::ParsePlan(spending::TestPlan(), "f", deployment), deployment,
                                     nullptr);
  books.Restore(json::parse(kept));
  CHECK(Line(books.Snapshot()) == kept);
  const spending::Account* account = books.FindAccount(0, books.CurrentMonth(0));
  REQUIRE(account != nullptr);
  const json document = json::parse(kept), month = document["teams"][0]["accounts"][0];
  CHECK(spending::FormatMonth(books.CurrentMonth(0)) == month["month"]);
  CHECK(account->cap() == month["cap"]);
  CHECK(account->epoch() == month["epoch"]);
  CHECK(account->pool().drawn == month["pool"][0]);
  CHECK(books.PendingReturns().size() == document["returns"].size());
  CHECK(books.PendingReturns().at(1).amount == document["returns"][0]["amount"]);
}

}  // namespace
}  // namespace cluster_manager::compatibility
