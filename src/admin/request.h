// Parses one HTTP/1.x request that arrives in pieces of any size. The body is checked for its length and
// dropped.
#pragma once

#include <http_parser.h>

#include <string>
#include <string_view>

namespace cluster_manager::admin {

class Request {
 public:
  static constexpr std::size_t kMaxBytes = 8 * 1024;  // of the head, and likewise of the body

  enum class ParseResult { kIncomplete, kComplete, kMalformed, kHeadTooLong, kBodyTooLong };

  Request();
  // Parses the next bytes. Bytes after the end of the request are ignored. Must not be called again once the
  // result is not kIncomplete.
  ParseResult Parse(std::string_view data);
  // True once a byte has arrived.
  bool has_begun() const { return head_bytes_ > 0; }
  std::string_view method() const;
  std::string_view target() const { return target_; }
  const char* problem() const;  // why a request is malformed

 private:
  http_parser parser_;
  std::string target_;
  std::size_t head_bytes_ = 0, body_bytes_ = 0;  // bytes
  bool head_complete_ = false, body_too_long_ = false, complete_ = false;

  static const http_parser_settings kCallbacks;
  friend struct Callbacks;
};

}  // namespace cluster_manager::admin
