// The side of a cluster manager that clients see: accepts their connections, reads requests, releases and
// health checks, and writes answers and task completions.
//
// Owns the listening socket, the client connections and the queue of completions that no client has confirmed
// yet. ServerProcess constructs and steers it, Dispatcher calls it through ClientPort and is called back
// through ClientEvents. Everything runs on the thread of the event loop. Bounds: SetDescriptorLimit for the
// connections, kMaxUnansweredRequests for requests on one of them, CompletionQueue::kMaxEntries.
//
// The parts: client_frontend.cpp accepts, times out and closes connections; client_admission.cpp the accept
// mode, draining and eviction; client_messages.cpp what clients send; client_replies.cpp answers to requests;
// client_completions.cpp the choice of a connection for a completion.
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

class ClientFrontend final : public ClientPort, public Connection::Handler {
 public:
  // All pointers and `classes` must outlive the frontend. Throws where the address cannot be listened on.
  ClientFrontend(EventLoop* loop, const Config& config, const ClassTable& classes, ClientEvents* events);
  // Takes the largest resources of a request from the settings in force; to be called after they change.
  void UpdateRequestLimits() { parser_.UpdateLimits(); }

  sockaddr_in address() const { return listener_.address(); }
  // `descriptors`: how many the process may hold. Clients get five eighths of them, nodes most of the rest.
  void SetDescriptorLimit(int descriptors);
  // How clients are served.
  //   kStarting      health checks fail, all else is as with kOpen
  //   kOpen          health checks pass, connections stay as long as clients keep them
  //   kDraining      by an operator: health checks fail, quiet connections are closed, new ones are served
  //   kHandingOver   another process serves at this address from now on: no connection is accepted any more,
  //                  health checks pass, as the cluster manager is ready, and quiet connections are closed
  //   kShuttingDown  a planned restart: health checks fail, all else goes on until CloseAllGracefully()
  enum class AcceptMode { kStarting, kOpen, kDraining, kHandingOver, kShuttingDown };
  void SetAcceptMode(AcceptMode accept_mode);
  AcceptMode accept_mode() const { return accept_mode_; }
  void Resume() { listener_.Resume(); }  // an inherited socket: accepts from now on
  // Accepts all that had connected by the time of the call; false where descriptors ran out before.
  bool AcceptAll() { return listener_.AcceptAll(); }
  void StopListening() { listener_.Close(); }
  // Whether nothing is left to read, to write or to be acknowledged by a peer, and no completion is pending
  // that a connected client could take.
  bool IsQuiescent();
  // Closes this side of every connection; what is queued is still written.
  void CloseAllGracefully();
  std::size_t size() const { return connections_.size(); }  // connections
  std::size_t queued_completions() const { return completions_.size(); }
  // The completions that are pending; `all`: also those sent and not confirmed. Oldest first.
  std::vector<std::pair<TaskId, TaskEnd>> RemainingCompletions(bool all) const;

  void SendAccepted(Handle client_connection, TaskId id, std::string_view description) override;
  void SendRejected(Handle client_connection, TaskId id, Time stay_away) override;
  void SendFailed(Handle client_connection, TaskId id, TaskEnd over) override;
  void SendCompletion(Handle client_connection, TaskId id, TaskEnd over) override;
  void SendMigration(Handle client_connection, TaskId id) override;
  void SetTaskRunning(Handle client_connection, bool running) override;
  bool IsClientWaiting(Handle client_connection, std::uint64_t* read_by) override;

 private:
  // kRejected: answered with an error. kProtocolError: the connection is closed.
  enum class RequestResult { kHandled, kRejected, kProtocolError };

  // --- Connections
  void OnAccepted(int socket);
  std::size_t OnData(Connection& transport, std::string_view data) override;
  void OnClosed(Connection& transport, CloseReason ending) override;
  void CheckTimeouts();
  void CloseGracefully(Handle handle, Connection::InputMode rest = Connection::InputMode::kContinueReading);
  void Remove(Handle handle);
  bool HasUnreadInput(ClientConnection* client);

  // --- Draining and eviction
  void EvictConnection();
  Handle FindEvictionVictim();
  void CloseQuietConnections();
  void SelectCompletionConnection();
  bool IsEmptying() const;

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
  Connection* TakeReplyConnection(Handle client_connection, TaskId id);
  ClientConnection* FindOriginConnection(const CompletionQueue::Completion& completion);
  ClientConnection* FindBestConnection(Handle excluded);
  void MarkServed(ClientConnection* client);
  bool TrySendCompletion(const CompletionQueue::Completion& completion);
  CompletionQueue::Delivery DeliveryOf(const CompletionQueue::Completion& completion);
  void WriteCompletion(const CompletionQueue::Completion& completion, ClientConnection* client);
  void QueueCompletion(Handle client_connection, protocol::Type type, TaskId id, protocol::Cause cause);
  void SendPendingCompletions();

  EventLoop* loop_;
  RequestParser parser_;
  std::size_t max_connections_ = 0;
  ClientEvents* events_;
  SlotTable<ClientConnection> connections_;
  CompletionQueue completions_;
  bool send_scheduled_ = false;  // SendPendingCompletions is due after a connection was lost
  AcceptMode accept_mode_ = AcceptMode::kStarting;
  Handle quiet_check_ = 0;  // the timer of CloseQuietConnections; 0: not set
  // Kept open for completions while others are closed, and takes no new request; 0: none.
  Handle completion_connection_ = 0;
  Listener listener_;
};

}  // namespace cluster_manager
