// Tests that independent schedulers together keep to the slow-start limit of one node that is warming up, by
// the attempts that reach the node. In virtual time and with random seeds: the schedulers receive the
// endpoint list at different times, their clocks differ, connections take up to their time-out, attempts are
// refused or lost, schedulers restart or fail, and the node is briefly missing from a list or restarts.
// docs/design/slow-start-budget.md has the proof of the limit.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <tuple>

#include "scheduling_driver.h"

namespace scheduling {
namespace {

constexpr NodeId kNode = 0x2a7;
constexpr Time kOverloadWindow = 1500 * kMs,
               kLimiterWindow = 1950 * kMs;  // the limiter adds a margin of 30 %
constexpr Time kConnectTimeout = 250 * kMs, kClockError = 90 * kMs;
constexpr Time kStartTime = 100 * kSecond, kSlowStartDuration = 15 * kSecond;

Settings MakeSettings(int schedulers, int attempt_limit) {
  Settings settings = BasicSettings();
  settings.scheduler_count = schedulers;
  settings.slow_start_sends = attempt_limit;
  settings.overload_window = kOverloadWindow;
  settings.slow_start_duration = kSlowStartDuration;
  return settings;
}

// Simulates schedulers that all place their requests on one node, in virtual time.
class SlowStartSimulation {
 public:
  struct Process {
    std::unique_ptr<Scheduler> scheduler;
    int incarnation = 0;
    Time clock_error = 0;
    RequestId last_request = 0;
    NodeEntry entry;
    bool lists_node = false;
  };

  SlowStartSimulation(int schedulers, int attempt_limit, std::uint64_t seed, Time connect_timeout)
      : settings_(MakeSettings(schedulers, attempt_limit)), connect_timeout_(connect_timeout), random_(seed) {
    processes_.resize(static_cast<std::size_t>(schedulers));
  }

  Time RandomTime(Time max) { return std::uniform_int_distribution<Time>(0, max)(random_); }
  bool RandomChance(double share) { return std::bernoulli_distribution(share)(random_); }
  std::size_t size() const { return processes_.size(); }

  void At(Time time, std::function<void()> callback) {
    scheduled_calls_.push({time, ++last_number_, std::move(callback)});
  }
  void Run(Time until) {
    while (!scheduled_calls_.empty() && scheduled_calls_.top().time <= until) {
      const ScheduledCall call = scheduled_calls_.top();
      scheduled_calls_.pop();
      now_ = call.time;
      call.callback();
    }
  }

  // Starts a process without any state. It receives requests until it stops.
  void Start(std::size_t i, Time mean_interval) {
    Process& p = processes_[i];
    settings_.scheduler_index = static_cast<int>(i);
    ++p.incarnation;
    p.scheduler = std::make_unique<Scheduler>(settings_, 1000 * i + static_cast<std::size_t>(p.incarnation));
    p.clock_error = kClockError / 2 - RandomTime(kClockError);
    SendEndpointList(i);
    SendNextRequest(i, p.incarnation, mean_interval);
    SendTimerEvents(i, p.incarnation);
  }
  // Stops the process. Its state is lost and its pending connections are not established.
  void Stop(std::size_t i) {
    ++processes_[i].incarnation;
    processes_[i].scheduler.reset();
  }
  // Sends process `i` a full endpoint list with or without the node.
  void UpdateListEntry(std::size_t i, Time started_at, bool listed = true) {
    Process& p = processes_[i];
    p.entry = MakeEntry(kNode, 16, 32);
    p.entry.started_at = started_at;
    p.lists_node = listed;
    SendEndpointList(i);
  }
  void ScheduleListUpdates(Time started_at, Time at, Time max_delay) {
    for (std::size_t i = 0; i < size(); ++i) {
      At(at + RandomTime(max_delay), [this, i, started_at] { UpdateListEntry(i, started_at); });
    }
  }

  // The maximum number of attempts that reached the node in any overload window.
  std::size_t MaxArrivalsInOverloadWindow() const {
    std::vector<Time> sorted = arrival_times_;
    std::ranges::sort(sorted);
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < sorted.size(); ++last) {
      while (sorted[last] - sorted[first] >= kOverloadWindow) ++first;
      most = std::max(most, last - first + 1);
    }
    return most;
  }
  std::size_t ArrivalsBetween(Time from, Time to) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(arrival_times_, [=](Time at) { return from <= at && at < to; }));
  }
  std::size_t arrivals() const { return arrival_times_.size(); }

 private:
  struct ScheduledCall {
    Time time = 0;
    std::uint64_t number = 0;
    std::function<void()> callback;
    bool operator<(const ScheduledCall& o) const {
      return std::tie(time, number) > std::tie(o.time, o.number);
    }
  };

  void SendEndpointList(std::size_t i) {
    if (processes_[i].scheduler == nullptr) return;
    std::vector<NodeEntry> entries;
    if (processes_[i].lists_node) entries.push_back(processes_[i].entry);
    Send(i, EndpointListChanged{EndpointListUpdate::kFull, 1,
                                std::make_shared<const std::vector<NodeEntry>>(std::move(entries))});
  }
  void SendNextRequest(std::size_t i, int incarnation, Time mean_interval) {
    Process& p = processes_[i];
    if (p.incarnation != incarnation) return;
    Task task;
    task.id = ++p.last_request;
    task.cores = task.memory = 0.001;
    task.service = task.id % 5;
    task.deadline = now_ + 2 * kSecond;
    Send(i, TaskArrived{task});
    At(now_ + RandomTime(2 * mean_interval),
       [this, i, incarnation, mean_interval] { SendNextRequest(i, incarnation, mean_interval); });
  }
  void SendTimerEvents(std::size_t i, int incarnation) {
    if (processes_[i].incarnation != incarnation) return;
    Send(i, TimerFired{});
    At(now_ + 50 * kMs, [this, i, incarnation] { SendTimerEvents(i, incarnation); });
  }
  void Send(std::size_t i, const Event& event) {
    Process& p = processes_[i];
    const std::vector<Action> actions = p.scheduler->Handle(event, now_ + p.clock_error);
    for (const StartAttempt& attempt : ActionsOfType<StartAttempt>(actions))
      StartConnection(i, p.incarnation, attempt);
    for (const CheckNodeHealth& check : ActionsOfType<CheckNodeHealth>(actions)) {
      SendLater(i, p.incarnation, kMs, HealthCheckCompleted{check.node, Outcome::kOk, kMs, {}});
    }
  }
  void SendLater(std::size_t i, int incarnation, Time after, const Event& event) {
    At(now_ + after, [this, i, incarnation, event] {
      if (processes_[i].incarnation == incarnation) Send(i, event);
    });
  }
  void StartConnection(std::size_t i, int incarnation, const StartAttempt& attempt) {
    if (connect_timeout_ > 0 && RandomChance(0.03)) {  // the connection is never established
      SendLater(i, incarnation, connect_timeout_, MakeAttemptEnded(attempt, Outcome::kNoConnection));
      return;
    }
    const Time delay = RandomChance(0.5) ? RandomTime(connect_timeout_) : kMs;
    At(now_ + delay, [this, i, incarnation, attempt] {
      if (processes_[i].incarnation == incarnation) HandleAttemptArrival(i, incarnation, attempt);
    });
  }
  void HandleAttemptArrival(std::size_t i, int incarnation, const StartAttempt& attempt) {
    arrival_times_.push_back(now_);
    if (RandomChance(0.1)) {
      SendLater(i, incarnation, kMs, MakeAttemptEnded(attempt, Outcome::kRefused, EndReason::kQueueFull));
    } else if (RandomChance(0.1)) {
      SendLater(i, incarnation, 500 * kMs, MakeAttemptEnded(attempt, Outcome::kTimedOut));
    } else {
      SendLater(i, incarnation, 20 * kMs, TaskAccepted{attempt.id, 0, attempt.node, 20 * kMs});
      SendLater(i, incarnation, 100 * kMs, MakeAttemptEnded(attempt, Outcome::kOk));
    }
  }
  static AttemptEnded MakeAttemptEnded(const StartAttempt& attempt, Outcome outcome,
                                       EndReason reason = EndReason::kUnspecified) {
    return {attempt.id, 0, attempt.node, outcome, kMs, outcome == Outcome::kOk, reason, {}};
  }

  Settings settings_;
  const Time connect_timeout_;
  std::mt19937_64 random_;
  std::vector<Process> processes_;
  std::priority_queue<ScheduledCall> scheduled_calls_;
  std::uint64_t last_number_ = 0;
  Time now_ = 0;
  std::vector<Time> arrival_times_;
};

// Mean interval of the requests of a process. Together the processes receive a multiple of the limit.
Time MeanRequestInterval(int schedulers, int attempt_limit) {
  return kOverloadWindow * schedulers / (4 * attempt_limit + 20);
}

class SlowStartLimit : public testing::TestWithParam<std::tuple<int, int>> {
 protected:
  const int schedulers_ = std::get<0>(GetParam()), attempt_limit_ = std::get<1>(GetParam());
};

INSTANTIATE_TEST_SUITE_P(Clusters, SlowStartLimit,
                         testing::Combine(testing::Values(1, 3, 16, 30, 60),
                                          testing::Values(1, 2, 5, 9, 16, 24, 40)));

TEST_P(SlowStartLimit, HoldsForAllSchedulersDespiteDelaysAndRestarts) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    SlowStartSimulation simulation(schedulers_, attempt_limit_, seed, kConnectTimeout);
    const Time interval = MeanRequestInterval(schedulers_, attempt_limit_),
               started_at = kStartTime + 3 * kSecond, restarted_at = started_at + 7 * kSecond;
    for (std::size_t i = 0; i < simulation.size(); ++i) {
      simulation.At(kStartTime + simulation.RandomTime(kSecond),
                    [&simulation, i, interval] { simulation.Start(i, interval); });
      if (simulation.RandomChance(0.3)) {  // fails, and is replaced in most cases
        const Time stop = started_at + simulation.RandomTime(12 * kSecond),
                   start = stop + 200 * kMs + simulation.RandomTime(kSecond);
        simulation.At(stop, [&simulation, i] { simulation.Stop(i); });
        if (simulation.RandomChance(0.8))
          simulation.At(start, [&simulation, i, interval] { simulation.Start(i, interval); });
      }
      if (simulation.RandomChance(0.4)) {  // a list without the node, then one with it
        const Time removed_at = started_at + 3 * kSecond + simulation.RandomTime(3 * kSecond);
        simulation.At(removed_at,
                      [&simulation, i, started_at] { simulation.UpdateListEntry(i, started_at, false); });
        simulation.At(removed_at + 100 * kMs,
                      [&simulation, i, started_at] { simulation.UpdateListEntry(i, started_at); });
      }
    }
    simulation.ScheduleListUpdates(started_at, started_at, 2 * kSecond);
    simulation.ScheduleListUpdates(restarted_at, restarted_at, 2 * kSecond);  // the node restarts
    simulation.Run(restarted_at + 12 * kSecond);
    EXPECT_GT(simulation.arrivals(), 0U) << "seed " << seed;
    EXPECT_LE(simulation.MaxArrivalsInOverloadWindow(), static_cast<std::size_t>(attempt_limit_))
        << "seed " << seed;
  }
}

// Every list briefly omits the node, as after a restart of discovery before the node has registered again.
TEST_P(SlowStartLimit, HoldsIfEveryEndpointListBrieflyOmitsTheNode) {
  SlowStartSimulation simulation(schedulers_, attempt_limit_, 1, kConnectTimeout);
  const Time interval = MeanRequestInterval(schedulers_, attempt_limit_),
             started_at = kStartTime + 3 * kSecond;
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    simulation.At(kStartTime, [&simulation, i, interval] { simulation.Start(i, interval); });
    for (Time removed_at = started_at + 2 * kSecond; removed_at < started_at + 4 * kSecond;
         removed_at += 500 * kMs) {
      simulation.At(removed_at,
                    [&simulation, i, started_at] { simulation.UpdateListEntry(i, started_at, false); });
      simulation.At(removed_at + 20 * kMs,
                    [&simulation, i, started_at] { simulation.UpdateListEntry(i, started_at); });
    }
  }
  simulation.ScheduleListUpdates(started_at, started_at, 100 * kMs);
  simulation.Run(started_at + 8 * kSecond);
  EXPECT_LE(simulation.MaxArrivalsInOverloadWindow(), static_cast<std::size_t>(attempt_limit_));
}

// The node gets the attempts that the limit allows: in a window the whole shares, and two thirds of the
// remainder.
TEST_P(SlowStartLimit, IsUsedIfNothingFails) {
  SlowStartSimulation simulation(schedulers_, attempt_limit_, 1, 0);
  const Time interval = std::min(MeanRequestInterval(schedulers_, attempt_limit_), 500 * kMs),
             started_at = kStartTime + 3 * kSecond;
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    simulation.At(kStartTime, [&simulation, i, interval] { simulation.Start(i, interval); });
  }
  simulation.ScheduleListUpdates(started_at, started_at, 100 * kMs);
  simulation.Run(started_at + kSlowStartDuration - kSecond);
  const int remainder = attempt_limit_ % schedulers_;
  const double attempts_per_window = attempt_limit_ - remainder + remainder * 2 / 3.0;
  const Time from = started_at + kSecond, to = from + 6 * kLimiterWindow;
  EXPECT_GE(static_cast<double>(simulation.ArrivalsBetween(from, to)), 0.9 * 6 * attempts_per_window);
}

// A single scheduler, which has the whole limit of four attempts. The node started while the scheduler was
// running.
struct SlowStartScenario {
  SlowStartScenario() {
    driver.UpdateEndpointList({MakeEntry(1, 0, 0)});
    driver.now += 20 * kSecond;
    node.started_at = driver.now - 2 * kSecond;
  }
  std::size_t SendRequests(int count) {
    std::size_t attempts = 0;
    for (int i = 0; i < count; ++i) {
      const std::string id = "t" + std::to_string(++requests_sent);
      for (const StartAttempt& attempt : ActionsOfType<StartAttempt>(driver.SendRequest(id, 0, 0.1, 0.1))) {
        ++attempts;
        driver.Send(TaskAccepted{attempt.id, 0, attempt.node, kMs});
        driver.EndAttempt(id, 0, attempt.node, Outcome::kOk, true);
      }
    }
    return attempts;
  }

  Driver driver{BasicSettings()};
  NodeEntry node = MakeEntry(1);
  int requests_sent = 0;
};

TEST(NodeWarmingUp, BriefOmissionFromTheListDoesNotResetItsLimit) {
  SlowStartScenario scenario;
  scenario.driver.UpdateEndpointList({scenario.node});
  EXPECT_EQ(scenario.SendRequests(8), 4U);
  scenario.driver.UpdateEndpointList({});
  scenario.driver.AdvanceTime(200 * kMs);
  scenario.driver.UpdateEndpointList({scenario.node});
  EXPECT_EQ(scenario.SendRequests(8), 0U);
  EXPECT_EQ(ActionsOfType<StartAttempt>(scenario.driver.AdvanceTime(1150 * kMs)).size(),
            4U);  // of the pending requests
}

TEST(NodeWarmingUp, AttemptsSentSinceItsRestartCount) {
  SlowStartScenario scenario;
  scenario.driver.UpdateEndpointList({scenario.node});
  EXPECT_EQ(scenario.SendRequests(8), 4U);
  scenario.driver.AdvanceTime(200 * kMs);
  scenario.node.started_at = scenario.driver.now - 400 * kMs;
  scenario.driver.UpdateEndpointList({scenario.node}, EndpointListUpdate::kDelta);
  EXPECT_EQ(scenario.SendRequests(8), 0U);
}

TEST(NodeWarmingUp, AttemptsSentBeforeItsStartWasListedCount) {
  for (const EndpointListUpdate kind : {EndpointListUpdate::kDelta, EndpointListUpdate::kFull}) {
    SlowStartScenario scenario;
    scenario.node.started_at = 0;
    scenario.driver.UpdateEndpointList({scenario.node});
    scenario.driver.AdvanceTime(kSecond);
    const Time started_at = scenario.driver.now;
    EXPECT_EQ(scenario.SendRequests(6), 6U);
    scenario.driver.AdvanceTime(200 * kMs);
    scenario.node.started_at = started_at;
    scenario.driver.UpdateEndpointList({scenario.node}, kind);
    EXPECT_EQ(scenario.SendRequests(8), 0U);
  }
}

// A scheduler whose index is not below the configured count has no share of the limit.
TEST(NodeWarmingUp, GetsNothingFromASchedulerWhoseIndexIsPastTheCount) {
  for (const int index : {0, 3}) {
    Settings settings = BasicSettings();
    settings.scheduler_count = 2;
    settings.scheduler_index = index;
    SlowStartScenario scenario;
    scenario.driver = Driver(settings);
    scenario.driver.UpdateEndpointList({MakeEntry(1, 0, 0)});
    scenario.driver.now += 20 * kSecond;
    scenario.node.started_at = scenario.driver.now - 2 * kSecond;
    scenario.driver.UpdateEndpointList({scenario.node});
    EXPECT_EQ(scenario.SendRequests(8), index == 0 ? 2U : 0U);
  }
}

}  // namespace
}  // namespace scheduling
