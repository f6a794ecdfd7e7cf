// Scores a node as its load divided by its weight; the least score is the best. The weight follows
// "Least-Connection Algorithm based on variable weight for multimedia transmission": the Euclidean norm of
// the free shares of memory and cores, each multiplied by the node's size and a factor. Has no state. Called
// by NodeSelector and PlacementIndex.
#pragma once

#include "scheduling/cluster_view.h"
#include "scheduling/context.h"
#include "scheduling/service_placements.h"
#include "scheduling/slow_start_limiter.h"

namespace scheduling::internal {

struct Candidate {
  NodeId node = 0;
  double load = 0;           // in mean tasks
  double weight = 1;         // 0: the node's capacity is unknown
  bool has_program = false;  // the node has the program of the selected service
};

class NodeScorer {
 public:
  NodeScorer(const Context& context, const ClusterView& view, const ServicePlacements& services,
             const SlowStartLimiter& slow_start)
      : context_(context), view_(view), services_(services), slow_start_(slow_start) {}

  // The node's load with the task placed on it, and its weight.
  Candidate Score(const Node& node, const Task& task) const;
  // The weight by the free capacity of the node. Always positive.
  double Weight(const Node& node) const;

 private:
  const Context& context_;
  const ClusterView& view_;
  const ServicePlacements& services_;
  const SlowStartLimiter& slow_start_;
};

}  // namespace scheduling::internal
