// No value that the store reported as durable is missing later, at whichever operation the disk fails or the
// machine crashes, and files that are damaged or of another program are refused with a clear error.
#include "store/store.h"

#include <doctest/doctest.h>

#include <fstream>

#include "raft_simulation.h"
#include "store/store_thread.h"
#include "store_fault_vfs.h"

namespace cluster_manager::store {
namespace {

constexpr const char* kFile = "/ledger";
Limits SmallLimits() {
  Limits limits;
  limits.log_pages = 12;  // so that the write-ahead log is often copied into the file
  return limits;
}

// The effect of a batch, applied to plain values.
void ApplyToContent(const Batch& batch, Content* content) {
  if (batch.state) content->state = *batch.state;
  if (batch.snapshot) {
    while (!content->entries.empty() &&
           (batch.remove_all_entries || content->snapshot.index < batch.snapshot->index)) {
      content->entries.erase(content->entries.begin());
      ++content->snapshot.index;
    }
    content->snapshot = *batch.snapshot;
  }
  if (!batch.entries.empty()) {
    content->entries.resize(batch.first_index - content->snapshot.index - 1);
    content->entries.insert(content->entries.end(), batch.entries.begin(), batch.entries.end());
  }
  for (const NamedValue& named : batch.named) {
    std::erase_if(content->named, [&named](const NamedValue& stored) { return stored.name == named.name; });
    if (!named.value.empty()) content->named.push_back(named);
  }
  std::sort(content->named.begin(), content->named.end(),
            [](const NamedValue& a, const NamedValue& b) { return a.name < b.name; });
}

Batch RandomBatch(pcg32* random, const Content& content) {
  const auto value = [random](std::uint32_t max_size) {
    Bytes bytes((*random)(max_size) + 1);
    for (std::uint8_t& byte : bytes) byte = static_cast<std::uint8_t>((*random)());
    return bytes;
  };
  Batch batch;
  batch.state = PersistentState{7, 77, content.state.term + 1, (*random)(5)};
  const std::uint64_t last = content.snapshot.index + content.entries.size();
  if ((*random)(5) == 0 && last > content.snapshot.index) {
    batch.remove_all_entries = (*random)(3) == 0;
    batch.snapshot =
        Snapshot{batch.remove_all_entries ? last + 3 : last, content.state.term, value(20), value(9000)};
  } else {
    batch.first_index =
        content.snapshot.index + 1 + (*random)(static_cast<std::uint32_t>(content.entries.size()) + 1);
    for (int i = (*random)(4); i >= 0; --i) batch.entries.push_back({batch.state->term, 1, value(300)});
  }
  if ((*random)(2) == 0) batch.named.push_back({"team-" + std::to_string((*random)(3)), value(5000)});
  if ((*random)(6) == 0) batch.named.push_back({"team-0", {}});
  return batch;
}

// Appends batches until one fails, and reopens the store once in between. Returns the error. `*before`: the
// content without the failed batch; `*after`: with it.
std::string AppendUntilError(std::uint64_t seed, Content* before, Content* after) {
  pcg32 random(seed);
  std::string error;
  *before = *after = Content{};
  for (int opened = 0; opened < 2; ++opened) {
    const std::unique_ptr<Store> store = Store::Open(kFile, SmallLimits(), &error, FaultVfs::kVfsName);
    if (store == nullptr) return error;
    for (int i = 0; i < 9; ++i) {
      const Batch batch = RandomBatch(&random, *before);
      ApplyToContent(batch, after);
      if (!store->Append(batch, &error)) {
        std::string second_error;
        CHECK_FALSE(store->Append(Batch{}, &second_error));
        CHECK(second_error == std::string(kFile) + ": accepts no further batches after an error");
        return error;
      }
      *before = *after;
    }
  }
  return "";
}

void CheckContent(const Content& before, const Content& after) {
  std::string error;
  const std::unique_ptr<Store> store = Store::Open(kFile, SmallLimits(), &error, FaultVfs::kVfsName);
  REQUIRE_MESSAGE(store != nullptr, error);
  Content content = store->ReleaseContent();
  const bool created = content.created;
  content.created = false;
  CHECK((content == before || content == after));
  CHECK((!created || before == Content{}));
}

TEST_CASE(
    "store: no durable value is missing after a crash at any write or sync or truncation or file creation") {
  FaultVfs vfs;
  int crash_points = 0;
  for (std::uint64_t seed = 0; seed < 3; ++seed) {
    for (int at = 0;; ++at, ++crash_points) {
      CAPTURE(at);
      pcg32 random(seed * 1000 + static_cast<std::uint64_t>(at));
      vfs.RemoveAllFiles();
      vfs.fault_at = at;
      vfs.fault = FaultVfs::Fault::kCrash;
      Content before, after;
      const std::string error = AppendUntilError(seed, &before, &after);
      if (vfs.operations <= at) break;
      // The crash can also occur while the store is closed, after the last result.
      if (!error.empty()) CHECK(error.starts_with(std::string(kFile) + ": "));
      vfs.Restart(&random);
      CheckContent(before, after);
      // A second crash, during recovery.
      vfs.fault_at = static_cast<int>(random(8));
      vfs.fault = FaultVfs::Fault::kCrash;
      std::string ignored;
      Store::Open(kFile, SmallLimits(), &ignored, FaultVfs::kVfsName);
      vfs.Restart(&random);
      CheckContent(before, after);
    }
  }
  MESSAGE(crash_points, " crash points");
  CHECK(crash_points > 300);
}

TEST_CASE("store: after an error of any operation and a later crash all durable values are present") {
  FaultVfs vfs;
  for (int at = 0;; ++at) {
    CAPTURE(at);
    pcg32 random(static_cast<std::uint64_t>(at));
    vfs.RemoveAllFiles();
    vfs.fault_at = at;
    vfs.fault = FaultVfs::Fault::kError;
    Content before, after;
    const std::string error = AppendUntilError(1, &before, &after);
    if (vfs.operations <= at) break;
    vfs.ClearFault();
    CheckContent(before, after);  // reopened without a crash: the values returned now must remain durable
    std::string second_error;
    std::unique_ptr<Store> store = Store::Open(kFile, SmallLimits(), &second_error, FaultVfs::kVfsName);
    REQUIRE_MESSAGE(store != nullptr, second_error);
    Content reopened = store->ReleaseContent();
    reopened.created = false;
    const Batch batch = RandomBatch(&random, reopened);
    REQUIRE(store->Append(batch, &second_error));
    ApplyToContent(batch, &reopened);
    vfs.fault = FaultVfs::Fault::kCrash;
    vfs.fault_at = vfs.operations;
    store.reset();
    vfs.Restart(&random);
    CheckContent(reopened, reopened);
  }
}

TEST_CASE("store: a full disk is reported and earlier durable values are present once there is space again") {
  FaultVfs vfs;
  int full_errors = 0;
  for (int at = 0;; ++at) {
    CAPTURE(at);
    vfs.RemoveAllFiles();
    vfs.fault_at = at;
    vfs.fault = FaultVfs::Fault::kFull;
    Content before, after;
    const std::string error = AppendUntilError(2, &before, &after);
    if (vfs.operations <= at) break;
    if (error.find("the disk is full") != std::string::npos) ++full_errors;
    if (!error.empty()) CHECK(error.find("the disk is full") != std::string::npos);
    vfs.ClearFault();
    CheckContent(before, after);
  }
  CHECK(full_errors > 50);
}

TEST_CASE("store: damaged or truncated or foreign files are refused unless their content is complete") {
  FaultVfs vfs;
  Content before, after;
  REQUIRE(AppendUntilError(3, &before, &after).empty());
  const FaultVfs::Data good = vfs.ReadFile(kFile);
  const auto open = [&](FaultVfs::Data data) {
    vfs.RemoveAllFiles();
    vfs.WriteFile(kFile, std::move(data));
    std::string error;
    const std::unique_ptr<Store> store = Store::Open(kFile, SmallLimits(), &error, FaultVfs::kVfsName);
    if (store == nullptr) {
      CHECK(error.starts_with(std::string(kFile) + ": "));
      CHECK(error.find('\n') == std::string::npos);
      return error;
    }
    Content content = store->ReleaseContent();
    if (content.created) return std::string("created");
    CHECK(content == before);
    return std::string("complete");
  };
  CHECK(open(good) == "complete");
  CHECK(open({}) == "created");
  CHECK(open(FaultVfs::Data(5000, 'x')).find("is not a store") != std::string::npos);
  FaultVfs::Data changed = good;
  changed[60 + 3] = 9;  // user version
  CHECK(open(changed).find("has version 9, this program supports only 1") != std::string::npos);
  changed = good;
  changed[68] ^= 1;  // application id
  CHECK(open(changed).find("is another program's database") != std::string::npos);
  int refused = 0;
  for (std::size_t length = 512; length < good.size(); length += 512) {
    const std::string result =
        open(FaultVfs::Data(good.begin(), good.begin() + static_cast<std::ptrdiff_t>(length)));
    // The result can be "complete" only if unused space alone was cut off; open() compares the content.
    CHECK(result != "created");
  }
  for (std::size_t i = 0; i < good.size(); i += 41) {
    changed = good;
    changed[i] ^= static_cast<std::uint8_t>(1 << i % 8);
    const std::string result = open(changed);
    CHECK(result != "created");
    refused += result != "complete" ? 1 : 0;
  }
  MESSAGE(refused, " of ", good.size() / 41, " flipped bits are in used space and are detected");
  vfs.RemoveAllFiles();
  vfs.WriteFile(kFile, good);
  vfs.read_only = true;
  std::string error;
  CHECK(Store::Open(kFile, SmallLimits(), &error, FaultVfs::kVfsName) == nullptr);
  CHECK_MESSAGE(error.find("is not writable") != std::string::npos, error);
  CHECK(Store::Open("/proc/no-such-folder/ledger", SmallLimits(), &error) == nullptr);
  CHECK(error.find("cannot be opened") != std::string::npos);
}

TEST_CASE("store: a second process is refused and batches over the limits or out of order are not written") {
  const std::string file = "store_test_ledger.db";
  for (const char* suffix : {"", "-wal", "-journal"}) std::remove((file + suffix).c_str());
  std::string error;
  std::unique_ptr<Store> store = Store::Open(file, SmallLimits(), &error);
  REQUIRE_MESSAGE(store != nullptr, error);
  CHECK(store->ReleaseContent().created);
  CHECK(Store::Open(file, SmallLimits(), &error) == nullptr);
  CHECK(error.find("is in use by another process") != std::string::npos);
  Batch gap;
  gap.first_index = 2;
  gap.entries = {{1, 1, {1}}};
  CHECK_FALSE(store->Append(gap, &error));
  CHECK(error == file + ": entries from 2 on do not follow the last entry, 0");
  store.reset();
  store = Store::Open(file, SmallLimits(), &error);
  REQUIRE(store != nullptr);
  Batch large;
  large.named = {{"x", Bytes(SmallLimits().value_bytes + 1)}};
  CHECK_FALSE(store->Append(large, &error));
  CHECK(error.find("the limit is") != std::string::npos);
  store.reset();
  for (const char* suffix : {"", "-wal", "-journal"}) std::remove((file + suffix).c_str());
}

TEST_CASE("store: the store thread limits pending batches and writes in order and drains on stop") {
  FaultVfs vfs;
  std::string error;
  std::atomic<int> wake_ups = 0;
  {
    StoreThread<> thread(Store::Open(kFile, SmallLimits(), &error, FaultVfs::kVfsName), 4,
                         [&wake_ups] { ++wake_ups; });
    int accepted = 0;
    const auto make_request = [](std::uint64_t ticket) {
      WriteRequest request{ticket, {}};
      request.batch.named = {{"n", {static_cast<std::uint8_t>(ticket)}}};
      return request;
    };
    while (accepted < 9 && thread.TryAppend(make_request(static_cast<std::uint64_t>(accepted) + 1)))
      ++accepted;
    CHECK(accepted == 4);  // results that were not popped yet count too
    while (wake_ups == 0) std::this_thread::yield();
    std::uint64_t next_ticket = 1;
    while (next_ticket <= 4) {
      if (const std::optional<WriteResult> result = thread.PopResult()) {
        CHECK(result->ticket == next_ticket++);
        CHECK(result->error.empty());
      }
    }
    CHECK(thread.TryAppend(make_request(5)));
    thread.Stop(StopMode::kDrain);
    CHECK_FALSE(thread.TryAppend(make_request(6)));
    CHECK(thread.PopResult()->ticket == 5);
    CHECK_FALSE(thread.PopResult());
  }
  {
    StoreThread<> thread(Store::Open(kFile, SmallLimits(), &error, FaultVfs::kVfsName), 4, [] {});
    for (std::uint64_t ticket : {1u, 2u, 3u}) {
      WriteRequest request{ticket, {}};
      request.batch.state = PersistentState{1, 2, 3, 4};
      CHECK(thread.TryAppend(std::move(request)));
    }
    std::deque<WriteRequest> dropped = thread.Stop(StopMode::kDrop);  // each request is written or returned
    for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
      if (const std::optional<WriteResult> result = thread.PopResult()) {
        CHECK(result->ticket == ticket);
      } else {
        REQUIRE(!dropped.empty());
        CHECK(dropped.front().ticket == ticket);
        dropped.pop_front();
      }
    }
    CHECK(dropped.empty());
  }
  std::unique_ptr<Store> store = Store::Open(kFile, SmallLimits(), &error, FaultVfs::kVfsName);
  CHECK(store->ReleaseContent().named == std::vector<NamedValue>{{"n", {5}}});
  vfs.fault_at = vfs.operations;
  vfs.fault = FaultVfs::Fault::kFull;
  StoreThread<> thread(std::move(store), 4, [] {});
  for (std::uint64_t ticket : {1u, 2u}) {
    WriteRequest request{ticket, {}};
    request.batch.state = PersistentState{1, 2, 3, 4};
    CHECK(thread.TryAppend(std::move(request)));
  }
  thread.Stop(StopMode::kDrain);
  for (int i = 0; i < 2; ++i) CHECK(thread.PopResult()->error.find("the disk is full") != std::string::npos);
}

// Converts the records of the consensus module to the batch that stores them.
Batch ToBatch(const consensus::Records& records) {
  Batch batch;
  if (const auto& state = records.state)
    batch.state = PersistentState{state->identity, state->cluster, state->term, state->vote};
  if (const auto& snapshot = records.snapshot) {
    batch.snapshot = Snapshot{snapshot->index, snapshot->term, consensus::EncodeMembers(snapshot->members),
                              snapshot->state};
    batch.remove_all_entries = records.replaces_log;
  }
  batch.first_index = records.first_index;
  for (const consensus::Entry& entry : records.entries) {
    batch.entries.push_back({entry.term, static_cast<std::uint8_t>(entry.kind), entry.bytes});
  }
  return batch;
}

TEST_CASE("store: keeps all records of three members through crashes and snapshots") {
  FaultVfs vfs;
  std::string error;
  consensus::SimulatedCluster world(3, 21);
  std::map<std::uint32_t, std::unique_ptr<Store>> stores;
  const auto name = [](std::uint32_t i) { return "/ledger-" + std::to_string(i); };
  world.on_save = [&](std::uint32_t i, const consensus::Records& records) {
    if (stores[i] == nullptr) stores[i] = Store::Open(name(i), SmallLimits(), &error, FaultVfs::kVfsName);
    REQUIRE_MESSAGE(stores[i]->Append(ToBatch(records), &error), error);
  };
  for (int round = 0; round < 60; ++round) {
    for (int i = 0; i < 5; ++i) world.CommitOne(5 * consensus::kSecond);
    world.Crash(world.RandomBelow(3), world.now + 200 * consensus::kMs);
    world.Run(20 * consensus::kMs);
  }
  world.Run(consensus::kSecond);
  CHECK(world.committed_proposals >= 300);
  for (std::uint32_t i = 0; i < 3; ++i) {
    stores[i].reset();
    stores[i] = Store::Open(name(i), SmallLimits(), &error, FaultVfs::kVfsName);
    Content content = stores[i]->ReleaseContent();
    const consensus::DurableRecords& kept = world.nodes[i].disk;
    Batch expected = ToBatch({kept.state, kept.snapshot, true, kept.snapshot.index + 1, kept.entries});
    CHECK(kept.snapshot.index > 0);
    CHECK(content == Content{false, *expected.state, *expected.snapshot, expected.entries, {}});
  }
}

}  // namespace
}  // namespace cluster_manager::store
