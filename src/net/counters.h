// The event counters of the process since its start; printed on SIGUSR1 and at exit as `counter NAME N`
// lines. Used on the event loop's thread only.
#pragma once

#include <cstdint>
#include <cstdio>

namespace cluster_manager {

// One counter a line; the names are printed.
// clang-format off
#define WILLOWRAIL_COUNTERS(X) \
  X(admin_connections) \
  X(admin_calls) \
  X(admin_refused) \
  X(admin_late) \
  X(admin_left) \
  X(admin_pruned) \
  X(client_connections) \
  X(client_closes) \
  X(client_closed_gracefully) \
  X(client_messages_while_closing) \
  X(client_evictions) \
  X(node_dials) \
  X(node_dials_failed) \
  X(node_dials_over_limit) \
  X(node_connections_evicted) \
  X(node_connections_expired) \
  X(node_resets) \
  X(accept_failed) \
  X(discovery_connects) \
  X(discovery_disconnects) \
  X(discovery_events) \
  X(requests_received) \
  X(tasks_claimed) \
  X(tasks_claimed_again) \
  X(requests_resent) \
  X(requests_returned) \
  X(requests_invalid) \
  X(requests_refused_as_duplicate) \
  X(requests_over_limit) \
  X(client_health_checks_answered) \
  X(client_cancellations) \
  X(client_task_stops) \
  X(client_disconnects_with_open_request) \
  X(client_confirmations) \
  X(zone_reachability_checks) \
  X(completions_known_before_claim) \
  X(acceptances_sent) \
  X(rejections_sent) \
  X(failures_sent) \
  X(completions_sent) \
  X(completions_queued) \
  X(completions_resent) \
  X(completions_assumed_received) \
  X(completions_expired) \
  X(completions_dropped_full) \
  X(migrations_sent) \
  X(attempts_sent) \
  X(attempts_not_sent) \
  X(attempts_retried) \
  X(attempts_rescheduled) \
  X(retries_withheld) \
  X(retries_to_same_process) \
  X(attempt_cancellations_sent) \
  X(task_stops_sent) \
  X(health_checks_sent) \
  X(node_acceptances) \
  X(node_rejections) \
  X(node_task_ends) \
  X(node_task_reports) \
  X(node_replies_unmatched) \
  X(health_check_replies) \
  X(attempts_timed_out) \
  X(attempts_reset) \
  X(attempts_no_connection) \
  X(tasks_lost) \
  X(tasks_presumed_ended) \
  X(orphaned_tasks_stopped) \
  X(tasks_moved_to_address_successor) \
  X(liveness_checks) \
  X(malformed) \
  X(unfinished) \
  X(stuck_writes) \
  X(writes_failed) \
  X(attempts_postponed) \
  X(attempts_recalled) \
  X(bytes_kept) \
  X(bytes_held) \
  X(reloads) \
  X(reloads_refused) \
  X(shared_file_failures) \
  X(discovery_silent) \
  X(discovery_stalled) \
  X(discovery_oversized) \
  X(discovery_retries) \
  X(discovery_gaps) \
  X(discovery_events_invalid) \
  X(discovery_entries_invalid)
// clang-format on

struct Counters {
#define X(name) std::uint64_t name = 0;
  WILLOWRAIL_COUNTERS(X)
#undef X
  void Print(std::FILE* to) const {
#define X(name) std::fprintf(to, "counter %s %llu\n", #name, static_cast<unsigned long long>(name));
    WILLOWRAIL_COUNTERS(X)
#undef X
    std::fflush(to);
  }
};

inline Counters counters;  // of the process

}  // namespace cluster_manager
