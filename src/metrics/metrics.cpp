#include "metrics/metrics.h"

#include <nlohmann/json.hpp>

namespace cluster_manager {

std::string Metrics::FormatJson(const Gauges& gauges) const {
  using nlohmann::json;
  json document = {{"fulfilled", json::object()},
                   {"throttled", json::object()},
                   {"faulted", json::object()},
                   {"relayed", gauges.attempts_sent},
                   {"open_requests", gauges.open_requests},
                   {"registry_entries", gauges.listed_nodes},
                   {"out_of_rotation", gauges.unavailable_nodes},
                   {"cfg_accepted", gauges.reloads_applied},
                   {"cfg_invalid", gauges.reloads_rejected}};
  for (const auto& [class_name, counters] : counters_by_class_) {
    document["fulfilled"][class_name] = counters.fulfilled;
    document["throttled"][class_name] = counters.throttled;
    document["faulted"][class_name] = counters.faulted;
  }
  // With its default error handler dump() throws where a name is not UTF-8, and the call would get no answer.
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace cluster_manager
