// If nodes in use have a price, determines the order in which nodes are filled, the fullest first, and how
// many of them are in use. The other nodes get no task while one in use fits, and stay free for large tasks.
// Has no state. Called by NodeSelector and NodePartition.
#pragma once

#include <cstddef>
#include <vector>

#include "scheduling/cluster_view.h"
#include "scheduling/context.h"

namespace scheduling::internal {

struct PackingOrder {
  std::vector<Node*> nodes;  // healthy nodes, the fullest first, those of a kind that a class requires last
  std::size_t in_use = 0;    // how many of the first nodes carry the whole load at the target fill share
};

class NodePacking {
 public:
  NodePacking(const Context& context, const ClusterView& view) : context_(context), view_(view) {}

  // Whether nodes in use have a price.
  bool IsEnabled() const { return context_.settings.node_price > 0; }
  // Orders the healthy ones of `nodes`.
  PackingOrder ComputeOrder(const std::vector<Node*>& nodes) const;

 private:
  // Whether a class requires the kind of this node.
  bool IsRequiredKind(const Node& node) const;

  const Context& context_;
  const ClusterView& view_;
};

}  // namespace scheduling::internal
