// What one process passes to the next as text, and files that two processes share.
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

Handover Sample() {
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

TEST_CASE("what is passed comes out as it went in, whatever bytes it holds") {
  const Handover all = ParseHandover(FormatHandover(Sample()));
  REQUIRE(all.tasks.size() == 1);
  const HandedOverTask was = Sample().tasks[0], is = all.tasks[0];
  CHECK(is.id == was.id);
  CHECK(is.node == was.node);
  CHECK(is.class_name == was.class_name);
  CHECK(is.tenant == was.tenant);
  CHECK(is.task.service == was.task.service);
  CHECK(is.task.cores == was.task.cores);
  CHECK(is.payload == was.payload);
  CHECK(is.class_end == was.class_end);
  REQUIRE(all.completions.size() == 2);
  CHECK(all.completions[0].end == TaskEnd::kCompleted);
  CHECK(all.completions[1].node == HandedOverCompletion::kAnyNode);
}

TEST_CASE("a text that is cut short anywhere, or has a wrong part, passes nothing") {
  const std::string text = FormatHandover(Sample());
  for (std::size_t i = 0; i + 2 < text.size(); ++i) {
    const Handover some = ParseHandover(text.substr(0, i));
    CHECK(some.tasks.empty());
    CHECK(some.completions.empty());
  }
  std::string wrong = text;
  wrong.replace(wrong.find("\"class_end\":3"), 13, "\"class_end\":9");
  CHECK(ParseHandover(wrong).tasks.empty());
}

TEST_CASE("a shared file is read when another has changed it, and never half") {
  std::string folder = (std::filesystem::temp_directory_path() / "willowrail-file-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  SharedFile one(folder + "/f"), two(folder + "/f");
  CHECK_FALSE(one.ReadIfChanged());
  CHECK(one.Replace([](const auto& now) { return now ? "again" : "first"; }));
  CHECK_FALSE(one.ReadIfChanged());
  CHECK(two.ReadIfChanged() == "first");
  CHECK_FALSE(two.ReadIfChanged());
  CHECK(two.Replace([](const auto& now) { return now.value_or("") + "+"; }));
  CHECK(one.ReadIfChanged() == "first+");
  CHECK(two.Replace([](const auto& now) { return *now; }));  // the same text again is news
  CHECK(one.ReadIfChanged() == "first+");
  SharedFile nowhere(folder + "/none/f");
  CHECK_FALSE(nowhere.Replace([](const auto&) { return "x"; }));
  std::filesystem::remove_all(folder);
}

TEST_CASE("a shared file that a killed writer has left in pieces holds no text, and is written whole again") {
  std::string folder = (std::filesystem::temp_directory_path() / "willowrail-file-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  const std::string path = folder + "/f";
  SharedFile writer(path);
  REQUIRE(writer.Replace([](const auto&) { return std::string(5000, 'a'); }));
  const std::uintmax_t size = std::filesystem::file_size(path);
  for (const std::uintmax_t left : {std::uintmax_t{0}, std::uintmax_t{7}, size / 2, size - 1}) {
    std::filesystem::resize_file(path, left);
    CHECK_FALSE(SharedFile(path).ReadIfChanged());
  }
  std::filesystem::resize_file(path, size);  // as long as it was, the rest is not
  CHECK_FALSE(SharedFile(path).ReadIfChanged());
  std::ofstream(path) << "s-1\n";  // of no writer of ours
  CHECK_FALSE(SharedFile(path).ReadIfChanged());
  bool none = false;
  CHECK(writer.Replace([&](const auto& now) {
    none = !now;
    return "b";
  }));
  CHECK(none);
  CHECK(SharedFile(path).ReadIfChanged() == "b");  // and nothing of the longer text behind it
  std::filesystem::remove_all(folder);
}

TEST_CASE("who asks the exchange waits for no lock, and only the last change that waits is made") {
  std::string folder = (std::filesystem::temp_directory_path() / "willowrail-file-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  const std::string path = folder + "/f";
  const int held = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  REQUIRE(::flock(held, LOCK_EX) == 0);
  std::atomic<int> woken = 0, made = 0;
  {
    SharedFileMonitor monitor({path, folder + "/none/f"}, std::chrono::milliseconds(1), [&] { ++woken; });
    for (std::uint64_t i = 1; i <= 100; ++i) {
      monitor.RequestChange(0, i, [&made, i](const auto&) {
        ++made;
        return std::to_string(i);
      });
    }
    CHECK(made == 0);
    CHECK(monitor.TakeUpdates().empty());
    CHECK(::flock(held, LOCK_UN) == 0);
    std::uint64_t written = 0;
    while (written < 100) {
      for (const SharedFileMonitor::FileUpdate& update : monitor.TakeUpdates())
        written = std::max(written, update.written);
    }
    CHECK(made <= 2);  // the one that the thread had begun, and the last
    CHECK(woken >= 1);
    monitor.RequestChange(1, 1, [](const auto&) { return "x"; });  // its folder is not there
    int error = 0;
    while (error == 0) {
      for (const SharedFileMonitor::FileUpdate& update : monitor.TakeUpdates()) error = update.error;
    }
    CHECK(error == ENOENT);
    monitor.RequestChange(0, 101, [](const auto&) { return "last"; });
  }  // what was asked for is made before it ends
  CHECK(SharedFile(path).ReadIfChanged() == "last");
  ::close(held);
  std::filesystem::remove_all(folder);
}

TEST_CASE("the exchange has no thread until somebody asks it or wants to follow others") {
  std::string folder = (std::filesystem::temp_directory_path() / "willowrail-file-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  const auto threads = [] {
    const std::filesystem::directory_iterator tasks("/proc/self/task");
    return std::distance(begin(tasks), end(tasks));
  };
  // The kernel may list a thread for a moment after it was joined.
  const auto threads_become = [&](auto wanted) {
    for (int look = 0; look < 5000 && threads() != wanted; ++look) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return threads() == wanted;
  };
  const auto before = threads();
  {
    SharedFileMonitor monitor({folder + "/f"}, std::chrono::milliseconds(1), [] {});
    CHECK(threads() == before);
    SUBCASE("asked") {
      monitor.RequestChange(0, 1, [](const auto&) { return "x"; });
    }
    SUBCASE("following") { monitor.WatchForChanges(); }
    CHECK(threads() == before + 1);
    monitor.WatchForChanges();
    CHECK(threads() == before + 1);
  }
  CHECK(threads_become(before));
  std::filesystem::remove_all(folder);
}

TEST_CASE("a ban holds over the list and comes back cold, a node under a new uid is not banned") {
  NodeSuspensions suspensions(
      [](std::string_view id) { return static_cast<NodeSuspensions::NodeId>(id.back() - '0'); });
  scheduling::NodeEntry entry;
  entry.node = 3;
  CHECK(suspensions.Suspend("s-3"));
  CHECK_FALSE(suspensions.Suspend("s-3"));
  CHECK(suspensions.ApplyTo(entry).state == scheduling::NodeState::kDraining);
  entry.state = scheduling::NodeState::kRemoved;
  CHECK(suspensions.ApplyTo(entry).state == scheduling::NodeState::kRemoved);
  suspensions.OnNodeDelisted(3);  // it leaves the list, and comes again
  entry.state = scheduling::NodeState::kReady;
  CHECK(suspensions.ApplyTo(entry).state == scheduling::NodeState::kDraining);
  scheduling::NodeEntry other = entry;
  other.node = 4;
  CHECK(suspensions.ApplyTo(other).state == scheduling::NodeState::kReady);
  CHECK(suspensions.Resume("s-3", 100));
  CHECK_FALSE(suspensions.Resume("s-3", 200));
  CHECK(suspensions.ApplyTo(entry).started_at == 100);
  entry.started_at = 50;  // the list learns late of the restart: no other life, no second budget
  CHECK(suspensions.ApplyTo(entry).started_at == 100);
  entry.started_at = 150;
  CHECK(suspensions.ApplyTo(entry).started_at == 150);
}

TEST_CASE("bans of another process are taken over, and a line that is cut short is no id") {
  const auto number = [](std::string_view id) {
    return static_cast<NodeSuspensions::NodeId>(id.back() - '0');
  };
  NodeSuspensions one(number), two(number);
  one.Suspend("s-1");
  one.Suspend("s-2");
  CHECK(two.ApplyText(one.PendingChange()(std::nullopt), 0, 5) == std::vector<NodeSuspensions::NodeId>{1, 2});
  CHECK(two.ApplyText("s-2\ns-3", 0, 6) == std::vector<NodeSuspensions::NodeId>{1});
  CHECK(two.size() == 1);
  CHECK_FALSE(two.IsSuspended("s-3"));
}

TEST_CASE("a call that is not written down yet holds over an older text, and goes into the next") {
  const auto number = [](std::string_view id) {
    return static_cast<NodeSuspensions::NodeId>(id.back() - '0');
  };
  NodeSuspensions one(number);
  one.Suspend("s-1");
  CHECK(one.ApplyText("s-2\n", 0, 5) ==
        std::vector<NodeSuspensions::NodeId>{2});  // written before the call was
  CHECK(one.IsSuspended("s-1"));
  one.Resume("s-2", 6);
  CHECK(one.ApplyText("s-2\ns-3\n", 0, 7) == std::vector<NodeSuspensions::NodeId>{3});
  CHECK(one.PendingChange()("s-2\ns-3\ns-4\n") == "s-1\ns-3\ns-4\n");  // another's calls are kept
  CHECK(one.PendingChange()(std::nullopt) == "s-1\ns-3\n");            // the text is lost: all that is known
  CHECK(one.ApplyText("s-1\ns-3\n", one.last_call(), 8).empty());
  CHECK(one.ApplyText("s-3\n", one.last_call(), 9) ==
        std::vector<NodeSuspensions::NodeId>{1});  // back by another's call
  CHECK(one.PendingChange()("") == "");
}

}  // namespace
}  // namespace cluster_manager
