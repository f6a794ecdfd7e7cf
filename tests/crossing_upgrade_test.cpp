// Guards against a late handover: a process that waited until no client was connected handed its tasks over
// only when SIGKILL may come, 5.7 s after SIGTERM, where a client kept sending requests. The log line 'handed
// over: 15 tasks' came 5.703 to 5.714 s after 'stopping' in six runs of six.
#include "busy_client.h"
#include "story_operated.h"

namespace cluster_manager::story {
namespace {

// SIGKILL comes no earlier than this after SIGTERM: the longest deadline, at most 5 s, and 0.7 s.
constexpr double kKillAfterSeconds = 5.7;

// The time of the log line that holds `text`, in seconds.
double LogTimeOf(Program* program, const std::string& text) { return std::stod(program->LoggedLine(text)); }

TEST_CASE_FIXTURE(Operated, "tasks are handed over in time while a client keeps sending requests") {
  Program& old_process = Start();
  Wire client = Owner();
  CHECK(Passes(&client));
  Start();
  Ask(&client, kTask, "unsafe", 3000);  // its connection is in use before the signal
  old_process.Signal(SIGTERM);
  const double terminated_at = LogTimeOf(&old_process, "stopping");
  CHECK(AskUntilClosed(&client, {&first, &second}) <= 1);
  CHECK(LogTimeOf(&old_process, "handed over") - terminated_at < kKillAfterSeconds);
  CHECK(old_process.ExitStatus() == 0);
}

}  // namespace
}  // namespace cluster_manager::story
