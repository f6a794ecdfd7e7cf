// Changes of the discovery address by a reload of the configuration (SIGHUP), while the old stream still
// sends events or is unreachable, and while the new file has events that the stream has not sent, or invalid
// values.
#include "crossing_discovery.h"

namespace cluster_manager::story {
namespace {

struct DiscoveryReconfigurationTest : DiscoveryFixture {
  Port new_discovery;

  void Reload(const std::string& discovery_address, const json& items = json::array()) {
    json config = program->config();
    config["bulletin"] = discovery_address;
    config["known"] = {{"no", 1 + static_cast<int>(items.size())}, {"items", items}};
    program->Configure(config.dump());
    program->Signal(SIGHUP);
  }
};

TEST_CASE_FIXTURE(DiscoveryReconfigurationTest,
                  "events of the old discovery stream before the change of address are applied once and "
                  "later ones are ignored") {
  StartAndServeList();
  const json drain_event = Event(2, json::array({FirstNode("terminating")}));
  program->Signal(SIGSTOP);
  stream->Raw(EventText(drain_event));
  Reload(new_discovery.endpoint());
  program->Signal(SIGCONT);
  program->Logged("configuration reloaded");
  Wire new_stream = new_discovery.Accept();
  const std::string http_request = new_stream.Bytes();
  // The event is read before or after the signal: the new stream is requested from there on.
  const bool event_was_read = http_request.find("Last-Event-ID: 2\r\n") != std::string::npos;
  CHECK((event_was_read || http_request.find("Last-Event-ID: 1\r\n") != std::string::npos));
  CHECK(stream->Closed());
  new_stream.Raw(std::string(kStreamHead) + EventText(drain_event) +
                 EventText(Event(3, json::array({SecondNode("in_service", 4)}))));
  program->Counted("discovery_events", 2);
  program->Counted("discovery_retries", 0);
  ExpectTaskAt(kTask, &second);
}

// Guards against staying on the old stream while it is live: the subscription made at the start was
// forgotten, so that a reload before the next one did not lead to a call.
TEST_CASE_FIXTURE(DiscoveryReconfigurationTest,
                  "a reload soon after the start leaves an old discovery stream that is live") {
  StartAndServeList();
  Reload(new_discovery.endpoint());
  bool dialed = false;
  for (int i = 0; i < 15 && !dialed; ++i) {
    stream->Raw(": here\n\n");
    dialed = new_discovery.Dialled(200);
  }
  CHECK(dialed);
}

TEST_CASE_FIXTURE(DiscoveryReconfigurationTest,
                  "a partial event of the old discovery stream is not continued by the new one") {
  StartAndServeList();
  const std::string event = EventText(Event(2, json::array({FirstNode("terminating")})));
  stream->Raw(event.substr(0, 30));
  CHECK(Passes());
  Reload(new_discovery.endpoint());
  Wire new_stream = new_discovery.Accept();
  CHECK(new_stream.Bytes().find("Last-Event-ID: 1\r\n") != std::string::npos);
  CHECK(stream->Closed());
  new_stream.Raw(std::string(kStreamHead) + event.substr(30));  // this contains no valid line
  new_stream.Raw(event);
  program->Counted("discovery_events", 1);
  program->Counted("discovery_events_invalid", 0);
  ExpectTaskAt(kTask, &second);
}

TEST_CASE_FIXTURE(DiscoveryReconfigurationTest,
                  "the new discovery address is used immediately while the old one is unreachable") {
  StartAndServeList();
  bulletin.Close();
  stream->Close();
  program->Counted("discovery_disconnects", 4);  // the backoff before the next dial is at least 0.8 s
  Reload(new_discovery.endpoint());
  CHECK(new_discovery.Dialled(500));
  Wire new_stream = AcceptStream(&new_discovery, 1);
  new_stream.Raw(EventText(Event(2, json::array({FirstNode("terminating")}))));
  program->Counted("discovery_events", 1);
  program->Counted("discovery_connects", 2);
  ExpectTaskAt(kTask, &second);
  // No further connection is made: a later fetch is answered by the stream that is open.
  for (int i = 0; i < 8; ++i) {
    new_stream.Raw(": here\n\n");
    CHECK_FALSE(new_discovery.Dialled(300));
  }
}

TEST_CASE_FIXTURE(
    DiscoveryReconfigurationTest,
    "events of a new configuration file are applied once and ignored when the stream repeats them") {
  StartAndServeList();
  const json drain_event = Event(2, json::array({FirstNode("terminating")}));
  Reload(bulletin.endpoint(), {Event(1, {FirstNode(), SecondNode()}, true), drain_event});
  program->Logged("configuration reloaded");
  ExpectTaskAt(kTask, &second);
  stream->Raw(EventText(drain_event) + EventText(Event(3, json::array({SecondNode("in_service", 4)}))));
  program->Counted("discovery_events", 1);
  program->Counted("discovery_connects", 1);
}

TEST_CASE_FIXTURE(DiscoveryReconfigurationTest,
                  "an event that is missing in a new configuration file is applied from the stream") {
  StartAndServeList();
  const json drain_event = Event(2, json::array({FirstNode("terminating")}));
  const json third_event = Event(3, json::array({Node("s-00000003", first.endpoint(), 1)}));
  Reload(bulletin.endpoint(), json::array({third_event}));
  program->Logged("configuration reloaded");
  stream->Raw(EventText(drain_event) + EventText(third_event));
  program->Counted("discovery_events", 2);
  program->Counted("roster", 3, "size ");
  ExpectTaskAt(kTask, &second);
}

TEST_CASE_FIXTURE(DiscoveryReconfigurationTest,
                  "a configuration file with an invalid endpoint list changes nothing at all") {
  StartAndServeList();
  json config = program->config();
  config["bulletin"] = new_discovery.endpoint();
  config["settings"]["Services"][0]["Name"] = "batch";
  json& items = config["known"]["items"];
  items.push_back(Event(2, {FirstNode("terminating"), SecondNode()}));
  std::string expected_error;
  SUBCASE("an unknown state") {
    items[1]["roster"]["targets"][1]["state"] = "lost";
    expected_error =
        "known.items[1].roster.targets[1].state: \"lost\"; write in_service, terminating or terminated";
  }
  SUBCASE("a missing number") {
    items[1].erase("no");
    expected_error = "known.items[1].no: missing; write a whole number above 0";
  }
  SUBCASE("a value that is no event") {
    items.push_back(5);
    expected_error = "known.items[2].event: 5; write an object";
  }
  SUBCASE("a negative descriptor limit") {
    config["limits"]["sockets"] = -1;
    expected_error = "limits.sockets: -1; write a whole number of descriptors above 0";
  }
  SUBCASE("a time limit of 0") {
    config["settings"]["Allowed"]["DialTimeout"] = 0;
    expected_error = "settings.Allowed.DialTimeout: 0; write a number of nanoseconds above 0";
  }
  SUBCASE("an invalid discovery address") {
    config["bulletin"] = "there";
    expected_error = "bulletin: \"there\"; write an address and a port";
  }
  program->Configure(config.dump());
  program->Signal(SIGHUP);
  program->Logged("configuration reload failed");
  program->Logged(expected_error);
  CHECK_FALSE(new_discovery.Dialled());
  Wire client = program->Owner();
  Ask(&client, kTask, "batch");
  CHECK(client.Hear(Type::kRelease, kTask).cause == 47);
  ExpectTaskAt(kOther, &first);
  stream->Raw(EventText(Event(2, json::array({SecondNode("in_service", 4)}))));
  program->Counted("discovery_events", 1);
  program->Counted("discovery_connects", 1);
}

}  // namespace
}  // namespace cluster_manager::story
