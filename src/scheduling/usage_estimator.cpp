#include "scheduling/usage_estimator.h"

#include <algorithm>
#include <utility>

namespace scheduling::internal {

void UsageEstimator::ResetClasses(const std::vector<std::size_t>& sources) {
  const std::vector<ClassEstimate> previous = std::exchange(classes_, {});
  for (const std::size_t source : sources) {
    classes_.push_back(source < previous.size() ? previous[source] : ClassEstimate{});
  }
}

Resources UsageEstimator::ExpectedUse(const Task& task) const {
  const Resources& use = classes_[context_.ClassIndex(task)].use;
  return {task.cores * use.cores, task.memory * use.memory};
}

double UsageEstimator::NextReportWeight(double* report_count) {
  return std::max(kMinReportWeight, 1 / ++*report_count);
}

void UsageEstimator::RecordReport(const TaskReported& report, Request* request) {
  const Task& task = request->task;
  ClassEstimate& estimate = classes_[context_.ClassIndex(task)];
  if (report.kind == TaskReportKind::kCoresUsed && task.cores > 0) {
    const double weight = NextReportWeight(&estimate.report_counts.cores);
    estimate.use.cores += weight * (report.level / task.cores - estimate.use.cores);
    request->use.cores = report.level;
  } else if (report.kind == TaskReportKind::kMemoryUsed && task.memory > 0) {
    const bool growing = context_.now - request->sent_at < kMemoryGrowthPeriod;
    if (!growing) {
      const double weight = NextReportWeight(&estimate.report_counts.memory);
      estimate.use.memory += weight * (report.level / task.memory - estimate.use.memory);
    }
    request->use.memory = growing ? std::max(report.level, ExpectedUse(task).memory) : report.level;
  }
}

void UsageEstimator::UpdateTotals(double sign, const Resources& requested, const Resources& used) {
  requested_.AddScaled(sign, requested);
  used_.AddScaled(sign, used);
  mean_ = {requested_.cores > 0 ? used_.cores / requested_.cores : 1,
           requested_.memory > 0 ? used_.memory / requested_.memory : 1};
  ++version_;
}

Resources UsageEstimator::UncorrectedUse(const Node& node) const {
  const Resources& own = node.own_requested;
  return {node.own_used.cores + std::max(0.0, node.requested.cores - own.cores) * mean_.cores,
          node.own_used.memory + std::max(0.0, node.requested.memory - own.memory) * mean_.memory};
}

}  // namespace scheduling::internal
