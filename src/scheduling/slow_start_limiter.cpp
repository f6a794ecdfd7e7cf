#include "scheduling/slow_start_limiter.h"

#include <iterator>
#include <vector>

#include "scheduling/parameters.h"

namespace scheduling::internal {

Time SlowStartLimiter::Window() const {
  const double window = static_cast<double>(context_.settings.overload_window);
  return 1 + static_cast<Time>(kOverloadWindowMargin * window);
}

double SlowStartLimiter::Speed(const Node& node) const {
  if (!IsWarmingUp(node)) return 1;
  const Settings& settings = context_.settings;
  const double age = static_cast<double>(context_.now - node.entry.started_at) /
                     static_cast<double>(settings.slow_start_duration);
  return settings.slow_start_initial_speed + (1 - settings.slow_start_initial_speed) * age;
}

bool SlowStartLimiter::HasExtraSend(const Node& node, std::int64_t remainder, Time window) const {
  const std::int64_t count = context_.settings.scheduler_count;
  const std::int64_t slot = context_.now * kSlotsPerWindow / window;
  const std::int64_t first = slot * remainder / (kSlotsPerWindow + 1);
  const std::int64_t next = (slot + 1) * remainder / (kSlotsPerWindow + 1);
  const std::int64_t position =
      (context_.settings.scheduler_index + count - (first + node.entry.node) % count) % count;
  return position < next - first;
}

bool SlowStartLimiter::Allows(Node* node) const {
  if (!IsWarmingUp(*node)) return true;
  const Settings& settings = context_.settings;
  if (context_.shutdown_at != kNever || settings.scheduler_index >= settings.scheduler_count) return false;
  const Time now = context_.now;
  const Time window = Window();
  if (node->entry.started_at <= context_.started_at && now - context_.started_at < window) return false;
  std::erase_if(node->recent_sends, [&](Time sent) { return sent + window <= now; });
  const std::int64_t limit = static_cast<std::int64_t>(settings.slow_start_sends);
  const std::int64_t share = limit / settings.scheduler_count;
  const std::int64_t remainder = limit % settings.scheduler_count;
  return std::ssize(node->recent_sends) < share + (HasExtraSend(*node, remainder, window) ? 1 : 0);
}

}  // namespace scheduling::internal
