// The record of a node and the table of all nodes. ClusterView owns the table. The comments in NodeRecord
// name the component that writes each group of fields.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "containers/tables.h"
#include "scheduling/events.h"
#include "scheduling/resources.h"

namespace scheduling::internal {

// A change of the requested resources by this scheduler, a placement (positive) or the end of a task
// (negative), that the endpoint list may not show yet.
struct OwnChange {
  RequestId id = 0;
  Time at = 0;
  Resources resources;
};

// A class of a tenant that a node refused without giving a reason.
struct RejectedClass {
  int class_index = 0;
  int tenant = 0;
  Time until = 0;
};

struct NodeRecord {
  // EndpointListUpdater.
  NodeEntry entry;
  bool listed = false;
  bool capacity_known = false;  // the endpoint list has shown its free capacity
  Time listed_at = 0;           // time of the last list entry for the node

  // ClusterView. "Own" tasks are those placed or claimed by this scheduler.
  bool changed = false;  // is in ClusterView::changed()
  Resources requested;   // by the tasks of all schedulers, including own changes that are not listed yet
  mutable Resources cached_use;
  mutable std::uint64_t cached_use_version = 0;  // version of the usage totals; 0: not cached
  std::vector<OwnChange> own_changes;
  Resources unlisted_change;  // sum of the own changes younger than the lag of the endpoint list
  Resources own_requested;    // requested by own tasks on the node
  Resources own_used;         // used by own tasks on the node: reported, otherwise expected

  // RefusalTracker.
  // Requests of this size or larger are expected to be refused.
  Resources smallest_refused{kNoLimit, kNoLimit};
  Time last_refused_at = 0;
  std::vector<RejectedClass> rejected_classes;

  // HealthCheckScheduler.
  Resources use_correction{1, 1};  // ratio of reported to estimated use
  bool check_pending = false;

  // OutlierDetector.
  int consecutive_failures = 0;
  Time ejected_until = 0;

  // RequestLifecycle.
  Time accepted_at = 0;      // last time that the node accepted a task
  Time degraded_until = 0;   // the node is not preferred before this time
  double start_backlog = 0;  // own tasks that are not running yet, in starts of a program that the node has

  std::vector<Time> recent_sends;  // SlowStartLimiter: attempts within the overload window

  // ServicePlacements: whether the node has the program of the selected service. Valid only while `selection`
  // equals the current selection.
  std::uint64_t selection = 0;
  bool has_program = false;

  bool in_partition = false;  // NodePartition: belongs to this scheduler's partition

  bool IsReady() const { return listed && entry.state == NodeState::kReady; }
  bool IsHealthy() const { return IsReady() && consecutive_failures == 0; }
  bool Rejects(const Task& task, Time now) const {
    return std::ranges::any_of(rejected_classes, [&](const RejectedClass& rejected) {
      return rejected.class_index == task.class_index && rejected.tenant == task.tenant &&
             rejected.until > now;
    });
  }
};

using NodeTable = cluster_manager::OrderedTable<NodeId, NodeRecord>;
using Node = NodeTable::Member;  // has a stable address until it is erased

}  // namespace scheduling::internal
