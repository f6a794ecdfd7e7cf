// The willowrail cluster manager. The command line (src/cli) selects what the process does.
#include <csignal>

#include "cli/cli.h"

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  return cluster_manager::cli::Run(count, arguments);
}
