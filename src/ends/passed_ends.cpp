#include "ends/passed_ends.h"

#include <charconv>

namespace willowrail {

std::string WriteEnds(const std::vector<PassedEnd>& ends) {
  std::string text;
  for (const PassedEnd& end : ends) {
    char digits[16];
    const auto [stop, error] = std::to_chars(digits, digits + sizeof digits, end.task, 16);
    text.append(digits, stop).append(end.ended ? " ended\n" : " cut\n");
  }
  return text;
}

std::vector<PassedEnd> ReadEnds(std::string_view text) {
  std::vector<PassedEnd> ends;
  for (std::size_t end = text.find('\n'); end != std::string_view::npos; end = text.find('\n')) {
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    std::uint64_t task = 0;
    const auto [stop, error] = std::from_chars(line.data(), line.data() + line.size(), task, 16);
    const std::string_view how = line.substr(static_cast<std::size_t>(stop - line.data()));
    if (error != std::errc() || task == 0 || (how != " ended" && how != " cut")) continue;
    ends.push_back({task, how == " ended"});
  }
  return ends;
}

}  // namespace willowrail
