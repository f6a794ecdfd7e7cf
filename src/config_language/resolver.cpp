#include "config_language/resolver.h"

#include <algorithm>
#include <set>
#include <utility>

#include "config_language/parser.h"

namespace cluster_manager::config_language {
namespace {

class Loader {
 public:
  Loader(FileSystem* file_system, Diagnostics* diagnostics, Program* program)
      : file_system_(file_system), diagnostics_(diagnostics), program_(program) {}

  // `from`: the include statement, null for the first file.
  void LoadFile(const std::string& path, const Statement* from) {
    const auto on_stack = std::ranges::find(include_stack_, path, &IncludeStep::path);
    if (on_stack != include_stack_.end()) {
      ReportCycle(path, static_cast<std::size_t>(on_stack - include_stack_.begin()), *from);
      return;
    }
    if (loaded_paths_.contains(path)) return;  // included by another file before
    if (include_stack_.size() >= kMaxIncludeDepth) {
      diagnostics_->Add("R003", from->name_span,
                        "includes are nested more than " + std::to_string(kMaxIncludeDepth) + " levels deep");
      return;
    }
    if (program_->sources.size() >= kMaxFiles) {
      if (!std::exchange(too_many_files_reported_, true)) {
        diagnostics_->Add("R004", from->name_span, "more than " + std::to_string(kMaxFiles) + " files");
      }
      return;
    }
    std::optional<std::string> text = file_system_->Read(path);
    const std::uint32_t number = static_cast<std::uint32_t>(program_->sources.size());
    if (!text || text->size() > kMaxFileBytes || total_bytes_ + text->size() > kMaxTotalBytes) {
      const std::string problem =
          !text ? "'" + path + "' cannot be read"
                : "'" + path + "' exceeds the size limit of one file or of all files together";
      Span span;
      if (from == nullptr) {
        program_->sources.emplace_back(path, "");  // an empty source for the error to refer to
      } else {
        span = from->name_span;
      }
      diagnostics_->Add(text ? "R005" : "R001", span, problem);
      return;
    }
    total_bytes_ += text->size();
    loaded_paths_.insert(path);
    program_->sources.emplace_back(path, std::move(*text));
    const Document document = Parse(program_->sources.back(), number, diagnostics_);
    include_stack_.push_back({path, from == nullptr ? Span{} : from->name_span});
    for (const Statement& s : document.statements) AddStatement(path, s);
    include_stack_.pop_back();
  }

 private:
  struct IncludeStep {
    std::string path;
    Span include_span;  // of the include statement that loads the file
  };

  void AddStatement(const std::string& path, const Statement& s) {
    switch (s.form) {
      case Statement::Form::kInclude:
        LoadInclude(path, s);
        return;
      case Statement::Form::kLet: {
        const auto [it, inserted] = program_->constants.try_emplace(s.name, s);
        if (!inserted) ReportDuplicate("the constant '" + s.name + "'", it->second.name_span, s.name_span);
        return;
      }
      case Statement::Form::kBlock: {
        CheckBlock(s);
        const auto [it, inserted] = block_indexes_.try_emplace({s.kind, s.name}, program_->blocks.size());
        if (!inserted) {
          const Statement& first = program_->blocks[it->second];
          const auto place = [](const Statement& b) { return b.name.empty() ? b.kind_span : b.name_span; };
          ReportDuplicate("the block '" + s.kind + (s.name.empty() ? "" : " " + s.name) + "'", place(first),
                          place(s));
          return;
        }
        program_->blocks.push_back(s);
        return;
      }
      case Statement::Form::kSetting:
        program_->settings.push_back(s);
    }
  }
  // Reports statements that are not allowed inside blocks, and duplicate settings.
  void CheckBlock(const Statement& block) {
    std::map<std::string, const Statement*> seen;
    for (const Statement& s : block.body) {
      if (s.form == Statement::Form::kInclude || s.form == Statement::Form::kLet) {
        diagnostics_->Add("R007", s.span, "include and let are not allowed inside blocks",
                          "move it above the block");
      } else if (s.form == Statement::Form::kBlock) {
        CheckBlock(s);
      } else if (const auto [it, inserted] = seen.try_emplace(s.name, &s); !inserted) {
        ReportDuplicate("the setting '" + s.name + "'", it->second->name_span, s.name_span);
      }
    }
  }
  void LoadInclude(const std::string& path, const Statement& s) {
    const std::string pattern = ResolvePath(path, s.name);
    if (pattern.find('*') == std::string::npos) {
      LoadFile(pattern, &s);
      return;
    }
    std::vector<std::string> found = file_system_->Glob(pattern);
    std::ranges::sort(found);
    found.erase(std::unique(found.begin(), found.end()), found.end());
    std::erase(found, path);  // a pattern does not include the file that contains it
    if (found.empty()) diagnostics_->Add("R006", s.name_span, "no file matches '" + s.name + "'");
    for (const std::string& each : found) LoadFile(each, &s);
  }
  void ReportCycle(const std::string& path, std::size_t first, const Statement& from) {
    std::string chain = path;
    for (std::size_t i = first + 1; i < include_stack_.size(); ++i) chain += " -> " + include_stack_[i].path;
    Diagnostic& d = diagnostics_->Add("R002", from.name_span, "circular includes: " + chain + " -> " + path,
                                      "remove one of these includes");
    for (std::size_t i = first + 1; i < include_stack_.size(); ++i)
      d.notes.push_back({include_stack_[i].include_span, "included here"});
  }
  void ReportDuplicate(const std::string& what, Span first, Span second) {
    Diagnostic& d =
        diagnostics_->Add("R008", second, what + " is defined twice", "give one of them another name");
    d.notes.push_back({first, "first definition"});
  }

  FileSystem* file_system_;
  Diagnostics* diagnostics_;
  Program* program_;
  std::vector<IncludeStep> include_stack_;
  std::set<std::string> loaded_paths_;
  std::map<std::pair<std::string, std::string>, std::size_t> block_indexes_;
  std::size_t total_bytes_ = 0;
  bool too_many_files_reported_ = false;
};

}  // namespace

std::string ResolvePath(const std::string& file, const std::string& relative) {
  std::string all = relative;
  const std::size_t slash = file.rfind('/');
  if (!relative.starts_with('/') && slash != std::string::npos) all = file.substr(0, slash + 1) + relative;
  std::vector<std::string> parts;
  for (std::size_t from = 0; from <= all.size();) {
    const std::size_t to = std::min(all.find('/', from), all.size());
    const std::string part = all.substr(from, to - from);
    from = to + 1;
    if (part.empty() || part == ".") continue;
    if (part == ".." && !parts.empty() && parts.back() != "..") {
      parts.pop_back();
    } else {
      parts.push_back(part);
    }
  }
  std::string out = all.starts_with('/') ? "/" : "";
  for (std::size_t i = 0; i < parts.size(); ++i) out += (i > 0 ? "/" : "") + parts[i];
  return out;
}

Program Load(const std::string& path, FileSystem* file_system, Diagnostics* diagnostics) {
  Program program;
  Loader(file_system, diagnostics, &program).LoadFile(ResolvePath("", path), nullptr);
  return program;
}

}  // namespace cluster_manager::config_language
