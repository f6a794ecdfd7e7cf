// The commands `cluster_manager sites check PLAN` and `cluster_manager sites drill PLAN`: they check a plan
// of zone failover and calculate the effect of a failure.
#pragma once

#include <string>
#include <vector>

namespace cluster_manager::cli {

// The arguments of the commands.
struct SitesArguments {
  std::string plan, config, list;  // files; if `list` is empty, the list in the configuration is used
  std::vector<std::string> lose, mix;
  bool json = false;
};

// Both return the exit code. 0: the plan is valid and satisfies its guarantees; 1: it does not; 2: invalid
// arguments.
int CheckSites(const SitesArguments& arguments);
int DrillSites(const SitesArguments& arguments);

}  // namespace cluster_manager::cli
