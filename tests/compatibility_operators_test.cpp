// The interface of the running program for operators: paths and methods of the admin API, the status of each
// answer and the keys of the metrics. Renaming in the source must not change them.
#include <doctest/doctest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "metrics/metrics.h"
#include "story_operated.h"

namespace cluster_manager::story {
namespace {

// The document with each value replaced by the name of its JSON type.
json TypesOf(const json& document) {
  if (!document.is_object()) return document.type_name();
  json types = json::object();
  for (const auto& [key, value] : document.items()) types[key] = TypesOf(value);
  return types;
}

json MetricsWith(const json& by_class) {
  return {{"fulfilled", by_class},       {"throttled", by_class},     {"faulted", by_class},
          {"relayed", "number"},         {"open_requests", "number"}, {"registry_entries", "number"},
          {"out_of_rotation", "number"}, {"cfg_accepted", "number"},  {"cfg_invalid", "number"}};
}

TEST_CASE_FIXTURE(
    Operated, "GET /v1/metrics has exactly the known keys and three of them hold a value for each class") {
  Program& program = Start();
  Wire owner = Owner();
  Ask(&owner, kTask, "safe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  CHECK(FiguresOf(program.admin_port())["open_requests"] == 1);
  agent.Answer(kTask, "here");
  owner.Hear(Type::kTaskAccepted, kTask);
  const json metrics = FiguresOf(program.admin_port());
  CHECK(TypesOf(metrics) == MetricsWith({{"safe", "number"}, {"keyed", "number"}, {"unsafe", "number"}}));
  CHECK(metrics["relayed"] == 1);
  CHECK(metrics["registry_entries"] == 2);
  CHECK(metrics["fulfilled"]["safe"] == 1);
}

TEST_CASE("each metric is written under its key") {
  Metrics metrics;
  *metrics.CountersOf("web api") = {1, 2, 3};
  const json expected = {{"fulfilled", {{"web api", 1}}},
                         {"throttled", {{"web api", 2}}},
                         {"faulted", {{"web api", 3}}},
                         {"relayed", 4},
                         {"open_requests", 5},
                         {"registry_entries", 6},
                         {"out_of_rotation", 7},
                         {"cfg_accepted", 8},
                         {"cfg_invalid", 9}};
  CHECK(json::parse(metrics.FormatJson({4, 5, 6, 7, 8, 9})) == expected);
}

TEST_CASE("the metrics have all keys even where no class has been seen") {
  const json metrics = json::parse(Metrics().FormatJson({}));
  CHECK(TypesOf(metrics) == MetricsWith(json::object()));
}

struct Expected {
  const char* method;
  const char* path;
  int status;
  const char* body;  // null: an object with the single key "error", whose value is a string
};

TEST_CASE_FIXTURE(Operated, "each path and method of the admin API has its status and body") {
  const int port = Start().admin_port();
  const std::vector<Expected> calls = {
      {"GET", "/v1/readyz", 200, R"({"ready":true})"},
      {"HEAD", "/v1/readyz", 200, ""},
      {"HEAD", "/v1/metrics", 200, ""},
      {"POST", "/v1/agents/s-00000001/suspend", 200, R"({"agent":"s-00000001","suspended":true})"},
      {"POST", "/v1/agents/s-00000001/resume", 200, R"({"agent":"s-00000001","suspended":false})"},
      {"POST", "/v1/agents/s%2D00000002/suspend", 200, R"({"agent":"s-00000002","suspended":true})"},
      {"POST", "/v1/cluster-manager/drain", 200, R"({"draining":true})"},
      {"GET", "/v1/readyz", 503, R"({"ready":false})"},
      {"POST", "/v1/cluster-manager/activate", 200, R"({"draining":false})"},
      {"GET", "/v1/readyz", 200, R"({"ready":true})"},
      {"POST", "/v1/readyz", 405, nullptr},
      {"POST", "/v1/metrics", 405, nullptr},
      {"DELETE", "/v1/metrics", 405, nullptr},
      {"GET", "/v1/agents/s-00000001/suspend", 405, nullptr},
      {"PUT", "/v1/agents/s-00000001/resume", 405, nullptr},
      {"GET", "/v1/cluster-manager/drain", 405, nullptr},
      {"GET", "/v1/cluster-manager/activate", 405, nullptr},
      {"POST", "/v1/agents/s-9/suspend", 404, nullptr},
      {"POST", "/v1/agents//suspend", 400, nullptr},
      {"POST", "/v1/agents/s%2/suspend", 400, nullptr},
      {"GET", "/", 404, nullptr},
      {"GET", "/v1", 404, nullptr},
      {"GET", "/v1/agents", 404, nullptr},
      {"GET", "/v1/agents/s-00000001", 404, nullptr},
      {"POST", "/v1/agents/s-00000001/stop", 404, nullptr},
      {"POST", "/v1/cluster-manager/", 404, nullptr},
      {"POST", "/v1/cluster-manager/stop", 404, nullptr},
      {"GET", "/v1/ready", 404, nullptr},
      {"GET", "/v1/readyz/", 404, nullptr},
      {"GET", "/v2/readyz", 404, nullptr},
      {"GET", "/metrics", 404, nullptr},
      {"GET", "/healthz", 404, nullptr},
  };
  for (const Expected& call : calls) {
    CAPTURE(call.method);
    CAPTURE(call.path);
    const Reply reply = Call(port, call.method, call.path);
    CHECK(reply.status == call.status);
    if (call.body != nullptr) {
      CHECK(reply.body == call.body);
    } else {
      CHECK(TypesOf(json::parse(reply.body)) == json{{"error", "string"}});
    }
  }
}

TEST_CASE_FIXTURE(Operated, "an unknown path is answered with the list of the calls") {
  const Reply reply = Get(Start().admin_port(), "/v1/unknown");
  CHECK(json::parse(reply.body)["error"] ==
        "'/v1/unknown' is no path here; the calls are GET /v1/readyz, GET /v1/metrics, POST "
        "/v1/agents/ID/suspend, POST /v1/agents/ID/resume, POST /v1/cluster-manager/drain and POST "
        "/v1/cluster-manager/activate");
}

}  // namespace
}  // namespace cluster_manager::story
