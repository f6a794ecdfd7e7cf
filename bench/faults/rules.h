// The rules that a trial is held to, each checked over the whole history.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "faults/history.h"
#include "faults/judge.h"

namespace cluster_manager::faults {

class Rules {
 public:
  Rules(const History& history, const Terms& terms, Verdict* verdict)
      : history_(history), terms_(terms), verdict_(verdict) {}

  // Adds a breach for each rule that was broken, and the tallies of the classes.
  void Check();

 private:
  // What the client was told, in time.
  void CheckOutcome(const std::string& id, const Task& task);
  // How often it was tried, and never in two places at once.
  void CheckAttempts(const std::string& id, const Task& task);
  // A keyed request that may have run goes only to nodes that know its key.
  void CheckGroup(const std::string& id, const Task& task);
  // What stood and is over is told; what still runs is not said to be over.
  void CheckEnds(const std::string& id, const Task& task);
  void CheckToldTooEarly(const std::string& id, const Task& task, const Attempt& stood);
  // By when its end has to be told; kNever where faults last to the end.
  Time EndToldBy(const Task& task, const Attempt& stood) const;
  // A settlement is started once.
  void CheckSettlements();
  // Nothing goes to a node after it was told to leave.
  void CheckDrains();
  // A cold node gets few sends within its fall.
  void CheckColdNodes();
  using Send = std::pair<Time, const Task*>;
  bool FallIsOfTheTold(const std::string& uid, const std::vector<Send>& sends, std::size_t first,
                       std::size_t last) const;
  void Broken(const std::string& rule, const std::string& about, const Task& task);

  const History& history_;
  const Terms& terms_;
  Verdict* verdict_;
};

}  // namespace cluster_manager::faults
