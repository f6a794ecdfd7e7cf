// The handover from a process of a cluster manager to the process that replaces it, and its text format: the
// running tasks, and the completions that no client has acknowledged. Classes and tenants are identified by
// name, since their positions may differ between the processes. Written and read by ServerProcess. Pure
// functions without I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "dispatch/ports.h"

namespace cluster_manager {

// A running task.
struct HandedOverTask {
  TaskId id = 0;
  NodeId node = 0;
  std::string class_name;     // any bytes
  std::string tenant;         // the tenant's name, any bytes
  scheduling::Task task;      // without its id, class and tenant
  std::string payload;        // as sent to nodes
  std::size_t class_end = 0;  // the offset in the payload where the class ends, in bytes
};

// The completion of a task whose client may not have been notified.
struct HandedOverCompletion {
  // As `node`: a client is known to wait for this completion. Otherwise the node has reported it and no
  // client is known.
  static constexpr NodeId kAnyNode = 0;
  TaskId id = 0;
  NodeId node = kAnyNode;  // where the task ran
  TaskEnd end = TaskEnd::kAborted;
};

// Tasks and completions, in the order in which they are applied.
struct Handover {
  std::vector<HandedOverTask> tasks;
  std::vector<HandedOverCompletion> completions;
};

// Formats one line of JSON. Names and payloads may hold any bytes and are written in hexadecimal.
std::string FormatHandover(const Handover& handover);

// Parses the text of FormatHandover(). Returns an empty handover where any part of the text is invalid:
// clients then claim the tasks themselves, each with its node, only later.
Handover ParseHandover(std::string_view text);

}  // namespace cluster_manager
