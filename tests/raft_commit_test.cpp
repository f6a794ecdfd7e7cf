// Commit of entries of earlier terms, which the randomized histories of raft_test.cpp hardly ever reach.
#include <doctest/doctest.h>

#include "consensus/raft.h"

namespace cluster_manager::consensus {
namespace {

TEST_CASE("raft: a majority commits an entry of an earlier term only through an entry of the current term") {
  std::vector<Member> members;
  for (std::uint32_t i = 0; i < 5; ++i) members.push_back({i, 100 + i, true});
  RaftNode::Start start{0, {0, 1, 2, 3, 4}, {}, 1, 0, 0.0};
  start.durable.state = {100, 77, 3, 0};
  start.durable.entries = {{1, EntryKind::kMembers, EncodeMembers(members)}, {2, EntryKind::kCommand, {5}}};
  RaftNode raft({}, start, 0);
  raft.Tick(0, 0);
  const Time now = RaftOptions().election_timeout;
  std::uint64_t ticket = 0;
  const auto deliver = [&](std::uint32_t from, MessageKind kind, Index index) {
    Message m;
    m.kind = kind, m.cluster = 77, m.term = 4, m.index = index;
    m.from = from, m.from_identity = 100 + from, m.to = 0, m.to_identity = 100;
    const Output out = raft.OnMessage(from, m, now);
    if (out.ticket != 0) ticket = out.ticket;
    return out.committed.size();
  };
  raft.Tick(now, 0);
  for (const MessageKind grant : {MessageKind::kPreVoteGranted, MessageKind::kVoteGranted}) {
    deliver(1, grant, 0), deliver(2, grant, 0);
    const Output out = raft.OnSaved(ticket, now);
    if (out.ticket != 0) ticket = out.ticket;
  }
  REQUIRE(raft.role() == Role::kLeader);
  raft.OnSaved(ticket, now);
  // If the entry were committed now, a member with an entry of term 3 at the same index could still win an
  // election and overwrite it.
  CHECK(deliver(1, MessageKind::kAppendAccepted, 2) + deliver(2, MessageKind::kAppendAccepted, 2) +
            deliver(3, MessageKind::kAppendAccepted, 2) ==
        0);
  CHECK(raft.commit_index() == 0);
  CHECK(deliver(1, MessageKind::kAppendAccepted, 3) == 0);
  CHECK(deliver(2, MessageKind::kAppendAccepted, 3) == 1);
  CHECK(raft.commit_index() == 3);
}

}  // namespace
}  // namespace cluster_manager::consensus
