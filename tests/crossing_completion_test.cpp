// What happened: a client was sent the end of its task, did not read it, and its connection was reset. The
// end was told to nobody: the task stayed in the client's books for good.
//
// Why: an end on a connection that confirms none counted as received 0.5 s after it was sent. Whether it had
// left the process was asked each 0.25 s only, so a reset between the 0.5 s and the next look found an end of
// which nothing was known, and took it for received.
//
// What showed it: after the reset `counter completions_resent 0` and `size owed_ends 0`. The one look before
// it had found 834,655 bytes in the socket that had not left; no look found it empty.
#include "crossing_site.h"

namespace cluster_manager::story {
namespace {

using std::chrono::milliseconds;

// A client that was sent an end and does not read it, and another that is served and confirms ends.
struct UnreadCompletion : CrossingSite {
  // The time limit from the send, and some time before and after it that the look at it does not fall into.
  static constexpr milliseconds kBeforeLimit{100}, kFirstLooks{350}, kAfterLimit{550};
  std::optional<Wire> silent, other;

  void Serve(Wire* client, TaskId task) {
    Ask(client, task, "unsafe");
    at_first.AwaitSetUp(task).Answer(task, "there");
    CHECK(client->Hear(Type::kTaskAccepted, task).description == "there");
  }
  void SendCompletion() {
    StartWith(10, 0.1);
    silent.emplace(program->Owner());
    other.emplace(program->Owner());
    Serve(&*other, kOther);
    Serve(&*silent, kTask);
    at_first.AwaitSetUp(kTask).Say(Type::kRelease, kTask, Cause::kEnded);
    program->Counted("completions_sent", 1);
  }
};

// Must: an end that lies unread when its connection is reset is sent on another, whatever time has passed.
TEST_CASE_FIXTURE(UnreadCompletion, "an end is unread as its connection is reset after the time limit") {
  SendCompletion();
  std::this_thread::sleep_for(kBeforeLimit);
  program->Pause();  // no look at the connection falls between the limit and the reset
  std::this_thread::sleep_for(kAfterLimit);
  silent->Reset();
  program->Resume();
  CHECK(other->Hear(Type::kRelease, kTask).cause == 16);
  other->Say(Type::kReleaseConfirmed, kTask);
  program->Counted("owed_ends", 0, "size ");
  CHECK(program->Statistic("completions_resent") == "1");
}

// Must: the same where the process stood still meanwhile, although looks before that had found it delivered.
// It failed since the loop took a poll that SIGCONT had ended for one that told all: EventLoop::polled_at()
// was the time after the call, and Connection::PeekInput() said 'nothing has come' without asking the kernel.
// The log of the failing plays has `counter completions_resent 0` and, for all the looks,
// `call poll 0`.
TEST_CASE_FIXTURE(UnreadCompletion,
                  "an end is unread as its connection is reset while the process stands still") {
  SendCompletion();
  std::this_thread::sleep_for(kFirstLooks);
  program->Pause();
  std::this_thread::sleep_for(kAfterLimit);
  silent->Reset();
  program->Resume();
  CHECK(other->Hear(Type::kRelease, kTask).cause == 16);
  other->Say(Type::kReleaseConfirmed, kTask);
  program->Counted("owed_ends", 0, "size ");
  CHECK(program->Statistic("completions_resent") == "1");
}

}  // namespace
}  // namespace cluster_manager::story
