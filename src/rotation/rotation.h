// Agents that operators have taken out of rotation by hand. The ban is on an id, until it is called back:
// whatever the list says meanwhile, over a new life of the agent, a new configuration and an upgrade. The
// engine asks it of every entry before the module sees it; to the module a banned agent is one that drains.
// No I/O: what two processes of one cluster manager share of it goes through SharedFile.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "passbridge/scheduler.h"

namespace willowrail {

class Rotation {
 public:
  using NodeId = passbridge::NodeId;
  using Time = passbridge::Time;
  using Number = std::function<NodeId(std::string_view)>;

  explicit Rotation(Number number) : number_(std::move(number)) {}

  // Each is idempotent; false where nothing changed.
  bool TakeOut(const std::string& id);
  bool BringBack(const std::string& id, Time now);
  bool IsOut(const std::string& id) const { return out_.contains(id); }
  std::size_t size() const { return out_.size(); }

  // The entry as the module is to see it: draining while it is out; once it is back, as one that came up just
  // then, since operators restart an agent while it is out and the list may not know yet. Guards against a
  // rush at a cold agent. Returns the same for a call back until the list tells of a later life.
  passbridge::NodeEntry AsDecided(passbridge::NodeEntry entry) const;
  void Gone(NodeId node) { back_.erase(node); }  // it has left the list

  // An id a line, in order. Read takes over another process's and returns the nodes that changed.
  std::string Write() const;
  std::vector<NodeId> Read(std::string_view text, Time now);

 private:
  Number number_;
  std::set<std::string, std::less<>> out_;
  std::set<NodeId> out_nodes_;
  std::map<NodeId, Time> back_;  // when it was called back
};

}  // namespace willowrail
