// Discovery that is slow but correct, and discovery that has really fallen silent. The first has to be heard
// however late it answers; the second has to be called again in time.
#include <random>

#include "slow_list.h"

namespace cluster_manager::story {
namespace {

using std::chrono::seconds;

struct SlowDiscoveryFixture : DiscoveryFixture {
  std::string drain_event = EventText(Event(2, json::array({FirstNode("terminating")})));

  // Runs `body` with the settings of each form of discovery; see the protocol's `Discovery`.
  template <typename Body>
  void InBothForms(Body body) {
    json settings = Settings();
    SUBCASE("subscription") {
      settings["Discovery"] = "subscribe";
      body(settings);
    }
    SUBCASE("automatic") {
      settings["Discovery"] = "automatic";
      body(settings);
    }
  }
  // Waits until the program has applied `count` events.
  void ExpectEventsWithin(milliseconds limit, int count = 1) {
    const SteadyTime until = std::chrono::steady_clock::now() + limit;
    while (program->Statistic("discovery_events") != std::to_string(count)) {
      REQUIRE_MESSAGE(std::chrono::steady_clock::now() < until, "discovery was not heard in time");
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
};

// Guards against giving up each call before a slow service answers it: the list was then never heard again.
TEST_CASE_FIXTURE(SlowDiscoveryFixture,
                  "discovery that answers every call later than the time-out is heard") {
  InBothForms([&](const json& settings) {
    milliseconds delay{0}, limit{0};
    SUBCASE("1.8 s") { delay = milliseconds(1800), limit = milliseconds(3500); }
    SUBCASE("7 s") { delay = milliseconds(7000), limit = milliseconds(9000); }
    Start(settings);
    SlowList list(&bulletin,
                  [&](int, int last) { return CallAnswer::After(delay, last < 2 ? drain_event : ""); });
    list.Start();
    ExpectEventsWithin(limit);
    ExpectTaskAt(kTask, &second);
    CHECK(list.max_open() <= 3);
    CHECK(program->Statistic("discovery_silent") != "0");
  });
}

// Guards against a limit that grows more slowly than the answers do, so that each call is closed too soon.
TEST_CASE_FIXTURE(SlowDiscoveryFixture, "discovery whose answers take longer with each call is heard") {
  InBothForms([&](const json& settings) {
    Start(settings);
    SlowList list(&bulletin, [&](int call, int last) {
      return CallAnswer::After(call * milliseconds(2500), last < 2 ? drain_event : "");
    });
    list.Start();
    ExpectEventsWithin(seconds(20));
  });
}

// Guards against hearing a slow service only once: each event needs a new call, whose answer may be late
// again.
TEST_CASE_FIXTURE(SlowDiscoveryFixture,
                  "discovery whose answers take a drawn time is heard after each loss") {
  InBothForms([&](const json& settings) {
    Start(settings);
    std::mt19937_64 random(53);
    // Each stream ends after its event, so that the next event needs another call.
    SlowList list(&bulletin, [&](int, int last) {
      const milliseconds delay{std::uniform_int_distribution<int>(200, 4000)(random)};
      const json events = json::array({FirstNode(last % 2 == 1 ? "terminating" : "in_service")});
      CallAnswer answer{{}, false};
      const std::string event = EventText(Event(last + 1, events));
      answer.pieces.push_back(
          {delay, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(event.size()) + "\r\n\r\n" + event});
      return answer;
    });
    list.Start();
    for (int events = 1; events <= 4; ++events) ExpectEventsWithin(seconds(12), events);
  });
}

// Guards against taking the response head, or a first comment, for the answer: the events behind it are late
// on every call, and each stream was closed before they came.
TEST_CASE_FIXTURE(SlowDiscoveryFixture, "a prompt response head or greeting with late events is heard") {
  InBothForms([&](const json& settings) {
    std::string prompt(kStreamHead);
    SUBCASE("head") {}
    SUBCASE("greeting") { prompt += ": here\n\n"; }
    Start(settings);
    SlowList list(&bulletin, [&](int, int last) {
      CallAnswer answer{{{milliseconds(0), prompt}}, true};
      if (last < 2) answer.pieces.push_back({milliseconds(5000), drain_event});
      return answer;
    });
    list.Start();
    ExpectEventsWithin(seconds(30));
  });
}

// Guards against closing each stream while a list is under way that takes longer than the limit on progress.
TEST_CASE_FIXTURE(SlowDiscoveryFixture, "a list that arrives slowly is heard whole") {
  InBothForms([&](const json& settings) {
    milliseconds interval{0};
    std::size_t pieces = 0;
    std::string greeting;
    SUBCASE("steadily") { interval = milliseconds(100), pieces = 60; }
    SUBCASE("steadily, behind comments") {
      interval = milliseconds(100), pieces = 60;
      greeting = ": here\n\n: here\n\n";
    }
    SUBCASE("in bursts that are further apart than the silence time-out") {
      interval = milliseconds(2000), pieces = 4;
    }
    Start(settings);
    SlowList list(&bulletin, [&](int, int last) {
      const std::string events = last < 2 ? drain_event : "";
      return CallAnswer::InPieces(greeting + events, (greeting + events).size() / pieces + 1, interval);
    });
    list.Start();
    ExpectEventsWithin(seconds(40));
  });
}

// Guards against waiting for lost calls alone: the newer calls were closed before a slow service answered
// them.
TEST_CASE_FIXTURE(SlowDiscoveryFixture, "slow discovery is heard although its first calls were lost") {
  InBothForms([&](const json& settings) {
    Start(settings);
    SlowList list(&bulletin, [&](int call, int last) {
      if (call <= 2) return CallAnswer::Never();
      return CallAnswer::After(milliseconds(5000), last < 2 ? drain_event : "");
    });
    list.Start();
    ExpectEventsWithin(seconds(25));
  });
}

// Guards against patience with slow services that delays the next call after a stream has really fallen
// silent.
TEST_CASE_FIXTURE(SlowDiscoveryFixture,
                  "a stream that has fallen silent is replaced before the 4 s are over") {
  InBothForms([&](const json& settings) {
    Start(settings);
    std::string greeting;
    SUBCASE("after a greeting") { greeting = ": here\n\n"; }
    SUBCASE("after comments") { greeting = ": here\n\n: here\n\n"; }
    SUBCASE("after half an event") { greeting = ": here\n\n: here\n\ndata: {\"no\":"; }
    SlowList list(&bulletin, [&](int call, int) {
      if (call > 1) return CallAnswer::After(milliseconds(0), drain_event);
      return CallAnswer{{{milliseconds(0), std::string(kStreamHead) + greeting}}, false};
    });
    list.Start();
    ExpectEventsWithin(milliseconds(2500));
    CHECK(list.calls() == 2);
  });
}

// Calls that are made during an outage are never answered; those after it are answered at once.
TEST_CASE_FIXTURE(SlowDiscoveryFixture, "discovery that recovers from a long outage is heard within 4 s") {
  InBothForms([&](const json& settings) {
    Start(settings);
    const SteadyTime recovered_at = std::chrono::steady_clock::now() + seconds(14);
    SlowList list(&bulletin, [&](int, int last) {
      if (std::chrono::steady_clock::now() < recovered_at) return CallAnswer::Never();
      return CallAnswer::After(milliseconds(0), last < 2 ? drain_event : "");
    });
    list.Start();
    std::this_thread::sleep_until(recovered_at);
    const int calls = list.calls();
    CHECK(calls >= 4);
    CHECK(calls <= 7);
    ExpectEventsWithin(seconds(4));
    CHECK(list.calls() == calls + 1);
  });
}

// Guards against giving up each call to the new address of discovery before a slow service answers it.
TEST_CASE_FIXTURE(SlowDiscoveryFixture, "slow discovery at an address that a reload brings is heard") {
  Port new_discovery;
  StartAndServeList();
  SlowList list(&new_discovery, [&](int, int last) {
    return CallAnswer::After(milliseconds(1800), last < 2 ? drain_event : "");
  });
  list.Start();
  json config = program->config();
  config["bulletin"] = new_discovery.endpoint();
  program->Configure(config.dump());
  program->Signal(SIGHUP);
  program->Logged("configuration reloaded");
  CHECK(stream->Closed());
  ExpectEventsWithin(milliseconds(3500));
  ExpectTaskAt(kTask, &second);
}

// Thirty processes lose their streams together. The service then answers five calls a second in turn, also
// those whose client has hung up, so that calling again and again keeps it from answering anybody.
TEST_CASE_FIXTURE(SlowDiscoveryFixture, "thirty processes that call a slow service at once are all heard") {
  InBothForms([&](const json& settings) {
    constexpr int kProcesses = 30, kEntries = 200;
    constexpr milliseconds kPerCall{200};
    std::vector<std::unique_ptr<Program>> programs;
    for (int i = 0; i < kProcesses; ++i)
      programs.push_back(std::make_unique<Program>(json{FirstNode(), SecondNode()}, bulletin, settings));
    json entries = json::array();
    for (int i = 0; i < kEntries; ++i)
      entries.push_back(Node("s-" + std::to_string(1000 + i), first.endpoint()));
    const std::string events = EventText(Event(2, entries));
    std::atomic<bool> slow = false;
    SteadyTime busy_until{};
    SlowList list(&bulletin, [&](int, int last) {
      if (!slow) return CallAnswer::After(milliseconds(0), "");
      const SteadyTime now = std::chrono::steady_clock::now();
      busy_until = std::max(now, busy_until) + kPerCall;
      return CallAnswer::After(std::chrono::duration_cast<milliseconds>(busy_until - now),
                               last < 2 ? events : "");
    });
    list.Start();
    std::this_thread::sleep_for(seconds(2));
    slow = true;
    const int calls_before = list.calls();
    list.EndStreams();
    const SteadyTime ended_at = std::chrono::steady_clock::now();
    INFO("calls: " << list.calls() - calls_before << ", bytes: " << list.bytes_sent());
    for (const auto& each : programs) each->Counted("discovery_events", 1);
    const auto heard_after = std::chrono::steady_clock::now() - ended_at;
    std::this_thread::sleep_for(seconds(2));  // the calls that are still under way
    const int calls = list.calls() - calls_before;
    MESSAGE(calls << " calls, " << list.bytes_sent() << " bytes, the last heard after "
                  << std::chrono::duration_cast<milliseconds>(heard_after).count() << " ms; one list has "
                  << events.size() << " bytes");
    CHECK(heard_after < seconds(10));
    CHECK(calls <= 3 * kProcesses);
    CHECK(list.bytes_sent() <= 2 * kProcesses * events.size());
  });
}

}  // namespace
}  // namespace cluster_manager::story
