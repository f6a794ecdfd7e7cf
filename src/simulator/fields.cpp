#include "simulator/fields.h"

#include <charconv>
#include <cmath>
#include <utility>

namespace scheduling::simulator {
namespace {

template <typename T>
bool ParseWholeText(std::string_view text, T* value) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *value);
  return error == std::errc() && stop == end && !text.empty();
}

}  // namespace

bool ReadInt(std::string_view text, std::int64_t* value) { return ParseWholeText(text, value); }

bool ReadNumber(std::string_view text, double* value) {
  return ParseWholeText(text, value) && std::isfinite(*value);
}

void SetReportField(LoadReport* report, std::string_view name, double value) {
  static constexpr std::pair<std::string_view, LoadReport::Field> kNames[] = {
      {"cpu", LoadReport::kCpuLoad},
      {"x0", LoadReport::kFreeCores},
      {"x1", LoadReport::kFreeMemory},
      {"queue", LoadReport::kQueueLength},
      {"waiting", LoadReport::kQueueLength}};
  for (const auto& [known, field] : kNames) {
    if (known == name) report->Set(field, value);
  }
}

Fields::Fields(std::string_view line, std::size_t line_number) : line_number_(line_number) {
  for (std::size_t start = 0;;) {
    const std::size_t tab = line.find('\t', start);
    parts_.push_back(line.substr(start, tab - start));
    if (tab == std::string_view::npos) break;
    start = tab + 1;
  }
}

void Fields::ThrowMalformed(std::string_view field, const std::string& problem) const {
  throw ProtocolError("line " + std::to_string(line_number_) + ": " + std::string(name()) + ": " +
                      std::string(field) + ": " + problem);
}

void Fields::ExpectCount(std::size_t count) const {
  if (size() != count) {
    ThrowMalformed("fields", "expected " + std::to_string(count) + ", got " + std::to_string(size()));
  }
}

std::int64_t Fields::Int(std::size_t index, const char* field, std::int64_t low, std::int64_t high) const {
  std::int64_t value = 0;
  if (!ReadInt(Raw(index), &value))
    ThrowMalformed(field, "not a whole number: '" + std::string(Raw(index)) + "'");
  if (value < low || value > high) ThrowMalformed(field, "out of range: " + std::string(Raw(index)));
  return value;
}

std::int64_t Fields::IntOr(std::size_t index, const char* field, std::int64_t low, std::int64_t high,
                           std::int64_t fallback) const {
  return IsAbsent(index) ? fallback : Int(index, field, low, high);
}

std::uint64_t Fields::Unsigned(std::size_t index, const char* field) const {
  std::uint64_t value = 0;
  if (!ParseWholeText(Raw(index), &value))
    ThrowMalformed(field, "not a whole number: '" + std::string(Raw(index)) + "'");
  return value;
}

double Fields::Number(std::size_t index, const char* field) const {
  if (IsAbsent(index)) return 0;
  double value = 0;
  if (!ReadNumber(Raw(index), &value))
    ThrowMalformed(field, "not a number: '" + std::string(Raw(index)) + "'");
  return value;
}

bool Fields::BoolOr(std::size_t index, const char* field, bool fallback) const {
  return IntOr(index, field, 0, 1, fallback ? 1 : 0) == 1;
}

std::string Fields::Text(std::size_t index, const char* field) const {
  if (Raw(index).empty() || IsAbsent(index)) ThrowMalformed(field, "missing");
  return std::string(Raw(index));
}

}  // namespace scheduling::simulator
