// Recorded streams of events, replayed: what the module decided when they were recorded it decides today.
// bench/record_stream made them (seed 1), anew with each change of decisions that is meant.
#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "simulator/host.h"

namespace cluster_manager {
namespace {

using Lines = std::vector<std::string>;

// Timers are left out: how often the module asks to be woken is no decision. That it is woken in time shows
// in what it does, since the recorded reminders are replayed as they came.
bool Compared(const std::string& line) { return !line.starts_with("after\t"); }

struct Tally {
  int batches = 0, actions = 0, offers = 0, refusals = 0, differing = 0;
  std::string first;
};

Tally Replay(const std::string& name) {
  std::ifstream file(std::string(WILLOWRAIL_STREAMS) + "/" + name + ".txt");
  REQUIRE_MESSAGE(file.good(), "no stream " << name);
  std::ostringstream reply;
  scheduling::simulator::Host host(reply);
  Tally tally;
  Lines expected;
  const auto compare = [&](const std::string& batch) {
    Lines got;
    std::istringstream in(reply.str());
    for (std::string line; std::getline(in, line);) {
      if (Compared(line)) got.push_back(line);
    }
    reply.str("");
    tally.actions += static_cast<int>(expected.size());
    if (got == expected) return;
    if (++tally.differing > 1) return;
    tally.first = batch + ":";
    for (const std::string& line : expected) tally.first += "\n  recorded " + line;
    for (const std::string& line : got) tally.first += "\n  today    " + line;
  };
  std::string batch;
  for (std::string line; std::getline(file, line);) {
    REQUIRE(line.size() > 2);
    const std::string text = line.substr(2);
    if (line[0] == '>') {
      if (text.starts_with("round\t")) {
        if (!batch.empty()) compare(batch);
        batch = text;
        expected.clear();
        ++tally.batches;
      }
      host.ProcessLine(text);
    } else if (Compared(text)) {
      expected.push_back(text);
      tally.offers += text.starts_with("claim_room\t");
      tally.refusals += text.starts_with("not_now\t") || text.starts_with("error\t");
    }
  }
  compare(batch);
  return tally;
}

void Holds(const Tally& tally) {
  CHECK_MESSAGE(tally.differing == 0,
                tally.differing << " of " << tally.batches << " batches differ, first in " << tally.first);
}

TEST_CASE("a calm day is decided as recorded") {
  const Tally tally = Replay("calm");
  CHECK(tally.offers > 250);
  Holds(tally);
}

TEST_CASE("a crowded day is decided as recorded") {
  const Tally tally = Replay("crowded");
  CHECK(tally.offers > 250);
  CHECK(tally.refusals > 50);
  Holds(tally);
}

TEST_CASE("a day on which nodes come, drain and die is decided as recorded") {
  const Tally tally = Replay("churning");
  CHECK(tally.offers > 250);
  Holds(tally);
}

}  // namespace
}  // namespace cluster_manager
