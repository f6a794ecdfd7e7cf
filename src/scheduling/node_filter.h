// Decides which nodes may run a task, and which of them are preferred. Combines all constraints; owns only
// the count of examined nodes. Called by NodeSelector.
#pragma once

#include <cstdint>

#include "scheduling/capacity_filter.h"
#include "scheduling/context.h"
#include "scheduling/reserved_nodes.h"
#include "scheduling/retry_policy.h"
#include "scheduling/slow_start_limiter.h"
#include "scheduling/spread_constraint.h"

namespace scheduling::internal {

class NodeFilter {
 public:
  NodeFilter(const Context& context, const CapacityFilter& capacity, const ReservedNodes& reserved,
             const RetryPolicy& retry, const SlowStartLimiter& slow_start, const SpreadConstraint& spread)
      : context_(context),
        capacity_(capacity),
        reserved_(reserved),
        retry_(retry),
        slow_start_(slow_start),
        spread_(spread) {}

  // Whether the node may run the task of the request.
  bool Allows(Node* node, const Request& request);
  // For an allowed node: whether the task and the tasks on the node would run without degradation.
  bool Prefers(const Node& node, const Request& request) const;
  // The number of nodes examined since construction.
  std::uint64_t examined() const { return examined_; }

 private:
  static bool HasFailedOn(const Node& node, const Request& request);

  const Context& context_;
  const CapacityFilter& capacity_;
  const ReservedNodes& reserved_;
  const RetryPolicy& retry_;
  const SlowStartLimiter& slow_start_;
  const SpreadConstraint& spread_;
  std::uint64_t examined_ = 0;
};

}  // namespace scheduling::internal
