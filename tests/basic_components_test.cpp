// Tests of basic components: slot table, timer wheel, message codec, settings in the simulator's format, node
// ids.
#include <doctest/doctest.h>

#include "config/config.h"
#include "containers/slot_table.h"
#include "dispatch/ports.h"
#include "net/timer_wheel.h"
#include "protocol/message.h"

namespace cluster_manager {
namespace {

TEST_CASE("a stale handle does not find the next value in its slot") {
  SlotTable<int> table;
  const Handle first = table.Insert(1);
  CHECK(table.Erase(first));
  const Handle next = table.Insert(2);
  CHECK(table.Get(first) == nullptr);
  CHECK_FALSE(table.Erase(first));
  CHECK(*table.Get(next) == 2);
  CHECK(table.Get(0) == nullptr);
}

TEST_CASE("the timer wheel runs each deadline once in order and does not run cancelled ones") {
  const Time start = 1'796'137'172 * kSecond;
  TimerWheel wheel(start);
  std::string ran;
  wheel.Schedule(start + 40 * kSecond, [&] { ran += 'd'; });  // beyond one rotation of the wheel
  wheel.Schedule(start + 5 * kMs, [&] { ran += 'b'; });
  wheel.Schedule(start + 2 * kMs, [&] {
    ran += 'a';
    wheel.Schedule(start, [&] { ran += 'c'; });  // already past: runs in the next tick, not in this call
  });
  const Handle cancelled = wheel.Schedule(start + 3 * kMs, [&] { ran += 'x'; });
  wheel.Cancel(cancelled);
  CHECK(wheel.NextDeadline() <= start + 2 * kMs);
  wheel.Advance(start + 2 * kMs);
  CHECK(ran == "a");
  wheel.Advance(start + 10 * kMs);
  CHECK(ran == "acb");
  wheel.Advance(start + 39 * kSecond);
  CHECK(ran == "acb");
  wheel.Advance(start + 90 * kSecond);  // more than one rotation without a call
  CHECK(ran == "acbd");
  CHECK(wheel.NextDeadline() == -1);
}

TEST_CASE("a truncated message is not decoded at any length") {
  std::string bytes;
  protocol::Writer(&bytes, protocol::Type::kRelease, 0xabcdef0123456789)
      .Add(protocol::Cause::kNoCapacity)
      .Add(protocol::Code::kDetail, "busy");
  protocol::Message m;
  std::size_t size = 0;
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK(protocol::Decode(std::string_view(bytes).substr(0, length), &m, &size) ==
          protocol::DecodeStatus::kIncomplete);
  }
  REQUIRE(protocol::Decode(bytes, &m, &size) == protocol::DecodeStatus::kMessage);
  CHECK(size == bytes.size());
  CHECK(m.task == 0xabcdef0123456789);
  CHECK(m.CauseOr(-1) == 34);
  CHECK(m.Get(protocol::Code::kDetail) == "busy");
  CHECK_FALSE(m.Has(protocol::Code::kLoadReport));
}

TEST_CASE("settings are flattened to the format of the simulator protocol") {
  const nlohmann::json settings = {
      {"A", {{"B", true}, {"C", {1, 2.5}}}}, {"S", {{{"N", "x y"}}, {{"N", "z"}}}}, {"T", 6000000000}};
  CHECK(FlattenSettings(settings) == "\tA.B=true\tA.C=1,2.5\tS.count=2\tS.0.N=x_y\tS.1.N=z\tT=6000000000");
}

TEST_CASE("a node id is derived from the uid and is the same in every process") {
  CHECK(NodeIdFromUid("s-00c41f7a") == 0x00c41f7a);
  CHECK(NodeIdFromUid("s-ffffffff") == 0xffffffff);
  CHECK(NodeIdFromUid("rack nine") == NodeIdFromUid("rack nine"));
  CHECK(NodeIdFromUid("rack nine") != NodeIdFromUid("rack ten"));
}

}  // namespace
}  // namespace cluster_manager
