// The accounts of one member: generated histories of tasks compared with a cost that is summed second by
// second, and each rule of spending_controller.h.
#include <doctest/doctest.h>

#include <cmath>

#include "spending_fixtures.h"

namespace cluster_manager::spending {
namespace {

using nlohmann::json;

// The actual run times, recorded independently of the controller.
struct ReferenceRecord {
  struct Segment {
    Time from = 0, to = 0;
    std::int64_t cores = 0;
    int node_kind = 0;
  };
  struct Run {
    std::vector<Segment> segments;
    bool running = true;
  };
  std::vector<Run> runs;
  Seconds month_end = *ParseInstant("2026-10-31T23:00:00Z");      // 2026-11-01 in Berlin
  Seconds tariff_change = *ParseInstant("2026-10-30T10:20:30Z");  // prices are 1.5 times as high from then on
  Money CostOfMonth(bool next_month, Time now) const {
    Money total = 0;
    for (const Run& run : runs) {
      Int128 sum = 0;  // thousandths of a micro-unit an hour
      for (std::size_t i = 0; i < run.segments.size(); ++i) {
        const Segment& segment = run.segments[i];
        const Time to = run.running && i + 1 == run.segments.size() ? now : segment.to;
        for (Seconds at = segment.from / kSecond; at <= to / kSecond; ++at) {
          if (at * kSecond < segment.from || at * kSecond >= to || (at >= month_end) != next_month) continue;
          sum += Int128{segment.cores} * 1000 * (segment.node_kind == 1 ? 2'000'000 : 1'000'000) *
                 (at >= tariff_change ? 3 : 2) / 2;
        }
      }
      total += static_cast<Money>((sum + 3'599'999) / 3'600'000);
    }
    return total;
  }
};

json PlanWithTwoTariffs() {
  json document = TestPlan("100000000");
  document["tariffs"].push_back(document["tariffs"][0]);
  document["tariffs"][1]["from"] = "2026-10-30T10:20:30Z";
  document["tariffs"][1]["kinds"]["*"]["core_hour"] = "1.5";
  document["tariffs"][1]["kinds"]["large"]["core_hour"] = "3";
  return document;
}

TEST_CASE("the run time of tasks is charged to the second in any history of events") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    std::mt19937_64 random(seed);
    const auto random_below = [&](std::int64_t max) {
      return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(max));
    };
    SingleMember member(PlanWithTwoTariffs(), ParseTime("2026-10-29T20:00:00Z"));
    ReferenceRecord reference;
    std::map<TaskId, std::size_t> running, ended;  // indices into `reference.runs`
    TaskId next_id = 1;
    const auto pick = [&](const std::map<TaskId, std::size_t>& tasks) {
      return *std::next(tasks.begin(), random_below(static_cast<std::int64_t>(tasks.size())));
    };
    const auto record_start = [&](const AdmissionRequest& request, Time from) {
      reference.runs.push_back({{{from, 0, request.size.millicores / 1000, request.node_kind}}, true});
      running[request.id] = reference.runs.size() - 1;
    };
    const auto record_end = [&](TaskId id, Time at) {
      ReferenceRecord::Run& run = reference.runs[running[id]];
      at = std::max(at, run.segments.front().from);
      while (run.segments.size() > 1 && run.segments.back().from >= at) run.segments.pop_back();
      run.segments.back().to = at;
      run.running = false;
      ended[id] = running[id];
      running.erase(id);
    };
    for (int step = 0; step < 260; ++step) {
      member.now += random_below(1'800) * kSecond + random_below(kSecond);
      member.estimator.default_seconds = static_cast<double>(random_below(20'000));
      const int event = static_cast<int>(random_below(10));
      if (event < 3 || running.empty()) {
        AdmissionRequest request = NewTask(next_id++, static_cast<int>(random_below(2)), 1 + random_below(8));
        request.node_kind = static_cast<int>(random_below(2));
        if (event == 0) {
          member.controller.OnTaskTakenOver(request, member.now - random_below(5) * kSecond, member.now);
          record_start(request, member.now);  // the start is replaced below by the corrected one
          reference.runs.back().segments.front().from = 0;
        }
        if (event != 0) {
          REQUIRE(member.Admit(request).admitted());
          REQUIRE(member.controller.Admit(request, member.now).admitted());  // a retry
          member.now += random_below(3 * kSecond);
          record_start(request, member.now - kSecond);
          member.controller.OnTaskAccepted(request, member.now - kSecond, member.now);
        } else {
          member.controller.CorrectTaskTimes(request.id, member.now - 7 * kSecond, 0, member.now);
          reference.runs.back().segments.front().from = member.now - 7 * kSecond;
        }
      } else if (event < 5) {
        const TaskId id = pick(running).first;
        const Time at = member.now - random_below(1'000) * kSecond;  // reported late
        member.controller.OnTaskEnded(id, at, member.now);
        member.controller.OnTaskEnded(id, member.now, member.now);  // a duplicate
        record_end(id, at);
      } else if (event == 5) {
        const TaskId id = pick(running).first;
        ReferenceRecord::Run& run = reference.runs[running[id]];
        const std::int64_t cores = 1 + random_below(8);
        const int node_kind = static_cast<int>(random_below(2));
        member.controller.OnTaskChanged(id, 0, {cores * 1000, 0}, node_kind, member.now);
        if (run.segments.back().from < member.now &&
            (run.segments.back().cores != cores || run.segments.back().node_kind != node_kind)) {
          run.segments.back().to = member.now;
          run.segments.push_back({member.now, 0, cores, node_kind});
        }
      } else if (event == 6) {
        const TaskId id = pick(running).first;
        const Time last_seen = member.now - random_below(100) * kSecond;
        member.controller.OnTaskLost(id, last_seen, member.now);
        record_end(id, last_seen);
        if (random_below(2) == 0) {
          AdmissionRequest request = NewTask(next_id++, 0, 1);
          request.type = RequestType::kReplacement;
          request.existing_task = id;
          REQUIRE(member.Admit(request).admitted());
          if (random_below(3) == 0) {
            member.controller.OnRequestCancelled(request.id, member.now);
          } else {
            member.controller.OnTaskAccepted(request, member.now, member.now);
            record_start(request, member.now);
          }
        }
      } else if (event == 7) {
        const TaskId id = pick(running).first;
        member.controller.OnTaskHandedOver(id, member.now, member.now);
        record_end(id, member.now);
      } else if (event == 8 && !ended.empty()) {
        const auto [id, index] = pick(ended);
        ReferenceRecord::Run& run = reference.runs[index];
        const Time to = run.segments.back().from + kSecond + random_below(3'000) * kSecond;
        if (to < member.now) {
          member.controller.CorrectTaskTimes(id, run.segments.front().from, to, member.now);
          run.segments.back().to = to;
        }
      } else if (event == 9) {  // a restart
        const json snapshot = json::parse(member.controller.Snapshot().dump());
        SpendingController restarted(member.plan, member.deployment, &member.estimator);
        restarted.Restore(snapshot);
        REQUIRE(restarted.Snapshot() == snapshot);
        member.controller = std::move(restarted);
      }
      member.Evaluate();
      if (step % 20 != 19) continue;
      const bool november = member.now >= reference.month_end * kSecond;
      REQUIRE(member.UsageOf(november ? -1 : 0).spent == reference.CostOfMonth(false, member.now));
      if (november) REQUIRE(member.UsageOf().spent == reference.CostOfMonth(true, member.now));
    }
    REQUIRE(member.now > reference.month_end * kSecond);
    CHECK(member.controller.counters().ended_tasks_evicted == 0);
  }
}

TEST_CASE("a retry of one placement counts once and a cancelled request releases its money") {
  SingleMember member(TestPlan("10"));
  REQUIRE(member.Admit(NewTask(1, 0, 8)).admitted());
  for (int i = 0; i < 5; ++i) CHECK(member.controller.Admit(NewTask(1, 0, 8), member.now).admitted());
  CHECK(member.UsageOf().reserved == 8 * kUnit);
  CHECK(member.Admit(NewTask(2, 0, 8)).reason == RejectionReason::kClassLimitReached);
  member.controller.OnRequestCancelled(1, member.now);
  CHECK(member.UsageOf().reserved == 0);
  CHECK(member.Admit(NewTask(2, 0, 8)).admitted());
  member.Evaluate(31 * kSecond);  // the task was not accepted in time
  CHECK(member.UsageOf().reserved == 0);
}

TEST_CASE("money above the limit of a class stays available to the other class and nothing exceeds the cap") {
  SingleMember member(TestPlan("10"));
  int web_tasks = 0, settlement_tasks = 0;
  for (TaskId id = 1; id <= 30; ++id) web_tasks += member.AdmitAndStart(NewTask(id, 0));
  for (TaskId id = 31; id <= 60; ++id) settlement_tasks += member.AdmitAndStart(NewTask(id, 1));
  CHECK(web_tasks == 9);
  CHECK(settlement_tasks == 1);
  CHECK(member.UsageOf().total() == 10 * kUnit);
}

TEST_CASE("a lost task has one replacement of at most its size and its money is reserved for that") {
  SingleMember member(TestPlan("10"));
  for (TaskId id = 1; id <= 9; ++id) REQUIRE(member.AdmitAndStart(NewTask(id, 0)));
  member.Evaluate(600 * kSecond);
  member.controller.OnTaskLost(3, member.now - 10 * kSecond, member.now);
  member.Evaluate(kSecond);
  CHECK(member.Admit(NewTask(20, 0)).reason == RejectionReason::kClassLimitReached);
  AdmissionRequest larger = NewTask(21, 0, 2), first = NewTask(22, 0), second = NewTask(23, 0);
  for (AdmissionRequest* request : {&larger, &first, &second})
    request->type = RequestType::kReplacement, request->existing_task = 3;
  CHECK_FALSE(member.Admit(larger).admitted());
  CHECK(member.Admit(first).admitted());
  CHECK_FALSE(member.Admit(second).admitted());
  member.controller.OnRequestCancelled(22, member.now);
  CHECK(member.Admit(second).admitted());
  member.controller.OnTaskAccepted(second, member.now, member.now);
  const AdmissionRequest same_id = NewTask(4, 0);  // the client requests the replacement under the same id
  member.controller.OnTaskLost(4, member.now, member.now);
  CHECK(member.controller.Admit(same_id, member.now).admitted());
  AdmissionRequest late = NewTask(24, 0);
  late.type = RequestType::kReplacement, late.existing_task = 5;
  member.controller.OnTaskLost(5, member.now, member.now);
  member.Evaluate(601 * kSecond);
  member.estimator.run_seconds[24] = 36'000;
  CHECK_FALSE(member.Admit(late).admitted());  // the remainder was reserved for ten minutes
}

TEST_CASE("the remainder of a lost task is not used for a short new task that would fit") {
  SingleMember member(TestPlan("10"));
  for (TaskId id = 1; id <= 9; ++id) REQUIRE(member.AdmitAndStart(NewTask(id, 0)));
  member.Evaluate(600 * kSecond);
  const Money before = member.UsageOf().total();
  member.controller.OnTaskLost(3, member.now, member.now);
  CHECK(member.UsageOf().total() == before);
  member.estimator.run_seconds[20] = member.estimator.run_seconds[21] = 300;
  CHECK(member.Admit(NewTask(20, 0)).reason == RejectionReason::kClassLimitReached);
  member.Evaluate(601 * kSecond);
  CHECK(member.Admit(NewTask(21, 0)).admitted());
}

TEST_CASE("a handover is never rejected and the giving member does not use the remainder for other tasks") {
  SingleMember giving(TestPlan("10")), receiving(TestPlan("10"));
  receiving.ledger.cap_of_team = [](int) { return Money{0}; };
  for (TaskId id = 1; id <= 9; ++id) REQUIRE(giving.AdmitAndStart(NewTask(id, 0)));
  giving.Evaluate(600 * kSecond);
  const Money drawn_before = giving.controller.FindAccount(0, giving.controller.CurrentMonth(0))->drawn();
  const Money usage_before = giving.UsageOf().total();
  giving.controller.OnTaskHandedOver(1, giving.now, giving.now);
  CHECK(giving.controller.Admit(NewTask(50, 0), giving.now).admitted() == false);
  const Account& account = *giving.controller.FindAccount(0, giving.controller.CurrentMonth(0));
  CHECK(drawn_before - account.drawn() == usage_before - giving.UsageOf().total());
  CHECK(usage_before - giving.UsageOf().total() > kUnit * 49 / 60);
  receiving.now = giving.now;
  receiving.controller.OnTaskTakenOver(NewTask(1, 0), giving.now, receiving.now);
  receiving.estimator.run_seconds[1] = 3000;
  receiving.Evaluate();
  CHECK(receiving.UsageOf().committed == kUnit * 50 / 60 + 1);
  CHECK(receiving.controller.FindAccount(0, receiving.controller.CurrentMonth(0))->Deficit() ==
        kUnit * 50 / 60 + 1);
  CHECK(receiving.controller.FindAccount(0, receiving.controller.CurrentMonth(0))->pool_overcommitted());
  CHECK_FALSE(receiving.Admit(NewTask(60, 0)).admitted());
}

TEST_CASE("at the cap a migration at no higher cost is admitted and a more expensive one is rejected") {
  SingleMember member(TestPlan("10"));
  for (TaskId id = 1; id <= 9; ++id) REQUIRE(member.AdmitAndStart(NewTask(id, 0)));
  AdmissionRequest same_cost = NewTask(20, 0), expensive = NewTask(21, 0);
  same_cost.type = expensive.type = RequestType::kMigration;
  same_cost.existing_task = expensive.existing_task = 2;
  expensive.node_kind = 1;
  CHECK(member.Admit(same_cost).admitted());
  member.controller.OnTaskChanged(2, 20, {1000, 0}, 0, member.now);
  CHECK(member.Admit(expensive).reason == RejectionReason::kClassLimitReached);
  member.controller.OnTaskEnded(9, member.now, member.now);
  CHECK(member.Admit(expensive).admitted());
  member.controller.OnTaskChanged(2, 21, {1000, 0}, 1, member.now);
  member.Evaluate();
  CHECK(member.UsageOf().reserved == 0);
  CHECK(member.UsageOf().total() <= 9 * kUnit);
}

TEST_CASE(
    "each month pays its seconds and a task that runs into the next month needs that month's money too") {
  // Half an hour before the month ends.
  SingleMember member(TestPlan("10"), ParseTime("2026-03-31T21:30:00Z"));
  for (TaskId id = 1; id <= 6; ++id) REQUIRE(member.AdmitAndStart(NewTask(id, 0), 7000));
  CHECK(member.UsageOf().committed <= 3 * kUnit);
  CHECK(member.UsageOf(1).committed > 8 * kUnit);
  CHECK(member.UsageOf(1).committed <= 9 * kUnit);
  const AdmissionDecision decision = member.Admit(NewTask(20, 0));
  CHECK(decision.reason == RejectionReason::kNextMonthLimitReached);
  CHECK(decision.retry_after == 3 * kSecond);
  member.estimator.run_seconds[21] = 60;
  CHECK(member.Admit(NewTask(21, 0)).admitted());
  member.Evaluate(3600 * kSecond);
  CHECK(member.controller.CurrentMonth(0) == *ParseMonth("2026-04"));
  CHECK(member.UsageOf(-1).committed == 0);
  CHECK(member.UsageOf().spent > 3 * kUnit - kUnit / 10);
  // Unused money was returned.
  CHECK(member.controller.FindAccount(0, *ParseMonth("2026-03"))->Surplus() == 0);
}

TEST_CASE("a cap lowered below the spending stops only new tasks and a raised cap admits them at once") {
  SingleMember member(TestPlan("10"));
  for (TaskId id = 1; id <= 9; ++id) REQUIRE(member.AdmitAndStart(NewTask(id, 0)));
  member.Evaluate(1800 * kSecond);
  member.controller.ApplyPlan(ParsePlan(TestPlan("4"), "f", member.deployment));
  member.Evaluate(kSecond);
  CHECK(member.UsageOf().total() == 9 * kUnit);  // all tasks continue to run
  CHECK(member.controller.CurrentStep(0, 0) == SpendingController::Step::kHardStop);
  const AdmissionDecision stopped = member.Admit(NewTask(20, 1));
  CHECK(stopped.reason == RejectionReason::kHardStop);
  CHECK(stopped.message.find("hard stop for settlement: 4.5") != std::string::npos);
  CHECK(stopped.retry_after <= 3 * kSecond);
  member.controller.OnTaskEnded(1, member.now, member.now);  // its money becomes free and is not used again
  CHECK_FALSE(member.Admit(NewTask(21, 1)).admitted());
  member.Evaluate(kSecond);
  CHECK(member.ledger.accounts.begin()->second.drawn < 9 * kUnit);
  member.controller.ApplyPlan(ParsePlan(TestPlan("20"), "f", member.deployment));
  CHECK(member.Admit(NewTask(22, 0)).admitted());
  CHECK(member.Evaluate(kSecond).size() >= 1);
  CHECK(member.controller.CurrentStep(0, 0) == SpendingController::Step::kNone);
}

TEST_CASE("money that becomes free does not exceed a cap that was lowered below the usage") {
  SingleMember member(TestPlan("100"));
  for (TaskId id = 1; id <= 80; ++id) REQUIRE(member.AdmitAndStart(NewTask(id, 0)));
  member.controller.ApplyPlan(ParsePlan(TestPlan("50"), "f", member.deployment));
  for (TaskId id = 1; id <= 40; ++id) {
    member.controller.OnTaskEnded(id, member.now, member.now);
    if (member.UsageOf().total() >= 45 * kUnit) CHECK_FALSE(member.Admit(NewTask(100 + id, 0)).admitted());
  }
  member.Evaluate(kSecond);
  CHECK(member.Admit(NewTask(200, 0)).admitted());
  CHECK(member.UsageOf().total() <= 50 * kUnit);
}

TEST_CASE("money that becomes free does not exceed a class limit that was lowered below the usage") {
  SingleMember member(TestPlan("100"));
  for (TaskId id = 1; id <= 80; ++id) REQUIRE(member.AdmitAndStart(NewTask(id, 0)));
  member.controller.ApplyPlan(ParsePlan(TestPlan("100", 0.5), "f", member.deployment));
  for (TaskId id = 1; id <= 30; ++id) {
    member.controller.OnTaskEnded(id, member.now, member.now);
    if (member.UsageOf().total() >= 50 * kUnit) CHECK_FALSE(member.Admit(NewTask(100 + id, 0)).admitted());
  }
  for (TaskId id = 31; id <= 35; ++id) member.controller.OnTaskEnded(id, member.now, member.now);
  member.Evaluate(kSecond);
  CHECK(member.Admit(NewTask(200, 0)).admitted());
  CHECK(member.UsageOf().total() <= 50 * kUnit);
}

TEST_CASE("invalid estimates and sizes and ends are bounded and counted") {
  SingleMember member(TestPlan("1000000"));
  member.estimator.default_seconds = 1e300;
  CHECK(member.Admit(NewTask(1, 0)).admitted());
  member.estimator.default_seconds = std::nan("");
  CHECK(member.Admit(NewTask(2, 0)).admitted());
  member.estimator.default_seconds = 36'000;
  CHECK(member.Admit({3, "shop", "pay", 0, {INT64_MAX, INT64_MIN}, 99, RequestType::kNew, 0}).reason ==
        RejectionReason::kExceedsClassLimit);
  CHECK(member.controller.counters().invalid_estimates >= 2);
  REQUIRE(member.AdmitAndStart(NewTask(4, 0)));
  const Money before = member.UsageOf().spent;
  member.controller.OnTaskEnded(4, member.now + 9'000 * kSecond, member.now);
  CHECK(member.UsageOf().spent == before);
  CHECK(member.controller.counters().future_ends == 1);
  member.controller.OnTaskEnded(777, member.now, member.now);
  member.controller.CorrectTaskTimes(777, 0, member.now, member.now);
  CHECK(member.controller.counters().unknown_tasks + member.controller.counters().too_late == 2);
  for (int i = 0; i < 200; ++i)
    member.controller.OnTaskChanged(1, 0, {1000 + i, 0}, 0, member.now += kSecond);
  REQUIRE(member.AdmitAndStart(NewTask(5, 0)));
  for (int i = 0; i < 200; ++i)
    member.controller.OnTaskChanged(5, 0, {1000 + i, 0}, 0, member.now += kSecond);
  CHECK(member.controller.counters().segments_full == 200 - (SpendingController::kMaxSegments));
}

TEST_CASE("rejections name a ledger that does not answer and drawn money is used in the meantime") {
  SingleMember member(TestPlan("100"), ParseTime("2026-03-10T12:00:00Z"), 4);
  REQUIRE(member.AdmitAndStart(NewTask(1, 0)));
  int admitted = 0;
  AdmissionDecision decision;
  for (TaskId id = 2; id < 40; ++id) {
    member.now += kSecond;
    member.controller.CollectDrawRequests(member.now);  // the requests do not reach the ledger
    decision = member.controller.Admit(NewTask(id, 0), member.now);
    admitted += decision.admitted();
  }
  CHECK(admitted >= 1);
  CHECK(decision.reason == RejectionReason::kLedgerTimeout);
  CHECK(decision.retry_after == 3 * kSecond);
}

}  // namespace
}  // namespace cluster_manager::spending
