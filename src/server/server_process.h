// One serving cluster manager process: owns the event loop, the client frontend, the dispatcher, the node
// connection pool, the endpoint list watcher, the admin API and the files shared with the process
// that it replaces or is replaced by, and wires them together. Signals and operators' calls drive its
// lifecycle (server/lifecycle.h).
//
// Created and run by Serve(), one in a process. Everything here runs on the thread of the event loop; only
// SharedFileMonitor has a thread of its own.
//
// server_process.cpp: wiring, phases, reload, statistics. server_process_operators.cpp: operators' calls and
// shared files. server_process_shutdown.cpp: stopping with an own socket. server_process_handover.cpp:
// stopping with an inherited socket, and taking over from another process.
#pragma once

#include <csignal>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "admin/admin.h"
#include "admin/operator_calls.h"
#include "clients/client_frontend.h"
#include "config/config.h"
#include "discovery/endpoint_list_watcher.h"
#include "dispatch/dispatcher.h"
#include "handover/handover.h"
#include "net/loop.h"
#include "node_suspension/node_suspensions.h"
#include "nodes/node_connection_pool.h"
#include "server/lifecycle.h"
#include "server/serve.h"
#include "shared_file/shared_file_monitor.h"
#include "zone_failover/zone_failover.h"

namespace cluster_manager {

class ServerProcess final : public OperatorCalls {
 public:
  // The signals that the process handles, from the constructor on.
  static constexpr int kSignals[] = {SIGHUP, SIGTERM, SIGINT, SIGUSR1};

  // Listens, and starts to read the endpoint list. Throws std::exception with a message for operators where
  // the process cannot start.
  ServerProcess(ServerFiles files, Config config);
  // Runs the event loop until the lifecycle reaches kEnded, then completes writes to shared files and prints
  // the statistics to stderr.
  void Run();

  // OperatorCalls; called by Admin on the event loop's thread.
  bool Ready() const override { return phase_ == Phase::kServing; }
  std::string Metrics() const override;
  bool Suspend(std::string_view node_uid) override;
  bool Resume(std::string_view node_uid) override;
  void Drain() override;
  bool Activate() override;

 private:
  // Positions in the list of shared files.
  static constexpr std::size_t kSuspensionsFile = 0;
  static constexpr std::size_t kHandoverFile = 1;

  bool HasInheritedSocket() const { return config_.listen_socket >= 0; }
  // The descriptors, of `sockets`, that are left for clients and nodes beside those of the admin API.
  int DescriptorsWithoutAdmin(int sockets) const;
  void InstallSignalHandlers();
  void LoadZoneFailoverPlan();

  // Applies an event to the lifecycle; false where it is ignored in the current phase.
  bool Advance(LifecycleEvent event);
  void EnterPhase(Phase phase);
  bool CanServe() const;
  void CheckReadiness();

  // Stopping with an own socket.
  void LogStop();
  void BeginShutdown();
  void CloseListener(Time give_up_at);
  void BeginAwaitingAnswers();
  void CheckRequestsAnswered();
  void FlushClients();
  void CloseNodes();
  void CloseLastClient();
  bool PeersHaveClosed() const;
  void AdvanceOncePeersHaveClosed(LifecycleEvent event);

  // Handover between processes that share a socket.
  void BeginHandover();
  void CheckHandoverComplete();
  Time NodesClosedByAtHandover();
  void HandOver();
  Handover CollectHandover(bool with_tasks);
  void PublishHandover(bool with_tasks);
  TaskRequest ToTaskRequest(const HandedOverTask& task) const;
  void ApplyHandover(const Handover& handover);

  // Operators' calls and shared files.
  void SetSuspended(const std::string& node_uid, bool suspended);
  void OpenSharedFiles();
  void OnSharedFileUpdates();
  void ReportWriteError(int error);

  // SIGHUP and SIGUSR1.
  void Reload();
  void ReloadConfig();
  void ReloadZoneFailoverPlan();
  void PrintStatistics();

  const ServerFiles files_;
  const Config config_;
  EventLoop loop_;
  const Time started_at_ = loop_.Now();
  Phase phase_ = Phase::kStarting;  // changed by Advance() alone
  Handle readiness_timer_ = 0;
  Time peer_deadline_ = 0;  // kAwaitingAnswers: peers are waited for until then
  Time exit_by_ = 0;        // with an own socket: SIGKILL may come from then on
  Time flushed_by_ = 0;     // kFlushing and later: clients have time to read the last bytes until then
  Time closed_by_ = 0;      // kFlushing and later: the peers of the phase are waited for until then
  Time handover_by_ = 0;    // kHandingOver: SIGKILL may come from then on
  zone_failover::Deployment deployment_;
  std::optional<zone_failover::ZoneFailover> zone_failover_;  // present where a plan is given
  NodeSuspensions suspensions_{NodeIdFromUid};
  std::set<TaskId> applied_completions_;  // of the handovers read so far; each is applied once
  std::string published_handover_;        // the last published text
  std::uint64_t handover_number_ = 0;     // the number of the change that published it
  bool write_error_logged_ = false;
  Dispatcher dispatcher_;
  NodeConnectionPool node_pool_;
  EndpointListWatcher endpoint_list_;
  ClientFrontend frontend_;
  std::optional<Admin> admin_;
  // Absent where no other process can run beside this one and there are no suspensions to store. Must be the
  // last member: its thread wakes the loop, so it has to end before the loop is destroyed.
  std::optional<SharedFileMonitor> shared_files_;
};

}  // namespace cluster_manager
