#include "scheduling/context.h"

#include "scheduling/parameters.h"

namespace scheduling::internal {

void Context::Log(const std::string& text) {
  if (logged_++ < kMaxLogMessages) actions.emplace_back(LogMessage{text});
}

}  // namespace scheduling::internal
