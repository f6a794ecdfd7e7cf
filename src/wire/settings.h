// Reading the settings of a `begin` line.
#pragma once

#include "passbridge/scheduler.h"
#include "wire/fields.h"

namespace passbridge::wire {

// Reads path=value pairs from value `first` on. Keys that are not known are skipped.
Settings ReadSettings(const Fields& fields, std::size_t first);

}  // namespace passbridge::wire
