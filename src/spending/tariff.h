// Money as exact integers, and the cost of a task's run time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "spending/calendar.h"

namespace cluster_manager::spending {

using Time = std::int64_t;   // Unix time or a duration, in nanoseconds
using Money = std::int64_t;  // micro-units of the plan's currency
__extension__ using Int128 = __int128;

constexpr Time kSecond = 1'000'000'000;
constexpr Money kUnit = 1'000'000;
// The sum of the prices for an hour; with sizes of at most kMaxTaskSize no sum over two months overflows.
constexpr Money kMaxHourlyPrice = 1'000'000 * kUnit;
constexpr std::int64_t kMaxTaskSize = 1'000'000'000;  // of millicores, and of MiB

std::string FormatMoney(Money money);                 // 1250.50
std::optional<Money> ParseMoney(const std::string&);  // unsigned, at most six decimal places and 10^12 units

// The resources that a task reserves.
struct TaskSize {
  std::int64_t millicores = 0, memory_mib = 0;
  bool operator==(const TaskSize&) const = default;
  bool FitsWithin(const TaskSize& other) const {
    return millicores <= other.millicores && memory_mib <= other.memory_mib;
  }
};

// For an hour of one core, of one GiB of memory, and of one task of any size.
struct Prices {
  Money core_hour = 0, gib_hour = 0, task_hour = 0;
};

// The prices by date and node kind. A second of Unix time is charged to the task that runs at its beginning,
// to one month and at the tariff in force then, so no second is charged twice across a handover, a migration,
// the end of a month or a change of prices. The cost of a task's seconds in one month is summed exactly, in
// parts of a micro-unit, and rounded up once: the charged sum is never less than the cost, so rounding never
// exceeds a cap.
class Tariffs {
 public:
  static constexpr Int128 kPartsPerMicroUnit = Int128{1000} * 1024 * 3600;
  struct DatedPrices {
    Seconds from = 0;
    std::vector<Prices> by_node_kind;  // the last entry is for node kinds that are not named
  };
  // `dated`: ascending by `from`.
  explicit Tariffs(std::vector<DatedPrices> dated = {}) : dated_(std::move(dated)) {}
  // Seconds before the first tariff are charged at the first tariff: nothing runs free of charge.
  Int128 CostParts(const TaskSize& size, int node_kind, Seconds from, Seconds to) const;
  static Money RoundUp(Int128 parts);
  static Seconds CeilToSecond(Time at) { return at / kSecond + (at % kSecond > 0 ? 1 : 0); }

 private:
  std::vector<DatedPrices> dated_;
};

}  // namespace cluster_manager::spending
