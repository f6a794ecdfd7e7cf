// Validation of reloaded configuration files: a file that lacks any part is rejected, a file with other
// values is accepted.
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
  settings["Services"][1]["AimStretch"] = 2;  // a key of only some classes
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

// The reason why a reload rejects the text; empty if it accepts it.
std::string RejectionReason(const std::string& text, const json& first = Valid()) {
  try {
    const json fresh = ParseConfig(text, "config.json");
    std::string issues;
    for (const ConfigIssue& issue : FindIncompatibilities(first, fresh)) issues += FormatIssue(issue) + "\n";
    if (issues.empty()) ReadConfig(fresh);
    return issues;
  } catch (const std::exception& error) {
    return error.what();
  }
}

using Pointer = json::json_pointer;

std::string With(const char* pointer, const json& value) {
  json fresh = Valid();
  fresh[Pointer(pointer)] = value;
  return RejectionReason(fresh.dump());
}

std::string Without(const std::string& pointer) {
  json fresh = Valid();
  const Pointer at(pointer);
  fresh[at.parent_pointer()].erase(at.back());
  return RejectionReason(fresh.dump());
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("a file truncated at any byte is rejected with a message and the complete one is accepted") {
  for (const int indent : {-1, 1}) {
    const std::string text = Valid().dump(indent);
    CHECK(RejectionReason(text) == "");
    for (std::size_t i = 0; i < text.size(); ++i) {
      const std::string reason = RejectionReason(text.substr(0, i));
      REQUIRE_MESSAGE(Contains(reason, "config.json"), "cut at byte " << i << ": " << reason);
      REQUIRE_MESSAGE(Contains(reason, i == 0 ? "is empty" : "the file is truncated"),
                      "cut at byte " << i << ": " << reason);
    }
  }
}

TEST_CASE("a text that is not a configuration is rejected with file and line and byte and the problem") {
  CHECK(RejectionReason("") == "config.json: the file is empty");
  CHECK(RejectionReason(" \r\n\t") == "config.json: the file is empty");
  CHECK(Contains(RejectionReason("[1]"), "config.json, line 1, byte 1: contains [1], expected an object"));
  CHECK(Contains(RejectionReason("null"), "expected an object"));
  const std::string text = Valid().dump(1);
  CHECK(Contains(RejectionReason(text + "\n}"), "byte " + std::to_string(text.size() + 2)));
  CHECK(Contains(RejectionReason(text + "{}"), "expected end of input"));
  CHECK(Contains(RejectionReason(text + std::string("\0x", 2)), "a NUL"));
  CHECK(Contains(RejectionReason(std::string(64, '\0')), "line 1, byte 1: a NUL"));
  CHECK(Contains(RejectionReason("{\n\"a\": nan}"), "line 2, byte "));
  CHECK(Contains(RejectionReason("{\"a\": 1e999}"), "config.json: "));
  CHECK(Contains(RejectionReason("{\"a\": \"\xff\"}"), "config.json, line 1"));
  CHECK(RejectionReason(text + "\n\n") == "");
}

// Calls `each` with the pointer to every key that a reloaded file must have.
template <typename Each>
void Keys(const json& in, const std::string& pointer, const Each& each) {
  for (const auto& [key, value] : in.items()) {
    const std::string below = pointer + "/" + key;
    if (in.is_object() && key != "admin_addr" && key != "seed" && key != "AimStretch") each(below);
    if (value.is_structured() && below != "/known/items") Keys(value, below, each);
  }
}

TEST_CASE("every key of the first file is required again with a value of the same type") {
  int keys = 0;
  Keys(Valid(), "", [&keys](const std::string& pointer) {
    ++keys;
    const std::string name = Pointer(pointer).back();
    CHECK_MESSAGE(Contains(Without(pointer), name + ": missing; "), pointer);
    const bool flag = Valid()[Pointer(pointer)].is_boolean();
    for (const json& other : {json(nullptr), flag ? json("on") : json(true)}) {
      CHECK_MESSAGE(Contains(With(pointer.c_str(), other), name + ": " + other.dump() + "; "), pointer);
    }
  });
  CHECK(keys > 50);
  CHECK(Without("/admin_addr") == "");
  CHECK(Without("/seed") == "");
  CHECK(Without("/settings/Services/1/AimStretch") == "");
  json first = Valid(), fresh = Valid();
  first["settings"]["Weights"] = nullptr;
  CHECK(Contains(RejectionReason(fresh.dump(), first), "settings.Weights: missing"));
  for (const json& value : {json(nullptr), json("none"), json(1)}) {
    fresh["settings"]["Weights"] = value;
    CHECK(RejectionReason(fresh.dump(), first) == "");
  }
}

TEST_CASE("deadlines and numbers of attempts that are not positive numbers are rejected") {
  for (const json& bad : {json("soon"), json("5"), json(0), json(-1), json(0.0), json(true), json(false),
                          json(nullptr), json::array(), json::object(), json(1e300)}) {
    CHECK_MESSAGE(Contains(With("/settings/Services/2/Deadline", bad), "settings.Services[2].Deadline: "),
                  bad);
    CHECK_MESSAGE(Contains(With("/settings/Allowed/MostTries", bad), "settings.Allowed.MostTries: "), bad);
    CHECK_MESSAGE(Contains(With("/settings/Services/1/KeyTtl", bad), "settings.Services[1].KeyTtl: "), bad);
  }
  json fresh = Valid();
  fresh["settings"]["Services"][0]["Deadline"] = std::numeric_limits<double>::quiet_NaN();
  CHECK(FindIncompatibilities(Valid(), fresh).size() == 1);
  CHECK(With("/settings/Services/2/Deadline", "soon") ==
        "settings.Services[2].Deadline: \"soon\"; write a number of nanoseconds above 0\n");
  CHECK(Contains(With("/settings/Allowed/MostTries", 1.5), "write a whole number of attempts above 0"));
  CHECK(With("/settings/Allowed/MostTries", 1.0) == "");
  CHECK(With("/settings/Services/2/Deadline", 2.5e9) == "");
  CHECK(With("/settings/Services/0/KeyTtl", 0) == "");  // not a class with idempotency keys
}

TEST_CASE("classes require a unique name and a known effect and a valid objective") {
  CHECK(
      Contains(With("/settings/Services", json::array()), "settings.Services: []; write a list of at least"));
  CHECK(Contains(With("/settings/Services/1", 5), "settings.Services[1]: 5; "));
  CHECK(Contains(With("/settings/Services/1/Name", ""), "settings.Services[1].Name: \"\"; "));
  CHECK(Contains(With("/settings/Services/1/Name", "pay"), "settings.Services[2].Name: \"pay\"; "));
  CHECK(With("/settings/Services/1/Name", "Pay") == "");
  CHECK(Contains(With("/settings/Services/0/Effect", "Pure"), "settings.Services[0].Effect: \"Pure\"; "));
  CHECK(Contains(With("/settings/Services/0/Aim", -1), "settings.Services[0].Aim: -1; "));
  CHECK(With("/settings/Services/0/Aim", 0) == "");
  CHECK(Contains(With("/settings/GroupSize", 0), "settings.GroupSize: 0; "));
  CHECK(Contains(With("/settings/Ordinal", -1), "settings.Ordinal: -1; "));
  CHECK(
      Contains(With("/settings/FamilyInfo/ApartBy/1", "rack"), "settings.FamilyInfo.ApartBy[1]: \"rack\"; "));
  CHECK(Contains(With("/settings/FamilyInfo/NeedsKind/0", "x"), "settings.FamilyInfo.NeedsKind[0]: \"x\"; "));
  CHECK(Contains(With("/settings/Zones/0", 4), "settings.Zones[0]: 4; "));
  CHECK(With("/name", json(std::vector<int>(1000, 7))).size() < 150);  // long values are truncated
}

json Entry() {
  return {{"uid", "s-00000001"},  {"endpoint", "127.0.0.1:3870"}, {"az", "hall-a"},     {"model", "std"},
          {"pod_group", 2},       {"state", "in_service"},        {"capacity_hint", 4}, {"boot_ms", 0},
          {"unasked", {1.5, 2.0}}};
}

TEST_CASE("all entries of the endpoint list in a file are checked") {
  const auto reason = [](const json& entry) {
    json fresh = Valid();
    fresh["known"]["items"][0]["roster"]["targets"] = {Entry(), entry};
    return RejectionReason(fresh.dump());
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
      CHECK_MESSAGE(Contains(reason(entry), path + key + ": " + value.dump() + "; write "), key);
    }
  }
  for (const char* key : {"uid", "state", "endpoint"}) {
    json entry = Entry();
    entry.erase(key);
    CHECK_MESSAGE(Contains(reason(entry), path + key + ": missing; write "), key);
  }
  CHECK(reason({{"uid", "s-00000002"}, {"endpoint", "127.0.0.1:3871"}, {"state", "terminating"}}) == "");
  CHECK(reason({{"uid", "s-00000002"}, {"state", "terminated"}}) == "");
  json overbooked = Entry();
  overbooked["unasked"] = {-0.25, 0};
  CHECK(reason(overbooked) == "");
}

TEST_CASE("the events and limits and times and the discovery address of a file are checked") {
  CHECK(Contains(With("/known/items/0", 5), "known.items[0].event: 5; write an object"));
  for (const json& bad : {json(0), json(-1), json("3"), json(1e30), json(2.5)}) {
    CHECK_MESSAGE(Contains(With("/known/items/0/no", bad), "known.items[0].no: "), bad);
  }
  CHECK(Contains(With("/known/items/0/roster", nullptr), "known.items[0].roster: null; "));
  CHECK(Contains(With("/known/items/0/roster/rev", "1"), "known.items[0].roster.rev: \"1\"; "));
  CHECK(Contains(With("/known/items/0/roster/all", "yes"), "known.items[0].roster.all: \"yes\"; "));
  CHECK(Contains(With("/known/items/0/roster/targets", 1), "known.items[0].roster.targets: 1; "));
  json first = Valid();
  first.erase("known");
  json fresh = first;
  fresh["known"] = "none";
  CHECK(Contains(RejectionReason(fresh.dump(), first), "known: \"none\"; write an object"));
  for (const json& bad : {json(0), json(-1), json(1.5), json(1e12)}) {
    CHECK_MESSAGE(Contains(With("/limits/sockets", bad), "limits.sockets: "), bad);
  }
  CHECK(Contains(With("/settings/Allowed/DialTimeout", 0), "settings.Allowed.DialTimeout: 0; "));
  CHECK(Contains(With("/settings/Allowed/DialTimeout", -1), "settings.Allowed.DialTimeout: -1; "));
  for (const char* bad : {"", "bulletin", "127.0.0.1", "127.0.0.1:port", "300.0.0.1:9092"}) {
    CHECK_MESSAGE(Contains(With("/bulletin", bad), "bulletin: "), bad);
  }
}

TEST_CASE("a text with too deeply nested values is rejected and brackets in strings do not count") {
  const std::string deep(100'000, '['), in_string = "\"\\\"" + std::string(100, '[') + "\"";
  CHECK(Contains(RejectionReason(deep), "config.json: lists and objects are nested deeper"));
  CHECK(Contains(RejectionReason("{\"settings\": " + deep),
                 "config.json: lists and objects are nested deeper"));
  CHECK_FALSE(ExceedsMaxDepth(Valid().dump()));
  CHECK_FALSE(ExceedsMaxDepth(in_string));
  CHECK_FALSE(ExceedsMaxDepth(std::string(64, '[') + std::string(64, ']') + "[]"));
}

TEST_CASE("a file with other values and other classes and unknown keys is accepted") {
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
  CHECK(RejectionReason(fresh.dump()) == "");
  settings["Services"].erase(0);
  CHECK(RejectionReason(fresh.dump()) == "");
  CHECK(FindIncompatibilities(Valid(), Valid()).empty());
}

TEST_CASE("the last entry of a list shorter than the number of classes applies to the remaining classes") {
  json fresh = Valid();
  fresh["settings"]["Services"].push_back(Service("fourth", "pure"));
  json& family = fresh["settings"]["FamilyInfo"];
  family["ClassCalm"] = json::array();
  family["ApartBy"] = {"machine"};
  REQUIRE(RejectionReason(fresh.dump()) == "");
  const auto classes = ReadConfig(fresh).settings.classes;
  REQUIRE(classes.size() == 4);
  CHECK(classes[3].degradation_start == 1);  // default
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
