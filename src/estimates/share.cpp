// What members tell each other: cells, whole, the higher version stays.
#include <algorithm>

#include "estimates/estimates.h"

namespace cluster_manager::estimates {

Said Estimates::Delta(std::uint64_t after, std::size_t most, Time now) {
  Advance(now);
  Said said{.member = member_, .incarnation = incarnation_, .after = after, .up_to = after, .cells = {}};
  std::vector<std::pair<std::uint64_t, const std::pair<const Key, Own>*>> changed;
  for (const auto& each : own_) {
    if (each.second.version > after) changed.emplace_back(each.second.version, &each);
  }
  const std::size_t told = std::min(most, changed.size());
  std::ranges::partial_sort(changed, changed.begin() + static_cast<std::ptrdiff_t>(told), {},
                            &decltype(changed)::value_type::first);
  for (std::size_t i = 0; i < told; ++i) {
    const auto& [key, own] = *changed[i].second;
    said.cells.push_back({key, own.version, own.epoch, own.counts.entries()});
    said.up_to = own.version;
  }
  if (told == changed.size()) said.up_to = std::max(after, version_);
  return said;
}

void Estimates::Merge(const Said& said) {
  if (said.member == member_) return;  // an echo
  if (!others_.contains(said.member) && others_.size() >= terms_.most_members) {
    ++bounds_.members_refused;
    return;
  }
  auto& incarnations = others_[said.member];
  // The two latest are kept: the one that speaks, and what the one before it had learned.
  if (!incarnations.contains(said.incarnation) && incarnations.size() >= 2) {
    if (said.incarnation < incarnations.begin()->first) return;
    for (const auto& [key, cell] : incarnations.begin()->second.cells) {
      if (const auto own = own_.find(key); own != own_.end()) own->second.made = -1;
    }
    incarnations.erase(incarnations.begin());
  }
  Incarnation& of = incarnations[said.incarnation];
  if (said.after <= of.heard) of.heard = std::max(of.heard, said.up_to);
  for (const Said::Cell& cell : said.cells) {
    if (cell.key.level >= Key::kLevels || cell.version == 0) {
      ++bounds_.cells_refused;
      continue;
    }
    Cell taken{.version = cell.version, .epoch = std::max<std::int64_t>(cell.epoch, 0), .counts = {}};
    bounds_.weights_cut += static_cast<std::uint64_t>(taken.counts.Assign(cell.counts));
    const auto known = of.cells.find(cell.key);
    if (known != of.cells.end()) {
      // Two words of one version that differ are a fault of their member; everybody keeps the same one.
      const auto rank = [](const Cell& c) { return std::tie(c.version, c.epoch, c.counts.entries()); };
      if (rank(taken) <= rank(known->second)) continue;
      of.by_version.erase({known->second.version, cell.key});
      known->second = std::move(taken);
    } else {
      of.cells.emplace(cell.key, std::move(taken));
    }
    of.by_version.emplace(cell.version, cell.key);
    if (const auto own = own_.find(cell.key); own != own_.end()) own->second.made = -1;
    // The lowest versions go, whatever the order of coming: who heard the same keeps the same.
    if (of.cells.size() > terms_.most_cells) {
      of.cells.erase(of.by_version.begin()->second);
      of.by_version.erase(of.by_version.begin());
      ++bounds_.cells_forgotten;
    }
  }
}

std::uint64_t Estimates::Heard(std::uint32_t member, std::uint64_t* incarnation) const {
  const auto it = others_.find(member);
  if (it == others_.end() || it->second.empty()) return 0;
  *incarnation = it->second.rbegin()->first;
  return it->second.rbegin()->second.heard;
}

std::vector<Said> Estimates::Holds() const {
  std::vector<Said> all;
  for (const auto& [member, incarnations] : others_) {
    for (const auto& [number, incarnation] : incarnations) {
      Said said{.member = member, .incarnation = number, .after = 0, .up_to = incarnation.heard, .cells = {}};
      for (const auto& [key, cell] : incarnation.cells) {
        said.cells.push_back({key, cell.version, cell.epoch, cell.counts.entries()});
      }
      all.push_back(std::move(said));
    }
  }
  return all;
}

}  // namespace cluster_manager::estimates
