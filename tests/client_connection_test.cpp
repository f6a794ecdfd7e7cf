// The state machine of a client connection: all combinations of states and events.
#include "clients/client_connection.h"

#include <doctest/doctest.h>

namespace cluster_manager {
namespace {

using State = ClientConnection::State;
using Event = ClientConnection::Event;

TEST_CASE("a client connection becomes identified and served by events in either order") {
  CHECK(ClientConnection::NextState(State::kNew, Event::kValidRequest) == State::kIdentified);
  CHECK(ClientConnection::NextState(State::kNew, Event::kServed) == State::kServedUnidentified);
  CHECK(ClientConnection::NextState(State::kIdentified, Event::kValidRequest) == State::kIdentified);
  CHECK(ClientConnection::NextState(State::kIdentified, Event::kServed) == State::kServed);
  CHECK(ClientConnection::NextState(State::kServedUnidentified, Event::kServed) ==
        State::kServedUnidentified);
  CHECK(ClientConnection::NextState(State::kServedUnidentified, Event::kValidRequest) == State::kServed);
  CHECK(ClientConnection::NextState(State::kServed, Event::kValidRequest) == State::kServed);
  CHECK(ClientConnection::NextState(State::kServed, Event::kServed) == State::kServed);
}

TEST_CASE("a client connection closes from every state and never leaves that state") {
  for (const State state :
       {State::kNew, State::kIdentified, State::kServedUnidentified, State::kServed, State::kClosing}) {
    CHECK(ClientConnection::NextState(state, Event::kClose) == State::kClosing);
  }
  CHECK(ClientConnection::NextState(State::kClosing, Event::kValidRequest) == State::kClosing);
  CHECK(ClientConnection::NextState(State::kClosing, Event::kServed) == State::kClosing);
}

TEST_CASE("a client connection reports once that it has become one of a served client") {
  ClientConnection client;
  CHECK_FALSE(client.IsServed());
  CHECK(client.OnServed());
  CHECK_FALSE(client.OnServed());
  CHECK(client.IsServed());
  CHECK_FALSE(client.HasSentValidRequest());
  client.OnValidRequest();
  CHECK(client.IsServed());
  CHECK(client.HasSentValidRequest());
  client.OnClose(kSecond);
  CHECK(client.IsClosing());
  CHECK_FALSE(client.OnServed());
}

}  // namespace
}  // namespace cluster_manager
