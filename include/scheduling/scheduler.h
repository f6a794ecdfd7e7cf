// The interface of the scheduling library. A scheduler takes events and returns actions. It does no input or
// output, reads no clock and starts no thread, so that a recorded stream of events can be replayed. The
// implementation is in src/scheduling. Not thread-safe: one thread at a time may call a scheduler.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "scheduling/actions.h"
#include "scheduling/events.h"
#include "scheduling/settings.h"

namespace scheduling {

// Restricts placements in an installation with zone failover. Implemented by the caller and called from
// within Scheduler::Handle.
class ZonePolicy {
 public:
  // Whether the zone is considered lost.
  virtual bool IsLost(int zone) const = 0;
  // Whether new tasks may be placed in the zone. `unsafe`: a second execution of the task would do harm.
  virtual bool AllowsPlacement(int zone, bool unsafe) const = 0;
  // Records that an attempt for the task starts in the zone.
  virtual void RecordPlacement(int zone, const Task& task, Time now) = 0;
  // Counts a new request as demand and returns its rank, which is passed to Admits and RetryAfter.
  // `over_quota`: its tenant is over its quota.
  virtual int AssignRank(const Task& task, bool over_quota, bool large, Time now) = 0;
  // Whether a new request of this rank is admitted now.
  virtual bool Admits(int rank, const Task& task) const = 0;
  // Whether to reject requests of the class whose task may have run in a lost zone and can be retried safely
  // only there.
  virtual bool RejectsZoneBoundRequests(int class_index) const = 0;
  // Nanoseconds after which a request of this rank may be sent again.
  virtual Time RetryAfter(int rank, const Task& task) const = 0;

 protected:
  ~ZonePolicy() = default;
};

// Tells what is known of the processes that attempts reach: the endpoint list is late, and another node's
// process may listen at a node's address. Asked only for requests of classes with an idempotency key whose
// repeats are discarded in a zone or rack, once an attempt may have run. Implemented by the caller and called
// from within Scheduler::Handle.
class NodeIdentities {
 public:
  // The node whose process received the first attempt of the request that may have run. Empty while unknown.
  virtual std::optional<NodeId> FirstNode(RequestId request) = 0;
  // Whether an attempt of the request at the node can be sent to the process that received that first
  // attempt.
  // False unless it has answered that attempt.
  virtual bool ReachesFirstProcess(RequestId request, NodeId node) = 0;
  // Whether an attempt at the node can be sent to a process that is known to be the node's.
  virtual bool ReachesConfirmedProcess(RequestId request, NodeId node) = 0;
  // Whether the process of that first attempt can be reached, or its node is known by `until`.
  virtual bool IsFirstProcessUsableBy(RequestId request, Time until) = 0;

 protected:
  ~NodeIdentities() = default;
};

// Selects the node on which each task runs. Memory use grows with the number of listed nodes, services with
// running tasks, and open requests.
class Scheduler {
 public:
  // Throws std::invalid_argument, naming the setting, if the settings are invalid. `seed` seeds the random
  // draws: the same seed and events give the same actions.
  Scheduler(Settings settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Sets the zone policy; null, the initial value, means none. The policy must outlive the scheduler.
  void SetZonePolicy(ZonePolicy* policy);
  // Sets what is known of the nodes' processes; with null, the initial value, each attempt is taken to reach
  // the node that it is sent to. The identities must outlive the scheduler.
  void SetNodeIdentities(NodeIdentities* identities);
  // Handles one event. `now` must not decrease between calls. The caller carries out the actions in the order
  // returned; the reference is valid until the next call.
  const std::vector<Action>& Handle(const Event& event, Time now);
  // The number of tracked nodes and services.
  std::size_t tracked_entries() const;
  // The number of nodes and index entries examined since construction. It measures the cost of placements
  // independently of any clock.
  std::uint64_t candidates_examined() const;
  // The number of listed nodes that get no task at present because they are draining or ejected.
  std::size_t excluded_nodes() const;
  // Whether the request is tracked. Once it is not, its id may be reused.
  bool Tracks(RequestId id) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace scheduling
