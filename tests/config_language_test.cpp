// The configuration language: lexer, parser, diagnostics with their places and fixes, and the formatter.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "config_language/formatter.h"
#include "config_language/parser.h"

namespace cluster_manager::config_language {
namespace {

struct ParsedText {
  explicit ParsedText(std::string text) {
    sources.emplace_back("pools.willow", std::move(text));
    document = Parse(sources[0], 0, &diagnostics);
  }
  std::string Codes() const {
    std::string codes;
    for (const Diagnostic& d : diagnostics.all()) codes += (codes.empty() ? "" : " ") + std::string(d.code);
    return codes;
  }
  std::vector<Source> sources;
  Diagnostics diagnostics;
  Document document;
};

TEST_CASE("config language: a text is parsed into blocks and settings and values") {
  const ParsedText r(
      "include \"more/*.willow\"\n"
      "let quick = 800ms\n"
      "pool hall-b {  # the near one\n"
      "  halls = [\"hall-b\", \"hall-c\"]\n"
      "  share = 12.5%\n"
      "  most = (2 + 3) * quick\n"
      "  inner \"two words\" { on = true }\n"
      "}\n");
  REQUIRE(r.Codes() == "");
  const auto& all = r.document.statements;
  REQUIRE(all.size() == 3);
  CHECK(all[0].form == Statement::Form::kInclude);
  CHECK(all[0].name == "more/*.willow");
  CHECK(all[1].value.number == 800);
  CHECK(all[1].value.unit->name == "ms");
  CHECK(all[2].kind == "pool");
  CHECK(all[2].name == "hall-b");
  REQUIRE(all[2].body.size() == 4);
  CHECK(all[2].body[0].value.children.size() == 2);
  CHECK(all[2].body[1].value.unit->dimension == Dimension::kShare);
  CHECK(FormatValue(all[2].body[2].value) == "(2 + 3) * quick");
  CHECK(all[2].body[3].name == "two words");
}

struct InvalidText {
  const char* text;
  const char* codes;
  std::size_t line, column;
  const char* fix;  // a part of the fix
};

TEST_CASE("config language: each error has its code and place and its fix if there is one") {
  const InvalidText all[] = {
      {"pool a {\n  wait = 800sec\n}\n", "L006", 2, 13, "write 800s"},
      {"let a = 4GB\n", "L006", 1, 10, "write 4GiB"},
      {"let a = 5mms\n", "L006", 1, 10, "write 5ms"},
      {"let a = 5parsecs\n", "L006", 1, 10, "ms, s, min"},
      {"let a = 2core\n", "L006", 1, 10, "write 2cores"},
      {"let a = 3%%\n", "L001", 1, 11, ""},
      {"let a = 1.2.3\n", "L007", 1, 9, ""},
      {"let a = \"open\nlet b = 1\n", "L002", 1, 9, "closing \""},
      {"let a = \"\\q\"\n", "L005", 1, 10, "\\\\"},
      {"let a = 'x'\n", "L001 L001", 1, 9, "double quotes"},
      {"let a = 1;\nlet b = 2\n", "L001", 1, 10, "start a new line"},
      {"let a = \x01 1\n", "L004", 1, 9, "remove it"},
      {"let a = \"\xff\"\n", "L003", 1, 10, "UTF-8"},
      {"# \xc0\xaf overlong\nlet a = 1\n", "L003", 1, 3, "UTF-8"},
      {"pool a {\n  x = 1\n", "P002", 3, 1, "add }"},
      {"}\nlet a = 1\n", "P005", 1, 1, "remove it"},
      {"pool a {\n  x =\n  y = 2\n}\n", "P004", 2, 3, "after the ="},
      {"let a =\n", "P004", 1, 5, "after the ="},
      {"pool a {\n  x = ]\n}\n", "P004", 2, 7, ""},
      {"pools hall-b\n", "P006", 1, 1, "write pools = VALUE"},
      {"let 5 = 3\n", "P006", 1, 1, "let = VALUE"},
      {"let a 5\n", "P001", 1, 7, "let NAME = VALUE"},
      {"= 5\nlet a = 1\n", "P001", 1, 1, ""},
      {"let a = [1, 2\nlet b = 3\n", "P007", 2, 1, "close the list"},
      {"pool a {\n  x = [1 2]\n}\n", "P007 P001", 2, 10, "close the list"},
      {"let a = (1 + 2\nlet b = 1\n", "P001", 2, 1, "close the parenthesis"},
      {"let a = 1 +\n", "P004", 2, 1, ""},
  };
  for (const InvalidText& bad : all) {
    CAPTURE(bad.text);
    const ParsedText r(bad.text);
    REQUIRE(r.diagnostics.any());
    CHECK(r.Codes() == bad.codes);
    const Diagnostic& first = r.diagnostics.all()[0];
    const Position place = r.sources[0].PositionAt(first.span.begin);
    CHECK(place.line == bad.line);
    CHECK(place.column == bad.column);
    CHECK(first.fix.find(bad.fix) != std::string::npos);
    CHECK(FindExplanation(first.code) != nullptr);
  }
}

TEST_CASE("config language: one run reports several errors but no consequential errors") {
  const ParsedText r(
      "pool a {\n"
      "  wait = 3sec\n"
      "  good = 1\n"
      "  = broken here [ with { all } kinds ]\n"
      "  also = 2\n"
      "}\n"
      "route b {\n"
      "  share = 5procent\n"
      "}\n"
      "route c { fine = 1 }\n");
  CHECK(r.Codes() == "L006 P001 L006");
  REQUIRE(r.document.statements.size() == 3);
  CHECK(r.document.statements[0].body.size() == 3);
  CHECK(r.document.statements[2].body.size() == 1);
}

TEST_CASE("config language: a rendered error shows the line and a marker and the fix and notes") {
  const ParsedText bad("pool a {\n  w\xc3\xa4it = 1\n  wait = 800sec\n");
  REQUIRE(bad.diagnostics.all().size() >= 2);
  const ParsedText r("pool a {\n  wait = 800sec\n");
  REQUIRE(r.Codes() == "L006 P002");
  CHECK(Render(r.diagnostics.all()[0], r.sources) ==
        "pools.willow:2:13: error L006: unknown unit 'sec'\n"
        "  2 |   wait = 800sec\n"
        "    |             ^~~\n"
        "  fix: write 800s\n");
  CHECK(Render(r.diagnostics.all()[1], r.sources).find("pools.willow:1:8: note: it starts here") !=
        std::string::npos);
}

TEST_CASE("config language: extremely nested or long or binary input is reported within bounds") {
  std::string deep;
  for (int i = 0; i < 100'000; ++i) deep += "a {";
  CHECK(ParsedText(deep).Codes().find("P003") == 0);
  CHECK(ParsedText(std::string(100'000, '{')).Codes() == "P001");
  CHECK(ParsedText("let a = " + std::string(100'000, '[')).Codes().find("P003") != std::string::npos);
  CHECK(ParsedText("let a = " + std::string(100'000, '(') + "1").Codes().find("P003") != std::string::npos);
  CHECK(ParsedText("let a = " + std::string(100'000, '-') + "1").Codes().find("P003") != std::string::npos);
  std::string sum = "let a = 1";
  for (int i = 0; i < 100'000; ++i) sum += " + 1";
  CHECK(ParsedText(sum + "\n").Codes() == "P003");
  const ParsedText line("let a = \"" + std::string(1'000'000, 'x') + "\" 5\nlet b = 1\n");
  CHECK(line.Codes() == "P001");
  CHECK(Render(line.diagnostics.all()[0], line.sources).size() < 1000);
  CHECK(ParsedText(std::string(1000, '\0')).Codes() == "L004");
  CHECK(ParsedText("\xEF\xBB\xBFlet a = 1\r\npool b {\r\n}\r\n").Codes() == "");
  std::string many;
  for (int i = 0; i < 5000; ++i) many += "let a = 1parsec\n";
  const ParsedText r(many);
  CHECK(r.diagnostics.all().size() == Diagnostics::kMaxDiagnostics);
  CHECK(r.diagnostics.dropped() == 5000 - Diagnostics::kMaxDiagnostics);
  CHECK(ParsedText("").Codes() == "");
}

TEST_CASE("config language: formatting keeps every comment and is idempotent") {
  const std::string text =
      "# head\n\n\n# second\ninclude \"a\"   # which\n"
      "let a=1+2*( 3-4 )   # sum\n"
      "pool   x{ # opens\n# alone\n\n\n  b=[1,2,\n3] # beside\n c = [ # first\n 1, # one\n # above two\n 2 # "
      "two\n # last\n]\n"
      "   # end of x\n}\n"
      "empty{}\n# tail\n";
  const ParsedText r(text);
  REQUIRE(r.Codes() == "");
  const std::string once = Format(r.document);
  CHECK(once ==
        "# head\n\n# second\ninclude \"a\"  # which\n"
        "let a = 1 + 2 * (3 - 4)  # sum\n"
        "\npool x {\n  # opens\n  # alone\n\n  b = [1, 2, 3]  # beside\n"
        "  c = [\n    # first\n    1,  # one\n    # above two\n    2,  # two\n    # last\n  ]\n"
        "  # end of x\n}\n"
        "\nempty {}\n# tail\n");
  CHECK(Format(ParsedText(once).document) == once);
}

// Generates random valid texts.
class RandomTextGenerator {
 public:
  explicit RandomTextGenerator(unsigned seed) : random_(seed) {}
  std::string Text() {
    std::string out;
    for (int i = Below(8) + 1; i > 0; --i) out += Statement(0);
    if (Below(3) == 0) out += "# the end\n";
    return out;
  }

 private:
  int Below(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }
  std::string Space() { return Below(4) == 0 ? "  " : Below(8) == 0 ? "\t" : " "; }
  std::string Name() {
    return std::string(1, static_cast<char>('a' + Below(26))) +
           (Below(2) == 0 ? "-x" + std::to_string(Below(50)) : "q");
  }
  std::string Comment() { return Below(5) == 0 ? Space() + "# note " + std::to_string(++notes_) : ""; }
  std::string Above() {
    std::string out;
    while (Below(4) == 0)
      out += (Below(3) == 0 ? "\n\n" : "") + std::string("# above ") + std::to_string(++notes_) + "\n";
    return out;
  }
  std::string Value(int depth) {
    static const char* kUnits[] = {"", "ms", "s", "min", "cores", "GiB", "/s", "%"};
    switch (Below(depth > 3 ? 4 : 7)) {
      case 0:
        return std::to_string(Below(1000)) + kUnits[Below(8)];
      case 1:
        return "\"s \\\" \\\\ \\n\\t " + std::to_string(Below(9)) + " \xc4\x93\"";
      case 2:
        return Name();
      case 3:
        return "0.25" + std::string(kUnits[Below(8)]);
      case 4: {
        std::string list = "[";
        const bool lines = Below(3) == 0;
        for (int i = Below(6); i > 0; --i) {
          if (lines)
            list += "\n" + (Below(4) == 0 ? "# in list " + std::to_string(++notes_) + "\n" : std::string());
          list += Value(depth + 1) + (i > 1 || Below(2) == 0 ? "," : "") + (lines ? Comment() : "");
        }
        return list + (lines ? "\n]" : "]");
      }
      case 5:
        return Value(depth + 1) + " " + "+-*/"[Below(4)] + " " + Value(depth + 1);
      default:
        return Below(2) == 0 ? "(" + Value(depth + 1) + ")" : "-" + Value(depth + 1);
    }
  }
  std::string Statement(int depth) {
    std::string out = Above() + std::string(static_cast<std::size_t>(Below(4)), ' ');
    switch (Below(depth > 3 ? 2 : 4)) {
      case 0:
        return out + "let" + Space() + Name() + Space() + "=" + Space() + Value(0) + Comment() + "\n";
      case 1:
        return out + Name() + "=" + Value(0) + Comment() + "\n" + (Below(4) == 0 ? "\n\n" : "");
      case 2:
        return out + "include \"" + Name() + "\"" + Comment() + "\n";
      default: {
        out += Name() + Space() + (Below(2) == 0 ? Name() : "\"" + Name() + " y\"") + Space() + "{" +
               Comment() + "\n";
        for (int i = Below(5); i > 0; --i) out += Statement(depth + 1);
        return out + Above() + "}" + Comment() + "\n";
      }
    }
  }

  std::mt19937 random_;
  int notes_ = 0;
};

std::vector<std::string> CommentsOf(const std::string& text) {
  const Source source("x", text);
  Diagnostics none;
  std::vector<std::string> all;
  for (const Comment& c : Lex(source, 0, &none).comments) all.push_back(c.text);
  std::ranges::sort(all);
  return all;
}

std::vector<std::string> TokensOf(const std::string& text) {
  const Source source("x", text);
  Diagnostics none;
  std::vector<std::string> all;
  for (const Token& t : Lex(source, 0, &none).tokens) {
    // Formatting may add or remove commas and parentheses, but no other tokens.
    if (t.kind == TokenKind::kSymbol && std::string_view(",()").find(t.symbol) != std::string_view::npos)
      continue;
    all.push_back(t.kind == TokenKind::kString ? "\"" + t.text : std::string(source.Text(t.span)));
  }
  return all;
}

TEST_CASE("config language: formatting of random texts is idempotent and keeps tokens and comments") {
  int read = 0;
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    const std::string text = RandomTextGenerator(seed).Text();
    CAPTURE(seed);
    const ParsedText r(text);
    REQUIRE_MESSAGE(r.Codes() == "", text);
    const std::string once = Format(r.document);
    const ParsedText again(once);
    REQUIRE_MESSAGE(again.Codes() == "", once);
    REQUIRE_MESSAGE(Format(again.document) == once, once << "-----\n" << Format(again.document));
    REQUIRE_MESSAGE(CommentsOf(once) == CommentsOf(text), text << "-----\n" << once);
    REQUIRE_MESSAGE(TokensOf(once) == TokensOf(text), text << "-----\n" << once);
    read += static_cast<int>(r.document.statements.size());
  }
  CHECK(read > 9000);
}

TEST_CASE("config language: randomly corrupted texts give errors or parse but never crash") {
  std::mt19937 random(99);
  int bad = 0;
  for (unsigned seed = 1; seed <= 1500; ++seed) {
    std::string text = RandomTextGenerator(seed).Text();
    for (int i = 0; i < 3; ++i) {
      const std::size_t at = random() % (text.size() + 1);
      switch (random() % 4) {
        case 0:
          text.erase(at, random() % 5);
          break;
        case 1:
          text.insert(at, std::string(1, "{}[]()=,\"#\\\n\x01\xff%"[random() % 15]));
          break;
        case 2:
          text.insert(at, text.substr(random() % text.size(), 9));
          break;
        default:
          if (at < text.size()) text[at] = static_cast<char>(random());
      }
    }
    const ParsedText r(text);
    bad += r.diagnostics.any();
    for (const Diagnostic& d : r.diagnostics.all()) {
      REQUIRE(d.span.begin <= text.size());
      REQUIRE(FindExplanation(d.code) != nullptr);
      REQUIRE_FALSE(Render(d, r.sources).empty());
    }
  }
  CHECK(bad > 700);
}

TEST_CASE("config language: only a similar word is suggested") {
  const std::vector<std::string_view> words = {"halls", "kinds", "racks", "labels"};
  CHECK(ClosestWord("hals", words) == "halls");
  CHECK(ClosestWord("knids", words) == "kinds");
  CHECK(ClosestWord("elephant", words) == "");
  CHECK(ClosestWord(std::string(1000, 'x'), words) == "");
}

}  // namespace
}  // namespace cluster_manager::config_language
