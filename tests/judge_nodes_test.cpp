// The judge of trials: the rules on what is sent to a node, which hold by its group, its list state and its
// age.
#include "judge_trial.h"

namespace cluster_manager::faults {
namespace {

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

}  // namespace
}  // namespace cluster_manager::faults
