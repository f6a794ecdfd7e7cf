// Reads the endpoint list from the discovery service. Applies the events to an EndpointList and reports each
// change to the dispatcher (DiscoveryEvents).
//
// A call that is not answered in time is not closed, since a slow service may still answer it; another call
// is made beside it, and the first stream that is established replaces the others. So a service is heard
// however late it answers, while a call that was lost is followed by another one soon. A stream that makes no
// progress is closed and requested again from the last applied event on, with a longer time limit.
//
// Owned by ServerProcess, one in a process. Everything runs on the event loop's thread.
#pragma once

#include <cstddef>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "discovery/endpoint_list.h"
#include "discovery/endpoint_list_stream.h"
#include "dispatch/ports.h"
#include "net/loop.h"

namespace cluster_manager {

class EndpointListWatcher final : public DiscoveryPort, public EndpointListStream::Handler {
 public:
  // `loop` and `events` must outlive this object. No I/O.
  EndpointListWatcher(EventLoop* loop, const Config& config, DiscoveryEvents* events);

  // Reports the list of the configuration as the one known at the start. Where the settings do not ask for
  // discovery by subscription, connects to discovery as well.
  void PublishKnownList(const nlohmann::json& known);
  // Applies a new configuration: later streams are read from `address`, from the last applied event on, and
  // events of `known` that are newer are reported at once.
  void Reconfigure(const sockaddr_in& address, const nlohmann::json& known);

  std::size_t size() const { return endpoint_list_.size(); }
  bool Contains(std::string_view uid) const { return endpoint_list_.Contains(uid); }
  // True while a stream is up, a comment or event has been received on it, and it is not silent.
  bool IsStreamLive() const;

  // DiscoveryPort; called by the dispatcher.
  void Subscribe(bool active) override;
  void Fetch() override;

 private:
  using Streams = std::vector<std::unique_ptr<EndpointListStream>>;

  // EndpointListStream::Handler; see there.
  void OnComment(EndpointListStream& stream) override;
  EndpointListStream::Next OnEvent(EndpointListStream& stream, const std::string& text) override;
  void OnSilent(EndpointListStream& stream) override;
  void OnEnded(EndpointListStream& stream, EndpointListStream::End end) override;

  // Calls and their time limits.
  void Call();
  void CallAfter(Time delay);
  void CallUnlessAwaitingMessage();
  void RemoveSurplusCall();
  Time NextAnswerTimeout();
  bool IsAwaitingMessage() const;
  void Remove(EndpointListStream* stream);
  void RemoveAllBut(const EndpointListStream* kept);
  void ResetTimeLimits();
  // The endpoint list.
  void ApplyKnownEvents(const nlohmann::json& known, EndpointList::GapPolicy gap_policy);
  void RecordActivity(EndpointListStream* stream);
  void ResetStallTimeout(EndpointListStream* stream);
  void ReportNoChangeIfPending();
  bool ShouldRequestAgain();
  void LogSkippedEvent(const EndpointList::Change& change);
  void LogRateLimited(const std::string& text);
  void LogSkippedEntries(std::int64_t event, const EndpointList::Change& change);
  void ReportChange(scheduling::EndpointListUpdate kind, const EndpointList::Change& change);

  EventLoop* loop_;
  sockaddr_in address_;
  DiscoveryEvents* events_;
  EndpointList endpoint_list_;
  const bool always_subscribed_;    // reads the list without Subscribe(), and does not report failures
  bool subscribed_ = false;         // the list is to be read
  bool subscribe_pending_ = false;  // a Subscribe() has not been answered yet
  Time requested_again_at_ = 0;     // when the events after an unusable one were last requested again
  std::int64_t requested_again_after_ = -1;  // the last applied event at that time
  Time last_warning_at_ = 0;

  Streams streams_;  // the open ones, the oldest call first
  Streams closed_;   // to be destroyed once none of their functions is running
  Handle call_timer_ = 0;
  std::mt19937_64 random_;

  // Time limits of the next calls; each grows until a service that is slower than the limit is heard.
  Time answer_timeout_ = 0;
  Time stall_timeout_ = 0;
  Time patience_ = 0;  // how long a call stays open beside an older and a newer one
};

}  // namespace cluster_manager
