// Admission control by teams' monthly spending caps at one member: decides whether a task may be added, and
// tracks what tasks have spent and will spend. It owns the accounts of this member's tasks and of the money
// drawn from the ledger. The caller reports what happens to tasks, carries draw requests to the ledger, and
// calls Evaluate() about once a second. No I/O, no clock, no thread and no randomness of its own; to be used
// from one thread.
//
// Usage by team and month is the sum of
// - spent: the cost of the run time until now,
// - committed: the estimated cost of the remaining run time of running tasks, at the team's quantile, in this
//   month and the next, each month charged for its own seconds,
// - reserved: the cost of admitted requests whose task is not accepted yet.
//
// A new task needs its whole cost to be available as drawn money, in each month that it runs in.
//
// Rules, and why:
// - Retries of one placement count once: a request's id is that of its placement. Its money is reserved until
//   the task is accepted, the request is cancelled, or `reservation_timeout` has passed.
// - A replacement of a lost or evicted task costs nothing more: the remainder of the lost task is reserved
//   for it for `lost_task_retention`, and not available to others. There is only one replacement, only for a
//   task that this member tracks, and it is no larger; anything else is a new task. If the replacement costs
//   more than the remainder (it starts from the beginning), it is admitted all the same: the run time was
//   lost, not added. Only the hard stop rejects it.
// - A handover adds no cost and is never rejected, since the task is running. The remainder at the giving
//   member goes back to the pool at once and is not used for other tasks there; the member that takes over
//   draws for it before anything else. The seconds before the handover are charged at the giving member.
// - A migration or an upgrade needs no money as long as it costs no more; for a higher cost the difference is
//   requested as for a new task. Each second is priced by the size and the node kind that the task then had.
// - Concurrent requests at many members: each member uses only the money that it drew, and all members
//   together draw at most the cap.
// - A raised cap takes effect at once, as the ledger's pool grows. If a cap is lowered below the drawn total,
//   surplus money is returned, nothing is added, and money that becomes free is returned too, until the total
//   is below the cap; no task is stopped.
// - A tariff that changes within a month prices each second by the tariff in force then, future seconds
//   included.
// - A task whose end is reported late pays until its end. Corrected times are charged anew as long as the
//   task is tracked (the last kMaxEndedTasks of three months). An end in the future is recorded as now.
// - At the end of a month running tasks pay each month its own seconds. The cost in the next month is
//   committed there before that month begins, and new tasks that run into it need its money too.
// - Running tasks are never stopped for money; there is no operation for it here.
//
// Bound: at no member do new tasks bring spent + committed + reserved above the drawn money. The sum over all
// members exceeds the cap only by the run time beyond what was estimated when the last task was added, and by
// replacements that start from the beginning. Money that other members have drawn and do not use counts as
// used here: a request is rejected too early by at most their prefetched amounts, which shrink with the
// remaining pool.
//
// Tables: requested, running, lost and ended tasks (kMaxTasks in all; the oldest ended ones are removed
// first, then requests are rejected), emptied by ends, by time and at the end of a month; accounts of four
// months per team.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "spending/account.h"
#include "spending/accounting_clock.h"
#include "spending/plan.h"

namespace cluster_manager::spending {

using TaskId = std::uint64_t;  // of a placement and of the task that results from it

// What a request is for. Stored by number.
enum class RequestType { kNew, kReplacement, kUpgrade, kMigration };

// A request to add or change a task, and the description of a task.
struct AdmissionRequest {
  TaskId id = 0;
  std::string tenant, service;
  int class_index = 0;
  TaskSize size;
  int node_kind = 0;  // the most expensive kind that the task may get if it is not known yet
  RequestType type = RequestType::kNew;
  TaskId existing_task = 0;  // the task that is replaced, upgraded or migrated
};

// Estimates how long a task will still run.
class RemainingTimeEstimator {
 public:
  virtual ~RemainingTimeEstimator() = default;
  // `elapsed`: the run time so far, in seconds. Returns seconds, or a negative number if nothing is known.
  // Any result is accepted: NaN and values that are too large are bounded by the caller.
  virtual double RemainingSeconds(const AdmissionRequest& task, double elapsed, double quantile) const = 0;
};

enum class RejectionReason {
  kNone,
  kAwaitingGrant,          // money is being drawn
  kClassLimitReached,      // the pool has too little money left for the class in this month
  kNextMonthLimitReached,  // the same for the next month, into which the task would run
  kHardStop,               // the spent money has reached the hard stop of the class
  kExceedsClassLimit,      // the task alone costs more than the limit of its class
  kLedgerTimeout,          // the ledger has not answered a draw for `ledger_timeout`
  kTableFull               // kMaxTasks tasks are tracked
};

// The answer to a request, and the reason in words for the client.
struct AdmissionDecision {
  enum class Outcome { kAdmitted, kRetryLater, kRejected };  // kRetryLater: money is being drawn
  Outcome outcome = Outcome::kAdmitted;
  RejectionReason reason = RejectionReason::kNone;
  Time retry_after = 0;  // a duration, at most the deployment's `max_retry_after`
  std::string message;
  bool admitted() const { return outcome == Outcome::kAdmitted; }
};

// A request to the ledger for money.
struct DrawRequest {
  int team = 0;
  Month month = 0;
  Money amount = 0, uncovered = 0;  // uncovered: the part of the amount that running tasks already use
  Money spent = 0;                  // at this member, for the ledger to report to all members
};
// Money to be returned to the ledger.
struct MoneyReturn {
  int team = 0;
  Month month = 0;
  Money amount = 0;
  std::uint64_t number = 0;  // the ledger applies each number of a member once
};

// The interface by which draws, grants and returns are exchanged with the ledger.
class LedgerClient {
 public:
  virtual ~LedgerClient() = default;
  // Returns the draws to be requested now. A draw without an answer is returned again after
  // `draw_retry_interval`.
  virtual std::vector<DrawRequest> CollectDrawRequests(Time now) = 0;
  // `amount` may be 0. Grants with an epoch that is not newer than the last one of the account are ignored.
  virtual void ApplyGrant(int team, Month month, Money amount, std::uint64_t epoch, const LedgerPool& pool,
                          Time now) = 0;
  // The returns that the ledger has not acknowledged yet, by number. Their money is not used here any more.
  virtual const std::map<std::uint64_t, MoneyReturn>& PendingReturns() const = 0;
  // The ledger has applied this return.
  virtual void AcknowledgeReturn(std::uint64_t number) = 0;
};

// See the head of this file. All functions that take `now` expect the time of the system clock.
class SpendingController final : public LedgerClient {
 public:
  static constexpr std::size_t kMaxTasks = 100'000, kMaxEndedTasks = 20'000, kMaxPendingRequests = 10'000,
                               kMaxSegments = 64;
  static constexpr Time kMaxEstimate = 62LL * 86'400 * kSecond;  // longer estimates are cut to this

  // `estimator` must outlive the controller; null: the plan's `default_remaining` is used for all tasks.
  SpendingController(Plan plan, Deployment deployment, const RemainingTimeEstimator* estimator);

  // --- Tasks ---
  // Decides whether the task may be added, and reserves its cost if so. Tasks of no team are always admitted.
  AdmissionDecision Admit(const AdmissionRequest& request, Time now);
  // Releases the reservation of an admitted request, or removes a pending one.
  void OnRequestCancelled(TaskId id, Time now);
  // The task is tracked even if it was never admitted or if its reservation has expired, since it runs. Also
  // for a task reported as lost or ended that runs after all.
  void OnTaskAccepted(const AdmissionRequest& request, Time started, Time now);
  // A later report of another end is ignored, see CorrectTaskTimes().
  void OnTaskEnded(TaskId id, Time ended, Time now);
  // The task was lost or evicted and may be replaced. `last_seen`: until when it is charged.
  void OnTaskLost(TaskId id, Time last_seen, Time now);
  // The task was migrated or upgraded. `request_id`: the request that was admitted for it; 0: none.
  void OnTaskChanged(TaskId id, TaskId request_id, const TaskSize& size, int node_kind, Time now);
  // Another member is responsible for the running task from `at` on.
  void OnTaskHandedOver(TaskId id, Time at, Time now);
  // This member is responsible for the running task from `at` on.
  void OnTaskTakenOver(const AdmissionRequest& task, Time at, Time now);
  // Replaces the recorded times of a tracked task; `ended` 0: it is still running.
  void CorrectTaskTimes(TaskId id, Time started, Time ended, Time now);

  // --- The ledger ---
  std::vector<DrawRequest> CollectDrawRequests(Time now) override;
  void ApplyGrant(int team, Month month, Money amount, std::uint64_t epoch, const LedgerPool& pool,
                  Time now) override;
  const std::map<std::uint64_t, MoneyReturn>& PendingReturns() const override { return returns_; }
  void AcknowledgeReturn(std::uint64_t number) override { returns_.erase(number); }

  // --- Periodic evaluation and reports ---
  // Updates estimates, expires reservations, returns surplus money and evaluates the enforcement steps.
  // Returns the lines for the log since the last call.
  std::vector<std::string> Evaluate(Time now);
  std::vector<std::string> Describe(Time now);  // the state as text, for SIGUSR1
  enum class Step { kNone, kNotice, kNoNewTasks, kHardStop };
  Step CurrentStep(int team, int class_index) const;  // as of the last Evaluate()

  struct Counters {
    std::uint64_t table_full = 0,  // requests and tasks that found no space in the table
        ended_tasks_evicted = 0,   // ended tasks that were removed early to make space
        pending_full = 0,          // requests that could not be queued for a grant
        segments_full = 0,         // changes of a task that had kMaxSegments segments
        clock_steps_back = 0,      // steps back of the system clock by more than the tolerance
        clock_jumps_ahead = 0,     // large jumps ahead of the system clock
        unknown_tasks = 0,         // reports of tasks that are not tracked or, for changes, do not run
        invalid_estimates = 0,     // estimates that are NaN or above kMaxEstimate
        future_ends = 0,           // ends that were reported as later than now
        too_late = 0,              // grants for other months, and corrections of tasks no longer tracked
        unrequested = 0;           // tasks that were accepted without an admitted request
  };
  const Counters& counters() const { return counters_; }
  const Account* FindAccount(int team, Month month) const;  // null: none is open
  Month CurrentMonth(int team) const { return teams_[static_cast<std::size_t>(team)].window.first + 2; }
  const Plan& plan() const { return plan_; }

  // --- Restarts ---
  nlohmann::json Snapshot() const;
  // To be called on a controller that has not been used yet. Throws json_files::StoredDataError with one line
  // that says what is wrong with the snapshot.
  void Restore(const nlohmann::json& snapshot);
  // Replaces the plan. Teams, classes and node kinds are matched by name. Tasks stay with their team as long
  // as the plan has it; past seconds are priced by the tariffs of the new plan.
  void ApplyPlan(Plan plan);

 private:
  enum class State { kPending, kAdmitted, kRunning, kLost, kReplaced, kEnded };  // stored by number
  // A period in which a task's size and node kind were constant. It ends where the next one begins.
  struct Segment {
    Time start = 0;
    TaskSize size;
    int node_kind = 0;
  };
  struct MonthWindow {  // the month before the last one, the last, the current and the next month
    Month first = 0;
    std::array<Seconds, 5> starts{};
  };
  using MonthlyCosts = std::array<Account::Usage, 4>;  // by month of the window
  struct Task {
    AdmissionRequest request;
    int team = -1;
    State state = State::kAdmitted;
    std::vector<Segment> segments;
    Time end = 0;      // the end of the task, or when it is expected
    Time lost_at = 0;  // until when a lost task is charged
    Time expires = 0;  // of the reservation, or of a lost task's remainder
    TaskId replacement = 0;
    std::uint64_t pending_order = 0;  // the position among the pending requests; 0: not pending
    MonthlyCosts costs{};             // as charged to the accounts
  };
  struct TeamState {
    MonthWindow window;
    std::map<Month, Account> accounts;
    std::vector<Step> reported_steps;  // by class
    std::vector<bool> rejected;        // by class: a request found no money, and none has been admitted since
  };

  Time AdvanceTime(Time now);  // returns the accounting time; begins new months
  void RollOverMonth(int team, Seconds at);
  void Rebuild(Plan plan, Time at);  // recomputes all state with another plan or at an earlier time
  void RewindTo(Time at);            // after a wrong clock: times after `at` are taken to be `at`
  nlohmann::json SnapshotBody(Time at) const;
  Account& AccountFor(int team, Month month);  // opens the account if there is none
  Time EstimateRemaining(const AdmissionRequest& request, int team, Time elapsed);
  // The task's costs in the months of the window, and what of them is spent by `now`.
  MonthlyCosts ComputeCosts(const Task& task, Time now) const;
  // Charges the difference to the costs charged so far.
  void ChargeCosts(Task* task, const MonthlyCosts& costs);
  void UpdateCosts(Task* task, Time now);
  void RecordEnd(Task* task, Time ended, Time now);
  void RemoveAndRefund(TaskId id);  // cancels the costs charged for the task
  bool EnsureTableSpace();          // removes the oldest ended task if the table is full
  void Remove(TaskId id);           // the costs remain charged to the accounts
  void RemoveFromPending(TaskId id);
  // The costs of admitting the request. `*needs_money`: whether they must be available as drawn money.
  MonthlyCosts RequestedCosts(const AdmissionRequest& request, int team, Time now, const Task* existing,
                              bool* needs_money);
  AdmissionDecision TryAdmit(const AdmissionRequest& request, int team, Time now);
  AdmissionDecision AwaitGrant(const AdmissionRequest& request, int team, Money cost, Month month, Time now);
  void UpdateSteps(int team, Time now);
  AdmissionDecision Reject(int team, const AdmissionRequest& request, RejectionReason reason, Money cost,
                           Month month, Time now);
  void RecordAdmission(const AdmissionRequest& request, int team, const MonthlyCosts& costs, Task* existing,
                       Time now);
  void QueueReturn(int team, Month month, Money amount);
  Task* FindTask(TaskId id);
  Task* InsertTask(const AdmissionRequest& request, int team, State state);
  void RecordStart(const AdmissionRequest& request, int team, Time start, Time now);
  // In parts of a micro-unit, see Tariffs.
  Int128 CostPerSecond(const AdmissionRequest& request, Time now) const;
  static nlohmann::json ToJson(const Task& task, const std::string& team, const Deployment& deployment);

  Plan plan_;
  Deployment deployment_;
  const RemainingTimeEstimator* estimator_;
  AccountingClock clock_;
  std::vector<TeamState> teams_;
  std::map<TaskId, Task> tasks_;
  std::map<std::uint64_t, TaskId> pending_;  // by pending_order
  std::set<std::pair<Time, TaskId>> ended_;  // the oldest first
  std::map<std::uint64_t, MoneyReturn> returns_;
  Seconds next_rollover_ = 0;  // when the next month of any team begins
  std::uint64_t next_pending_order_ = 1, next_return_number_ = 1;
  std::vector<std::string> log_lines_;
  Counters counters_;
};

}  // namespace cluster_manager::spending
