// Validation of a scheduler's settings, at construction and on SettingsChanged.
#pragma once

#include "scheduling/settings.h"

namespace scheduling::internal {

// Throws std::invalid_argument, naming the setting, if the settings are invalid.
void ValidateSettings(const Settings& settings);

}  // namespace scheduling::internal
