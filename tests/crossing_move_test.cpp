// Stories of a node list that moves (SIGHUP) while its old stream still talks, is out of reach, or while the
// new file knows more than was told or holds what is wrong.
#include "crossing_discovery.h"

namespace cluster_manager::story {
namespace {

struct Moved : DiscoveryFixture {
  Port fresh;

  void Configure(const std::string& bulletin_at, const json& items = json::array()) {
    json config = program->config();
    config["bulletin"] = bulletin_at;
    config["known"] = {{"no", 1 + static_cast<int>(items.size())}, {"items", items}};
    program->Configure(config.dump());
    program->Signal(SIGHUP);
  }
};

TEST_CASE_FIXTURE(Moved, "what an old stream said with the move counts once, what it says later not at all") {
  StartAndServeList();
  const json drains = Event(2, json::array({FirstNode("terminating")}));
  program->Signal(SIGSTOP);
  stream->Raw(EventText(drains));
  Configure(fresh.endpoint());
  program->Signal(SIGCONT);
  program->Logged("configuration reloaded");
  Wire next = fresh.Accept();
  const std::string call = next.Bytes();
  // Read before or after the signal: the new stream is called for from there on.
  const bool heard = call.find("Last-Event-ID: 2\r\n") != std::string::npos;
  CHECK((heard || call.find("Last-Event-ID: 1\r\n") != std::string::npos));
  CHECK(stream->Closed());
  next.Raw(std::string(kStreamHead) + EventText(drains) +
           EventText(Event(3, json::array({SecondNode("in_service", 4)}))));
  program->Counted("discovery_events", 2);
  program->Counted("discovery_retries", 0);
  ExpectTaskAt(kTask, &second);
}

TEST_CASE_FIXTURE(Moved, "half an event of the old stream is not continued by the new one") {
  StartAndServeList();
  const std::string event = EventText(Event(2, json::array({FirstNode("terminating")})));
  stream->Raw(event.substr(0, 30));
  CHECK(Passes());
  Configure(fresh.endpoint());
  Wire next = fresh.Accept();
  CHECK(next.Bytes().find("Last-Event-ID: 1\r\n") != std::string::npos);
  CHECK(stream->Closed());
  next.Raw(std::string(kStreamHead) + event.substr(30));  // no line of this means anything
  next.Raw(event);
  program->Counted("discovery_events", 1);
  program->Counted("discovery_events_invalid", 0);
  ExpectTaskAt(kTask, &second);
}

TEST_CASE_FIXTURE(Moved, "a list that moves while the old one is out of reach is read at once") {
  StartAndServeList();
  bulletin.Close();
  stream->Close();
  program->Counted("discovery_disconnects", 4);  // the pause before the next call is 0.8 s and more
  Configure(fresh.endpoint());
  CHECK(fresh.Dialled(500));
  Wire next = AcceptStream(&fresh, 1);
  next.Raw(EventText(Event(2, json::array({FirstNode("terminating")}))));
  program->Counted("discovery_events", 1);
  program->Counted("discovery_connects", 2);
  ExpectTaskAt(kTask, &second);
  // The call that the module makes in the end is answered by the stream that is there.
  for (int i = 0; i < 8; ++i) {
    next.Raw(": here\n\n");
    CHECK_FALSE(fresh.Dialled(300));
  }
}

TEST_CASE_FIXTURE(Moved, "what a new file knows is told once, the stream that says it again is not heard") {
  StartAndServeList();
  const json drains = Event(2, json::array({FirstNode("terminating")}));
  Configure(bulletin.endpoint(), {Event(1, {FirstNode(), SecondNode()}, true), drains});
  program->Logged("configuration reloaded");
  ExpectTaskAt(kTask, &second);
  stream->Raw(EventText(drains) + EventText(Event(3, json::array({SecondNode("in_service", 4)}))));
  program->Counted("discovery_events", 1);
  program->Counted("discovery_connects", 1);
}

TEST_CASE_FIXTURE(Moved, "what a new file leaves out between two events is brought by the stream") {
  StartAndServeList();
  const json drains = Event(2, json::array({FirstNode("terminating")}));
  const json third = Event(3, json::array({Node("s-00000003", first.endpoint(), 1)}));
  Configure(bulletin.endpoint(), json::array({third}));
  program->Logged("configuration reloaded");
  stream->Raw(EventText(drains) + EventText(third));
  program->Counted("discovery_events", 2);
  program->Counted("roster", 3, "size ");
  ExpectTaskAt(kTask, &second);
}

TEST_CASE_FIXTURE(Moved,
                  "a file whose list has a wrong value changes nothing, settings and address included") {
  StartAndServeList();
  json config = program->config();
  config["bulletin"] = fresh.endpoint();
  config["settings"]["Services"][0]["Name"] = "batch";
  json& items = config["known"]["items"];
  items.push_back(Event(2, {FirstNode("terminating"), SecondNode()}));
  std::string said;
  SUBCASE("an unknown state") {
    items[1]["roster"]["targets"][1]["state"] = "lost";
    said = "known.items[1].roster.targets[1].state: \"lost\"; write in_service, terminating or terminated";
  }
  SUBCASE("no number") {
    items[1].erase("no");
    said = "known.items[1].no: missing; write a whole number above 0";
  }
  SUBCASE("no event") {
    items.push_back(5);
    said = "known.items[2].event: 5; write an object";
  }
  SUBCASE("descriptors below 0") {
    config["limits"]["sockets"] = -1;
    said = "limits.sockets: -1; write a whole number of descriptors above 0";
  }
  SUBCASE("a time limit of nothing") {
    config["settings"]["Allowed"]["DialTimeout"] = 0;
    said = "settings.Allowed.DialTimeout: 0; write a number of nanoseconds above 0";
  }
  SUBCASE("a bulletin that is nowhere") {
    config["bulletin"] = "there";
    said = "bulletin: \"there\"; write an address and a port";
  }
  program->Configure(config.dump());
  program->Signal(SIGHUP);
  program->Logged("configuration reload failed");
  program->Logged(said);
  CHECK_FALSE(fresh.Dialled());
  Wire owner = program->Owner();
  Ask(&owner, kTask, "batch");
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 47);
  ExpectTaskAt(kOther, &first);
  stream->Raw(EventText(Event(2, json::array({SecondNode("in_service", 4)}))));
  program->Counted("discovery_events", 1);
  program->Counted("discovery_connects", 1);
}

}  // namespace
}  // namespace cluster_manager::story
