// Reservations for large tasks, and backfill: which tasks may start in the gap before a reservation. All
// functions are deterministic: the caller passes the time, which must never go back, and there is no clock,
// thread or random number generator.
//
// Backfill owns the listed nodes, the tasks that run on them, the large tasks that wait, the reservations of
// this member and those that other members announced. It is fed by the code that observes endpoint lists and
// starts and ends of tasks. The scheduling module calls AllowsStart before it places a task and ranks nodes
// as without backfill. Entries are removed by RemoveNode, OnTaskEnded, RemoveWaitingTask and the end of a
// reservation; each table has a limit and a counter.
//
// Policy. EASY backfill holds one reservation, for the first task in the queue: it uses gaps best, but the
// second large task may be delayed without a bound. Conservative backfill holds one for every waiting task:
// no task is delayed, but inaccurate estimates fragment the gaps, and its schedule is recomputed whenever a
// task ends. This implementation holds one reservation for each of the longest waiting large tasks, at most
// `max_reservations` (in order of age, so that each task is served after finitely many others), and none for
// small tasks: there are many nodes, and only a fraction of them is ever reserved. As in EASY backfill, a
// task that fits beside the large task at its expected start may start however long it runs.
//
// A reservation has a node and an expected start. The node is the one on which enough capacity is expected
// first, and the expected start is the time at which, by the estimates, enough of its running tasks have
// ended. If k of them must have ended together, the quantile^(1/k) of each is used. A reservation waits for
// the lease of its node (Leases) and has no effect before it is granted. It ends when the lease expires
// without renewal, `max_clock_skew` early by the local clock.
//
// A small task may start in a gap if the quantile of its class, multiplied by the correction factor of the
// class, ends before the expected start. The factor is learned: a backfilled task that overruns raises its
// logarithm by step * quantile, one that ends in time lowers it by step * (1 - quantile), so that in the long
// run the fraction of overruns is 1 - quantile. The logarithm decays with time, because nothing more would be
// learned about a class whose factor excludes it from every gap.
//
// Wrong estimates: if the capacity is not free at the expected start, the reservation is postponed to the new
// expectation (the remaining times are conditional on the ages of the tasks, which have grown), and tasks
// are backfilled up to that time only. After `max_postponements`, or `max_reservation_time` after it was
// created, the reservation is dropped and counted as missed. The task keeps its age in the queue and is
// planned with a quantile nearer to 1 the next time; the node is not reserved for `node_cooldown`, so that
// small tasks can use it again. A reservation thus keeps small tasks off a node for at most
// `max_reservation_time` at a time, and the other nodes stay open to them.
//
// A reservation is dropped at once if its node drains, is cold, is no longer listed or is in a lost zone, or
// if the placement constraints no longer allow the task there.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "backfill/leases.h"

namespace cluster_manager::backfill {

constexpr Time kMs = 1'000'000, kSecond = 1000 * kMs;

struct Parameters {
  // By class: the quantile of the run time that has to fit into a gap; 1 less the accepted risk of an
  // overrun.
  std::vector<double> run_time_quantiles;
  double default_run_time_quantile = 0.9;  // of classes that run_time_quantiles does not name
  // The probability with which the capacity is to be free at the expected start of a first reservation.
  double start_quantile = 0.6;
  double large_fraction = 0.4;         // of the largest node's cores or memory, from which a task is large
  int members = 1;                     // of the installation, all of which may reserve
  double max_reserved_fraction = 0.2;  // of the nodes, by all members together; at least one per member
  int max_reservations = 32;           // of this member
  int max_waiting = 1024;              // large tasks
  int nodes_per_search = 64;           // examined for one task in one update
  int max_postponements = 8;           // of one reservation
  Time max_reservation_time = 1800 * kSecond;  // of a reservation, postponements included
  Time min_postponement = 1 * kSecond;
  Time node_cooldown = 10 * kSecond;   // of a node after a missed reservation or a lease not granted
  Time reservation_delay = 300 * kMs;  // for which a large task waits before it gets a reservation
  Time min_gap = 500 * kMs;            // no task is backfilled into a shorter gap
  Time max_clock_skew = 200 * kMs;
  Time renewal_lead_time = 2 * kSecond;       // before a lease expires, its renewal is requested
  Time request_retry_interval = 1 * kSecond;  // of lease requests without an answer
  Time lease_wait_limit = 5 * kSecond;        // for a lease that is not granted
  Time announcement_lifetime = 10 * kSecond;  // of the reservations that members announce
  // For which a node's highest lease epoch is kept after the last message about it; no lease is longer.
  Time epoch_retention = 3600 * kSecond;
  double correction_step = 0.1, max_correction = 8;
  // The logarithm of a correction factor halves in this time, so that a class is tried again.
  Time correction_halving_period = 3600 * kSecond;
};

struct Node {
  double cores = 0, memory = 0;  // total capacity
  int zone = 0;
  bool ready = true;  // listed as in service, neither draining nor cold
};

// Why a reservation ended. kStarted and kNotWaiting: its task no longer needs it; kMissed: the capacity was
// not free in time.
enum class DropReason {
  kStarted,
  kNotWaiting,
  kNodeUnavailable,
  kZoneLost,
  kConstraints,
  kNoLease,
  kMissed,
  kCount
};
// Text for the log.
const char* ToString(DropReason reason);

// Events since the start. advanced: expected starts moved to an earlier time; gap_rejections: reservations
// that did not leave a gap for a task, in calls of AllowsStart.
struct Counters {
  std::uint64_t reservations = 0, postponements = 0, advanced = 0, backfilled = 0, overruns = 0,
                gap_rejections = 0, waiting_rejected = 0, announcements_rejected = 0;
  std::uint64_t dropped[static_cast<int>(DropReason::kCount)] = {};
};

// A reservation of this member: a node that is to be kept free for a large task.
struct Reservation {
  NodeId node = 0;
  Task task;
  Time created = 0;
  Time expected_start = 0;
  Time first_expected_start = 0;  // as computed when the reservation was created
  Time lease_requested = 0;
  double spare_cores = 0, spare_memory = 0;  // left beside the task at its expected start
  std::uint64_t epoch = 0;                   // of the lease
  Time lease_end = 0;                        // 0: a guaranteed node, without end
  bool has_lease = false;
  int postponements = 0;
};

// A reservation of another member. Of two announcements for one reservation, the one sent later counts.
struct Announcement {
  std::uint32_t member = 0;
  NodeId node = 0;
  std::uint64_t epoch = 0;
  // `valid_until` at or before `sent` cancels the reservation.
  Time sent = 0, expected_start = 0, valid_until = 0;
  double spare_cores = 0, spare_memory = 0;
  scheduling::RequestId task = 0;  // for which the node is reserved
};

// Not thread-safe.
class Backfill {
 public:
  // `leases`, `predictor` and `constraints` must outlive this object.
  Backfill(Parameters parameters, Leases* leases, RunTimePredictor* predictor,
           const PlacementConstraints* constraints);

  // --- Observations ---
  void UpdateNode(NodeId node, const Node& state, Time now);
  void RemoveNode(NodeId node, Time now);
  void SetZoneLost(int zone, bool lost, Time now);
  // To be called for the tasks of all members. Only own tasks train the correction factors: which gap another
  // member started its task into is not known here.
  void OnTaskStarted(const Task& task, NodeId node, Time since, Time now, bool own = true);
  void OnTaskEnded(scheduling::RequestId id, Time now);
  // The spread or another placement constraint of the node has changed.
  void OnConstraintsChanged(NodeId node, Time now);

  // --- Large tasks ---
  // Adds a task that found no node with enough capacity. Returns false if it is not large or too many tasks
  // wait; it then waits as without backfill.
  bool AddWaitingTask(const Task& task, Time now);
  void RemoveWaitingTask(scheduling::RequestId id, bool started, Time now);
  // The node reserved for the task, on which it is to be placed as soon as there is enough capacity.
  std::optional<NodeId> ReservedNode(scheduling::RequestId id, Time now) const;

  // --- Placement ---
  // Whether no reservation on the node prevents the task from starting there now.
  bool AllowsStart(NodeId node, const Task& task, Time now);

  // --- Leases and reservations of other members ---
  void OnLeaseGranted(NodeId node, std::uint64_t epoch, Time lease_end, Time now);
  // The lease was refused or revoked.
  void OnLeaseLost(NodeId node, std::uint64_t epoch, Time now);
  void OnAnnouncement(const Announcement& announcement, Time now);
  // Announcements of the own active reservations, to be sent to the other members.
  std::vector<Announcement> BuildAnnouncements(std::uint32_t member, Time now) const;

  // To be called about every 100 ms: creates, postpones and drops reservations. Returns lines for the log.
  std::vector<std::string> Update(Time now);
  std::vector<std::string> Describe(Time now) const;  // for SIGUSR1
  // The own reservations whose lease is valid now.
  std::vector<Reservation> ActiveReservations(Time now) const;
  const Counters& counters() const { return counters_; }
  // By which the run-time quantile of the class is multiplied: from 1 to max_correction.
  double correction_factor(int class_index) const;
  // Whether the task needs at least `large_fraction` of the largest node's cores or memory.
  bool IsLarge(const Task& task) const;

 private:
  struct RunningTask {
    Task task;
    NodeId node = 0;
    Time since = 0;
    Time gap_end = 0;  // of a backfilled task: the expected start of the reservation; 0: not backfilled
    bool overran = false;
  };
  struct NodeEntry {
    Node state;
    double used_cores = 0, used_memory = 0;
    std::set<scheduling::RequestId> tasks;
    Time cooldown_until = 0;
  };
  struct WaitingTask {
    Task task;
    Time since = 0;
    int missed_reservations = 0;
    NodeId next_node = 0;  // where the next search begins
  };
  struct StartPrediction {
    Time expected_start = 0;
    double spare_cores = 0, spare_memory = 0;
  };
  double RunTimeQuantile(int class_index) const;
  bool CanReserve(NodeId node, const NodeEntry& entry, const Task& task, Time now) const;
  bool HasCapacity(const NodeEntry& entry, const Task& task) const;
  // None if the node is too small for the task.
  std::optional<StartPrediction> PredictStart(const NodeEntry& entry, const Task& task, double quantile,
                                              Time now);
  bool CreateReservation(WaitingTask* waiting, Time now);
  // Recomputes the expected start and the spare capacity after a task started or ended on the node. The
  // expected start only ever moves to an earlier time here.
  void RefreshReservation(Reservation* reservation, Time now);
  // Moves the expected start to a later time, or drops the reservation if a limit is reached.
  void PostponeReservation(Reservation* reservation, Time now);
  void DropReservation(NodeId node, DropReason reason, Time now);
  bool IsActive(const Reservation& r, Time now) const;
  // Whether the task fits beside the reserved one or ends before its expected start.
  bool FitsGap(const Task& task, Time expected_start, double spare_cores, double spare_memory, Time now);
  void UpdateCorrection(int class_index, bool overran);
  std::size_t ReservationLimit() const;  // of one member
  double StartQuantile(const WaitingTask& waiting) const;

  Parameters parameters_;
  Leases* leases_;
  RunTimePredictor* predictor_;
  const PlacementConstraints* constraints_;
  std::map<NodeId, NodeEntry> nodes_;
  std::map<scheduling::RequestId, RunningTask> running_tasks_;
  std::map<scheduling::RequestId, WaitingTask> waiting_tasks_;
  std::vector<scheduling::RequestId> waiting_by_age_;
  std::map<NodeId, Reservation> reservations_;
  std::map<scheduling::RequestId, NodeId> reserved_nodes_;                  // by task
  std::map<std::pair<NodeId, std::uint32_t>, Announcement> announcements_;  // by node and member
  std::set<int> lost_zones_;
  struct LeaseEpoch {  // the highest epoch of any message about the lease; messages with older ones are
                       // ignored
    std::uint64_t epoch = 0;
    Time received = 0;
  };
  std::map<NodeId, LeaseEpoch> lease_epochs_;
  std::vector<double> log_corrections_;  // natural logarithms of the correction factors, by class
  Time last_decay_ = 0;
  double largest_cores_ = 0, largest_memory_ = 0;
  Counters counters_;
  std::vector<std::string> log_lines_;
};

}  // namespace cluster_manager::backfill
