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
  // The zones of the other schedulers are unknown. They are assumed to be assigned round-robin by index.
  const int zone_count = std::max<int>(1, static_cast<int>(zones.size()));
  const int partition_count = partitioned ? (settings.scheduler_count + zone_count - 1) / zone_count : 0;
  const int min_partitions = packing_.IsEnabled() ? 1 : 2;
  for (Node* node : view_.nodes()) {
    const int partition =
        static_cast<int>(cluster_manager::HashToUnitInterval(0, node->entry.node) * partition_count);
    node->in_partition = partition_count >= min_partitions && node->entry.zone == settings.zone &&
                         partition == settings.scheduler_index / zone_count % partition_count;
    if (node->in_partition) nodes_.push_back(node);
  }
  in_use_ = nodes_.size();
  if (!packing_.IsEnabled()) return;
  PackingOrder order = packing_.ComputeOrder(nodes_);
  nodes_ = std::move(order.nodes);
  in_use_ = order.in_use;
}

void NodePartition::UpdateMeanLoad() {
  Resources requested;
  Resources total;
  for (const Node* node : view_.nodes()) {
    const bool healthy = node->IsHealthy();
    requested.AddScaled(healthy, node->requested);
    total.AddScaled(healthy, {view_.Cores(*node), 0});
  }
  mean_load_ = total.cores > 0 ? requested.cores / total.cores : 0;
}

bool NodePartition::IsBelowLoadLimit(const Node& node) const {
  return node.requested.cores <= kMaxPartitionLoadRatio * mean_load_ * view_.Cores(node);
}

}  // namespace scheduling::internal
