// Maps the names of requests in the simulator protocol to request ids.
#pragma once

#include <map>
#include <string>

#include "scheduling/scheduler.h"

namespace scheduling::simulator {

// The protocol identifies requests by text, the scheduler by number. Ids ascend in the order in which names
// are added.
class RequestNames {
 public:
  // Returns the id of the name, a new one if the name is not known.
  RequestId Add(const std::string& name);
  RequestId Find(const std::string& name) const;  // 0: unknown name
  // "-" if the id is unknown. Valid until the name is removed.
  const std::string& NameOf(RequestId id) const;
  void Remove(RequestId id);

 private:
  RequestId last_id_ = 0;
  std::map<std::string, RequestId> ids_;
  std::map<RequestId, std::string> names_;
};

}  // namespace scheduling::simulator
