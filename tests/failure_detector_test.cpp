// Tests of FailureDetector: when silence of a node leads to a verdict, at the exact time limits.
#include "failure_detection/failure_detector.h"

#include <doctest/doctest.h>

#include <utility>

namespace cluster_manager::failure_detection {
namespace {

constexpr Time kMs = 1'000'000, kStart = 1'000'000'000'000;

struct LeavingNodeFixture {
  FailureDetector node;
  LeavingNodeFixture() {
    node.RecordTraffic(kStart);
    node.SetListedState(ListedState::kDraining, kStart);
  }
};

TEST_CASE("a serving node is neither probed nor presumed stopped however long it is silent") {
  FailureDetector node;
  node.RecordTraffic(kStart);
  node.RecordUnanswered(kStart + kProbeAfterSilence);
  node.RecordUnanswered(kStart + 100 * kProbeAfterSilence);
  CHECK_FALSE(node.ShouldProbe(kStart + 100 * kProbeAfterSilence));
  CHECK_FALSE(node.IsPresumedStopped(kStart + 100 * kProbeAfterSilence));
}

TEST_CASE_FIXTURE(LeavingNodeFixture,
                  "a leaving node is probed after kProbeAfterSilence and again after kProbeInterval") {
  CHECK_FALSE(node.ShouldProbe(kStart + kProbeAfterSilence - 1));
  CHECK(node.ShouldProbe(kStart + kProbeAfterSilence));
  node.RecordProbe(kStart + kProbeAfterSilence);
  CHECK_FALSE(node.ShouldProbe(kStart + kProbeAfterSilence + kProbeInterval - 1));
  CHECK(node.ShouldProbe(kStart + kProbeAfterSilence + kProbeInterval));
  node.RecordTraffic(kStart + kProbeAfterSilence + kProbeInterval);
  CHECK_FALSE(node.ShouldProbe(kStart + kProbeAfterSilence + 2 * kProbeInterval));
}

TEST_CASE_FIXTURE(
    LeavingNodeFixture,
    "a leaving node is presumed stopped only after two unanswered probes kMinUnansweredSpan apart") {
  const Time probed_at = kStart + kProbeAfterSilence;
  CHECK_FALSE(node.IsPresumedStopped(kStart + 100 * kPresumedStoppedAfter));
  node.RecordUnanswered(probed_at);
  CHECK_FALSE(node.IsPresumedStopped(kStart + 100 * kPresumedStoppedAfter));
  node.RecordUnanswered(probed_at + kMinUnansweredSpan - 1);
  CHECK_FALSE(node.IsPresumedStopped(kStart + 100 * kPresumedStoppedAfter));
  node.RecordUnanswered(probed_at + kMinUnansweredSpan);
  CHECK(node.IsPresumedStopped(kStart + kPresumedStoppedAfter));
  CHECK_FALSE(node.IsPresumedStopped(kStart + kPresumedStoppedAfter - 1));
}

TEST_CASE_FIXTURE(LeavingNodeFixture, "traffic revokes the verdict and earlier probes no longer count") {
  node.RecordUnanswered(kStart + kProbeAfterSilence);
  node.RecordUnanswered(kStart + kProbeAfterSilence + kMinUnansweredSpan);
  REQUIRE(node.IsPresumedStopped(kStart + kPresumedStoppedAfter + kMinUnansweredSpan));
  const Time traffic_at = kStart + kPresumedStoppedAfter + kMinUnansweredSpan;
  node.RecordTraffic(traffic_at);
  CHECK_FALSE(node.is_silent());
  node.RecordUnanswered(traffic_at);  // a probe sent before the traffic
  CHECK_FALSE(node.is_silent());
  CHECK_FALSE(node.IsPresumedStopped(traffic_at + 10 * kPresumedStoppedAfter));
}

TEST_CASE("silence before the node was listed as draining does not count") {
  FailureDetector node;
  node.RecordTraffic(kStart);
  node.RecordUnanswered(kStart + 1);
  node.RecordUnanswered(kStart + 10 * kMinUnansweredSpan);
  const Time drained_at = kStart + 20 * kMinUnansweredSpan;
  node.SetListedState(ListedState::kDraining, drained_at);
  node.RecordUnanswered(drained_at - 1);
  CHECK_FALSE(node.IsPresumedStopped(drained_at + 10 * kPresumedStoppedAfter));
  CHECK(node.ShouldProbe(drained_at));
}

TEST_CASE("a node that returns to service is no longer presumed stopped") {
  LeavingNodeFixture fixture;
  fixture.node.RecordUnanswered(kStart + kProbeAfterSilence);
  fixture.node.RecordUnanswered(kStart + kProbeAfterSilence + kMinUnansweredSpan);
  fixture.node.SetListedState(ListedState::kServing, kStart + kPresumedStoppedAfter);
  CHECK_FALSE(fixture.node.IsPresumedStopped(kStart + 10 * kPresumedStoppedAfter));
}

TEST_CASE("the grace period of a removed node starts with its last traffic") {
  FailureDetector node;
  CHECK(node.GracePeriodEnd(kStart) <= kStart);  // no traffic yet
  node.RecordTraffic(kStart);
  CHECK(node.GracePeriodEnd(kStart) == kStart + kRemovalGracePeriod);
  CHECK(node.GracePeriodEnd(kStart + 5000 * kMs) == kStart + kRemovalGracePeriod);
}

TEST_CASE("a stop is detected within 8 s whenever the last traffic was") {
  // Evaluation every 100 ms, health checks that time out after 500 ms, dials after 250 ms; the node stops at
  // various times after its last traffic.
  for (Time stop_after = 0; stop_after <= 2 * kProbeAfterSilence; stop_after += 250 * kMs) {
    FailureDetector node;
    node.RecordTraffic(kStart);
    node.SetListedState(ListedState::kDraining, kStart);
    const Time stop = kStart + stop_after;
    Time verdict = 0, health_check = 0, dial = 0;
    for (Time now = kStart; verdict == 0 && now < stop + 20'000 * kMs; now += 100 * kMs) {
      if (health_check > 0 && health_check < stop && now > health_check)
        node.RecordTraffic(std::exchange(health_check, 0) + kMs);
      if (health_check > 0 && now - health_check >= 500 * kMs)
        node.RecordUnanswered(std::exchange(health_check, 0));
      if (dial > 0 && now - dial >= 250 * kMs) node.RecordUnanswered(std::exchange(dial, 0));
      if (node.IsPresumedStopped(now)) verdict = now;
      if (!node.ShouldProbe(now)) continue;
      node.RecordProbe(now);
      (node.is_silent() ? dial : health_check) = now;
    }
    CAPTURE(stop_after / kMs);
    CHECK(verdict > stop);
    CHECK(verdict - stop < 8000 * kMs);
  }
}

TEST_CASE("a refused dial proves the death of a process only after traffic from the node") {
  FailureDetector known, unknown;
  known.RecordTraffic(kStart);
  CHECK(known.RecordRefusedDial(kStart + 1));
  CHECK_FALSE(known.is_leaving());
  CHECK_FALSE(unknown.RecordRefusedDial(kStart));
  CHECK(unknown.is_leaving());
  unknown.RecordRefusedDial(kStart + kMinUnansweredSpan);
  CHECK_FALSE(unknown.IsPresumedStopped(kStart + kPresumedStoppedAfter - 1));
  CHECK(unknown.IsPresumedStopped(kStart + kPresumedStoppedAfter));
  unknown.RecordTraffic(kStart + kPresumedStoppedAfter);
  CHECK_FALSE(unknown.is_leaving());
}

}  // namespace
}  // namespace cluster_manager::failure_detection
