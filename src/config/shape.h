// Whether a later configuration file may take the place of the first: a file that is cut short, or has lost
// a key, is turned down whole, so that half of one never comes into force. Free of I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace cluster_manager {

struct ConfigIssue {
  std::string path;    // as settings.Services[2].Deadline
  std::string said;    // the value found, or "missing"
  std::string wanted;  // what is legal
};

// The object that the text holds. Throws ConfigError, which names the file, the place and what is
// wrong, where the text is empty, cut short, something else, or goes on after its end.
nlohmann::json ParseConfig(std::string_view text, const std::string& file);

// What keeps a later file from being taken: whatever the first file had and this one lacks, a value of
// another type, a deadline or a number of attempts that is no number above 0. Empty: it may be taken, whole.
std::vector<ConfigIssue> FindIncompatibilities(const nlohmann::json& first, const nlohmann::json& fresh);

// A value as a complaint shows it: one line, long ones cut.
std::string Said(const nlohmann::json& value);

// Whether lists and objects of a JSON text lie in one another deeper than any that this program reads. Guards
// against texts whose values cannot be copied or written without running out of stack.
bool ExceedsMaxDepth(std::string_view text);

// As settings.Services[2].Deadline: "soon"; write a number of nanoseconds above 0
std::string Describe(const ConfigIssue& complaint);

}  // namespace cluster_manager
