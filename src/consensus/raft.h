// Raft consensus on a log of few, small commands: terms, votes, log matching, commit by counting replicas for
// entries of the current term only, and a no-op entry at the start of a term, as published; with PreVote,
// CheckQuorum, snapshots and single-server membership changes. The module reads no clock and uses no sockets,
// threads, files or random numbers: times, random draws and completed saves are arguments.
//
// Membership. A vote or an acknowledgement belongs to a disk (its Identity), not to a member number. A member
// with an empty disk draws a new identity and is in no member list: it neither votes nor counts. It sends a
// join request; the leader removes the old identity of that number, adds the new one as a learner, and makes
// it a voter once it has the log. A member that lost its disk therefore cannot vote twice in a term. A
// cluster is founded the same way: one member, named once by the operator, is the founder and the only voter,
// and all others join. Founding automatically when all members appear empty is not safe: two lost disks and a
// network partition look the same. If a majority of the disks is lost at once, the ledger is lost: the
// cluster must be founded again, and the caller must wait until all leases have expired. A disk that was
// restored from an old copy cannot be detected and must be emptied first.
//
// Voters change one at a time; the next change starts once the last one and an entry of the leader's term are
// committed. Any two successive majorities then have a member in common. Joint configurations, which change
// several voters at once, are not implemented: each count would need two majorities. A new identity never
// replaces an old one in one step: {A, B, C} and {A, B, C'} have the majorities {A, C} and {B, C'}, which
// have no member in common. At most `max_voters` members vote, so that a cluster of a hundred members costs
// little more than one of five; a voter that is silent for `voter_replacement_delay` is replaced by a
// learner.
#pragma once

#include <array>
#include <map>

#include "consensus/log.h"
#include "consensus/message.h"

namespace cluster_manager::consensus {

struct RaftOptions {
  Time heartbeat_interval = 250'000'000;            // to voters; also for sending again what was not answered
  Time learner_heartbeat_interval = 2'000'000'000;  // to learners that have all entries
  // Minimum time without contact to a leader before an election; random up to twice this value.
  Time election_timeout = 1'000'000'000;
  Time voter_replacement_delay = 60'000'000'000;  // a silent voter is then replaced by a learner, if any
  std::size_t max_voters = 5;
  std::size_t snapshot_threshold = 1024;      // log entries, from which on `snapshot_requested` is set
  std::size_t max_log_entries = 4096;         // further entries are rejected until Compact
  std::size_t max_uncommitted_entries = 256;  // of the leader
  MessageBounds bounds;
};

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };
const char* RoleName(Role role);

// kUnknown: the node stopped being the leader first; the entry may or may not be committed later.
enum class ProposalResult { kCommitted, kUnknown };
struct ProposalOutcome {
  std::uint64_t proposal = 0;
  ProposalResult result = ProposalResult::kUnknown;
  Index index = 0;  // of the committed entry
};
enum class ProposalRejection { kNone, kNotLeader, kCommandTooLong, kTooManyUncommitted, kLogFull };
struct CommittedCommand {
  Index index = 0;
  Term term = 0;
  Bytes command;
};
struct RoleChange {
  Role role = Role::kFollower;
  Term term = 0;
  std::optional<std::uint32_t> leader;  // its member number, if known
};

// What the caller has to do after a call of RaftNode.
struct Output {
  Records records;
  std::uint64_t ticket = 0;  // of the records; 0 if there are none
  std::vector<Message> messages;
  std::optional<Snapshot> restored;  // replaces the state machine, before `committed` is applied
  std::vector<CommittedCommand> committed;
  std::vector<ProposalOutcome> proposal_outcomes;
  std::optional<RoleChange> role;
  bool snapshot_requested = false;  // call Compact with the state machine as it is after this output
  // Set by Propose only. Not 0 if the proposal was accepted: exactly one ProposalOutcome follows, perhaps in
  // this output.
  std::uint64_t proposal = 0;
  ProposalRejection rejection = ProposalRejection::kNone;
};

struct RaftCounters {
  std::array<std::uint64_t, kMessageKinds> sent{};
  std::uint64_t undecodable = 0, wrong_cluster = 0, wrong_identity = 0, not_member = 0, wrong_sender = 0;
  std::uint64_t log_full = 0, too_many = 0, too_long = 0, state_too_long = 0;
  std::uint64_t elections = 0, step_downs = 0, quorum_losses = 0, clock_back = 0, snapshots_sent = 0;
};

// One Raft member. It owns the log since the last snapshot, the term and the vote, and, while it leads, the
// replication progress of each member.
//
// Used from one thread. The caller carries out each Output at once: passes `records` to the store and calls
// OnSaved(ticket) once they are durable, in the order of the tickets; sends `messages` (a message that
// depends on records that are not durable yet is held back until OnSaved); applies `restored` and `committed`
// in order; and reports `proposal_outcomes`. After a failed save the caller must stop using the object, which
// is safe at any time. Memory is bounded: Compact and snapshots from the leader shorten the log, outcomes
// remove proposals, and the progress of other members is discarded when leadership ends.
class RaftNode {
 public:
  struct Start {
    std::uint32_t number = 0;
    std::vector<std::uint32_t> configured_numbers;  // of all members, including this one
    DurableRecords durable;
    Identity new_identity = 0;      // random, not 0; used if the disk is empty
    std::uint64_t new_cluster = 0;  // random; not 0 if this is the founder; ignored if the disk is in use
    double timeout_draw = 0.5;      // in [0, 1): the random part of the first election time-out
  };
  // The first records are returned by the first Tick; messages are ignored before it.
  RaftNode(RaftOptions options, Start start, Time now);

  // Handles a message that arrived from the member with the number `from`.
  Output OnMessage(std::uint32_t from, const Message& message, Time now);
  Output OnEncodedMessage(std::uint32_t from, const Bytes& bytes, Time now);
  // To be called at next_tick() or later, and at once if the caller's clock went back. `timeout_draw` in [0,
  // 1) is the random part of the next election time-out, if one is set.
  Output Tick(Time now, double timeout_draw);
  // Appends a command to the log if this node is the leader.
  Output Propose(Bytes command, Time now);
  // The records of `ticket` and of all earlier tickets are durable.
  Output OnSaved(std::uint64_t ticket, Time now);
  // Replaces the applied part of the log by a snapshot. `state` is the state machine after the last output.
  Output Compact(Bytes state, Time now);
  // Sets the member numbers that may take part. The leader adapts the membership, one change at a time.
  void SetConfiguredNumbers(std::vector<std::uint32_t> numbers);

  // When to call Tick next.
  Time next_tick() const;
  Role role() const { return role_; }
  Term term() const { return state_.term; }
  Identity identity() const { return state_.identity; }
  std::optional<std::uint32_t> leader() const { return leader_; }
  Index commit_index() const { return commit_index_; }
  const Log& log() const { return log_; }
  const std::vector<Member>& members() const { return log_.members(); }
  const RaftCounters& counters() const { return counters_; }
  // Number of proposals without an outcome.
  std::size_t pending_proposals() const { return pending_proposals_.size(); }

 private:
  static constexpr Time kNever = -1;
  struct Peer {  // a member as the leader knows it
    Index match_index = 0, next_index = 1;
    std::uint64_t pending_round = 0;  // of the request without an answer; 0: none
    Time last_sent = 0, last_heard = 0, last_snapshot_sent = kNever;
    Index sent_commit_index = 0;
  };
  struct DeferredMessage {
    std::uint64_t ticket;  // of the records that must be durable first; 0: those of the current output
    Message message;
  };
  void AdvanceClock(Time now);
  void BeginOutput(Output* out, Time now) { AdvanceClock(now), out_ = out; }
  void FinishOutput();  // at the end of each call: assigns the ticket of the records
  Message MakeMessage(MessageKind kind, const Member& to) const;
  void Send(Message message);
  void SendOnceDurable(Message message);  // once all records so far are durable
  void SaveState() { out_->records.state = state_; }
  void ReplaceLogFrom(std::vector<Entry> entries, Index first);

  // election.cpp
  void SetRole(Role role);
  void BecomeFollower(Term term, std::optional<std::uint32_t> leader);
  void StartPreVote(double timeout_draw);
  void BecomeCandidate();
  void BecomeLeader();
  void CountVotes();
  bool IsLogUpToDate(const Message& message) const;  // the candidate's log, compared with this one
  bool HasCurrentLeader() const;                     // leads, or heard a leader within the election time-out
  Time ElectionTimeout() const;
  void OnVoteRequest(const Message& message, bool pre_vote);
  void OnVoteGranted(const Message& message);
  void SendJoinRequest();
  bool AcceptMessage(std::uint32_t from, const Message& message);
  void DispatchMessage(const Message& message);

  // follower.cpp
  void OnAppendEntries(const Message& message);
  void OnInstallSnapshot(const Message& message);
  void AdvanceCommitIndex(Index index);

  // leader.cpp
  void OnAppendAccepted(const Message& message);
  void OnAppendRejected(const Message& message);
  void OnJoinRequest(const Message& message);
  void ReplicateTo(const Member& member, Peer* peer);
  void TickLeader();         // heartbeats, repeated requests and CheckQuorum
  void ReplicateToBehind();  // to each member that lacks something and has no request pending
  void CommitByMajority();
  void UpdateMembers();  // starts the next membership change, if one is needed and none is in progress
  std::optional<std::vector<Member>> NextMembers() const;
  void ChangeMembers(std::vector<Member> members);
  Time SendInterval(const Member& member, const Peer& peer) const;
  bool IsSilent(const Member& member, Time duration) const;

  bool IsConfigured(std::uint32_t number) const;
  const Member* FindMember(Identity identity) const;
  bool IsVoter() const;
  std::size_t MajoritySize() const;

  const RaftOptions options_;
  const std::uint32_t own_number_;
  std::vector<std::uint32_t> configured_numbers_;
  PersistentState state_;
  Log log_;
  RaftCounters counters_;
  Output* out_ = nullptr;

  // Monotonic clock: does not advance while the caller's clock goes back.
  Time clock_ = 0, last_now_ = 0;
  Role role_ = Role::kFollower;
  std::optional<std::uint32_t> leader_;
  Time leader_heard_at_ = kNever;
  Time election_timer_start_ = 0;
  double timeout_draw_ = 0.5;
  bool started_ = false;
  std::vector<Identity> granted_votes_;  // of the current election or pre-vote
  std::size_t next_join_target_ = 0;
  std::optional<std::uint32_t> hinted_leader_;  // gets the join requests

  Index commit_index_ = 0, last_applied_ = 0;
  std::uint64_t last_ticket_ = 0, saved_ticket_ = 0;
  std::uint64_t vote_ticket_ = 0;               // of the vote for itself, as a candidate
  Index saved_index_ = 0;                       // the entries up to it are durable here
  std::map<std::uint64_t, Index> being_saved_;  // ticket -> last index that is durable with it
  std::vector<DeferredMessage> deferred_;

  std::map<Identity, Peer> peers_;                    // while leading
  std::map<std::uint32_t, Identity> join_requests_;   // configured number -> identity that asked to join
  std::map<Index, std::uint64_t> pending_proposals_;  // index -> proposal
  Index term_start_index_ = 0;                        // of the leader's no-op entry
  std::uint64_t last_round_ = 0, last_proposal_ = 0;
};

}  // namespace cluster_manager::consensus
