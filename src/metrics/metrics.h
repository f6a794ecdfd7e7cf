// The metrics of the admin API: the outcomes of the requests of each class since the process started, and a
// few gauges. Dispatcher owns the counters and increments them when a request gets its final answer. A class
// stays in the table once it was seen, even where new settings drop it, so that no counter ever decreases.
// Used on the event loop's thread only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace cluster_manager {

// Numbers of requests of a class, by their final answer.
struct ClassCounters {
  std::uint64_t fulfilled = 0;  // accepted by a node
  std::uint64_t throttled = 0;  // rejected
  std::uint64_t faulted = 0;    // failed
};

class Metrics {
 public:
  // Values that other modules hold, read when the metrics are requested.
  struct Gauges {
    std::uint64_t attempts_sent = 0;     // attempts written to nodes since the start
    std::size_t open_requests = 0;       // unanswered requests and running tasks
    std::size_t listed_nodes = 0;        // listed nodes
    std::size_t unavailable_nodes = 0;   // listed nodes that currently get no tasks: suspended or ejected
    std::uint64_t reloads_applied = 0;   // configurations applied at SIGHUP
    std::uint64_t reloads_rejected = 0;  // configurations rejected at SIGHUP
  };

  // The counters of a class, created at the first call. The pointer is valid as long as this object exists.
  ClassCounters* CountersOf(const std::string& class_name) { return &counters_by_class_[class_name]; }
  const std::map<std::string, ClassCounters>& classes() const { return counters_by_class_; }

  // Formats one JSON object. Class names that are not UTF-8 are shown with replacement characters.
  std::string FormatJson(const Gauges& gauges) const;

 private:
  std::map<std::string, ClassCounters> counters_by_class_;
};

}  // namespace cluster_manager
