#include "json_files/document_checker.h"

#include <algorithm>
#include <cmath>

#include "json_files/document_error.h"

namespace cluster_manager::json_files {

using nlohmann::json;

std::string JoinPath(const std::string& place, const std::string& name) {
  return place.empty() ? name : place + "." + name;
}

std::string JoinList(const std::vector<std::string>& all) {
  std::string text;
  for (const std::string& each : all) {
    if (!text.empty()) text += ", ";
    text += each;
  }
  return text;
}

std::string FormatNumber(double number) {
  return json(number == std::floor(number) ? json(static_cast<std::int64_t>(number)) : json(number)).dump();
}

void DocumentChecker::AddError(const std::string& place, const std::string& text) {
  if (++count_ > most_told_) return;
  lines_.append(file_).append(": ").append(place.empty() ? "the document" : place);
  lines_.append(": ").append(text).append("\n");
}

bool DocumentChecker::Object(const json& value, const std::string& place,
                             const std::vector<std::string>& members) {
  if (!value.is_object()) {
    AddError(place, "is " + value.dump() + ", write an object");
    return false;
  }
  for (const auto& [key, unused] : value.items()) {
    if (std::ranges::find(members, key) == members.end())
      AddError(JoinPath(place, key), "is not known here, write one of: " + JoinList(members));
  }
  return true;
}

bool DocumentChecker::Number(const json& value, const std::string& place, double least, double most) {
  const bool legal = value.is_number() && value.get<double>() >= least && value.get<double>() <= most;
  if (!legal)
    AddError(place, "is " + FormatValue(value) + ", write a number from " + FormatNumber(least) + " to " +
                        FormatNumber(most));
  return legal;
}

std::string DocumentChecker::FormatValue(const json& value) const {
  const std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  return text.size() > most_shown_ ? text.substr(0, most_shown_ - 3) + "..." : text;
}

void DocumentChecker::ThrowIfInvalid() const {
  if (good()) return;
  std::string text = lines_;
  if (count_ > most_told_) text += file_ + ": and " + std::to_string(count_ - most_told_) + " more\n";
  throw DocumentError(text.substr(0, text.size() - 1));
}

}  // namespace cluster_manager::json_files
