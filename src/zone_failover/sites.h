// The plan for lost sites in one cluster manager: the watch, the order of admission and the pace of returns
// put together. The engine feeds what it hears and asks Evaluate() now and then; the decision module asks,
// through scheduling::ZonePolicy, what may be used and what is taken. No I/O, no clock and no chance of its
// own: two cluster managers that see the same do the same, without a word between them.
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

struct Size {  // of a node, and what of it nobody has asked for by the list
  double cores = 0, memory = 0, free_cores = 0, free_memory = 0;
};

class ZoneFailover final : public scheduling::ZonePolicy {
 public:
  ZoneFailover(Plan plan, const Deployment& deployment);
  // A new plan takes hold at once; what is known of the sites stays.
  void Take(Plan plan);

  // --- What the engine hears ---
  void Listed(NodeId node, int site, bool in_service, const Size& size, Time now);
  void Asked(NodeId node, Time now) { watch_.Asked(node, now); }
  void Answered(NodeId node, Time now) { watch_.Answered(node, now); }
  void Spoke(NodeId node, Time now) { watch_.Spoke(node, now); }
  void Unanswered(NodeId node, Time asked) { watch_.Unanswered(node, asked); }
  void AttemptOver(NodeId node, bool started);           // for the pace of a return
  void TaskOver(double cores, double memory, Time now);  // one that stood

  static constexpr Time kEvaluateEvery = 50'000'000;
  struct Orders {
    std::vector<NodeId> ask;  // a test each
    std::vector<std::string> log;
    bool changed = false;  // the module is to look again at what waits, and at what is out
  };
  // `waiting`: tasks without an attempt out for longer than kWaits.
  static constexpr Time kWaits = 300'000'000;
  Orders Evaluate(int waiting, Time now);
  // ZoneFailover are not as usual: levels and paces are followed.
  bool in_force() const { return in_force_; }
  std::vector<std::string> Describe(Time now) const;  // a line a site, and one for the level

  // --- What the module asks ---
  bool IsLost(int site) const override;
  bool AllowsPlacement(int site, bool unsafe) const override;
  void RecordPlacement(int site, const scheduling::Task& task, Time now) override;
  int AssignRank(const scheduling::Task& task, bool over_share, bool large, Time now) override;
  bool Admits(int rank, const scheduling::Task& task) const override;
  bool RejectsZoneBoundRequests(int class_index) const override;
  Time RetryAfter(int rank, const scheduling::Task& task) const override;

  const ZoneHealthMonitor& watch() const { return watch_; }
  const AdmissionControl& admission() const { return admission_; }
  const RecoveryRamp& comeback(int site) const { return sites_[static_cast<std::size_t>(site)].comeback; }
  const Plan& plan() const { return plan_; }

 private:
  struct Site {
    RecoveryRamp comeback;
    int allowed = 0, nodes = 0;
    State state = State::kUp;  // as last told
    int sent_unknown = 0;      // before anything was heard of it
  };
  struct Node {
    int site = -1;
    Size size;
  };
  struct Flow {
    DecayingRate cores{0, kViewAge}, memory{0, kViewAge};
  };
  static constexpr double kViewAge = 1.5e9;
  // Sent to a site of which nothing has been heard yet: one just started must not herd on a site that is
  // lost.
  static constexpr int kToUnknown = 8;

  Amount Free(Time now) const;
  bool Known(int site) const { return site >= 0 && site < watch_.size(); }

  Plan plan_;
  Deployment deployment_;
  ZoneHealthMonitor watch_;
  AdmissionControl admission_;
  std::vector<Site> sites_;
  NumberMap<NodeId, Node> nodes_;
  Flow bound_;  // own binds less own ends, as far as the list does not show them yet
  bool in_force_ = false, was_cut_off_ = false;
  int told_level_ = -1;
};

}  // namespace cluster_manager::zone_failover
