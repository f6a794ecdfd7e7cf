// Reads a failover plan from JSON and validates it against the deployment; reports all errors of a file
// together.
#include <algorithm>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include "json_files/document_checker.h"
#include "json_files/load.h"
#include "zone_failover/plan.h"

namespace cluster_manager::zone_failover {
namespace {

using nlohmann::json;

// Reads and validates the kinds of fields that a plan has.
class PlanReader : public json_files::DocumentChecker {
 public:
  PlanReader(std::string file, const Deployment& deployment)
      : DocumentChecker(std::move(file)), deployment_(deployment) {}

  // The member `name` of an object. Reports each member of it that is not in `members`. Null if it is
  // absent or not an object.
  const json* Member(const json& in, const std::string& location, const char* name,
                     const std::vector<std::string>& members) {
    const auto it = in.find(name);
    if (it == in.end() || !Object(*it, json_files::JoinPath(location, name), members)) return nullptr;
    return &*it;
  }
  // Reads the number `name`, if present, from `min` to `max`, multiplied by `unit`.
  template <typename Value>
  void ReadNumber(const json* in, const std::string& location, const char* name, double min, double max,
                  double unit, Value* target) {
    if (in == nullptr) return;
    const auto it = in->find(name);
    if (it == in->end()) return;
    if (!Number(*it, json_files::JoinPath(location, name), min, max)) return;
    *target = static_cast<Value>(it->get<double>() * unit);
  }
  // Reads a duration in milliseconds into nanoseconds.
  void ReadMilliseconds(const json* in, const std::string& location, const char* name, double min, double max,
                        std::int64_t* target) {
    ReadNumber(in, location, name, min, max, 1e6, target);
  }
  static constexpr int kInvalidClass = -2;
  // The index of the named class, kAny for "*", or kInvalidClass after reporting an error.
  int ReadClass(const json& value, const std::string& location) {
    if (value == "*") return RankRule::kAny;
    const auto it = value.is_string() ? std::ranges::find(deployment_.classes, value.get<std::string>())
                                      : deployment_.classes.end();
    if (it == deployment_.classes.end()) {
      AddError(location, "is " + value.dump() + ", write a class of the settings: " +
                             json_files::JoinList(deployment_.classes) + "; or \"*\" for all");
      return kInvalidClass;
    }
    return static_cast<int>(it - deployment_.classes.begin());
  }
  // 1, 0, or -1 if the condition is absent.
  int ReadCondition(const json& in, const std::string& location, const char* name) {
    const auto it = in.find(name);
    if (it == in.end()) return -1;
    if (!it->is_boolean()) {
      AddError(json_files::JoinPath(location, name),
               "is " + it->dump() + ", write true or false, or leave it out for either");
      return -1;
    }
    return it->get<bool>() ? 1 : 0;
  }

 private:
  const Deployment& deployment_;
};

constexpr double kNanosecondsPerMillisecond = 1e6;
constexpr double kMaxRetryAfterMs = 60'000;

std::string MillisecondsText(std::int64_t nanoseconds) { return std::to_string(nanoseconds / 1'000'000); }

void ReadDetection(const json& top, PlanReader* reader, HealthMonitorParameters* parameters) {
  const json* detection = reader->Member(top, "", "verdict",
                                         {"suspect_share", "least_nodes", "window_ms", "quiet_ms",
                                          "lost_after_ms", "ask_again_ms", "asked_at_once"});
  reader->ReadNumber(detection, "verdict", "suspect_share", 0.1, 1, 1, &parameters->suspect_share);
  reader->ReadNumber(detection, "verdict", "least_nodes", 1, 100, 1, &parameters->min_silent_nodes);
  reader->ReadMilliseconds(detection, "verdict", "window_ms", 500, 30'000, &parameters->evidence_window);
  reader->ReadMilliseconds(detection, "verdict", "quiet_ms", 100, 10'000, &parameters->silence_threshold);
  reader->ReadMilliseconds(detection, "verdict", "lost_after_ms", 0, 30'000, &parameters->confirmation_time);
  reader->ReadMilliseconds(detection, "verdict", "ask_again_ms", 200, 30'000, &parameters->check_interval);
  reader->ReadNumber(detection, "verdict", "asked_at_once", 1, 16, 1, &parameters->nodes_per_check);
  if (parameters->min_silent_nodes > parameters->nodes_per_check)
    reader->AddError("verdict.least_nodes", "is " + std::to_string(parameters->min_silent_nodes) +
                                                ", write at most asked_at_once, " +
                                                std::to_string(parameters->nodes_per_check) +
                                                ": no more nodes are checked at once");
}

void ReadBoundRequests(const json& load, const Deployment& deployment, PlanReader* reader, Plan* plan) {
  const json* policies = reader->Member(load, "load", "tied", deployment.classes);
  if (policies == nullptr) return;
  for (const auto& [name, value] : policies->items()) {
    const auto it = std::ranges::find(deployment.classes, name);
    if (it == deployment.classes.end()) continue;
    const auto index = static_cast<std::size_t>(it - deployment.classes.begin());
    if (value == "wait") {
      plan->bound_request_policies[index] = BoundRequestPolicy::kWait;
    } else if (value == "refuse") {
      plan->bound_request_policies[index] = BoundRequestPolicy::kReject;
    } else {
      reader->AddError("load.tied." + name, "is " + value.dump() + ", write \"wait\" or \"refuse\"");
    }
  }
}

void ReadLoad(const json& top, const Deployment& deployment, PlanReader* reader, Plan* plan) {
  const json* load = reader->Member(top, "", "load", {"reserve", "fill_cores", "fill_memory", "tied"});
  reader->ReadNumber(load, "load", "reserve", 0, 0.9, 1, &plan->capacity_reserve);
  reader->ReadNumber(load, "load", "fill_cores", 0.1, 10, 1, &plan->cores_overcommit);
  reader->ReadNumber(load, "load", "fill_memory", 0.1, 10, 1, &plan->memory_overcommit);
  if (load != nullptr && load->contains("tied")) ReadBoundRequests(*load, deployment, reader, plan);
}

// Reads the rank rules and checks that they cover every class.
class RankRuleReader {
 public:
  RankRuleReader(const Deployment& deployment, PlanReader* reader, std::vector<RankRule>* rules)
      : deployment_(deployment), reader_(reader), rules_(rules) {}

  void ReadAll(const json& rules) {
    rules_->clear();
    if (!rules.is_array() || rules.empty())
      reader_->AddError("admission.order", "is " + rules.dump() + ", write a list of rules");
    for (std::size_t i = 0; rules.is_array() && i < rules.size(); ++i) {
      ReadRule(rules[i], "admission.order[" + std::to_string(i) + "]");
    }
    CheckEachClassHasARule();
  }

 private:
  void ReadRule(const json& rule, const std::string& location) {
    if (!reader_->Object(rule, location, {"class", "over_share", "retry", "large"})) return;
    if (!rule.contains("class")) {
      reader_->AddError(location + ".class", "is missing, write a class of the settings: " +
                                                 json_files::JoinList(deployment_.classes));
      return;
    }
    RankRule rank_rule;
    rank_rule.class_index = reader_->ReadClass(rule["class"], location + ".class");
    rank_rule.over_share = reader_->ReadCondition(rule, location, "over_share");
    rank_rule.retry = reader_->ReadCondition(rule, location, "retry");
    rank_rule.large = reader_->ReadCondition(rule, location, "large");
    if (rank_rule.class_index == PlanReader::kInvalidClass) return;
    const std::vector<int> classes = MatchingClasses(rank_rule);
    if (std::ranges::all_of(classes, [this](int each) { return unconditional_.contains(each); }))
      reader_->AddError(location, "is never matched: earlier rules match all requests of " +
                                      rule["class"].get<std::string>() + ", move it before them");
    if (rank_rule.over_share < 0 && rank_rule.retry < 0 && rank_rule.large < 0)
      unconditional_.insert(classes.begin(), classes.end());
    rules_->push_back(rank_rule);
  }
  std::vector<int> MatchingClasses(const RankRule& rule) const {
    if (rule.class_index != RankRule::kAny) return {rule.class_index};
    std::vector<int> all(deployment_.classes.size());
    std::iota(all.begin(), all.end(), 0);
    return all;
  }
  void CheckEachClassHasARule() {
    for (std::size_t i = 0; i < deployment_.classes.size(); ++i) {
      if (!unconditional_.contains(static_cast<int>(i)))
        reader_->AddError("admission.order",
                          "has no unconditional rule for " + deployment_.classes[i] +
                              ", write one with the class alone, after the rules with conditions");
    }
  }

  const Deployment& deployment_;
  PlanReader* reader_;
  std::vector<RankRule>* rules_;
  std::set<int> unconditional_;  // classes that have a rule without conditions
};

void ReadAdmission(const json& top, const Deployment& deployment, PlanReader* reader, Plan* plan) {
  const json* admission =
      reader->Member(top, "", "admission", {"order", "horizon_ms", "calm_ms", "margin", "share_step"});
  reader->ReadMilliseconds(admission, "admission", "horizon_ms", 100, 60'000,
                           &plan->admission.planning_horizon);
  reader->ReadMilliseconds(admission, "admission", "calm_ms", 0, 60'000, &plan->admission.raise_delay);
  reader->ReadNumber(admission, "admission", "margin", 0.1, 1, 1, &plan->admission.raise_margin);
  reader->ReadNumber(admission, "admission", "share_step", 0.01, 1, 1, &plan->admission.share_step);
  if (admission == nullptr || !admission->contains("order")) return;
  RankRuleReader(deployment, reader, &plan->rank_rules).ReadAll((*admission)["order"]);
}

void ReadRecovery(const json& top, PlanReader* reader, Plan* plan) {
  const json* recovery = reader->Member(top, "", "return",
                                        {"first_per_s", "factor", "step_ms", "complete_per_s", "good",
                                         "come_back", "hold_ms", "hold_most_ms", "relapse_within_ms"});
  RecoveryRampParameters& ramp = plan->recovery_ramp;
  HealthMonitorParameters& health_monitor = plan->health_monitor;
  reader->ReadNumber(recovery, "return", "first_per_s", 0.01, 100, 1, &ramp.initial_rate);
  reader->ReadNumber(recovery, "return", "factor", 1.1, 10, 1, &ramp.rate_factor);
  reader->ReadMilliseconds(recovery, "return", "step_ms", 100, 60'000, &ramp.step_duration);
  reader->ReadNumber(recovery, "return", "complete_per_s", 0.01, 1000, 1, &ramp.complete_rate);
  reader->ReadNumber(recovery, "return", "good", 0.1, 1, 1, &ramp.min_success_share);
  reader->ReadNumber(recovery, "return", "come_back", 0.01, 1, 1, &health_monitor.recovered_share);
  reader->ReadMilliseconds(recovery, "return", "hold_ms", 0, 60'000, &health_monitor.recovery_hold);
  reader->ReadMilliseconds(recovery, "return", "hold_most_ms", 0, 600'000, &health_monitor.max_recovery_hold);
  reader->ReadMilliseconds(recovery, "return", "relapse_within_ms", 0, 600'000,
                           &health_monitor.relapse_window);
  if (health_monitor.max_recovery_hold < health_monitor.recovery_hold)
    reader->AddError("return.hold_most_ms", "is " + MillisecondsText(health_monitor.max_recovery_hold) +
                                                ", write at least hold_ms, " +
                                                MillisecondsText(health_monitor.recovery_hold));
  if (ramp.complete_rate < ramp.initial_rate)
    reader->AddError("return.complete_per_s", "is " + json_files::FormatNumber(ramp.complete_rate) +
                                                  ", write at least first_per_s, " +
                                                  json_files::FormatNumber(ramp.initial_rate));
}

void ReadRetryAfter(const json& top, const Deployment& deployment, PlanReader* reader, Plan* plan) {
  const json* rejections = reader->Member(top, "", "refusals", {"away_least_ms", "away_most_ms"});
  const double max_retry_after_ms =
      deployment.max_retry_after > 0
          ? static_cast<double>(deployment.max_retry_after) / kNanosecondsPerMillisecond
          : kMaxRetryAfterMs;
  reader->ReadMilliseconds(rejections, "refusals", "away_least_ms", 0, max_retry_after_ms,
                           &plan->min_retry_after);
  reader->ReadMilliseconds(rejections, "refusals", "away_most_ms", 1, max_retry_after_ms,
                           &plan->max_retry_after);
  if (plan->min_retry_after > plan->max_retry_after)
    reader->AddError("refusals.away_least_ms", "is " + MillisecondsText(plan->min_retry_after) +
                                                   ", write at most away_most_ms, " +
                                                   MillisecondsText(plan->max_retry_after));
}

}  // namespace

Plan ReadPlan(const json& document, const std::string& file, const Deployment& deployment) {
  PlanReader reader(file, deployment);
  Plan plan = DefaultPlan(deployment);
  if (!reader.Object(document, "", {"version", "verdict", "load", "admission", "return", "refusals"}))
    reader.ThrowIfInvalid();
  if (!document.contains("version")) reader.AddError("version", "is missing, write 1");
  reader.ReadNumber(&document, "", "version", 1, 1, 1, &plan.version);
  ReadDetection(document, &reader, &plan.health_monitor);
  ReadLoad(document, deployment, &reader, &plan);
  ReadAdmission(document, deployment, &reader, &plan);
  ReadRecovery(document, &reader, &plan);
  ReadRetryAfter(document, deployment, &reader, &plan);
  reader.ThrowIfInvalid();
  return plan;
}

Plan LoadPlan(const std::string& file, const Deployment& deployment) {
  return ReadPlan(json_files::LoadDocument(file), file, deployment);
}

}  // namespace cluster_manager::zone_failover
