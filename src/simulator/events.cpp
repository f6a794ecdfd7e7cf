#include "simulator/events.h"

#include <map>
#include <string>
#include <string_view>

namespace scheduling::simulator {
namespace {

constexpr std::int64_t kMaxNode = (std::int64_t{1} << 32) - 1;
constexpr int kRepeatBit = 2;
constexpr int kAgainBit = 16;
constexpr int kHintBit = 1;

NodeId ReadNode(const Fields& f, std::size_t index) {
  return static_cast<NodeId>(f.Int(index, "Node", 0, kMaxNode));
}

int ReadTrial(const Fields& f, std::size_t index) {
  return static_cast<int>(f.Int(index, "Trial", 0, kMaxIndex));
}

Outcome ReadOutcome(const Fields& f, std::size_t index) {
  static const std::map<std::string_view, Outcome> kOutcomes = {
      {"OK", Outcome::kOk},
      {"INTERNAL", Outcome::kError},
      {"RESOURCE_EXHAUSTED", Outcome::kRefused},
      {"DEADLINE_EXCEEDED", Outcome::kTimedOut},
      {"UNAVAILABLE", Outcome::kNoConnection},
      {"ABORTED", Outcome::kAborted},
      {"CANCELLED", Outcome::kCancelled},
      {"TOO_LATE", Outcome::kNotSent},
  };
  const auto it = kOutcomes.find(f.Raw(index));
  if (it == kOutcomes.end()) f.Bad("Reason", "unknown outcome '" + std::string(f.Raw(index)) + "'");
  return it->second;
}

LoadReport ReadReport(const Fields& f, std::size_t index) {
  LoadReport report;
  if (f.Absent(index) || f.Raw(index).empty()) return report;
  std::string_view rest = f.Raw(index);
  while (true) {
    const std::size_t comma = rest.find(',');
    const std::string_view pair = rest.substr(0, comma);
    const std::size_t colon = pair.find(':');
    double value = 0;
    if (colon == std::string_view::npos) f.Bad("Usage", "no ':' in '" + std::string(pair) + "'");
    if (pair.substr(colon + 1) != "-") {
      if (!ReadNumber(pair.substr(colon + 1), &value)) {
        f.Bad("Usage", "not a number: '" + std::string(pair) + "'");
      }
      TellField(&report, pair.substr(0, colon), value);
    }
    if (comma == std::string_view::npos) return report;
    rest.remove_prefix(comma + 1);
  }
}

void SetFlags(Task* task, std::int64_t bits) {
  if ((bits & kHintBit) == 0) task->expected_duration = 0;
  task->is_retry = (bits & kRepeatBit) != 0;
  task->resubmitted = (bits & kAgainBit) != 0;
}

}  // namespace

TaskArrived ReadRequest(const Fields& f, Names* names) {
  f.Expect(11);
  Task task;
  const std::string name = f.Text(1, "Xid");
  task.deadline = f.Int(2, "ClientDeadline", 0, kMaxNumber);
  task.tenant = static_cast<int>(f.IntOr(4, "Tenant", 0, kMaxIndex, 0));
  task.service = static_cast<std::uint64_t>(f.IntOr(5, "Deployment", 0, kMaxNumber, 0));
  task.class_index = static_cast<int>(f.IntOr(6, "Class", 0, kMaxIndex, 0));
  task.memory = f.Number(7, "MemNeeded");
  task.name = static_cast<std::uint64_t>(f.IntOr(8, "TaskName", 0, kMaxNumber, 0));
  task.expected_duration = f.IntOr(9, "Lasts", 0, kMaxNumber, 0);
  task.cores = f.Number(10, "WantCores");
  SetFlags(&task, f.IntOr(3, "Bitmap", 0, kMaxIndex, 0));
  task.id = names->Add(name);
  return TaskArrived{task};
}

TaskClaimed ReadFound(const Fields& f, Names* names) {
  f.Expect(12);
  Task task;
  const std::string name = f.Text(1, "Xid");
  task.deadline = f.IntOr(2, "ClientDeadline", 0, kMaxNumber, 0);
  task.cores = f.Number(3, "WantCores");
  task.service = static_cast<std::uint64_t>(f.IntOr(5, "Deployment", 0, kMaxNumber, 0));
  task.class_index = static_cast<int>(f.IntOr(7, "Class", 0, kMaxIndex, 0));
  task.name = static_cast<std::uint64_t>(f.IntOr(8, "TaskName", 0, kMaxNumber, 0));
  task.memory = f.Number(9, "MemNeeded");
  task.tenant = static_cast<int>(f.IntOr(10, "Tenant", 0, kMaxIndex, 0));
  task.expected_duration = f.IntOr(11, "Lasts", 0, kMaxNumber, 0);
  SetFlags(&task, f.IntOr(4, "Bitmap", 0, kMaxIndex, 0));
  const NodeId node = ReadNode(f, 6);
  task.id = names->Add(name);
  return TaskClaimed{task, node};
}

TaskAccepted ReadTaken(const Fields& f, const Names& names) {
  f.Expect(5);
  return TaskAccepted{names.Find(f.Text(1, "Xid")), ReadTrial(f, 2), ReadNode(f, 3),
                      f.IntOr(4, "TimeTaken", 0, kMaxNumber, 0)};
}

AttemptEnded ReadResult(const Fields& f, const Names& names) {
  f.Expect(9);
  AttemptEnded e;
  e.id = names.Find(f.Text(1, "Xid"));
  e.attempt = ReadTrial(f, 2);
  e.node = ReadNode(f, 3);
  e.outcome = ReadOutcome(f, 4);
  e.duration = f.IntOr(5, "TimeTaken", 0, kMaxNumber, 0);
  e.is_final = f.BoolOr(6, "DoneFlag", false);
  const std::int64_t info = f.IntOr(7, "Info", 0, kMaxIndex, 0);
  if (info <= static_cast<int>(EndReason::kMigrated)) e.reason = static_cast<EndReason>(info);
  e.report = ReadReport(f, 8);
  return e;
}

std::optional<TaskReported> ReadSignal(const Fields& f, const Names& names) {
  f.Expect(6);
  const std::int64_t sort = f.Int(4, "Sort", 0, kMaxIndex);
  const TaskReported note{names.Find(f.Text(1, "Xid")), ReadTrial(f, 2), ReadNode(f, 3),
                          static_cast<TaskReportKind>(sort), f.Number(5, "Level")};
  const bool known = sort >= static_cast<int>(TaskReportKind::kStarted) &&
                     sort <= static_cast<int>(TaskReportKind::kNodeMemoryPressure);
  return known ? std::optional<TaskReported>(note) : std::nullopt;
}

Event ReadProbed(const Fields& f) {
  f.Expect(5);
  return HealthCheckCompleted{ReadNode(f, 1), ReadOutcome(f, 2), f.IntOr(3, "TimeTaken", 0, kMaxNumber, 0),
                              ReadReport(f, 4)};
}

Event ReadPeerData(const Fields& f) {
  f.Expect(3);
  PeerMessageReceived said;
  said.sender = static_cast<int>(f.Int(1, "Author", 0, kMaxIndex));
  if (f.Absent(2)) return said;
  const std::string_view hex = f.Raw(2);
  if (hex.size() % 2 != 0) f.Bad("Body", "odd number of hex digits");
  const auto digit = [&f](char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    f.Bad("Body", "not hex");
  };
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    said.body.push_back(static_cast<char>(digit(hex[i]) * 16 + digit(hex[i + 1])));
  }
  return said;
}

RequestCancelled ReadCancelled(const Fields& f, const Names& names) {
  return RequestCancelled{names.Find(f.Text(1, "Xid"))};
}

NodeEntry ReadNodeEntry(const Fields& f) {
  f.Expect(9);
  NodeEntry entry;
  entry.free_memory = f.Number(0, "MemoryFree");
  if (!f.Absent(1)) entry.nominal_capacity = f.Number(1, "Nominal");
  entry.kind = static_cast<int>(f.IntOr(2, "Machine", 0, kMaxIndex, 0));
  entry.zone = static_cast<int>(f.IntOr(3, "RegionPart", 0, kMaxIndex, 0));
  entry.rack = static_cast<int>(f.IntOr(4, "Pack", 0, kMaxIndex, 0));
  entry.started_at = f.IntOr(5, "CameUp", 0, kMaxNumber, 0);
  entry.node = ReadNode(f, 6);
  entry.free_cores = f.Number(7, "SpareCpu");
  switch (f.Int(8, "State", 0, 3)) {
    case 0:
      entry.state = NodeState::kRemoved;
      break;
    case 2:
      entry.state = NodeState::kReady;
      break;
    case 3:
      entry.state = NodeState::kDraining;
      break;
    default:
      f.Bad("State", "unknown state 1");
  }
  return entry;
}

}  // namespace scheduling::simulator
