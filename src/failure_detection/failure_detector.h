// Failure detection for nodes: what a cluster manager concludes about a node's process from the traffic
// that it receives from the node, and from the node's silence.
//
// Owned by NodeConnectionPool, one FailureDetector per node, and used on its loop thread; the dispatcher
// ends tasks according to its verdicts. Has no clock, socket or thread of its own; its memory does not
// grow.
//
//             listed as draining       probe unanswered         silent for kPresumedStoppedAfter
//   serving --------------------> leaving ------------> silent ----------> presumed stopped
//      ^                             ^                     |                      |
//      +-----------------------------+--- any traffic -----+----------------------+ (tasks that were reported
//                                                                                 as ended are stopped then)
//
// A machine that is switched off sends nothing: its connections stay open and silent, and dials to it time
// out. A machine that is disconnected from the network looks the same, although its tasks go on running.
// The announced state distinguishes the two: only a draining node is presumed stopped because of its
// silence, since it was about to stop anyway. A serving node is never presumed stopped; its end is
// concluded from the endpoint list, a refused dial or a new process at its address.
//
// A leaving node may have closed its listener: dials are refused or time out although its process lives and
// its established connections work. It is therefore probed by a health check on an established connection,
// and a refused dial proves its death only if such a health check went unanswered as well. A silent node
// may go on running its tasks for a while; the end of such a task must still be reported to the client
// within 8 s. A silent node is therefore dialed repeatedly: once its process has died, the dial is refused.
// Waiting for a reset of the established connection is not sufficient, since the reset may never arrive.
//
// Wrong verdicts, when they are possible and how long they last:
//   Presumed stopped, but only disconnected: requires a network fault that lasts for at least
//     kPresumedStoppedAfter after the last traffic, and unanswered probes during it whose first and last are
//     at least kMinUnansweredSpan apart. Clients are then notified that tasks have ended which the drain was
//     about to end anyway; these are stopped when traffic from the node arrives again.
//   Leaving, but already stopped: kPresumedStoppedAfter after the last traffic or, if the last traffic
//     precedes the stop, kProbeAfterSilence + kMinUnansweredSpan after the stop. Including the duration of a
//     health check and the interval of the periodic evaluation, at most 7.75 s; 8 s are allowed.
//
// Cost: each cluster manager sends one health check to each leaving node that runs tasks of its clients and
// was silent for kProbeAfterSilence, then one dial per kProbeInterval.
#pragma once

#include <cstdint>

namespace cluster_manager::failure_detection {

using Time = std::int64_t;  // nanoseconds

constexpr Time kProbeAfterSilence = 6'250'000'000;     // a leaving node is probed after this silence
constexpr Time kProbeInterval = 500'000'000;           // between two probes
constexpr Time kMinUnansweredSpan = 1'000'000'000;     // from the first unanswered probe to the last
constexpr Time kPresumedStoppedAfter = 7'000'000'000;  // silence of a leaving node
// How long messages of a removed node may still be in transit.
constexpr Time kRemovalGracePeriod = 1'000'000'000;

// The state of a node in the endpoint list.
enum class ListedState { kServing, kDraining, kRemoved };

// Tracks the traffic, probes and listed state of one node.
class FailureDetector {
 public:
  // Sets the node's state in the endpoint list. A change discards the unanswered probes.
  void SetListedState(ListedState state, Time now);
  // Bytes were received from the node, or a dial was established.
  void RecordTraffic(Time now);
  // A health check or dial was started to probe the node.
  void RecordProbe(Time now);
  // A health check or dial that was started at `sent_at` timed out.
  void RecordUnanswered(Time sent_at);
  // A dial was refused. Returns whether there was any earlier traffic from the node, without which this does
  // not prove the death of the process. For a leaving node the caller first checks an established connection,
  // if there is one. A cluster manager that has just started and claimed running tasks may find the listener
  // of a leaving node closed before the endpoint list reports the drain; it then treats the node as leaving
  // until traffic from it arrives.
  bool RecordRefusedDial(Time dialed_at);

  // Draining, or a dial was refused before any traffic.
  bool is_leaving() const { return listed_state_ == ListedState::kDraining || refused_before_traffic_; }
  // A probe has gone unanswered since the last traffic.
  bool is_silent() const { return first_unanswered_ > 0; }
  Time last_traffic() const { return last_traffic_; }  // 0: none

  // Whether a probe is due: the node is leaving, and neither traffic nor a probe is recent.
  bool ShouldProbe(Time now) const;
  // Whether the process is presumed stopped, and its tasks with it.
  bool IsPresumedStopped(Time now) const;
  // For a removed node: the time by which its last messages have arrived, kRemovalGracePeriod after its last
  // traffic.
  Time GracePeriodEnd(Time now) const;

 private:
  ListedState listed_state_ = ListedState::kServing;
  Time listed_state_since_ = 0;
  bool refused_before_traffic_ = false;  // a dial was refused, and no traffic has arrived since or before
  Time last_traffic_ = 0;
  Time last_probe_ = 0;
  Time first_probe_or_refusal_ = 0;  // 0: none
  // Start times of the first and last unanswered probe since the last traffic; 0: none.
  Time first_unanswered_ = 0;
  Time last_unanswered_ = 0;
};

}  // namespace cluster_manager::failure_detection
