// Calendar months in a team's time zone.
//
// std::chrono provides the calendar, but the standard library of GCC 12 has no time zones. The rules are
// therefore given as data: the POSIX TZ rule that ends each file of the zone database
// ("CET-1CEST,M3.5.0,M10.5.0/3", `tail -1 /usr/share/zoneinfo/Europe/Berlin`). Alternatives that were
// rejected: Debian's date library and ICU read or contain a database of their own, from disk and as old as
// their package; a fixed offset is an hour wrong at half of the month boundaries. The limitation: one pair of
// transitions holds for all years. After a change of the law the plan must be changed, and times before that
// change are then interpreted by the new rule.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cluster_manager::spending {

using Seconds = std::int64_t;  // Unix time or a duration
using Month = int;             // year * 12 + month of the year, counted from 0

std::string FormatMonth(Month month);  // 2026-03
std::optional<Month> ParseMonth(const std::string& text);
std::string FormatInstant(Seconds at);  // 2026-03-01T00:00:00Z
std::optional<Seconds> ParseInstant(const std::string& text);

// A time zone with at most one pair of daylight saving transitions per year.
class TimeZone {
 public:
  TimeZone() = default;  // UTC
  // Returns nothing, and the reason in `*error`, if the text is not a POSIX TZ rule of the supported form.
  static std::optional<TimeZone> Parse(const std::string& text, std::string* error);
  int OffsetAt(Seconds at) const;  // seconds to add to obtain local time
  // A month begins at the first instant whose local time has reached its first midnight. If local clocks then
  // repeat the last half-hour of the month before, that half-hour belongs to the new month. So months have no
  // gaps and do not overlap; one that contains a transition is longer or shorter by it (743 or 745 hours
  // instead of 744).
  Seconds MonthStart(Month month) const;
  Month MonthAt(Seconds at) const;

 private:
  struct Transition {  // month, week (5: last), day of the week (0: Sunday), local time of day in seconds
    int month = 0, week = 0, day = 0, time = 7200;
  };
  Seconds TransitionTime(int year, bool to_daylight_time) const;

  int standard_offset_ = 0, daylight_offset_ = 0;
  bool has_daylight_time_ = false;
  Transition daylight_begins_, daylight_ends_;
};

}  // namespace cluster_manager::spending
