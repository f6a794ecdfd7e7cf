#include "scheduling/outlier_detector.h"

#include <algorithm>
#include <string>
#include <utility>

#include "scheduling/parameters.h"

namespace scheduling::internal {

void OutlierDetector::RecordFailure(Node* node) {
  constexpr int kMaxDoublings = 8;
  int& failures = node->consecutive_failures;
  if (failures > 0 && node->ejected_until > context_.now) return;
  if (failures == 0) {
    const auto key = [](const Node* other) { return other->key; };
    ejected_.insert(std::ranges::upper_bound(ejected_, node->key, {}, key), node);
    context_.Log("node " + std::to_string(node->entry.node) + " does not answer, set aside");
  }
  const Time duration = std::min<Time>(kMaxEjection, kInitialEjection << std::min(failures, kMaxDoublings));
  ++failures;
  const double jitter = 0.75 + 0.5 * context_.UniformRandom();
  node->ejected_until = context_.now + static_cast<Time>(static_cast<double>(duration) * jitter);
  view_.MarkChanged(node);
}

void OutlierDetector::RecordSuccess(Node* node) {
  if (std::exchange(node->consecutive_failures, 0) == 0) return;
  std::erase(ejected_, node);
  view_.MarkChanged(node);
}

Time OutlierDetector::NextExpiry() const {
  Time next = kNever;
  for (const Node* node : ejected_) {
    if (node->ejected_until > context_.now) next = std::min(next, node->ejected_until);
  }
  return next;
}

}  // namespace scheduling::internal
