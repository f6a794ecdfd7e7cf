// Positions of classes over changes of the settings, with and without tasks under way.
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

ClassSettings Class(const std::string& name, RetrySafety effect = RetrySafety::kIdempotent,
                    scheduling::Time deadline = 1000) {
  ClassSettings each;
  each.name = name;
  each.retry_safety = effect;
  each.deadline = deadline;
  return each;
}

Settings Of(std::vector<ClassSettings> classes, int tries = 1) {
  Settings settings;
  settings.classes = std::move(classes);
  settings.max_attempts = tries;
  return settings;
}

using Ints = std::vector<int>;

TEST_CASE("the same classes, in whatever order, keep their positions") {
  ClassTable table(Of({Class("a"), Class("b"), Class("c")}));
  CHECK(table.Position("b") == 1);
  CHECK(table.Position("B") == -1);
  const auto change = table.Apply(Of({Class("c"), Class("a"), Class("b")}, 5));
  CHECK(change.estimate_sources == Ints{0, 1, 2});
  CHECK(change.added + change.dropped + change.changed == 0);
  CHECK(table.Position("a") == 0);
  CHECK(table.Position("c") == 2);
  CHECK(change.settings.classes[2] == Class("c"));
  CHECK(change.settings.max_attempts == 5);
  CHECK(table.settings().max_attempts == 5);
}

TEST_CASE("a changed class moves where a task uses it and learns from where it was, the task keeps its own") {
  ClassTable table(Of({Class("a"), Class("b")}));
  table.Use(0);
  const auto change = table.Apply(Of({Class("a", RetrySafety::kNotIdempotent), Class("b")}));
  CHECK(change.changed == 1);
  CHECK(change.estimate_sources == Ints{0, 1, 0});
  CHECK(table.Position("a") == 2);
  CHECK(table.NameOf(0) == "a");
  CHECK_FALSE(table.in_force(0));
  CHECK(table.in_force(2));
  CHECK(change.settings.classes[0].retry_safety == RetrySafety::kIdempotent);
  CHECK(change.settings.classes[2].retry_safety == RetrySafety::kNotIdempotent);
  table.Done(0);
  CHECK(table.in_use(0) == 0);
  // The place that it left is the next to be used again.
  const auto next = table.Apply(Of({Class("a", RetrySafety::kNotIdempotent), Class("b"), Class("new")}));
  CHECK(next.estimate_sources == Ints{-1, 1, 2});
  CHECK(next.added == 1);
  CHECK(table.Position("new") == 0);
  CHECK(table.size() == 3);
}

TEST_CASE("a changed class that nothing uses stays where it is") {
  ClassTable table(Of({Class("a"), Class("b")}));
  const auto change =
      table.Apply(Of({Class("a", RetrySafety::kNotIdempotent), Class("b", RetrySafety::kIdempotencyKey)}));
  CHECK(change.changed == 2);
  CHECK(change.estimate_sources == Ints{0, 1});
  CHECK(table.Position("b") == 1);
  CHECK(table.settings().classes[1].retry_safety == RetrySafety::kIdempotencyKey);
}

TEST_CASE("what a class learns from is told as it stood, where its old place goes to another in one change") {
  ClassTable table(Of({Class("a"), Class("b"), Class("c")}));
  table.Use(0);
  const auto change =
      table.Apply(Of({Class("a", RetrySafety::kIdempotencyKey), Class("c")}));  // b's place is free
  CHECK(change.estimate_sources == Ints{0, 0, 2});
  CHECK(table.Position("a") == 1);
  CHECK(change.dropped == 1);
  CHECK(table.Position("b") == -1);
}

TEST_CASE("a class under another name is another class, whatever else it has") {
  ClassTable table(Of({Class("a"), Class("b")}));
  table.Use(0);
  const auto change = table.Apply(Of({Class("A"), Class("b")}));
  CHECK(change.added == 1);
  CHECK(change.dropped == 1);
  CHECK(change.changed == 0);
  CHECK(change.estimate_sources == Ints{0, 1, -1});
  CHECK(table.Position("a") == -1);
  CHECK(table.Position("A") == 2);
  CHECK(table.NameOf(0) == "a");
}

TEST_CASE("a class that is dropped and comes back unchanged has its old place, used or not") {
  for (const bool used : {false, true}) {
    ClassTable table(Of({Class("a"), Class("b")}));
    if (used) table.Use(0);
    const auto dropped = table.Apply(Of({Class("b")}));
    CHECK(dropped.dropped == 1);
    CHECK(dropped.estimate_sources == Ints{0, 1});
    CHECK(dropped.settings.classes[0] == Class("a"));  // keeps what stood there
    CHECK(table.Position("a") == -1);
    const auto back = table.Apply(Of({Class("b"), Class("a")}));
    CHECK(back.added == 1);
    CHECK(back.estimate_sources == Ints{0, 1});
    CHECK(table.Position("a") == 0);
    CHECK(table.in_use(0) == (used ? 1U : 0U));
    CHECK(table.size() == 2);
  }
}

TEST_CASE("a class that is dropped and comes back changed is a new one beside the tasks of the old") {
  ClassTable table(Of({Class("a"), Class("b")}));
  table.Use(0);
  table.Apply(Of({Class("b")}));
  const auto back = table.Apply(Of({Class("a", RetrySafety::kNotIdempotent), Class("b")}));
  CHECK(back.estimate_sources == Ints{0, 1, -1});
  CHECK(table.Position("a") == 2);
  CHECK(back.settings.classes[0] == Class("a"));
  table.Use(2);
  // Changed back while tasks of both are under way: the first place serves, as it stands.
  const auto again = table.Apply(Of({Class("a"), Class("b")}));
  CHECK(again.changed == 1);
  CHECK(again.estimate_sources == Ints{0, 1, 2});
  CHECK(table.Position("a") == 0);
  CHECK_FALSE(table.in_force(2));
}

TEST_CASE("two classes that swap their settings, and one that takes a dropped one's settings") {
  ClassTable table(Of({Class("a", RetrySafety::kIdempotent, 1), Class("b", RetrySafety::kNotIdempotent, 2)}));
  table.Use(0);
  table.Use(1);
  const auto change =
      table.Apply(Of({Class("b", RetrySafety::kIdempotent, 1), Class("a", RetrySafety::kNotIdempotent, 2)}));
  CHECK(change.changed == 2);
  CHECK(change.estimate_sources == Ints{0, 1, 1, 0});
  CHECK(table.Position("b") == 2);
  CHECK(table.Position("a") == 3);
}

TEST_CASE("of two classes with one name the first counts") {
  ClassTable table(Of({Class("a"), Class("a", RetrySafety::kNotIdempotent)}));
  CHECK(table.Position("a") == 0);
  CHECK_FALSE(table.in_force(1));
  const auto change = table.Apply(Of({Class("a"), Class("a", RetrySafety::kIdempotencyKey), Class("c")}));
  CHECK(change.added == 1);
  CHECK(table.Position("a") == 0);
  CHECK(table.Position("c") == 1);
  CHECK(table.size() == 2);
}

TEST_CASE("a task that ends twice is counted once, and a position that is none is an error") {
  ClassTable table(Of({Class("a")}));
  table.Done(0);
  CHECK(table.in_use(0) == 0);
  CHECK_THROWS_AS(table.Use(-1), std::out_of_range);
  CHECK_THROWS_AS(table.Use(1), std::out_of_range);
}

// Drawn reloads while tasks begin and end, against a model of the plainest kind.
TEST_CASE("1,000 reloads that alternate: no more positions than classes in force and classes still used") {
  for (const unsigned seed : {1U, 2U, 3U}) {
    std::mt19937 draw(seed);
    ClassTable table(Of({Class("a"), Class("b"), Class("c")}));
    struct Open {
      int position;
      ClassSettings its;
    };
    std::vector<Open> open;
    std::size_t most = table.size();
    for (int round = 0; round < 1000; ++round) {
      std::vector<ClassSettings> classes = {Class("b")};
      if (draw() % 2 > 0) classes.push_back(Class("a", static_cast<RetrySafety>(draw() % 3)));
      if (draw() % 2 > 0) classes.push_back(Class("c", RetrySafety::kIdempotent, 1 + draw() % 50));
      if (draw() % 2 > 0) classes.push_back(Class("d" + std::to_string(round)));
      std::shuffle(classes.begin(), classes.end(), draw);
      const Settings before = table.settings();
      const auto change = table.Apply(Of(classes));
      REQUIRE(change.settings.classes == table.settings().classes);
      REQUIRE(change.estimate_sources.size() == table.size());
      std::size_t needed = 0;
      for (std::size_t i = 0; i < table.size(); ++i) {
        const int at = static_cast<int>(i);
        needed += table.in_force(at) || table.in_use(at) > 0 ? 1 : 0;
        const int from = change.estimate_sources[i];
        REQUIRE(from < static_cast<int>(before.classes.size()));
        if (from >= 0) REQUIRE(before.classes[static_cast<std::size_t>(from)].name == table.NameOf(at));
      }
      most = std::max(most, needed);
      REQUIRE(table.size() <= most);
      for (const ClassSettings& each : classes) {
        const int position = table.Position(each.name);
        REQUIRE(position >= 0);
        REQUIRE(table.in_force(position));
        REQUIRE(table.settings().classes[static_cast<std::size_t>(position)] == each);
        if (draw() % 3 > 0) {
          table.Use(position);
          open.push_back({position, each});
        }
      }
      std::shuffle(open.begin(), open.end(), draw);
      for (const Open& task : open) {
        REQUIRE(table.settings().classes[static_cast<std::size_t>(task.position)] == task.its);
      }
      while (open.size() > 8) {
        table.Done(open.back().position);
        open.pop_back();
      }
    }
    CHECK(table.size() <= 4 + 4 + 8);
    for (const Open& task : open) table.Done(task.position);
    for (std::size_t i = 0; i < table.size(); ++i) CHECK(table.in_use(static_cast<int>(i)) == 0);
  }
}

}  // namespace
}  // namespace cluster_manager
