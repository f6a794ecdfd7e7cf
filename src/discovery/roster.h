// The list of nodes as the bulletin told it, event by event.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_validation.h"
#include "dispatch/ports.h"

namespace cluster_manager {

class EndpointList {
 public:
  EndpointList(std::vector<std::string> zones, std::vector<std::string> kinds);

  struct Change {
    bool full = false;
    std::int64_t version = 0;
    std::vector<ListedNode> nodes;   // of a full list also those that it no longer names, as gone
    std::vector<ConfigIssue> wrong;  // what was left out, or why nothing was taken
  };
  enum class Verdict {
    kTaken,
    kKnown,  // its number is not above the last one taken
    kGap,    // changes between the last one taken and this one are missing; nothing was taken
    kBad     // it is no event; nothing was taken
  };
  // What to do with an event that follows the last one taken with a gap. A full list has none.
  enum class Gap { kRefuse, kAccept };

  // One event: {"no":..., "roster":{...}}. An entry with a wrong value is left out: its node stays as it was
  // known, and the rest of the event counts.
  Verdict Apply(const nlohmann::json& event, Gap gap, Change* change);
  Change All() const;
  std::int64_t last() const { return last_; }
  std::size_t size() const { return nodes_.size(); }
  bool Lists(std::string_view uid) const { return nodes_.contains(uid); }

 private:
  ListedNode Read(const std::string& uid, const nlohmann::json& entry) const;
  using Uids = std::set<std::string>;
  void TakeEntries(const nlohmann::json& targets, Change* change);
  void CompleteFullList(const Uids& taken, const Uids& unread, Change* change);

  std::vector<std::string> zones_, kinds_;
  std::int64_t last_ = 0, version_ = 0;
  std::map<std::string, ListedNode, std::less<>> nodes_;  // by uid
};

}  // namespace cluster_manager
