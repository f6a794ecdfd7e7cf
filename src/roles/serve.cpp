#include "roles/serve.h"

#include <cstdio>
#include <exception>
#include <functional>
#include <optional>
#include <utility>

#include "agents/pool.h"
#include "bulletin/reader.h"
#include "config/config.h"
#include "engine/engine.h"
#include "front/front.h"
#include "net/counters.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/sys.h"
#include "proto/message.h"
#include "sites/plan.h"
#include "sites/sites.h"
#include "structures/block_pool.h"
#include "structures/hash.h"

namespace willowrail {

// Defined by the counting build (bench/counted.cpp) alone: prints what it counted.
__attribute__((weak)) void (*counting_build)(std::FILE* to) = nullptr;

namespace {

// After SIGTERM new connections come for up to 0.4 s and requests for 0.2 s more; all of them are served.
constexpr Time kLastArrivals = 750 * kMs;
constexpr Time kDrainLook = 10 * kMs;
constexpr Time kLastWords = 200 * kMs;  // for owners to read what was written last, before the sockets close

}  // namespace

int Serve(const Files& files) {
  const Config config = ConfigFromEnvironment();
  hash_seed = config.seed;
  Loop loop;
  Engine engine(&loop, config.settings, config.seed);
  Pool pool(&loop, {config.dial_timeout, config.keepalive}, config.sockets, config.seed, &engine);
  BulletinReader bulletin(&loop, config, &engine);
  Front front(&loop, config, &engine);
  engine.Connect(&front, &pool, &bulletin);
  std::optional<sites::Sites> sites;
  const sites::Deployment deployment = sites::DeploymentOf(config.settings, config.zones);
  if (!files.sites.empty()) {
    sites.emplace(sites::LoadPlan(files.sites, deployment), deployment);
    engine.Follow(&*sites);
    Log("sites: the plan of %s is followed", files.sites.c_str());
  }
  bulletin.TellKnown(config.known);
  Log("%s listens on %s", config.name.c_str(), AddressText(front.address()).c_str());

  Time stop_from = 0;
  std::function<void()> look = [&] {
    if (loop.Now() >= stop_from && engine.owed() == 0 && front.idle()) {
      front.Finish();
      loop.After(kLastWords, [&loop] { loop.Stop(); });
    } else {
      loop.After(kDrainLook, [&look] { look(); });
    }
  };
  const auto drain = [&] {
    if (stop_from > 0) return;
    Log("stopping: %zu requests to settle, %zu tasks stand", engine.owed(), engine.standing());
    stop_from = loop.Now() + kLastArrivals;
    front.Drain();
    look();
  };
  // Guards against a file that cannot be read, or not yet: the settings at hand go on.
  const auto reload = [&] {
    try {
      const Config fresh = ConfigFromEnvironment();
      bulletin.MoveTo(fresh.bulletin, fresh.known);
      pool.SetTimes({fresh.dial_timeout, fresh.keepalive});
      front.SetMost(fresh.sockets);
      ++counters.reloads;
      Log("configuration read again, bulletin at %s", AddressText(fresh.bulletin).c_str());
    } catch (const std::exception& error) {
      Log("configuration not read again: %s", error.what());
    }
    if (!sites) return;
    try {  // whole or not at all
      sites->Take(sites::LoadPlan(files.sites, deployment));
      Log("sites: the plan of %s is followed from now on", files.sites.c_str());
    } catch (const std::exception& error) {
      Log("sites: the plan was not read again, the one before goes on:\n%s", error.what());
    }
  };
  loop.OnSignal(SIGHUP, reload);
  loop.OnSignal(SIGTERM, drain);
  loop.OnSignal(SIGINT, drain);
  const auto print = [&] {
    counters.Print(stderr);
    sys::calls.Print(stderr);
    std::fprintf(stderr, "counter bytes_written %llu\n",
                 static_cast<unsigned long long>(proto::bytes_written));
    if (counting_build != nullptr) counting_build(stderr);
    const std::pair<const char*, std::size_t> sizes[] = {
        {"owed", engine.owed()},     {"standing", engine.standing()}, {"owners", front.size()},
        {"owed_ends", front.ends()}, {"listed", engine.nodes()},      {"module", engine.module_size()},
        {"roster", bulletin.size()}, {"agents", pool.size()},         {"agent_lines", pool.lines()},
        {"agent_open", pool.open()}, {"blocks", Blocks().live()},     {"deadlines", loop.deadlines()}};
    for (const auto& [name, size] : sizes) std::fprintf(stderr, "size %s %zu\n", name, size);
    if (sites) {
      for (const std::string& line : sites->Describe(loop.Now())) std::fprintf(stderr, "%s\n", line.c_str());
    }
    std::fflush(stderr);
  };
  loop.OnSignal(SIGUSR1, print);
  loop.Run();
  loop.FlushAll();
  print();
  return 0;
}

}  // namespace willowrail
