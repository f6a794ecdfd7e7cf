// Zone health monitoring: detects the loss of a whole zone from the replies of its nodes.
//
//          several nodes silent         confirmed for confirmation_time
//     up -------------------> suspect ----------------------------> lost
//      ^                         |                                    |
//      +-- nodes reply again ----+                                    | enough nodes reply for recovery_hold
//      |                                                              v
//      +------------------ recovery complete -------------------- returning --> (silent again: lost, with a
//                                                                                longer hold)
//
// "Request" means here an attempt, a health check or a reachability check that is sent to a node. The
// evidence is whether nodes reply to requests, by accepting or rejecting an attempt or by answering a check.
// Messages that a node sends on its own (task reports, completions) do not count: a zone that sends messages
// but does not receive requests cannot start tasks. A request counts as unanswered only if no later request
// was answered, so that an overloaded node, which answers some requests late, is not considered silent.
//
// Cases that are distinguished:
//   Overloaded or slow zone: some of its nodes reply within the evidence window; it is suspect at most.
//   A few dead nodes: less than suspect_share, or fewer than min_silent_nodes.
//   Wrong or missing endpoint list: neither its content nor its absence alone makes a zone lost.
//   One-way network partition: messages of the zone arrive, but requests to it go unanswered.
//   Isolation of this process: a zone is lost only if another zone has replied since it fell silent; nodes of
//     the other zones are checked to find out. If none replies, this process is isolated: no zone becomes
//     lost, and is_isolated() holds until any node replies.
//
// Duration of a wrong verdict:
//   Lost, but reachable: until recovered_share of the nodes have replied for the hold. Some nodes of a lost
//     zone are checked every check_interval.
//   Up, but lost: as long as nothing is sent there. With traffic, the zone is suspect silence_threshold after
//     the last reply and checks are sent; these fail after the caller's time-out, and the zone is lost
//     confirmation_time later.
//
// Owned by ZoneFailover and used on its thread. No clock or I/O. Memory grows with the listed nodes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "containers/hash.h"

namespace cluster_manager::zone_failover {

using Time = std::int64_t;  // nanoseconds
using NodeId = std::uint32_t;

enum class ZoneState { kUp, kSuspect, kLost, kReturning };
const char* ZoneStateName(ZoneState state);

// Times are nanoseconds.
struct HealthMonitorParameters {
  double suspect_share = 0.4;               // silent share of the nodes with evidence, if suspect
  int min_silent_nodes = 4;                 // if suspect or lost; all nodes of a smaller zone
  Time evidence_window = 2'000'000'000;     // older evidence is ignored
  Time silence_threshold = 400'000'000;     // with requests pending, no reply of any node of the zone
  Time confirmation_time = 300'000'000;     // from suspect to lost
  Time check_interval = 1'000'000'000;      // between two checks of nodes of a zone
  int nodes_per_check = 6;                  // nodes of a zone that are checked at once
  double recovered_share = 0.25;            // of a lost zone's nodes that have to reply
  Time recovery_hold = 500'000'000;         // for how long they have to reply
  Time max_recovery_hold = 16'000'000'000;  // the hold is doubled by each relapse up to this value
  Time relapse_window = 30'000'000'000;     // a loss within this time after a recovery is a relapse
};

// Tracks the state of each zone.
class ZoneHealthMonitor {
 public:
  ZoneHealthMonitor(int zone_count, HealthMonitorParameters parameters)
      : parameters_(parameters), zones_(static_cast<std::size_t>(zone_count)) {}

  void SetParameters(const HealthMonitorParameters& parameters) { parameters_ = parameters; }
  // The endpoint list has the node in service in this zone, or (zone -1) not in service.
  void RecordListing(NodeId node, int zone, Time now);
  // A request was sent to the node.
  void RecordRequest(NodeId node, Time now);
  // The node replied to a request.
  void RecordReply(NodeId node, Time now);
  // The node sent a message on its own.
  void RecordReport(NodeId node, Time now);
  // A request that was sent at `sent_at` timed out, or a dial failed.
  void RecordUnanswered(NodeId node, Time sent_at);

  static constexpr Time kEvaluationInterval = 50'000'000;
  // Updates the states of all zones; to be called about every kEvaluationInterval. Returns the nodes to be
  // checked now.
  std::vector<NodeId> Evaluate(Time now);

  // Ends the recovery of a returning zone: it is up.
  void MarkRecovered(int index, Time now);

  struct Zone {
    ZoneState state = ZoneState::kUp;
    Time state_since = 0;
    Time silent_since = 0;  // last reply, or recovery, before the latest suspicion
    Time hold = 0;          // of the latest loss
    Time recovered_at = 0;  // of the latest complete recovery; 0: none
    Time last_reply = 0, last_report = 0, last_request = 0, next_check = 0;
    Time replying_since = 0;  // enough nodes of the lost zone reply since then; 0: they do not
    int listed_nodes = 0;
    // Nodes that did not answer a request sent since the last reply of any node of the zone.
    int silent_since_reply = 0;
    // Nodes with evidence of a request sent in the current state; while the zone is up, within the window.
    int silent_nodes = 0, replying_nodes = 0;
    int pending_nodes = 0;           // nodes with a request sent and no reply since
    bool one_way_partition = false;  // messages of the zone arrive, but requests to it go unanswered
    std::uint64_t loss_count = 0;
  };
  const Zone& zone(int index) const { return zones_[static_cast<std::size_t>(index)]; }
  int zone_count() const { return static_cast<int>(zones_.size()); }
  // No zone replies: this process is isolated from the network.
  bool is_isolated() const { return isolated_since_ > 0; }
  Time isolated_since() const { return isolated_since_; }  // 0: not isolated
  std::size_t node_count() const { return nodes_.size(); }
  // The reason for the zone's state, for the log.
  std::string DescribeState(int index) const;

 private:
  struct Node {
    int zone = -1;
    Time pending_since = 0;  // first request since the last reply; 0: none
    Time last_reply = 0, last_report = 0;
    Time silent_since = 0;          // first unanswered request since the last reply; 0: none
    Time last_unanswered_sent = 0;  // when the latest unanswered request was sent
  };
  void CountNodes(Time now);
  void EnterState(Zone* zone, ZoneState state, Time now);
  void ChooseNodesToCheck(int zone, Time now, bool silent_first, std::vector<NodeId>* nodes_to_check);
  bool IsQuiet(const Zone& zone, Time now) const;
  bool IsAllSilent(const Zone& zone, Time now) const;
  bool IsLargelySilent(const Zone& zone) const;
  static double SilentShare(const Zone& zone);
  bool IsOneWayPartition(const Zone& zone, Time now) const;
  bool HasOtherZoneReplied(const Zone& zone, Time last_reply) const;
  Time LastReply() const;
  void UpdateIsolation(Time now, std::vector<NodeId>* nodes_to_check);
  // Evaluate() for a zone in each of the states. `last_reply`: the latest reply of any zone.
  void EvaluateUp(int index, Time now, std::vector<NodeId>* nodes_to_check);
  void EvaluateSuspect(int index, Time now, Time last_reply, std::vector<NodeId>* nodes_to_check);
  void EvaluateLost(int index, Time now, std::vector<NodeId>* nodes_to_check);
  void EvaluateReturning(int index, Time now, Time last_reply, std::vector<NodeId>* nodes_to_check);

  HealthMonitorParameters parameters_;
  std::vector<Zone> zones_;
  NumberMap<NodeId, Node> nodes_;
  Time isolated_since_ = 0;
  std::uint32_t check_round_ = 0;  // varies the order in which nodes are chosen
};

}  // namespace cluster_manager::zone_failover
