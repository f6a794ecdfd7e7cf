// Scheduler::Handle, the entry point of every decision, and the components that make the decisions. The path
// of a request: TaskArrived -> RequestLifecycle, in which NodeSelector filters the nodes and takes one of the
// least score -> StartAttempt -> TaskAccepted, or AttemptEnded -> a further attempt if that is safe. A
// request that no node can take is pending and is retried. A request without an answer is answered shortly
// before its deadline.
#include "scheduling/scheduler.h"

#include <algorithm>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "scheduling/context.h"
#include "scheduling/endpoint_list_updater.h"
#include "scheduling/health_check_scheduler.h"
#include "scheduling/request_lifecycle.h"
#include "scheduling/settings_check.h"

namespace scheduling {

using namespace internal;

// The components, each declared after those that it refers to.
struct Scheduler::State {
  Context context;
  RequestTable requests;
  EndpointListWatch watch{context};
  TenantQuota quota{context};
  UsageEstimator usage{context};
  ClusterView view{context, usage};
  ServicePlacements services{context, view};
  SlowStartLimiter slow_start{context};
  SpreadConstraint spread{context, services};
  RetryPolicy retry{context, view};
  CapacityFilter capacity{context, view, usage};
  ReservedNodes reserved{context, view, capacity};
  NodeFilter filter{context, capacity, reserved, retry, slow_start, spread};
  NodeScorer scorer{context, view, services, slow_start};
  NodePacking packing{context, view};
  NodePartition partition{context, view, packing};
  PlacementIndex index{context, view, usage, scorer, slow_start, reserved, partition};
  ContentionEstimator contention{context};
  PendingQueue pending{context};
  NodeSelector selector{context,
                        {view, usage, capacity, services, reserved, filter, scorer, packing, partition, index,
                         contention, pending}};
  OutlierDetector outliers{context, view};
  HealthCheckScheduler health_checks{context, view, usage, outliers};
  RefusalTracker refusals{context, view, outliers};
  EndpointListUpdater list_updater{context, {watch, view, slow_start, outliers, index, services, requests}};
  RequestLifecycle lifecycle{context,
                             {requests, view, usage, services, slow_start, reserved, quota, retry, outliers,
                              refusals, contention, pending, selector}};
  bool started = false;
  Time timer_at = 0;  // time of the last timer set

  template <typename RequestEvent>
  void Handle(const RequestEvent& event) {
    lifecycle.Handle(event);
  }
  void Handle(const EndpointListChanged& event) { list_updater.Handle(event); }
  void Handle(const HealthCheckCompleted& event) { health_checks.Handle(event); }
  void Handle(const TimerFired&) {}           // Scheduler::Handle does what is due after every event
  void Handle(const PeerMessageReceived&) {}  // schedulers do not exchange messages
  void Handle(const SettingsChanged& event);
  void Handle(const ShutdownScheduled& event);

  void StartOnce();
  void ResetClasses(const std::vector<std::size_t>& sources);
  void SetNextTimer();
};

void Scheduler::State::StartOnce() {
  if (std::exchange(started, true)) return;
  context.started_at = context.now;
  contention.Start();
  health_checks.Start();
}

void Scheduler::State::ResetClasses(const std::vector<std::size_t>& sources) {
  usage.ResetClasses(sources);
  reserved.ResetClasses(sources);
}

// Keeps the records of nodes and requests and recomputes everything that is derived from the settings.
void Scheduler::State::Handle(const SettingsChanged& event) {
  try {
    if (event.settings == nullptr) throw std::invalid_argument("event without settings");
    ValidateSettings(*event.settings);
  } catch (const std::invalid_argument& error) {
    context.actions.emplace_back(
        LogMessage{std::string("new settings rejected, previous settings stay in use: ") + error.what()});
    return;
  }
  const std::size_t no_source = context.settings.classes.size();
  context.settings = *event.settings;
  std::vector<std::size_t> sources;
  for (std::size_t i = 0; i < context.settings.classes.size(); ++i) {
    sources.push_back(i < event.estimate_sources.size() ? event.estimate_sources[i] : no_source);
  }
  ResetClasses(sources);
  quota.ResizeForTenants();
  index.Configure(true);
  index.AssignPartition();
  lifecycle.RebuildDeadlines();
}

void Scheduler::State::Handle(const ShutdownScheduled& event) {
  context.shutdown_at = event.deadline;
  lifecycle.RebuildDeadlines();
}

// Sets one timer for all components, for the earliest time at which one of them is due.
void Scheduler::State::SetNextTimer() {
  Time next = pending.HasDeadlines() ? pending.FirstDeadline().first : kNever;
  next =
      std::min({next, pending.NextRetry(), health_checks.NextDue(), outliers.NextExpiry(), watch.NextDue()});
  if (next == kNever || (timer_at > context.now && timer_at <= next)) return;
  timer_at = std::max(next, context.now + 1);
  context.actions.emplace_back(SetTimer{0, timer_at});
}

Scheduler::Scheduler(Settings settings, std::uint64_t seed) : state_(std::make_unique<State>()) {
  ValidateSettings(settings);
  const std::size_t classes = settings.classes.size();
  state_->context.settings = std::move(settings);
  state_->context.random.seed(seed);
  state_->ResetClasses(std::vector<std::size_t>(classes, classes));
  state_->quota.ResizeForTenants();
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

const std::vector<Action>& Scheduler::Handle(const Event& event, Time now) {
  State& state = *state_;
  state.context.actions.clear();
  state.context.now = now;
  state.StartOnce();
  std::visit([&state](const auto& each) { state.Handle(each); }, event);
  state.lifecycle.AnswerDueRequests();
  state.watch.SubscribeIfDue();
  state.health_checks.CheckEjectedNodes();
  state.health_checks.CheckNextNode();
  state.lifecycle.RetryPending();
  state.SetNextTimer();
  return state.context.actions;
}

void Scheduler::SetZonePolicy(ZonePolicy* policy) { state_->context.zone_policy = policy; }

void Scheduler::SetNodeIdentities(NodeIdentities* identities) {
  state_->context.node_identities = identities;
}

bool Scheduler::Tracks(RequestId id) const { return state_->requests.Find(id) != nullptr; }

std::size_t Scheduler::tracked_entries() const {
  return state_->view.nodes().size() + state_->services.size();
}

std::size_t Scheduler::excluded_nodes() const {
  return std::ranges::count_if(state_->view.nodes(),
                               [](const Node* node) { return node->listed && !node->IsHealthy(); });
}

std::uint64_t Scheduler::candidates_examined() const {
  return state_->filter.examined() + state_->index.examined();
}

}  // namespace scheduling
