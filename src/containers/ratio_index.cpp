#include "containers/ratio_index.h"

#include <cmath>

namespace cluster_manager {

void RatioIndex::Set(std::uint32_t slot, const Entry& entry) {
  Group group;
  group.load = static_cast<float>(entry.load);
  group.weight = static_cast<float>(entry.weight);
  for (std::size_t i = 0; i < kDimensions; ++i) {
    // Rounded up, so that a slot with exactly the needed capacity is never skipped.
    group.capacity[i] = std::nextafter(static_cast<float>(entry.capacity[i]), kInfinity);
  }
  Write(slot, group);
}

void RatioIndex::Clear(std::uint32_t slot) {
  if (!levels_.empty() && slot < levels_[0].size()) Write(slot, Group{});
}

void RatioIndex::Reset() {
  std::vector<std::vector<Group>>().swap(levels_);
  std::vector<Candidate>().swap(heap_);
  std::vector<LeastList>().swap(lists_);
  std::vector<std::uint16_t>().swap(list_membership_);
  std::vector<float>().swap(ratios_);
  size_ = 0;
}

RatioIndex::Group RatioIndex::Aggregate(std::size_t level, std::size_t at) const {
  const std::vector<Group>& below = levels_[level - 1];
  Group aggregate;
  for (std::size_t c = at * kFanOut; c < std::min(below.size(), (at + 1) * kFanOut); ++c) {
    aggregate.load = std::min(aggregate.load, below[c].load);
    aggregate.weight = std::max(aggregate.weight, below[c].weight);
    for (std::size_t r = 0; r < kDimensions; ++r)
      aggregate.capacity[r] = std::max(aggregate.capacity[r], below[c].capacity[r]);
  }
  return aggregate;
}

// Each level has one group per kFanOut groups of the level below, rounded up; the root level has one group.
void RatioIndex::Grow(std::uint32_t slot) {
  if (levels_.empty()) levels_.emplace_back();
  if (slot < levels_[0].size()) return;
  levels_[0].resize(std::size_t{slot / kFanOut + 1} * kFanOut);
  list_membership_.resize(levels_[0].size());
  for (std::size_t level = 1; levels_[level - 1].size() > 1; ++level) {
    if (level == levels_.size()) levels_.emplace_back();
    std::vector<Group>& groups = levels_[level];
    const bool was_root = groups.size() <= 1;
    groups.resize((levels_[level - 1].size() + kFanOut - 1) / kFanOut);
    if (!was_root) continue;
    for (std::size_t at = 0; at < groups.size(); ++at) groups[at] = Aggregate(level, at);
  }
}

void RatioIndex::Write(std::uint32_t slot, const Group& group) {
  Grow(slot);
  Group& leaf = levels_[0][slot];
  if (leaf == group) return;
  size_ = size_ + (group.weight > 0) - (leaf.weight > 0);
  leaf = group;
  for (std::size_t i = 0; i < lists_.size() && group.weight > 0; ++i) {
    const std::uint16_t bit = static_cast<std::uint16_t>(1U << i);
    if ((list_membership_[slot] & bit) != 0 ||
        group.load + lists_[i].extra > lists_[i].bound * group.weight) {
      continue;
    }
    list_membership_[slot] = static_cast<std::uint16_t>(list_membership_[slot] | bit);
    lists_[i].slots.push_back(slot);
  }
  std::size_t at = slot / kFanOut;
  for (std::size_t level = 1; level < levels_.size(); ++level, at /= kFanOut) {
    const Group aggregate = Aggregate(level, at);
    if (levels_[level][at] == aggregate) return;
    levels_[level][at] = aggregate;
  }
}

// Returns the list for `extra`, rounded to half powers of two. With kMaxLists lists in use, returns the
// nearest one.
RatioIndex::LeastList& RatioIndex::ListFor(float extra) {
  const float step = std::exp2(std::round(2 * std::log2(std::max(extra, 1e-6F))) / 2);
  LeastList* nearest = nullptr;
  for (LeastList& list : lists_) {
    if (nearest == nullptr || std::abs(list.extra - step) < std::abs(nearest->extra - step)) nearest = &list;
  }
  if (nearest != nullptr && (nearest->extra == step || lists_.size() == kMaxLists)) return *nearest;
  lists_.push_back({step, -kInfinity, false, {}});
  lists_.back().slots.reserve(2 * kListSize + 1);
  return lists_.back();
}

void RatioIndex::RebuildList(LeastList* list) {
  const std::uint16_t bit = static_cast<std::uint16_t>(1U << (list - lists_.data()));
  for (const std::uint32_t slot : list->slots)
    list_membership_[slot] = static_cast<std::uint16_t>(list_membership_[slot] & ~bit);
  list->slots.clear();
  ratios_.clear();
  const std::vector<Group>& all = levels_[0];
  examined_ += all.size();
  for (const Group& g : all) {
    if (g.weight > 0) ratios_.push_back((g.load + list->extra) / g.weight);
  }
  list->bound = kInfinity;
  list->complete = ratios_.size() <= kListSize;
  if (ratios_.size() > kListSize) {
    std::nth_element(ratios_.begin(), ratios_.begin() + kListSize, ratios_.end());
    list->bound = ratios_[kListSize];
  }
  for (std::uint32_t slot = 0; slot < all.size(); ++slot) {
    const Group& g = all[slot];
    if (!(g.weight > 0) || g.load + list->extra > list->bound * g.weight) continue;
    // Bounds the list if many slots have the same ratio.
    if (list->slots.size() >= 2 * kListSize) break;
    list->slots.push_back(slot);
    list_membership_[slot] = static_cast<std::uint16_t>(list_membership_[slot] | bit);
  }
}

void RatioIndex::Enqueue(const Candidate& candidate) {
  heap_.push_back(candidate);
  std::push_heap(heap_.begin(), heap_.end());
}

RatioIndex::Candidate RatioIndex::Pop() {
  std::pop_heap(heap_.begin(), heap_.end());
  const Candidate candidate = heap_.back();
  heap_.pop_back();
  return candidate;
}

}  // namespace cluster_manager
