// This scheduler's view of the nodes: the endpoint list, plus the own placements and task ends that the list
// does not show yet, plus the expected use of the tasks. Owns the node table, the estimate of the list's lag
// and the list of nodes changed since PlacementIndex last read it. Memory use grows with the number of listed
// nodes and own changes.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "scheduling/context.h"
#include "scheduling/node.h"
#include "scheduling/request.h"
#include "scheduling/usage_estimator.h"
#include "scheduling/view_lag.h"

namespace scheduling::internal {

class ClusterView {
 public:
  ClusterView(const Context& context, UsageEstimator& usage) : context_(context), usage_(usage) {}

  Node* Find(NodeId id) const { return table_.Find(id); }  // null if the node is not tracked
  Node* FindOrInsert(NodeId id) { return table_.FindOrInsert(id); }
  Node* AtSlot(std::uint32_t slot) const { return table_.at_slot(slot); }
  const std::vector<Node*>& nodes() const { return table_.ordered(); }  // in order of their ids
  template <typename Predicate>
  void EraseIf(Predicate predicate) {
    table_.EraseIf([&](Node* node) {
      if (!predicate(node)) return false;
      std::erase(changed_, node);
      return true;
    });
  }

  // The index of the node's kind in the settings; the last one for an unknown kind.
  std::size_t KindIndex(const Node& node) const {
    return std::min<std::size_t>(node.entry.kind, context_.settings.kind_cores.size() - 1);
  }
  double Cores(const Node& node) const { return context_.settings.kind_cores[KindIndex(node)]; }
  double Memory(const Node& node) const { return context_.settings.kind_memory[KindIndex(node)]; }
  // Expected use on the node, as in UsageEstimator::Use.
  const Resources& Use(const Node& node) const { return usage_.Use(node); }

  // Recomputes what depends on the node's capacity, use or health. To be called after each change of these.
  void MarkChanged(Node* node);
  // Records an own placement (sign 1) or task end (-1) that the list does not show yet.
  void AddOwnChange(Node* node, const Task& task, double sign);
  // Removes the own changes for which predicate(change) is true.
  template <typename Predicate>
  void RemoveOwnChanges(Node* node, Predicate predicate) {
    std::erase_if(node->own_changes, predicate);
    RecomputeUnlistedChange(node);
    MarkChanged(node);
  }
  // Moves the own changes of a request from one node to another.
  void MoveOwnChanges(Node* from, Node* to, RequestId request);
  // Adds (sign 1) or subtracts (-1) what the request's task requests and uses.
  void RecordUse(Node* node, const Request& request, double sign);

  // Records that the list was received now, so that it shows own changes older than its lag.
  void RecordListUpdate() { list_updated_at_ = context_.now; }
  void UpdateLagEstimate(const Node& node, double change) { lag_.Update(node, change, context_.now); }
  // Removes own changes so old that the list shows them at any possible lag.
  void RemoveListedOwnChanges();

  // Nodes changed since the last ClearChanged; empty while changes are not tracked.
  const std::vector<Node*>& changed() const { return changed_; }
  void TrackChanges(bool on) { tracks_changes_ = on; }
  void ClearChanged() { changed_.clear(); }

 private:
  void RecomputeUnlistedChange(Node* node) const;

  const Context& context_;
  UsageEstimator& usage_;
  NodeTable table_;
  ViewLag lag_;
  Time list_updated_at_ = 0;
  std::vector<Node*> changed_;
  bool tracks_changes_ = false;
};

}  // namespace scheduling::internal
