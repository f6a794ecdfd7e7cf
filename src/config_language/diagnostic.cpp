#include "config_language/diagnostic.h"

#include <algorithm>
#include <utility>

namespace cluster_manager::config_language {
namespace {

constexpr std::size_t kMaxLineWidth =
    120;  // of an excerpt, in bytes; of a longer line only the part around the error is shown

std::string FormatPosition(const Span& span, const std::vector<Source>& sources) {
  const Source& source = sources.at(span.file);
  const Position place = source.PositionAt(span.begin);
  return source.path() + ":" + std::to_string(place.line) + ":" + std::to_string(place.column);
}

// Replaces bytes outside of printable ASCII by dots, since control bytes and invalid UTF-8 can garble a
// terminal.
std::string Printable(std::string_view bytes) {
  std::string out;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    out += c == '\t' ? ' ' : byte < 0x20 || byte >= 0x7F ? '.' : c;
  }
  return out;
}

void AppendLineExcerpt(const Span& span, const std::vector<Source>& sources, std::string* out) {
  const Source& source = sources.at(span.file);
  const Position place = source.PositionAt(span.begin);
  const std::string_view line = source.LineText(place.line);
  const std::size_t line_start = static_cast<std::size_t>(line.data() - source.text().data());
  const std::size_t at = std::min<std::size_t>(span.begin - line_start, line.size());
  const std::size_t from = at > kMaxLineWidth / 2 ? at - kMaxLineWidth / 2 : 0;
  const std::string number = std::to_string(place.line);
  const std::string margin(number.size(), ' ');
  const std::size_t marks =
      std::clamp<std::size_t>(span.end - span.begin, 1, std::max<std::size_t>(line.size() - at, 1));
  *out += "  " + number + " | " + Printable(line.substr(from, kMaxLineWidth)) + "\n";
  *out += "  " + margin + " | " + std::string(at - from, ' ') + "^" +
          std::string(std::min(marks, kMaxLineWidth - (at - from)) - 1, '~') + "\n";
}

}  // namespace

Diagnostic& Diagnostics::Add(std::string_view code, Span span, std::string message, std::string fix) {
  Diagnostic diagnostic{code, span, std::move(message), std::move(fix), {}};
  if (all_.size() >= kMaxDiagnostics) {
    ++dropped_;
    discarded_ = std::move(diagnostic);
    return discarded_;
  }
  all_.push_back(std::move(diagnostic));
  return all_.back();
}

void Diagnostics::SortFrom(std::size_t from) {
  std::stable_sort(all_.begin() + static_cast<std::ptrdiff_t>(std::min(from, all_.size())), all_.end(),
                   [](const Diagnostic& a, const Diagnostic& b) {
                     return std::pair(a.span.file, a.span.begin) < std::pair(b.span.file, b.span.begin);
                   });
}

std::string Render(const Diagnostic& d, const std::vector<Source>& sources) {
  std::string out =
      FormatPosition(d.span, sources) + ": error " + std::string(d.code) + ": " + d.message + "\n";
  AppendLineExcerpt(d.span, sources, &out);
  if (!d.fix.empty()) out += "  fix: " + d.fix + "\n";
  for (const Note& note : d.notes) {
    out += FormatPosition(note.span, sources) + ": note: " + note.message + "\n";
    AppendLineExcerpt(note.span, sources, &out);
  }
  return out;
}

std::string_view ClosestWord(std::string_view word, const std::vector<std::string_view>& words) {
  constexpr std::size_t kMaxLength = 64;
  if (word.size() > kMaxLength) return {};
  std::string_view best;
  std::size_t best_distance = std::max<std::size_t>(1, word.size() / 3) + 1;
  for (const std::string_view candidate : words) {
    if (candidate.size() > kMaxLength) continue;
    std::vector<std::size_t> before(candidate.size() + 1);
    std::vector<std::size_t> last(candidate.size() + 1);
    std::vector<std::size_t> row(candidate.size() + 1);
    for (std::size_t j = 0; j <= candidate.size(); ++j) last[j] = j;
    for (std::size_t i = 1; i <= word.size(); ++i) {
      row[0] = i;
      for (std::size_t j = 1; j <= candidate.size(); ++j) {
        const std::size_t cost = word[i - 1] != candidate[j - 1];
        row[j] = std::min({last[j] + 1, row[j - 1] + 1, last[j - 1] + cost});
        if (i > 1 && j > 1 && word[i - 1] == candidate[j - 2] && word[i - 2] == candidate[j - 1]) {
          row[j] = std::min(row[j], before[j - 2] + 1);
        }
      }
      std::swap(before, last);
      std::swap(last, row);
    }
    if (last[candidate.size()] < best_distance) {
      best_distance = last[candidate.size()];
      best = candidate;
    }
  }
  return best;
}

const std::vector<Explanation>& Explanations() {
  static const std::vector<Explanation> kAll = {
      {"L001", "unexpected character",
       "Outside of strings and comments, a text consists of names, numbers, strings and the "
       "symbols { } [ ] ( ) = , + - * /.\n"
       "A comment starts with #. Strings are written between double quotes."},
      {"L002", "unterminated string",
       "A string starts and ends with \" on the same line. A quote inside of it is written \\\"."},
      {"L003", "invalid UTF-8", "Configuration files are encoded in UTF-8. Save the file in that encoding."},
      {"L004", "control byte",
       "Tabs and line breaks are the only control bytes allowed in a file; in a string write \\n or \\t."},
      {"L005", "unknown escape sequence", "After a backslash, a string may contain \", \\, n or t."},
      {"L006", "unknown unit",
       "A quantity is a number directly followed by a unit: ms, s, min, h; cores; KiB, MiB, GiB; /s; %.\n"
       "No other units are supported."},
      {"L007", "invalid number",
       "A number consists of digits with at most one decimal point among them, as in 3 or 0.25."},
      {"P001", "unexpected token", "The message names what is allowed at this place and what was found."},
      {"P002", "unclosed block",
       "Each { of a block needs a matching }. The note shows where the block starts."},
      {"P003", "nested too deeply",
       "Blocks, lists and parentheses can be nested 32 levels deep, and an expression can "
       "have 200 operators."},
      {"P004", "missing value",
       "A = must be followed by a value: a number with its unit, a string, a name or a list."},
      {"P005", "unmatched }", "There are more } than blocks."},
      {"P006", "name without = or {", "A setting is written NAME = VALUE, a block KIND NAME { ... }."},
      {"P007", "unclosed list", "A list is written [a, b, c]; a comma after the last element is allowed."},
      {"R001", "unreadable file",
       "Paths of includes are relative to the file that contains them. The program needs read "
       "permission for the file."},
      {"R002", "circular includes",
       "The message shows the whole cycle. A file may be included by several others; it is read once."},
      {"R003", "includes nested too deeply", "A file can be at most 16 includes away from the first file."},
      {"R004", "too many files", "A configuration can have at most 256 files."},
      {"R005", "file too large", "A file can have at most 4 MiB, all files together at most 16 MiB."},
      {"R006", "pattern without a match", "In the path of an include, * stands for any characters except /."},
      {"R007", "include or let inside a block",
       "Includes and constants are allowed at top level only, because they apply to the "
       "whole configuration."},
      {"R008", "duplicate definition",
       "A name can be defined once in a configuration; the note shows the first definition."},
      {"R010", "circular constants",
       "The message shows the cycle; one of the constants must have a value that does not use the others."},
      {"R011", "constants nested too deeply",
       "A constant can depend on others over at most 64 steps. Replace one of them by a value."},
      {"T001", "incompatible quantities",
       "Only quantities of the same kind can be added and subtracted. In a product, one of the two must "
       "be a plain number;\n"
       "the quotient of two quantities of the same kind is a plain number."},
      {"T002", "arithmetic on something that is not a number",
       "Only numbers and quantities can be used in arithmetic."},
      {"T003", "invalid result", "Division by 0, or a result that is too large."},
  };
  return kAll;
}

const Explanation* FindExplanation(std::string_view code) {
  const auto& all = Explanations();
  const auto it = std::ranges::find(all, code, &Explanation::code);
  return it == all.end() ? nullptr : &*it;
}

}  // namespace cluster_manager::config_language
