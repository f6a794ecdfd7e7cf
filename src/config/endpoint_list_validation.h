// Validation of endpoint list events, from discovery or from a configuration file. Performs no I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "config/config_validation.h"

namespace cluster_manager {

// The first problem of an event of the endpoint list, except for problems of its entries:
// {"no":41,"roster":{"rev":7,"all":false,"targets":[...]}}. Paths are relative to the event,
// for example roster.targets.
std::optional<ConfigIssue> ValidateEndpointListEvent(const nlohmann::json& event);

// The first problem of one entry of roster.targets. Paths are relative to the entry, for example state. `uid`
// and `state` are required, and `endpoint` unless the node is terminated; all other keys are optional.
std::optional<ConfigIssue> ValidateEndpointListEntry(const nlohmann::json& entry);

}  // namespace cluster_manager
