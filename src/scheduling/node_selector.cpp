#include "scheduling/node_selector.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "containers/hash.h"
#include "scheduling/parameters.h"

namespace scheduling::internal {

std::optional<NodeId> NodeSelector::Select(const Request& request) {
  components_.services.SelectService(request.task);
  candidates_.clear();
  from_partition_ = false;
  free_slots_ = 0;
  if (components_.index.active()) {
    SearchIndex(request);
  } else {
    ScanNodes(request);
  }
  if (candidates_.empty() || !(from_partition_ || AdmitsUnderContention(request))) return std::nullopt;
  AssignMeanScoreToUnknown();
  return SelectNearTie(request.task.service);
}

void NodeSelector::ScanNodes(const Request& request) {
  components_.reserved.Assign();
  const bool packing = components_.packing.IsEnabled();
  PackingOrder order;
  if (packing) order = components_.packing.ComputeOrder(components_.view.nodes());
  const std::vector<Node*>& nodes = packing ? order.nodes : components_.view.nodes();
  const std::size_t in_use = packing ? order.in_use : nodes.size();
  for (std::size_t i = 0; i < nodes.size() && (candidates_.empty() || i < in_use); ++i) {
    AddIfPreferred(nodes[i], request);
  }
  if (!candidates_.empty()) return;
  for (Node* node : nodes) {
    if (components_.filter.Allows(node, request)) AddCandidate(*node, request);
  }
}

void NodeSelector::AddIfPreferred(Node* node, const Request& request) {
  if (components_.filter.Allows(node, request) && components_.filter.Prefers(*node, request))
    AddCandidate(*node, request);
}

void NodeSelector::AddCandidate(const Node& node, const Request& request) {
  const Task& task = request.task;
  candidates_.push_back(components_.scorer.Score(node, task));
  free_slots_ +=
      node.capacity_known
          ? std::floor(components_.capacity.SlotsByRequest(node, {task.cores, task.memory}, {0, 0}))
          : 1;
}

void NodeSelector::SearchIndex(const Request& request) {
  components_.index.Refresh();
  if (SearchPartition(request)) return;
  const double unseen = components_.contention.UnseenPlacements();
  const double competing = components_.contention.CompetingRequests(components_.pending.size());
  IndexSearch search{request, unseen, -kWeightLossPerPlacement * unseen, competing};
  not_preferred_.clear();
  for (const SelectedNode& selected : components_.services.selected()) {
    Examine(components_.view.Find(selected.entry->node), &search);
  }
  SearchNodeKinds(&search);
  if (!candidates_.empty()) return;
  for (const Node* node : not_preferred_) AddCandidate(*node, request);
}

void NodeSelector::SearchNodeKinds(IndexSearch* search) {
  const Task& task = search->request.task;
  const Resources use = components_.usage.ExpectedUse(task);
  const PlacementIndex::RatioIndex::Capacities need{task.cores, task.memory, use.cores, use.memory};
  const double added = kProgramStartLoad * context_.settings.mean_cores;
  const int required = context_.ClassSettingsFor(task).required_node_kind;
  const auto visit = [&](std::uint32_t slot) {
    Node* node = components_.view.AtSlot(slot);
    return components_.services.IsSelected(*node) || Examine(node, search);
  };
  std::vector<PlacementIndex::RatioIndex>& kinds = components_.index.kinds();
  for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
    if (required >= 0 && required != static_cast<int>(kind)) continue;
    if (kinds[kind].VisitLeast(added, need, visit) || !candidates_.empty()) continue;
    not_preferred_.clear();  // VisitAscending visits these nodes again
    kinds[kind].VisitAscending(added, need, visit);
  }
}

// The search ends when the candidates cover the near-ties, the unseen placements of other schedulers and the
// competing requests.
bool NodeSelector::Examine(Node* node, IndexSearch* search) {
  ++search->examined;
  if (!components_.filter.Allows(node, search->request)) return true;
  if (!components_.filter.Prefers(*node, search->request)) {
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
  const std::vector<Node*>& nodes = components_.partition.nodes();
  const bool packing = components_.packing.IsEnabled();
  for (std::size_t i = 0; i < nodes.size() && (i < components_.partition.in_use() || candidates_.empty());
       ++i) {
    if (packing || components_.partition.IsBelowLoadLimit(*nodes[i])) AddIfPreferred(nodes[i], request);
  }
  if (!nodes.empty()) {
    for (const SelectedNode& selected : components_.services.selected()) {
      Node* node = components_.view.Find(selected.entry->node);
      if (!node->in_partition) AddIfPreferred(node, request);
    }
  }
  for (Candidate& candidate : candidates_)
    candidate.load += components_.view.Find(candidate.node)->start_backlog;
  from_partition_ = !candidates_.empty();
  return from_partition_;
}

void NodeSelector::AssignMeanScoreToUnknown() {
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

// Schedulers with the same stale view would otherwise all send to the same scarce capacity. If the competing
// requests exceed the capacity that is free or becomes free within kViewAge, an attempt is started only with
// a probability of their ratio. A pending request is retried several times within kViewAge, so that its
// probability per retry is lower by that factor.
bool NodeSelector::AdmitsUnderContention(const Request& request) {
  const double competing = components_.contention.CompetingRequests(components_.pending.size());
  free_slots_ += components_.contention.ExpectedEnds();
  if (free_slots_ >= competing) return true;
  const bool pending = components_.pending.Contains(request.task.id);
  const double attempts = pending ? kViewAge / kPendingRetryInterval : 1;
  return context_.UniformRandom() * competing * attempts < free_slots_;
}

// The unseen placements of other schedulers are expected to go to the least scores and to raise them to a
// common score. Nodes below that score are near-ties.
double NodeSelector::NearTieThreshold() const {
  double threshold = 0;
  double load = from_partition_ ? 0 : components_.contention.UnseenPlacements();
  double weight = -kWeightLossPerPlacement * load;
  for (const Candidate& each : candidates_) {
    if (weight > 0 && load / weight <= each.load / each.weight) break;
    load += each.load;
    weight += each.weight;
    threshold = weight > 0 ? load / weight : kUnboundedThreshold;
  }
  const Candidate& least = candidates_.front();
  return std::max(threshold, least.load / least.weight * (1 + kNearTieMargin));
}

// Each near-tie is drawn with a probability in proportion to the load that it can take up to the threshold.
// The draw is a hash of service and node that is the same at all schedulers, so that a service's program
// starts on few nodes. Candidates that differ from the best one in whether they have the program are not
// near-ties, since unseen placements even out load but not the cost of starting a program.
NodeId NodeSelector::SelectNearTie(std::uint64_t service) {
  constexpr double kMinShare = 1e-9;
  std::sort(candidates_.begin(), candidates_.end(), [](const Candidate& a, const Candidate& b) {
    return std::tuple(a.load * b.weight, a.node) < std::tuple(b.load * a.weight, b.node);
  });
  const double threshold = NearTieThreshold();
  const bool has_program = candidates_.front().has_program;
  NodeId best = candidates_.front().node;
  double least_draw = kNoLimit;
  for (const Candidate& each : candidates_) {
    const double share = std::max(kMinShare, threshold * each.weight - each.load);
    const double draw = -std::log(cluster_manager::HashToUnitInterval(service, each.node)) / share;
    if (each.load > threshold * each.weight || draw >= least_draw || each.has_program != has_program)
      continue;
    least_draw = draw;
    best = each.node;
  }
  return best;
}

}  // namespace scheduling::internal
