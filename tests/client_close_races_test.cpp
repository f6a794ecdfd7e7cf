// Client connections that are closed, by the client or by the program, while messages on them are in flight.
// Each test forces one order of events.
#include <chrono>

#include "story_operated.h"

namespace cluster_manager::story {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string EncodeTaskRequest(TaskId task, const std::string& class_name = "unsafe") {
  std::string bytes;
  protocol::Writer writer(&bytes, Type::kTaskRequest, task);
  writer.Add(Code::kClass, class_name).Add(Code::kTimeoutMs, "25000").Add(Code::kTenant, "shop one");
  writer.Add(Code::kName, "0b5e").Add(Code::kResources, "cores:1;memory:2;service:0b");
  writer.Add(Code::kDescription, "run");
  return bytes;
}

// The program closes a client connection without a valid message after this time.
constexpr milliseconds kFirstMessageTimeout{2000};

TEST_CASE_FIXTURE(Site, "a first request that is unread when its connection times out is served") {
  Start();
  Wire client = program->Owner();
  const auto connected = steady_clock::now();
  program->Counted("client_connections", 1);
  program->Signal(SIGSTOP);
  const std::string bytes = EncodeTaskRequest(kTask);
  std::size_t sent = bytes.size();
  SUBCASE("complete") {}
  SUBCASE("in two pieces") { sent = 20; }
  client.Raw(bytes.substr(0, sent));
  std::this_thread::sleep_until(connected + kFirstMessageTimeout + milliseconds(50));
  program->Signal(SIGCONT);
  if (sent < bytes.size()) client.Raw(bytes.substr(sent));
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
}

TEST_CASE_FIXTURE(Site, "a connection without a valid message is closed within 3 s of connecting") {
  Start();
  const auto connected = steady_clock::now();
  Wire client = program->Owner();
  std::string bytes;
  SUBCASE("a partial message that begins late") { bytes = std::string("\0\x20\1", 3); }
  SUBCASE("messages without effect") { protocol::Writer(&bytes, Type::kProgress, kTask); }
  std::this_thread::sleep_until(connected + kFirstMessageTimeout - milliseconds(300));
  client.Raw(bytes);
  CHECK(client.Closed());
  CHECK(steady_clock::now() - connected < milliseconds(3000));
}

TEST_CASE_FIXTURE(Site, "a client that reads slowly is not closed for an incomplete message") {
  Start();
  Wire client = program->Owner();
  client.Narrow();
  // More replies than fit into the socket buffers: the program stops reading, usually within a message.
  constexpr TaskId kHealthChecks = 500'000;
  std::string health_checks;
  for (TaskId i = 1; i <= kHealthChecks; ++i)
    protocol::Writer(&health_checks, Type::kHealthCheck, i).Add(Cause::kHealthCheckFailed);
  client.Raw(health_checks);
  // Longer than the time limit of a message, the check interval and the close together.
  std::this_thread::sleep_for(milliseconds(3000));
  for (TaskId i = 1; i <= kHealthChecks; ++i) REQUIRE(client.Hear().task == i);
}

TEST_CASE_FIXTURE(
    Site, "eviction under many new connections does not cost a system call for each existing connection") {
  Start(Settings(), 40);
  std::vector<Wire> existing, new_clients;
  for (int i = 0; i < 24; ++i) {
    existing.push_back(program->Owner());
    existing.back().NothingElse();
  }
  program->Signal(SIGSTOP);
  for (Wire& client : existing) client.Say(Type::kHealthCheck, kTask, Cause::kHealthCheckFailed);
  for (int i = 0; i < 64; ++i) new_clients.push_back(program->Owner());
  program->Signal(SIGCONT);
  for (Wire& client : existing) client.Hear(Type::kHealthCheckResult, kTask);
  program->Counted("client_connections", 24 + 64);
  program->Signal(SIGUSR1);
  const int ioctl_calls = std::stoi(program->Logged("call ioctl "));
  CHECK(ioctl_calls < 10 * (24 + 64));
}

TEST_CASE_FIXTURE(Site, "a connection with a partly received request is not evicted") {
  Start(Settings(), 40);
  Wire client = program->Owner();
  const std::string bytes = EncodeTaskRequest(kTask);
  // The first request is rejected with an error, which shows that the partial request after it has been read.
  client.Raw(EncodeTaskRequest(kOther, "unheard of") + bytes.substr(0, 20));
  CHECK(client.Hear(Type::kRelease, kOther).cause == 47);
  // Connections that are less than 100 ms old are not evicted in any case.
  std::this_thread::sleep_for(milliseconds(150));
  std::vector<Wire> new_clients;
  for (int i = 0; i < 27; ++i) {  // more than the descriptors of clients
    new_clients.push_back(program->Owner());
    new_clients.back().NothingElse();
  }
  client.Raw(bytes.substr(20));
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  CHECK(new_clients.front().Closed());
}

TEST_CASE_FIXTURE(
    Operated,
    "requests are served while idle clients hold their share of descriptors and discovery is down") {
  bulletin.Close();
  lives.push_back(
      std::make_unique<Program>(Nodes(), bulletin, Settings(), 80, 80, Platform{-1, tmp.string(), true}));
  Program& program = *lives.back();
  Wire running = program.Owner();
  Ask(&running, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  std::vector<Wire> idle_clients;
  for (int i = 0; i < 100; ++i) {
    idle_clients.push_back(program.Owner());
    idle_clients.back().NothingElse();
  }
  CHECK(Get(program.admin_port(), "/v1/readyz").yes());
  node.Answer(kTask, "here");
  CHECK(running.Hear(Type::kTaskAccepted, kTask).description == "here");
  Wire client = program.Owner();
  Ask(&client, kOther, "unsafe");
  node.Hear(Type::kTaskRequest, kOther);
  node.Answer(kOther, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kOther).description == "there");
  bulletin.Open();  // the endpoint list is fetched once discovery is reachable
  CHECK(bulletin.Accept().Bytes().starts_with("GET /bulletins"));
}

TEST_CASE_FIXTURE(Site, "the attempt of a request is cancelled when its client disconnects") {
  Start();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  SUBCASE("FIN") { client.Close(); }
  SUBCASE("RST") { client.Reset(); }
  SUBCASE("FIN in the loop iteration of a release by the client") {
    program->Signal(SIGSTOP);
    client.Say(Type::kRelease, kTask, Cause::kEnded);
    client.Close();
    program->Signal(SIGCONT);
  }
  CHECK(node.Hear(Type::kRelease, kTask).cause == 16);
  program->Counted("client_closes", 1);
  program->Counted("owed", 0, "size ");
  program->Counted("standing", 0, "size ");
}

TEST_CASE_FIXTURE(Operated, "a half-close by a client counts as a close") {
  Start();
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  Wire client(socket);
  const sockaddr_in address = Loopback(owners.number());
  REQUIRE(::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  REQUIRE(::shutdown(socket, SHUT_WR) == 0);
  CHECK(node.Hear(Type::kRelease, kTask).cause == 16);
  CHECK(client.Closed());
}

TEST_CASE_FIXTURE(
    Site, "all requests of a connection that ends are cancelled and those of other connections are not") {
  Start();
  Wire client = program->Owner(), other = program->Owner();
  Ask(&client, 1, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, 1);
  Ask(&client, 2, "unsafe");
  Wire second_node_connection = first.Accept();
  second_node_connection.Hear(Type::kTaskRequest, 2);
  Ask(&other, 3, "unsafe");
  Wire third_node_connection = first.Accept();
  third_node_connection.Hear(Type::kTaskRequest, 3);
  client.Reset();
  CHECK(node.Hear(Type::kRelease, 1).cause == 16);
  CHECK(second_node_connection.Hear(Type::kRelease, 2).cause == 16);
  third_node_connection.Answer(3, "there");
  CHECK(other.Hear(Type::kTaskAccepted, 3).description == "there");
}

TEST_CASE_FIXTURE(Site,
                  "a client disconnects in the loop iteration of its reply: the task runs or is cancelled") {
  Start();
  Wire client = program->Owner(), other = program->Owner();
  Ask(&other, kOther, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kOther);
  node.Answer(kOther, "there");
  other.Hear(Type::kTaskAccepted, kOther);
  Ask(&client, kTask, "unsafe");
  node.Hear(Type::kTaskRequest, kTask);
  program->Signal(SIGSTOP);
  SUBCASE("FIN") { client.Close(); }
  SUBCASE("RST") { client.Reset(); }
  node.Answer(kTask, "there");
  program->Signal(SIGCONT);
  program->Counted("client_closes", 1);
  // Whichever was read first, nothing is left over after the tasks have ended.
  node.Say(Type::kRelease, kTask, Cause::kEnded);
  node.Say(Type::kRelease, kOther, Cause::kEnded);
  while (other.Hear().task != kOther) {
  }
  program->Counted("owed", 0, "size ");
  program->Counted("standing", 0, "size ");
}

TEST_CASE_FIXTURE(Operated, "a connection that both sides close at the same time ends once") {
  Program& program = Start(false);
  Wire client = program.Owner();
  CHECK(Passes(&client));
  CHECK(Post(program.admin_port(), "/v1/cluster-manager/drain").yes());
  REQUIRE(client.Readable(kLimitMs));  // the program has closed, and the client has not read that yet
  SUBCASE("FIN") { client.Close(); }
  SUBCASE("RST") { client.Reset(); }
  program.Counted("client_closes", 1);
  program.Counted("owners", 0, "size ");
}

}  // namespace
}  // namespace cluster_manager::story
