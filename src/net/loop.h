// The event loop of the process: libev, a timer wheel, and the work at the end of each iteration (queued
// bytes are written, closed connections are destroyed). One loop, one thread; only the function that Waker()
// returns may be called from other threads.
#pragma once

#include <ev.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "containers/callback.h"
#include "containers/slot_table.h"
#include "net/timer_wheel.h"

namespace cluster_manager {

class Connection;

class EventLoop {
 public:
  // Throws NetworkError where libev cannot create a loop.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  struct ev_loop* raw() {
    return loop_;
  }
  Time Now();                        // reads the Unix clock; never goes back
  Time now() const { return now_; }  // the result of the last Now()
  // Reads the monotonic clock, which steps of the Unix clock do not change; for spans only.
  static Time MonotonicNow();
  // Everything that arrived before this time was among the events of this iteration or an earlier one. It is
  // taken just before the loop polls the kernel, since a signal may end that call before the kernel reports
  // what arrived during it.
  Time polled_at() const { return polled_at_; }
  // Timers; see TimerWheel.
  Handle At(Time at, Callback callback) { return wheel_.Schedule(at, callback); }
  Handle After(Time delay, Callback callback) { return At(Now() + delay, callback); }
  void Cancel(Handle handle) { wheel_.Cancel(handle); }
  void OnSignal(int number, std::function<void()> callback);
  // Returns a function that other threads may call, as long as the loop exists, to run `callback` on the
  // loop's thread. Several calls may result in one run.
  std::function<void()> Waker(std::function<void()> callback);
  // The connection is flushed before the loop sleeps again, in the order of these calls.
  void ScheduleFlush(Connection* connection) { to_flush_.push_back(connection); }
  void CancelFlush(Connection* connection);
  // Delivers an event to the watcher in this iteration, without the kernel. The loop does not sleep before
  // the effects of the event have been handled.
  void InjectEvent(ev_io* watcher, int event);
  // Closes the connection now and destroys it at the end of the iteration: one of its functions may be
  // running.
  void DestroyLater(std::unique_ptr<Connection> connection);
  // The read buffer that all connections share; only an incomplete message is kept by its connection.
  char* read_buffer() { return read_buffer_.data(); }
  static constexpr std::size_t kReadBufferBytes = 32 * 1024;
  // Buffers for queued bytes and incomplete messages: a connection holds one only while it needs it, so that
  // memory depends on the pending bytes and not on the number of connections.
  void AcquireBuffer(std::string* buffer);
  void ReleaseBuffer(std::string* buffer);
  // The number of the current iteration. Bytes that are queued in an iteration are written at its end.
  std::uint64_t iteration() const { return iteration_; }
  std::size_t deadlines() const { return wheel_.size(); }
  void Run();
  void Stop();
  void FlushAll();

 private:
  struct Signal {
    ev_signal watcher;
    std::function<void()> callback;
  };
  struct Wake {
    ev_async watcher;
    std::function<void()> callback;
  };
  void BeforeSleep();

  struct ev_loop* loop_;
  ev_prepare prepare_;
  ev_timer timer_;
  Time now_ = 0, polled_at_ = 0;
  std::uint64_t iteration_ = 1;
  bool event_injected_ = false;  // an event may be handled after this iteration's writes and before the sleep
  TimerWheel wheel_;
  std::vector<Connection*> to_flush_;
  std::vector<std::unique_ptr<Connection>> to_destroy_;
  std::vector<char> read_buffer_ = std::vector<char>(kReadBufferBytes);
  std::vector<std::unique_ptr<Signal>> signals_;
  std::vector<std::unique_ptr<Wake>> wakes_;
  std::vector<std::string> spare_buffers_;
};

}  // namespace cluster_manager
