// The endpoint list as discovery reports it: applies the events of the discovery stream, or of the
// configuration, to a table of nodes. Without I/O. Owned by EndpointListWatcher; used on the event loop's
// thread.
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
  // The names of zones and node kinds; events name them, and nodes hold their positions in these lists.
  EndpointList(std::vector<std::string> zones, std::vector<std::string> kinds);

  // The effect of one event.
  struct Change {
    bool full = false;                  // the event holds the whole list
    std::int64_t version = 0;           // of the list, as discovery numbers it
    std::vector<ListedNode> nodes;      // for a full list also the nodes that it no longer names, as removed
    std::vector<ConfigIssue> problems;  // the entries that were skipped, or why the event was not applied
  };
  enum class ApplyResult {
    kApplied,
    kStale,   // its number is not above that of the last applied event; ignored
    kGap,     // changes between the last applied event and this one are missing; not applied
    kInvalid  // not a valid event; not applied
  };
  // How to handle a change whose number does not follow that of the last applied event. A full list has no
  // gap.
  enum class GapPolicy { kReject, kAccept };

  // Applies one event; config/listing.h describes its format. An entry with an invalid value is skipped: its
  // node keeps its last known state, and the other entries are applied.
  ApplyResult Apply(const nlohmann::json& event, GapPolicy gap_policy, Change* change);
  // The current list, as a full change.
  Change FullList() const;
  // The number of the last applied event; 0: none.
  std::int64_t last_event() const { return last_event_; }
  std::size_t size() const { return nodes_.size(); }
  bool Contains(std::string_view uid) const { return nodes_.contains(uid); }

 private:
  ListedNode ParseEntry(const std::string& uid, const nlohmann::json& entry) const;
  using Uids = std::set<std::string>;
  void ApplyEntries(const nlohmann::json& targets, Change* change);
  void RemoveUnlistedNodes(const Uids& applied, const Uids& skipped, Change* change);

  std::vector<std::string> zones_, kinds_;
  std::int64_t last_event_ = 0, version_ = 0;
  std::map<std::string, ListedNode, std::less<>> nodes_;  // by uid
};

}  // namespace cluster_manager
