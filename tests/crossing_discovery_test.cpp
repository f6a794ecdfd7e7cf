// Stories of a node list whose stream goes wrong: gaps, events and entries with wrong values, streams that
// are there and say nothing, old events after a new call.
#include "crossing_discovery.h"

namespace cluster_manager::story {
namespace {

TEST_CASE_FIXTURE(Watched, "a gap in the numbers is called for again, once, from the last event taken") {
  Watch();
  const json drains = Event(2, json::array({First("terminating")}));
  const json third = Event(3, json::array({Node("s-00000003", first.endpoint(), 1)}));
  stream->Raw(Told(third));
  Wire again = Serve(&bulletin, 1);
  CHECK(stream->Closed());
  program->Counted("discovery_events", 0);
  SUBCASE("the bulletin has what was missing") {
    again.Raw(Told(drains) + Told(third));
    program->Counted("discovery_events", 2);
    program->Counted("discovery_gaps", 0);
    Goes(kTask, &second);
  }
  SUBCASE("it does not have it: what there is counts, on the same stream") {
    again.Raw(Told(third) + Told(Event(4, json::array({First("terminating")}))));
    program->Counted("discovery_events", 2);
    program->Counted("discovery_gaps", 1);
    Goes(kTask, &second);
  }
  program->Counted("discovery_retries", 1);
  program->Counted("discovery_disconnects", 0);
  program->Counted("roster", 3, "size ");
}

// What happened: the process stood still for longer than a list may be silent. The list had spoken meanwhile;
// its bytes lay in the socket when the process went on, and it gave the stream up as silent and called again.
// Why: timers run before the kernel is asked again, and the limit on silence asked the clock alone. What
// showed it: `counter discovery_silent 5` with `counter discovery_events 0`, the event written and never
// read.
TEST_CASE_FIXTURE(Watched, "a list that spoke while the process stood still is not given up as silent") {
  Watch();
  program->Pause();
  stream->Raw(Told(Event(2, json::array({First("terminating")}))));
  std::this_thread::sleep_for(std::chrono::milliseconds(1700));
  program->Resume();
  program->Counted("discovery_events", 1);
  CHECK(program->Statistic("discovery_silent") == "0");
  Goes(kTask, &second);
}

TEST_CASE_FIXTURE(Watched, "a bulletin that leaves out every second number is not called again for each") {
  Watch();
  const auto all = [this](int from) {
    std::string text;
    for (int i = from; i < 60; i += 2) {
      text += Told(Event(i, json::array({Node("s-000001" + std::to_string(i), first.endpoint())})));
    }
    return text;
  };
  stream->Raw(all(3));
  Wire again = Serve(&bulletin, 1);
  again.Raw(all(3));
  program->Counted("discovery_events", 29);
  program->Counted("discovery_gaps", 29);
  program->Counted("discovery_retries", 1);
}

TEST_CASE_FIXTURE(Watched, "a whole list has no gap, and one with a lower number changes nothing") {
  Watch();
  stream->Raw(Told(Event(9, {Second(), Node("s-00000003", first.endpoint(), 1)}, true)));
  program->Counted("discovery_events", 1);
  program->Counted("roster", 2, "size ");
  SUBCASE("a whole list") { stream->Raw(Told(Event(5, {First(), Second()}, true))); }
  SUBCASE("a change") { stream->Raw(Told(Event(5, json::array({Second("terminated")})))); }
  stream->Raw(Told(Event(10, json::array({Second("in_service", 4)}))));
  program->Counted("discovery_events", 2);
  program->Counted("roster", 2, "size ");
  program->Counted("discovery_retries", 0);
  program->Counted("discovery_connects", 1);
}

TEST_CASE_FIXTURE(Watched,
                  "an entry with a wrong value is left out, the others count and the stream goes on") {
  Watch();
  json bad = First();
  std::string said;
  SUBCASE("an unknown state") {
    bad["state"] = "lost";
    said = "state: \"lost\"; write in_service, terminating or terminated";
  }
  SUBCASE("a state that is no word") {
    bad["state"] = 3;
    said = "state: 3; write in_service, terminating or terminated";
  }
  SUBCASE("no uid") {
    bad.erase("uid");
    said = "uid: missing; write a name";
  }
  SUBCASE("an endpoint that is no address") {
    bad["endpoint"] = "nowhere";
    said = "endpoint: \"nowhere\"; write an address and a port";
  }
  SUBCASE("a start before all times") {
    bad["boot_ms"] = -5;
    said = "boot_ms: -5; write a Unix time in milliseconds, or 0";
  }
  SUBCASE("figures that are no numbers") {
    bad["unasked"] = {"much", nullptr};
    said = "unasked: [\"much\",null]; write a list of two numbers";
  }
  SUBCASE("too few figures") {
    bad["unasked"] = json::array();
    said = "unasked: []; write a list of two numbers";
  }
  SUBCASE("a group below 0") {
    bad["pod_group"] = -1;
    said = "pod_group: -1; write a whole number";
  }
  SUBCASE("no object") {
    bad = nullptr;
    said = "entry: null; write an object";
  }
  const bool named = bad.is_object() && bad.contains("uid");
  stream->Raw(Told(Event(2, {bad, Node("s-00000003", second.endpoint(), 1)})));
  program->Logged("bulletin: of event 2 1 entries are left out: roster.targets[0]." + said);
  program->Counted("discovery_entries_invalid", 1);
  program->Counted("discovery_events", 1);
  program->Counted("roster", 3, "size ");
  if (named) {  // also of a whole list: the node is not gone
    stream->Raw(Told(Event(3, {bad, Second()}, true)));
    program->Counted("discovery_entries_invalid", 2);
    program->Counted("roster", 2, "size ");
  }
  Goes(kTask, &first);  // as it was known
  stream->Raw(Told(Event(4, json::array({First("terminating")}), true)));
  program->Counted("roster", 1, "size ");
  program->Counted("discovery_connects", 1);
}

TEST_CASE_FIXTURE(Watched, "a task on a node whose entry of a whole list is garbled goes on") {
  Watch();
  Wire owner = program->Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "there");
  owner.Hear(Type::kTaskAccepted, kTask);
  json bad = First();
  SUBCASE("its state") { bad["state"] = "lost"; }
  SUBCASE("its name") { bad["uid"] = 1; }
  stream->Raw(Told(Event(2, {bad, Second()}, true)));
  program->Counted("discovery_events", 1);
  stream->Raw(Told(Event(3, json::array({Second("in_service", 4)}))));
  program->Counted("discovery_events", 2);
  program->Counted("roster", 2, "size ");
  agent.Say(Type::kRelease, kTask, Cause::kEnded);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 16);
  program->Counted("tasks_lost", 0);
}

TEST_CASE_FIXTURE(Watched, "an event that cannot be read is called for again once, then passed over") {
  Watch();
  std::string bad, said;
  SUBCASE("cut in the middle") {
    bad = "data: " + Event(2, json::array({First()})).dump().substr(0, 40) + "\n\n";
    said = "it is no JSON";
  }
  SUBCASE("no number") {
    bad = Told({{"no", "two"}, {"roster", {{"targets", json::array()}}}});
    said = "no: \"two\"; write a whole number above 0";
  }
  SUBCASE("no list") {
    bad = Told({{"no", 2}, {"roster", {{"targets", "none"}}}});
    said = "roster.targets: \"none\"; write a list of entries";
  }
  SUBCASE("no word on whether it is whole") {
    bad = Told({{"no", 2}, {"roster", {{"all", 1}, {"targets", json::array()}}}});
    said = "roster.all: 1; write true or false";
  }
  SUBCASE("deeper than any stack") {
    bad = "data: " + std::string(1'000'000, '[') + "\n\n";
    said = "it is no JSON";
  }
  stream->Raw(bad);
  Wire again = Serve(&bulletin, 1);
  again.Raw(bad);
  program->Logged("bulletin: the event after 1 is passed over: " + said);
  again.Raw(Told(Event(3, json::array({First("terminating")}))));  // on the same stream
  program->Counted("discovery_events", 1);
  program->Counted("discovery_events_invalid", 1);
  program->Counted("discovery_retries", 1);
  program->Counted("discovery_disconnects", 0);
  Goes(kTask, &second);
}

TEST_CASE_FIXTURE(Watched, "a stream that dribbles and says nothing whole is broken off and called again") {
  Start();
  Wire dribbles = bulletin.Accept();
  dribbles.Bytes();
  CHECK(Passes());
  std::string more = "x";
  SUBCASE("half an event") {
    dribbles.Raw(std::string(kStreamHead) + ": here\n\nid: 2\ndata: {\"no\":2,\"roster\":{\"rev\":\"");
  }
  SUBCASE("an event without end, line by line") {
    dribbles.Raw(std::string(kStreamHead) + ": here\n\n");
    more = "data: x\n";
  }
  SUBCASE("lines that mean nothing") {
    dribbles.Raw(std::string(kStreamHead));
    more = "retry: 1\n\n";
  }
  SUBCASE("half an answer") { dribbles.Raw("HTTP/1.1 200 OK\r\nX-More: "); }
  Dribble(&dribbles, more);
  program->Counted("discovery_stalled", 1);
  Wire again = Serve(&bulletin, 1);
  again.Raw(Told(Event(2, json::array({First("terminating")}))));
  program->Counted("discovery_events", 1);
  Goes(kTask, &second);
}

TEST_CASE_FIXTURE(Watched, "a stream that ends while its connection stays up is called again") {
  Start();
  Wire ends = bulletin.Accept();
  ends.Bytes();
  CHECK(Passes());
  SUBCASE("chunked") {
    ends.Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n: here\n\r\n0\r\n\r\n");
  }
  SUBCASE("of a length") { ends.Raw("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n: here\n"); }
  program->Logged("bulletin: the stream has ended");
  CHECK(ends.Closed());
  Serve(&bulletin, 1);
}

TEST_CASE_FIXTURE(Watched, "a line or an event beyond all bounds ends the stream, what it held is let go") {
  Start();
  Wire floods = bulletin.Accept();
  floods.Bytes();
  CHECK(Passes());
  floods.Raw(std::string(kStreamHead) + ": here\n\n");
  constexpr std::size_t kPiece = 64 * 1024, kPieces = 64;  // together the bound
  const std::string piece(kPiece, 'x');
  std::string more = piece, last = piece;
  SUBCASE("a line") {
    floods.Raw("data: ");
    last.resize(kPiece - 6);
  }
  SUBCASE("lines of an event") {
    more = "data: " + piece + "\n";
    last = "data: " + piece.substr(0, kPiece - 6 - (kPieces - 2));  // the lines before are joined
  }
  for (std::size_t i = 1; i < kPieces; ++i) floods.Raw(more);
  floods.Raw(last);
  CHECK(Passes());
  program->Counted("discovery_oversized", 0);
  floods.Raw("x");
  program->Logged("bulletin: an event is too large");
  program->Counted("discovery_oversized", 1);
  Serve(&bulletin, 1);
}

TEST_CASE_FIXTURE(Watched, "of two entries of one node the later counts, and a node may come back") {
  Watch();
  stream->Raw(Told(Event(2, {First("in_service"), First("terminated")})));
  program->Counted("roster", 1, "size ");
  Goes(kTask, &second);
  stream->Raw(Told(Event(3, {First("terminated"), First("in_service", 9), Second("terminating")})));
  program->Counted("roster", 2, "size ");
  Goes(kOther, &first);
  stream->Raw(Told(Event(4, {First("terminated"), First("in_service", 8)})));
  program->Counted("discovery_events", 3);
  program->Counted("roster", 2, "size ");
}

}  // namespace
}  // namespace cluster_manager::story
