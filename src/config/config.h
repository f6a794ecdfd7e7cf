// The configuration of a cluster manager: the JSON file named by ROUTER_CONFIG and the environment variables
// that override it.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/log.h"
#include "net/timer_wheel.h"
#include "scheduling/scheduler.h"

namespace cluster_manager {

// Times are in nanoseconds.
struct Config {
  std::string name;
  sockaddr_in listen{}, discovery{};
  int listen_socket = -1;  // inherited listening socket, shared by all processes of this name; -1: none
  std::optional<sockaddr_in> admin;  // address of the operators' interface; none: disabled
  std::uint64_t seed = 0;
  scheduling::Settings settings;
  std::vector<std::string> zones, node_kinds;  // names by index
  Time dial_timeout = 250 * kMs, keepalive = 15 * kSecond;
  int max_descriptors = 1024;     // file descriptors that the process may hold
  nlohmann::json known_list;      // discovery events that the file already contains
  nlohmann::json required_shape;  // the file without those events: later files must have the same keys
};

// Throws std::exception with the reason if the configuration is not usable.
Config ReadConfig(const nlohmann::json& json);
// Loads the file named by ROUTER_CONFIG and applies the environment variables. With `first`, the
// required_shape of the configuration loaded at the start, also throws if the file is not compatible with it.
// A file is accepted or rejected as a whole.
Config LoadConfigFromEnvironment(const nlohmann::json* first = nullptr);

// The level named by ROUTER_LOG_LEVEL, kInfo if the variable is not set. Throws ConfigError for an unknown
// level.
LogLevel LogLevelFromEnvironment();

// The settings in the format of the simulator protocol: path=value, each preceded by a tab.
std::string FlattenSettings(const nlohmann::json& settings);

}  // namespace cluster_manager
