// Stories of new settings: the real program reads its configuration again while requests are under way.
#include "story_operated.h"

namespace cluster_manager::story {
namespace {

// The file as it was, but for its classes.
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

TEST_CASE_FIXTURE(Operated,
                  "new settings: an open request keeps its class where that is dropped or changed") {
  Program& program = Start(false);
  const int port = program.admin_port();
  Wire owner = program.Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  SUBCASE("dropped") {
    program.Configure(With(program, {Service("safe", "pure"), Service("batch", "pure")}).dump());
    program.Signal(SIGHUP);
    program.Logged("classes: 1 new, 0 changed, 2 dropped");
    Ask(&owner, kOther, "unsafe");  // nobody knows it any more
    CHECK(owner.Hear(Type::kRelease, kOther).cause == 47);
  }
  SUBCASE("changed") {
    program.Configure(With(program, {Service("safe", "pure"), Service("unsafe", "pure")}).dump());
    program.Signal(SIGHUP);
    program.Logged("classes: 0 new, 1 changed, 1 dropped");
  }
  // It may have run: an unsafe task is not tried elsewhere, whatever its class is for others by now.
  agent.Say(Type::kRelease, kTask, Cause::kAborted);
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 41);
  CHECK_FALSE(second.Dialled());
  CHECK(FiguresOf(port)["faulted"]["unsafe"] == 1);
  CHECK(FiguresOf(port)["cfg_accepted"] == 1);
}

TEST_CASE_FIXTURE(Operated,
                  "new settings: the end of a task whose class was dropped is told, handed over or not") {
  Program& program = Start(false);
  Wire owner = program.Owner();
  Ask(&owner, kTask, "unsafe");
  Wire agent = first.Accept();
  agent.Hear(Type::kTaskRequest, kTask);
  agent.Answer(kTask, "here");
  owner.Hear(Type::kTaskAccepted, kTask);
  program.Configure(With(program, {Service("safe", "pure"), Service("batch", "pure")}).dump());
  program.Signal(SIGHUP);
  program.Logged("classes: 1 new, 0 changed, 2 dropped");
  Ask(&owner, kTask, "unsafe", 25'000, ";at:s-00000001");   // held here already
  Ask(&owner, kOther, "unsafe", 25'000, ";at:s-00000001");  // of the class as it stood
  Ask(&owner, 7, "never", 25'000, ";at:s-00000001");        // of one that was never known here
  Ask(&owner, 8, "never");                                  // nobody places a task of it
  CHECK(owner.Hear(Type::kRelease, 8).cause == 47);
  CHECK(FiguresOf(program.admin_port())["open_requests"] == 3);
  for (const TaskId task : {kTask, kOther, TaskId{7}}) {
    agent.Say(Type::kRelease, task, Cause::kEnded);
    CHECK(owner.Hear(Type::kRelease, task).cause == 16);
  }
}

TEST_CASE_FIXTURE(Operated, "new settings: a class that is added is served, and its ends are counted") {
  Program& program = Start(false);
  program.Configure(With(program, {Service("safe", "pure"), Service("batch", "side_effect")}).dump());
  program.Signal(SIGHUP);
  program.Logged("classes: 1 new, 0 changed, 2 dropped");
  Wire owner = program.Owner();
  Ask(&owner, kTask, "batch");
  Wire agent = first.Accept();
  CHECK(agent.Hear(Type::kTaskRequest, kTask).class_name == "batch");
  agent.Answer(kTask, "here");
  owner.Hear(Type::kTaskAccepted, kTask);
  CHECK(FiguresOf(program.admin_port())["fulfilled"]["batch"] == 1);
}

TEST_CASE_FIXTURE(Operated, "a bad file is turned down whole: neither its classes nor its bulletin count") {
  Program& program = Start(false);
  json config = With(program, {Service("safe", "pure"), Service("batch", "pure")});
  config["bulletin"] = "127.0.0.1:9";
  std::string text, said;
  SUBCASE("empty") { said = "configuration reload failed: "; }
  SUBCASE("cut short") {
    text = config.dump().substr(0, 200);
    said = "configuration reload failed: ";
  }
  SUBCASE("a deadline below 0") {
    config["settings"]["Services"][1]["Deadline"] = -5;
    text = config.dump();
    said = "settings.Services[1].Deadline: -5";
  }
  SUBCASE("no number of attempts") {
    config["settings"]["Allowed"]["MostTries"] = "three";
    text = config.dump();
    said = "settings.Allowed.MostTries: ";
  }
  SUBCASE("no settings") {
    config.erase("settings");
    text = config.dump();
    said = "settings: missing";
  }
  SUBCASE("settings that the module cannot work with") {
    config["settings"]["FamilyInfo"]["CoresByKind"] = {0};
    text = config.dump();
    said = "configuration reload failed: ";
  }
  program.Configure(text);
  program.Signal(SIGHUP);
  program.Logged(said);
  const json figures = FiguresOf(program.admin_port());
  CHECK(figures["cfg_invalid"] == 1);
  CHECK(figures["cfg_accepted"] == 0);
  Wire owner = program.Owner();
  Ask(&owner, kTask, "batch");
  CHECK(owner.Hear(Type::kRelease, kTask).cause == 47);
  // The list is still read where it was.
  lists.back().Raw("data: " + Event(2, Nodes(), true).dump() + "\n\n");
  program.Counted("discovery_events", 1);
}

}  // namespace
}  // namespace cluster_manager::story
