// A discovery service for integration tests: answers a request with every event after its Last-Event-ID and
// sends comments at a fixed interval. It runs on its own thread, so that the stream is not silent however
// slow the test is, and events that a closed stream lost are sent on the next one.
//
// Call Start() after every program of the test was started: a thread does not survive a fork.
#pragma once

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "discovery_calls.h"
#include "story.h"

namespace cluster_manager::story {

class ScriptedList {
 public:
  // `port` must outlive this object, and must not be closed or opened while the thread runs.
  explicit ScriptedList(Port* port) : port_(port) {}
  ~ScriptedList() { Stop(); }
  ScriptedList(const ScriptedList&) = delete;
  ScriptedList& operator=(const ScriptedList&) = delete;

  void Start() {
    if (thread_.joinable()) return;
    stopping_ = false;
    thread_ = std::thread([this] { Run(); });
  }
  // Closes every stream. After the next Start() events are sent again to clients that request them.
  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
    for (const Stream& stream : std::exchange(streams_, {})) ::close(stream.socket);
  }
  // Adds an event. Waits until a stream is open; the event has been written to all open streams when this
  // returns.
  void AddEvent(const json& nodes, bool all = false) {
    Start();
    const Patience patience;
    while (!HasOpenStream()) {
      patience.Check();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const std::scoped_lock lock(mutex_);
    events_.push_back(Event(number() + 1, nodes, all).dump());
    for (Stream& stream : streams_) SendMissing(&stream);
  }
  // The number of added events. They are numbered from 2 on; event 1 is that of the configuration.
  int event_count() const { return static_cast<int>(events_.size()); }

 private:
  struct Stream {
    int socket;
    std::string request;  // the received part of the request
    int last_sent = 0;    // the number of the last event sent; 0: the request is incomplete
  };
  static constexpr int kPollMs = 20;
  static constexpr std::chrono::milliseconds kCommentInterval{300};

  int number() const { return event_count() + 1; }
  bool HasOpenStream() {
    const std::scoped_lock lock(mutex_);
    for (const Stream& stream : streams_) {
      if (stream.last_sent > 0 && !HasEnded(stream.socket)) return true;
    }
    return false;
  }
  void Run() {
    auto comment_at = std::chrono::steady_clock::now();
    while (!stopping_) {
      WaitForInput();
      const std::scoped_lock lock(mutex_);
      AcceptCalls();
      for (Stream& stream : streams_) ReadCall(&stream);
      std::erase_if(streams_, [](const Stream& stream) {
        const bool ended = HasEnded(stream.socket);
        if (ended) ::close(stream.socket);
        return ended;
      });
      if (std::chrono::steady_clock::now() < comment_at) continue;
      comment_at = std::chrono::steady_clock::now() + kCommentInterval;
      for (const Stream& stream : streams_) {
        if (stream.last_sent > 0) Send(stream.socket, ":\n\n");
      }
    }
  }
  // Waits for kPollMs at most, so that comments are sent in time and Stop() returns soon.
  void WaitForInput() const {
    pollfd wait{port_->socket(), POLLIN, 0};
    ::poll(&wait, 1, kPollMs);
  }
  void AcceptCalls() {
    while (port_->Dialled()) {
      const int socket = ::accept4(port_->socket(), nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0) streams_.push_back({socket, "", 0});
    }
  }
  void ReadCall(Stream* stream) {
    if (!ReadCallHead(stream->socket, &stream->request) || stream->last_sent > 0) return;
    stream->last_sent = LastEventId(stream->request);
    if (stream->last_sent == 0) return;
    Send(stream->socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n");
    SendMissing(stream);
  }
  void SendMissing(Stream* stream) {
    if (stream->last_sent == 0) return;
    for (; stream->last_sent < number(); ++stream->last_sent) {
      const std::string& event = events_[static_cast<std::size_t>(stream->last_sent - 1)];
      Send(stream->socket, "id: " + std::to_string(stream->last_sent + 1) + "\ndata: " + event + "\n\n");
    }
  }
  static void Send(int socket, std::string_view text) {
    while (!text.empty()) {
      const ssize_t sent = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
      if (sent <= 0) return;  // the stream has been closed; the client requests it again
      text.remove_prefix(static_cast<std::size_t>(sent));
    }
  }
  Port* port_;
  std::mutex mutex_;  // guards the members below
  std::vector<std::string> events_;
  std::vector<Stream> streams_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace cluster_manager::story
