#include "zone_failover/zone_health_monitor.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cluster_manager::zone_failover {

const char* ZoneStateName(ZoneState state) {
  switch (state) {
    case ZoneState::kUp:
      return "up";
    case ZoneState::kSuspect:
      return "suspect";
    case ZoneState::kLost:
      return "lost";
    case ZoneState::kReturning:
      return "returning";
  }
  return "?";
}

void ZoneHealthMonitor::RecordListing(NodeId node, int zone, Time) {
  const bool known = zone >= 0 && zone < zone_count();
  if (!known) {
    nodes_.erase(node);
    if (nodes_.empty()) ShrinkIfSparse(&nodes_);
    return;
  }
  nodes_[node].zone = zone;
}

void ZoneHealthMonitor::RecordRequest(NodeId node, Time now) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end()) return;
  Node& record = it.value();
  if (record.pending_since == 0) record.pending_since = now;
  zones_[static_cast<std::size_t>(record.zone)].last_request = now;
}

void ZoneHealthMonitor::RecordReply(NodeId node, Time now) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end()) return;
  Node& record = it.value();
  record.last_reply = now;
  record.pending_since = record.silent_since = 0;
  zones_[static_cast<std::size_t>(record.zone)].last_reply = now;
}

void ZoneHealthMonitor::RecordReport(NodeId node, Time now) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end()) return;
  it.value().last_report = now;
  zones_[static_cast<std::size_t>(it->second.zone)].last_report = now;
}

void ZoneHealthMonitor::RecordUnanswered(NodeId node, Time sent_at) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end() || sent_at < it->second.last_reply) return;
  Node& record = it.value();
  if (record.silent_since == 0) record.silent_since = sent_at;
  record.last_unanswered_sent = std::max(record.last_unanswered_sent, sent_at);
}

void ZoneHealthMonitor::CountNodes(Time now) {
  for (Zone& zone : zones_)
    zone.listed_nodes = zone.silent_since_reply = zone.silent_nodes = zone.replying_nodes =
        zone.pending_nodes = 0;
  for (const auto& [id, node] : nodes_) {
    Zone& zone = zones_[static_cast<std::size_t>(node.zone)];
    ++zone.listed_nodes;
    const Time window = now - parameters_.evidence_window;
    const Time evidence_start = zone.state == ZoneState::kUp     ? window
                                : zone.state == ZoneState::kLost ? std::max(zone.state_since, window)
                                                                 : zone.state_since;
    if (node.silent_since > 0) {
      zone.silent_nodes += node.last_unanswered_sent >= evidence_start;
      zone.silent_since_reply += node.last_unanswered_sent >= zone.last_reply;
    } else if (node.last_reply > evidence_start) {
      ++zone.replying_nodes;
    }
    if (node.pending_since > 0) ++zone.pending_nodes;
  }
}

void ZoneHealthMonitor::EnterState(Zone* zone, ZoneState state, Time now) {
  if (state == ZoneState::kLost) {
    const bool relapse = zone->state == ZoneState::kReturning ||
                         (zone->recovered_at > 0 && now - zone->recovered_at < parameters_.relapse_window);
    zone->hold =
        relapse ? std::min(parameters_.max_recovery_hold, 2 * std::max(zone->hold, parameters_.recovery_hold))
                : parameters_.recovery_hold;
    ++zone->loss_count;
    zone->next_check = now + parameters_.check_interval;
  }
  zone->state = state;
  zone->state_since = now;
  zone->replying_since = 0;
}

void ZoneHealthMonitor::MarkRecovered(int index, Time now) {
  Zone& zone = zones_[static_cast<std::size_t>(index)];
  if (zone.state != ZoneState::kReturning) return;
  EnterState(&zone, ZoneState::kUp, now);
  zone.recovered_at = now;
}

// Chooses nodes of the zone to be checked, different ones each time. `silent_first`: silent nodes are
// preferred, which is used when the zone may be reachable again; otherwise the others, when it may be lost.
void ZoneHealthMonitor::ChooseNodesToCheck(int zone, Time now, bool silent_first,
                                           std::vector<NodeId>* nodes_to_check) {
  std::vector<std::pair<bool, std::pair<double, NodeId>>> candidates;
  for (const auto& [id, node] : nodes_) {
    if (node.zone != zone) continue;
    candidates.push_back(
        {(node.silent_since > 0) != silent_first, {HashToUnitInterval(check_round_, id), id}});
  }
  ++check_round_;
  const std::size_t count =
      std::min(candidates.size(), static_cast<std::size_t>(parameters_.nodes_per_check));
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end());
  for (std::size_t i = 0; i < count; ++i) nodes_to_check->push_back(candidates[i].second.second);
  zones_[static_cast<std::size_t>(zone)].next_check = now + parameters_.check_interval;
}

// Requests are pending at several nodes, and no node of the zone has replied for silence_threshold.
bool ZoneHealthMonitor::IsQuiet(const Zone& zone, Time now) const {
  const int min_pending_nodes = std::min(2, zone.listed_nodes);
  return zone.pending_nodes >= min_pending_nodes && min_pending_nodes > 0 &&
         now - zone.last_reply >= parameters_.silence_threshold && zone.last_request > zone.last_reply;
}

// No node of the zone has replied for silence_threshold, and enough nodes have not answered requests since.
bool ZoneHealthMonitor::IsAllSilent(const Zone& zone, Time now) const {
  return now - zone.last_reply >= parameters_.silence_threshold &&
         zone.silent_since_reply >= std::min(parameters_.min_silent_nodes, zone.listed_nodes);
}

// Enough nodes are silent, and they are a large enough share of the nodes with evidence.
bool ZoneHealthMonitor::IsLargelySilent(const Zone& zone) const {
  const bool enough_silent =
      zone.silent_nodes >= std::min(parameters_.min_silent_nodes, zone.listed_nodes) && zone.silent_nodes > 0;
  return enough_silent && SilentShare(zone) >= parameters_.suspect_share;
}

double ZoneHealthMonitor::SilentShare(const Zone& zone) {
  const int evidence = zone.silent_nodes + zone.replying_nodes;
  return evidence > 0 ? static_cast<double>(zone.silent_nodes) / evidence : 0;
}

bool ZoneHealthMonitor::IsOneWayPartition(const Zone& zone, Time now) const {
  return zone.last_report > zone.last_reply && now - zone.last_report < parameters_.evidence_window;
}

// Whether another zone has replied since this one fell silent. `last_reply`: the latest reply of any zone.
bool ZoneHealthMonitor::HasOtherZoneReplied(const Zone& zone, Time last_reply) const {
  return last_reply >= std::max(zone.state_since, zone.last_reply + parameters_.silence_threshold);
}

Time ZoneHealthMonitor::LastReply() const {
  Time last_reply = 0;
  for (const Zone& zone : zones_) last_reply = std::max(last_reply, zone.last_reply);
  return last_reply;
}

// If all zones are silent at the same time, this process is isolated rather than the zones being lost.
void ZoneHealthMonitor::UpdateIsolation(Time now, std::vector<NodeId>* nodes_to_check) {
  int zones_with_nodes = 0;
  int silent_zones = 0;
  for (const Zone& zone : zones_) {
    zones_with_nodes += zone.listed_nodes > 0;
    silent_zones += zone.listed_nodes > 0 && IsAllSilent(zone, now);
  }
  if (zones_with_nodes > 0 && silent_zones == zones_with_nodes) {
    if (isolated_since_ == 0) isolated_since_ = now;
    return;
  }
  if (std::exchange(isolated_since_, 0) == 0) return;
  // The first zone to reply is no evidence against the others: their suspicions start anew.
  for (int i = 0; i < zone_count(); ++i) {
    Zone& suspect = zones_[static_cast<std::size_t>(i)];
    if (suspect.state != ZoneState::kSuspect) continue;
    EnterState(&suspect, ZoneState::kSuspect, now);
    ChooseNodesToCheck(i, now, true, nodes_to_check);
  }
}

void ZoneHealthMonitor::EvaluateUp(int index, Time now, std::vector<NodeId>* nodes_to_check) {
  Zone& zone = zones_[static_cast<std::size_t>(index)];
  // A suspicion that has just been cleared is not raised again by the remaining older evidence.
  const bool is_stable = now - zone.state_since >= parameters_.evidence_window / 2;
  if (!IsQuiet(zone, now) && !(IsLargelySilent(zone) && is_stable)) return;
  zone.silent_since = std::max(zone.last_reply, zone.recovered_at);
  EnterState(&zone, ZoneState::kSuspect, now);
  ChooseNodesToCheck(index, now, false, nodes_to_check);
  for (int other = 0; other < zone_count(); ++other) {
    const Zone& reference = zones_[static_cast<std::size_t>(other)];
    const bool stale = now - reference.last_reply > parameters_.silence_threshold / 2;
    if (other != index && reference.listed_nodes > 0 && stale)
      ChooseNodesToCheck(other, now, false, nodes_to_check);
  }
}

void ZoneHealthMonitor::EvaluateSuspect(int index, Time now, Time last_reply,
                                        std::vector<NodeId>* nodes_to_check) {
  Zone& zone = zones_[static_cast<std::size_t>(index)];
  if (IsAllSilent(zone, now) && now - zone.state_since >= parameters_.confirmation_time) {
    if (!HasOtherZoneReplied(zone, last_reply)) {
      for (int other = 0; other < zone_count() && now >= zone.next_check; ++other)
        ChooseNodesToCheck(other, now, false, nodes_to_check);
      return;
    }
    zone.one_way_partition = IsOneWayPartition(zone, now);
    EnterState(&zone, ZoneState::kLost, now);
  } else if (!IsQuiet(zone, now) && SilentShare(zone) < parameters_.suspect_share) {
    EnterState(&zone, ZoneState::kUp, now);
  } else if (now >= zone.next_check) {
    ChooseNodesToCheck(index, now, false, nodes_to_check);
  }
}

void ZoneHealthMonitor::EvaluateLost(int index, Time now, std::vector<NodeId>* nodes_to_check) {
  Zone& zone = zones_[static_cast<std::size_t>(index)];
  zone.one_way_partition = IsOneWayPartition(zone, now);
  const int required =
      std::max(1, static_cast<int>(std::ceil(parameters_.recovered_share * zone.listed_nodes)));
  const bool too_few_replies = zone.replying_nodes < std::min(required, parameters_.nodes_per_check);
  if (too_few_replies ||
      zone.silent_since_reply >= std::min(parameters_.min_silent_nodes, zone.listed_nodes)) {
    zone.replying_since = 0;
  } else if (zone.replying_since == 0) {
    zone.replying_since = now;
  }
  if (zone.replying_since > 0 && now - zone.replying_since >= zone.hold) {
    EnterState(&zone, ZoneState::kReturning, now);
  } else if (now >= zone.next_check ||
             (zone.replying_since == now && zone.replying_nodes < zone.listed_nodes)) {
    ChooseNodesToCheck(index, now, true, nodes_to_check);
  }
}

void ZoneHealthMonitor::EvaluateReturning(int index, Time now, Time last_reply,
                                          std::vector<NodeId>* nodes_to_check) {
  Zone& zone = zones_[static_cast<std::size_t>(index)];
  if (IsAllSilent(zone, now) && HasOtherZoneReplied(zone, last_reply)) {
    EnterState(&zone, ZoneState::kLost, now);
  } else if (now >= zone.next_check && zone.replying_nodes < zone.listed_nodes) {
    ChooseNodesToCheck(index, now, true, nodes_to_check);
  }
}

std::vector<NodeId> ZoneHealthMonitor::Evaluate(Time now) {
  CountNodes(now);
  std::vector<NodeId> nodes_to_check;
  const Time last_reply = LastReply();
  UpdateIsolation(now, &nodes_to_check);
  for (int i = 0; i < zone_count(); ++i) {
    Zone& zone = zones_[static_cast<std::size_t>(i)];
    // No node of the zone is in service: the endpoint list is sufficient, and no loss is reported.
    if (zone.listed_nodes == 0) {
      if (zone.state != ZoneState::kUp) EnterState(&zone, ZoneState::kUp, now);
      continue;
    }
    switch (zone.state) {
      case ZoneState::kUp:
        EvaluateUp(i, now, &nodes_to_check);
        break;
      case ZoneState::kSuspect:
        EvaluateSuspect(i, now, last_reply, &nodes_to_check);
        break;
      case ZoneState::kLost:
        EvaluateLost(i, now, &nodes_to_check);
        break;
      case ZoneState::kReturning:
        EvaluateReturning(i, now, last_reply, &nodes_to_check);
        break;
    }
  }
  return nodes_to_check;
}

std::string ZoneHealthMonitor::DescribeState(int index) const {
  const Zone& described = zone(index);
  std::string text = std::to_string(described.silent_nodes) + " of " +
                     std::to_string(described.listed_nodes) + " nodes silent, " +
                     std::to_string(described.replying_nodes) + " replying";
  if (described.state == ZoneState::kLost && described.one_way_partition)
    text += "; messages arrive but requests go unanswered: one-way network partition";
  if (described.state == ZoneState::kLost && described.loss_count > 1)
    text += "; hold " + std::to_string(described.hold / 1'000'000) + " ms after " +
            std::to_string(described.loss_count) + " losses";
  if (is_isolated()) text += "; all zones are silent: this process is isolated";
  return text;
}

}  // namespace cluster_manager::zone_failover
