// The log of a program under test: what is read of it, and that a failing test shows it.
#include "program_log.h"

#include <array>
#include <cstdio>
#include <memory>

namespace cluster_manager::story {
namespace {

// Notes failed assertions of the test case that runs, for ProgramLog.
struct FailureListener : doctest::IReporter {
  explicit FailureListener(const doctest::ContextOptions&) {}
  void report_query(const doctest::QueryData&) override {}
  void test_run_start() override {}
  void test_run_end(const doctest::TestRunStats&) override {}
  void test_case_start(const doctest::TestCaseData&) override { test_has_failed = false; }
  void test_case_reenter(const doctest::TestCaseData&) override { test_has_failed = false; }
  void test_case_end(const doctest::CurrentTestCaseStats&) override {}
  void test_case_exception(const doctest::TestCaseException&) override { test_has_failed = true; }
  void subcase_start(const doctest::SubcaseSignature&) override {}
  void subcase_end() override {}
  void log_assert(const doctest::AssertData& data) override { test_has_failed |= data.m_failed; }
  void log_message(const doctest::MessageData& data) override {
    test_has_failed |= data.m_severity != doctest::assertType::is_warn;
  }
  void test_case_skipped(const doctest::TestCaseData&) override {}
};
REGISTER_LISTENER("failure", 1, FailureListener);

struct Pipe {
  Pipe() {
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    write_end = ends[1];
    log = std::make_unique<ProgramLog>(ends[0]);
  }
  ~Pipe() { ::close(write_end); }
  void Write(std::string_view text) const {
    REQUIRE(::write(write_end, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  }
  std::string Printed() const {
    char* text = nullptr;
    std::size_t size = 0;
    std::FILE* const to = ::open_memstream(&text, &size);
    log->Print(to);
    std::fclose(to);
    std::string printed(text, size);
    std::free(text);
    return printed;
  }

  int write_end = -1;
  std::unique_ptr<ProgramLog> log;
};

TEST_CASE_FIXTURE(Pipe, "a line of the program's log is found from the last one on") {
  Write("1.000 first a\n1.001 second\n1.002 first b\n");
  CHECK(log->Find("first ") == "a");
  CHECK(log->Find("first ") == "b");
}

TEST_CASE_FIXTURE(Pipe, "statistics are read whole, and never a part of older ones") {
  Write("counter admin_connections 0\ncounter attempts_sent 1\nsize deadlines 3\n");
  CHECK(log->Find("counter attempts_sent ") == "1");  // the rest of these is left unread
  Write("1.000 a line between\ncounter admin_connections 0\ncounter attempts_sent 2\nsize deadlines 4\n");
  const Statistics statistics = log->NextStatistics();
  CHECK(statistics.at("counter attempts_sent") == "2");
  CHECK(statistics.at("size deadlines") == "4");
}

TEST_CASE_FIXTURE(Pipe, "what a failing test shows is every line, and of the statistics the last") {
  Write("1.000 begins\ncounter admin_connections 0\nsize deadlines 3\n1.001 goes on\n");
  Write("counter admin_connections 7\nsize deadlines 9\n");
  log->NextStatistics();
  log->NextStatistics();
  const std::string printed = Printed();
  CHECK(printed.find("begins") < printed.find("goes on"));
  CHECK(printed.find("goes on") < printed.find("counter admin_connections 7"));
  CHECK(printed.find("counter admin_connections 0") == std::string::npos);
}

}  // namespace
}  // namespace cluster_manager::story
