// The list of nodes as the bulletin told it, event by event.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "engine/ports.h"

namespace willowrail {

class Roster {
 public:
  Roster(std::vector<std::string> zones, std::vector<std::string> kinds);

  struct Change {
    bool full = false;
    std::int64_t version = 0;
    std::vector<ListedNode> nodes;  // of a full list also those that it no longer names, as gone
  };
  // One event: {"no":..., "roster":{...}}. False where it was known already. Throws where it is malformed.
  bool Apply(const nlohmann::json& event, Change* change);
  Change All() const;
  std::int64_t last() const { return last_; }
  std::size_t size() const { return nodes_.size(); }
  bool Lists(std::string_view uid) const { return nodes_.contains(uid); }

 private:
  ListedNode Read(const nlohmann::json& target) const;

  std::vector<std::string> zones_, kinds_;
  std::int64_t last_ = 0, version_ = 0;
  std::map<std::string, ListedNode, std::less<>> nodes_;  // by uid
};

}  // namespace willowrail
