// The Raft messages between members, the records that a member persists, and their encoding. Value types
// only.
//
// A message is encoded as one flat CBOR array of unsigned integers and byte strings (written and read with
// nlohmann::json). The array is not nested, so that decoding input from an unknown sender never recurses, and
// the order is fixed, so that each value is checked for its type and bound. Any other input, including one
// with a missing or an extra byte, is rejected as a whole.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cluster_manager::consensus {

using Time = std::int64_t;  // Unix nanoseconds
using Bytes = std::vector<std::uint8_t>;
using Index = std::uint64_t;  // of a log entry, from 1 on; 0: none
using Term = std::uint64_t;
// Identifies the disk of a member from the time it was empty: drawn at random when its first record is
// written, never 0. Votes and acknowledged entries belong to the identity; the member number is only an
// address.
using Identity = std::uint64_t;

struct Member {
  std::uint32_t number = 0;  // as configured
  Identity identity = 0;
  bool voter = false;  // otherwise a learner: it receives all entries, but does not count for majorities
  bool operator==(const Member&) const = default;
};

// Stored and sent by number: neither numbers nor order may change.
enum class EntryKind : std::uint8_t {
  kNoOp,     // appended by a new leader, to commit the entries of earlier terms
  kCommand,  // for the state machine
  kMembers   // a new member list
};

struct Entry {
  Term term = 0;
  EntryKind kind = EntryKind::kNoOp;
  Bytes bytes;  // the command, or the members as encoded by EncodeMembers
  bool operator==(const Entry&) const = default;
};

// Sent by number: neither numbers nor order may change.
enum class MessageKind : std::uint8_t {
  kPreVote,          // asks whether the receiver would vote in `term`; changes no state on either side
  kPreVoteGranted,   // `term` is the requested term
  kPreVoteRejected,  // `term` is the term of the sender
  kRequestVote,      // `index`, `log_term`: the last log entry of the candidate
  kVoteGranted,
  kVoteRejected,
  kAppendEntries,    // the entries after (`index`, `log_term`); a heartbeat if there are none
  kAppendAccepted,   // the log matches the leader's up to `index` and is durable; `round` is that of the
                     // request
  kAppendRejected,   // no entry (`index`, `log_term`) of the request; the logs match at most up to `index`
  kInstallSnapshot,  // state machine and members up to (`index`, `log_term`); answered by kAppendAccepted
  kJoinRequest,      // from a member without contact to a leader: announces its identity
  kLeaderHint,       // a non-leader's answer to kJoinRequest: `index` - 1 is the leader's number; 0: unknown
};
constexpr int kMessageKinds = 12;

struct Message {
  MessageKind kind = MessageKind::kJoinRequest;
  std::uint64_t cluster = 0;                    // drawn when the cluster is founded; 0: not yet in a cluster
  Identity from_identity = 0, to_identity = 0;  // to_identity: 0 if the sender does not know it
  std::uint32_t from = 0, to = 0;               // member numbers
  Term term = 0;
  Index index = 0;
  Term log_term = 0;
  Index commit_index = 0;   // of the leader
  std::uint64_t round = 0;  // number of a leader's request, repeated in the answer
  std::vector<Entry> entries;
  std::vector<Member> members;  // of a snapshot
  Bytes state;                  // of a snapshot
  bool operator==(const Message&) const = default;
};

// Upper bounds of one message, in entries, members and bytes.
struct MessageBounds {
  std::size_t max_entries = 64, max_entry_bytes = 16 << 10, max_batch_bytes = 256 << 10, max_members = 128,
              max_state_bytes = 1 << 20;
  // Of an encoded message.
  std::size_t max_message_bytes() const {
    return max_batch_bytes + max_entry_bytes + max_state_bytes + 16 * max_entries + 20 * max_members + 256;
  }
};

Bytes EncodeMessage(const Message& message);
// Returns nullopt unless `bytes` are exactly the encoding of one message within the bounds.
std::optional<Message> DecodeMessage(const Bytes& bytes, const MessageBounds& bounds);
Bytes EncodeMembers(const std::vector<Member>& members);
// Returns nullopt unless `bytes` are exactly the encoding of at most `max_members` members.
std::optional<std::vector<Member>> DecodeMembers(const Bytes& bytes, std::size_t max_members);

// The persistent state of a member besides its log.
struct PersistentState {
  Identity identity = 0;
  std::uint64_t cluster = 0;
  Term term = 0;
  Identity vote = 0;  // given in `term`; 0: none
  bool operator==(const PersistentState&) const = default;
};
struct Snapshot {
  Index index = 0;
  Term term = 0;  // of the entry at `index`
  std::vector<Member> members;
  Bytes state;
  bool operator==(const Snapshot&) const = default;
};
// Changes to be made durable, atomically and in the order of their tickets.
struct Records {
  std::optional<PersistentState> state;
  // Removes the stored entries up to its index, and with `replaces_log` (a snapshot from the leader) all
  // others.
  std::optional<Snapshot> snapshot;
  bool replaces_log = false;
  // Stored at `first_index`, `first_index` + 1, ...; entries stored earlier at these indexes and above are
  // removed.
  Index first_index = 0;
  std::vector<Entry> entries;
  bool empty() const { return !state && !snapshot && entries.empty(); }
};
// The durable records as read back by the store; identity 0 means a new disk.
struct DurableRecords {
  PersistentState state;
  Snapshot snapshot;
  std::vector<Entry> entries;  // from snapshot.index + 1 on
};

}  // namespace cluster_manager::consensus
