// The socket path's own parts, on a pair of sockets and a loop in this process.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <string>
#include <vector>

#include "net/connection.h"
#include "net/counters.h"
#include "net/loop.h"
#include "net/sys.h"
#include "protocol/message.h"

namespace cluster_manager {
namespace {

using protocol::Code;
using protocol::Type;

struct ClassCounters final : Connection::Handler {
  std::size_t OnData(Connection&, std::string_view data) override {
    got += data;
    return data.size();
  }
  void OnEnd(Connection&, Ending how) override {
    ended = true;
    ending = how;
  }
  std::string got;
  bool ended = false;
  Ending ending{};
};

// A connection on one end, the bare socket on the other, with little room between them.
struct Pair {
  explicit Pair(int room = 4096) {
    int sockets[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets) == 0);
    REQUIRE(::setsockopt(sockets[0], SOL_SOCKET, SO_SNDBUF, &room, sizeof room) == 0);
    other = sockets[1];
    connection.emplace(&loop, sockets[0], &handler);
  }
  ~Pair() { ::close(other); }
  std::string ReadSome(std::size_t most) const {
    std::string bytes(most, '\0');
    const ssize_t got = ::recv(other, bytes.data(), most, 0);
    bytes.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return bytes;
  }

  EventLoop loop;
  ClassCounters handler;
  int other = -1;
  std::optional<Connection> connection;
};

std::string Text(std::mt19937* random, std::size_t size) {
  std::string text(size, '\0');
  for (char& c : text) c = static_cast<char>((*random)());
  return text;
}

TEST_CASE("what the other side has no room for has not left, and what it has not read is not delivered") {
  Pair pair;
  const std::uint64_t before = pair.connection->queued_position();
  *pair.connection->out() += "first";
  const std::uint64_t first = pair.connection->queued_position();
  CHECK(first == before + 5);
  CHECK_FALSE(pair.connection->HasSent(first));  // it is queued in this process
  pair.connection->Flush();
  CHECK(pair.ReadSome(5) == "first");
  CHECK(pair.connection->HasDelivered(first));
  *pair.connection->out() += std::string(64 * 1024, 'x');
  pair.connection->Flush();
  const std::uint64_t all = pair.connection->queued_position();
  CHECK(all == first + 64 * 1024);
  CHECK(pair.connection->HasDelivered(first));  // whatever is queued behind it
  CHECK_FALSE(pair.connection->HasDelivered(all));
  CHECK_FALSE(pair.connection->HasDelivered(first + 1));
  pair.connection->Close();
  CHECK_FALSE(pair.connection->HasDelivered(first));  // nothing is known of a connection that has ended
}

TEST_CASE("a gathered write that breaks off anywhere goes on where it broke off") {
  std::mt19937 random(21);
  Pair pair;
  std::string expected, got;
  for (int round = 0; round < 60; ++round) {
    // Words of the queue's own, with blocks before, between and behind them; some blocks stand there twice.
    for (int i = 0; i < 6; ++i) {
      BlockPool::Ref block = SharedBlockPool().Allocate(9000);
      block.Append(Text(&random, random() % 9000));
      const std::size_t cut = random() % (block.size() + 1);
      const std::string own = Text(&random, random() % 700);
      pair.connection->Refer(block, 0, cut);
      *pair.connection->out() += own;
      pair.connection->Refer(block, cut, block.size());
      expected.append(block.view().substr(0, cut)).append(own).append(block.view().substr(cut));
    }
    pair.connection->Flush();
    while (!pair.connection->flushed()) {
      got += pair.ReadSome(1 + random() % 5000);
      pair.connection->Flush();
    }
    for (std::string more = pair.ReadSome(65'536); !more.empty(); more = pair.ReadSome(65'536)) got += more;
    REQUIRE(got == expected);
    got.clear();
    expected.clear();
  }
  CHECK(SharedBlockPool().live() == 0);
  CHECK_FALSE(pair.handler.ended);
}

TEST_CASE("what waits to be written is bounded, blocks too, and let go with the connection") {
  Pair pair;
  BlockPool::Ref block = SharedBlockPool().Allocate(16'000);
  block.Append(std::string(16'000, 'x'));
  for (int i = 0; i < 100 && !pair.handler.ended; ++i) {
    pair.connection->Refer(block, 0, block.size());
    pair.connection->Flush();
  }
  CHECK(pair.handler.ended);
  CHECK(pair.handler.ending == Ending::kStuck);
  block = {};
  CHECK(SharedBlockPool().live() == 0);
}

TEST_CASE("a set-up of a block leaves in one call, and its bytes are copied once") {
  Pair pair(65'536);
  BlockPool::Ref block = SharedBlockPool().Allocate(1000);
  protocol::AppendParameter(&block, Code::kClass, "web-api");
  const std::size_t class_end = block.size();
  protocol::AppendParameter(&block, Code::kDescription, std::string(500, 'd'));
  const std::uint64_t sends = sys::calls.send, written = protocol::bytes_written;
  {
    protocol::Writer message(pair.connection->out(), Type::kTaskRequest, 0x0102030405060708);
    pair.connection->Refer(block, 0, class_end);
    message.AddExternalBytes(block.size()).Add(Code::kTimeoutMs, std::int64_t{1500});
    pair.connection->Refer(block, class_end, block.size());
  }
  pair.connection->Flush();
  CHECK(sys::calls.send - sends == 1);
  CHECK(protocol::bytes_written - written == 4);  // the wait
  const std::string bytes = pair.ReadSome(4096);
  protocol::Message m;
  std::size_t size = 0;
  REQUIRE(protocol::Decode(bytes, &m, &size) == protocol::DecodeStatus::kMessage);
  CHECK(size == bytes.size());
  CHECK(m.task == 0x0102030405060708);
  CHECK(m.Get(Code::kClass) == "web-api");
  CHECK(m.Get(Code::kTimeoutMs) == "1500");
  CHECK(m.Get(Code::kDescription) == std::string(500, 'd'));
}

TEST_CASE("buffers go back to the loop once nothing waits in them") {
  Pair pair(65'536);
  *pair.connection->out() += std::string(3000, 'a');
  pair.connection->Flush();
  std::string taken;
  pair.loop.TakeBuffer(&taken);
  CHECK(taken.capacity() >= 3000);  // it is the one that was just used
  CHECK(taken.empty());
  pair.loop.GiveBuffer(&taken);
  std::string large(100'000, 'x');
  pair.loop.GiveBuffer(&large);
  CHECK(large.capacity() < 100);  // too large to be kept
  pair.loop.TakeBuffer(&taken);
  CHECK(taken.capacity() < 100'000);
}

}  // namespace
}  // namespace cluster_manager
