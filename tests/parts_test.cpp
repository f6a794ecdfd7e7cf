// The small parts that everything stands on.
#include <doctest/doctest.h>

#include "config/config.h"
#include "containers/slot_table.h"
#include "dispatch/ports.h"
#include "net/timer_wheel.h"
#include "protocol/message.h"

namespace cluster_manager {
namespace {

TEST_CASE("a stale handle does not find the slot's next tenant") {
  SlotTable<int> table;
  const Handle first = table.Insert(1);
  CHECK(table.Erase(first));
  const Handle next = table.Insert(2);
  CHECK(table.Get(first) == nullptr);
  CHECK_FALSE(table.Erase(first));
  CHECK(*table.Get(next) == 2);
  CHECK(table.Get(0) == nullptr);
}

TEST_CASE("the wheel runs deadlines in order, once, and not those taken down") {
  const Time start = 1'796'137'172 * kSecond;
  TimerWheel wheel(start);
  std::string ran;
  wheel.Schedule(start + 40 * kSecond, [&] { ran += 'd'; });  // further off than a turn of the wheel
  wheel.Schedule(start + 5 * kMs, [&] { ran += 'b'; });
  wheel.Schedule(start + 2 * kMs, [&] {
    ran += 'a';
    wheel.Schedule(start, [&] { ran += 'c'; });  // past already: in the next tick, not in this call's
  });
  const Handle down = wheel.Schedule(start + 3 * kMs, [&] { ran += 'x'; });
  wheel.Cancel(down);
  CHECK(wheel.NextDeadline() <= start + 2 * kMs);
  wheel.Advance(start + 2 * kMs);
  CHECK(ran == "a");
  wheel.Advance(start + 10 * kMs);
  CHECK(ran == "acb");
  wheel.Advance(start + 39 * kSecond);
  CHECK(ran == "acb");
  wheel.Advance(start + 90 * kSecond);  // a whole turn slept through
  CHECK(ran == "acbd");
  CHECK(wheel.NextDeadline() == -1);
}

TEST_CASE("a message comes whole or not at all, however it is cut") {
  std::string bytes;
  protocol::Writer(&bytes, protocol::Type::kRelease, 0xabcdef0123456789)
      .Add(protocol::Cause::kNoCapacity)
      .Add(protocol::Code::kDetail, "busy");
  protocol::Message m;
  std::size_t size = 0;
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    CHECK(protocol::Decode(std::string_view(bytes).substr(0, cut), &m, &size) ==
          protocol::DecodeStatus::kIncomplete);
  }
  REQUIRE(protocol::Decode(bytes, &m, &size) == protocol::DecodeStatus::kMessage);
  CHECK(size == bytes.size());
  CHECK(m.task == 0xabcdef0123456789);
  CHECK(m.CauseOr(-1) == 34);
  CHECK(m.Get(protocol::Code::kDetail) == "busy");
  CHECK_FALSE(m.Has(protocol::Code::kLoadReport));
}

TEST_CASE("the settings are flattened as the simulator's wire writes them") {
  const nlohmann::json settings = {
      {"A", {{"B", true}, {"C", {1, 2.5}}}}, {"S", {{{"N", "x y"}}, {{"N", "z"}}}}, {"T", 6000000000}};
  CHECK(Flatten(settings) == "\tA.B=true\tA.C=1,2.5\tS.count=2\tS.0.N=x_y\tS.1.N=z\tT=6000000000");
}

TEST_CASE("a node's number comes from its uid, alike everywhere") {
  CHECK(NodeIdFromUid("s-00c41f7a") == 0x00c41f7a);
  CHECK(NodeIdFromUid("s-ffffffff") == 0xffffffff);
  CHECK(NodeIdFromUid("rack nine") == NodeIdFromUid("rack nine"));
  CHECK(NodeIdFromUid("rack nine") != NodeIdFromUid("rack ten"));
}

}  // namespace
}  // namespace cluster_manager
