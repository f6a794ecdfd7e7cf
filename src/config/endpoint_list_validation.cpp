#include "config/endpoint_list_validation.h"

#include <netinet/in.h>

#include <cmath>
#include <limits>
#include <string>

#include "net/connection.h"

namespace cluster_manager {
namespace {

using nlohmann::json;

constexpr double kMaxNumber = 9.0e18, kMaxInt = std::numeric_limits<int>::max();
constexpr double kMaxUnixMs = 9.0e12;  // in nanoseconds it still fits into 64 bits
constexpr double kMaxDouble = std::numeric_limits<double>::max();

const json* Find(const json& in, const char* key) {
  const auto it = in.is_object() ? in.find(key) : in.end();
  return it == in.end() ? nullptr : &*it;
}

bool IsNumber(const json& value, double low, double high) {
  return value.is_number() && value.get<double>() >= low && value.get<double>() <= high;
}

bool IsInteger(const json& value, double low, double high) {
  return IsNumber(value, low, high) && std::floor(value.get<double>()) == value.get<double>();
}

bool IsAddress(const json& value) {
  sockaddr_in address{};
  return value.is_string() && ParseAddress(value.get_ref<const std::string&>(), &address) &&
         address.sin_port != 0;
}

bool IsTerminated(const json& entry) {
  const json* state = Find(entry, "state");
  return state != nullptr && *state == "terminated";
}

// Two finite numbers, free cores and memory. Negative if more has been requested than the node has.
bool IsFreeCapacity(const json& value) {
  return value.is_array() && value.size() == 2 && IsNumber(value[0], -kMaxDouble, kMaxDouble) &&
         IsNumber(value[1], -kMaxDouble, kMaxDouble);
}

ConfigIssue MakeIssue(const char* path, const json* value, const char* expected) {
  return {path, value == nullptr ? "missing" : FormatValue(*value), expected};
}

// The valid values of a key.
struct Rule {
  const char* key;
  bool (*is_valid)(const json& value);
  const char* expected;
};

// Optional keys.
constexpr Rule kRules[] = {
    {"az", [](const json& value) { return value.is_string(); }, "write a zone's name"},
    {"model", [](const json& value) { return value.is_string(); }, "write a kind's name"},
    {"pod_group", [](const json& value) { return IsInteger(value, 0, kMaxInt); },
     "write a whole number, 0 or more"},
    {"capacity_hint", [](const json& value) { return IsNumber(value, 0, kMaxDouble); },
     "write a number, 0 or more"},
    {"boot_ms", [](const json& value) { return IsInteger(value, 0, kMaxUnixMs); },
     "write a Unix time in milliseconds, or 0"},
    {"unasked", IsFreeCapacity, "write a list of two numbers, cores and memory"},
};

}  // namespace

std::optional<ConfigIssue> ValidateEndpointListEvent(const json& event) {
  if (!event.is_object()) return MakeIssue("event", &event, "write an object");
  const json* number = Find(event, "no");
  if (number == nullptr || !IsInteger(*number, 1, kMaxNumber)) {
    return MakeIssue("no", number, "write a whole number above 0");
  }
  const json* list = Find(event, "roster");
  if (list == nullptr || !list->is_object()) return MakeIssue("roster", list, "write an object");
  const json* revision = Find(*list, "rev");
  if (revision != nullptr && !IsInteger(*revision, 0, kMaxNumber)) {
    return MakeIssue("roster.rev", revision, "write a whole number, 0 or more");
  }
  const json* all = Find(*list, "all");
  if (all != nullptr && !all->is_boolean()) return MakeIssue("roster.all", all, "write true or false");
  const json* targets = Find(*list, "targets");
  if (targets == nullptr || !targets->is_array()) {
    return MakeIssue("roster.targets", targets, "write a list of entries, one for each node");
  }
  return std::nullopt;
}

std::optional<ConfigIssue> ValidateEndpointListEntry(const json& entry) {
  if (!entry.is_object()) return MakeIssue("entry", &entry, "write an object");
  const json* uid = Find(entry, "uid");
  if (uid == nullptr || !uid->is_string() || uid->get_ref<const std::string&>().empty()) {
    return MakeIssue("uid", uid, "write a name");
  }
  const json* state = Find(entry, "state");
  if (state == nullptr || (*state != "in_service" && *state != "terminating" && *state != "terminated")) {
    return MakeIssue("state", state, "write in_service, terminating or terminated");
  }
  const json* endpoint = Find(entry, "endpoint");
  const bool endpoint_optional = IsTerminated(entry) && (endpoint == nullptr || *endpoint == "");
  if (!endpoint_optional && (endpoint == nullptr || !IsAddress(*endpoint))) {
    return MakeIssue("endpoint", endpoint, "write an address and a port, as 10.1.0.9:3868");
  }
  for (const Rule& rule : kRules) {
    const json* value = Find(entry, rule.key);
    if (value != nullptr && !rule.is_valid(*value)) return MakeIssue(rule.key, value, rule.expected);
  }
  return std::nullopt;
}

}  // namespace cluster_manager
