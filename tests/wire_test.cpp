// The text protocol of the simulator adapter: framing, batches and malformed input.
#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

#include "simulator/host.h"

namespace scheduling::simulator {
namespace {

struct Reply {
  int status;
  std::string out;
  std::string errors;
};

Reply RunAdapter(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out, errors;
  const int status = Run(in, out, errors);
  return {status, out.str(), errors.str()};
}

const char* kBegin =
    "begin\t3\t51\tServices.count=1\tServices.0.Deadline=5000000000\tServices.0.Effect=pure\t"
    "FamilyInfo.CoresByKind=8\tFamilyInfo.MemoryByKind=16\tFamilyInfo.View=true\tAllowed.MostTries=2\t"
    "Period=2000000\tBrandNew.Key=what\n";
const char* kEndpointList = "catalog\t0\t1\nm\t16\t1\t0\t0\t0\t-\t9\t8\t2\nroster_change\t3\t2\t1\t0\n";
const char* kRequest = "request\t3\tr-a\t9000000000\t0\t-\t77\t0\t2\t5\t-\t1\n";

std::string Batch(const std::string& lines, int number = 1, long long at = 4000000000) {
  return "round\t" + std::to_string(at) + "\t" + std::to_string(number) + "\n" + lines + "over_to_you\n\n";
}

TEST(Frames, EmptyBatch) {
  const Reply reply = RunAdapter(Batch("", 41));
  EXPECT_EQ(reply.status, 0);
  EXPECT_EQ(reply.out, "done\t41\n");
}

TEST(Frames, ATaskIsAttemptedAndPlaced) {
  const Reply reply = RunAdapter(Batch(std::string(kBegin) + kEndpointList + kRequest) +
                                 Batch("taken\t3\tr-a\t0\t9\t5000000\n", 2, 4005000000) +
                                 Batch("result\t3\tr-a\t0\t9\tOK\t18500000\t1\t-\t-\n", 3, 4018500000));
  EXPECT_EQ(reply.status, 0) << reply.errors;
  EXPECT_NE(reply.out.find("claim_room\t3\tr-a\t9\t"), std::string::npos);
  EXPECT_EQ(reply.out.substr(reply.out.find("done\t1\n")), "done\t1\ndone\t2\ndone\t3\n");
}

TEST(Frames, CatalogNumbersAreReusedWithinABatch) {
  const std::string second = "catalog\t0\t1\nm\t16\t1\t0\t0\t0\t-\t10\t8\t2\nroster_change\t3\t1\t2\t0\n";
  const Reply reply = RunAdapter(Batch(std::string(kBegin) + kEndpointList + second + kRequest));
  EXPECT_NE(reply.out.find("claim_room\t3\tr-a\t10\t"), std::string::npos) << reply.out;
}

TEST(Frames, DestroyAndBeginInOneBatch) {
  const Reply reply = RunAdapter(
      Batch(std::string(kBegin) + kEndpointList + "destroy\t3\n" + kBegin + kEndpointList + kRequest));
  EXPECT_EQ(reply.status, 0) << reply.errors;
  EXPECT_NE(reply.out.find("claim_room\t3\tr-a\t9\t"), std::string::npos);
}

TEST(Frames, ManyInstancesAndALongBatch) {
  std::string lines;
  for (int who = 0; who < 50; ++who) {
    std::string begin = kBegin;
    lines += "begin\t" + std::to_string(who) + begin.substr(begin.find('\t', 6));
    lines +=
        "catalog\t1\t1\nm\t16\t1\t0\t0\t0\t-\t9\t8\t2\nroster_change\t" + std::to_string(who) + "\t2\t1\t1\n";
    for (int i = 0; i < 200; ++i) {
      lines += "request\t" + std::to_string(who) + "\tr-" + std::to_string(i) +
               "\t9000000000\t0\t-\t77\t0\t2\t5\t-\t1\n";
    }
  }
  const Reply reply = RunAdapter(Batch(lines));
  EXPECT_EQ(reply.status, 0) << reply.errors;
  for (int who = 0; who < 50; ++who) {
    EXPECT_NE(reply.out.find("claim_room\t" + std::to_string(who) + "\tr-0\t9\t"), std::string::npos) << who;
  }
}

TEST(Frames, UnknownEventsSignalsAndReportFieldsAreSkipped) {
  const Reply reply =
      RunAdapter(Batch(std::string(kBegin) + kEndpointList + kRequest + "eclipse\t3\ttotal\n" +
                       "signal\t3\tr-a\t0\t9\t99\t1\n" + "probed\t3\t9\tOK\t5\tx0:1.5,moon:full:2\n"));
  EXPECT_EQ(reply.status, 1);  // the value of moon is not a number
  const Reply fine =
      RunAdapter(Batch(std::string(kBegin) + kEndpointList + kRequest + "eclipse\t3\ttotal\n" +
                       "signal\t3\tr-a\t0\t9\t99\t1\n" + "probed\t3\t9\tOK\t5\tx0:1.5,moon:2\n"));
  EXPECT_EQ(fine.status, 0) << fine.errors;
}

TEST(Malformed, EachIsOnePlainLineNamingLineMessageAndField) {
  const std::string open = std::string(kBegin) + kEndpointList;
  const std::pair<std::string, std::string> cases[] = {
      {"request\t3\tr-a\n", "line 6: request: fields: "},
      {"request\t3\tr-a\tsoon\t0\t-\t77\t0\t2\t5\t-\t1\n", "line 6: request: ClientDeadline: "},
      {"request\t3\tr-a\t1\t0\t-\t77\t0\tx\t5\t-\t1\n", "line 6: request: MemNeeded: "},
      {"request\t4\tr-a\t1\t0\t-\t77\t0\t2\t5\t-\t1\n", "line 6: request: Who: no instance 4"},
      {"roster_change\t3\t1\t1\t7\n", "line 6: roster_change: SetId: no catalog 7"},
      {"roster_change\t3\t9\t1\t0\n", "line 6: roster_change: Kind: out of range"},
      {"result\t3\tr-a\t0\t9\tMAYBE\t1\t1\t-\t-\n", "line 6: result: Reason: unknown outcome"},
      {"probed\t3\t9\tOK\t5\tx0=1\n", "line 6: probed: Usage: "},
      {"peer_data\t3\t1\tabc\n", "line 6: peer_data: Body: odd"},
      {"destroy\t8\n", "line 6: destroy: Who: no instance 8"},
      {"catalog\t0\t2\nover_to_you\n", "line 7: over_to_you: MembersList: "},
      {"catalog\t0\t1\nm\t16\t1\t0\t0\t0\t-\t9\t8\t1\n", "line 7: m: State: "},
      {"begin\t5\t1\tServices.count=1\n", "line 6: begin: Params: settings define no node kind"},
      {"begin\t5\t1\tServices.count=many\n", "line 6: begin: Services.count: not a count"},
  };
  for (const auto& [line, expected] : cases) {
    const Reply reply = RunAdapter(Batch(open + line));
    EXPECT_EQ(reply.status, 1) << line;
    EXPECT_NE(reply.errors.find(expected), std::string::npos) << line << " -> " << reply.errors;
    EXPECT_EQ(std::count(reply.errors.begin(), reply.errors.end(), '\n'), 1) << reply.errors;
  }
}

TEST(Malformed, InputEndingInMidBatchIsAnError) {
  EXPECT_EQ(RunAdapter("round\t1\t1\n").status, 1);
  EXPECT_EQ(RunAdapter("").status, 0);
  EXPECT_EQ(RunAdapter("request\t1\n").status, 1);
}

}  // namespace
}  // namespace scheduling::simulator
