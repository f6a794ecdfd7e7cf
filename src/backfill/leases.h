// Interfaces that backfill uses: leases of nodes for reservations, predictions of run times, and the
// placement constraints of the scheduling module.
#pragma once

#include <cstdint>

#include "scheduling/scheduler.h"

namespace cluster_manager::backfill {

using scheduling::NodeId;
using scheduling::Task;
using scheduling::Time;

// A member may reserve a node only while it holds the node's lease, so that no two members reserve the same
// gap. The lease is a concurrency budget with the limit 1, granted for a limited time and with an epoch.
// Answers to requests arrive as Backfill::OnLeaseGranted and Backfill::OnLeaseLost, or not at all.
class Leases {
 public:
  // kGuaranteed: the node is in this member's guaranteed share: no other member ever reserves it, and no
  // request is needed. kOnRequest: the lease is granted from the shared pool. kUnavailable: the node is in
  // another member's guaranteed share, or in a pool that cannot be reached now.
  enum class Access { kGuaranteed, kOnRequest, kUnavailable };
  virtual Access AccessTo(NodeId node) const = 0;
  // A request for a lease that is already held extends it.
  virtual void Request(NodeId node, Time from, Time until) = 0;
  // Called only when the lease is no longer used.
  virtual void Release(NodeId node, std::uint64_t epoch) = 0;

 protected:
  ~Leases() = default;
};

// For members that do not communicate: each node is in the guaranteed share of exactly one of the configured
// members, which all of them compute alike, and no other lease is ever granted.
class GuaranteedLeases final : public Leases {
 public:
  GuaranteedLeases(std::uint32_t member, std::uint32_t members) : member_(member), members_(members) {}
  Access AccessTo(NodeId node) const override;
  void Request(NodeId, Time, Time) override {}
  void Release(NodeId, std::uint64_t) override {}

 private:
  std::uint32_t member_, members_;
};

// Predicts run times.
class RunTimePredictor {
 public:
  // The quantile of the remaining run time of a task that has run for `elapsed`.
  virtual Time Remaining(const Task& task, Time elapsed, double quantile, Time now) = 0;

 protected:
  ~RunTimePredictor() = default;
};

// The constraints of the scheduling module that backfill does not know itself: spread, node kinds, suspended
// nodes.
class PlacementConstraints {
 public:
  virtual bool Allows(NodeId node, const Task& task, Time now) const = 0;

 protected:
  ~PlacementConstraints() = default;
};

}  // namespace cluster_manager::backfill
