#include "shared_file/shared_file_monitor.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <utility>

namespace cluster_manager {

SharedFileMonitor::SharedFileMonitor(const std::vector<std::string>& paths,
                                     std::chrono::milliseconds poll_interval, std::function<void()> wake)
    : poll_interval_(poll_interval), wake_(std::move(wake)) {
  for (const std::string& path : paths) files_.push_back({SharedFile(path), std::nullopt, std::nullopt});
  for (std::size_t i = 0; i < files_.size(); ++i) {
    if (auto text = files_[i].file.ReadIfChanged()) files_[i].update = FileUpdate{i, std::move(text), 0, 0};
  }
}

void SharedFileMonitor::WatchForChanges() { StartThread(); }

void SharedFileMonitor::StartThread() {
  if (thread_.joinable()) return;
  // The new thread inherits a mask that blocks all signals: only the event loop's thread handles them.
  sigset_t all_signals;
  sigset_t previous_mask;
  sigfillset(&all_signals);
  pthread_sigmask(SIG_SETMASK, &all_signals, &previous_mask);
  thread_ = std::thread([this] { RunThread(); });
  pthread_sigmask(SIG_SETMASK, &previous_mask, nullptr);
}

void SharedFileMonitor::RequestChange(std::size_t file, std::uint64_t number, SharedFile::Change change) {
  {
    const std::lock_guard lock(mutex_);
    files_[file].requested = RequestedChange{number, std::move(change)};
  }
  StartThread();
  work_available_.notify_one();
}

std::vector<SharedFileMonitor::FileUpdate> SharedFileMonitor::TakeUpdates() {
  const std::lock_guard lock(mutex_);
  std::vector<FileUpdate> updates;
  for (MonitoredFile& file : files_) {
    if (file.update) updates.push_back(*std::exchange(file.update, std::nullopt));
  }
  return updates;
}

void SharedFileMonitor::Finish() {
  if (!thread_.joinable()) return;
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  work_available_.notify_one();
  thread_.join();
}

// --- On the thread ---------------------------------------------------------------------------------------
void SharedFileMonitor::RunThread() {
  bool stop = false;
  while (!stop) {
    stop = WaitForWork();
    for (std::size_t i = 0; i < files_.size(); ++i) {
      if (const std::optional<RequestedChange> requested = TakeRequested(i)) {
        MakeChange(i, *requested);
      } else if (!stop) {
        CheckForChange(i);
      }
    }
  }
}

bool SharedFileMonitor::WaitForWork() {
  std::unique_lock lock(mutex_);
  work_available_.wait_for(lock, poll_interval_, [this] {
    return stop_ ||
           std::ranges::any_of(files_, [](const MonitoredFile& file) { return file.requested.has_value(); });
  });
  return stop_;
}

std::optional<SharedFileMonitor::RequestedChange> SharedFileMonitor::TakeRequested(std::size_t file) {
  const std::lock_guard lock(mutex_);
  return std::exchange(files_[file].requested, std::nullopt);
}

void SharedFileMonitor::MakeChange(std::size_t file, const RequestedChange& requested) {
  std::optional<std::string> text = files_[file].file.Replace(requested.change);
  const int error = text ? 0 : errno;
  const std::uint64_t written = error == 0 ? requested.number : 0;
  PublishUpdate({file, std::move(text), written, error});
}

void SharedFileMonitor::CheckForChange(std::size_t file) {
  std::optional<std::string> text = files_[file].file.ReadIfChanged();
  if (text) PublishUpdate({file, std::move(text), 0, 0});
}

// Replaces a pending update, but keeps its text and the number of its last written change where the new
// update has none.
void SharedFileMonitor::PublishUpdate(FileUpdate update) {
  bool is_first = false;
  {
    const std::lock_guard lock(mutex_);
    is_first =
        std::ranges::none_of(files_, [](const MonitoredFile& file) { return file.update.has_value(); });
    std::optional<FileUpdate>& pending = files_[update.file].update;
    if (pending && !update.text) update.text = std::move(pending->text);
    if (pending && update.written == 0) update.written = pending->written;
    pending = std::move(update);
  }
  if (is_first) wake_();
}

}  // namespace cluster_manager
