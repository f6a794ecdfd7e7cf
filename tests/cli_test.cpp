// Runs the real program and checks its output, error messages and exit codes.
#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace cluster_manager {
namespace {

namespace fs = std::filesystem;

// A temporary folder in which the program runs.
struct Workspace {
  Workspace() {
    std::string name = (fs::temp_directory_path() / "willowrail-cli-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder = name;
  }
  ~Workspace() { fs::remove_all(folder); }
  void Put(const std::string& name, const std::string& text) const {
    fs::create_directories((folder / name).parent_path());
    std::ofstream(folder / name, std::ios::binary) << text;
  }
  std::string Get(const std::string& name) const {
    std::ifstream file(folder / name, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(file), {});
  }
  int Run(const std::string& arguments) {
    const std::string command = "cd '" + folder.string() +
                                "' && env -u ROUTER_CONFIG '" CLUSTER_MANAGER_PROGRAM "' " + arguments +
                                " >.out 2>.err </dev/null";
    const int status = std::system(command.c_str());
    out = Get(".out");
    err = Get(".err");
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
  }
  bool ErrorContains(const std::string& text) const { return err.find(text) != std::string::npos; }

  fs::path folder;
  std::string out, err;
};

TEST_CASE_FIXTURE(Workspace, "check reads all files and prints their counts") {
  Put("site.willow", "include \"pools/*.willow\"\nlet quick = 800ms\nroute r {\n  wait = quick * 2\n}\n");
  Put("pools/a.willow", "pool a {\n  share = 5%\n}\n");
  Put("pools/b.willow", "pool b {}\n");
  Put("pools/notes.txt", "not a configuration {\n");
  CHECK(Run("check site.willow") == 0);
  CHECK(out == "site.willow: valid; 3 files, 3 blocks, 2 settings, 1 constants\n");
  CHECK(err == "");
}

TEST_CASE_FIXTURE(Workspace, "check prints the file and line and fix of every error and exits with 1") {
  Put("site.willow", "include \"gone.willow\"\npool a {\n  wait = 800sec\n  most = 1s + 1GiB\n}\n");
  CHECK(Run("check site.willow") == 1);
  CHECK(out == "");
  CHECK(ErrorContains("site.willow:1:9: error R001"));
  CHECK(ErrorContains("site.willow:3:13: error L006"));
  CHECK(ErrorContains("fix: write 800s"));
  CHECK(ErrorContains("site.willow:4:10: error T001"));
  CHECK(Run("check none.willow") == 1);
  CHECK(ErrorContains("none.willow:1:1: error R001"));
}

TEST_CASE_FIXTURE(Workspace, "fmt writes to standard output or in place or only names unformatted files") {
  const std::string unformatted = "pool   a{ x=1 # one\n}\n", formatted = "pool a {\n  x = 1  # one\n}\n";
  Put("a.willow", unformatted);
  Put("b.willow", formatted);
  CHECK(Run("fmt a.willow b.willow") == 0);
  CHECK(out == formatted + formatted);
  CHECK(Get("a.willow") == unformatted);
  CHECK(Run("fmt --check a.willow b.willow") == 1);
  CHECK(out == "a.willow: not formatted\n");
  CHECK(Run("fmt -w a.willow b.willow") == 0);
  CHECK(out == "");
  CHECK(Get("a.willow") == formatted);
  CHECK(Run("fmt --check a.willow b.willow") == 0);
  CHECK_FALSE(fs::exists(folder / "a.willow.new"));
}

TEST_CASE_FIXTURE(Workspace, "fmt skips a file with errors and rewrites the others") {
  const std::string broken = "pool a {\n  x = = 1\n";
  Put("a.willow", broken);
  Put("b.willow", "let   x=1\n");
  CHECK(Run("fmt -w a.willow b.willow") == 1);
  CHECK(ErrorContains("a.willow:2:7: error P004"));
  CHECK(Get("a.willow") == broken);
  CHECK(Get("b.willow") == "let x = 1\n");
  CHECK(Run("fmt gone.willow") == 2);
}

TEST_CASE_FIXTURE(Workspace, "explain lists and explains codes and rejects an unknown code") {
  CHECK(Run("explain") == 0);
  CHECK(out.find("L006  unknown unit\n") != std::string::npos);
  CHECK(Run("explain R002") == 0);
  CHECK(out.find("R002: circular includes") == 0);
  CHECK(Run("explain X999") == 2);
  CHECK(ErrorContains("unknown error code X999"));
}

TEST_CASE_FIXTURE(Workspace, "help and version and invalid arguments") {
  CHECK(Run("--help") == 0);
  CHECK(out.find("cluster_manager check site.willow") != std::string::npos);
  CHECK(Run("version") == 0);
  CHECK(out.find("cluster_manager ") == 0);
  CHECK(Run("chekc x") == 2);
  CHECK(Run("fmt -w --check x") == 2);
  CHECK(Run("check") == 2);
}

TEST_CASE_FIXTURE(Workspace, "without a command the program serves and reports why it cannot") {
  CHECK(Run("") == 1);
  CHECK(
      ErrorContains("cluster_manager: ROUTER_CONFIG is not set; set it to the path of a configuration file"));
  CHECK(Run("serve") == 1);
  CHECK(
      ErrorContains("cluster_manager: ROUTER_CONFIG is not set; set it to the path of a configuration file"));
}

}  // namespace
}  // namespace cluster_manager
