#include "discovery/roster.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "config/endpoint_list_validation.h"

namespace cluster_manager {
namespace {

using nlohmann::json;
using scheduling::NodeState;

NodeState ReadState(const std::string& word) {
  if (word == "in_service") return NodeState::kReady;
  return word == "terminating" ? NodeState::kDraining : NodeState::kRemoved;
}

int Position(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::ranges::find(names, name);
  return it == names.end() ? 0 : static_cast<int>(it - names.begin());
}

// The uid of an entry, also of one with other values that are wrong; empty where it has none.
std::string UidOf(const json& entry) {
  const auto uid = entry.is_object() ? entry.find("uid") : entry.end();
  return uid != entry.end() && uid->is_string() ? uid->get<std::string>() : "";
}

}  // namespace

EndpointList::EndpointList(std::vector<std::string> zones, std::vector<std::string> kinds)
    : zones_(std::move(zones)), kinds_(std::move(kinds)) {}

// What the entry does not say stays as it was known.
ListedNode EndpointList::Read(const std::string& uid, const json& entry) const {
  ListedNode node;
  node.entry.nominal_capacity = 1;
  if (const auto known = nodes_.find(uid); known != nodes_.end()) node = known->second;
  node.entry.node = NodeIdFromUid(uid);
  node.entry.state = ReadState(entry.at("state").get<std::string>());
  if (entry.contains("az")) node.entry.zone = Position(zones_, entry["az"].get<std::string>());
  if (entry.contains("model")) node.entry.kind = Position(kinds_, entry["model"].get<std::string>());
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

EndpointList::Verdict EndpointList::Apply(const json& event, Gap gap, Change* change) {
  if (std::optional<ConfigIssue> wrong = ValidateEndpointListEvent(event)) {
    change->wrong.push_back(std::move(*wrong));
    return Verdict::kBad;
  }
  const std::int64_t number = event["no"].get<std::int64_t>();
  if (number <= last_) return Verdict::kKnown;
  const json& roster = event["roster"];
  change->full = roster.value("all", false);
  if (!change->full && number > last_ + 1 && gap == Gap::kRefuse) return Verdict::kGap;
  change->version = roster.value("rev", std::int64_t{0});
  TakeEntries(roster["targets"], change);
  last_ = number;
  version_ = change->version;
  return Verdict::kTaken;
}

void EndpointList::TakeEntries(const json& targets, Change* change) {
  Uids taken, unread;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const std::string uid = UidOf(targets[i]);
    if (const std::optional<ConfigIssue> wrong = ValidateEndpointListEntry(targets[i])) {
      const std::string path = "roster.targets[" + std::to_string(i) + "]." + wrong->path;
      change->wrong.push_back({path, wrong->found, wrong->expected});
      unread.insert(uid);
      continue;
    }
    ListedNode node = Read(uid, targets[i]);
    change->nodes.push_back(node);
    nodes_[uid] = std::move(node);
    taken.insert(uid);
  }
  if (change->full) CompleteFullList(taken, unread, change);
  std::erase_if(nodes_, [](const auto& node) { return node.second.entry.state == NodeState::kRemoved; });
}

// A full list takes off whom it does not name. Guards against ends of tasks that run on: a node whose entry
// could not be read is not taken for gone, and no node is where an entry does not say whose it is.
void EndpointList::CompleteFullList(const Uids& taken, const Uids& unread, Change* change) {
  for (auto& [uid, node] : nodes_) {
    if (taken.contains(uid)) continue;
    if (!unread.contains(uid) && !unread.contains("")) node.entry.state = NodeState::kRemoved;
    change->nodes.push_back(node);
  }
}

EndpointList::Change EndpointList::All() const {
  Change all{true, version_, {}, {}};
  for (const auto& [uid, node] : nodes_) all.nodes.push_back(node);
  return all;
}

}  // namespace cluster_manager
