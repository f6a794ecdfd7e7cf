// Reads and writes the files that two processes of one cluster manager share, on its own thread, so that
// neither a slow disk nor another process that holds a file's lock delays the event loop. The loop requests
// changes without waiting, and is woken when there are updates.
//
// Bounds: each file has at most one requested change and one pending update; a later one replaces the earlier
// one or is merged with it. Owned by ServerProcess; every public function is called from the event loop's
// thread.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "shared_file/shared_file.h"

namespace cluster_manager {

class SharedFileMonitor {
 public:
  // A change of a file by another process, or the result of a requested change.
  struct FileUpdate {
    std::size_t file = 0;             // its position in the constructor's paths
    std::optional<std::string> text;  // the new text, from another process or from a requested change
    std::uint64_t written = 0;        // requested changes up to this number have been written; 0: no new one
    int error = 0;                    // errno of the last requested change if it failed, else 0
  };

  // Reads all files once before it returns; their texts are the first updates. `wake` is called on the
  // monitor's thread when the first pending update is added. `poll_interval`: how often the files are checked
  // for changes by other processes. The thread starts with the first call of WatchForChanges() or
  // RequestChange().
  SharedFileMonitor(const std::vector<std::string>& paths, std::chrono::milliseconds poll_interval,
                    std::function<void()> wake);
  ~SharedFileMonitor() { Finish(); }
  SharedFileMonitor(const SharedFileMonitor&) = delete;
  SharedFileMonitor& operator=(const SharedFileMonitor&) = delete;

  // From now on changes by other processes are reported as updates. Idempotent.
  void WatchForChanges();
  // Requests a change, which is made on the thread; does not wait for it. It replaces a change of the same
  // file that has not been made yet, so it must include everything that is not known to be written. `number`
  // must be higher than those of earlier changes of this file.
  void RequestChange(std::size_t file, std::uint64_t number, SharedFile::Change change);
  // Returns and removes the pending updates, at most one for each file.
  std::vector<FileUpdate> TakeUpdates();
  // Makes the requested changes and ends the thread. Waits for the disk. Idempotent.
  void Finish();

 private:
  struct RequestedChange {
    std::uint64_t number;
    SharedFile::Change change;
  };
  struct MonitoredFile {
    SharedFile file;                           // used by the thread only, once it runs
    std::optional<RequestedChange> requested;  // under the mutex
    std::optional<FileUpdate> update;          // under the mutex
  };

  void StartThread();
  // The functions below run on the thread.
  void RunThread();
  bool WaitForWork();  // true where the thread is to end
  std::optional<RequestedChange> TakeRequested(std::size_t file);
  void MakeChange(std::size_t file, const RequestedChange& requested);
  void CheckForChange(std::size_t file);
  void PublishUpdate(FileUpdate update);

  const std::chrono::milliseconds poll_interval_;
  const std::function<void()> wake_;
  std::mutex mutex_;
  std::condition_variable work_available_;
  std::vector<MonitoredFile> files_;  // never resized after the constructor
  bool stop_ = false;                 // under the mutex
  std::thread thread_;
};

}  // namespace cluster_manager
