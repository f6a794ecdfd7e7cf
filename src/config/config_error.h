// The error thrown for a configuration that cannot be used.
#pragma once

#include <stdexcept>

namespace cluster_manager {

// The text names the file or variable, the position in it, the problem and what is valid there.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace cluster_manager
