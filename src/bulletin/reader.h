// The directory of this deployment: reads the bulletin's server-sent events over HTTP.
#pragma once

#include <http_parser.h>

#include <memory>
#include <string>
#include <string_view>

#include "bulletin/roster.h"
#include "config/config.h"
#include "engine/ports.h"
#include "net/connection.h"

namespace willowrail {

class BulletinReader final : public Directory, public Connection::Handler {
 public:
  BulletinReader(Loop* loop, const Config& config, DirectoryEvents* events);

  // Tells the engine the list of the configuration, as it was known at the start. Where changes arrive
  // unasked, reads on by itself from here.
  void TellKnown(const nlohmann::json& known);
  // A new configuration: from now on the bulletin is read there, from the last event on, and what the
  // configuration knows beyond that is told at once.
  void MoveTo(const sockaddr_in& address, const nlohmann::json& known);

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
  void Hear();
  void Break(const char* why);
  void Body(std::string_view piece);
  void LineIn(std::string_view line);
  void EventIn();
  void AnswerCall();
  void Tell(passbridge::RosterKind kind, const Roster::Change& change);

  Loop* loop_;
  sockaddr_in address_;
  std::string host_;
  DirectoryEvents* events_;
  Roster roster_;
  const bool unasked_;   // changes arrive without a call, and failures are nobody's
  bool asked_ = false;   // a call waits for its answer
  bool told_ = false;    // a word of the stream has come: what it has beyond `known` comes with it
  bool failed_ = false;  // what came in cannot be read
  std::unique_ptr<Connection> connection_;
  http_parser parser_{};
  http_parser_settings callbacks_{};
  std::string line_, data_;  // they outlive the buffer they came in
  Time heard_ = 0;
  Handle silence_ = 0, again_ = 0;
};

}  // namespace willowrail
