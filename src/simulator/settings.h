// Parsing of the settings in a `begin` line.
#pragma once

#include "scheduling/scheduler.h"
#include "simulator/fields.h"

namespace scheduling::simulator {

// Parses path=value pairs, starting with the value at index `first`. Unknown keys are ignored. Throws
// ProtocolError if a value is malformed.
Settings ReadSettings(const Fields& fields, std::size_t first);

}  // namespace scheduling::simulator
