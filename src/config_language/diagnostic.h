// Diagnostics: an error code, where the error is, a message and a proposed fix. Codes are stable, because
// documents and scripts refer to them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config_language/source.h"

namespace cluster_manager::config_language {

// A further place that belongs to an error.
struct Note {
  Span span;
  std::string message;
};

struct Diagnostic {
  std::string_view code;  // one of Explanations()
  Span span;
  std::string message;
  std::string fix;  // what to write instead; empty if unknown
  std::vector<Note> notes;
};

struct Explanation {
  std::string_view code, title, text;
};

// All codes, in order.
const std::vector<Explanation>& Explanations();
// Null if there is no such code.
const Explanation* FindExplanation(std::string_view code);

// Collects errors up to a bound; further errors are only counted.
class Diagnostics {
 public:
  static constexpr std::size_t kMaxDiagnostics = 100;

  // The reference is valid until the next call.
  Diagnostic& Add(std::string_view code, Span span, std::string message, std::string fix = "");
  // Sorts the errors from index `from` on by their place.
  void SortFrom(std::size_t from);
  const std::vector<Diagnostic>& all() const { return all_; }
  std::size_t dropped() const { return dropped_; }
  bool any() const { return !all_.empty(); }

 private:
  std::vector<Diagnostic> all_;
  Diagnostic discarded_;  // returned by Add past the bound
  std::size_t dropped_ = 0;
};

// Formats a diagnostic for people: path:line:column, the source line with a marker below it, the fix and the
// notes.
std::string Render(const Diagnostic& diagnostic, const std::vector<Source>& sources);

// The most similar of `words`, or empty if none is similar enough, by optimal string alignment (restricted
// Damerau-Levenshtein) distance. Words of more than 64 bytes match nothing.
std::string_view ClosestWord(std::string_view word, const std::vector<std::string_view>& words);

}  // namespace cluster_manager::config_language
