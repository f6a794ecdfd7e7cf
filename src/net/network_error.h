// The exception for a socket or event loop that cannot be set up.
#pragma once

#include <stdexcept>

namespace cluster_manager {

// The message states what failed, with the descriptor or the error text of the system.
class NetworkError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace cluster_manager
