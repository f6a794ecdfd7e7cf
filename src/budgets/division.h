// Divides the leasable part of a budget among members by weighted max-min fairness: first the observed
// demand, then the forecast demand, then half of the remainder as headroom. The other half stays with the
// ledger, so that it can be leased at once.
//
// Stateless integer arithmetic: each member that applies the ledger's commands computes the same leases. Used
// by the ledger only.
#pragma once

#include <cstdint>
#include <vector>

#include "budgets/budget_file.h"

namespace cluster_manager::budgets {

struct MemberDemand {
  std::int64_t weight = 1;
  Micro guaranteed = 0;              // the member has it already; it counts towards the demand
  Micro observed = 0, forecast = 0;  // total demand, including what the guaranteed share covers
  Micro current = 0;                 // the present lease
  bool eligible = true;              // false for members that are gone or excluded: their lease becomes 0
};

struct DivisionParameters {
  Micro granularity = 1;
  Micro hysteresis = 0;          // millionths of the lease
  Micro max_change = 0;          // of one lease by this division; 0: unlimited
  std::int64_t start_index = 0;  // the member, modulo their number, that first gets an indivisible remainder
};

// Returns the leases beyond the guaranteed shares. Their sum is at most `pool`; each is a multiple of the
// granularity or keeps its present value. A lease is reduced faster than `max_change` only where the present
// leases exceed the pool.
std::vector<Micro> Divide(Micro pool, const std::vector<MemberDemand>& demands,
                          const DivisionParameters& parameters);

// Divides `available` in proportion to the requests, in multiples of the granularity and to none more than it
// requests. The remainder goes in single granules, from `start_index` on.
std::vector<Micro> DistributeProportionally(Micro available, const std::vector<Micro>& requests,
                                            Micro granularity, std::int64_t start_index);

}  // namespace cluster_manager::budgets
