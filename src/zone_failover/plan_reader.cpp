// Reads a failover plan from JSON and checks it against the deployment; reports all mistakes of one file
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

// The kinds of fields that a plan has.
class Reader : public json_files::DocumentChecker {
 public:
  Reader(std::string file, const Deployment& deployment)
      : DocumentChecker(std::move(file)), deployment_(deployment) {}

  // The member `name` of an object; each other name in it is a mistake. Null where it is absent or no object.
  const json* Member(const json& in, const std::string& place, const char* name,
                     const std::vector<std::string>& members) {
    const auto it = in.find(name);
    if (it == in.end() || !Object(*it, json_files::JoinPath(place, name), members)) return nullptr;
    return &*it;
  }
  template <typename Value>
  void Figure(const json* in, const std::string& place, const char* name, double least, double most,
              double unit, Value* to) {
    if (in == nullptr) return;
    const auto it = in->find(name);
    if (it == in->end()) return;
    if (!Number(*it, json_files::JoinPath(place, name), least, most)) return;
    *to = static_cast<Value>(it->get<double>() * unit);
  }
  void Ms(const json* in, const std::string& place, const char* name, double least, double most,
          std::int64_t* to) {
    Figure(in, place, name, least, most, 1e6, to);
  }
  static constexpr int kNone = -2;
  int Class(const json& value, const std::string& place) {
    if (value == "*") return RankRule::kAny;
    const auto it = value.is_string() ? std::ranges::find(deployment_.classes, value.get<std::string>())
                                      : deployment_.classes.end();
    if (it == deployment_.classes.end()) {
      AddError(place, "is " + value.dump() + ", write a class of the settings: " +
                          json_files::JoinList(deployment_.classes) + "; or \"*\" for all");
      return kNone;
    }
    return static_cast<int>(it - deployment_.classes.begin());
  }
  int Condition(const json& in, const std::string& place, const char* name) {
    const auto it = in.find(name);
    if (it == in.end()) return -1;
    if (!it->is_boolean()) {
      AddError(json_files::JoinPath(place, name),
               "is " + it->dump() + ", write true or false, or leave it out for either");
      return -1;
    }
    return it->get<bool>() ? 1 : 0;
  }

 private:
  const Deployment& deployment_;
};

constexpr double kNanosecondsPerMillisecond = 1e6;
constexpr double kLongestRetryAfterMs = 60'000;

std::string MillisecondsText(std::int64_t nanoseconds) { return std::to_string(nanoseconds / 1'000'000); }

void ReadDetection(const json& top, Reader* read, HealthMonitorParameters* watch) {
  const json* verdict = read->Member(top, "", "verdict",
                                     {"suspect_share", "least_nodes", "window_ms", "quiet_ms",
                                      "lost_after_ms", "ask_again_ms", "asked_at_once"});
  read->Figure(verdict, "verdict", "suspect_share", 0.1, 1, 1, &watch->suspect_share);
  read->Figure(verdict, "verdict", "least_nodes", 1, 100, 1, &watch->least);
  read->Ms(verdict, "verdict", "window_ms", 500, 30'000, &watch->window);
  read->Ms(verdict, "verdict", "quiet_ms", 100, 10'000, &watch->quiet);
  read->Ms(verdict, "verdict", "lost_after_ms", 0, 30'000, &watch->lost_after);
  read->Ms(verdict, "verdict", "ask_again_ms", 200, 30'000, &watch->ask_again);
  read->Figure(verdict, "verdict", "asked_at_once", 1, 16, 1, &watch->asked_at_once);
  if (watch->least > watch->asked_at_once)
    read->AddError("verdict.least_nodes",
                   "is " + std::to_string(watch->least) + ", write at most asked_at_once, " +
                       std::to_string(watch->asked_at_once) + ": more are never asked together");
}

void ReadBoundRequests(const json& load, const Deployment& deployment, Reader* read, Plan* plan) {
  const json* tied = read->Member(load, "load", "tied", deployment.classes);
  if (tied == nullptr) return;
  for (const auto& [name, value] : tied->items()) {
    const auto it = std::ranges::find(deployment.classes, name);
    if (it == deployment.classes.end()) continue;
    const auto index = static_cast<std::size_t>(it - deployment.classes.begin());
    if (value == "wait") {
      plan->tied[index] = Tied::kWait;
    } else if (value == "refuse") {
      plan->tied[index] = Tied::kRefuse;
    } else {
      read->AddError("load.tied." + name, "is " + value.dump() + ", write \"wait\" or \"refuse\"");
    }
  }
}

void ReadLoad(const json& top, const Deployment& deployment, Reader* read, Plan* plan) {
  const json* load = read->Member(top, "", "load", {"reserve", "fill_cores", "fill_memory", "tied"});
  read->Figure(load, "load", "reserve", 0, 0.9, 1, &plan->reserve);
  read->Figure(load, "load", "fill_cores", 0.1, 10, 1, &plan->fill_cores);
  read->Figure(load, "load", "fill_memory", 0.1, 10, 1, &plan->fill_memory);
  if (load != nullptr && load->contains("tied")) ReadBoundRequests(*load, deployment, read, plan);
}

// Reads the order of admission, rule by rule, and checks that every class has a place in it.
class OrderReader {
 public:
  OrderReader(const Deployment& deployment, Reader* read, std::vector<RankRule>* order)
      : deployment_(deployment), read_(read), order_(order) {}

  void ReadAll(const json& rules) {
    order_->clear();
    if (!rules.is_array() || rules.empty())
      read_->AddError("admission.order", "is " + rules.dump() + ", write a list of rules");
    for (std::size_t i = 0; rules.is_array() && i < rules.size(); ++i) {
      ReadRule(rules[i], "admission.order[" + std::to_string(i) + "]");
    }
    CheckEachClassHasARule();
  }

 private:
  void ReadRule(const json& rule, const std::string& place) {
    if (!read_->Object(rule, place, {"class", "over_share", "retry", "large"})) return;
    if (!rule.contains("class")) {
      read_->AddError(place + ".class", "is missing, write a class of the settings: " +
                                            json_files::JoinList(deployment_.classes));
      return;
    }
    RankRule made;
    made.class_index = read_->Class(rule["class"], place + ".class");
    made.over_share = read_->Condition(rule, place, "over_share");
    made.retry = read_->Condition(rule, place, "retry");
    made.large = read_->Condition(rule, place, "large");
    if (made.class_index == Reader::kNone) return;
    const std::vector<int> classes = ClassesOf(made);
    if (std::ranges::all_of(classes, [this](int each) { return unconditional_.contains(each); }))
      read_->AddError(place, "is never met: rules before it take all of " + rule["class"].get<std::string>() +
                                 ", move it before those");
    if (made.over_share < 0 && made.retry < 0 && made.large < 0)
      unconditional_.insert(classes.begin(), classes.end());
    order_->push_back(made);
  }
  std::vector<int> ClassesOf(const RankRule& rule) const {
    if (rule.class_index != RankRule::kAny) return {rule.class_index};
    std::vector<int> all(deployment_.classes.size());
    std::iota(all.begin(), all.end(), 0);
    return all;
  }
  void CheckEachClassHasARule() {
    for (std::size_t i = 0; i < deployment_.classes.size(); ++i) {
      if (!unconditional_.contains(static_cast<int>(i)))
        read_->AddError("admission.order",
                        "has no rule for all of " + deployment_.classes[i] +
                            ", write one with the class alone, behind those with conditions");
    }
  }

  const Deployment& deployment_;
  Reader* read_;
  std::vector<RankRule>* order_;
  std::set<int> unconditional_;  // classes that have a rule without conditions
};

void ReadAdmission(const json& top, const Deployment& deployment, Reader* read, Plan* plan) {
  const json* admission =
      read->Member(top, "", "admission", {"order", "horizon_ms", "calm_ms", "margin", "share_step"});
  read->Ms(admission, "admission", "horizon_ms", 100, 60'000, &plan->admission.horizon);
  read->Ms(admission, "admission", "calm_ms", 0, 60'000, &plan->admission.calm);
  read->Figure(admission, "admission", "margin", 0.1, 1, 1, &plan->admission.margin);
  read->Figure(admission, "admission", "share_step", 0.01, 1, 1, &plan->admission.share_step);
  if (admission == nullptr || !admission->contains("order")) return;
  OrderReader(deployment, read, &plan->order).ReadAll((*admission)["order"]);
}

void ReadRecovery(const json& top, Reader* read, Plan* plan) {
  const json* recovery = read->Member(top, "", "return",
                                      {"first_per_s", "factor", "step_ms", "complete_per_s", "good",
                                       "come_back", "hold_ms", "hold_most_ms", "relapse_within_ms"});
  RecoveryRampParameters& ramp = plan->comeback;
  HealthMonitorParameters& watch = plan->watch;
  read->Figure(recovery, "return", "first_per_s", 0.01, 100, 1, &ramp.first);
  read->Figure(recovery, "return", "factor", 1.1, 10, 1, &ramp.factor);
  read->Ms(recovery, "return", "step_ms", 100, 60'000, &ramp.step);
  read->Figure(recovery, "return", "complete_per_s", 0.01, 1000, 1, &ramp.complete);
  read->Figure(recovery, "return", "good", 0.1, 1, 1, &ramp.good);
  read->Figure(recovery, "return", "come_back", 0.01, 1, 1, &watch.come_back);
  read->Ms(recovery, "return", "hold_ms", 0, 60'000, &watch.hold);
  read->Ms(recovery, "return", "hold_most_ms", 0, 600'000, &watch.hold_most);
  read->Ms(recovery, "return", "relapse_within_ms", 0, 600'000, &watch.relapse_within);
  if (watch.hold_most < watch.hold)
    read->AddError("return.hold_most_ms", "is " + MillisecondsText(watch.hold_most) +
                                              ", write at least hold_ms, " + MillisecondsText(watch.hold));
  if (ramp.complete < ramp.first)
    read->AddError("return.complete_per_s", "is " + json_files::FormatNumber(ramp.complete) +
                                                ", write at least first_per_s, " +
                                                json_files::FormatNumber(ramp.first));
}

void ReadRetryAfter(const json& top, const Deployment& deployment, Reader* read, Plan* plan) {
  const json* refusals = read->Member(top, "", "refusals", {"away_least_ms", "away_most_ms"});
  const double most = deployment.most_away > 0
                          ? static_cast<double>(deployment.most_away) / kNanosecondsPerMillisecond
                          : kLongestRetryAfterMs;
  read->Ms(refusals, "refusals", "away_least_ms", 0, most, &plan->away_least);
  read->Ms(refusals, "refusals", "away_most_ms", 1, most, &plan->away_most);
  if (plan->away_least > plan->away_most)
    read->AddError("refusals.away_least_ms", "is " + MillisecondsText(plan->away_least) +
                                                 ", write at most away_most_ms, " +
                                                 MillisecondsText(plan->away_most));
}

}  // namespace

Plan ReadPlan(const json& document, const std::string& file, const Deployment& deployment) {
  Reader read(file, deployment);
  Plan plan = DefaultPlan(deployment);
  if (!read.Object(document, "", {"version", "verdict", "load", "admission", "return", "refusals"}))
    read.ThrowIfInvalid();
  if (!document.contains("version")) read.AddError("version", "is missing, write 1");
  read.Figure(&document, "", "version", 1, 1, 1, &plan.version);
  ReadDetection(document, &read, &plan.watch);
  ReadLoad(document, deployment, &read, &plan);
  ReadAdmission(document, deployment, &read, &plan);
  ReadRecovery(document, &read, &plan);
  ReadRetryAfter(document, deployment, &read, &plan);
  read.ThrowIfInvalid();
  return plan;
}

Plan LoadPlan(const std::string& file, const Deployment& deployment) {
  return ReadPlan(json_files::LoadDocument(file), file, deployment);
}

}  // namespace cluster_manager::zone_failover
