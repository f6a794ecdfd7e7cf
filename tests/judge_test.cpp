// The judge of trials: clean records pass, and records with one rule broken by hand are told, with the
// witness.
#include <algorithm>

#include "judge_trial.h"

namespace cluster_manager::faults {
namespace {

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
