#include "config_language/formatter.h"

#include <algorithm>

namespace cluster_manager::config_language {
namespace {

std::string Quote(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += c == '\n' ? "\\n" : c == '\t' ? "\\t" : std::string(1, c);
  }
  return out + "\"";
}

bool IsName(const std::string& text) {
  const auto letter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; };
  if (text.empty() || !letter(text[0]) || text.back() == '.') return false;
  for (std::size_t i = 1; i < text.size(); ++i) {
    const char c = text[i];
    if (!letter(c) && !(c >= '0' && c <= '9') && c != '-' && !(c == '.' && text[i - 1] != '.')) return false;
  }
  return true;
}

int Precedence(const Value& v) {
  return v.kind != ValueKind::kBinary ? 3 : v.operation == '+' || v.operation == '-' ? 1 : 2;
}

bool HasComments(const Value& v) {
  return !v.leading_comments.empty() || !v.trailing_comment.empty() || !v.closing_comments.empty() ||
         std::ranges::any_of(v.children, HasComments);
}

// Collects the comments inside a value that is written on one line; they are written above it.
void CollectInnerComments(const Value& v, std::vector<std::string>* comments) {
  for (const Value& part : v.children) {
    for (const AttachedComment& comment : part.leading_comments) comments->push_back(comment.text);
    CollectInnerComments(part, comments);
    if (!part.trailing_comment.empty()) comments->push_back(part.trailing_comment);
  }
  for (const AttachedComment& comment : v.closing_comments) comments->push_back(comment.text);
}

class Formatter {
 public:
  std::string Run(const Document& document) {
    FormatStatements(document.statements, 0);
    for (const AttachedComment& comment : document.closing_comments) {
      if (comment.blank_line_before && !out_.empty()) out_ += '\n';
      WriteLine(0, comment.text);
    }
    return out_;
  }

 private:
  void WriteLine(std::size_t depth, const std::string& text) {
    out_ += std::string(2 * depth, ' ') + text + "\n";
  }

  void FormatStatements(const std::vector<Statement>& all, std::size_t depth) {
    bool first = true;
    bool block_before = false;
    for (const Statement& s : all) {
      const bool block = s.form == Statement::Form::kBlock;
      // Blocks at top level are separated by an empty line; elsewhere existing empty lines are kept.
      if (!first && (s.blank_line_before || (depth == 0 && (block || block_before)))) out_ += '\n';
      for (const AttachedComment& comment : s.leading_comments) {
        if (comment.blank_line_before) out_ += '\n';
        WriteLine(depth, comment.text);
      }
      if (s.blank_line_after_comments) out_ += '\n';
      FormatStatement(s, depth);
      first = false;
      block_before = block;
    }
  }
  void FormatStatement(const Statement& s, std::size_t depth) {
    const std::string trailing_comment = s.trailing_comment.empty() ? "" : "  " + s.trailing_comment;
    switch (s.form) {
      case Statement::Form::kInclude:
        WriteLine(depth, "include " + Quote(s.name) + trailing_comment);
        return;
      case Statement::Form::kLet:
        FormatAssignment("let " + s.name + " = ", s.value, depth, trailing_comment);
        return;
      case Statement::Form::kSetting:
        FormatAssignment(s.name + " = ", s.value, depth, trailing_comment);
        return;
      case Statement::Form::kBlock: {
        const std::string head =
            s.kind + (s.name.empty() && s.name_span.end == 0 ? "" : " " + FormatName(s.name)) + " {";
        if (s.body.empty() && s.closing_comments.empty()) {
          WriteLine(depth, head + "}" + trailing_comment);
          return;
        }
        WriteLine(depth, head);
        FormatStatements(s.body, depth + 1);
        for (const AttachedComment& comment : s.closing_comments) {
          if (comment.blank_line_before && !s.body.empty()) out_ += '\n';
          WriteLine(depth + 1, comment.text);
        }
        WriteLine(depth, "}" + trailing_comment);
      }
    }
  }
  static std::string FormatName(const std::string& name) { return IsName(name) ? name : Quote(name); }

  void FormatAssignment(const std::string& head, const Value& value, std::size_t depth,
                        const std::string& trailing_comment) {
    const std::string one_line = HasComments(value) ? "" : FormatValue(value);
    const bool fits = !one_line.empty() && 2 * depth + head.size() + one_line.size() <= kMaxColumns;
    if (fits || value.kind != ValueKind::kList) {
      WriteInnerComments(value, depth);
      WriteLine(depth, head + FormatValue(value) + trailing_comment);
      return;
    }
    FormatMultiLineList(head, value, depth, trailing_comment);
  }
  void WriteInnerComments(const Value& value, std::size_t depth) {
    std::vector<std::string> all;
    CollectInnerComments(value, &all);
    for (const std::string& text : all) WriteLine(depth, text);
  }
  // Writes one element per line.
  void FormatMultiLineList(const std::string& head, const Value& list, std::size_t depth,
                           const std::string& suffix) {
    WriteLine(depth, head + "[");
    for (const Value& part : list.children) {
      for (const AttachedComment& comment : part.leading_comments) {
        if (comment.blank_line_before) out_ += '\n';
        WriteLine(depth + 1, comment.text);
      }
      const std::string trailing_comment =
          "," + (part.trailing_comment.empty() ? "" : "  " + part.trailing_comment);
      const bool multi_line =
          part.kind == ValueKind::kList &&
          (!part.closing_comments.empty() || std::ranges::any_of(part.children, HasComments) ||
           2 * (depth + 1) + FormatValue(part).size() >= kMaxColumns);
      if (multi_line) {
        FormatMultiLineList("", part, depth + 1, trailing_comment);
      } else {
        WriteInnerComments(part, depth + 1);
        WriteLine(depth + 1, FormatValue(part) + trailing_comment);
      }
    }
    for (const AttachedComment& comment : list.closing_comments) WriteLine(depth + 1, comment.text);
    WriteLine(depth, "]" + suffix);
  }

  std::string out_;
};

}  // namespace

std::string FormatValue(const Value& v) {
  switch (v.kind) {
    case ValueKind::kNumber:
    case ValueKind::kName:
      return v.text;
    case ValueKind::kString:
      return Quote(v.text);
    case ValueKind::kList: {
      std::string out = "[";
      for (std::size_t i = 0; i < v.children.size(); ++i)
        out += (i > 0 ? ", " : "") + FormatValue(v.children[i]);
      return out + "]";
    }
    case ValueKind::kNegation: {
      const Value& operand = v.children[0];
      return "-" + (operand.kind == ValueKind::kBinary || operand.kind == ValueKind::kNegation
                        ? "(" + FormatValue(operand) + ")"
                        : FormatValue(operand));
    }
    case ValueKind::kBinary: {
      const auto side = [&v](const Value& part, bool right) {
        const bool parenthesized = Precedence(part) < Precedence(v) ||
                                   (right && Precedence(part) == Precedence(v)) ||
                                   part.kind == ValueKind::kNegation;
        return parenthesized ? "(" + FormatValue(part) + ")" : FormatValue(part);
      };
      return side(v.children[0], false) + " " + v.operation + " " + side(v.children[1], true);
    }
    case ValueKind::kInvalid:
      return "?";
  }
  return "?";
}

std::string Format(const Document& document) { return Formatter().Run(document); }

}  // namespace cluster_manager::config_language
