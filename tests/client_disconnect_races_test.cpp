// Once a client has closed its connection or released its request, no attempt for that request may start
// later than 0.1 s after. The tests check what the nodes have received.
#include "crossing_site.h"

namespace cluster_manager::story {
namespace {

enum class Disconnect { kClose, kReset, kHalfClose, kRelease };

// Runs the test once for each way in which a client can end its connection.
Disconnect ForEachConnectionEnd() {
  Disconnect disconnect = Disconnect::kClose;
  SUBCASE("the client closes") { disconnect = Disconnect::kClose; }
  SUBCASE("the client resets") { disconnect = Disconnect::kReset; }
  SUBCASE("the client half-closes") { disconnect = Disconnect::kHalfClose; }
  return disconnect;
}

// Runs the test once for each way to end the connection, and once for a release of the request.
Disconnect ForEachDisconnect() {
  Disconnect disconnect = Disconnect::kRelease;
  SUBCASE("the client ends its connection") { disconnect = ForEachConnectionEnd(); }
  SUBCASE("the client releases the request") { disconnect = Disconnect::kRelease; }
  return disconnect;
}

void DisconnectClient(Wire* client, Disconnect disconnect, TaskId task = kTask) {
  switch (disconnect) {
    case Disconnect::kClose:
      return client->Close();
    case Disconnect::kReset:
      return client->Reset();
    case Disconnect::kHalfClose:
      return client->HalfClose();
    case Disconnect::kRelease:
      return client->Say(Type::kRelease, task, Cause::kEnded);
  }
}

struct DisconnectRace {
  Disconnect disconnect;
  Order order;
};

// Runs the test for each way to end the connection, with either event order.
DisconnectRace ForEachConnectionEndInEachOrder() {
  DisconnectRace race{Disconnect::kClose, Order::kClientFirst};
  SUBCASE("closed") { race = {Disconnect::kClose, EachOrder()}; }
  SUBCASE("reset") { race = {Disconnect::kReset, EachOrder()}; }
  SUBCASE("half-closed") { race = {Disconnect::kHalfClose, EachOrder()}; }
  return race;
}

// Runs the test for each way to end the connection and for a release of the request, with either event order.
DisconnectRace ForEachDisconnectInEachOrder() {
  DisconnectRace race{Disconnect::kRelease, Order::kClientFirst};
  SUBCASE("the client ends its connection") { race = ForEachConnectionEndInEachOrder(); }
  SUBCASE("the client releases the request") { race.order = EachOrder(); }
  return race;
}

struct ClientDisconnectTest : CrossingSite {
  // Connects to the second node. Only the first node has capacity until GiveSecondCapacity().
  void StartWithConnectionToSecond() {
    StartWith(0.1, 5);
    WarmLine(&at_second);
    TellAndWait(json::array({First(10), Second(0.1)}));
  }
  void GiveSecondCapacity() { TellAndWait(json::array({Second(5)})); }
  void RunRejectionDuringDisconnect() {
    Wire client = program->Owner();
    Ask(&client, kTask, "unsafe");
    Wire& node = at_first.AwaitSetUp(kTask);
    GiveSecondCapacity();
    const DisconnectRace race = ForEachDisconnectInEachOrder();
    InOneTurn(
        race.order, [&] { DisconnectClient(&client, race.disconnect); },
        [&] { RefuseForCores(&node, kTask); });
    program->Counted("owed", 0, "size ");
    Fence();
    CHECK(at_second.SetUps(kTask) == 0);
  }
  void CheckNoTaskRequest(TaskId task) {
    CHECK(at_first.SetUps(task) == 0);
    CHECK(at_second.SetUps(task) == 0);
  }
};

// A queued request is dropped when its client disconnects: capacity that appears later starts no attempt.
TEST_CASE_FIXTURE(ClientDisconnectTest,
                  "a client disconnects while its request is queued and capacity appears later") {
  StartWith(0.1, 0.1);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("owed", 1, "size ");
  DisconnectClient(&client, ForEachDisconnect());
  program->Counted("owed", 0, "size ");
  TellAndWait(json::array({First(10), Second(5)}));
  Fence();
  CheckNoTaskRequest(kTask);
}

// The same if the program reads the disconnect and the endpoint list update in one loop iteration.
TEST_CASE_FIXTURE(
    ClientDisconnectTest,
    "a client disconnects while its request is queued and capacity appears in the same loop iteration") {
  StartWith(10, 0.1);
  WarmLine(&at_first);
  TellAndWait(json::array({First(0.1)}));
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("owed", 1, "size ");
  const DisconnectRace race = ForEachDisconnectInEachOrder();
  InOneTurn(
      race.order, [&] { DisconnectClient(&client, race.disconnect); },
      [&] {
        Tell(json::array({First(10), Second(5)}));
      });
  program->Counted("owed", 0, "size ");
  Fence();
  CheckNoTaskRequest(kTask);
}

// An attempt that waits for its connection to the node is dropped when its client disconnects.
TEST_CASE_FIXTURE(ClientDisconnectTest, "a client disconnects while the node is being dialed") {
  StartWith(10, 0.1, PatientDials());
  first.Clog();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("node_dials", 1);
  DisconnectClient(&client, ForEachDisconnect());
  program->Counted("attempts_not_sent", 1);
  first.Unclog();
  Fence();
  CheckNoTaskRequest(kTask);
}

// The same if the program finds the disconnect and the established connection in one loop iteration.
TEST_CASE_FIXTURE(ClientDisconnectTest,
                  "a client disconnects in the loop iteration in which the dial to the node completes") {
  StartWith(10, 0.1, PatientDials());
  first.Clog();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("node_dials", 1);
  const DisconnectRace race = ForEachDisconnectInEachOrder();
  InOneTurn(
      race.order, [&] { DisconnectClient(&client, race.disconnect); },
      [&] {
        first.Unclog();
        at_first.Accept();
      });
  program->Counted("owed", 0, "size ");
  Fence();
  CheckNoTaskRequest(kTask);
}

// A rejection by the first node after the client has disconnected starts no second attempt.
TEST_CASE_FIXTURE(ClientDisconnectTest, "a client disconnects between two attempts before the rejection") {
  StartWith(10, 5);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  DisconnectClient(&client, ForEachDisconnect());
  CHECK(node.Hear(Type::kRelease, kTask).cause == 16);
  RefuseForCores(&node, kTask);
  program->Counted("node_replies_unmatched", 1);
  Fence();
  CHECK(at_second.SetUps(kTask) == 0);
}

// The same if both have arrived before the program reads either of them, with and without an established
// connection to the second node.
TEST_CASE_FIXTURE(ClientDisconnectTest,
                  "a client disconnects between two attempts in the loop iteration of the rejection") {
  SUBCASE("the second node has to be dialed") {
    StartWith(10, 5);
    RunRejectionDuringDisconnect();
  }
  SUBCASE("the second node is connected") {
    StartWithConnectionToSecond();
    RunRejectionDuringDisconnect();
  }
}

// The release of one request cancels that request only; other requests of the connection are still retried.
TEST_CASE_FIXTURE(
    ClientDisconnectTest,
    "one of several requests on a connection is released in the loop iteration of the rejections") {
  StartWithConnectionToSecond();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Ask(&client, kFourth, "unsafe");
  Wire& node_of_first = at_first.AwaitSetUp(kTask);
  Wire& node_of_second = at_first.AwaitSetUp(kFourth);
  GiveSecondCapacity();
  InOneTurn(
      EachOrder(), [&] { DisconnectClient(&client, Disconnect::kRelease); },
      [&] {
        RefuseForCores(&node_of_second, kFourth);  // the last to arrive is processed first
        RefuseForCores(&node_of_first, kTask);
      });
  at_second.AwaitSetUp(kFourth).Answer(kFourth, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kFourth).description == "there");
  Fence();
  CHECK(at_second.SetUps(kTask) == 0);
}

// All requests of a connection that has ended are cancelled, and none is retried.
TEST_CASE_FIXTURE(ClientDisconnectTest,
                  "a connection with several requests ends in the loop iteration of their rejections") {
  StartWithConnectionToSecond();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Ask(&client, kFourth, "unsafe");
  Wire& node_of_first = at_first.AwaitSetUp(kTask);
  Wire& node_of_second = at_first.AwaitSetUp(kFourth);
  GiveSecondCapacity();
  const DisconnectRace race = ForEachConnectionEndInEachOrder();
  InOneTurn(
      race.order, [&] { DisconnectClient(&client, race.disconnect); },
      [&] {
        RefuseForCores(&node_of_first, kTask);
        RefuseForCores(&node_of_second, kFourth);
      });
  program->Counted("owed", 0, "size ");
  Fence();
  CHECK(at_second.SetUps(kTask) == 0);
  CHECK(at_second.SetUps(kFourth) == 0);
}

// A request that is read together with the disconnect of its client needs no attempt; an attempt that is
// started nevertheless is cancelled.
TEST_CASE_FIXTURE(ClientDisconnectTest, "a request and the disconnect of its client are read together") {
  StartWith(10, 5);
  Wire client = program->Owner();
  client.NothingElse();
  const Disconnect disconnect = ForEachDisconnect();
  program->Pause();
  Ask(&client, kTask, "unsafe");
  DisconnectClient(&client, disconnect);
  LetGraceOfLeavingPass();
  program->Resume();
  program->Counted("requests_received", 1);
  program->Counted("owed", 0, "size ");
  Fence();
  CHECK(at_first.SetUps(kTask) == at_first.Count(Type::kRelease, kTask));
  CHECK(at_second.SetUps(kTask) == at_second.Count(Type::kRelease, kTask));
}

// Sends health checks without reading the replies, until the program stops reading from the client.
// Unanswered health checks show that it has stopped.
void FillWriteQueue(Program* program, Wire* client) {
  client->Narrow();
  std::string health_checks;
  constexpr int kBatch = 2'000;
  for (int i = 0; i < kBatch; ++i)
    protocol::Writer(&health_checks, Type::kHealthCheck, 1).Add(Cause::kHealthCheckFailed);
  const auto health_checks_answered = [&] {
    program->Signal(SIGUSR1);
    return std::stoi(program->Logged("counter client_health_checks_answered "));
  };
  const int before = health_checks_answered();
  for (int sent = kBatch;; sent += kBatch) {
    client->Raw(health_checks);
    int rounds = 0;
    while (health_checks_answered() - before < sent) {
      if (++rounds == 50) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
}

// The program detects the disconnect of a client also while it has paused reading from it.
TEST_CASE_FIXTURE(
    ClientDisconnectTest,
    "a client disconnects while its write queue is backed up and the node rejects the request") {
  StartWithConnectionToSecond();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  GiveSecondCapacity();
  FillWriteQueue(&*program, &client);
  SUBCASE("long before") {
    DisconnectClient(&client, ForEachConnectionEnd());
    LetGraceOfLeavingPass();
    RefuseForCores(&node, kTask);
  }
  SUBCASE("in the same loop iteration") {
    const DisconnectRace race = ForEachConnectionEndInEachOrder();
    InOneTurn(
        race.order, [&] { DisconnectClient(&client, race.disconnect); },
        [&] { RefuseForCores(&node, kTask); });
  }
  Fence();
  CHECK(at_second.SetUps(kTask) == 0);
}

// If the node accepts while the client disconnects, the task is either stopped at the node, or it runs and
// its completion is delivered.
TEST_CASE_FIXTURE(ClientDisconnectTest,
                  "a client disconnects in the loop iteration in which the node accepts") {
  StartWith(10, 5);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  const DisconnectRace race = ForEachDisconnectInEachOrder();
  InOneTurn(
      race.order, [&] { DisconnectClient(&client, race.disconnect); }, [&] { node.Answer(kTask, "there"); });
  program->Counted("owed", 0, "size ");
  Fence();
  const bool stopped = at_first.Count(Type::kRelease, kTask) > 0;
  CAPTURE(stopped);
  if (race.disconnect == Disconnect::kRelease) CHECK(stopped);
  if (!stopped) {  // it runs: its completion is sent to any connected client
    Wire next = program->Owner();
    next.NothingElse();
    node.Say(Type::kRelease, kTask, Cause::kEnded);
    CHECK(next.Hear(Type::kRelease, kTask).cause == 16);
  }
}

// A release that has arrived completely stops the task at its node, whatever follows it on the connection and
// whether or not bytes are queued there.
TEST_CASE_FIXTURE(ClientDisconnectTest,
                  "a running task is released and its connection ends in the same loop iteration") {
  StartWith(10, 5);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  node.Answer(kTask, "there");
  client.Hear(Type::kTaskAccepted, kTask);
  Disconnect disconnect = Disconnect::kClose;
  SUBCASE("no bytes are queued") { disconnect = ForEachConnectionEnd(); }
  SUBCASE("bytes are queued") {
    FillWriteQueue(&*program, &client);
    disconnect = ForEachConnectionEnd();
  }
  program->Pause();
  client.Say(Type::kRelease, kTask, Cause::kEnded);
  DisconnectClient(&client, disconnect);
  program->Resume();
  at_first.Await(Type::kRelease, kTask);
  CHECK(at_first.Find(Type::kRelease, kTask)->cause == 31);
}

}  // namespace
}  // namespace cluster_manager::story
