#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "config/config_error.h"
#include "config/config_validation.h"
#include "net/connection.h"
#include "simulator/settings.h"

namespace cluster_manager {
namespace {

using nlohmann::json;

// A plain value as the wire writes it. Spaces and commas would split there, so they turn into _.
std::string Plain(const json& value) {
  if (value.is_null()) return "-";
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  std::ranges::replace_if(
      text, [](char c) { return c == ' ' || c == ',' || c == '\t' || c == '\n'; }, '_');
  return text;
}

void FlattenInto(const std::string& path, const json& value, std::string* out) {
  const std::string below = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) FlattenInto(below + key, item, out);
  } else if (value.is_array() && !value.empty() && value[0].is_structured()) {
    out->append("\t").append(below).append("count=").append(std::to_string(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i) FlattenInto(below + std::to_string(i), value[i], out);
  } else if (value.is_array()) {
    out->append("\t").append(path).append("=");
    for (std::size_t i = 0; i < value.size(); ++i) *out += (i > 0 ? "," : "") + Plain(value[i]);
  } else {
    out->append("\t").append(path).append("=").append(Plain(value));
  }
}

sockaddr_in Address(const json& config, const char* field) {
  const json& value = config.at(field);
  sockaddr_in address{};
  if (!value.is_string() || !ParseAddress(value.get_ref<const std::string&>(), &address)) {
    throw ConfigError(Describe({field, Said(value), "write an address and a port, as 10.0.0.5:9092"}));
  }
  return address;
}

// The seed is hex digits, or a number; whatever it is, it gives the same seed each time.
std::uint64_t Seed(const json& seed) {
  if (seed.is_number_integer()) return seed.get<std::uint64_t>();
  const std::string text = seed.is_string() ? seed.get<std::string>() : "";
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return value;
}

int Descriptor(std::string_view text) {
  int number = -1;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || stop != text.data() + text.size() || number < 0) {
    throw ConfigError("ROUTER_LISTEN_FD: '" + std::string(text) + "' is no descriptor; write a number");
  }
  return number;
}

}  // namespace

std::string FlattenSettings(const json& settings) {
  std::string out;
  FlattenInto("", settings, &out);
  return out;
}

Config ReadConfig(const json& config) {
  Config c;
  c.name = config.value("name", "willowrail");
  c.listen = Address(config, "listen");
  c.discovery = Address(config, "bulletin");
  if (config.contains("admin_addr")) c.admin = Address(config, "admin_addr");
  c.seed = Seed(config.value("seed", json("0")));
  c.known_list = config.value("known", json::object());
  const json& settings = config.at("settings");
  const std::string line = "begin" + FlattenSettings(settings);
  c.settings = scheduling::simulator::ReadSettings(scheduling::simulator::Fields(line, 1), 0);
  // Names as owners write them: the wire's line has no room for spaces and commas.
  for (std::size_t i = 0; i < c.settings.classes.size(); ++i) {
    c.settings.classes[i].name = settings.at("Services").at(i).value("Name", "");
  }
  for (std::size_t i = 0; i < c.settings.tenants.size(); ++i) {
    c.settings.tenants[i].name = settings.at("Tenants").at(i).value("Name", "");
  }
  c.zones = settings.value("Zones", std::vector<std::string>());
  c.node_kinds = settings.value("Kinds", std::vector<std::string>());
  const json allowed = settings.value("Allowed", json::object());
  c.dial_timeout = allowed.value("DialTimeout", c.dial_timeout);
  c.keepalive = allowed.value("Keepalive", c.keepalive);
  c.max_descriptors = config.value("limits", json::object()).value("sockets", c.max_descriptors);
  return c;
}

Config LoadConfigFromEnvironment(const json* first) {
  const char* path = std::getenv("ROUTER_CONFIG");
  if (path == nullptr) throw ConfigError("ROUTER_CONFIG names no configuration file");
  std::ifstream file(path);
  if (!file) throw ConfigError(std::string("cannot read ") + path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  json config = ParseConfig(text, path);
  if (first != nullptr) {
    std::string all;
    for (const ConfigIssue& complaint : FindIncompatibilities(*first, config))
      all += "\n  " + FormatIssue(complaint);
    if (!all.empty()) throw ConfigError(std::string(path) + ":" + all);
  }
  json shape = config;
  if (shape.contains("known") && shape["known"].is_object()) shape["known"]["items"] = json::array();
  if (const char* name = std::getenv("ROUTER_NAME")) config["name"] = name;
  if (const char* listen = std::getenv("ROUTER_LISTEN")) config["listen"] = listen;
  if (const char* admin = std::getenv("ROUTER_ADMIN_ADDR")) config["admin_addr"] = admin;
  Config c = ReadConfig(config);
  c.required_shape = std::move(shape);
  if (const char* inherited = std::getenv("ROUTER_LISTEN_FD")) c.listen_socket = Descriptor(inherited);
  return c;
}

LogLevel LogLevelFromEnvironment() {
  const char* level = std::getenv("ROUTER_LOG_LEVEL");
  if (level == nullptr) return LogLevel::kInfo;
  const std::string_view name = level;
  if (name == "info") return LogLevel::kInfo;
  if (name == "debug") return LogLevel::kDebug;
  throw ConfigError("ROUTER_LOG_LEVEL is '" + std::string(name) + "', legal are info and debug");
}

}  // namespace cluster_manager
