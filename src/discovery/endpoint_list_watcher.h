// Reads the endpoint list from the discovery service: a stream of server-sent events over HTTP/1.1. Applies
// them to an EndpointList and reports each change to the dispatcher (DiscoveryEvents). A stream that is
// silent, stalled or invalid is closed and requested again from the last applied event on.
//
// Owned by ServerProcess, one in a process. Everything runs on the event loop's thread.
#pragma once

#include <http_parser.h>

#include <memory>
#include <string>
#include <string_view>

#include "config/config.h"
#include "discovery/endpoint_list.h"
#include "dispatch/ports.h"
#include "net/connection.h"
#include "net/counters.h"

namespace cluster_manager {

class EndpointListWatcher final : public DiscoveryPort, public Connection::Handler {
 public:
  // Why a stream was closed: the counter to increment and the text of the log line.
  struct Failure {
    std::uint64_t Counters::*counter;
    const char* text;
  };

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
  // True while the stream is up and a comment or event has been received on it.
  bool IsStreamLive() const { return received_activity_ && connection_ != nullptr && connection_->up(); }

  // DiscoveryPort; called by the dispatcher.
  void Subscribe(bool active) override;
  void Fetch() override;

 private:
  // Connection::Handler; see there.
  void OnConnected(Connection& connection) override;
  std::size_t OnData(Connection& connection, std::string_view data) override;
  void OnClosed(Connection& connection, CloseReason reason) override;

  // The connection and its time limits.
  void Connect();
  void Reconnect();
  void RestartSilenceTimer();
  void DisconnectUnlessUnread(const Failure& failure);
  void DisconnectOnFailure(const Failure& failure);
  void Disconnect(const char* reason);
  // The stream and the endpoint list.
  void OnBody(std::string_view bytes);
  void OnLine(std::string_view line);
  void OnEvent();
  void ApplyKnownEvents(const nlohmann::json& known, EndpointList::GapPolicy gap_policy);
  void RecordActivity();
  void ReportNoChangeIfPending();
  bool ShouldRequestAgain();
  void LogSkippedEvent(const EndpointList::Change& change);
  void LogRateLimited(const std::string& text);
  void LogSkippedEntries(std::int64_t event, const EndpointList::Change& change);
  void ReportChange(scheduling::EndpointListUpdate kind, const EndpointList::Change& change);

  EventLoop* loop_;
  sockaddr_in address_;
  std::string host_;
  DiscoveryEvents* events_;
  EndpointList endpoint_list_;
  const bool always_subscribed_;    // reads the list without Subscribe(), and does not report failures
  bool subscribed_ = false;         // the list is to be read
  bool subscribe_pending_ = false;  // a Subscribe() has not been answered yet
  Time requested_again_at_ = 0;     // when the events after an unusable one were last requested again
  std::int64_t requested_again_after_ = -1;  // the last applied event at that time
  Time last_warning_at_ = 0;

  // State of the current connection; Connect() resets all of it, so that nothing of an old stream remains.
  std::unique_ptr<Connection> connection_;
  http_parser parser_{};
  bool received_activity_ = false;         // a comment or an event has been received
  const char* stream_error_ = nullptr;     // why the stream cannot be read on
  bool request_again_ = false;             // the events after the last applied one are to be requested again
  std::string partial_line_, event_data_;  // they outlive the buffer they were received in
  Time last_activity_at_ = 0;              // when a comment or event was last received
  Handle silence_timer_ = 0;

  http_parser_settings callbacks_{};
  Handle reconnect_timer_ = 0;
};

}  // namespace cluster_manager
