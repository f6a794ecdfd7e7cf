#include "scheduling/node_selector.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "containers/hash.h"
#include "scheduling/parameters.h"

namespace scheduling::internal {

std::optional<NodeId> NodeSelector::Select(const Request& request) {
  in_.services.Select(request.task);
  candidates_.clear();
  from_partition_ = false;
  free_slots_ = 0;
  if (in_.index.active()) {
    SearchIndex(request);
  } else {
    ScanNodes(request);
  }
  if (candidates_.empty() || !(from_partition_ || HasTurn(request))) return std::nullopt;
  ScoreUnknownAsMean();
  return DrawNearTie(request.task.service);
}

void NodeSelector::ScanNodes(const Request& request) {
  in_.reserved.Assign();
  const bool priced = in_.packing.IsPriced();
  PackingOrder order;
  if (priced) order = in_.packing.Order(in_.view.nodes());
  const std::vector<Node*>& nodes = priced ? order.nodes : in_.view.nodes();
  const std::size_t in_use = priced ? order.in_use : nodes.size();
  for (std::size_t i = 0; i < nodes.size() && (candidates_.empty() || i < in_use); ++i) {
    AddIfPreferred(nodes[i], request);
  }
  if (!candidates_.empty()) return;
  for (Node* node : nodes) {
    if (in_.filter.Allows(node, request)) AddCandidate(*node, request);
  }
}

void NodeSelector::AddIfPreferred(Node* node, const Request& request) {
  if (in_.filter.Allows(node, request) && in_.filter.Prefers(*node, request)) AddCandidate(*node, request);
}

void NodeSelector::AddCandidate(const Node& node, const Request& request) {
  const Task& task = request.task;
  candidates_.push_back(in_.scorer.Score(node, task));
  free_slots_ += node.capacity_known
                     ? std::floor(in_.capacity.SlotsByRequest(node, {task.cores, task.memory}, {0, 0}))
                     : 1;
}

void NodeSelector::SearchIndex(const Request& request) {
  in_.index.Refresh();
  if (SearchPartition(request)) return;
  const double unseen = in_.contention.UnseenPlacements();
  const double competing = in_.contention.CompetingRequests(in_.pending.size());
  IndexSearch search{request, unseen, -kWeightLossPerPlacement * unseen, competing};
  not_preferred_.clear();
  for (const SelectedNode& selected : in_.services.selected()) {
    Examine(in_.view.Find(selected.entry->node), &search);
  }
  SearchKinds(&search);
  if (!candidates_.empty()) return;
  for (const Node* node : not_preferred_) AddCandidate(*node, request);
}

void NodeSelector::SearchKinds(IndexSearch* search) {
  const Task& task = search->request.task;
  const Resources use = in_.usage.ExpectedUse(task);
  const PlacementIndex::RatioIndex::Capacities need{task.cores, task.memory, use.cores, use.memory};
  const double added = kProgramStartTasks * context_.settings.mean_cores;
  const int required = context_.ClassOf(task).required_node_kind;
  const auto visit = [&](std::uint32_t slot) {
    Node* node = in_.view.AtSlot(slot);
    return in_.services.IsSelected(*node) || Examine(node, search);
  };
  std::vector<PlacementIndex::RatioIndex>& kinds = in_.index.kinds();
  for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
    if (required >= 0 && required != static_cast<int>(kind)) continue;
    if (kinds[kind].VisitLeast(added, need, visit) || !candidates_.empty()) continue;
    not_preferred_.clear();  // they are met again
    kinds[kind].VisitAscending(added, need, visit);
  }
}

// As many candidates are needed as there are near-ties, placements of others and waiting requests.
bool NodeSelector::Examine(Node* node, IndexSearch* search) {
  ++search->examined;
  if (!in_.filter.Allows(node, search->request)) return true;
  if (!in_.filter.Prefers(*node, search->request)) {
    if (not_preferred_.size() < kMinCandidates) not_preferred_.push_back(node);
    return !candidates_.empty() || search->examined < kMaxExamined;
  }
  AddCandidate(*node, search->request);
  const Candidate& last = candidates_.back();
  search->load += last.load;
  search->weight += last.weight;
  return candidates_.size() < kMinCandidates || search->weight <= 0 ||
         search->load / search->weight > last.load / last.weight || free_slots_ < search->competing;
}

bool NodeSelector::SearchPartition(const Request& request) {
  const std::vector<Node*>& nodes = in_.partition.nodes();
  const bool priced = in_.packing.IsPriced();
  for (std::size_t i = 0; i < nodes.size() && (i < in_.partition.in_use() || candidates_.empty()); ++i) {
    if (priced || in_.partition.IsBelowLevel(*nodes[i])) AddIfPreferred(nodes[i], request);
  }
  if (!nodes.empty()) {
    for (const SelectedNode& selected : in_.services.selected()) {
      Node* node = in_.view.Find(selected.entry->node);
      if (!node->in_partition) AddIfPreferred(node, request);
    }
  }
  for (Candidate& candidate : candidates_) candidate.load += in_.view.Find(candidate.node)->start_queue;
  from_partition_ = !candidates_.empty();
  return from_partition_;
}

void NodeSelector::ScoreUnknownAsMean() {
  Candidate sum{0, 0, 0, false};
  for (const Candidate& each : candidates_) {
    sum.load += each.load;
    sum.weight += each.weight;
  }
  for (Candidate& each : candidates_) {
    if (each.weight > 0) continue;
    each.load = sum.weight > 0 ? sum.load : 1;
    each.weight = sum.weight > 0 ? sum.weight : 1;
  }
}

// All schedulers with the same late view would otherwise send to the same little capacity: where more
// requests wait, at each scheduler as many as here, than find capacity within a view's age, each is sent by
// chance.
bool NodeSelector::HasTurn(const Request& request) {
  const double waiting = in_.contention.CompetingRequests(in_.pending.size());
  free_slots_ += in_.contention.ExpectedEnds();
  if (free_slots_ >= waiting) return true;
  const bool pending = in_.pending.Contains(request.task.id);
  const double tries = pending ? kViewAge / kPendingRetryInterval : 1;
  return context_.Draw() * waiting * tries < free_slots_;
}

// Near-ties are the nodes that placements of others, not yet in the view, can be expected to level: spread
// over the least scores they raise them to one level.
double NodeSelector::NearTieLevel() const {
  double level = 0;
  double load = from_partition_ ? 0 : in_.contention.UnseenPlacements();
  double weight = -kWeightLossPerPlacement * load;
  for (const Candidate& each : candidates_) {
    if (weight > 0 && load / weight <= each.load / each.weight) break;
    load += each.load;
    weight += each.weight;
    level = weight > 0 ? load / weight : kUnboundedLevel;
  }
  const Candidate& least = candidates_.front();
  return std::max(level, least.load / least.weight * (1 + kNearTieMargin));
}

// Each near-tie is drawn by what it takes up to the level, with a hash of service and node, the same at all
// schedulers, so that a service's program starts on few nodes. Candidates that differ from the first in the
// program are none: load levels, the start of a program does not.
NodeId NodeSelector::DrawNearTie(std::uint64_t service) {
  constexpr double kMinShare = 1e-9;
  std::sort(candidates_.begin(), candidates_.end(), [](const Candidate& a, const Candidate& b) {
    return std::tuple(a.load * b.weight, a.node) < std::tuple(b.load * a.weight, b.node);
  });
  const double level = NearTieLevel();
  const bool has_program = candidates_.front().has_program;
  NodeId best = candidates_.front().node;
  double least = kNoLimit;
  for (const Candidate& each : candidates_) {
    const double share = std::max(kMinShare, level * each.weight - each.load);
    const double drawn = -std::log(cluster_manager::HashToUnitInterval(service, each.node)) / share;
    if (each.load > level * each.weight || drawn >= least || each.has_program != has_program) continue;
    least = drawn;
    best = each.node;
  }
  return best;
}

}  // namespace scheduling::internal
