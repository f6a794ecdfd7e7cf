// The nodes that operators have suspended. A suspended node gets no new tasks until an operator resumes it,
// whatever state the endpoint list gives it, and also across a restart of the node, a change of the
// configuration and an upgrade of the cluster manager.
//
// Owned by ServerProcess. Dispatcher applies the suspensions to every entry of the endpoint list before
// passing it to the scheduler. No I/O and no locks: used on the thread of the event loop only. Two processes
// of one cluster manager share the suspensions in a text, which holds one node uid a line, sorted, and is
// edited by both. An operator's call takes effect here immediately. It is pending until it is known to be in
// the shared text, and pending calls take precedence over the text.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "scheduling/scheduler.h"

namespace cluster_manager {

// The set of suspended nodes, and the operators' calls that are not in the shared text yet.
class NodeSuspensions {
 public:
  using NodeId = scheduling::NodeId;
  using Time = scheduling::Time;
  using NodeIdOfUid = std::function<NodeId(std::string_view uid)>;
  // Computes the new shared text from the current one, which is empty if there is none yet.
  using TextChange = std::function<std::string(const std::optional<std::string>& text)>;

  explicit NodeSuspensions(NodeIdOfUid node_id_of_uid) : node_id_of_uid_(std::move(node_id_of_uid)) {}

  // Applies an operator's call. Idempotent; false if the node already was in that state.
  bool Suspend(const std::string& uid);
  bool Resume(const std::string& uid, Time now);
  bool IsSuspended(const std::string& uid) const { return suspended_uids_.contains(uid); }
  std::size_t size() const { return suspended_uids_.size(); }  // number of suspended nodes

  // The entry as it is to be passed to the scheduler: a ready node is draining while it is suspended. After a
  // resume its start time is at least the time of the resume, so that slow start applies: operators restart
  // nodes while they are suspended, and the endpoint list may not show the restart yet.
  scheduling::NodeEntry ApplyTo(scheduling::NodeEntry entry) const;
  // To be called when the node is removed from the endpoint list. Forgets the time of its resume; a
  // suspension stays in force.
  void OnNodeDelisted(NodeId node) { resumed_at_.erase(node); }

  // The sequence number of the last call of Suspend or Resume; 0 before the first.
  std::uint64_t last_call() const { return last_call_; }
  // The change that applies all pending calls to the shared text, or writes all suspensions if there is no
  // text. It holds copies, so that it may run on another thread and outlive this object.
  TextChange PendingChange() const;
  // Applies the shared text, which includes the calls up to sequence number `written_call`. Returns the nodes
  // whose state has changed.
  std::vector<NodeId> ApplyText(std::string_view text, std::uint64_t written_call, Time now);

 private:
  struct OperatorCall {
    std::uint64_t sequence_number = 0;
    bool suspend = false;  // false: resume
  };
  using Uids = std::set<std::string, std::less<>>;
  using CallsByUid = std::map<std::string, OperatorCall>;

  static Uids ParseUids(std::string_view text);
  static void ApplyCalls(const CallsByUid& calls, Uids* uids);
  // False if the node already was in that state.
  bool SetSuspended(const std::string& uid, bool suspended, Time now);

  NodeIdOfUid node_id_of_uid_;
  Uids suspended_uids_;
  std::set<NodeId> suspended_nodes_;   // the same nodes by id
  std::map<NodeId, Time> resumed_at_;  // of nodes in the endpoint list
  std::uint64_t last_call_ = 0;
  CallsByUid pending_calls_;  // by node, the last call that is not known to be in the shared text
};

}  // namespace cluster_manager
