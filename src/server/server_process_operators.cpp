// What operators ask of the process, and the files through which two processes of one cluster manager share
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

// The paths of the shared files, one for each suffix; none where the platform sets no TMPDIR. Bytes of the
// name that no file name may hold are replaced.
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
      {.relayed = counters.attempts_sent,
       .open_requests = dispatcher_.unanswered_request_count() + dispatcher_.RunningTaskCount(),
       .registry_entries = endpoint_list_.size(),
       .out_of_rotation = dispatcher_.excluded_node_count(),
       .cfg_accepted = counters.reloads,
       .cfg_invalid = counters.reloads_refused});
}

bool ServerProcess::Suspend(std::string_view node_uid) {
  if (!endpoint_list_.Lists(node_uid)) return false;
  SetSuspended(std::string(node_uid), true);
  return true;
}

bool ServerProcess::Resume(std::string_view node_uid) {
  if (!endpoint_list_.Lists(node_uid) && !suspensions_.IsSuspended(std::string(node_uid))) return false;
  SetSuspended(std::string(node_uid), false);
  return true;
}

// Takes effect here at once; another process, during a handover, learns it from the file.
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
  if (phase_ == Phase::kDraining) Log("active again, by an operator");
  Advance(LifecycleEvent::kActivate);
  return true;
}

void ServerProcess::OpenSharedFiles() {
  const std::vector<std::string> paths = SharedFilePaths(config_.name, {"rotation", "handover"});
  if (paths.empty() || !(config_.admin || HasInheritedSocket())) return;
  shared_files_.emplace(paths, kFilePollInterval, loop_.Waker([this] { OnSharedFileUpdates(); }));
  for (const SharedFileMonitor::FileUpdate& update : shared_files_->TakeUpdates()) {
    // A handover that was written before the start was meant for an earlier process; suspensions still hold.
    if (update.file == kSuspensionsFile && config_.admin)
      suspensions_.ApplyText(*update.text, 0, loop_.Now());
  }
  // Another process of this cluster manager can run beside this one only where the socket is inherited.
  if (HasInheritedSocket()) shared_files_->WatchForChanges();
}

// Every failure is counted, the first one is logged.
void ServerProcess::ReportWriteError(int error) {
  if (error == 0) return;
  ++counters.shared_file_failures;
  if (std::exchange(write_error_logged_, true)) return;
  Log("what the next process is to know cannot be written down, it holds here alone: %s",
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
      TakeOver(ParseHandover(*update.text));
    }
  }
}

}  // namespace cluster_manager
