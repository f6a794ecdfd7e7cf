// What crosses a planned restart, or a drain: each story forces one order of two events.
#include <chrono>
#include <optional>

#include "busy_client.h"
#include "story_operated.h"

namespace cluster_manager::story {
namespace {

std::string SetUpBytes(TaskId task) {
  std::string bytes;
  protocol::Writer w(&bytes, Type::kTaskRequest, task);
  w.Add(Code::kClass, "unsafe").Add(Code::kTimeoutMs, "25000").Add(Code::kTenant, "shop one");
  w.Add(Code::kName, "0b5e").Add(Code::kResources, "cores:1;memory:2;service:0b");
  w.Add(Code::kDescription, "run");
  return bytes;
}
std::string TestBytes(TaskId task) {
  std::string bytes;
  protocol::Writer(&bytes, Type::kHealthCheck, task).Add(Cause::kHealthCheckFailed);
  return bytes;
}

// How long the process takes new connections after SIGTERM at most, and far more than its last look takes.
constexpr int kPastLastArrivals = 1000;

struct Restarted : Site {
  // The next agent's connection hears of the task, says that it stands, and the owner reads so.
  void Serve(Wire* owner, TaskId task) {
    Wire agent = first.Accept();
    agent.Hear(Type::kTaskRequest, task);
    agent.Answer(task, "there");
    CHECK(owner->Hear(Type::kTaskAccepted, task).description == "there");
  }
  void Terminate() {
    program->Signal(SIGTERM);
    program->Logged("stopping");
    terminated = std::chrono::steady_clock::now();
  }
  // Long before an end that nobody hears is given up, after 30 s.
  void Ends() {
    CHECK(program->ExitStatus() == 0);
    if (terminated)
      CHECK(std::chrono::steady_clock::now() - *terminated < std::chrono::milliseconds(kLimitMs));
  }

  std::optional<std::chrono::steady_clock::time_point> terminated;
};

TEST_CASE_FIXTURE(Restarted, "a set-up that comes in the turn of SIGTERM is served") {
  Start();
  Wire open = program->Owner();
  open.NothingElse();
  program->Signal(SIGSTOP);
  Wire owner = program->Owner();  // this one waits in the listener's queue
  SUBCASE("on an open connection, before the signal") {
    open.Raw(SetUpBytes(kTask));
    program->Signal(SIGTERM);
    std::swap(open, owner);
  }
  SUBCASE("on an open connection, after the signal") {
    program->Signal(SIGTERM);
    open.Raw(SetUpBytes(kTask));
    std::swap(open, owner);
  }
  SUBCASE("on a connection that was not accepted yet") {
    owner.Raw(SetUpBytes(kTask));
    program->Signal(SIGTERM);
  }
  program->Signal(SIGCONT);
  Serve(&owner, kTask);
  Ends();
}

TEST_CASE_FIXTURE(Restarted, "a connection that waits to be accepted as the listener closes is served") {
  Start();
  Terminate();
  program->Signal(SIGSTOP);
  Wire owner = program->Owner();
  bool written = true;
  SUBCASE("with its set-up") { owner.Raw(SetUpBytes(kTask)); }
  SUBCASE("with its set-up on the way") { written = false; }
  CHECK_FALSE(owner.Readable(kPastLastArrivals));
  program->Signal(SIGCONT);  // its time to close the listener is over before it can look at it
  if (!written) {
    program->Counted("client_connections", 1);  // accepted, and all else is settled
    owner.Raw(SetUpBytes(kTask));
  }
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  CHECK_FALSE(owner.Readable(400));  // not even closed: longer than any last words
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
  Ends();
}

TEST_CASE_FIXTURE(Restarted, "a set-up that is unread as all else is settled is served") {
  Start();
  Wire owner = program->Owner();
  owner.NothingElse();
  Terminate();
  program->Signal(SIGSTOP);
  owner.Raw(SetUpBytes(kTask));
  CHECK_FALSE(owner.Readable(kPastLastArrivals));
  program->Signal(SIGCONT);
  Serve(&owner, kTask);
  Ends();
}

TEST_CASE_FIXTURE(Restarted, "a set-up that is half read at SIGTERM is served once it is whole") {
  Start();
  Wire owner = program->Owner();
  const std::string bytes = SetUpBytes(kTask);
  owner.Raw(TestBytes(1) + bytes.substr(0, bytes.size() / 2));
  owner.Hear(Type::kHealthCheckResult, 1);  // so that the half behind it has been read
  Terminate();
  CHECK_FALSE(owner.Readable(kPastLastArrivals));
  owner.Raw(bytes.substr(bytes.size() / 2));
  Serve(&owner, kTask);
  Ends();
}

TEST_CASE_FIXTURE(Restarted, "a set-up that is never finished does not keep the process") {
  Start();
  Wire owner = program->Owner();
  owner.Raw(TestBytes(1) + SetUpBytes(kTask).substr(0, 20));
  owner.Hear(Type::kHealthCheckResult, 1);
  Terminate();
  SUBCASE("nothing more comes") {}
  SUBCASE("one byte more") { owner.Raw(SetUpBytes(kTask).substr(20, 1)); }
  CHECK(owner.Closed());
  Ends();
}

// What happened: a client went on asking on its open connection after SIGTERM, as clients may until the kill.
// The process never ended by itself, and what it had taken and not answered at SIGKILL was lost. Why: it
// waited until no request was open, and each new one put off the end; nothing knew when SIGKILL comes. What
// showed it: on the code before, the test asks for 30 s in vain.
TEST_CASE_FIXTURE(Restarted, "a client that goes on asking after SIGTERM does not keep the process") {
  Start();
  Wire owner = program->Owner();
  owner.NothingElse();
  Terminate();
  // One may cross the close, and is sent again elsewhere.
  CHECK(AskUntilClosed(&owner, {&first, &second}) <= 1);
  Ends();
}

TEST_CASE_FIXTURE(
    Restarted,
    "answers that are half written at SIGTERM come whole, and who never reads does not keep the process") {
  Start();
  Wire owner = program->Owner();
  owner.Narrow();
  // More answers than the machine takes: some stay in the program, which reads no further.
  constexpr TaskId kMany = 500'000;
  std::string tests;
  for (TaskId i = 1; i <= kMany; ++i) tests += TestBytes(i);
  owner.Raw(tests);
  Terminate();
  SUBCASE("read from then on") {
    for (TaskId i = 1; i <= kMany; ++i) REQUIRE(owner.Hear().task == i);
    CHECK(owner.Closed());
  }
  SUBCASE("never read") {}
  Ends();
}

TEST_CASE_FIXTURE(Restarted, "a release that nobody is connected to hear does not keep the process") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  owner.Close();
  program->Counted("client_closes", 1);
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  program->Counted("completions_queued", 1);
  Terminate();
  Ends();
}

TEST_CASE_FIXTURE(Restarted, "a second SIGTERM, or SIGINT after it, changes nothing") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  Terminate();
  for (const int number : {SIGTERM, SIGINT, SIGTERM}) program->Signal(number);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
  Ends();
}

TEST_CASE_FIXTURE(Restarted, "SIGHUP with a bad file after SIGTERM, or in its turn, costs no request") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  program->Configure("{\"name\":");
  SUBCASE("after it") {
    Terminate();
    program->Signal(SIGHUP);
    program->Logged("configuration not read again");
  }
  SUBCASE("in its turn") {
    program->Signal(SIGSTOP);
    program->Signal(SIGHUP);
    program->Signal(SIGTERM);
    program->Signal(SIGCONT);
  }
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
  Ends();
}

struct Drained : Operated {
  void Stands(Wire* agent, Wire* owner, TaskId task) {
    agent->Hear(Type::kTaskRequest, task);
    agent->Answer(task, "there");
    CHECK(owner->Hear(Type::kTaskAccepted, task).description == "there");
  }
};

TEST_CASE_FIXTURE(Drained, "a drain and then SIGTERM: who comes is served, and the process ends") {
  Program& program = Start(false);
  const int port = program.admin_port();
  Wire owner = program.Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  CHECK(Post(port, "/v1/cluster-manager/drain").yes());
  program.Signal(SIGTERM);
  program.Logged("stopping: 1 requests");
  Wire late = program.Owner();
  CHECK_FALSE(Passes(&late));
  Ask(&late, kOther, "unsafe");
  Wire another = first.Accept();
  Stands(&another, &late, kOther);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  program.Logged("size deadlines ");
  CHECK(program.ExitStatus() == 0);
}

TEST_CASE_FIXTURE(Drained, "after SIGTERM a drain changes nothing, and activate is answered with a no") {
  Program& program = Start(false);
  const int port = program.admin_port();
  Wire owner = program.Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  program.Signal(SIGTERM);
  program.Logged("stopping: 1 requests");
  CHECK(Post(port, "/v1/cluster-manager/drain").yes());
  CHECK(Post(port, "/v1/cluster-manager/activate").status == 503);
  CHECK(Get(port, "/v1/readyz").status == 503);
  owner.NothingElse();  // and it is open
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
  program.Logged("size deadlines ");
  CHECK(program.ExitStatus() == 0);
}

TEST_CASE_FIXTURE(Drained, "new settings and then a drain: an open request keeps its class and its answer") {
  Program& program = Start(false);
  Wire owner = program.Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  json config = program.config();
  config["settings"]["Services"].erase(2);
  program.Configure(config.dump());
  program.Signal(SIGHUP);
  program.Logged("1 dropped");
  CHECK(Post(program.admin_port(), "/v1/cluster-manager/drain").yes());
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
  CHECK(owner.Closed());
}

TEST_CASE_FIXTURE(Drained, "a set-up that crosses a drain's close is served once, on a new connection") {
  Program& program = Start(false);
  Wire owner = program.Owner();
  CHECK(Passes(&owner));
  CHECK(Post(program.admin_port(), "/v1/cluster-manager/drain").yes());
  REQUIRE(owner.Readable(kLimitMs));  // its close, which the owner has not looked at
  owner.Raw(SetUpBytes(kTask));
  CHECK(owner.Closed());
  Wire again = program.Owner();
  again.Raw(SetUpBytes(kTask));
  Wire agent = first.Accept();
  Stands(&agent, &again, kTask);
  program.Counted("requests_received", 1);
}

TEST_CASE_FIXTURE(Drained, "a set-up that is unread as a drain closes what is quiet keeps its connection") {
  Program& program = Start(false);
  Wire owner = program.Owner();
  CHECK(Passes(&owner));
  Wire call = Wire::To(program.admin_port());
  program.Signal(SIGSTOP);
  call.Raw("POST /v1/cluster-manager/drain HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  owner.Raw(SetUpBytes(kTask));
  program.Signal(SIGCONT);
  Wire agent = first.Accept();
  Stands(&agent, &owner, kTask);
}

}  // namespace
}  // namespace cluster_manager::story
