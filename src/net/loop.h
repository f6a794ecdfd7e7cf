// The event loop: libev, the wheel, and what happens once a turn (writes are flushed, the closed are buried).
#pragma once

#include <ev.h>

#include <functional>
#include <memory>
#include <vector>

#include "net/slot_table.h"
#include "net/wheel.h"

namespace willowrail {

class Connection;

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  struct ev_loop* raw() {
    return loop_;
  }
  Time Now();  // the Unix clock; never goes back
  Handle At(Time at, std::function<void()> what) { return wheel_.Hang(at, std::move(what)); }
  Handle After(Time delay, std::function<void()> what) { return At(Now() + delay, std::move(what)); }
  void TakeDown(Handle handle) { wheel_.TakeDown(handle); }
  void OnSignal(int number, std::function<void()> what);
  // The connection is flushed before the loop sleeps again, in the order of these calls.
  void FlushSoon(Connection* connection) { to_flush_.push_back(connection); }
  void Forget(Connection* connection);
  // Destroys it at the end of the turn: it may be in the middle of a call now.
  void Bury(std::unique_ptr<Connection> connection);
  // What is read goes here first, one buffer for all connections: only an unfinished message is kept apart.
  char* scratch() { return scratch_.data(); }
  static constexpr std::size_t kScratch = 32 * 1024;
  std::uint64_t turn() const { return turn_; }  // what was queued in one leaves at its end
  std::size_t deadlines() const { return wheel_.size(); }
  void Run();
  void Stop();
  void FlushAll();

 private:
  struct Signal {
    ev_signal watcher;
    std::function<void()> what;
  };
  void BeforeSleep();

  struct ev_loop* loop_;
  ev_prepare prepare_;
  ev_timer timer_;
  Time now_ = 0;
  std::uint64_t turn_ = 1;
  Wheel wheel_;
  std::vector<Connection*> to_flush_;
  std::vector<std::unique_ptr<Connection>> buried_;
  std::vector<char> scratch_ = std::vector<char>(kScratch);
  std::vector<std::unique_ptr<Signal>> signals_;
};

}  // namespace willowrail
