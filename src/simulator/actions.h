// Serialization of the scheduler's actions as lines of the simulator protocol.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "scheduling/scheduler.h"
#include "simulator/request_names.h"

namespace scheduling::simulator {

// Appends the line for an action of instance `instance_id`.
void WriteAction(const Action& action, std::int64_t instance_id, const RequestNames& names, std::string* to);
// Appends the line that reports that instance `instance_id` has failed and handles no more events.
void WriteInternalError(std::int64_t instance_id, std::string_view text, std::string* to);

}  // namespace scheduling::simulator
