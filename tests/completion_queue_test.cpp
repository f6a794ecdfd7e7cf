// CompletionQueue: every state transition, the time limits and bounds. UnclaimedCompletions: claims and
// bounds.
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
  std::vector<std::uint64_t> Pending() const {
    std::vector<std::uint64_t> tasks;
    for (const CompletionQueue::Completion& completion : completions.Pending())
      tasks.push_back(completion.task);
    CHECK(tasks.size() == completions.pending());
    return tasks;
  }
};

TEST_CASE_FIXTURE(QueueFixture, "an end waits until it is written, and is owed until it is heard") {
  Add(1);
  CHECK(Pending() == std::vector<std::uint64_t>{1});
  completions.MarkSent(1, kConnection, true, kNow);
  CHECK(Pending().empty());
  CHECK(completions.size() == 1);
  CHECK_FALSE(completions.MarkConfirmed(1, kOtherConnection));
  CHECK(completions.MarkConfirmed(1, kConnection));
  CHECK(completions.size() == 0);
  CHECK_FALSE(completions.MarkConfirmed(1, kConnection));
}

TEST_CASE_FIXTURE(QueueFixture, "an end that nobody confirmed waits again when its way ends") {
  Add(1);
  Add(2, kNow + 1);
  Add(3, kNow + 2);
  completions.MarkSent(1, kConnection, true, kNow);
  completions.MarkSent(2, kConnection, false, kNow);
  completions.MarkSent(3, kOtherConnection, true, kNow);
  SUBCASE("at once") {
    CHECK(completions.OnConnectionLost(kConnection) == 2);
    CHECK(Pending() == std::vector<std::uint64_t>{1, 2});
  }
  SUBCASE("between the time limit and the look at it: nothing tells that it has been read") {
    completions.CheckTimeouts(kNow + kMs);
    completions.CheckTimeouts(kNow + CompletionQueue::kCloseDetectionTime);
    CHECK(completions.OnConnectionLost(kConnection) == 2);
  }
  SUBCASE("later only where the way confirms: the other has read it by then") {
    completions.CheckTimeouts(kNow);
    completions.CheckTimeouts(kNow + CompletionQueue::kCloseDetectionTime);
    CHECK(completions.OnConnectionLost(kConnection) == 1);
    CHECK(Pending() == std::vector<std::uint64_t>{1});
    CHECK(completions.size() == 2);
  }
}

TEST_CASE_FIXTURE(
    QueueFixture,
    "a way that confirms others and falls silent gives the end back, and may still confirm it") {
  Add(1);
  completions.MarkSent(1, kConnection, true, kNow);
  CHECK(completions.CheckTimeouts(kNow + CompletionQueue::kConfirmationTimeout - 1) == 0);
  CHECK(completions.CheckTimeouts(kNow + CompletionQueue::kConfirmationTimeout) == 1);
  REQUIRE(Pending() == std::vector<std::uint64_t>{1});
  CHECK(completions.Pending()[0].unresponsive_connection == kConnection);
  CHECK(completions.MarkConfirmed(1, kConnection));
  CHECK(completions.size() == 0);
  CHECK(completions.pending() == 0);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "a way that never confirms is believed once a crossing close would have shown") {
  Add(1);
  completions.MarkSent(1, kConnection, false, kNow);
  completions.CheckTimeouts(kNow);
  completions.CheckTimeouts(kNow + CompletionQueue::kCloseDetectionTime - 1);
  CHECK(completions.size() == 1);
  completions.CheckTimeouts(kNow + CompletionQueue::kCloseDetectionTime);
  CHECK(completions.size() == 0);
}

TEST_CASE(
    "an end that nobody waited for is kept for who is handed the task next, for a while and within bounds") {
  UnclaimedCompletions unclaimed;
  unclaimed.Add(1, 77, true, kNow);
  unclaimed.Add(1, 78, false, kNow);
  CHECK(unclaimed.Claim(2, 77, kNow + kMs) == UnclaimedCompletions::Outcome::kUnknown);  // of another node
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
                  "an end that has not left the process is neither believed read nor sent elsewhere") {
  Add(1);
  Add(2, kNow + 1);
  completions.MarkSent(1, kConnection, false, kNow);
  completions.MarkSent(2, kConnection, true, kNow);
  const auto queued = [](const CompletionQueue::Completion&) { return CompletionQueue::Delivery::kQueued; };
  Time now = kNow;
  for (int i = 0; i < 20; ++i) CHECK(completions.CheckTimeouts(now += 250 * kMs, queued) == 0);
  CHECK(completions.size() == 2);
  SUBCASE("its way ends unread: both wait again") {
    CHECK(completions.OnConnectionLost(kConnection) == 2);
    CHECK(Pending() == std::vector<std::uint64_t>{1, 2});
  }
  SUBCASE("it leaves: the time limits begin") {
    CHECK(completions.CheckTimeouts(now) == 0);
    CHECK(completions.CheckTimeouts(now + CompletionQueue::kCloseDetectionTime - 1) == 0);
    CHECK(completions.size() == 2);
    completions.CheckTimeouts(now + CompletionQueue::kCloseDetectionTime);
    CHECK(completions.size() == 1);
    CHECK(completions.CheckTimeouts(now + CompletionQueue::kConfirmationTimeout) == 1);
  }
}

TEST_CASE_FIXTURE(QueueFixture,
                  "no time that passes makes an end received that its peer did not acknowledge") {
  using Delivery = CompletionQueue::Delivery;
  for (const Delivery delivery : {Delivery::kQueued, Delivery::kInFlight}) {
    for (Time between_looks : {kMs, 250 * kMs, 900 * kMs, 20'000 * kMs}) {
      CAPTURE(between_looks);
      Add(1);
      completions.MarkSent(1, kConnection, false, kNow);
      for (Time at = kNow; at < kNow + CompletionQueue::kRetention; at += between_looks)
        completions.CheckTimeouts(at, [&](const auto&) { return delivery; });
      CHECK(completions.OnConnectionLost(kConnection) == 1);
      CHECK(Pending() == std::vector<std::uint64_t>{1});
    }
  }
}

TEST_CASE_FIXTURE(QueueFixture,
                  "an end acknowledged between two looks that are far apart has its time from then") {
  Add(1);
  completions.MarkSent(1, kConnection, false, kNow);
  const Time late = kNow + 10'000 * kMs;  // the process stood still
  completions.CheckTimeouts(late);
  completions.CheckTimeouts(late + CompletionQueue::kCloseDetectionTime - 1);
  CHECK(completions.size() == 1);
  completions.CheckTimeouts(late + CompletionQueue::kCloseDetectionTime);
  CHECK(completions.size() == 0);
}

TEST_CASE_FIXTURE(QueueFixture, "hundreds of owners reset at once: every end waits again, oldest first") {
  for (std::uint64_t task = 1; task <= 600; ++task) {
    Add(task, kNow - static_cast<Time>(task));
    completions.MarkSent(task, 100 + task, true, kNow);
  }
  for (std::uint64_t task = 1; task <= 600; ++task) CHECK(completions.OnConnectionLost(100 + task) == 1);
  const std::vector<std::uint64_t> pending = Pending();
  CHECK(pending.size() == 600);
  CHECK(pending.front() == 600);
  CHECK(pending.back() == 1);
}

TEST_CASE_FIXTURE(QueueFixture, "what is never told is given up in the end, counted by why") {
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
  CHECK(completions.Pending().front().task == 2);
}

TEST_CASE_FIXTURE(QueueFixture, "an end owed anew, after a move for one, replaces the one before") {
  Add(1);
  completions.MarkSent(1, kConnection, true, kNow);
  completions.Add(1, 51, 41, kNow + 1);
  CHECK(completions.size() == 1);
  REQUIRE(completions.Pending().size() == 1);
  CHECK(completions.Pending()[0].message_type == 51);
  CHECK(completions.Pending()[0].connection == 0);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "whatever happens in whatever order, each end is waiting, written or accounted for") {
  std::mt19937 random(4711);
  const auto below = [&random](std::uint32_t most) { return random() % most; };
  Time now = kNow;
  std::uint64_t added = 0, confirmed = 0, next = 0;
  for (int step = 0; step < 20'000; ++step) {
    now += below(20) * kMs;
    const std::uint64_t task = next > 0 ? 1 + below(static_cast<std::uint32_t>(next)) : 0;
    switch (below(5)) {
      case 0:
        Add(++next, now);
        ++added;
        break;
      case 1:
        for (const CompletionQueue::Completion& completion : completions.Pending())
          completions.MarkSent(completion.task, 1 + below(20), below(2) == 0, now);
        break;
      case 2:
        confirmed += completions.MarkConfirmed(task, 1 + below(20));
        break;
      case 3:
        completions.OnConnectionLost(1 + below(20));
        break;
      default:
        completions.CheckTimeouts(now);
    }
    std::size_t pending = completions.Pending().size();
    REQUIRE(pending == completions.pending());
    REQUIRE(completions.size() >= pending);
    REQUIRE(added >= confirmed + completions.size() + completions.expired());
  }
  CHECK(confirmed > 0);
  completions.CheckTimeouts(now + CompletionQueue::kRetention);
  CHECK(completions.size() == 0);
  CHECK(completions.pending() == 0);
}

}  // namespace
}  // namespace cluster_manager
