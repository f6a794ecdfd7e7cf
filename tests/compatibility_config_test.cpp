// The keys of the configuration file and the environment variables that override it. Existing installations
// use each of them, so none may be renamed.
#include <arpa/inet.h>
#include <doctest/doctest.h>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "config/config_error.h"
#include "config/config_validation.h"
#include "discovery/endpoint_list.h"

namespace cluster_manager {
namespace {

using nlohmann::json;
using Pointer = json::json_pointer;
using scheduling::FailureDomain;
using scheduling::RetrySafety;

std::string DataFile(const std::string& name) { return std::string(WILLOWRAIL_TEST_DATA "/") + name; }

json Read(const std::string& name) {
  std::ifstream file(DataFile(name));
  REQUIRE_MESSAGE(file.good(), "cannot read " << DataFile(name));
  return json::parse(file);
}

std::string AddressText(const sockaddr_in& address) {
  char text[INET_ADDRSTRLEN] = {};
  ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

// Sets an environment variable for the lifetime of the object.
class Variable {
 public:
  Variable(const char* name, const std::string& value) : name_(name) { ::setenv(name, value.c_str(), 1); }
  ~Variable() { ::unsetenv(name_); }
  Variable(const Variable&) = delete;
  Variable& operator=(const Variable&) = delete;

 private:
  const char* name_;
};

// All values of a configuration as text: configurations that differ in any value have different texts.
class Summary {
 public:
  explicit Summary(const Config& c) {
    Add(c.name, AddressText(c.listen), AddressText(c.discovery), c.admin ? AddressText(*c.admin) : "none");
    Add(c.seed, c.max_descriptors, c.dial_timeout, c.keepalive, c.settings.classes.size());
    for (const std::string& zone : c.zones) Add("zone", zone);
    for (const std::string& kind : c.node_kinds) Add("kind", kind);
    for (const scheduling::ClassSettings& each : c.settings.classes) AddClass(each);
    for (const scheduling::TenantSettings& each : c.settings.tenants) {
      Add(each.name, each.traffic_share, each.quota_cores);
    }
    AddSettings(c.settings);
    AddNodes(c);
  }
  std::string text() const { return text_.str(); }

 private:
  template <typename... Values>
  void Add(const Values&... values) {
    ((text_ << values << '|'), ...);
    text_ << '\n';
  }
  void AddClass(const scheduling::ClassSettings& each) {
    Add(each.name, each.latency_objective, each.deadline, static_cast<int>(each.retry_safety),
        static_cast<int>(each.key_scope));
    Add(each.key_ttl, each.priority_weight, each.late_value_share, each.start_value_seconds,
        each.degradation_start, each.degradation_span, each.required_node_kind);
    Add(each.priority, static_cast<int>(each.spread_domain), each.spread_limit);
  }
  void AddSettings(const scheduling::Settings& s) {
    for (const double each : s.kind_cores) Add("cores", each);
    for (const double each : s.kind_memory) Add("memory", each);
    Add(s.mean_cores, s.mean_memory, s.cores_overcommit, s.memory_overcommit, s.accepted_means_running,
        s.shows_free_capacity);
    Add(s.reports_actual_use, s.discovery_by_subscription, s.allows_health_checks, s.allows_cancellation,
        s.reports_task_use, s.reports_memory_pressure);
    Add(s.scheduler_count, s.scheduler_index, s.zone, s.max_attempts, s.slow_start_sends, s.tick,
        s.answer_slack);
    Add(s.subscription_timeout, s.slow_start_duration, s.slow_start_initial_speed, s.overload_window,
        s.drain_grace, s.max_retry_after, s.over_quota_weight);
    Add(s.node_price);
  }
  // Applies the known events as the program does at its start.
  void AddNodes(const Config& c) {
    EndpointList list(c.zones, c.node_kinds);
    Add(c.known_list.value("no", -1));
    for (const json& event : c.known_list.value("items", json::array())) {
      EndpointList::Change change;
      Add(static_cast<int>(list.Apply(event, EndpointList::GapPolicy::kAccept, &change)), change.full,
          change.version);
      for (const ConfigIssue& wrong : change.problems) Add(FormatIssue(wrong));
    }
    for (const ListedNode& node : list.FullList().nodes) {
      const scheduling::NodeEntry& entry = node.entry;
      Add(node.endpoint, entry.node, static_cast<int>(entry.state), entry.kind, entry.zone, entry.rack);
      Add(entry.started_at, entry.free_cores, entry.free_memory, entry.nominal_capacity);
    }
  }
  std::ostringstream text_;
};

// Nothing if the configuration is rejected.
std::optional<std::string> SummaryOf(const json& config) {
  try {
    return Summary(ReadConfig(config)).text();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

void CollectKeys(const json& in, const Pointer& at, std::vector<Pointer>* keys) {
  if (in.is_object()) {
    for (const auto& [key, value] : in.items()) {
      keys->push_back(at / key);
      CollectKeys(value, at / key, keys);
    }
  } else if (in.is_array()) {
    for (std::size_t i = 0; i < in.size(); ++i) CollectKeys(in[i], at / i, keys);
  }
}

std::vector<Pointer> KeysOf(const json& document) {
  std::vector<Pointer> keys;
  CollectKeys(document, Pointer(), &keys);
  return keys;
}

// The document with the last letter of the key at `at` changed.
json Renamed(json document, const Pointer& at) {
  json& object = document[at.parent_pointer()];
  std::string name = at.back();
  json value = object[name];
  object.erase(name);
  name.back() = name.back() == 'q' ? 'p' : 'q';
  object[name] = std::move(value);
  return document;
}

TEST_CASE(
    "the stored configuration is read from the file named by ROUTER_CONFIG and each value from its key") {
  const Variable path("ROUTER_CONFIG", DataFile("router_config.json"));
  const Config c = LoadConfigFromEnvironment();
  CHECK(c.name == "manager-3");
  CHECK(AddressText(c.listen) == "127.0.0.1:3868");
  CHECK(AddressText(c.discovery) == "127.0.0.3:9092");
  REQUIRE(c.admin.has_value());
  CHECK(AddressText(*c.admin) == "127.0.0.2:3869");
  CHECK(c.listen_socket == -1);
  CHECK(c.seed == 0x8c1f30d27a5be964);
  CHECK(c.max_descriptors == 777);
  CHECK(c.dial_timeout == 251'000'000);
  CHECK(c.keepalive == 16'000'000'000);
  CHECK(c.zones == std::vector<std::string>{"hall-a", "hall-b"});
  CHECK(c.node_kinds == std::vector<std::string>{"std", "gpu"});
  CHECK(c.known_list == Read("router_config.json")["known"]);
  CHECK(FindIncompatibilities(c.required_shape, Read("router_config.json")).empty());
}

TEST_CASE("the class and tenant settings of the stored configuration are read") {
  const scheduling::Settings s = ReadConfig(Read("router_config.json")).settings;
  REQUIRE(s.classes.size() == 2);
  CHECK(s.classes[0] == scheduling::ClassSettings{"web api", 700'000'000, 6'000'000'000,
                                                  RetrySafety::kIdempotent, FailureDomain::kCluster,
                                                  5'000'000'000, 1.5, 0.25, 8.5, 0.75, 0.875, 1, 2,
                                                  FailureDomain::kRack, 4});
  CHECK(s.classes[1] == scheduling::ClassSettings{"card", 800'000'000, 7'000'000'000,
                                                  RetrySafety::kIdempotencyKey, FailureDomain::kZone,
                                                  5'500'000'000, 2.5, 0.5, 10.5, 0.5, 0.25, 0, 3,
                                                  FailureDomain::kNode, 5});
  REQUIRE(s.tenants.size() == 2);
  CHECK(s.tenants[0].name == "shop one");
  CHECK(s.tenants[0].traffic_share == 0.375);
  CHECK(s.tenants[0].quota_cores == 6.5);
  CHECK(s.tenants[1].name == "two");
  CHECK(s.tenants[1].traffic_share == 0.625);
  CHECK(s.tenants[1].quota_cores == 7.5);
}

TEST_CASE("the cluster settings of the stored configuration are read") {
  const scheduling::Settings s = ReadConfig(Read("router_config.json")).settings;
  CHECK(s.kind_cores == std::vector<double>{42, 43});
  CHECK(s.kind_memory == std::vector<double>{66, 67});
  CHECK(s.mean_cores == 1.25);
  CHECK(s.mean_memory == 2.25);
  CHECK(s.cores_overcommit == 1.75);
  CHECK(s.memory_overcommit == 1.125);
  for (const bool each :
       {s.accepted_means_running, s.shows_free_capacity, s.reports_actual_use, s.discovery_by_subscription,
        s.allows_health_checks, s.allows_cancellation, s.reports_task_use, s.reports_memory_pressure}) {
    CHECK(each);
  }
  CHECK(s.scheduler_count == 7);
  CHECK(s.scheduler_index == 4);
  CHECK(s.zone == 1);
  CHECK(s.max_attempts == 3);
  CHECK(s.slow_start_sends == 3.5);
  CHECK(s.tick == 2'000'000);
  CHECK(s.answer_slack == 11'000'000);
  CHECK(s.subscription_timeout == 12'000'000);
  CHECK(s.slow_start_duration == 13'000'000);
  CHECK(s.slow_start_initial_speed == 0.625);
  CHECK(s.overload_window == 14'000'000);
  CHECK(s.drain_grace == 15'000'000);
  CHECK(s.max_retry_after == 2'500'000'000);
  CHECK(s.over_quota_weight == 0.3125);
  CHECK(s.node_price == 0.0625);
}

TEST_CASE("the endpoint list of the stored configuration is read and each value from its key") {
  const Config c = ReadConfig(Read("router_config.json"));
  EndpointList list(c.zones, c.node_kinds);
  EndpointList::Change change;
  REQUIRE(list.Apply(c.known_list["items"][0], EndpointList::GapPolicy::kReject, &change) ==
          EndpointList::ApplyResult::kApplied);
  CHECK(change.full);
  CHECK(change.version == 17);
  CHECK(list.last_event() == 3);
  CHECK(list.Contains("s-00000001"));
  REQUIRE(change.nodes.size() == 1);
  const ListedNode& node = change.nodes[0];
  CHECK(node.endpoint == "10.1.0.9:3868");
  CHECK(node.entry.state == scheduling::NodeState::kDraining);
  CHECK(node.entry.zone == 1);
  CHECK(node.entry.kind == 1);
  CHECK(node.entry.rack == 5);
  CHECK(node.entry.nominal_capacity == 0.75);
  CHECK(node.entry.started_at == 1'700'000'000'123 * kMs);
  CHECK(node.entry.free_cores == 10.5);
  CHECK(node.entry.free_memory == 100.25);
}

TEST_CASE("a configuration key changed by one letter is rejected or its value is missing") {
  const json config = Read("router_config.json");
  const std::optional<std::string> complete = SummaryOf(config);
  REQUIRE(complete.has_value());
  const std::vector<Pointer> keys = KeysOf(config);
  CHECK(keys.size() == 93);
  for (const Pointer& at : keys) {
    CAPTURE(at.to_string());
    CHECK(SummaryOf(Renamed(config, at)) != complete);
  }
}

TEST_CASE("a reload rejects a configuration with a required key changed by one letter") {
  const json config = Read("router_config.json");
  std::set<std::string> accepted;
  for (const Pointer& at : KeysOf(config)) {
    if (FindIncompatibilities(config, Renamed(config, at)).empty()) accepted.insert(at.to_string());
  }
  const std::string event = "/known/items/0/roster/", entry = event + "targets/0/";
  const std::set<std::string> optional = {
      "/admin_addr",   "/seed",           event + "rev",       event + "all",     entry + "az",
      entry + "model", entry + "unasked", entry + "pod_group", entry + "boot_ms", entry + "capacity_hint"};
  CHECK(accepted == optional);
}

struct WrongValue {
  const char* at;
  json value;
  const char* issue;
};

TEST_CASE("a reload names the key of each value that it rejects and what to write") {
  const std::string service = "settings.Services[1].", allowed = "settings.Allowed.";
  const std::string family = "settings.FamilyInfo.";
  const std::vector<std::pair<WrongValue, std::string>> wrong = {
      {{"/settings/Services/1/Name", "", "Name: \"\""}, service},
      {{"/settings/Services/1/Deadline", 0, "Deadline: 0; write a number of nanoseconds above 0"}, service},
      {{"/settings/Services/1/Aim", -1, "Aim: -1; write a number of nanoseconds, 0 or more"}, service},
      {{"/settings/Services/1/Effect", "x", "Effect: \"x\"; write pure, token or side_effect"}, service},
      {{"/settings/Services/1/KeyTtl", 0, "KeyTtl: 0; write a number of nanoseconds above 0"}, service},
      {{"/settings/Allowed/MostTries", 0, "MostTries: 0; write a whole number of attempts above 0"}, allowed},
      {{"/settings/Allowed/DialTimeout", 0, "DialTimeout: 0; write a number of nanoseconds above 0"},
       allowed},
      {{"/settings/Allowed/Keepalive", 0, "Keepalive: 0; write a number of nanoseconds above 0"}, allowed},
      {{"/settings/GroupSize", 0, "GroupSize: 0; write a number of at least 1"}, "settings."},
      {{"/settings/Ordinal", -1, "Ordinal: -1; write a number of at least 0"}, "settings."},
      {{"/limits/sockets", 0, "sockets: 0; write a whole number of descriptors above 0"}, "limits."},
      {{"/bulletin", "x", "bulletin: \"x\"; write an address and a port"}, ""},
      {{"/settings/FamilyInfo/NeedsKind/1", 1e18, "NeedsKind[1]: 1e+18; write a whole"}, family},
      {{"/settings/FamilyInfo/Precedence/1", 1e18, "Precedence[1]: 1e+18; write a whole"}, family},
      {{"/settings/FamilyInfo/ClassMost/1", 1e18, "ClassMost[1]: 1e+18; write a whole"}, family},
      {{"/settings/FamilyInfo/ClassCalm/1", "x", "ClassCalm[1]: \"x\"; write a number"}, family},
      {{"/settings/FamilyInfo/FadesOver/1", "x", "FadesOver[1]: \"x\"; write a number"}, family},
      {{"/settings/FamilyInfo/StartSeconds/1", "x", "StartSeconds[1]: \"x\"; write a number"}, family},
      {{"/settings/FamilyInfo/ApartBy/1", "x", "ApartBy[1]: \"x\"; write none, machine"}, family}};
  const json config = Read("router_config.json");
  for (const auto& [each, below] : wrong) {
    CAPTURE(each.at);
    json changed = config;
    changed[Pointer(each.at)] = each.value;
    const std::vector<ConfigIssue> issues = FindIncompatibilities(config, changed);
    REQUIRE(issues.size() == 1);
    CHECK_MESSAGE(FormatIssue(issues[0]).starts_with(below + each.issue), FormatIssue(issues[0]));
  }
}

TEST_CASE("the addresses and the settings are required and the other keys have defaults") {
  const json config = Read("router_config.json");
  for (const char* key : {"listen", "bulletin", "settings"}) {
    CAPTURE(key);
    json without = config;
    without.erase(key);
    CHECK_FALSE(SummaryOf(without).has_value());
  }
  const Config least =
      ReadConfig({{"listen", "127.0.0.1:1"}, {"bulletin", "127.0.0.1:2"}, {"settings", json::object()}});
  CHECK(least.name == "willowrail");
  CHECK_FALSE(least.admin.has_value());
  CHECK(least.max_descriptors == 1024);
  CHECK(least.dial_timeout == 250'000'000);
  CHECK(least.keepalive == 15'000'000'000);
}

TEST_CASE(
    "ROUTER_NAME and ROUTER_LISTEN and ROUTER_ADMIN_ADDR and ROUTER_LISTEN_FD override the configuration") {
  const Variable path("ROUTER_CONFIG", DataFile("router_config.json"));
  const Variable name("ROUTER_NAME", "other"), listen("ROUTER_LISTEN", "127.0.0.7:70");
  const Variable admin("ROUTER_ADMIN_ADDR", "127.0.0.8:80"), inherited("ROUTER_LISTEN_FD", "9");
  const Config c = LoadConfigFromEnvironment();
  CHECK(c.name == "other");
  CHECK(AddressText(c.listen) == "127.0.0.7:70");
  REQUIRE(c.admin.has_value());
  CHECK(AddressText(*c.admin) == "127.0.0.8:80");
  CHECK(c.listen_socket == 9);
}

TEST_CASE("ROUTER_LOG_LEVEL is info or debug with info as the default and other values are rejected") {
  CHECK(LogLevelFromEnvironment() == LogLevel::kInfo);
  {
    const Variable level("ROUTER_LOG_LEVEL", "debug");
    CHECK(LogLevelFromEnvironment() == LogLevel::kDebug);
  }
  const Variable level("ROUTER_LOG_LEVEL", "Debug");
  CHECK_THROWS_WITH_AS(LogLevelFromEnvironment(), "ROUTER_LOG_LEVEL is 'Debug'; write info or debug",
                       ConfigError);
}

TEST_CASE("the enumeration values of the settings are read") {
  json config = Read("router_config.json");
  const std::vector<std::pair<const char*, RetrySafety>> effects = {
      {"pure", RetrySafety::kIdempotent},
      {"token", RetrySafety::kIdempotencyKey},
      {"side_effect", RetrySafety::kNotIdempotent}};
  for (const auto& [word, effect] : effects) {
    config["settings"]["Services"][0]["Effect"] = word;
    CHECK(ReadConfig(config).settings.classes[0].retry_safety == effect);
  }
  const std::vector<std::pair<const char*, FailureDomain>> places = {{"none", FailureDomain::kNone},
                                                                     {"machine", FailureDomain::kNode},
                                                                     {"cell", FailureDomain::kRack},
                                                                     {"zone", FailureDomain::kZone},
                                                                     {"all", FailureDomain::kCluster}};
  for (const auto& [word, place] : places) {
    config["settings"]["Services"][0]["Group"] = word;
    config["settings"]["FamilyInfo"]["ApartBy"][0] = word;
    const scheduling::ClassSettings read = ReadConfig(config).settings.classes[0];
    CHECK(read.key_scope == place);
    CHECK(read.spread_domain == place);
  }
}

}  // namespace
}  // namespace cluster_manager
