// Stories of several small troubles at once, each of which is met alone elsewhere.
#include "story_site.h"

namespace cluster_manager::story {
namespace {

TEST_CASE_FIXTURE(Site, "a watch silent once, a dial that comes up a second late, an answer said twice") {
  json settings = Settings();
  settings["Allowed"]["DialTimeout"] = 8'000'000'000;  // longer than the kernel takes to dial again
  Start(settings);
  Wire owner = program->Owner();
  owner.NothingElse();
  // The watch is there and says nothing: it is given up, and taken up again where it was.
  Wire silent = bulletin.Accept();
  CHECK(silent.Bytes().find("Last-Event-ID: 1\r\n") != std::string::npos);
  first.Clog();
  Ask(&owner, kTask, "unsafe");
  program->Counted("node_dials", 1);
  Wire feed = bulletin.Accept();
  CHECK(feed.Bytes().find("Last-Event-ID: 1\r\n") != std::string::npos);
  first.Unclog();
  // The set-up waited for its connection, and went nowhere else meanwhile.
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  CHECK_FALSE(second.Dialled());
  agent.Answer(kTask, "there");
  CHECK(owner.Hear(Type::kTaskAccepted, kTask).description == "there");
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  agent.Answer(kTask, "there again");
  program->Counted("node_replies_unmatched", 1);
  owner.NothingElse();
  // What the list tells on the new watch holds, and the task is as any other.
  feed.Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 2\ndata: " +
           Event(2, json::array({Node("s-00000001", first.endpoint(), 10, "terminating")})).dump() + "\n\n");
  program->Counted("discovery_events", 1);
  Ask(&owner, kOther, "unsafe");
  Wire next = second.Accept();
  next.Hear(Type::kTaskRequest, kOther);
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
}

}  // namespace
}  // namespace cluster_manager::story
