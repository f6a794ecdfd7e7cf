// Stories over loopback: the real program among scripted owners, agents and a bulletin, one for each failure
// met or guarded against. Most tasks are unsafe, so that no time-out moves them on where a machine is slow.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <atomic>
#include <map>
#include <set>
#include <vector>

#include "story_site.h"

namespace willowrail::story {
namespace {

TEST_CASE_FIXTURE(Site, "a task is passed on unchanged, stands, and is released when it ends") {
  Start();
  Wire owner = program->Owner();
  owner.Say(Type::kTest, 1, Cause::kTestFailed);
  CHECK(owner.Hear(Type::kTestResult, 1).cause == 1);
  Ask(&owner, kTask, "keyed");
  Wire agent = first.Accept();
  const Heard offer = agent.Hear(Type::kSetUp, kTask);
  CHECK(offer.class_name == "keyed");
  CHECK(offer.name == "7f3a9c21e0b4d65c");
  CHECK(offer.key == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
  CHECK(offer.description == std::string("run\0this", 8));
  CHECK(std::stoi(offer.wait) > 0);
  CHECK(std::stoi(offer.wait) <= 25'000);
  agent.Answer(kTask, std::string("up\0here", 7));
  CHECK(owner.Hear(Type::kAnswer, kTask).description == std::string("up\0here", 7));
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
}

TEST_CASE_FIXTURE(Site, "a task that ends while it is being started is over, not tried elsewhere") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "safe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
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
  agent.Hear(Type::kSetUp, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kAnswer, kTask);
}

TEST_CASE_FIXTURE(Site, "a connection that ends before the answer proves nothing: an unsafe task fails") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
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
  agent.Hear(Type::kSetUp, kTask);
  agent.Say(Type::kRelease, kTask, [](proto::Writer& w) {
    w.Add(Cause::kFull).Add(Code::kNote, "busy").Add(Code::kReport, "x0:1;x1:2;queue:9");
  });
  Wire next = second.Accept();
  next.Hear(Type::kSetUp, kTask);
  agent.Answer(kTask, "late");
  program->Counted("agent_stray", 1);  // its answer has been read by now
  next.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kAnswer, kTask).description == "there");
  owner.NothingElse();
}

TEST_CASE_FIXTURE(Site,
                  "a second copy of an agent's word does not end the attempt that the first brought about") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  std::string moot;
  proto::Writer(&moot, Type::kRelease, kTask).Add(Cause::kMoot);
  agent.Raw(moot + moot);
  agent.Hear(Type::kSetUp, kTask);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kAnswer, kTask).description == "there");
  program->Counted("offers_sent", 2);
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
  CHECK(owner.Hear(Type::kAnswer, kept).description == "there");
}

TEST_CASE_FIXTURE(Site, "a dial that never comes up sends its set-up elsewhere, not on a silent connection") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  first.Clog();
  Ask(&owner, kOther, "unsafe");
  Wire next = second.Accept();
  next.Hear(Type::kSetUp, kOther);
  next.Answer(kOther, "there");
  CHECK(owner.Hear(Type::kAnswer, kOther).description == "there");
}

TEST_CASE_FIXTURE(Site, "a spoilt answer ends its attempt at once and is nobody's answer") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  std::string answer;
  proto::Writer(&answer, Type::kAnswer, kTask).Add(Code::kDescription, "there");
  SUBCASE("it stops short") { agent.Raw(answer.substr(0, answer.size() - 2)); }
  SUBCASE("it claims more than comes") { agent.Raw("\x0f\xff" + answer.substr(2)); }
  SUBCASE("no description") { agent.Say(Type::kAnswer, kTask); }
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
  program->Counted("bulletin_events", 40);
  for (const char* table : {"listed", "module", "roster", "agents"}) program->Counted(table, 2, "size ");
}

TEST_CASE_FIXTURE(Site, "an attempt is given up on the wire before the next one goes out") {
  json settings = Settings();
  settings["FamilyInfo"]["YesAt"] = "accepted";  // then the module cuts attempts short
  Start(settings);
  Wire owner = program->Owner();
  Ask(&owner, kTask, "safe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  Wire next = second.Accept();
  next.Hear(Type::kSetUp, kTask);
  REQUIRE(agent.Readable());
  CHECK(agent.Hear(Type::kRelease, kTask).cause == 16);
  next.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kAnswer, kTask).description == "there");
}

TEST_CASE_FIXTURE(Site, "what its owner gives up is given up at the agent and owed no answer") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  SUBCASE("by a release") { owner.Say(Type::kRelease, kTask, Cause::kEnded); }
  SUBCASE("by closing") {
    owner.Close();
    owner = program->Owner();
  }
  CHECK(agent.Hear(Type::kRelease, kTask).cause == 16);
  agent.Answer(kTask, "late");
  program->Counted("agent_stray", 1);
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
  agent.Hear(Type::kSetUp, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kAnswer, kTask);
  Wire another = program->Owner();  // any connection does
  another.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(agent.Hear(Type::kRelease, kTask).cause == 31);
  // The cut is told again on a new way, until the agent says that the task is over.
  agent.Close();
  agent = first.Accept();
  agent.Hear(Type::kRelease, kTask);
  agent.Say(Type::kRelease, kTask, Cause::kCancelled);
  program->Counted("agent_releases", 1);
  owner.NothingElse();
  another.NothingElse();
}

TEST_CASE_FIXTURE(Site, "a task outlives connections: after an idle close the agent is dialled again") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kAnswer, kTask);
  agent.Close();
  agent = first.Accept();
  owner.NothingElse();
  owner.Close();
  program->Counted("owner_closed",
                   1);  // no owner is connected when the release comes: the next one to connect hears it
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  program->Counted("releases_held", 1);
  owner = program->Owner();
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
}

TEST_CASE_FIXTURE(Site, "a process that dies takes its tasks with it: reset, then refused") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kAnswer, kTask);
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
  agent.Say(Type::kRelease, kTask, Cause::kReset);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 41);
  owner.NothingElse();
}

TEST_CASE_FIXTURE(Site, "a task whose end its node has said already is over as soon as it is handed over") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kOther, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kOther);
  // Its own cluster manager is gone: the node tells whoever has a connection open.
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  program->Counted("agent_stray", 1);
  Ask(&owner, kTask, "unsafe", 1000, ";at:s-00000001");
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
  program->Counted("ends_known_before", 1);
}

TEST_CASE_FIXTURE(Site, "nodes are known by uid: one that takes over an address is another") {
  Start();
  Wire feed = bulletin.Accept();
  feed.Bytes();
  feed.Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kAnswer, kTask);
  const json change = Event(
      2, {Node("s-00000001", first.endpoint(), 10, "terminated"), Node("s-00000003", first.endpoint(), 10)});
  feed.Raw("id: 2\ndata: " + change.dump() + "\n\n");
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 41);
  Ask(&owner, kOther, "unsafe");
  Wire heir = first.Accept();
  heir.Hear(Type::kSetUp, kOther);
}

TEST_CASE_FIXTURE(Site, "a broken bulletin is taken up where it broke off, silence counts as a break") {
  Start();
  Wire feed = bulletin.Accept();
  CHECK(feed.Bytes().find("GET /bulletins HTTP/1.1\r\n") == 0);
  const std::string event =
      Event(2, json::array({Node("s-00000001", first.endpoint(), 10, "terminating")})).dump();
  // Chunked, and an event in pieces: nothing depends on how the bytes are cut.
  feed.Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (const std::string& piece : {"id: 2\ndata: " + event.substr(0, 20), event.substr(20) + "\n\n"}) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    feed.Raw(size + piece + "\r\n");
  }
  SUBCASE("broken") { feed.Close(); }
  SUBCASE("silent") {}
  Wire again = bulletin.Accept();
  CHECK(again.Bytes().find("Last-Event-ID: 2\r\n") != std::string::npos);
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");  // what was told still holds: the first node drains
  second.Accept().Hear(Type::kSetUp, kTask);
}

TEST_CASE_FIXTURE(Site, "what is malformed closes its own connection and nothing else") {
  Start();
  Wire owner = program->Owner(), bad = program->Owner();
  SUBCASE("shorter than a message") { bad.Raw(std::string("\0\3\1xx", 5)); }
  SUBCASE("longer than any message") { bad.Raw("\xff\xff"); }
  SUBCASE("a parameter past the end") {
    bad.Raw(
        std::string("\0\x0d\1"
                    "12345678"
                    "\x64\0\x09z",
                    15));
  }
  SUBCASE("one id for two requests") {
    AskAs(&bad, kOther, {.name = "0a"});
    AskAs(&bad, kOther, {.name = "0b"});
  }
  CHECK(bad.Closed());
  owner.NothingElse();
}

TEST_CASE_FIXTURE(Site, "a set-up that nobody could serve is answered with an error and reaches no agent") {
  Start();
  Wire owner = program->Owner();
  const auto rejected = [&owner](TaskId id, const Asked& asked) {
    CAPTURE(asked.class_name + "|" + asked.wait + "|" + asked.tenant + "|" + asked.name + "|" +
            asked.figures);
    AskAs(&owner, id, asked);
    CHECK(owner.Hear(Type::kRelease, id).cause == 47);
  };
  rejected(0, {});
  rejected(kTask, {.class_name = "unheard of"});
  rejected(kTask, {.class_name = "keyed"});  // and no key
  rejected(kTask, {.tenant = "nobody"});
  rejected(kTask, {.name = ""});
  rejected(kTask, {.name = "not hex"});
  rejected(kTask, {.description = ""});
  for (const char* wait : {"", "0", "-5", "99999999999", "soon"}) rejected(kTask, {.wait = wait});
  for (const char* figures :
       {"", "x", "home:1", "cores:1;memory:2", "cores:nan;memory:2;service:0b",
        "cores:-1;memory:2;service:0b", "cores:0;memory:2;service:0b", "cores:11;memory:2;service:0b",
        "cores:1;memory:1e12;service:0b", "cores:1;memory:2;service:0b;at:s-0000dead"}) {
    rejected(kTask, {.figures = figures});
  }
  owner.NothingElse();
  CHECK_FALSE(first.Dialled());
}

TEST_CASE_FIXTURE(Site, "an id in use keeps its own answer, whoever else names it") {
  Start();
  Wire owner = program->Owner(), bad = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  AskAs(&bad, kTask, {.description = "another"});
  CHECK(bad.Hear(Type::kRelease, kTask).cause == 47);
  bad.Say(Type::kRelease, kTask, Cause::kEnded);  // nor can it give up what is not its own
  bad.NothingElse();
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kAnswer, kTask).description == "there");
  Ask(&bad, kTask, "unsafe");  // it stands already
  CHECK(bad.Hear(Type::kRelease, kTask).cause == 47);
  bad.Say(Type::kRelease, kOther, Cause::kEnded);
  agent.Say(Type::kRelease, kTask, Cause::kEnded);  // its end goes where something was served
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
  bad.NothingElse();
}

TEST_CASE_FIXTURE(Site, "who says nothing, or half a message, is closed in time, and nobody else") {
  Start();
  Wire owner = program->Owner(), silent = program->Owner(), half = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  half.Raw(std::string("\0\x20\1", 3));
  CHECK(half.Closed());
  CHECK(silent.Closed());
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kAnswer, kTask).description == "there");
}

TEST_CASE_FIXTURE(Site, "an answer just written survives the close for what came behind it") {
  Start();
  Wire bad = program->Owner();
  std::string bytes;
  proto::Writer(&bytes, Type::kTest, kTask).Add(Cause::kTestFailed);
  bad.Raw(bytes + "\xff\xff" + std::string(60'000, 'x'));  // more than is read in a turn
  bad.Hear(Type::kTestResult, kTask);
  CHECK(bad.Closed());
}

TEST_CASE_FIXTURE(Site, "a release that crosses its owner's close is sent again on another way") {
  Start();
  Wire owner = program->Owner(), other = program->Owner();
  for (const auto& [wire, id] : {std::pair(&other, kOther), std::pair(&owner, kTask)}) {
    Ask(wire, id, "unsafe");
  }
  Wire agent = first.Accept(), another = first.Accept();
  for (Wire* wire : {&agent, &another}) wire->Answer(wire->Hear().task, "there");
  other.Hear(Type::kAnswer, kOther);
  owner.Hear(Type::kAnswer, kTask);
  owner.NothingElse();  // the last heard of: its release is due here
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  REQUIRE(owner.Readable(kLimitMs));
  owner.Reset();  // unread
  CHECK(other.Hear(Type::kRelease, kTask).cause == 16);
}

TEST_CASE_FIXTURE(Site, "connections that say nothing take no descriptor from those who need one") {
  Start(Settings(), 40);
  std::vector<Wire> silent;
  for (int i = 0; i < 60; ++i) silent.push_back(program->Owner());
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kAnswer, kTask).description == "there");
  CHECK(silent.front().Closed());
}

TEST_CASE_FIXTURE(Site,
                  "SIGHUP moves the reader of the bulletin on, from the last event, and loses nothing") {
  Start();
  Wire feed = bulletin.Accept();
  feed.Bytes();
  feed.Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
  feed.Raw("id: 2\ndata: " + Event(2, json::array({Node("s-00000002", second.endpoint(), 4)})).dump() +
           "\n\n");
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  program->Counted("bulletin_events", 1);
  json config = program->config();
  program->Configure("{\"name\":");
  program->Signal(SIGHUP);
  program->Logged("configuration not read again");
  Port moved;
  config["bulletin"] = moved.endpoint();
  program->Configure(config.dump());
  program->Signal(SIGHUP);
  CHECK(feed.Closed());
  CHECK(moved.Accept().Bytes().find("Last-Event-ID: 2\r\n") != std::string::npos);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kAnswer, kTask).description == "there");
}

TEST_CASE_FIXTURE(Site, "a connection whose set-up has arrived is not the one that makes room for others") {
  Start(Settings(), 40);
  Wire owner = program->Owner();
  owner.NothingElse();
  std::vector<Wire> others;
  for (int i = 0; i < 24; ++i) {  // all that owners may hold; the first has been idle for longest
    others.push_back(program->Owner());
    others.back().NothingElse();
  }
  program->Signal(SIGSTOP);
  Ask(&owner, kTask, "unsafe");
  for (int i = 0; i < 3; ++i) others.push_back(program->Owner());
  program->Signal(SIGCONT);
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kAnswer, kTask).description == "there");
}

TEST_CASE_FIXTURE(Site, "running out of descriptors delays owners and loses none") {
  Start(Settings(), 24, 1024);
  std::vector<Wire> owners;
  for (int i = 0; i < 40; ++i) owners.push_back(program->Owner());
  program->Logged("accept: ");
  for (int i = 0; i < 30; ++i) owners[static_cast<std::size_t>(i)].Close();
  owners.back().NothingElse();
}

TEST_CASE_FIXTURE(Site, "after SIGTERM what still arrives is served, all is settled, and the exit is 0") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  program->Signal(SIGTERM);
  program->Logged("stopping");
  Wire late = program->Owner();
  Ask(&late, kOther, "unsafe");
  Wire another = first.Accept();
  another.Hear(Type::kSetUp, kOther);
  another.Answer(kOther, "there");
  late.Hear(Type::kAnswer, kOther);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kAnswer, kTask);
  CHECK(program->Logged("counter setups_taken ") == "2");
  CHECK(program->ExitStatus() == 0);
  CHECK(agent.Closed());  // and was told of no cut: tasks that stand live on
}

TEST_CASE_FIXTURE(
    Site, "an answer larger than what is read at once comes to its owner whole, and so do those behind it") {
  Start();
  Wire owner = program->Owner();
  constexpr TaskId kMany = 6;
  for (TaskId id = 1; id <= kMany; ++id) Ask(&owner, id, "unsafe");
  // Set-ups go on up to four connections; each answer comes back on that of its own.
  std::vector<Wire> lines;
  std::map<TaskId, std::size_t> way;
  while (way.size() < kMany) {
    for (Port* port : {&first, &second}) {
      if (port->Dialled()) lines.push_back(port->Accept());
    }
    for (std::size_t i = 0; i < lines.size(); ++i) {
      while (lines[i].Speaks(5)) way[lines[i].Hear().task] = i;
    }
  }
  std::map<std::size_t, std::string> together;
  const auto words = [](TaskId id) { return std::string(16'000, static_cast<char>('a' + id)); };
  for (const auto& [id, line] : way) {
    proto::Writer(&together[line], Type::kAnswer, id).Add(Code::kDescription, words(id));
  }
  for (const auto& [line, bytes] : together) {
    for (std::size_t at = 0; at < bytes.size(); at += 9'973) lines[line].Raw(bytes.substr(at, 9'973));
  }
  for (TaskId i = 0; i < kMany; ++i) {
    const Heard heard = owner.Hear();
    CHECK(heard.type == Type::kAnswer);
    CHECK((heard.description == words(heard.task)));  // no need to see it
    way.erase(heard.task);
  }
  CHECK(way.empty());
}

TEST_CASE_FIXTURE(Site, "a node that reads slowly gets each set-up whole, however its writes break off") {
  first.Narrow();
  Start();
  Wire owner = program->Owner();
  constexpr TaskId kMany = 60;
  const auto words = [](TaskId id) { return std::string(12'000, static_cast<char>('A' + id % 26)); };
  for (TaskId id = 1; id <= kMany; ++id) {
    Asked a{"unsafe", "25000", "shop one", "0b5e"};
    a.figures = "cores:0.1;memory:0.1;service:0b";
    a.description = words(id);
    AskAs(&owner, id, a);
  }
  std::vector<Wire> lines;
  std::set<TaskId> seen;
  while (seen.size() < kMany) {
    for (Port* port : {&first, &second}) {
      if (port->Dialled()) lines.push_back(port->Accept());
    }
    for (Wire& line : lines) {
      if (!line.Speaks(2)) continue;
      const Heard heard = line.Hear();  // in pieces, as they come
      CHECK(heard.type == Type::kSetUp);
      CHECK((heard.description == words(heard.task)));
      CHECK(seen.insert(heard.task).second);
    }
  }
}

// A node of which the list says that it leaves; `feed` is where the list is told, from number 3 on.
struct LeavingSite : Site {
  std::optional<Wire> owner, agent, other, feed;

  void Leave() {
    Start();
    feed.emplace(bulletin.Accept());
    feed->Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
    owner.emplace(program->Owner());
    Ask(&*owner, kTask, "unsafe");
    agent.emplace(first.Accept());
    agent->Hear(Type::kSetUp, kTask);
    agent->Answer(kTask, "there");
    owner->Hear(Type::kAnswer, kTask);
    Tell(2, "terminating");
    program->Counted("bulletin_events", 1);
    // What is open keeps its connection from being closed as idle.
    Ask(&*owner, kOther, "unsafe");
    other.emplace(second.Accept());
    other->Hear(Type::kSetUp, kOther);
  }
  void Tell(int number, const std::string& state) {
    feed->Raw("id: 9\ndata: " +
              Event(number, json::array({Node("s-00000001", first.endpoint(), 10, state)})).dump() + "\n\n");
  }
  // The list says nothing more but that it is there: in the background, until told to stop.
  void Beat(std::atomic<bool>* stop) {
    while (!*stop) {
      feed->Raw(": here\n\n");
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
  }
};

TEST_CASE_FIXTURE(LeavingSite, "the end of a task on a leaving node that falls silent is told in time") {
  Leave();
  std::atomic<bool> stop = false;
  std::thread beat([&] { Beat(&stop); });
  const auto from = std::chrono::steady_clock::now();
  SUBCASE("its process has died, no reset came: the dial that follows a silent test is refused") {
    first.Close();
    CHECK(owner->Hear(Type::kRelease, kTask).cause == 41);
  }
  SUBCASE("its machine is off: tests and dials come to nothing") {
    first.Clog();
    CHECK(owner->Hear(Type::kRelease, kTask).cause == 41);
    program->Counted("tasks_presumed_over", 1);
    // It was cut off after all: what its owner was told is made true.
    agent->Answer(kOther, "noise");
    const auto cut = [&] {
      Heard heard = agent->Hear();
      while (heard.type == Type::kTest) heard = agent->Hear();
      return heard;
    }();
    CHECK(cut.type == Type::kRelease);
    CHECK(cut.task == kTask);
    CHECK(cut.cause == 31);
  }
  CHECK(std::chrono::steady_clock::now() - from < std::chrono::seconds(9));
  stop = true;
  beat.join();
}

TEST_CASE_FIXTURE(LeavingSite, "a leaving node that has closed its door and still speaks keeps its tasks") {
  Leave();
  Tell(3, "in_service");
  program->Counted("bulletin_events", 2);
  Ask(&*owner, 3, "unsafe");
  agent->Hear(Type::kSetUp, 3);
  Ask(&*owner, 4, "unsafe");
  Wire beside = first.Accept();
  beside.Hear(Type::kSetUp, 4);
  agent->Answer(3, "there");
  owner->Hear(Type::kAnswer, 3);
  beside.Answer(4, "there");
  owner->Hear(Type::kAnswer, 4);
  Tell(4, "terminating");
  program->Counted("bulletin_events", 3);
  // A reset may be the sign of a death, and the dials that follow are refused: the old connection is asked.
  first.Close();
  beside.Reset();
  for (int round = 0; round < 3; ++round) {
    program->Logged("dial refused");
    const Heard test = agent->Hear();
    REQUIRE(test.type == Type::kTest);
    agent->Say(Type::kTestResult, test.task, Cause::kTestPassed);
  }
  owner->NothingElse();
  agent->Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner->Hear(Type::kRelease, kTask).cause == 16);
}

TEST_CASE_FIXTURE(Site, "an end told to an owner that was never served is owed until somebody confirms it") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kAnswer, kTask);
  owner.Close();
  program->Counted("owner_closed", 1);
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  program->Counted("releases_held", 1);
  // It comes back, and only with what is refused: the end goes there in the end, and it does not say a word.
  Wire bad = program->Owner();
  Ask(&bad, kOther, "no such class");
  bad.Hear(Type::kRelease, kOther);
  bad.Hear(Type::kRelease, kTask);
  bad.Hear(Type::kRelease, kTask);  // and again, for want of any other
  bad.Close();
  program->Counted("owner_closed", 2);
  program->Counted("owed_ends", 1, "size ");
  // Nobody else is there: it stays owed, and goes to the next that comes, who confirms it.
  Wire next = program->Owner();
  next.Say(Type::kTest, 1, Cause::kTestFailed);
  // The two come in any order: what is owed waits for no test.
  const Heard one = next.Hear(), two = next.Hear();
  CHECK((one.type == Type::kTestResult) != (two.type == Type::kTestResult));
  const Heard& end = one.type == Type::kRelease ? one : two;
  CHECK(end.type == Type::kRelease);
  CHECK(end.task == kTask);
  CHECK(end.cause == 16);
  next.Say(Type::kReleaseHeard, kTask);
  program->Counted("owed_ends", 0, "size ");
}

TEST_CASE_FIXTURE(Site, "an end that comes while SIGTERM is being served still reaches its owner") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kSetUp, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kAnswer, kTask);
  Ask(&owner, kOther, "unsafe");
  agent.Hear(Type::kSetUp, kOther);
  program->Signal(SIGTERM);
  program->Logged("stopping");
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
  agent.Answer(kOther, "there");
  owner.Hear(Type::kAnswer, kOther);
  CHECK(program->ExitStatus() == 0);
}

TEST_CASE_FIXTURE(LeavingSite, "a task taken for over and then handed over again is no longer cut") {
  Leave();
  std::atomic<bool> stop = false;
  std::thread beat([&] { Beat(&stop); });
  first.Clog();
  CHECK(owner->Hear(Type::kRelease, kTask).cause == 41);
  stop = true;
  beat.join();
  // Its owner knows better: the task stands there, and is looked after from now on.
  Ask(&*owner, kTask, "unsafe", 25'000, ";at:s-00000001");
  owner->NothingElse();
  agent->Answer(kOther, "noise");  // the node is heard again
  agent->Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner->Hear(Type::kRelease, kTask).cause == 16);
  while (agent->Speaks(0)) CHECK(agent->Hear().type != Type::kRelease);
}

// An owner that has asked for much and does not read what it is answered, and another that confirms ends.
struct SlowOwner : Site {
  static constexpr TaskId kLast = 1'000;
  const std::string words = std::string(15'000, 'w');
  std::optional<Wire> slow, other;
  std::vector<Wire> lines;

  // `count` answers, among the first of them one to kLast, whose end its node tells behind `before` of them.
  void Fill(TaskId count, TaskId before) {
    Start();
    slow.emplace(program->Owner());
    other.emplace(program->Owner());
    slow->Narrow();
    Ask(&*other, kOther, "unsafe");
    for (TaskId id = kLast - count + 1; id <= kLast; ++id) {
      Asked a{"unsafe", "25000", "shop one", "0b5e"};
      a.figures = "cores:0.01;memory:0.01;service:0b";
      AskAs(&*slow, id, a);
    }
    std::map<TaskId, std::size_t> way;
    const Patience patience;
    while (way.size() <= count) {
      patience.Check();
      for (Port* port : {&first, &second}) {
        if (port->Dialled()) lines.push_back(port->Accept());
      }
      for (std::size_t i = 0; i < lines.size(); ++i) {
        while (lines[i].Speaks(1)) {
          const Heard offer = lines[i].Hear();
          if (offer.type == Type::kSetUp) way[offer.task] = i;
        }
      }
    }
    const auto answer = [&](TaskId task) { lines[way[task]].Answer(task, words); };
    answer(kOther);
    lines[way[kOther]].Say(Type::kRelease, kOther, Cause::kEnded);
    other->Hear(Type::kAnswer, kOther);
    other->Hear(Type::kRelease, kOther);
    other->Say(Type::kReleaseHeard, kOther);
    answer(kLast);
    for (TaskId id = kLast - before + 1; id < kLast; ++id) answer(id);
    program->Counted("answers_sent", static_cast<int>(before) + 1);
    lines[way[kLast]].Say(Type::kRelease, kLast, Cause::kEnded);
    program->Counted("releases_sent", 2);
    for (TaskId id = kLast - count + 1; id <= kLast - before; ++id) answer(id);
    // Longer than an owner that reads needs: whoever takes the end for read by now has forgotten it.
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  }
};

TEST_CASE_FIXTURE(SlowOwner,
                  "an end behind a write queue that nobody reads goes out once its way has ended") {
  SUBCASE("the queue is within its bound, and its reader dies") {
    Fill(60, 60);
    other->NothingElse();
    slow->Reset();
  }
  SUBCASE("the queue outgrows its bound: its connection is closed") { Fill(500, 60); }
  CHECK(other->Hear(Type::kRelease, kLast).cause == 16);
  other->Say(Type::kReleaseHeard, kLast);
  program->Counted("owed_ends", 0, "size ");
}

TEST_CASE_FIXTURE(SlowOwner, "an end behind a write queue that is read late comes after all answers") {
  constexpr TaskId kMany = 60;
  Fill(kMany, kMany);
  for (TaskId answers = 0; answers < kMany; ++answers) {
    const Heard heard = slow->Hear();
    REQUIRE(heard.type == Type::kAnswer);
    CHECK((heard.description == words));
  }
  CHECK(slow->Hear(Type::kRelease, kLast).cause == 16);
  other->NothingElse();
}

TEST_CASE_FIXTURE(Site, "hundreds of owners reset at once: the next one served is told every end") {
  Start(Settings(), 1024);
  constexpr TaskId kMany = 240;
  std::vector<Wire> owners, lines;
  std::map<TaskId, std::size_t> way;
  const auto hear_nodes = [&] {
    for (Port* port : {&first, &second}) {
      if (port->Dialled()) lines.push_back(port->Accept());
    }
    for (std::size_t i = 0; i < lines.size(); ++i) {
      while (lines[i].Speaks(1)) {
        const Heard offer = lines[i].Hear();
        if (offer.type != Type::kSetUp) continue;
        lines[i].Answer(offer.task, "there");
        way[offer.task] = i;
      }
    }
  };
  for (TaskId id = 1; id <= kMany; ++id) {
    owners.push_back(program->Owner());
    Asked a{"unsafe", "25000", "shop one", "0b5e"};
    a.figures = "cores:0.01;memory:0.01;service:" + std::to_string(id % 9 + 1);
    AskAs(&owners.back(), id, a);
  }
  const Patience patience;
  while (way.size() < kMany) {
    patience.Check();
    hear_nodes();
  }
  for (TaskId id = 1; id <= kMany; ++id) owners[id - 1].Hear(Type::kAnswer, id);
  // Half of the ends are on their way to owners that never read them, half come when no owner is left.
  for (TaskId id = 1; id <= kMany / 2; ++id) lines[way[id]].Say(Type::kRelease, id, Cause::kEnded);
  for (TaskId id = 1; id <= kMany / 2; ++id) REQUIRE(owners[id - 1].Readable(kLimitMs));
  for (Wire& owner : owners) owner.Reset();
  program->Counted("owners", 0, "size ");
  for (TaskId id = kMany / 2 + 1; id <= kMany; ++id) lines[way[id]].Say(Type::kRelease, id, Cause::kEnded);
  program->Counted("owed_ends", kMany, "size ");
  // They did not go from one dying owner to the next: each again once or twice, not hundreds of times.
  program->Signal(SIGUSR1);
  CHECK(std::stoi(program->Logged("counter releases_sent_again ")) <= 3 * static_cast<int>(kMany));
  Wire next = program->Owner();
  Ask(&next, kTask, "unsafe");
  while (!way.contains(kTask)) {
    patience.Check();
    hear_nodes();
  }
  std::set<TaskId> told;
  while (told.size() < kMany) {
    patience.Check();
    const Heard heard = next.Hear();
    if (heard.type != Type::kRelease) continue;
    CHECK(heard.cause == 16);
    told.insert(heard.task);
    next.Say(Type::kReleaseHeard, heard.task);
  }
  program->Counted("owed_ends", 0, "size ");
}

TEST_CASE_FIXTURE(LeavingSite,
                  "a node replaced at its address by another uid: what stood there has ended, and is told") {
  Leave();
  feed->Raw("id: 9\ndata: " +
            Event(3, json::array({Node("s-00000001", first.endpoint(), 10, "terminated"),
                                  Node("s-00000003", first.endpoint(), 10)}))
                .dump() +
            "\n\n");
  CHECK(owner->Hear(Type::kRelease, kTask).cause == 41);
  // The old connection is no way to the new node, nor its word about the old task one of its own.
  agent->Say(Type::kRelease, kTask, Cause::kEnded);
  owner->NothingElse();
}

TEST_CASE_FIXTURE(Site, "once the load has gone every table is as at the start") {
  Start();
  program->Owner().NothingElse();  // it is at work: a signal before that would end it
  program->Counted("roster", 2, "size ");
  {
    Wire owner = program->Owner();
    std::vector<Wire> lines;
    std::map<TaskId, std::size_t> way;
    constexpr TaskId kMany = 200;
    for (TaskId id = 1; id <= kMany; ++id) {
      Asked a{"unsafe", "25000", "shop one", "0b5e"};
      a.figures = "cores:0.01;memory:0.01;service:" + std::to_string(id % 9 + 1);
      AskAs(&owner, id, a);
    }
    std::size_t ended = 0;
    while (ended < kMany) {
      for (Port* port : {&first, &second}) {
        if (port->Dialled()) lines.push_back(port->Accept());
      }
      for (Wire& line : lines) {
        while (line.Speaks(1)) {
          const Heard heard = line.Hear();
          if (heard.type != Type::kSetUp) continue;
          line.Answer(heard.task, "up");
          line.Say(Type::kRelease, heard.task, Cause::kEnded);
          ++ended;
        }
      }
    }
    for (TaskId i = 0; i < 2 * kMany; ++i) owner.Hear();
    program->Counted("owed", 0, "size ");
  }
  for (const char* table : {"standing", "owners", "agent_open", "blocks"})
    program->Counted(table, 0, "size ");
  program->Counted("listed", 2, "size ");
  program->Counted("roster", 2, "size ");
}

TEST_CASE_FIXTURE(Site, "counters are printed on request") {
  Start();
  program->Owner().NothingElse();
  program->Signal(SIGUSR1);
  CHECK(program->Logged("counter tests_answered ") == "1");
}

}  // namespace
}  // namespace willowrail::story
