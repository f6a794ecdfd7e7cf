// The store: no value that it said is durable is ever missing, at whichever step the disk fails or the
// machine falls; and what is not its file, or is damaged, is refused with a line.
#include "store/store.h"

#include <doctest/doctest.h>

#include <fstream>

#include "raft_simulation.h"
#include "store/store_thread.h"
#include "store_disk.h"

namespace cluster_manager::store {
namespace {

constexpr const char* kFile = "/ledger";
Bounds Small() {
  Bounds bounds;
  bounds.log_pages = 12;  // so that the log is copied into the file often
  return bounds;
}

// The same words as the store's, carried out on plain values.
void Carry(const Batch& batch, Content* content) {
  if (batch.state) content->state = *batch.state;
  if (batch.snapshot) {
    while (!content->entries.empty() && (batch.whole || content->snapshot.index < batch.snapshot->index)) {
      content->entries.erase(content->entries.begin());
      ++content->snapshot.index;
    }
    content->snapshot = *batch.snapshot;
  }
  if (!batch.entries.empty()) {
    content->entries.resize(batch.first - content->snapshot.index - 1);
    content->entries.insert(content->entries.end(), batch.entries.begin(), batch.entries.end());
  }
  for (const Named& named : batch.named) {
    std::erase_if(content->named, [&named](const Named& n) { return n.name == named.name; });
    if (!named.value.empty()) content->named.push_back(named);
  }
  std::sort(content->named.begin(), content->named.end(),
            [](const Named& a, const Named& b) { return a.name < b.name; });
}

Batch Draw(pcg32* random, const Content& now) {
  const auto value = [random](std::uint32_t most) {
    Bytes bytes((*random)(most) + 1);
    for (std::uint8_t& byte : bytes) byte = static_cast<std::uint8_t>((*random)());
    return bytes;
  };
  Batch batch;
  batch.state = State{7, 77, now.state.term + 1, (*random)(5)};
  const std::uint64_t last = now.snapshot.index + now.entries.size();
  if ((*random)(5) == 0 && last > now.snapshot.index) {
    batch.whole = (*random)(3) == 0;
    batch.snapshot = Snapshot{batch.whole ? last + 3 : last, now.state.term, value(20), value(9000)};
  } else {
    batch.first = now.snapshot.index + 1 + (*random)(static_cast<std::uint32_t>(now.entries.size()) + 1);
    for (int i = (*random)(4); i >= 0; --i) batch.entries.push_back({batch.state->term, 1, value(300)});
  }
  if ((*random)(2) == 0) batch.named.push_back({"team-" + std::to_string((*random)(3)), value(5000)});
  if ((*random)(6) == 0) batch.named.push_back({"team-0", {}});
  return batch;
}

// Appends batches until one fails; opens once more in between. `*before`, `*after`: what must be there, or
// may.
std::string Play(std::uint64_t seed, Content* before, Content* after) {
  pcg32 random(seed);
  std::string fault;
  *before = *after = Content{};
  for (int part = 0; part < 2; ++part) {
    const std::unique_ptr<Store> store = Store::Open(kFile, Small(), &fault, Disk::kName);
    if (store == nullptr) return fault;
    for (int i = 0; i < 9; ++i) {
      const Batch batch = Draw(&random, *before);
      Carry(batch, after);
      if (!store->Append(batch, &fault)) {
        std::string again;
        CHECK_FALSE(store->Append(Batch{}, &again));
        CHECK(again == std::string(kFile) + ": takes no more after a fault");
        return fault;
      }
      *before = *after;
    }
  }
  return "";
}

void CheckThere(const Content& before, const Content& after) {
  std::string fault;
  const std::unique_ptr<Store> store = Store::Open(kFile, Small(), &fault, Disk::kName);
  REQUIRE_MESSAGE(store != nullptr, fault);
  Content content = store->TakeContent();
  const bool fresh = content.fresh;
  content.fresh = false;
  CHECK((content == before || content == after));
  CHECK((!fresh || before == Content{}));
}

TEST_CASE(
    "store: the machine falls at each write, sync, truncation and creation, and nothing promised is "
    "missing") {
  Disk disk;
  int points = 0;
  for (std::uint64_t seed = 0; seed < 3; ++seed) {
    for (int at = 0;; ++at, ++points) {
      CAPTURE(at);
      pcg32 random(seed * 1000 + static_cast<std::uint64_t>(at));
      disk.Clear();
      disk.at = at;
      disk.trouble = Disk::Trouble::kFall;
      Content before, after;
      const std::string fault = Play(seed, &before, &after);
      if (disk.steps <= at) break;
      // Closing may meet the fall too, after all was said.
      if (!fault.empty()) CHECK(fault.starts_with(std::string(kFile) + ": "));
      disk.Recover(&random);
      CheckThere(before, after);
      // And falls again while it recovers.
      disk.at = static_cast<int>(random(8));
      disk.trouble = Disk::Trouble::kFall;
      std::string ignored;
      Store::Open(kFile, Small(), &ignored, Disk::kName);
      disk.Recover(&random);
      CheckThere(before, after);
    }
  }
  MESSAGE(points, " points fallen at");
  CHECK(points > 300);
}

TEST_CASE(
    "store: each step fails once, then the power goes, a failed sync is not taken for a good one later") {
  Disk disk;
  for (int at = 0;; ++at) {
    CAPTURE(at);
    pcg32 random(static_cast<std::uint64_t>(at));
    disk.Clear();
    disk.at = at;
    disk.trouble = Disk::Trouble::kError;
    Content before, after;
    const std::string fault = Play(1, &before, &after);
    if (disk.steps <= at) break;
    disk.Reset();
    CheckThere(before, after);  // opened in the same system: what it shows now is promised
    std::string line;
    std::unique_ptr<Store> store = Store::Open(kFile, Small(), &line, Disk::kName);
    REQUIRE_MESSAGE(store != nullptr, line);
    Content shown = store->TakeContent();
    shown.fresh = false;
    const Batch batch = Draw(&random, shown);
    REQUIRE(store->Append(batch, &line));
    Carry(batch, &shown);
    disk.trouble = Disk::Trouble::kFall;
    disk.at = disk.steps;
    store.reset();
    disk.Recover(&random);
    CheckThere(shown, shown);
  }
}

TEST_CASE("store: a full disk is said, and what was promised before is there when it has room again") {
  Disk disk;
  int said = 0;
  for (int at = 0;; ++at) {
    CAPTURE(at);
    disk.Clear();
    disk.at = at;
    disk.trouble = Disk::Trouble::kFull;
    Content before, after;
    const std::string fault = Play(2, &before, &after);
    if (disk.steps <= at) break;
    if (fault.find("no room on the disk") != std::string::npos) ++said;
    if (!fault.empty()) CHECK(fault.find("no room on the disk") != std::string::npos);
    disk.Reset();
    CheckThere(before, after);
  }
  CHECK(said > 50);
}

TEST_CASE("store: foreign, newer, read-only, cut and damaged files are refused with a line, or are whole") {
  Disk disk;
  Content before, after;
  REQUIRE(Play(3, &before, &after).empty());
  const Disk::Data good = disk.Get(kFile);
  const auto open = [&](Disk::Data data) {
    disk.Clear();
    disk.Set(kFile, std::move(data));
    std::string fault;
    const std::unique_ptr<Store> store = Store::Open(kFile, Small(), &fault, Disk::kName);
    if (store == nullptr) {
      CHECK(fault.starts_with(std::string(kFile) + ": "));
      CHECK(fault.find('\n') == std::string::npos);
      return fault;
    }
    Content content = store->TakeContent();
    if (content.fresh) return std::string("fresh");
    CHECK(content == before);
    return std::string("whole");
  };
  CHECK(open(good) == "whole");
  CHECK(open({}) == "fresh");
  CHECK(open(Disk::Data(5000, 'x')).find("is no store") != std::string::npos);
  Disk::Data other = good;
  other[60 + 3] = 9;  // user version
  CHECK(open(other).find("has version 9, this program reads and writes 1") != std::string::npos);
  other = good;
  other[68] ^= 1;  // application
  CHECK(open(other).find("is another program's database") != std::string::npos);
  int refused = 0;
  for (std::size_t length = 512; length < good.size(); length += 512) {
    const std::string how =
        open(Disk::Data(good.begin(), good.begin() + static_cast<std::ptrdiff_t>(length)));
    CHECK(how != "fresh");  // whole it can be only where nothing but unused room was cut off: open() looks
  }
  for (std::size_t i = 0; i < good.size(); i += 41) {
    other = good;
    other[i] ^= static_cast<std::uint8_t>(1 << i % 8);
    const std::string how = open(other);
    CHECK(how != "fresh");
    refused += how != "whole" ? 1 : 0;
  }
  MESSAGE(refused, " of ", good.size() / 41, " turned bits lie in what is used, and are found");
  disk.Clear();
  disk.Set(kFile, good);
  disk.read_only = true;
  std::string fault;
  CHECK(Store::Open(kFile, Small(), &fault, Disk::kName) == nullptr);
  CHECK_MESSAGE(fault.find("may not be written") != std::string::npos, fault);
  CHECK(Store::Open("/proc/no-such-folder/ledger", Small(), &fault) == nullptr);
  CHECK(fault.find("cannot be opened") != std::string::npos);
}

TEST_CASE("store: a second process is refused, and what is out of bounds or out of order is not written") {
  const std::string file = "store_test_ledger.db";
  for (const char* end : {"", "-wal", "-journal"}) std::remove((file + end).c_str());
  std::string fault;
  std::unique_ptr<Store> store = Store::Open(file, Small(), &fault);
  REQUIRE_MESSAGE(store != nullptr, fault);
  CHECK(store->TakeContent().fresh);
  CHECK(Store::Open(file, Small(), &fault) == nullptr);
  CHECK(fault.find("is in use by another process") != std::string::npos);
  Batch gap;
  gap.first = 2;
  gap.entries = {{1, 1, {1}}};
  CHECK_FALSE(store->Append(gap, &fault));
  CHECK(fault == file + ": entries from 2 on do not follow on 0");
  store.reset();
  store = Store::Open(file, Small(), &fault);
  REQUIRE(store != nullptr);
  Batch large;
  large.named = {{"x", Bytes(Small().value_bytes + 1)}};
  CHECK_FALSE(store->Append(large, &fault));
  CHECK(fault.find("at most") != std::string::npos);
  store.reset();
  for (const char* end : {"", "-wal", "-journal"}) std::remove((file + end).c_str());
}

TEST_CASE("store: in its thread: bounded, woken once for many, written in order, drained at the stop") {
  Disk disk;
  std::string fault;
  std::atomic<int> woken = 0;
  {
    StoreThread<> thread(Store::Open(kFile, Small(), &fault, Disk::kName), 4, [&woken] { ++woken; });
    int taken = 0;
    const auto work = [](std::uint64_t ticket) {
      Work work{ticket, {}};
      work.batch.named = {{"n", {static_cast<std::uint8_t>(ticket)}}};
      return work;
    };
    while (taken < 9 && thread.TryAppend(work(static_cast<std::uint64_t>(taken) + 1))) ++taken;
    CHECK(taken == 4);  // what is done and not taken counts too
    while (woken == 0) std::this_thread::yield();
    std::uint64_t next = 1;
    while (next <= 4) {
      if (const std::optional<Done> done = thread.TakeDone()) {
        CHECK(done->ticket == next++);
        CHECK(done->fault.empty());
      }
    }
    CHECK(thread.TryAppend(work(5)));
    thread.Stop(StopMode::kDrain);
    CHECK_FALSE(thread.TryAppend(work(6)));
    CHECK(thread.TakeDone()->ticket == 5);
    CHECK_FALSE(thread.TakeDone());
  }
  {
    StoreThread<> thread(Store::Open(kFile, Small(), &fault, Disk::kName), 4, [] {});
    for (std::uint64_t ticket : {1u, 2u, 3u}) {
      Work work{ticket, {}};
      work.batch.state = State{1, 2, 3, 4};
      CHECK(thread.TryAppend(std::move(work)));
    }
    std::deque<Work> left = thread.Stop(StopMode::kDrop);  // each is written or handed back
    for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
      if (const std::optional<Done> done = thread.TakeDone()) {
        CHECK(done->ticket == ticket);
      } else {
        REQUIRE(!left.empty());
        CHECK(left.front().ticket == ticket);
        left.pop_front();
      }
    }
    CHECK(left.empty());
  }
  std::unique_ptr<Store> store = Store::Open(kFile, Small(), &fault, Disk::kName);
  CHECK(store->TakeContent().named == std::vector<Named>{{"n", {5}}});
  disk.at = disk.steps;
  disk.trouble = Disk::Trouble::kFull;
  StoreThread<> thread(std::move(store), 4, [] {});
  for (std::uint64_t ticket : {1u, 2u}) {
    Work work{ticket, {}};
    work.batch.state = State{1, 2, 3, 4};
    CHECK(thread.TryAppend(std::move(work)));
  }
  thread.Stop(StopMode::kDrain);
  for (int i = 0; i < 2; ++i)
    CHECK(thread.TakeDone()->fault.find("no room on the disk") != std::string::npos);
}

// What the agreement gives out is what the store can keep: a drawn history through both.
Batch ToBatch(const consensus::Records& records) {
  Batch batch;
  if (const auto& s = records.state) batch.state = State{s->identity, s->cluster, s->term, s->vote};
  if (const auto& s = records.snapshot) {
    batch.snapshot = Snapshot{s->index, s->term, consensus::EncodeMembers(s->members), s->state};
    batch.whole = records.replaces_log;
  }
  batch.first = records.first_index;
  for (const consensus::Entry& e : records.entries) {
    batch.entries.push_back({e.term, static_cast<std::uint8_t>(e.kind), e.bytes});
  }
  return batch;
}

TEST_CASE("store: keeps what the agreement of three members promises, with crashes and snapshots") {
  Disk disk;
  std::string fault;
  consensus::SimulatedCluster world(3, 21);
  std::map<std::uint32_t, std::unique_ptr<Store>> stores;
  const auto name = [](std::uint32_t i) { return "/ledger-" + std::to_string(i); };
  world.on_save = [&](std::uint32_t i, const consensus::Records& records) {
    if (stores[i] == nullptr) stores[i] = Store::Open(name(i), Small(), &fault, Disk::kName);
    REQUIRE_MESSAGE(stores[i]->Append(ToBatch(records), &fault), fault);
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
    stores[i] = Store::Open(name(i), Small(), &fault, Disk::kName);
    Content content = stores[i]->TakeContent();
    const consensus::DurableRecords& kept = world.nodes[i].disk;
    Batch all = ToBatch({kept.state, kept.snapshot, true, kept.snapshot.index + 1, kept.entries});
    CHECK(kept.snapshot.index > 0);
    CHECK(content == Content{false, *all.state, *all.snapshot, all.entries, {}});
  }
}

}  // namespace
}  // namespace cluster_manager::store
