#include "scheduling/reserved_nodes.h"

#include <utility>

namespace scheduling::internal {

void ReservedNodes::ResetClasses(const std::vector<std::size_t>& sources) {
  const std::vector<Reservation> previous = std::exchange(classes_, {});
  for (std::size_t i = 0; i < sources.size(); ++i) {
    const std::size_t source = sources[i];
    classes_.push_back(source < previous.size() ? previous[source]
                                                : InitialReservation(context_.settings.classes[i]));
  }
}

ReservedNodes::Reservation ReservedNodes::InitialReservation(const ClassSettings& settings) const {
  const Settings& scheduler_settings = context_.settings;
  Reservation reservation;
  const std::size_t kind = settings.required_node_kind;
  if (kind < scheduler_settings.kind_cores.size()) {
    reservation.largest = {kInitialLargestTask * scheduler_settings.kind_cores[kind],
                           kInitialLargestTask * scheduler_settings.kind_memory[kind]};
  }
  return reservation;
}

bool ReservedNodes::IsLarge(const Task& task) const {
  return task.cores > kLargeTaskFactor * context_.settings.mean_cores ||
         task.memory > kLargeTaskFactor * context_.settings.mean_memory;
}

void ReservedNodes::RecordTaskSize(const Task& task) {
  Reservation& reservation = classes_[context_.ClassIndex(task)];
  Resources& largest = reservation.largest;
  if (std::exchange(reservation.is_guess, false)) largest = {};
  if (IsLarge(task)) largest = {std::max(largest.cores, task.cores), std::max(largest.memory, task.memory)};
}

void ReservedNodes::Assign() {
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    Reservation& reservation = classes_[i];
    const int kind = context_.settings.classes[i].required_node_kind;
    double most_slots = -kNoLimit;
    if (reservation.largest.cores <= 0) continue;
    for (const Node* node : view_.nodes()) {
      if (!node->IsHealthy() || (kind >= 0 && kind != node->entry.kind)) continue;
      const double slots = capacity_.Slots(*node, reservation.largest, {0, 0});
      if (slots > most_slots) reservation.node = node->entry.node;
      most_slots = std::max(most_slots, slots);
    }
  }
}

bool ReservedNodes::NeedsReservedCapacity(const Node& node, const Task& task) const {
  if (IsLarge(task)) return false;
  return std::ranges::any_of(classes_, [&](const Reservation& reservation) {
    return reservation.node == node.entry.node && reservation.largest.cores > 0 &&
           capacity_.Slots(node, reservation.largest, {task.cores, task.memory}) < 1;
  });
}

}  // namespace scheduling::internal
