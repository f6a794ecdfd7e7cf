#include "scheduling/service_placements.h"

#include <algorithm>
#include <iterator>

#include "scheduling/parameters.h"

namespace scheduling::internal {

ServicePlacement& ServicePlacements::At(std::uint64_t service, NodeId node) {
  std::vector<ServicePlacement>& all = services_[service];
  const auto it = std::ranges::find(all, node, &ServicePlacement::node);
  return it != all.end() ? *it : all.emplace_back(ServicePlacement{node, 0, 0});
}

bool ServicePlacements::KeepsProgram(const ServicePlacement& placement) const {
  if (placement.in_flight > 0) return true;
  return placement.ended_at > 0 && context_.now - placement.ended_at < kProgramKeptFor;
}

void ServicePlacements::Select(const Task& task) {
  selected_.clear();
  ++selection_;
  const auto it = services_.find(task.service);
  if (it == services_.end()) return;
  for (const ServicePlacement& placement : it->second) {
    Node* node = view_.Find(placement.node);
    selected_.push_back({&node->entry, placement.in_flight});
    node->selection = selection_;
    node->has_program = KeepsProgram(placement);
  }
}

void ServicePlacements::Expire() {
  for (auto it = services_.begin(); it != services_.end();) {
    std::erase_if(it.value(), [this](const ServicePlacement& placement) {
      return !KeepsProgram(placement) || view_.Find(placement.node) == nullptr;
    });
    it = it->second.empty() ? services_.erase(it) : std::next(it);
  }
  cluster_manager::ShrinkIfSparse(&services_);
}

}  // namespace scheduling::internal
