#include "bulletin/roster.h"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

namespace willowrail {
namespace {

using nlohmann::json;
using passbridge::NodeState;

NodeState ReadState(const std::string& word) {
  if (word == "in_service") return NodeState::kReady;
  if (word == "terminating") return NodeState::kDraining;
  if (word == "terminated") return NodeState::kGone;
  throw std::runtime_error("a node in the unknown state '" + word + "'");
}

int Position(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::ranges::find(names, name);
  return it == names.end() ? 0 : static_cast<int>(it - names.begin());
}

}  // namespace

Roster::Roster(std::vector<std::string> zones, std::vector<std::string> kinds)
    : zones_(std::move(zones)), kinds_(std::move(kinds)) {}

ListedNode Roster::Read(const json& target) const {
  ListedNode node;
  node.entry.node = NodeOf(target.at("uid").get<std::string>());
  node.entry.state = ReadState(target.at("state").get<std::string>());
  node.entry.zone = Position(zones_, target.value("az", ""));
  node.entry.kind = Position(kinds_, target.value("model", ""));
  node.entry.cell = target.value("pod_group", 0);
  node.entry.nominal = target.value("capacity_hint", 1.0);
  node.entry.came_up = target.value("boot_ms", std::int64_t{0}) * kMs;
  if (const auto unasked = target.find("unasked"); unasked != target.end() && unasked->is_array()) {
    node.entry.free_cores = unasked->at(0).get<double>();
    node.entry.free_memory = unasked->at(1).get<double>();
  }
  node.endpoint = target.value("endpoint", "");
  return node;
}

bool Roster::Apply(const json& event, Change* change) {
  const std::int64_t number = event.at("no").get<std::int64_t>();
  if (number <= last_) return false;
  const json& roster = event.at("roster");
  change->full = roster.value("all", false);
  change->version = roster.value("rev", std::int64_t{0});
  std::set<std::string> named;
  for (const json& target : roster.at("targets")) {
    const std::string uid = target.at("uid").get<std::string>();
    change->nodes.push_back(Read(target));
    named.insert(uid);
  }
  std::size_t i = 0;
  for (const json& target : roster.at("targets")) {
    nodes_[target.at("uid").get<std::string>()] = change->nodes[i++];
  }
  for (auto& [uid, node] : nodes_) {
    if (!change->full || named.contains(uid) || node.entry.state == NodeState::kGone) continue;
    node.entry.state = NodeState::kGone;
    change->nodes.push_back(node);
  }
  std::erase_if(nodes_, [](const auto& node) { return node.second.entry.state == NodeState::kGone; });
  last_ = number;
  version_ = change->version;
  return true;
}

Roster::Change Roster::All() const {
  Change all{true, version_, {}};
  for (const auto& [uid, node] : nodes_) {
    if (node.entry.state != NodeState::kGone) all.nodes.push_back(node);
  }
  return all;
}

}  // namespace willowrail
