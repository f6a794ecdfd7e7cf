#include "config_language/parser.h"

#include <algorithm>
#include <utility>

namespace cluster_manager::config_language {
namespace {

class Parser {
 public:
  Parser(const Source& source, std::uint32_t file, Diagnostics* diagnostics)
      : source_(source), lexed_(Lex(source, file, diagnostics)), diagnostics_(diagnostics) {}

  Document Run() {
    Document document;
    while (true) {
      ParseStatements(0, &document.statements);
      if (Current().kind == TokenKind::kEnd) break;
      diagnostics_->Add("P005", Current().span, "unmatched }", "remove it");
      ++position_;
    }
    TakeComments(Current().span.begin, &document.closing_comments);
    return document;
  }

 private:
  const Token& Current() const { return lexed_.tokens[position_]; }
  const Token& PeekToken(std::size_t ahead = 1) const {
    return lexed_.tokens[std::min(position_ + ahead, lexed_.tokens.size() - 1)];
  }
  static bool IsSymbol(const Token& token, char symbol) {
    return token.kind == TokenKind::kSymbol && token.symbol == symbol;
  }
  bool ConsumeSymbol(char symbol) {
    if (!IsSymbol(Current(), symbol)) return false;
    ++position_;
    return true;
  }
  std::string DescribeCurrent() const {
    switch (Current().kind) {
      case TokenKind::kEnd:
        return "the end of the file";
      case TokenKind::kSymbol:
        return std::string("'") + Current().symbol + "'";
      case TokenKind::kName:
        return "'" + Current().text.substr(0, 40) + "'";
      case TokenKind::kNumber:
        return "a number";
      case TokenKind::kString:
        return "a string";
    }
    return "something";
  }
  Span SpanFrom(const Span& from) const {
    return {from.file, from.begin,
            position_ == 0 ? from.end : std::max(from.end, lexed_.tokens[position_ - 1].span.end)};
  }

  // --- Comments ------------------------------------------------------------------------------------------
  // Moves the comments before `offset` that are not attached yet to `to`.
  void TakeComments(std::size_t offset, std::vector<AttachedComment>* to) {
    for (; next_comment_ < lexed_.comments.size() && lexed_.comments[next_comment_].span.begin < offset;
         ++next_comment_) {
      to->push_back({lexed_.comments[next_comment_].text, lexed_.comments[next_comment_].blank_line_before});
    }
  }
  // Moves the comment that follows the last token on its line to `to`, if there is one.
  void TakeTrailingComment(std::string* to) {
    if (next_comment_ >= lexed_.comments.size() || lexed_.comments[next_comment_].own_line) return;
    if (lexed_.comments[next_comment_].span.begin > Current().span.begin) return;
    *to = lexed_.comments[next_comment_++].text;
  }

  // --- Statements ----------------------------------------------------------------------------------------
  // Parses statements up to the end of the text or an unmatched }.
  void ParseStatements(int depth, std::vector<Statement>* to) {
    while (Current().kind != TokenKind::kEnd && !IsSymbol(Current(), '}')) {
      const std::size_t start = position_;
      Statement s;
      s.blank_line_before = Current().blank_line_before;
      TakeComments(Current().span.begin, &s.leading_comments);
      if (!s.leading_comments.empty()) {
        s.blank_line_after_comments = s.blank_line_before;
        s.blank_line_before = std::exchange(s.leading_comments.front().blank_line_before, false);
      }
      if (ParseStatement(depth, &s)) {
        TakeComments(lexed_.tokens[position_ - 1].span.begin,
                     &s.leading_comments);  // comments inside the statement
        TakeTrailingComment(&s.trailing_comment);
        to->push_back(std::move(s));
      } else {
        RecoverFrom(start);
      }
    }
  }
  bool ParseStatement(int depth, Statement* s) {
    s->span = Current().span;
    if (Current().kind != TokenKind::kName) {
      diagnostics_->Add("P001", Current().span,
                        "expected a setting, a block, let or include, found " + DescribeCurrent());
      return false;
    }
    const std::string& word = Current().text;
    if (word == "include" && PeekToken().kind == TokenKind::kString) {
      s->form = Statement::Form::kInclude;
      ++position_;
      s->name = Current().text;
      s->name_span = Current().span;
      ++position_;
      s->span = SpanFrom(s->span);
      return true;
    }
    if (word == "let" && PeekToken().kind == TokenKind::kName && !PeekToken().first_on_line) {
      s->form = Statement::Form::kLet;
      ++position_;
      return ParseAssignment(s);
    }
    if (IsSymbol(PeekToken(), '=')) {
      s->form = Statement::Form::kSetting;
      return ParseAssignment(s);
    }
    const bool named = (PeekToken().kind == TokenKind::kName || PeekToken().kind == TokenKind::kString) &&
                       !PeekToken().first_on_line;
    if (IsSymbol(PeekToken(named ? 2 : 1), '{')) return ParseBlock(depth, named, s);
    s->name = word;
    diagnostics_->Add(
        "P006", Current().span, "'" + word.substr(0, 40) + "' is followed by neither = nor {",
        "write " + word.substr(0, 40) + " = VALUE, or a block " + word.substr(0, 40) + " NAME { ... }");
    return false;
  }
  bool ParseAssignment(Statement* s) {
    s->name = Current().text;
    s->name_span = Current().span;
    ++position_;
    if (!ConsumeSymbol('=')) {
      diagnostics_->Add("P001", Current().span, "expected =, found " + DescribeCurrent(),
                        "write let NAME = VALUE");
      return false;
    }
    const bool missing = Current().kind == TokenKind::kEnd || IsSymbol(Current(), '}') ||
                         (Current().first_on_line && Current().kind == TokenKind::kName &&
                          (IsSymbol(PeekToken(), '=') || IsSymbol(PeekToken(), '{')));
    if (missing) {
      diagnostics_->Add("P004", s->name_span, "'" + s->name.substr(0, 40) + "' has no value",
                        "write a value after the =");
      return false;
    }
    const std::size_t start = position_;
    s->value = ParseExpression(0, 0);
    if (position_ == start) return false;
    s->span = SpanFrom(s->span);
    return true;
  }
  bool ParseBlock(int depth, bool named, Statement* s) {
    s->form = Statement::Form::kBlock;
    s->kind = Current().text;
    s->kind_span = Current().span;
    ++position_;
    if (named) {
      s->name = Current().text;
      s->name_span = Current().span;
      ++position_;
    }
    const Span open = Current().span;
    if (depth >= kMaxNestingDepth) {
      diagnostics_->Add("P003", open,
                        "blocks are nested more than " + std::to_string(kMaxNestingDepth) + " levels deep");
      SkipNested();
      return true;
    }
    ++position_;
    ParseStatements(depth + 1, &s->body);
    TakeComments(Current().span.begin, &s->closing_comments);
    if (!ConsumeSymbol('}')) {
      Diagnostic& d =
          diagnostics_->Add("P002", Current().span, "the block '" + s->kind.substr(0, 40) + "' is not closed",
                            "add } at its end");
      d.notes.push_back({open, "it starts here"});
    }
    s->span = SpanFrom(s->span);
    return true;
  }
  // Skips from an opening symbol past the symbol that closes it, without recursion.
  void SkipNested() {
    int open = 0;
    do {
      if (Current().kind == TokenKind::kSymbol) {
        open += Current().symbol == '{' || Current().symbol == '[' || Current().symbol == '(';
        open -= Current().symbol == '}' || Current().symbol == ']' || Current().symbol == ')';
      }
      ++position_;
    } while (open > 0 && Current().kind != TokenKind::kEnd);
  }
  // Skips to the next line that starts with a name, or to a } that closes a block. Nested blocks, lists and
  // parentheses in between are skipped as a whole.
  void RecoverFrom(std::size_t start) {
    if (position_ == start) {
      if (IsSymbol(Current(), '{') || IsSymbol(Current(), '[') || IsSymbol(Current(), '(')) {
        SkipNested();
      } else {
        ++position_;
      }
    }
    while (Current().kind != TokenKind::kEnd && !IsSymbol(Current(), '}')) {
      if (Current().first_on_line && Current().kind == TokenKind::kName) return;
      if (IsSymbol(Current(), '{') || IsSymbol(Current(), '[') || IsSymbol(Current(), '(')) {
        SkipNested();
      } else {
        ++position_;
      }
    }
  }

  // --- Values --------------------------------------------------------------------------------------------
  static int Precedence(const Token& token) {
    if (token.kind != TokenKind::kSymbol) return 0;
    return token.symbol == '+' || token.symbol == '-'   ? 1
           : token.symbol == '*' || token.symbol == '/' ? 2
                                                        : 0;
  }
  // Parses operators of a precedence above `min_precedence`, left-associatively.
  Value ParseExpression(int depth, int min_precedence) {
    Value left = ParseOperand(depth);
    while (Precedence(Current()) > min_precedence && !Current().first_on_line) {
      const int precedence = Precedence(Current());
      Value binary;
      binary.kind = ValueKind::kBinary;
      binary.operation = Current().symbol;
      binary.span = left.span;
      ++position_;
      Value right = ParseExpression(depth, precedence);
      if (++operators_ > kMaxOperators) {
        if (operators_ == kMaxOperators + 1)
          diagnostics_->Add("P003", binary.span, "the expression has too many operators");
        continue;
      }
      binary.children.push_back(std::move(left));
      binary.children.push_back(std::move(right));
      binary.span = SpanFrom(binary.span);
      left = std::move(binary);
    }
    if (min_precedence == 0) operators_ = 0;
    return left;
  }
  Value ParseOperand(int depth) {
    Value v;
    v.span = Current().span;
    const Token& token = Current();
    if (token.kind == TokenKind::kNumber) {
      v.kind = ValueKind::kNumber;
      v.number = token.number;
      v.unit = token.unit;
      v.text = std::string(source_.Text(token.span));
      ++position_;
    } else if (token.kind == TokenKind::kString || token.kind == TokenKind::kName) {
      v.kind = token.kind == TokenKind::kString ? ValueKind::kString : ValueKind::kName;
      v.text = token.text;
      ++position_;
    } else if (depth >= kMaxNestingDepth &&
               (IsSymbol(token, '[') || IsSymbol(token, '(') || IsSymbol(token, '-'))) {
      diagnostics_->Add("P003", token.span,
                        "values are nested more than " + std::to_string(kMaxNestingDepth) + " levels deep");
      if (IsSymbol(token, '-')) {
        while (IsSymbol(Current(), '-')) ++position_;
      } else {
        SkipNested();
      }
    } else if (IsSymbol(token, '[')) {
      ParseList(depth, &v);
    } else if (IsSymbol(token, '(')) {
      ++position_;
      v = ParseExpression(depth + 1, 0);
      if (!ConsumeSymbol(')'))
        diagnostics_->Add("P001", Current().span, "expected ), found " + DescribeCurrent(),
                          "close the parenthesis");
    } else if (IsSymbol(token, '-')) {
      ++position_;
      v.kind = ValueKind::kNegation;
      v.children.push_back(ParseOperand(depth + 1));
    } else {
      diagnostics_->Add("P004", token.span, "expected a value, found " + DescribeCurrent());
    }
    v.span = SpanFrom(v.span);
    return v;
  }
  void ParseList(int depth, Value* v) {
    v->kind = ValueKind::kList;
    ++position_;
    while (Current().kind != TokenKind::kEnd && !IsSymbol(Current(), ']') && !IsSymbol(Current(), '}')) {
      if (Current().first_on_line && Current().kind == TokenKind::kName && IsSymbol(PeekToken(), '='))
        break;  // the ] is missing
      const std::size_t start = position_;
      std::vector<AttachedComment> leading_comments;
      TakeComments(Current().span.begin, &leading_comments);
      if (!leading_comments.empty()) leading_comments.front().blank_line_before = false;
      Value element = ParseExpression(depth + 1, 0);
      element.leading_comments = std::move(leading_comments);
      const bool comma = ConsumeSymbol(',');
      TakeTrailingComment(&element.trailing_comment);
      v->children.push_back(std::move(element));
      if (position_ == start) break;  // the current token cannot start a value
      if (!comma) break;
    }
    TakeComments(Current().span.begin, &v->closing_comments);
    if (!ConsumeSymbol(']')) {
      Diagnostic& d =
          diagnostics_->Add("P007", Current().span, "expected a comma or ], found " + DescribeCurrent(),
                            "close the list with ]");
      d.notes.push_back({v->span, "it starts here"});
    }
  }

  static constexpr int kMaxOperators = 200;  // per value; bounds the depth of the expression tree

  const Source& source_;
  LexResult lexed_;
  Diagnostics* diagnostics_;
  std::size_t position_ = 0, next_comment_ = 0;
  int operators_ = 0;
};

}  // namespace

Document Parse(const Source& source, std::uint32_t file, Diagnostics* diagnostics) {
  const std::size_t before = diagnostics->all().size();
  Document document = Parser(source, file, diagnostics).Run();
  diagnostics->SortFrom(before);  // lexer errors were all added before parser errors
  return document;
}

}  // namespace cluster_manager::config_language
