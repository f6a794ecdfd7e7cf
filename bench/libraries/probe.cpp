// What a library costs before it does anything for the program: one program for each, chosen by a definition
// (measure.sh has them). With "start" it ends as soon as it is ready. docs/design/libraries.md has figures.
#include <dirent.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#if defined(PROBE_HTTP_PARSER)
#include "admin/request.h"
#elif defined(PROBE_BEAST)
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#elif defined(PROBE_ADMIN)
#include "admin/admin.h"
#elif defined(PROBE_MICROHTTPD)
#include <microhttpd.h>
#elif defined(PROBE_COUNTERS)
#include "net/counters.h"
#elif defined(PROBE_PROMETHEUS)
#include <prometheus/counter.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#endif

namespace {

[[maybe_unused]] constexpr std::string_view kRequest =
    "POST /v1/agents/s-1234/suspend HTTP/1.1\r\nHost: 127.0.0.1:9090\r\nUser-Agent: curl/7.88.1\r\n"
    "Accept: */*\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n{\"why\":\"x\"}";

long Status(const std::string& key) {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(key)) return std::atol(line.c_str() + key.size() + 1);
  }
  return -1;
}

void Tell() {
  int descriptors = -3 - 3;  // the standard ones; ".", ".." and the folder's own
  DIR* folder = opendir("/proc/self/fd");
  while (readdir(folder) != nullptr) ++descriptors;
  closedir(folder);
  std::printf("  resident %ld KiB (anonymous %ld), threads %ld, own descriptors %d\n", Status("VmRSS:"),
              Status("RssAnon:"), Status("Threads:"), descriptors);
}

double CpuSeconds() {
  rusage used;
  getrusage(RUSAGE_THREAD, &used);
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
}

// Processor time of one, the least of 20 rounds.
template <typename What>
[[maybe_unused]] void Cost(const char* what, long times, What once) {
  double least = 1e9;
  for (int round = 0; round < 20; ++round) {
    const double before = CpuSeconds();
    for (long i = 0; i < times; ++i) once();
    least = std::min(least, (CpuSeconds() - before) / static_cast<double>(times) * 1e9);
  }
  std::printf("  %s: %.1f ns\n", what, least);
}

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int Connected(int port) {
  const sockaddr_in to = Loopback(port);
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) std::abort();
  return socket;
}

// Calls of one caller after the other, made by a thread while this one turns; then one behind 200 callers
// that say nothing.
template <typename Turn>
[[maybe_unused]] void Serve(int port, Turn turn) {
  const auto calls = [&](int times) {
    std::atomic<bool> done = false;
    std::thread caller([&] {
      for (int i = 0; i < times; ++i) {
        const int socket = Connected(port);
        if (send(socket, kRequest.data(), kRequest.size(), 0) < 0) std::abort();
        char buffer[2000];
        std::string all;
        for (ssize_t got = 0; (got = recv(socket, buffer, sizeof buffer, 0)) > 0;) {
          all.append(buffer, static_cast<std::size_t>(got));
        }
        if (all.find(" 200 ") == std::string::npos) std::abort();
        close(socket);
      }
      done = true;
    });
    while (!done) turn();
    caller.join();
  };
  constexpr int kCalls = 20'000;
  const double before = CpuSeconds();
  calls(kCalls);
  std::printf("  a call served: %.1f us\n", (CpuSeconds() - before) / kCalls * 1e6);
  std::vector<int> silent;
  for (int i = 0; i < 200; ++i) silent.push_back(Connected(port));
  const auto start = std::chrono::steady_clock::now();
  calls(1);
  std::printf("  a call behind 200 silent callers: %.3f s\n",
              std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
  for (const int socket : silent) close(socket);
}

#if defined(PROBE_ADMIN)
struct Nothing final : cluster_manager::Operations {
  bool Ready() const override { return true; }
  std::string Figures() const override { return "{}"; }
  bool Suspend(std::string_view) override { return true; }
  bool Resume(std::string_view) override { return true; }
  void Drain() override {}
  void Activate() override {}
};
#elif defined(PROBE_BEAST)
void ParseOnce() {
  namespace http = boost::beast::http;
  http::request_parser<http::string_body> parser;
  parser.header_limit(8192);
  parser.body_limit(8192);
  parser.eager(true);
  boost::beast::error_code error;
  parser.put(boost::asio::buffer(kRequest), error);
  if (error || !parser.is_done()) std::abort();
}
#elif defined(PROBE_HTTP_PARSER)
void ParseOnce() {
  cluster_manager::admin::Request request;
  if (request.Parse(kRequest) != cluster_manager::admin::Request::ParseResult::kComplete) std::abort();
}
#elif defined(PROBE_MICROHTTPD)
MHD_Result OnCall(void*, MHD_Connection* connection, const char* url, const char*, const char*, const char*,
                  std::size_t* size, void** state) {
  static int seen = 0;
  if (*state == nullptr || *size > 0) {
    *state = &seen;
    *size = 0;
    return MHD_YES;
  }
  std::string body = std::string(R"({"agent":")") + url + R"(","suspended":true})";
  MHD_Response* response = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", "application/json");
  MHD_add_response_header(response, "Connection", "close");
  const MHD_Result queued = MHD_queue_response(connection, 200, response);
  MHD_destroy_response(response);
  return queued;
}
#endif

}  // namespace

int main(int argc, char** argv) {
  close_range(3, ~0U, 0);  // what was inherited is not the library's
  const bool start = argc > 1 && std::string_view(argv[1]) == "start";
#if defined(PROBE_HTTP_PARSER) || defined(PROBE_BEAST)
  ParseOnce();
#elif defined(PROBE_ADMIN)
  cluster_manager::Loop loop;
  Nothing nothing;
  cluster_manager::Admin admin(&loop, Loopback(0), &nothing);
#elif defined(PROBE_MICROHTTPD)
  const sockaddr_in address = Loopback(0);
  MHD_Daemon* daemon =
      MHD_start_daemon(MHD_USE_EPOLL, 0, nullptr, nullptr, OnCall, nullptr, MHD_OPTION_SOCK_ADDR, &address,
                       MHD_OPTION_CONNECTION_LIMIT, 32U, MHD_OPTION_CONNECTION_TIMEOUT, 2U, MHD_OPTION_END);
  if (daemon == nullptr) std::abort();
#elif defined(PROBE_COUNTERS)
  ++cluster_manager::counters.admin_calls;
#elif defined(PROBE_PROMETHEUS)
  prometheus::Registry registry;
  prometheus::Counter* counter = nullptr;
  for (int i = 0; i < 70; ++i) {
    const std::string name = "willowrail_" + std::to_string(i) + "_total";
    counter = &prometheus::BuildCounter().Name(name).Help("h").Register(registry).Add({});
  }
#endif
  if (start) return 0;
  Tell();
#if defined(PROBE_HTTP_PARSER)
  Cost("a request parsed", 300'000, ParseOnce);
#elif defined(PROBE_BEAST)
  Cost("a request parsed", 300'000, ParseOnce);
#elif defined(PROBE_ADMIN)
  Serve(ntohs(admin.address().sin_port), [&] {
    loop.After(20 * cluster_manager::kMs, [] {});
    ev_run(loop.raw(), EVRUN_ONCE);
  });
#elif defined(PROBE_MICROHTTPD)
  const int theirs = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd, ours = epoll_create1(0);
  epoll_event event{};
  event.events = EPOLLIN;
  epoll_ctl(ours, EPOLL_CTL_ADD, theirs, &event);
  Serve(MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port, [&] {
    epoll_event got;
    epoll_wait(ours, &got, 1, 20);
    MHD_run(daemon);
  });
  MHD_stop_daemon(daemon);
#elif defined(PROBE_COUNTERS)
  Cost("an increment", 10'000'000, [] {
    ++cluster_manager::counters.admin_calls;
    asm volatile("" ::: "memory");
  });
#elif defined(PROBE_PROMETHEUS)
  Cost("an increment", 1'000'000, [&] { counter->Increment(); });
  Cost("70 counters written out", 500, [&] { prometheus::TextSerializer().Serialize(registry.Collect()); });
#endif
  return 0;
}
