#include "spending/tariff.h"

#include <algorithm>
#include <limits>

namespace cluster_manager::spending {

std::string FormatMoney(Money money) {
  const bool negative = money < 0;
  const std::uint64_t absolute =
      negative ? 0 - static_cast<std::uint64_t>(money) : static_cast<std::uint64_t>(money);
  std::string decimals = std::to_string(absolute % kUnit);
  decimals.insert(0, 6 - decimals.size(), '0');
  while (decimals.size() > 2 && decimals.back() == '0') decimals.pop_back();
  return (negative ? "-" : "") + std::to_string(absolute / kUnit) + "." + decimals;
}

std::optional<Money> ParseMoney(const std::string& text) {
  Money units = 0, micro_units = 0;
  std::size_t i = 0;
  for (; i < text.size() && text[i] >= '0' && text[i] <= '9' && i < 13; ++i)
    units = units * 10 + (text[i] - '0');
  if (i == 0 || units > 1'000'000'000'000) return std::nullopt;
  if (i < text.size()) {
    if (text[i++] != '.' || i == text.size() || text.size() - i > 6) return std::nullopt;
    Money place = kUnit / 10;
    for (; i < text.size(); ++i, place /= 10) {
      if (text[i] < '0' || text[i] > '9') return std::nullopt;
      micro_units += (text[i] - '0') * place;
    }
  }
  return units * kUnit + micro_units;
}

Int128 Tariffs::CostParts(const TaskSize& size, int node_kind, Seconds from, Seconds to) const {
  Int128 total = 0;
  for (std::size_t i = 0; i < dated_.size() && from < to; ++i) {
    const Seconds until = i + 1 < dated_.size() ? std::min(to, dated_[i + 1].from) : to;
    if (until <= from) continue;
    const std::vector<Prices>& by_node_kind = dated_[i].by_node_kind;
    const bool known = node_kind >= 0 && static_cast<std::size_t>(node_kind) + 1 < by_node_kind.size();
    const Prices& prices = known ? by_node_kind[static_cast<std::size_t>(node_kind)] : by_node_kind.back();
    const Int128 per_second = Int128{prices.core_hour} * size.millicores * 1024 +
                              Int128{prices.gib_hour} * size.memory_mib * 1000 +
                              Int128{prices.task_hour} * 1000 * 1024;
    total += per_second * (until - from);
    from = until;
  }
  return total;
}

Money Tariffs::RoundUp(Int128 parts) {
  const Int128 money = (parts + kPartsPerMicroUnit - 1) / kPartsPerMicroUnit;
  // More than any cap that a plan can hold; sums of such costs still do not overflow.
  constexpr Int128 kMaxCost = std::numeric_limits<Money>::max() >> 20;
  return static_cast<Money>(std::min(money, kMaxCost));
}

}  // namespace cluster_manager::spending
