// The list: each line of input is "NUMBER EVENT", sent to all readers and kept for those who come later. One
// listener for each reader that has a view of its own: "@" in an event stands for the listener's number.
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common.h"
#include "net/connection.h"
#include "net/listener.h"

namespace cluster_manager::standin {
namespace {

class Bulletin final : public Connection::Handler {
 public:
  Bulletin(EventLoop* loop, int listeners) : loop_(loop) {
    for (int i = 0; i < listeners; ++i) {
      listeners_.push_back(std::make_unique<Listener>(loop, Loopback(0), [this, i](int socket) {
        auto connection = std::make_unique<Connection>(loop_, socket, this);
        connection->tag = ++last_;
        readers_[last_] = {std::move(connection), i, false, 0};
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
  // Events reach readers so much later; with `silent` neither events nor signs of life do.
  void Lag(Time lag, bool silent) {
    lag_ = lag;
    silent_ = silent;
    Due();
  }

 private:
  struct Reader {
    std::unique_ptr<Connection> connection;
    int listener = 0;
    bool asked = false;
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
      if (!reader.asked) continue;
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
    *connection.write_queue() += "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n";
    long long from = 0;
    const std::size_t at = data.find("Last-Event-ID: ");
    if (at != std::string_view::npos) from = std::strtoll(data.data() + at + 15, nullptr, 10);
    Reader& reader = readers_[connection.tag];
    reader.asked = true;
    while (reader.next < events_.size() && events_[reader.next].number <= from) ++reader.next;
    Due();
    return data.size();
  }
  void OnClosed(Connection& connection, CloseReason) override {
    const Handle gone = connection.tag;
    loop_->DestroyLater(std::move(readers_[gone].connection));
    readers_.erase(gone);
  }
  void Beat() {
    for (auto& [tag, reader] : readers_) {
      if (reader.asked && !silent_) *reader.connection->write_queue() += ": still here\n\n";
    }
    loop_->After(kSecond, [this] { Beat(); });
  }

  EventLoop* loop_;
  std::map<Handle, Reader> readers_;
  Handle last_ = 0;
  std::vector<Told> events_;
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
    if (words.size() >= 2 && words[0] == "lag") {
      bulletin.Lag(std::strtoll(words[1].c_str(), nullptr, 10) * kMs, words.size() > 2);
    } else {
      bulletin.Event(line);
    }
  });
  loop.Run();
  return 0;
}

}  // namespace cluster_manager::standin
