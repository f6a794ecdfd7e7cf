#include "config/config_validation.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <stdexcept>

#include "config/config_error.h"
#include "config/endpoint_list_validation.h"
#include "net/connection.h"

namespace cluster_manager {
namespace {

using nlohmann::json;

constexpr double kMaxTime = 9.2e18, kMaxInt = std::numeric_limits<int>::max();

// The JSON type of the value. Integers and floating-point numbers have the same type.
std::string TypeOf(const json& value) { return value.type_name(); }

bool IsNumber(const json& value, double low, double high) {
  if (!value.is_number()) return false;
  const double number = value.get<double>();
  return number >= low && number <= high;  // both are false for NaN
}

const json* Find(const json& in, const char* key) {
  const auto it = in.is_object() ? in.find(key) : in.end();
  return it == in.end() ? nullptr : &*it;
}

// Collects the issues of a reloaded file, at most one per path.
class Comparison {
 public:
  std::vector<ConfigIssue> TakeIssues() { return std::move(issues_); }

  void AddIssue(const std::string& path, const json* value, const std::string& expected) {
    if (!paths_.insert(path).second) return;  // one issue per path: the first rule is the most specific
    issues_.push_back({path, value == nullptr ? "missing" : FormatValue(*value), expected});
  }

  // Everything in `first`, recursively through objects and lists, must be in `fresh` with a value of the same
  // type.
  void CompareValues(const std::string& path, const json& first, const json& fresh) {
    if (first.is_null()) return;  // null is compatible with every type
    if (TypeOf(first) != TypeOf(fresh)) {
      AddIssue(path, &fresh,
               "write " + WithArticle(TypeOf(first)) + " as in the configuration loaded at the start");
    } else if (first.is_object()) {
      for (const auto& [key, value] : first.items()) CompareKey(path, key, value, fresh);
    } else if (first.is_array()) {
      CompareLists(path, first, fresh);
    }
  }

  void CompareKey(const std::string& path, const std::string& key, const json& first, const json& fresh) {
    const std::string below = path.empty() ? key : path + "." + key;
    if (const json* value = Find(fresh, key.c_str())) {
      CompareValues(below, first, *value);
    } else {
      AddIssue(below, nullptr, "add this key, which the configuration loaded at the start has");
    }
  }

  void CheckServices(const json& first, const json& fresh) {
    const json* services = Find(fresh, "Services");
    if (services == nullptr || !services->is_array() || services->empty()) {
      return AddIssue("settings.Services", services, "write a list of at least one class");
    }
    const json* first_services = Find(first, "Services");
    const bool requires_key_ttl = first_services != nullptr && HasKeyTtl(*first_services);
    std::set<std::string> names;
    for (std::size_t i = 0; i < services->size(); ++i) {
      CheckService("settings.Services[" + std::to_string(i) + "]", (*services)[i], requires_key_ttl, &names);
    }
  }

  void CheckNumbers(const json& fresh) {
    const json* allowed = Find(fresh, "Allowed");
    const json* attempts = allowed == nullptr ? nullptr : Find(*allowed, "MostTries");
    if (attempts != nullptr && (!IsNumber(*attempts, 1, kMaxInt) || !IsInteger(*attempts))) {
      AddIssue("settings.Allowed.MostTries", attempts, "write a whole number of attempts above 0");
    }
    for (const char* key : {"DialTimeout", "Keepalive"}) {
      const json* time = allowed == nullptr ? nullptr : Find(*allowed, key);
      if (time != nullptr && !IsNumber(*time, 1, kMaxTime)) {
        AddIssue(std::string("settings.Allowed.") + key, time, "write a number of nanoseconds above 0");
      }
    }
    const json* size = Find(fresh, "GroupSize");
    if (size != nullptr && !IsNumber(*size, 1, kMaxInt)) {
      AddIssue("settings.GroupSize", size, "write a number of at least 1");
    }
    const json* ordinal = Find(fresh, "Ordinal");
    if (ordinal != nullptr && !IsNumber(*ordinal, 0, kMaxInt)) {
      AddIssue("settings.Ordinal", ordinal, "write a number of at least 0");
    }
  }

  void CheckLimits(const json& limits) {
    const json* sockets = Find(limits, "sockets");
    if (sockets != nullptr && (!IsNumber(*sockets, 1, kMaxInt) || !IsInteger(*sockets))) {
      AddIssue("limits.sockets", sockets, "write a whole number of descriptors above 0");
    }
  }

  void CheckDiscovery(const json& address) {
    sockaddr_in parsed{};
    if (!address.is_string() || !ParseAddress(address.get_ref<const std::string&>(), &parsed)) {
      AddIssue("bulletin", &address, "write an address and a port, as 10.0.0.5:9092");
    }
  }

  // The events of the endpoint list with all their entries.
  void CheckKnownList(const json& known) {
    if (!known.is_object()) return AddIssue("known", &known, "write an object");
    CompareKey("known", "no", 0, known);
    CompareKey("known", "items", json::array(), known);
    const json* items = Find(known, "items");
    if (items == nullptr || !items->is_array()) return;
    for (std::size_t i = 0; i < items->size(); ++i) {
      CheckListedEvent("known.items[" + std::to_string(i) + "]", (*items)[i]);
    }
  }

  // Lists with one entry per class may be shorter or longer than the number of classes.
  void CheckClassLists(const json& fresh) {
    const json* family = Find(fresh, "FamilyInfo");
    if (family == nullptr) return;
    const std::string path = "settings.FamilyInfo.";
    for (const char* key : {"ClassCalm", "FadesOver", "StartSeconds"}) {
      CheckEntries(path + key, Find(*family, key), "write a number", [](const json& entry) {
        return IsNumber(entry, std::numeric_limits<double>::lowest(), std::numeric_limits<double>::max());
      });
    }
    for (const char* key : {"NeedsKind", "Precedence", "ClassMost"}) {
      CheckEntries(path + key, Find(*family, key), "write a whole number", [](const json& entry) {
        return IsNumber(entry, std::numeric_limits<int>::lowest(), kMaxInt);
      });
    }
    CheckEntries(path + "ApartBy", Find(*family, "ApartBy"), "write none, machine, cell, zone or all",
                 [](const json& entry) {
                   static const std::set<json> words = {"none", "machine", "cell", "zone", "all"};
                   return words.contains(entry);
                 });
  }

 private:
  static std::string WithArticle(const std::string& type) {
    return (type == "array" || type == "object" ? "an " : "a ") + type;
  }
  static bool IsInteger(const json& number) {
    const double value = number.get<double>();
    return std::floor(value) == value;
  }
  static bool UsesIdempotencyKey(const json& service) {
    const json* effect = Find(service, "Effect");
    return effect != nullptr && *effect == "token";
  }
  // Whether all classes with idempotency keys, or all classes if there are none with keys, set how long
  // repeated requests are discarded.
  static bool HasKeyTtl(const json& services) {
    const bool any = std::ranges::any_of(services, UsesIdempotencyKey);
    return std::ranges::all_of(services, [any](const json& service) {
      const json* ttl = Find(service, "KeyTtl");
      return (any && !UsesIdempotencyKey(service)) || (ttl != nullptr && IsNumber(*ttl, 1, kMaxTime));
    });
  }

  void CheckListedEvent(const std::string& path, const json& event) {
    if (const auto issue = ValidateEndpointListEvent(event)) return AddIssue(path + ".", *issue);
    const json& targets = event["roster"]["targets"];
    for (std::size_t i = 0; i < targets.size(); ++i) {
      const auto issue = ValidateEndpointListEntry(targets[i]);
      if (issue) AddIssue(path + ".roster.targets[" + std::to_string(i) + "].", *issue);
    }
  }

  void AddIssue(const std::string& prefix, const ConfigIssue& issue) {
    if (!paths_.insert(prefix + issue.path).second) return;
    issues_.push_back({prefix + issue.path, issue.found, issue.expected});
  }

  template <typename Predicate>
  void CheckEntries(const std::string& path, const json* list, const std::string& expected,
                    const Predicate& is_valid) {
    if (list == nullptr || !list->is_array()) return;
    for (std::size_t i = 0; i < list->size(); ++i) {
      if (!is_valid((*list)[i])) AddIssue(path + "[" + std::to_string(i) + "]", &(*list)[i], expected);
    }
  }

  void CheckService(const std::string& path, const json& service, bool requires_key_ttl,
                    std::set<std::string>* names) {
    if (!service.is_object()) return AddIssue(path, &service, "write an object, one for each class");
    const json* name = Find(service, "Name");
    if (name == nullptr || !name->is_string() || name->get_ref<const std::string&>().empty()) {
      AddIssue(path + ".Name", name, "write a name");
    } else if (!names->insert(name->get<std::string>()).second) {
      AddIssue(path + ".Name", name, "write a name that no other class has");
    }
    const json* deadline = Find(service, "Deadline");
    if (deadline == nullptr || !IsNumber(*deadline, 1, kMaxTime)) {
      AddIssue(path + ".Deadline", deadline, "write a number of nanoseconds above 0");
    }
    const json* aim = Find(service, "Aim");
    if (aim != nullptr && !aim->is_null() && !IsNumber(*aim, 0, kMaxTime)) {
      AddIssue(path + ".Aim", aim, "write a number of nanoseconds, 0 or more");
    }
    const json* effect = Find(service, "Effect");
    if (effect == nullptr || (*effect != "pure" && *effect != "token" && *effect != "side_effect")) {
      AddIssue(path + ".Effect", effect, "write pure, token or side_effect");
    }
    const json* ttl = Find(service, "KeyTtl");
    if (requires_key_ttl && UsesIdempotencyKey(service) && (ttl == nullptr || !IsNumber(*ttl, 1, kMaxTime))) {
      AddIssue(path + ".KeyTtl", ttl, "write a number of nanoseconds above 0");
    }
  }

  // Each entry must have the keys that all entries of the first file's list have. Entries that are not
  // objects must have a type that occurs in the first file's list.
  void CompareLists(const std::string& path, const json& first, const json& fresh) {
    std::set<std::string> types;
    for (const json& entry : first) types.insert(TypeOf(entry));
    if (types.empty() || types.contains("null")) return;
    for (std::size_t i = 0; i < fresh.size(); ++i) {
      const std::string at = path + "[" + std::to_string(i) + "]";
      const json& entry = fresh[i];
      if (!types.contains(TypeOf(entry))) {
        AddIssue(at, &entry,
                 "write " + WithArticle(*types.begin()) + " as in the configuration loaded at the start");
      } else if (entry.is_object() && types.size() == 1) {
        CompareEntry(at, first, entry);
      }
    }
  }

  void CompareEntry(const std::string& path, const json& first, const json& entry) {
    for (const auto& [key, value] : first[0].items()) {
      std::set<std::string> types;
      bool all = true;
      for (const json& other : first) {
        const json* found = Find(other, key.c_str());
        all = all && found != nullptr;
        if (found != nullptr) types.insert(TypeOf(*found));
      }
      if (!all) continue;
      const json* found = Find(entry, key.c_str());
      if (found == nullptr) {
        AddIssue(path + "." + key, nullptr,
                 "add this key, which all entries of the configuration loaded at the start have");
      } else if (types.size() == 1) {
        CompareValues(path + "." + key, value, *found);
      } else if (!types.contains("null") && !types.contains(TypeOf(*found))) {
        AddIssue(path + "." + key, found,
                 "write " + WithArticle(*types.begin()) + " as in the configuration loaded at the start");
      }
    }
  }

  std::vector<ConfigIssue> issues_;
  std::set<std::string> paths_;
};

std::string LineNumber(std::string_view text, std::size_t byte) {
  const std::string_view before = text.substr(0, std::min(byte, text.size()));
  return std::to_string(1 + std::ranges::count(before, '\n'));
}

}  // namespace

// Long values are truncated: an issue is one line of the log.
std::string FormatValue(const json& value) {
  constexpr std::size_t kMaxLength = 60;
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxLength) text = text.substr(0, kMaxLength) + "...";
  return text;
}

bool ExceedsMaxDepth(std::string_view text) {
  constexpr int kMaxDepth = 64;
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;  // skips the escaped character
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxDepth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

json ParseConfig(std::string_view text, const std::string& file) {
  if (text.find_first_not_of(" \t\r\n") == std::string_view::npos) {
    throw ConfigError(file + ": the file is empty");
  }
  // The parser would treat a NUL byte as the end of the text and ignore what follows.
  if (const std::size_t nul = text.find('\0'); nul != std::string_view::npos) {
    throw ConfigError(file + ", line " + LineNumber(text, nul) + ", byte " + std::to_string(nul + 1) +
                      ": a NUL byte, which is not allowed in a configuration");
  }
  if (ExceedsMaxDepth(text)) {
    throw ConfigError(file + ": lists and objects are nested deeper than 64 levels");
  }
  json config;
  try {
    config = json::parse(text);
  } catch (const json::parse_error& error) {
    const std::size_t byte = std::min(error.byte, text.size());
    const std::string place =
        file + ", line " + LineNumber(text, byte) + ", byte " + std::to_string(byte) + ": ";
    const std::string what = error.what();
    const std::size_t detail = what.find("syntax error");
    throw ConfigError(place + (error.byte > text.size() ? "the file is truncated: " : "") +
                      (detail == std::string::npos ? what : what.substr(detail)));
  } catch (const json::exception& error) {  // a number out of range
    throw ConfigError(file + ": " + error.what());
  }
  if (!config.is_object()) {
    throw ConfigError(file + ", line 1, byte 1: contains " + FormatValue(config) + ", expected an object");
  }
  return config;
}

std::vector<ConfigIssue> FindIncompatibilities(const json& first, const json& fresh) {
  Comparison comparison;
  if (!fresh.is_object()) {
    comparison.AddIssue("configuration", &fresh, "write an object");
    return comparison.TakeIssues();
  }
  const json none = json::object();
  const json* first_settings = Find(first, "settings");
  const json* settings = Find(fresh, "settings");
  if (settings == nullptr || !settings->is_object()) {
    comparison.AddIssue("settings", settings, "write an object");
  } else {
    comparison.CheckServices(first_settings == nullptr ? none : *first_settings, *settings);
    comparison.CheckNumbers(*settings);
    comparison.CheckClassLists(*settings);
  }
  if (const json* known = Find(fresh, "known")) comparison.CheckKnownList(*known);
  if (const json* limits = Find(fresh, "limits")) comparison.CheckLimits(*limits);
  if (const json* discovery = Find(fresh, "bulletin")) comparison.CheckDiscovery(*discovery);
  for (const auto& [key, value] : first.items()) {
    const json* found = Find(fresh, key.c_str());
    // The known events differ in each file, and keys that are used only at the start may be missing.
    if (found == nullptr && (key == "admin_addr" || key == "seed")) continue;
    if (key == "known" && found != nullptr && found->is_object()) continue;
    comparison.CompareKey("", key, value, fresh);
  }
  return comparison.TakeIssues();
}

std::string FormatIssue(const ConfigIssue& issue) {
  return issue.path + ": " + issue.found + "; " + issue.expected;
}

}  // namespace cluster_manager
