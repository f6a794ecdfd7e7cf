#include "consensus/log.h"

#include <utility>

namespace cluster_manager::consensus {

Log::Log(Snapshot snapshot, std::vector<Entry> entries, std::size_t max_members)
    : snapshot_(std::move(snapshot)), entries_(entries.begin(), entries.end()), max_members_(max_members) {
  UpdateMembers(last_index());
}

std::optional<Term> Log::TermAt(Index index) const {
  if (index == snapshot_.index) return snapshot_.term;
  if (index < snapshot_.index || index > last_index()) return std::nullopt;
  return EntryAt(index).term;
}

void Log::ReplaceFrom(Index first, const std::vector<Entry>& entries) {
  entries_.resize(first - snapshot_.index - 1);
  entries_.insert(entries_.end(), entries.begin(), entries.end());
  UpdateMembers(last_index());
}

void Log::Compact(Index index, Bytes state) {
  Snapshot snapshot{index, *TermAt(index), {}, std::move(state)};
  UpdateMembers(index);
  snapshot.members = members_;
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(index - snapshot_.index));
  snapshot_ = std::move(snapshot);
  UpdateMembers(last_index());
}

bool Log::InstallSnapshot(Snapshot snapshot) {
  const bool matches = TermAt(snapshot.index) == snapshot.term && snapshot.index >= snapshot_.index;
  if (matches) {
    const auto covered = static_cast<std::ptrdiff_t>(snapshot.index - snapshot_.index);
    entries_.erase(entries_.begin(), entries_.begin() + covered);
  } else {
    entries_.clear();
  }
  snapshot_ = std::move(snapshot);
  UpdateMembers(last_index());
  return matches;
}

void Log::UpdateMembers(Index up_to) {
  for (Index index = up_to; index > snapshot_.index; --index) {
    const Entry& entry = EntryAt(index);
    if (entry.kind != EntryKind::kMembers) continue;
    if (std::optional<std::vector<Member>> members = DecodeMembers(entry.bytes, max_members_)) {
      members_ = std::move(*members);
      members_index_ = index;
      return;
    }
  }
  members_ = snapshot_.members;
  members_index_ = snapshot_.index;
}

}  // namespace cluster_manager::consensus
