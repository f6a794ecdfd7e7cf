// Attempts that cross something else. Never are two attempts of a request out, an attempt ends once, and what
// was given up is given up on the wire before another begins.
#include <algorithm>

#include "crossing_site.h"

namespace willowrail::story {
namespace {

enum class Order { kClientFirst, kNodeFirst };

Order EachOrder() {
  Order order = Order::kClientFirst;
  SUBCASE("the client's bytes arrive first") { order = Order::kClientFirst; }
  SUBCASE("the node's bytes arrive first") { order = Order::kNodeFirst; }
  return order;
}

struct AttemptsSite : CrossingSite {
  static constexpr rlim_t kOneLineEach = 48;  // so few descriptors that each node gets one connection

  template <typename Client, typename Node>
  void InOneTurn(Order order, Client client_says, Node node_says) {
    program->Pause();
    if (order == Order::kClientFirst) client_says();
    node_says();
    if (order == Order::kNodeFirst) client_says();
    program->Resume();
  }
  // Attempts that the nodes were sent and that nobody has given up.
  std::size_t Out(TaskId task) {
    at_first.Read();
    at_second.Read();
    return at_first.SetUps(task) + at_second.SetUps(task) - at_first.Count(Type::kRelease, task) -
           at_second.Count(Type::kRelease, task);
  }
  void BreakOff(Wire* client, const std::string& class_name) {
    Ask(client, kTask, class_name);
    Wire& line = at_first.AwaitSetUp(kTask);
    std::string answer;
    proto::Writer(&answer, Type::kAnswer, kTask).Add(Code::kDescription, std::string_view("half of it"));
    line.Raw(answer.substr(0, answer.size() / 2));
    SUBCASE("then the node closes") { line.Close(); }
    SUBCASE("then the node resets") { line.Reset(); }
    SUBCASE("then the node closes its half") { line.HalfClose(); }
    SUBCASE("then nothing comes") { CHECK(line.Closed()); }
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
  program->Counted("agent_refusals", 1);
  line.Close();
  program->Counted("agent_lines", 1, "size ");
  first.Clog();
  TellRoomAtFirstUntil([&] { return Count("agent_dials") == 3; });  // the second attempt waits for that one
  SUBCASE("the refusal again") { RefuseForCores(&busy, kTask); }
  SUBCASE("an answer") { busy.Answer(kTask, "late"); }
  SUBCASE("a reset of the set-up") { busy.Say(Type::kRelease, kTask, Cause::kReset); }
  busy.Say(Type::kNote, kOther, [](proto::Writer& w) { w.Add(Code::kNote, std::string_view("up")); });
  program->Counted("agent_notes", 1);
  client.NothingElse();
  TellAndWait(json::array({Second(9)}));
  first.Unclog();
  Wire& again = at_first.Accept();
  CHECK(again.Hear(Type::kSetUp, kTask).type == Type::kSetUp);
  program->Counted("offers_sent", 3);
  at_second.Read();
  CHECK(at_second.SetUps(kTask) == 0);
  again.Answer(kTask, "there");
  CHECK(client.Hear(Type::kAnswer, kTask).description == "there");
  busy.Answer(kOther, "there");
  client.Hear(Type::kAnswer, kOther);
}

// Must: the same while the request is held and no attempt is out.
TEST_CASE_FIXTURE(AttemptsSite, "a second copy of a refusal while the request is held") {
  StartWith(10, 0.1);
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire& line = at_first.AwaitSetUp(kTask);
  RefuseForCores(&line, kTask);
  program->Counted("agent_refusals", 1);
  SUBCASE("a refusal") { RefuseForCores(&line, kTask); }
  SUBCASE("an answer") { line.Answer(kTask, "late"); }
  program->Counted("agent_stray", 1);
  client.NothingElse();
  TellRoomAtFirstUntil([&] { return Count("offers_sent") == 2; });
  CHECK(line.Hear(Type::kSetUp, kTask).type == Type::kSetUp);
  line.Answer(kTask, "there");
  CHECK(client.Hear(Type::kAnswer, kTask).description == "there");
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
  program->Counted("agent_stray", 1);
  CHECK(Out(kTask) == 2);  // the first was refused, the second is out
  next.Answer(kTask, "there");
  CHECK(client.Hear(Type::kAnswer, kTask).description == "there");
  program->Counted("offers_sent", 2);
}

// Must: what a node said in full before it reset counts, also where the program writes to it before it reads.
TEST_CASE_FIXTURE(AttemptsSite, "a refusal and a reset in one turn, with bytes to write to that node") {
  StartWith(10, 5, Settings(), 0, kOneLineEach);
  Wire client = program->Owner(), other = program->Owner();
  Ask(&other, kOther, "unsafe");
  Wire& line = at_first.AwaitSetUp(kOther);
  Ask(&client, kTask, "unsafe");
  REQUIRE(&at_first.AwaitSetUp(kTask) == &line);
  const auto refuse_and_reset = [&] {
    RefuseForCores(&line, kTask);
    line.Reset();
  };
  SUBCASE("a set-up that is given up") {
    InOneTurn(
        EachOrder(), [&] { other.Say(Type::kRelease, kOther, Cause::kEnded); }, refuse_and_reset);
  }
  SUBCASE("a new set-up") {
    InOneTurn(
        EachOrder(), [&] { Ask(&other, kThird, "unsafe"); }, refuse_and_reset);
  }
  Wire& next = at_second.AwaitSetUp(kTask);
  next.Answer(kTask, "there");
  CHECK(client.Hear(Type::kAnswer, kTask).description == "there");
}

// Must: an answer likewise: the task stands, and its client is answered.
TEST_CASE_FIXTURE(AttemptsSite, "an answer and a reset in one turn, with bytes to write to that node") {
  StartWith(10, 5, Settings(), 0, kOneLineEach);
  Wire client = program->Owner(), other = program->Owner();
  Ask(&other, kOther, "unsafe");
  Wire& line = at_first.AwaitSetUp(kOther);
  Ask(&client, kTask, "unsafe");
  REQUIRE(&at_first.AwaitSetUp(kTask) == &line);
  InOneTurn(
      EachOrder(), [&] { other.Say(Type::kRelease, kOther, Cause::kEnded); },
      [&] {
        line.Answer(kTask, "there");
        line.Reset();
      });
  CHECK(client.Hear(Type::kAnswer, kTask).description == "there");
  at_second.Read();
  CHECK(at_second.SetUps(kTask) == 0);
}

// Must: an attempt whose answer broke off may have run. An unsafe one fails; a safe one is tried elsewhere,
// and only once the first was given up, which the end of its connection does.
TEST_CASE_FIXTURE(AttemptsSite, "an answer that breaks off") {
  StartWith(10, 5);
  Wire client = program->Owner();
  std::string class_name;
  SUBCASE("of a safe task") { BreakOff(&client, class_name = "safe"); }
  SUBCASE("of an unsafe task") { BreakOff(&client, class_name = "unsafe"); }
  if (class_name == "unsafe") {
    CHECK(client.Hear(Type::kRelease, kTask).cause == 41);
    at_second.Read();
    CHECK(at_second.SetUps(kTask) == 0);
  } else {
    at_second.AwaitSetUp(kTask).Answer(kTask, "there");
    CHECK(client.Hear(Type::kAnswer, kTask).description == "there");
  }
  program->Counted("agent_open", 0, "size ");
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
  CHECK(client.Hear(Type::kAnswer, kTask).description == "there");
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
  program->Counted("agent_dials", 1);
  SUBCASE("terminating") { TellAndWait(json::array({First(10, "terminating")})); }
  SUBCASE("terminated") { TellAndWait(json::array({First(10, "terminated")})); }
  SUBCASE("both, one after the other") {
    TellAndWait(json::array({First(10, "terminating")}));
    TellAndWait(json::array({First(10, "terminated")}));
  }
  program->Pause();
  std::this_thread::sleep_for(std::chrono::milliseconds(550));
  first.Unclog();
  at_first.Accept();
  program->Resume();
  at_second.AwaitSetUp(kTask).Answer(kTask, "there");
  CHECK(client.Hear(Type::kAnswer, kTask).description == "there");
  Fence();
  CHECK(at_first.SetUps(kTask) == 0);
}

// Must: the request does not wait for a connection to a node that leaves.
TEST_CASE_FIXTURE(AttemptsSite, "a node leaves the list and the dial to it never comes up") {
  StartWith(10, 5, PatientDials());
  first.Clog();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  program->Counted("agent_dials", 1);
  TellAndWait(json::array({First(10, "terminating")}));
  const auto told = std::chrono::steady_clock::now();
  at_second.AwaitSetUp(kTask).Answer(kTask, "there");
  CHECK(std::chrono::steady_clock::now() - told < std::chrono::seconds(2));
  CHECK(client.Hear(Type::kAnswer, kTask).description == "there");
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
    line.Say(Type::kRelease, kTask, Cause::kReset);
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
  line.Say(Type::kRelease, kTask, Cause::kReset);
  if (passed) {
    CHECK(client.Hear(Type::kRelease, kTask).cause == 41);
    at_second.Read();
    CHECK(at_second.SetUps(kTask) == 0);
  } else {
    at_second.AwaitSetUp(kTask).Answer(kTask, "there");
    CHECK(client.Hear(Type::kAnswer, kTask).description == "there");
  }
}

// Must: a connection that its node had closed before the write carries no set-up: the word is in the kernel.
TEST_CASE_FIXTURE(AttemptsSite, "the node's idle close is unread when a set-up would be written") {
  StartWith(10, 5);
  Wire& line = WarmLine(&at_first);
  Wire client = program->Owner();
  const auto ask = [&] { Ask(&client, kTask, "unsafe"); };
  SUBCASE("closed") {
    InOneTurn(EachOrder(), ask, [&] { line.Close(); });
  }
  SUBCASE("reset") {
    InOneTurn(EachOrder(), ask, [&] { line.Reset(); });
  }
  const Patience patience;
  while (Out(kTask) == 0 && !client.Readable()) patience.Check();
  REQUIRE_MESSAGE(Out(kTask) == 1, "the set-up was lost with the connection");
  NodeRecord& record = at_first.SetUps(kTask) > 0 ? at_first : at_second;
  record.AwaitSetUp(kTask).Answer(kTask, "there");
  CHECK(client.Hear(Type::kAnswer, kTask).description == "there");
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
  proto::Writer(&set_up, Type::kSetUp, kTask)
      .Add(Code::kClass, std::string_view("unsafe"))
      .Add(Code::kWait, std::string_view("25000"))
      .Add(Code::kTenant, std::string_view("shop one"))
      .Add(Code::kName, std::string_view("0b5e"))
      .Add(Code::kFigures, std::string_view("cores:1;memory:2;service:0b"))
      .Add(Code::kDescription, std::string_view("run this"));
  SayByteByByte(&*program, &client, set_up);
  Wire& line = at_first.AwaitSetUp(kTask);
  proto::Writer(&answer, Type::kAnswer, kTask).Add(Code::kDescription, std::string_view("up"));
  SayByteByByte(&*program, &line, answer);
  CHECK(client.Hear(Type::kAnswer, kTask).description == "up");
  program->Counted("offers_sent", 1);
}

}  // namespace
}  // namespace willowrail::story
