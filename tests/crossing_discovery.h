// A scripted bulletin for the stories of the node list.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "story_operated.h"

namespace cluster_manager::story {

constexpr std::string_view kStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

// The program calls for the list from `last` on, and its call is answered.
inline Wire Serve(Port* bulletin, int last) {
  Wire stream = bulletin->Accept();
  const std::string call = stream.Bytes();
  CHECK_MESSAGE(call.find("Last-Event-ID: " + std::to_string(last) + "\r\n") != std::string::npos, call);
  stream.Raw(std::string(kStreamHead) + ": here\n\n");
  return stream;
}

inline std::string Told(const json& event) { return "data: " + event.dump() + "\n\n"; }

// A site whose program reads the list, from event 1 on.
struct Watched : Site {
  std::optional<Wire> stream;

  void Watch() {
    Start();
    stream.emplace(Serve(&bulletin, 1));
    CHECK(Passes());
  }
  // It takes signals from here on.
  bool Passes() const {
    Wire owner = program->Owner();
    return story::Passes(&owner);
  }
  json First(const std::string& state = "in_service", double free = 10) const {
    return Node("s-00000001", first.endpoint(), free, state);
  }
  json Second(const std::string& state = "in_service", double free = 5) const {
    return Node("s-00000002", second.endpoint(), free, state);
  }
  // The one node that gets a task.
  void Goes(TaskId task, Port* to) {
    Wire owner = program->Owner();
    Ask(&owner, task, "unsafe");
    Wire agent = to->Accept();
    agent.Hear(Type::kTaskRequest, task);
    agent.Answer(task, "there");
    owner.Hear(Type::kTaskAccepted, task);
  }
};

// Says the same again and again until the program has closed the stream.
inline void Dribble(Wire* stream, std::string_view bytes) {
  const Patience patience;
  while (!stream->Readable(50)) {
    patience.Check();
    stream->Raw(bytes);
  }
}

}  // namespace cluster_manager::story
