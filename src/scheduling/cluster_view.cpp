#include "scheduling/cluster_view.h"

namespace scheduling::internal {

void ClusterView::MarkChanged(Node* node) {
  const Resources& unlisted_change = node->unlisted_change;
  node->requested = {std::max(0.0, Cores(*node) - node->entry.free_cores + unlisted_change.cores),
                     std::max(0.0, Memory(*node) - node->entry.free_memory + unlisted_change.memory)};
  node->cached_use_version = 0;
  if (tracks_changes_ && !std::exchange(node->changed, true)) changed_.push_back(node);
}

void ClusterView::AddOwnChange(Node* node, const Task& task, double sign) {
  const Resources resources{sign * task.cores, sign * task.memory};
  node->own_changes.push_back({task.id, context_.now, resources});
  node->unlisted_change.AddScaled(1, resources);
  MarkChanged(node);
}

void ClusterView::MoveOwnChanges(Node* from, Node* to, RequestId request) {
  for (const OwnChange& change : from->own_changes) {
    if (change.id == request) to->own_changes.push_back(change);
  }
  RemoveOwnChanges(from, [request](const OwnChange& change) { return change.id == request; });
  RecomputeUnlistedChange(to);
  MarkChanged(to);
}

void ClusterView::RecomputeUnlistedChange(Node* node) const {
  const Time listed_before = list_updated_at_ - lag_.value();
  node->unlisted_change = {};
  for (const OwnChange& change : node->own_changes) {
    if (change.at >= listed_before) node->unlisted_change.AddScaled(1, change.resources);
  }
}

void ClusterView::RecordUse(Node* node, const Request& request, double sign) {
  const Resources requested{request.task.cores, request.task.memory};
  node->own_requested.AddScaled(sign, requested);
  node->own_used.AddScaled(sign, request.use);
  usage_.UpdateTotals(sign, requested, request.use);
  MarkChanged(node);
}

void ClusterView::RemoveListedOwnChanges() {
  for (Node* node : nodes()) {
    if (node->own_changes.empty()) continue;
    RemoveOwnChanges(
        node, [this](const OwnChange& change) { return change.at + 2 * ViewLag::kMax < list_updated_at_; });
  }
}

}  // namespace scheduling::internal
