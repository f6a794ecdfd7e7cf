// Wrappers of the system calls on sockets, each of which counts its calls by name; printed on SIGUSR1 and at
// exit. Results and errno are those of the system call. The calls that libev makes by itself (epoll) are
// counted by the counting build (bench/counted.cpp) only.
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

// One system call a line; the names are printed.
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

inline Calls calls;  // of the process; used on the event loop's thread only

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
// Receives, and sets `remaining` to whether bytes or the end of the stream remain to be received. Only on a
// socket with the option TCP_INQ; on others `remaining` is unchanged.
inline ssize_t ReceiveAndReportRemaining(int socket, void* to, std::size_t size, bool* remaining) {
  ++calls.recv;
  iovec part{to, size};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))];
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const ssize_t received = ::recvmsg(socket, &message, 0);
  if (received < 0) return received;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != IPPROTO_TCP || header->cmsg_type != TCP_CM_INQ) continue;
    int bytes = 0;
    std::memcpy(&bytes, CMSG_DATA(header), sizeof bytes);
    *remaining = bytes > 0;
  }
  return received;
}
inline ssize_t Send(int socket, const void* from, std::size_t size) {
  ++calls.send;
  return ::send(socket, from, size, MSG_NOSIGNAL);
}
// Sends several buffers in one system call.
inline ssize_t SendVector(int socket, iovec* parts, std::size_t count) {
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
// The number of bytes that were received and not read yet.
inline int UnreadBytes(int socket, int* bytes) {
  ++calls.ioctl;
  return ::ioctl(socket, FIONREAD, bytes);
}
// The result of poll(2) without waiting: those of `events` that are ready, and errors and hang-ups.
inline short Poll(int socket, short events) {
  ++calls.poll;
  pollfd request{socket, events, 0};
  return ::poll(&request, 1, 0) > 0 ? request.revents : short{0};
}
// The number of bytes that were written to the socket and have not been sent.
inline int UnsentBytes(int socket, int* bytes) {
  ++calls.ioctl;
  return ::ioctl(socket, SIOCOUTQNSD, bytes);
}

// The number of bytes that were written to the socket and that the peer has not acknowledged.
inline int UnacknowledgedBytes(int socket, int* bytes) {
  ++calls.ioctl;
  return ::ioctl(socket, SIOCOUTQ, bytes);
}

}  // namespace cluster_manager::sys
