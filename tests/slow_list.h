// A discovery service for integration tests that answers each call as the test says: late, in pieces, or
// never. It runs on its own thread. Call Start() after every program of the test was started: a thread does
// not survive a fork.
#pragma once

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "crossing_discovery.h"
#include "discovery_calls.h"

namespace cluster_manager::story {

using std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

// What a call is answered with: pieces of the response, each so long after the one before. After the last one
// a comment follows every second, unless the call is to be forgotten.
struct CallAnswer {
  struct Piece {
    milliseconds delay;
    std::string bytes;
  };
  std::deque<Piece> pieces;
  bool comments = true;

  static CallAnswer Never() { return {{}, false}; }
  // The head and the events together, so late.
  static CallAnswer After(milliseconds delay, const std::string& events) {
    return {{{delay, std::string(kStreamHead) + events}}, true};
  }
  // `bytes` of the events every `interval`, after a prompt head.
  static CallAnswer InPieces(const std::string& events, std::size_t bytes, milliseconds interval) {
    CallAnswer answer{{{milliseconds(0), std::string(kStreamHead)}}, true};
    for (std::size_t at = 0; at < events.size(); at += bytes)
      answer.pieces.push_back({interval, events.substr(at, bytes)});
    return answer;
  }
};

class SlowList {
 public:
  // `answer` is called on the thread, with the number of the call, from 1 on, and the last event that the
  // client has. `port` must outlive this object.
  using Answer = std::function<CallAnswer(int call, int last_event)>;
  SlowList(Port* port, Answer answer) : port_(port), answer_(std::move(answer)) {}
  ~SlowList() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
    for (const Stream& stream : streams_) ::close(stream.socket);
  }
  SlowList(const SlowList&) = delete;
  SlowList& operator=(const SlowList&) = delete;

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }
  // Closes every stream, as a service that is started again.
  void EndStreams() { ends_streams_ = true; }
  // How many calls have been read, and how many bytes of events have been written for them.
  int calls() const { return calls_; }
  std::size_t bytes_sent() const { return bytes_sent_; }
  // The most calls that were open at once.
  std::size_t max_open() const { return max_open_; }

 private:
  struct Stream {
    int socket;
    std::string request{};  // until it is complete
    bool called = false;
    CallAnswer answer{};
    SteadyTime due{};  // of the next piece or comment
  };
  static constexpr int kPollMs = 5;
  static constexpr milliseconds kCommentInterval{1000};

  void Run() {
    while (!stopping_) {
      pollfd wait{port_->socket(), POLLIN, 0};
      ::poll(&wait, 1, kPollMs);
      while (port_->Dialled()) {
        const int socket = ::accept4(port_->socket(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (socket >= 0) streams_.push_back({socket});
      }
      for (Stream& stream : streams_) Serve(&stream);
      const bool ending = ends_streams_.exchange(false);
      std::erase_if(streams_, [ending](const Stream& stream) {
        if (!ending && !HasEnded(stream.socket)) return false;
        ::close(stream.socket);
        return true;
      });
      max_open_ = std::max<std::size_t>(max_open_, streams_.size());
    }
  }
  void Serve(Stream* stream) {
    const SteadyTime now = std::chrono::steady_clock::now();
    if (!stream->called && !ReadCall(stream, now)) return;
    CallAnswer& answer = stream->answer;
    while (!answer.pieces.empty() && stream->due <= now) {
      Send(stream->socket, answer.pieces.front().bytes);
      answer.pieces.pop_front();
      stream->due += answer.pieces.empty() ? kCommentInterval : answer.pieces.front().delay;
    }
    if (!answer.pieces.empty() || !answer.comments || stream->due > now) return;
    Send(stream->socket, ":\n\n");
    stream->due = now + kCommentInterval;
  }
  bool ReadCall(Stream* stream, SteadyTime now) {
    if (!ReadCallHead(stream->socket, &stream->request)) return false;
    stream->called = true;
    stream->answer = answer_(++calls_, LastEventId(stream->request));
    stream->due =
        now + (stream->answer.pieces.empty() ? kCommentInterval : stream->answer.pieces.front().delay);
    return true;
  }
  void Send(int socket, std::string_view text) {
    const ssize_t sent = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent > 0) bytes_sent_ += static_cast<std::size_t>(sent);
  }
  Port* port_;
  Answer answer_;
  std::list<Stream> streams_;
  std::atomic<int> calls_ = 0;
  std::atomic<std::size_t> bytes_sent_ = 0, max_open_ = 0;
  std::atomic<bool> stopping_ = false, ends_streams_ = false;
  std::thread thread_;
};

}  // namespace cluster_manager::story
