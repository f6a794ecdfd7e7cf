// Durable storage: the records of the consensus module (term and vote, log entries, a snapshot) and a few
// named values, in one SQLite file. A Store owns the file and its lock, and is used by one thread (see
// store_thread.h). It does not interpret the bytes.
//
// A Batch is written in whole or not at all, and is durable when Append returns without an error. After any
// error the store accepts no further batches, since the state of the disk is then unknown (a failed sync may
// have lost pages that later reads still return). When a store is opened, the write-ahead log is copied into
// the file and synced before anything is read, so that no value is returned that is only in the system's
// cache.
//
// Each row has a checksum (SQLite has none for its pages), entries must follow the snapshot without a gap,
// and the file has this program's application id and version. Anything else is refused with one line that
// names the file, the problem and the remedy. An empty or missing file becomes a new store, which is reported
// (`created`): the member then takes part in consensus only after it has been added anew.
//
// The file: application id 0x57725374 ("WrSt"), user version 1; tables state, snapshot, entries, named.
// Entries are removed by truncation and by snapshots, named values by an empty value. docs/design/store.md
// has the reasons for SQLite and the measurements.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

namespace cluster_manager::store {

using Bytes = std::vector<std::uint8_t>;

// The member's identity, and its consensus state that must survive a restart.
struct PersistentState {
  std::uint64_t identity = 0, cluster = 0, term = 0, vote = 0;
  bool operator==(const PersistentState&) const = default;
};
// Replaces all log entries up to `index`. `members` and `state` are encoded by the consensus module.
struct Snapshot {
  std::uint64_t index = 0, term = 0;
  Bytes members, state;
  bool operator==(const Snapshot&) const = default;
};
// A log entry.
struct Entry {
  std::uint64_t term = 0;
  std::uint8_t kind = 0;
  Bytes bytes;
  bool operator==(const Entry&) const = default;
};
// A value that is stored under a name.
struct NamedValue {
  std::string name;
  Bytes value;  // empty: remove the value
  bool operator==(const NamedValue&) const = default;
};

// What is written in one transaction.
struct Batch {
  std::optional<PersistentState> state;
  std::optional<Snapshot> snapshot;  // removes the entries up to its index
  bool remove_all_entries = false;   // the snapshot removes all entries
  std::uint64_t first_index = 0;     // of `entries`; stored entries from this index on are removed first
  std::vector<Entry> entries;
  std::vector<NamedValue> named;
};

// What a store holds.
struct Content {
  bool created = false;  // the file did not exist or was empty
  PersistentState state;
  Snapshot snapshot;
  std::vector<Entry> entries;     // from snapshot.index + 1 on
  std::vector<NamedValue> named;  // by name
  bool operator==(const Content&) const = default;
};

// A batch that exceeds a limit is refused.
struct Limits {
  std::size_t value_bytes = 4 << 20;  // of an entry, a snapshot or a named value
  std::size_t named_values = 64, entries = 8192;
  std::uint64_t file_bytes = 256 << 20;
  int log_pages = 256;  // the approximate size at which the write-ahead log is copied into the file
};

// See the head of this file. Not thread-safe.
class Store {
 public:
  // Returns null, and a line in `*error`, if the file cannot be used. `vfs`: the SQLite name of the file
  // system to use.
  static std::unique_ptr<Store> Open(const std::string& file, Limits limits, std::string* error,
                                     const char* vfs = nullptr);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // The content at the time of Open(). To be called once.
  Content ReleaseContent() { return std::move(content_); }
  // Returns false, and a line in `*error`, if the batch is not known to be durable; the store then accepts no
  // further batches.
  bool Append(const Batch& batch, std::string* error);
  bool usable() const { return usable_; }

 private:
  Store(std::string file, Limits limits) : file_(std::move(file)), limits_(limits) {}
  bool OpenDatabase(const char* vfs, std::string* error);
  bool CheckFile(std::string* error);  // sets content_.created
  bool CreateTables(std::string* error);
  bool ReadContent(std::string* error);
  bool WriteBatch(const Batch& batch);
  bool Execute(const char* sql);
  std::optional<std::int64_t> QueryNumber(const char* sql);
  std::string DescribeLastError() const;  // of SQLite, as a line with the remedy
  std::string WithFileName(const std::string& text) const { return file_ + ": " + text; }

  const std::string file_;
  const Limits limits_;
  sqlite3* db_ = nullptr;
  std::vector<sqlite3_stmt*> statements_;
  bool usable_ = false;
  std::uint64_t snapshot_index_ = 0,
                last_index_ = 0;  // the entries snapshot_index_ + 1 to last_index_ are stored
  std::string limit_error_;       // why the batch exceeds a limit or is out of order
  Content content_;
};

}  // namespace cluster_manager::store
