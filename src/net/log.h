// The one way to the log: fprintf to standard error, rate-limited so that a storm cannot become the load.
#pragma once

namespace cluster_manager {

enum class LogLevel {
  kInfo,
  kDebug  // also a line for each attempt: to which node it goes, what was known of it, when it was written
};

// The level of the process, to be set before the loop runs. Read on the loop's thread only.
inline LogLevel log_level = LogLevel::kInfo;

void Log(const char* format, ...) __attribute__((format(printf, 1, 2)));

// At LogLevel::kDebug as Log(), else nothing. Arguments that cost something: ask IsDebugLogged() first.
inline bool IsDebugLogged() { return log_level == LogLevel::kDebug; }
void LogDebug(const char* format, ...) __attribute__((format(printf, 1, 2)));

}  // namespace cluster_manager
