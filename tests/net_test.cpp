// Connections on a pair of sockets and an event loop in this process: delivery, gathered writes, bounds and
// buffers.
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

struct RecordingHandler final : Connection::Handler {
  std::size_t OnData(Connection&, std::string_view data) override {
    received += data;
    return data.size();
  }
  void OnClosed(Connection&, CloseReason close_reason) override {
    closed = true;
    reason = close_reason;
  }
  std::string received;
  bool closed = false;
  CloseReason reason{};
};

// A connection on one end, a plain socket on the other, with a small send buffer.
struct ConnectionPair {
  explicit ConnectionPair(int send_buffer_bytes = 4096) {
    int sockets[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets) == 0);
    REQUIRE(::setsockopt(sockets[0], SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes, sizeof send_buffer_bytes) ==
            0);
    peer = sockets[1];
    connection.emplace(&loop, sockets[0], &handler);
  }
  ~ConnectionPair() { ::close(peer); }
  std::string ReadSome(std::size_t most) const {
    std::string bytes(most, '\0');
    const ssize_t received = ::recv(peer, bytes.data(), most, 0);
    bytes.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
    return bytes;
  }

  EventLoop loop;
  RecordingHandler handler;
  int peer = -1;
  std::optional<Connection> connection;
};

std::string Text(std::mt19937* random, std::size_t size) {
  std::string text(size, '\0');
  for (char& c : text) c = static_cast<char>((*random)());
  return text;
}

TEST_CASE("queued bytes are not sent and bytes that the peer has not read are not delivered") {
  ConnectionPair pair;
  const std::uint64_t before = pair.connection->queued_position();
  *pair.connection->write_queue() += "first";
  const std::uint64_t first = pair.connection->queued_position();
  CHECK(first == before + 5);
  CHECK_FALSE(pair.connection->HasSent(first));  // it is queued in this process
  pair.connection->Flush();
  CHECK(pair.ReadSome(5) == "first");
  CHECK(pair.connection->HasDelivered(first));
  *pair.connection->write_queue() += std::string(64 * 1024, 'x');
  pair.connection->Flush();
  const std::uint64_t all = pair.connection->queued_position();
  CHECK(all == first + 64 * 1024);
  CHECK(pair.connection->HasDelivered(first));  // also while more is queued behind it
  CHECK_FALSE(pair.connection->HasDelivered(all));
  CHECK_FALSE(pair.connection->HasDelivered(first + 1));
  pair.connection->Close();
  CHECK_FALSE(pair.connection->HasDelivered(first));  // a closed connection reports nothing as delivered
}

TEST_CASE("a gathered write that stops anywhere continues from there") {
  std::mt19937 random(21);
  ConnectionPair pair;
  std::string expected, received;
  for (int round = 0; round < 60; ++round) {
    // Bytes of the queue itself with slices of blocks before, between and behind them; some blocks are used
    // twice.
    for (int i = 0; i < 6; ++i) {
      BlockPool::Ref block = SharedBlockPool().Allocate(9000);
      block.Append(Text(&random, random() % 9000));
      const std::size_t cut = random() % (block.size() + 1);
      const std::string queue_bytes = Text(&random, random() % 700);
      pair.connection->AppendBlock(block, 0, cut);
      *pair.connection->write_queue() += queue_bytes;
      pair.connection->AppendBlock(block, cut, block.size());
      expected.append(block.view().substr(0, cut)).append(queue_bytes).append(block.view().substr(cut));
    }
    pair.connection->Flush();
    while (!pair.connection->flushed()) {
      received += pair.ReadSome(1 + random() % 5000);
      pair.connection->Flush();
    }
    for (std::string more = pair.ReadSome(65'536); !more.empty(); more = pair.ReadSome(65'536))
      received += more;
    REQUIRE(received == expected);
    received.clear();
    expected.clear();
  }
  CHECK(SharedBlockPool().live() == 0);
  CHECK_FALSE(pair.handler.closed);
}

TEST_CASE("queued bytes and blocks are bounded and released with the connection") {
  ConnectionPair pair;
  BlockPool::Ref block = SharedBlockPool().Allocate(16'000);
  block.Append(std::string(16'000, 'x'));
  for (int i = 0; i < 100 && !pair.handler.closed; ++i) {
    pair.connection->AppendBlock(block, 0, block.size());
    pair.connection->Flush();
  }
  CHECK(pair.handler.closed);
  CHECK(pair.handler.reason == CloseReason::kOverflow);
  block = {};
  CHECK(SharedBlockPool().live() == 0);
}

TEST_CASE("a request with a block is sent in one system call and its bytes are copied once") {
  ConnectionPair pair(65'536);
  BlockPool::Ref block = SharedBlockPool().Allocate(1000);
  protocol::AppendParameter(&block, Code::kClass, "web-api");
  const std::size_t class_end = block.size();
  protocol::AppendParameter(&block, Code::kDescription, std::string(500, 'd'));
  const std::uint64_t sends = sys::calls.send, written = protocol::bytes_written;
  {
    protocol::Writer message(pair.connection->write_queue(), Type::kTaskRequest, 0x0102030405060708);
    pair.connection->AppendBlock(block, 0, class_end);
    message.AddExternalBytes(block.size()).Add(Code::kTimeoutMs, std::int64_t{1500});
    pair.connection->AppendBlock(block, class_end, block.size());
  }
  pair.connection->Flush();
  CHECK(sys::calls.send - sends == 1);
  CHECK(protocol::bytes_written - written == 4);  // the wait parameter
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

TEST_CASE("buffers return to the loop once they are empty") {
  ConnectionPair pair(65'536);
  *pair.connection->write_queue() += std::string(3000, 'a');
  pair.connection->Flush();
  std::string buffer;
  pair.loop.AcquireBuffer(&buffer);
  CHECK(buffer.capacity() >= 3000);  // the buffer that was just used
  CHECK(buffer.empty());
  pair.loop.ReleaseBuffer(&buffer);
  std::string large(100'000, 'x');
  pair.loop.ReleaseBuffer(&large);
  CHECK(large.capacity() < 100);  // too large to be kept
  pair.loop.AcquireBuffer(&buffer);
  CHECK(buffer.capacity() < 100'000);
}

}  // namespace
}  // namespace cluster_manager
