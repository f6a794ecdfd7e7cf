// The one seam between the program and the kernel: every system call of the socket path passes here and is
// counted by name. What libev calls by itself (epoll) is counted by the counting build alone.
#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>

namespace willowrail::sys {

// One call a line.
// clang-format off
#define WILLOWRAIL_CALLS(X) \
  X(socket) \
  X(connect) \
  X(accept) \
  X(recv) \
  X(send) \
  X(shutdown) \
  X(close) \
  X(setsockopt) \
  X(getsockopt) \
  X(ioctl)
// clang-format on

struct Calls {
#define X(name) std::uint64_t name = 0;
  WILLOWRAIL_CALLS(X)
#undef X
  void Print(std::FILE* to) const {
#define X(name) std::fprintf(to, "call %s %llu\n", #name, static_cast<unsigned long long>(name));
    WILLOWRAIL_CALLS(X)
#undef X
  }
};

inline Calls calls;  // one process, one thread

inline int Socket(int domain, int type, int protocol) {
  ++calls.socket;
  return ::socket(domain, type, protocol);
}
inline int Connect(int socket, const sockaddr* to, socklen_t size) {
  ++calls.connect;
  return ::connect(socket, to, size);
}
inline int Accept(int socket, int flags) {
  ++calls.accept;
  return ::accept4(socket, nullptr, nullptr, flags);
}
inline ssize_t Recv(int socket, void* to, std::size_t size) {
  ++calls.recv;
  return ::recv(socket, to, size, 0);
}
inline ssize_t Send(int socket, const void* from, std::size_t size) {
  ++calls.send;
  return ::send(socket, from, size, MSG_NOSIGNAL);
}
inline ssize_t Gather(int socket, iovec* parts, std::size_t count) {
  ++calls.send;
  msghdr message{};
  message.msg_iov = parts;
  message.msg_iovlen = count;
  return ::sendmsg(socket, &message, MSG_NOSIGNAL);
}
inline int Shutdown(int socket, int how) {
  ++calls.shutdown;
  return ::shutdown(socket, how);
}
inline int Close(int socket) {
  ++calls.close;
  return ::close(socket);
}
inline int SetOption(int socket, int level, int option, int value) {
  ++calls.setsockopt;
  return ::setsockopt(socket, level, option, &value, sizeof value);
}
inline int GetOption(int socket, int level, int option, int* value) {
  ++calls.getsockopt;
  socklen_t size = sizeof *value;
  return ::getsockopt(socket, level, option, value, &size);
}
inline int Unread(int socket, int* bytes) {
  ++calls.ioctl;
  return ::ioctl(socket, FIONREAD, bytes);
}
// Bytes that the socket has taken and its peer has no room for.
inline int Unsent(int socket, int* bytes) {
  ++calls.ioctl;
  return ::ioctl(socket, SIOCOUTQNSD, bytes);
}

}  // namespace willowrail::sys
