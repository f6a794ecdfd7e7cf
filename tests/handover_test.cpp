// What one process passes to the next as text, and files that two processes share.
#include "handover/handover.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <string>

#include "rotation/rotation.h"
#include "rotation/shared_file.h"

namespace willowrail {
namespace {

Handover Sample() {
  Handover all;
  PassedTask task;
  task.id = 0x7f3a9c21e0b4d655;
  task.node = 4242;
  task.class_name = std::string("c\0\"\xff", 4);
  task.tenant = "shop one";
  task.task.name = 7;
  task.task.service = 0xffffffffffffffff;
  task.task.cores = 0.25;
  task.task.memory = 1.5;
  task.passage = std::string("\x00\x64run\n\x80", 7);
  task.class_end = 3;
  all.tasks.push_back(task);
  all.ends.push_back({9, 17, Over::kEnded});
  all.ends.push_back({10, PassedEnd::kAnyNode, Over::kCut});
  return all;
}

TEST_CASE("what is passed comes out as it went in, whatever bytes it holds") {
  const Handover all = ReadHandover(Write(Sample()));
  REQUIRE(all.tasks.size() == 1);
  const PassedTask was = Sample().tasks[0], is = all.tasks[0];
  CHECK(is.id == was.id);
  CHECK(is.node == was.node);
  CHECK(is.class_name == was.class_name);
  CHECK(is.tenant == was.tenant);
  CHECK(is.task.service == was.task.service);
  CHECK(is.task.cores == was.task.cores);
  CHECK(is.passage == was.passage);
  CHECK(is.class_end == was.class_end);
  REQUIRE(all.ends.size() == 2);
  CHECK(all.ends[0].over == Over::kEnded);
  CHECK(all.ends[1].node == PassedEnd::kAnyNode);
}

TEST_CASE("a text that is cut short anywhere, or has a wrong part, passes nothing") {
  const std::string text = Write(Sample());
  for (std::size_t i = 0; i + 2 < text.size(); ++i) {
    const Handover some = ReadHandover(text.substr(0, i));
    CHECK(some.tasks.empty());
    CHECK(some.ends.empty());
  }
  std::string wrong = text;
  wrong.replace(wrong.find("\"class_end\":3"), 13, "\"class_end\":9");
  CHECK(ReadHandover(wrong).tasks.empty());
}

TEST_CASE("a shared file is read when another has changed it, and never half") {
  std::string folder = (std::filesystem::temp_directory_path() / "willowrail-file-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  SharedFile one(folder + "/f"), two(folder + "/f");
  CHECK_FALSE(one.Changed());
  CHECK(one.Change([](const auto& now) { return now ? "again" : "first"; }));
  CHECK_FALSE(one.Changed());
  CHECK(two.Changed() == "first");
  CHECK_FALSE(two.Changed());
  CHECK(two.Change([](const auto& now) { return now.value_or("") + "+"; }));
  CHECK(one.Changed() == "first+");
  SharedFile nowhere(folder + "/none/f");
  CHECK_FALSE(nowhere.Change([](const auto&) { return "x"; }));
  std::filesystem::remove_all(folder);
}

TEST_CASE("a ban holds over the list and comes back cold; a node under a new uid is not banned") {
  Rotation rotation([](std::string_view id) { return static_cast<Rotation::NodeId>(id.back() - '0'); });
  passbridge::NodeEntry entry;
  entry.node = 3;
  CHECK(rotation.TakeOut("s-3"));
  CHECK_FALSE(rotation.TakeOut("s-3"));
  CHECK(rotation.AsDecided(entry).state == passbridge::NodeState::kDraining);
  entry.state = passbridge::NodeState::kGone;
  CHECK(rotation.AsDecided(entry).state == passbridge::NodeState::kGone);
  rotation.Gone(3);  // it leaves the list, and comes again
  entry.state = passbridge::NodeState::kReady;
  CHECK(rotation.AsDecided(entry).state == passbridge::NodeState::kDraining);
  passbridge::NodeEntry other = entry;
  other.node = 4;
  CHECK(rotation.AsDecided(other).state == passbridge::NodeState::kReady);
  CHECK(rotation.BringBack("s-3", 100));
  CHECK_FALSE(rotation.BringBack("s-3", 200));
  CHECK(rotation.AsDecided(entry).came_up == 100);
  entry.came_up = 50;  // the list learns late of the restart: no other life, no second budget
  CHECK(rotation.AsDecided(entry).came_up == 100);
  entry.came_up = 150;
  CHECK(rotation.AsDecided(entry).came_up == 150);
}

TEST_CASE("bans of another process are taken over, and a line that is cut short is no id") {
  const auto number = [](std::string_view id) { return static_cast<Rotation::NodeId>(id.back() - '0'); };
  Rotation one(number), two(number);
  one.TakeOut("s-1");
  one.TakeOut("s-2");
  CHECK(two.Read(one.Write(), 5) == std::vector<Rotation::NodeId>{1, 2});
  CHECK(two.Read("s-2\ns-3", 6) == std::vector<Rotation::NodeId>{1});
  CHECK(two.size() == 1);
  CHECK_FALSE(two.IsOut("s-3"));
}

}  // namespace
}  // namespace willowrail
