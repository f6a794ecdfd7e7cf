// Selects the node for an attempt: among the nodes that may run the task, one of the least score, with a
// choice among near-ties by a hash of the service and the node. With many nodes the own partition is searched
// first, then PlacementIndex. Owns the candidates of the current selection. Called by RequestLifecycle.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "scheduling/capacity_filter.h"
#include "scheduling/contention_estimator.h"
#include "scheduling/context.h"
#include "scheduling/node_filter.h"
#include "scheduling/node_packing.h"
#include "scheduling/node_partition.h"
#include "scheduling/node_scorer.h"
#include "scheduling/pending_queue.h"
#include "scheduling/placement_index.h"
#include "scheduling/service_placements.h"

namespace scheduling::internal {

class NodeSelector {
 public:
  // The components that a selection reads. All must outlive the selector.
  struct Components {
    ClusterView& view;
    const UsageEstimator& usage;
    const CapacityFilter& capacity;
    ServicePlacements& services;
    ReservedNodes& reserved;
    NodeFilter& filter;
    const NodeScorer& scorer;
    const NodePacking& packing;
    const NodePartition& partition;
    PlacementIndex& index;
    const ContentionEstimator& contention;
    const PendingQueue& pending;
  };

  NodeSelector(Context& context, const Components& components) : context_(context), components_(components) {}

  // Returns nothing if no node may run the task now, or if scarce capacity is left to other schedulers.
  std::optional<NodeId> Select(const Request& request);

 private:
  struct IndexSearch {
    const Request& request;
    double load;  // sum over the candidates and the unseen placements of other schedulers
    double weight;
    double competing;  // requests of other schedulers that need capacity too
    std::size_t examined = 0;
  };

  void ScanNodes(const Request& request);
  void SearchIndex(const Request& request);
  void SearchNodeKinds(IndexSearch* search);
  // Adds the node if it is preferred. Returns whether the search continues after this node.
  bool Examine(Node* node, IndexSearch* search);
  // Returns whether the partition has a candidate.
  bool SearchPartition(const Request& request);
  void AddIfPreferred(Node* node, const Request& request);
  void AddCandidate(const Node& node, const Request& request);
  // Gives the candidates of unknown capacity the mean score of the others.
  void AssignMeanScoreToUnknown();
  bool AdmitsUnderContention(const Request& request);
  // The score up to which candidates are near-ties. The candidates must be sorted by score.
  double NearTieThreshold() const;
  NodeId SelectNearTie(std::uint64_t service);

  Context& context_;
  const Components components_;
  // State of the current selection; the vectors are members to reuse their memory.
  std::vector<Candidate> candidates_;
  std::vector<Node*> not_preferred_;
  double free_slots_ = 0;  // number of tasks of this shape that the candidates have capacity for
  bool from_partition_ = false;
};

}  // namespace scheduling::internal
