// The record of a request and the table of all requests that are open or have a running task.
#pragma once

#include <vector>

#include "containers/tables.h"
#include "scheduling/events.h"
#include "scheduling/resources.h"

namespace scheduling::internal {

struct Request {
  Task task;
  bool unanswered = true;     // the client is waiting for the final answer
  bool in_flight = false;     // an attempt has no result yet, or its task is running
  bool accepted = false;      // a node has accepted the task
  bool may_have_run = false;  // the task may have run in an earlier attempt
  int attempts = 0;
  int max_attempts = 0;    // by the settings at arrival
  NodeId node = 0;         // of the latest attempt
  NodeId first_node = 0;   // of the first attempt that may have run
  Time sent_at = 0;        // start of the latest attempt
  Time first_sent_at = 0;  // start of the first attempt that may have run
  Resources use;           // use recorded at the node in ClusterView
  double start_cost = 0;   // share of the node's start backlog
  int rank = 0;            // assigned by the zone policy
  std::vector<NodeId> failed_on;
};

// Pointers to requests are valid until the next insertion.
using RequestTable = cluster_manager::KeyedTable<RequestId, Request>;

}  // namespace scheduling::internal
