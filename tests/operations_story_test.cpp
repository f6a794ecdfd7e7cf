// Stories of daily operation: the real program, drained, upgraded and told what to leave out by operators.
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include "story_operated.h"

namespace cluster_manager::story {
namespace {

TEST_CASE_FIXTURE(Operated,
                  "an upgrade: the new process serves where the old one did, and the old one ends") {
  Program& old = Start();
  Wire before = Owner();
  Ask(&before, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  Start();
  old.Signal(SIGTERM);
  old.Logged("stopping: 1 requests");
  // Whoever connects from now on meets the new process, though the old one still has a request to settle.
  Wire after = Owner();
  Ask(&after, kOther, "unsafe");
  Wire again = first.Accept();
  again.Hear(Type::kTaskRequest, kOther);
  again.Answer(kOther, "there");
  CHECK(after.Hear(Type::kTaskAccepted, kOther).description == "there");
  // What was on its way in the old one is answered by it, on the connection that it came by.
  agent.Answer(kTask, "here");
  CHECK(before.Hear(Type::kTaskAccepted, kTask).description == "here");
  CHECK(before.Closed());
  CHECK(old.ExitStatus() == 0);
  CHECK(Passes(&after));
}

TEST_CASE_FIXTURE(Operated, "an upgrade: a set-up that is half written to the old process is served by it") {
  Program& old = Start();
  std::string bytes;
  {
    protocol::Writer w(&bytes, Type::kTaskRequest, kTask);
    w.Add(Code::kClass, "safe").Add(Code::kTimeoutMs, "25000").Add(Code::kTenant, "shop one");
    w.Add(Code::kName, "0b5e").Add(Code::kResources, "cores:1;memory:2;service:0b");
    w.Add(Code::kDescription, "run");
  }
  Wire owner = Owner();
  CHECK(Passes(&owner));
  owner.Raw(bytes.substr(0, 20));
  Start();
  old.Signal(SIGTERM);
  old.Logged("stopping");
  owner.Raw(bytes.substr(20));
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "here");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "here");
  CHECK(old.ExitStatus() == 0);
}

TEST_CASE_FIXTURE(Operated, "an upgrade: a standing task goes over, and its end is told by the new process") {
  Program& old = Start();
  Wire before = Owner();
  Ask(&before, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "here");
  before.Hear(Type::kTaskAccepted, kTask);
  Program& fresh = Start();
  old.Signal(SIGTERM);
  CHECK(before.Closed());
  CHECK(old.ExitStatus() == 0);
  fresh.Logged("taken over: 1 of 1 tasks");
  CHECK(FiguresOf(fresh.admin_port())["open_requests"] == 1);
  Wire after = Owner();
  SUBCASE("its owner hands it over too") {
    Ask(&after, kTask, "unsafe", 25'000, ";at:s-00000001");
    fresh.Counted("tasks_claimed_again", 1);
  }
  SUBCASE("before its owner does") { CHECK(Passes(&after)); }
  Wire again = first.Accept();  // a way is kept where it stands
  again.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(after.Hear(Type::kRelease, kTask).cause == 16);
  CHECK(FiguresOf(fresh.admin_port())["open_requests"] == 0);
}

TEST_CASE_FIXTURE(Operated,
                  "a door that was closed before the new process came proves no death of what stands there") {
  Program& old = Start();
  Wire owner = Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "here");
  owner.Hear(Type::kTaskAccepted, kTask);
  first.Close();  // it leaves: its old connection goes on, dials are refused
  Program& fresh = Start();
  old.Signal(SIGTERM);
  CHECK(old.ExitStatus() == 0);
  fresh.Logged("taken over: 1 of 1 tasks");
  fresh.Logged("dial refused");
  fresh.Logged("dial refused");
  CHECK(FiguresOf(fresh.admin_port())["open_requests"] == 1);
}

TEST_CASE_FIXTURE(Operated,
                  "two upgrades in a row, and a new process that is killed before anybody relies on it") {
  Program& one = Start();
  Wire owner = Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "here");
  owner.Hear(Type::kTaskAccepted, kTask);
  Start();
  lives.pop_back();  // killed just after its yes: the old one was told nothing, and serves on
  lists.pop_back();
  CHECK(Passes(&owner));
  Program& two = Start();
  one.Signal(SIGTERM);
  CHECK(one.ExitStatus() == 0);
  two.Logged("taken over: 1 of 1 tasks");
  Program& three = Start();
  two.Signal(SIGTERM);
  CHECK(two.ExitStatus() == 0);
  three.Logged("taken over: 1 of 1 tasks");
  CHECK(FiguresOf(three.admin_port())["open_requests"] == 1);
}

TEST_CASE_FIXTURE(Operated, "an upgrade: what waits in the backlog is not refused, whoever is killed") {
  Start();
  Program& fresh = Start();
  lives.front().reset();  // killed outright
  Wire owner = Owner();
  CHECK(Passes(&owner));
  fresh.Signal(SIGKILL);
  fresh.ExitStatus();
  lives.pop_back();
  Wire waits = Owner();  // nobody is there, and nobody is refused
  waits.Say(Type::kHealthCheck, 1, Cause::kHealthCheckFailed);
  Start();
  CHECK(waits.Hear(Type::kHealthCheckResult, 1).cause == 1);
}

TEST_CASE_FIXTURE(
    Operated, "an agent that operators took out gets nothing, whatever the list says, until called back") {
  Program& program = Start();
  const int port = program.admin_port();
  CHECK(Post(port, "/v1/agents/s-00000001/suspend").yes());
  CHECK(Post(port, "/v1/agents/s-00000001/suspend").yes());
  CHECK(Post(port, "/v1/agents/s-0000000f/suspend").status == 404);
  CHECK(FiguresOf(port)["out_of_rotation"] == 1);
  lists.back().Raw("data: " + Event(2, Nodes(), true).dump() + "\n\n");
  program.Counted("discovery_events", 1);
  Wire owner = Owner();
  Ask(&owner, kTask, "safe");
  Wire there = second.Accept();
  there.Hear(Type::kTaskRequest, kTask);
  there.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  CHECK_FALSE(first.Dialled());

  // The next process knows of it too, and of what the old one is told later.
  Program& fresh = Start();
  const auto until_out = [&fresh](int agents) {
    const Patience patience;
    while (FiguresOf(fresh.admin_port())["out_of_rotation"] != agents) patience.Check();
  };
  until_out(1);
  CHECK(Post(port, "/v1/agents/s-00000002/suspend").yes());
  until_out(2);
  CHECK(Post(fresh.admin_port(), "/v1/agents/s-00000001/resume").yes());
  program.Signal(SIGTERM);
  CHECK(program.ExitStatus() == 0);
  Wire again = Owner();
  Ask(&again, kOther, "safe");
  Wire back = first.Accept();  // it stays open: an agent that breaks off would be set aside
  back.Hear(Type::kTaskRequest, kOther);
  CHECK(FiguresOf(fresh.admin_port())["out_of_rotation"] == 1);
}

TEST_CASE_FIXTURE(Operated, "a disk that does not answer keeps nobody waiting, and learns of the ban later") {
  Program& program = Start();
  const std::string file = tmp / "willowrail.n0.rotation";
  const int held = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  REQUIRE(held >= 0);
  REQUIRE(::flock(held, LOCK_EX) == 0);
  CHECK(Post(program.admin_port(), "/v1/agents/s-00000001/suspend").yes());
  Wire owner = Owner();
  Ask(&owner, kTask, "safe");
  Wire there = second.Accept();
  there.Hear(Type::kTaskRequest, kTask);
  there.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  there.Say(Type::kRelease, kTask, Cause::kEnded);
  owner.Hear(Type::kRelease, kTask);
  CHECK(std::filesystem::file_size(file) == 0);
  CHECK(::flock(held, LOCK_UN) == 0);
  const Patience patience;
  while (std::filesystem::file_size(file) == 0) patience.Check();
  ::close(held);
}

TEST_CASE_FIXTURE(Operated, "an agent is out also where that cannot be written down") {
  const std::filesystem::path kept = tmp;
  tmp /= "none";
  Program& program = Start(false);
  tmp = kept;
  CHECK(Post(program.admin_port(), "/v1/agents/s-00000001/suspend").yes());
  CHECK(FiguresOf(program.admin_port())["out_of_rotation"] == 1);
  Wire owner = program.Owner();
  Ask(&owner, kTask, "safe");
  Wire there = second.Accept();
  there.Hear(Type::kTaskRequest, kTask);
  CHECK_FALSE(first.Dialled());
}

TEST_CASE_FIXTURE(
    Operated,
    "drained, the program says no, lets connections go and serves whoever comes, and then is active again") {
  Program& program = Start(false);
  const int port = program.admin_port();
  Wire idle = program.Owner(), busy = program.Owner();
  CHECK(Passes(&idle));
  Ask(&busy, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  CHECK(Post(port, "/v1/cluster-manager/drain").yes());
  CHECK(Get(port, "/v1/readyz").status == 503);
  CHECK(idle.Closed());
  Wire asks = program.Owner();
  CHECK_FALSE(Passes(&asks));
  CHECK(asks.Closed());
  agent.Answer(kTask, "here");
  CHECK(busy.Hear(Type::kTaskAccepted, kTask).description == "here");
  // Its task stands: the end of it will have to be told, so this way stays, and takes nothing new.
  Ask(&busy, kOther, "unsafe");
  CHECK(busy.Hear(Type::kRelease, kOther).cause == 42);
  CHECK(FiguresOf(port)["throttled"]["unsafe"] == 1);
  SUBCASE("empty in the end") {
    agent.Say(Type::kRelease, kTask, Cause::kEnded);
    CHECK(busy.Hear(Type::kRelease, kTask).cause == 16);
    CHECK(busy.Closed());
    return;
  }
  SUBCASE("soon active again") { busy.Close(); }
  // Within a second: active, drained, active.
  CHECK(Post(port, "/v1/cluster-manager/activate").yes());
  CHECK(Post(port, "/v1/cluster-manager/drain").yes());
  CHECK_FALSE(Get(port, "/v1/readyz").yes());
  CHECK(Post(port, "/v1/cluster-manager/activate").yes());
  CHECK(Get(port, "/v1/readyz").yes());
  Wire after = program.Owner();
  CHECK(Passes(&after));
  // The task that stood all the while is over: that is told on whatever way is there.
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(after.Hear(Type::kRelease, kTask).cause == 16);
}

TEST_CASE_FIXTURE(Operated, "each way a request can end is counted once, for its class") {
  Program& program = Start(false);
  const int port = program.admin_port();
  Wire owner = program.Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  json figures = FiguresOf(port);
  CHECK(figures["open_requests"] == 1);
  CHECK(figures["relayed"] == 1);
  CHECK(figures["registry_entries"] == 2);
  CHECK(figures["out_of_rotation"] == 0);
  agent.Answer(kTask, "here");
  owner.Hear(Type::kTaskAccepted, kTask);
  Ask(&owner, kOther, "unsafe");
  agent.Hear(Type::kTaskRequest, kOther);
  agent.Say(Type::kRelease, kOther, Cause::kAborted);
  owner.Hear(Type::kRelease, kOther);
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  owner.Hear(Type::kRelease, kTask);
  figures = FiguresOf(port);
  CHECK(figures["open_requests"] == 0);
  CHECK(figures["fulfilled"]["unsafe"] == 1);
  CHECK(figures["faulted"]["unsafe"] == 1);
  CHECK(figures["throttled"]["unsafe"] == 0);
  CHECK(figures["fulfilled"]["safe"] == 0);
  CHECK(figures["cfg_invalid"] == 0);
}

}  // namespace
}  // namespace cluster_manager::story
