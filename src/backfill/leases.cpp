#include "backfill/leases.h"

#include "containers/hash.h"

namespace cluster_manager::backfill {

Leases::Access GuaranteedLeases::AccessTo(NodeId node) const {
  // Rendezvous hashing: the member with the highest draw owns the node, so that only the nodes of members
  // that are added or removed change hands. The members come from the configuration; a change of them has to
  // follow the order that applies to budgets: shrink shares before growing others.
  std::uint32_t first = 0;
  for (std::uint32_t i = 1; i < members_; ++i) {
    if (HashToUnitInterval(node, i) > HashToUnitInterval(node, first)) first = i;
  }
  return first == member_ ? Access::kGuaranteed : Access::kUnavailable;
}

}  // namespace cluster_manager::backfill
