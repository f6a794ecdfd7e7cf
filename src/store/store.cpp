#include "store/store.h"

#include <sqlite3.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace cluster_manager::store {
namespace {

constexpr int kApplicationId = 0x57725374, kFormatVersion = 1;

// The statements of kSql, in the same order. Each is prepared once.
enum Statement {
  kBegin,
  kCommit,
  kRollback,
  kPutState,
  kPutSnapshot,
  kRemoveEntriesUpTo,
  kRemoveAllEntries,
  kRemoveEntriesFrom,
  kAddEntry,
  kPutNamedValue,
  kRemoveNamedValue,
  kStatementCount
};
constexpr const char* kSql[kStatementCount] = {"BEGIN IMMEDIATE",
                                               "COMMIT",
                                               "ROLLBACK",
                                               "INSERT OR REPLACE INTO state VALUES (1, ?, ?, ?, ?, ?)",
                                               "INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?, ?)",
                                               "DELETE FROM entries WHERE place <= ?",
                                               "DELETE FROM entries",
                                               "DELETE FROM entries WHERE place >= ?",
                                               "INSERT INTO entries VALUES (?, ?, ?, ?, ?)",
                                               "INSERT OR REPLACE INTO named VALUES (?, ?, ?)",
                                               "DELETE FROM named WHERE name = ?"};
constexpr const char* kTables =
    "CREATE TABLE state (id INTEGER PRIMARY KEY, identity INTEGER, cluster INTEGER, term INTEGER, vote "
    "INTEGER,"
    " sum INTEGER);"
    "CREATE TABLE snapshot (id INTEGER PRIMARY KEY, place INTEGER, term INTEGER, members BLOB, state BLOB,"
    " sum INTEGER);"
    "CREATE TABLE entries (place INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, bytes BLOB, sum INTEGER);"
    "CREATE TABLE named (name TEXT PRIMARY KEY, value BLOB, sum INTEGER) WITHOUT ROWID;";

// The checksum of a row: over the letter of its table and each value, byte sequences with their length.
class RowChecksum {
 public:
  explicit RowChecksum(char table) { XXH3_64bits_reset(&state_), Add(&table, 1); }
  RowChecksum& operator<<(std::uint64_t number) { return Add(&number, sizeof number); }
  RowChecksum& operator<<(const Bytes& bytes) {
    return *this << bytes.size(), Add(bytes.data(), bytes.size());
  }
  RowChecksum& operator<<(const std::string& text) {
    return *this << text.size(), Add(text.data(), text.size());
  }
  std::uint64_t value() const { return XXH3_64bits_digest(&state_); }

 private:
  RowChecksum& Add(const void* data, std::size_t size) {
    XXH3_64bits_update(&state_, data, size);
    return *this;
  }
  XXH3_state_t state_;
};
std::uint64_t ChecksumOf(const PersistentState& state) {
  return (RowChecksum('t') << state.identity << state.cluster << state.term << state.vote).value();
}
std::uint64_t ChecksumOf(const Snapshot& snapshot) {
  return (RowChecksum('s') << snapshot.index << snapshot.term << snapshot.members << snapshot.state).value();
}
std::uint64_t ChecksumOf(std::uint64_t index, const Entry& entry) {
  return (RowChecksum('e') << index << entry.term << std::uint64_t{entry.kind} << entry.bytes).value();
}
std::uint64_t ChecksumOf(const NamedValue& named) {
  return (RowChecksum('n') << named.name << named.value).value();
}

// Binds values to a prepared statement and runs it. The destructor resets the statement for its next use.
class BoundStatement {
 public:
  explicit BoundStatement(sqlite3_stmt* statement) : statement_(statement) {}
  ~BoundStatement() { sqlite3_reset(statement_), sqlite3_clear_bindings(statement_); }
  BoundStatement& operator<<(std::uint64_t number) {
    ok_ &= sqlite3_bind_int64(statement_, ++index_, static_cast<sqlite3_int64>(number)) == SQLITE_OK;
    return *this;
  }
  // The null pointer of an empty vector would be bound as NULL.
  BoundStatement& operator<<(const Bytes& bytes) {
    ok_ &=
        sqlite3_bind_blob64(statement_, ++index_, bytes.empty() ? "" : static_cast<const void*>(bytes.data()),
                            bytes.size(), SQLITE_STATIC) == SQLITE_OK;
    return *this;
  }
  BoundStatement& operator<<(const std::string& text) {
    ok_ &= sqlite3_bind_text64(statement_, ++index_, text.data(), text.size(), SQLITE_STATIC, SQLITE_UTF8) ==
           SQLITE_OK;
    return *this;
  }
  bool Execute() { return ok_ && sqlite3_step(statement_) == SQLITE_DONE; }

 private:
  sqlite3_stmt* statement_;
  int index_ = 0;
  bool ok_ = true;
};

// A query and its result rows.
class Query {
 public:
  Query(sqlite3* db, const char* sql) {
    ok_ = sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) == SQLITE_OK;
  }
  ~Query() { sqlite3_finalize(statement_); }
  Query(const Query&) = delete;
  Query& operator=(const Query&) = delete;
  bool NextRow() {
    if (!ok_) return false;
    const int code = sqlite3_step(statement_);
    ok_ = code == SQLITE_ROW || code == SQLITE_DONE;
    return code == SQLITE_ROW;
  }
  bool ok() const { return ok_; }
  std::uint64_t Number(int column) const {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
  }
  Bytes Blob(int column) const {
    const auto* data = static_cast<const std::uint8_t*>(sqlite3_column_blob(statement_, column));
    const int size = sqlite3_column_bytes(statement_, column);
    return data == nullptr ? Bytes() : Bytes(data, data + size);
  }
  std::string Text(int column) const {
    const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
    const int size = sqlite3_column_bytes(statement_, column);
    return text == nullptr ? std::string() : std::string(text, static_cast<std::size_t>(size));
  }

 private:
  sqlite3_stmt* statement_ = nullptr;
  bool ok_ = false;
};

}  // namespace

std::unique_ptr<Store> Store::Open(const std::string& file, Limits limits, std::string* error,
                                   const char* vfs) {
  std::unique_ptr<Store> store(new Store(file, limits));
  if (!store->OpenDatabase(vfs, error)) return nullptr;
  store->usable_ = true;
  return store;
}

Store::~Store() {
  for (sqlite3_stmt* statement : statements_) sqlite3_finalize(statement);
  sqlite3_close(db_);
}

bool Store::Execute(const char* sql) {
  return sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK;
}

std::optional<std::int64_t> Store::QueryNumber(const char* sql) {
  Query query(db_, sql);
  if (!query.NextRow()) return std::nullopt;
  return static_cast<std::int64_t>(query.Number(0));
}

std::string Store::DescribeLastError() const {
  const int code = db_ == nullptr ? SQLITE_NOMEM : sqlite3_errcode(db_);
  const std::string detail = db_ == nullptr ? "no memory" : sqlite3_errmsg(db_);
  switch (code) {
    case SQLITE_NOTADB:
      return WithFileName("is not a store: choose another path, or move this file away");
    case SQLITE_CORRUPT:
      return WithFileName("is damaged (" + detail +
                          "): move it away; this member is then added anew, like one without stored data");
    case SQLITE_FULL:
      return WithFileName("the disk is full: no further writes are accepted; free some space and restart");
    case SQLITE_READONLY:
    case SQLITE_PERM:
      return WithFileName("is not writable: give this user write permission for the file and its directory");
    case SQLITE_CANTOPEN:
      return WithFileName("cannot be opened (" + detail + "): the directory must exist and be writable");
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return WithFileName("is in use by another process: only one process can use a store");
    default:
      return WithFileName("disk error (" + detail + ", code " +
                          std::to_string(db_ == nullptr ? code : sqlite3_extended_errcode(db_)) +
                          "): no further writes are accepted; check the disk and restart");
  }
}

bool Store::OpenDatabase(const char* vfs, std::string* error) {
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  if (sqlite3_open_v2(file_.c_str(), &db_, flags, vfs) != SQLITE_OK)
    return *error = DescribeLastError(), false;
  if (sqlite3_db_readonly(db_, "main") == 1) {
    return *error = WithFileName(
               "is not writable: give this user write permission for the file and its directory"),
           false;
  }
  // EXCLUSIVE is set before WAL, so that SQLite uses no shared memory file and a second process is refused.
  // FULL syncs at each commit. The page size is 4 KiB; 256 KiB of pages are cached.
  if (!Execute("PRAGMA locking_mode=EXCLUSIVE; PRAGMA synchronous=FULL; PRAGMA cache_size=-256;"
               "PRAGMA temp_store=MEMORY; PRAGMA trusted_schema=OFF; PRAGMA cell_size_check=ON;")) {
    return *error = DescribeLastError(), false;
  }
  if (!CheckFile(error)) return false;
  const std::string limits = "PRAGMA max_page_count=" + std::to_string(limits_.file_bytes / 4096) +
                             ";PRAGMA wal_autocheckpoint=" + std::to_string(limits_.log_pages);
  // The write-ahead log is copied into the file and synced before anything is read, see store.h.
  if (!Execute("PRAGMA journal_mode=WAL") || !Execute(limits.c_str()) ||
      !Execute("PRAGMA wal_checkpoint(TRUNCATE)")) {
    return *error = DescribeLastError(), false;
  }
  if (content_.created ? !CreateTables(error) : !ReadContent(error)) return false;
  for (const char* sql : kSql) {
    sqlite3_stmt* statement = nullptr;
    if (sqlite3_prepare_v3(db_, sql, -1, SQLITE_PREPARE_PERSISTENT, &statement, nullptr) != SQLITE_OK) {
      return *error = DescribeLastError(), false;
    }
    statements_.push_back(statement);
  }
  return true;
}

bool Store::CheckFile(std::string* error) {
  const std::optional<std::int64_t> application = QueryNumber("PRAGMA application_id");
  const std::optional<std::int64_t> version = QueryNumber("PRAGMA user_version");
  const std::optional<std::int64_t> tables = QueryNumber("SELECT count(*) FROM sqlite_schema");
  if (!application || !version || !tables) return *error = DescribeLastError(), false;
  content_.created = *application == 0 && *version == 0 && *tables == 0;
  if (content_.created) return true;
  if (*application != kApplicationId) {
    return *error =
               WithFileName("is another program's database: choose another path, or move this file away"),
           false;
  }
  if (*version != kFormatVersion) {
    *error = WithFileName("has version " + std::to_string(*version) + ", this program supports only " +
                          std::to_string(kFormatVersion) + ": use the version of the program that wrote it");
    return false;
  }
  Query query(db_, "PRAGMA quick_check(1)");
  if (!query.NextRow()) return *error = DescribeLastError(), false;
  if (std::string result = query.Text(0); result != "ok") {
    std::replace(result.begin(), result.end(), '\n', ' ');
    *error = WithFileName("is damaged (" + result +
                          "): move it away; this member is then added anew, like one without stored data");
    return false;
  }
  return true;
}

bool Store::CreateTables(std::string* error) {
  const std::string sql = std::string("BEGIN IMMEDIATE;") + kTables +
                          "PRAGMA application_id=" + std::to_string(kApplicationId) +
                          ";PRAGMA user_version=" + std::to_string(kFormatVersion) + ";COMMIT;";
  if (!Execute(sql.c_str())) return *error = DescribeLastError(), false;
  return true;
}

bool Store::ReadContent(std::string* error) {
  const auto damaged = [&](const std::string& what) {
    *error = WithFileName("is damaged (" + what +
                          "): move it away; this member is then added anew, like one without stored data");
    return false;
  };
  Query state(db_, "SELECT identity, cluster, term, vote, sum FROM state");
  while (state.NextRow()) {
    content_.state = {state.Number(0), state.Number(1), state.Number(2), state.Number(3)};
    if (state.Number(4) != ChecksumOf(content_.state)) return damaged("the checksum of the state is wrong");
  }
  Query snapshot(db_, "SELECT place, term, members, state, sum FROM snapshot");
  while (snapshot.NextRow()) {
    content_.snapshot = {snapshot.Number(0), snapshot.Number(1), snapshot.Blob(2), snapshot.Blob(3)};
    if (snapshot.Number(4) != ChecksumOf(content_.snapshot))
      return damaged("the checksum of the snapshot is wrong");
  }
  snapshot_index_ = last_index_ = content_.snapshot.index;
  Query entries(db_, "SELECT place, term, kind, bytes, sum FROM entries ORDER BY place");
  while (entries.NextRow()) {
    Entry entry{entries.Number(1), static_cast<std::uint8_t>(entries.Number(2)), entries.Blob(3)};
    if (entries.Number(4) != ChecksumOf(entries.Number(0), entry)) {
      return damaged("the checksum of entry " + std::to_string(entries.Number(0)) + " is wrong");
    }
    if (entries.Number(0) != ++last_index_)
      return damaged("entry " + std::to_string(last_index_) + " is missing");
    content_.entries.push_back(std::move(entry));
  }
  Query named(db_, "SELECT name, value, sum FROM named ORDER BY name");
  while (named.NextRow()) {
    content_.named.push_back({named.Text(0), named.Blob(1)});
    if (named.Number(2) != ChecksumOf(content_.named.back()))
      return damaged("the checksum of a named value is wrong");
  }
  if (!state.ok() || !snapshot.ok() || !entries.ok() || !named.ok())
    return *error = DescribeLastError(), false;
  if (content_.state.identity == 0 && (last_index_ > 0)) return damaged("the state is missing");
  return true;
}

bool Store::Append(const Batch& batch, std::string* error) {
  if (!usable_) return *error = WithFileName("accepts no further batches after an error"), false;
  limit_error_.clear();
  if (WriteBatch(batch)) return true;
  usable_ = false;
  *error = limit_error_.empty() ? DescribeLastError() : WithFileName(limit_error_);
  BoundStatement(statements_[kRollback]).Execute();
  return false;
}

bool Store::WriteBatch(const Batch& batch) {
  const auto run = [this](Statement statement, const auto&... values) {
    BoundStatement bound(statements_[statement]);
    (void)(bound << ... << values);
    return bound.Execute();
  };
  const auto exceeds_limit = [this](const Bytes& bytes) {
    if (bytes.size() <= limits_.value_bytes) return false;
    limit_error_ = "a value has " + std::to_string(bytes.size()) + " bytes, the limit is " +
                   std::to_string(limits_.value_bytes);
    return true;
  };
  if (!run(kBegin)) return false;
  if (batch.state) {
    const PersistentState& state = *batch.state;
    if (!run(kPutState, state.identity, state.cluster, state.term, state.vote, ChecksumOf(state)))
      return false;
  }
  if (batch.snapshot) {
    const Snapshot& snapshot = *batch.snapshot;
    if (exceeds_limit(snapshot.state) || exceeds_limit(snapshot.members)) return false;
    if (!run(kPutSnapshot, snapshot.index, snapshot.term, snapshot.members, snapshot.state,
             ChecksumOf(snapshot)))
      return false;
    if (batch.remove_all_entries ? !run(kRemoveAllEntries) : !run(kRemoveEntriesUpTo, snapshot.index))
      return false;
    snapshot_index_ = snapshot.index;
    last_index_ = batch.remove_all_entries ? snapshot_index_ : std::max(last_index_, snapshot_index_);
  }
  if (!batch.entries.empty()) {
    if (batch.first_index <= snapshot_index_ || batch.first_index > last_index_ + 1) {
      limit_error_ = "entries from " + std::to_string(batch.first_index) +
                     " on do not follow the last entry, " + std::to_string(last_index_);
      return false;
    }
    if (batch.first_index + batch.entries.size() - 1 - snapshot_index_ > limits_.entries) {
      limit_error_ = "more than " + std::to_string(limits_.entries) + " entries since the snapshot";
      return false;
    }
    if (batch.first_index <= last_index_ && !run(kRemoveEntriesFrom, batch.first_index)) return false;
    last_index_ = batch.first_index - 1;
    for (const Entry& entry : batch.entries) {
      if (exceeds_limit(entry.bytes)) return false;
      ++last_index_;
      if (!run(kAddEntry, last_index_, entry.term, std::uint64_t{entry.kind}, entry.bytes,
               ChecksumOf(last_index_, entry)))
        return false;
    }
  }
  for (const NamedValue& named : batch.named) {
    if (exceeds_limit(named.value)) return false;
    if (named.value.empty() ? !run(kRemoveNamedValue, named.name)
                            : !run(kPutNamedValue, named.name, named.value, ChecksumOf(named))) {
      return false;
    }
  }
  if (!batch.named.empty() && QueryNumber("SELECT count(*) FROM named").value_or(0) >
                                  static_cast<std::int64_t>(limits_.named_values)) {
    limit_error_ = "more than " + std::to_string(limits_.named_values) + " named values";
    return false;
  }
  return run(kCommit);
}

}  // namespace cluster_manager::store
