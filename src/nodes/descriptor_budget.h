// Limit on the file descriptors held by connections to nodes. Clients and nodes share the descriptors of the
// process: a fixed part is reserved for nodes, and nodes may also use descriptors that clients leave unused.
// Owned by NodeConnectionPool and used on its loop thread only.
#pragma once

#include <cstddef>
#include <functional>
#include <utility>

namespace cluster_manager {

// Computes the limits from the total and from the descriptors that clients hold at the moment.
class DescriptorBudget {
 public:
  // `limit`: maximum number of descriptors that clients and nodes hold together.
  explicit DescriptorBudget(int limit) : limit_(limit) {}

  void SetLimit(int limit) { limit_ = limit; }
  // `count` returns the number of descriptors that clients hold now; it is called by MaxConnections().
  void SetClientCount(std::function<std::size_t()> count) { client_count_ = std::move(count); }

  // Number of descriptors reserved for nodes; at least 1.
  std::size_t Reserved() const;
  // Current limit on connections to nodes, at least Reserved(). Includes descriptors that clients leave
  // unused, except those of the third of the limit that is guaranteed to clients: without this guarantee the
  // process could run out of descriptors and lose the discovery stream.
  std::size_t MaxConnections() const;

 private:
  int limit_;
  std::function<std::size_t()> client_count_ = [] { return std::size_t{0}; };
};

}  // namespace cluster_manager
