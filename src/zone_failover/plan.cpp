#include "zone_failover/plan.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cluster_manager::zone_failover {
Deployment DeploymentFromSettings(const scheduling::Settings& settings, std::vector<std::string> zones) {
  Deployment deployment;
  deployment.zones = std::move(zones);
  for (const scheduling::ClassSettings& each : settings.classes) {
    deployment.classes.push_back(each.name);
    deployment.priority_weights.push_back(each.priority_weight);
  }
  deployment.manager_count = settings.scheduler_count;
  deployment.max_retry_after = settings.max_retry_after;
  return deployment;
}

int Plan::RankOf(int class_index, bool over_share, bool retry, bool large) const {
  for (std::size_t i = 0; i < rank_rules.size(); ++i) {
    const RankRule& rule = rank_rules[i];
    const auto matches = [](int condition, bool value) { return condition < 0 || (condition == 1) == value; };
    if ((rule.class_index == RankRule::kAny || rule.class_index == class_index) &&
        matches(rule.over_share, over_share) && matches(rule.retry, retry) && matches(rule.large, large)) {
      return static_cast<int>(i);
    }
  }
  return std::max(0, rank_count() - 1);
}

Plan DefaultPlan(const Deployment& deployment) {
  Plan plan;
  std::vector<int> classes(deployment.classes.size());
  std::iota(classes.begin(), classes.end(), 0);
  std::ranges::stable_sort(classes, [&](int a, int b) {
    return deployment.priority_weights[static_cast<std::size_t>(a)] >
           deployment.priority_weights[static_cast<std::size_t>(b)];
  });
  for (const int over_share : {0, 1}) {
    for (const int class_index : classes) {
      for (const int retry : {0, 1}) plan.rank_rules.push_back({class_index, over_share, retry, -1});
    }
  }
  plan.bound_request_policies.assign(deployment.classes.size(), BoundRequestPolicy::kWait);
  if (deployment.max_retry_after > 0)
    plan.max_retry_after = std::min(plan.max_retry_after, deployment.max_retry_after);
  plan.min_retry_after = std::min(plan.min_retry_after, plan.max_retry_after);
  return plan;
}

}  // namespace cluster_manager::zone_failover
