// What a cluster manager is told at its start: the file that ROUTER_CONFIG names, and the variables over it.
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

struct Config {
  std::string name;
  sockaddr_in listen{}, bulletin{};
  int listen_socket = -1;  // inherited: it listens already, for every process of this name; -1: none
  std::optional<sockaddr_in> admin;  // the operators' address; none: nobody is listened to there
  std::uint64_t seed = 0;
  scheduling::Settings settings;
  std::vector<std::string> zones, kinds;  // by their numbers
  Time dial_timeout = 250 * kMs, keepalive = 15 * kSecond;
  int sockets = 1024;    // descriptors that the process may hold
  nlohmann::json known;  // the bulletin's events so far
  nlohmann::json shape;  // the file, but for those events: what later ones must have too
};

// Throws std::exception, saying what is wrong, where there is no configuration to work with.
Config ReadConfig(const nlohmann::json& json);
// Also where the file lacks what `first`, the shape of the one accepted at the start, had. A file is taken
// whole or not at all.
Config LoadConfigFromEnvironment(const nlohmann::json* first = nullptr);

// The level that ROUTER_LOG_LEVEL names, kInfo without the variable. Throws ConfigError where it names none.
LogLevel LogLevelFromEnvironment();

// The settings as the simulator's wire writes them: path=value, a tab before each.
std::string FlattenSettings(const nlohmann::json& settings);

}  // namespace cluster_manager
