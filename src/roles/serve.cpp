#include "roles/serve.h"

#include "config/config.h"
#include "roles/serving.h"

namespace willowrail {

int Serve(const Files& files) {
  Serving(files, ConfigFromEnvironment()).Run();
  return 0;
}

}  // namespace willowrail
