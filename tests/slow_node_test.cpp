// Nodes that are slow but correct: what they send has to be heard.
#include <chrono>
#include <string>
#include <thread>

#include "story_site.h"

namespace cluster_manager::story {
namespace {

// Sends an answer in `pieces` pieces; false where the program has closed the connection meanwhile.
bool AnswerInPieces(Wire* node, TaskId task, std::size_t pieces, std::chrono::milliseconds interval) {
  std::string bytes;
  protocol::Writer(&bytes, Type::kTaskAccepted, task).Add(Code::kDescription, "there");
  const std::size_t size = bytes.size() / pieces + 1;
  for (std::size_t at = 0; at < bytes.size(); at += size) {
    if (node->Ended()) return false;
    node->Raw(std::string_view(bytes).substr(at, size));
    std::this_thread::sleep_for(interval);
  }
  return true;
}

// A connection to either node on which `task` was requested.
Wire AcceptTask(Port* first, Port* second, TaskId task) {
  const Patience patience;
  while (true) {
    patience.Check();
    for (Port* port : {first, second}) {
      if (!port->Dialled(20)) continue;
      Wire node = port->Accept();
      node.Hear(Type::kTaskRequest, task);
      return node;
    }
  }
}

// Guards against closing each connection on which an answer arrives slowly: the limit on an unfinished
// message did not grow, so that no answer of such nodes was ever heard.
TEST_CASE_FIXTURE(Site, "nodes whose every answer arrives in pieces are heard in the end") {
  Start();
  Wire client = program->Owner();
  bool heard = false;
  int attempts = 0;
  for (TaskId task = 1; task <= 8 && !heard; ++task, ++attempts) {
    Ask(&client, task, "unsafe");
    Wire node = AcceptTask(&first, &second, task);
    heard = AnswerInPieces(&node, task, 8, std::chrono::milliseconds(200));
    client.Hear(heard ? Type::kTaskAccepted : Type::kRelease, task);
  }
  CHECK(heard);
  MESSAGE("heard at attempt " << attempts);
}

}  // namespace
}  // namespace cluster_manager::story
