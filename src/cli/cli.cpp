#include "cli/cli.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "cli/sites_command.h"
#include "config_language/evaluator.h"
#include "config_language/formatter.h"
#include "config_language/parser.h"
#include "config_language/resolver.h"
#include "server/serve.h"

namespace cluster_manager::cli {
namespace {

namespace fs = std::filesystem;

enum Exit { kDone = 0, kErrors = 1, kUsage = 2 };

class DiskFiles final : public config_language::FileSystem {
 public:
  std::optional<std::string> Read(const std::string& path) override {
    std::error_code error;
    if (!fs::is_regular_file(path, error)) return std::nullopt;
    std::ifstream file(path, std::ios::binary);
    if (!file) return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
  }
  // A * in the last part of the path alone: folders are named.
  std::vector<std::string> Glob(const std::string& pattern) override {
    const fs::path whole(pattern);
    const std::string last = whole.filename().string();
    std::vector<std::string> found;
    std::error_code error;
    const fs::path folder = whole.has_parent_path() ? whole.parent_path() : fs::path(".");
    for (const auto& entry : fs::directory_iterator(folder, error)) {
      const std::string name = entry.path().filename().string();
      if (Fits(last, name)) found.push_back(whole.has_parent_path() ? (folder / name).string() : name);
    }
    return found;
  }

 private:
  static bool Fits(std::string_view pattern, std::string_view name) {
    std::size_t star = std::string_view::npos;  // the last * of the pattern so far
    std::size_t mark = 0;                       // where in the name it was met
    std::size_t p = 0;
    std::size_t n = 0;
    while (n < name.size()) {
      if (p < pattern.size() && pattern[p] == '*') {
        star = p++;
        mark = n;
      } else if (p < pattern.size() && pattern[p] == name[n]) {
        ++p;
        ++n;
      } else if (star != std::string_view::npos) {
        p = star + 1;
        n = ++mark;
      } else {
        return false;
      }
    }
    return pattern.find_first_not_of('*', p) == std::string_view::npos;
  }
};

// To standard error; true where there was any.
bool Tell(const config_language::Diagnostics& diagnostics,
          const std::vector<config_language::Source>& sources) {
  for (const config_language::Diagnostic& d : diagnostics.all())
    std::fputs(config_language::Render(d, sources).c_str(), stderr);
  if (diagnostics.dropped() > 0) std::fprintf(stderr, "and %zu errors more\n", diagnostics.dropped());
  if (diagnostics.any()) std::fprintf(stderr, "`cluster_manager explain CODE` says more of a code\n");
  return diagnostics.any();
}

void Evaluate(const std::vector<config_language::Statement>& statements,
              config_language::Evaluator* evaluator, std::size_t* settings) {
  for (const config_language::Statement& s : statements) {
    if (s.form == config_language::Statement::Form::kSetting) {
      evaluator->Evaluate(s.value);
      ++*settings;
    }
    Evaluate(s.body, evaluator, settings);
  }
}

int Check(const std::string& path) {
  DiskFiles files;
  config_language::Diagnostics diagnostics;
  const config_language::Program program = config_language::Load(path, &files, &diagnostics);
  config_language::Evaluator evaluator(program, &diagnostics);
  std::size_t settings = 0;
  Evaluate(program.settings, &evaluator, &settings);
  Evaluate(program.blocks, &evaluator, &settings);
  for (const auto& [name, constant] : program.constants) evaluator.Evaluate(constant.value);
  if (Tell(diagnostics, program.sources)) return kErrors;
  std::printf("%s: good; %zu files, %zu blocks, %zu settings, %zu constants\n", path.c_str(),
              program.sources.size(), program.blocks.size(), settings, program.constants.size());
  return kDone;
}

// Written beside the file and moved over it: whoever reads it meanwhile has the old text or the new one,
// whole.
bool Write(const std::string& path, const std::string& text) {
  const std::string beside = path + ".new";
  {
    std::ofstream file(beside, std::ios::binary | std::ios::trunc);
    file << text;
    file.flush();
    if (!file) {
      std::error_code ignored;
      fs::remove(beside, ignored);
      return false;
    }
  }
  std::error_code error;
  const fs::perms mode = fs::status(path, error).permissions();
  if (!error) fs::permissions(beside, mode, error);
  fs::rename(beside, path, error);
  return !error;
}

int FormatFiles(const std::vector<std::string>& paths, bool write, bool check) {
  int exit = kDone;
  for (const std::string& path : paths) {
    DiskFiles files;
    const std::optional<std::string> text = files.Read(path);
    if (!text) {
      std::fprintf(stderr, "%s: cannot be read\n", path.c_str());
      return kUsage;
    }
    std::vector<config_language::Source> sources;
    sources.emplace_back(path, *text);
    config_language::Diagnostics diagnostics;
    const config_language::Document document = config_language::Parse(sources[0], 0, &diagnostics);
    if (Tell(diagnostics, sources)) {
      exit = kErrors;
      continue;  // a text with errors is nobody's to write
    }
    const std::string written = config_language::Format(document);
    if (check) {
      if (written == *text) continue;
      std::printf("%s: not in its written form\n", path.c_str());
      exit = kErrors;
    } else if (!write) {
      std::fputs(written.c_str(), stdout);
    } else if (written != *text && !Write(path, written)) {
      std::fprintf(stderr, "%s: cannot be written\n", path.c_str());
      return kUsage;
    }
  }
  return exit;
}

int Explain(const std::string& code) {
  if (code.empty()) {
    for (const config_language::Explanation& e : config_language::Explanations()) {
      std::printf("%.*s  %.*s\n", static_cast<int>(e.code.size()), e.code.data(),
                  static_cast<int>(e.title.size()), e.title.data());
    }
    return kDone;
  }
  const config_language::Explanation* e = config_language::FindExplanation(code);
  if (e == nullptr) {
    std::fprintf(stderr, "no error has the code %s; `cluster_manager explain` lists them\n", code.c_str());
    return kUsage;
  }
  std::printf("%s: %s\n\n%s\n", code.c_str(), std::string(e->title).c_str(), std::string(e->text).c_str());
  return kDone;
}

int ServeOrSay(const ServerFiles& files) {
  try {
    return Serve(files);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cluster_manager: %s\n", error.what());
    return 1;
  }
}

// What the command line holds beside the commands' names; lives as long as the parser that fills it.
struct Options {
  std::string path;
  std::string code;
  std::vector<std::string> paths;
  bool write = false;
  bool check_only = false;
  ServerFiles files;
  SitesCall sites;
  int exit = kDone;
};

void AddServe(CLI::App* app, Options* options) {
  CLI::App* serve = app->add_subcommand("serve", "serve, as without a command");
  serve->add_option("--sites", options->files.zone_failover_plan,
                    "the plan for the loss of sites, as deploy/sites.json");
  serve->callback([options] { options->exit = ServeOrSay(options->files); });
}

void AddLanguageCommands(CLI::App* app, Options* options) {
  CLI::App* check = app->add_subcommand("check", "read a configuration, and say all that is wrong with it");
  check->add_option("FILE", options->path, "its first file")->required();
  check->callback([options] { options->exit = Check(options->path); });

  CLI::App* format = app->add_subcommand("fmt", "write texts in their one form, to standard output");
  format->add_option("FILE", options->paths, "texts")->required();
  CLI::Option* check_only = format->add_flag("--check", options->check_only,
                                             "write nothing; exit 1 and name those that are not in it");
  format->add_flag("-w,--write", options->write, "in place")->excludes(check_only);
  format->callback(
      [options] { options->exit = FormatFiles(options->paths, options->write, options->check_only); });

  CLI::App* explain = app->add_subcommand("explain", "say what a code of an error means, or list all");
  explain->add_option("CODE", options->code, "as L006");
  explain->callback([options] { options->exit = Explain(options->code); });
}

void AddZonePlanCommands(CLI::App* app, Options* options) {
  CLI::App* plan = app->add_subcommand("sites", "the plan for the loss of sites, without losing any");
  plan->require_subcommand(1);
  SitesCall& call = options->sites;
  const auto add = [&](const char* name, const char* description) {
    CLI::App* command = plan->add_subcommand(name, description);
    command->add_option("PLAN", call.plan, "as deploy/sites.json")->required();
    command->add_option("--config", call.config, "a cluster manager's configuration: settings, known list")
        ->required();
    return command;
  };
  add("check", "read a plan, and say all that is wrong with it")->callback([options] {
    options->exit = CheckSites(options->sites);
  });
  CLI::App* drill = add("drill", "say what a loss would bring about, by sums alone");
  drill->add_option("--lose", call.lose, "the sites to be lost")->required();
  drill->add_option("--list", call.list, "the list of nodes, as the bulletin tells it; else the known one");
  drill->add_option("--mix", call.mix, "CLASS=SHARE of the cores asked for; else all classes alike");
  drill->add_flag("--json", call.json, "as JSON");
  drill->callback([options] { options->exit = DrillSites(options->sites); });
}

}  // namespace

int Run(int count, char** words) {
  if (count <= 1) return ServeOrSay({});  // what `run` calls: nothing is set up for words that are not there
  CLI::App app(
      "cluster_manager, the cluster manager of willowrail.\n\n"
      "  cluster_manager                      serves, by the configuration that ROUTER_CONFIG names\n"
      "  cluster_manager check site.willow    reads a configuration and all that it includes\n"
      "  cluster_manager fmt -w *.willow      writes texts in their one form\n"
      "  cluster_manager explain L006         says what a code means\n"
      "  cluster_manager sites drill deploy/sites.json --config n0.json --lose hall-b\n"
      "                                  says what the loss of a site would bring about\n\n"
      "Exit status: 0 done, 1 errors in the texts, 2 a wrong call or a file that cannot be read or written.");
  app.name("cluster_manager");
  app.require_subcommand(1);
  Options options;
  AddServe(&app, &options);
  AddLanguageCommands(&app, &options);
  AddZonePlanCommands(&app, &options);
  app.add_subcommand("version", "print the version")->callback([] {
    std::puts("cluster_manager " WILLOWRAIL_VERSION);
  });
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kUsage;  // help is no error
  }
  return options.exit;
}

}  // namespace cluster_manager::cli
