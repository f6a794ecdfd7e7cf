#include "backfill/rights.h"

#include "containers/hash.h"

namespace cluster_manager::backfill {

Rights::Part OwnOnly::Of(NodeId node) const {
  // The highest draw has it: as members come or go, only the nodes of those change hands. The configuration
  // says the members, so a change of it needs the order of the budgets: shrinking before growing.
  std::uint32_t first = 0;
  for (std::uint32_t i = 1; i < members_; ++i) {
    if (HashToUnitInterval(node, i) > HashToUnitInterval(node, first)) first = i;
  }
  return first == member_ ? Part::kOwn : Part::kNever;
}

}  // namespace cluster_manager::backfill
