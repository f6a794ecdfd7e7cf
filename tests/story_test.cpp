// Stories over loopback: the real program among scripted owners, agents and a bulletin, one for each failure
// met or guarded against. Most tasks are unsafe, so that no time-out moves them on where a machine is slow.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "story_site.h"

namespace cluster_manager::story {
namespace {

TEST_CASE_FIXTURE(Site, "a task is passed on unchanged, stands, and is released when it ends") {
  Start();
  Wire owner = program->Owner();
  owner.Say(Type::kHealthCheck, 1, Cause::kHealthCheckFailed);
  CHECK(owner.Hear(Type::kHealthCheckResult, 1).cause == 1);
  Ask(&owner, kTask, "keyed");
  Wire agent = first.Accept();
  const Heard offer = agent.Hear(Type::kTaskRequest, kTask);
  CHECK(offer.class_name == "keyed");
  CHECK(offer.name == "7f3a9c21e0b4d65c");
  CHECK(offer.key == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
  CHECK(offer.description == std::string("run\0this", 8));
  CHECK(std::stoi(offer.wait) > 0);
  CHECK(std::stoi(offer.wait) <= 25'000);
  agent.Answer(kTask, std::string("up\0here", 7));
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == std::string("up\0here", 7));
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
}

TEST_CASE_FIXTURE(Site, "a task that ends while it is being started is over, not tried elsewhere") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "safe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
  owner.NothingElse();
  CHECK_FALSE(second.Dialled());
}

TEST_CASE_FIXTURE(Site, "a refused dial proves that nothing ran: an unsafe task goes on to the next agent") {
  first.Close();
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = second.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
}

TEST_CASE_FIXTURE(Site, "a connection that ends before the answer proves nothing: an unsafe task fails") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  SUBCASE("closed") { agent.Close(); }
  SUBCASE("reset") { agent.Reset(); }
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 41);
  owner.NothingElse();
  CHECK_FALSE(second.Dialled());
}

TEST_CASE_FIXTURE(Site,
                  "a refusal that the agent words goes on to the next agent, an answer after it is dropped") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Say(Type::kRelease, kTask, [](protocol::Writer& w) {
    w.Add(Cause::kNoCapacity).Add(Code::kDetail, "busy").Add(Code::kLoadReport, "x0:1;x1:2;queue:9");
  });
  Wire next = second.Accept();
  next.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "late");
  program->Counted("node_replies_unmatched", 1);  // its answer has been read by now
  next.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
  owner.NothingElse();
}

TEST_CASE_FIXTURE(Site,
                  "a second copy of an agent's word does not end the attempt that the first brought about") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  std::string moot;
  protocol::Writer(&moot, Type::kRelease, kTask).Add(Cause::kNotStarted);
  agent.Raw(moot + moot);
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
  program->Counted("attempts_sent", 2);
}

TEST_CASE_FIXTURE(Site, "set-ups have connections of their own: a reset ends one attempt, not all") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Ask(&owner, kOther, "unsafe");
  Wire one = first.Accept(), other = first.Accept();
  const TaskId lost = one.Hear().task, kept = other.Hear().task;
  one.Reset();
  CHECK(owner.Hear(Type::kRelease, lost).cause == 41);
  other.Answer(kept, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kept).description == "there");
}

TEST_CASE_FIXTURE(Site, "a dial that never comes up sends its set-up elsewhere, not on a silent connection") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  first.Clog();
  Ask(&owner, kOther, "unsafe");
  Wire next = second.Accept();
  next.Hear(Type::kTaskRequest, kOther);
  next.Answer(kOther, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kOther).description == "there");
}

TEST_CASE_FIXTURE(Site, "a spoilt answer ends its attempt at once and is nobody's answer") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  std::string answer;
  protocol::Writer(&answer, Type::kTaskAccepted, kTask).Add(Code::kDescription, "there");
  SUBCASE("it stops short") { agent.Raw(answer.substr(0, answer.size() - 2)); }
  SUBCASE("it claims more than comes") { agent.Raw("\x0f\xff" + answer.substr(2)); }
  SUBCASE("no description") { agent.Say(Type::kTaskAccepted, kTask); }
  SUBCASE("an empty description") { agent.Answer(kTask, ""); }
  SUBCASE("noise") { agent.Raw(std::string("\0\x0b\x77whatever it is", 17)); }
  SUBCASE("a release without a cause") { agent.Say(Type::kRelease, kTask); }
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 41);
  owner.NothingElse();
  CHECK(agent.Closed());
  CHECK_FALSE(second.Dialled());
}

TEST_CASE_FIXTURE(Site, "nodes that come and go leave nothing behind") {
  Start();
  Wire feed = bulletin.Accept();
  feed.Bytes();
  feed.Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
  for (int i = 2; i < 42; ++i) {
    const std::string state = i % 2 == 0 ? "in_service" : "terminated";
    const json node = Node("s-000001" + std::to_string(10 + i / 2), first.endpoint(), 1, state);
    feed.Raw("data: " + Event(i, json::array({node})).dump() + "\n\n");
  }
  program->Counted("discovery_events", 40);
  for (const char* table : {"listed", "module", "roster", "agents"}) program->Counted(table, 2, "size ");
}

TEST_CASE_FIXTURE(Site, "an attempt is given up on the wire before the next one goes out") {
  json settings = Settings();
  settings["FamilyInfo"]["YesAt"] = "accepted";  // then the module cuts attempts short
  Start(settings);
  Wire owner = program->Owner();
  Ask(&owner, kTask, "safe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  Wire next = second.Accept();
  next.Hear(Type::kTaskRequest, kTask);
  REQUIRE(agent.Readable());
  CHECK(agent.Hear(Type::kRelease, kTask).cause == 16);
  next.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
}

TEST_CASE_FIXTURE(Site, "what its owner gives up is given up at the agent and owed no answer") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  SUBCASE("by a release") { owner.Say(Type::kRelease, kTask, Cause::kEnded); }
  SUBCASE("by closing") {
    owner.Close();
    owner = program->Owner();
  }
  CHECK(agent.Hear(Type::kRelease, kTask).cause == 16);
  agent.Answer(kTask, "late");
  program->Counted("node_replies_unmatched", 1);
  owner.NothingElse();
}

TEST_CASE_FIXTURE(Site, "a request that nobody can take is refused, in time for its owner") {
  first.Close();
  second.Close();
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe", 300);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 42);
  owner.NothingElse();
}

TEST_CASE_FIXTURE(Site, "an owner's release cuts the task at its agent and is owed none back") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  Wire another = program->Owner();  // any connection does
  another.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(agent.Hear(Type::kRelease, kTask).cause == 31);
  // The cut is told again on a new way, until the agent says that the task is over.
  agent.Close();
  agent = first.Accept();
  agent.Hear(Type::kRelease, kTask);
  agent.Say(Type::kRelease, kTask, Cause::kCancelled);
  program->Counted("node_task_ends", 1);
  owner.NothingElse();
  another.NothingElse();
}

TEST_CASE_FIXTURE(Site, "a task outlives connections: after an idle close the agent is dialled again") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  agent.Close();
  agent = first.Accept();
  owner.NothingElse();
  owner.Close();
  program->Counted("client_closes",
                   1);  // no owner is connected when the release comes: the next one to connect hears it
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  program->Counted("completions_queued", 1);
  owner = program->Owner();
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
}

TEST_CASE_FIXTURE(Site, "a process that dies takes its tasks with it: reset, then refused") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  first.Close();
  agent.Reset();
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 41);
}

TEST_CASE_FIXTURE(Site, "a task handed over by its node wants no answer and may be named twice") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe", 1000, ";at:s-00000002");
  Ask(&owner, kTask, "unsafe", 1000, ";at:s-00000002");
  Wire agent = second.Accept();  // a way is opened, so that the end can be heard
  owner.NothingElse();
  agent.Say(Type::kRelease, kTask, Cause::kAborted);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 41);
  owner.NothingElse();
}

TEST_CASE_FIXTURE(Site, "a task whose end its node has said already is over as soon as it is handed over") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kOther, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kOther);
  // Its own cluster manager is gone: the node tells whoever has a connection open.
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  program->Counted("node_replies_unmatched", 1);
  Ask(&owner, kTask, "unsafe", 1000, ";at:s-00000001");
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
  program->Counted("completions_known_before_claim", 1);
}

TEST_CASE_FIXTURE(Site, "nodes are known by uid: one that takes over an address is another") {
  Start();
  Wire feed = bulletin.Accept();
  feed.Bytes();
  feed.Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  const json change = Event(
      2, {Node("s-00000001", first.endpoint(), 10, "terminated"), Node("s-00000003", first.endpoint(), 10)});
  feed.Raw("id: 2\ndata: " + change.dump() + "\n\n");
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 41);
  Ask(&owner, kOther, "unsafe");
  Wire heir = first.Accept();
  heir.Hear(Type::kTaskRequest, kOther);
}

}  // namespace
}  // namespace cluster_manager::story
