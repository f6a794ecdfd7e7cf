// The calls of the admin API, and the files through which two processes of one cluster manager share
// suspensions and handovers.
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <initializer_list>
#include <utility>

#include "net/counters.h"
#include "net/log.h"
#include "server/server_process.h"

namespace cluster_manager {
namespace {

constexpr std::chrono::milliseconds kFilePollInterval{25};

// The paths of the shared files, one for each suffix; empty where TMPDIR is not set. Bytes of the name that a
// file name cannot hold are replaced by '_'.
std::vector<std::string> SharedFilePaths(const std::string& cluster_manager_name,
                                         std::initializer_list<const char*> suffixes) {
  const char* folder = std::getenv("TMPDIR");
  if (folder == nullptr || *folder == '\0') return {};
  std::string file_name = cluster_manager_name;
  std::ranges::replace_if(
      file_name, [](char c) { return c == '/' || c == '\0'; }, '_');
  std::vector<std::string> paths;
  for (const char* suffix : suffixes)
    paths.push_back(std::string(folder) + "/willowrail." + file_name + "." + suffix);
  return paths;
}

}  // namespace

std::string ServerProcess::Metrics() const {
  return dispatcher_.metrics().FormatJson(
      {.attempts_sent = counters.attempts_sent,
       .open_requests = dispatcher_.unanswered_request_count() + dispatcher_.RunningTaskCount(),
       .listed_nodes = endpoint_list_.size(),
       .unavailable_nodes = dispatcher_.excluded_node_count(),
       .reloads_applied = counters.reloads,
       .reloads_rejected = counters.reloads_refused});
}

bool ServerProcess::Suspend(std::string_view node_uid) {
  if (!endpoint_list_.Contains(node_uid)) return false;
  SetSuspended(std::string(node_uid), true);
  return true;
}

bool ServerProcess::Resume(std::string_view node_uid) {
  if (!endpoint_list_.Contains(node_uid) && !suspensions_.IsSuspended(std::string(node_uid))) return false;
  SetSuspended(std::string(node_uid), false);
  return true;
}

// Takes effect in this process at once. During a handover the other process reads it from the shared file.
void ServerProcess::SetSuspended(const std::string& node_uid, bool suspended) {
  const bool changed =
      suspended ? suspensions_.Suspend(node_uid) : suspensions_.Resume(node_uid, loop_.Now());
  if (shared_files_)
    shared_files_->RequestChange(kSuspensionsFile, suspensions_.last_call(), suspensions_.PendingChange());
  if (!changed) return;
  Log("node %s: %s by an operator", node_uid.c_str(), suspended ? "suspended" : "resumed");
  dispatcher_.OnSuspensionChanged(NodeIdFromUid(node_uid));
}

void ServerProcess::Drain() { Advance(LifecycleEvent::kDrain); }

bool ServerProcess::Activate() {
  if (IsStopping(phase_)) return false;
  if (phase_ == Phase::kDraining) Log("drain ended by an operator: accepting connections again");
  Advance(LifecycleEvent::kActivate);
  return true;
}

void ServerProcess::OpenSharedFiles() {
  const std::vector<std::string> paths = SharedFilePaths(config_.name, {"rotation", "handover"});
  if (paths.empty() || !(config_.admin || HasInheritedSocket())) return;
  shared_files_.emplace(paths, kFilePollInterval, loop_.Waker([this] { OnSharedFileUpdates(); }));
  for (const SharedFileMonitor::FileUpdate& update : shared_files_->TakeUpdates()) {
    // A handover that was written before the start was meant for an earlier process. Suspensions still apply.
    if (update.file == kSuspensionsFile && config_.admin)
      suspensions_.ApplyText(*update.text, 0, loop_.Now());
  }
  // Another process of this cluster manager can run at the same time only where the socket is inherited.
  if (HasInheritedSocket()) shared_files_->WatchForChanges();
}

// Counts every failure and logs the first.
void ServerProcess::ReportWriteError(int error) {
  if (error == 0) return;
  ++counters.shared_file_failures;
  if (std::exchange(write_error_logged_, true)) return;
  Log("cannot write a shared file, the next process will not know suspensions and running tasks: %s",
      std::strerror(error));
}

void ServerProcess::OnSharedFileUpdates() {
  for (const SharedFileMonitor::FileUpdate& update : shared_files_->TakeUpdates()) {
    ReportWriteError(update.error);
    if (!update.text) continue;
    if (update.file == kSuspensionsFile && config_.admin) {
      for (const NodeId node : suspensions_.ApplyText(*update.text, update.written, loop_.Now()))
        dispatcher_.OnSuspensionChanged(node);
    } else if (update.file == kHandoverFile && HasInheritedSocket() && !IsStopping(phase_)) {
      ApplyHandover(ParseHandover(*update.text));
    }
  }
}

}  // namespace cluster_manager
