#include <netinet/in.h>

#include <cmath>
#include <limits>
#include <string>

#include "config/endpoint_list_validation.h"
#include "net/connection.h"

namespace cluster_manager {
namespace {

using nlohmann::json;

constexpr double kMostNumber = 9.0e18, kMostInt = std::numeric_limits<int>::max();
constexpr double kMostUnixMs = 9.0e12;  // as nanoseconds it still fits 64 bits
constexpr double kMostFigure = std::numeric_limits<double>::max();

const json* Find(const json& in, const char* key) {
  const auto it = in.is_object() ? in.find(key) : in.end();
  return it == in.end() ? nullptr : &*it;
}

bool IsNumber(const json& value, double low, double high) {
  return value.is_number() && value.get<double>() >= low && value.get<double>() <= high;
}

bool IsWhole(const json& value, double low, double high) {
  return IsNumber(value, low, high) && std::floor(value.get<double>()) == value.get<double>();
}

bool IsAddress(const json& value) {
  sockaddr_in address{};
  return value.is_string() && ParseAddress(value.get_ref<const std::string&>(), &address) &&
         address.sin_port != 0;
}

bool IsGone(const json& entry) {
  const json* state = Find(entry, "state");
  return state != nullptr && *state == "terminated";
}

// Two finite numbers. The first may be below 0: more has been asked for than there is.
bool IsRoom(const json& value) {
  return value.is_array() && value.size() == 2 && IsNumber(value[0], -kMostFigure, kMostFigure) &&
         IsNumber(value[1], -kMostFigure, kMostFigure);
}

ConfigIssue Wrong(const char* path, const json* value, const char* wanted) {
  return {path, value == nullptr ? "missing" : Said(*value), wanted};
}

struct Rule {
  const char* key;
  bool (*legal)(const json& value);
  const char* wanted;
};

// Keys that may be missing.
constexpr Rule kRules[] = {
    {"az", [](const json& value) { return value.is_string(); }, "write a zone's name"},
    {"model", [](const json& value) { return value.is_string(); }, "write a kind's name"},
    {"pod_group", [](const json& value) { return IsWhole(value, 0, kMostInt); },
     "write a whole number, 0 or more"},
    {"capacity_hint", [](const json& value) { return IsNumber(value, 0, kMostFigure); },
     "write a number, 0 or more"},
    {"boot_ms", [](const json& value) { return IsWhole(value, 0, kMostUnixMs); },
     "write a Unix time in milliseconds, or 0"},
    {"unasked", IsRoom, "write a list of two numbers, cores and memory"},
};

}  // namespace

std::optional<ConfigIssue> ValidateEndpointListEvent(const json& event) {
  if (!event.is_object()) return Wrong("event", &event, "write an object");
  const json* number = Find(event, "no");
  if (number == nullptr || !IsWhole(*number, 1, kMostNumber)) {
    return Wrong("no", number, "write a whole number above 0");
  }
  const json* roster = Find(event, "roster");
  if (roster == nullptr || !roster->is_object()) return Wrong("roster", roster, "write an object");
  const json* revision = Find(*roster, "rev");
  if (revision != nullptr && !IsWhole(*revision, 0, kMostNumber)) {
    return Wrong("roster.rev", revision, "write a whole number, 0 or more");
  }
  const json* all = Find(*roster, "all");
  if (all != nullptr && !all->is_boolean()) return Wrong("roster.all", all, "write true or false");
  const json* targets = Find(*roster, "targets");
  if (targets == nullptr || !targets->is_array()) {
    return Wrong("roster.targets", targets, "write a list of entries, one for each node");
  }
  return std::nullopt;
}

std::optional<ConfigIssue> ValidateEndpointListEntry(const json& entry) {
  if (!entry.is_object()) return Wrong("entry", &entry, "write an object");
  const json* uid = Find(entry, "uid");
  if (uid == nullptr || !uid->is_string() || uid->get_ref<const std::string&>().empty()) {
    return Wrong("uid", uid, "write a name");
  }
  const json* state = Find(entry, "state");
  if (state == nullptr || (*state != "in_service" && *state != "terminating" && *state != "terminated")) {
    return Wrong("state", state, "write in_service, terminating or terminated");
  }
  const json* endpoint = Find(entry, "endpoint");
  const bool needless = IsGone(entry) && (endpoint == nullptr || *endpoint == "");
  if (!needless && (endpoint == nullptr || !IsAddress(*endpoint))) {
    return Wrong("endpoint", endpoint, "write an address and a port, as 10.1.0.9:3868");
  }
  for (const Rule& rule : kRules) {
    const json* value = Find(entry, rule.key);
    if (value != nullptr && !rule.legal(*value)) return Wrong(rule.key, value, rule.wanted);
  }
  return std::nullopt;
}

}  // namespace cluster_manager
