// Converts the parameters of messages from nodes to the types of the dispatcher. Pure functions without state
// or I/O, callable on any thread. Used by NodeConnectionPool.
#pragma once

#include <optional>

#include "dispatch/ports.h"
#include "protocol/message.h"

namespace cluster_manager {

// Decodes why an attempt or a task ended. A release without a cause counts as Cause::kAborted.
NodeReply DecodeReply(const protocol::Message& release);

// Decodes the load report of a message. Fields that are missing or invalid are not set.
scheduling::LoadReport DecodeLoadReport(const protocol::Message& message);

// Decodes the kind of a task report; empty if the kind is unknown.
std::optional<scheduling::TaskReportKind> DecodeReportKind(const protocol::Message& report);

// Decodes the value of a task report, in the unit of its kind; 0 if it is missing or invalid.
double DecodeReportLevel(const protocol::Message& report);

}  // namespace cluster_manager
