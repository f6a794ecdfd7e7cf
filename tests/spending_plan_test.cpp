// Months compared with the time zones of the C library, tariffs with a sum over each second, and the errors
// of the plan document.
#include <doctest/doctest.h>

#include <cstdlib>
#include <ctime>
#include <fstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include "spending_fixtures.h"

namespace cluster_manager::spending {
namespace {

using nlohmann::json;

TimeZone ParseRule(const std::string& text) {
  std::string error;
  const std::optional<TimeZone> zone = TimeZone::Parse(text, &error);
  REQUIRE_MESSAGE(zone.has_value(), text << ": " << error);
  return *zone;
}

// Sets the time zone of the C library, an independent implementation of the same rules, for the lifetime of
// the object.
struct LibraryTimeZone {
  std::string before = std::getenv("TZ") == nullptr ? "" : std::getenv("TZ");
  bool had = std::getenv("TZ") != nullptr;
  explicit LibraryTimeZone(const std::string& rule) {
    setenv("TZ", rule.c_str(), 1);
    tzset();
  }
  ~LibraryTimeZone() {
    had ? setenv("TZ", before.c_str(), 1) : unsetenv("TZ");
    tzset();
  }
  static std::tm Local(Seconds at) {
    const std::time_t time = at;
    std::tm local{};
    localtime_r(&time, &local);
    return local;
  }
};

TEST_CASE("month and offset of every hour of a year agree with the C library") {
  for (const char* rule :
       {kBerlinRule, "UTC0", "EST5EDT,M3.2.0,M11.1.0", "AEST-10AEDT,M10.1.0,M4.1.0/3", "IST-5:30",
        "<-02>2<-01>,M3.5.0/-1,M10.5.0/0", "<+1030>-10:30<+11>-11,M10.1.0,M4.1.0",
        "EET-2EEST,M4.5.5/0,M10.5.4/24", "XXX0YYY-2,M12.5.0/167,M3.1.0/-167"}) {
    const TimeZone zone = ParseRule(rule);
    LibraryTimeZone library(rule);
    int mismatches = 0;
    for (Seconds at = *ParseInstant("2025-12-30T00:00:00Z"); at < *ParseInstant("2027-01-03T00:00:00Z");
         at += 3600) {
      const std::tm local = LibraryTimeZone::Local(at);
      mismatches += zone.OffsetAt(at) != local.tm_gmtoff;
      mismatches += zone.MonthAt(at) != (local.tm_year + 1900) * 12 + local.tm_mon;
    }
    CHECK_MESSAGE(mismatches == 0, rule);
  }
}

TEST_CASE("months have no gaps or overlaps and 743 or 745 hours if clocks change") {
  const TimeZone berlin = ParseRule(kBerlinRule);
  CHECK((berlin.MonthStart(*ParseMonth("2026-04")) - berlin.MonthStart(*ParseMonth("2026-03"))) / 3600 ==
        743);
  CHECK((berlin.MonthStart(*ParseMonth("2026-11")) - berlin.MonthStart(*ParseMonth("2026-10"))) / 3600 ==
        745);
  // A month begins once if clocks are set back across its first midnight, and it begins if they skip that
  // midnight.
  for (const char* rule :
       {"AAA0BBB,M3.5.0,M11.1.0/0:30", "AAA0BBB,M11.1.0/0,M3.5.0", "AAA0BBB,M11.1.0/-1,M3.1.0/1"}) {
    const TimeZone zone = ParseRule(rule);
    for (Month month = 2026 * 12; month < 2032 * 12; ++month) {
      const Seconds start = zone.MonthStart(month);
      CHECK(zone.MonthAt(start) == month);
      CHECK(zone.MonthAt(start - 1) == month - 1);
      CHECK(zone.MonthAt(start + 5400) == month);
      CHECK(zone.MonthStart(month + 1) > start + 27 * 86'400);
    }
  }
}

TEST_CASE("the error for an invalid rule names the character") {
  const std::map<std::string, std::string> invalid_rules = {
      {"", "a zone name of three letters or more at character 1"},
      {"Europe/Berlin", "a number from 0 to 24 at character 7"},
      {"CET-1CEST", "a transition such as \",M3.5.0/2\""},
      {"CET-1CEST,J60,J300", "a transition such as \",M3.5.0/2\""},
      {"CET-1CEST,M13.5.0,M10.5.0", "a number from 1 to 12 at character 12"},
      {"CET-1CEST,M3.5.0,M10.5.0/3x", "the end at character 27"},
      {"CET-25", "a number from 0 to 24"}};
  for (const auto& [rule, expected] : invalid_rules) {
    std::string error;
    CHECK_FALSE(TimeZone::Parse(rule, &error).has_value());
    CHECK_MESSAGE(error.find(expected) != std::string::npos, rule << ": " << error);
  }
}

TEST_CASE("amounts are formatted and parsed exactly and other texts are rejected") {
  for (const char* text : {"0.00", "0.000001", "1250.50", "1000000000000.00", "0.10"})
    CHECK(FormatMoney(*ParseMoney(text)) == text);
  CHECK(FormatMoney(-1) == "-0.000001");
  for (const char* text :
       {"", ".5", "1.", "-1", "1e3", "1.0000001", "1000000000001", "1,5", " 1", "9999999999999"})
    CHECK_FALSE(ParseMoney(text).has_value());
}

TEST_CASE("a cost is the sum of its seconds at the tariffs then in force however the time is divided") {
  std::mt19937_64 random(3);
  for (int round = 0; round < 200; ++round) {
    std::vector<Tariffs::DatedPrices> dated;
    const Seconds base = 1'780'000'000;
    Seconds from = base;
    for (int i = 0; i < 4; ++i) {
      const auto price = [&] {
        return Prices{Money(random() % 1000), Money(random() % 1000), Money(random() % 1000)};
      };
      dated.push_back({from, {price(), price()}});
      from += 1 + static_cast<Seconds>(random() % 300);
    }
    const Tariffs tariffs(dated);
    const TaskSize size{Money(random() % 64'000), Money(random() % 4096)};
    const int node_kind = static_cast<int>(random() % 3) - 1;
    const Seconds start = base - 100 + static_cast<Seconds>(random() % 400),
                  end = start + static_cast<Seconds>(random() % 900);
    const Seconds middle = start + static_cast<Seconds>(random() % 900) % (end - start + 1);
    Int128 sum = 0;
    for (Seconds at = start; at < end; ++at) {
      const Tariffs::DatedPrices* in_force = &dated[0];
      for (const Tariffs::DatedPrices& entry : dated) in_force = entry.from <= at ? &entry : in_force;
      const Prices& price = in_force->by_node_kind[node_kind == 0 ? 0 : 1];
      sum += Int128{price.core_hour} * size.millicores * 1024 +
             Int128{price.gib_hour} * size.memory_mib * 1000 + Int128{price.task_hour} * 1'024'000;
    }
    CHECK((tariffs.CostParts(size, node_kind, start, end) == sum));
    CHECK((tariffs.CostParts(size, node_kind, start, middle) +
               tariffs.CostParts(size, node_kind, middle, end) ==
           sum));
    const Money rounded = Tariffs::RoundUp(sum);
    CHECK((Int128{rounded} * Tariffs::kPartsPerMicroUnit >= sum &&
           (rounded == 0 || Int128{rounded - 1} * Tariffs::kPartsPerMicroUnit < sum)));
  }
}

std::string ErrorsOf(const json& document) {
  try {
    ParsePlan(document, "s.json", TestDeployment());
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("each error in a plan names its place and value and what is allowed") {
  struct InvalidValue {
    const char* place;
    json value;
    const char* expected;
  };
  const InvalidValue invalid_values[] = {
      {"/version", 2, "s.json: version: is 2, write a number from 1 to 1"},
      {"/teams/0/cap", -5, "s.json: teams[0].cap: is -5, write an amount from \"0\""},
      {"/teams/0/cap", 1.5, "s.json: teams[0].cap: is 1.5, write an amount"},
      {"/teams/0/zone", "Europe/Berlin", "teams[0].zone: is \"Europe/Berlin\", expected a number"},
      {"/teams/0/colour", "red", "teams[0].colour: is not known here, write one of: name, zone, cap"},
      {"/teams/0/members", json::array(), "teams[0].members: is [], write a list of 1 to 10000"},
      {"/teams/0/members/0", json::object(), "teams[0].members[0]: is {}, write a tenant, a service or both"},
      {"/teams/0/steps/batch", json::object(),
       "steps.batch: is not known here, write one of: *, web-api, settlement"},
      {"/teams/0/steps/*/notice", 0.95, "steps.*.notice: is 0.95, write at most no_more_workers, 0.9"},
      {"/teams/0/steps/*/hard_stop", 0.5, "steps.*.hard_stop: is 0.5, write at least no_more_workers, 0.9"},
      {"/tariffs/0/from", "2026-02-30T00:00:00Z",
       "tariffs[0].from: is \"2026-02-30T00:00:00Z\", write an instant"},
      {"/tariffs/0/kinds/huge", json::object(),
       "tariffs[0].kinds.huge: is not known here, write one of: small, large, *"},
      {"/tariffs/0/kinds/*/core_hour", "2000000",
       "tariffs[0].kinds.*: sums to 2000000.00 an hour, write prices of at most 1000000.00"},
      {"/terms", {{"ask_kept_s", 0}}, "terms.ask_kept_s: is 0, write a number from 1 to 3600"}};
  CHECK(ErrorsOf(TestPlan()).empty());
  for (const InvalidValue& invalid : invalid_values) {
    json document = TestPlan();
    document[json::json_pointer(invalid.place)] = invalid.value;
    CHECK_MESSAGE(ErrorsOf(document).find(invalid.expected) != std::string::npos,
                  invalid.place << ": " << ErrorsOf(document));
  }
  json document = TestPlan();
  document["tariffs"].push_back(document["tariffs"][0]);
  CHECK(ErrorsOf(document).find("tariffs[1].from: is \"2026-01-01T00:00:00Z\", write an instant after") !=
        std::string::npos);
}

TEST_CASE(
    "a plan in which two teams pay for one task is rejected unless a pair of tenant and service decides") {
  json document = TestPlan();
  document["teams"].push_back(document["teams"][0]);
  document["teams"][1]["name"] = "shop";
  CHECK(ErrorsOf(document).find(
            "teams[1].members[0]: is {\"service\":\"pay\"}, which teams[0].members[0] lists already") !=
        std::string::npos);
  document["teams"][1]["members"] = {{{"tenant", "shop"}}};
  CHECK(ErrorsOf(document).find(
            "write {\"tenant\": \"shop\", \"service\": \"pay\"} under the team that pays") !=
        std::string::npos);
  document["teams"][1]["members"].push_back({{"tenant", "shop"}, {"service", "pay"}});
  REQUIRE(ErrorsOf(document).empty());
  const Plan plan = ParsePlan(document, "f", TestDeployment());
  CHECK(plan.FindTeam("shop", "pay") == 1);
  CHECK(plan.FindTeam("shop", "mail") == 1);
  CHECK(plan.FindTeam("bank", "pay") == 0);
  CHECK(plan.FindTeam("bank", "mail") == -1);
}

TEST_CASE("the deployed plan is valid by its schema and by the parser and both reject the same errors") {
  const auto load = [](const char* name) {
    std::ifstream in(std::string(WILLOWRAIL_DEPLOY) + name);
    REQUIRE(in);
    return json::parse(in);
  };
  const json schema = load("/spending.schema.json"), valid = load("/spending.json");
  const auto matches_schema = [&](const json& document) {
    valijson::Schema parsed;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schema), parsed);
    valijson::Validator validator;
    return validator.validate(parsed, valijson::adapters::NlohmannJsonAdapter(document), nullptr);
  };
  CHECK(matches_schema(valid));
  const Plan plan = LoadPlan(std::string(WILLOWRAIL_DEPLOY) + "/spending.json", TestDeployment());
  CHECK(plan.teams.at(0).NewTaskLimit(0) == 10'800 * kUnit);
  CHECK(plan.teams.at(0).NewTaskLimit(1) == 12'000 * kUnit);
  for (const char* place :
       {"/version", "/teams/0/cap", "/teams/0/quantile", "/tariffs/0/from", "/terms/ask_kept_s"}) {
    json invalid = valid;
    invalid[json::json_pointer(place)] = "never";
    CHECK_FALSE(matches_schema(invalid));
    CHECK_FALSE(ErrorsOf(invalid).empty());
  }
}

}  // namespace
}  // namespace cluster_manager::spending
