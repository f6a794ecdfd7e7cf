// Encoding and decoding of the binary messages exchanged with clients and nodes. Works on buffers only: no
// I/O, no allocation while decoding, and every length is checked against the bytes at hand. Decoded values
// are views of the input buffer. Functions have no state, except for the counter `bytes_written`: call them
// on one thread.
//
// A message is: length (2 bytes, of what follows), type (1), task id (8), then parameters, each with its code
// (1), length (2) and value. Integers are big-endian; numbers in values are decimal text.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "containers/block_pool.h"

namespace cluster_manager::protocol {

// Chosen by the client, unique over all clients.
using TaskId = std::uint64_t;

// Message types; the numbers are on the wire.
enum class Type : std::uint8_t {
  kTaskRequest = 1,        // from a client, or forwarded to a node: run this task
  kProgress = 6,           // from a node; ignored
  kTaskAccepted = 9,       // a node runs the task
  kRelease = 12,           // ends a request, attempt or running task, in any direction; see Cause
  kReleaseConfirmed = 16,  // from a client: it has received the completion of its task
  kTaskReport = 44,        // from a node: startup or resource usage of a task
  kMigration = 51,         // to a client: the task has to be submitted again elsewhere
  kHealthCheck = 52,       // from a client, or to a node
  kHealthCheckResult = 53  // the reply to a health check, with the id of that check
};

// Codes of parameters; the numbers are on the wire.
enum class Code : std::uint8_t {
  kClass = 100,           // name of the request class
  kTimeoutMs = 101,       // how long the sender of the request waits for the answer, in milliseconds
  kTenant = 102,          // name of the tenant
  kRetry = 103,           // present where the client retries the request
  kName = 104,            // name of the task, hexadecimal digits
  kResources = 105,       // "cores:1;memory:2;service:0b", see RequestParser
  kRetryAfterMs = 106,    // of a rejection: when the client may retry, in milliseconds from now
  kDetail = 107,          // of a release: the node's reason; of a task report: what it reports on
  kLoadReport = 109,      // "x0:12;x1:40;queue:3", see DecodeLoadReport
  kLevel = 112,           // the value of a task report
  kIdempotencyKey = 113,  // mandatory for classes that are retried by idempotency key
  kCause = 114,           // one byte, see Cause
  kDescription = 115      // opaque data that is passed on between client and node
};

// Why something is released, or the result of a health check; the numbers are on the wire.
enum class Cause : std::uint8_t {
  kHealthCheckFailed = 0,
  kHealthCheckPassed = 1,
  kEnded = 16,       // completed; as sent by a client or to a node: cancelled by the sender
  kCancelled = 31,   // a running task is stopped, or was stopped on request
  kNoCapacity = 34,  // the node cannot take the task now, see kDetail
  kAborted = 41,     // the attempt or task failed; it may have run
  kRejected = 42,    // the request was not run, the client may retry it
  kError = 47,       // the request is invalid, or the node failed to handle it
  kNotStarted = 102  // the node did not begin the attempt: it counts as not sent
};

// Longest message that is accepted, its length field included.
constexpr std::size_t kMaxMessageBytes = std::size_t{16} * 1024;

enum class DecodeStatus {
  kMessage,     // a whole message was decoded
  kIncomplete,  // more bytes are needed
  kMalformed    // a length is out of bounds
};

// A decoded message. Values are views of the buffer that it was decoded from.
struct Message {
  Type type{};
  TaskId task = 0;

  bool Has(Code code) const { return present_[Index(code)]; }
  // Empty where the parameter is missing.
  std::string_view Get(Code code) const { return values_[Index(code)]; }
  // The number of the Cause; `fallback` where it is missing or not one byte long.
  int CauseOr(int fallback) const;

 private:
  friend DecodeStatus Decode(std::string_view data, Message* message, std::size_t* size);
  static constexpr std::uint8_t kFirst = 100, kLast = 115;
  static std::size_t Index(Code code) { return static_cast<std::size_t>(code) - kFirst; }

  std::array<std::string_view, kLast - kFirst + 1> values_{};
  std::array<bool, kLast - kFirst + 1> present_{};
};

// Decodes the first message of `data`. With kMessage, `size` is set to the length of its encoding; otherwise
// `size` is undefined. Parameters with unknown codes are skipped.
DecodeStatus Decode(std::string_view data, Message* message, std::size_t* size);

// Calls `handler` with each complete message of `data`, until it returns false. Returns the number of bytes
// consumed. Sets `malformed` to whether decoding stopped at a malformed message.
template <typename Handler>
std::size_t DecodeAll(std::string_view data, bool* malformed, Handler handler) {
  std::size_t consumed = 0;
  while (true) {
    Message message;
    std::size_t size = 0;
    const DecodeStatus status = Decode(data.substr(consumed), &message, &size);
    *malformed = status == DecodeStatus::kMalformed;
    if (status != DecodeStatus::kMessage) return consumed;
    consumed += size;
    if (!handler(message)) return consumed;
  }
}

// Total bytes of parameter values that writers have copied into write queues.
inline std::uint64_t bytes_written = 0;

// Appends one message to a write queue. The length field is filled in by the destructor, so that the message
// is complete only once the writer is destroyed. Nothing else may be appended to `out` meanwhile.
class Writer {
 public:
  Writer(std::string* out, Type type, TaskId task);
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  Writer& Add(Code code, std::string_view value);
  Writer& Add(Code code, std::int64_t value);
  Writer& Add(Cause cause);
  // Counts bytes as part of the message that are sent from elsewhere (Connection::Refer), between the
  // parameters added before and after this call.
  Writer& AddExternalBytes(std::size_t bytes);

 private:
  std::string* out_;
  std::size_t start_, external_bytes_ = 0;
};

// Size of a parameter with this value on the wire.
constexpr std::size_t EncodedParameterSize(std::string_view value) { return 3 + value.size(); }
// Appends an encoded parameter to a block, which must have capacity left for it.
void AppendParameter(BlockPool::Ref* block, Code code, std::string_view value);

// 16 hexadecimal digits, for logs and records.
std::string FormatTaskId(TaskId task);

}  // namespace cluster_manager::protocol
