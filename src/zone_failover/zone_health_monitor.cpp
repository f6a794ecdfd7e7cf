#include "zone_failover/zone_health_monitor.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cluster_manager::zone_failover {

const char* Name(State state) {
  switch (state) {
    case State::kUp:
      return "up";
    case State::kSuspect:
      return "suspect";
    case State::kLost:
      return "lost";
    case State::kReturning:
      return "returning";
  }
  return "?";
}

void ZoneHealthMonitor::Listed(NodeId node, int site, Time) {
  const bool known = site >= 0 && site < size();
  if (!known) {
    nodes_.erase(node);
    if (nodes_.empty()) ShrinkIfSparse(&nodes_);
    return;
  }
  nodes_[node].site = site;
}

void ZoneHealthMonitor::Asked(NodeId node, Time now) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end()) return;
  Node& n = it.value();
  if (n.asked_at == 0) n.asked_at = now;
  sites_[static_cast<std::size_t>(n.site)].asked_at = now;
}

void ZoneHealthMonitor::Answered(NodeId node, Time now) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end()) return;
  Node& n = it.value();
  n.answered_at = now;
  n.asked_at = n.silent_since = 0;
  sites_[static_cast<std::size_t>(n.site)].answered_at = now;
}

void ZoneHealthMonitor::Spoke(NodeId node, Time now) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end()) return;
  it.value().spoke_at = now;
  sites_[static_cast<std::size_t>(it->second.site)].spoke_at = now;
}

void ZoneHealthMonitor::Unanswered(NodeId node, Time asked) {
  const auto it = nodes_.find(node);
  if (it == nodes_.end() || asked < it->second.answered_at) return;
  Node& n = it.value();
  if (n.silent_since == 0) n.silent_since = asked;
  n.failed_asked = std::max(n.failed_asked, asked);
}

void ZoneHealthMonitor::Count(Time now) {
  for (Site& site : sites_)
    site.listed = site.silent_now = site.silent = site.answering = site.outstanding = 0;
  for (const auto& [id, n] : nodes_) {
    Site& site = sites_[static_cast<std::size_t>(n.site)];
    ++site.listed;
    const Time window = now - terms_.window;
    const Time from = site.state == State::kUp     ? window
                      : site.state == State::kLost ? std::max(site.since, window)
                                                   : site.since;
    if (n.silent_since > 0) {
      site.silent += n.failed_asked >= from;
      site.silent_now += n.failed_asked >= site.answered_at;
    } else if (n.answered_at > from) {
      ++site.answering;
    }
    if (n.asked_at > 0) ++site.outstanding;
  }
}

void ZoneHealthMonitor::Enter(Site* site, State state, Time now) {
  if (state == State::kLost) {
    const bool relapse = site->state == State::kReturning ||
                         (site->up_since > 0 && now - site->up_since < terms_.relapse_within);
    site->hold = relapse ? std::min(terms_.hold_most, 2 * std::max(site->hold, terms_.hold)) : terms_.hold;
    ++site->verdicts;
    site->ask_due = now + terms_.ask_again;
  }
  site->state = state;
  site->since = now;
  site->coming_since = 0;
}

void ZoneHealthMonitor::Recovered(int i, Time now) {
  Site& site = sites_[static_cast<std::size_t>(i)];
  if (site.state != State::kReturning) return;
  Enter(&site, State::kUp, now);
  site.up_since = now;
}

// Which of a site's nodes are asked: other ones each time, in an order of their own; those that count as
// silent first where the site may be back, the others where it may be lost.
void ZoneHealthMonitor::Choose(int site, Time now, bool silent_first, std::vector<NodeId>* out) {
  std::vector<std::pair<bool, std::pair<double, NodeId>>> all;
  for (const auto& [id, n] : nodes_) {
    if (n.site != site) continue;
    all.push_back({(n.silent_since > 0) != silent_first, {HashToUnitInterval(turn_, id), id}});
  }
  ++turn_;
  const std::size_t count = std::min(all.size(), static_cast<std::size_t>(terms_.asked_at_once));
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count), all.end());
  for (std::size_t i = 0; i < count; ++i) out->push_back(all[i].second.second);
  sites_[static_cast<std::size_t>(site)].ask_due = now + terms_.ask_again;
}

// Much is asked of the zone, and nothing comes.
bool ZoneHealthMonitor::IsQuiet(const Site& site, Time now) const {
  const int several = std::min(2, site.listed);
  return site.outstanding >= several && several > 0 && now - site.answered_at >= terms_.quiet &&
         site.asked_at > site.answered_at;
}

bool ZoneHealthMonitor::IsAllSilent(const Site& site, Time now) const {
  return now - site.answered_at >= terms_.quiet && site.silent_now >= std::min(terms_.least, site.listed);
}

// Enough nodes are silent, and a large enough share of those with evidence.
bool ZoneHealthMonitor::IsLargelySilent(const Site& site) const {
  const bool enough = site.silent >= std::min(terms_.least, site.listed) && site.silent > 0;
  return enough && SilentShare(site) >= terms_.suspect_share;
}

double ZoneHealthMonitor::SilentShare(const Site& site) {
  const int evidence = site.silent + site.answering;
  return evidence > 0 ? static_cast<double>(site.silent) / evidence : 0;
}

bool ZoneHealthMonitor::IsDeaf(const Site& site, Time now) const {
  return site.spoke_at > site.answered_at && now - site.spoke_at < terms_.window;
}

// Whether another zone has answered since this one fell silent. `heard` is when any zone answered last.
bool ZoneHealthMonitor::IsInTouch(const Site& site, Time heard) const {
  return heard >= std::max(site.since, site.answered_at + terms_.quiet);
}

Time ZoneHealthMonitor::LastAnswer() const {
  Time heard = 0;
  for (const Site& site : sites_) heard = std::max(heard, site.answered_at);
  return heard;
}

// Silence of all zones at once says more of this process than of any zone.
void ZoneHealthMonitor::UpdateCutOff(Time now, std::vector<NodeId>* ask) {
  int with_nodes = 0;
  int silent = 0;
  for (const Site& site : sites_) {
    with_nodes += site.listed > 0;
    silent += site.listed > 0 && IsAllSilent(site, now);
  }
  if (with_nodes > 0 && silent == with_nodes) {
    if (cut_off_since_ == 0) cut_off_since_ = now;
    return;
  }
  if (std::exchange(cut_off_since_, 0) == 0) return;
  // The first zone to answer proves nothing against the others.
  for (int i = 0; i < size(); ++i) {
    Site& suspect = sites_[static_cast<std::size_t>(i)];
    if (suspect.state != State::kSuspect) continue;
    Enter(&suspect, State::kSuspect, now);
    Choose(i, now, true, ask);
  }
}

void ZoneHealthMonitor::EvaluateUp(int index, Time now, std::vector<NodeId>* ask) {
  Site& site = sites_[static_cast<std::size_t>(index)];
  // A suspicion that has just been cleared is not raised again by what is left of it.
  const bool settled = now - site.since >= terms_.window / 2;
  if (!IsQuiet(site, now) && !(IsLargelySilent(site) && settled)) return;
  site.silent_since = std::max(site.answered_at, site.up_since);
  Enter(&site, State::kSuspect, now);
  Choose(index, now, false, ask);
  for (int other = 0; other < size(); ++other) {
    const Site& reference = sites_[static_cast<std::size_t>(other)];
    const bool stale = now - reference.answered_at > terms_.quiet / 2;
    if (other != index && reference.listed > 0 && stale) Choose(other, now, false, ask);
  }
}

void ZoneHealthMonitor::EvaluateSuspect(int index, Time now, Time heard, std::vector<NodeId>* ask) {
  Site& site = sites_[static_cast<std::size_t>(index)];
  if (IsAllSilent(site, now) && now - site.since >= terms_.lost_after) {
    if (!IsInTouch(site, heard)) {
      for (int other = 0; other < size() && now >= site.ask_due; ++other) Choose(other, now, false, ask);
      return;
    }
    site.deaf = IsDeaf(site, now);
    Enter(&site, State::kLost, now);
  } else if (!IsQuiet(site, now) && SilentShare(site) < terms_.suspect_share) {
    Enter(&site, State::kUp, now);
  } else if (now >= site.ask_due) {
    Choose(index, now, false, ask);
  }
}

void ZoneHealthMonitor::EvaluateLost(int index, Time now, std::vector<NodeId>* ask) {
  Site& site = sites_[static_cast<std::size_t>(index)];
  site.deaf = IsDeaf(site, now);
  const int wanted = std::max(1, static_cast<int>(std::ceil(terms_.come_back * site.listed)));
  const bool too_few_answer = site.answering < std::min(wanted, terms_.asked_at_once);
  if (too_few_answer || site.silent_now >= std::min(terms_.least, site.listed)) {
    site.coming_since = 0;
  } else if (site.coming_since == 0) {
    site.coming_since = now;
  }
  if (site.coming_since > 0 && now - site.coming_since >= site.hold) {
    Enter(&site, State::kReturning, now);
  } else if (now >= site.ask_due || (site.coming_since == now && site.answering < site.listed)) {
    Choose(index, now, true, ask);
  }
}

void ZoneHealthMonitor::EvaluateReturning(int index, Time now, Time heard, std::vector<NodeId>* ask) {
  Site& site = sites_[static_cast<std::size_t>(index)];
  if (IsAllSilent(site, now) && IsInTouch(site, heard)) {
    Enter(&site, State::kLost, now);
  } else if (now >= site.ask_due && site.answering < site.listed) {
    Choose(index, now, true, ask);
  }
}

std::vector<NodeId> ZoneHealthMonitor::Evaluate(Time now) {
  Count(now);
  std::vector<NodeId> ask;
  const Time heard = LastAnswer();
  UpdateCutOff(now, &ask);
  for (int i = 0; i < size(); ++i) {
    Site& site = sites_[static_cast<std::size_t>(i)];
    if (site.listed ==
        0) {  // nothing of it is in service: what the list says is enough, and it is no verdict
      if (site.state != State::kUp) Enter(&site, State::kUp, now);
      continue;
    }
    switch (site.state) {
      case State::kUp:
        EvaluateUp(i, now, &ask);
        break;
      case State::kSuspect:
        EvaluateSuspect(i, now, heard, &ask);
        break;
      case State::kLost:
        EvaluateLost(i, now, &ask);
        break;
      case State::kReturning:
        EvaluateReturning(i, now, heard, &ask);
        break;
    }
  }
  return ask;
}

std::string ZoneHealthMonitor::Cause(int i) const {
  const Site& s = site(i);
  std::string text = std::to_string(s.silent) + " of " + std::to_string(s.listed) + " nodes silent, " +
                     std::to_string(s.answering) + " answer";
  if (s.state == State::kLost && s.deaf) text += "; it is heard and does not hear: a cut in one direction";
  if (s.state == State::kLost && s.verdicts > 1)
    text += "; hold " + std::to_string(s.hold / 1'000'000) + " ms after " + std::to_string(s.verdicts) +
            " losses";
  if (cut_off()) text += "; all sites are silent: this process is cut off";
  return text;
}

}  // namespace cluster_manager::zone_failover
