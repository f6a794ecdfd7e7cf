// Parses and validates the task requests of clients. Requests that are malformed, that name an unknown tenant
// or class, or that exceed the resources of every node do not reach the dispatcher.
//
// Owned by ClientFrontend and used on its thread.
#pragma once

#include <optional>
#include <string_view>

#include "containers/slot_table.h"
#include "dispatch/ports.h"
#include "protocol/message.h"
#include "request_classes/class_table.h"

namespace cluster_manager {

// Keeps the limits that are derived from the settings in force.
class RequestParser {
 public:
  // `classes` must outlive the parser.
  explicit RequestParser(const ClassTable& classes);

  // Computes the largest resources that a task may request from the settings in force. To be called after
  // each change of them.
  void UpdateLimits();
  // The request in `message`, received on `client_connection` at `now`; empty if it is invalid. The payload
  // is copied and outlives the message.
  std::optional<TaskRequest> Parse(const protocol::Message& message, Handle client_connection,
                                   Time now) const;

 private:
  bool ParseResources(std::string_view text, TaskRequest* request) const;
  bool ParseClass(const protocol::Message& message, TaskRequest* request) const;
  bool ParseDeadline(const protocol::Message& message, Time now, TaskRequest* request) const;
  const scheduling::ClassSettings& SettingsOf(const TaskRequest& request) const;

  const ClassTable& classes_;
  double max_cores_ = 0;   // per task
  double max_memory_ = 0;  // per task
};

}  // namespace cluster_manager
