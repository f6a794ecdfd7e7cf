#include "faults/scenario.h"

#include <algorithm>
#include <iterator>
#include <pcg_random.hpp>
#include <stdexcept>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace cluster_manager::faults {
namespace {

using nlohmann::json;
using Names = std::vector<std::string>;

// What each fault needs beyond the schema's shape.
struct Needs {
  const char *what, *fields;
};
constexpr Needs kNeeds[] = {{"cut", "from to"},
                            {"slow", "from to delay_ms for_ms"},
                            {"reset", "from to"},
                            {"half", "from to"},
                            {"kill", "on"},
                            {"stop", "on for_ms"},
                            {"restart", "on"},
                            {"die", "on"},
                            {"replace", "on for_ms delay_ms"},
                            {"pace", "on share"},
                            {"drain", "on"},
                            {"gone", "on"},
                            {"list_lag", "delay_ms for_ms"},
                            {"list_silent", "for_ms"},
                            {"list_slow", "delay_ms for_ms"}};

// Drawn from the seed, so that each scenario is played under every group over three seeds in a row.
constexpr const char* kGroups[] = {"all", "zone", "cell"};

std::string DrawGroup(const std::string& name, std::uint64_t seed) {
  std::uint64_t sum = seed;
  for (const char c : name) sum += static_cast<unsigned char>(c);
  return kGroups[sum % std::size(kGroups)];
}

std::string Where(const std::vector<std::string>& path) {
  std::string text;
  for (const std::string& part : path) {
    if (part == "<root>") continue;
    const bool index = part.front() == '[';
    text += (index || text.empty() ? "" : ".") + (index || part.front() != '"' ? part : part);
  }
  return text.empty() ? "the file" : text;
}

class Drawing {
 public:
  Drawing(const json& fleet, std::uint64_t seed, std::uint64_t stream)
      : fleet_(fleet), random_(seed, stream) {}

  double Number(const json& value) {
    if (value.is_number()) return value;
    const double low = value[0], high = value[1];
    return low + (high - low) * ((random_() >> 8) / 16777216.0);
  }
  Names Targets(const json& value) {
    if (value.is_array()) {
      Names all;
      for (const json& each : value) {
        for (std::string& name : Targets(each)) {
          if (std::ranges::find(all, name) == all.end()) all.push_back(std::move(name));
        }
      }
      return all;
    }
    if (value.is_object()) {
      Names from = Targets(value.at("of"));
      for (std::size_t i = from.size(); i > 1; --i)
        std::swap(from[i - 1], from[random_(static_cast<std::uint32_t>(i))]);
      if (from.size() > value.at("pick")) from.resize(value.at("pick"));
      std::ranges::sort(from);
      return from;
    }
    const std::string name = value;
    if (name.starts_with("hall-")) return Hall(name.back() - 'a');
    if (name.back() != '*') return {name};
    Names all;
    const char* kind = name[0] == 'm' ? "managers" : name[0] == 'n' ? "nodes" : "owners";
    for (int i = 0; i < fleet_.at(kind).get<int>(); ++i) all.push_back(name.substr(0, 1) + std::to_string(i));
    return all;
  }

 private:
  // Nodes stand in the halls in turn.
  Names Hall(int hall) const {
    Names all;
    const int halls = fleet_.at("halls");
    for (int i = hall; i < fleet_.at("nodes").get<int>(); i += halls) all.push_back("n" + std::to_string(i));
    return all;
  }

  const json& fleet_;
  pcg32 random_;
};

void CheckTarget(const json& value, const json& fleet, const std::string& where, std::string* errors) {
  if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i)
      CheckTarget(value[i], fleet, where + "[" + std::to_string(i) + "]", errors);
  } else if (value.is_object()) {
    CheckTarget(value["of"], fleet, where + ".of", errors);
  } else {
    const std::string name = value;
    if (name == "list" || name.back() == '*') return;
    const bool hall = name.starts_with("hall-");
    const char* kind = hall ? "halls" : name[0] == 'm' ? "managers" : name[0] == 'n' ? "nodes" : "owners";
    const int most = fleet.at(kind), number = hall ? name.back() - 'a' : std::stoi(name.substr(1));
    if (number >= most)
      *errors +=
          where + ": there is no " + name + ", the fleet has " + std::to_string(most) + " " + kind + "\n";
  }
}

}  // namespace

void CheckScenario(const json& scenario, const json& schema) {
  valijson::Schema compiled;
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema), adapter(scenario);
  parser.populateSchema(schema_adapter, compiled);
  valijson::Validator validator;
  valijson::ValidationResults results;
  std::string errors;
  if (!validator.validate(compiled, adapter, &results)) {
    for (const auto& error : results) errors += Where(error.context) + ": " + error.description + "\n";
    throw std::runtime_error(errors);
  }
  const json& fleet = scenario["fleet"];
  if (fleet["nodes"] < fleet["halls"]) errors += "fleet.nodes: fewer than fleet.halls, each hall needs one\n";
  for (std::size_t i = 0; i < scenario["faults"].size(); ++i) {
    const json& fault = scenario["faults"][i];
    const std::string where = "faults[" + std::to_string(i) + "]", what = fault["do"];
    if (fault.contains("at_ms") == fault.contains("when"))
      errors += where + ": write either \"at_ms\" or \"when\"\n";
    for (const Needs& needs : kNeeds) {
      if (what != needs.what) continue;
      std::string fields = needs.fields;
      for (std::size_t at = 0; at < fields.size();) {
        const std::size_t end = std::min(fields.find(' ', at), fields.size());
        const std::string field = fields.substr(at, end - at);
        if (!fault.contains(field)) errors += where + ": \"" + what + "\" needs \"" + field + "\"\n";
        at = end + 1;
      }
    }
    if (fault.contains("times") && !fault.contains("again_after_ms"))
      errors += where + ": \"times\" needs \"again_after_ms\"\n";
    for (const char* field : {"on", "from", "to"}) {
      if (fault.contains(field)) CheckTarget(fault[field], fleet, where + "." + field, &errors);
    }
  }
  if (!errors.empty()) throw std::runtime_error(errors);
}

json Plan(const json& scenario, std::uint64_t seed) {
  json plan = {{"name", scenario.at("name")},
               {"seed", seed},
               {"fleet", scenario.at("fleet")},
               {"faults", json::array()}};
  if (!plan["fleet"].contains("group")) plan["fleet"]["group"] = DrawGroup(scenario.at("name"), seed);
  std::uint64_t stream = 0;
  for (const json& fault : scenario.at("faults")) {
    Drawing drawing(scenario.at("fleet"), seed, ++stream);
    json drawn = fault;
    for (const char* field :
         {"at_ms", "for_ms", "delay_ms", "jitter_ms", "body_ms", "per_call_ms", "again_after_ms"}) {
      if (fault.contains(field)) drawn[field] = drawing.Number(fault[field]);
    }
    if (fault.contains("when"))
      drawn["when"]["count"] = std::max(1, static_cast<int>(drawing.Number(fault["when"]["count"])));
    for (const char* field : {"on", "from", "to"}) {
      if (fault.contains(field)) drawn[field] = drawing.Targets(fault[field]);
    }
    drawn.erase("times");
    drawn.erase("again_after_ms");
    const int times = fault.value("times", 1);
    for (int i = 0; i < times; ++i) {
      plan["faults"].push_back(drawn);
      if (fault.contains("again_after_ms") && drawn.contains("at_ms"))
        drawn["at_ms"] = drawn["at_ms"].get<double>() + drawing.Number(fault["again_after_ms"]);
    }
  }
  std::stable_sort(plan["faults"].begin(), plan["faults"].end(), [](const json& a, const json& b) {
    return a.value("at_ms", 0.0) < b.value("at_ms", 0.0);
  });
  return plan;
}

}  // namespace cluster_manager::faults
