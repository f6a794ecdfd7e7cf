// Records of a small trial for tests of the judge.
#pragma once

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "faults/judge.h"

namespace cluster_manager::faults {

using nlohmann::json;
using Time = std::int64_t;
inline constexpr Time kStart = 1'700'000'000'000'000'000, kMs = 1'000'000;

// A trial of 60 s with one task that is served by n1 through m0, and ends after two seconds.
struct Trial {
  std::vector<json> records;
  Terms terms;

  Trial() {
    Say(0, "rig", "begin", {});
    Say(60'000, "rig", "end", {{"on", "trial"}});
    Boot("n1", "s-1", 1);
    Boot("n2", "s-2", 1);
  }
  void Say(Time ms, const std::string& who, const std::string& what, json more) {
    more["t"] = kStart + ms * kMs;
    more["who"] = who;
    more["what"] = what;
    records.push_back(std::move(more));
  }
  void Boot(const std::string& node, const std::string& uid, Time ms) {
    Say(ms, node, "boot", {{"uid", uid}});
  }
  void Ask(const std::string& id, Time ms, const std::string& class_name = "web-api",
           const std::string& name = "") {
    Say(ms, "o0", "ask",
        {{"id", id},
         {"name", name.empty() ? id : name},
         {"class", class_name},
         {"m", "m0"},
         {"wait_ms", "3000"},
         {"try", "1"}});
  }
  void Offer(const std::string& id, Time ms, const std::string& node = "n1", const std::string& uid = "s-1",
             const std::string& class_name = "web-api", const std::string& name = "") {
    Say(ms, "m0>" + node, "offered", {{"id", id}, {"link", "1"}});
    Arrive(id, ms + 1, node, uid, class_name, name);
  }
  void Arrive(const std::string& id, Time ms, const std::string& node, const std::string& uid,
              const std::string& class_name = "web-api", const std::string& name = "") {
    Say(ms, node, "arrive",
        {{"id", id}, {"uid", uid}, {"class", class_name}, {"name", name.empty() ? id : name}});
  }
  void Answer(const std::string& id, Time ms, const std::string& node = "n1") {
    Say(ms, node, "answer", {{"id", id}, {"uid", "s-1"}});
  }
  void End(const std::string& id, Time ms, const std::string& why, const std::string& node = "n1") {
    Say(ms, node, "end", {{"id", id}, {"uid", "s-1"}, {"why", why}});
  }
  void Owner(const std::string& id, Time ms, const std::string& what, const std::string& figure = "16") {
    Say(ms, "o0", what, {{"id", id}, {"figure", figure}, {"m", "m0"}});
  }
  void Served(const std::string& id, Time from, const std::string& class_name = "web-api") {
    Ask(id, from, class_name);
    Offer(id, from + 1, "n1", "s-1", class_name);
    Answer(id, from + 50);
    Owner(id, from + 52, "served", "s-1");
  }
  void Whole(const std::string& id, Time from) {
    Served(id, from);
    End(id, from + 2000, "over");
    Owner(id, from + 2001, "over");
  }
  void Fault(const std::string& on, Time from, Time to) {
    Say(from, "rig", "fault", {{"on", on}, {"kind", "cut"}});
    Say(to, "rig", "healed", {{"on", on}, {"kind", "cut"}});
  }
  std::vector<std::string> Rules() const {
    std::vector<std::string> rules;
    for (const Breach& breach : Judge(records, terms).breaches) {
      rules.push_back(breach.rule);
      CHECK_FALSE(breach.witness.empty());
    }
    return rules;
  }
  using Expected = std::vector<std::string>;
};

}  // namespace cluster_manager::faults
