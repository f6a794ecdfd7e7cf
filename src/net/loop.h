// The event loop: libev, the wheel, and what happens once a turn (writes are flushed, the closed are buried).
#pragma once

#include <ev.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "containers/callback.h"
#include "containers/slot_table.h"
#include "net/wheel.h"

namespace cluster_manager {

class Connection;

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  struct ev_loop* raw() {
    return loop_;
  }
  Time Now();                        // the Unix clock; never goes back
  Time now() const { return now_; }  // when that was asked last
  // What came before this moment was among the events of this iteration or an earlier one. It lies just
  // before the loop asks the kernel, since a signal may end that call before the kernel tells what came
  // during it.
  Time polled_at() const { return polled_at_; }
  Handle At(Time at, Callback what) { return wheel_.Schedule(at, what); }
  Handle After(Time delay, Callback what) { return At(Now() + delay, what); }
  void Cancel(Handle handle) { wheel_.Cancel(handle); }
  void OnSignal(int number, std::function<void()> what);
  // What other threads call, as long as the loop lives, to have `what` done here; calls may fall together.
  std::function<void()> Waker(std::function<void()> what);
  // The connection is flushed before the loop sleeps again, in the order of these calls.
  void FlushSoon(Connection* connection) { to_flush_.push_back(connection); }
  void Forget(Connection* connection);
  // The watcher gets the event in this turn, without the kernel. What comes of it is not waited with.
  void InjectEvent(ev_io* watcher, int event);
  // Destroys it at the end of the turn: it may be in the middle of a call now.
  void DestroyLater(std::unique_ptr<Connection> connection);
  // What is read goes here first, one buffer for all connections: only an unfinished message is kept apart.
  char* scratch() { return scratch_.data(); }
  static constexpr std::size_t kScratch = 32 * 1024;
  // Buffers for what waits to be written, or is not whole yet: a connection has one while it needs it, so
  // that memory goes with what is pending and not with how many connections there are.
  void TakeBuffer(std::string* buffer);
  void GiveBuffer(std::string* buffer);
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
  struct Wake {
    ev_async watcher;
    std::function<void()> what;
  };
  void BeforeSleep();

  struct ev_loop* loop_;
  ev_prepare prepare_;
  ev_timer timer_;
  Time now_ = 0, polled_at_ = 0;
  std::uint64_t turn_ = 1;
  bool fed_ = false;  // an event may be handled after this turn's writes and before the loop sleeps
  TimerWheel wheel_;
  std::vector<Connection*> to_flush_;
  std::vector<std::unique_ptr<Connection>> buried_;
  std::vector<char> scratch_ = std::vector<char>(kScratch);
  std::vector<std::unique_ptr<Signal>> signals_;
  std::vector<std::unique_ptr<Wake>> wakes_;
  std::vector<std::string> spare_;
};

}  // namespace cluster_manager
