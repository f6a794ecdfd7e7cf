// The calls of the admin API: maps each method and path to a function of OperatorCalls, and formats the
// answer. Pure functions without I/O.
#pragma once

#include <string>
#include <string_view>

#include "admin/operator_calls.h"

namespace cluster_manager::admin {

struct Reply {
  int status = 200;
  std::string body;   // one JSON document
  const char* allow;  // with status 405: the allowed methods; else null
};

// A reply with the body {"error": problem}.
Reply ErrorReply(int status, std::string_view problem);
// Executes the call that `method` and the request target name, and returns the answer. Unknown paths and
// methods, and malformed ids, are answered with an error that says what is expected.
Reply HandleCall(std::string_view method, std::string_view target, OperatorCalls* operations);
// The HTTP response as it is sent; `without_body` for the method HEAD.
std::string FormatResponse(const Reply& reply, bool without_body);

}  // namespace cluster_manager::admin
