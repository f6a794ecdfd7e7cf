// Splits a source text into tokens: names, numbers with their units, strings and symbols. Comments are
// returned separately, since only the formatter needs them. Invalid input is reported and skipped, so that
// one run reports all errors.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config_language/diagnostic.h"
#include "config_language/source.h"

namespace cluster_manager::config_language {

enum class TokenKind { kName, kNumber, kString, kSymbol, kEnd };

// What a quantity measures.
enum class Dimension { kNone, kTime, kCores, kBytes, kRate, kShare };

struct Unit {
  std::string_view name;
  Dimension dimension;
  double scale;  // converts to ms, cores, bytes, per second or a share of 1
};

const std::vector<Unit>& Units();
// Null if there is no such unit.
const Unit* FindUnit(std::string_view name);

struct Token {
  TokenKind kind = TokenKind::kEnd;
  char symbol = 0;  // of kSymbol
  Span span;
  double number = 0;               // of kNumber, without its unit
  const Unit* unit = nullptr;      // null: none
  std::string text;                // of kString, with quotes removed and escapes decoded; of kName as written
  bool first_on_line = false;      // the first token of its line
  bool blank_line_before = false;  // preceded by an empty line, not counting comments
};

struct Comment {
  Span span;
  std::string text;       // including the #, without trailing white space
  bool own_line = false;  // not preceded by a token on its line
  bool blank_line_before = false;
};

struct LexResult {
  std::vector<Token> tokens;  // the last one is kEnd
  std::vector<Comment> comments;
};

LexResult Lex(const Source& source, std::uint32_t file, Diagnostics* diagnostics);

}  // namespace cluster_manager::config_language
