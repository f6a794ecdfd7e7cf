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

// The last that was told of each node, by uid: a list is events of the bulletin, one of them, or its targets.
std::map<std::string, json> Targets(const json& list, const std::string& path) {
  std::map<std::string, json> targets;
  const json* items = &list;
  if (list.contains("items")) items = &list["items"];
  const auto take = [&](const json& all) {
    for (const json& target : all) {
      if (!target.is_object() || !target.contains("uid") || !target.contains("az"))
        throw UsageError(path + ": a target without \"uid\" and \"az\": " + target.dump());
      targets[target["uid"]] = target;
    }
  };
  const auto event = [&](const json& each) {
    const json& roster = each.contains("roster") ? each["roster"] : each;
    if (!roster.is_object() || !roster.contains("targets"))
      throw UsageError(path + ": neither events of the bulletin nor targets");
    if (roster.value("all", false)) targets.clear();
    take(roster["targets"]);
  };
  if (items->is_array() && !items->empty() && items->front().contains("uid")) {
    take(*items);
  } else if (items->is_array()) {
    for (const json& each : *items) event(each);
  } else {
    event(*items);
  }
  return targets;
}

int NumberOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::ranges::find(names, name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

// NOLINTNEXTLINE(bugprone-exception-escape): the destructor of JSON may allocate, as the library has it
struct Read {
  Config config;
  zone_failover::Deployment deployment;
  json known;
};

Read ReadConfigFile(const std::string& path) {
  const json file = ReadJson(path);
  Read read;
  try {
    read.config = ReadConfig(file);
  } catch (const std::exception& error) {
    throw UsageError(path + ": " + error.what());
  }
  read.deployment = zone_failover::DeploymentFromSettings(read.config.settings, read.config.zones);
  read.known = read.config.known_list;
  return read;
}

template <typename Work>
int Run(Work work) {
  try {
    return work();
  } catch (const UsageError& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}

}  // namespace

int CheckSites(const SitesCall& call) {
  return Run([&] {
    const Read read = ReadConfigFile(call.config);
    const zone_failover::Plan plan = zone_failover::LoadPlan(call.plan, read.deployment);
    std::printf("%s: good; %d ranks, %zu sites\n", call.plan.c_str(), plan.rank_count(),
                read.deployment.zones.size());
    return 0;
  });
}

int DrillSites(const SitesCall& call) {
  return Run([&] {
    const Read read = ReadConfigFile(call.config);
    const zone_failover::Plan plan = zone_failover::LoadPlan(call.plan, read.deployment);
    const scheduling::Settings& settings = read.config.settings;
    const std::string from = call.list.empty() ? call.config : call.list;
    std::vector<zone_failover::DrillNode> nodes;
    for (const auto& [uid, target] : Targets(call.list.empty() ? read.known : ReadJson(call.list), from)) {
      zone_failover::DrillNode node;
      node.zone = NumberOf(read.deployment.zones, target.value("az", ""));
      if (node.zone < 0) {
        std::string text = from;
        text.append(": ").append(uid).append(" stands in ").append(target["az"].dump());
        text.append(", which the settings do not name: ").append(json_files::JoinList(read.deployment.zones));
        throw UsageError(text);
      }
      const int kind = std::max(0, NumberOf(read.config.node_kinds, target.value("model", "")));
      node.cores = settings.kind_cores.at(static_cast<std::size_t>(kind));
      node.memory = settings.kind_memory.at(static_cast<std::size_t>(kind));
      const json free = target.value("unasked", json::array({node.cores, node.memory}));
      node.free_cores = free.at(0);
      node.free_memory = free.at(1);
      node.in_service = target.value("state", "in_service") == "in_service";
      nodes.push_back(node);
    }
    std::vector<int> lose;
    for (const std::string& name : call.lose) {
      lose.push_back(NumberOf(read.deployment.zones, name));
      if (lose.back() < 0)
        throw UsageError("--lose " + name + ": there is no such site, the settings name: " +
                         json_files::JoinList(read.deployment.zones));
    }
    zone_failover::DrillParameters terms;
    for (const std::string& each : call.mix) {
      const std::size_t equals = each.find('=');
      double share = -1;
      if (equals != std::string::npos)
        std::from_chars(each.data() + equals + 1, each.data() + each.size(), share);
      const std::string name = each.substr(0, equals);
      if (share < 0 || NumberOf(read.deployment.classes, name) < 0)
        throw UsageError("--mix " + each + ": write CLASS=SHARE, with a class of: " +
                         json_files::JoinList(read.deployment.classes));
      terms.demand_shares[name] = share;
    }
    terms.request_timeout = read.config.dial_timeout;
    terms.slow_start_duration = settings.slow_start_duration;
    terms.overload_window = settings.overload_window;
    terms.slow_start_sends = settings.slow_start_sends;
    const zone_failover::Drill drill = zone_failover::RunDrill(plan, read.deployment, nodes, lose, terms);
    const std::string text =
        call.json ? zone_failover::ToJson(drill).dump(2) + "\n" : zone_failover::FormatTable(drill);
    std::fputs(text.c_str(), stdout);
    return drill.violations.empty() ? 0 : 1;
  });
}

}  // namespace cluster_manager::cli
