#include "net/log.h"

#include <cstdarg>
#include <cstdio>
#include <ctime>

namespace cluster_manager {
namespace {

constexpr int kLinesPerSecond = 50;

void WriteLine(const char* format, va_list arguments) {
  static std::time_t second = 0;
  static int lines = 0, dropped = 0;
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (now.tv_sec != second) {
    if (dropped > 0) std::fprintf(stderr, "log: %d lines dropped in that second\n", dropped);
    second = now.tv_sec;
    lines = dropped = 0;
  }
  if (++lines > kLinesPerSecond) {
    ++dropped;
    return;
  }
  char text[512];
  std::vsnprintf(text, sizeof text, format, arguments);
  std::fprintf(stderr, "%lld.%03ld %s\n", static_cast<long long>(now.tv_sec), now.tv_nsec / 1'000'000, text);
}

}  // namespace

void Log(const char* format, ...) {
  va_list arguments;
  va_start(arguments, format);
  WriteLine(format, arguments);
  va_end(arguments);
}

void LogDebug(const char* format, ...) {
  if (!IsDebugLogged()) return;
  va_list arguments;
  va_start(arguments, format);
  WriteLine(format, arguments);
  va_end(arguments);
}

}  // namespace cluster_manager
