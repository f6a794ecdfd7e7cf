// Zone failover: applies the operators' plan for the loss of zones in one cluster manager.
//
// Purpose: combines the zone health monitor, the admission control and the recovery ramps of returning
// zones. The dispatcher reports requests, replies and endpoint list entries and calls Evaluate()
// periodically. The scheduler consults the result through scheduling::ZonePolicy before each placement.
// Owns: the plan, the monitor, the admission control, and a record per zone and per listed node.
// Called by: the dispatcher and its scheduler on the event loop's thread. Owned by the server process.
//
// Has no I/O, clock or randomness of its own: cluster managers that observe the same events decide the same
// without communicating.
#pragma once

#include <string>
#include <vector>

#include "containers/hash.h"
#include "scheduling/scheduler.h"
#include "zone_failover/admission_control.h"
#include "zone_failover/plan.h"
#include "zone_failover/recovery_ramp.h"
#include "zone_failover/zone_health_monitor.h"

namespace cluster_manager::zone_failover {

// The resources of a node, and those that are not requested by any task according to the endpoint list.
struct NodeCapacity {
  double cores = 0, memory = 0, free_cores = 0, free_memory = 0;
};

// The zone policy of the scheduler according to the failover plan.
class ZoneFailover final : public scheduling::ZonePolicy {
 public:
  // `plan` has to be validated against `deployment`, as by ReadPlan.
  ZoneFailover(Plan plan, const Deployment& deployment);
  // Replaces the plan at once. The states of the zones are kept.
  void ApplyPlan(Plan plan);

  // --- Reports of the dispatcher; see ZoneHealthMonitor ---
  void RecordListing(NodeId node, int zone, bool in_service, const NodeCapacity& capacity, Time now);
  void RecordRequest(NodeId node, Time now) { health_monitor_.RecordRequest(node, now); }
  void RecordReply(NodeId node, Time now) { health_monitor_.RecordReply(node, now); }
  void RecordReport(NodeId node, Time now) { health_monitor_.RecordReport(node, now); }
  void RecordUnanswered(NodeId node, Time sent_at) { health_monitor_.RecordUnanswered(node, sent_at); }
  // An attempt at the node ended. `succeeded`: the node accepted or rejected it.
  void RecordAttemptEnd(NodeId node, bool succeeded);
  // A running task with these resources ended.
  void RecordTaskEnd(double cores, double memory, Time now);

  static constexpr Time kEvaluationInterval = 50'000'000;
  // What the dispatcher has to do after an evaluation.
  struct Evaluation {
    std::vector<NodeId> nodes_to_check;  // each by one reachability check
    std::vector<std::string> log_lines;
    bool policy_changed = false;  // the scheduler has to reconsider waiting requests and open attempts
  };
  // Requests that have been waiting without an open attempt for longer count as `waiting`.
  static constexpr Time kWaitingThreshold = 300'000'000;
  // Updates the zones, the recovery ramps and the admission level; to be called every kEvaluationInterval.
  Evaluation Evaluate(int waiting, Time now);
  // A zone is lost or returning, or this process is isolated: the admission level is enforced.
  bool is_active() const { return is_active_; }
  // One line per zone and one for the admission level, for the operators.
  std::vector<std::string> StatusLines(Time now) const;

  // --- scheduling::ZonePolicy ---
  bool IsLost(int zone) const override;
  bool AllowsPlacement(int zone, bool unsafe) const override;
  void RecordPlacement(int zone, const scheduling::Task& task, Time now) override;
  int AssignRank(const scheduling::Task& task, bool over_share, bool large, Time now) override;
  bool Admits(int rank, const scheduling::Task& task) const override;
  bool RejectsZoneBoundRequests(int class_index) const override;
  Time RetryAfter(int rank, const scheduling::Task& task) const override;

  const ZoneHealthMonitor& health_monitor() const { return health_monitor_; }
  const AdmissionControl& admission_control() const { return admission_control_; }
  const RecoveryRamp& recovery_ramp(int zone) const {
    return zones_[static_cast<std::size_t>(zone)].recovery_ramp;
  }
  const Plan& plan() const { return plan_; }

 private:
  struct ZoneRecord {
    RecoveryRamp recovery_ramp;
    int allowed_placements = 0, node_count = 0;
    ZoneState state = ZoneState::kUp;  // at the latest evaluation
    int unconfirmed_placements = 0;    // before the first reply of the zone
  };
  struct NodeRecord {
    int zone = -1;
    NodeCapacity capacity;
  };
  struct ResourceRate {
    DecayingRate cores{0, kListDelay}, memory{0, kListDelay};
  };
  // How long the endpoint list takes to show a placement or an end of a task, in nanoseconds.
  static constexpr double kListDelay = 1.5e9;
  // Placements in a zone before its first reply: limits those of a process that has just started to a zone
  // that may be lost.
  static constexpr int kMaxUnconfirmedPlacements = 8;

  // This cluster manager's share of the free capacity in the usable zones, less the reserve and its own
  // placements that the endpoint list does not show yet. All cluster managers use the same shares.
  Resources FreeCapacity(Time now) const;
  bool IsKnownZone(int zone) const { return zone >= 0 && zone < health_monitor_.zone_count(); }

  Plan plan_;
  Deployment deployment_;
  ZoneHealthMonitor health_monitor_;
  AdmissionControl admission_control_;
  std::vector<ZoneRecord> zones_;
  NumberMap<NodeId, NodeRecord> nodes_;
  ResourceRate unlisted_usage_;  // own placements less own task ends that the endpoint list does not show yet
  bool is_active_ = false, was_isolated_ = false;
  int logged_level_ = -1;
};

}  // namespace cluster_manager::zone_failover
