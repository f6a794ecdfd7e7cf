// The leader: replication to each member, commit by majority, and membership changes.
#include <algorithm>
#include <utility>

#include "consensus/raft.h"

namespace cluster_manager::consensus {

void RaftNode::BecomeLeader() {
  leader_ = own_number_;
  SetRole(Role::kLeader);
  for (const Member& member : members()) {
    if (member.identity == state_.identity) continue;
    peers_[member.identity].next_index = log_.last_index() + 1;
    peers_[member.identity].last_heard = clock_;
  }
  term_start_index_ = log_.last_index() + 1;
  ReplaceLogFrom({{state_.term, EntryKind::kNoOp, {}}}, term_start_index_);
  ReplicateToBehind();
}

Output RaftNode::Propose(Bytes command, Time now) {
  Output out;
  BeginOutput(&out, now);
  if (role_ != Role::kLeader) {
    out.rejection = ProposalRejection::kNotLeader;
  } else if (command.size() > options_.bounds.max_entry_bytes) {
    out.rejection = ProposalRejection::kCommandTooLong;
    ++counters_.too_long;
  } else if (log_.last_index() - commit_index_ >= options_.max_uncommitted_entries) {
    out.rejection = ProposalRejection::kTooManyUncommitted;
    ++counters_.too_many;
  } else if (log_.size() >= options_.max_log_entries) {
    out.rejection = ProposalRejection::kLogFull;
    out.snapshot_requested = last_applied_ > log_.base_index();
    ++counters_.log_full;
  } else {
    out.proposal = ++last_proposal_;
    pending_proposals_[log_.last_index() + 1] = out.proposal;
    ReplaceLogFrom({{state_.term, EntryKind::kCommand, std::move(command)}}, log_.last_index() + 1);
    ReplicateToBehind();
  }
  FinishOutput();
  return out;
}

Time RaftNode::SendInterval(const Member& member, const Peer& peer) const {
  const bool is_behind =
      peer.match_index < log_.last_index() && clock_ - peer.last_heard < options_.learner_heartbeat_interval;
  return member.voter || is_behind ? options_.heartbeat_interval : options_.learner_heartbeat_interval;
}

bool RaftNode::IsSilent(const Member& member, Time duration) const {
  if (member.identity == state_.identity) return false;
  const auto peer = peers_.find(member.identity);
  return peer == peers_.end() || clock_ - peer->second.last_heard >= duration;
}

void RaftNode::TickLeader() {
  std::size_t heard_voters = 0;
  for (const Member& member : members())
    heard_voters += member.voter && !IsSilent(member, options_.election_timeout) ? 1 : 0;
  if (heard_voters < MajoritySize()) {
    ++counters_.quorum_losses;
    return BecomeFollower(state_.term, std::nullopt);
  }
  for (const Member& member : members()) {
    const auto peer = peers_.find(member.identity);
    if (peer == peers_.end() || clock_ - peer->second.last_sent < SendInterval(member, peer->second))
      continue;
    ReplicateTo(member, &peer->second);
  }
  UpdateMembers();
}

void RaftNode::ReplicateTo(const Member& member, Peer* peer) {
  const bool reachable =
      clock_ - peer->last_heard < options_.learner_heartbeat_interval + options_.election_timeout;
  const bool needs_compacted = peer->next_index <= log_.base_index();
  const bool snapshot =
      needs_compacted && reachable &&
      (peer->last_snapshot_sent == kNever || clock_ - peer->last_snapshot_sent >= options_.election_timeout);
  Message message =
      MakeMessage(snapshot ? MessageKind::kInstallSnapshot : MessageKind::kAppendEntries, member);
  message.round = peer->pending_round = ++last_round_;
  message.commit_index = peer->sent_commit_index = commit_index_;
  peer->last_sent = clock_;
  if (snapshot) {
    ++counters_.snapshots_sent;
    peer->last_snapshot_sent = clock_;
    message.index = log_.base_index();
    message.log_term = log_.snapshot().term;
    message.members = log_.snapshot().members;
    message.state = log_.snapshot().state;
    return Send(std::move(message));
  }
  // A member that needs compacted entries gets a heartbeat while it is silent or a snapshot is being sent to
  // it.
  message.index = needs_compacted ? log_.last_index() : peer->next_index - 1;
  message.log_term = *log_.TermAt(message.index);
  std::size_t bytes = 0;
  for (Index i = message.index + 1;
       i <= log_.last_index() && message.entries.size() < options_.bounds.max_entries; ++i) {
    bytes += log_.EntryAt(i).bytes.size();
    if (bytes > options_.bounds.max_batch_bytes || !reachable) break;
    message.entries.push_back(log_.EntryAt(i));
  }
  Send(std::move(message));
}

void RaftNode::ReplicateToBehind() {
  for (const Member& member : members()) {
    const auto peer = peers_.find(member.identity);
    if (peer == peers_.end() || peer->second.pending_round != 0) continue;
    if (peer->second.next_index <= log_.last_index() || peer->second.sent_commit_index < commit_index_)
      ReplicateTo(member, &peer->second);
  }
}

void RaftNode::OnAppendAccepted(const Message& message) {
  const auto peer_entry = peers_.find(message.from_identity);
  if (role_ != Role::kLeader || peer_entry == peers_.end() || message.index > log_.last_index()) {
    ++counters_.not_member;
    return;
  }
  Peer& peer = peer_entry->second;
  peer.last_heard = clock_;
  peer.match_index = std::max(peer.match_index, message.index);
  peer.next_index = std::max(peer.next_index, peer.match_index + 1);
  if (message.round == peer.pending_round) {
    peer.pending_round = 0;
    peer.next_index = peer.match_index + 1;
  }
  CommitByMajority();
  UpdateMembers();
  ReplicateToBehind();
}

void RaftNode::OnAppendRejected(const Message& message) {
  const auto peer_entry = peers_.find(message.from_identity);
  if (role_ != Role::kLeader || peer_entry == peers_.end()) {
    ++counters_.not_member;
    return;
  }
  Peer& peer = peer_entry->second;
  peer.last_heard = clock_;
  if (message.round != peer.pending_round) return;
  peer.pending_round = 0;
  peer.next_index = std::clamp(message.index + 1, peer.match_index + 1, log_.last_index() + 1);
  // A member that has fewer entries than it acknowledged (its disk was restored from an old copy) is sent the
  // next request at the next heartbeat, not after each rejection.
  const bool wait_for_heartbeat = message.index < peer.match_index || peer.next_index <= log_.base_index();
  const bool snapshot_due =
      peer.last_snapshot_sent == kNever || clock_ - peer.last_snapshot_sent >= options_.election_timeout;
  if (!wait_for_heartbeat || (peer.next_index <= log_.base_index() && snapshot_due)) ReplicateToBehind();
}

void RaftNode::CommitByMajority() {
  std::vector<Index> match_indexes;
  for (const Member& member : members()) {
    if (!member.voter) continue;
    const auto peer = peers_.find(member.identity);
    match_indexes.push_back(member.identity == state_.identity ? saved_index_
                            : peer == peers_.end()             ? 0
                                                               : peer->second.match_index);
  }
  std::sort(match_indexes.begin(), match_indexes.end(), std::greater<>());
  const Index index = match_indexes[MajoritySize() - 1];
  // Entries of earlier terms are committed only through a later entry of the current term, never by counting
  // replicas (section 5.4.2 of the Raft paper).
  if (index > commit_index_ && log_.TermAt(index) == state_.term) AdvanceCommitIndex(index);
}

void RaftNode::OnJoinRequest(const Message& message) {
  if (role_ != Role::kLeader) {
    if (state_.cluster == 0) return;
    Message answer = MakeMessage(MessageKind::kLeaderHint, {message.from, message.from_identity});
    answer.index = HasCurrentLeader() && leader_ ? *leader_ + 1 : 0;
    return Send(std::move(answer));
  }
  const Member* member = FindMember(message.from_identity);
  if (member == nullptr) {
    join_requests_[message.from] = message.from_identity;
    return UpdateMembers();
  }
  Peer& peer = peers_[member->identity];
  peer.last_heard = clock_;  // the member is alive, although it has no contact to a leader
  if (peer.pending_round == 0) ReplicateTo(*member, &peer);
}

void RaftNode::UpdateMembers() {
  if (role_ != Role::kLeader || term_start_index_ > commit_index_ || log_.members_index() > commit_index_)
    return;
  if (std::optional<std::vector<Member>> next = NextMembers()) ChangeMembers(std::move(*next));
}

std::optional<std::vector<Member>> RaftNode::NextMembers() const {
  std::vector<Member> next = members();
  const auto find = [&next](const auto& predicate) {
    return std::find_if(next.begin(), next.end(), predicate);
  };
  // A new identity takes over its member number once the old identity is silent.
  for (const auto& [number, identity] : join_requests_) {
    if (FindMember(identity) != nullptr) continue;
    const auto old = find([number = number](const Member& m) { return m.number == number; });
    if (old == next.end() && next.size() >= options_.bounds.max_members) continue;
    if (old != next.end() && !IsSilent(*old, options_.election_timeout)) continue;
    if (old != next.end()) next.erase(old);
    next.push_back({number, identity, false});
    return next;
  }
  const auto removed =
      find([this](const Member& m) { return m.identity != state_.identity && !IsConfigured(m.number); });
  if (removed != next.end()) {
    next.erase(removed);
    return next;
  }
  std::size_t voters = 0;
  for (const Member& member : next) voters += member.voter ? 1 : 0;
  const auto promotable = find([this](const Member& m) {
    const auto peer = peers_.find(m.identity);
    return !m.voter && peer != peers_.end() && peer->second.match_index >= commit_index_ &&
           !IsSilent(m, options_.learner_heartbeat_interval + options_.election_timeout);
  });
  const auto silent =
      find([this](const Member& m) { return m.voter && IsSilent(m, options_.voter_replacement_delay); });
  if (voters > options_.max_voters) {
    const auto demoted = silent != next.end() ? silent : find([this](const Member& m) {
      return m.voter && m.identity != state_.identity;
    });
    demoted->voter = false;
    return next;
  }
  if (promotable != next.end() && (voters < options_.max_voters || silent != next.end())) {
    promotable->voter = true;
    return next;
  }
  return std::nullopt;
}

void RaftNode::ChangeMembers(std::vector<Member> members) {
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.number < b.number; });
  ReplaceLogFrom({{state_.term, EntryKind::kMembers, EncodeMembers(members)}}, log_.last_index() + 1);
  std::erase_if(peers_, [this](const auto& peer) { return FindMember(peer.first) == nullptr; });
  for (const Member& member : members) {
    std::erase_if(join_requests_,
                  [&member](const auto& request) { return request.second == member.identity; });
    if (member.identity == state_.identity || peers_.contains(member.identity)) continue;
    Peer& peer = peers_[member.identity];
    peer.next_index = log_.last_index();  // the answer to the first request tells which entries it has
    peer.last_heard = clock_;
  }
  ReplicateToBehind();
}

}  // namespace cluster_manager::consensus
