// The standard error of a program under test: lines are searched as they come, statistics are read whole, and
// all of it is printed where the test fails.
#pragma once

#include <doctest/doctest.h>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <cstddef>
#include <cstdio>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace cluster_manager::story {

// Whether an assertion of the test that runs has failed; kept by the listener in program_log_test.cpp.
inline bool test_has_failed = false;

// What the program prints on SIGUSR1: "counter attempts_sent" and the like, with the value.
using Statistics = std::map<std::string, std::string>;

class ProgramLog {
 public:
  static constexpr int kLineTimeoutMs = 10'000;
  static constexpr std::size_t kMaxKeptLines = 20'000;

  // Takes over the end of the pipe that is read.
  explicit ProgramLog(int pipe_end) : pipe_end_(pipe_end) {}
  ~ProgramLog() {
    if (test_has_failed) {
      ReadWhatIsLeft();
      Print(stdout);
    }
    ::close(pipe_end_);
  }
  ProgramLog(const ProgramLog&) = delete;
  ProgramLog& operator=(const ProgramLog&) = delete;

  // The rest of the first line that holds `text`, read on from the last line found.
  std::string Find(const std::string& text) {
    const std::string line = FindLine(text);
    return line.substr(line.find(text) + text.size());
  }
  // The whole of that line.
  std::string FindLine(const std::string& text) {
    while (true) {
      std::string line = NextLine(text);
      if (line.find(text) != std::string::npos) return line;
    }
  }
  // The next statistics that are printed whole. What is left unread of earlier ones is passed over, so that
  // no value is older than the signal that asked for it.
  Statistics NextStatistics() {
    Statistics statistics;
    while (!statistics.contains(kFirstStatistic) || !statistics.contains(kLastStatistic)) {
      const std::string line = NextLine(kLastStatistic);
      const std::size_t value_at = line.rfind(' ');
      if (!IsStatistic(line) || value_at == std::string::npos) continue;
      const std::string name = line.substr(0, value_at);
      if (name == kFirstStatistic) statistics.clear();
      statistics[name] = line.substr(value_at + 1);
    }
    return statistics;
  }
  // All lines but the statistics, then the last of these.
  void Print(std::FILE* to) const {
    std::fprintf(to, "log of the program under test:\n");
    for (const std::string& line : lines_) std::fprintf(to, "  | %s\n", line.c_str());
    for (const std::string& line : last_statistics_) std::fprintf(to, "  | %s\n", line.c_str());
    std::fflush(to);
  }

 private:
  static constexpr const char* kFirstStatistic = "counter admin_connections";
  static constexpr const char* kLastStatistic = "size deadlines";

  static bool IsStatistic(std::string_view line) {
    return line.starts_with("counter ") || line.starts_with("call ") || line.starts_with("size ");
  }
  // `awaited`: what the caller looks for, named where no line comes.
  std::string NextLine(const std::string& awaited) {
    std::size_t end = unread_.find('\n');
    while (end == std::string::npos) {
      pollfd wait{pipe_end_, POLLIN, 0};
      REQUIRE_MESSAGE(::poll(&wait, 1, kLineTimeoutMs) > 0, "never logged: " << awaited);
      REQUIRE_MESSAGE(ReadSome(), "the program ended before it logged: " << awaited);
      end = unread_.find('\n');
    }
    std::string line = unread_.substr(0, end);
    unread_.erase(0, end + 1);
    Keep(line);
    return line;
  }
  bool ReadSome() {
    char bytes[4096];
    const ssize_t got = ::read(pipe_end_, bytes, sizeof bytes);
    if (got > 0) unread_.append(bytes, static_cast<std::size_t>(got));
    return got > 0;
  }
  void ReadWhatIsLeft() {
    ::fcntl(pipe_end_, F_SETFL, O_NONBLOCK);
    while (ReadSome()) {
    }
    for (std::size_t end = unread_.find('\n'); end != std::string::npos; end = unread_.find('\n')) {
      Keep(unread_.substr(0, end));
      unread_.erase(0, end + 1);
    }
  }
  void Keep(std::string line) {
    if (line.starts_with(kFirstStatistic)) last_statistics_.clear();
    std::deque<std::string>& kept = IsStatistic(line) ? last_statistics_ : lines_;
    kept.push_back(std::move(line));
    if (kept.size() > kMaxKeptLines) kept.pop_front();
  }

  int pipe_end_;
  std::string unread_;
  std::deque<std::string> lines_, last_statistics_;
};

}  // namespace cluster_manager::story
