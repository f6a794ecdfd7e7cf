#include "scheduling/tenant_quota.h"

#include <algorithm>
#include <cstddef>

namespace scheduling::internal {

void TenantQuota::ResizeForTenants() {
  cores_.resize(std::max(cores_.size(), context_.settings.tenants.size()));
}

void TenantQuota::RecordRunningTask(const Task& task, double sign) {
  const std::size_t tenant = task.tenant;
  if (tenant < cores_.size()) cores_[tenant] += sign * task.cores;
}

bool TenantQuota::IsOver(const Task& task) const {
  const Settings& settings = context_.settings;
  const std::size_t tenant = task.tenant;
  const double quota = tenant < settings.tenants.size() ? settings.tenants[tenant].quota_cores : 0;
  return quota > 0 && cores_[tenant] * settings.scheduler_count > quota;
}

}  // namespace scheduling::internal
