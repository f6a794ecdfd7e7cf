// The admin API: HTTP/1.1 on an address for operators, one call on each connection, answered in the iteration
// of the event loop in which the call is complete. Owned by ServerProcess; used on the event loop's thread.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <optional>
#include <string_view>

#include "admin/calls.h"
#include "admin/operator_calls.h"
#include "admin/request.h"
#include "containers/slot_table.h"
#include "net/connection.h"
#include "net/listener.h"

namespace cluster_manager {

class Admin final : public Connection::Handler {
 public:
  // Connections that are kept while more arrive, each with a descriptor; the listener has one more.
  static constexpr std::size_t kMaxConnections = 32;

  // `loop` and `operations` must outlive this object. Throws std::runtime_error where the address cannot be
  // listened on.
  Admin(EventLoop* loop, const sockaddr_in& address, OperatorCalls* operations);
  ~Admin();
  Admin(const Admin&) = delete;
  Admin& operator=(const Admin&) = delete;

  sockaddr_in address() const { return address_; }
  std::size_t size() const { return callers_.size(); }  // connections
  // Stops listening and closes idle connections. Calls that have begun to arrive are still answered.
  void Close();

 private:
  struct Caller {
    std::unique_ptr<Connection> connection;
    std::uint64_t number = 0;  // in the order of accepting
    admin::Request request;
    bool answered = false;
    Handle deadline = 0;  // for the complete call, then for reading the answer
  };

  void OnAccepted(int socket);
  std::size_t OnData(Connection& connection, std::string_view data) override;
  void OnClosed(Connection& connection, CloseReason reason) override;
  void Answer(Handle handle, const admin::Reply& reply);
  void OnCallTimeout(Handle handle);
  void EvictOne();
  void Remove(Handle handle);

  EventLoop* loop_;
  OperatorCalls* operations_;
  SlotTable<Caller> callers_;
  std::uint64_t last_number_ = 0;
  std::optional<Listener> listener_;
  sockaddr_in address_;
};

}  // namespace cluster_manager
