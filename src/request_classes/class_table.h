// Assigns positions to the task classes across changes of the settings. A position refers to the same class
// as long as any task uses it, so that a task keeps the class settings it was requested with. Positions of
// inactive classes without tasks are reused, which bounds the table by the number of active classes and of
// classes with tasks.
//
// Owned by Dispatcher; read by ClientFrontend. Not thread-safe.
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
  explicit ClassTable(const scheduling::Settings& initial_settings);

  // The position of the active class with this name; -1 if there is none.
  int FindPosition(std::string_view name) const;
  // The position for a running task that is taken over in a handover: that of the active class with this
  // name, else of a dropped class that had the name, else of the first active class; -1 if there is none.
  // Such a task is not placed again, so that only its resources and its completion matter.
  int PositionForRunningTask(std::string_view name) const;
  // Also for classes that are no longer active. The reference is valid until the next ApplySettings. This and
  // the following functions throw std::out_of_range for an invalid position.
  const std::string& ClassName(int position) const;
  bool is_active(int position) const;
  // Count a task of the class that begins or has ended.
  void AddTask(int position);
  void RemoveTask(int position);

  struct Change {
    scheduling::Settings settings;  // the new settings, with the classes by position
    // For each position, the previous position whose estimates it takes over: itself if the class stays, -1
    // if the class has no predecessor.
    std::vector<int> estimate_sources;
    int added = 0;    // number of classes
    int dropped = 0;  // number of classes
    int changed = 0;  // number of classes
  };
  // Applies new settings, whose classes are in the order of the configuration. Of two classes with the same
  // name the first is used. A class that is unchanged, or that was dropped and returns unchanged, has its
  // previous position. A changed class keeps its position if no task uses it; otherwise it moves to another
  // position, which takes over the estimates of the previous one.
  Change ApplySettings(const scheduling::Settings& new_settings);

  const scheduling::Settings& settings() const { return settings_; }  // as returned by the last ApplySettings
  // The longest deadline of all classes in the table, in nanoseconds; 0 if there is no class.
  scheduling::Time LongestDeadline() const;
  std::size_t size() const { return entries_.size(); }
  std::size_t task_count(int position) const;

 private:
  struct Entry {
    bool active = false;
    std::size_t task_count = 0;
  };
  using Positions = std::map<std::string, int, std::less<>>;
  using ClassList = std::vector<const scheduling::ClassSettings*>;

  const Entry& At(int position) const { return entries_.at(static_cast<std::size_t>(position)); }
  Entry& At(int position) { return entries_.at(static_cast<std::size_t>(position)); }
  bool HasSettings(int position, const scheduling::ClassSettings& class_settings) const;
  int FindInactiveMatch(
      const scheduling::ClassSettings& class_settings) const;  // inactive, with equal settings; -1: none
  int FindUnused() const;                                      // inactive, without tasks; -1: none
  int AddEntry();
  void Activate(int position, const scheduling::ClassSettings& class_settings);
  void ReplaceSettings(const scheduling::Settings& new_settings);
  ClassList ActivateUnchanged(const scheduling::Settings& new_settings, const Positions& previous,
                              Change* change);
  void ActivateInPlace(const Positions& previous, ClassList* remaining);
  void ActivateElsewhere(const Positions& previous, const ClassList& remaining, Change* change);

  scheduling::Settings settings_;
  std::vector<Entry> entries_;  // by position, parallel to settings_.classes
  Positions positions_;         // of the active classes, by name
};

}  // namespace cluster_manager
