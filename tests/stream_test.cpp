// Replays recorded streams of events: the scheduler must make the same decisions as when they were recorded.
// bench/record_stream recorded them (seed 1); they are recorded again with each intended change of decisions.
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

// SetTimer actions are not compared, since the number of timers is not a decision. A timer that is set too
// late shows in the other actions, since the recorded timer events are replayed at their recorded times.
bool IsCompared(const std::string& line) { return !line.starts_with("after\t"); }

struct ReplayResult {
  int batches = 0, actions = 0, attempts = 0, rejections = 0, differing = 0;
  std::string first_difference;
};

ReplayResult Replay(const std::string& name) {
  std::ifstream file(std::string(WILLOWRAIL_STREAMS) + "/" + name + ".txt");
  REQUIRE_MESSAGE(file.good(), "missing recorded stream " << name);
  std::ostringstream reply;
  scheduling::simulator::Host host(reply);
  ReplayResult result;
  Lines expected;
  const auto compare = [&](const std::string& batch) {
    Lines actual;
    std::istringstream in(reply.str());
    for (std::string line; std::getline(in, line);) {
      if (IsCompared(line)) actual.push_back(line);
    }
    reply.str("");
    result.actions += static_cast<int>(expected.size());
    if (actual == expected) return;
    if (++result.differing > 1) return;
    result.first_difference = batch + ":";
    for (const std::string& line : expected) result.first_difference += "\n  recorded " + line;
    for (const std::string& line : actual) result.first_difference += "\n  actual   " + line;
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
        ++result.batches;
      }
      host.ProcessLine(text);
    } else if (IsCompared(text)) {
      expected.push_back(text);
      result.attempts += text.starts_with("claim_room\t");
      result.rejections += text.starts_with("not_now\t") || text.starts_with("error\t");
    }
  }
  compare(batch);
  return result;
}

void ExpectNoDifference(const ReplayResult& result) {
  CHECK_MESSAGE(result.differing == 0, result.differing << " of " << result.batches
                                                        << " batches differ, first in "
                                                        << result.first_difference);
}

TEST_CASE("decisions on a day of low load are as recorded") {
  const ReplayResult result = Replay("calm");
  CHECK(result.attempts > 250);
  ExpectNoDifference(result);
}

TEST_CASE("decisions on a day of overload are as recorded") {
  const ReplayResult result = Replay("crowded");
  CHECK(result.attempts > 250);
  CHECK(result.rejections > 50);
  ExpectNoDifference(result);
}

TEST_CASE("decisions on a day with nodes that start and drain and fail are as recorded") {
  const ReplayResult result = Replay("churning");
  CHECK(result.attempts > 250);
  ExpectNoDifference(result);
}

}  // namespace
}  // namespace cluster_manager
