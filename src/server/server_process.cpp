#include "server/server_process.h"

#include <csignal>
#include <cstdio>
#include <exception>
#include <utility>

#include "containers/block_pool.h"
#include "containers/hash.h"
#include "net/counters.h"
#include "net/log.h"
#include "net/sys.h"
#include "protocol/message.h"
#include "zone_failover/plan.h"

namespace cluster_manager {

// Set by the counting build (bench/counted.cpp) only: prints what that build counts.
__attribute__((weak)) void (*counting_build)(std::FILE* to) = nullptr;

namespace {

// How long a process waits for an endpoint list. It then serves without one, since there may be no other
// process to serve its clients while discovery is unreachable. At an upgrade readiness is due within 6 s.
constexpr Time kEndpointListTimeout = 4 * kSecond;
constexpr Time kReadinessCheckInterval = 5 * kMs;

// Seeds the hash functions; called before the first hash table is filled.
std::uint64_t SeedHashes(std::uint64_t seed) { return hash_seed = seed; }

}  // namespace

ServerProcess::ServerProcess(ServerFiles files, Config config)
    : files_(std::move(files)),
      config_(std::move(config)),
      deployment_(zone_failover::DeploymentFromSettings(config_.settings, config_.zones)),
      dispatcher_(&loop_, config_.settings, SeedHashes(config_.seed)),
      node_pool_(&loop_, {config_.dial_timeout, config_.keepalive},
                 DescriptorsWithoutAdmin(config_.max_descriptors), config_.seed, &dispatcher_),
      endpoint_list_(&loop_, config_, &dispatcher_),
      frontend_(&loop_, config_, dispatcher_.classes(), &dispatcher_) {
  dispatcher_.Connect(&frontend_, &node_pool_, &endpoint_list_);
  LoadZoneFailoverPlan();
  frontend_.SetDescriptorLimit(DescriptorsWithoutAdmin(config_.max_descriptors));
  node_pool_.SetClientDescriptors([this] { return frontend_.connection_count(); });
  if (config_.admin) dispatcher_.SetSuspensions(&suspensions_);
  OpenSharedFiles();
  endpoint_list_.PublishKnownList(config_.known_list);
  InstallSignalHandlers();
  Log("%s listens on %s", config_.name.c_str(), AddressText(frontend_.address()).c_str());
  if (config_.admin) {
    admin_.emplace(&loop_, *config_.admin, this);
    Log("admin API address: %s", AddressText(admin_->address()).c_str());
  }
  EnterPhase(Phase::kStarting);
}

int ServerProcess::DescriptorsWithoutAdmin(int sockets) const {
  return config_.admin ? sockets - static_cast<int>(Admin::kMaxConnections) - 1 : sockets;
}

void ServerProcess::LoadZoneFailoverPlan() {
  if (files_.zone_failover_plan.empty()) return;
  zone_failover_.emplace(zone_failover::LoadPlan(files_.zone_failover_plan, deployment_), deployment_);
  dispatcher_.SetZoneFailover(&*zone_failover_);
  Log("zone failover: loaded plan %s", files_.zone_failover_plan.c_str());
}

void ServerProcess::InstallSignalHandlers() {
  loop_.OnSignal(SIGHUP, [this] { Reload(); });
  loop_.OnSignal(SIGTERM, [this] { Advance(LifecycleEvent::kTerminate); });
  loop_.OnSignal(SIGINT, [this] { Advance(LifecycleEvent::kTerminate); });
  loop_.OnSignal(SIGUSR1, [this] { PrintStatistics(); });
}

void ServerProcess::Run() {
  loop_.Run();
  loop_.FlushAll();
  if (shared_files_) {
    shared_files_->Finish();
    for (const SharedFileMonitor::FileUpdate& update : shared_files_->TakeUpdates())
      ReportWriteError(update.error);
  }
  PrintStatistics();
}

// --- Lifecycle -------------------------------------------------------------------------------------------
bool ServerProcess::Advance(LifecycleEvent event) {
  const Phase next = NextPhase(phase_, event, HasInheritedSocket());
  if (next == phase_) return false;
  phase_ = next;
  EnterPhase(next);
  return true;
}

// Starts the work of a phase. May advance to the next phase before it returns.
void ServerProcess::EnterPhase(Phase phase) {
  switch (phase) {
    case Phase::kStarting:
      frontend_.SetAcceptMode(ClientFrontend::AcceptMode::kStarting);
      CheckReadiness();
      break;
    case Phase::kServing:
      frontend_.SetAcceptMode(ClientFrontend::AcceptMode::kOpen);
      // Until now another process accepted on an inherited socket.
      frontend_.ResumeAccepting();
      break;
    case Phase::kDraining:
      Log("draining: %zu unanswered requests, %zu running tasks", dispatcher_.unanswered_request_count(),
          dispatcher_.RunningTaskCount());
      frontend_.SetAcceptMode(ClientFrontend::AcceptMode::kDraining);
      break;
    case Phase::kAcceptingFinalConnections:
      BeginShutdown();
      break;
    case Phase::kAwaitingAnswers:
      BeginAwaitingAnswers();
      break;
    case Phase::kFlushing:
      FlushClients();
      break;
    case Phase::kClosingNodes:
      CloseNodes();
      break;
    case Phase::kClosingLastClient:
      CloseLastClient();
      break;
    case Phase::kHandingOver:
      BeginHandover();
      break;
    case Phase::kEnded:
      if (HasInheritedSocket()) HandOver();
      loop_.Stop();
      break;
  }
}

// Decides readiness for clients and operators alike. A process with its own socket can serve with the list of
// its configuration. One that replaces another process waits until it receives the list from discovery:
// meanwhile the old process serves, with a more recent list.
bool ServerProcess::CanServe() const {
  if (loop_.now() - started_at_ >= kEndpointListTimeout) return true;
  return endpoint_list_.size() > 0 && (!HasInheritedSocket() || endpoint_list_.IsStreamLive());
}

void ServerProcess::CheckReadiness() {
  if (phase_ != Phase::kStarting || (CanServe() && Advance(LifecycleEvent::kCanServe))) return;
  loop_.Cancel(readiness_timer_);
  readiness_timer_ = loop_.After(kReadinessCheckInterval, [this] { CheckReadiness(); });
}

// --- Reload and statistics -------------------------------------------------------------------------------
void ServerProcess::Reload() {
  ReloadConfig();
  if (zone_failover_) ReloadZoneFailoverPlan();
}

// Atomic: the whole file is checked before any of it takes effect, and the current settings stay in force
// where it is invalid.
void ServerProcess::ReloadConfig() {
  try {
    const Config config = LoadConfigFromEnvironment(&config_.required_shape);
    scheduling::Scheduler(config.settings, 0);  // throws where the settings are invalid for the scheduler
    const ClassTable::Change change = dispatcher_.ApplySettings(config.settings);
    frontend_.UpdateRequestLimits();
    endpoint_list_.Reconfigure(config.discovery, config.known_list);
    node_pool_.SetTimeouts({config.dial_timeout, config.keepalive});
    frontend_.SetDescriptorLimit(DescriptorsWithoutAdmin(config.max_descriptors));
    node_pool_.SetDescriptorLimit(DescriptorsWithoutAdmin(config.max_descriptors));
    ++counters.reloads;
    Log("configuration reloaded, discovery at %s, classes: %d new, %d changed, %d dropped",
        AddressText(config.discovery).c_str(), change.added, change.changed, change.dropped);
    // The zone failover plan refers to classes by position, which may have changed.
    deployment_ = zone_failover::DeploymentFromSettings(dispatcher_.classes().settings(), config_.zones);
  } catch (const std::exception& error) {
    ++counters.reloads_refused;
    Log("configuration reload failed: %s", error.what());
  }
}

// Atomic, like ReloadConfig().
void ServerProcess::ReloadZoneFailoverPlan() {
  try {
    zone_failover_->ApplyPlan(zone_failover::LoadPlan(files_.zone_failover_plan, deployment_));
    Log("zone failover: reloaded plan %s", files_.zone_failover_plan.c_str());
  } catch (const std::exception& error) {
    Log("zone failover: plan reload failed, keeping the current plan:\n%s", error.what());
  }
}

void ServerProcess::PrintStatistics() {
  counters.Print(stderr);
  sys::calls.Print(stderr);
  std::fprintf(stderr, "counter bytes_written %llu\n",
               static_cast<unsigned long long>(protocol::bytes_written));
  if (counting_build != nullptr) counting_build(stderr);
  const std::pair<const char*, std::size_t> sizes[] = {
      {"owed", dispatcher_.unanswered_request_count()},
      {"standing", dispatcher_.RunningTaskCount()},
      {"owners", frontend_.connection_count()},
      {"owed_ends", frontend_.queued_completions()},
      {"listed", dispatcher_.listed_node_count()},
      {"module", dispatcher_.scheduler_entry_count()},
      {"peers", node_pool_.peer_count()},
      {"attempt_history", dispatcher_.attempt_history_size()},
      {"roster", endpoint_list_.size()},
      {"agents", node_pool_.node_count()},
      {"agent_lines", node_pool_.connection_count()},
      {"agent_open", node_pool_.unanswered_attempt_count()},
      {"blocks", SharedBlockPool().live()},
      {"deadlines", loop_.deadlines()}};
  for (const auto& [name, size] : sizes) std::fprintf(stderr, "size %s %zu\n", name, size);
  if (zone_failover_) {
    for (const std::string& line : zone_failover_->StatusLines(loop_.Now()))
      std::fprintf(stderr, "%s\n", line.c_str());
  }
  std::fflush(stderr);
}

}  // namespace cluster_manager
