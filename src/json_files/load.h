// Loading of files written by operators that contain one JSON document.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace cluster_manager::json_files {

// Throws DocumentError with the name of the file and, if it is not valid JSON, the byte offset.
nlohmann::json LoadDocument(const std::string& file);

}  // namespace cluster_manager::json_files
