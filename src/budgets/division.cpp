#include "budgets/division.h"

#include <algorithm>
#include <numeric>

namespace cluster_manager::budgets {
namespace {

// The lease that a member gets at a level of `level` per unit of weight: at most what it demands, without its
// guaranteed share. In multiples of the granularity, as the holder cannot use less.
Micro LeaseAtLevel(const MemberDemand& demand, Micro demanded, std::int64_t level, Micro granularity) {
  const __int128 weighted_level = static_cast<__int128>(level) * demand.weight;
  const Micro share = weighted_level < demanded ? static_cast<Micro>(weighted_level) : demanded;
  const Micro beyond_guaranteed = std::max<Micro>(0, share - demand.guaranteed);
  // A demand that is met in full is rounded up, one that the level limits is rounded down.
  return share < demanded ? beyond_guaranteed / granularity * granularity
                          : (beyond_guaranteed + granularity - 1) / granularity * granularity;
}

// Finds the highest level that the pool suffices for by binary search, then gives a granule each, from
// `start_index` on, to members whose demand is not met.
std::vector<Micro> DivideMaxMin(Micro pool, const std::vector<MemberDemand>& demands,
                                const std::vector<Micro>& demanded, Micro granularity,
                                std::int64_t start_index) {
  const std::size_t n = demands.size();
  std::vector<Micro> leases(n, 0);
  const auto sum_at = [&](std::int64_t level) {
    __int128 sum = 0;
    for (std::size_t i = 0; i < n; ++i) sum += LeaseAtLevel(demands[i], demanded[i], level, granularity);
    return sum;
  };
  std::int64_t low = 0;
  std::int64_t high = 1;
  for (const Micro amount : demanded) high = std::max(high, amount);
  if (sum_at(high) <= pool) {
    low = high;
  } else {
    while (high - low > 1) {
      const std::int64_t middle = low + (high - low) / 2;
      (sum_at(middle) <= pool ? low : high) = middle;
    }
  }
  Micro left = pool;
  for (std::size_t i = 0; i < n; ++i)
    left -= leases[i] = LeaseAtLevel(demands[i], demanded[i], low, granularity);
  for (std::size_t k = 0; k < n && left >= granularity; ++k) {
    const std::size_t i = (k + static_cast<std::size_t>(start_index)) % n;
    if (demands[i].guaranteed + leases[i] >= demanded[i]) continue;
    leases[i] += granularity;
    left -= granularity;
  }
  return leases;
}

}  // namespace

std::vector<Micro> DistributeProportionally(Micro available, const std::vector<Micro>& requests,
                                            Micro granularity, std::int64_t start_index) {
  const __int128 sum = std::accumulate(requests.begin(), requests.end(), static_cast<__int128>(0));
  if (sum <= available) return requests;
  std::vector<Micro> shares(requests.size(), 0);
  if (available <= 0) return shares;
  Micro left = available;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    shares[i] =
        static_cast<Micro>(static_cast<__int128>(requests[i]) * available / sum) / granularity * granularity;
    left -= shares[i];
  }
  for (std::size_t k = 0; k < requests.size() && left >= granularity; ++k) {
    const std::size_t i = (k + static_cast<std::size_t>(start_index)) % requests.size();
    if (shares[i] + granularity > requests[i]) continue;
    shares[i] += granularity;
    left -= granularity;
  }
  return shares;
}

std::vector<Micro> Divide(Micro pool, const std::vector<MemberDemand>& demands,
                          const DivisionParameters& parameters) {
  const std::size_t n = demands.size();
  if (n == 0) return {};
  pool = std::max<Micro>(0, pool);
  std::vector<Micro> demanded(n, 0);
  // Forecast demand is met only after all observed demand: a pool that does not suffice for the observed
  // demand is divided by that alone.
  const auto divide_by = [&](auto demand_of) {
    for (std::size_t i = 0; i < n; ++i) demanded[i] = demands[i].eligible ? demand_of(demands[i]) : 0;
    return DivideMaxMin(pool, demands, demanded, parameters.granularity, parameters.start_index);
  };
  std::vector<Micro> ideal = divide_by([](const MemberDemand& demand) { return demand.observed; });
  Micro left = pool - std::accumulate(ideal.begin(), ideal.end(), Micro{0});
  if (left >= parameters.granularity) {
    std::vector<Micro> unmet(n, 0);
    for (std::size_t i = 0; i < n; ++i) {
      if (!demands[i].eligible) continue;
      const Micro beyond =
          std::max(demands[i].observed, demands[i].forecast) - demands[i].guaranteed - ideal[i];
      unmet[i] = std::max<Micro>(
          0, (beyond + parameters.granularity - 1) / parameters.granularity * parameters.granularity);
    }
    const std::vector<Micro> added =
        DistributeProportionally(left, unmet, parameters.granularity, parameters.start_index);
    for (std::size_t i = 0; i < n; ++i) ideal[i] += added[i];
    left = pool - std::accumulate(ideal.begin(), ideal.end(), Micro{0});
    // Headroom for members with any demand: a demand that grows is met before it is reported.
    std::int64_t weights = 0;
    for (const MemberDemand& demand : demands)
      weights += demand.eligible && demand.observed > 0 ? demand.weight : 0;
    for (std::size_t i = 0; i < n && weights > 0; ++i) {
      if (!demands[i].eligible || demands[i].observed <= 0) continue;
      const __int128 headroom = static_cast<__int128>(left / 2) * demands[i].weight / weights;
      ideal[i] += static_cast<Micro>(headroom) / parameters.granularity * parameters.granularity;
    }
  }

  const Micro leased =
      std::accumulate(demands.begin(), demands.end(), Micro{0},
                      [](Micro sum, const MemberDemand& demand) { return sum + demand.current; });
  const bool over_leased = leased > pool;
  std::vector<Micro> leases(n);
  std::vector<Micro> raises(n, 0);
  Micro used = 0;
  for (std::size_t i = 0; i < n; ++i) {
    const Micro current = demands[i].current;
    const Micro target = ideal[i];
    const Micro difference = target > current ? target - current : current - target;
    // Hysteresis does not apply to a lease of 0, nor to one that becomes 0.
    const bool within_hysteresis =
        target > 0 && current > 0 &&
        static_cast<__int128>(difference) * kUnit <=
            static_cast<__int128>(std::max(target, current)) * parameters.hysteresis;
    leases[i] = current;
    if (!demands[i].eligible) {
      leases[i] = 0;
    } else if (target < current && (over_leased || !within_hysteresis)) {
      const Micro change = parameters.max_change > 0 && !over_leased
                               ? std::min(difference, parameters.max_change)
                               : difference;
      leases[i] = current - change;
    } else if (target > current && !within_hysteresis) {
      raises[i] = parameters.max_change > 0 ? std::min(difference, parameters.max_change) : difference;
    }
    used += leases[i];
  }
  // Leases that hysteresis keeps above their target may leave too little for the others. They are reduced
  // only where the pool does not suffice.
  for (std::size_t i = 0; i < n && used > pool; ++i) {
    const Micro excess =
        (used - pool + parameters.granularity - 1) / parameters.granularity * parameters.granularity;
    const Micro reduction = std::min(excess, std::max<Micro>(0, leases[i] - ideal[i]));
    leases[i] -= reduction;
    used -= reduction;
  }
  const std::vector<Micro> granted =
      DistributeProportionally(pool - used, raises, parameters.granularity, parameters.start_index);
  for (std::size_t i = 0; i < n; ++i) leases[i] += granted[i];
  return leases;
}

}  // namespace cluster_manager::budgets
