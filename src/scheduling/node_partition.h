// With many nodes, partitions the nodes of each zone among the schedulers by a hash that all of them share. A
// scheduler places tasks outside its partition only if it finds no capacity or program there. Otherwise
// schedulers with the same stale view would all choose the same nodes. Owns the list of the partition's nodes
// and the mean load. Called by PlacementIndex and NodeSelector.
#pragma once

#include <cstddef>
#include <vector>

#include "scheduling/cluster_view.h"
#include "scheduling/context.h"
#include "scheduling/node_packing.h"

namespace scheduling::internal {

class NodePartition {
 public:
  NodePartition(const Context& context, const ClusterView& view, const NodePacking& packing)
      : context_(context), view_(view), packing_(packing) {}

  // Recomputes the partition. `partitioned`: there are enough nodes to partition them; otherwise it is empty.
  void Assign(bool partitioned);
  // Recomputes the mean load. To be called periodically.
  void UpdateMeanLoad();
  // Whether the node's load is at most kMaxPartitionLoadRatio times the mean.
  bool IsBelowLoadLimit(const Node& node) const;
  // The nodes of the partition, in packing order if nodes have a price.
  const std::vector<Node*>& nodes() const { return nodes_; }
  // How many of the first nodes are in use; all if nodes have no price.
  std::size_t in_use() const { return in_use_; }

 private:
  const Context& context_;
  const ClusterView& view_;
  const NodePacking& packing_;
  std::vector<Node*> nodes_;
  std::size_t in_use_ = 0;
  double mean_load_ = 0;  // requested cores over cores, for all healthy nodes
};

}  // namespace scheduling::internal
