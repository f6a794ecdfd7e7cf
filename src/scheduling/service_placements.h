// Tracks on which nodes the own tasks of each service run or have recently run, so that those nodes still
// have the service's program. Owns that table and the selection, which is the set of nodes of one selected
// service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "containers/hash.h"
#include "scheduling/cluster_view.h"
#include "scheduling/context.h"

namespace scheduling::internal {

// A node on which tasks of a service run or have run.
struct ServicePlacement {
  NodeId node = 0;
  int in_flight = 0;  // own attempts and running tasks on the node
  Time ended_at = 0;  // when the last running task ended; 0: none has ended
};

// A node of the selected service. `entry` is valid until the node is erased.
struct SelectedNode {
  const NodeEntry* entry;
  int in_flight;
};

class ServicePlacements {
 public:
  ServicePlacements(const Context& context, const ClusterView& view) : context_(context), view_(view) {}

  std::size_t size() const { return services_.size(); }  // number of services
  // The reference is valid until the next call.
  ServicePlacement& FindOrInsert(std::uint64_t service, NodeId node);
  // Whether the node still has the service's program: a task is in flight or ended less than
  // kProgramRetention ago.
  bool RetainsProgram(const ServicePlacement& placement) const;
  // Selects the task's service for selected, IsSelected and HasProgram.
  void SelectService(const Task& task);
  const std::vector<SelectedNode>& selected() const { return selected_; }
  bool IsSelected(const Node& node) const { return node.selection == selection_; }
  bool HasProgram(const Node& node) const { return IsSelected(node) && node.has_program; }
  // Removes nodes that are not tracked any more or no longer have the program.
  void Expire();

 private:
  const Context& context_;
  const ClusterView& view_;
  cluster_manager::NumberMap<std::uint64_t, std::vector<ServicePlacement>> services_;
  std::vector<SelectedNode> selected_;
  std::uint64_t selection_ = 0;  // number of the current selection
};

}  // namespace scheduling::internal
