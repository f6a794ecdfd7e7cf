// The syntax tree: statements, blocks and values as written, with their spans and comments.
#pragma once

#include <string>
#include <vector>

#include "config_language/lexer.h"
#include "config_language/source.h"

namespace cluster_manager::config_language {

enum class ValueKind { kNumber, kString, kName, kList, kNegation, kBinary, kInvalid };

// A comment as the formatter writes it again.
struct AttachedComment {
  std::string text;
  bool blank_line_before = false;
};

struct Value {
  ValueKind kind = ValueKind::kInvalid;  // kInvalid: an error has been reported for it
  Span span;
  double number = 0;
  const Unit* unit = nullptr;
  std::string text;             // of a string or name; of a number as written
  char operation = 0;           // of a binary expression: + - * /
  std::vector<Value> children;  // elements of a list; two operands of a binary expression; one of a negation
  std::vector<AttachedComment> leading_comments;  // of an element of a list
  std::string trailing_comment;
  std::vector<AttachedComment> closing_comments;  // of a list: before its ]
};

struct Statement {
  enum class Form { kInclude, kLet, kSetting, kBlock } form = Form::kSetting;
  Span span, name_span, kind_span;
  std::string kind;  // of a block
  std::string name;  // of a let, setting or block; the path of an include
  Value value;       // of a let or setting
  std::vector<Statement> body;
  std::vector<AttachedComment> leading_comments;
  std::string trailing_comment;                   // a comment on the same line
  std::vector<AttachedComment> closing_comments;  // of a block: before its }
  bool blank_line_before = false;          // before its leading comments, or before it if there are none
  bool blank_line_after_comments = false;  // between its leading comments and it
};

// The content of one file.
struct Document {
  std::vector<Statement> statements;
  std::vector<AttachedComment> closing_comments;
};

}  // namespace cluster_manager::config_language
