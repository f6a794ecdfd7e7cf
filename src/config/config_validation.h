// Decides whether a reloaded configuration file may replace the current one. A file that is truncated or
// lacks a key is rejected as a whole, so that a partial configuration never takes effect. Performs no I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace cluster_manager {

// A problem of one value.
struct ConfigIssue {
  std::string path;      // for example settings.Services[2].Deadline
  std::string found;     // the value, or "missing"
  std::string expected;  // what is valid
};

// Parses the text as a JSON object. Throws ConfigError with the file, the position and the problem if the
// text is empty, truncated, not an object, or continues after the object.
nlohmann::json ParseConfig(std::string_view text, const std::string& file);

// The reasons to reject a reloaded file: keys of the first file that it lacks, values of another type, and
// values out of range, such as a deadline or a number of attempts that is not a positive number. Empty if the
// file is acceptable.
std::vector<ConfigIssue> FindIncompatibilities(const nlohmann::json& first, const nlohmann::json& fresh);

// A value as an issue shows it: on one line, truncated if it is long.
std::string FormatValue(const nlohmann::json& value);

// Whether the lists and objects of a JSON text are nested deeper than in any document that this program
// reads. Deeply nested values could not be copied or serialized without exhausting the stack.
bool ExceedsMaxDepth(std::string_view text);

// For example, settings.Services[2].Deadline: "soon"; write a number of nanoseconds above 0
std::string FormatIssue(const ConfigIssue& issue);

}  // namespace cluster_manager
