#include "scheduling/health_check_scheduler.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "scheduling/parameters.h"

namespace scheduling::internal {
namespace {

// Moves the correction of an estimate towards the reported value. Small estimates are ignored, since their
// ratio to the reported value is unreliable.
void AdjustCorrection(double reported, double expected, double* correction) {
  constexpr double kStep = 0.5;
  constexpr double kMinCorrection = 0.8;
  constexpr double kMaxCorrection = 3;
  constexpr double kMinExpected = 0.1;
  if (expected < kMinExpected) return;
  *correction += kStep * (std::clamp(reported / expected, kMinCorrection, kMaxCorrection) - *correction);
}

}  // namespace

void HealthCheckScheduler::Start() {
  next_at_ = context_.now + context_.settings.scheduler_index * kHealthCheckInterval;
}

void HealthCheckScheduler::StartCheck(Node* node) {
  if (!std::exchange(node->check_pending, true)) {
    context_.actions.emplace_back(CheckNodeHealth{node->entry.node});
  }
}

void HealthCheckScheduler::CheckEjectedNodes() {
  for (Node* node : std::vector<Node*>(outliers_.ejected())) {
    if (node->ejected_until > context_.now || !node->IsReady()) continue;
    if (context_.settings.allows_health_checks) {
      StartCheck(node);
    } else {
      outliers_.RecordSuccess(node);
    }
  }
}

void HealthCheckScheduler::CheckNextNode() {
  const Settings& settings = context_.settings;
  if (!settings.allows_health_checks || context_.now < next_at_) return;
  next_at_ = context_.now + kHealthCheckInterval * settings.scheduler_count;
  started_ = true;
  // The round is derived from the common clock, so that the schedulers of a round check the same node.
  const int checkers = std::min(settings.scheduler_count, kSchedulersPerCheckRound);
  const Time round = context_.now / (kHealthCheckInterval * checkers);
  const std::vector<Node*>& nodes = view_.nodes();
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    Node* node = nodes[(static_cast<std::size_t>(round) + i) % nodes.size()];
    if (!node->IsHealthy()) continue;
    StartCheck(node);
    return;
  }
}

void HealthCheckScheduler::Handle(const HealthCheckCompleted& event) {
  Node* node = view_.Find(event.node);
  if (node == nullptr) return;
  node->check_pending = false;
  if (event.outcome != Outcome::kOk) {
    outliers_.RecordFailure(node);
    return;
  }
  outliers_.RecordSuccess(node);
  ApplyReport(node, event.report);
  view_.MarkChanged(node);
}

void HealthCheckScheduler::ApplyReport(Node* node, const LoadReport& report) const {
  const auto& [value, present] = report;
  const bool reports_use = context_.settings.reports_actual_use;
  const Resources expected = usage_.UncorrectedUse(*node);
  const Resources total{view_.Cores(*node), view_.Memory(*node)};
  Resources* correction = &node->use_correction;
  if (present[LoadReport::kCpuLoad]) {
    AdjustCorrection(value[LoadReport::kCpuLoad], expected.cores / total.cores, &correction->cores);
  } else if (reports_use && present[LoadReport::kFreeCores]) {
    AdjustCorrection(1 - value[LoadReport::kFreeCores] / total.cores, expected.cores / total.cores,
                     &correction->cores);
  }
  if (reports_use && present[LoadReport::kFreeMemory]) {
    const double used = 1 - value[LoadReport::kFreeMemory] / total.memory;
    AdjustCorrection(used, expected.memory / total.memory, &correction->memory);
  }
}

}  // namespace scheduling::internal
