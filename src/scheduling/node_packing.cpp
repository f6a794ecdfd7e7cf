#include "scheduling/node_packing.h"

#include <algorithm>
#include <utility>

#include "scheduling/parameters.h"

namespace scheduling::internal {

bool NodePacking::IsRequiredKind(const Node& node) const {
  return std::ranges::any_of(context_.settings.classes, [&](const ClassSettings& settings) {
    return settings.required_node_kind == node.entry.kind;
  });
}

PackingOrder NodePacking::ComputeOrder(const std::vector<Node*>& nodes) const {
  std::vector<std::pair<double, Node*>> by_sort_key;
  Resources load;
  for (Node* node : nodes) {
    if (!node->IsHealthy()) continue;
    const Resources& used = view_.Use(*node);
    const double fullness = std::max(used.cores / view_.Cores(*node), used.memory / view_.Memory(*node));
    by_sort_key.emplace_back(IsRequiredKind(*node) - fullness, node);
    load.AddScaled(1, used);
  }
  std::ranges::sort(by_sort_key, {},
                    [](const auto& each) { return std::pair(each.first, each.second->entry.node); });
  PackingOrder order;
  Resources filled;
  const double fill_share = kFillShare + kPriceFillFactor * context_.settings.node_price;
  for (const auto& [sort_key, node] : by_sort_key) {
    if (filled.cores < load.cores || filled.memory < load.memory) ++order.in_use;
    filled.AddScaled(fill_share, {view_.Cores(*node), view_.Memory(*node)});
    order.nodes.push_back(node);
  }
  return order;
}

}  // namespace scheduling::internal
