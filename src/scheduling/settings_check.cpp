
#include "scheduling/settings_check.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace scheduling::internal {

void ValidateSettings(const Settings& settings) {
  const auto require = [](bool valid, const std::string& message) {
    if (!valid) throw std::invalid_argument(message);
  };
  const auto all_positive = [](const std::vector<double>& values) {
    return std::ranges::all_of(values, [](double value) { return value > 0; });
  };
  require(!settings.kind_cores.empty(), "settings define no node kind");
  require(settings.kind_memory.size() == settings.kind_cores.size(),
          "cores and memory are given for different numbers of node kinds");
  require(all_positive(settings.kind_cores) && all_positive(settings.kind_memory),
          "cores and memory of every node kind must be positive");
  require(!settings.classes.empty(), "settings define no class");
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    require(settings.classes[i].deadline > 0, "class " + std::to_string(i) + ": deadline must be positive");
  }
  require(settings.scheduler_count > 0 && settings.scheduler_index >= 0,
          "scheduler count must be positive and scheduler index must not be negative");
  require(settings.mean_cores > 0 && settings.mean_memory > 0,
          "mean cores and mean memory of a task must be positive");
}

}  // namespace scheduling::internal
