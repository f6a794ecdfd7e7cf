// A listening TCP socket that accepts connections on the event loop. Where descriptors run out, accepting
// pauses and is tried again; nothing is lost. Used on the event loop's thread only.
#pragma once

#include <ev.h>
#include <netinet/in.h>

#include <functional>

#include "net/loop.h"

namespace cluster_manager {

class Listener {
 public:
  // Listens on `address` and accepts from now on. Throws NetworkError where the address cannot be listened
  // on. Listeners of a higher priority (libev's: EV_MINPRI to EV_MAXPRI) accept first in an iteration of the
  // loop.
  Listener(EventLoop* loop, const sockaddr_in& address, std::function<void(int socket)> on_accepted,
           int priority = 0);
  // Takes over a socket that is listening already. Several processes may share one; a queued connection goes
  // to the process that accepts it. Accepts nothing before Resume(). Throws NetworkError where the descriptor
  // is not a listening socket.
  Listener(EventLoop* loop, int listening, std::function<void(int socket)> on_accepted);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  sockaddr_in address() const;
  void Resume();  // accepts from now on
  // Accepts every connection that is in the accept queue at the time of the call; false where descriptors ran
  // out before.
  bool AcceptAll();
  // Closes the socket. Queued connections are reset, unless another process shares the socket.
  void Close();

 private:
  void InitWatcher(int priority);
  enum class AcceptResult { kAccepted, kQueueEmpty, kFailed };
  AcceptResult AcceptOne();
  void Accept();

  EventLoop* loop_;
  std::function<void(int)> on_accepted_;
  int socket_ = -1;
  ev_io io_;
  Handle retry_timer_ = 0;
};

}  // namespace cluster_manager
