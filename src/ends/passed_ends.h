// Ends that one process passes to the next as text, a line each: "7f3a9c21e0b4d655 ended" or "... cut".
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace willowrail {

struct PassedEnd {
  std::uint64_t task = 0;
  bool ended = false;  // it came to its end; else it was cut
  bool operator==(const PassedEnd&) const = default;
};

std::string WriteEnds(const std::vector<PassedEnd>& ends);
// What cannot be read is passed over, as is a last line that is cut short.
std::vector<PassedEnd> ReadEnds(std::string_view text);

}  // namespace willowrail
