#include "spending/calendar.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <vector>

namespace cluster_manager::spending {
namespace {

using std::chrono::sys_days;
constexpr Seconds kDay = 86'400;

Seconds UnixTimeOf(std::chrono::sys_days day) { return day.time_since_epoch().count() * kDay; }
// The first midnight of the month in local time, read as if it were UTC.
Seconds FirstMidnightAsUtc(Month month) {
  return UnixTimeOf(sys_days{std::chrono::year{month / 12} / static_cast<int>(month % 12 + 1) / 1});
}
int YearOf(Seconds at) {
  const std::chrono::year_month_day date{
      std::chrono::floor<std::chrono::days>(std::chrono::sys_seconds{std::chrono::seconds{at}})};
  return static_cast<int>(date.year());
}

// Reads a POSIX TZ rule from left to right. Describes the first mistake in `*error`.
struct RuleReader {
  const std::string& text;
  std::string* error;
  std::size_t position = 0;

  bool Fail(const std::string& what) {
    *error = "expected " + what + " at character " + std::to_string(position + 1);
    return false;
  }
  bool Consume(char c) {
    if (position >= text.size() || text[position] != c) return false;
    ++position;
    return true;
  }
  bool ReadNumber(int min, int max, int* result) {
    const std::size_t start = position;
    int value = 0;
    while (position < text.size() && std::isdigit(static_cast<unsigned char>(text[position])) != 0 &&
           position - start < 4)
      value = value * 10 + (text[position++] - '0');
    if (position == start || value < min || value > max) {
      position = start;
      return Fail("a number from " + std::to_string(min) + " to " + std::to_string(max));
    }
    *result = value;
    return true;
  }
  bool SkipZoneName() {
    const bool quoted = Consume('<');
    const std::size_t start = position;
    while (position < text.size() &&
           (quoted ? text[position] != '>' : std::isalpha(static_cast<unsigned char>(text[position])) != 0))
      ++position;
    if (position - start < 3) return Fail("a zone name of three letters or more");
    return !quoted || Consume('>') || Fail("'>'");
  }
  // [+-]hh[:mm[:ss]]: an offset, or the local time of a transition.
  bool ReadSignedTime(int max_hours, int* seconds) {
    const int sign = Consume('-') ? -1 : 1;
    if (sign == 1) Consume('+');
    int hours = 0, minutes = 0, seconds_part = 0;
    if (!ReadNumber(0, max_hours, &hours)) return false;
    if (Consume(':') && (!ReadNumber(0, 59, &minutes) || (Consume(':') && !ReadNumber(0, 59, &seconds_part))))
      return false;
    *seconds = sign * (hours * 3600 + minutes * 60 + seconds_part);
    return true;
  }
};

}  // namespace

std::string FormatMonth(Month month) {
  char text[32];
  std::snprintf(text, sizeof text, "%04d-%02d", month / 12, month % 12 + 1);
  return text;
}

std::optional<Month> ParseMonth(const std::string& text) {
  int year = 0, month = 0, characters_read = 0;
  if (text.size() != 7 || std::sscanf(text.c_str(), "%4d-%2d%n", &year, &month, &characters_read) != 2 ||
      characters_read != 7 || year < 1970 || month < 1 || month > 12)
    return std::nullopt;
  return year * 12 + month - 1;
}

std::string FormatInstant(Seconds at) {
  const auto time = std::chrono::sys_seconds{std::chrono::seconds{at}};
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date{day};
  const std::chrono::hh_mm_ss time_of_day{time - day};
  char text[64];
  std::snprintf(text, sizeof text, "%04d-%02u-%02uT%02d:%02d:%02dZ", static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                static_cast<int>(time_of_day.hours().count()),
                static_cast<int>(time_of_day.minutes().count()),
                static_cast<int>(time_of_day.seconds().count()));
  return text;
}

std::optional<Seconds> ParseInstant(const std::string& text) {
  int year = 0, month = 0, day = 0, hour = 0, minute = 0, second = 0, characters_read = 0;
  if (text.size() != 20 ||
      std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2dZ%n", &year, &month, &day, &hour, &minute, &second,
                  &characters_read) != 6 ||
      characters_read != 20)
    return std::nullopt;
  const auto date = std::chrono::year{year} / month / day;
  if (!date.ok() || year < 1970 || hour > 23 || minute > 59 || second > 59 || hour < 0 || minute < 0 ||
      second < 0)
    return std::nullopt;
  return UnixTimeOf(sys_days{date}) + hour * 3600 + minute * 60 + second;
}

std::optional<TimeZone> TimeZone::Parse(const std::string& text, std::string* error) {
  TimeZone zone;
  RuleReader reader{text, error};
  int seconds_west = 0;
  if (!reader.SkipZoneName() || !reader.ReadSignedTime(24, &seconds_west)) return std::nullopt;
  zone.standard_offset_ = -seconds_west;
  if (reader.position == text.size()) return zone;
  if (!reader.SkipZoneName()) return std::nullopt;
  zone.daylight_offset_ = zone.standard_offset_ + 3600;
  if (reader.position < text.size() && text[reader.position] != ',') {
    if (!reader.ReadSignedTime(24, &seconds_west)) return std::nullopt;
    zone.daylight_offset_ = -seconds_west;
  }
  for (Transition* transition : {&zone.daylight_begins_, &zone.daylight_ends_}) {
    if (!reader.Consume(',') || !reader.Consume('M')) {
      reader.Fail("a transition such as \",M3.5.0/2\": month, week, day of the week, local time");
      return std::nullopt;
    }
    if (!reader.ReadNumber(1, 12, &transition->month)) return std::nullopt;
    if (!reader.Consume('.') || !reader.ReadNumber(1, 5, &transition->week) || !reader.Consume('.') ||
        !reader.ReadNumber(0, 6, &transition->day)) {
      reader.Fail("a transition such as \",M3.5.0/2\": month, week, day of the week, local time");
      return std::nullopt;
    }
    if (reader.Consume('/') && !reader.ReadSignedTime(167, &transition->time)) return std::nullopt;
  }
  if (reader.position != text.size()) {
    reader.Fail("the end");
    return std::nullopt;
  }
  zone.has_daylight_time_ = zone.daylight_offset_ != zone.standard_offset_;
  return zone;
}

// The instant of the transition to or from daylight time in `year`.
Seconds TimeZone::TransitionTime(int year, bool to_daylight_time) const {
  const Transition& transition = to_daylight_time ? daylight_begins_ : daylight_ends_;
  const std::chrono::weekday day{static_cast<unsigned>(transition.day)};
  const auto month = std::chrono::year{year} / transition.month;
  const sys_days date =
      transition.week == 5
          ? sys_days{month / std::chrono::weekday_last{day}}
          : sys_days{month / std::chrono::weekday_indexed{day, static_cast<unsigned>(transition.week)}};
  return UnixTimeOf(date) + transition.time - (to_daylight_time ? standard_offset_ : daylight_offset_);
}

int TimeZone::OffsetAt(Seconds at) const {
  if (!has_daylight_time_) return standard_offset_;
  const int year = YearOf(at + standard_offset_);
  const Seconds daylight_begin = TransitionTime(year, true), daylight_end = TransitionTime(year, false);
  const bool daylight = daylight_begin < daylight_end ? at >= daylight_begin && at < daylight_end
                                                      : at < daylight_end || at >= daylight_begin;
  return daylight ? daylight_offset_ : standard_offset_;
}

Seconds TimeZone::MonthStart(Month month) const {
  const Seconds first_midnight = FirstMidnightAsUtc(month);
  if (!has_daylight_time_) return first_midnight - standard_offset_;
  // Local time reaches the midnight by one of the two offsets, or at a transition that skips the midnight.
  std::vector<Seconds> candidates{first_midnight - standard_offset_, first_midnight - daylight_offset_};
  for (int year = month / 12 - 1; year <= month / 12 + 1; ++year) {
    candidates.push_back(TransitionTime(year, true));
    candidates.push_back(TransitionTime(year, false));
  }
  std::ranges::sort(candidates);
  for (const Seconds candidate : candidates) {
    if (candidate + OffsetAt(candidate) >= first_midnight &&
        candidate - 1 + OffsetAt(candidate - 1) < first_midnight)
      return candidate;
  }
  return first_midnight - standard_offset_;  // unreachable: local time passes every midnight
}

Month TimeZone::MonthAt(Seconds at) const {
  const std::chrono::year_month_day date{std::chrono::floor<std::chrono::days>(
      std::chrono::sys_seconds{std::chrono::seconds{at + OffsetAt(at)}})};
  Month month =
      static_cast<int>(date.year()) * 12 + static_cast<int>(static_cast<unsigned>(date.month())) - 1;
  while (at < MonthStart(month)) --month;
  while (at >= MonthStart(month + 1)) ++month;
  return month;
}

}  // namespace cluster_manager::spending
