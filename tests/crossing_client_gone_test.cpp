// A client that closed its connection or released its request has gone: no attempt of that request, first or
// further, begins later than 0.1 s after. The nodes' records are the judge.
#include "crossing_site.h"

namespace cluster_manager::story {
namespace {

enum class Leaving { kClose, kReset, kHalfClose, kRelease };

// A run of the test for each that ends the connection.
Leaving EachEnd() {
  Leaving way = Leaving::kClose;
  SUBCASE("the client closes") { way = Leaving::kClose; }
  SUBCASE("the client resets") { way = Leaving::kReset; }
  SUBCASE("the client closes its half") { way = Leaving::kHalfClose; }
  return way;
}

// A run of the test for each.
Leaving EachLeaving() {
  Leaving way = Leaving::kRelease;
  SUBCASE("the client ends its connection") { way = EachEnd(); }
  SUBCASE("the client releases the request") { way = Leaving::kRelease; }
  return way;
}

void Leave(Wire* client, Leaving way, TaskId task = kTask) {
  switch (way) {
    case Leaving::kClose:
      return client->Close();
    case Leaving::kReset:
      return client->Reset();
    case Leaving::kHalfClose:
      return client->HalfClose();
    case Leaving::kRelease:
      return client->Say(Type::kRelease, task, Cause::kEnded);
  }
}

struct Crossing {
  Leaving way;
  Order order;
};

// A run of the test for each way to end the connection, in each order.
Crossing EachEndInEachOrder() {
  Crossing crossing{Leaving::kClose, Order::kClientFirst};
  SUBCASE("closed") { crossing = {Leaving::kClose, EachOrder()}; }
  SUBCASE("reset") { crossing = {Leaving::kReset, EachOrder()}; }
  SUBCASE("half closed") { crossing = {Leaving::kHalfClose, EachOrder()}; }
  return crossing;
}

// Likewise with the release of the request.
Crossing EachCrossing() {
  Crossing crossing{Leaving::kRelease, Order::kClientFirst};
  SUBCASE("the client ends its connection") { crossing = EachEndInEachOrder(); }
  SUBCASE("the client releases the request") { crossing.order = EachOrder(); }
  return crossing;
}

struct GoneSite : CrossingSite {
  // A connection to the second node is up, and only the first has room until SecondHasRoom().
  void StartWithSecondWarm() {
    StartWith(0.1, 5);
    WarmLine(&at_second);
    TellAndWait(json::array({First(10), Second(0.1)}));
  }
  void SecondHasRoom() { TellAndWait(json::array({Second(5)})); }
  void RefusalCrossesLeaving() {
    Wire client = program->Owner();
    Ask(&client, kTask, "unsafe");
    Wire& node = at_first.AwaitSetUp(kTask);
    SecondHasRoom();
    const Crossing crossing = EachCrossing();
    InOneTurn(
        crossing.order, [&] { Leave(&client, crossing.way); }, [&] { RefuseForCores(&node, kTask); });
    program->Counted("owed", 0, "size ");
    Fence();
    CHECK(at_second.SetUps(kTask) == 0);
  }
  void NoSetUpOf(TaskId task) {
    CHECK(at_first.SetUps(task) == 0);
    CHECK(at_second.SetUps(task) == 0);
  }
};

// Must: a request that is held is forgotten with its client; room that appears later starts no attempt.
TEST_CASE_FIXTURE(GoneSite, "client gone while its request is held, then room appears") {
  StartWith(0.1, 0.1);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("owed", 1, "size ");
  Leave(&client, EachLeaving());
  program->Counted("owed", 0, "size ");
  TellAndWait(json::array({First(10), Second(5)}));
  Fence();
  NoSetUpOf(kTask);
}

// Must: also where the program finds the client's word and the news of room at the same time.
TEST_CASE_FIXTURE(GoneSite, "client gone while its request is held, room appears in the same turn") {
  StartWith(10, 0.1);
  WarmLine(&at_first);
  TellAndWait(json::array({First(0.1)}));
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("owed", 1, "size ");
  const Crossing crossing = EachCrossing();
  InOneTurn(
      crossing.order, [&] { Leave(&client, crossing.way); },
      [&] {
        Tell(json::array({First(10), Second(5)}));
      });
  program->Counted("owed", 0, "size ");
  Fence();
  NoSetUpOf(kTask);
}

// Must: the set-up that waits for its connection is dropped with its client.
TEST_CASE_FIXTURE(GoneSite, "client gone while the dial to the node is under way") {
  StartWith(10, 0.1, PatientDials());
  first.Clog();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("node_dials", 1);
  Leave(&client, EachLeaving());
  program->Counted("attempts_not_sent", 1);
  first.Unclog();
  Fence();
  NoSetUpOf(kTask);
}

// Must: also where the program finds the client's word and the connection that came up at the same time.
TEST_CASE_FIXTURE(GoneSite, "client gone in the turn in which the dial to the node comes up") {
  StartWith(10, 0.1, PatientDials());
  first.Clog();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("node_dials", 1);
  const Crossing crossing = EachCrossing();
  InOneTurn(
      crossing.order, [&] { Leave(&client, crossing.way); },
      [&] {
        first.Unclog();
        at_first.Accept();
      });
  program->Counted("owed", 0, "size ");
  Fence();
  NoSetUpOf(kTask);
}

// Must: the first node's refusal after the client left starts no second attempt.
TEST_CASE_FIXTURE(GoneSite, "client gone between two attempts, before the refusal") {
  StartWith(10, 5);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  Leave(&client, EachLeaving());
  CHECK(node.Hear(Type::kRelease, kTask).cause == 16);
  RefuseForCores(&node, kTask);
  program->Counted("node_replies_unmatched", 1);
  Fence();
  CHECK(at_second.SetUps(kTask) == 0);
}

// Must: also where both are in the kernel before the program looks at either, and the second node's
// connection is up.
TEST_CASE_FIXTURE(GoneSite, "client gone between two attempts, in the turn of the refusal") {
  SUBCASE("the second node is still to be dialled") {
    StartWith(10, 5);
    RefusalCrossesLeaving();
  }
  SUBCASE("the connection to the second node is up") {
    StartWithSecondWarm();
    RefusalCrossesLeaving();
  }
}

// Must: the release of one request ends that one alone; the others of the connection go on to their nodes.
TEST_CASE_FIXTURE(GoneSite, "one of several requests on a connection released in the turn of the refusals") {
  StartWithSecondWarm();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Ask(&client, kFourth, "unsafe");
  Wire& one = at_first.AwaitSetUp(kTask);
  Wire& other = at_first.AwaitSetUp(kFourth);
  SecondHasRoom();
  InOneTurn(
      EachOrder(), [&] { Leave(&client, Leaving::kRelease); },
      [&] {
        RefuseForCores(&other, kFourth);  // the last to arrive is the first to be looked at
        RefuseForCores(&one, kTask);
      });
  at_second.AwaitSetUp(kFourth).Answer(kFourth, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kFourth).description == "there");
  Fence();
  CHECK(at_second.SetUps(kTask) == 0);
}

// Must: all requests of a connection that ended are given up, none is tried again.
TEST_CASE_FIXTURE(GoneSite, "a connection with several requests ends in the turn of their refusals") {
  StartWithSecondWarm();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Ask(&client, kFourth, "unsafe");
  Wire& one = at_first.AwaitSetUp(kTask);
  Wire& other = at_first.AwaitSetUp(kFourth);
  SecondHasRoom();
  const Crossing crossing = EachEndInEachOrder();
  InOneTurn(
      crossing.order, [&] { Leave(&client, crossing.way); },
      [&] {
        RefuseForCores(&one, kTask);
        RefuseForCores(&other, kFourth);
      });
  program->Counted("owed", 0, "size ");
  Fence();
  CHECK(at_second.SetUps(kTask) == 0);
  CHECK(at_second.SetUps(kFourth) == 0);
}

// Must: a set-up that is found together with the word that its client has gone needs no attempt; one that is
// made all the same is given up.
TEST_CASE_FIXTURE(GoneSite, "a set-up and its client's leaving are read together") {
  StartWith(10, 5);
  Wire client = program->Owner();
  client.NothingElse();
  const Leaving way = EachLeaving();
  program->Pause();
  Ask(&client, kTask, "unsafe");
  Leave(&client, way);
  LetGraceOfLeavingPass();
  program->Resume();
  program->Counted("requests_received", 1);
  program->Counted("owed", 0, "size ");
  Fence();
  CHECK(at_first.SetUps(kTask) == at_first.Count(Type::kRelease, kTask));
  CHECK(at_second.SetUps(kTask) == at_second.Count(Type::kRelease, kTask));
}

// A client that reads nothing until the program reads nothing of it either. Its tests are answered as long as
// the program reads; the first that are not show that it has stopped.
void BackUp(Program* program, Wire* client) {
  client->Narrow();
  std::string tests;
  constexpr int kTests = 2'000;
  for (int i = 0; i < kTests; ++i)
    protocol::Writer(&tests, Type::kHealthCheck, 1).Add(Cause::kHealthCheckFailed);
  const auto answered = [&] {
    program->Signal(SIGUSR1);
    return std::stoi(program->Logged("counter client_health_checks_answered "));
  };
  const int before = answered();
  for (int sent = kTests;; sent += kTests) {
    client->Raw(tests);
    int rounds = 0;
    while (answered() - before < sent) {
      if (++rounds == 50) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
}

// Must: that nothing is read of a client does not keep the program from knowing that it has gone.
TEST_CASE_FIXTURE(GoneSite, "client gone while its write queue is backed up, then the node refuses") {
  StartWithSecondWarm();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  SecondHasRoom();
  BackUp(&*program, &client);
  SUBCASE("well before") {
    Leave(&client, EachEnd());
    LetGraceOfLeavingPass();
    RefuseForCores(&node, kTask);
  }
  SUBCASE("in the same turn") {
    const Crossing crossing = EachEndInEachOrder();
    InOneTurn(
        crossing.order, [&] { Leave(&client, crossing.way); }, [&] { RefuseForCores(&node, kTask); });
  }
  Fence();
  CHECK(at_second.SetUps(kTask) == 0);
}

// Must: an answer that crosses its client's leaving is accounted for one way or the other: the task is cut at
// its node, or it stands and was answered.
TEST_CASE_FIXTURE(GoneSite, "client gone in the turn of the node's answer") {
  StartWith(10, 5);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  const Crossing crossing = EachCrossing();
  InOneTurn(
      crossing.order, [&] { Leave(&client, crossing.way); }, [&] { node.Answer(kTask, "there"); });
  program->Counted("owed", 0, "size ");
  Fence();
  const bool cut = at_first.Count(Type::kRelease, kTask) > 0;
  CAPTURE(cut);
  if (crossing.way == Leaving::kRelease) CHECK(cut);
  if (!cut) {  // it stands: its end is told to whoever is there
    Wire next = program->Owner();
    next.NothingElse();
    node.Say(Type::kRelease, kTask, Cause::kEnded);
    CHECK(next.Hear(Type::kRelease, kTask).cause == 16);
  }
}

// Must: a release that arrived whole counts, whatever comes behind it and whatever waits to be written there:
// the task is cut at its node.
TEST_CASE_FIXTURE(GoneSite, "the release of a standing task and the end of its connection in one turn") {
  StartWith(10, 5);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  node.Answer(kTask, "there");
  client.Hear(Type::kTaskAccepted, kTask);
  Leaving way = Leaving::kClose;
  SUBCASE("nothing waits to be written there") { way = EachEnd(); }
  SUBCASE("bytes wait to be written there") {
    BackUp(&*program, &client);
    way = EachEnd();
  }
  program->Pause();
  client.Say(Type::kRelease, kTask, Cause::kEnded);
  Leave(&client, way);
  program->Resume();
  at_first.Await(Type::kRelease, kTask);
  CHECK(at_first.Find(Type::kRelease, kTask)->cause == 31);
}

}  // namespace
}  // namespace cluster_manager::story
