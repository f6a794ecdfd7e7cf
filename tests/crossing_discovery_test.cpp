// Faults of the discovery stream: gaps, events and entries with invalid values, silent and stalled streams,
// and old events after a new request.
#include "crossing_discovery.h"

namespace cluster_manager::story {
namespace {

TEST_CASE_FIXTURE(DiscoveryFixture,
                  "events after a gap are requested again once from the last applied event on") {
  StartAndServeList();
  const json drain_event = Event(2, json::array({FirstNode("terminating")}));
  const json third_event = Event(3, json::array({Node("s-00000003", first.endpoint(), 1)}));
  stream->Raw(EventText(third_event));
  Wire new_stream = AcceptStream(&bulletin, 1);
  CHECK(stream->Closed());
  program->Counted("discovery_events", 0);
  SUBCASE("discovery has the missing events") {
    new_stream.Raw(EventText(drain_event) + EventText(third_event));
    program->Counted("discovery_events", 2);
    program->Counted("discovery_gaps", 0);
    ExpectTaskAt(kTask, &second);
  }
  SUBCASE("discovery does not have them: later events are applied from the same stream") {
    new_stream.Raw(EventText(third_event) + EventText(Event(4, json::array({FirstNode("terminating")}))));
    program->Counted("discovery_events", 2);
    program->Counted("discovery_gaps", 1);
    ExpectTaskAt(kTask, &second);
  }
  program->Counted("discovery_retries", 1);
  program->Counted("discovery_disconnects", 0);
  program->Counted("roster", 3, "size ");
}

// Guards against closing a live stream after a pause of the process that is longer than the silence time-out:
// timers run before sockets are read, and the time-out did not check for bytes that had arrived meanwhile. It
// showed as `counter discovery_silent 5` with `counter discovery_events 0`.
TEST_CASE_FIXTURE(DiscoveryFixture,
                  "a stream that sent bytes while the process was paused is not closed as silent") {
  StartAndServeList();
  program->Pause();
  stream->Raw(EventText(Event(2, json::array({FirstNode("terminating")}))));
  std::this_thread::sleep_for(std::chrono::milliseconds(1700));
  program->Resume();
  program->Counted("discovery_events", 1);
  CHECK(program->Statistic("discovery_silent") == "0");
  ExpectTaskAt(kTask, &second);
}

TEST_CASE_FIXTURE(DiscoveryFixture,
                  "a stream that omits every second event is not requested again for each gap") {
  StartAndServeList();
  const auto odd_events = [this](int from) {
    std::string text;
    for (int i = from; i < 60; i += 2) {
      text += EventText(Event(i, json::array({Node("s-000001" + std::to_string(i), first.endpoint())})));
    }
    return text;
  };
  stream->Raw(odd_events(3));
  Wire new_stream = AcceptStream(&bulletin, 1);
  new_stream.Raw(odd_events(3));
  program->Counted("discovery_events", 29);
  program->Counted("discovery_gaps", 29);
  program->Counted("discovery_retries", 1);
}

TEST_CASE_FIXTURE(DiscoveryFixture, "a full list has no gap and events with a lower number change nothing") {
  StartAndServeList();
  stream->Raw(EventText(Event(9, {SecondNode(), Node("s-00000003", first.endpoint(), 1)}, true)));
  program->Counted("discovery_events", 1);
  program->Counted("roster", 2, "size ");
  SUBCASE("a full list") { stream->Raw(EventText(Event(5, {FirstNode(), SecondNode()}, true))); }
  SUBCASE("a change") { stream->Raw(EventText(Event(5, json::array({SecondNode("terminated")})))); }
  stream->Raw(EventText(Event(10, json::array({SecondNode("in_service", 4)}))));
  program->Counted("discovery_events", 2);
  program->Counted("roster", 2, "size ");
  program->Counted("discovery_retries", 0);
  program->Counted("discovery_connects", 1);
}

TEST_CASE_FIXTURE(DiscoveryFixture,
                  "an entry with an invalid value is skipped and the other entries are applied") {
  StartAndServeList();
  json invalid = FirstNode();
  std::string problem;
  SUBCASE("an unknown state") {
    invalid["state"] = "lost";
    problem = "state: \"lost\"; write in_service, terminating or terminated";
  }
  SUBCASE("a state that is not a string") {
    invalid["state"] = 3;
    problem = "state: 3; write in_service, terminating or terminated";
  }
  SUBCASE("no uid") {
    invalid.erase("uid");
    problem = "uid: missing; write a name";
  }
  SUBCASE("an endpoint that is not an address") {
    invalid["endpoint"] = "nowhere";
    problem = "endpoint: \"nowhere\"; write an address and a port";
  }
  SUBCASE("a negative start time") {
    invalid["boot_ms"] = -5;
    problem = "boot_ms: -5; write a Unix time in milliseconds, or 0";
  }
  SUBCASE("free resources that are not numbers") {
    invalid["unasked"] = {"much", nullptr};
    problem = "unasked: [\"much\",null]; write a list of two numbers";
  }
  SUBCASE("free resources without values") {
    invalid["unasked"] = json::array();
    problem = "unasked: []; write a list of two numbers";
  }
  SUBCASE("a negative pod group") {
    invalid["pod_group"] = -1;
    problem = "pod_group: -1; write a whole number";
  }
  SUBCASE("an entry that is not an object") {
    invalid = nullptr;
    problem = "entry: null; write an object";
  }
  const bool has_uid = invalid.is_object() && invalid.contains("uid");
  stream->Raw(EventText(Event(2, {invalid, Node("s-00000003", second.endpoint(), 1)})));
  program->Logged("discovery: event 2: 1 invalid entries are skipped: roster.targets[0]." + problem);
  program->Counted("discovery_entries_invalid", 1);
  program->Counted("discovery_events", 1);
  program->Counted("roster", 3, "size ");
  if (has_uid) {  // a full list does not remove the node either
    stream->Raw(EventText(Event(3, {invalid, SecondNode()}, true)));
    program->Counted("discovery_entries_invalid", 2);
    program->Counted("roster", 2, "size ");
  }
  ExpectTaskAt(kTask, &first);  // with its last known values
  stream->Raw(EventText(Event(4, json::array({FirstNode("terminating")}), true)));
  program->Counted("roster", 1, "size ");
  program->Counted("discovery_connects", 1);
}

TEST_CASE_FIXTURE(DiscoveryFixture, "a task keeps running on a node whose entry in a full list is invalid") {
  StartAndServeList();
  Wire client = program->Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  node.Answer(kTask, "there");
  client.Hear(Type::kTaskAccepted, kTask);
  json invalid = FirstNode();
  SUBCASE("invalid state") { invalid["state"] = "lost"; }
  SUBCASE("invalid uid") { invalid["uid"] = 1; }
  stream->Raw(EventText(Event(2, {invalid, SecondNode()}, true)));
  program->Counted("discovery_events", 1);
  stream->Raw(EventText(Event(3, json::array({SecondNode("in_service", 4)}))));
  program->Counted("discovery_events", 2);
  program->Counted("roster", 2, "size ");
  node.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(client.Hear(Type::kRelease, kTask).cause == 16);
  program->Counted("tasks_lost", 0);
}

TEST_CASE_FIXTURE(DiscoveryFixture, "an invalid event is requested again once and then skipped") {
  StartAndServeList();
  std::string invalid, problem;
  SUBCASE("truncated") {
    invalid = "data: " + Event(2, json::array({FirstNode()})).dump().substr(0, 40) + "\n\n";
    problem = "invalid JSON";
  }
  SUBCASE("invalid number") {
    invalid = EventText({{"no", "two"}, {"roster", {{"targets", json::array()}}}});
    problem = "no: \"two\"; write a whole number above 0";
  }
  SUBCASE("invalid list") {
    invalid = EventText({{"no", 2}, {"roster", {{"targets", "none"}}}});
    problem = "roster.targets: \"none\"; write a list of entries";
  }
  SUBCASE("invalid full-list flag") {
    invalid = EventText({{"no", 2}, {"roster", {{"all", 1}, {"targets", json::array()}}}});
    problem = "roster.all: 1; write true or false";
  }
  SUBCASE("nested too deeply") {
    invalid = "data: " + std::string(1'000'000, '[') + "\n\n";
    problem = "invalid JSON";
  }
  stream->Raw(invalid);
  Wire new_stream = AcceptStream(&bulletin, 1);
  new_stream.Raw(invalid);
  program->Logged("discovery: the event after 1 is skipped: " + problem);
  new_stream.Raw(EventText(Event(3, json::array({FirstNode("terminating")}))));  // on the same stream
  program->Counted("discovery_events", 1);
  program->Counted("discovery_events_invalid", 1);
  program->Counted("discovery_retries", 1);
  program->Counted("discovery_disconnects", 0);
  ExpectTaskAt(kTask, &second);
}

TEST_CASE_FIXTURE(DiscoveryFixture,
                  "a stream without a complete event or comment is closed as stalled and requested again") {
  Start();
  Wire stalled_stream = bulletin.Accept();
  stalled_stream.Bytes();
  CHECK(Passes());
  std::string repeated = "x";
  SUBCASE("half an event") {
    stalled_stream.Raw(std::string(kStreamHead) + ": here\n\nid: 2\ndata: {\"no\":2,\"roster\":{\"rev\":\"");
  }
  SUBCASE("an endless event, line by line") {
    stalled_stream.Raw(std::string(kStreamHead) + ": here\n\n");
    repeated = "data: x\n";
  }
  SUBCASE("fields that are ignored") {
    stalled_stream.Raw(std::string(kStreamHead));
    repeated = "retry: 1\n\n";
  }
  SUBCASE("half a response head") { stalled_stream.Raw("HTTP/1.1 200 OK\r\nX-More: "); }
  SendUntilClosed(&stalled_stream, repeated);
  program->Counted("discovery_stalled", 1);
  Wire new_stream = AcceptStream(&bulletin, 1);
  new_stream.Raw(EventText(Event(2, json::array({FirstNode("terminating")}))));
  program->Counted("discovery_events", 1);
  ExpectTaskAt(kTask, &second);
}

TEST_CASE_FIXTURE(DiscoveryFixture, "a stream that ends while its connection stays up is requested again") {
  Start();
  Wire ending_stream = bulletin.Accept();
  ending_stream.Bytes();
  CHECK(Passes());
  SUBCASE("chunked") {
    ending_stream.Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n: here\n\r\n0\r\n\r\n");
  }
  SUBCASE("with a content length") {
    ending_stream.Raw("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n: here\n");
  }
  program->Logged("discovery: the stream has ended");
  CHECK(ending_stream.Closed());
  AcceptStream(&bulletin, 1);
}

TEST_CASE_FIXTURE(DiscoveryFixture,
                  "a line or an event above the size limit ends the stream and is discarded") {
  Start();
  Wire long_stream = bulletin.Accept();
  long_stream.Bytes();
  CHECK(Passes());
  long_stream.Raw(std::string(kStreamHead) + ": here\n\n");
  constexpr std::size_t kPiece = 64 * 1024, kPieces = 64;  // together the limit
  const std::string piece(kPiece, 'x');
  std::string repeated = piece, last = piece;
  SUBCASE("a line") {
    long_stream.Raw("data: ");
    last.resize(kPiece - 6);
  }
  SUBCASE("lines of an event") {
    repeated = "data: " + piece + "\n";
    last =
        "data: " + piece.substr(0, kPiece - 6 - (kPieces - 2));  // the earlier lines are joined with newlines
  }
  for (std::size_t i = 1; i < kPieces; ++i) long_stream.Raw(repeated);
  long_stream.Raw(last);
  CHECK(Passes());
  program->Counted("discovery_oversized", 0);
  long_stream.Raw("x");
  program->Logged("discovery: an event is too large");
  program->Counted("discovery_oversized", 1);
  AcceptStream(&bulletin, 1);
}

TEST_CASE_FIXTURE(DiscoveryFixture,
                  "the later of two entries of a node applies and a removed node may return") {
  StartAndServeList();
  stream->Raw(EventText(Event(2, {FirstNode("in_service"), FirstNode("terminated")})));
  program->Counted("roster", 1, "size ");
  ExpectTaskAt(kTask, &second);
  stream->Raw(
      EventText(Event(3, {FirstNode("terminated"), FirstNode("in_service", 9), SecondNode("terminating")})));
  program->Counted("roster", 2, "size ");
  ExpectTaskAt(kOther, &first);
  stream->Raw(EventText(Event(4, {FirstNode("terminated"), FirstNode("in_service", 8)})));
  program->Counted("discovery_events", 3);
  program->Counted("roster", 2, "size ");
}

}  // namespace
}  // namespace cluster_manager::story
