#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <stdexcept>

#include "config/config_error.h"
#include "config/config_validation.h"
#include "config/endpoint_list_validation.h"
#include "net/connection.h"

namespace cluster_manager {
namespace {

using nlohmann::json;

constexpr double kMostTime = 9.2e18, kMostInt = std::numeric_limits<int>::max();

// Numbers are one kind, however they are written.
std::string KindOf(const json& value) { return value.type_name(); }

bool IsNumber(const json& value, double low, double high) {
  if (!value.is_number()) return false;
  const double number = value.get<double>();
  return number >= low && number <= high;  // neither holds for NaN
}

const json* Find(const json& in, const char* key) {
  const auto it = in.is_object() ? in.find(key) : in.end();
  return it == in.end() ? nullptr : &*it;
}

class Comparison {
 public:
  std::vector<ConfigIssue> Take() { return std::move(complaints_); }

  void Complain(const std::string& path, const json* value, const std::string& wanted) {
    if (!paths_.insert(path).second) return;  // once for each place: the first rule says it best
    complaints_.push_back({path, value == nullptr ? "missing" : Said(*value), wanted});
  }

  // Whatever `first` has, down through objects and lists, is in `fresh` too, with a value of the same kind.
  void Same(const std::string& path, const json& first, const json& fresh) {
    if (first.is_null()) return;  // it may stand for anything
    if (KindOf(first) != KindOf(fresh)) {
      Complain(path, &fresh, "write " + Article(KindOf(first)) + " as the first file had");
    } else if (first.is_object()) {
      for (const auto& [key, value] : first.items()) Key(path, key, value, fresh);
    } else if (first.is_array()) {
      List(path, first, fresh);
    }
  }

  void Key(const std::string& path, const std::string& key, const json& first, const json& fresh) {
    const std::string below = path.empty() ? key : path + "." + key;
    if (const json* value = Find(fresh, key.c_str())) {
      Same(below, first, *value);
    } else {
      Complain(below, nullptr, "write the key that the first file had");
    }
  }

  void Services(const json& first, const json& fresh) {
    const json* services = Find(fresh, "Services");
    if (services == nullptr || !services->is_array() || services->empty()) {
      return Complain("settings.Services", services, "write a list of at least one class");
    }
    const json* before = Find(first, "Services");
    const bool keyed = before != nullptr && HasKeyTtl(*before);
    std::set<std::string> names;
    for (std::size_t i = 0; i < services->size(); ++i) {
      Service("settings.Services[" + std::to_string(i) + "]", (*services)[i], keyed, &names);
    }
  }

  void Numbers(const json& fresh) {
    const json* allowed = Find(fresh, "Allowed");
    const json* tries = allowed == nullptr ? nullptr : Find(*allowed, "MostTries");
    if (tries != nullptr && (!IsNumber(*tries, 1, kMostInt) || !IsWhole(*tries))) {
      Complain("settings.Allowed.MostTries", tries, "write a whole number of attempts above 0");
    }
    for (const char* key : {"DialTimeout", "Keepalive"}) {
      const json* time = allowed == nullptr ? nullptr : Find(*allowed, key);
      if (time != nullptr && !IsNumber(*time, 1, kMostTime)) {
        Complain(std::string("settings.Allowed.") + key, time, "write a number of nanoseconds above 0");
      }
    }
    const json* size = Find(fresh, "GroupSize");
    if (size != nullptr && !IsNumber(*size, 1, kMostInt)) {
      Complain("settings.GroupSize", size, "write a number of at least 1");
    }
    const json* ordinal = Find(fresh, "Ordinal");
    if (ordinal != nullptr && !IsNumber(*ordinal, 0, kMostInt)) {
      Complain("settings.Ordinal", ordinal, "write a number of at least 0");
    }
  }

  void Limits(const json& limits) {
    const json* sockets = Find(limits, "sockets");
    if (sockets != nullptr && (!IsNumber(*sockets, 1, kMostInt) || !IsWhole(*sockets))) {
      Complain("limits.sockets", sockets, "write a whole number of descriptors above 0");
    }
  }

  void Bulletin(const json& address) {
    sockaddr_in parsed{};
    if (!address.is_string() || !ParseAddress(address.get_ref<const std::string&>(), &parsed)) {
      Complain("bulletin", &address, "write an address and a port, as 10.0.0.5:9092");
    }
  }

  // The events of the node list, each with all of its entries.
  void Known(const json& known) {
    if (!known.is_object()) return Complain("known", &known, "write an object");
    Key("known", "no", 0, known);
    Key("known", "items", json::array(), known);
    const json* items = Find(known, "items");
    if (items == nullptr || !items->is_array()) return;
    for (std::size_t i = 0; i < items->size(); ++i) {
      ListEvent("known.items[" + std::to_string(i) + "]", (*items)[i]);
    }
  }

  // Lists with an entry for each class may be shorter or longer than there are classes.
  void PerClass(const json& fresh) {
    const json* family = Find(fresh, "FamilyInfo");
    if (family == nullptr) return;
    const std::string path = "settings.FamilyInfo.";
    for (const char* key : {"ClassCalm", "FadesOver", "StartSeconds"}) {
      Entries(path + key, Find(*family, key), "write a number", [](const json& entry) {
        return IsNumber(entry, std::numeric_limits<double>::lowest(), std::numeric_limits<double>::max());
      });
    }
    for (const char* key : {"NeedsKind", "Precedence", "ClassMost"}) {
      Entries(path + key, Find(*family, key), "write a whole number", [](const json& entry) {
        return IsNumber(entry, std::numeric_limits<int>::lowest(), kMostInt);
      });
    }
    Entries(path + "ApartBy", Find(*family, "ApartBy"), "write none, machine, cell, zone or all",
            [](const json& entry) {
              static const std::set<json> words = {"none", "machine", "cell", "zone", "all"};
              return words.contains(entry);
            });
  }

 private:
  static std::string Article(const std::string& kind) {
    return (kind == "array" || kind == "object" ? "an " : "a ") + kind;
  }
  static bool IsWhole(const json& number) {
    const double value = number.get<double>();
    return std::floor(value) == value;
  }
  static bool IsKeyed(const json& service) {
    const json* effect = Find(service, "Effect");
    return effect != nullptr && *effect == "token";
  }
  // Whether the token classes, or all where there is none of those, say how long repeats are discarded.
  static bool HasKeyTtl(const json& services) {
    const bool any = std::ranges::any_of(services, IsKeyed);
    return std::ranges::all_of(services, [any](const json& service) {
      const json* ttl = Find(service, "KeyTtl");
      return (any && !IsKeyed(service)) || (ttl != nullptr && IsNumber(*ttl, 1, kMostTime));
    });
  }

  void ListEvent(const std::string& path, const json& event) {
    if (const auto wrong = ValidateEndpointListEvent(event)) return Complain(path + ".", *wrong);
    const json& targets = event["roster"]["targets"];
    for (std::size_t i = 0; i < targets.size(); ++i) {
      const auto wrong = ValidateEndpointListEntry(targets[i]);
      if (wrong) Complain(path + ".roster.targets[" + std::to_string(i) + "].", *wrong);
    }
  }

  void Complain(const std::string& prefix, const ConfigIssue& complaint) {
    if (!paths_.insert(prefix + complaint.path).second) return;
    complaints_.push_back({prefix + complaint.path, complaint.said, complaint.wanted});
  }

  template <typename Legal>
  void Entries(const std::string& path, const json* list, const std::string& wanted, const Legal& legal) {
    if (list == nullptr || !list->is_array()) return;
    for (std::size_t i = 0; i < list->size(); ++i) {
      if (!legal((*list)[i])) Complain(path + "[" + std::to_string(i) + "]", &(*list)[i], wanted);
    }
  }

  void Service(const std::string& path, const json& service, bool keyed, std::set<std::string>* names) {
    if (!service.is_object()) return Complain(path, &service, "write an object, one for each class");
    const json* name = Find(service, "Name");
    if (name == nullptr || !name->is_string() || name->get_ref<const std::string&>().empty()) {
      Complain(path + ".Name", name, "write a name");
    } else if (!names->insert(name->get<std::string>()).second) {
      Complain(path + ".Name", name, "write a name that no other class has");
    }
    const json* deadline = Find(service, "Deadline");
    if (deadline == nullptr || !IsNumber(*deadline, 1, kMostTime)) {
      Complain(path + ".Deadline", deadline, "write a number of nanoseconds above 0");
    }
    const json* aim = Find(service, "Aim");
    if (aim != nullptr && !aim->is_null() && !IsNumber(*aim, 0, kMostTime)) {
      Complain(path + ".Aim", aim, "write a number of nanoseconds, 0 or more");
    }
    const json* effect = Find(service, "Effect");
    if (effect == nullptr || (*effect != "pure" && *effect != "token" && *effect != "side_effect")) {
      Complain(path + ".Effect", effect, "write pure, token or side_effect");
    }
    const json* ttl = Find(service, "KeyTtl");
    if (keyed && IsKeyed(service) && (ttl == nullptr || !IsNumber(*ttl, 1, kMostTime))) {
      Complain(path + ".KeyTtl", ttl, "write a number of nanoseconds above 0");
    }
  }

  // What all entries of the first file's list have, each entry of this one has; entries that are no objects
  // are of a kind that the first file's were.
  void List(const std::string& path, const json& first, const json& fresh) {
    std::set<std::string> kinds;
    for (const json& entry : first) kinds.insert(KindOf(entry));
    if (kinds.empty() || kinds.contains("null")) return;
    for (std::size_t i = 0; i < fresh.size(); ++i) {
      const std::string at = path + "[" + std::to_string(i) + "]";
      const json& entry = fresh[i];
      if (!kinds.contains(KindOf(entry))) {
        Complain(at, &entry, "write " + Article(*kinds.begin()) + " as the first file had");
      } else if (entry.is_object() && kinds.size() == 1) {
        Entry(at, first, entry);
      }
    }
  }

  void Entry(const std::string& path, const json& first, const json& entry) {
    for (const auto& [key, value] : first[0].items()) {
      std::set<std::string> kinds;
      bool all = true;
      for (const json& other : first) {
        const json* found = Find(other, key.c_str());
        all = all && found != nullptr;
        if (found != nullptr) kinds.insert(KindOf(*found));
      }
      if (!all) continue;
      const json* found = Find(entry, key.c_str());
      if (found == nullptr) {
        Complain(path + "." + key, nullptr, "write the key that all of the first file's had");
      } else if (kinds.size() == 1) {
        Same(path + "." + key, value, *found);
      } else if (!kinds.contains("null") && !kinds.contains(KindOf(*found))) {
        Complain(path + "." + key, found, "write " + Article(*kinds.begin()) + " as the first file had");
      }
    }
  }

  std::vector<ConfigIssue> complaints_;
  std::set<std::string> paths_;
};

std::string Line(std::string_view text, std::size_t byte) {
  const std::string_view before = text.substr(0, std::min(byte, text.size()));
  return std::to_string(1 + std::ranges::count(before, '\n'));
}

}  // namespace

// Long values are cut: a complaint is one line of the log.
std::string Said(const json& value) {
  constexpr std::size_t kMost = 60;
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMost) text = text.substr(0, kMost) + "...";
  return text;
}

bool ExceedsMaxDepth(std::string_view text) {
  constexpr int kMostDepth = 64;
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;  // whatever is escaped
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMostDepth) return true;
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
  // The parser takes a NUL for the end of the text, whatever follows it.
  if (const std::size_t nul = text.find('\0'); nul != std::string_view::npos) {
    throw ConfigError(file + ", line " + Line(text, nul) + ", byte " + std::to_string(nul + 1) +
                      ": a NUL, which no configuration holds");
  }
  if (ExceedsMaxDepth(text)) {
    throw ConfigError(file + ": lists and objects lie deeper in one another than 64; write fewer");
  }
  json config;
  try {
    config = json::parse(text);
  } catch (const json::parse_error& error) {
    const std::size_t byte = std::min(error.byte, text.size());
    const std::string place = file + ", line " + Line(text, byte) + ", byte " + std::to_string(byte) + ": ";
    const std::string what = error.what();
    const std::size_t detail = what.find("syntax error");
    throw ConfigError(place + (error.byte > text.size() ? "the file is cut short: " : "") +
                      (detail == std::string::npos ? what : what.substr(detail)));
  } catch (const json::exception& error) {  // a number that no type holds
    throw ConfigError(file + ": " + error.what());
  }
  if (!config.is_object()) {
    throw ConfigError(file + ", line 1, byte 1: holds " + Said(config) + ", not an object");
  }
  return config;
}

std::vector<ConfigIssue> FindIncompatibilities(const json& first, const json& fresh) {
  Comparison comparison;
  if (!fresh.is_object()) {
    comparison.Complain("configuration", &fresh, "write an object");
    return comparison.Take();
  }
  const json none = json::object();
  const json* before = Find(first, "settings");
  const json* settings = Find(fresh, "settings");
  if (settings == nullptr || !settings->is_object()) {
    comparison.Complain("settings", settings, "write an object");
  } else {
    comparison.Services(before == nullptr ? none : *before, *settings);
    comparison.Numbers(*settings);
    comparison.PerClass(*settings);
  }
  if (const json* known = Find(fresh, "known")) comparison.Known(*known);
  if (const json* limits = Find(fresh, "limits")) comparison.Limits(*limits);
  if (const json* bulletin = Find(fresh, "bulletin")) comparison.Bulletin(*bulletin);
  for (const auto& [key, value] : first.items()) {
    const json* found = Find(fresh, key.c_str());
    // The events so far are other ones each time, and what a start alone needs may be gone.
    if (found == nullptr && (key == "admin_addr" || key == "seed")) continue;
    if (key == "known" && found != nullptr && found->is_object()) continue;
    comparison.Key("", key, value, fresh);
  }
  return comparison.Take();
}

std::string Describe(const ConfigIssue& complaint) {
  return complaint.path + ": " + complaint.said + "; " + complaint.wanted;
}

}  // namespace cluster_manager
