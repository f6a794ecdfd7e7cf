// The judge of trials: clean records pass, and records with one rule broken by hand are told, with the
// witness.
#include "faults/judge.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace cluster_manager::faults {
namespace {

using nlohmann::json;
using Time = std::int64_t;
constexpr Time kStart = 1'700'000'000'000'000'000, kMs = 1'000'000;

// A trial of 60 s with one task that is served by n1 through m0, and ends after two seconds.
struct Trial {
  std::vector<json> records;
  Terms terms;

  Trial() {
    Say(0, "rig", "begin", {});
    Say(60'000, "rig", "end", {{"on", "trial"}});
    Boot("n1", "s-1", 1);
    Boot("n2", "s-2", 1);
  }
  void Say(Time ms, const std::string& who, const std::string& what, json more) {
    more["t"] = kStart + ms * kMs;
    more["who"] = who;
    more["what"] = what;
    records.push_back(std::move(more));
  }
  void Boot(const std::string& node, const std::string& uid, Time ms) {
    Say(ms, node, "boot", {{"uid", uid}});
  }
  void Ask(const std::string& id, Time ms, const std::string& class_name = "web-api",
           const std::string& name = "") {
    Say(ms, "o0", "ask",
        {{"id", id},
         {"name", name.empty() ? id : name},
         {"class", class_name},
         {"m", "m0"},
         {"wait_ms", "3000"},
         {"try", "1"}});
  }
  void Offer(const std::string& id, Time ms, const std::string& node = "n1", const std::string& uid = "s-1",
             const std::string& class_name = "web-api", const std::string& name = "") {
    Say(ms, "m0>" + node, "offered", {{"id", id}, {"link", "1"}});
    Arrive(id, ms + 1, node, uid, class_name, name);
  }
  void Arrive(const std::string& id, Time ms, const std::string& node, const std::string& uid,
              const std::string& class_name = "web-api", const std::string& name = "") {
    Say(ms, node, "arrive",
        {{"id", id}, {"uid", uid}, {"class", class_name}, {"name", name.empty() ? id : name}});
  }
  void Answer(const std::string& id, Time ms, const std::string& node = "n1") {
    Say(ms, node, "answer", {{"id", id}, {"uid", "s-1"}});
  }
  void End(const std::string& id, Time ms, const std::string& why, const std::string& node = "n1") {
    Say(ms, node, "end", {{"id", id}, {"uid", "s-1"}, {"why", why}});
  }
  void Owner(const std::string& id, Time ms, const std::string& what, const std::string& figure = "16") {
    Say(ms, "o0", what, {{"id", id}, {"figure", figure}, {"m", "m0"}});
  }
  void Served(const std::string& id, Time from, const std::string& class_name = "web-api") {
    Ask(id, from, class_name);
    Offer(id, from + 1, "n1", "s-1", class_name);
    Answer(id, from + 50);
    Owner(id, from + 52, "served", "s-1");
  }
  void Whole(const std::string& id, Time from) {
    Served(id, from);
    End(id, from + 2000, "over");
    Owner(id, from + 2001, "over");
  }
  void Fault(const std::string& on, Time from, Time to) {
    Say(from, "rig", "fault", {{"on", on}, {"kind", "cut"}});
    Say(to, "rig", "healed", {{"on", on}, {"kind", "cut"}});
  }
  std::vector<std::string> Rules() const {
    std::vector<std::string> rules;
    for (const Breach& breach : Judge(records, terms).breaches) {
      rules.push_back(breach.rule);
      CHECK_FALSE(breach.witness.empty());
    }
    return rules;
  }
  using Expected = std::vector<std::string>;
};

TEST_CASE_FIXTURE(Trial, "a trial in which all goes well has no breach, and is counted") {
  Whole("a1", 1000);
  Ask("a2", 1500);
  Owner("a2", 1600, "refused", "250");
  CHECK(Rules().empty());
  const Verdict verdict = Judge(records, terms);
  CHECK(verdict.classes.at("web-api").asked == 2);
  CHECK(verdict.classes.at("web-api").served == 1);
  CHECK(verdict.classes.at("web-api").refused == 1);
  CHECK(verdict.seconds.at("web-api").at(1).asked == 2);
  CHECK(verdict.attempts == 1);
  CHECK(verdict.attempts_on.at("n1") == 1);
}

TEST_CASE_FIXTURE(Trial, "a second outcome") {
  SUBCASE("refused and then answered") {
    Ask("a1", 1000);
    Owner("a1", 1100, "refused", "250");
    Owner("a1", 1200, "answer_again");
  }
  SUBCASE("answered twice") {
    Whole("a1", 1000);
    Owner("a1", 1100, "answer_again");
  }
  SUBCASE("failed and then released again") {
    Ask("a1", 1000);
    Owner("a1", 1100, "failed", "41");
    Owner("a1", 1200, "over_again");
  }
  CHECK(Rules() == Expected{"one outcome"});
}

TEST_CASE_FIXTURE(Trial, "an answer that crosses its owner's giving up, or an end told twice, is no breach") {
  Ask("a1", 1000);
  Fault("m0", 900, 4500);
  Owner("a1", 4400, "gave_up");
  Owner("a1", 4410, "answer_again");
  Whole("a2", 5000);
  Owner("a2", 7100, "over_again");
  CHECK(Rules().empty());
  CHECK(Judge(records, terms).classes.at("web-api").excused == 1);
}

TEST_CASE_FIXTURE(Trial, "an end that overtook an answer which a cut relay held is no breach") {
  Ask("a1", 1000);
  Fault("o0>m0", 1020, 4000);
  Owner("a1", 3000, "failed");
  Owner("a1", 4010, "answer_again");
  CHECK(Rules().empty());
}

TEST_CASE_FIXTURE(Trial, "a request that gets no outcome") {
  Ask("a1", 1000);
  SUBCASE("nothing was heard") {}
  SUBCASE("it was given up") { Owner("a1", 4400, "gave_up"); }
  SUBCASE("its connection ended") { Owner("a1", 1400, "broken"); }
  SUBCASE("its connection was closed in order, long after it was asked") { Owner("a1", 1400, "crossed"); }
  SUBCASE("a fault elsewhere, or earlier, is no excuse") {
    Fault("m1", 900, 9000);
    Fault("o1>m0", 900, 9000);
    Fault("m0>n1", 900, 9000);
    Fault("m0", 100, 900);
  }
  CHECK(Rules() == Expected{"answered"});
  Fault("o0>m0", 1300, 1350);
  CHECK(Rules().empty());
}

TEST_CASE_FIXTURE(Trial, "a request that crosses the close of its connection is sent again, and no breach") {
  Ask("a1", 1000);
  Owner("a1", 1000 + 50, "crossed");
  CHECK(Rules().empty());
  Ask("a2", 1000);
  Owner("a2", 1000 + 50 + 50 + 1, "crossed");  // with the slack of two clocks
  CHECK(Rules() == Expected{"answered"});
  terms.slack = 1000 * kMs;  // of a busy machine: the window stays
  CHECK(Rules() == Expected{"answered"});
}

TEST_CASE_FIXTURE(Trial, "two attempts of one task out at once") {
  Ask("a1", 1000);
  Owner("a1", 2000, "refused", "250");
  Offer("a1", 1001);
  SUBCASE("the first was never given up") {
    Offer("a1", 1500, "n2", "s-2");
    CHECK(Rules() == Expected{"never two out"});
  }
  SUBCASE("it was given up a second too late") {
    Offer("a1", 1500, "n2", "s-2");
    Say(2500, "m0>n1", "released", {{"id", "a1"}, {"link", "1"}});
    CHECK(Rules() == Expected{"never two out"});
  }
  SUBCASE("it was given up on the wire before, though its node never heard so") {
    Say(1499, "m0>n1", "released", {{"id", "a1"}, {"link", "1"}});
    Offer("a1", 1500, "n2", "s-2");
    CHECK(Rules().empty());
  }
  SUBCASE("its connection was closed before") {
    Say(1499, "m0>n1", "closed", {{"link", "1"}});
    Offer("a1", 1500, "n2", "s-2");
    CHECK(Rules().empty());
  }
  SUBCASE("its answer was lost with its connection, which the rig reset") {
    Answer("a1", 1400);
    Say(1401, "rig", "fault", {{"on", "m0>n1"}, {"kind", "reset"}});
    Say(1450, "rig", "healed", {{"on", "m0>n1"}, {"kind", "reset"}});
    Offer("a1", 1500, "n2", "s-2");
    CHECK(Rules().empty());
  }
  SUBCASE("its node refused it before") {
    Say(1400, "n1", "refuse", {{"id", "a1"}});
    Offer("a1", 1500, "n2", "s-2");
    CHECK(Rules().empty());
  }
}

TEST_CASE_FIXTURE(Trial, "a fourth attempt") {
  Ask("a1", 1000);
  Owner("a1", 2000, "refused", "250");
  for (int i = 0; i < 4; ++i) {
    Offer("a1", 1001 + 10 * i);
    Say(1005 + 10 * i, "n1", "refuse", {{"id", "a1"}});
    CHECK(Rules() == (i < 3 ? Expected{} : Expected{"at most three"}));
  }
}

TEST_CASE_FIXTURE(Trial, "a settlement that may have been started twice") {
  Ask("a1", 1000, "settlement", "pay");
  Offer("a1", 1001, "n1", "s-1", "settlement", "pay");
  Owner("a1", 1200, "refused", "250");
  Ask("a2", 2000, "settlement", "pay");
  Offer("a2", 2001, "n1", "s-1", "settlement", "pay");
  Owner("a2", 2100, "refused", "250");
  SUBCASE("neither was refused by its node") {
    End("a1", 1100, "given_up");
    CHECK(Rules() == Expected{"settlement once"});
  }
  SUBCASE("the first never ran") {
    Say(1100, "n1", "refuse", {{"id", "a1"}});
    CHECK(Rules().empty());
  }
}

TEST_CASE_FIXTURE(Trial, "a keyed task that is offered again after its key's time") {
  Ask("a1", 1000, "card-worker");
  Owner("a1", 1200, "refused", "250");
  Offer("a1", 1001, "n1", "s-1", "card-worker");
  End("a1", 1300, "given_up");
  bool late = false;
  SUBCASE("just within") {}
  SUBCASE("after it") { late = true; }
  Offer("a1", late ? 7100 : 6900, "n2", "s-2", "card-worker");
  CHECK(Rules() == (late ? Expected{"within its window"} : Expected{}));
}

TEST_CASE_FIXTURE(Trial, "a keyed task that may have run and is offered to a node of another group") {
  std::string domain = "zone";
  bool broken = true;
  bool refused = false;
  SUBCASE("of another zone") {}
  SUBCASE("of another cell") { domain = "cell"; }
  SUBCASE("where all nodes know the key") {
    domain = "all";
    broken = false;
  }
  SUBCASE("where the first node has refused it") {
    refused = true;
    broken = false;
  }
  Say(1, "rig", "group", {{"on", "card-worker"}, {"domain", domain}});
  Say(1, "rig", "place", {{"on", "s-1"}, {"zone", "hall-a"}, {"cell", 1}});
  Say(1, "rig", "place", {{"on", "s-2"}, {"zone", "hall-b"}, {"cell", 2}});
  Ask("a1", 1000, "card-worker");
  Offer("a1", 1001, "n1", "s-1", "card-worker");
  if (refused) {
    Say(1010, "n1", "refuse", {{"id", "a1"}});
  } else {
    End("a1", 1010, "error");
  }
  Offer("a1", 1100, "n2", "s-2", "card-worker");
  Owner("a1", 1200, "served", "s-2");
  CHECK(Rules() == (broken ? Expected{"inside its group"} : Expected{}));
}

TEST_CASE_FIXTURE(Trial, "an end that is not told, or too late") {
  Served("a1", 1000);
  SUBCASE("never") {
    End("a1", 3000, "over");
    CHECK(Rules() == Expected{"ends are told"});
  }
  SUBCASE("after two seconds") {
    End("a1", 3000, "over");
    Owner("a1", 5000, "over");
    CHECK(Rules() == Expected{"ends are told"});
  }
  SUBCASE("its node died: within eight seconds is in time, later is not") {
    End("a1", 3000, "died");
    SUBCASE("") {
      Owner("a1", 10'900, "over", "41");
      CHECK(Rules().empty());
    }
    SUBCASE("") {
      Owner("a1", 11'300, "over", "41");
      CHECK(Rules() == Expected{"ends are told"});
    }
  }
  SUBCASE("the way between was cut: within eight seconds of its return") {
    End("a1", 3000, "over");
    Fault("m0>n1", 2000, 6000);
    SUBCASE("") {
      Owner("a1", 13'900, "over");
      CHECK(Rules().empty());
    }
    SUBCASE("") { CHECK(Rules() == Expected{"ends are told"}); }
  }
  SUBCASE("its cluster manager died, and it was handed to another, which does not tell") {
    Fault("m0", 2000, 60'000);
    Say(4000, "o0", "hand", {{"id", "a1"}, {"m", "m1"}, {"uid", "s-1"}});
    End("a1", 6000, "over");
    CHECK(Rules() == Expected{"ends are told"});
  }
}

TEST_CASE_FIXTURE(Trial, "an owner is told that a task is over which runs on") {
  Served("a1", 1000);
  Owner("a1", 2000, "over", "41");
  SUBCASE("to the end of the trial") { CHECK(Rules() == Expected{"told too early"}); }
  SUBCASE("to its own end") {
    End("a1", 2800, "over");
    CHECK(Rules() == Expected{"told too early"});
  }
  SUBCASE("the list had called its node gone") {
    Say(1900, "list", "told", {{"uid", "s-1"}, {"node", "n1"}, {"state", "terminated"}});
    CHECK(Rules().empty());
  }
  SUBCASE("it is cut for it at once") {
    End("a1", 2010, "cut");
    CHECK(Rules().empty());
  }
  SUBCASE("it is cut once its node is in reach again") {
    Fault("m0>n1", 1500, 8000);
    End("a1", 8300, "cut");
    CHECK(Rules().empty());
  }
}

TEST_CASE_FIXTURE(Trial, "a set-up to a node that was to leave") {
  Say(500, "list", "told", {{"uid", "s-1"}, {"node", "n1"}, {"state", "terminating"}});
  SUBCASE("within the grace") {
    Whole("a1", 900);
    CHECK(Rules().empty());
  }
  SUBCASE("after it") {
    Whole("a1", 1200);
    CHECK(Rules() == Expected{"nothing after a drain"});
  }
  SUBCASE("after it was told to be in service again") {
    Say(1000, "list", "told", {{"uid", "s-1"}, {"node", "n1"}, {"state", "in_service"}});
    Whole("a1", 1200);
    CHECK(Rules().empty());
  }
  SUBCASE("the list was silent to that cluster manager") {
    Fault("m0>list", 400, 3000);
    Whole("a1", 1200);
    CHECK(Rules().empty());
  }
  SUBCASE("to another life at the address") {
    Boot("n1", "s-3", 1000);
    Ask("a1", 1200);
    Offer("a1", 1201, "n1", "s-3");
    Owner("a1", 1300, "refused", "250");
    CHECK(Rules().empty());
  }
}

TEST_CASE_FIXTURE(Trial, "more sends to a cold node than it survives") {
  Boot("n2", "s-9", 10'000);
  const auto sends = [&](int count, Time apart) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "c" + std::to_string(i);
      Ask(id, 11'000 + i * apart);
      Offer(id, 11'001 + i * apart, "n2", "s-9");
      Owner(id, 11'100 + i * apart, "refused", "250");
    }
  };
  SUBCASE("as many as it survives") {
    sends(24, 10);
    CHECK(Rules().empty());
  }
  SUBCASE("one more") {
    sends(25, 10);
    CHECK(Rules() == Expected{"cold nodes"});
  }
  const auto told_at = [this](Time ms) {
    Say(ms, "list", "told", {{"uid", "s-9"}, {"node", "n2"}, {"state", "in_service"}});
  };
  SUBCASE("under two thirds of them after the list has told of its start") {
    told_at(11'105);
    sends(25, 10);
    CHECK(Rules().empty());
  }
  SUBCASE("over two thirds of them after the list has told of its start") {
    told_at(11'065);
    sends(25, 10);
    CHECK(Rules() == Expected{"cold nodes"});
  }
  SUBCASE("many, but slowly") {
    sends(60, 70);
    CHECK(Rules().empty());
  }
}

TEST_CASE_FIXTURE(Trial, "records come in any order, and one that lacks what its kind has is named") {
  Whole("a1", 1000);
  std::ranges::reverse(records);
  CHECK(Rules().empty());
  records.push_back({{"t", kStart}, {"who", "o0"}, {"what", "served"}, {"id", "x"}});
  records.push_back({{"t", kStart}, {"who", "o0"}, {"what", "ask"}, {"id", "x"}});
  CHECK_THROWS_WITH_AS(Judge(records, terms), doctest::Contains("has no text \"name\""),
                       std::invalid_argument);
}

}  // namespace
}  // namespace cluster_manager::faults
