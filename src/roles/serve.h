// The whole cluster manager in one process: configuration, signals, wiring. The other roles will stand beside
// it.
#pragma once

namespace willowrail {

// Serves until SIGTERM has settled all; returns the exit status. Throws std::exception, saying what is wrong,
// where it cannot begin.
int Serve();

}  // namespace willowrail
