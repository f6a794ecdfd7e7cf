// What the node list must hold, whether it comes from the bulletin or in a configuration file. Free of I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "config/config_validation.h"

namespace cluster_manager {

// What is wrong with an event of the list, apart from its entries:
// {"no":41,"roster":{"rev":7,"all":false,"targets":[...]}}. Paths begin at the event, as roster.targets.
std::optional<ConfigIssue> ValidateEndpointListEvent(const nlohmann::json& event);

// What is wrong with one entry of roster.targets. Paths begin at the entry, as state. `uid` and `state` have
// to be there, and `endpoint` unless the node is gone; any other key may be missing.
std::optional<ConfigIssue> ValidateEndpointListEntry(const nlohmann::json& entry);

}  // namespace cluster_manager
