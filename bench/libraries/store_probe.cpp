// What each way of keeping records costs: one program for each, chosen by a definition (measure_store.sh has
// them). `PROBE FILE`: 500 entries of 200 bytes, each durable before the next, then opened again.
// docs/design/store.md has figures.
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#if defined(PROBE_SQLITE)
#include "store/store.h"
#elif defined(PROBE_LMDB)
#include <lmdb.h>
#endif

namespace {

using Clock = std::chrono::steady_clock;
constexpr int kEntries = 500;
constexpr std::size_t kBytes = 200;

double Since(Clock::time_point begin) {
  return std::chrono::duration<double, std::micro>(Clock::now() - begin).count();
}
void Require(bool good, const char* what) {
  if (good) return;
  std::fprintf(stderr, "failed: %s\n", what);
  std::exit(1);
}

#if defined(PROBE_SQLITE)
struct Kept {
  std::unique_ptr<cluster_manager::store::Store> store;
  std::uint64_t next = 1;
  explicit Kept(const std::string& file) {
    std::string fault;
    store = cluster_manager::store::Store::Open(file, {}, &fault);
    Require(store != nullptr, fault.c_str());
    next += store->ReleaseContent().entries.size();
  }
  void Append() {
    cluster_manager::store::Batch batch;
    batch.state = cluster_manager::store::PersistentState{1, 1, next, 1};
    batch.first_index = next++;
    batch.entries = {{1, 1, cluster_manager::store::Bytes(kBytes, 7)}};
    std::string fault;
    Require(store->Append(batch, &fault), fault.c_str());
  }
};
#elif defined(PROBE_LMDB)
struct Kept {
  MDB_env* env = nullptr;
  MDB_dbi dbi = 0;
  std::uint64_t next = 1;
  explicit Kept(const std::string& file) {
    Require(mdb_env_create(&env) == 0 && mdb_env_set_mapsize(env, 256 << 20) == 0, "create");
    Require(mdb_env_open(env, file.c_str(), MDB_NOSUBDIR, 0600) == 0, "open");
    MDB_txn* txn = nullptr;
    Require(
        mdb_txn_begin(env, nullptr, 0, &txn) == 0 && mdb_dbi_open(txn, nullptr, MDB_INTEGERKEY, &dbi) == 0,
        "dbi");
    MDB_cursor* cursor = nullptr;
    Require(mdb_cursor_open(txn, dbi, &cursor) == 0, "cursor");
    MDB_val key, value;
    while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == 0) {
      next += *static_cast<std::uint64_t*>(key.mv_data) != 0 ? 1 : 0;
    }
    mdb_cursor_close(cursor);
    Require(mdb_txn_commit(txn) == 0, "commit");
  }
  ~Kept() { mdb_env_close(env); }
  void Append() {
    MDB_txn* txn = nullptr;
    Require(mdb_txn_begin(env, nullptr, 0, &txn) == 0, "begin");
    std::uint64_t index = next++, state = 0;
    std::string bytes(kBytes, 'x');
    MDB_val key{sizeof index, &index}, value{bytes.size(), bytes.data()}, zero{sizeof state, &state};
    Require(mdb_put(txn, dbi, &key, &value, 0) == 0 && mdb_put(txn, dbi, &zero, &key, 0) == 0, "put");
    Require(mdb_txn_commit(txn) == 0, "commit");
  }
};
#else
struct Kept {  // a plain file: a length, a sum, the bytes; the sum is read back at the start
  int fd;
  std::uint64_t next = 1;
  static std::uint64_t Sum(const std::string& bytes) {
    std::uint64_t sum = 14695981039346656037u;
    for (const char c : bytes) sum = (sum ^ static_cast<unsigned char>(c)) * 1099511628211u;
    return sum;
  }
  explicit Kept(const std::string& file) : fd(open(file.c_str(), O_RDWR | O_CREAT | O_APPEND, 0600)) {
    Require(fd >= 0, "open");
    std::string record(kBytes + 8, 0);
    while (read(fd, record.data(), record.size()) == static_cast<ssize_t>(record.size())) {
      const std::uint64_t sum = Sum(record.substr(8));
      Require(std::equal(record.begin(), record.begin() + 8, reinterpret_cast<const char*>(&sum)), "sum");
      ++next;
    }
  }
  ~Kept() { close(fd); }
  void Append() {
    std::string record(kBytes, 'x');
    const std::uint64_t sum = Sum(record);
    record.insert(0, reinterpret_cast<const char*>(&sum), 8);
    Require(write(fd, record.data(), record.size()) == static_cast<ssize_t>(record.size()), "write");
    Require(fdatasync(fd) == 0, "sync");
    ++next;
  }
};
#endif

}  // namespace

int main(int, char** arguments) {
  const std::string file = arguments[1];
  const auto begin = Clock::now();
  std::vector<double> took;
  {
    Kept kept(file);
    std::printf("  open a new file: %.0f us\n", Since(begin));
    for (int i = 0; i < kEntries; ++i) {
      const auto from = Clock::now();
      kept.Append();
      took.push_back(Since(from));
    }
  }
  std::sort(took.begin(), took.end());
  std::printf("  a durable append: p50 %.0f us, p99 %.0f us, most %.0f us\n", took[kEntries / 2],
              took[kEntries * 99 / 100], took.back());
  const auto again = Clock::now();
  {
    Kept kept(file);
    Require(kept.next == kEntries + 1, "count");
  }
  std::printf("  open again with %d entries: %.0f us\n", kEntries, Since(again));
  struct stat stat {};
  ::stat(file.c_str(), &stat);
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::printf("  file %lld bytes, on disk %lld KiB; memory at most %ld KiB; blocks written %ld\n",
              static_cast<long long>(stat.st_size), static_cast<long long>(stat.st_blocks / 2),
              usage.ru_maxrss, usage.ru_oublock);
}
