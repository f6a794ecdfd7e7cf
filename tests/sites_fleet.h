// Three halls in virtual time, for the tests of the plan for lost sites.
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

inline Deployment Halls(int managers = 6) {
  return {{"hall-a", "hall-b", "hall-c"},
          {"web-api", "card-worker", "settlement"},
          {1, 5, 5},
          managers,
          3 * kSecond};
}

// Twelve nodes a hall and one cluster manager that asks them at random; what a hall does with a question is
// the test's to say.
struct Fleet {
  static constexpr int kNodes = 36;
  enum class Answer { kYes, kNo, kSpeaks };  // kSpeaks: it says something of itself, and does not answer
  Deployment deployment = Halls();
  Plan plan = DefaultPlan(deployment);
  std::optional<ZoneFailover> sites;
  std::mt19937 random{7};
  Time now = 1'000 * kSecond;
  std::function<Answer(int hall)> answers = [](int) { return Answer::kYes; };
  // Of the set-ups and the tests that a hall which answers does answer in time.
  double setups_answered = 1, tests_answered = 1;
  int rate = 20;  // questions a second
  struct Out {
    Time at;
    int node;
    Time asked;
    Answer answer;
  };
  std::vector<Out> out;
  std::vector<std::string> log;
  std::map<int, int> asked;  // by node, by the watch

  Fleet() { Start(); }
  void Start() {
    sites.emplace(plan, deployment);
    for (int node = 0; node < kNodes; ++node) List(node, true);
  }
  void List(int node, bool in_service) {
    sites->Listed(static_cast<NodeId>(node), node % 3, in_service, {8, 13, 6, 10}, now);
  }
  int Below(int most) { return static_cast<int>(random() % static_cast<unsigned>(most)); }
  void Question(int node, Time patience) {
    sites->Asked(static_cast<NodeId>(node), now);
    Answer answer = answers(node % 3);
    const double share = patience < 500 * kMs ? tests_answered : setups_answered;
    if (answer == Answer::kYes && Below(1000) >= 1000 * share) answer = Answer::kNo;
    const Time after = answer == Answer::kYes ? (5 + Below(60)) * kMs : patience;
    out.push_back({now + after, node, now, answer});
  }
  void Run(Time length) {
    for (const Time end = now + length; now < end;) {
      now += 10 * kMs;
      if (Below(100) < rate) Question(Below(kNodes), 1000 * kMs);
      std::erase_if(out, [this](const Out& o) {
        if (o.at > now) return false;
        const NodeId node = static_cast<NodeId>(o.node);
        if (o.answer == Answer::kYes) {
          sites->Answered(node, now);
        } else {
          if (o.answer == Answer::kSpeaks) sites->Spoke(node, now);
          sites->Unanswered(node, o.asked);
        }
        return true;
      });
      if (now % ZoneFailover::kEvaluateEvery != 0) continue;
      const ZoneFailover::Orders orders = sites->Evaluate(0, now);
      for (const NodeId node : orders.ask) {
        ++asked[static_cast<int>(node)];
        Question(static_cast<int>(node), 250 * kMs);
      }
      log.insert(log.end(), orders.log.begin(), orders.log.end());
    }
  }
  State Of(int hall) const { return sites->watch().site(hall).state; }
  // How long until the hall is in this state, up to `most`.
  Time Until(int hall, State state, Time most) {
    const Time from = now;
    while (Of(hall) != state && now - from < most) Run(10 * kMs);
    return now - from;
  }
};

}  // namespace cluster_manager::zone_failover
