// A completion that a client has not read when its connection is reset must be sent again on another
// connection.
//
// On a connection without confirmations a completion counts as received 0.5 s after it was sent, if it has
// left the socket. The socket is checked every 0.25 s only. If the connection was reset between the time
// limit and the next check, a completion of unknown state was taken for received, and the client never
// learned of the end of its task. The sign of this failure is `counter completions_resent 0` together with
// `size owed_ends 0` after the reset.
#include "crossing_site.h"

namespace cluster_manager::story {
namespace {

using std::chrono::milliseconds;

// A client that does not read its completion, and another one that is served and confirms completions.
struct UnreadCompletionTest : CrossingSite {
  // Chosen relative to the time limit of 0.5 s so that no check of the socket falls between the limit and the
  // reset.
  static constexpr milliseconds kBeforeLimit{100}, kFirstChecks{350}, kAfterLimit{550};
  std::optional<Wire> unresponsive, other;

  void PlaceTask(Wire* client, TaskId task) {
    Ask(client, task, "unsafe");
    at_first.AwaitSetUp(task).Answer(task, "there");
    CHECK(client->Hear(Type::kTaskAccepted, task).description == "there");
  }
  void SendCompletion() {
    StartWith(10, 0.1);
    unresponsive.emplace(program->Owner());
    other.emplace(program->Owner());
    PlaceTask(&*other, kOther);
    PlaceTask(&*unresponsive, kTask);
    at_first.AwaitSetUp(kTask).Say(Type::kRelease, kTask, Cause::kEnded);
    program->Counted("completions_sent", 1);
  }
};

// A completion that is unread when its connection is reset is sent on another one, however much time has
// passed.
TEST_CASE_FIXTURE(UnreadCompletionTest,
                  "a completion is unread when its connection is reset after the time limit") {
  SendCompletion();
  std::this_thread::sleep_for(kBeforeLimit);
  program->Pause();  // no check of the socket falls between the limit and the reset
  std::this_thread::sleep_for(kAfterLimit);
  unresponsive->Reset();
  program->Resume();
  CHECK(other->Hear(Type::kRelease, kTask).cause == 16);
  other->Say(Type::kReleaseConfirmed, kTask);
  program->Counted("owed_ends", 0, "size ");
  CHECK(program->Statistic("completions_resent") == "1");
}

// The same if the process is paused, after earlier checks have found the completion delivered. This failed
// when the event loop took a poll that was ended by SIGCONT for a complete one: EventLoop::polled_at() was
// the time after the call, so that Connection::PeekInput() reported that nothing had arrived without asking
// the kernel. The log of the failing runs shows `counter completions_resent 0`, and `call poll 0` for all
// checks.
TEST_CASE_FIXTURE(UnreadCompletionTest,
                  "a completion is unread when its connection is reset while the process is paused") {
  SendCompletion();
  std::this_thread::sleep_for(kFirstChecks);
  program->Pause();
  std::this_thread::sleep_for(kAfterLimit);
  unresponsive->Reset();
  program->Resume();
  CHECK(other->Hear(Type::kRelease, kTask).cause == 16);
  other->Say(Type::kReleaseConfirmed, kTask);
  program->Counted("owed_ends", 0, "size ");
  CHECK(program->Statistic("completions_resent") == "1");
}

}  // namespace
}  // namespace cluster_manager::story
