// The attempts of ended requests: found again for a bounded time, in bounded memory.
#include "dispatch/attempt_history.h"

#include <doctest/doctest.h>

namespace cluster_manager {
namespace {

TEST_CASE("the attempts of an ended request are found until they expire") {
  AttemptHistory history;
  history.Add(1, {{2, 7, 100}, 5}, 0);
  const auto found = history.Find(1, AttemptHistory::kRetention - 1);
  REQUIRE(found);
  CHECK(found->attempts.count == 2);
  CHECK(found->attempts.first_node == 7);
  CHECK(found->attempts.first_sent_at == 100);
  CHECK(found->first_peer == 5);
  CHECK_FALSE(history.Find(2, 0));
  CHECK_FALSE(history.Find(1, AttemptHistory::kRetention));
  CHECK(history.size() == 0);
}

TEST_CASE("a request that ends again is remembered from then on") {
  AttemptHistory history;
  history.Add(1, {{1, 7, 100}, 5}, 0);
  history.Add(1, {{2, 7, 100}, 5}, 10 * kSecond);
  const auto found = history.Find(1, AttemptHistory::kRetention + kSecond);
  REQUIRE(found);
  CHECK(found->attempts.count == 2);
}

TEST_CASE("the oldest attempts are dropped where there are too many") {
  AttemptHistory history;
  for (TaskId task = 1; task <= AttemptHistory::kMaxEntries + 10; ++task)
    history.Add(task, {{1, 7, 100}, 5}, 0);
  CHECK(history.size() <= AttemptHistory::kMaxEntries);
  CHECK_FALSE(history.Find(1, 0));
  CHECK(history.Find(AttemptHistory::kMaxEntries + 10, 0));
}

}  // namespace
}  // namespace cluster_manager
