// Parameters of the scheduling decisions, with units and reasons. docs/design/scheduling-parameters.md
// describes how each could be derived.
#pragma once

#include <cstddef>

#include "scheduling/resources.h"

namespace scheduling::internal {

// Factors of the memory and cores terms in a node's weight. The published algorithm fixes only their sum.
constexpr double kMemoryFactor = 0.5;
constexpr double kCoresFactor = 1 - kMemoryFactor;
constexpr double kNearTieMargin = 0.08;  // scores within this share of the least score are always near-ties

// Placements by other schedulers are missing from the view for kUnseenPlacementSeconds, and each lowers a
// node's weight by kWeightLossPerPlacement. Their rate is estimated from this scheduler's own arrivals, as a
// decaying count with time constant kRateTimeConstant that starts at kInitialRateCount. kUnboundedThreshold:
// no limit.
constexpr double kUnseenPlacementSeconds = 4;
constexpr double kWeightLossPerPlacement = 0.35;
constexpr double kRateTimeConstant = 5 * kSecond;
constexpr double kInitialRateCount = 2;
constexpr double kUnboundedThreshold = 1e6;

// Load, in mean tasks, of placing a task on a node that does not have its program. Like load, a late start
// costs in proportion to the size of the task.
constexpr double kProgramStartLoad = 60;
constexpr Time kProgramRetention = 8 * kSecond;  // on a node, after the last task of the service has ended
// After a refusal for lack of capacity, changes of the free capacity in the endpoint list are not taken as
// proof that capacity is free again for this long.
constexpr Time kRefusalHoldTime = 1500 * kMs;

// Shares of busy cores and used memory up to which placements may fill a node. If every node would exceed
// them, cores may be filled up to kAcceptedDegradation of the class's degradation span and memory up to
// kMaxMemoryLimit, since a degraded service is better than none.
constexpr double kMaxBusyCores = 0.95;
constexpr double kMaxMemoryUse = 0.92;
constexpr double kAcceptedDegradation = 0.3;
constexpr double kMaxMemoryLimit = 1.0;

// A task larger than this multiple of the mean task is large; one node per class is reserved for large tasks.
constexpr double kLargeTaskFactor = 4;
// Assumed largest task of a class that requires a node kind, as a share of such a node, until one was seen.
constexpr double kInitialLargestTask = 0.35;

// With many nodes, a scheduler places tasks in its own partition on nodes whose load is at most
// kMaxPartitionLoadRatio times the mean. Other schedulers place little there, so that the view is current.
// The load of such a node includes its start backlog, in which starting a program that the node does not have
// counts as kColdStartWeight and starting one that it has as 1.
constexpr double kMaxPartitionLoadRatio = 1.1;
constexpr double kColdStartWeight = 9;

// Interval of health checks over all schedulers together, and how many schedulers check the same node at
// about the same time. The load reports correct the estimates of use.
constexpr Time kHealthCheckInterval = 100 * kMs;
constexpr int kSchedulersPerCheckRound = 10;

// Nodes in use are filled up to this share plus kPriceFillFactor times the node price before another node is
// used.
constexpr double kFillShare = 0.25;
constexpr double kPriceFillFactor = 2;

// Attempt time-outs as multiples of the mean acceptance time, and their bounds. The start time-outs apply
// where acceptance means that the task is running.
constexpr double kTimeoutFactor = 6;
constexpr double kStartTimeoutFactor = 9;
constexpr Time kMinTimeout = 500 * kMs;
constexpr Time kMaxTimeout = 2000 * kMs;
constexpr Time kMinStartTimeout = 1000 * kMs;

// The first ejection of a failing node lasts kInitialEjection; the duration doubles up to kMaxEjection.
constexpr Time kInitialEjection = 400 * kMs;
constexpr Time kMaxEjection = 5 * kSecond;
// A node that refused a class of a tenant without a reason gets no task of that class and tenant for this
// long.
constexpr Time kRejectedClassBackoff = 4 * kSecond;
// A node is not preferred for kDegradedPeriod after an eviction or after a report of a service level below
// kPoorServiceLevel or a memory pressure above kHighMemoryPressure.
constexpr Time kDegradedPeriod = 2 * kSecond;
constexpr double kPoorServiceLevel = 0.9;
constexpr double kHighMemoryPressure = 0.92;

constexpr Time kPendingRetryInterval = 50 * kMs;  // interval at which pending requests are retried
constexpr Time kViewAge = 1500 * kMs;             // typical age of the free capacity in the endpoint list
constexpr Time kMaxEndpointListSilence = 5 * kSecond;  // a subscription silent for longer is renewed

// Margin on the overload window: connection set-up and clock differences shift the times at which attempts
// reach a node.
constexpr double kOverloadWindowMargin = 1.3;
// Slots per overload window in which the remainder of equal shares is assigned; any window overlaps one more.
constexpr int kSlotsPerWindow = 2;
constexpr int kMaxLogMessages = 100;  // during the lifetime of a scheduler

// Up to kMaxScannedNodes nodes are scanned for each placement; with more, candidates come from an index, and
// at least kMinCandidates of them are ranked. Every kIndexRefreshInterval the index is rewritten if the mean
// use has drifted by more than the share kMaxMeanUseDrift. If none of kMaxExamined nodes is preferred, an
// allowed one is taken.
constexpr std::size_t kMaxScannedNodes = 64;
constexpr std::size_t kMinCandidates = 8;
constexpr std::size_t kMaxExamined = 128;
constexpr Time kIndexRefreshInterval = 250 * kMs;
constexpr double kMaxMeanUseDrift = 0.01;

}  // namespace scheduling::internal
