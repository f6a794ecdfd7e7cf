#include "scheduling/node_partition.h"

#include <algorithm>
#include <set>
#include <utility>

#include "containers/hash.h"
#include "scheduling/parameters.h"

namespace scheduling::internal {

void NodePartition::Assign(bool partitioned) {
  const Settings& settings = context_.settings;
  nodes_.clear();
  std::set<int> zones;
  for (const Node* node : view_.nodes()) zones.insert(node->entry.zone);
  // In which zone the other schedulers are is unknown: they are taken to be spread over the zones in turn.
  const int zone_count = std::max<int>(1, static_cast<int>(zones.size()));
  const int parts = partitioned ? (settings.scheduler_count + zone_count - 1) / zone_count : 0;
  const int min_parts = packing_.IsPriced() ? 1 : 2;
  for (Node* node : view_.nodes()) {
    const int part = static_cast<int>(cluster_manager::HashToUnitInterval(0, node->entry.node) * parts);
    node->in_partition = parts >= min_parts && node->entry.zone == settings.zone &&
                         part == settings.scheduler_index / zone_count % parts;
    if (node->in_partition) nodes_.push_back(node);
  }
  in_use_ = nodes_.size();
  if (!packing_.IsPriced()) return;
  PackingOrder order = packing_.Order(nodes_);
  nodes_ = std::move(order.nodes);
  in_use_ = order.in_use;
}

void NodePartition::UpdateMeanLevel() {
  Resources requested;
  Resources all;
  for (const Node* node : view_.nodes()) {
    const bool healthy = node->IsHealthy();
    requested.Add(healthy, node->requested);
    all.Add(healthy, {view_.Cores(*node), 0});
  }
  mean_level_ = all.cores > 0 ? requested.cores / all.cores : 0;
}

bool NodePartition::IsBelowLevel(const Node& node) const {
  return node.requested.cores <= kMaxPartitionLevel * mean_level_ * view_.Cores(node);
}

}  // namespace scheduling::internal
