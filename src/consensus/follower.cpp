// Handling of AppendEntries and snapshots from the leader, commit index and log compaction.
#include <algorithm>
#include <utility>

#include "consensus/raft.h"

namespace cluster_manager::consensus {

void RaftNode::OnAppendEntries(const Message& message) {
  for (const Entry& entry : message.entries) {
    // With a member list that it cannot decode, this member would count majorities differently from the
    // leader.
    if (entry.kind == EntryKind::kMembers && !DecodeMembers(entry.bytes, options_.bounds.max_members)) {
      ++counters_.undecodable;
      return;
    }
  }
  const Member to{message.from, message.from_identity};
  Index prev = message.index;
  Term prev_term = message.log_term;
  std::size_t skip = 0;
  if (prev < log_.base_index()) {  // these entries are committed, so they match
    skip = std::min<std::size_t>(message.entries.size(), log_.base_index() - prev);
    prev += skip;
    prev_term = prev == log_.base_index() ? log_.snapshot().term : prev_term;
  }
  if (prev >= log_.base_index() && log_.TermAt(prev) != prev_term) {
    Message answer = MakeMessage(MessageKind::kAppendRejected, to);
    answer.round = message.round;
    answer.index = log_.last_index();
    if (const std::optional<Term> conflicting_term = log_.TermAt(prev)) {
      answer.index =
          prev - 1;  // skips the whole conflicting term: one request per term instead of one per entry
      while (answer.index > commit_index_ && log_.TermAt(answer.index) == conflicting_term) --answer.index;
    }
    return SendOnceDurable(std::move(answer));
  }
  Index match = prev;
  std::vector<Entry> new_entries;
  for (std::size_t i = skip; i < message.entries.size(); ++i) {
    const Entry& entry = message.entries[i];
    if (new_entries.empty() && match < log_.last_index() && log_.TermAt(match + 1) == entry.term) {
      ++match;
      continue;
    }
    if (new_entries.empty() && match + 1 <= commit_index_)
      return;  // would overwrite a committed entry: the leader is faulty
    if (match - log_.base_index() >= options_.max_log_entries) {
      ++counters_.log_full;
      break;
    }
    new_entries.push_back(entry);
    ++match;
  }
  const Index first = match - new_entries.size() + 1;
  ReplaceLogFrom(std::move(new_entries), first);
  AdvanceCommitIndex(std::min(message.commit_index, match));
  Message answer = MakeMessage(MessageKind::kAppendAccepted, to);
  answer.index = match;
  answer.round = message.round;
  SendOnceDurable(std::move(answer));
}

void RaftNode::OnInstallSnapshot(const Message& message) {
  Message answer = MakeMessage(MessageKind::kAppendAccepted, {message.from, message.from_identity});
  answer.round = message.round;
  answer.index = commit_index_;
  if (message.index > commit_index_) {
    const bool log_kept =
        log_.InstallSnapshot({message.index, message.log_term, message.members, message.state});
    if (!log_kept) {
      saved_index_ = 0;
      for (auto& [ticket, index] : being_saved_) index = 0;
    }
    out_->records.snapshot = log_.snapshot();
    out_->records.replaces_log = !log_kept;
    out_->restored = log_.snapshot();
    commit_index_ = last_applied_ = answer.index = message.index;
  }
  SendOnceDurable(std::move(answer));
}

void RaftNode::AdvanceCommitIndex(Index index) {
  if (index <= commit_index_) return;
  commit_index_ = index;
  for (; last_applied_ < commit_index_; ++last_applied_) {
    const Index at = last_applied_ + 1;
    const Entry& entry = log_.EntryAt(at);
    if (entry.kind != EntryKind::kCommand) continue;
    out_->committed.push_back({at, entry.term, entry.bytes});
    const auto proposal = pending_proposals_.find(at);
    if (proposal == pending_proposals_.end()) continue;
    out_->proposal_outcomes.push_back({proposal->second, ProposalResult::kCommitted, at});
    pending_proposals_.erase(proposal);
  }
  out_->snapshot_requested = log_.size() >= options_.snapshot_threshold;
}

Output RaftNode::Compact(Bytes state, Time now) {
  Output out;
  BeginOutput(&out, now);
  if (state.size() > options_.bounds.max_state_bytes) {
    ++counters_.state_too_long;
  } else if (last_applied_ > log_.base_index()) {
    log_.Compact(last_applied_, std::move(state));
    out.records.snapshot = log_.snapshot();
  }
  FinishOutput();
  return out;
}

}  // namespace cluster_manager::consensus
