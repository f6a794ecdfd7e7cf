// The list: each line of input is "NUMBER EVENT", sent to all readers and kept for those who come later. One
// listener for each reader that has a view of its own: "@" in an event stands for the listener's number.
#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common.h"
#include "net/connection.h"
#include "net/listener.h"

namespace cluster_manager::standin {
namespace {

// How late calls are answered.
struct AnswerPace {
  Time delay = 0, jitter = 0;  // until the response head: `delay`, and up to `jitter` more
  Time body = 0;               // from the head to the events
  Time per_call = 0;           // calls are served in turn, each for so long, also those that were hung up
};

class Bulletin final : public Connection::Handler {
 public:
  Bulletin(EventLoop* loop, int listeners) : loop_(loop) {
    for (int i = 0; i < listeners; ++i) {
      listeners_.push_back(std::make_unique<Listener>(loop, Loopback(0), [this, i](int socket) {
        auto connection = std::make_unique<Connection>(loop_, socket, this);
        connection->tag = ++last_;
        readers_[last_] = {std::move(connection), i, ReaderState::kCalling, 0};
      }));
    }
    Beat();
  }
  int port(int i) const { return ntohs(listeners_[i]->address().sin_port); }
  void Event(const std::string& line) {
    events_.push_back(
        {std::strtoll(line.c_str(), nullptr, 10), line.substr(line.find(' ') + 1), loop_->Now()});
    Due();
  }
  // Later calls are answered so late.
  void Answer(const AnswerPace& pace) { pace_ = pace; }
  // Ends all streams, so that every reader calls again.
  void EndStreams() {
    std::vector<Handle> ended;
    for (const auto& [tag, reader] : readers_) ended.push_back(tag);
    for (const Handle tag : ended) Forget(tag);
  }
  // Events reach readers so much later; with `silent` neither events nor signs of life do.
  void Lag(Time lag, bool silent) {
    lag_ = lag;
    silent_ = silent;
    Due();
  }

 private:
  enum class ReaderState { kCalling, kAwaitingHead, kAwaitingEvents, kReading };
  struct Reader {
    std::unique_ptr<Connection> connection;
    int listener = 0;
    ReaderState state = ReaderState::kCalling;
    std::size_t next = 0;  // event
  };
  struct Told {
    long long number;
    std::string text;
    Time at;
  };
  void Due() {
    if (silent_) return;
    const Time now = loop_->Now();
    for (auto& [tag, reader] : readers_) {
      if (reader.state != ReaderState::kReading) continue;
      while (reader.next < events_.size() && events_[reader.next].at + lag_ <= now) Send(&reader);
    }
    if (!events_.empty() && events_.back().at + lag_ > now && !due_) {
      due_ = true;
      loop_->After(20 * kMs, [this] {
        due_ = false;
        Due();
      });
    }
  }
  void Send(Reader* to) {
    const Told& told = events_[to->next++];
    std::string text = told.text;
    const std::string number = std::to_string(to->listener);
    for (std::size_t at = text.find('@'); at != std::string::npos; at = text.find('@', at))
      text.replace(at, 1, number);
    *to->connection->write_queue() += "id: " + std::to_string(told.number) + "\ndata: " + text + "\n\n";
  }
  std::size_t OnData(Connection& connection, std::string_view data) override {
    if (data.find("\r\n\r\n") == std::string_view::npos) return 0;
    long long from = 0;
    const std::size_t at = data.find("Last-Event-ID: ");
    if (at != std::string_view::npos) from = std::strtoll(data.data() + at + 15, nullptr, 10);
    Reader& reader = readers_[connection.tag];
    if (reader.state != ReaderState::kCalling) return data.size();
    while (reader.next < events_.size() && events_[reader.next].number <= from) ++reader.next;
    reader.state = ReaderState::kAwaitingHead;
    const Time head_at = HeadAt();
    if (head_at <= loop_->Now() && pace_.body == 0) {
      SendHead(connection.tag, 0);
    } else {
      loop_->At(head_at, [this, tag = connection.tag, body = pace_.body] { SendHead(tag, body); });
    }
    return data.size();
  }
  Time HeadAt() {
    const Time now = loop_->Now();
    if (pace_.per_call > 0) busy_until_ = std::max(now, busy_until_) + pace_.per_call;
    std::uniform_int_distribution<Time> jitter(0, pace_.jitter);
    return (pace_.per_call > 0 ? busy_until_ : now) + pace_.delay + jitter(random_);
  }
  void SendHead(Handle tag, Time body) {
    const auto reader = readers_.find(tag);
    if (reader == readers_.end()) return;
    *reader->second.connection->write_queue() +=
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n";
    reader->second.state = ReaderState::kAwaitingEvents;
    if (body == 0) return BeginEvents(tag);
    loop_->After(body, [this, tag] { BeginEvents(tag); });
  }
  void BeginEvents(Handle tag) {
    const auto reader = readers_.find(tag);
    if (reader == readers_.end()) return;
    reader->second.state = ReaderState::kReading;
    Due();
  }
  void Forget(Handle tag) {
    loop_->DestroyLater(std::move(readers_[tag].connection));
    readers_.erase(tag);
  }
  void OnClosed(Connection& connection, CloseReason) override { Forget(connection.tag); }
  void Beat() {
    for (auto& [tag, reader] : readers_) {
      const bool speaks =
          reader.state == ReaderState::kReading || reader.state == ReaderState::kAwaitingEvents;
      if (speaks && !silent_) *reader.connection->write_queue() += ": still here\n\n";
    }
    loop_->After(kSecond, [this] { Beat(); });
  }

  EventLoop* loop_;
  std::map<Handle, Reader> readers_;
  Handle last_ = 0;
  std::vector<Told> events_;
  AnswerPace pace_;
  Time busy_until_ = 0;
  std::mt19937_64 random_;  // default seed: plays of a plan draw the same
  Time lag_ = 0;
  bool silent_ = false, due_ = false;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

}  // namespace

int ServeBulletin(const Flags& flags) {
  EventLoop loop;
  const int listeners = flags.Whole("listeners", 1);
  Bulletin bulletin(&loop, listeners);
  std::string ports = "port";
  for (int i = 0; i < listeners; ++i) ports += " " + std::to_string(bulletin.port(i));
  Tell(ports);
  Orders orders(&loop, [&](const std::string& line) {
    const std::vector<std::string> words = Words(line.substr(0, 64));
    const auto milliseconds = [&words](std::size_t i) {
      return std::strtoll(words[i].c_str(), nullptr, 10) * kMs;
    };
    if (words.size() == 5 && words[0] == "answer") {
      bulletin.Answer({milliseconds(1), milliseconds(2), milliseconds(3), milliseconds(4)});
    } else if (words[0] == "end") {
      bulletin.EndStreams();
    } else if (words.size() >= 2 && words[0] == "lag") {
      bulletin.Lag(milliseconds(1), words.size() > 2);
    } else {
      bulletin.Event(line);
    }
  });
  loop.Run();
  return 0;
}

}  // namespace cluster_manager::standin
