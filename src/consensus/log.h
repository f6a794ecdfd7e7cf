// The in-memory Raft log: the last snapshot, the log entries after it, and the membership that they define.
#pragma once

#include <deque>

#include "consensus/message.h"

namespace cluster_manager::consensus {

// Owned by RaftNode and used from its thread only.
class Log {
 public:
  Log() = default;
  // `max_members` bounds the member lists that are accepted from entries.
  Log(Snapshot snapshot, std::vector<Entry> entries, std::size_t max_members);

  // Index of the last entry that the snapshot covers; the log holds entries base_index() + 1 .. last_index().
  Index base_index() const { return snapshot_.index; }
  Index last_index() const { return snapshot_.index + entries_.size(); }
  std::size_t size() const { return entries_.size(); }
  // 0 at index 0; nullopt if the entry is not in the log or has been compacted.
  std::optional<Term> TermAt(Index index) const;
  Term last_term() const { return *TermAt(last_index()); }
  const Entry& EntryAt(Index index) const { return entries_[index - snapshot_.index - 1]; }
  const Snapshot& snapshot() const { return snapshot_; }

  // Stores `entries` from `first` on (base_index() < first <= last_index() + 1) and removes the entries that
  // were at `first` and after it.
  void ReplaceFrom(Index first, const std::vector<Entry>& entries);
  // Replaces the entries up to `index` by a snapshot; base_index() < index <= last_index().
  void Compact(Index index, Bytes state);
  // Installs a snapshot from the leader. The entries after it are kept if the log has an entry with the index
  // and term of the snapshot. Returns whether they were kept.
  bool InstallSnapshot(Snapshot snapshot);

  // The latest member list, committed or not: a member list applies as soon as its entry is in the log.
  const std::vector<Member>& members() const { return members_; }
  // Index of the entry (or snapshot) that holds members().
  Index members_index() const { return members_index_; }

 private:
  void UpdateMembers(Index up_to);

  Snapshot snapshot_;
  std::deque<Entry> entries_;
  std::size_t max_members_ = 128;
  std::vector<Member> members_;
  Index members_index_ = 0;
};

}  // namespace cluster_manager::consensus
