#include "scheduling/node_scorer.h"

#include <algorithm>
#include <cmath>

#include "scheduling/parameters.h"

namespace scheduling::internal {

Candidate NodeScorer::Score(const Node& node, const Task& task) const {
  const Settings& settings = context_.settings;
  const bool has_program = services_.HasProgram(node);
  if (!node.capacity_known) return {node.entry.node, 0, 0, has_program};
  const double added = has_program ? task.cores : kProgramStartLoad * settings.mean_cores;
  return {node.entry.node, (node.requested.cores + added) / settings.mean_cores, Weight(node), has_program};
}

double NodeScorer::Weight(const Node& node) const {
  constexpr double kMinWeight = 1e-9;
  const Settings& settings = context_.settings;
  const Resources& requested = node.requested;
  const Resources& used = view_.Use(node);
  const double cores = view_.Cores(node);
  const double memory = view_.Memory(node);
  const double free_cores =
      std::min(1 - requested.cores / (cores * settings.cores_overcommit), 1 - used.cores / cores);
  const double free_memory =
      std::min(1 - requested.memory / (memory * settings.memory_overcommit), 1 - used.memory / memory);
  const double memory_term = memory / settings.mean_memory * std::clamp(free_memory, 0.0, 1.0);
  const double cores_term =
      slow_start_.Speed(node) * cores / settings.mean_cores * std::clamp(free_cores, 0.0, 1.0);
  return std::max(std::hypot(kMemoryFactor * memory_term, kCoresFactor * cores_term), kMinWeight);
}

}  // namespace scheduling::internal
