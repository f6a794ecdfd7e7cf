#include "cli/sites_command.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "config/config.h"
#include "json_files/document_checker.h"
#include "json_files/load.h"
#include "zone_failover/drill.h"
#include "zone_failover/plan.h"

namespace cluster_manager::cli {
namespace {

using nlohmann::json;

// An error in the arguments or in a file that they name.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

json ReadJson(const std::string& path) {
  try {
    return json_files::LoadDocument(path);
  } catch (const std::runtime_error& error) {
    throw UsageError(error.what());
  }
}

// The latest entry of each node, by uid. The list is an array of discovery events, a single event, or an
// array of targets.
std::map<std::string, json> LatestTargets(const json& list, const std::string& path) {
  std::map<std::string, json> targets;
  const json* items = &list;
  if (list.contains("items")) items = &list["items"];
  const auto add_targets = [&](const json& all) {
    for (const json& target : all) {
      if (!target.is_object() || !target.contains("uid") || !target.contains("az"))
        throw UsageError(path + ": a target lacks \"uid\" or \"az\": " + target.dump());
      targets[target["uid"]] = target;
    }
  };
  const auto apply_event = [&](const json& event) {
    const json& list_update = event.contains("roster") ? event["roster"] : event;
    if (!list_update.is_object() || !list_update.contains("targets"))
      throw UsageError(path + ": contains neither discovery events nor targets");
    if (list_update.value("all", false)) targets.clear();
    add_targets(list_update["targets"]);
  };
  if (items->is_array() && !items->empty() && items->front().contains("uid")) {
    add_targets(*items);
  } else if (items->is_array()) {
    for (const json& event : *items) apply_event(event);
  } else {
    apply_event(*items);
  }
  return targets;
}

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::ranges::find(names, name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

// NOLINTNEXTLINE(bugprone-exception-escape): the destructor of the JSON library may allocate
struct LoadedConfig {
  Config config;
  zone_failover::Deployment deployment;
  json known;
};

LoadedConfig ReadConfigFile(const std::string& path) {
  const json file = ReadJson(path);
  LoadedConfig loaded;
  try {
    loaded.config = ReadConfig(file);
  } catch (const std::exception& error) {
    throw UsageError(path + ": " + error.what());
  }
  loaded.deployment = zone_failover::DeploymentFromSettings(loaded.config.settings, loaded.config.zones);
  loaded.known = loaded.config.known_list;
  return loaded;
}

template <typename Command>
int Run(Command command) {
  try {
    return command();
  } catch (const UsageError& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}

}  // namespace

int CheckSites(const SitesArguments& arguments) {
  return Run([&] {
    const LoadedConfig loaded = ReadConfigFile(arguments.config);
    const zone_failover::Plan plan = zone_failover::LoadPlan(arguments.plan, loaded.deployment);
    std::printf("%s: valid; %d ranks, %zu sites\n", arguments.plan.c_str(), plan.rank_count(),
                loaded.deployment.zones.size());
    return 0;
  });
}

int DrillSites(const SitesArguments& arguments) {
  return Run([&] {
    const LoadedConfig loaded = ReadConfigFile(arguments.config);
    const zone_failover::Plan plan = zone_failover::LoadPlan(arguments.plan, loaded.deployment);
    const scheduling::Settings& settings = loaded.config.settings;
    const std::string source = arguments.list.empty() ? arguments.config : arguments.list;
    std::vector<zone_failover::DrillNode> nodes;
    for (const auto& [uid, target] :
         LatestTargets(arguments.list.empty() ? loaded.known : ReadJson(arguments.list), source)) {
      zone_failover::DrillNode node;
      node.zone = IndexOf(loaded.deployment.zones, target.value("az", ""));
      if (node.zone < 0) {
        std::string text = source;
        text.append(": ").append(uid).append(" is in ").append(target["az"].dump());
        text.append(", which is not in the settings; the sites are: ")
            .append(json_files::JoinList(loaded.deployment.zones));
        throw UsageError(text);
      }
      const int kind = std::max(0, IndexOf(loaded.config.node_kinds, target.value("model", "")));
      node.cores = settings.kind_cores.at(static_cast<std::size_t>(kind));
      node.memory = settings.kind_memory.at(static_cast<std::size_t>(kind));
      const json free = target.value("unasked", json::array({node.cores, node.memory}));
      node.free_cores = free.at(0);
      node.free_memory = free.at(1);
      node.in_service = target.value("state", "in_service") == "in_service";
      nodes.push_back(node);
    }
    std::vector<int> lost_sites;
    for (const std::string& name : arguments.lose) {
      lost_sites.push_back(IndexOf(loaded.deployment.zones, name));
      if (lost_sites.back() < 0)
        throw UsageError("--lose " + name +
                         ": unknown site; the sites are: " + json_files::JoinList(loaded.deployment.zones));
    }
    zone_failover::DrillParameters parameters;
    for (const std::string& each : arguments.mix) {
      const std::size_t equals = each.find('=');
      double share = -1;
      if (equals != std::string::npos)
        std::from_chars(each.data() + equals + 1, each.data() + each.size(), share);
      const std::string name = each.substr(0, equals);
      if (share < 0 || IndexOf(loaded.deployment.classes, name) < 0)
        throw UsageError("--mix " + each + ": write CLASS=SHARE, with a class of: " +
                         json_files::JoinList(loaded.deployment.classes));
      parameters.demand_shares[name] = share;
    }
    parameters.request_timeout = loaded.config.dial_timeout;
    parameters.slow_start_duration = settings.slow_start_duration;
    parameters.overload_window = settings.overload_window;
    parameters.slow_start_sends = settings.slow_start_sends;
    const zone_failover::Drill drill =
        zone_failover::RunDrill(plan, loaded.deployment, nodes, lost_sites, parameters);
    const std::string text =
        arguments.json ? zone_failover::ToJson(drill).dump(2) + "\n" : zone_failover::FormatTable(drill);
    std::fputs(text.c_str(), stdout);
    return drill.violations.empty() ? 0 : 1;
  });
}

}  // namespace cluster_manager::cli
