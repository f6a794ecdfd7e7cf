#include "node_suspension/node_suspensions.h"

#include <algorithm>

namespace cluster_manager {

bool NodeSuspensions::SetSuspended(const std::string& uid, bool suspended, Time now) {
  const bool changed = suspended ? suspended_uids_.insert(uid).second : suspended_uids_.erase(uid) > 0;
  if (!changed) return false;
  const NodeId node = node_id_of_uid_(uid);
  if (suspended) {
    suspended_nodes_.insert(node);
    resumed_at_.erase(node);
  } else {
    suspended_nodes_.erase(node);
    resumed_at_[node] = now;
  }
  return true;
}

bool NodeSuspensions::Suspend(const std::string& uid) {
  pending_calls_[uid] = {++last_call_, true};
  return SetSuspended(uid, true, 0);
}

bool NodeSuspensions::Resume(const std::string& uid, Time now) {
  pending_calls_[uid] = {++last_call_, false};
  return SetSuspended(uid, false, now);
}

scheduling::NodeEntry NodeSuspensions::ApplyTo(scheduling::NodeEntry entry) const {
  if (suspended_nodes_.contains(entry.node) && entry.state == scheduling::NodeState::kReady) {
    entry.state = scheduling::NodeState::kDraining;
  }
  if (const auto resumed = resumed_at_.find(entry.node); resumed != resumed_at_.end()) {
    entry.started_at = std::max(entry.started_at, resumed->second);
  }
  return entry;
}

NodeSuspensions::Uids NodeSuspensions::ParseUids(std::string_view text) {
  Uids uids;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) break;  // the last line is incomplete and ignored
    if (end > 0) uids.emplace(text.substr(0, end));
    text.remove_prefix(end + 1);
  }
  return uids;
}

void NodeSuspensions::ApplyCalls(const CallsByUid& calls, Uids* uids) {
  for (const auto& [uid, call] : calls) {
    if (call.suspend) {
      uids->insert(uid);
    } else {
      uids->erase(uid);
    }
  }
}

NodeSuspensions::TextChange NodeSuspensions::PendingChange() const {
  return [calls = pending_calls_, suspended = suspended_uids_](const std::optional<std::string>& text) {
    Uids uids = text ? ParseUids(*text) : suspended;
    ApplyCalls(calls, &uids);
    std::string new_text;
    for (const std::string& uid : uids) new_text += uid + "\n";
    return new_text;
  };
}

std::vector<NodeSuspensions::NodeId> NodeSuspensions::ApplyText(std::string_view text,
                                                                std::uint64_t written_call, Time now) {
  std::erase_if(pending_calls_,
                [&](const auto& call) { return call.second.sequence_number <= written_call; });
  Uids wanted = ParseUids(text);
  ApplyCalls(pending_calls_, &wanted);
  std::vector<NodeId> changed;
  // A copy, since SetSuspended changes the set.
  for (const std::string& uid : std::vector<std::string>(suspended_uids_.begin(), suspended_uids_.end())) {
    if (!wanted.contains(uid) && SetSuspended(uid, false, now)) changed.push_back(node_id_of_uid_(uid));
  }
  for (const std::string& uid : wanted) {
    if (SetSuspended(uid, true, now)) changed.push_back(node_id_of_uid_(uid));
  }
  return changed;
}

}  // namespace cluster_manager
