#include "scheduling/placement_index.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "scheduling/parameters.h"

namespace scheduling::internal {
namespace {

bool HasDrifted(double value, double indexed) { return std::abs(value - indexed) > kUseDrift * indexed; }

}  // namespace

void PlacementIndex::Configure(bool rebuild) {
  const Settings& settings = context_.settings;
  const bool many = settings.shows_free_capacity && view_.nodes().size() > kIndexedFrom;
  if (many == std::exchange(active_, many) && !rebuild) return;
  for (const RatioIndex& index : kinds_) examined_in_dropped_ += index.examined();
  kinds_.assign(many ? settings.kind_cores.size() : 0, {});
  view_.TrackChanges(many);
  view_.ClearChanged();
  for (Node* node : view_.nodes()) {
    node->changed = false;
    view_.MarkChanged(node);
  }
  renewal_at_ = 0;
}

void PlacementIndex::AssignPartition() {
  warming_up_.clear();
  std::ranges::copy_if(view_.nodes(), std::back_inserter(warming_up_),
                       [this](const Node* node) { return slow_start_.IsWarmingUp(*node); });
  partition_.Assign(active_);
}

void PlacementIndex::Refresh() {
  if (context_.now >= renewal_at_) Renew();
  for (Node* node : view_.changed()) Write(node);
  view_.ClearChanged();
}

void PlacementIndex::Renew() {
  renewal_at_ = context_.now + kIndexRenewal;
  const Resources& mean = usage_.mean();
  if (HasDrifted(mean.cores, indexed_mean_.cores) || HasDrifted(mean.memory, indexed_mean_.memory)) {
    indexed_mean_ = mean;
    for (Node* node : view_.nodes()) Write(node);
  }
  for (Node* node : warming_up_) Write(node);
  reserved_.Assign();
  if (context_.settings.node_price > 0) AssignPartition();
  partition_.UpdateMeanLevel();
}

void PlacementIndex::Write(Node* node) {
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
  const Resources& refused = node->refused_from;
  const Resources& correction = node->use_correction;
  const Resources& used = view_.Use(*node);
  // Capacity by use is shown larger than it is by what the mean may have drifted: the filters are exact.
  const RatioIndex::Capacities capacity{
      std::min(cores * settings.cores_overcommit - requested.cores, refused.cores),
      std::min(memory * settings.memory_overcommit - requested.memory, refused.memory),
      (max_busy * cores - (1 - 2 * kUseDrift) * used.cores) / correction.cores,
      (kMaxMemoryLimit * memory - (1 - 2 * kUseDrift) * used.memory) / correction.memory};
  kinds_[view_.KindIndex(*node)].Set(node->slot, {requested.cores, scorer_.Weight(*node), capacity});
}

void PlacementIndex::RemoveFromAll(const Node& node) {
  for (RatioIndex& index : kinds_) index.Clear(node.slot);
}

void PlacementIndex::RemoveFromKind(const Node& node) {
  if (active_) kinds_[view_.KindIndex(node)].Clear(node.slot);
}

void PlacementIndex::Forget(Node* node) {
  std::erase(warming_up_, node);
  RemoveFromAll(*node);
}

std::uint64_t PlacementIndex::examined() const {
  std::uint64_t all = examined_in_dropped_;
  for (const RatioIndex& index : kinds_) all += index.examined();
  return all;
}

}  // namespace scheduling::internal
