#include "request_classes/class_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cluster_manager {
namespace {

using scheduling::ClassSettings;
using scheduling::Settings;

template <typename Positions>
int PositionIn(const Positions& positions, std::string_view name) {
  const auto it = positions.find(name);
  return it == positions.end() ? -1 : it->second;
}

}  // namespace

ClassTable::ClassTable(const Settings& initial_settings)
    : settings_(initial_settings), entries_(initial_settings.classes.size()) {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    entries_[i].active = positions_.emplace(initial_settings.classes[i].name, static_cast<int>(i)).second;
  }
}

scheduling::Time ClassTable::LongestDeadline() const {
  scheduling::Time longest = 0;
  for (const ClassSettings& each : settings_.classes) longest = std::max(longest, each.deadline);
  return longest;
}

int ClassTable::FindPosition(std::string_view name) const { return PositionIn(positions_, name); }

int ClassTable::PositionForRunningTask(std::string_view name) const {
  if (const int position = FindPosition(name); position >= 0) return position;
  int first_active = -1;
  for (std::size_t i = entries_.size(); i-- > 0;) {
    if (settings_.classes[i].name == name) return static_cast<int>(i);
    if (entries_[i].active) first_active = static_cast<int>(i);
  }
  return first_active;
}

const std::string& ClassTable::ClassName(int position) const {
  return settings_.classes.at(static_cast<std::size_t>(position)).name;
}

bool ClassTable::is_active(int position) const { return At(position).active; }

void ClassTable::AddTask(int position) { ++At(position).task_count; }

void ClassTable::RemoveTask(int position) {
  Entry& entry = At(position);
  if (entry.task_count > 0) --entry.task_count;
}

std::size_t ClassTable::task_count(int position) const { return At(position).task_count; }

bool ClassTable::HasSettings(int position, const ClassSettings& class_settings) const {
  return position >= 0 && settings_.classes[static_cast<std::size_t>(position)] == class_settings;
}

int ClassTable::FindInactiveMatch(const ClassSettings& class_settings) const {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const int position = static_cast<int>(i);
    if (!entries_[i].active && HasSettings(position, class_settings)) return position;
  }
  return -1;
}

int ClassTable::FindUnused() const {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (!entries_[i].active && entries_[i].task_count == 0) return static_cast<int>(i);
  }
  return -1;
}

int ClassTable::AddEntry() {
  entries_.emplace_back();
  settings_.classes.emplace_back();
  return static_cast<int>(entries_.size()) - 1;
}

void ClassTable::Activate(int position, const ClassSettings& class_settings) {
  settings_.classes[static_cast<std::size_t>(position)] = class_settings;
  At(position).active = true;
  positions_.emplace(class_settings.name, position);
}

ClassTable::Change ClassTable::ApplySettings(const Settings& new_settings) {
  Change change;
  change.estimate_sources.resize(entries_.size());
  std::iota(change.estimate_sources.begin(), change.estimate_sources.end(), 0);
  const Positions previous = std::exchange(positions_, {});
  for (const auto& [name, position] : previous) At(position).active = false;
  ReplaceSettings(new_settings);
  // Classes that keep their position come first, since the others may take any unused position.
  ClassList remaining = ActivateUnchanged(new_settings, previous, &change);
  ActivateInPlace(previous, &remaining);
  ActivateElsewhere(previous, remaining, &change);
  for (const auto& [name, position] : previous) change.dropped += positions_.contains(name) ? 0 : 1;
  change.settings = settings_;
  return change;
}

// Replaces everything except the classes.
void ClassTable::ReplaceSettings(const Settings& new_settings) {
  std::vector<ClassSettings> classes = std::move(settings_.classes);
  settings_ = new_settings;
  settings_.classes = std::move(classes);
}

// Activates the classes that have a position with equal settings. Returns the others.
ClassTable::ClassList ClassTable::ActivateUnchanged(const Settings& new_settings, const Positions& previous,
                                                    Change* change) {
  ClassList remaining;
  std::set<std::string_view> seen;
  for (const ClassSettings& each : new_settings.classes) {
    if (!seen.insert(each.name).second) continue;
    const int old_position = PositionIn(previous, each.name);
    const bool unchanged = HasSettings(old_position, each);
    if (old_position < 0) ++change->added;
    if (old_position >= 0 && !unchanged) ++change->changed;
    const int position = unchanged ? old_position : FindInactiveMatch(each);
    if (position >= 0) {
      Activate(position, each);
    } else {
      remaining.push_back(&each);
    }
  }
  return remaining;
}

void ClassTable::ActivateInPlace(const Positions& previous, ClassList* remaining) {
  std::erase_if(*remaining, [&](const ClassSettings* each) {
    const int old_position = PositionIn(previous, each->name);
    if (old_position < 0 || At(old_position).task_count > 0) return false;
    Activate(old_position, *each);
    return true;
  });
}

void ClassTable::ActivateElsewhere(const Positions& previous, const ClassList& remaining, Change* change) {
  for (const ClassSettings* each : remaining) {
    int position = FindUnused();
    if (position < 0) position = AddEntry();
    change->estimate_sources.resize(entries_.size(), -1);
    Activate(position, *each);
    change->estimate_sources[static_cast<std::size_t>(position)] = PositionIn(previous, each->name);
  }
}

}  // namespace cluster_manager
