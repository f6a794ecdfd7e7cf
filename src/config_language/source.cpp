#include "config_language/source.h"

#include <algorithm>
#include <utility>

namespace cluster_manager::config_language {

Source::Source(std::string path, std::string text)
    : path_(std::move(path)), text_(std::move(text)), line_starts_{0} {
  for (std::size_t i = 0; i < text_.size(); ++i) {
    if (text_[i] == '\n') line_starts_.push_back(i + 1);
  }
}

Position Source::PositionAt(std::size_t offset) const {
  offset = std::min(offset, text_.size());
  const auto after = std::ranges::upper_bound(line_starts_, offset);
  const std::size_t line = static_cast<std::size_t>(after - line_starts_.begin());
  std::size_t column = 1;
  for (std::size_t i = line_starts_[line - 1]; i < offset; ++i) {
    column += (static_cast<unsigned char>(text_[i]) & 0xC0) !=
              0x80;  // continuation bytes of a character do not count
  }
  return {line, column};
}

std::string_view Source::LineText(std::size_t number) const {
  if (number == 0 || number > line_starts_.size()) return {};
  const std::size_t from = line_starts_[number - 1];
  const std::size_t end = number < line_starts_.size() ? line_starts_[number] - 1 : text_.size();
  std::string_view line = std::string_view(text_).substr(from, end - from);
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

}  // namespace cluster_manager::config_language
