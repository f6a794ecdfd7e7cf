// Races between attempts and other events. At any time a request has at most one open attempt, each attempt
// ends once, and a cancelled attempt is cancelled at its node before the next one starts.
#include "crossing_site.h"

namespace cluster_manager::story {
namespace {

struct AttemptRaceTest : CrossingSite {
  // Number of attempts that were sent to the nodes and not released.
  std::size_t OpenAttempts(TaskId task) {
    at_first.Read();
    at_second.Read();
    return at_first.SetUps(task) + at_second.SetUps(task) - at_first.Count(Type::kRelease, task) -
           at_second.Count(Type::kRelease, task);
  }
};

// A message about an earlier attempt that arrives while the next attempt at the same node waits for its dial
// neither ends nor accepts the next one, and no untracked task request is sent.
TEST_CASE_FIXTURE(AttemptRaceTest,
                  "a late message for a rejected attempt arrives while the next attempt waits for its dial") {
  StartWith(10, 0.1, PatientDials());
  Wire client = program->Owner();
  Ask(&client, kOther, "unsafe");
  Wire& other_connection = at_first.AwaitSetUp(kOther);
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  RefuseForCores(&node, kTask);
  program->Counted("node_rejections", 1);
  node.Close();
  program->Counted("agent_lines", 1, "size ");
  first.Clog();
  TellRoomAtFirstUntil([&] { return Count("node_dials") == 3; });  // the second attempt waits for this dial
  SUBCASE("the rejection again") { RefuseForCores(&other_connection, kTask); }
  SUBCASE("an acceptance") { other_connection.Answer(kTask, "late"); }
  SUBCASE("an abort of the attempt") { other_connection.Say(Type::kRelease, kTask, Cause::kAborted); }
  other_connection.Say(Type::kTaskReport, kOther,
                       [](protocol::Writer& w) { w.Add(Code::kDetail, std::string_view("up")); });
  program->Counted("node_task_reports", 1);
  client.NothingElse();
  TellAndWait(json::array({Second(9)}));
  first.Unclog();
  Wire& new_connection = at_first.Accept();
  CHECK(new_connection.Hear(Type::kTaskRequest, kTask).type == Type::kTaskRequest);
  program->Counted("attempts_sent", 3);
  at_second.Read();
  CHECK(at_second.SetUps(kTask) == 0);
  new_connection.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  other_connection.Answer(kOther, "there");
  client.Hear(Type::kTaskAccepted, kOther);
}

// The same while the request is queued without an open attempt.
TEST_CASE_FIXTURE(AttemptRaceTest, "a duplicate reply arrives while the request is queued") {
  StartWith(10, 0.1);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  RefuseForCores(&node, kTask);
  program->Counted("node_rejections", 1);
  SUBCASE("a rejection") { RefuseForCores(&node, kTask); }
  SUBCASE("an acceptance") { node.Answer(kTask, "late"); }
  program->Counted("node_replies_unmatched", 1);
  client.NothingElse();
  TellRoomAtFirstUntil([&] { return Count("attempts_sent") == 2; });
  CHECK(node.Hear(Type::kTaskRequest, kTask).type == Type::kTaskRequest);
  node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  CHECK(at_second.SetUps(kTask) == 0);
}

// Two copies of a rejection end one attempt only; the attempt at the second node is not affected.
TEST_CASE_FIXTURE(AttemptRaceTest, "a rejection arrives twice") {
  StartWith(10, 5);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& node = at_first.AwaitSetUp(kTask);
  SUBCASE("in one loop iteration") {
    program->Pause();
    RefuseForCores(&node, kTask);
    RefuseForCores(&node, kTask);
    program->Resume();
  }
  SUBCASE("the copy while the second attempt is open") {
    RefuseForCores(&node, kTask);
    at_second.AwaitSetUp(kTask);
    RefuseForCores(&node, kTask);
  }
  Wire& next_node = at_second.AwaitSetUp(kTask);
  program->Counted("node_replies_unmatched", 1);
  CHECK(OpenAttempts(kTask) == 2);  // the first was rejected, the second is open
  next_node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  program->Counted("attempts_sent", 2);
}

// An attempt whose dial timed out counts as not sent: even an unsafe task is retried at the next node.
// Nothing is sent if the connection is established later.
TEST_CASE_FIXTURE(AttemptRaceTest, "a connection is established after the time-out of its dial") {
  StartWith(10, 5);
  first.Clog();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& next_node = at_second.AwaitSetUp(kTask);
  program->Counted("attempts_no_connection", 1);
  first.Unclog();
  next_node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  Fence();
  CHECK(at_first.SetUps(kTask) == 0);
}

// A node gets no task request later than 500 ms after the endpoint list has shown that it is leaving, even if
// the attempt was started before and waits for its connection. The request is placed on another node.
TEST_CASE_FIXTURE(AttemptRaceTest, "a node leaves the endpoint list while it is being dialed") {
  StartWith(10, 5, PatientDials());
  first.Clog();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("node_dials", 1);
  SUBCASE("terminating") { TellAndWait(json::array({First(10, "terminating")})); }
  SUBCASE("terminated") { TellAndWait(json::array({First(10, "terminated")})); }
  SUBCASE("terminating and then terminated") {
    TellAndWait(json::array({First(10, "terminating")}));
    TellAndWait(json::array({First(10, "terminated")}));
  }
  program->Pause();
  // A task request may still be sent within this time.
  std::this_thread::sleep_for(std::chrono::milliseconds(550));
  first.Unclog();
  program->Resume();
  at_second.AwaitSetUp(kTask).Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  Fence();
  CHECK(at_first.SetUps(kTask) == 0);
}

// A request does not wait for the connection to a node that is leaving.
TEST_CASE_FIXTURE(AttemptRaceTest, "a node leaves the endpoint list and the dial to it never completes") {
  StartWith(10, 5, PatientDials());
  first.Clog();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("node_dials", 1);
  TellAndWait(json::array({First(10, "terminating")}));
  const auto announced = std::chrono::steady_clock::now();
  at_second.AwaitSetUp(kTask).Answer(kTask, "there");
  CHECK(std::chrono::steady_clock::now() - announced < std::chrono::seconds(2));
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
}

// A request gets one reply, and no more attempts than the settings in force at the start of each attempt
// allow. A request that may have run keeps the retry safety that its class had when it was received.
TEST_CASE_FIXTURE(AttemptRaceTest, "the settings change between two attempts") {
  StartWith(10, 5);
  json config = program->config();
  Wire client = program->Owner();
  const auto reload = [&] {
    program->Configure(config.dump());
    program->Signal(SIGHUP);
    program->Counted("reloads", 1);
  };
  SUBCASE("fewer attempts") {
    Ask(&client, kTask, "safe");
    Wire& node = at_first.AwaitSetUp(kTask);
    config["settings"]["Allowed"]["MostTries"] = 1;
    reload();
    RefuseForCores(&node, kTask);
    CHECK(client.Hear(Type::kRelease, kTask).cause == 42);
    at_second.Read();
    CHECK(at_second.SetUps(kTask) == 0);
  }
  SUBCASE("a class becomes safe to retry") {
    Ask(&client, kTask, "unsafe");
    Wire& node = at_first.AwaitSetUp(kTask);
    config["settings"]["Services"][2]["Effect"] = "pure";
    reload();
    node.Say(Type::kRelease, kTask, Cause::kAborted);
    CHECK(client.Hear(Type::kRelease, kTask).cause == 41);
    at_second.Read();
    CHECK(at_second.SetUps(kTask) == 0);
  }
  client.NothingElse();
}

// After the time window of its idempotency key, a request that may have run is neither retried nor rejected:
// it fails.
TEST_CASE_FIXTURE(AttemptRaceTest, "the time window of an idempotency key passes before the next attempt") {
  json settings = Settings();
  settings["Services"][1]["KeyTtl"] = 300'000'000;
  StartWith(10, 5, settings);
  Wire client = program->Owner();
  Ask(&client, kTask, "keyed");
  Wire& node = at_first.AwaitSetUp(kTask);
  const bool window_passed = [] {
    bool after_window = false;
    SUBCASE("within the time window") { after_window = false; }
    SUBCASE("after the time window") { after_window = true; }
    return after_window;
  }();
  if (window_passed)
    std::this_thread::sleep_for(std::chrono::milliseconds(320));  // the window itself is 300 ms
  node.Say(Type::kRelease, kTask, Cause::kAborted);
  if (window_passed) {
    CHECK(client.Hear(Type::kRelease, kTask).cause == 41);
    at_second.Read();
    CHECK(at_second.SetUps(kTask) == 0);
  } else {
    at_second.AwaitSetUp(kTask).Answer(kTask, "there");
    CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  }
}

// Sends the bytes one by one, each after the program has read the one before.
void SendByteByByte(Program* program, Wire* wire, std::string_view bytes) {
  const auto bytes_kept = [program] {
    program->Signal(SIGUSR1);
    return program->Logged("counter bytes_kept ");
  };
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::string before = bytes_kept();
    wire->Raw(bytes.substr(i, 1));
    const Patience patience;
    while (i + 1 < bytes.size() && bytes_kept() == before) patience.Check();
  }
}

// A message that arrives byte by byte is decoded as one message and leads to one attempt.
TEST_CASE_FIXTURE(AttemptRaceTest, "a client and a node write one byte at a time") {
  StartWith(10, 5);
  Wire client = program->Owner();
  std::string request, acceptance;
  protocol::Writer(&request, Type::kTaskRequest, kTask)
      .Add(Code::kClass, std::string_view("unsafe"))
      .Add(Code::kTimeoutMs, std::string_view("25000"))
      .Add(Code::kTenant, std::string_view("shop one"))
      .Add(Code::kName, std::string_view("0b5e"))
      .Add(Code::kResources, std::string_view("cores:1;memory:2;service:0b"))
      .Add(Code::kDescription, std::string_view("run this"));
  SendByteByByte(&*program, &client, request);
  Wire& node = at_first.AwaitSetUp(kTask);
  protocol::Writer(&acceptance, Type::kTaskAccepted, kTask).Add(Code::kDescription, std::string_view("up"));
  SendByteByByte(&*program, &node, acceptance);
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "up");
  program->Counted("attempts_sent", 1);
}

}  // namespace
}  // namespace cluster_manager::story
