// Collects the errors of one document written by operators, each with its place, the value and what is valid,
// so that a single run reports all of them.
#pragma once

#include <cstddef>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cluster_manager::json_files {

// The place of a member of the object at `place`. The place of the document is "".
std::string JoinPath(const std::string& place, const std::string& name);
// "a, b, c".
std::string JoinList(const std::vector<std::string>& items);
// Integral values are written without a decimal point.
std::string FormatNumber(double number);

// Base of the readers of documents, which add checks of their own kinds of fields. Places are paths of member
// names, separated by dots.
class DocumentChecker {
 public:
  static constexpr std::size_t kUnbounded = std::numeric_limits<std::size_t>::max();

  // Only the first `max_reported` errors are reported in full, the others by their number. Values longer than
  // `max_value_bytes` are truncated.
  explicit DocumentChecker(std::string file, std::size_t max_reported = kUnbounded,
                           std::size_t max_value_bytes = kUnbounded)
      : file_(std::move(file)), max_reported_(max_reported), max_value_bytes_(max_value_bytes) {}

  // Adds an error to the report. `place` "" means the whole document.
  void AddError(const std::string& place, const std::string& text);
  // Adds an error and returns false if the value is not an object. Adds an error for each member not in
  // `members`.
  bool Object(const nlohmann::json& value, const std::string& place, const std::vector<std::string>& members);
  // Adds an error and returns false if the value is not a number from `least` to `most`.
  bool Number(const nlohmann::json& value, const std::string& place, double least, double most);
  // The value as text for an error message.
  std::string FormatValue(const nlohmann::json& value) const;

  bool good() const { return count_ == 0; }
  // Throws DocumentError with one line per error if there are errors.
  void ThrowIfInvalid() const;

 private:
  std::string file_;
  std::size_t max_reported_;
  std::size_t max_value_bytes_;
  std::string lines_;
  std::size_t count_ = 0;
};

}  // namespace cluster_manager::json_files
