// The directory of this deployment: reads the bulletin's server-sent events over HTTP.
#pragma once

#include <http_parser.h>

#include <memory>
#include <string>
#include <string_view>

#include "config/config.h"
#include "discovery/roster.h"
#include "dispatch/ports.h"
#include "net/connection.h"
#include "net/counters.h"

namespace cluster_manager {

class EndpointListWatcher final : public DiscoveryPort, public Connection::Handler {
 public:
  // Why a stream is given up: what counts it, and what the log says.
  struct Failure {
    std::uint64_t Counters::*counter;
    const char* text;
  };

  EndpointListWatcher(EventLoop* loop, const Config& config, DiscoveryEvents* events);

  // Tells the engine the list of the configuration, as it was known at the start. Where changes arrive
  // unasked, reads on by itself from here.
  void PublishKnownList(const nlohmann::json& known);
  // A new configuration: from now on the bulletin is read there, from the last event on, and what the
  // configuration knows beyond that is told at once.
  void SwitchTo(const sockaddr_in& address, const nlohmann::json& known);

  std::size_t size() const { return roster_.size(); }
  bool Lists(std::string_view uid) const { return roster_.Lists(uid); }
  // The list is being read: something of it came just now, and nothing says that the way is broken.
  bool live() const { return told_ && connection_ != nullptr && connection_->up(); }

  void Subscribe(bool active) override;
  void Fetch() override;

 private:
  void OnUp(Connection& connection) override;
  std::size_t OnData(Connection& connection, std::string_view data) override;
  void OnEnd(Connection& connection, Ending ending) override;

  void Connect();
  void Reconnect();
  void AwaitMore();
  void BreakUnlessUnread(const Failure& failure);
  void BreakAs(const Failure& failure);
  void Break(const char* why);
  void Body(std::string_view piece);
  void LineIn(std::string_view line);
  void EventIn();
  void TakeKnown(const nlohmann::json& known, EndpointList::Gap gap);
  void SignOfLife();
  void AnswerCall();
  bool MayRetry();
  void PassOver(const EndpointList::Change& change);
  void Complain(const std::string& text);
  void ComplainOfEntries(std::int64_t event, const EndpointList::Change& change);
  void Tell(scheduling::EndpointListUpdate kind, const EndpointList::Change& change);

  EventLoop* loop_;
  sockaddr_in address_;
  std::string host_;
  DiscoveryEvents* events_;
  EndpointList roster_;
  const bool unasked_;   // changes arrive without a call, and failures are nobody's
  bool wanted_ = false;  // the list is to be read
  bool asked_ = false;   // a call waits for its answer
  Time retried_at_ = 0;  // when what followed an event could not be used, and was called for again
  std::int64_t retried_after_ = -1;  // the number of that event
  Time complained_at_ = 0;

  // Of the connection at hand; Connect sets all of it anew, so that nothing of an old stream is left.
  std::unique_ptr<Connection> connection_;
  http_parser parser_{};
  bool told_ = false;              // a comment or event has come: what is beyond `known` comes with it
  const char* failure_ = nullptr;  // why what came in cannot be read
  bool retry_ = false;             // the events from the last one taken on are to be called for again
  std::string line_, data_;        // they outlive the buffer they came in
  Time alive_ = 0;                 // when a comment or event came last
  Handle silence_ = 0;

  http_parser_settings callbacks_{};
  Handle again_ = 0;
};

}  // namespace cluster_manager
