// Encoding of Raft messages: all values survive a round trip, and any input that is not exactly one message
// within the bounds is rejected and counted.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include "consensus/raft.h"

namespace cluster_manager::consensus {
namespace {

Message RandomMessage(pcg32* random, const MessageBounds& bounds) {
  const auto number = [random] { return std::uint64_t{(*random)()} >> (*random)(32); };
  const auto bytes = [random](std::uint32_t most) {
    Bytes out((*random)(most));
    for (std::uint8_t& byte : out) byte = static_cast<std::uint8_t>((*random)());
    return out;
  };
  Message m;
  m.kind = static_cast<MessageKind>((*random)(kMessageKinds));
  m.cluster = ~number();
  m.from_identity = ~number();
  m.to_identity = number();
  m.from = (*random)(65536), m.to = (*random)(65536);
  m.term = number(), m.index = number(), m.log_term = number(), m.commit_index = number(), m.round = number();
  for (std::uint32_t i = (*random)(4); i > 0; --i) {
    m.entries.push_back({number(), static_cast<EntryKind>((*random)(3)), bytes(100)});
  }
  for (std::uint32_t i = (*random)(4); i > 0; --i) {
    m.members.push_back({(*random)(65536), number(), (*random)(2) == 1});
  }
  m.state = bytes((*random)(8) == 0 ? static_cast<std::uint32_t>(bounds.max_state_bytes) : 60);
  return m;
}

TEST_CASE("raft messages: a round trip keeps all values and truncated or malformed input is rejected") {
  const MessageBounds bounds;
  pcg32 random(5);
  for (int i = 0; i < 200; ++i) {
    const Message message = RandomMessage(&random, bounds);
    Bytes bytes = EncodeMessage(message);
    REQUIRE(DecodeMessage(bytes, bounds) == message);
    CHECK(DecodeMembers(EncodeMembers(message.members), 4) == message.members);
    bytes.push_back(0);
    CHECK_FALSE(DecodeMessage(bytes, bounds));
    bytes.resize(random(static_cast<std::uint32_t>(bytes.size() - 1)));
    CHECK_FALSE(DecodeMessage(bytes, bounds));
  }
  for (int i = 0; i < 3000; ++i) {  // a corrupted byte: another message or none, never a crash
    Bytes bytes = EncodeMessage(RandomMessage(&random, {.max_state_bytes = 60}));
    bytes[random(static_cast<std::uint32_t>(bytes.size()))] ^= static_cast<std::uint8_t>(1 + random(255));
    DecodeMessage(bytes, bounds);
  }
  for (const std::uint8_t byte :
       {0x5f, 0x7f, 0x81, 0x9f, 0xbf, 0xc1, 0x00, 0xff}) {  // nested strings, arrays, maps and tags
    CHECK_FALSE(DecodeMessage(Bytes(bounds.max_message_bytes(), byte), bounds));
  }
  for (const char* text : {"", "null", "[]", "{\"a\":1}", "[1,2]", "[-1]", "[1.5]"}) {
    CHECK_FALSE(DecodeMessage(nlohmann::json::to_cbor(nlohmann::json::parse(text, nullptr, false)), bounds));
  }
}

TEST_CASE("raft messages: values out of bounds and unknown kinds are rejected") {
  const MessageBounds bounds;
  Message good;
  good.from_identity = 1;
  CHECK(DecodeMessage(EncodeMessage(good), bounds) == good);
  const auto is_rejected = [&](const auto& change) {
    Message message = good;
    change(&message);
    return !DecodeMessage(EncodeMessage(message), bounds);
  };
  CHECK(is_rejected([](Message* m) { m->kind = static_cast<MessageKind>(kMessageKinds); }));
  CHECK(is_rejected([](Message* m) { m->from_identity = 0; }));
  CHECK(is_rejected([](Message* m) { m->from = 65536; }));
  CHECK(is_rejected([](Message* m) { m->index = ~std::uint64_t{0}; }));
  CHECK(is_rejected([&](Message* m) { m->entries.resize(bounds.max_entries + 1); }));
  CHECK(is_rejected([&](Message* m) {
    m->entries = {{1, EntryKind::kCommand, Bytes(bounds.max_entry_bytes + 1)}};
  }));
  CHECK(is_rejected([](Message* m) { m->entries = {{1, static_cast<EntryKind>(3), {}}}; }));
  CHECK(is_rejected([&](Message* m) { m->members.resize(bounds.max_members + 1); }));
  CHECK(is_rejected([&](Message* m) { m->state.resize(bounds.max_state_bytes + 1); }));
}

TEST_CASE("raft messages: a wrong cluster or identity or an unconfigured sender is rejected and counted") {
  RaftNode raft({}, {0, {0, 1, 2}, {}, 11, 77, 0.5}, 0);
  raft.Tick(0, 0.5);
  Message m;
  m.kind = MessageKind::kAppendEntries;
  m.cluster = 77, m.from = 1, m.from_identity = 12, m.to_identity = 11, m.term = 9;
  const auto deliver_and_count = [&](std::uint32_t from, Message message) {
    CHECK(raft.OnMessage(from, message, 1).messages.empty());
    CHECK(raft.term() == 1);
    const RaftCounters& c = raft.counters();
    return std::array{c.wrong_sender, c.wrong_identity, c.wrong_cluster, c.undecodable};
  };
  using Counts = std::array<std::uint64_t, 4>;
  CHECK(deliver_and_count(2, m) == Counts{1, 0, 0, 0});
  m.to_identity = 10;
  CHECK(deliver_and_count(1, m) == Counts{1, 1, 0, 0});
  m.to_identity = 11, m.cluster = 78;
  CHECK(deliver_and_count(1, m) == Counts{1, 1, 1, 0});
  m.from = 7;
  CHECK(deliver_and_count(7, m) == Counts{2, 1, 1, 0});
  CHECK(raft.OnEncodedMessage(1, {1, 2, 3}, 1).messages.empty());
  CHECK(raft.counters().undecodable == 1);
}

}  // namespace
}  // namespace cluster_manager::consensus
