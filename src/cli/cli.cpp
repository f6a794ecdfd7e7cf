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

enum Exit { kSuccess = 0, kErrors = 1, kUsage = 2 };

// Reads the files of a configuration from disk.
class DiskFiles final : public config_language::FileSystem {
 public:
  std::optional<std::string> Read(const std::string& path) override {
    std::error_code error;
    if (!fs::is_regular_file(path, error)) return std::nullopt;
    std::ifstream file(path, std::ios::binary);
    if (!file) return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
  }
  // Only the last component of the pattern may contain *.
  std::vector<std::string> Glob(const std::string& pattern) override {
    const fs::path path(pattern);
    const std::string name_pattern = path.filename().string();
    std::vector<std::string> found;
    std::error_code error;
    const fs::path folder = path.has_parent_path() ? path.parent_path() : fs::path(".");
    for (const auto& entry : fs::directory_iterator(folder, error)) {
      const std::string name = entry.path().filename().string();
      if (MatchesPattern(name_pattern, name))
        found.push_back(path.has_parent_path() ? (folder / name).string() : name);
    }
    return found;
  }

 private:
  static bool MatchesPattern(std::string_view pattern, std::string_view name) {
    std::size_t star = std::string_view::npos;  // the last * of the pattern reached
    std::size_t mark = 0;                       // position in the name at that *
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

// Prints the diagnostics to standard error. Returns true if there are any.
bool PrintDiagnostics(const config_language::Diagnostics& diagnostics,
                      const std::vector<config_language::Source>& sources) {
  for (const config_language::Diagnostic& d : diagnostics.all())
    std::fputs(config_language::Render(d, sources).c_str(), stderr);
  if (diagnostics.dropped() > 0) std::fprintf(stderr, "and %zu more errors\n", diagnostics.dropped());
  if (diagnostics.any())
    std::fprintf(stderr, "run `cluster_manager explain CODE` for the details of an error code\n");
  return diagnostics.any();
}

void EvaluateSettings(const std::vector<config_language::Statement>& statements,
                      config_language::Evaluator* evaluator, std::size_t* settings) {
  for (const config_language::Statement& s : statements) {
    if (s.form == config_language::Statement::Form::kSetting) {
      evaluator->Evaluate(s.value);
      ++*settings;
    }
    EvaluateSettings(s.body, evaluator, settings);
  }
}

int Check(const std::string& path) {
  DiskFiles files;
  config_language::Diagnostics diagnostics;
  const config_language::Program program = config_language::Load(path, &files, &diagnostics);
  config_language::Evaluator evaluator(program, &diagnostics);
  std::size_t settings = 0;
  EvaluateSettings(program.settings, &evaluator, &settings);
  EvaluateSettings(program.blocks, &evaluator, &settings);
  for (const auto& [name, constant] : program.constants) evaluator.Evaluate(constant.value);
  if (PrintDiagnostics(diagnostics, program.sources)) return kErrors;
  std::printf("%s: valid; %zu files, %zu blocks, %zu settings, %zu constants\n", path.c_str(),
              program.sources.size(), program.blocks.size(), settings, program.constants.size());
  return kSuccess;
}

// Replaces the file atomically by renaming a new file over it: readers see either the old or the new text.
// Returns false on failure.
bool ReplaceFile(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  {
    std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
    file << text;
    file.flush();
    if (!file) {
      std::error_code ignored;
      fs::remove(temporary, ignored);
      return false;
    }
  }
  std::error_code error;
  const fs::perms mode = fs::status(path, error).permissions();
  if (!error) fs::permissions(temporary, mode, error);
  fs::rename(temporary, path, error);
  return !error;
}

int FormatFiles(const std::vector<std::string>& paths, bool write, bool check) {
  int exit = kSuccess;
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
    if (PrintDiagnostics(diagnostics, sources)) {
      exit = kErrors;
      continue;  // files with errors are not rewritten
    }
    const std::string formatted = config_language::Format(document);
    if (check) {
      if (formatted == *text) continue;
      std::printf("%s: not formatted\n", path.c_str());
      exit = kErrors;
    } else if (!write) {
      std::fputs(formatted.c_str(), stdout);
    } else if (formatted != *text && !ReplaceFile(path, formatted)) {
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
    return kSuccess;
  }
  const config_language::Explanation* e = config_language::FindExplanation(code);
  if (e == nullptr) {
    std::fprintf(stderr, "unknown error code %s; `cluster_manager explain` lists the codes\n", code.c_str());
    return kUsage;
  }
  std::printf("%s: %s\n\n%s\n", code.c_str(), std::string(e->title).c_str(), std::string(e->text).c_str());
  return kSuccess;
}

// Serves, and prints the error if that fails.
int ServeAndReport(const ServerFiles& files) {
  try {
    return Serve(files);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cluster_manager: %s\n", error.what());
    return 1;
  }
}

// The parsed arguments. Must outlive the parser that sets them.
struct Options {
  std::string path;
  std::string code;
  std::vector<std::string> paths;
  bool write = false;
  bool check_only = false;
  ServerFiles files;
  SitesArguments sites;
  int exit = kSuccess;
};

void AddServe(CLI::App* app, Options* options) {
  CLI::App* serve = app->add_subcommand("serve", "serve, the default without a command");
  serve->add_option("--sites", options->files.zone_failover_plan,
                    "the plan of zone failover, for example deploy/sites.json");
  serve->callback([options] { options->exit = ServeAndReport(options->files); });
}

void AddLanguageCommands(CLI::App* app, Options* options) {
  CLI::App* check = app->add_subcommand("check", "check a configuration and print all errors");
  check->add_option("FILE", options->path, "the main file of the configuration")->required();
  check->callback([options] { options->exit = Check(options->path); });

  CLI::App* format = app->add_subcommand("fmt", "format configuration files, to standard output");
  format->add_option("FILE", options->paths, "files to format")->required();
  CLI::Option* check_only = format->add_flag(
      "--check", options->check_only, "write nothing; name the files that are not formatted and exit with 1");
  format->add_flag("-w,--write", options->write, "rewrite the files in place")->excludes(check_only);
  format->callback(
      [options] { options->exit = FormatFiles(options->paths, options->write, options->check_only); });

  CLI::App* explain = app->add_subcommand("explain", "explain an error code, or list all codes");
  explain->add_option("CODE", options->code, "for example L006");
  explain->callback([options] { options->exit = Explain(options->code); });
}

void AddSitesCommands(CLI::App* app, Options* options) {
  CLI::App* plan = app->add_subcommand("sites", "check a plan of zone failover and calculate its effect");
  plan->require_subcommand(1);
  SitesArguments& arguments = options->sites;
  const auto add = [&](const char* name, const char* description) {
    CLI::App* command = plan->add_subcommand(name, description);
    command->add_option("PLAN", arguments.plan, "for example deploy/sites.json")->required();
    command
        ->add_option("--config", arguments.config,
                     "the configuration of a cluster manager, with settings and known list")
        ->required();
    return command;
  };
  add("check", "check a plan and print all errors")->callback([options] {
    options->exit = CheckSites(options->sites);
  });
  CLI::App* drill = add("drill", "calculate the effect of a loss of sites");
  drill->add_option("--lose", arguments.lose, "the sites that are lost")->required();
  drill->add_option("--list", arguments.list,
                    "the endpoint list, as from discovery; default: the known list of the configuration");
  drill->add_option("--mix", arguments.mix, "CLASS=SHARE of the requested cores; default: equal shares");
  drill->add_flag("--json", arguments.json, "print JSON");
  drill->callback([options] { options->exit = DrillSites(options->sites); });
}

}  // namespace

int Run(int count, char** arguments) {
  if (count <= 1) return ServeAndReport({});  // skips setting up the parser when there are no arguments
  CLI::App app(
      "cluster_manager, the cluster manager of willowrail.\n\n"
      "  cluster_manager                      serves with the configuration file named by ROUTER_CONFIG\n"
      "  cluster_manager check site.willow    checks a configuration and all files that it includes\n"
      "  cluster_manager fmt -w *.willow      formats configuration files in place\n"
      "  cluster_manager explain L006         explains an error code\n"
      "  cluster_manager sites drill deploy/sites.json --config n0.json --lose SITE\n"
      "                                  calculates the effect of a loss of a site\n\n"
      "Exit status: 0 success, 1 errors in the files, 2 invalid arguments or a file that cannot be read or "
      "written.");
  app.name("cluster_manager");
  app.require_subcommand(1);
  Options options;
  AddServe(&app, &options);
  AddLanguageCommands(&app, &options);
  AddSitesCommands(&app, &options);
  app.add_subcommand("version", "print the version")->callback([] {
    std::puts("cluster_manager " WILLOWRAIL_VERSION);
  });
  try {
    app.parse(count, arguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kSuccess : kUsage;  // asking for help is not an error
  }
  return options.exit;
}

}  // namespace cluster_manager::cli
