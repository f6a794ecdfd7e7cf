#include "scheduling/capacity_filter.h"

namespace scheduling::internal {

bool CapacityFilter::Fits(const Node& node, const Task& task) const {
  if (!node.capacity_known) return true;
  const Settings& settings = context_.settings;
  if (node.requested.cores + task.cores > view_.Cores(node) * settings.cores_overcommit) return false;
  if (node.requested.memory + task.memory > view_.Memory(node) * settings.memory_overcommit) return false;
  if (task.cores >= node.smallest_refused.cores || task.memory >= node.smallest_refused.memory) return false;
  const double max_busy = std::max(kMaxBusyCores, AcceptableBusyShare(context_.ClassSettingsFor(task)));
  return UseFits(node, task, max_busy, kMaxMemoryLimit);
}

bool CapacityFilter::FitsWell(const Node& node, const Task& task) const {
  const double max_busy = std::min(kMaxBusyCores, AcceptableBusyShare(context_.ClassSettingsFor(task)));
  return UseFits(node, task, max_busy, kMaxMemoryUse);
}

bool CapacityFilter::UseFits(const Node& node, const Task& task, double max_busy, double max_memory) const {
  if (!node.capacity_known) return true;
  const Resources& used = view_.Use(node);
  const Resources added = usage_.ExpectedUse(task);
  return used.cores + added.cores * node.use_correction.cores <= max_busy * view_.Cores(node) &&
         used.memory + added.memory * node.use_correction.memory <= max_memory * view_.Memory(node);
}

}  // namespace scheduling::internal
