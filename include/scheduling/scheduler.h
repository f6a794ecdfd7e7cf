// The interface of the scheduling library: a scheduler is told events and answers with actions. It does no
// input or output, reads no clock and starts no thread, so that a recorded stream of events can be replayed.
// Every decision is in src/scheduling. Not thread-safe: one thread at a time calls a scheduler.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "scheduling/actions.h"
#include "scheduling/events.h"
#include "scheduling/settings.h"

namespace scheduling {

// Asked before a task is placed, by an installation that plans for the loss of zones. Implemented by the
// caller and called from within Scheduler::Handle.
class ZonePolicy {
 public:
  virtual bool IsLost(int zone) const = 0;
  // Whether new tasks may go to the zone; `unsafe`: a second execution would do harm.
  virtual bool AllowsPlacement(int zone, bool unsafe) const = 0;
  virtual void RecordPlacement(int zone, const Task& task, Time now) = 0;
  // The rank of a new request, which Admits and RetryAfter take; it is counted as demand.
  virtual int AssignRank(const Task& task, bool over_share, bool large, Time now) = 0;
  virtual bool Admits(int rank, const Task& task) const = 0;
  // Whether requests of the class that only a lost zone may still hold are rejected.
  virtual bool RejectsZoneBoundRequests(int class_index) const = 0;
  // Nanoseconds after which a request of this rank may come again.
  virtual Time RetryAfter(int rank, const Task& task) const = 0;

 protected:
  ~ZonePolicy() = default;
};

// Decides on which node each task runs. Memory grows with the listed nodes, the services that run and the
// open requests.
class Scheduler {
 public:
  // Throws std::invalid_argument, naming the setting, where the settings cannot be used. `seed`: of the
  // random draws; the same seed and events give the same actions.
  Scheduler(Settings settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Used from now on; null, as at the start: none. The policy must outlive the scheduler.
  void SetZonePolicy(ZonePolicy* policy);
  // Events come in order and `now` never goes back. The actions are to be carried out in their order; the
  // reference is valid until the next call.
  const std::vector<Action>& Handle(const Event& event, Time now);
  // How many nodes and services are tracked.
  std::size_t tracked_entries() const;
  // Nodes and index entries examined since the start: the cost of placements, independent of any clock.
  std::uint64_t candidates_examined() const;
  // How many listed nodes get no task now because they drain or were ejected.
  std::size_t excluded_nodes() const;
  // Whether the request is tracked; once it is not, its number may be given to another.
  bool Tracks(RequestId id) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace scheduling
