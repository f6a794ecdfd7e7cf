#include "server/serve.h"

#include <csignal>

#include "config/config.h"
#include "net/log.h"
#include "server/server_process.h"

namespace cluster_manager {
namespace {

// A signal that arrives before its handler is installed would kill the process; blocked, it stays pending
// until then. Threads that start meanwhile inherit the mask and keep these signals blocked.
void SetHandledSignalsBlocked(bool blocked) {
  sigset_t handled;
  sigemptyset(&handled);
  for (const int number : ServerProcess::kSignals) sigaddset(&handled, number);
  pthread_sigmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &handled, nullptr);
}

}  // namespace

int Serve(const ServerFiles& files) {
  SetHandledSignalsBlocked(true);
  log_level = LogLevelFromEnvironment();
  ServerProcess process(files, LoadConfigFromEnvironment());
  SetHandledSignalsBlocked(false);
  process.Run();
  return 0;
}

}  // namespace cluster_manager
