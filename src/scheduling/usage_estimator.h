// Estimates how much of the requested resources tasks use: per class, from task reports, and as a mean over
// own running tasks, which is also assumed for the tasks of other schedulers. Owns both estimates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "scheduling/context.h"
#include "scheduling/node.h"
#include "scheduling/request.h"

namespace scheduling::internal {

class UsageEstimator {
 public:
  explicit UsageEstimator(const Context& context) : context_(context) {}

  // To be called after a change of the settings. `sources` gives for each class the previous index of the
  // class whose estimate it takes over; an index past the previous classes starts from the initial estimate.
  void ResetClasses(const std::vector<std::size_t>& sources);
  // The cores and memory that the task is expected to use.
  Resources ExpectedUse(const Task& task) const;
  // Updates the estimate of the class and the use of the request from a report on its task.
  void RecordReport(const TaskReported& report, Request* request);
  // Adds (sign 1) an own task to the totals or subtracts it (-1).
  void UpdateTotals(double sign, const Resources& requested, const Resources& used);

  // Expected use on the node without its correction by load reports: the recorded use of own tasks, and the
  // mean use for the tasks of others.
  Resources UncorrectedUse(const Node& node) const;
  // Expected use on the node, corrected by load reports. The reference is valid until the node or the mean
  // changes.
  const Resources& Use(const Node& node) const {
    if (node.cached_use_version != version_) {
      const Resources use = UncorrectedUse(node);
      node.cached_use = {use.cores * node.use_correction.cores, use.memory * node.use_correction.memory};
      node.cached_use_version = version_;
    }
    return node.cached_use;
  }
  // Mean use per requested unit of own tasks.
  const Resources& mean() const { return mean_; }

 private:
  struct ClassEstimate {
    static constexpr double kInitialUse = 0.65;  // per requested unit, before the first report

    Resources use{kInitialUse, kInitialUse};  // per requested unit
    Resources report_counts{1, 1};
  };

  // Counts a report and returns its weight in the estimate.
  static double NextReportWeight(double* report_count);

  static constexpr double kMinReportWeight = 0.02;
  static constexpr Time kMemoryGrowthPeriod = 10 * kSecond;  // the memory use of a task grows after its start

  const Context& context_;
  std::vector<ClassEstimate> classes_;
  Resources requested_;  // by own tasks over all nodes
  Resources used_;
  Resources mean_{1, 1};
  std::uint64_t version_ = 1;  // incremented with each change of the mean
};

}  // namespace scheduling::internal
