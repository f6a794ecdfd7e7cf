// The names of the files that two processes of one cluster manager share, and that a process reads the files
// of an earlier version. Runs the real program.
#include <doctest/doctest.h>

#include <filesystem>
#include <set>
#include <string>

#include "shared_file/shared_file.h"
#include "story_operated.h"

namespace cluster_manager::story {
namespace {

std::set<std::string> NamesIn(const std::filesystem::path& folder) {
  std::set<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    names.insert(entry.path().filename().string());
  }
  return names;
}

void CopyTestFile(const std::string& name, const std::filesystem::path& folder) {
  std::filesystem::copy_file(std::string(WILLOWRAIL_TEST_DATA "/") + name, folder / name);
}

TEST_CASE_FIXTURE(Operated,
                  "nodes that are named in a file of an earlier version are suspended at the start") {
  CopyTestFile("willowrail.n0.rotation", tmp);
  const Program& program = Start();
  CHECK(FiguresOf(program.admin_port())["out_of_rotation"] == 2);
  CHECK(Post(program.admin_port(), "/v1/agents/s-00000001/resume").status == 200);
  CHECK(FiguresOf(program.admin_port())["out_of_rotation"] == 1);
}

TEST_CASE_FIXTURE(Operated, "a suspended node is written to willowrail.NAME.rotation in TMPDIR") {
  const Program& program = Start();
  REQUIRE(Post(program.admin_port(), "/v1/agents/s-00000002/suspend").status == 200);
  SharedFile file((tmp / "willowrail.n0.rotation").string());
  const Patience patience;
  std::optional<std::string> text;
  while (!(text = file.ReadIfChanged())) {
    patience.Check();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(*text == "s-00000002\n");
  CHECK(NamesIn(tmp) == std::set<std::string>{"willowrail.n0.rotation"});
}

TEST_CASE_FIXTURE(Operated, "a running task is handed over in willowrail.NAME.handover in TMPDIR") {
  Program& old_process = Start();
  Wire client = Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  node.Answer(kTask, "here");
  client.Hear(Type::kTaskAccepted, kTask);
  Program& new_process = Start();
  old_process.Signal(SIGTERM);
  CHECK(client.Closed());
  CHECK(old_process.ExitStatus() == 0);
  new_process.Logged("taken over: 1 of 1 tasks");
  CHECK(NamesIn(tmp).contains("willowrail.n0.handover"));
}

}  // namespace
}  // namespace cluster_manager::story
