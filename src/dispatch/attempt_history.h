// What is known of requests that have ended here and may have run, by the ids of their tasks. A client whose
// connection has ended may send the same request again on another one, with the answer to the first unread or
// never sent; its earlier attempts count as attempts of the new request.
//
// Owned by Dispatcher and used on its thread. Bounds: each entry is kept for kRetention, on a monotonic
// clock, and there are at most kMaxEntries, of which the oldest is dropped first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "containers/hash.h"
#include "dispatch/ports.h"

namespace cluster_manager {

// The attempts of a request of which at least one may have run.
struct RecordedAttempts {
  scheduling::EarlierAttempts attempts;
  PeerId first_peer = 0;  // the process of the first attempt that may have run
};

class AttemptHistory {
 public:
  // Longer than a client waits for an answer, and than any key is valid.
  static constexpr Time kRetention = 30 * kSecond;
  static constexpr std::size_t kMaxEntries = 16'384;  // about 100 bytes each

  // Adds or replaces the attempts for the task. `span`: monotonic time.
  void Add(TaskId task, const RecordedAttempts& attempts, Time span);
  // The attempts recorded for the task; empty if there are none.
  std::optional<RecordedAttempts> Find(TaskId task, Time span);
  std::size_t size() const { return by_task_.size(); }

 private:
  struct Entry {
    RecordedAttempts attempts;
    Time added_at = 0;
  };
  struct Position {
    TaskId task = 0;
    Time added_at = 0;
  };

  void DropExpired(Time span);

  NumberMap<TaskId, Entry> by_task_;
  std::deque<Position> order_;  // oldest first; an older position of a replaced entry has no effect
};

}  // namespace cluster_manager
