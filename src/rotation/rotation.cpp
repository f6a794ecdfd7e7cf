#include "rotation/rotation.h"

#include <algorithm>

namespace willowrail {

bool Rotation::TakeOut(const std::string& id) {
  if (!out_.insert(id).second) return false;
  out_nodes_.insert(number_(id));
  back_.erase(number_(id));
  return true;
}

bool Rotation::BringBack(const std::string& id, Time now) {
  if (out_.erase(id) == 0) return false;
  out_nodes_.erase(number_(id));
  back_[number_(id)] = now;
  return true;
}

passbridge::NodeEntry Rotation::AsDecided(passbridge::NodeEntry entry) const {
  if (out_nodes_.contains(entry.node) && entry.state == passbridge::NodeState::kReady) {
    entry.state = passbridge::NodeState::kDraining;
  }
  if (const auto back = back_.find(entry.node); back != back_.end()) {
    entry.came_up = std::max(entry.came_up, back->second);
  }
  return entry;
}

std::string Rotation::Write() const {
  std::string text;
  for (const std::string& id : out_) text += id + "\n";
  return text;
}

std::vector<Rotation::NodeId> Rotation::Read(std::string_view text, Time now) {
  std::set<std::string> told;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) break;  // cut short: not an id
    if (end > 0) told.emplace(text.substr(0, end));
    text.remove_prefix(end + 1);
  }
  std::vector<NodeId> changed;
  for (const std::string& id : std::vector<std::string>(out_.begin(), out_.end())) {
    if (!told.contains(id) && BringBack(id, now)) changed.push_back(number_(id));
  }
  for (const std::string& id : told) {
    if (TakeOut(id)) changed.push_back(number_(id));
  }
  return changed;
}

}  // namespace willowrail
