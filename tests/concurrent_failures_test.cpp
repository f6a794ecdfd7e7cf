// Tests several small failures at the same time, each of which is covered alone elsewhere.
#include "story_site.h"

namespace cluster_manager::story {
namespace {

TEST_CASE_FIXTURE(Site,
                  "a silent discovery stream with a connection delayed by a second and a repeated answer") {
  json settings = Settings();
  settings["Allowed"]["DialTimeout"] =
      8'000'000'000;  // longer than the SYN retransmission interval of the kernel
  Start(settings);
  Wire client = program->Owner();
  client.NothingElse();
  // The discovery stream is accepted but stays silent: it is closed, and resumed at the last event id.
  Wire silent_stream = bulletin.Accept();
  CHECK(silent_stream.Bytes().find("Last-Event-ID: 1\r\n") != std::string::npos);
  first.Clog();
  Ask(&client, kTask, "unsafe");
  program->Counted("node_dials", 1);
  Wire new_stream = bulletin.Accept();
  CHECK(new_stream.Bytes().find("Last-Event-ID: 1\r\n") != std::string::npos);
  first.Unclog();
  // The attempt waited for its connection, and no other node was tried meanwhile.
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  CHECK_FALSE(second.Dialled());
  node.Answer(kTask, "there");
  CHECK(client.Hear(Type::kTaskAccepted, kTask).description == "there");
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  node.Answer(kTask, "there again");
  program->Counted("node_replies_unmatched", 1);
  client.NothingElse();
  // Events on the new stream apply, and the accepted task is handled as usual.
  new_stream.Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 2\ndata: " +
                 Event(2, json::array({Node("s-00000001", first.endpoint(), 10, "terminating")})).dump() +
                 "\n\n");
  program->Counted("discovery_events", 1);
  Ask(&client, kOther, "unsafe");
  Wire second_node = second.Accept();
  second_node.Hear(Type::kTaskRequest, kOther);
  node.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(client.Hear(Type::kRelease, kTask).cause == 16);
}

}  // namespace
}  // namespace cluster_manager::story
