// Inputs and outputs of a Raft member: clock, durable saves, and validation and dispatch of messages.
#include "consensus/raft.h"

#include <algorithm>
#include <utility>

namespace cluster_manager::consensus {

const char* RoleName(Role role) {
  constexpr const char* kNames[] = {"follower", "asking", "candidate", "leader"};
  return kNames[static_cast<int>(role)];
}

RaftNode::RaftNode(RaftOptions options, Start start, Time now)
    : options_(options), own_number_(start.number), last_now_(now), timeout_draw_(start.timeout_draw) {
  SetConfiguredNumbers(std::move(start.configured_numbers));
  DurableRecords& durable = start.durable;
  state_ = durable.state;
  if (state_.identity == 0) {
    state_.identity = start.new_identity;
    if (start.new_cluster != 0) {
      state_.cluster = start.new_cluster;
      state_.term = 1;
      state_.vote = state_.identity;
      const std::vector<Member> founder_only{{own_number_, state_.identity, true}};
      durable.entries = {{1, EntryKind::kMembers, EncodeMembers(founder_only)}};
    }
  } else {
    saved_index_ = durable.snapshot.index + durable.entries.size();
  }
  log_ = Log(std::move(durable.snapshot), std::move(durable.entries), options_.bounds.max_members);
  commit_index_ = last_applied_ = log_.base_index();
  // Members that start at the same time send their first join request to different members.
  next_join_target_ = own_number_;
}

void RaftNode::SetConfiguredNumbers(std::vector<std::uint32_t> numbers) {
  configured_numbers_ = std::move(numbers);
  std::sort(configured_numbers_.begin(), configured_numbers_.end());
  std::erase_if(join_requests_, [this](const auto& request) { return !IsConfigured(request.first); });
}

void RaftNode::AdvanceClock(Time now) {
  if (now < last_now_) ++counters_.clock_back;
  clock_ += std::max<Time>(0, now - last_now_);
  last_now_ = now;
}

void RaftNode::FinishOutput() {
  Records& records = out_->records;
  if (!records.empty()) {
    out_->ticket = ++last_ticket_;
    if (!records.entries.empty() || records.snapshot) being_saved_[last_ticket_] = log_.last_index();
  }
  // Messages that were deferred during this call also depend on the records of this call.
  for (DeferredMessage& deferred : deferred_) {
    if (deferred.ticket == 0) deferred.ticket = last_ticket_;
  }
  if (saved_ticket_ == last_ticket_) {
    for (DeferredMessage& deferred : deferred_) Send(std::move(deferred.message));
    deferred_.clear();
  }
  out_ = nullptr;
}

Message RaftNode::MakeMessage(MessageKind kind, const Member& to) const {
  Message message;
  message.kind = kind;
  message.cluster = state_.cluster;
  message.from_identity = state_.identity;
  message.to_identity = to.identity;
  message.from = own_number_;
  message.to = to.number;
  message.term = state_.term;
  return message;
}

void RaftNode::Send(Message message) {
  ++counters_.sent[static_cast<std::size_t>(message.kind)];
  out_->messages.push_back(std::move(message));
}

void RaftNode::SendOnceDurable(Message message) {
  // Other members repeat their requests while a save is slow: for each ticket, only the last answer of a kind
  // to a member is kept.
  for (DeferredMessage& deferred : deferred_) {
    if ((deferred.ticket == 0 || deferred.ticket == last_ticket_) && deferred.message.kind == message.kind &&
        deferred.message.to_identity == message.to_identity && out_->records.empty()) {
      deferred.message = std::move(message);
      return;
    }
  }
  if (deferred_.size() >= 8 * options_.bounds.max_members) {
    ++counters_.too_many;
    return;
  }
  deferred_.push_back({0, std::move(message)});
}

void RaftNode::ReplaceLogFrom(std::vector<Entry> entries, Index first) {
  if (entries.empty()) return;
  saved_index_ = std::min(saved_index_, first - 1);
  for (auto& [ticket, index] : being_saved_) index = std::min(index, first - 1);
  log_.ReplaceFrom(first, entries);
  Records& records = out_->records;
  if (records.entries.empty()) records.first_index = first;
  records.entries.insert(records.entries.end(), std::make_move_iterator(entries.begin()),
                         std::make_move_iterator(entries.end()));
}

Output RaftNode::OnSaved(std::uint64_t ticket, Time now) {
  Output out;
  BeginOutput(&out, now);
  if (ticket > saved_ticket_ && ticket <= last_ticket_) {
    saved_ticket_ = ticket;
    while (!being_saved_.empty() && being_saved_.begin()->first <= ticket) {
      saved_index_ = std::max(saved_index_, being_saved_.begin()->second);
      being_saved_.erase(being_saved_.begin());
    }
    std::erase_if(deferred_, [this, ticket](DeferredMessage& deferred) {
      if (deferred.ticket > ticket) return false;
      Send(std::move(deferred.message));
      return true;
    });
    // The candidate's own vote counts only once it is durable, as every other vote.
    if (role_ == Role::kCandidate && saved_ticket_ >= vote_ticket_) {
      granted_votes_.push_back(state_.identity);
      CountVotes();
    }
    if (role_ == Role::kLeader) {
      CommitByMajority();
      ReplicateToBehind();
    }
  }
  FinishOutput();
  return out;
}

Output RaftNode::OnEncodedMessage(std::uint32_t from, const Bytes& bytes, Time now) {
  if (const std::optional<Message> message = DecodeMessage(bytes, options_.bounds))
    return OnMessage(from, *message, now);
  ++counters_.undecodable;
  return {};
}

Output RaftNode::OnMessage(std::uint32_t from, const Message& message, Time now) {
  Output out;
  BeginOutput(&out, now);
  if (AcceptMessage(from, message)) DispatchMessage(message);
  FinishOutput();
  return out;
}

bool RaftNode::AcceptMessage(std::uint32_t from, const Message& message) {
  if (!started_) return false;
  if (message.from != from || message.to != own_number_ || from == own_number_ || !IsConfigured(from)) {
    ++counters_.wrong_sender;
    return false;
  }
  const bool is_join_request = message.kind == MessageKind::kJoinRequest;
  const bool is_leader_hint = message.kind == MessageKind::kLeaderHint;
  if (!is_join_request && message.to_identity != state_.identity) {
    ++counters_.wrong_identity;
    return false;
  }
  if (message.cluster == state_.cluster) return true;
  if (is_join_request && message.cluster == 0) return true;
  if (state_.cluster == 0 && is_leader_hint) return true;
  if (state_.cluster == 0 &&
      (message.kind == MessageKind::kAppendEntries || message.kind == MessageKind::kInstallSnapshot)) {
    // The leader knows the identity of this member, so it has added it to the cluster.
    state_.cluster = message.cluster;
    SaveState();
    return true;
  }
  ++counters_.wrong_cluster;
  return false;
}

void RaftNode::DispatchMessage(const Message& message) {
  using enum MessageKind;
  switch (message.kind) {
    case kJoinRequest:
      return OnJoinRequest(message);
    case kLeaderHint:
      if (role_ == Role::kLeader || message.index == 0) return;
      // At most once per election time-out: two members that each name the other as the leader would
      // otherwise exchange messages without end.
      if (const auto number = static_cast<std::uint32_t>(message.index - 1);
          IsConfigured(number) && number != own_number_ && !hinted_leader_ && !HasCurrentLeader()) {
        hinted_leader_ = number;
        SendJoinRequest();
      }
      return;
    case kPreVote:
      return OnVoteRequest(message, true);
    case kPreVoteGranted:
      return OnVoteGranted(message);
    default:
      break;
  }
  if (message.term > state_.term) {
    // A member with a current leader does not take part in an election against it.
    if (message.kind == kRequestVote && HasCurrentLeader()) return;
    BecomeFollower(message.term, std::nullopt);
  } else if (message.term < state_.term) {
    // The answer tells a leader or candidate of an older term the current term.
    if (message.kind == kAppendEntries || message.kind == kInstallSnapshot || message.kind == kRequestVote) {
      SendOnceDurable(MakeMessage(message.kind == kRequestVote ? kVoteRejected : kAppendRejected,
                                  {message.from, message.from_identity}));
    }
    return;
  }
  switch (message.kind) {
    case kRequestVote:
      return OnVoteRequest(message, false);
    case kVoteGranted:
      return OnVoteGranted(message);
    case kAppendEntries:
    case kInstallSnapshot:
      if (role_ == Role::kLeader) return;  // two leaders in one term: the sender is faulty
      if (role_ != Role::kFollower || leader_ != message.from) BecomeFollower(state_.term, message.from);
      leader_heard_at_ = election_timer_start_ = clock_;
      hinted_leader_.reset();
      return message.kind == kAppendEntries ? OnAppendEntries(message) : OnInstallSnapshot(message);
    case kAppendAccepted:
      return OnAppendAccepted(message);
    case kAppendRejected:
      return OnAppendRejected(message);
    default:
      return;
  }
}

Output RaftNode::Tick(Time now, double timeout_draw) {
  Output out;
  BeginOutput(&out, now);
  if (!started_) {
    started_ = true;
    if (log_.base_index() > 0) out.restored = log_.snapshot();
    if (saved_index_ == 0) {  // a new disk, or one without any entry
      SaveState();
      if (log_.last_index() > log_.base_index()) {
        out.records.first_index = log_.base_index() + 1;
        for (Index i = log_.base_index() + 1; i <= log_.last_index(); ++i)
          out.records.entries.push_back(log_.EntryAt(i));
      }
    }
    out.role = RoleChange{role_, state_.term, leader_};
  } else if (role_ == Role::kLeader) {
    TickLeader();
  } else if (clock_ - election_timer_start_ >= ElectionTimeout()) {
    StartPreVote(timeout_draw);
  }
  FinishOutput();
  return out;
}

Time RaftNode::next_tick() const {
  Time at = election_timer_start_ + ElectionTimeout();
  if (!started_) at = clock_;
  if (role_ == Role::kLeader) {
    at = clock_ + options_.heartbeat_interval;
    for (const Member& member : members()) {
      const auto peer = peers_.find(member.identity);
      if (peer != peers_.end())
        at = std::min(at, peer->second.last_sent + SendInterval(member, peer->second));
    }
  }
  return last_now_ + std::max<Time>(0, at - clock_);
}

bool RaftNode::IsConfigured(std::uint32_t number) const {
  return std::binary_search(configured_numbers_.begin(), configured_numbers_.end(), number);
}

const Member* RaftNode::FindMember(Identity identity) const {
  for (const Member& member : members()) {
    if (member.identity == identity) return &member;
  }
  return nullptr;
}

bool RaftNode::IsVoter() const {
  const Member* own = FindMember(state_.identity);
  return own != nullptr && own->voter;
}

std::size_t RaftNode::MajoritySize() const {
  std::size_t voters = 0;
  for (const Member& member : members()) voters += member.voter ? 1 : 0;
  return voters / 2 + 1;
}

}  // namespace cluster_manager::consensus
