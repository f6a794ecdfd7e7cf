// Replication of cells between members: the copy with the highest version of a cell wins.
#include <algorithm>

#include "estimates/run_time_estimator.h"

namespace cluster_manager::estimates {

CellDelta RunTimeEstimator::BuildDelta(std::uint64_t after_version, std::size_t max_cells, Time now) {
  AdvanceRunningTasks(now);
  CellDelta delta{.member = member_,
                  .incarnation = incarnation_,
                  .after_version = after_version,
                  .up_to_version = after_version,
                  .cells = {}};
  std::vector<std::pair<std::uint64_t, const std::pair<const Key, Sketch>*>> changed;
  for (const auto& each : sketches_) {
    if (each.second.version > after_version) changed.emplace_back(each.second.version, &each);
  }
  const std::size_t sent = std::min(max_cells, changed.size());
  std::ranges::partial_sort(changed, changed.begin() + static_cast<std::ptrdiff_t>(sent), {},
                            &decltype(changed)::value_type::first);
  for (std::size_t i = 0; i < sent; ++i) {
    const auto& [key, sketch] = *changed[i].second;
    delta.cells.push_back({key, sketch.version, sketch.epoch, sketch.counts.entries()});
    delta.up_to_version = sketch.version;
  }
  if (sent == changed.size()) delta.up_to_version = std::max(after_version, version_);
  return delta;
}

void RunTimeEstimator::Merge(const CellDelta& delta) {
  if (delta.member == member_) return;  // an own message that came back
  if (!received_.contains(delta.member) && received_.size() >= parameters_.max_members) {
    ++limit_counters_.members_rejected;
    return;
  }
  auto& incarnations = received_[delta.member];
  // The two latest incarnations are kept: the current one, and the observations of the one before it.
  if (!incarnations.contains(delta.incarnation) && incarnations.size() >= 2) {
    if (delta.incarnation < incarnations.begin()->first) return;
    for (const auto& [key, cell] : incarnations.begin()->second.cells) {
      if (const auto own = sketches_.find(key); own != sketches_.end()) own->second.curve_time = -1;
    }
    incarnations.erase(incarnations.begin());
  }
  Incarnation& incarnation = incarnations[delta.incarnation];
  if (delta.after_version <= incarnation.received_version)
    incarnation.received_version = std::max(incarnation.received_version, delta.up_to_version);
  for (const CellDelta::Cell& cell : delta.cells) {
    if (cell.key.level >= Key::kLevelCount || cell.version == 0) {
      ++limit_counters_.cells_rejected;
      continue;
    }
    ReceivedCell received{
        .version = cell.version, .epoch = std::max<std::int64_t>(cell.epoch, 0), .counts = {}};
    limit_counters_.weights_clamped += static_cast<std::uint64_t>(received.counts.Assign(cell.counts));
    const auto known = incarnation.cells.find(cell.key);
    if (known != incarnation.cells.end()) {
      // Two different copies with the same version are a fault of the sender; the total order makes every
      // member keep the same one.
      const auto rank = [](const ReceivedCell& c) {
        return std::tie(c.version, c.epoch, c.counts.entries());
      };
      if (rank(received) <= rank(known->second)) continue;
      incarnation.by_version.erase({known->second.version, cell.key});
      known->second = std::move(received);
    } else {
      incarnation.cells.emplace(cell.key, std::move(received));
    }
    incarnation.by_version.emplace(cell.version, cell.key);
    if (const auto own = sketches_.find(cell.key); own != sketches_.end()) own->second.curve_time = -1;
    // The lowest versions are evicted, so that the cells kept do not depend on the order of arrival.
    if (incarnation.cells.size() > parameters_.max_cells_per_incarnation) {
      incarnation.cells.erase(incarnation.by_version.begin()->second);
      incarnation.by_version.erase(incarnation.by_version.begin());
      ++limit_counters_.cells_evicted;
    }
  }
}

std::uint64_t RunTimeEstimator::ReceivedVersion(std::uint32_t member, std::uint64_t* incarnation) const {
  const auto it = received_.find(member);
  if (it == received_.end() || it->second.empty()) return 0;
  *incarnation = it->second.rbegin()->first;
  return it->second.rbegin()->second.received_version;
}

std::vector<CellDelta> RunTimeEstimator::ReceivedCells() const {
  std::vector<CellDelta> all;
  for (const auto& [member, incarnations] : received_) {
    for (const auto& [number, incarnation] : incarnations) {
      CellDelta delta{.member = member,
                      .incarnation = number,
                      .after_version = 0,
                      .up_to_version = incarnation.received_version,
                      .cells = {}};
      for (const auto& [key, cell] : incarnation.cells) {
        delta.cells.push_back({key, cell.version, cell.epoch, cell.counts.entries()});
      }
      all.push_back(std::move(delta));
    }
  }
  return all;
}

}  // namespace cluster_manager::estimates
