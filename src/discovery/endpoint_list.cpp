#include "discovery/endpoint_list.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "config/endpoint_list_validation.h"

namespace cluster_manager {
namespace {

using nlohmann::json;
using scheduling::NodeState;

NodeState ParseState(const std::string& name) {
  if (name == "in_service") return NodeState::kReady;
  return name == "terminating" ? NodeState::kDraining : NodeState::kRemoved;
}

// The position of `name`; 0 where the list does not hold it.
int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::ranges::find(names, name);
  return it == names.end() ? 0 : static_cast<int>(it - names.begin());
}

// The uid of an entry, even where its other values are invalid; empty where it has none.
std::string UidOf(const json& entry) {
  const auto uid = entry.is_object() ? entry.find("uid") : entry.end();
  return uid != entry.end() && uid->is_string() ? uid->get<std::string>() : "";
}

}  // namespace

EndpointList::EndpointList(std::vector<std::string> zones, std::vector<std::string> kinds)
    : zones_(std::move(zones)), kinds_(std::move(kinds)) {}

// Values that the entry omits keep their last known value.
ListedNode EndpointList::ParseEntry(const std::string& uid, const json& entry) const {
  ListedNode node;
  node.entry.nominal_capacity = 1;
  if (const auto known = nodes_.find(uid); known != nodes_.end()) node = known->second;
  node.entry.node = NodeIdFromUid(uid);
  node.entry.state = ParseState(entry.at("state").get<std::string>());
  if (entry.contains("az")) node.entry.zone = IndexOf(zones_, entry["az"].get<std::string>());
  if (entry.contains("model")) node.entry.kind = IndexOf(kinds_, entry["model"].get<std::string>());
  node.entry.rack = entry.value("pod_group", node.entry.rack);
  node.entry.nominal_capacity = entry.value("capacity_hint", node.entry.nominal_capacity);
  if (entry.contains("boot_ms")) node.entry.started_at = entry["boot_ms"].get<std::int64_t>() * kMs;
  if (entry.contains("unasked")) {
    node.entry.free_cores = entry["unasked"][0].get<double>();
    node.entry.free_memory = entry["unasked"][1].get<double>();
  }
  const std::string endpoint = entry.value("endpoint", "");
  if (!endpoint.empty()) node.endpoint = endpoint;
  return node;
}

EndpointList::ApplyResult EndpointList::Apply(const json& event, GapPolicy gap_policy, Change* change) {
  if (std::optional<ConfigIssue> problem = ValidateEndpointListEvent(event)) {
    change->problems.push_back(std::move(*problem));
    return ApplyResult::kInvalid;
  }
  const std::int64_t number = event["no"].get<std::int64_t>();
  if (number <= last_event_) return ApplyResult::kStale;
  const json& list = event["roster"];
  change->full = list.value("all", false);
  if (!change->full && number > last_event_ + 1 && gap_policy == GapPolicy::kReject) return ApplyResult::kGap;
  change->version = list.value("rev", std::int64_t{0});
  ApplyEntries(list["targets"], change);
  last_event_ = number;
  version_ = change->version;
  return ApplyResult::kApplied;
}

void EndpointList::ApplyEntries(const json& targets, Change* change) {
  Uids applied, skipped;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const std::string uid = UidOf(targets[i]);
    if (const std::optional<ConfigIssue> problem = ValidateEndpointListEntry(targets[i])) {
      const std::string path = "roster.targets[" + std::to_string(i) + "]." + problem->path;
      change->problems.push_back({path, problem->found, problem->expected});
      skipped.insert(uid);
      continue;
    }
    ListedNode node = ParseEntry(uid, targets[i]);
    change->nodes.push_back(node);
    nodes_[uid] = std::move(node);
    applied.insert(uid);
  }
  if (change->full) RemoveUnlistedNodes(applied, skipped, change);
  std::erase_if(nodes_, [](const auto& node) { return node.second.entry.state == NodeState::kRemoved; });
}

// A full list removes the nodes that it does not name. The tasks of a removed node are reported as ended, so
// a node whose entry was skipped as invalid is not removed, and no node at all is where a skipped entry has
// no uid.
void EndpointList::RemoveUnlistedNodes(const Uids& applied, const Uids& skipped, Change* change) {
  for (auto& [uid, node] : nodes_) {
    if (applied.contains(uid)) continue;
    if (!skipped.contains(uid) && !skipped.contains("")) node.entry.state = NodeState::kRemoved;
    change->nodes.push_back(node);
  }
}

EndpointList::Change EndpointList::FullList() const {
  Change change{true, version_, {}, {}};
  for (const auto& [uid, node] : nodes_) change.nodes.push_back(node);
  return change;
}

}  // namespace cluster_manager
