// An index of slots ordered by a ratio, (load + extra) / weight, where `extra` is a parameter of the query.
// In a tournament tree of fan-out 8, each group of slots holds the least load, the largest weight and the
// largest capacity in each of a few dimensions. (least load + extra) / largest weight is a lower bound of the
// ratios in the group, so a best-first search visits slots in ascending order and skips groups that lack the
// needed capacity. (Best-first search over bounded groups: Hjaltason and Samet, "Distance Browsing in Spatial
// Databases", 1999.)
//
// Set and Clear cost O(8 log8 n). Visiting the first k slots by search costs O(8 k log8 n) if loads and
// weights are correlated, and O(n) in the worst case. Since most queries use the same few values of `extra`,
// a list of the kListSize least slots is kept for each value, rounded to half powers of two, together with
// the ratio that bounds it: a slot whose ratio falls below the bound is added to the list, one whose ratio
// rises above it is skipped, and the list is rebuilt in O(n) once too few slots are below the bound. Between
// two rebuilds a query costs O(kListSize), independent of n.
//
// The index only proposes candidates: its entries may be slightly stale, and the caller ranks the slots again
// exactly.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace cluster_manager {

// Not thread-safe.
class RatioIndex {
 public:
  static constexpr std::size_t kDimensions = 4;
  using Capacities = std::array<double, kDimensions>;

  struct Entry {
    double load = 0;    // not negative
    double weight = 0;  // positive
    Capacities capacity{};
  };

  // Slots must be small numbers: memory is proportional to the largest one.
  void Set(std::uint32_t slot, const Entry& entry);
  void Clear(std::uint32_t slot);
  void Reset();  // removes all entries and releases the memory
  std::size_t size() const { return size_; }
  // Entries and groups examined since the start: the cost of searches, independent of a clock.
  std::uint64_t examined() const { return examined_; }

  // Calls visit(slot) in ascending order of the ratio for the slots of the list that have at least the needed
  // capacity. Returns true once `visit` returns false. Returns false if the list ended first; VisitAscending
  // then starts again from the least slot.
  template <typename Visit>
  bool VisitLeast(double extra, const Capacities& need, Visit visit) {
    if (size_ == 0) return false;
    const std::array<float, kDimensions> least = ToFloats(need);
    if (!HasCapacity(levels_.back()[0], least)) return false;
    LeastList& list = ListFor(static_cast<float>(extra));
    heap_.clear();
    for (int rebuilt = 0; rebuilt < 2; ++rebuilt) {
      std::size_t below = 0;
      for (const std::uint32_t slot : list.slots) {
        const Group& g = levels_[0][slot];
        ++examined_;
        if (!(g.weight > 0) || g.load + list.extra > list.bound * g.weight) continue;
        ++below;
        if (HasCapacity(g, least))
          heap_.push_back({(g.load + static_cast<float>(extra)) / g.weight, 0, slot});
      }
      if (rebuilt == 1 || ((list.complete || below >= kMinBelowBound) && list.slots.size() <= 2 * kListSize))
        break;
      RebuildList(&list);
      heap_.clear();
    }
    std::make_heap(heap_.begin(), heap_.end());
    while (!heap_.empty()) {
      if (!visit(Pop().at)) return true;
    }
    return false;
  }

  // Calls visit(slot) in ascending order of the ratio, for slots with at least `need` in each dimension,
  // until it returns false. `visit` must not change the index.
  template <typename Visit>
  void VisitAscending(double extra, const Capacities& need, Visit visit) {
    if (size_ == 0) return;
    const std::array<float, kDimensions> least = ToFloats(need);
    heap_.clear();
    PushIfEligible(static_cast<std::uint32_t>(levels_.size() - 1), 0, static_cast<float>(extra), least);
    while (!heap_.empty()) {
      const Candidate candidate = Pop();
      if (candidate.level == 0) {
        if (!visit(candidate.at)) return;
        continue;
      }
      const std::uint32_t below = candidate.level - 1;
      const std::uint32_t from = candidate.at * kFanOut;
      const std::uint32_t to =
          std::min<std::uint32_t>(from + kFanOut, static_cast<std::uint32_t>(levels_[below].size()));
      for (std::uint32_t i = from; i < to; ++i) PushIfEligible(below, i, static_cast<float>(extra), least);
    }
  }

 private:
  static constexpr std::uint32_t kFanOut = 8;
  static constexpr float kInfinity = std::numeric_limits<float>::infinity();

  struct Group {  // aggregate of the slots below; a single slot at level 0
    float load = kInfinity, weight = 0;
    std::array<float, kDimensions> capacity{};
    bool operator==(const Group&) const = default;
  };
  static constexpr std::size_t kListSize = 32, kMinBelowBound = 12, kMaxLists = 16;

  struct LeastList {
    float extra = 0, bound = -kInfinity;
    bool complete = false;  // contains all slots
    std::vector<std::uint32_t> slots;
  };
  struct Candidate {
    float ratio;
    std::uint32_t level, at;
    bool operator<(const Candidate& o) const { return ratio > o.ratio || (ratio == o.ratio && at > o.at); }
  };

  void PushIfEligible(std::uint32_t level, std::uint32_t at, float extra,
                      const std::array<float, kDimensions>& need) {
    ++examined_;
    const Group& g = levels_[level][at];
    if (g.weight > 0 && HasCapacity(g, need)) Enqueue({(g.load + extra) / g.weight, level, at});
  }
  static std::array<float, kDimensions> ToFloats(const Capacities& capacities) {
    std::array<float, kDimensions> converted{};
    for (std::size_t i = 0; i < kDimensions; ++i) converted[i] = static_cast<float>(capacities[i]);
    return converted;
  }
  static bool HasCapacity(const Group& g, const std::array<float, kDimensions>& need) {
    bool sufficient = true;
    for (std::size_t i = 0; i < kDimensions; ++i) sufficient = sufficient && g.capacity[i] >= need[i];
    return sufficient;
  }
  LeastList& ListFor(float extra);
  void RebuildList(LeastList* list);
  void Enqueue(const Candidate& candidate);
  Candidate Pop();
  Group Aggregate(std::size_t level, std::size_t at) const;
  void Grow(std::uint32_t slot);
  void Write(std::uint32_t slot, const Group& group);

  std::vector<std::vector<Group>> levels_;  // the last one is the root
  std::vector<Candidate> heap_;
  std::vector<LeastList> lists_;
  std::vector<std::uint16_t> list_membership_;  // by slot, one bit per list
  std::vector<float> ratios_;
  std::size_t size_ = 0;
  std::uint64_t examined_ = 0;
};

}  // namespace cluster_manager
