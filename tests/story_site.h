// What owners ask in the stories, and the site most of them play on.
#pragma once

#include <optional>
#include <string>

#include "story.h"

namespace cluster_manager::story {

struct Asked {
  std::string class_name = "safe", wait = "25000", tenant = "shop one", name = "0b5e";
  std::string figures = "cores:1;memory:2;service:0b", key = "", description = std::string("run\0this", 8);
};
inline void AskAs(Wire* owner, TaskId task, const Asked& a) {
  owner->Say(Type::kTaskRequest, task, [&](protocol::Writer& w) {
    w.Add(Code::kClass, a.class_name).Add(Code::kTimeoutMs, a.wait).Add(Code::kTenant, a.tenant);
    w.Add(Code::kName, a.name).Add(Code::kResources, a.figures);
    if (!a.key.empty()) w.Add(Code::kIdempotencyKey, a.key);
    w.Add(Code::kDescription, a.description);
  });
}
// A set-up as owners send it.
inline void Ask(Wire* owner, TaskId task, const std::string& class_name, int wait_ms = 25'000,
                const std::string& more = "") {
  Asked a{class_name, std::to_string(wait_ms), "shop one", protocol::FormatTaskId(task + 7)};
  a.figures += more;
  if (class_name == "keyed") a.key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
  AskAs(owner, task, a);
}

constexpr TaskId kTask = 0x7f3a9c21e0b4d655, kOther = 0x1122334455667788;

// One program, one bulletin, two agents; the module prefers the first, whose room is the larger.
struct Site {
  Port bulletin, first, second;
  std::optional<Program> program;

  void Start(const json& settings = Settings(), rlim_t limit = 0, rlim_t told = 0) {
    program.emplace(json{Node("s-00000001", first.endpoint(), 10), Node("s-00000002", second.endpoint(), 5)},
                    bulletin, settings, limit, told);
  }
};

}  // namespace cluster_manager::story
