// Splitting a line of the simulator protocol into fields, with strict parsing of their values.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "scheduling/scheduler.h"

namespace scheduling::simulator {

// A malformed line. what() is a single line that names the line number, the message and the field.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The fields of one line, separated by tabs: the name of the message and its values. Refers to the line,
// which must outlive it. The parsing functions throw ProtocolError, naming `field`.
class Fields {
 public:
  Fields(std::string_view line, std::size_t line_number);

  std::string_view name() const { return parts_[0]; }
  std::size_t size() const { return parts_.size() - 1; }
  void ExpectCount(std::size_t count) const;  // throws unless there are exactly `count` values
  [[noreturn]] void ThrowMalformed(std::string_view field, const std::string& problem) const;

  // Values are indexed from 0. "-" means absent: functions with a fallback return it, Number returns 0, and
  // the others treat the value as malformed.
  bool IsAbsent(std::size_t index) const { return parts_[index + 1] == "-"; }
  std::int64_t Int(std::size_t index, const char* field, std::int64_t low, std::int64_t high) const;
  std::int64_t IntOr(std::size_t index, const char* field, std::int64_t low, std::int64_t high,
                     std::int64_t fallback) const;
  std::uint64_t Unsigned(std::size_t index, const char* field) const;
  double Number(std::size_t index, const char* field) const;
  bool BoolOr(std::size_t index, const char* field, bool fallback) const;
  std::string Text(std::size_t index, const char* field) const;
  std::string_view Raw(std::size_t index) const { return parts_[index + 1]; }

 private:
  std::vector<std::string_view> parts_;
  std::size_t line_number_;
};

// Parse the whole text as a number. Return false if it is not one; ReadNumber also if it is not finite.
bool ReadInt(std::string_view text, std::int64_t* value);
bool ReadNumber(std::string_view text, double* value);

// Sets the field of a load report with the given protocol name. Unknown names are ignored.
void SetReportField(LoadReport* report, std::string_view name, double value);

}  // namespace scheduling::simulator
