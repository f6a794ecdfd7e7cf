// The front end of a cluster manager for its clients: accepts their connections, reads requests, releases and
// health checks, and writes replies and task completions.
//
// Owns the listening socket, the client connections and the queue of unconfirmed completions. ServerProcess
// constructs and controls it; Dispatcher calls it through ClientPort and is called back through ClientEvents.
// Everything runs on the thread of the event loop. Bounds: SetDescriptorLimit for the connections,
// kMaxUnansweredRequests for the requests on one connection, CompletionQueue::kMaxEntries for completions.
//
//   client_frontend.cpp      accepting, time-outs, closing of connections
//   client_admission.cpp     accept mode, draining, eviction
//   client_messages.cpp      messages from clients
//   client_replies.cpp       replies to requests
//   client_completions.cpp   completions and the choice of a connection for them
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "clients/client_connection.h"
#include "clients/request_parser.h"
#include "completion/completion_queue.h"
#include "config/config.h"
#include "containers/slot_table.h"
#include "dispatch/ports.h"
#include "net/connection.h"
#include "net/listener.h"
#include "protocol/message.h"
#include "request_classes/class_table.h"

namespace cluster_manager {

// All methods are called on the thread of the event loop.
class ClientFrontend final : public ClientPort, public Connection::Handler {
 public:
  // All pointers and `classes` must outlive the frontend. Throws if listening on the address fails.
  ClientFrontend(EventLoop* loop, const Config& config, const ClassTable& classes, ClientEvents* events);
  // Applies the resource limits for requests of the settings in force. To be called after each change of
  // them.
  void UpdateRequestLimits() { parser_.UpdateLimits(); }

  sockaddr_in address() const { return listener_.address(); }
  // `descriptors`: the limit for the process. Clients get five eighths of it, nodes most of the rest.
  void SetDescriptorLimit(int descriptors);
  // How connections are accepted and served.
  //   kStarting      health checks fail, otherwise as kOpen
  //   kOpen          health checks pass, connections stay open as long as clients keep them
  //   kDraining      requested by an operator: health checks fail, idle connections are closed, new ones are
  //                  accepted and served
  //   kHandingOver   another process of this cluster manager serves the address from now on: no connections
  //                  are accepted any more, health checks pass, idle connections are closed
  //   kShuttingDown  planned restart: health checks fail, otherwise as kOpen until CloseAllGracefully()
  enum class AcceptMode { kStarting, kOpen, kDraining, kHandingOver, kShuttingDown };
  void SetAcceptMode(AcceptMode accept_mode);
  AcceptMode accept_mode() const { return accept_mode_; }
  void ResumeAccepting() { listener_.Resume(); }  // starts accepting on an inherited socket
  // Accepts all connections that are waiting at the time of the call. False if descriptors ran out before.
  bool AcceptAll() { return listener_.AcceptAll(); }
  void StopListening() { listener_.Close(); }
  // Whether nothing is left to read, to write or to be acknowledged by a peer, and no pending completion
  // could be sent to a connected client.
  bool IsQuiescent();
  // Closes this side of every connection once its queued bytes are written.
  void CloseAllGracefully();
  // The same for all but one, on which completions can still be sent; new requests on it are rejected. The
  // listener must have been closed.
  void CloseAllButOne();
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t queued_completions() const { return completions_.size(); }
  // The pending completions, oldest first; with `all` also those that were sent and not confirmed.
  std::vector<std::pair<TaskId, TaskEnd>> RemainingCompletions(bool all) const;

  // ClientPort; see there.
  void SendAccepted(Handle client_connection, TaskId id, std::string_view description) override;
  void SendRejected(Handle client_connection, TaskId id, Time retry_after) override;
  void SendFailed(Handle client_connection, TaskId id, TaskEnd task_end) override;
  void SendCompletion(Handle client_connection, TaskId id, TaskEnd task_end) override;
  void SendMigration(Handle client_connection, TaskId id) override;
  void SetTaskRunning(Handle client_connection, bool running) override;
  bool IsClientWaiting(Handle client_connection, std::uint64_t* read_by) override;

 private:
  // kRejected: the reply is an error. kProtocolError: the connection is closed.
  enum class RequestResult { kHandled, kRejected, kProtocolError };

  // --- Connections
  void OnAccepted(int socket);
  std::size_t OnData(Connection& transport, std::string_view data) override;
  void OnClosed(Connection& transport, CloseReason ending) override;
  void CheckTimeouts();
  void CloseGracefully(Handle handle, Connection::InputMode rest = Connection::InputMode::kContinueReading);
  void RemoveConnection(Handle handle);
  bool HasUnreadInput(ClientConnection* client);

  // --- Draining and eviction
  void EvictConnection();
  Handle FindEvictionVictim();
  void CloseIdleConnections();
  void SelectCompletionConnection();
  bool ClosesIdleConnections() const;

  // --- Messages
  bool HandleMessage(Connection& transport, const protocol::Message& message);
  void HandleMessageWhileClosing(Handle handle, const protocol::Message& message);
  bool HandleRequestMessage(Connection& transport, const protocol::Message& message);
  void HandleHealthCheck(Connection& transport, TaskId id);
  void HandleConfirmation(Handle handle, TaskId id);
  RequestResult HandleRequest(Handle handle, const protocol::Message& message);
  RequestResult HandleRunningTask(Handle handle, TaskRequest request);
  RequestResult HandleNewRequest(Handle handle, TaskRequest request);

  // --- Replies and completions
  Connection* FinishRequest(Handle client_connection, TaskId id);
  ClientConnection* FindRequestConnection(const CompletionQueue::Completion& completion);
  ClientConnection* FindBestConnection(Handle excluded);
  void MarkServed(ClientConnection* client);
  bool TrySendCompletion(const CompletionQueue::Completion& completion);
  CompletionQueue::Delivery GetDelivery(const CompletionQueue::Completion& completion);
  void WriteCompletion(const CompletionQueue::Completion& completion, ClientConnection* client);
  void QueueCompletion(Handle client_connection, protocol::Type type, TaskId id, protocol::Cause cause);
  void SendPendingCompletions();

  EventLoop* loop_;
  RequestParser parser_;
  std::size_t max_connections_ = 0;
  ClientEvents* events_;
  SlotTable<ClientConnection> connections_;
  CompletionQueue completions_;
  bool send_scheduled_ = false;  // SendPendingCompletions is scheduled after the loss of a connection
  AcceptMode accept_mode_ = AcceptMode::kStarting;
  Handle idle_check_timer_ = 0;  // of CloseIdleConnections; 0: not set
  // Kept open for completions while draining and at the end, without accepting new requests; 0: none.
  Handle completion_connection_ = 0;
  Listener listener_;
};

}  // namespace cluster_manager
