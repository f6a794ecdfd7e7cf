// The configuration language: from source text to a checked configuration. This module owns the source texts,
// diagnostics, syntax, evaluation and formatting. It uses no sockets and knows none of the cluster manager's
// settings. The grammar is in docs/reference/language.md.
//
// This file: source texts and places in them. Places are stored as byte offsets; lines and columns are
// computed on demand.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cluster_manager::config_language {

// A range of bytes [begin, end) in a source.
struct Span {
  std::uint32_t file = 0;  // index into the list of sources
  std::uint32_t begin = 0, end = 0;
};

// Both count from 1.
struct Position {
  std::size_t line = 1, column = 1;  // column: in characters, not bytes
};

// The text of one file.
class Source {
 public:
  Source(std::string path, std::string text);

  const std::string& path() const { return path_; }
  std::string_view text() const { return text_; }
  std::string_view Text(const Span& span) const {
    return std::string_view(text_).substr(span.begin, span.end - span.begin);
  }
  // Offsets past the end mean the end.
  Position PositionAt(std::size_t offset) const;
  // The line with this number, from 1, without its line break; empty if there is no such line.
  std::string_view LineText(std::size_t number) const;

 private:
  std::string path_, text_;
  std::vector<std::size_t> line_starts_;  // offsets
};

}  // namespace cluster_manager::config_language
