#include "spending/settlement.h"

#include <algorithm>

namespace cluster_manager::spending {

Money MemberSettlement::TotalCost(bool include_expected) const {
  const TimeZone& time_zone = plan_->teams[static_cast<std::size_t>(team_)].time_zone;
  const Seconds month_start = time_zone.MonthStart(month_), month_end = time_zone.MonthStart(month_ + 1);
  Money total = 0;
  for (const auto& [id, run] : runs_) {
    const Time end =
        run.end + (include_expected && run.running && !run.handed_over ? run.expected_remaining : 0);
    total += Tariffs::RoundUp(plan_->tariffs.CostParts(
        run.size, run.node_kind, std::max(month_start, Tariffs::CeilToSecond(run.start)),
        std::min(month_end, Tariffs::CeilToSecond(end))));
  }
  return total;
}

Money MemberSettlement::CollectRefund(bool all_nodes_reported) {
  all_nodes_reported_ = all_nodes_reported_ || all_nodes_reported;
  if (!all_nodes_reported_) return 0;
  const Money refund = std::max<Money>(0, drawn_ - refunded_ - TotalCost(true));
  refunded_ += refund;
  return refund;
}

Money MemberSettlement::Overspent() const { return std::max<Money>(0, Spent() - (drawn_ - refunded_)); }

bool MemberSettlement::IsComplete() const {
  const Seconds month_end = plan_->teams[static_cast<std::size_t>(team_)].time_zone.MonthStart(month_ + 1);
  return all_nodes_reported_ && std::ranges::all_of(runs_, [&](const auto& entry) {
           return !entry.second.running || entry.second.handed_over ||
                  Tariffs::CeilToSecond(entry.second.end) >= month_end;
         });
}

}  // namespace cluster_manager::spending
