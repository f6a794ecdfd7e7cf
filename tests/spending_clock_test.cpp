// The accounts while the system clock is wrong, for a moment or permanently.
#include <doctest/doctest.h>

#include "spending_fixtures.h"

namespace cluster_manager::spending {
namespace {

TEST_CASE("a clock that steps back stops the accounting time and a jump for a moment begins no new month") {
  SingleMember member(TestPlan("100"), ParseTime("2026-03-31T12:00:00Z"));
  REQUIRE(member.AdmitAndStart(NewTask(1, 0)));
  member.Evaluate(600 * kSecond);
  const Money spent = member.UsageOf().spent;
  member.Evaluate(-500 * kSecond);
  CHECK(member.UsageOf().spent == spent);
  CHECK(member.controller.counters().clock_steps_back == 1);
  member.Evaluate(500 * kSecond);
  CHECK(member.UsageOf().spent == spent);
  member.Evaluate(86'400 * kSecond);  // April, for ten seconds
  member.Evaluate(10 * kSecond);
  CHECK(member.controller.CurrentMonth(0) == *ParseMonth("2026-03"));
  CHECK(member.controller.counters().clock_jumps_ahead == 1);
  member.Evaluate(-86'400 * kSecond);
  CHECK(member.UsageOf().spent <= spent + kUnit * 20 / 3600);
  member.Evaluate(86'400 * kSecond);
  member.Evaluate(61 * kSecond);  // the jump is permanent
  CHECK(member.controller.CurrentMonth(0) == *ParseMonth("2026-04"));
  CHECK(member.UsageOf(-1).spent > 9 * kUnit);
  REQUIRE(member.AdmitAndStart(NewTask(3, 0), 7200));
  REQUIRE(member.Admit(NewTask(4, 0)).admitted());
  member.Evaluate(-86'400 *
                  kSecond);  // the clock was wrong: the accounting time goes back instead of waiting
  member.Evaluate(61 * kSecond);
  CHECK(member.controller.CurrentMonth(0) == *ParseMonth("2026-03"));
  CHECK(member.UsageOf().spent < spent + kUnit / 10);
  CHECK(member.UsageOf().reserved == kUnit);
  // A task that started at the wrong time is charged from now on, and a reservation lasts for its usual time,
  // not for another day.
  member.Evaluate(600 * kSecond);
  CHECK(member.UsageOf().reserved == 0);
  CHECK(member.UsageOf().spent > spent + kUnit * 1200 / 3600);
  member.estimator.default_seconds = 60;
  CHECK(member.Admit(NewTask(2, 0)).admitted());
}

}  // namespace
}  // namespace cluster_manager::spending
