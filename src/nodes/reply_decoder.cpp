#include "nodes/reply_decoder.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "simulator/fields.h"

namespace cluster_manager {
namespace {

using protocol::Cause;
using protocol::Code;
using protocol::Message;
using scheduling::EndReason;
using scheduling::LoadReport;
using scheduling::Outcome;
using scheduling::TaskReportKind;

Outcome OutcomeBeforeAnswer(int cause) {
  switch (static_cast<Cause>(cause)) {
    case Cause::kEnded:
      return Outcome::kOk;
    case Cause::kNoCapacity:
      return Outcome::kRefused;
    case Cause::kError:
      return Outcome::kError;
    case Cause::kNotStarted:
      return Outcome::kNotSent;
    default:
      return Outcome::kAborted;
  }
}

Outcome OutcomeAfterAnswer(int cause) {
  switch (static_cast<Cause>(cause)) {
    case Cause::kEnded:
      return Outcome::kOk;
    case Cause::kCancelled:
      return Outcome::kCancelled;
    default:
      return Outcome::kAborted;
  }
}

EndReason ParseEndReason(std::string_view word) {
  static const std::pair<std::string_view, EndReason> kEndReasons[] = {
      {"cpu_full", EndReason::kNoCores}, {"mem_full", EndReason::kNoMemory},
      {"busy", EndReason::kQueueFull},   {"wrong_host", EndReason::kNotAcceptedHere},
      {"oom", EndReason::kEvicted},      {"preempted", EndReason::kPreempted},
      {"drained", EndReason::kMigrated}};
  for (const auto& [name, reason] : kEndReasons) {
    if (name == word) return reason;
  }
  return EndReason::kUnspecified;
}

}  // namespace

NodeReply DecodeReply(const Message& release) {
  const int cause = release.CauseOr(static_cast<int>(Cause::kAborted));
  return {OutcomeBeforeAnswer(cause), OutcomeAfterAnswer(cause), ParseEndReason(release.Get(Code::kDetail)),
          DecodeLoadReport(release)};
}

// The text has the form "x0:12;x1:40;queue:3".
LoadReport DecodeLoadReport(const Message& message) {
  std::string_view text = message.Get(Code::kLoadReport);
  LoadReport report;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) continue;
    double value = 0;
    if (scheduling::simulator::ReadNumber(pair.substr(colon + 1), &value)) {
      scheduling::simulator::SetReportField(&report, pair.substr(0, colon), value);
    }
  }
  return report;
}

std::optional<TaskReportKind> DecodeReportKind(const Message& note) {
  static const std::pair<std::string_view, TaskReportKind> kReportKinds[] = {
      {"up", TaskReportKind::kStarted},
      {"cpu", TaskReportKind::kCoresUsed},
      {"mem", TaskReportKind::kMemoryUsed},
      {"share", TaskReportKind::kServiceLevel},
      {"tight", TaskReportKind::kNodeMemoryPressure}};
  for (const auto& [name, kind] : kReportKinds) {
    if (name == note.Get(Code::kDetail)) return kind;
  }
  return std::nullopt;
}

double DecodeReportLevel(const Message& note) {
  double level = 0;
  scheduling::simulator::ReadNumber(note.Get(Code::kLevel), &level);
  return level;
}

}  // namespace cluster_manager
