#include "handover/handover.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace cluster_manager {
namespace {

using nlohmann::json;

// The error of a text that is valid JSON but not a valid handover.
class HandoverFormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string EncodeHex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * bytes.size());
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::string DecodeHex(const std::string& hex) {
  if (hex.size() % 2 != 0) throw HandoverFormatError("an odd number of hexadecimal digits");
  std::string bytes;
  bytes.reserve(hex.size() / 2);
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    unsigned value = 0;
    const char* end = hex.data() + i + 2;
    const auto [stop, error] = std::from_chars(hex.data() + i, end, value, 16);
    if (error != std::errc() || stop != end) throw HandoverFormatError("not a hexadecimal digit");
    bytes += static_cast<char>(value);
  }
  return bytes;
}

json FormatTask(const HandedOverTask& task) {
  return {{"id", task.id},
          {"node", task.node},
          {"class", EncodeHex(task.class_name)},
          {"tenant", EncodeHex(task.tenant)},
          {"name", task.task.name},
          {"service", task.task.service},
          {"cores", task.task.cores},
          {"memory", task.task.memory},
          {"passage", EncodeHex(task.payload)},
          {"class_end", task.class_end}};
}

// Throws HandoverFormatError or json::exception.
HandedOverTask ParseTask(const json& fields) {
  HandedOverTask task;
  task.id = fields.at("id");
  task.node = fields.at("node");
  task.class_name = DecodeHex(fields.at("class"));
  task.tenant = DecodeHex(fields.at("tenant"));
  task.task.name = fields.at("name");
  task.task.service = fields.at("service");
  task.task.cores = fields.at("cores");
  task.task.memory = fields.at("memory");
  task.payload = DecodeHex(fields.at("passage"));
  task.class_end = fields.at("class_end");
  if (task.class_end > task.payload.size()) throw HandoverFormatError("a class longer than its payload");
  return task;
}

json FormatCompletion(const HandedOverCompletion& completion) {
  return {{"id", completion.id}, {"node", completion.node}, {"ended", completion.end == TaskEnd::kCompleted}};
}

// Throws json::exception.
HandedOverCompletion ParseCompletion(const json& fields) {
  const bool completed = fields.at("ended").get<bool>();
  return {fields.at("id"), fields.at("node"), completed ? TaskEnd::kCompleted : TaskEnd::kAborted};
}

}  // namespace

std::string FormatHandover(const Handover& handover) {
  json document = {{"tasks", json::array()}, {"ends", json::array()}};
  for (const HandedOverTask& task : handover.tasks) document["tasks"].push_back(FormatTask(task));
  for (const HandedOverCompletion& completion : handover.completions)
    document["ends"].push_back(FormatCompletion(completion));
  return document.dump() + "\n";
}

Handover ParseHandover(std::string_view text) {
  Handover handover;
  try {
    const json document = json::parse(text);
    for (const json& task : document.at("tasks")) handover.tasks.push_back(ParseTask(task));
    for (const json& completion : document.at("ends"))
      handover.completions.push_back(ParseCompletion(completion));
  } catch (const json::exception&) {
    return {};
  } catch (const HandoverFormatError&) {
    return {};
  }
  return handover;
}

}  // namespace cluster_manager
