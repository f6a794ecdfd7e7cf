// State shared by all components of a scheduler: the settings, the time of the current event, the random
// number generator and the list of actions. Owned by the scheduler, which alone changes the settings, times
// and zone policy.
#pragma once

#include <algorithm>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "scheduling/resources.h"
#include "scheduling/scheduler.h"

namespace scheduling::internal {

struct Context {
  Settings settings;
  Time now = 0;
  Time started_at = 0;        // time of the first event, taken as the start of this process
  Time shutdown_at = kNever;  // when this process ends
  ZonePolicy* zone_policy = nullptr;
  NodeIdentities* node_identities = nullptr;  // null: attempts reach the nodes that they are sent to
  std::vector<Action> actions;                // of the current event
  std::mt19937_64 random;

  // The index of the task's class; the last one for an index past the configured classes.
  std::size_t ClassIndex(const Task& task) const {
    return std::min<std::size_t>(task.class_index, settings.classes.size() - 1);
  }
  const ClassSettings& ClassSettingsFor(const Task& task) const { return settings.classes[ClassIndex(task)]; }
  // Uniformly distributed in [0, 1).
  double UniformRandom() { return static_cast<double>(random() >> 11) / 9007199254740992.0; }
  // Writes at most kMaxLogMessages lines during the lifetime of a scheduler; drops the others.
  void Log(const std::string& text);

 private:
  int logged_ = 0;
};

}  // namespace scheduling::internal
