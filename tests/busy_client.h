// A client that goes on asking on its open connection, with nodes that take a while, for tests of shutdowns.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <initializer_list>
#include <set>
#include <thread>
#include <utility>

#include "story_site.h"

namespace cluster_manager::story {

// Asks until the program has closed the connection; some request is open all the time. Returns how many were
// left without a final answer.
inline std::size_t AskUntilClosed(Wire* client, std::initializer_list<Port*> nodes) {
  constexpr std::chrono::milliseconds kAskEvery{20}, kNodeTakes{200};
  struct Reply {
    std::chrono::steady_clock::time_point due;
    Wire* line;
    TaskId task;
  };
  std::deque<Wire> lines;
  std::deque<Reply> replies;
  std::set<TaskId> unanswered;
  TaskId last = 0;
  const Patience patience;
  while (!client->Ended()) {
    patience.Check();
    const auto now = std::chrono::steady_clock::now();
    Ask(client, ++last, "unsafe", 3000);
    unanswered.insert(last);
    for (Port* node : nodes) {
      while (node->Dialled()) lines.push_back(node->Accept());
    }
    for (Wire& line : lines) {
      while (line.Speaks(0) && !line.Ended()) {
        const Heard heard = line.Hear();
        if (heard.type == Type::kTaskRequest) replies.push_back({now + kNodeTakes, &line, heard.task});
      }
    }
    for (; !replies.empty() && replies.front().due <= now; replies.pop_front())
      replies.front().line->Answer(replies.front().task, "there");
    while (client->Speaks(0) && !client->Ended()) unanswered.erase(client->Hear().task);
    std::this_thread::sleep_for(kAskEvery);
  }
  return unanswered.size();
}

}  // namespace cluster_manager::story
