#include "admin/calls.h"

#include <http_parser.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace cluster_manager::admin {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxIdBytes = 256, kMaxQuotedBytes = 80;
constexpr std::string_view kNodePathPrefix = "/v1/agents/";
constexpr const char* kReadMethods = "GET, HEAD";
constexpr const char* kWriteMethods = "POST";
constexpr const char* kCallList =
    "the calls are GET /v1/readyz, GET /v1/metrics, POST /v1/agents/ID/suspend, POST /v1/agents/ID/resume, "
    "POST /v1/cluster-manager/drain and POST /v1/cluster-manager/activate";

// Text of a caller that is not UTF-8 is shown with replacement characters.
std::string ToText(const json& document) {
  return document.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::string Quoted(std::string_view text) {
  return "'" + std::string(text.substr(0, kMaxQuotedBytes)) + (text.size() > kMaxQuotedBytes ? "...'" : "'");
}

// Percent-decodes: "s%2D1" is "s-1". Nothing where a % is not followed by two hexadecimal digits.
std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    const std::string_view digits = text.substr(i + 1, 2);
    unsigned char value = 0;
    const char* end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, value, 16);
    if (digits.size() < 2 || error != std::errc() || stop != end) return std::nullopt;
    decoded += static_cast<char>(value);
    i += 2;
  }
  return decoded;
}

// The path of a request target, which may be "/v1/x?y", or "http://host/v1/x" where a proxy is used. Nothing
// where the target is malformed.
std::optional<std::string_view> PathOf(std::string_view method, std::string_view target) {
  http_parser_url url;
  http_parser_url_init(&url);
  if (http_parser_parse_url(target.data(), target.size(), method == "CONNECT" ? 1 : 0, &url) != 0) {
    return std::nullopt;
  }
  if ((url.field_set & 1 << UF_PATH) == 0) return std::string_view();
  return target.substr(url.field_data[UF_PATH].off, url.field_data[UF_PATH].len);
}

Reply MethodNotAllowed(std::string_view method, std::string_view path, const char* allow) {
  Reply reply = ErrorReply(405, std::string(method) + " is no method of " + Quoted(path) + "; use " + allow);
  reply.allow = allow;
  return reply;
}

Reply HandleNodeCall(std::string_view encoded_id, bool suspend, OperatorCalls* operations) {
  const std::optional<std::string> id = PercentDecode(encoded_id);
  if (!id)
    return ErrorReply(400,
                      "in the id " + Quoted(encoded_id) + " a % is followed by no two hexadecimal digits");
  if (id->empty())
    return ErrorReply(400, "the agent's id is empty; write it between /v1/agents/ and the call");
  if (id->size() > kMaxIdBytes) {
    return ErrorReply(400, "the agent's id has " + std::to_string(id->size()) + " bytes; write at most " +
                               std::to_string(kMaxIdBytes));
  }
  if (suspend ? operations->Suspend(*id) : operations->Resume(*id)) {
    return {200, ToText({{"agent", *id}, {"suspended", suspend}}), nullptr};
  }
  return ErrorReply(404, "no agent has the id '" + *id + "'; GET /v1/metrics shows how many are listed");
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    default:
      return "Service Unavailable";
  }
}

}  // namespace

Reply ErrorReply(int status, std::string_view problem) {
  return {status, ToText({{"error", std::string(problem)}}), nullptr};
}

Reply HandleCall(std::string_view method, std::string_view target, OperatorCalls* operations) {
  const std::optional<std::string_view> path = PathOf(method, target);
  if (!path)
    return ErrorReply(400,
                      "the target " + Quoted(target) + " cannot be read; write a path such as /v1/readyz");
  const bool is_read = method == "GET" || method == "HEAD", is_write = method == "POST";
  if (*path == "/v1/readyz") {
    if (!is_read) return MethodNotAllowed(method, *path, kReadMethods);
    const bool ready = operations->Ready();
    return {ready ? 200 : 503, ToText({{"ready", ready}}), nullptr};
  }
  if (*path == "/v1/metrics") {
    if (!is_read) return MethodNotAllowed(method, *path, kReadMethods);
    return {200, operations->Metrics(), nullptr};
  }
  if (*path == "/v1/cluster-manager/drain" || *path == "/v1/cluster-manager/activate") {
    if (!is_write) return MethodNotAllowed(method, *path, kWriteMethods);
    const bool drain = path->ends_with("drain");
    if (drain) {
      operations->Drain();
    } else if (!operations->Activate()) {
      return ErrorReply(503,
                        "this process is stopping, since SIGTERM, and serves nobody new; call the next one");
    }
    return {200, ToText({{"draining", drain}}), nullptr};
  }
  const std::size_t slash = path->rfind('/');
  if (path->starts_with(kNodePathPrefix) && slash != std::string_view::npos &&
      slash >= kNodePathPrefix.size()) {
    const std::string_view id = path->substr(kNodePathPrefix.size(), slash - kNodePathPrefix.size());
    const std::string_view call = path->substr(slash + 1);
    if ((call == "suspend" || call == "resume") && id.find('/') == std::string_view::npos) {
      if (!is_write) return MethodNotAllowed(method, *path, kWriteMethods);
      return HandleNodeCall(id, call == "suspend", operations);
    }
  }
  return ErrorReply(404, Quoted(*path) + " is no path here; " + kCallList);
}

std::string FormatResponse(const Reply& reply, bool without_body) {
  std::string response =
      "HTTP/1.1 " + std::to_string(reply.status) + " " + ReasonPhrase(reply.status) +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size()) +
      "\r\nConnection: close\r\n";
  if (reply.allow != nullptr) response.append("Allow: ").append(reply.allow).append("\r\n");
  response += "\r\n";
  if (!without_body) response += reply.body;
  return response;
}

}  // namespace cluster_manager::admin
