#include "nodes/descriptor_budget.h"

#include <algorithm>

namespace cluster_manager {
namespace {

constexpr int kSpareDescriptors = 16;  // for the listener, the discovery stream, the loop and files

}  // namespace

std::size_t DescriptorBudget::Reserved() const {
  return static_cast<std::size_t>(std::max(limit_ * 3 / 8 - kSpareDescriptors, 1));
}

std::size_t DescriptorBudget::MaxConnections() const {
  const std::size_t usable = static_cast<std::size_t>(std::max(limit_ - kSpareDescriptors, 1));
  const std::size_t unused = usable - std::min(usable, client_count_());
  const std::size_t guaranteed_to_clients = static_cast<std::size_t>(limit_) / 3;
  return std::max(Reserved(), std::min(unused, usable - std::min(usable, guaranteed_to_clients)));
}

}  // namespace cluster_manager
