// What the discovery services of the tests have in common: reading a client's call, and noticing its end.
#pragma once

#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <string>
#include <string_view>

namespace cluster_manager::story {

// Appends what has arrived on `socket` to `request`; true once the head of the request is complete. Does not
// wait.
inline bool ReadCallHead(int socket, std::string* request) {
  char bytes[1024];
  const ssize_t received = ::recv(socket, bytes, sizeof bytes, MSG_DONTWAIT);
  if (received > 0) request->append(bytes, static_cast<std::size_t>(received));
  return request->find("\r\n\r\n") != std::string::npos;
}

// The last event that the client has; 0 where the request names none.
inline int LastEventId(const std::string& request) {
  constexpr std::string_view kHeader = "Last-Event-ID: ";
  const std::size_t at = request.find(kHeader);
  return at == std::string::npos ? 0 : std::atoi(request.c_str() + at + kHeader.size());
}

// Whether the client has closed the connection.
inline bool HasEnded(int socket) {
  char byte = 0;
  const ssize_t received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace cluster_manager::story
