// Tests of the handover text between two processes, the files that they share, and node suspensions.
#include "handover/handover.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "node_suspension/node_suspensions.h"
#include "shared_file/shared_file.h"
#include "shared_file/shared_file_monitor.h"

namespace cluster_manager {
namespace {

Handover SampleHandover() {
  Handover handover;
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
  handover.tasks.push_back(task);
  handover.completions.push_back({9, 17, TaskEnd::kCompleted});
  handover.completions.push_back({10, HandedOverCompletion::kAnyNode, TaskEnd::kAborted});
  return handover;
}

TEST_CASE("a handover is parsed as it was formatted, including arbitrary bytes") {
  const Handover handover = ParseHandover(FormatHandover(SampleHandover()));
  REQUIRE(handover.tasks.size() == 1);
  const HandedOverTask expected = SampleHandover().tasks[0], parsed = handover.tasks[0];
  CHECK(parsed.id == expected.id);
  CHECK(parsed.node == expected.node);
  CHECK(parsed.class_name == expected.class_name);
  CHECK(parsed.tenant == expected.tenant);
  CHECK(parsed.task.service == expected.task.service);
  CHECK(parsed.task.cores == expected.task.cores);
  CHECK(parsed.payload == expected.payload);
  CHECK(parsed.class_end == expected.class_end);
  REQUIRE(handover.completions.size() == 2);
  CHECK(handover.completions[0].end == TaskEnd::kCompleted);
  CHECK(handover.completions[1].node == HandedOverCompletion::kAnyNode);
}

TEST_CASE("a truncated or invalid handover text yields no tasks and no completions") {
  const std::string text = FormatHandover(SampleHandover());
  for (std::size_t i = 0; i + 2 < text.size(); ++i) {
    const Handover parsed = ParseHandover(text.substr(0, i));
    CHECK(parsed.tasks.empty());
    CHECK(parsed.completions.empty());
  }
  std::string invalid = text;
  invalid.replace(invalid.find("\"class_end\":3"), 13, "\"class_end\":9");
  CHECK(ParseHandover(invalid).tasks.empty());
}

TEST_CASE("a shared file is read in full when another writer has changed it") {
  std::string folder = (std::filesystem::temp_directory_path() / "willowrail-file-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  SharedFile first(folder + "/f"), second(folder + "/f");
  CHECK_FALSE(first.ReadIfChanged());
  CHECK(first.Replace([](const auto& current) { return current ? "again" : "first"; }));
  CHECK_FALSE(first.ReadIfChanged());
  CHECK(second.ReadIfChanged() == "first");
  CHECK_FALSE(second.ReadIfChanged());
  CHECK(second.Replace([](const auto& current) { return current.value_or("") + "+"; }));
  CHECK(first.ReadIfChanged() == "first+");
  CHECK(second.Replace(
      [](const auto& current) { return *current; }));  // writing the same text again is a change
  CHECK(first.ReadIfChanged() == "first+");
  SharedFile in_missing_folder(folder + "/none/f");
  CHECK_FALSE(in_missing_folder.Replace([](const auto&) { return "x"; }));
  std::filesystem::remove_all(folder);
}

TEST_CASE("a shared file left incomplete by a killed writer is treated as absent and rewritten") {
  std::string folder = (std::filesystem::temp_directory_path() / "willowrail-file-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  const std::string path = folder + "/f";
  SharedFile writer(path);
  REQUIRE(writer.Replace([](const auto&) { return std::string(5000, 'a'); }));
  const std::uintmax_t size = std::filesystem::file_size(path);
  for (const std::uintmax_t length : {std::uintmax_t{0}, std::uintmax_t{7}, size / 2, size - 1}) {
    std::filesystem::resize_file(path, length);
    CHECK_FALSE(SharedFile(path).ReadIfChanged());
  }
  std::filesystem::resize_file(path, size);  // the original length with zero bytes at the end
  CHECK_FALSE(SharedFile(path).ReadIfChanged());
  std::ofstream(path) << "s-1\n";  // not in the format of SharedFile
  CHECK_FALSE(SharedFile(path).ReadIfChanged());
  bool was_absent = false;
  CHECK(writer.Replace([&](const auto& current) {
    was_absent = !current;
    return "b";
  }));
  CHECK(was_absent);
  CHECK(SharedFile(path).ReadIfChanged() == "b");  // without a rest of the longer text
  std::filesystem::remove_all(folder);
}

TEST_CASE("RequestChange does not block on the lock and only the latest queued change is applied") {
  std::string folder = (std::filesystem::temp_directory_path() / "willowrail-file-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  const std::string path = folder + "/f";
  const int lock_descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  REQUIRE(::flock(lock_descriptor, LOCK_EX) == 0);
  std::atomic<int> wake_count = 0, applied = 0;
  {
    SharedFileMonitor monitor({path, folder + "/none/f"}, std::chrono::milliseconds(1),
                              [&] { ++wake_count; });
    for (std::uint64_t i = 1; i <= 100; ++i) {
      monitor.RequestChange(0, i, [&applied, i](const auto&) {
        ++applied;
        return std::to_string(i);
      });
    }
    CHECK(applied == 0);
    CHECK(monitor.TakeUpdates().empty());
    CHECK(::flock(lock_descriptor, LOCK_UN) == 0);
    std::uint64_t written = 0;
    while (written < 100) {
      for (const SharedFileMonitor::FileUpdate& update : monitor.TakeUpdates())
        written = std::max(written, update.written);
    }
    CHECK(applied <= 2);  // the change that the thread had started, and the latest
    CHECK(wake_count >= 1);
    monitor.RequestChange(1, 1, [](const auto&) { return "x"; });  // the folder does not exist
    int error = 0;
    while (error == 0) {
      for (const SharedFileMonitor::FileUpdate& update : monitor.TakeUpdates()) error = update.error;
    }
    CHECK(error == ENOENT);
    monitor.RequestChange(0, 101, [](const auto&) { return "last"; });
  }  // requested changes are applied before the destructor returns
  CHECK(SharedFile(path).ReadIfChanged() == "last");
  ::close(lock_descriptor);
  std::filesystem::remove_all(folder);
}

TEST_CASE("SharedFileMonitor starts its thread on the first request or watch") {
  std::string folder = (std::filesystem::temp_directory_path() / "willowrail-file-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  const auto thread_count = [] {
    const std::filesystem::directory_iterator tasks("/proc/self/task");
    return std::distance(begin(tasks), end(tasks));
  };
  // The kernel may list a thread briefly after it was joined.
  const auto thread_count_reaches = [&](auto expected) {
    for (int attempt = 0; attempt < 5000 && thread_count() != expected; ++attempt) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return thread_count() == expected;
  };
  const auto before = thread_count();
  {
    SharedFileMonitor monitor({folder + "/f"}, std::chrono::milliseconds(1), [] {});
    CHECK(thread_count() == before);
    SUBCASE("after a change request") {
      monitor.RequestChange(0, 1, [](const auto&) { return "x"; });
    }
    SUBCASE("after a watch request") { monitor.WatchForChanges(); }
    CHECK(thread_count() == before + 1);
    monitor.WatchForChanges();
    CHECK(thread_count() == before + 1);
  }
  CHECK(thread_count_reaches(before));
  std::filesystem::remove_all(folder);
}

TEST_CASE("a suspension overrides the endpoint list for its node only and a resumed node warms up") {
  NodeSuspensions suspensions(
      [](std::string_view id) { return static_cast<NodeSuspensions::NodeId>(id.back() - '0'); });
  scheduling::NodeEntry entry;
  entry.node = 3;
  CHECK(suspensions.Suspend("s-3"));
  CHECK_FALSE(suspensions.Suspend("s-3"));
  CHECK(suspensions.ApplyTo(entry).state == scheduling::NodeState::kDraining);
  entry.state = scheduling::NodeState::kRemoved;
  CHECK(suspensions.ApplyTo(entry).state == scheduling::NodeState::kRemoved);
  suspensions.OnNodeDelisted(3);  // removed from the endpoint list and listed again
  entry.state = scheduling::NodeState::kReady;
  CHECK(suspensions.ApplyTo(entry).state == scheduling::NodeState::kDraining);
  scheduling::NodeEntry other = entry;
  other.node = 4;
  CHECK(suspensions.ApplyTo(other).state == scheduling::NodeState::kReady);
  CHECK(suspensions.Resume("s-3", 100));
  CHECK_FALSE(suspensions.Resume("s-3", 200));
  CHECK(suspensions.ApplyTo(entry).started_at == 100);
  entry.started_at = 50;  // the list reports an older start: no second slow start budget
  CHECK(suspensions.ApplyTo(entry).started_at == 100);
  entry.started_at = 150;
  CHECK(suspensions.ApplyTo(entry).started_at == 150);
}

TEST_CASE("suspensions of another process are applied and a truncated line is ignored") {
  const auto number = [](std::string_view id) {
    return static_cast<NodeSuspensions::NodeId>(id.back() - '0');
  };
  NodeSuspensions first(number), second(number);
  first.Suspend("s-1");
  first.Suspend("s-2");
  CHECK(second.ApplyText(first.PendingChange()(std::nullopt), 0, 5) ==
        std::vector<NodeSuspensions::NodeId>{1, 2});
  CHECK(second.ApplyText("s-2\ns-3", 0, 6) == std::vector<NodeSuspensions::NodeId>{1});
  CHECK(second.size() == 1);
  CHECK_FALSE(second.IsSuspended("s-3"));
}

TEST_CASE("a suspension that is not written yet overrides an older file text and is included in the next") {
  const auto number = [](std::string_view id) {
    return static_cast<NodeSuspensions::NodeId>(id.back() - '0');
  };
  NodeSuspensions suspensions(number);
  suspensions.Suspend("s-1");
  CHECK(suspensions.ApplyText("s-2\n", 0, 5) ==
        std::vector<NodeSuspensions::NodeId>{2});  // written before the suspension of s-1
  CHECK(suspensions.IsSuspended("s-1"));
  suspensions.Resume("s-2", 6);
  CHECK(suspensions.ApplyText("s-2\ns-3\n", 0, 7) == std::vector<NodeSuspensions::NodeId>{3});
  CHECK(suspensions.PendingChange()("s-2\ns-3\ns-4\n") ==
        "s-1\ns-3\ns-4\n");  // changes by another process are kept
  CHECK(suspensions.PendingChange()(std::nullopt) ==
        "s-1\ns-3\n");  // the file is lost: all known suspensions are written
  CHECK(suspensions.ApplyText("s-1\ns-3\n", suspensions.last_call(), 8).empty());
  CHECK(suspensions.ApplyText("s-3\n", suspensions.last_call(), 9) ==
        std::vector<NodeSuspensions::NodeId>{1});  // resumed by another process
  CHECK(suspensions.PendingChange()("") == "");
}

}  // namespace
}  // namespace cluster_manager
