// What all stand-ins share: flags, orders on standard input, records of what they saw.
#pragma once

#include <ev.h>
#include <netinet/in.h>

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"
#include "protocol/message.h"

namespace cluster_manager::standin {

// --key value pairs, from the third word on.
class Flags {
 public:
  Flags(int count, char** words);
  double Number(const std::string& key, double otherwise) const;
  int Whole(const std::string& key, int otherwise) const;
  std::string Text(const std::string& key, const std::string& otherwise) const;

 private:
  std::map<std::string, std::string> values_;
};

sockaddr_in Address(const std::string& host, int port);
inline sockaddr_in Loopback(int port) { return Address("127.0.0.1", port); }

void Tell(const std::string& line);  // on standard output, at once
double Draw(pcg32* random);          // from 0 to 1
std::vector<std::string> Words(std::string_view line);

// Lines on standard input; its end stops the loop.
class Orders {
 public:
  Orders(EventLoop* loop, std::function<void(const std::string&)> take);
  ~Orders() { ev_io_stop(loop_->raw(), &io_); }
  Orders(const Orders&) = delete;
  Orders& operator=(const Orders&) = delete;

 private:
  void Read();

  EventLoop* loop_;
  std::function<void(const std::string&)> take_;
  ev_io io_;
  std::string in_;
};

// One JSON object a line, each with `t` (Unix nanoseconds), `who` and `what`; nothing where no file is named.
class Records {
 public:
  struct Field {
    const char* key;
    std::string value;
  };
  Records(EventLoop* loop, const std::string& path);
  ~Records();
  Records(const Records&) = delete;
  Records& operator=(const Records&) = delete;

  void Write(const std::string& who, const char* what, std::initializer_list<Field> fields);
  // A line "seen WHAT" is told once so many of them were written.
  void TellAt(const std::string& what, int count);

 private:
  EventLoop* loop_;
  std::FILE* file_;
  std::map<std::string, int> counts_, wanted_;
};

inline Records::Field Id(protocol::TaskId id) { return {"id", protocol::FormatTaskId(id)}; }

int Nodes(const Flags& flags);
int ServeBulletin(const Flags& flags);
int Ask(const Flags& flags);
int Front(const Flags& flags);
int Relay(const Flags& flags);

}  // namespace cluster_manager::standin
