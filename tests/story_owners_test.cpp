// Stories of a bulletin that breaks off, of bad owners, of descriptors and memory, and of a planned restart.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "story_site.h"

namespace cluster_manager::story {
namespace {

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
  second.Accept().Hear(Type::kTaskRequest, kTask);
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
  agent.Hear(Type::kTaskRequest, kTask);
  AskAs(&bad, kTask, {.description = "another"});
  CHECK(bad.Hear(Type::kRelease, kTask).cause == 47);
  bad.Say(Type::kRelease, kTask, Cause::kEnded);  // nor can it give up what is not its own
  bad.NothingElse();
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
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
  agent.Hear(Type::kTaskRequest, kTask);
  half.Raw(std::string("\0\x20\1", 3));
  CHECK(half.Closed());
  CHECK(silent.Closed());
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
}

// Guards against closing a connection on which an answer is due, because another message on it is unfinished.
TEST_CASE_FIXTURE(Site, "a request is answered while a later message on its connection arrives slowly") {
  Start();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  std::string later;
  {
    protocol::Writer writer(&later, Type::kTaskRequest, kOther);
    writer.Add(Code::kClass, "safe").Add(Code::kTimeoutMs, "25000").Add(Code::kTenant, "shop one");
    writer.Add(Code::kName, "0b5e").Add(Code::kResources, "cores:1;memory:2;service:0b");
    writer.Add(Code::kDescription, "run");
  }
  SUBCASE("in pieces") {
    constexpr std::size_t kPieces = 10;
    const std::size_t size = later.size() / kPieces + 1;
    for (std::size_t at = 0; at < later.size(); at += size) {
      owner.Raw(std::string_view(later).substr(at, size));
      std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
    program->Counted("requests_received", 2);
    agent.Answer(kTask, "there");
    owner.Hear(Type::kTaskAccepted, kTask);
  }
  SUBCASE("and then no further") {
    owner.Raw(std::string_view(later).substr(0, later.size() / 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    agent.Answer(kTask, "there");
    owner.Hear(Type::kTaskAccepted, kTask);
    CHECK(owner.Closed());
  }
}

TEST_CASE_FIXTURE(Site, "an answer just written survives the close for what came behind it") {
  Start();
  Wire bad = program->Owner();
  std::string bytes;
  protocol::Writer(&bytes, Type::kHealthCheck, kTask).Add(Cause::kHealthCheckFailed);
  bad.Raw(bytes + "\xff\xff" + std::string(60'000, 'x'));  // more than is read in a turn
  bad.Hear(Type::kHealthCheckResult, kTask);
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
  other.Hear(Type::kTaskAccepted, kOther);
  owner.Hear(Type::kTaskAccepted, kTask);
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
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
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
  agent.Hear(Type::kTaskRequest, kTask);
  program->Counted("discovery_events", 1);
  json config = program->config();
  program->Configure("{\"name\":");
  program->Signal(SIGHUP);
  program->Logged("configuration reload failed");
  Port moved;
  config["bulletin"] = moved.endpoint();
  program->Configure(config.dump());
  program->Signal(SIGHUP);
  CHECK(feed.Closed());
  CHECK(moved.Accept().Bytes().find("Last-Event-ID: 2\r\n") != std::string::npos);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
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
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
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
  agent.Hear(Type::kTaskRequest, kTask);
  program->Signal(SIGTERM);
  program->Logged("stopping");
  Wire late = program->Owner();
  Ask(&late, kOther, "unsafe");
  Wire another = first.Accept();
  another.Hear(Type::kTaskRequest, kOther);
  another.Answer(kOther, "there");
  late.Hear(Type::kTaskAccepted, kOther);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  CHECK(program->Logged("counter requests_received ") == "2");
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
    protocol::Writer(&together[line], Type::kTaskAccepted, id).Add(Code::kDescription, words(id));
  }
  for (const auto& [line, bytes] : together) {
    for (std::size_t at = 0; at < bytes.size(); at += 9'973) lines[line].Raw(bytes.substr(at, 9'973));
  }
  for (TaskId i = 0; i < kMany; ++i) {
    const Heard heard = owner.Hear();
    CHECK(heard.type == Type::kTaskAccepted);
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
      CHECK(heard.type == Type::kTaskRequest);
      CHECK((heard.description == words(heard.task)));
      CHECK(seen.insert(heard.task).second);
    }
  }
}

}  // namespace
}  // namespace cluster_manager::story
