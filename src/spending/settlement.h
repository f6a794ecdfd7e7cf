// The settlement of a dead member: returns the money that it had drawn to the pool, as far as its tasks did
// not use it.
//
// Nothing is refunded until every node has reported after the death, since a task that no node has reported
// yet may be running. Then everything is refunded except what was spent and the estimated remaining cost of
// tasks that still run; the last of it when they have ended. The refunds never exceed the drawn amount, and
// no money is refunded twice.
#pragma once

#include <map>
#include <vector>

#include "spending/plan.h"

namespace cluster_manager::spending {

// The settlement of one dead member for one team and month.
class MemberSettlement {
 public:
  // The run time of a task in the care of the dead member, as far as nodes have reported it.
  struct TaskRun {
    TaskSize size;
    int node_kind = 0;
    Time start = 0, end = 0;  // end: the task's end, or until when it was seen running
    bool running = false;
    Time expected_remaining = 0;
    bool handed_over = false;  // `end` is the time of the handover: another member pays from then on
  };
  // `plan` must outlive the settlement.
  MemberSettlement(const Plan* plan, int team, Month month, Money drawn)
      : plan_(plan), team_(team), month_(month), drawn_(drawn) {}
  // A later report of a task replaces an earlier one.
  void RecordRun(std::uint64_t id, const TaskRun& run) { runs_[id] = run; }
  // Returns the amount to be refunded to the pool now. `all_nodes_reported`: every node has reported after
  // the death.
  Money CollectRefund(bool all_nodes_reported);
  Money Spent() const { return TotalCost(false); }
  // What the member spent beyond the money that it drew and that was not refunded. It is to be taken from the
  // pool as far as the pool has it.
  Money Overspent() const;
  // Whether no further refund can follow.
  bool IsComplete() const;

 private:
  Money TotalCost(bool include_expected) const;
  const Plan* plan_;
  int team_;
  Month month_;
  Money drawn_, refunded_ = 0;
  bool all_nodes_reported_ = false;
  std::map<std::uint64_t, TaskRun> runs_;
};

}  // namespace cluster_manager::spending
