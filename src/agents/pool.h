// The agents' side: a pool of connections, the set-ups open on them, probes, and the ways kept open to
// agents that hold tasks.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "engine/ports.h"
#include "net/connection.h"
#include "net/slot_table.h"
#include "proto/message.h"

namespace willowrail {

struct PoolTimes {
  Time dial;       // a connection that is not up by then never will be
  Time keepalive;  // agents close what was idle for so long
};

class Pool final : public Agents, public Connection::Handler {
 public:
  Pool(Loop* loop, PoolTimes times, std::uint64_t seed, AgentEvents* events);

  void SetTimes(PoolTimes times) { times_ = times; }

  void Know(const ListedNode& node) override;
  void Offer(NodeId node, TaskId id, const Passage& passage, Time until) override;
  bool GiveUp(NodeId node, TaskId id) override;
  void Cut(NodeId node, TaskId id) override;
  void Stands(NodeId node, TaskId id, bool stands) override;
  void Probe(NodeId node) override;
  void CloseIdle(NodeId node) override;

 private:
  struct Waiting {  // a set-up that waits for its connection
    TaskId id;
    Passage passage;
    Time until;
  };
  struct Testing {
    TaskId id;
    Time asked;
    Handle timer;
  };
  struct Peer {
    sockaddr_in address{};
    bool known = false, gone = false;
    Handle way = 0;  // the connection that is written to
    Handle dialing = 0, dial_timer = 0, redial = 0;
    std::vector<Waiting> waiting;
    std::unordered_map<TaskId, Handle> open;    // set-ups sent and not answered, and where
    std::unordered_set<TaskId> standing, cuts;  // tasks there; those it is still to be told to cut
    std::vector<Testing> tests;
    Time heard = 0;
  };
  struct Line {
    std::unique_ptr<Connection> connection;
    NodeId node = 0;
  };

  void OnUp(Connection& connection) override;
  std::size_t OnData(Connection& connection, std::string_view data) override;
  void OnEnd(Connection& connection, Ending ending) override;
  bool Take(NodeId node, Connection& connection, const proto::Message& message);
  void TakeRelease(NodeId node, Peer* peer, Connection& connection, const proto::Message& message);
  void TakeNote(NodeId node, const proto::Message& message);
  void TakeTestResult(NodeId node, Peer* peer, const proto::Message& message);

  Connection* Way(Peer* peer);
  void Dial(NodeId node, Peer* peer);
  void DialFailed(NodeId node, Ending ending);
  void RedialLater(NodeId node, Peer* peer);
  bool Needed(const Peer& peer) const { return !peer.standing.empty() || !peer.cuts.empty(); }
  void SendSetUp(Peer* peer, Connection* way, const Waiting& waiting);
  void SendTest(Peer* peer, Connection* way, TaskId id);
  void EndTest(NodeId node, TaskId id, passbridge::Outcome outcome, passbridge::Report report);
  void Doubt(NodeId node, Peer* peer, Time since);

  Loop* loop_;
  PoolTimes times_;
  AgentEvents* events_;
  TaskId next_test_;
  std::unordered_map<NodeId, Peer> peers_;
  SlotTable<Line> lines_;
};

}  // namespace willowrail
