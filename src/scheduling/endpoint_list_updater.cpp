#include "scheduling/endpoint_list_updater.h"

#include "containers/hash.h"
#include "scheduling/parameters.h"

namespace scheduling::internal {

void EndpointListUpdater::Handle(const EndpointListChanged& event) {
  if (event.kind == EndpointListUpdate::kFailed) {
    components_.watch.RecordFailure();
    return;
  }
  components_.watch.RecordUpdate(event.kind != EndpointListUpdate::kCached);
  components_.view.RecordListUpdate();
  if (event.kind != EndpointListUpdate::kDelta) MarkAllUnlisted();
  for (const NodeEntry& entry : *event.entries) ApplyEntry(entry, event.kind);
  components_.view.RemoveListedOwnChanges();
  EraseUnusedNodes();
  components_.index.Configure();
  components_.index.AssignPartition();
}

void EndpointListUpdater::MarkAllUnlisted() {
  for (Node* node : components_.view.nodes()) {
    node->listed = false;
    components_.view.MarkChanged(node);
  }
}

void EndpointListUpdater::ApplyEntry(const NodeEntry& entry, EndpointListUpdate kind) {
  Node* node = components_.view.FindOrInsert(entry.node);
  const NodeEntry& previous = node->entry;
  const bool shows_capacity = context_.settings.shows_free_capacity;
  if (entry.started_at != previous.started_at && node->listed_at > 0)
    ResetForNewIncarnation(node, entry.started_at);
  const bool capacity_changed =
      entry.free_cores != previous.free_cores || entry.free_memory != previous.free_memory;
  if (capacity_changed && context_.now - node->last_refused_at > kRefusalHoldTime) {
    node->smallest_refused = {kNoLimit, kNoLimit};
  }
  if (shows_capacity && capacity_changed && kind == EndpointListUpdate::kDelta && node->capacity_known) {
    components_.view.UpdateLagEstimate(*node, entry.free_cores - previous.free_cores);
  }
  if (entry.kind != previous.kind) components_.index.RemoveFromKind(*node);
  node->listed_at = context_.now;
  node->entry = entry;
  node->listed = entry.state != NodeState::kRemoved;
  node->capacity_known = node->capacity_known || shows_capacity;
  components_.view.MarkChanged(node);
}

// The node has a new incarnation: discards what was known about the previous one, and counts the attempts
// that were sent to the new one before the list showed it as recent sends.
void EndpointListUpdater::ResetForNewIncarnation(Node* node, Time started_at) {
  for (const OwnChange& change : node->own_changes) {
    const bool placement = change.resources.cores > 0;
    if (placement && change.at >= started_at) node->recent_sends.push_back(change.at);
  }
  components_.view.RemoveOwnChanges(node, [](const OwnChange&) { return true; });
  components_.outliers.RecordSuccess(node);
}

void EndpointListUpdater::EraseUnusedNodes() {
  cluster_manager::NumberSet<NodeId> used;
  components_.requests.ForEach([&](const Request& request) {
    used.insert(request.node);
    used.insert(request.first_node);
  });
  components_.view.EraseIf([&](Node* node) {
    if (node->listed || components_.slow_start.HasRecentSends(*node) || used.contains(node->key))
      return false;
    components_.outliers.Remove(node);
    components_.index.Remove(node);
    return true;
  });
  components_.services.Expire();
  components_.requests.Shrink();
}

}  // namespace scheduling::internal
