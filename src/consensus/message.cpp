#include "consensus/message.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace cluster_manager::consensus {
namespace {

using nlohmann::json;
constexpr std::uint64_t kFormatVersion = 0x57724101;  // "WrA" and the version, 1
constexpr std::uint32_t kMaxMemberNumber = 0xFFFF;

// Whether `bytes` are exactly one CBOR array of at most `max_items` unsigned integers and byte strings of
// definite length, none of them longer than the input. The parser of nlohmann::json recurses without a bound
// for nested arrays and for strings of indefinite length, so only input that passes this check is given to
// it.
bool IsFlatArray(const Bytes& bytes, std::size_t max_items) {
  std::size_t at = 0;
  std::uint64_t items = 0;
  std::uint64_t seen = 0;
  for (bool head = true; head || seen < items; head = false) {
    if (at >= bytes.size()) return false;
    const int major = bytes[at] >> 5;
    const int info = bytes[at] & 31;
    ++at;
    std::uint64_t value = static_cast<std::uint64_t>(info);
    if (info >= 24) {
      if (info > 27) return false;
      const std::size_t length = std::size_t{1} << (info - 24);
      if (bytes.size() - at < length) return false;
      value = 0;
      for (std::size_t i = 0; i < length; ++i) value = value << 8 | bytes[at++];
    }
    if (head) {
      if (major != 4 || value > max_items) return false;
      items = value;
      continue;
    }
    ++seen;
    if (major == 0) continue;
    if (major != 2 || value > bytes.size() - at) return false;
    at += value;
  }
  return at == bytes.size();
}

// Reads the values of a flat array in order. After the first value of a wrong type or out of bounds, all
// further reads return 0 or nothing and good() is false.
class Reader {
 public:
  Reader(const Bytes& bytes, std::size_t max_items) {
    if (IsFlatArray(bytes, max_items)) array_ = json::from_cbor(bytes, true, false);
    good_ = array_.is_array();
  }
  std::uint64_t ReadNumber(std::uint64_t max = ~std::uint64_t{0}) {
    const json* value = NextValue();
    if (value == nullptr || !value->is_number_unsigned() || value->get<std::uint64_t>() > max) {
      good_ = false;
      return 0;
    }
    return value->get<std::uint64_t>();
  }
  Bytes ReadBytes(std::size_t max) {
    const json* value = NextValue();
    if (value == nullptr || !value->is_binary() || value->get_binary().size() > max) {
      good_ = false;
      return {};
    }
    return value->get_binary();
  }
  bool good() const { return good_; }
  bool AtEnd() const { return good_ && position_ == array_.size(); }

 private:
  const json* NextValue() { return good_ && position_ < array_.size() ? &array_[position_++] : nullptr; }
  json array_;
  std::size_t position_ = 0;
  bool good_ = false;
};

void AppendMembers(const std::vector<Member>& members, json* out) {
  out->push_back(members.size());
  for (const Member& member : members) {
    out->push_back(member.number);
    out->push_back(member.identity);
    out->push_back(member.voter ? 1U : 0U);
  }
}

std::vector<Member> ReadMembers(Reader* reader, std::size_t max) {
  std::vector<Member> members;
  const std::uint64_t count = reader->ReadNumber(max);
  for (std::uint64_t i = 0; i < count && reader->good(); ++i) {
    Member member;
    member.number = static_cast<std::uint32_t>(reader->ReadNumber(kMaxMemberNumber));
    member.identity = reader->ReadNumber();
    member.voter = reader->ReadNumber(1) == 1;
    members.push_back(member);
  }
  return members;
}

}  // namespace

Bytes EncodeMembers(const std::vector<Member>& members) {
  json array = json::array();
  AppendMembers(members, &array);
  return json::to_cbor(array);
}

std::optional<std::vector<Member>> DecodeMembers(const Bytes& bytes, std::size_t max) {
  Reader reader(bytes, 1 + 3 * max);
  std::vector<Member> members = ReadMembers(&reader, max);
  if (!reader.AtEnd()) return std::nullopt;
  return members;
}

Bytes EncodeMessage(const Message& message) {
  json array = json::array();
  for (const std::uint64_t number :
       {kFormatVersion, static_cast<std::uint64_t>(message.kind), message.cluster, message.from_identity,
        message.to_identity, std::uint64_t{message.from}, std::uint64_t{message.to}, message.term,
        message.index, message.log_term, message.commit_index, message.round}) {
    array.push_back(number);
  }
  array.push_back(message.entries.size());
  for (const Entry& entry : message.entries) {
    array.push_back(entry.term);
    array.push_back(static_cast<std::uint64_t>(entry.kind));
    array.push_back(json::binary(entry.bytes));
  }
  AppendMembers(message.members, &array);
  array.push_back(json::binary(message.state));
  return json::to_cbor(array);
}

std::optional<Message> DecodeMessage(const Bytes& bytes, const MessageBounds& bounds) {
  if (bytes.size() > bounds.max_message_bytes()) return std::nullopt;
  Reader reader(bytes, 16 + 3 * bounds.max_entries + 3 * bounds.max_members);
  if (reader.ReadNumber() != kFormatVersion) return std::nullopt;
  Message message;
  message.kind = static_cast<MessageKind>(reader.ReadNumber(kMessageKinds - 1));
  message.cluster = reader.ReadNumber();
  message.from_identity = reader.ReadNumber();
  message.to_identity = reader.ReadNumber();
  message.from = static_cast<std::uint32_t>(reader.ReadNumber(kMaxMemberNumber));
  message.to = static_cast<std::uint32_t>(reader.ReadNumber(kMaxMemberNumber));
  message.term = reader.ReadNumber();
  message.index = reader.ReadNumber();
  message.log_term = reader.ReadNumber();
  message.commit_index = reader.ReadNumber();
  message.round = reader.ReadNumber();
  const std::uint64_t entries = reader.ReadNumber(bounds.max_entries);
  for (std::uint64_t i = 0; i < entries && reader.good(); ++i) {
    Entry entry;
    entry.term = reader.ReadNumber();
    entry.kind = static_cast<EntryKind>(reader.ReadNumber(static_cast<std::uint64_t>(EntryKind::kMembers)));
    entry.bytes = reader.ReadBytes(bounds.max_entry_bytes);
    message.entries.push_back(std::move(entry));
  }
  message.members = ReadMembers(&reader, bounds.max_members);
  message.state = reader.ReadBytes(bounds.max_state_bytes);
  // No correct sender reaches larger numbers, and they would overflow in sums of indexes.
  constexpr std::uint64_t kMaxIndex = std::uint64_t{1} << 62;
  if (!reader.AtEnd() || message.from_identity == 0 || message.index > kMaxIndex ||
      message.term > kMaxIndex) {
    return std::nullopt;
  }
  return message;
}

}  // namespace cluster_manager::consensus
