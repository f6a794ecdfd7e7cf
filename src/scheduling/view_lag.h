// Estimates how far the endpoint list lags behind the state of the nodes. The candidates are kSteps multiples
// of kStep: each change of a node's free cores in the list is compared with the change that each candidate
// lag predicts from the own changes, and the candidate with the least decayed error is used. Owned by
// ClusterView.
#pragma once

#include <array>

#include "scheduling/node.h"

namespace scheduling::internal {

class ViewLag {
 public:
  static constexpr Time kStep = 125 * kMs;
  static constexpr int kSteps = 16;
  static constexpr Time kMax = kSteps * kStep;

  Time value() const { return value_; }  // nanoseconds
  // Updates the estimate with a list entry that shows `change` more free cores on the node than the one
  // before.
  void Update(const Node& node, double change, Time now);

 private:
  static constexpr int kInitialSteps = 4;
  static constexpr double kDecay = 0.99;  // factor on earlier errors per update

  Time value_ = kInitialSteps * kStep;
  std::array<double, kSteps> errors_{};
};

}  // namespace scheduling::internal
