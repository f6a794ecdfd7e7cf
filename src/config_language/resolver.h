// Loads a program from its first file: reads the included files, and collects settings, blocks and constants.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config_language/diagnostic.h"
#include "config_language/syntax.h"

namespace cluster_manager::config_language {

// Access to files. An interface, so that tests need no disk and a check and a load read the same bytes.
class FileSystem {
 public:
  // The content of a file, nullopt if it cannot be read.
  virtual std::optional<std::string> Read(const std::string& path) = 0;
  // Paths that match the pattern (* stands for any characters except /), in any order.
  virtual std::vector<std::string> Glob(const std::string& pattern) = 0;

 protected:
  ~FileSystem() = default;
};

// Bounds of one program; exceeding one is reported with its own error code.
constexpr std::size_t kMaxFiles = 256;
constexpr std::size_t kMaxIncludeDepth = 16;
constexpr std::size_t kMiB = std::size_t{1024} * 1024;
constexpr std::size_t kMaxFileBytes = 4 * kMiB;
constexpr std::size_t kMaxTotalBytes = 16 * kMiB;

struct Program {
  std::vector<Source> sources;
  std::vector<Statement> settings, blocks;  // at top level, in reading order
  std::map<std::string, Statement> constants;
};

// Loads the file at `path` and all files that it includes. A file that several others include is read once; a
// cycle of includes is an error, and its message lists the cycle. The result holds all that could be read.
Program Load(const std::string& path, FileSystem* file_system, Diagnostics* diagnostics);

// Resolves a path relative to the folder of `file`: "a/b.willow" and "c/*.willow" give "a/c/*.willow".
// Removes "." and "..".
std::string ResolvePath(const std::string& file, const std::string& relative);

}  // namespace cluster_manager::config_language
