// Tests of CompletionQueue (state transitions, time limits, bounds) and UnclaimedCompletions (claims,
// bounds).
#include "completion/completion_queue.h"

#include <doctest/doctest.h>

#include <random>
#include <set>

#include "completion/unclaimed_completions.h"

namespace cluster_manager {
namespace {

using Time = CompletionQueue::Time;
constexpr Time kNow = 1'000'000'000'000, kMs = 1'000'000;
constexpr CompletionQueue::ConnectionHandle kConnection = 7, kOtherConnection = 8;

struct QueueFixture {
  CompletionQueue completions;
  void Add(std::uint64_t task, Time at = kNow) { completions.Add(task, 12, 16, at); }
  std::vector<std::uint64_t> PendingTasks() const {
    std::vector<std::uint64_t> tasks;
    for (const CompletionQueue::Completion& completion : completions.PendingCompletions())
      tasks.push_back(completion.task);
    CHECK(tasks.size() == completions.pending_count());
    return tasks;
  }
};

TEST_CASE_FIXTURE(QueueFixture,
                  "a completion is pending until it is sent and is kept until it is confirmed") {
  Add(1);
  CHECK(PendingTasks() == std::vector<std::uint64_t>{1});
  completions.MarkSent(1, kConnection, true, kNow);
  CHECK(PendingTasks().empty());
  CHECK(completions.size() == 1);
  CHECK_FALSE(completions.MarkConfirmed(1, kOtherConnection));
  CHECK(completions.MarkConfirmed(1, kConnection));
  CHECK(completions.size() == 0);
  CHECK_FALSE(completions.MarkConfirmed(1, kConnection));
}

TEST_CASE_FIXTURE(QueueFixture,
                  "an unconfirmed completion becomes pending again when its connection is lost") {
  Add(1);
  Add(2, kNow + 1);
  Add(3, kNow + 2);
  completions.MarkSent(1, kConnection, true, kNow);
  completions.MarkSent(2, kConnection, false, kNow);
  completions.MarkSent(3, kOtherConnection, true, kNow);
  SUBCASE("connection lost immediately") {
    CHECK(completions.OnConnectionLost(kConnection) == 2);
    CHECK(PendingTasks() == std::vector<std::uint64_t>{1, 2});
  }
  SUBCASE("connection lost after the time limit but before the check that would apply it") {
    completions.CheckTimeouts(kNow + kMs);
    completions.CheckTimeouts(kNow + CompletionQueue::kCloseDetectionTime);
    CHECK(completions.OnConnectionLost(kConnection) == 2);
  }
  SUBCASE("connection lost after the time limit was applied: only the connection that confirms") {
    completions.CheckTimeouts(kNow);
    completions.CheckTimeouts(kNow + CompletionQueue::kCloseDetectionTime);
    CHECK(completions.OnConnectionLost(kConnection) == 1);
    CHECK(PendingTasks() == std::vector<std::uint64_t>{1});
    CHECK(completions.size() == 2);
  }
}

TEST_CASE_FIXTURE(
    QueueFixture,
    "a completion becomes pending after the confirmation time-out and may still be confirmed late") {
  Add(1);
  completions.MarkSent(1, kConnection, true, kNow);
  CHECK(completions.CheckTimeouts(kNow + CompletionQueue::kConfirmationTimeout - 1) == 0);
  CHECK(completions.CheckTimeouts(kNow + CompletionQueue::kConfirmationTimeout) == 1);
  REQUIRE(PendingTasks() == std::vector<std::uint64_t>{1});
  CHECK(completions.PendingCompletions()[0].unresponsive_connection == kConnection);
  CHECK(completions.MarkConfirmed(1, kConnection));
  CHECK(completions.size() == 0);
  CHECK(completions.pending_count() == 0);
}

TEST_CASE_FIXTURE(
    QueueFixture,
    "a completion on a connection that confirms nothing is assumed received after kCloseDetectionTime") {
  Add(1);
  completions.MarkSent(1, kConnection, false, kNow);
  completions.CheckTimeouts(kNow);
  completions.CheckTimeouts(kNow + CompletionQueue::kCloseDetectionTime - 1);
  CHECK(completions.size() == 1);
  completions.CheckTimeouts(kNow + CompletionQueue::kCloseDetectionTime);
  CHECK(completions.size() == 0);
}

TEST_CASE("an unclaimed completion is kept for a later claim within its retention time and bounds") {
  UnclaimedCompletions unclaimed;
  unclaimed.Add(1, 77, true, kNow);
  unclaimed.Add(1, 78, false, kNow);
  CHECK(unclaimed.Claim(2, 77, kNow + kMs) ==
        UnclaimedCompletions::Outcome::kUnknown);  // reported by another node
  CHECK(unclaimed.Claim(1, 77, kNow + kMs) == UnclaimedCompletions::Outcome::kCompleted);
  CHECK(unclaimed.Claim(1, 77, kNow + kMs) == UnclaimedCompletions::Outcome::kUnknown);
  CHECK(unclaimed.Claim(1, 78, kNow + UnclaimedCompletions::kRetention) ==
        UnclaimedCompletions::Outcome::kUnknown);
  for (std::uint64_t task = 1; task <= 2 * UnclaimedCompletions::kMaxEntries; ++task)
    unclaimed.Add(1, task, true, kNow + kMs);
  CHECK(unclaimed.size() == UnclaimedCompletions::kMaxEntries);
  CHECK(unclaimed.Claim(1, 2 * UnclaimedCompletions::kMaxEntries, kNow + kMs) ==
        UnclaimedCompletions::Outcome::kCompleted);
  unclaimed.Add(1, 5, true, kNow + 2 * UnclaimedCompletions::kRetention);
  CHECK(unclaimed.size() == 1);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "a queued completion is neither assumed received nor sent on another connection") {
  Add(1);
  Add(2, kNow + 1);
  completions.MarkSent(1, kConnection, false, kNow);
  completions.MarkSent(2, kConnection, true, kNow);
  const auto queued = [](const CompletionQueue::Completion&) { return CompletionQueue::Delivery::kQueued; };
  Time now = kNow;
  for (int i = 0; i < 20; ++i) CHECK(completions.CheckTimeouts(now += 250 * kMs, queued) == 0);
  CHECK(completions.size() == 2);
  SUBCASE("connection lost: both become pending again") {
    CHECK(completions.OnConnectionLost(kConnection) == 2);
    CHECK(PendingTasks() == std::vector<std::uint64_t>{1, 2});
  }
  SUBCASE("bytes sent: the time limits start") {
    CHECK(completions.CheckTimeouts(now) == 0);
    CHECK(completions.CheckTimeouts(now + CompletionQueue::kCloseDetectionTime - 1) == 0);
    CHECK(completions.size() == 2);
    completions.CheckTimeouts(now + CompletionQueue::kCloseDetectionTime);
    CHECK(completions.size() == 1);
    CHECK(completions.CheckTimeouts(now + CompletionQueue::kConfirmationTimeout) == 1);
  }
}

TEST_CASE_FIXTURE(QueueFixture, "without an acknowledgement a completion is never assumed received") {
  using Delivery = CompletionQueue::Delivery;
  for (const Delivery delivery : {Delivery::kQueued, Delivery::kInFlight}) {
    for (Time check_interval : {kMs, 250 * kMs, 900 * kMs, 20'000 * kMs}) {
      CAPTURE(check_interval);
      Add(1);
      completions.MarkSent(1, kConnection, false, kNow);
      for (Time at = kNow; at < kNow + CompletionQueue::kRetention; at += check_interval)
        completions.CheckTimeouts(at, [&](const auto&) { return delivery; });
      CHECK(completions.OnConnectionLost(kConnection) == 1);
      CHECK(PendingTasks() == std::vector<std::uint64_t>{1});
    }
  }
}

TEST_CASE_FIXTURE(QueueFixture,
                  "kCloseDetectionTime starts at the first check that finds the acknowledgement") {
  Add(1);
  completions.MarkSent(1, kConnection, false, kNow);
  const Time late = kNow + 10'000 * kMs;  // as after a pause of the process
  completions.CheckTimeouts(late);
  completions.CheckTimeouts(late + CompletionQueue::kCloseDetectionTime - 1);
  CHECK(completions.size() == 1);
  completions.CheckTimeouts(late + CompletionQueue::kCloseDetectionTime);
  CHECK(completions.size() == 0);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "after the loss of 600 connections all completions are pending in order of age") {
  for (std::uint64_t task = 1; task <= 600; ++task) {
    Add(task, kNow - static_cast<Time>(task));
    completions.MarkSent(task, 100 + task, true, kNow);
  }
  for (std::uint64_t task = 1; task <= 600; ++task) CHECK(completions.OnConnectionLost(100 + task) == 1);
  const std::vector<std::uint64_t> pending = PendingTasks();
  CHECK(pending.size() == 600);
  CHECK(pending.front() == 600);
  CHECK(pending.back() == 1);
}

TEST_CASE_FIXTURE(QueueFixture, "expired and evicted completions are removed and counted") {
  Add(1);
  completions.CheckTimeouts(kNow + CompletionQueue::kRetention - 1);
  CHECK(completions.size() == 1);
  completions.CheckTimeouts(kNow + CompletionQueue::kRetention);
  CHECK(completions.size() == 0);
  CHECK(completions.expired() == 1);
  for (std::uint64_t task = 1; task <= CompletionQueue::kMaxEntries; ++task)
    Add(task, kNow + static_cast<Time>(task));
  Add(1'000'000, kNow + kMs);
  CHECK(completions.size() == CompletionQueue::kMaxEntries);
  CHECK(completions.evicted() == 1);
  CHECK(completions.PendingCompletions().front().task == 2);
}

TEST_CASE_FIXTURE(QueueFixture, "a new completion of a task replaces the previous one") {
  Add(1);
  completions.MarkSent(1, kConnection, true, kNow);
  completions.Add(1, 51, 41, kNow + 1);
  CHECK(completions.size() == 1);
  REQUIRE(completions.PendingCompletions().size() == 1);
  CHECK(completions.PendingCompletions()[0].message_type == 51);
  CHECK(completions.PendingCompletions()[0].connection == 0);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "random operations: every completion is pending, sent or counted as removed") {
  std::mt19937 random(4711);
  const auto random_below = [&random](std::uint32_t limit) { return random() % limit; };
  Time now = kNow;
  std::uint64_t added = 0, confirmed = 0, next = 0;
  for (int step = 0; step < 20'000; ++step) {
    now += random_below(20) * kMs;
    const std::uint64_t task = next > 0 ? 1 + random_below(static_cast<std::uint32_t>(next)) : 0;
    switch (random_below(5)) {
      case 0:
        Add(++next, now);
        ++added;
        break;
      case 1:
        for (const CompletionQueue::Completion& completion : completions.PendingCompletions())
          completions.MarkSent(completion.task, 1 + random_below(20), random_below(2) == 0, now);
        break;
      case 2:
        confirmed += completions.MarkConfirmed(task, 1 + random_below(20));
        break;
      case 3:
        completions.OnConnectionLost(1 + random_below(20));
        break;
      default:
        completions.CheckTimeouts(now);
    }
    std::size_t pending = completions.PendingCompletions().size();
    REQUIRE(pending == completions.pending_count());
    REQUIRE(completions.size() >= pending);
    REQUIRE(added >= confirmed + completions.size() + completions.expired());
  }
  CHECK(confirmed > 0);
  completions.CheckTimeouts(now + CompletionQueue::kRetention);
  CHECK(completions.size() == 0);
  CHECK(completions.pending_count() == 0);
}

}  // namespace
}  // namespace cluster_manager
