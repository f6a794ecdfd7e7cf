#include "scheduling/service_placements.h"

#include <algorithm>
#include <iterator>

#include "scheduling/parameters.h"

namespace scheduling::internal {

ServicePlacement& ServicePlacements::FindOrInsert(std::uint64_t service, NodeId node) {
  std::vector<ServicePlacement>& placements = services_[service];
  const auto it = std::ranges::find(placements, node, &ServicePlacement::node);
  return it != placements.end() ? *it : placements.emplace_back(ServicePlacement{node, 0, 0});
}

bool ServicePlacements::RetainsProgram(const ServicePlacement& placement) const {
  if (placement.in_flight > 0) return true;
  return placement.ended_at > 0 && context_.now - placement.ended_at < kProgramRetention;
}

void ServicePlacements::SelectService(const Task& task) {
  selected_.clear();
  ++selection_;
  const auto it = services_.find(task.service);
  if (it == services_.end()) return;
  for (const ServicePlacement& placement : it->second) {
    Node* node = view_.Find(placement.node);
    selected_.push_back({&node->entry, placement.in_flight});
    node->selection = selection_;
    node->has_program = RetainsProgram(placement);
  }
}

void ServicePlacements::Expire() {
  for (auto it = services_.begin(); it != services_.end();) {
    std::erase_if(it.value(), [this](const ServicePlacement& placement) {
      return !RetainsProgram(placement) || view_.Find(placement.node) == nullptr;
    });
    it = it->second.empty() ? services_.erase(it) : std::next(it);
  }
  cluster_manager::ShrinkIfSparse(&services_);
}

}  // namespace scheduling::internal
