// The one seam between the program and the kernel: every system call of the socket path passes here and is
// counted by name. What libev calls by itself (epoll) is counted by the counting build alone.
#pragma once

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstring>

namespace cluster_manager::sys {

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
  X(ioctl) \
  X(poll)
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
// Receives, and tells in `left` whether something is left to receive behind it: bytes, or the end of the
// stream. Only on a socket that has the option TCP_INQ set; elsewhere `left` stays as it is.
inline ssize_t ReceiveAndLookBehind(int socket, void* to, std::size_t size, bool* left) {
  ++calls.recv;
  iovec part{to, size};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))];
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const ssize_t got = ::recvmsg(socket, &message, 0);
  if (got < 0) return got;
  for (cmsghdr* each = CMSG_FIRSTHDR(&message); each != nullptr; each = CMSG_NXTHDR(&message, each)) {
    if (each->cmsg_level != IPPROTO_TCP || each->cmsg_type != TCP_CM_INQ) continue;
    int bytes = 0;
    std::memcpy(&bytes, CMSG_DATA(each), sizeof bytes);
    *left = bytes > 0;
  }
  return got;
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
// What poll(2) says of the socket at once, of the events asked for and of its ends.
inline short Poll(int socket, short events) {
  ++calls.poll;
  pollfd wanted{socket, events, 0};
  return ::poll(&wanted, 1, 0) > 0 ? wanted.revents : short{0};
}
// Bytes that the socket has taken and its peer has no room for.
inline int Unsent(int socket, int* bytes) {
  ++calls.ioctl;
  return ::ioctl(socket, SIOCOUTQNSD, bytes);
}

// Bytes that the socket has taken and its peer has not acknowledged.
inline int Unacknowledged(int socket, int* bytes) {
  ++calls.ioctl;
  return ::ioctl(socket, SIOCOUTQ, bytes);
}

}  // namespace cluster_manager::sys
