// Recursive-descent parser. It reports an error and continues at the next statement, so that one run reports
// several errors. The nesting depth is bounded, so that no input exhausts the stack.
#pragma once

#include "config_language/diagnostic.h"
#include "config_language/syntax.h"

namespace cluster_manager::config_language {

constexpr int kMaxNestingDepth = 32;

// Parses the source with the index `file`. Returns all statements that could be read, also if there were
// errors.
Document Parse(const Source& source, std::uint32_t file, Diagnostics* diagnostics);

}  // namespace cluster_manager::config_language
