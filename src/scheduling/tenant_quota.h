// Counts the cores requested by the own running tasks of each tenant, and decides whether a tenant is over
// its quota. Each scheduler has an equal share of a quota. Called by RequestLifecycle.
#pragma once

#include <vector>

#include "scheduling/context.h"

namespace scheduling::internal {

class TenantQuota {
 public:
  explicit TenantQuota(const Context& context) : context_(context) {}

  // To be called after a change of the settings. Tenants must keep their indexes.
  void ResizeForTenants();
  // Counts a task that starts running (`sign` 1) or ends (-1).
  void RecordRunningTask(const Task& task, double sign);
  // Whether the task's tenant uses more than this scheduler's share of its quota.
  bool IsOver(const Task& task) const;

 private:
  const Context& context_;
  std::vector<double> cores_;  // by tenant
};

}  // namespace scheduling::internal
