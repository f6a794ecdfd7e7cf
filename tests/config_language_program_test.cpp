// Includes, constants and arithmetic of the configuration language, with files in memory.
#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config_language/evaluator.h"
#include "config_language/resolver.h"

namespace cluster_manager::config_language {
namespace {

class MemoryFileSystem final : public FileSystem {
 public:
  std::optional<std::string> Read(const std::string& path) override {
    ++reads[path];
    const auto it = texts.find(path);
    return it == texts.end() ? std::nullopt : std::optional(it->second);
  }
  std::vector<std::string> Glob(const std::string& pattern) override {
    std::vector<std::string> found;
    const std::size_t star = pattern.find('*');
    const std::string head = pattern.substr(0, star), tail = pattern.substr(star + 1);
    for (const auto& [path, text] : texts) {
      const bool fits =
          path.size() >= head.size() + tail.size() && path.starts_with(head) && path.ends_with(tail);
      if (fits && path.substr(head.size()).find('/') == std::string::npos) found.insert(found.begin(), path);
    }
    return found;
  }
  std::map<std::string, std::string> texts;
  std::map<std::string, int> reads;
};

struct LoadedProgram {
  using Texts = std::map<std::string, std::string>;
  explicit LoadedProgram(const Texts& texts, const std::string& first = "main.willow") {
    file_system.texts = texts;
    program = Load(first, &file_system, &diagnostics);
  }
  std::string Codes() const {
    std::string codes;
    for (const Diagnostic& d : diagnostics.all()) codes += (codes.empty() ? "" : " ") + std::string(d.code);
    return codes;
  }
  std::string Blocks() const {
    std::string names;
    for (const Statement& s : program.blocks) names += (names.empty() ? "" : " ") + s.name;
    return names;
  }
  MemoryFileSystem file_system;
  Diagnostics diagnostics;
  Program program;
};

TEST_CASE("config language: includes are relative to their file and sorted and each file is read once") {
  const LoadedProgram l(
      LoadedProgram::Texts{
          {"etc/main.willow",
           "pool a {}\ninclude \"pools/*.willow\"\ninclude \"../shared.willow\"\npool z {}\n"},
          {"etc/pools/two.willow", "pool two {}\ninclude \"../../shared.willow\"\n"},
          {"etc/pools/one.willow", "pool one {}\ninclude \"../../shared.willow\"\n"},
          {"etc/pools/other.txt", "pool never {}\n"},
          {"shared.willow", "pool shared {}\n"}},
      "etc/main.willow");
  CHECK(l.Codes() == "");
  CHECK(l.Blocks() == "a one shared two z");
  CHECK(l.file_system.reads.at("shared.willow") == 1);
  CHECK(l.program.sources.size() == 4);
}

TEST_CASE("config language: the error on a cycle of three includes shows the whole cycle") {
  const LoadedProgram l(LoadedProgram::Texts{{"main.willow", "include \"b.willow\"\npool a {}\n"},
                                             {"b.willow", "include \"c.willow\"\npool b {}\n"},
                                             {"c.willow", "pool c {}\ninclude \"main.willow\"\n"}});
  REQUIRE(l.Codes() == "R002");
  const Diagnostic& d = l.diagnostics.all()[0];
  CHECK(d.message.find("main.willow -> b.willow -> c.willow -> main.willow") != std::string::npos);
  CHECK(d.notes.size() == 2);
  const std::string shown = Render(d, l.program.sources);
  CHECK(shown.find("c.willow:2:9: error R002") == 0);
  CHECK(shown.find("main.willow:1:9: note: included here") != std::string::npos);
  CHECK(shown.find("b.willow:1:9: note: included here") != std::string::npos);
  CHECK(l.Blocks() == "c b a");  // everything else was read
}

TEST_CASE("config language: a file that includes itself by name is an error and by pattern is not") {
  CHECK(LoadedProgram(LoadedProgram::Texts{{"main.willow", "include \"main.willow\"\n"}}).Codes() == "R002");
  const LoadedProgram l(LoadedProgram::Texts{{"main.willow", "include \"*.willow\"\npool m {}\n"},
                                             {"x.willow", "pool x {}\n"}});
  CHECK(l.Codes() == "");
  CHECK(l.Blocks() == "x m");
}

TEST_CASE("config language: an error on a duplicate definition shows both places") {
  const LoadedProgram l(LoadedProgram::Texts{
      {"main.willow", "include \"b.willow\"\npool a {\n  x = 1\n  x = 2\n}\nlet quick = 1s\n"},
      {"b.willow", "pool a {}\nlet quick = 2s\n"}});
  REQUIRE(l.Codes() == "R008 R008 R008");
  for (const Diagnostic& d : l.diagnostics.all()) {
    REQUIRE(d.notes.size() == 1);
    const std::string shown = Render(d, l.program.sources);
    CHECK(shown.find("main.willow:") == 0);
    CHECK(shown.find("note: first definition") != std::string::npos);
  }
  CHECK(l.diagnostics.all()[1].notes[0].span.file == 1);
}

TEST_CASE("config language: unreadable or excess files are reported and the rest is read") {
  CHECK(LoadedProgram(LoadedProgram::Texts{}).Codes() == "R001");
  const LoadedProgram gone(LoadedProgram::Texts{
      {"main.willow", "include \"gone.willow\"\ninclude \"none/*.willow\"\npool a {}\n"}});
  CHECK(gone.Codes() == "R001 R006");
  CHECK(gone.Blocks() == "a");
  CHECK(Render(gone.diagnostics.all()[0], gone.program.sources).find("main.willow:1:9: error R001") == 0);

  std::map<std::string, std::string> chain;
  for (int i = 0; i < 40; ++i) {
    chain["f" + std::to_string(i)] =
        "include \"f" + std::to_string(i + 1) + "\"\npool p" + std::to_string(i) + " {}\n";
  }
  const LoadedProgram deep(chain, "f0");
  CHECK(deep.Codes() == "R003");
  CHECK(deep.program.blocks.size() == kMaxIncludeDepth);

  std::map<std::string, std::string> many;
  for (int i = 0; i < 400; ++i)
    many["p/" + std::to_string(i) + ".willow"] = "pool p" + std::to_string(i) + " {}\n";
  many["main.willow"] = "include \"p/*.willow\"\n";
  const LoadedProgram wide(many);
  CHECK(wide.Codes() == "R004");
  CHECK(wide.program.sources.size() == kMaxFiles);

  const LoadedProgram large(
      {{"main.willow", "include \"b\"\npool a {}\n"}, {"b", std::string(kMaxFileBytes + 1, '#')}});
  CHECK(large.Codes() == "R005");
  CHECK(large.Blocks() == "a");
  CHECK(LoadedProgram(LoadedProgram::Texts{
                          {"main.willow", "pool a {\n  include \"x\"\n  inner {\n    let y = 1\n  }\n}\n"}})
            .Codes() == "R007 R007");
}

struct EvaluatedText {
  explicit EvaluatedText(const std::string& text)
      : loaded(LoadedProgram::Texts{{"main.willow", text}}), evaluator(loaded.program, &diagnostics) {
    REQUIRE(loaded.Codes() == "");
    if (!loaded.program.settings.empty()) result = evaluator.Evaluate(loaded.program.settings[0].value);
  }
  std::string Codes() const {
    std::string codes;
    for (const Diagnostic& d : diagnostics.all()) codes += (codes.empty() ? "" : " ") + std::string(d.code);
    return codes;
  }
  LoadedProgram loaded;
  Diagnostics diagnostics;
  Evaluator evaluator;
  EvaluatedValue result;
};

TEST_CASE("config language: quantities are evaluated in base units and constants may be defined later") {
  struct Sum {
    const char* text;
    Dimension dimension;
    double number;
  };
  const Sum sums[] = {{"x = 1min + 2s - 3ms\n", Dimension::kTime, 61'997},
                      {"x = 2 * (quick + 1s)\nlet quick = 800ms\n", Dimension::kTime, 3600},
                      {"x = 3GiB / 2\n", Dimension::kBytes, 1610612736},
                      {"x = 1GiB / 512MiB\n", Dimension::kNone, 2},
                      {"x = 10cores * 25%\n", Dimension::kNone, -1},
                      {"x = 160/s + 40/s\n", Dimension::kRate, 200},
                      {"x = 10 - 4 - 3\n", Dimension::kNone, 3},
                      {"x = 100 / 10 / 5\n", Dimension::kNone, 2},
                      {"x = -(1s - 3s)\n", Dimension::kTime, 2000},
                      {"x = a\nlet a = b * 2\nlet b = c + 1h\nlet c = 0h\n", Dimension::kTime, 7'200'000},
                      {"x = 0.1h\n", Dimension::kTime, 360'000}};
  for (const Sum& sum : sums) {
    CAPTURE(sum.text);
    const EvaluatedText w(sum.text);
    if (sum.number < 0) {
      CHECK(w.Codes() == "T001");
      continue;
    }
    CHECK(w.Codes() == "");
    CHECK(w.result.dimension == sum.dimension);
    CHECK(w.result.number == doctest::Approx(sum.number));
  }
}

TEST_CASE("config language: invalid operations and circular constants are reported with their place") {
  const std::pair<const char*, const char*> bad[] = {
      {"x = 1s + 1\n", "T001"},           {"x = 1s + 1GiB\n", "T001"},
      {"x = 2s * 3s\n", "T001"},          {"x = 1 / 2s\n", "T001"},
      {"x = 1s / 0\n", "T003"},           {"x = 1 / (3 - 3)\n", "T003"},
      {"x = \"a\" + 1\n", "T002"},        {"x = -\"a\"\n", "T002"},
      {"x = [1] * 2\n", "T002"},          {"x = true + 1\n", "T002"},
      {"x = unknown + 1\n", "T002"},      {"x = a\nlet a = b\nlet b = a\n", "R010"},
      {"x = a\nlet a = a + 1\n", "R010"}, {"x = [1, 1s + 1]\n", "T001"}};
  for (const auto& [text, code] : bad) {
    CAPTURE(text);
    const EvaluatedText w(text);
    CHECK(w.Codes() == code);
    CHECK(w.result.type == EvaluatedValue::Type::kInvalid);
    for (const Diagnostic& d : w.diagnostics.all()) {
      CHECK(FindExplanation(d.code) != nullptr);
      CHECK_FALSE(Render(d, w.loaded.program.sources).empty());
    }
  }
  CHECK(EvaluatedText("x = 1s + 1\n").diagnostics.all()[0].fix == "add a unit to the number");
  CHECK(EvaluatedText("x = a\nlet a = b\nlet b = a\n").diagnostics.all()[0].message.find("a -> b -> a") !=
        std::string::npos);
}

TEST_CASE("config language: a chain of constants over the depth limit is reported") {
  std::string chain = "x = c0\n";
  for (int i = 0; i < 50'000; ++i)
    chain += "let c" + std::to_string(i) + " = c" + std::to_string(i + 1) + "\n";
  CHECK(EvaluatedText(chain + "let c50000 = 1\n").Codes() == "R011");
  const EvaluatedText w("x = a\nlet a = 1\nlet b = 2\n");
  REQUIRE(w.evaluator.UnusedConstants().size() == 1);
  CHECK(w.evaluator.UnusedConstants()[0]->name == "b");
}

TEST_CASE("config language: paths are resolved relative to a file") {
  CHECK(ResolvePath("", "a/./b//c.willow") == "a/b/c.willow");
  CHECK(ResolvePath("etc/main.willow", "x.willow") == "etc/x.willow");
  CHECK(ResolvePath("etc/main.willow", "../../x.willow") == "../x.willow");
  CHECK(ResolvePath("etc/main.willow", "/abs/../x.willow") == "/x.willow");
}

}  // namespace
}  // namespace cluster_manager::config_language
