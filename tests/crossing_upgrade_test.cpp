// What happened: a process that hands over to the next, under a client that goes on asking, told the next of
// its tasks in the very moment in which SIGKILL may come, 5.7 s after SIGTERM.
// Why: it ended when no client was connected, or at that moment; a client that asks all the time stays
// connected.
// What showed it: the log line 'handed over: 15 tasks' 5.703 to 5.714 s after 'stopping', in six plays of
// six.
#include "busy_client.h"
#include "story_operated.h"

namespace cluster_manager::story {
namespace {

// SIGKILL comes no earlier than this after SIGTERM: the longest deadline, at most 5 s, and 0.7 s.
constexpr double kKillAfterSeconds = 5.7;

// The time of the log line that holds `text`, in seconds.
double LoggedAt(Program* program, const std::string& text) { return std::stod(program->LoggedLine(text)); }

TEST_CASE_FIXTURE(Operated,
                  "a client that goes on asking does not keep tasks from being handed over in time") {
  Program& before = Start();
  Wire client = Owner();
  CHECK(Passes(&client));
  Start();
  Ask(&client, kTask, "unsafe", 3000);  // its connection is in use from before the signal on
  before.Signal(SIGTERM);
  const double terminated = LoggedAt(&before, "stopping");
  CHECK(AskUntilClosed(&client, {&first, &second}) <= 1);
  CHECK(LoggedAt(&before, "handed over") - terminated < kKillAfterSeconds);
  CHECK(before.ExitStatus() == 0);
}

}  // namespace
}  // namespace cluster_manager::story
