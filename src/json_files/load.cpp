#include "json_files/load.h"

#include <fstream>

#include "json_files/document_error.h"

namespace cluster_manager::json_files {

nlohmann::json LoadDocument(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw DocumentError(file + ": cannot be read");
  try {
    return nlohmann::json::parse(in);
  } catch (const nlohmann::json::parse_error& error) {
    throw DocumentError(file + ": byte " + std::to_string(error.byte) +
                        ": is not valid JSON: " + error.what());
  }
}

}  // namespace cluster_manager::json_files
