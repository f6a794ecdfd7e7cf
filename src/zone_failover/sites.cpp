#include <algorithm>
#include <cmath>
#include <cstdio>

#include "zone_failover/zone_failover.h"

namespace cluster_manager::zone_failover {
namespace {

constexpr std::uint64_t kAwayDraw = 0xA3A7;

std::string Text(const char* format, double a, double b = 0, double c = 0) {
  char text[160];
  std::snprintf(text, sizeof text, format, a, b, c);
  return text;
}

}  // namespace

ZoneFailover::ZoneFailover(Plan plan, const Deployment& deployment)
    : plan_(std::move(plan)),
      deployment_(deployment),
      watch_(static_cast<int>(deployment.sites.size()), plan_.watch),
      admission_(plan_.admission, std::max(1, plan_.ranks())) {
  sites_.assign(deployment.sites.size(),
                Site{RecoveryRamp(plan_.comeback, deployment.managers), 0, 0, State::kUp, 0});
}

void ZoneFailover::Take(Plan plan) {
  plan_ = std::move(plan);
  watch_.SetTerms(plan_.watch);
  admission_ = AdmissionControl(plan_.admission, std::max(1, plan_.ranks()));
  for (Site& site : sites_) site.comeback.SetTerms(plan_.comeback);
  told_level_ = -1;
}

void ZoneFailover::Listed(NodeId node, int site, bool in_service, const Size& size, Time now) {
  if (!in_service || !Known(site)) {
    nodes_.erase(node);
    if (nodes_.empty()) ShrinkIfSparse(&nodes_);
    watch_.Listed(node, -1, now);
    return;
  }
  nodes_[node] = {site, size};
  watch_.Listed(node, site, now);
}

void ZoneFailover::AttemptOver(NodeId node, bool started) {
  const auto it = nodes_.find(node);
  if (it != nodes_.end()) sites_[static_cast<std::size_t>(it->second.site)].comeback.Started(started);
}

void ZoneFailover::TaskOver(double cores, double memory, Time now) {
  admission_.Ended({cores, memory}, now);
  bound_.cores.Record(now, -cores);  // the list shows that as late as it shows a bind
  bound_.memory.Record(now, -memory);
}

// What this cluster manager may still bind: of all that the usable sites can take less the reserve and what
// was bound since the list was made, the part that is left to each where all do the same.
Amount ZoneFailover::Free(Time now) const {
  Amount free, all;
  for (const auto& [id, node] : nodes_) {
    const State state = watch_.site(node.site).state;
    if (state == State::kLost || state == State::kSuspect) continue;
    const Size& s = node.size;
    all.cores += plan_.fill_cores * s.cores;
    all.memory += plan_.fill_memory * s.memory;
    // A returning site's room is not counted on: it may not be used beyond its pace.
    if (state == State::kReturning) continue;
    free.cores += std::max(0.0, (plan_.fill_cores - 1) * s.cores + s.free_cores);
    free.memory += std::max(0.0, (plan_.fill_memory - 1) * s.memory + s.free_memory);
  }
  const double managers = std::max(1, deployment_.managers), seconds = kViewAge / 1e9;
  const auto part = [&](double room, double whole, const DecayingRate& bound) {
    return (room - plan_.reserve * whole) / managers - bound.PerSecond(now) * seconds;
  };
  return {part(free.cores, all.cores, bound_.cores), part(free.memory, all.memory, bound_.memory)};
}

ZoneFailover::Orders ZoneFailover::Evaluate(int waiting, Time now) {
  Orders orders;
  orders.ask = watch_.Evaluate(now);
  bool unusual = watch_.cut_off();
  for (int i = 0; i < watch_.size(); ++i) {
    Site& site = sites_[static_cast<std::size_t>(i)];
    const ZoneHealthMonitor::Site& seen = watch_.site(i);
    if (seen.state != site.state) {
      const State before = std::exchange(site.state, seen.state);
      if (seen.state == State::kReturning) site.comeback.Begin(seen.listed, now);
      // Suspicions come and go; what follows from them is logged where it follows.
      if (seen.state != State::kSuspect && !(before == State::kSuspect && seen.state == State::kUp)) {
        orders.log.push_back("site " + deployment_.sites[static_cast<std::size_t>(i)] + " is " +
                             Name(seen.state) + " (was " + Name(before) + "): " + watch_.Cause(i));
        orders.changed = true;
      }
    }
    if (seen.state == State::kReturning) {
      site.allowed = site.comeback.Allowed(now);
      if (site.comeback.complete()) watch_.Recovered(i, now);
    }
    unusual |= seen.state == State::kLost || seen.state == State::kReturning;
  }
  if (watch_.cut_off() != was_cut_off_) {
    was_cut_off_ = watch_.cut_off();
    orders.changed = true;
    orders.log.push_back(was_cut_off_ ? "no site answers: this process is cut off, new work is refused"
                                      : "sites answer again: this process is no longer cut off");
  }
  if (unusual) {
    const int level = admission_.level();
    admission_.Evaluate(watch_.cut_off() ? Amount{} : Free(now), waiting, now);
    orders.changed |= admission_.level() < level;
  } else if (in_force_) {
    admission_.Open();
    orders.changed = true;
  }
  in_force_ = unusual;
  if (admission_.level() != told_level_) {
    if (told_level_ >= 0) {
      orders.log.push_back("admission: " + std::to_string(admission_.level()) + " of " +
                           std::to_string(admission_.ranks()) + " ranks taken whole" +
                           Text(", %.0f%% of the next; %.0f%% of what is asked for has room",
                                100 * admission_.share(), 100 * admission_.Fits()));
    }
    told_level_ = admission_.level();
  }
  return orders;
}

std::vector<std::string> ZoneFailover::Describe(Time now) const {
  std::vector<std::string> lines;
  for (int i = 0; i < watch_.size(); ++i) {
    const ZoneHealthMonitor::Site& seen = watch_.site(i);
    std::string line = "site " + deployment_.sites[static_cast<std::size_t>(i)] + " " + Name(seen.state);
    if (seen.since > 0) line += Text(" since %.1f s", static_cast<double>(now - seen.since) / 1e9);
    line += ": " + watch_.Cause(i);
    if (seen.state == State::kReturning) {
      const RecoveryRamp& comeback = sites_[static_cast<std::size_t>(i)].comeback;
      line += Text("; step %.0f, complete in %.1f s if all goes well", comeback.step(),
                   static_cast<double>(comeback.CompleteAt(now) - now) / 1e9);
    }
    lines.push_back(line);
  }
  lines.push_back("admission level " + std::to_string(admission_.level()) + " of " +
                  std::to_string(admission_.ranks()) + (in_force_ ? ", followed" : ", open"));
  return lines;
}

// --- What the module asks ----------------------------------------------------------------------------------
bool ZoneFailover::IsLost(int site) const { return Known(site) && watch_.site(site).state == State::kLost; }

bool ZoneFailover::AllowsPlacement(int site, bool unsafe) const {
  if (!Known(site)) return true;
  const Site& its = sites_[static_cast<std::size_t>(site)];
  const ZoneHealthMonitor::Site& seen = watch_.site(site);
  switch (seen.state) {
    case State::kUp:
      return seen.answered_at > 0 || its.sent_unknown < kToUnknown;
    case State::kSuspect:
      // What may not be sent twice is not sent into silence, and nothing more to where nothing ever answered.
      return !unsafe && (seen.answered_at > 0 || its.sent_unknown < kToUnknown);
    case State::kLost:
      return false;
    case State::kReturning:
      return its.allowed > 0;
  }
  return true;
}

void ZoneFailover::RecordPlacement(int site, const scheduling::Task& task, Time now) {
  bound_.cores.Record(now, task.cores);
  bound_.memory.Record(now, task.memory);
  if (!Known(site)) return;
  Site& its = sites_[static_cast<std::size_t>(site)];
  if (watch_.site(site).answered_at == 0) ++its.sent_unknown;
  if (its.state != State::kReturning) return;
  its.comeback.Sent();
  --its.allowed;
}

int ZoneFailover::AssignRank(const scheduling::Task& task, bool over_share, bool large, Time now) {
  const int rank = plan_.Rank(task.class_index, over_share, task.is_retry || task.resubmitted, large);
  admission_.Arrived(rank, {task.cores, task.memory}, now);
  return rank;
}

bool ZoneFailover::Admits(int rank, const scheduling::Task& task) const {
  if (!in_force_) return true;
  if (watch_.cut_off()) return false;
  return admission_.Admits(rank, task.name != 0 ? task.name : task.service);
}

bool ZoneFailover::RejectsZoneBoundRequests(int class_index) const {
  const std::size_t i = static_cast<std::size_t>(class_index);
  return i < plan_.tied.size() && plan_.tied[i] == Tied::kRefuse;
}

// The further below the level, the longer; drawn by the task's name, so that the refused do not return at
// once.
Time ZoneFailover::RetryAfter(int rank, const scheduling::Task& task) const {
  const int ranks = std::max(1, admission_.ranks());
  const double below = static_cast<double>(std::max(0, rank - admission_.level())) / ranks;
  const double draw = HashToUnitInterval(kAwayDraw, task.name != 0 ? task.name : task.service);
  const double share = std::clamp(0.5 * below + 0.5 * draw, 0.0, 1.0);
  return plan_.away_least +
         static_cast<Time>(share * static_cast<double>(plan_.away_most - plan_.away_least));
}

}  // namespace cluster_manager::zone_failover
