// The command line of the program: commands, help and exit codes. Without arguments the program serves.
#pragma once

namespace cluster_manager::cli {

// Runs the command and returns the exit code. 0: success; 1: the files have errors or are not formatted; 2:
// invalid arguments, or a file cannot be read or written; otherwise the exit code of serving.
int Run(int count, char** arguments);

}  // namespace cluster_manager::cli
