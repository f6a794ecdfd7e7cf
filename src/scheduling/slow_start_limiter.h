// Limits the attempts on nodes that are warming up after their start, so that all schedulers together send no
// more attempts in an overload window than such a node can take. docs/design/slow-start-budget.md has the
// proof of the bound. The recent sends of each node are kept in its record. Called by NodeFilter, NodeScorer
// and RequestLifecycle.
#pragma once

#include <cstdint>

#include "scheduling/context.h"
#include "scheduling/node.h"

namespace scheduling::internal {

class SlowStartLimiter {
 public:
  explicit SlowStartLimiter(const Context& context) : context_(context) {}

  // The overload window with its margin, nanoseconds.
  Time Window() const;
  // Whether the node started less than the slow-start duration ago.
  bool IsWarmingUp(const Node& node) const {
    return node.entry.started_at > 0 &&
           context_.now - node.entry.started_at < context_.settings.slow_start_duration;
  }
  // The expected speed of the node as a share of its full speed.
  double Speed(const Node& node) const;
  // Whether this scheduler's share of the limit allows one more attempt now. A process that has just started
  // waits one window, because it does not know what its predecessor sent. A process that is shutting down
  // sends nothing and leaves its share to its successor.
  bool Allows(Node* node) const;
  void RecordSend(Node* node) const {
    if (IsWarmingUp(*node)) node->recent_sends.push_back(context_.now);
  }
  // Whether the window may still contain an attempt sent to the node.
  bool HasRecentSends(const Node& node) const {
    return !node.recent_sends.empty() && context_.now - node.recent_sends.back() < Window();
  }

 private:
  // Whether this scheduler may send one attempt more than its whole share in the current slot. The
  // `remainder` of the division into equal whole shares rotates over the schedulers by slots of the common
  // clock. Each slot gets the part 1 / (kSlotsPerWindow + 1) of it, since a window overlaps at most that many
  // slots.
  bool HasExtraSend(const Node& node, std::int64_t remainder, Time window) const;

  const Context& context_;
};

}  // namespace scheduling::internal
