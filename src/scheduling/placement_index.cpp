#include "scheduling/placement_index.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "scheduling/parameters.h"

namespace scheduling::internal {
namespace {

bool HasDrifted(double value, double indexed) {
  return std::abs(value - indexed) > kMaxMeanUseDrift * indexed;
}

}  // namespace

void PlacementIndex::Configure(bool rebuild) {
  const Settings& settings = context_.settings;
  const bool many = settings.shows_free_capacity && view_.nodes().size() > kMaxScannedNodes;
  if (many == std::exchange(active_, many) && !rebuild) return;
  for (const RatioIndex& index : kinds_) examined_in_discarded_ += index.examined();
  kinds_.assign(many ? settings.kind_cores.size() : 0, {});
  view_.TrackChanges(many);
  view_.ClearChanged();
  for (Node* node : view_.nodes()) {
    node->changed = false;
    view_.MarkChanged(node);
  }
  next_drift_refresh_ = 0;
}

void PlacementIndex::AssignPartition() {
  warming_up_.clear();
  std::ranges::copy_if(view_.nodes(), std::back_inserter(warming_up_),
                       [this](const Node* node) { return slow_start_.IsWarmingUp(*node); });
  partition_.Assign(active_);
}

void PlacementIndex::Refresh() {
  if (context_.now >= next_drift_refresh_) RefreshDrifted();
  for (Node* node : view_.changed()) UpdateEntry(node);
  view_.ClearChanged();
}

void PlacementIndex::RefreshDrifted() {
  next_drift_refresh_ = context_.now + kIndexRefreshInterval;
  const Resources& mean = usage_.mean();
  if (HasDrifted(mean.cores, indexed_mean_.cores) || HasDrifted(mean.memory, indexed_mean_.memory)) {
    indexed_mean_ = mean;
    for (Node* node : view_.nodes()) UpdateEntry(node);
  }
  for (Node* node : warming_up_) UpdateEntry(node);
  reserved_.Assign();
  if (context_.settings.node_price > 0) AssignPartition();
  partition_.UpdateMeanLoad();
}

void PlacementIndex::UpdateEntry(Node* node) {
  node->changed = false;
  if (!node->IsHealthy()) {
    RemoveFromAll(*node);
    return;
  }
  const Settings& settings = context_.settings;
  double max_busy = kMaxBusyCores;
  for (const ClassSettings& each : settings.classes) max_busy = std::max(max_busy, AcceptableBusyShare(each));
  const double cores = view_.Cores(*node);
  const double memory = view_.Memory(*node);
  const Resources& requested = node->requested;
  const Resources& refused = node->smallest_refused;
  const Resources& correction = node->use_correction;
  const Resources& used = view_.Use(*node);
  // The capacity by use is overstated by the possible drift of the mean, so that no fitting node is skipped.
  // NodeFilter checks the exact values.
  const RatioIndex::Capacities capacity{
      std::min(cores * settings.cores_overcommit - requested.cores, refused.cores),
      std::min(memory * settings.memory_overcommit - requested.memory, refused.memory),
      (max_busy * cores - (1 - 2 * kMaxMeanUseDrift) * used.cores) / correction.cores,
      (kMaxMemoryLimit * memory - (1 - 2 * kMaxMeanUseDrift) * used.memory) / correction.memory};
  kinds_[view_.KindIndex(*node)].Set(node->slot, {requested.cores, scorer_.Weight(*node), capacity});
}

void PlacementIndex::RemoveFromAll(const Node& node) {
  for (RatioIndex& index : kinds_) index.Clear(node.slot);
}

void PlacementIndex::RemoveFromKind(const Node& node) {
  if (active_) kinds_[view_.KindIndex(node)].Clear(node.slot);
}

void PlacementIndex::Remove(Node* node) {
  std::erase(warming_up_, node);
  RemoveFromAll(*node);
}

std::uint64_t PlacementIndex::examined() const {
  std::uint64_t total = examined_in_discarded_;
  for (const RatioIndex& index : kinds_) total += index.examined();
  return total;
}

}  // namespace scheduling::internal
