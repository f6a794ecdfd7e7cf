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

// Defined by the counting build (bench/counted.cpp) alone: prints what it counted.
__attribute__((weak)) void (*counting_build)(std::FILE* to) = nullptr;

namespace {

// How long a process waits for an endpoint list to serve by. It then serves without one, since no other
// process may be there to serve its clients while the list is out of reach.
constexpr Time kListTimeout = 1500 * kMs;
constexpr Time kReadinessCheckInterval = 5 * kMs;

// Seeds the hash tables before the first of them is filled.
std::uint64_t SeedHashes(std::uint64_t seed) { return hash_seed = seed; }

}  // namespace

ServerProcess::ServerProcess(Files files, Config config)
    : files_(std::move(files)),
      config_(std::move(config)),
      deployment_(zone_failover::DeploymentFromSettings(config_.settings, config_.zones)),
      dispatcher_(&loop_, config_.settings, SeedHashes(config_.seed)),
      node_pool_(&loop_, {config_.dial_timeout, config_.keepalive},
                 SocketsWithoutAdmin(config_.max_descriptors), config_.seed, &dispatcher_),
      endpoint_list_(&loop_, config_, &dispatcher_),
      frontend_(&loop_, config_, dispatcher_.classes(), &dispatcher_) {
  dispatcher_.Connect(&frontend_, &node_pool_, &endpoint_list_);
  LoadZoneFailoverPlan();
  frontend_.SetDescriptorLimit(SocketsWithoutAdmin(config_.max_descriptors));
  node_pool_.SetClientDescriptors([this] { return frontend_.connection_count(); });
  if (config_.admin) dispatcher_.SetSuspensions(&suspensions_);
  OpenSharedFiles();
  endpoint_list_.PublishKnownList(config_.known_list);
  InstallSignalHandlers();
  Log("%s listens on %s", config_.name.c_str(), AddressText(frontend_.address()).c_str());
  if (config_.admin) {
    admin_.emplace(&loop_, *config_.admin, this);
    Log("operators are listened to on %s", AddressText(admin_->address()).c_str());
  }
  EnterPhase(Phase::kStarting);
}

int ServerProcess::SocketsWithoutAdmin(int sockets) const {
  return config_.admin ? sockets - static_cast<int>(Admin::kMost) - 1 : sockets;
}

void ServerProcess::LoadZoneFailoverPlan() {
  if (files_.sites.empty()) return;
  zone_failover_.emplace(zone_failover::LoadPlan(files_.sites, deployment_), deployment_);
  dispatcher_.SetZoneFailover(&*zone_failover_);
  Log("sites: the plan of %s is followed", files_.sites.c_str());
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

// Starts the work of a phase, which may lead on to the next phase before this returns.
void ServerProcess::EnterPhase(Phase phase) {
  switch (phase) {
    case Phase::kStarting:
      frontend_.SetAcceptMode(ClientFrontend::AcceptMode::kStarting);
      CheckReadiness();
      break;
    case Phase::kServing:
      frontend_.SetAcceptMode(ClientFrontend::AcceptMode::kOpen);
      // The accept queue of an inherited socket is served by another process until now.
      frontend_.ResumeAccepting();
      break;
    case Phase::kDraining:
      Log("drained by an operator: %zu requests to settle, %zu tasks stand",
          dispatcher_.unanswered_request_count(), dispatcher_.RunningTaskCount());
      frontend_.SetAcceptMode(ClientFrontend::AcceptMode::kDraining);
      break;
    case Phase::kAcceptingFinalConnections:
      BeginShutdown();
      break;
    case Phase::kAwaitingAnswers:
      BeginAwaitingAnswers();
      break;
    case Phase::kFlushing:
      FlushAndClose();
      break;
    case Phase::kHandingOver:
      BeginHandover();
      break;
    case Phase::kEnded:
      loop_.Stop();
      break;
  }
}

// Decides readiness for clients and operators alike. A process that starts alone can serve by the list that
// its configuration holds. One that takes over from another waits until it hears the list itself: meanwhile
// the old process serves, and knows more.
bool ServerProcess::CanServe() const {
  if (loop_.now() - started_at_ >= kListTimeout) return true;
  return endpoint_list_.size() > 0 && (!HasInheritedSocket() || endpoint_list_.live());
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

// All or nothing: the whole file is checked before any of it takes effect, and the current settings stay
// where it is wrong.
void ServerProcess::ReloadConfig() {
  try {
    const Config fresh = LoadConfigFromEnvironment(&config_.required_shape);
    scheduling::Scheduler(fresh.settings, 0);  // throws where the scheduler cannot work with the settings
    const ClassTable::Change change = dispatcher_.ApplySettings(fresh.settings);
    frontend_.UpdateRequestLimits();
    endpoint_list_.SwitchTo(fresh.discovery, fresh.known_list);
    node_pool_.SetTimeouts({fresh.dial_timeout, fresh.keepalive});
    frontend_.SetDescriptorLimit(SocketsWithoutAdmin(fresh.max_descriptors));
    node_pool_.SetDescriptorLimit(SocketsWithoutAdmin(fresh.max_descriptors));
    ++counters.reloads;
    Log("configuration read again, bulletin at %s, classes: %d new, %d changed, %d dropped",
        AddressText(fresh.discovery).c_str(), change.added, change.changed, change.dropped);
    // The failover plan names classes by their positions, which may have changed.
    deployment_ = zone_failover::DeploymentFromSettings(dispatcher_.classes().settings(), config_.zones);
  } catch (const std::exception& error) {
    ++counters.reloads_refused;
    Log("configuration not read again: %s", error.what());
  }
}

// All or nothing, like the configuration.
void ServerProcess::ReloadZoneFailoverPlan() {
  try {
    zone_failover_->ApplyPlan(zone_failover::LoadPlan(files_.sites, deployment_));
    Log("sites: the plan of %s is followed from now on", files_.sites.c_str());
  } catch (const std::exception& error) {
    Log("sites: the plan was not read again, the one before goes on:\n%s", error.what());
  }
}

void ServerProcess::PrintStatistics() {
  counters.Print(stderr);
  sys::calls.Print(stderr);
  std::fprintf(stderr, "counter bytes_written %llu\n",
               static_cast<unsigned long long>(protocol::bytes_written));
  if (counting_build != nullptr) counting_build(stderr);
  const std::pair<const char*, std::size_t> sizes[] = {{"owed", dispatcher_.unanswered_request_count()},
                                                       {"standing", dispatcher_.RunningTaskCount()},
                                                       {"owners", frontend_.connection_count()},
                                                       {"owed_ends", frontend_.queued_completions()},
                                                       {"listed", dispatcher_.listed_node_count()},
                                                       {"module", dispatcher_.scheduler_entry_count()},
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
