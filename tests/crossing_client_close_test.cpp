// Closes of owners' connections, by them and by us, that cross what is said on them: each story forces one
// order.
#include <chrono>

#include "story_operated.h"

namespace cluster_manager::story {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string SetUpBytes(TaskId task, const std::string& class_name = "unsafe") {
  std::string bytes;
  protocol::Writer w(&bytes, Type::kTaskRequest, task);
  w.Add(Code::kClass, class_name).Add(Code::kTimeoutMs, "25000").Add(Code::kTenant, "shop one");
  w.Add(Code::kName, "0b5e").Add(Code::kResources, "cores:1;memory:2;service:0b");
  w.Add(Code::kDescription, "run");
  return bytes;
}

// Without a word an owner's connection is closed after 2 s.
constexpr milliseconds kFirstWord{2000};

TEST_CASE_FIXTURE(Site, "a first set-up that is unread as its connection is due to be closed is served") {
  Start();
  Wire owner = program->Owner();
  const auto connected = steady_clock::now();
  program->Counted("client_connections", 1);
  program->Signal(SIGSTOP);
  const std::string bytes = SetUpBytes(kTask);
  std::size_t sent = bytes.size();
  SUBCASE("whole") {}
  SUBCASE("in two pieces") { sent = 20; }
  owner.Raw(bytes.substr(0, sent));
  std::this_thread::sleep_until(connected + kFirstWord + milliseconds(50));
  program->Signal(SIGCONT);
  if (sent < bytes.size()) owner.Raw(bytes.substr(sent));
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
}

TEST_CASE_FIXTURE(Site, "who says nothing of use, as often as it may, is closed within 3 s of connecting") {
  Start();
  const auto connected = steady_clock::now();
  Wire owner = program->Owner();
  std::string noise;
  SUBCASE("half a message, begun late") { noise = std::string("\0\x20\1", 3); }
  SUBCASE("messages that mean nothing") { protocol::Writer(&noise, Type::kProgress, kTask); }
  std::this_thread::sleep_until(connected + kFirstWord - milliseconds(300));
  owner.Raw(noise);
  CHECK(owner.Closed());
  CHECK(steady_clock::now() - connected < milliseconds(3000));
}

TEST_CASE_FIXTURE(Site, "who reads late is not taken for one who never finishes its message") {
  Start();
  Wire owner = program->Owner();
  owner.Narrow();
  // More answers than the machine takes: the program stops to read, in the middle of a message as a rule.
  constexpr TaskId kMany = 500'000;
  std::string tests;
  for (TaskId i = 1; i <= kMany; ++i)
    protocol::Writer(&tests, Type::kHealthCheck, i).Add(Cause::kHealthCheckFailed);
  owner.Raw(tests);
  std::this_thread::sleep_for(milliseconds(3000));  // longer than a message may take, with a look and a close
  for (TaskId i = 1; i <= kMany; ++i) REQUIRE(owner.Hear().task == i);
}

TEST_CASE_FIXTURE(Site, "a flood of connections costs no system call for each of those that are there") {
  Start(Settings(), 40);
  std::vector<Wire> there, flood;
  for (int i = 0; i < 24; ++i) {
    there.push_back(program->Owner());
    there.back().NothingElse();
  }
  program->Signal(SIGSTOP);
  for (Wire& owner : there) owner.Say(Type::kHealthCheck, kTask, Cause::kHealthCheckFailed);
  for (int i = 0; i < 64; ++i) flood.push_back(program->Owner());
  program->Signal(SIGCONT);
  for (Wire& owner : there) owner.Hear(Type::kHealthCheckResult, kTask);
  program->Counted("client_connections", 24 + 64);
  program->Signal(SIGUSR1);
  const int asked = std::stoi(program->Logged("call ioctl "));
  CHECK(asked < 10 * (24 + 64));
}

TEST_CASE_FIXTURE(Site, "a set-up that is half read is not what makes room for others") {
  Start(Settings(), 40);
  Wire owner = program->Owner();
  const std::string bytes = SetUpBytes(kTask);
  // One that is answered with an error, so that the half behind it is known to be read.
  owner.Raw(SetUpBytes(kOther, "unheard of") + bytes.substr(0, 20));
  CHECK(owner.Hear(Type::kRelease, kOther).cause == 47);
  // Who has connected just now is spared anyway.
  std::this_thread::sleep_for(milliseconds(150));
  std::vector<Wire> others;
  for (int i = 0; i < 27; ++i) {  // more than all that owners may hold
    others.push_back(program->Owner());
    others.back().NothingElse();
  }
  owner.Raw(bytes.substr(20));
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
  CHECK(others.front().Closed());
}

TEST_CASE_FIXTURE(Operated, "idle owners fill their descriptors while discovery is down: all else goes on") {
  bulletin.Close();
  lives.push_back(
      std::make_unique<Program>(Nodes(), bulletin, Settings(), 80, 80, Platform{-1, tmp.string(), true}));
  Program& program = *lives.back();
  Wire running = program.Owner();
  Ask(&running, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  std::vector<Wire> idle;
  for (int i = 0; i < 100; ++i) {
    idle.push_back(program.Owner());
    idle.back().NothingElse();
  }
  CHECK(Get(program.admin_port(), "/v1/readyz").yes());
  agent.Answer(kTask, "here");
  CHECK(running.Hear(Type::kTaskAccepted, kTask).description == "here");
  Wire owner = program.Owner();
  Ask(&owner, kOther, "unsafe");
  agent.Hear(Type::kTaskRequest, kOther);
  agent.Answer(kOther, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kOther).description == "there");
  bulletin.Open();  // and the list is read as soon as it is there
  CHECK(bulletin.Accept().Bytes().starts_with("GET /bulletins"));
}

TEST_CASE_FIXTURE(Site, "an owner that leaves while its requests are out: each is given up, in any order") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  SUBCASE("FIN") { owner.Close(); }
  SUBCASE("RST") { owner.Reset(); }
  SUBCASE("FIN in the turn of a release of its own") {
    program->Signal(SIGSTOP);
    owner.Say(Type::kRelease, kTask, Cause::kEnded);
    owner.Close();
    program->Signal(SIGCONT);
  }
  CHECK(agent.Hear(Type::kRelease, kTask).cause == 16);
  program->Counted("client_closes", 1);
  program->Counted("owed", 0, "size ");
  program->Counted("standing", 0, "size ");
}

TEST_CASE_FIXTURE(Operated, "a half close by an owner is a close") {
  Start();
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  Wire owner(socket);
  const sockaddr_in address = Loopback(owners.number());
  REQUIRE(::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  REQUIRE(::shutdown(socket, SHUT_WR) == 0);
  CHECK(agent.Hear(Type::kRelease, kTask).cause == 16);
  CHECK(owner.Closed());
}

TEST_CASE_FIXTURE(Site, "several requests on a connection that ends are all given up, and no other's") {
  Start();
  Wire owner = program->Owner(), other = program->Owner();
  Ask(&owner, 1, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, 1);
  Ask(&owner, 2, "unsafe");
  Wire second_line = first.Accept();
  second_line.Hear(Type::kTaskRequest, 2);
  Ask(&other, 3, "unsafe");
  Wire third_line = first.Accept();
  third_line.Hear(Type::kTaskRequest, 3);
  owner.Reset();
  CHECK(agent.Hear(Type::kRelease, 1).cause == 16);
  CHECK(second_line.Hear(Type::kRelease, 2).cause == 16);
  third_line.Answer(3, "there");
  CHECK(other.Hear(Type::kTaskAccepted, 3).description == "there");
}

TEST_CASE_FIXTURE(Site, "an owner that leaves in the turn of its answer: the task stands or is given up") {
  Start();
  Wire owner = program->Owner(), other = program->Owner();
  Ask(&other, kOther, "unsafe");
  Wire line = first.Accept();
  line.Hear(Type::kTaskRequest, kOther);
  line.Answer(kOther, "there");
  other.Hear(Type::kTaskAccepted, kOther);
  Ask(&owner, kTask, "unsafe");
  line.Hear(Type::kTaskRequest, kTask);
  program->Signal(SIGSTOP);
  SUBCASE("FIN") { owner.Close(); }
  SUBCASE("RST") { owner.Reset(); }
  line.Answer(kTask, "there");
  program->Signal(SIGCONT);
  program->Counted("client_closes", 1);
  // Whichever was read first, the end that follows leaves nothing behind.
  line.Say(Type::kRelease, kTask, Cause::kEnded);
  line.Say(Type::kRelease, kOther, Cause::kEnded);
  while (other.Hear().task != kOther) {
  }
  program->Counted("owed", 0, "size ");
  program->Counted("standing", 0, "size ");
}

TEST_CASE_FIXTURE(Operated, "an owner's close that crosses ours ends its connection once") {
  Program& program = Start(false);
  Wire owner = program.Owner();
  CHECK(Passes(&owner));
  CHECK(Post(program.admin_port(), "/v1/cluster-manager/drain").yes());
  REQUIRE(owner.Readable(kLimitMs));  // our close, which its owner has not looked at
  SUBCASE("FIN") { owner.Close(); }
  SUBCASE("RST") { owner.Reset(); }
  program.Counted("client_closes", 1);
  program.Counted("owners", 0, "size ");
}

}  // namespace
}  // namespace cluster_manager::story
