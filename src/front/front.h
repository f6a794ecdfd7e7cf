// The owners' side: listens, reads set-ups, gives up, releases and tests, and writes what owners are owed.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "engine/ports.h"
#include "net/connection.h"
#include "net/listener.h"
#include "net/slot_table.h"
#include "proto/message.h"

namespace willowrail {

class Front final : public Owners, public Connection::Handler {
 public:
  Front(Loop* loop, const Config& config, OwnerEvents* events);

  sockaddr_in address() const { return listener_.address(); }
  void Drain() { draining_ = true; }  // tests are no longer passed; all else goes on
  bool idle() const { return owed_releases_.empty(); }

  void Answer(Handle origin, TaskId id, std::string_view description) override;
  void Refuse(Handle origin, TaskId id, Time stay_away) override;
  void Fail(Handle origin, TaskId id, Over over) override;
  void Release(Handle origin, TaskId id, Over over) override;
  void Move(Handle origin, TaskId id) override;

 private:
  struct Owner {
    std::unique_ptr<Connection> connection;
    std::vector<TaskId> open;  // set-ups without an answer
  };
  struct OwedRelease {
    proto::Type type;
    TaskId id;
    proto::Cause cause;
  };

  void Accepted(int socket);
  std::size_t OnData(Connection& connection, std::string_view data) override;
  void OnEnd(Connection& connection, Ending ending) override;
  bool Take(Connection& connection, const proto::Message& message);
  bool TakeSetUp(Connection& connection, const proto::Message& message);
  Connection* Settled(Handle origin, TaskId id);
  Connection* AnyWay(Handle preferred);
  void Send(Handle origin, const OwedRelease& release);

  Loop* loop_;
  const passbridge::Settings& settings_;
  OwnerEvents* events_;
  SlotTable<Owner> owners_;
  std::vector<OwedRelease> owed_releases_;  // no owner was connected when they were due
  bool draining_ = false;
  Listener listener_;
};

}  // namespace willowrail
