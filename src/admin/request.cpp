#include "admin/request.h"

#include <limits>

namespace cluster_manager::admin {

struct Callbacks {
  static Request& RequestOf(http_parser* p) { return *static_cast<Request*>(p->data); }
  static int OnUrl(http_parser* p, const char* at, std::size_t size) {
    RequestOf(p).target_.append(at, size);
    return 0;
  }
  static int OnHeadersComplete(http_parser* p) {
    Request& request = RequestOf(p);
    request.head_complete_ = true;
    constexpr auto kNoLength = std::numeric_limits<decltype(p->content_length)>::max();
    request.body_too_long_ = p->content_length != kNoLength && p->content_length > Request::kMaxBytes;
    return 0;
  }
  static int OnMessageComplete(http_parser* p) {
    RequestOf(p).complete_ = true;
    http_parser_pause(p, 1);  // a pipelined second request must not overwrite the first
    return 0;
  }
  static http_parser_settings Settings() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = OnUrl;
    settings.on_headers_complete = OnHeadersComplete;
    settings.on_message_complete = OnMessageComplete;
    return settings;
  }
};

const http_parser_settings Request::kCallbacks = Callbacks::Settings();

Request::Request() { http_parser_init(&parser_, HTTP_REQUEST); }

Request::ParseResult Request::Parse(std::string_view data) {
  parser_.data = this;  // this object may have been moved
  while (!data.empty()) {
    std::size_t& parsed_bytes = head_complete_ ? body_bytes_ : head_bytes_;
    if (parsed_bytes >= kMaxBytes)
      return head_complete_ ? ParseResult::kBodyTooLong : ParseResult::kHeadTooLong;
    const std::string_view piece = data.substr(0, kMaxBytes - parsed_bytes);
    data.remove_prefix(piece.size());
    parsed_bytes += piece.size();
    http_parser_execute(&parser_, &kCallbacks, piece.data(), piece.size());
    if (body_too_long_) return ParseResult::kBodyTooLong;
    if (complete_) return ParseResult::kComplete;
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) return ParseResult::kMalformed;
  }
  return ParseResult::kIncomplete;
}

std::string_view Request::method() const { return http_method_str(static_cast<http_method>(parser_.method)); }

const char* Request::problem() const { return http_errno_description(HTTP_PARSER_ERRNO(&parser_)); }

}  // namespace cluster_manager::admin
