// Collects the mistakes of one operators' document, each with its place, the value and what is legal, so that
// one run tells all of them. Readers of documents derive from it and add their own kinds of fields.
#pragma once

#include <cstddef>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cluster_manager::json_files {

// The place of a member within `place`; the document itself is "".
std::string JoinPath(const std::string& place, const std::string& name);
// "a, b, c".
std::string JoinList(const std::vector<std::string>& all);
// Whole numbers without a point.
std::string FormatNumber(double number);

class DocumentChecker {
 public:
  static constexpr std::size_t kUnbounded = std::numeric_limits<std::size_t>::max();

  // Of more than `most_told` mistakes only the number is told. Longer values than `most_shown` bytes are cut.
  explicit DocumentChecker(std::string file, std::size_t most_told = kUnbounded,
                           std::size_t most_shown = kUnbounded)
      : file_(std::move(file)), most_told_(most_told), most_shown_(most_shown) {}

  void AddError(const std::string& place, const std::string& text);
  // False, and a mistake, where the value is no object. Each member with another name is a mistake.
  bool Object(const nlohmann::json& value, const std::string& place, const std::vector<std::string>& members);
  // False, and a mistake, where the value is no number from `least` to `most`.
  bool Number(const nlohmann::json& value, const std::string& place, double least, double most);
  // The value as a message shows it.
  std::string FormatValue(const nlohmann::json& value) const;

  bool good() const { return count_ == 0; }
  // Throws DocumentError with a line for each mistake where there is any.
  void ThrowIfInvalid() const;

 private:
  std::string file_;
  std::size_t most_told_;
  std::size_t most_shown_;
  std::string lines_;
  std::size_t count_ = 0;
};

}  // namespace cluster_manager::json_files
