// Tests of the test helper story_peers.h: a closed port refuses connections and stays reserved until it is
// opened.
#include <doctest/doctest.h>

#include <cerrno>

#include "story_peers.h"

namespace cluster_manager::story {
namespace {

// The error of binding another socket to the port; 0 if the bind succeeds.
int BindError(int port) {
  const int other = ::socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(other >= 0);
  const sockaddr_in address = Loopback(port);
  const int result = ::bind(other, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  const int error = result == 0 ? 0 : errno;
  ::close(other);
  return error;
}

// The error of connecting to the port; 0 if the connect succeeds.
int ConnectError(int port) {
  const int client = ::socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(client >= 0);
  const sockaddr_in address = Loopback(port);
  const int result = ::connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  const int error = result == 0 ? 0 : errno;
  ::close(client);
  return error;
}

TEST_CASE("a closed port of a scripted peer refuses connections and cannot be bound by another process") {
  Port port;
  const int number = port.number();
  for (int round = 0; round < 3; ++round) {
    CHECK(BindError(number) == EADDRINUSE);
    port.Close();  // without an open connection, which would keep the port reserved
    CHECK(ConnectError(number) == ECONNREFUSED);
    CHECK(BindError(number) == EADDRINUSE);
    port.Open();
    CHECK(port.number() == number);
  }
  Wire client = Wire::To(number);
  Wire accepted = port.Accept();
  port.Close();
  CHECK(ConnectError(number) == ECONNREFUSED);
  port.Open();
  CHECK(ConnectError(number) == 0);
}

}  // namespace
}  // namespace cluster_manager::story
