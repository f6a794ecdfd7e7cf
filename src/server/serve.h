// Entry point of the server role: reads the configuration, blocks signals during the start, and runs one
// ServerProcess on the calling thread. Called by the command line (src/cli) once in a process.
#pragma once

#include <string>

namespace cluster_manager {

// Paths of files that are named on the command line; empty: not given.
struct ServerFiles {
  std::string zone_failover_plan;
};

// Serves until SIGTERM or SIGINT has been handled and the process has shut down; returns its exit status.
// Throws std::exception with a message for operators where it cannot start.
int Serve(const ServerFiles& files);

}  // namespace cluster_manager
