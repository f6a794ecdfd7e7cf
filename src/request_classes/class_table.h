// The task classes by position, across changes of the settings. A position names the same class for as long
// as any task uses it, so that a task keeps the class settings it was requested with. Positions of classes
// that are out of force and unused are reused, which bounds the table by the classes in force and in use.
//
// Owned by Dispatcher; ClientFrontend reads it. Used on one thread.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "scheduling/scheduler.h"

namespace cluster_manager {

class ClassTable {
 public:
  explicit ClassTable(const scheduling::Settings& first);

  // The position of the class in force under that name; -1: none.
  int Position(std::string_view name) const;
  // The position for a running task that is handed over: of the class in force under that name, else of one
  // dropped that had the name, else of the first in force; -1: none. Such a task is not placed again, so that
  // only its resources and its completion count.
  int ForRunningTask(std::string_view name) const;
  // Also of classes no longer in force. Valid until the next Apply.
  const std::string& NameOf(int position) const;
  bool in_force(int position) const;
  // Count the tasks of a class: one begins, or is over. All of these throw std::out_of_range for a position
  // that is none.
  void Use(int position);
  void Done(int position);

  struct Change {
    scheduling::Settings settings;  // the new ones, with the classes by position
    // For each position, the one whose statistics it starts from, as they were before the change: itself
    // where it goes on, -1 where a class has no predecessor.
    std::vector<int> estimate_sources;
    int added = 0;    // classes
    int dropped = 0;  // classes
    int changed = 0;  // classes
  };
  // Takes new settings with the classes in the file's order; of two with one name the first counts. A class
  // that is unchanged, or that was dropped and returns unchanged, has its old position. A changed one keeps
  // its position where no task uses it, else it moves and starts from the statistics of the old position.
  Change Apply(const scheduling::Settings& fresh);

  const scheduling::Settings& settings() const { return settings_; }  // as in the last change
  // Of the classes of the last change, in nanoseconds; 0 where there is none.
  scheduling::Time LongestDeadline() const;
  std::size_t size() const { return entries_.size(); }
  std::size_t in_use(int position) const;  // tasks

 private:
  struct Entry {
    bool in_force = false;
    std::size_t tasks = 0;
  };
  using Positions = std::map<std::string, int, std::less<>>;
  using ClassList = std::vector<const scheduling::ClassSettings*>;

  const Entry& At(int position) const { return entries_.at(static_cast<std::size_t>(position)); }
  Entry& At(int position) { return entries_.at(static_cast<std::size_t>(position)); }
  bool IsSame(int position, const scheduling::ClassSettings& fresh) const;
  int FindSame(const scheduling::ClassSettings& fresh) const;  // out of force and unchanged; -1: none
  int FindFree() const;                                        // out of force and unused; -1: none
  int AddEntry();
  void Enter(int position, const scheduling::ClassSettings& fresh);
  void ReplaceSettings(const scheduling::Settings& fresh);
  ClassList EnterUnchanged(const scheduling::Settings& fresh, const Positions& before, Change* change);
  void EnterInPlace(const Positions& before, ClassList* remaining);
  void EnterElsewhere(const Positions& before, const ClassList& remaining, Change* change);

  scheduling::Settings settings_;
  std::vector<Entry> entries_;  // by position, as settings_.classes
  Positions positions_;         // of the classes in force
};

}  // namespace cluster_manager
