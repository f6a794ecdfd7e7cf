// The platform as it is on the operators' days, for the stories: a list that is read, two agents of which the
// first is preferred, and a socket for owners that outlives each process.
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "story_http.h"
#include "story_site.h"

namespace cluster_manager::story {

inline bool Passes(Wire* owner) {
  owner->Say(Type::kHealthCheck, 1, Cause::kHealthCheckFailed);
  return owner->Hear(Type::kHealthCheckResult, 1).cause == 1;
}

struct Operated {
  Port bulletin, first, second, owners;
  std::filesystem::path tmp;
  std::vector<std::unique_ptr<Program>> lives;
  std::vector<Wire> lists;

  Operated() {
    std::string name = (std::filesystem::temp_directory_path() / "willowrail-shared-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    tmp = name;
  }
  ~Operated() {
    lives.clear();
    std::filesystem::remove_all(tmp);
  }
  json Nodes() const {
    return {Node("s-00000001", first.endpoint(), 10), Node("s-00000002", second.endpoint(), 5)};
  }
  // Starts one more process and serves it the list; the owners' socket is inherited or its own.
  Program& Start(bool inherit = true) {
    lives.push_back(std::make_unique<Program>(Nodes(), bulletin, Settings(), 0, 0,
                                              Platform{inherit ? owners.socket() : -1, tmp.string(), true}));
    lists.push_back(bulletin.Accept());
    lists.back().Bytes();
    lists.back().Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n");
    Until(lives.back()->admin_port(), "/v1/readyz", true);
    return *lives.back();
  }
  Wire Owner() const { return Wire::To(owners.number()); }
};

}  // namespace cluster_manager::story
