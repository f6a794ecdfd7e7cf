// Events that coincide with a graceful shutdown or a drain. Each test forces one order of two events.
#include <chrono>
#include <optional>

#include "busy_client.h"
#include "story_operated.h"

namespace cluster_manager::story {
namespace {

std::string RequestBytes(TaskId task) {
  std::string bytes;
  protocol::Writer writer(&bytes, Type::kTaskRequest, task);
  writer.Add(Code::kClass, "unsafe").Add(Code::kTimeoutMs, "25000").Add(Code::kTenant, "shop one");
  writer.Add(Code::kName, "0b5e").Add(Code::kResources, "cores:1;memory:2;service:0b");
  writer.Add(Code::kDescription, "run");
  return bytes;
}
std::string HealthCheckBytes(TaskId task) {
  std::string bytes;
  protocol::Writer(&bytes, Type::kHealthCheck, task).Add(Cause::kHealthCheckFailed);
  return bytes;
}

// Longer than the process accepts new connections after SIGTERM, and than it takes to notice that.
constexpr int kAfterLastConnectionMs = 1000;

struct ShutdownFixture : Site {
  // The node receives the task on a new connection and accepts it, and the client receives the answer.
  void ExpectServed(Wire* client, TaskId task) {
    Wire node = first.Accept();
    node.Hear(Type::kTaskRequest, task);
    node.Answer(task, "there");
    CHECK(client->Hear(Type::kTaskAccepted, task).description == "there");
  }
  void Terminate() {
    program->Signal(SIGTERM);
    program->Logged("stopping");
    terminated_at = std::chrono::steady_clock::now();
  }
  // Checks that the process exits long before undelivered completions expire, after 30 s.
  void ExpectExit() {
    CHECK(program->ExitStatus() == 0);
    if (terminated_at)
      CHECK(std::chrono::steady_clock::now() - *terminated_at < std::chrono::milliseconds(kLimitMs));
  }

  std::optional<std::chrono::steady_clock::time_point> terminated_at;
};

TEST_CASE_FIXTURE(ShutdownFixture, "a request that arrives in the loop iteration of SIGTERM is served") {
  Start();
  Wire open_connection = program->Owner();
  open_connection.NothingElse();
  program->Signal(SIGSTOP);
  Wire client = program->Owner();  // in the accept queue
  SUBCASE("on an open connection, before the signal") {
    open_connection.Raw(RequestBytes(kTask));
    program->Signal(SIGTERM);
    std::swap(open_connection, client);
  }
  SUBCASE("on an open connection, after the signal") {
    program->Signal(SIGTERM);
    open_connection.Raw(RequestBytes(kTask));
    std::swap(open_connection, client);
  }
  SUBCASE("on a connection that was not accepted yet") {
    client.Raw(RequestBytes(kTask));
    program->Signal(SIGTERM);
  }
  program->Signal(SIGCONT);
  ExpectServed(&client, kTask);
  ExpectExit();
}

TEST_CASE_FIXTURE(ShutdownFixture, "a connection in the accept queue is served when the listener closes") {
  Start();
  Terminate();
  program->Signal(SIGSTOP);
  Wire client = program->Owner();
  bool request_sent = true;
  SUBCASE("with its request") { client.Raw(RequestBytes(kTask)); }
  SUBCASE("with its request still to come") { request_sent = false; }
  CHECK_FALSE(client.Readable(kAfterLastConnectionMs));
  program->Signal(SIGCONT);  // the time to close the listener has passed when the process resumes
  if (!request_sent) {
    program->Counted("client_connections", 1);  // accepted, with no request unanswered
    client.Raw(RequestBytes(kTask));
  }
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  CHECK_FALSE(client.Readable(400));  // not closed either: longer than the flush period
  node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  ExpectExit();
}

TEST_CASE_FIXTURE(ShutdownFixture, "an unread request is served when no other request is unanswered") {
  Start();
  Wire client = program->Owner();
  client.NothingElse();
  Terminate();
  program->Signal(SIGSTOP);
  client.Raw(RequestBytes(kTask));
  CHECK_FALSE(client.Readable(kAfterLastConnectionMs));
  program->Signal(SIGCONT);
  ExpectServed(&client, kTask);
  ExpectExit();
}

TEST_CASE_FIXTURE(ShutdownFixture, "a request that is partly read at SIGTERM is served once it is complete") {
  Start();
  Wire client = program->Owner();
  const std::string bytes = RequestBytes(kTask);
  client.Raw(HealthCheckBytes(1) + bytes.substr(0, bytes.size() / 2));
  client.Hear(Type::kHealthCheckResult, 1);  // so the first half of the request has been read
  Terminate();
  CHECK_FALSE(client.Readable(kAfterLastConnectionMs));
  client.Raw(bytes.substr(bytes.size() / 2));
  ExpectServed(&client, kTask);
  ExpectExit();
}

TEST_CASE_FIXTURE(ShutdownFixture, "an incomplete request does not delay the exit of the process") {
  Start();
  Wire client = program->Owner();
  client.Raw(HealthCheckBytes(1) + RequestBytes(kTask).substr(0, 20));
  client.Hear(Type::kHealthCheckResult, 1);
  Terminate();
  SUBCASE("nothing more comes") {}
  SUBCASE("one byte more") { client.Raw(RequestBytes(kTask).substr(20, 1)); }
  CHECK(client.Closed());
  ExpectExit();
}

// Guards against a shutdown without an end: the process waited until no request was unanswered, so a client
// that kept sending requests on its open connection, as clients may until SIGKILL, delayed the exit without
// limit, and the requests unanswered at SIGKILL were lost.
TEST_CASE_FIXTURE(ShutdownFixture,
                  "a client that keeps sending requests after SIGTERM does not delay the exit") {
  Start();
  Wire client = program->Owner();
  client.NothingElse();
  Terminate();
  // At most one request may cross the close; the client sends it again elsewhere.
  CHECK(AskUntilClosed(&client, {&first, &second}) <= 1);
  ExpectExit();
}

TEST_CASE_FIXTURE(
    ShutdownFixture,
    "answers queued at SIGTERM arrive completely and a client that never reads does not delay the exit") {
  Start();
  Wire client = program->Owner();
  client.Narrow();
  // More answers than the sockets hold: some stay in the write queue, and the process stops reading.
  constexpr TaskId kChecks = 500'000;
  std::string checks;
  for (TaskId i = 1; i <= kChecks; ++i) checks += HealthCheckBytes(i);
  client.Raw(checks);
  Terminate();
  SUBCASE("the client reads from then on") {
    for (TaskId i = 1; i <= kChecks; ++i) REQUIRE(client.Hear().task == i);
    CHECK(client.Closed());
  }
  SUBCASE("the client never reads") {}
  ExpectExit();
}

TEST_CASE_FIXTURE(ShutdownFixture, "a completion without a connected client does not delay the exit") {
  Start();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  node.Answer(kTask, "there");
  client.Hear(Type::kTaskAccepted, kTask);
  client.Close();
  program->Counted("client_closes", 1);
  node.Say(Type::kRelease, kTask, Cause::kEnded);
  program->Counted("completions_queued", 1);
  Terminate();
  ExpectExit();
}

TEST_CASE_FIXTURE(ShutdownFixture, "a second SIGTERM or a later SIGINT changes nothing") {
  Start();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  Terminate();
  for (const int number : {SIGTERM, SIGINT, SIGTERM}) program->Signal(number);
  node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  ExpectExit();
}

TEST_CASE_FIXTURE(ShutdownFixture, "a failed reload at or after SIGTERM loses no request") {
  Start();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  program->Configure("{\"name\":");
  SUBCASE("after SIGTERM") {
    Terminate();
    program->Signal(SIGHUP);
    program->Logged("configuration reload failed");
  }
  SUBCASE("in the loop iteration of SIGTERM") {
    program->Signal(SIGSTOP);
    program->Signal(SIGHUP);
    program->Signal(SIGTERM);
    program->Signal(SIGCONT);
  }
  node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  ExpectExit();
}

struct DrainFixture : Operated {
  void ExpectAccepted(Wire* node, Wire* client, TaskId task) {
    node->Hear(Type::kTaskRequest, task);
    node->Answer(task, "there");
    CHECK(client->Hear(Type::kTaskAccepted, task).description == "there");
  }
};

TEST_CASE_FIXTURE(DrainFixture, "after a drain and SIGTERM a new client is served and the process exits") {
  Program& program = Start(false);
  const int port = program.admin_port();
  Wire client = program.Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  CHECK(Post(port, "/v1/cluster-manager/drain").yes());
  program.Signal(SIGTERM);
  program.Logged("stopping: 1 unanswered requests");
  Wire late_client = program.Owner();
  CHECK_FALSE(Passes(&late_client));
  Ask(&late_client, kOther, "unsafe");
  Wire other_node = first.Accept();
  ExpectAccepted(&other_node, &late_client, kOther);
  node.Answer(kTask, "there");
  client.Hear(Type::kTaskAccepted, kTask);
  program.Logged("size deadlines ");
  CHECK(program.ExitStatus() == 0);
}

TEST_CASE_FIXTURE(DrainFixture, "after SIGTERM a drain changes nothing and activate is rejected") {
  Program& program = Start(false);
  const int port = program.admin_port();
  Wire client = program.Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  program.Signal(SIGTERM);
  program.Logged("stopping: 1 unanswered requests");
  CHECK(Post(port, "/v1/cluster-manager/drain").yes());
  CHECK(Post(port, "/v1/cluster-manager/activate").status == 503);
  CHECK(Get(port, "/v1/readyz").status == 503);
  client.NothingElse();  // the connection is still open
  node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  program.Logged("size deadlines ");
  CHECK(program.ExitStatus() == 0);
}

TEST_CASE_FIXTURE(DrainFixture,
                  "after new settings and a drain an open request keeps its class and is answered") {
  Program& program = Start(false);
  Wire client = program.Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  json config = program.config();
  config["settings"]["Services"].erase(2);
  program.Configure(config.dump());
  program.Signal(SIGHUP);
  program.Logged("1 dropped");
  CHECK(Post(program.admin_port(), "/v1/cluster-manager/drain").yes());
  node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  node.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(client.Hear(Type::kRelease, kTask).cause == 16);
  CHECK(client.Closed());
}

TEST_CASE_FIXTURE(DrainFixture,
                  "a request that crosses the close of a drain is served once on a new connection") {
  Program& program = Start(false);
  Wire client = program.Owner();
  CHECK(Passes(&client));
  CHECK(Post(program.admin_port(), "/v1/cluster-manager/drain").yes());
  REQUIRE(client.Readable(kLimitMs));  // the close, which the client has not read
  client.Raw(RequestBytes(kTask));
  CHECK(client.Closed());
  Wire new_connection = program.Owner();
  new_connection.Raw(RequestBytes(kTask));
  Wire node = first.Accept();
  ExpectAccepted(&node, &new_connection, kTask);
  program.Counted("requests_received", 1);
}

TEST_CASE_FIXTURE(DrainFixture, "a connection with an unread request is not closed by a drain") {
  Program& program = Start(false);
  Wire client = program.Owner();
  CHECK(Passes(&client));
  Wire admin_call = Wire::To(program.admin_port());
  program.Signal(SIGSTOP);
  admin_call.Raw("POST /v1/cluster-manager/drain HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  client.Raw(RequestBytes(kTask));
  program.Signal(SIGCONT);
  Wire node = first.Accept();
  ExpectAccepted(&node, &client, kTask);
}

}  // namespace
}  // namespace cluster_manager::story
