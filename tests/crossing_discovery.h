// Helpers of the tests of discovery: the test plays the discovery service on a Port.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "story_operated.h"

namespace cluster_manager::story {

constexpr std::string_view kStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

// Accepts the program's request for the events after `last`, and starts the stream.
inline Wire AcceptStream(Port* bulletin, int last) {
  Wire stream = bulletin->Accept();
  const std::string request = stream.Bytes();
  CHECK_MESSAGE(request.find("Last-Event-ID: " + std::to_string(last) + "\r\n") != std::string::npos,
                request);
  stream.Raw(std::string(kStreamHead) + ": here\n\n");
  return stream;
}

inline std::string EventText(const json& event) { return "data: " + event.dump() + "\n\n"; }

// A site whose program has event 1 of the list and reads the stream.
struct DiscoveryFixture : Site {
  std::optional<Wire> stream;

  void StartAndServeList() {
    Start();
    stream.emplace(AcceptStream(&bulletin, 1));
    CHECK(Passes());
  }
  // Once this is true the program handles signals.
  bool Passes() const {
    Wire client = program->Owner();
    return story::Passes(&client);
  }
  json FirstNode(const std::string& state = "in_service", double free = 10) const {
    return Node("s-00000001", first.endpoint(), free, state);
  }
  json SecondNode(const std::string& state = "in_service", double free = 5) const {
    return Node("s-00000002", second.endpoint(), free, state);
  }
  // Checks that a new task is sent to the node that listens on `to`.
  void ExpectTaskAt(TaskId task, Port* to) {
    Wire client = program->Owner();
    Ask(&client, task, "unsafe");
    Wire node = to->Accept();
    node.Hear(Type::kTaskRequest, task);
    node.Answer(task, "there");
    client.Hear(Type::kTaskAccepted, task);
  }
};

// Sends `bytes` repeatedly until the program has closed the stream.
inline void SendUntilClosed(Wire* stream, std::string_view bytes) {
  const Patience patience;
  while (!stream->Readable(50)) {
    patience.Check();
    stream->Raw(bytes);
  }
}

}  // namespace cluster_manager::story
