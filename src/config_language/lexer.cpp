#include "config_language/lexer.h"

#include <algorithm>
#include <charconv>

namespace cluster_manager::config_language {
namespace {

bool IsDigit(char c) { return c >= '0' && c <= '9'; }
bool IsLetter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool IsNameByte(char c) { return IsLetter(c) || IsDigit(c) || c == '-'; }
bool IsControl(char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; }

// The number of bytes of the first character, 0 if it is not valid UTF-8 (RFC 3629: no overlong forms, no
// surrogates, nothing above U+10FFFF).
std::size_t CharacterBytes(std::string_view text) {
  const auto byte = [text](std::size_t i) {
    return i < text.size() ? static_cast<unsigned char>(text[i]) : 0;
  };
  const auto is_continuation = [&](std::size_t i, unsigned char low = 0x80, unsigned char high = 0xBF) {
    return byte(i) >= low && byte(i) <= high;
  };
  const unsigned char first = byte(0);
  if (first < 0x80) return 1;
  if (first >= 0xC2 && first <= 0xDF) return is_continuation(1) ? 2 : 0;
  if (first >= 0xE0 && first <= 0xEF) {
    const unsigned char low = first == 0xE0 ? 0xA0 : 0x80;
    const unsigned char high = first == 0xED ? 0x9F : 0xBF;
    return is_continuation(1, low, high) && is_continuation(2) ? 3 : 0;
  }
  if (first >= 0xF0 && first <= 0xF4) {
    const unsigned char low = first == 0xF0 ? 0x90 : 0x80;
    const unsigned char high = first == 0xF4 ? 0x8F : 0xBF;
    return is_continuation(1, low, high) && is_continuation(2) && is_continuation(3) ? 4 : 0;
  }
  return 0;
}

class Lexer {
 public:
  Lexer(const Source& source, std::uint32_t file, Diagnostics* diagnostics)
      : text_(source.text()), file_(file), diagnostics_(diagnostics) {}

  LexResult Run() {
    if (text_.starts_with("\xEF\xBB\xBF")) position_ = 3;  // byte order mark
    while (true) {
      SkipSpace();
      if (position_ >= text_.size()) break;
      LexToken();
    }
    Token end;
    end.span = MakeSpan(position_, position_);
    end.first_on_line = true;
    lexed_.tokens.push_back(std::move(end));
    return std::move(lexed_);
  }

 private:
  Span MakeSpan(std::size_t from, std::size_t to) const {
    return {file_, static_cast<std::uint32_t>(from), static_cast<std::uint32_t>(to)};
  }
  char Peek(std::size_t ahead = 0) const {
    return position_ + ahead < text_.size() ? text_[position_ + ahead] : '\0';
  }

  void SkipSpace() {
    while (position_ < text_.size()) {
      const char c = text_[position_];
      if (c == '\n') {
        ++line_breaks_;
        ++position_;
      } else if (c == ' ' || c == '\t' || c == '\r') {
        ++position_;
      } else if (c == '#') {
        LexComment();
      } else {
        return;
      }
    }
  }
  void LexComment() {
    const std::size_t from = position_;
    while (position_ < text_.size() && text_[position_] != '\n') {
      const std::size_t bytes = CharacterBytes(text_.substr(position_));
      if (bytes == 0) {
        ReportInvalidUtf8();
        continue;
      }
      if (IsControl(text_[position_]) && text_[position_] != '\t' && text_[position_] != '\r')
        ReportControlByte();
      position_ += bytes;
    }
    std::string_view text = text_.substr(from, position_ - from);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
      text.remove_suffix(1);
    lexed_.comments.push_back({MakeSpan(from, from + text.size()), std::string(text),
                               lexed_.tokens.empty() || line_breaks_ > 0, line_breaks_ > 1});
    line_breaks_ = 0;  // the line break that ends the comment follows
  }
  void ReportControlByte() {
    if (control_byte_reported_) return;  // only the first one is reported
    control_byte_reported_ = true;
    diagnostics_->Add(
        "L004", MakeSpan(position_, position_ + 1),
        "control byte " + std::to_string(static_cast<unsigned char>(text_[position_])) + " in the text",
        "remove it");
  }
  void ReportInvalidUtf8() {
    const std::size_t from = position_;
    while (position_ < text_.size() && CharacterBytes(text_.substr(position_)) == 0) ++position_;
    if (invalid_utf8_reported_) return;
    invalid_utf8_reported_ = true;
    diagnostics_->Add("L003", MakeSpan(from, position_), "invalid UTF-8", "save the file as UTF-8");
  }

  Token& AddToken(TokenKind kind, std::size_t from) {
    Token token;
    token.kind = kind;
    token.span = MakeSpan(from, position_);
    token.first_on_line = lexed_.tokens.empty() || line_breaks_ > 0;
    token.blank_line_before = line_breaks_ > 1;
    line_breaks_ = 0;
    lexed_.tokens.push_back(std::move(token));
    return lexed_.tokens.back();
  }
  void LexToken() {
    const std::size_t from = position_;
    const char c = text_[position_];
    if (IsLetter(c)) {
      while (IsNameByte(Peek()) || (Peek() == '.' && IsNameByte(Peek(1)))) ++position_;
      AddToken(TokenKind::kName, from).text = std::string(text_.substr(from, position_ - from));
    } else if (IsDigit(c) || (c == '.' && IsDigit(Peek(1)))) {
      LexNumber();
    } else if (c == '"') {
      LexString();
    } else if (std::string_view("{}[]()=,+-*/").find(c) != std::string_view::npos) {
      ++position_;
      AddToken(TokenKind::kSymbol, from).symbol = c;
    } else if (CharacterBytes(text_.substr(position_)) == 0) {
      ReportInvalidUtf8();
    } else if (IsControl(c)) {
      ReportControlByte();
      ++position_;
    } else {
      // A run of invalid characters is reported as one error.
      while (position_ < text_.size() && IsInvalidCharacter())
        position_ += CharacterBytes(text_.substr(position_));
      diagnostics_->Add("L001", MakeSpan(from, position_), "unexpected '" + Excerpt(from) + "'",
                        c == '\''  ? "write strings between double quotes"
                        : c == ';' ? "start a new line instead"
                                   : "");
    }
  }
  bool IsInvalidCharacter() const {
    const char c = Peek();
    return !IsLetter(c) && !IsDigit(c) && !IsControl(c) && c != ' ' && c != '#' && c != '"' &&
           std::string_view("{}[]()=,+-*/").find(c) == std::string_view::npos &&
           CharacterBytes(text_.substr(position_)) > 0;
  }
  std::string Excerpt(std::size_t from) const {
    constexpr std::size_t kMaxLength = 20;
    std::size_t to = from;
    while (to < position_ && to - from < kMaxLength)
      to += std::max<std::size_t>(1, CharacterBytes(text_.substr(to)));
    return std::string(text_.substr(from, std::min(to, position_) - from)) + (to < position_ ? "..." : "");
  }

  void LexNumber() {
    const std::size_t from = position_;
    int points = 0;
    while (IsDigit(Peek()) || (Peek() == '.' && (IsDigit(Peek(1)) || Peek(1) == '.')))
      points += text_[position_++] == '.';
    const std::string_view digits = text_.substr(from, position_ - from);
    const std::size_t unit_from = position_;
    if (Peek() == '%') {
      ++position_;
    } else if (Peek() == '/' && Peek(1) == 's' && !IsNameByte(Peek(2))) {
      position_ += 2;
    } else {
      while (IsLetter(Peek()) || (position_ > unit_from && IsDigit(Peek()))) ++position_;
    }
    const std::string_view unit = text_.substr(unit_from, position_ - unit_from);
    Token& token = AddToken(TokenKind::kNumber, from);
    constexpr std::size_t kMaxDigits = 30;
    const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), token.number);
    if (points > 1 || error != std::errc() || stop != digits.data() + digits.size() ||
        digits.size() > kMaxDigits) {
      token.number = 0;
      diagnostics_->Add("L007", MakeSpan(from, unit_from), "invalid number");
    }
    if (unit.empty()) return;
    token.unit = FindUnit(unit);
    if (token.unit != nullptr) return;
    std::vector<std::string_view> names;
    for (const Unit& each : Units()) names.push_back(each.name);
    const std::string_view replacement = SuggestUnit(unit, names);
    diagnostics_->Add("L006", MakeSpan(unit_from, position_), "unknown unit '" + std::string(unit) + "'",
                      replacement.empty() ? "write one of ms, s, min, h, cores, KiB, MiB, GiB, /s, %"
                                          : "write " + std::string(digits) + std::string(replacement));
  }
  // Suggests the unit for a common alias, otherwise the most similar unit.
  static std::string_view SuggestUnit(std::string_view unit, const std::vector<std::string_view>& names) {
    static constexpr std::pair<std::string_view, std::string_view> kAliases[] = {
        {"sec", "s"},     {"secs", "s"},     {"second", "s"},  {"seconds", "s"},   {"msec", "ms"},
        {"millis", "ms"}, {"m", "min"},      {"mins", "min"},  {"minutes", "min"}, {"hours", "h"},
        {"hour", "h"},    {"core", "cores"}, {"cpu", "cores"}, {"cpus", "cores"},  {"GB", "GiB"},
        {"G", "GiB"},     {"Gi", "GiB"},     {"MB", "MiB"},    {"M", "MiB"},       {"Mi", "MiB"},
        {"KB", "KiB"},    {"K", "KiB"},      {"Ki", "KiB"},    {"gib", "GiB"},     {"mib", "MiB"},
        {"kib", "KiB"},   {"rps", "/s"},     {"percent", "%"}};
    for (const auto& [alias, replacement] : kAliases) {
      if (alias == unit) return replacement;
    }
    return ClosestWord(unit, names);
  }

  void LexString() {
    const std::size_t from = position_++;
    std::string text;
    while (true) {
      if (position_ >= text_.size() || Peek() == '\n') {
        diagnostics_->Add("L002", MakeSpan(from, position_), "the string is not closed on its line",
                          "add a closing \"");
        break;
      }
      const char c = Peek();
      if (c == '"') {
        ++position_;
        break;
      }
      if (c == '\\') {
        LexEscape(&text);
        continue;
      }
      const std::size_t bytes = CharacterBytes(text_.substr(position_));
      if (bytes == 0) {
        ReportInvalidUtf8();
        continue;
      }
      if (IsControl(c) && c != '\t' && c != '\r') ReportControlByte();
      if (c != '\r' || Peek(1) != '\n') text += text_.substr(position_, bytes);
      position_ += bytes;
    }
    AddToken(TokenKind::kString, from).text = std::move(text);
  }
  void LexEscape(std::string* text) {
    const char c = Peek(1);
    static constexpr std::pair<char, char> kEscapes[] = {{'"', '"'}, {'\\', '\\'}, {'n', '\n'}, {'t', '\t'}};
    for (const auto& [written, replacement] : kEscapes) {
      if (written != c) continue;
      *text += replacement;
      position_ += 2;
      return;
    }
    diagnostics_->Add("L005", MakeSpan(position_, std::min(position_ + 2, text_.size())),
                      "unknown escape sequence", "write \\\\ for a backslash");
    ++position_;
  }

  const std::string_view text_;
  const std::uint32_t file_;
  Diagnostics* diagnostics_;
  std::size_t position_ = 0;
  int line_breaks_ = 0;  // since the last token or comment
  bool control_byte_reported_ = false, invalid_utf8_reported_ = false;
  LexResult lexed_;
};

}  // namespace

const std::vector<Unit>& Units() {
  static const std::vector<Unit> kAll = {
      {"ms", Dimension::kTime, 1},         {"s", Dimension::kTime, 1000},
      {"min", Dimension::kTime, 60'000},   {"h", Dimension::kTime, 3'600'000},
      {"cores", Dimension::kCores, 1},     {"KiB", Dimension::kBytes, 1024},
      {"MiB", Dimension::kBytes, 1048576}, {"GiB", Dimension::kBytes, 1073741824},
      {"/s", Dimension::kRate, 1},         {"%", Dimension::kShare, 0.01}};
  return kAll;
}

const Unit* FindUnit(std::string_view name) {
  const auto& all = Units();
  const auto it = std::ranges::find(all, name, &Unit::name);
  return it == all.end() ? nullptr : &*it;
}

LexResult Lex(const Source& source, std::uint32_t file, Diagnostics* diagnostics) {
  return Lexer(source, file, diagnostics).Run();
}

}  // namespace cluster_manager::config_language
