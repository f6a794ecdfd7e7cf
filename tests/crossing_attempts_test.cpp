// Attempts that cross something else. Never are two attempts of a request out, an attempt ends once, and what
// was given up is given up on the wire before another begins.
#include "crossing_site.h"

namespace cluster_manager::story {
namespace {

struct AttemptsSite : CrossingSite {
  // Attempts that the nodes were sent and that nobody has given up.
  std::size_t Out(TaskId task) {
    at_first.Read();
    at_second.Read();
    return at_first.SetUps(task) + at_second.SetUps(task) - at_first.Count(Type::kRelease, task) -
           at_second.Count(Type::kRelease, task);
  }
};

// Must: word about an earlier attempt that arrives while the next one, at the same node, waits for its dial
// neither ends nor answers that one; no set-up goes out that nobody knows of.
TEST_CASE_FIXTURE(AttemptsSite, "a late word about a refused attempt while the next waits for its dial") {
  StartWith(10, 0.1, PatientDials());
  Wire client = program->Owner();
  Ask(&client, kOther, "unsafe");
  Wire& busy = at_first.AwaitSetUp(kOther);
  Ask(&client, kTask, "unsafe");
  Wire& line = at_first.AwaitSetUp(kTask);
  RefuseForCores(&line, kTask);
  program->Counted("node_rejections", 1);
  line.Close();
  program->Counted("agent_lines", 1, "size ");
  first.Clog();
  TellRoomAtFirstUntil([&] { return Count("node_dials") == 3; });  // the second attempt waits for that one
  SUBCASE("the refusal again") { RefuseForCores(&busy, kTask); }
  SUBCASE("an answer") { busy.Answer(kTask, "late"); }
  SUBCASE("a reset of the set-up") { busy.Say(Type::kRelease, kTask, Cause::kAborted); }
  busy.Say(Type::kTaskReport, kOther,
           [](protocol::Writer& w) { w.Add(Code::kDetail, std::string_view("up")); });
  program->Counted("node_task_reports", 1);
  client.NothingElse();
  TellAndWait(json::array({Second(9)}));
  first.Unclog();
  Wire& again = at_first.Accept();
  CHECK(again.Hear(Type::kTaskRequest, kTask).type == Type::kTaskRequest);
  program->Counted("attempts_sent", 3);
  at_second.Read();
  CHECK(at_second.SetUps(kTask) == 0);
  again.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  busy.Answer(kOther, "there");
  client.Hear(Type::kTaskAccepted, kOther);
}

// Must: the same while the request is held and no attempt is out.
TEST_CASE_FIXTURE(AttemptsSite, "a second copy of a refusal while the request is held") {
  StartWith(10, 0.1);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& line = at_first.AwaitSetUp(kTask);
  RefuseForCores(&line, kTask);
  program->Counted("node_rejections", 1);
  SUBCASE("a refusal") { RefuseForCores(&line, kTask); }
  SUBCASE("an answer") { line.Answer(kTask, "late"); }
  program->Counted("node_replies_unmatched", 1);
  client.NothingElse();
  TellRoomAtFirstUntil([&] { return Count("attempts_sent") == 2; });
  CHECK(line.Hear(Type::kTaskRequest, kTask).type == Type::kTaskRequest);
  line.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  CHECK(at_second.SetUps(kTask) == 0);
}

// Must: two copies in one turn end one attempt; the second node's goes on.
TEST_CASE_FIXTURE(AttemptsSite, "two copies of a refusal in one turn, or some milliseconds apart") {
  StartWith(10, 5);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& line = at_first.AwaitSetUp(kTask);
  SUBCASE("in one turn") {
    program->Pause();
    RefuseForCores(&line, kTask);
    RefuseForCores(&line, kTask);
    program->Resume();
  }
  SUBCASE("the copy while the second attempt is out") {
    RefuseForCores(&line, kTask);
    at_second.AwaitSetUp(kTask);
    RefuseForCores(&line, kTask);
  }
  Wire& next = at_second.AwaitSetUp(kTask);
  program->Counted("node_replies_unmatched", 1);
  CHECK(Out(kTask) == 2);  // the first was refused, the second is out
  next.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  program->Counted("attempts_sent", 2);
}

// Must: a dial that did not come up in time was never used: the next node is tried, an unsafe task as well,
// and nothing is sent where it comes up after all.
TEST_CASE_FIXTURE(AttemptsSite, "a dial that comes up after its time-out") {
  StartWith(10, 5);
  first.Clog();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& next = at_second.AwaitSetUp(kTask);
  program->Counted("attempts_no_connection", 1);
  first.Unclog();
  next.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  Fence();
  CHECK(at_first.SetUps(kTask) == 0);
}

// Must: a node that the list says is leaving gets no set-up more than 500 ms later, also where the set-up had
// been decided on before and waited for its connection; the request goes elsewhere.
TEST_CASE_FIXTURE(AttemptsSite, "a node leaves the list while the dial to it is under way") {
  StartWith(10, 5, PatientDials());
  first.Clog();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("node_dials", 1);
  SUBCASE("terminating") { TellAndWait(json::array({First(10, "terminating")})); }
  SUBCASE("terminated") { TellAndWait(json::array({First(10, "terminated")})); }
  SUBCASE("both, one after the other") {
    TellAndWait(json::array({First(10, "terminating")}));
    TellAndWait(json::array({First(10, "terminated")}));
  }
  program->Pause();
  std::this_thread::sleep_for(
      std::chrono::milliseconds(550));  // the time within which one may still go there
  first.Unclog();
  program->Resume();
  at_second.AwaitSetUp(kTask).Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  Fence();
  CHECK(at_first.SetUps(kTask) == 0);
}

// Must: the request does not wait for a connection to a node that leaves.
TEST_CASE_FIXTURE(AttemptsSite, "a node leaves the list and the dial to it never comes up") {
  StartWith(10, 5, PatientDials());
  first.Clog();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("node_dials", 1);
  TellAndWait(json::array({First(10, "terminating")}));
  const auto told = std::chrono::steady_clock::now();
  at_second.AwaitSetUp(kTask).Answer(kTask, "there");
  CHECK(std::chrono::steady_clock::now() - told < std::chrono::seconds(2));
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
}

// Must: a request gets one answer and no more attempts than the settings allow when one begins; one that may
// have run keeps the effect of the class it was taken with.
TEST_CASE_FIXTURE(AttemptsSite, "settings changed between two attempts") {
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
    Wire& line = at_first.AwaitSetUp(kTask);
    config["settings"]["Allowed"]["MostTries"] = 1;
    reload();
    RefuseForCores(&line, kTask);
    CHECK(client.Hear(Type::kRelease, kTask).cause == 42);
    at_second.Read();
    CHECK(at_second.SetUps(kTask) == 0);
  }
  SUBCASE("a class that is never repeated may be from now on") {
    Ask(&client, kTask, "unsafe");
    Wire& line = at_first.AwaitSetUp(kTask);
    config["settings"]["Services"][2]["Effect"] = "pure";
    reload();
    line.Say(Type::kRelease, kTask, Cause::kAborted);
    CHECK(client.Hear(Type::kRelease, kTask).cause == 41);
    at_second.Read();
    CHECK(at_second.SetUps(kTask) == 0);
  }
  client.NothingElse();
}

// Must: once the window of a keyed class has passed, what may have run is neither repeated nor refused.
TEST_CASE_FIXTURE(AttemptsSite, "a keyed request whose window has passed before the next attempt") {
  json settings = Settings();
  settings["Services"][1]["KeyTtl"] = 300'000'000;
  StartWith(10, 5, settings);
  Wire client = program->Owner();
  Ask(&client, kTask, "keyed");
  Wire& line = at_first.AwaitSetUp(kTask);
  const bool passed = [] {
    bool its = false;
    SUBCASE("within its window") { its = false; }
    SUBCASE("after its window") { its = true; }
    return its;
  }();
  if (passed) std::this_thread::sleep_for(std::chrono::milliseconds(320));  // the window is the time itself
  line.Say(Type::kRelease, kTask, Cause::kAborted);
  if (passed) {
    CHECK(client.Hear(Type::kRelease, kTask).cause == 41);
    at_second.Read();
    CHECK(at_second.SetUps(kTask) == 0);
  } else {
    at_second.AwaitSetUp(kTask).Answer(kTask, "there");
    CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  }
}

// One byte, and then the next once the program has read it.
void SayByteByByte(Program* program, Wire* wire, std::string_view bytes) {
  const auto kept = [program] {
    program->Signal(SIGUSR1);
    return program->Logged("counter bytes_kept ");
  };
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::string before = kept();
    wire->Raw(bytes.substr(i, 1));
    const Patience patience;
    while (i + 1 < bytes.size() && kept() == before) patience.Check();
  }
}

// Must: what comes a byte at a time is one message all the same, and one attempt.
TEST_CASE_FIXTURE(AttemptsSite, "a client and a node that write a byte at a time") {
  StartWith(10, 5);
  Wire client = program->Owner();
  std::string set_up, answer;
  protocol::Writer(&set_up, Type::kTaskRequest, kTask)
      .Add(Code::kClass, std::string_view("unsafe"))
      .Add(Code::kTimeoutMs, std::string_view("25000"))
      .Add(Code::kTenant, std::string_view("shop one"))
      .Add(Code::kName, std::string_view("0b5e"))
      .Add(Code::kResources, std::string_view("cores:1;memory:2;service:0b"))
      .Add(Code::kDescription, std::string_view("run this"));
  SayByteByByte(&*program, &client, set_up);
  Wire& line = at_first.AwaitSetUp(kTask);
  protocol::Writer(&answer, Type::kTaskAccepted, kTask).Add(Code::kDescription, std::string_view("up"));
  SayByteByByte(&*program, &line, answer);
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "up");
  program->Counted("attempts_sent", 1);
}

}  // namespace
}  // namespace cluster_manager::story
