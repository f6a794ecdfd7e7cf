// A simulated fleet of three zones in virtual time, for the tests of zone failover.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "zone_failover/zone_failover.h"

namespace cluster_manager::zone_failover {

inline constexpr Time kMs = 1'000'000, kSecond = 1'000'000'000;

inline Deployment ThreeZones(int managers = 6) {
  return {{"hall-a", "hall-b", "hall-c"},
          {"web-api", "card-worker", "settlement"},
          {1, 5, 5},
          managers,
          3 * kSecond};
}

// Twelve nodes per zone and one cluster manager that sends requests to random nodes. The test sets how the
// nodes of a zone reply.
struct SimulatedFleet {
  static constexpr int kNodes = 36;
  // kReportOnly: the node sends a message on its own, and does not reply.
  enum class Reply { kReply, kNone, kReportOnly };
  Deployment deployment = ThreeZones();
  Plan plan = DefaultPlan(deployment);
  std::optional<ZoneFailover> failover;
  std::mt19937 random{7};
  Time now = 1'000 * kSecond;
  std::function<Reply(int zone)> reply_of_zone = [](int) { return Reply::kReply; };
  // The share of attempts and of checks that a replying zone answers in time.
  double attempt_reply_share = 1, check_reply_share = 1;
  int request_rate = 20;  // attempts per second
  struct PendingRequest {
    Time due_at;
    int node;
    Time sent_at;
    Reply reply;
  };
  std::vector<PendingRequest> pending;
  std::vector<std::string> log;
  std::map<int, int> check_count;  // checks requested by the health monitor, by node

  SimulatedFleet() { Start(); }
  void Start() {
    failover.emplace(plan, deployment);
    for (int node = 0; node < kNodes; ++node) ListNode(node, true);
  }
  void ListNode(int node, bool in_service) {
    failover->RecordListing(static_cast<NodeId>(node), node % 3, in_service, {8, 13, 6, 10}, now);
  }
  int RandomBelow(int limit) { return static_cast<int>(random() % static_cast<unsigned>(limit)); }
  void SendRequest(int node, Time timeout) {
    failover->RecordRequest(static_cast<NodeId>(node), now);
    Reply reply = reply_of_zone(node % 3);
    const double share = timeout < 500 * kMs ? check_reply_share : attempt_reply_share;
    if (reply == Reply::kReply && RandomBelow(1000) >= 1000 * share) reply = Reply::kNone;
    const Time delay = reply == Reply::kReply ? (5 + RandomBelow(60)) * kMs : timeout;
    pending.push_back({now + delay, node, now, reply});
  }
  void Run(Time length) {
    for (const Time end = now + length; now < end;) {
      now += 10 * kMs;
      if (RandomBelow(100) < request_rate) SendRequest(RandomBelow(kNodes), 1000 * kMs);
      std::erase_if(pending, [this](const PendingRequest& request) {
        if (request.due_at > now) return false;
        const NodeId node = static_cast<NodeId>(request.node);
        if (request.reply == Reply::kReply) {
          failover->RecordReply(node, now);
        } else {
          if (request.reply == Reply::kReportOnly) failover->RecordReport(node, now);
          failover->RecordUnanswered(node, request.sent_at);
        }
        return true;
      });
      if (now % ZoneFailover::kEvaluationInterval != 0) continue;
      const ZoneFailover::Evaluation evaluation = failover->Evaluate(0, now);
      for (const NodeId node : evaluation.nodes_to_check) {
        ++check_count[static_cast<int>(node)];
        SendRequest(static_cast<int>(node), 250 * kMs);
      }
      log.insert(log.end(), evaluation.log_lines.begin(), evaluation.log_lines.end());
    }
  }
  ZoneState StateOf(int zone) const { return failover->health_monitor().zone(zone).state; }
  // Runs until the zone is in this state, for at most `limit`. Returns the time that it took.
  Time RunUntil(int zone, ZoneState state, Time limit) {
    const Time from = now;
    while (StateOf(zone) != state && now - from < limit) Run(10 * kMs);
    return now - from;
  }
};

}  // namespace cluster_manager::zone_failover
