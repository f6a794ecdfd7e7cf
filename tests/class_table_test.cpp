// Tests that ClassTable keeps the positions of classes across changes of the settings, with and without tasks
// that use the classes.
#include "request_classes/class_table.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace cluster_manager {
namespace {

using scheduling::ClassSettings;
using scheduling::RetrySafety;
using scheduling::Settings;

ClassSettings MakeClass(const std::string& name, RetrySafety retry_safety = RetrySafety::kIdempotent,
                        scheduling::Time deadline = 1000) {
  ClassSettings settings;
  settings.name = name;
  settings.retry_safety = retry_safety;
  settings.deadline = deadline;
  return settings;
}

Settings MakeSettings(std::vector<ClassSettings> classes, int max_attempts = 1) {
  Settings settings;
  settings.classes = std::move(classes);
  settings.max_attempts = max_attempts;
  return settings;
}

using Positions = std::vector<int>;

TEST_CASE("unchanged classes keep their positions in any order") {
  ClassTable table(MakeSettings({MakeClass("a"), MakeClass("b"), MakeClass("c")}));
  CHECK(table.FindPosition("b") == 1);
  CHECK(table.FindPosition("B") == -1);
  const auto change = table.ApplySettings(MakeSettings({MakeClass("c"), MakeClass("a"), MakeClass("b")}, 5));
  CHECK(change.estimate_sources == Positions{0, 1, 2});
  CHECK(change.added + change.dropped + change.changed == 0);
  CHECK(table.FindPosition("a") == 0);
  CHECK(table.FindPosition("c") == 2);
  CHECK(change.settings.classes[2] == MakeClass("c"));
  CHECK(change.settings.max_attempts == 5);
  CHECK(table.settings().max_attempts == 5);
}

TEST_CASE("a changed class with a task moves and takes over the estimates and the task keeps its settings") {
  ClassTable table(MakeSettings({MakeClass("a"), MakeClass("b")}));
  table.AddTask(0);
  const auto change =
      table.ApplySettings(MakeSettings({MakeClass("a", RetrySafety::kNotIdempotent), MakeClass("b")}));
  CHECK(change.changed == 1);
  CHECK(change.estimate_sources == Positions{0, 1, 0});
  CHECK(table.FindPosition("a") == 2);
  CHECK(table.ClassName(0) == "a");
  CHECK_FALSE(table.is_active(0));
  CHECK(table.is_active(2));
  CHECK(change.settings.classes[0].retry_safety == RetrySafety::kIdempotent);
  CHECK(change.settings.classes[2].retry_safety == RetrySafety::kNotIdempotent);
  table.RemoveTask(0);
  CHECK(table.task_count(0) == 0);
  // The position that it left is reused first.
  const auto next = table.ApplySettings(
      MakeSettings({MakeClass("a", RetrySafety::kNotIdempotent), MakeClass("b"), MakeClass("new")}));
  CHECK(next.estimate_sources == Positions{-1, 1, 2});
  CHECK(next.added == 1);
  CHECK(table.FindPosition("new") == 0);
  CHECK(table.size() == 3);
}

TEST_CASE("a changed class without tasks keeps its position") {
  ClassTable table(MakeSettings({MakeClass("a"), MakeClass("b")}));
  const auto change = table.ApplySettings(MakeSettings(
      {MakeClass("a", RetrySafety::kNotIdempotent), MakeClass("b", RetrySafety::kIdempotencyKey)}));
  CHECK(change.changed == 2);
  CHECK(change.estimate_sources == Positions{0, 1});
  CHECK(table.FindPosition("b") == 1);
  CHECK(table.settings().classes[1].retry_safety == RetrySafety::kIdempotencyKey);
}

TEST_CASE("estimate sources are positions before the change even if another class takes the position") {
  ClassTable table(MakeSettings({MakeClass("a"), MakeClass("b"), MakeClass("c")}));
  table.AddTask(0);
  const auto change = table.ApplySettings(
      MakeSettings({MakeClass("a", RetrySafety::kIdempotencyKey), MakeClass("c")}));  // b's position is free
  CHECK(change.estimate_sources == Positions{0, 0, 2});
  CHECK(table.FindPosition("a") == 1);
  CHECK(change.dropped == 1);
  CHECK(table.FindPosition("b") == -1);
}

TEST_CASE("a class with another name is another class even if its settings are the same") {
  ClassTable table(MakeSettings({MakeClass("a"), MakeClass("b")}));
  table.AddTask(0);
  const auto change = table.ApplySettings(MakeSettings({MakeClass("A"), MakeClass("b")}));
  CHECK(change.added == 1);
  CHECK(change.dropped == 1);
  CHECK(change.changed == 0);
  CHECK(change.estimate_sources == Positions{0, 1, -1});
  CHECK(table.FindPosition("a") == -1);
  CHECK(table.FindPosition("A") == 2);
  CHECK(table.ClassName(0) == "a");
}

TEST_CASE("a class that is dropped and returns unchanged has its previous position with or without tasks") {
  for (const bool used : {false, true}) {
    ClassTable table(MakeSettings({MakeClass("a"), MakeClass("b")}));
    if (used) table.AddTask(0);
    const auto dropped = table.ApplySettings(MakeSettings({MakeClass("b")}));
    CHECK(dropped.dropped == 1);
    CHECK(dropped.estimate_sources == Positions{0, 1});
    CHECK(dropped.settings.classes[0] == MakeClass("a"));  // the settings stay in place
    CHECK(table.FindPosition("a") == -1);
    const auto back = table.ApplySettings(MakeSettings({MakeClass("b"), MakeClass("a")}));
    CHECK(back.added == 1);
    CHECK(back.estimate_sources == Positions{0, 1});
    CHECK(table.FindPosition("a") == 0);
    CHECK(table.task_count(0) == (used ? 1U : 0U));
    CHECK(table.size() == 2);
  }
}

TEST_CASE("a class that is dropped and returns changed is a new class beside the tasks of the previous one") {
  ClassTable table(MakeSettings({MakeClass("a"), MakeClass("b")}));
  table.AddTask(0);
  table.ApplySettings(MakeSettings({MakeClass("b")}));
  const auto back =
      table.ApplySettings(MakeSettings({MakeClass("a", RetrySafety::kNotIdempotent), MakeClass("b")}));
  CHECK(back.estimate_sources == Positions{0, 1, -1});
  CHECK(table.FindPosition("a") == 2);
  CHECK(back.settings.classes[0] == MakeClass("a"));
  table.AddTask(2);
  // Changed back while there are tasks of both: the class gets its first position again.
  const auto again = table.ApplySettings(MakeSettings({MakeClass("a"), MakeClass("b")}));
  CHECK(again.changed == 1);
  CHECK(again.estimate_sources == Positions{0, 1, 2});
  CHECK(table.FindPosition("a") == 0);
  CHECK_FALSE(table.is_active(2));
}

TEST_CASE("two classes with tasks that swap their settings move and keep their estimates") {
  ClassTable table(MakeSettings(
      {MakeClass("a", RetrySafety::kIdempotent, 1), MakeClass("b", RetrySafety::kNotIdempotent, 2)}));
  table.AddTask(0);
  table.AddTask(1);
  const auto change = table.ApplySettings(MakeSettings(
      {MakeClass("b", RetrySafety::kIdempotent, 1), MakeClass("a", RetrySafety::kNotIdempotent, 2)}));
  CHECK(change.changed == 2);
  CHECK(change.estimate_sources == Positions{0, 1, 1, 0});
  CHECK(table.FindPosition("b") == 2);
  CHECK(table.FindPosition("a") == 3);
}

TEST_CASE("of two classes with the same name the first is used") {
  ClassTable table(MakeSettings({MakeClass("a"), MakeClass("a", RetrySafety::kNotIdempotent)}));
  CHECK(table.FindPosition("a") == 0);
  CHECK_FALSE(table.is_active(1));
  const auto change = table.ApplySettings(
      MakeSettings({MakeClass("a"), MakeClass("a", RetrySafety::kIdempotencyKey), MakeClass("c")}));
  CHECK(change.added == 1);
  CHECK(table.FindPosition("a") == 0);
  CHECK(table.FindPosition("c") == 1);
  CHECK(table.size() == 2);
}

TEST_CASE("a task that ends twice is counted once and an invalid position throws") {
  ClassTable table(MakeSettings({MakeClass("a")}));
  table.RemoveTask(0);
  CHECK(table.task_count(0) == 0);
  CHECK_THROWS_AS(table.AddTask(-1), std::out_of_range);
  CHECK_THROWS_AS(table.AddTask(1), std::out_of_range);
}

// Random reloads while tasks begin and end, compared with a simple model.
TEST_CASE("1000 random reloads need no more positions than there are active classes and classes with tasks") {
  for (const unsigned seed : {1U, 2U, 3U}) {
    std::mt19937 random(seed);
    ClassTable table(MakeSettings({MakeClass("a"), MakeClass("b"), MakeClass("c")}));
    struct OpenTask {
      int position;
      ClassSettings settings;
    };
    std::vector<OpenTask> open_tasks;
    std::size_t max_needed = table.size();
    for (int round = 0; round < 1000; ++round) {
      std::vector<ClassSettings> classes = {MakeClass("b")};
      if (random() % 2 > 0) classes.push_back(MakeClass("a", static_cast<RetrySafety>(random() % 3)));
      if (random() % 2 > 0) classes.push_back(MakeClass("c", RetrySafety::kIdempotent, 1 + random() % 50));
      if (random() % 2 > 0) classes.push_back(MakeClass("d" + std::to_string(round)));
      std::shuffle(classes.begin(), classes.end(), random);
      const Settings before = table.settings();
      const auto change = table.ApplySettings(MakeSettings(classes));
      REQUIRE(change.settings.classes == table.settings().classes);
      REQUIRE(change.estimate_sources.size() == table.size());
      std::size_t needed = 0;
      for (std::size_t i = 0; i < table.size(); ++i) {
        const int position = static_cast<int>(i);
        needed += table.is_active(position) || table.task_count(position) > 0 ? 1 : 0;
        const int source = change.estimate_sources[i];
        REQUIRE(source < static_cast<int>(before.classes.size()));
        if (source >= 0)
          REQUIRE(before.classes[static_cast<std::size_t>(source)].name == table.ClassName(position));
      }
      max_needed = std::max(max_needed, needed);
      REQUIRE(table.size() <= max_needed);
      for (const ClassSettings& each : classes) {
        const int position = table.FindPosition(each.name);
        REQUIRE(position >= 0);
        REQUIRE(table.is_active(position));
        REQUIRE(table.settings().classes[static_cast<std::size_t>(position)] == each);
        if (random() % 3 > 0) {
          table.AddTask(position);
          open_tasks.push_back({position, each});
        }
      }
      std::shuffle(open_tasks.begin(), open_tasks.end(), random);
      for (const OpenTask& task : open_tasks) {
        REQUIRE(table.settings().classes[static_cast<std::size_t>(task.position)] == task.settings);
      }
      while (open_tasks.size() > 8) {
        table.RemoveTask(open_tasks.back().position);
        open_tasks.pop_back();
      }
    }
    CHECK(table.size() <= 4 + 4 + 8);
    for (const OpenTask& task : open_tasks) table.RemoveTask(task.position);
    for (std::size_t i = 0; i < table.size(); ++i) CHECK(table.task_count(static_cast<int>(i)) == 0);
  }
}

}  // namespace
}  // namespace cluster_manager
