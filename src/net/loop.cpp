#include "net/loop.h"

#include <algorithm>
#include <ctime>
#include <stdexcept>
#include <utility>

#include "net/connection.h"
#include "net/network_error.h"

namespace cluster_manager {
namespace {

constexpr std::size_t kBufferBytes = 1024, kMaxSpareBufferBytes = 16 * 1024, kMaxSpareBuffers = 32;

Time UnixNow() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return Time{now.tv_sec} * kSecond + now.tv_nsec;
}

}  // namespace

EventLoop::EventLoop() : loop_(ev_loop_new(EVFLAG_AUTO)), now_(UnixNow()), wheel_(now_) {
  if (loop_ == nullptr) throw NetworkError("libev cannot create an event loop");
  ev_prepare_init(&prepare_, [](struct ev_loop*, ev_prepare* w, int) {
    static_cast<EventLoop*>(w->data)->BeforeSleep();
  });
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
  ev_timer_init(
      &timer_, [](struct ev_loop*, ev_timer*, int) {}, 0,
      0);  // only wakes the loop; BeforeSleep() runs the deadlines
  timer_.data = this;
}

EventLoop::~EventLoop() {
  to_destroy_.clear();
  for (const auto& signal : signals_) ev_signal_stop(loop_, &signal->watcher);
  for (const auto& wake : wakes_) ev_async_stop(loop_, &wake->watcher);
  ev_timer_stop(loop_, &timer_);
  ev_prepare_stop(loop_, &prepare_);
  ev_loop_destroy(loop_);
}

Time EventLoop::MonotonicNow() {
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return time.tv_sec * kSecond + time.tv_nsec;
}

Time EventLoop::Now() {
  now_ = std::max(now_, UnixNow());
  return now_;
}

void EventLoop::OnSignal(int number, std::function<void()> callback) {
  signals_.push_back(std::make_unique<Signal>());
  Signal* signal = signals_.back().get();
  signal->callback = std::move(callback);
  ev_signal_init(
      &signal->watcher, [](struct ev_loop*, ev_signal* w, int) { static_cast<Signal*>(w->data)->callback(); },
      number);
  signal->watcher.data = signal;
  ev_signal_start(loop_, &signal->watcher);
}

std::function<void()> EventLoop::Waker(std::function<void()> callback) {
  wakes_.push_back(std::make_unique<Wake>());
  Wake* wake = wakes_.back().get();
  wake->callback = std::move(callback);
  ev_async_init(&wake->watcher,
                [](struct ev_loop*, ev_async* w, int) { static_cast<Wake*>(w->data)->callback(); });
  wake->watcher.data = wake;
  ev_async_start(loop_, &wake->watcher);
  return [this, wake] { ev_async_send(loop_, &wake->watcher); };
}

// Sets the entry to null instead of erasing it: a connection may be closed while FlushAll() iterates.
void EventLoop::CancelFlush(Connection* connection) { std::ranges::replace(to_flush_, connection, nullptr); }

void EventLoop::DestroyLater(std::unique_ptr<Connection> connection) {
  if (connection == nullptr) return;
  connection->Close();
  to_destroy_.push_back(std::move(connection));
}

void EventLoop::InjectEvent(ev_io* watcher, int event) {
  ev_feed_event(loop_, watcher, event);
  event_injected_ = true;
}

void EventLoop::AcquireBuffer(std::string* buffer) {
  if (buffer->capacity() >= kBufferBytes) return;
  if (spare_buffers_.empty()) {
    buffer->reserve(kBufferBytes);
    return;
  }
  buffer->swap(spare_buffers_.back());
  spare_buffers_.pop_back();
}

void EventLoop::ReleaseBuffer(std::string* buffer) {
  buffer->clear();
  if (buffer->capacity() < kBufferBytes) return;
  if (buffer->capacity() <= kMaxSpareBufferBytes && spare_buffers_.size() < kMaxSpareBuffers) {
    spare_buffers_.push_back(std::move(*buffer));
  }
  std::string().swap(*buffer);
}

void EventLoop::FlushAll() {
  for (std::size_t i = 0; i < to_flush_.size(); ++i) {
    if (Connection* connection = std::exchange(to_flush_[i], nullptr)) connection->Flush();
  }
  to_flush_.clear();
}

void EventLoop::BeforeSleep() {
  wheel_.Advance(Now());
  FlushAll();
  ++iteration_;
  to_destroy_.clear();
  ev_timer_stop(loop_, &timer_);
  // An event that was injected during this function is handled after it, and its writes and deadlines belong
  // to the next iteration: the loop must not sleep before that.
  const Time next = std::exchange(event_injected_, false) ? 0 : wheel_.NextDeadline();
  polled_at_ = Now();
  if (next < 0) return;
  ev_now_update(loop_);
  ev_timer_set(&timer_, static_cast<double>(std::max<Time>(next - Now(), 0)) / kSecond, 0);
  ev_timer_start(loop_, &timer_);
}

void EventLoop::Run() { ev_run(loop_, 0); }
void EventLoop::Stop() { ev_break(loop_, EVBREAK_ALL); }

}  // namespace cluster_manager
