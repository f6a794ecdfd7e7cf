// Accepts connections. Running out of descriptors pauses accepting, it ends nothing.
#pragma once

#include <ev.h>
#include <netinet/in.h>

#include <functional>

#include "net/loop.h"

namespace willowrail {

class Listener {
 public:
  // Throws std::runtime_error where the address cannot be listened on.
  Listener(Loop* loop, const sockaddr_in& address, std::function<void(int socket)> accepted);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  sockaddr_in address() const;

 private:
  void Accept();

  Loop* loop_;
  std::function<void(int)> accepted_;
  int socket_;
  ev_io io_;
  Handle retry_ = 0;
};

}  // namespace willowrail
