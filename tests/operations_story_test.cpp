// Integration tests of operators' work on the real program: upgrades, suspension of nodes, drains and
// metrics.
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include "story_operated.h"

namespace cluster_manager::story {
namespace {

TEST_CASE_FIXTURE(Operated, "an upgrade: the new process serves on the same socket and the old one exits") {
  Program& old_process = Start();
  Wire first_client = Owner();
  Ask(&first_client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  Start();
  old_process.Signal(SIGTERM);
  old_process.Logged("stopping: 1 unanswered requests");
  // New connections are accepted by the new process, although the old one still has an unanswered request.
  Wire second_client = Owner();
  Ask(&second_client, kOther, "unsafe");
  Wire new_connection = first.Accept();
  new_connection.Hear(Type::kTaskRequest, kOther);
  new_connection.Answer(kOther, "there");
  CHECK(second_client.Hear(Type::kTaskAccepted, kOther).description == "there");
  // The old process answers its own requests, on the connections on which they arrived.
  node.Answer(kTask, "here");
  CHECK(first_client.Hear(Type::kTaskAccepted, kTask).description == "here");
  CHECK(first_client.Closed());
  CHECK(old_process.ExitStatus() == 0);
  CHECK(Passes(&second_client));
}

TEST_CASE_FIXTURE(Operated, "an upgrade: a request that the old process has partly read is served by it") {
  Program& old_process = Start();
  std::string bytes;
  {
    protocol::Writer writer(&bytes, Type::kTaskRequest, kTask);
    writer.Add(Code::kClass, "safe").Add(Code::kTimeoutMs, "25000").Add(Code::kTenant, "shop one");
    writer.Add(Code::kName, "0b5e").Add(Code::kResources, "cores:1;memory:2;service:0b");
    writer.Add(Code::kDescription, "run");
  }
  Wire client = Owner();
  CHECK(Passes(&client));
  client.Raw(bytes.substr(0, 20));
  Start();
  old_process.Signal(SIGTERM);
  old_process.Logged("stopping");
  client.Raw(bytes.substr(20));
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  node.Answer(kTask, "here");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "here");
  CHECK(old_process.ExitStatus() == 0);
}

TEST_CASE_FIXTURE(Operated,
                  "an upgrade: a running task is handed over and the new process sends its completion") {
  Program& old_process = Start();
  Wire first_client = Owner();
  Ask(&first_client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  node.Answer(kTask, "here");
  first_client.Hear(Type::kTaskAccepted, kTask);
  Program& new_process = Start();
  old_process.Signal(SIGTERM);
  CHECK(first_client.Closed());
  CHECK(old_process.ExitStatus() == 0);
  new_process.Logged("taken over: 1 of 1 tasks");
  CHECK(FiguresOf(new_process.admin_port())["open_requests"] == 1);
  Wire second_client = Owner();
  SUBCASE("the client claims it too") {
    Ask(&second_client, kTask, "unsafe", 25'000, ";at:s-00000001");
    new_process.Counted("tasks_claimed_again", 1);
  }
  SUBCASE("before the client claims it") { CHECK(Passes(&second_client)); }
  Wire new_connection = first.Accept();  // the new process keeps a connection to the node of the task
  new_connection.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(second_client.Hear(Type::kRelease, kTask).cause == 16);
  CHECK(FiguresOf(new_process.admin_port())["open_requests"] == 0);
}

TEST_CASE_FIXTURE(Operated,
                  "refused dials since before the new process started do not end a handed over task") {
  Program& old_process = Start();
  Wire client = Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  node.Answer(kTask, "here");
  client.Hear(Type::kTaskAccepted, kTask);
  first.Close();  // the node leaves: its old connection stays up, dials are refused
  Program& new_process = Start();
  old_process.Signal(SIGTERM);
  CHECK(old_process.ExitStatus() == 0);
  new_process.Logged("taken over: 1 of 1 tasks");
  new_process.Logged("dial refused");
  new_process.Logged("dial refused");
  CHECK(FiguresOf(new_process.admin_port())["open_requests"] == 1);
}

TEST_CASE_FIXTURE(Operated, "two upgrades in a row and a new process that is killed once it is ready") {
  Program& first_process = Start();
  Wire client = Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  node.Answer(kTask, "here");
  client.Hear(Type::kTaskAccepted, kTask);
  Start();
  lives.pop_back();  // killed once it was ready: the old process was not signalled and continues to serve
  lists.pop_back();
  CHECK(Passes(&client));
  Program& second_process = Start();
  first_process.Signal(SIGTERM);
  CHECK(first_process.ExitStatus() == 0);
  second_process.Logged("taken over: 1 of 1 tasks");
  Program& third_process = Start();
  second_process.Signal(SIGTERM);
  CHECK(second_process.ExitStatus() == 0);
  third_process.Logged("taken over: 1 of 1 tasks");
  CHECK(FiguresOf(third_process.admin_port())["open_requests"] == 1);
}

TEST_CASE_FIXTURE(Operated,
                  "an upgrade: connections in the accept queue are not refused when a process is killed") {
  Start();
  Program& new_process = Start();
  lives.front().reset();  // killed outright
  Wire client = Owner();
  CHECK(Passes(&client));
  new_process.Signal(SIGKILL);
  new_process.ExitStatus();
  lives.pop_back();
  Wire queued_client = Owner();  // no process is there, and the connection is not refused
  queued_client.Say(Type::kHealthCheck, 1, Cause::kHealthCheckFailed);
  Start();
  CHECK(queued_client.Hear(Type::kHealthCheckResult, 1).cause == 1);
}

TEST_CASE_FIXTURE(Operated,
                  "a suspended node gets no tasks until it is resumed whatever the endpoint list says") {
  Program& program = Start();
  const int port = program.admin_port();
  CHECK(Post(port, "/v1/agents/s-00000001/suspend").yes());
  CHECK(Post(port, "/v1/agents/s-00000001/suspend").yes());
  CHECK(Post(port, "/v1/agents/s-0000000f/suspend").status == 404);
  CHECK(FiguresOf(port)["out_of_rotation"] == 1);
  lists.back().Raw("data: " + Event(2, Nodes(), true).dump() + "\n\n");
  program.Counted("discovery_events", 1);
  Wire client = Owner();
  Ask(&client, kTask, "safe");
  Wire second_node = second.Accept();
  second_node.Hear(Type::kTaskRequest, kTask);
  second_node.Answer(kTask, "there");
  client.Hear(Type::kTaskAccepted, kTask);
  CHECK_FALSE(first.Dialled());

  // The new process knows of the suspension, and of later ones at the old process.
  Program& new_process = Start();
  const auto wait_until_suspended = [&new_process](int count) {
    const Patience patience;
    while (FiguresOf(new_process.admin_port())["out_of_rotation"] != count) patience.Check();
  };
  wait_until_suspended(1);
  CHECK(Post(port, "/v1/agents/s-00000002/suspend").yes());
  wait_until_suspended(2);
  CHECK(Post(new_process.admin_port(), "/v1/agents/s-00000001/resume").yes());
  program.Signal(SIGTERM);
  CHECK(program.ExitStatus() == 0);
  Wire new_connection = Owner();
  Ask(&new_connection, kOther, "safe");
  Wire resumed_node = first.Accept();  // stays open: a node that closes its connection would be ejected
  resumed_node.Hear(Type::kTaskRequest, kOther);
  CHECK(FiguresOf(new_process.admin_port())["out_of_rotation"] == 1);
}

TEST_CASE_FIXTURE(Operated, "a locked shared file does not delay a suspension and is written later") {
  Program& program = Start();
  const std::string file = tmp / "willowrail.n0.rotation";
  const int lock = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  REQUIRE(lock >= 0);
  REQUIRE(::flock(lock, LOCK_EX) == 0);
  CHECK(Post(program.admin_port(), "/v1/agents/s-00000001/suspend").yes());
  Wire client = Owner();
  Ask(&client, kTask, "safe");
  Wire second_node = second.Accept();
  second_node.Hear(Type::kTaskRequest, kTask);
  second_node.Answer(kTask, "there");
  client.Hear(Type::kTaskAccepted, kTask);
  second_node.Say(Type::kRelease, kTask, Cause::kEnded);
  client.Hear(Type::kRelease, kTask);
  CHECK(std::filesystem::file_size(file) == 0);
  CHECK(::flock(lock, LOCK_UN) == 0);
  const Patience patience;
  while (std::filesystem::file_size(file) == 0) patience.Check();
  ::close(lock);
}

TEST_CASE_FIXTURE(Operated, "a node is suspended even where the shared file cannot be written") {
  const std::filesystem::path previous_tmp = tmp;
  tmp /= "none";
  Program& program = Start(false);
  tmp = previous_tmp;
  CHECK(Post(program.admin_port(), "/v1/agents/s-00000001/suspend").yes());
  CHECK(FiguresOf(program.admin_port())["out_of_rotation"] == 1);
  Wire client = program.Owner();
  Ask(&client, kTask, "safe");
  Wire second_node = second.Accept();
  second_node.Hear(Type::kTaskRequest, kTask);
  CHECK_FALSE(first.Dialled());
}

TEST_CASE_FIXTURE(
    Operated,
    "a drained process is not ready and closes idle connections and serves new clients until activated") {
  Program& program = Start(false);
  const int port = program.admin_port();
  Wire idle_client = program.Owner(), busy_client = program.Owner();
  CHECK(Passes(&idle_client));
  Ask(&busy_client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  CHECK(Post(port, "/v1/cluster-manager/drain").yes());
  CHECK(Get(port, "/v1/readyz").status == 503);
  CHECK(idle_client.Closed());
  Wire new_client = program.Owner();
  CHECK_FALSE(Passes(&new_client));
  CHECK(new_client.Closed());
  node.Answer(kTask, "here");
  CHECK(busy_client.Hear(Type::kTaskAccepted, kTask).description == "here");
  // The task still runs and its completion has to be sent: the connection stays open, but takes no new
  // request.
  Ask(&busy_client, kOther, "unsafe");
  CHECK(busy_client.Hear(Type::kRelease, kOther).cause == 42);
  CHECK(FiguresOf(port)["throttled"]["unsafe"] == 1);
  SUBCASE("the task ends during the drain") {
    node.Say(Type::kRelease, kTask, Cause::kEnded);
    CHECK(busy_client.Hear(Type::kRelease, kTask).cause == 16);
    CHECK(busy_client.Closed());
    return;
  }
  SUBCASE("activated while the task runs") { busy_client.Close(); }
  // Activated, drained and activated within a second.
  CHECK(Post(port, "/v1/cluster-manager/activate").yes());
  CHECK(Post(port, "/v1/cluster-manager/drain").yes());
  CHECK_FALSE(Get(port, "/v1/readyz").yes());
  CHECK(Post(port, "/v1/cluster-manager/activate").yes());
  CHECK(Get(port, "/v1/readyz").yes());
  Wire second_client = program.Owner();
  CHECK(Passes(&second_client));
  // The completion of the task is sent on any open connection of the client.
  node.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(second_client.Hear(Type::kRelease, kTask).cause == 16);
}

TEST_CASE_FIXTURE(Operated, "each outcome of a request is counted once for its class") {
  Program& program = Start(false);
  const int port = program.admin_port();
  Wire client = program.Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  json metrics = FiguresOf(port);
  CHECK(metrics["open_requests"] == 1);
  CHECK(metrics["relayed"] == 1);
  CHECK(metrics["registry_entries"] == 2);
  CHECK(metrics["out_of_rotation"] == 0);
  node.Answer(kTask, "here");
  client.Hear(Type::kTaskAccepted, kTask);
  Ask(&client, kOther, "unsafe");
  node.Hear(Type::kTaskRequest, kOther);
  node.Say(Type::kRelease, kOther, Cause::kAborted);
  client.Hear(Type::kRelease, kOther);
  node.Say(Type::kRelease, kTask, Cause::kEnded);
  client.Hear(Type::kRelease, kTask);
  metrics = FiguresOf(port);
  CHECK(metrics["open_requests"] == 0);
  CHECK(metrics["fulfilled"]["unsafe"] == 1);
  CHECK(metrics["faulted"]["unsafe"] == 1);
  CHECK(metrics["throttled"]["unsafe"] == 0);
  CHECK(metrics["fulfilled"]["safe"] == 0);
  CHECK(metrics["cfg_invalid"] == 0);
}

}  // namespace
}  // namespace cluster_manager::story
