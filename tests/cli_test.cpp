// The command line, as a person meets it: the real program, its output, errors and exit codes.
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

struct Desk {
  Desk() {
    std::string name = (fs::temp_directory_path() / "willowrail-cli-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder = name;
  }
  ~Desk() { fs::remove_all(folder); }
  void Put(const std::string& name, const std::string& text) const {
    fs::create_directories((folder / name).parent_path());
    std::ofstream(folder / name, std::ios::binary) << text;
  }
  std::string Get(const std::string& name) const {
    std::ifstream file(folder / name, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(file), {});
  }
  int Run(const std::string& words) {
    const std::string command = "cd '" + folder.string() +
                                "' && env -u ROUTER_CONFIG '" CLUSTER_MANAGER_PROGRAM "' " + words +
                                " >.out 2>.err </dev/null";
    const int status = std::system(command.c_str());
    out = Get(".out");
    err = Get(".err");
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
  }
  bool Says(const std::string& text) const { return err.find(text) != std::string::npos; }

  fs::path folder;
  std::string out, err;
};

TEST_CASE_FIXTURE(Desk, "check reads all files and counts what it found") {
  Put("site.willow", "include \"pools/*.willow\"\nlet quick = 800ms\nroute r {\n  wait = quick * 2\n}\n");
  Put("pools/a.willow", "pool a {\n  share = 5%\n}\n");
  Put("pools/b.willow", "pool b {}\n");
  Put("pools/notes.txt", "not a configuration {\n");
  CHECK(Run("check site.willow") == 0);
  CHECK(out == "site.willow: good; 3 files, 3 blocks, 2 settings, 1 constants\n");
  CHECK(err == "");
}

TEST_CASE_FIXTURE(Desk, "check names file, line and fix of every error, and exits 1") {
  Put("site.willow", "include \"gone.willow\"\npool a {\n  wait = 800sec\n  most = 1s + 1GiB\n}\n");
  CHECK(Run("check site.willow") == 1);
  CHECK(out == "");
  CHECK(Says("site.willow:1:9: error R001"));
  CHECK(Says("site.willow:3:13: error L006"));
  CHECK(Says("fix: write 800s"));
  CHECK(Says("site.willow:4:10: error T001"));
  CHECK(Run("check none.willow") == 1);
  CHECK(Says("none.willow:1:1: error R001"));
}

TEST_CASE_FIXTURE(Desk, "fmt writes to standard output, in place, or only says what is not in its form") {
  const std::string loose = "pool   a{ x=1 # one\n}\n", form = "pool a {\n  x = 1  # one\n}\n";
  Put("a.willow", loose);
  Put("b.willow", form);
  CHECK(Run("fmt a.willow b.willow") == 0);
  CHECK(out == form + form);
  CHECK(Get("a.willow") == loose);
  CHECK(Run("fmt --check a.willow b.willow") == 1);
  CHECK(out == "a.willow: not in its written form\n");
  CHECK(Run("fmt -w a.willow b.willow") == 0);
  CHECK(out == "");
  CHECK(Get("a.willow") == form);
  CHECK(Run("fmt --check a.willow b.willow") == 0);
  CHECK_FALSE(fs::exists(folder / "a.willow.new"));
}

TEST_CASE_FIXTURE(Desk, "a text with errors is never written, and the others are") {
  const std::string broken = "pool a {\n  x = = 1\n";
  Put("a.willow", broken);
  Put("b.willow", "let   x=1\n");
  CHECK(Run("fmt -w a.willow b.willow") == 1);
  CHECK(Says("a.willow:2:7: error P004"));
  CHECK(Get("a.willow") == broken);
  CHECK(Get("b.willow") == "let x = 1\n");
  CHECK(Run("fmt gone.willow") == 2);
}

TEST_CASE_FIXTURE(Desk, "explain knows every code that it lists, and says when there is none") {
  CHECK(Run("explain") == 0);
  CHECK(out.find("L006  unknown unit\n") != std::string::npos);
  CHECK(Run("explain R002") == 0);
  CHECK(out.find("R002: circular includes") == 0);
  CHECK(Run("explain X999") == 2);
  CHECK(Says("no error has the code X999"));
}

TEST_CASE_FIXTURE(Desk, "help, version, and calls that are wrong") {
  CHECK(Run("--help") == 0);
  CHECK(out.find("cluster_manager check site.willow") != std::string::npos);
  CHECK(Run("version") == 0);
  CHECK(out.find("cluster_manager ") == 0);
  CHECK(Run("chekc x") == 2);
  CHECK(Run("fmt -w --check x") == 2);
  CHECK(Run("check") == 2);
}

TEST_CASE_FIXTURE(Desk, "without a command it serves, and says plainly when it cannot") {
  CHECK(Run("") == 1);
  CHECK(Says("cluster_manager: ROUTER_CONFIG names no configuration file"));
  CHECK(Run("serve") == 1);
  CHECK(Says("cluster_manager: ROUTER_CONFIG names no configuration file"));
}

}  // namespace
}  // namespace cluster_manager
