// The handover between two processes of one cluster manager that share a listening socket: what the old
// process publishes while it stops, and how the new one applies it.
#include <algorithm>
#include <string>
#include <utility>

#include "containers/block_pool.h"
#include "net/log.h"
#include "protocol/message.h"
#include "server/server_process.h"

namespace cluster_manager {
namespace {

constexpr Time kCheckInterval = 10 * kMs;
// The platform kills the old process (SIGKILL) when the longest deadline of a class, at most
// kMaxDeadlineWait, and kExitMargin have passed since SIGTERM. Requests are answered kAnswerMargin before
// that.
constexpr Time kMaxDeadlineWait = 5 * kSecond;
constexpr Time kExitMargin = 700 * kMs;
constexpr Time kAnswerMargin = 400 * kMs;
// Connections are closed this long before the kill, whatever clients still request on them.
constexpr Time kCloseMargin = 350 * kMs;
// The connections to nodes are closed this long before the kill: clients have read their last answers.
constexpr Time kNodeCloseMargin = 250 * kMs;
// For nodes to close their side.
constexpr Time kNodeClosePeriod = 150 * kMs;
// The tasks are handed over this long before the kill, so that the file can still be written.
constexpr Time kHandoverMargin = 150 * kMs;

}  // namespace

// From now on only the next process accepts on the shared socket: requests arrive here on open connections
// only.
void ServerProcess::BeginHandover() {
  LogStop();
  frontend_.SetAcceptMode(ClientFrontend::AcceptMode::kHandingOver);
  const Time longest_deadline = std::min(dispatcher_.classes().LongestDeadline(), kMaxDeadlineWait);
  handover_by_ = loop_.Now() + longest_deadline + kExitMargin;
  dispatcher_.ScheduleShutdown(handover_by_ - kAnswerMargin);
  CheckHandoverComplete();
}

// The old process closes its connections to nodes as soon as it has answered every request and no client is
// connected: only then do clients claim its tasks at the new process. Completions that no client could be
// notified of are handed over. Clients that keep sending requests do not delay this: the time of SIGKILL does
// not depend on them.
void ServerProcess::CheckHandoverComplete() {
  PublishHandover(false);
  const Time now = loop_.Now();
  if (now >= handover_by_ - kCloseMargin) frontend_.CloseAllGracefully();
  const bool complete = dispatcher_.unanswered_request_count() == 0 && frontend_.connection_count() == 0;
  if (complete || now >= handover_by_ - kNodeCloseMargin) {
    Advance(LifecycleEvent::kRequestsAnswered);
  } else {
    loop_.After(kCheckInterval, [this] { CheckHandoverComplete(); });
  }
}

Time ServerProcess::NodesClosedByAtHandover() {
  return std::min(loop_.Now() + kNodeClosePeriod, handover_by_ - kHandoverMargin);
}

// To be called once nodes report to the next process: what this one has read by then is in the handover.
void ServerProcess::HandOver() {
  PublishHandover(true);
  Log("handed over: %zu tasks", dispatcher_.RunningTaskCount());
}

Handover ServerProcess::CollectHandover(bool with_tasks) {
  Handover handover;
  const scheduling::Settings& settings = dispatcher_.classes().settings();
  if (with_tasks) {
    dispatcher_.ForEachRunningTask(
        [&](TaskId id, const scheduling::Task& task, const ForwardedPayload& payload, NodeId node) {
          const std::size_t tenant = static_cast<std::size_t>(task.tenant);
          handover.tasks.push_back({id, node, dispatcher_.classes().ClassName(task.class_index),
                                    tenant < settings.tenants.size() ? settings.tenants[tenant].name : "",
                                    task, std::string(payload.bytes.view()), payload.class_end});
        });
  }
  for (const auto& [id, end] : frontend_.RemainingCompletions(with_tasks))
    handover.completions.push_back({id, HandedOverCompletion::kAnyNode, end});
  for (const UnclaimedCompletions::Completion& completion :
       dispatcher_.unclaimed_completions().completions()) {
    const TaskEnd end = completion.completed ? TaskEnd::kCompleted : TaskEnd::kAborted;
    handover.completions.push_back({completion.task, completion.node, end});
  }
  return handover;
}

// Completions are published as they occur, so that the new process can notify their clients. Tasks are
// published only at the end, when the outcome of every open attempt is known.
void ServerProcess::PublishHandover(bool with_tasks) {
  if (!shared_files_) return;
  std::string text = FormatHandover(CollectHandover(with_tasks));
  if (text == published_handover_) return;
  shared_files_->RequestChange(kHandoverFile, ++handover_number_, [text](const auto&) { return text; });
  published_handover_ = std::move(text);
}

// Replaces a class or tenant that this process does not know by a default.
TaskRequest ServerProcess::ToTaskRequest(const HandedOverTask& task) const {
  TaskRequest request{task.id, 0, task.task, {}, task.node};
  request.task.class_index = dispatcher_.classes().PositionForRunningTask(task.class_name);
  const auto& tenants = dispatcher_.classes().settings().tenants;
  const auto tenant = std::ranges::find(tenants, task.tenant, &scheduling::TenantSettings::name);
  request.task.tenant = tenant == tenants.end() ? 0 : static_cast<int>(tenant - tenants.begin());
  request.payload.bytes = SharedBlockPool().Allocate(task.payload.size());
  request.payload.bytes.Append(task.payload);
  request.payload.class_end = task.class_end;
  return request;
}

// The old process has closed its connections to nodes by now. Nodes repeat completions that crossed that
// close on the next connection.
void ServerProcess::ApplyHandover(const Handover& handover) {
  const Time received_at = loop_.Now();
  std::size_t taken_tasks = 0;
  for (const HandedOverTask& task : handover.tasks)
    taken_tasks += dispatcher_.OnTaskRequest(ToTaskRequest(task));
  for (const HandedOverTask& task : handover.tasks)
    node_pool_.DialForRepeatedCompletions(task.node, received_at);
  std::size_t new_completions = 0;
  for (const HandedOverCompletion& completion : handover.completions) {
    if (!applied_completions_.insert(completion.id).second) continue;
    ++new_completions;
    dispatcher_.ApplyPeerCompletion(completion.node, completion.id, completion.end,
                                    completion.node == HandedOverCompletion::kAnyNode);
  }
  if (handover.tasks.empty() && new_completions == 0) return;
  Log("taken over: %zu of %zu tasks, %zu completions", taken_tasks, handover.tasks.size(), new_completions);
}

}  // namespace cluster_manager
