// With many nodes, an index by score for each node kind, so that a placement examines only a few nodes.
// Entries may deviate from the current state by kMaxMeanUseDrift; NodeSelector filters and scores the nodes
// found again. With few nodes the index is not active, because scanning them is faster than maintaining it.
// Owns the indexes and the list of nodes warming up. Called by NodeSelector and EndpointListUpdater.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "containers/ratio_index.h"
#include "scheduling/cluster_view.h"
#include "scheduling/context.h"
#include "scheduling/node_partition.h"
#include "scheduling/node_scorer.h"
#include "scheduling/reserved_nodes.h"
#include "scheduling/slow_start_limiter.h"
#include "scheduling/usage_estimator.h"

namespace scheduling::internal {

class PlacementIndex {
 public:
  using RatioIndex = cluster_manager::RatioIndex;

  PlacementIndex(const Context& context, ClusterView& view, const UsageEstimator& usage,
                 const NodeScorer& scorer, const SlowStartLimiter& slow_start, ReservedNodes& reserved,
                 NodePartition& partition)
      : context_(context),
        view_(view),
        usage_(usage),
        scorer_(scorer),
        slow_start_(slow_start),
        reserved_(reserved),
        partition_(partition) {}

  bool active() const { return active_; }
  // Activates or deactivates the index by the number of nodes. To be called after a change of the endpoint
  // list, and with `rebuild` after a change of the settings.
  void Configure(bool rebuild = false);
  // Recomputes the partition and the list of nodes warming up.
  void AssignPartition();
  // Updates the entries of changed nodes, and periodically those that drift. To be called before a search.
  void Refresh();
  // The indexes by node kind. Their slots are those of ClusterView.
  std::vector<RatioIndex>& kinds() { return kinds_; }
  // Removes the node from the index of its kind. To be called before its kind changes.
  void RemoveFromKind(const Node& node);
  // To be called before the node is erased.
  void Remove(Node* node);
  // The number of entries examined since construction.
  std::uint64_t examined() const;

 private:
  void RefreshDrifted();
  void UpdateEntry(Node* node);
  void RemoveFromAll(const Node& node);

  const Context& context_;
  ClusterView& view_;
  const UsageEstimator& usage_;
  const NodeScorer& scorer_;
  const SlowStartLimiter& slow_start_;
  ReservedNodes& reserved_;
  NodePartition& partition_;
  std::vector<RatioIndex> kinds_;
  std::vector<Node*> warming_up_;  // as of the last AssignPartition
  bool active_ = false;
  Time next_drift_refresh_ = 0;
  Resources indexed_mean_{1, 1};             // mean use at the last update of all entries
  std::uint64_t examined_in_discarded_ = 0;  // entries examined in indexes that no longer exist
};

}  // namespace scheduling::internal
