// The record of a request and the table of all requests that are open or whose task runs.
#pragma once

#include <vector>

#include "containers/tables.h"
#include "scheduling/events.h"
#include "scheduling/resources.h"

namespace scheduling::internal {

struct Request {
  Task task;
  bool unanswered = true;     // the client waits for the final answer
  bool in_flight = false;     // an attempt has no result yet, or its task runs
  bool accepted = false;      // the task runs
  bool may_have_run = false;  // an earlier attempt may have been accepted
  int attempts = 0;
  int max_attempts = 0;   // by the settings at its arrival
  NodeId node = 0;        // of the attempt in flight
  NodeId first_node = 0;  // of the first attempt that may have run
  Time sent_at = 0;
  Time first_sent_at = 0;
  Resources use;          // recorded at its node
  double start_work = 0;  // counted in its node's start queue
  int rank = 0;           // of the zone policy
  std::vector<NodeId> failed_on;
};

// A pointer to a request is valid until the next insertion.
using RequestTable = cluster_manager::KeyedTable<RequestId, Request>;

}  // namespace scheduling::internal
