// The log of the process: lines on standard error with the Unix time in seconds, at most 50 a second so that
// a flood of messages cannot overload the process. The number of dropped lines is logged. Used on the event
// loop's thread only.
#pragma once

namespace cluster_manager {

enum class LogLevel {
  kInfo,
  kDebug  // also a line for each attempt: its node, the known state of that node, and when it was written
};

// The level of the process. Set before the event loop runs.
inline LogLevel log_level = LogLevel::kInfo;

// Logs one line at every level. `format` as for printf; longer lines than 511 bytes are truncated.
void Log(const char* format, ...) __attribute__((format(printf, 1, 2)));

// Logs at LogLevel::kDebug only. Check IsDebugLogged() first where the arguments are expensive to compute.
inline bool IsDebugLogged() { return log_level == LogLevel::kDebug; }
void LogDebug(const char* format, ...) __attribute__((format(printf, 1, 2)));

}  // namespace cluster_manager
