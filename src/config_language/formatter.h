// Writes a document in the standard format: two spaces per level, one setting per line, a list on one line if
// it fits, comments kept in place, and at most one empty line between statements. Formatting is idempotent.
#pragma once

#include <string>

#include "config_language/syntax.h"

namespace cluster_manager::config_language {

constexpr std::size_t kMaxColumns = 100;

// Only for documents that were parsed without errors.
std::string Format(const Document& document);
// Formats a value on one line, without its comments.
std::string FormatValue(const Value& value);

}  // namespace cluster_manager::config_language
