// Which later configuration files are taken: every way to lose a part of one is refused, other values are
// not.
#include <doctest/doctest.h>

#include <limits>
#include <stdexcept>
#include <utility>
#include <vector>

#include "config/config.h"
#include "config/config_validation.h"

namespace cluster_manager {
namespace {

using nlohmann::json;

json Service(const char* name, const char* effect) {
  return {{"Name", name},       {"Effect", effect},        {"Deadline", 6'000'000'000},
          {"Aim", 700'000'000}, {"KeyTtl", 5'000'000'000}, {"Group", "all"},
          {"Worth", 1.5},       {"LateShare", 0.2}};
}

json Valid() {
  json settings = {
      {"Services", {Service("web api", "pure"), Service("card", "token"), Service("pay", "side_effect")}},
      {"Tenants", {{{"Name", "one"}, {"Portion", 0.5}}, {{"Name", "two"}, {"Portion", 0.5}}}},
      {"Allowed", {{"MostTries", 3}, {"DialTimeout", 250'000'000}, {"Probing", true}}},
      {"FamilyInfo", json::object()},
      {"GroupSize", 2},
      {"Ordinal", 1},
      {"Layers", {"fleet"}},
      {"Kinds", {"std"}},
      {"Zones", {"hall-a", "hall-b"}}};
  settings["Services"][1]["AimStretch"] = 2;  // a key that only some classes have
  settings["FamilyInfo"] = {{"CoresByKind", {42}},          {"MemoryByKind", {66.0}},
                            {"ClassCalm", {1.0, 0.8, 0.6}}, {"FadesOver", {1.0, 0.2, 0.2}},
                            {"NeedsKind", {-1, -1, 0}},     {"Precedence", {0, 2, 3}},
                            {"ClassMost", {2, 3, 4}},       {"StartSeconds", {8.0, 10.0, 12.0}},
                            {"YesAt", "running"},           {"ApartBy", {"none", "cell", "zone"}}};
  return {
      {"name", "n3"},
      {"listen", "127.0.0.1:3868"},
      {"admin_addr", "127.0.0.1:3869"},
      {"seed", "8c1f30d27a5be964"},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"bulletin", "127.0.0.1:9092"},
      {"known", {{"no", 3}, {"items", {{{"no", 3}, {"roster", {{"rev", 1}, {"targets", json::array()}}}}}}}},
      {"settings", settings}};
}

// Why the text is not taken, empty where it is: as a reload goes about it.
std::string Refusal(const std::string& text, const json& first = Valid()) {
  try {
    const json fresh = ParseConfig(text, "config.json");
    std::string all;
    for (const ConfigIssue& complaint : FindIncompatibilities(first, fresh))
      all += FormatIssue(complaint) + "\n";
    if (all.empty()) ReadConfig(fresh);
    return all;
  } catch (const std::exception& error) {
    return error.what();
  }
}

using Pointer = json::json_pointer;

std::string With(const char* pointer, const json& value) {
  json fresh = Valid();
  fresh[Pointer(pointer)] = value;
  return Refusal(fresh.dump());
}

std::string Without(const std::string& pointer) {
  json fresh = Valid();
  const Pointer at(pointer);
  fresh[at.parent_pointer()].erase(at.back());
  return Refusal(fresh.dump());
}

bool Has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

TEST_CASE("a file cut at any byte is refused with a message, the whole one is taken") {
  for (const int indent : {-1, 1}) {
    const std::string text = Valid().dump(indent);
    CHECK(Refusal(text) == "");
    for (std::size_t i = 0; i < text.size(); ++i) {
      const std::string refusal = Refusal(text.substr(0, i));
      REQUIRE_MESSAGE(Has(refusal, "config.json"), "cut at byte " << i << ": " << refusal);
      REQUIRE_MESSAGE(Has(refusal, i == 0 ? "is empty" : "cut short"),
                      "cut at byte " << i << ": " << refusal);
    }
  }
}

TEST_CASE("a text that is no configuration is refused, naming file, line, byte and what is wrong") {
  CHECK(Refusal("") == "config.json: the file is empty");
  CHECK(Refusal(" \r\n\t") == "config.json: the file is empty");
  CHECK(Has(Refusal("[1]"), "config.json, line 1, byte 1: holds [1], not an object"));
  CHECK(Has(Refusal("null"), "not an object"));
  const std::string text = Valid().dump(1);
  CHECK(Has(Refusal(text + "\n}"), "byte " + std::to_string(text.size() + 2)));
  CHECK(Has(Refusal(text + "{}"), "expected end of input"));
  CHECK(Has(Refusal(text + std::string("\0x", 2)), "a NUL"));
  CHECK(Has(Refusal(std::string(64, '\0')), "line 1, byte 1: a NUL"));
  CHECK(Has(Refusal("{\n\"a\": nan}"), "line 2, byte "));
  CHECK(Has(Refusal("{\"a\": 1e999}"), "config.json: "));
  CHECK(Has(Refusal("{\"a\": \"\xff\"}"), "config.json, line 1"));
  CHECK(Refusal(text + "\n\n") == "");
}

// Calls `each` with the pointer to every key that the file has to have again.
template <typename Each>
void Keys(const json& in, const std::string& pointer, const Each& each) {
  for (const auto& [key, value] : in.items()) {
    const std::string below = pointer + "/" + key;
    if (in.is_object() && key != "admin_addr" && key != "seed" && key != "AimStretch") each(below);
    if (value.is_structured() && below != "/known/items") Keys(value, below, each);
  }
}

TEST_CASE("every key that the first file had is wanted again, with a value of the same type") {
  int keys = 0;
  Keys(Valid(), "", [&keys](const std::string& pointer) {
    ++keys;
    const std::string name = Pointer(pointer).back();
    CHECK_MESSAGE(Has(Without(pointer), name + ": missing; "), pointer);
    const bool flag = Valid()[Pointer(pointer)].is_boolean();
    for (const json& other : {json(nullptr), flag ? json("on") : json(true)}) {
      CHECK_MESSAGE(Has(With(pointer.c_str(), other), name + ": " + other.dump() + "; "), pointer);
    }
  });
  CHECK(keys > 50);
  CHECK(Without("/admin_addr") == "");
  CHECK(Without("/seed") == "");
  CHECK(Without("/settings/Services/1/AimStretch") == "");
  json first = Valid(), fresh = Valid();
  first["settings"]["Weights"] = nullptr;
  CHECK(Has(Refusal(fresh.dump(), first), "settings.Weights: missing"));
  for (const json& value : {json(nullptr), json("none"), json(1)}) {
    fresh["settings"]["Weights"] = value;
    CHECK(Refusal(fresh.dump(), first) == "");
  }
}

TEST_CASE("deadlines and numbers of attempts that are no number above 0 are refused") {
  for (const json& bad : {json("soon"), json("5"), json(0), json(-1), json(0.0), json(true), json(false),
                          json(nullptr), json::array(), json::object(), json(1e300)}) {
    CHECK_MESSAGE(Has(With("/settings/Services/2/Deadline", bad), "settings.Services[2].Deadline: "), bad);
    CHECK_MESSAGE(Has(With("/settings/Allowed/MostTries", bad), "settings.Allowed.MostTries: "), bad);
    CHECK_MESSAGE(Has(With("/settings/Services/1/KeyTtl", bad), "settings.Services[1].KeyTtl: "), bad);
  }
  json fresh = Valid();
  fresh["settings"]["Services"][0]["Deadline"] = std::numeric_limits<double>::quiet_NaN();
  CHECK(FindIncompatibilities(Valid(), fresh).size() == 1);
  CHECK(With("/settings/Services/2/Deadline", "soon") ==
        "settings.Services[2].Deadline: \"soon\"; write a number of nanoseconds above 0\n");
  CHECK(Has(With("/settings/Allowed/MostTries", 1.5), "write a whole number of attempts above 0"));
  CHECK(With("/settings/Allowed/MostTries", 1.0) == "");
  CHECK(With("/settings/Services/2/Deadline", 2.5e9) == "");
  CHECK(With("/settings/Services/0/KeyTtl", 0) == "");  // no token class
}

TEST_CASE("classes have a name of their own, an effect that there is, and an aim that can be") {
  CHECK(Has(With("/settings/Services", json::array()), "settings.Services: []; write a list of at least"));
  CHECK(Has(With("/settings/Services/1", 5), "settings.Services[1]: 5; "));
  CHECK(Has(With("/settings/Services/1/Name", ""), "settings.Services[1].Name: \"\"; "));
  CHECK(Has(With("/settings/Services/1/Name", "pay"), "settings.Services[2].Name: \"pay\"; "));
  CHECK(With("/settings/Services/1/Name", "Pay") == "");
  CHECK(Has(With("/settings/Services/0/Effect", "Pure"), "settings.Services[0].Effect: \"Pure\"; "));
  CHECK(Has(With("/settings/Services/0/Aim", -1), "settings.Services[0].Aim: -1; "));
  CHECK(With("/settings/Services/0/Aim", 0) == "");
  CHECK(Has(With("/settings/GroupSize", 0), "settings.GroupSize: 0; "));
  CHECK(Has(With("/settings/Ordinal", -1), "settings.Ordinal: -1; "));
  CHECK(Has(With("/settings/FamilyInfo/ApartBy/1", "rack"), "settings.FamilyInfo.ApartBy[1]: \"rack\"; "));
  CHECK(Has(With("/settings/FamilyInfo/NeedsKind/0", "x"), "settings.FamilyInfo.NeedsKind[0]: \"x\"; "));
  CHECK(Has(With("/settings/Zones/0", 4), "settings.Zones[0]: 4; "));
  CHECK(With("/name", json(std::vector<int>(1000, 7))).size() < 150);  // long values are cut
}

json Entry() {
  return {{"uid", "s-00000001"},  {"endpoint", "127.0.0.1:3870"}, {"az", "hall-a"},     {"model", "std"},
          {"pod_group", 2},       {"state", "in_service"},        {"capacity_hint", 4}, {"boot_ms", 0},
          {"unasked", {1.5, 2.0}}};
}

TEST_CASE("the node list of a file is checked to its last entry") {
  const auto refusal = [](const json& entry) {
    json fresh = Valid();
    fresh["known"]["items"][0]["roster"]["targets"] = {Entry(), entry};
    return Refusal(fresh.dump());
  };
  const std::string path = "known.items[0].roster.targets[1].";
  for (const auto& [key, bad] : std::vector<std::pair<const char*, std::vector<json>>>{
           {"uid", {"", 1, nullptr}},
           {"state", {"ready", "", 1, nullptr}},
           {"endpoint", {"", "here", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", 1, nullptr}},
           {"az", {1, nullptr}},
           {"model", {1, nullptr}},
           {"pod_group", {-1, 0.5, "2", 1e10, nullptr}},
           {"capacity_hint", {-1, "4", nullptr}},
           {"boot_ms", {-1, 0.5, 1e16, "0", nullptr}},
           {"unasked", {1, json::array(), {1}, {1, "2"}, {1, 2, 3}, nullptr}}}) {
    for (const json& value : bad) {
      json entry = Entry();
      entry[key] = value;
      CHECK_MESSAGE(Has(refusal(entry), path + key + ": " + value.dump() + "; write "), key);
    }
  }
  for (const char* key : {"uid", "state", "endpoint"}) {
    json entry = Entry();
    entry.erase(key);
    CHECK_MESSAGE(Has(refusal(entry), path + key + ": missing; write "), key);
  }
  CHECK(refusal({{"uid", "s-00000002"}, {"endpoint", "127.0.0.1:3871"}, {"state", "terminating"}}) == "");
  CHECK(refusal({{"uid", "s-00000002"}, {"state", "terminated"}}) == "");
  json overbooked = Entry();
  overbooked["unasked"] = {-0.25, 0};
  CHECK(refusal(overbooked) == "");
}

TEST_CASE("the events of a file, limits, times and the bulletin's address are checked") {
  CHECK(Has(With("/known/items/0", 5), "known.items[0].event: 5; write an object"));
  for (const json& bad : {json(0), json(-1), json("3"), json(1e30), json(2.5)}) {
    CHECK_MESSAGE(Has(With("/known/items/0/no", bad), "known.items[0].no: "), bad);
  }
  CHECK(Has(With("/known/items/0/roster", nullptr), "known.items[0].roster: null; "));
  CHECK(Has(With("/known/items/0/roster/rev", "1"), "known.items[0].roster.rev: \"1\"; "));
  CHECK(Has(With("/known/items/0/roster/all", "yes"), "known.items[0].roster.all: \"yes\"; "));
  CHECK(Has(With("/known/items/0/roster/targets", 1), "known.items[0].roster.targets: 1; "));
  json first = Valid();
  first.erase("known");
  json fresh = first;
  fresh["known"] = "none";
  CHECK(Has(Refusal(fresh.dump(), first), "known: \"none\"; write an object"));
  for (const json& bad : {json(0), json(-1), json(1.5), json(1e12)}) {
    CHECK_MESSAGE(Has(With("/limits/sockets", bad), "limits.sockets: "), bad);
  }
  CHECK(Has(With("/settings/Allowed/DialTimeout", 0), "settings.Allowed.DialTimeout: 0; "));
  CHECK(Has(With("/settings/Allowed/DialTimeout", -1), "settings.Allowed.DialTimeout: -1; "));
  for (const char* bad : {"", "bulletin", "127.0.0.1", "127.0.0.1:port", "300.0.0.1:9092"}) {
    CHECK_MESSAGE(Has(With("/bulletin", bad), "bulletin: "), bad);
  }
}

TEST_CASE("a text whose values lie too deep in one another is refused, whatever stands in strings") {
  const std::string deep(100'000, '['), in_string = "\"\\\"" + std::string(100, '[') + "\"";
  CHECK(Has(Refusal(deep), "config.json: lists and objects lie deeper"));
  CHECK(Has(Refusal("{\"settings\": " + deep), "config.json: lists and objects lie deeper"));
  CHECK_FALSE(ExceedsMaxDepth(Valid().dump()));
  CHECK_FALSE(ExceedsMaxDepth(in_string));
  CHECK_FALSE(ExceedsMaxDepth(std::string(64, '[') + std::string(64, ']') + "[]"));
}

TEST_CASE("a file with other values, other classes and unknown keys is taken") {
  json fresh = Valid();
  json& settings = fresh["settings"];
  fresh["new"] = {{"key", 1}};
  fresh["known"] = {{"no", 9}, {"items", json::array()}};
  fresh["seed"] = "0";
  settings["Brand"] = {1, "two"};
  settings["Allowed"]["MostTries"] = 1;
  settings["Services"][0]["Effect"] = "side_effect";
  settings["Services"][1]["Deadline"] = 1;
  settings["Services"].push_back(Service("fourth", "token"));
  settings["Services"][3]["Unknown"] = nullptr;
  CHECK(Refusal(fresh.dump()) == "");
  settings["Services"].erase(0);
  CHECK(Refusal(fresh.dump()) == "");
  CHECK(FindIncompatibilities(Valid(), Valid()).empty());
}

TEST_CASE("where a list has fewer entries than there are classes, its last serves for the rest") {
  json fresh = Valid();
  fresh["settings"]["Services"].push_back(Service("fourth", "pure"));
  json& family = fresh["settings"]["FamilyInfo"];
  family["ClassCalm"] = json::array();
  family["ApartBy"] = {"machine"};
  REQUIRE(Refusal(fresh.dump()) == "");
  const auto classes = ReadConfig(fresh).settings.classes;
  REQUIRE(classes.size() == 4);
  CHECK(classes[3].degradation_start == 1);  // nothing said
  CHECK(classes[0].degradation_span == 1.0);
  CHECK(classes[3].degradation_span == 0.2);
  CHECK(classes[3].required_node_kind == 0);
  CHECK(classes[3].priority == 3);
  CHECK(classes[3].spread_limit == 4);
  CHECK(classes[3].start_value_seconds == 12.0);
  for (const auto& each : classes) CHECK(each.spread_domain == scheduling::FailureDomain::kNode);
}

}  // namespace
}  // namespace cluster_manager
