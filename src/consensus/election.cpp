// Roles, elections with PreVote, and join requests.
#include <algorithm>
#include <utility>

#include "consensus/raft.h"

namespace cluster_manager::consensus {

void RaftNode::SetRole(Role role) {
  if (role_ == Role::kLeader && role != Role::kLeader) {
    ++counters_.step_downs;
    for (const auto& [index, proposal] : pending_proposals_)
      out_->proposal_outcomes.push_back({proposal, ProposalResult::kUnknown, 0});
    pending_proposals_.clear();
    peers_.clear();
    join_requests_.clear();
    leader_heard_at_ = kNever;
    election_timer_start_ = clock_;
  }
  role_ = role;
  granted_votes_.clear();
  out_->role = RoleChange{role_, state_.term, leader_};
}

void RaftNode::BecomeFollower(Term term, std::optional<std::uint32_t> leader) {
  if (term > state_.term) {
    state_.term = term;
    state_.vote = 0;
    SaveState();
  }
  leader_ = leader;
  SetRole(Role::kFollower);
}

bool RaftNode::HasCurrentLeader() const {
  if (role_ == Role::kLeader) return true;
  return leader_ && leader_heard_at_ != kNever && clock_ - leader_heard_at_ < options_.election_timeout;
}

Time RaftNode::ElectionTimeout() const {
  const Time drawn = options_.election_timeout +
                     static_cast<Time>(static_cast<double>(options_.election_timeout) * timeout_draw_);
  const bool learner = FindMember(state_.identity) != nullptr && !IsVoter();
  return learner ? 2 * options_.learner_heartbeat_interval + drawn : drawn;
}

void RaftNode::StartPreVote(double timeout_draw) {
  timeout_draw_ = timeout_draw;
  election_timer_start_ = clock_;
  leader_.reset();
  hinted_leader_.reset();
  SendJoinRequest();
  if (!IsVoter()) {
    if (role_ != Role::kFollower) SetRole(Role::kFollower);
    return;
  }
  SetRole(Role::kPreCandidate);
  granted_votes_.push_back(state_.identity);
  for (const Member& member : members()) {
    if (!member.voter || member.identity == state_.identity) continue;
    Message message = MakeMessage(MessageKind::kPreVote, member);
    message.term = state_.term + 1;
    message.index = log_.last_index();
    message.log_term = log_.last_term();
    Send(std::move(message));
  }
  CountVotes();
}

void RaftNode::BecomeCandidate() {
  ++counters_.elections;
  ++state_.term;
  state_.vote = state_.identity;
  SaveState();
  vote_ticket_ = last_ticket_ + 1;  // assigned to these records by FinishOutput
  SetRole(Role::kCandidate);
  for (const Member& member : members()) {
    if (!member.voter || member.identity == state_.identity) continue;
    Message message = MakeMessage(MessageKind::kRequestVote, member);
    message.index = log_.last_index();
    message.log_term = log_.last_term();
    SendOnceDurable(std::move(message));
  }
}

bool RaftNode::IsLogUpToDate(const Message& message) const {
  return message.log_term > log_.last_term() ||
         (message.log_term == log_.last_term() && message.index >= log_.last_index());
}

void RaftNode::OnVoteRequest(const Message& message, bool pre_vote) {
  const Member to{message.from, message.from_identity};
  if (pre_vote) {
    const bool grant = message.term > state_.term && !HasCurrentLeader() && IsLogUpToDate(message);
    Message answer = MakeMessage(grant ? MessageKind::kPreVoteGranted : MessageKind::kPreVoteRejected, to);
    if (grant) answer.term = message.term;
    return Send(std::move(answer));
  }
  const bool grant = role_ == Role::kFollower && (state_.vote == 0 || state_.vote == message.from_identity) &&
                     IsLogUpToDate(message);
  if (grant && state_.vote == 0) {
    state_.vote = message.from_identity;
    SaveState();
  }
  if (grant) election_timer_start_ = clock_;
  SendOnceDurable(MakeMessage(grant ? MessageKind::kVoteGranted : MessageKind::kVoteRejected, to));
}

void RaftNode::OnVoteGranted(const Message& message) {
  const bool pre_vote = message.kind == MessageKind::kPreVoteGranted;
  if (role_ != (pre_vote ? Role::kPreCandidate : Role::kCandidate)) return;
  if (message.term != state_.term + (pre_vote ? 1 : 0)) return;
  if (FindMember(message.from_identity) == nullptr) {
    ++counters_.not_member;
    return;
  }
  granted_votes_.push_back(message.from_identity);
  CountVotes();
}

void RaftNode::CountVotes() {
  std::size_t votes = 0;
  for (const Member& member : members()) {
    votes += member.voter && std::find(granted_votes_.begin(), granted_votes_.end(), member.identity) !=
                                 granted_votes_.end()
                 ? 1
                 : 0;
  }
  if (votes < MajoritySize()) return;
  if (role_ == Role::kPreCandidate) {
    BecomeCandidate();
  } else if (role_ == Role::kCandidate) {
    BecomeLeader();
  }
}

// Asks one other member at a time: the leader if another member named it, otherwise the next configured
// member.
void RaftNode::SendJoinRequest() {
  std::vector<std::uint32_t> others = configured_numbers_;
  std::erase(others, own_number_);
  if (others.empty()) return;
  const std::uint32_t to = hinted_leader_ ? *hinted_leader_ : others[next_join_target_++ % others.size()];
  Send(MakeMessage(MessageKind::kJoinRequest, {to, 0}));
}

}  // namespace cluster_manager::consensus
