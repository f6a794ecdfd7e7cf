// The functions behind the calls of the admin API.
#pragma once

#include <string>
#include <string_view>

namespace cluster_manager {

// Implemented by ServerProcess; called by Admin on the event loop's thread. No call blocks.
class OperatorCalls {
 public:
  virtual bool Ready() const = 0;                       // GET /v1/readyz
  virtual std::string Metrics() const = 0;              // GET /v1/metrics: a JSON document
  virtual bool Suspend(std::string_view node_uid) = 0;  // POST suspend of a node; false: no node has that id
  virtual bool Resume(std::string_view node_uid) = 0;   // POST resume of a node; false: no node has that id
  virtual void Drain() = 0;                             // POST /v1/cluster-manager/drain
  virtual bool Activate() = 0;  // POST /v1/cluster-manager/activate; false: the process is stopping

 protected:
  ~OperatorCalls() = default;
};

}  // namespace cluster_manager
