#include "clients/request_parser.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <system_error>
#include <utility>

#include "net/counters.h"
#include "simulator/fields.h"

namespace cluster_manager {
namespace {

using protocol::Code;
using protocol::Message;

constexpr std::int64_t kMaxWaitInDeadlines = 10;  // how many deadlines of its class a request may wait

bool ReadHex(std::string_view text, std::uint64_t* value) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *value, 16);
  return error == std::errc() && stop == end;
}

// -1 where the list has no entry of that name.
template <typename List>
int Position(const List& list, std::string_view name) {
  for (std::size_t i = 0; i < list.size(); ++i) {
    if (list[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

// The message's parameters that are passed on to the node, class first, in one block.
ForwardedPayload MakePayload(const Message& message) {
  const std::string_view class_name = message.Get(Code::kClass);
  const std::string_view name = message.Get(Code::kName);
  const std::string_view key = message.Get(Code::kIdempotencyKey);
  const std::string_view description = message.Get(Code::kDescription);
  ForwardedPayload payload;
  payload.bytes = SharedBlockPool().Allocate(
      protocol::EncodedParameterSize(class_name) + protocol::EncodedParameterSize(name) +
      protocol::EncodedParameterSize(key) + protocol::EncodedParameterSize(description));
  protocol::AppendParameter(&payload.bytes, Code::kClass, class_name);
  payload.class_end = payload.bytes.size();
  protocol::AppendParameter(&payload.bytes, Code::kName, name);
  if (!key.empty()) protocol::AppendParameter(&payload.bytes, Code::kIdempotencyKey, key);
  protocol::AppendParameter(&payload.bytes, Code::kDescription, description);
  return payload;
}

}  // namespace

RequestParser::RequestParser(const ClassTable& classes) : classes_(classes) { UpdateLimits(); }

void RequestParser::UpdateLimits() {
  const scheduling::Settings& settings = classes_.settings();
  max_cores_ = std::ranges::max(settings.kind_cores) * settings.cores_overcommit;
  max_memory_ = std::ranges::max(settings.kind_memory) * settings.memory_overcommit;
}

std::optional<TaskRequest> RequestParser::Parse(const Message& message, Handle client_connection,
                                                Time now) const {
  TaskRequest request;
  request.id = message.task;
  request.client_connection = client_connection;
  if (request.id == 0 || message.Get(Code::kDescription).empty()) return std::nullopt;
  const scheduling::Settings& settings = classes_.settings();
  const int tenant = Position(settings.tenants, message.Get(Code::kTenant));
  request.task.tenant = settings.tenants.empty() ? 0 : tenant;
  if (request.task.tenant < 0) return std::nullopt;
  if (!ReadHex(message.Get(Code::kName), &request.task.name)) return std::nullopt;
  if (!ReadResources(message.Get(Code::kResources), &request)) return std::nullopt;
  if (!ReadClass(message, &request)) return std::nullopt;
  if (!ReadDeadline(message, now, &request)) return std::nullopt;
  request.task.is_retry = message.Has(Code::kRetry);
  request.payload = MakePayload(message);
  counters.bytes_held += request.payload.bytes.size();
  return request;
}

const scheduling::ClassSettings& RequestParser::SettingsOf(const TaskRequest& request) const {
  return classes_.settings().classes[static_cast<std::size_t>(request.task.class_index)];
}

bool RequestParser::ReadClass(const Message& message, TaskRequest* request) const {
  const std::string_view name = message.Get(Code::kClass);
  if (name.empty()) return false;
  // The class of a running task may have been dropped by a change of the settings.
  const bool running = request->running_on.has_value();
  request->task.class_index = running ? classes_.PositionForRunningTask(name) : classes_.FindPosition(name);
  if (request->task.class_index < 0) return false;
  const bool needs_key =
      !running && SettingsOf(*request).retry_safety == scheduling::RetrySafety::kIdempotencyKey;
  return !needs_key || !message.Get(Code::kIdempotencyKey).empty();
}

bool RequestParser::ReadDeadline(const Message& message, Time now, TaskRequest* request) const {
  std::int64_t wait_ms = 0;
  if (!request->running_on) {  // a running task gets no answer, so that it needs no deadline
    if (!scheduling::simulator::ReadInt(message.Get(Code::kTimeoutMs), &wait_ms)) return false;
    if (wait_ms <= 0 || wait_ms > kMaxWaitInDeadlines * SettingsOf(*request).deadline / kMs) return false;
  }
  request->task.deadline = now + wait_ms * kMs;
  return true;
}

// "cores:1;memory:2;service:00000000b4d65521", and at:UID where a node runs the task already.
bool RequestParser::ReadResources(std::string_view text, TaskRequest* request) const {
  scheduling::Task& task = request->task;
  bool has_service = false;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) return false;
    const std::string_view name = pair.substr(0, colon);
    const std::string_view value = pair.substr(colon + 1);
    bool valid = true;
    if (name == "cores") valid = scheduling::simulator::ReadNumber(value, &task.cores);
    if (name == "memory") valid = scheduling::simulator::ReadNumber(value, &task.memory);
    if (name == "service") valid = has_service = ReadHex(value, &task.service);
    if (name == "at") request->running_on = NodeIdFromUid(value);
    if (!valid) return false;
  }
  const bool cores_valid = task.cores > 0 && task.cores <= max_cores_;
  const bool memory_valid = task.memory > 0 && task.memory <= max_memory_;
  return has_service && cores_valid && memory_valid;
}

}  // namespace cluster_manager
