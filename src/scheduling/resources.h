// Units of time and pairs of cores and memory, used by all components.
#pragma once

#include <limits>

#include "scheduling/settings.h"

namespace scheduling::internal {

constexpr Time kMs = 1'000'000;
constexpr Time kSecond = 1000 * kMs;
constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr double kNoLimit = std::numeric_limits<double>::infinity();

// Cores and memory, in the units of the settings.
struct Resources {
  double cores = 0;
  double memory = 0;

  void AddScaled(double factor, const Resources& other) {
    cores += factor * other.cores;
    memory += factor * other.memory;
  }
};

}  // namespace scheduling::internal
