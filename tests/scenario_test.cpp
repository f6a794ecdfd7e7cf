// Fault scenarios: the stored ones are valid, a seed always gives the same plan, and errors name their place.
#include "faults/scenario.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <functional>

namespace cluster_manager::faults {
namespace {

using nlohmann::json;

json File(const std::string& path) {
  std::ifstream in(path);
  REQUIRE_MESSAGE(in, path);
  return json::parse(in);
}
json Schema() { return File(WILLOWRAIL_FAULTS "/scenario.schema.json"); }

json Small() {
  return {
      {"name", "small"},
      {"about", "a test"},
      {"fleet", {{"managers", 2}, {"halls", 3}, {"nodes", 6}, {"owners", 1}, {"rate", 10}, {"seconds", 5}}},
      {"faults",
       {{{"at_ms", {1000, 2000}}, {"do", "cut"}, {"from", "m*"}, {"to", "hall-b"}, {"for_ms", 500}},
        {{"at_ms", 500}, {"do", "die"}, {"on", {{"pick", 2}, {"of", "n*"}}}},
        {{"at_ms", 100},
         {"do", "stop"},
         {"on", "m1"},
         {"for_ms", 50},
         {"times", 3},
         {"again_after_ms", 1000}}}}};
}

std::string Errors(const json& scenario) {
  try {
    CheckScenario(scenario, Schema());
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("every stored scenario is valid and named like its file and can be planned") {
  int count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(WILLOWRAIL_FAULTS "/scenarios")) {
    const json scenario = File(entry.path().string());
    CHECK_MESSAGE(Errors(scenario).empty(), entry.path().string() << ": " << Errors(scenario));
    CHECK(scenario["name"] == entry.path().stem().string());
    CHECK(Plan(scenario, 1)["faults"].size() >= scenario["faults"].size());
    ++count;
  }
  CHECK(count >= 15);
}

TEST_CASE("a seed always gives the same plan and another seed a different one") {
  CHECK(Plan(Small(), 3) == Plan(Small(), 3));
  CHECK(Plan(Small(), 3)["faults"] != Plan(Small(), 4)["faults"]);
}

TEST_CASE("a plan lists all targets and repetitions in order of time") {
  const json plan = Plan(Small(), 3);
  REQUIRE(plan["faults"].size() == 5);
  double last = 0;
  int stops = 0, cuts = 0;
  for (const json& fault : plan["faults"]) {
    CHECK(fault["at_ms"].get<double>() >= last);
    last = fault["at_ms"];
    if (fault["do"] == "stop") {
      CHECK(fault["at_ms"] == 100 + 1000 * stops++);
      CHECK(fault["on"] == json{"m1"});
    }
    if (fault["do"] == "cut") {
      ++cuts;
      CHECK(fault["at_ms"] >= 1000);
      CHECK(fault["at_ms"] <= 2000);
      CHECK(fault["from"] == json{"m0", "m1"});
      CHECK(fault["to"] == json{"n1", "n4"});
    }
    if (fault["do"] == "die") CHECK(fault["on"].size() == 2);
  }
  CHECK(stops == 3);
  CHECK(cuts == 1);
}

TEST_CASE("an additional fault does not change the others") {
  json more = Small();
  more["faults"].push_back({{"at_ms", 9000}, {"do", "kill"}, {"on", {{"pick", 1}, {"of", "m*"}}}});
  const json before = Plan(Small(), 3)["faults"], after = Plan(more, 3)["faults"];
  REQUIRE(after.size() == before.size() + 1);
  for (std::size_t i = 0; i < before.size(); ++i) CHECK(after[i] == before[i]);
}

TEST_CASE("errors name their place") {
  const auto with = [](const std::function<void(json*)>& change) {
    json scenario = Small();
    change(&scenario);
    return Errors(scenario);
  };
  CHECK(Errors(Small()).empty());
  CHECK(with([](json* s) { (*s)["faults"][0]["do"] = "explode"; }).find("do") != std::string::npos);
  CHECK(with([](json* s) { s->erase("name"); }).find("name") != std::string::npos);
  CHECK(with([](json* s) { (*s)["faults"][1]["on"]["of"] = "n9"; }).find("faults[1].on.of: there is no n9") ==
        0);
  CHECK(with([](json* s) {
          (*s)["faults"][2].erase("for_ms");
        }).find("faults[2]: \"stop\" needs \"for_ms\"") == 0);
  CHECK(with([](json* s) { (*s)["faults"][2].erase("at_ms"); }).find("write either \"at_ms\" or \"when\"") !=
        std::string::npos);
  CHECK(with([](json* s) { (*s)["fleet"]["nodes"] = 2; }).find("fleet.nodes: fewer than fleet.halls") == 0);
}

}  // namespace
}  // namespace cluster_manager::faults
