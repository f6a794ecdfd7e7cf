// Words to statements. Errors are told and passed over at the next statement, so that one run tells of
// several. Recursive descent with a bound on depth: no text, however nested, exhausts the stack.
#pragma once

#include "lang/diagnostic.h"
#include "lang/syntax.h"

namespace willowrail::lang {

constexpr int kDeepest = 32;

// All statements that could be read, also where there were errors.
Document Parse(const Source& source, std::uint32_t file, Diagnostics* diagnostics);

}  // namespace willowrail::lang
