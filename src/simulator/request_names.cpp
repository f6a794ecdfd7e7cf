#include "simulator/request_names.h"

namespace scheduling::simulator {
namespace {

const std::string kUnknownName = "-";

}  // namespace

RequestId RequestNames::Add(const std::string& name) {
  const auto [it, inserted] = ids_.try_emplace(name, last_id_ + 1);
  if (inserted) names_[++last_id_] = name;
  return it->second;
}

RequestId RequestNames::Find(const std::string& name) const {
  const auto it = ids_.find(name);
  return it == ids_.end() ? 0 : it->second;
}

const std::string& RequestNames::NameOf(RequestId id) const {
  const auto it = names_.find(id);
  return it == names_.end() ? kUnknownName : it->second;
}

void RequestNames::Remove(RequestId id) {
  const auto it = names_.find(id);
  if (it == names_.end()) return;
  ids_.erase(it->second);
  names_.erase(it);
}

}  // namespace scheduling::simulator
