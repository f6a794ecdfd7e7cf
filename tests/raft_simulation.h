// Simulation of a Raft cluster in virtual time. Disks lose unsynced writes in a crash, and the network drops,
// duplicates, reorders and delays messages and blocks links in one direction. A checker that is independent
// of the implementation records leaders and committed commands and requires the safety properties of Raft.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>

#include "consensus/raft.h"

namespace cluster_manager::consensus {

constexpr Time kMs = 1'000'000, kSecond = 1'000'000'000;

// Shorter time-outs than in production, so that a few simulated seconds hold many elections and snapshots.
inline RaftOptions ShortTimeoutOptions() {
  RaftOptions options;
  options.heartbeat_interval = 50 * kMs;
  options.learner_heartbeat_interval = 200 * kMs;
  options.election_timeout = 200 * kMs;
  options.voter_replacement_delay = 5 * kSecond;
  options.snapshot_threshold = 40;
  options.max_log_entries = 120;
  options.max_uncommitted_entries = 30;
  return options;
}

// Advances in steps of 1 ms; the first member is the founder.
struct SimulatedCluster {
  struct Node {
    std::unique_ptr<RaftNode> raft;
    DurableRecords disk;
    std::deque<std::pair<std::uint64_t, Records>> pending_saves;
    Time next_save_at = 0, restart_at = 0, next_tick = 0;
    std::uint64_t digest = 0;  // the state machine: a hash of all commands in order
    Index applied = 0;
    std::map<std::uint64_t, Bytes> pending_proposals;  // without an outcome
    std::vector<Member> members;                       // before the current call
  };
  struct Packet {
    Time at;
    std::uint64_t order;
    Message message;
    bool operator<(const Packet& other) const {
      return std::tie(at, order) < std::tie(other.at, other.order);
    }
  };

  const RaftOptions options;
  pcg32 random;
  Time now = 1'000 * kSecond, last_step_at = 0;
  std::vector<Node> nodes;
  std::vector<std::uint32_t> numbers;
  std::set<Packet> messages_in_flight;
  std::set<std::pair<std::uint32_t, std::uint32_t>> blocked_links;  // from, to
  double drop_probability = 0, duplicate_probability = 0;
  Time min_delay = 1 * kMs, max_delay = 3 * kMs, max_save_delay = 4 * kMs;
  bool encode_messages = false;
  std::uint64_t sent = 0, bytes = 0, last_serial = 0;
  int crash_at_record = -1, record_count = 0;  // the member that returns this record crashes at once
  std::function<void(std::uint32_t, const Records&)> on_save;
  bool crash_after_save = false;  // whether the record is durable at that crash

  // State of the checker.
  std::map<Term, Identity> leader_by_term;
  std::map<Index, std::pair<Term, Bytes>> committed;
  std::map<Index, std::uint64_t> digest_by_index;
  std::map<Identity, DurableRecords> wiped_disks;  // their last content
  std::uint64_t committed_proposals = 0, unknown_proposals = 0, member_changes = 0;

  SimulatedCluster(int count, std::uint64_t seed, RaftOptions cluster_options = ShortTimeoutOptions())
      : options(cluster_options), random(seed), nodes(static_cast<std::size_t>(count)) {
    for (int i = 0; i < count; ++i) numbers.push_back(static_cast<std::uint32_t>(i));
    for (std::uint32_t i = 0; i < nodes.size(); ++i) StartNode(i, i == 0);
  }
  std::uint32_t RandomBelow(std::size_t bound) { return random(static_cast<std::uint32_t>(bound)); }
  bool Chance(double probability) { return RandomBelow(1'000'000) < probability * 1'000'000; }
  Time RandomBetween(Time from, Time to) {
    return from + RandomBelow(static_cast<std::size_t>((to - from) / 1000 + 1)) * 1000;
  }

  void StartNode(std::uint32_t i, bool founder = false) {
    Node& node = nodes[i];
    node.digest = 0;
    node.applied = 0;
    node.restart_at = 0;
    const std::uint64_t identity = ++last_serial * 1000 + i + 1;
    RaftNode::Start start{i, numbers, node.disk, identity, founder ? 77u : 0u, RandomBelow(1000) / 1000.0};
    node.raft = std::make_unique<RaftNode>(options, std::move(start), now);
    ProcessOutput(i, node.raft->Tick(now, 0.5));
  }
  // Crashes member `i`. A random number of its first pending saves still reaches the disk.
  void Crash(std::uint32_t i, Time restart_at, bool wipe = false) {
    Node& node = nodes[i];
    if (!node.raft) return;
    for (std::size_t left = RandomBelow(node.pending_saves.size() + 1); left > 0; --left) CompleteNextSave(i);
    if (wipe) {
      wiped_disks[node.disk.state.identity] = node.disk;
      node.disk = {};
    }
    node.pending_saves.clear();
    node.raft.reset();
    node.pending_proposals.clear();
    node.restart_at = restart_at;
  }
  std::uint64_t CompleteNextSave(std::uint32_t i) {
    const auto [ticket, records] = std::move(nodes[i].pending_saves.front());
    nodes[i].pending_saves.pop_front();
    if (on_save) on_save(i, records);
    DurableRecords& disk = nodes[i].disk;
    if (records.state) disk.state = *records.state;
    if (records.snapshot) {
      const std::size_t gone = records.snapshot->index - disk.snapshot.index;
      const std::size_t most =
          records.replaces_log ? disk.entries.size() : std::min(gone, disk.entries.size());
      disk.entries.erase(disk.entries.begin(), disk.entries.begin() + static_cast<std::ptrdiff_t>(most));
      disk.snapshot = *records.snapshot;
    }
    if (!records.entries.empty()) {
      REQUIRE(records.first_index > disk.snapshot.index);
      REQUIRE(records.first_index <= disk.snapshot.index + disk.entries.size() + 1);
      disk.entries.resize(records.first_index - disk.snapshot.index - 1);
      disk.entries.insert(disk.entries.end(), records.entries.begin(), records.entries.end());
    }
    return ticket;
  }

  void ProcessOutput(std::uint32_t i, Output out) {
    Node& node = nodes[i];
    if (!out.records.empty()) {
      if (node.pending_saves.empty()) node.next_save_at = now + RandomBetween(0, max_save_delay);
      node.pending_saves.emplace_back(out.ticket, out.records);
    }
    for (const Message& message : out.messages) SendMessage(node, message);
    if (out.restored) Restore(&node, *out.restored);
    for (const CommittedCommand& entry : out.committed) Apply(&node, entry);
    for (const ProposalOutcome& outcome : out.proposal_outcomes) {
      REQUIRE(node.pending_proposals.contains(outcome.proposal));  // one outcome per proposal
      if (outcome.result == ProposalResult::kCommitted)
        CHECK(committed.at(outcome.index).second == node.pending_proposals[outcome.proposal]);
      node.pending_proposals.erase(outcome.proposal);
      ++(outcome.result == ProposalResult::kCommitted ? committed_proposals : unknown_proposals);
    }
    if (out.role && out.role->role == Role::kLeader) CheckNewLeader(node);
    if (node.raft->role() == Role::kLeader) CheckMemberChanges(*node.raft, out.records);
    node.members = node.raft->members();
    node.next_tick = node.raft->next_tick();
    if (!out.records.empty() && record_count++ == crash_at_record) {
      if (crash_after_save) {
        while (!node.pending_saves.empty()) CompleteNextSave(i);
      }
      node.pending_saves.clear();
      return Crash(i, now + 300 * kMs);
    }
    if (out.snapshot_requested) {
      Bytes state(8);
      for (int b = 0; b < 8; ++b)
        state[static_cast<std::size_t>(b)] = static_cast<std::uint8_t>(node.digest >> 8 * b);
      ProcessOutput(i, node.raft->Compact(state, now));
    }
  }
  void SendMessage(const Node& node, const Message& message) {
    // Votes and acknowledged entries must be durable before the message is sent.
    const DurableRecords& disk = node.disk;
    if (message.kind == MessageKind::kVoteGranted || message.kind == MessageKind::kRequestVote) {
      const Identity to =
          message.kind == MessageKind::kRequestVote ? message.from_identity : message.to_identity;
      REQUIRE(disk.state.identity == message.from_identity);
      REQUIRE(disk.state.term >= message.term);
      if (disk.state.term == message.term) REQUIRE(disk.state.vote == to);
    }
    if (message.kind == MessageKind::kAppendAccepted)
      REQUIRE(disk.snapshot.index + disk.entries.size() >= message.index);
    ++sent;
    if (blocked_links.contains({message.from, message.to}) || Chance(drop_probability)) return;
    for (int copies = Chance(duplicate_probability) ? 2 : 1; copies > 0; --copies) {
      messages_in_flight.insert({now + RandomBetween(min_delay, max_delay), ++last_serial, message});
    }
  }
  void Apply(Node* node, const CommittedCommand& entry) {
    REQUIRE(entry.index > node->applied);
    const auto [at, fresh] = committed.try_emplace(entry.index, entry.term, entry.command);
    REQUIRE(at->second == std::pair(entry.term, entry.command));
    if (fresh) CheckDurableOnMajority(*node, entry);
    for (const std::uint8_t byte : entry.command)
      node->digest = (node->digest ^ byte) * 1099511628211u + entry.index;
    node->applied = entry.index;
    REQUIRE(digest_by_index.try_emplace(entry.index, node->digest).first->second == node->digest);
  }
  // The first member that commits an entry must be the leader, and a majority of its voters must have the
  // entry on disk.
  void CheckDurableOnMajority(const Node& by, const CommittedCommand& entry) {
    const auto has = [&](const DurableRecords& disk) {
      if (entry.index <= disk.snapshot.index) return true;
      const Index at = entry.index - disk.snapshot.index - 1;
      return at < disk.entries.size() && disk.entries[at].term == entry.term;
    };
    std::size_t voters = 0, have = 0;
    for (const Member& member : by.members) {
      if (!member.voter) continue;
      const DurableRecords& disk = nodes[member.number].disk;
      const auto gone = wiped_disks.find(member.identity);
      ++voters;
      have += has(disk.state.identity == member.identity || gone == wiped_disks.end() ? disk : gone->second)
                  ? 1
                  : 0;
    }
    REQUIRE(by.raft->role() == Role::kLeader);
    REQUIRE(have > voters / 2);
  }
  // Checks membership changes in the log of a leader: a change adds or removes at most one voter, and starts
  // only after the previous change and an entry of the leader's own term are committed.
  void CheckMemberChanges(const RaftNode& raft, const Records& records) {
    const Log& log = raft.log();
    for (Index i = records.first_index; i < records.first_index + records.entries.size(); ++i) {
      if (i <= log.base_index() || log.EntryAt(i).kind != EntryKind::kMembers) continue;
      Index before = i - 1;
      while (before > log.base_index() && log.EntryAt(before).kind != EntryKind::kMembers) --before;
      if (before == 0) continue;  // the first member list, of the founder
      const auto voters = [&](Index at) {
        std::set<Identity> identities;
        for (const Member& member :
             at == log.base_index() ? log.snapshot().members : *DecodeMembers(log.EntryAt(at).bytes, 128)) {
          if (member.voter) identities.insert(member.identity);
        }
        return identities;
      };
      const std::set<Identity> old_voters = voters(before), new_voters = voters(i);
      std::vector<Identity> difference;
      std::set_symmetric_difference(old_voters.begin(), old_voters.end(), new_voters.begin(),
                                    new_voters.end(), std::back_inserter(difference));
      REQUIRE(difference.size() <= 1);
      REQUIRE(before <= raft.commit_index());
      REQUIRE(log.TermAt(raft.commit_index()) == raft.term());
      ++member_changes;
    }
  }
  void Restore(Node* node, const Snapshot& snapshot) {
    node->digest = 0;
    for (std::size_t b = 0; b < snapshot.state.size(); ++b)
      node->digest |= std::uint64_t{snapshot.state[b]} << 8 * b;
    node->applied = snapshot.index;
    const auto last = digest_by_index.upper_bound(snapshot.index);
    if (last != digest_by_index.begin()) REQUIRE(std::prev(last)->second == node->digest);
  }
  void CheckNewLeader(Node& node) {
    const RaftNode& raft = *node.raft;
    const Identity first = leader_by_term.try_emplace(raft.term(), raft.identity()).first->second;
    REQUIRE(first == raft.identity());
    for (const auto& [index, entry] : committed) {  // its log must hold all committed entries
      if (index <= raft.log().base_index()) continue;
      REQUIRE(index <= raft.log().last_index());
      REQUIRE(raft.log().EntryAt(index).term == entry.first);
      REQUIRE(raft.log().EntryAt(index).bytes == entry.second);
    }
  }
  // Log matching: two logs with the same term at an index are equal up to that index.
  void CheckLogs() const {
    for (std::size_t a = 0; a < nodes.size(); ++a) {
      for (std::size_t b = 0; b < a; ++b) {
        if (!nodes[a].raft || !nodes[b].raft) continue;
        const Log &one = nodes[a].raft->log(), &two = nodes[b].raft->log();
        bool same = false;
        for (Index i = std::min(one.last_index(), two.last_index());
             i > std::max(one.base_index(), two.base_index()); --i) {
          same = same || one.EntryAt(i).term == two.EntryAt(i).term;
          if (same) REQUIRE(one.EntryAt(i) == two.EntryAt(i));
        }
      }
    }
  }

  void Step() {
    const Time last = last_step_at;
    last_step_at = now += kMs;
    while (!messages_in_flight.empty() && messages_in_flight.begin()->at <= now) {
      const Message message = messages_in_flight.extract(messages_in_flight.begin()).value().message;
      Node& to = nodes[message.to];
      if (!to.raft) continue;
      if (!encode_messages) {
        ProcessOutput(message.to, to.raft->OnMessage(message.from, message, now));
        continue;
      }
      const Bytes sent_bytes = EncodeMessage(message);
      bytes += sent_bytes.size();
      ProcessOutput(message.to, to.raft->OnEncodedMessage(message.from, sent_bytes, now));
    }
    for (std::uint32_t i = 0; i < nodes.size(); ++i) {
      Node& node = nodes[i];
      if (!node.raft && node.restart_at != 0 && now >= node.restart_at) StartNode(i);
      while (node.raft && !node.pending_saves.empty() && node.next_save_at <= now) {
        const std::uint64_t ticket = CompleteNextSave(i);
        node.next_save_at = now + RandomBetween(0, max_save_delay);
        ProcessOutput(i, node.raft->OnSaved(ticket, now));
      }
      // Also if the clock went back, since `next_tick` is then far in the future.
      if (node.raft && (now >= node.next_tick || now < last)) {
        ProcessOutput(i, node.raft->Tick(now, RandomBelow(1000) / 1000.0));
      }
    }
  }
  void Run(Time length) {
    for (const Time end = now + length; now < end;) Step();
  }
  template <typename Done>
  Time RunUntil(Time max_duration, Done done) {
    const Time from = now;
    while (!done() && now - from < max_duration) Step();
    return now - from;
  }
  // The leader with the highest term, null if there is none.
  Node* Leader() {
    Node* leader = nullptr;
    for (Node& node : nodes) {
      if (!node.raft || node.raft->role() != Role::kLeader) continue;
      if (leader == nullptr || node.raft->term() > leader->raft->term()) leader = &node;
    }
    return leader;
  }
  std::uint32_t NumberOf(const Node* node) const { return static_cast<std::uint32_t>(node - nodes.data()); }
  // Whether at least `count` members, with the identities of their current disks, are voters in the committed
  // member list of the leader.
  bool AllAreVoters(std::size_t count) {
    Node* leader = Leader();
    if (leader == nullptr || leader->raft->log().members_index() > leader->raft->commit_index()) return false;
    std::size_t voters = 0;
    for (const Member& member : leader->raft->members()) {
      const Node& node = nodes[member.number];
      voters += member.voter && node.raft && node.raft->identity() == member.identity ? 1 : 0;
    }
    return voters >= count;
  }
  std::uint64_t Propose(std::uint32_t i) {
    Node& node = nodes[i];
    Bytes command{static_cast<std::uint8_t>(++last_serial), static_cast<std::uint8_t>(last_serial >> 8),
                  static_cast<std::uint8_t>(last_serial >> 16), static_cast<std::uint8_t>(i)};
    Output out = node.raft->Propose(command, now);
    const std::uint64_t proposal = out.proposal;
    if (proposal != 0) node.pending_proposals[proposal] = command;
    ProcessOutput(i, std::move(out));
    return proposal;
  }
  // Proposes a command once there is a leader, and returns the time until one is committed.
  Time CommitOne(Time max_duration) {
    const std::uint64_t before = committed_proposals;
    return RunUntil(max_duration, [&] {
      Node* leader = Leader();
      if (committed_proposals == before && leader != nullptr && leader->pending_proposals.empty())
        Propose(NumberOf(leader));
      return committed_proposals > before;
    });
  }
};

}  // namespace cluster_manager::consensus
