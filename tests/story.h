// The real program as a child process, its configuration and the list of nodes, for integration tests; the
// scripted peers are in story_peers.h.
#pragma once

#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "program_log.h"
#include "story_peers.h"

namespace cluster_manager::story {

using nlohmann::json;

inline json Node(const std::string& uid, const std::string& endpoint, double free_cores = 10,
                 const std::string& state = "in_service", std::int64_t boot_ms = 0) {
  return {{"uid", uid},         {"endpoint", endpoint}, {"az", "hall-a"},
          {"model", "std"},     {"pod_group", 0},       {"state", state},
          {"capacity_hint", 1}, {"boot_ms", boot_ms},   {"unasked", {free_cores, 100}}};
}

inline json Event(int number, const json& nodes, bool all = false) {
  return {{"no", number}, {"roster", {{"rev", number}, {"all", all}, {"targets", nodes}}}};
}

// The classes: 0 safe, 1 keyed, 2 unsafe.
inline json Settings() {
  const auto service = [](const char* name, const char* effect) {
    return json{{"Name", name},   {"Effect", effect},        {"Deadline", 30'000'000'000},
                {"Group", "all"}, {"KeyTtl", 6'000'000'000}, {"Worth", 1}};
  };
  return {
      {"Services", {service("safe", "pure"), service("keyed", "token"), service("unsafe", "side_effect")}},
      {"Tenants", {{{"Name", "shop one"}, {"Portion", 1}}}},
      {"FamilyInfo", {{"CoresByKind", {10}}, {"MemoryByKind", {100}}, {"View", true}, {"YesAt", "running"}}},
      {"Allowed", {{"MostTries", 3}, {"DialTimeout", 250'000'000}, {"Keepalive", 15'000'000'000}}},
      {"Discovery", "subscribe"},
      {"Period", 2'000'000},
      {"Zones", {"hall-a"}},
      {"Kinds", {"std"}}};
}

struct Platform {      // what more it gives a process on the operators' days
  int listening = -1;  // a socket that listens already, inherited; -1: none
  std::string tmp;     // TMPDIR, shared with the process that comes after; empty: the process's own
  bool admin = false;  // an address for operators
};

class Program {
 public:
  // `limit`: descriptors it may hold, 0 for the usual; `told`: as its configuration has it, 0 for the same.
  Program(const json& nodes, const Port& bulletin, const json& settings = Settings(), rlim_t limit = 0,
          rlim_t told = 0, const Platform& platform = {}) {
    folder_ = std::filesystem::temp_directory_path() / "willowrail-story-XXXXXX";
    std::string name = folder_.string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder_ = name;
    config_ = {{"name", "n0"},
               {"listen", "127.0.0.1:0"},
               {"seed", "8c1f30d27a5be964"},
               {"limits",
                {{"sockets", told > 0    ? told
                             : limit > 0 ? limit
                                         : 256}}},
               {"bulletin", bulletin.endpoint()},
               {"known", {{"no", 1}, {"items", {Event(1, nodes, true)}}}},
               {"settings", settings}};
    if (platform.admin) config_["admin_addr"] = "127.0.0.1:0";
    Configure(config_.dump());
    int log[2];
    REQUIRE(::pipe(log) == 0);
    process_ = ::fork();
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it does not outlive a test that is killed
      ::setenv("ROUTER_CONFIG", (folder_ / "config.json").c_str(), 1);
      ::dup2(log[1], STDERR_FILENO);
      if (platform.listening >= 0) {
        ::dup2(platform.listening, kInherited);
        ::setenv("ROUTER_LISTEN_FD", std::to_string(kInherited).c_str(), 1);
      }
      for (int i = 3; i < 256; ++i) {
        if (platform.listening < 0 || i != kInherited) ::close(i);
      }
      ::setenv("TMPDIR", (platform.tmp.empty() ? folder_.string() : platform.tmp).c_str(), 1);
      const rlimit most{limit, limit};
      if (limit > 0) ::setrlimit(RLIMIT_NOFILE, &most);
      ::execl(CLUSTER_MANAGER_PROGRAM, "willowrail", nullptr);
      std::_Exit(127);
    }
    ::close(log[1]);
    log_.emplace(log[0]);
    port_ = std::stoi(Logged("listens on 127.0.0.1:"));
    if (platform.admin) admin_port_ = std::stoi(Logged("admin API address: 127.0.0.1:"));
  }
  ~Program() {
    if (process_ > 0) {
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  const json& config() const { return config_; }
  void Configure(const std::string& text) const { std::ofstream(folder_ / "config.json") << text; }
  Wire Owner() const { return Wire::To(port_); }
  int admin_port() const { return admin_port_; }
  void Signal(int number) const { ::kill(process_, number); }
  // What comes until Resume() is found in the kernel all at once.
  void Pause() const {
    Signal(SIGSTOP);
    REQUIRE(::waitpid(process_, nullptr, WUNTRACED) == process_);
  }
  void Resume() const { Signal(SIGCONT); }
  // The rest of the first line that holds `text`, read on from the last one found.
  std::string Logged(const std::string& text) { return log_->Find(text); }
  // The whole of that line.
  std::string LoggedLine(const std::string& text) { return log_->FindLine(text); }
  // The value of a counter, or (`what`: "size ") the size of a table, taken after this call.
  std::string Statistic(const std::string& name, const std::string& what = "counter ") {
    Signal(SIGUSR1);
    const Statistics statistics = log_->NextStatistics();
    const auto found = statistics.find(what + name);
    REQUIRE_MESSAGE(found != statistics.end(), "the program prints no " << what << name);
    return found->second;
  }
  // Waits until a counter has come to `value`, or a table to a size.
  void Counted(const std::string& counter, int value, const std::string& what = "counter ") {
    std::string last;
    for (int i = 0; i < kLimitMs / 10; ++i) {
      last = Statistic(counter, what);
      if (last == std::to_string(value)) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    FAIL("counter " << counter << " never came to " << value << ", it is " << last);
  }
  int ExitStatus() {
    int status = 0;
    ::waitpid(std::exchange(process_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }

 private:
  static constexpr int kInherited = 7;
  std::filesystem::path folder_;
  json config_;
  pid_t process_ = -1;
  std::optional<ProgramLog> log_;
  int port_ = 0, admin_port_ = 0;
};

}  // namespace cluster_manager::story
