// Parsing of the protocol lines that carry events and entries of the endpoint list.
// All functions throw ProtocolError if the line is malformed.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>

#include "scheduling/scheduler.h"
#include "simulator/fields.h"
#include "simulator/request_names.h"

namespace scheduling::simulator {

// Bounds of the numbers in the protocol: times and ids, and indices and flags.
constexpr std::int64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxIndex = 1 << 30;

// Adds the name of the request to `names`, only after the whole line has been parsed.
TaskArrived ReadTaskArrived(const Fields& fields, RequestNames* names);
TaskClaimed ReadTaskClaimed(const Fields& fields, RequestNames* names);

TaskAccepted ReadTaskAccepted(const Fields& fields, const RequestNames& names);
AttemptEnded ReadAttemptEnded(const Fields& fields, const RequestNames& names);
// Returns nothing for an unknown kind of report.
std::optional<TaskReported> ReadTaskReported(const Fields& fields, const RequestNames& names);
RequestCancelled ReadRequestCancelled(const Fields& fields, const RequestNames& names);
Event ReadHealthCheckCompleted(const Fields& fields);
Event ReadPeerMessage(const Fields& fields);

// Parses an `m` line: one node of the endpoint list.
NodeEntry ReadNodeEntry(const Fields& fields);

}  // namespace scheduling::simulator
