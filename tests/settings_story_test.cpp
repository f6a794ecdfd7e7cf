// Reloads of the configuration by the real program while requests are being processed.
#include "story_operated.h"

namespace cluster_manager::story {
namespace {

// The configuration with other classes.
json With(const Program& program, const json& services) {
  json config = program.config();
  config["settings"]["Services"] = services;
  return config;
}
json Service(const char* name, const char* effect) {
  json service = Settings()["Services"][0];
  service["Name"] = name;
  service["Effect"] = effect;
  return service;
}

TEST_CASE_FIXTURE(Operated, "reload: a pending request keeps its class if the class is removed or changed") {
  Program& program = Start(false);
  const int port = program.admin_port();
  Wire client = program.Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  SUBCASE("dropped") {
    program.Configure(With(program, {Service("safe", "pure"), Service("batch", "pure")}).dump());
    program.Signal(SIGHUP);
    program.Logged("classes: 1 new, 0 changed, 2 dropped");
    Ask(&client, kOther, "unsafe");  // the class is unknown now
    CHECK(client.Hear(Type::kRelease, kOther).cause == 47);
  }
  SUBCASE("changed") {
    program.Configure(With(program, {Service("safe", "pure"), Service("unsafe", "pure")}).dump());
    program.Signal(SIGHUP);
    program.Logged("classes: 0 new, 1 changed, 1 dropped");
  }
  // The task may have run: an unsafe request is not retried, whatever the class allows for new requests.
  node.Say(Type::kRelease, kTask, Cause::kAborted);
  CHECK(client.Hear(Type::kRelease, kTask).cause == 41);
  CHECK_FALSE(second.Dialled());
  CHECK(FiguresOf(port)["faulted"]["unsafe"] == 1);
  CHECK(FiguresOf(port)["cfg_accepted"] == 1);
}

TEST_CASE_FIXTURE(Operated,
                  "reload: completions of tasks of a removed class are reported with or without a handover") {
  Program& program = Start(false);
  Wire client = program.Owner();
  Ask(&client, kTask, "unsafe");
  Wire node = first.Accept();
  node.Hear(Type::kTaskRequest, kTask);
  node.Answer(kTask, "here");
  client.Hear(Type::kTaskAccepted, kTask);
  program.Configure(With(program, {Service("safe", "pure"), Service("batch", "pure")}).dump());
  program.Signal(SIGHUP);
  program.Logged("classes: 1 new, 0 changed, 2 dropped");
  Ask(&client, kTask, "unsafe", 25'000, ";at:s-00000001");   // running task of this process
  Ask(&client, kOther, "unsafe", 25'000, ";at:s-00000001");  // claim of a task of the removed class
  Ask(&client, 7, "never", 25'000, ";at:s-00000001");        // claim of a task of an unknown class
  Ask(&client, 8, "never");                                  // new requests of an unknown class are rejected
  CHECK(client.Hear(Type::kRelease, 8).cause == 47);
  CHECK(FiguresOf(program.admin_port())["open_requests"] == 3);
  for (const TaskId task : {kTask, kOther, TaskId{7}}) {
    node.Say(Type::kRelease, task, Cause::kEnded);
    CHECK(client.Hear(Type::kRelease, task).cause == 16);
  }
}

TEST_CASE_FIXTURE(Operated, "reload: requests of an added class are served and counted") {
  Program& program = Start(false);
  program.Configure(With(program, {Service("safe", "pure"), Service("batch", "side_effect")}).dump());
  program.Signal(SIGHUP);
  program.Logged("classes: 1 new, 0 changed, 2 dropped");
  Wire client = program.Owner();
  Ask(&client, kTask, "batch");
  Wire node = first.Accept();
  CHECK(node.Hear(Type::kTaskRequest, kTask).class_name == "batch");
  node.Answer(kTask, "here");
  client.Hear(Type::kTaskAccepted, kTask);
  CHECK(FiguresOf(program.admin_port())["fulfilled"]["batch"] == 1);
}

TEST_CASE_FIXTURE(
    Operated, "reload: an invalid file is rejected as a whole with its classes and its discovery address") {
  Program& program = Start(false);
  json config = With(program, {Service("safe", "pure"), Service("batch", "pure")});
  config["bulletin"] = "127.0.0.1:9";
  std::string text, message;
  SUBCASE("empty") { message = "configuration reload failed: "; }
  SUBCASE("cut short") {
    text = config.dump().substr(0, 200);
    message = "configuration reload failed: ";
  }
  SUBCASE("a deadline below 0") {
    config["settings"]["Services"][1]["Deadline"] = -5;
    text = config.dump();
    message = "settings.Services[1].Deadline: -5";
  }
  SUBCASE("no number of attempts") {
    config["settings"]["Allowed"]["MostTries"] = "three";
    text = config.dump();
    message = "settings.Allowed.MostTries: ";
  }
  SUBCASE("no settings") {
    config.erase("settings");
    text = config.dump();
    message = "settings: missing";
  }
  SUBCASE("settings that the module cannot work with") {
    config["settings"]["FamilyInfo"]["CoresByKind"] = {0};
    text = config.dump();
    message = "configuration reload failed: ";
  }
  program.Configure(text);
  program.Signal(SIGHUP);
  program.Logged(message);
  const json metrics = FiguresOf(program.admin_port());
  CHECK(metrics["cfg_invalid"] == 1);
  CHECK(metrics["cfg_accepted"] == 0);
  Wire client = program.Owner();
  Ask(&client, kTask, "batch");
  CHECK(client.Hear(Type::kRelease, kTask).cause == 47);
  // The endpoint list is still read from the previous discovery address.
  lists.back().Raw("data: " + Event(2, Nodes(), true).dump() + "\n\n");
  program.Counted("discovery_events", 1);
}

}  // namespace
}  // namespace cluster_manager::story
