#include "request_classes/class_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cluster_manager {
namespace {

using scheduling::ClassSettings;
using scheduling::Settings;

template <typename Positions>
int Find(const Positions& positions, std::string_view name) {
  const auto it = positions.find(name);
  return it == positions.end() ? -1 : it->second;
}

}  // namespace

ClassTable::ClassTable(const Settings& first) : settings_(first), entries_(first.classes.size()) {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    entries_[i].in_force = positions_.emplace(first.classes[i].name, static_cast<int>(i)).second;
  }
}

scheduling::Time ClassTable::LongestDeadline() const {
  scheduling::Time longest = 0;
  for (const ClassSettings& each : settings_.classes) longest = std::max(longest, each.deadline);
  return longest;
}

int ClassTable::Position(std::string_view name) const { return Find(positions_, name); }

int ClassTable::ForRunningTask(std::string_view name) const {
  if (const int position = Position(name); position >= 0) return position;
  int first_in_force = -1;
  for (std::size_t i = entries_.size(); i-- > 0;) {
    if (settings_.classes[i].name == name) return static_cast<int>(i);
    if (entries_[i].in_force) first_in_force = static_cast<int>(i);
  }
  return first_in_force;
}

const std::string& ClassTable::NameOf(int position) const {
  return settings_.classes.at(static_cast<std::size_t>(position)).name;
}

bool ClassTable::in_force(int position) const { return At(position).in_force; }

void ClassTable::Use(int position) { ++At(position).tasks; }

void ClassTable::Done(int position) {
  Entry& entry = At(position);
  if (entry.tasks > 0) --entry.tasks;
}

std::size_t ClassTable::in_use(int position) const { return At(position).tasks; }

bool ClassTable::IsSame(int position, const ClassSettings& fresh) const {
  return position >= 0 && settings_.classes[static_cast<std::size_t>(position)] == fresh;
}

int ClassTable::FindSame(const ClassSettings& fresh) const {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const int position = static_cast<int>(i);
    if (!entries_[i].in_force && IsSame(position, fresh)) return position;
  }
  return -1;
}

int ClassTable::FindFree() const {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (!entries_[i].in_force && entries_[i].tasks == 0) return static_cast<int>(i);
  }
  return -1;
}

int ClassTable::AddEntry() {
  entries_.emplace_back();
  settings_.classes.emplace_back();
  return static_cast<int>(entries_.size()) - 1;
}

void ClassTable::Enter(int position, const ClassSettings& fresh) {
  settings_.classes[static_cast<std::size_t>(position)] = fresh;
  At(position).in_force = true;
  positions_.emplace(fresh.name, position);
}

ClassTable::Change ClassTable::Apply(const Settings& fresh) {
  Change change;
  change.estimate_sources.resize(entries_.size());
  std::iota(change.estimate_sources.begin(), change.estimate_sources.end(), 0);
  const Positions before = std::exchange(positions_, {});
  for (const auto& [name, position] : before) At(position).in_force = false;
  ReplaceSettings(fresh);
  // Unchanged classes first, then those that can keep their position: the others may take any free one.
  ClassList remaining = EnterUnchanged(fresh, before, &change);
  EnterInPlace(before, &remaining);
  EnterElsewhere(before, remaining, &change);
  for (const auto& [name, position] : before) change.dropped += positions_.contains(name) ? 0 : 1;
  change.settings = settings_;
  return change;
}

// All but the classes.
void ClassTable::ReplaceSettings(const Settings& fresh) {
  std::vector<ClassSettings> classes = std::move(settings_.classes);
  settings_ = fresh;
  settings_.classes = std::move(classes);
}

// Returns the classes that are new or changed.
ClassTable::ClassList ClassTable::EnterUnchanged(const Settings& fresh, const Positions& before,
                                                 Change* change) {
  ClassList remaining;
  std::set<std::string_view> seen;
  for (const ClassSettings& each : fresh.classes) {
    if (!seen.insert(each.name).second) continue;
    const int old = Find(before, each.name);
    const bool unchanged = IsSame(old, each);
    if (old < 0) ++change->added;
    if (old >= 0 && !unchanged) ++change->changed;
    const int position = unchanged ? old : FindSame(each);
    if (position >= 0) {
      Enter(position, each);
    } else {
      remaining.push_back(&each);
    }
  }
  return remaining;
}

void ClassTable::EnterInPlace(const Positions& before, ClassList* remaining) {
  std::erase_if(*remaining, [&](const ClassSettings* each) {
    const int old = Find(before, each->name);
    if (old < 0 || At(old).tasks > 0) return false;
    Enter(old, *each);
    return true;
  });
}

void ClassTable::EnterElsewhere(const Positions& before, const ClassList& remaining, Change* change) {
  for (const ClassSettings* each : remaining) {
    int position = FindFree();
    if (position < 0) position = AddEntry();
    change->estimate_sources.resize(entries_.size(), -1);
    Enter(position, *each);
    change->estimate_sources[static_cast<std::size_t>(position)] = Find(before, each->name);
  }
}

}  // namespace cluster_manager
